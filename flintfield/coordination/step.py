"""The effects of a step of a replica's state machine, which the shell carries out."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from flintfield.coordination.messages import Pair


@dataclass(frozen=True, slots=True)
class Step:
    """The effects of one message.

    The shell applies `changes` before it passes the next message to the state machine. If `replacement` isn't
    None, it replaces all items of the ordered store atomically with `changes`. The shell sends `reply` once
    the store is durable up to this step, even if the step has no changes, because the reply may depend on
    earlier ones. `at_once` marks a reply that doesn't depend on registers or items: only promises and the
    holder of the lease must be durable before it is sent.
    """

    reply: object
    changes: Sequence[Pair] = ()
    replacement: Sequence[tuple[bytes, bytes]] | None = None
    at_once: bool = False


@dataclass(slots=True)
class StagedInstall:
    """The parts of a whole state that a follower has received so far."""

    epoch: int
    transfer: int
    next_index: int = 0
    pairs: list[tuple[bytes, bytes]] = field(default_factory=list)
