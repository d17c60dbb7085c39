"""What the queues are told (messages) and what they ask for (effects): plain values, no I/O.

A call is a number that a front gave. Times are ms since 1970, unless a name says seconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Literal

from flintfield.queues import operations as ops
from flintfield.queues.digests import Attribute

# ---------------------------------------------------------------------- values

Put = tuple[str, bytes, bytes]
"""Keyspace, key, value."""
Drop = tuple[str, bytes]
Verdict = Literal["served", "refused", "failed"]


@dataclass(frozen=True, slots=True)
class Binding:
    """A queue whose messages are jobs of a class; `unsafe` ones must not run twice. All names are queues'."""

    queue: str
    class_name: str
    unsafe: bool
    reply_queue: str
    dead_letters: str  # where a message goes that can't be tried again


@dataclass(frozen=True, slots=True)
class Job:
    """A message that is now a transaction's."""

    queue: str
    seq: int
    message_id: str
    body: str
    attributes: Mapping[str, Attribute]
    sent_at: int  # ms since 1970
    receives: int
    group: str


# ---------------------------------------------------- messages of fronts and store


@dataclass(frozen=True, slots=True)
class Asked:
    """A front hands in an operation; `call` names it until its `Reply`."""

    call: int
    operation: ops.Operation


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The client of a call has gone."""

    call: int


@dataclass(frozen=True, slots=True)
class Kept:
    """A `Keep` is on disk."""

    ticket: int


@dataclass(frozen=True, slots=True)
class KeepFailed:
    """A `Keep` was turned down, and nothing of it is on disk."""

    ticket: int
    word: str


@dataclass(frozen=True, slots=True)
class Fetched:
    """The values of a `Fetch`, in its order; None for what is not there."""

    ticket: int
    values: tuple[bytes | None, ...]


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


# ------------------------------------------------------ messages of the scheduler


@dataclass(frozen=True, slots=True)
class Lease:
    """Take up to `most` messages of a bound queue."""

    queue: str
    most: int


@dataclass(frozen=True, slots=True)
class LettingOut:
    """A job is about to be let out to a worker node."""

    queue: str
    seq: int


@dataclass(frozen=True, slots=True)
class Settle:
    """A job has its final answer. `may_have_run`: no outcome proves that it did not."""

    queue: str
    seq: int
    verdict: Verdict
    result: str = ""
    retry_after_ms: float = 0.0
    may_have_run: bool = False


Message = Asked | Abandoned | Kept | KeepFailed | Fetched | Tick
BoundMessage = Lease | LettingOut | Settle

# --------------------------------------------------------------------- effects


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer of a call."""

    call: int
    result: ops.Result


@dataclass(frozen=True, slots=True)
class Keep:
    """Write these as one batch, and tell `Kept` once it is on disk; `lazy`: it need not be soon."""

    ticket: int
    puts: tuple[Put, ...] = ()
    drops: tuple[Drop, ...] = ()
    lazy: bool = False


@dataclass(frozen=True, slots=True)
class Fetch:
    """Read these values and tell `Fetched`."""

    ticket: int
    keys: tuple[tuple[str, bytes], ...]


@dataclass(frozen=True, slots=True)
class Leased:
    """These are in work from now on; fewer than asked for where fewer are ready, or the store failed."""

    queue: str
    jobs: tuple[Job, ...]


@dataclass(frozen=True, slots=True)
class MayLetOut:
    """`let_out` is on disk (`kept`), or can not be written: then nothing may leave."""

    queue: str
    seq: int
    kept: bool


@dataclass(frozen=True, slots=True)
class Settled:
    """The end is on disk, or the store fails and it is tried again later (`kept` false)."""

    queue: str
    seq: int
    kept: bool


Effect = Reply | Keep | Fetch | Leased | MayLetOut | Settled
