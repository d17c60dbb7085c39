"""Values shared by the reducer's messages and effects. Import them from messages.py."""

from __future__ import annotations

import hashlib
from enum import Enum, IntEnum

from flintfield.decision.interface import Entry, Report
from flintfield.decision.values import value

Address = tuple[str, int]


# ------------------------------------------------------------------- values


class Reach(IntEnum):
    """The progress of an attempt when it ended."""

    UNTRIED = 0  # not started, for lack of a local descriptor or port
    DIALLING = 1  # no connection yet
    WRITING = 2  # connected, but the last byte was not sent
    SENT = 3  # the last byte may have been sent
    ANSWERED = 4  # the next hop answered


class End(Enum):
    """How a branch, a probe or a call ended."""

    DONE = "done"
    FAILED = "failed"
    DECLINED = "declined"  # rejected or returned by the next hop, which proves that the job never ran
    LOST = "lost"
    BROKEN = "broken"  # connection refused, never established, reset or closed early


@value
class Ending:
    """An error or a result as a value: how an attempt ended and its progress by then."""

    end: End
    reach: Reach
    result: bytes = b""
    report: Report | None = None
    word: str = ""  # human-readable detail


@value
class Route:
    """An entry of the route set: a next hop, its address and the data passed to the decision module."""

    name: str
    address: Address
    entry: Entry


def worker_of(instance: str) -> int:
    """The number of a next hop. Decisions rank by it, so it is the same at every scheduler and restart."""
    return int.from_bytes(hashlib.blake2b(instance.encode(), digest_size=6).digest(), "little")


@value
class Submission:
    """A caller's request as received; `target` is path and query."""

    name: str
    method: bytes
    target: bytes
    body: bytes
    cls: int
    class_name: str
    wait_ms: float  # how long the caller waits, counted from when it sent the request
    key: int = 0
    cost_ms: float | None = None
    slots: float = 1.0
    memory: float = 0.0
    repeat: bool = False
    owner: str = ""  # the owner of the job according to the caller (`Req-Owner`)
    tenant: int = -1  # index of that owner in the settings; -1: not listed
    idempotency_key: bytes = b""  # passed on unchanged; next hops detect repeats by it
    front: str = ""  # submitter if not the main listener; receives `AskWritePermission` and `FrontAnswer`


@value
class StoredJob:
    """A job's record on disk; `memory/job_records.py` describes what it guarantees."""

    name: str
    kind: str
    state: str
    instance: str | None
    outcome: str | None
    ran: bool  # it may have run: it was sent, and no outcome proves that it did not run
    sure: bool  # `ran` is reliable: the job is never sent before a record says so
    keep_ms: float  # retention time, counted from now


class Verdict(Enum):
    """The kind of a final answer."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
