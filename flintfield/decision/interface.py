"""What a dispatcher is told and what it may say: settings, events and actions.

The types know nothing of any wire. Times are milliseconds on the caller's clock, which only has
to move forward; workers and requests are plain integers picked by the caller.
"""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.decision.settings import (
    NEVER_RAN, Effect, Group, Limits, ListMode, Outcome, Prices, RequestClass, Rules, Settings, State,
    Tenant, WorkerId,
)
from flintfield.decision.values import value

__all__ = [
    "NEVER_RAN",
    "Action",
    "AttemptEnded",
    "ByHand",
    "Cancel",
    "Effect",
    "Ends",
    "Entry",
    "Event",
    "Fail",
    "First",
    "Gone",
    "Group",
    "HeardOf",
    "Hearsay",
    "Limits",
    "ListMode",
    "Note",
    "Outcome",
    "PlanNews",
    "PlanRow",
    "Prices",
    "Probe",
    "Probed",
    "Refuse",
    "Report",
    "Request",
    "RequestClass",
    "Rules",
    "Send",
    "ServerList",
    "SetTimer",
    "Settings",
    "State",
    "Tenant",
    "Timer",
    "Watch",
    "WorkerId",
]


# -------------------------------------------------------------------- events


@value
class Report:
    """A worker's own word on its load, late and inexact; None where not told."""

    free: float | None = None
    inflight: float | None = None
    queue: float | None = None
    util: float | None = None
    latency_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Entry:
    """A line of the server list; `started_ms` 0 means long ago."""

    worker: WorkerId
    state: State = State.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0
    weight: float = 1.0
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerList:
    """News of the workers; no entries where the mode is FAILED.

    `due`: where a broken watch may have hidden news, when these count as told all the same (ms).
    """

    mode: ListMode
    entries: tuple[Entry, ...] = ()
    due: float | None = None


@value
class Request:
    """A client's job; one final answer is owed before `deadline` on the clock."""

    rid: int
    cls: int
    deadline: float
    tenant: int = 0
    key: int = 0
    hint_ms: float | None = None
    slots: float = 1.0
    memory: float = 0.0
    repeat: bool = False


@value
class First:
    """A streamed answer has begun: the attempt is the client's now."""

    rid: int
    attempt: int
    worker: WorkerId


@value
class Note:
    """News of an attempt still out: started, or the share that is done."""

    rid: int
    attempt: int
    worker: WorkerId
    started: bool
    done: float = 0.0


@value
class AttemptEnded:
    """The one outcome of an attempt; `over` when the request has its answer."""

    rid: int
    attempt: int
    worker: WorkerId
    outcome: Outcome
    took_ms: float
    over: bool
    report: Report | None = None


@value
class Gone:
    """The client has left; nothing is owed any more."""

    rid: int


@value
class Ends:
    """The dispatcher is to end: what is out nowhere then has its answer by `by` (ms)."""

    by: float


@value
class Timer:
    """A timer set earlier has run out."""

    token: int


@value
class Probed:
    """The result of one probe."""

    worker: WorkerId
    outcome: Outcome
    took_ms: float
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class PlanRow:
    """What a plan says of one worker, for this dispatcher."""

    worker: WorkerId
    share: float  # of our traffic
    price: float  # in units of the highest worth
    others: float  # slots that other dispatchers hold there
    most: float  # most slots that anybody saw free; 0: not known
    pace: float  # running time for a unit of cost; 0: not measured
    heard: float  # when anybody had word of it; -inf: never
    is_home: bool = False  # given to us before all others


@dataclass(frozen=True, slots=True)
class PlanNews:
    """A plan, for a dispatcher that takes plans; it weighs 1 until `full_until`, then evenly less until
    `ends`. `leases`: parts of cold workers' budgets that are ours until then, beside our own part."""

    full_until: float
    ends: float
    rows: tuple[PlanRow, ...]
    leases: tuple[tuple[WorkerId, float], ...] = ()


@dataclass(frozen=True, slots=True)
class ByHand:
    """All workers that operators have out, and when others were let back (ms); none other is out any more.

    Nothing new goes to one that is out, whatever the list says of it; one that is let back counts as cold
    from then. `cold_elsewhere`: another process stands in for this dispatcher too, and the whole of our part
    of cold workers' budgets is its own.
    """

    out: tuple[WorkerId, ...] = ()
    back: tuple[tuple[WorkerId, float], ...] = ()
    cold_elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class HeardOf:
    """What other dispatchers say of one worker."""

    worker: WorkerId
    held: float  # slots that those hold there that are heard, less where they are heard late
    most: float  # most slots that any of them saw free; 0: none
    avoid: tuple[int, ...] = ()  # classes whose jobs are likely to fail there
    unreached: bool = False  # it is not reached by others that stand as we do


@dataclass(frozen=True, slots=True)
class Hearsay:
    """What is heard anew. `weight`: how much of what all others hold is in it, from 0 (nobody is heard) to
    1 (all, and now)."""

    weight: float
    rows: tuple[HeardOf, ...] = ()


Event = (Hearsay | ServerList | Request | First | Note | AttemptEnded | Gone | Ends | Timer | Probed
         | PlanNews | ByHand)

# ------------------------------------------------------------------- actions


@value
class Send:
    """Start an attempt; `timeout_ms` 0 lasts until the client gives up."""

    rid: int
    worker: WorkerId
    timeout_ms: float = 0.0


@value
class Refuse:
    """Final answer: rejected, and a retry is harmless."""

    rid: int
    retry_after_ms: float = 0.0


@value
class Fail:
    """Final answer: failed, with no promise about the effect."""

    rid: int


@value
class Cancel:
    """Stop waiting for an attempt."""

    rid: int
    attempt: int


@value
class SetTimer:
    """Ask for a `Timer` event with this token."""

    after_ms: float
    token: int


@value
class Probe:
    """Ask a worker for its load."""

    worker: WorkerId


@value
class Watch:
    """Subscribe to changes of the server list."""


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | Watch
