"""What a step of a replica's state machine asks of its shell."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from flintfield.coordination.messages import Pair


@dataclass(frozen=True, slots=True)
class Step:
    """The effects of one message.

    The shell applies `changes` before it hands the next message in, and atomically with them, where it isn't
    None, `replacement`, which takes the place of all items of the ordered store. It sends `reply` once the
    store is durable up to here; also without changes of its own, because the reply may tell of earlier ones.
    `at_once` marks a reply that tells nothing of registers or items: before it, only promises, and who holds
    the lease, must be durable.
    """

    reply: object
    changes: Sequence[Pair] = ()
    replacement: Sequence[tuple[bytes, bytes]] | None = None
    at_once: bool = False


@dataclass(slots=True)
class Staged:
    """The parts of an installation that have come so far."""

    epoch: int
    transfer: int
    next_index: int = 0
    pairs: list[tuple[bytes, bytes]] = field(default_factory=list)
