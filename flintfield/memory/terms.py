"""The values that the reducer's messages and effects share; read from messages.py, their door."""

from __future__ import annotations

import hashlib
from enum import Enum, IntEnum

from flintfield.decision.interface import Entry, Report
from flintfield.decision.values import value

Address = tuple[str, int]


# ------------------------------------------------------------------- values


class Reach(IntEnum):
    """How far an attempt had come when it ended."""

    UNTRIED = 0  # not begun, for want of a descriptor or a port of our own
    DIALLING = 1  # no connection yet
    WRITING = 2  # connected, but the last byte had not left
    SENT = 3  # the last byte may have left
    ANSWERED = 4  # the next hop had answered


class End(Enum):
    """What ended a branch, a probe or a call."""

    DONE = "done"
    FAILED = "failed"
    DECLINED = "declined"  # turned away or handed back: the next hop proves that it never ran
    LOST = "lost"
    BROKEN = "broken"  # the connection: refused, never up, reset or ended early


@value
class Ending:
    """An error, or a result, as a value: what happened and how far it had come."""

    end: End
    reach: Reach
    result: bytes = b""
    report: Report | None = None
    word: str = ""  # for people


@value
class Route:
    """A line of the route set: a next hop, where it listens and what the decisions are told of it."""

    name: str
    address: Address
    entry: Entry


def worker_of(instance: str) -> int:
    """A next hop's number: alike at every scheduler and after every restart, for decisions rank by it."""
    return int.from_bytes(hashlib.blake2b(instance.encode(), digest_size=6).digest(), "little")


@value
class Submission:
    """A caller's request as it came; `target` is path and query."""

    name: str
    method: bytes
    target: bytes
    body: bytes
    cls: int
    class_name: str
    wait_ms: float  # how long the caller waits, from its send
    key: int = 0
    cost_ms: float | None = None
    slots: float = 1.0
    memory: float = 0.0
    repeat: bool = False
    owner: str = ""  # who the caller says the job is for (`Req-Owner`)
    tenant: int = -1  # the place of that owner in the settings; -1: it has none
    idempotency_key: bytes = b""  # by which next hops know the repeats of a request, passed on as it came
    front: str = ""  # who handed it in, where that is not the main listener: it is asked and answered


@value
class Lasting:
    """A job's record as it is to last; `memory/ledger.py` says what it promises."""

    name: str
    kind: str
    state: str
    instance: str | None
    outcome: str | None
    ran: bool  # it may have run: it was let out, and nothing proved yet that it did not run
    sure: bool  # were it not so, `ran` would be set
    keep_ms: float  # how long it is to be kept from now on


class Verdict(Enum):
    """The kinds of final answer."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
