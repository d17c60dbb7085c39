"""The decision module's interface: settings, events (its input) and actions (its output).

The types are independent of any wire format. Times are milliseconds on the caller's clock, which only
needs to be monotonic; workers and requests are plain integers chosen by the caller.
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
    "AttemptProgress",
    "Cancel",
    "ClientLeft",
    "Effect",
    "Entry",
    "Event",
    "Fail",
    "Group",
    "Limits",
    "ListMode",
    "OperatorOverrides",
    "Outcome",
    "PeerObservation",
    "PeerObservations",
    "PlanRow",
    "PlanUpdate",
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
    "ShutdownAnnounced",
    "State",
    "StreamStarted",
    "Tenant",
    "Timer",
    "Watch",
    "WorkerId",
]


# -------------------------------------------------------------------- events


@value
class Report:
    """A worker's own report of its load, delayed and inexact; None for a figure that it does not report."""

    free: float | None = None
    inflight: float | None = None
    queue: float | None = None
    util: float | None = None
    latency_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Entry:
    """An entry of the server list; `started_ms` 0 means long ago."""

    worker: WorkerId
    state: State = State.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0
    weight: float = 1.0
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerList:
    """Changes to the server list, or all of it; no entries if the mode is FAILED.

    `due`: when news that a broken watch may have hidden take effect nevertheless (ms).
    """

    mode: ListMode
    entries: tuple[Entry, ...] = ()
    due: float | None = None


@value
class Request:
    """A client's job; it must get exactly one final answer before the time `deadline`."""

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
class StreamStarted:
    """A streamed answer has begun, so the client is bound to this attempt."""

    rid: int
    attempt: int
    worker: WorkerId


@value
class AttemptProgress:
    """Progress of a running attempt: it has started, or the fraction that is done."""

    rid: int
    attempt: int
    worker: WorkerId
    started: bool
    done: float = 0.0


@value
class AttemptEnded:
    """The final outcome of an attempt; `over` if the request has its answer."""

    rid: int
    attempt: int
    worker: WorkerId
    outcome: Outcome
    took_ms: float
    over: bool
    report: Report | None = None


@value
class ClientLeft:
    """The client has disconnected; its request needs no answer any more."""

    rid: int


@value
class ShutdownAnnounced:
    """The dispatcher is shutting down: a job with no running attempt is answered by the time `by` (ms)."""

    by: float


@value
class Timer:
    """A timer that was set earlier has expired."""

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
    """A plan's data on one worker, for this dispatcher."""

    worker: WorkerId
    share: float  # fraction of this dispatcher's traffic
    price: float  # in units of the highest worth
    others: float  # slots that other dispatchers hold there
    most: float  # most slots that any dispatcher saw free; 0: not known
    pace: float  # run time per unit of cost; 0: not measured
    heard: float  # when any dispatcher last heard from it; -inf: never
    is_home: bool = False  # assigned to this dispatcher in preference to others


@dataclass(frozen=True, slots=True)
class PlanUpdate:
    """A plan, for a dispatcher that accepts plans; its weight is 1 until `full_until`, then falls linearly to
    0 at `ends`. `leases`: fractions of cold workers' budgets that are leased to this dispatcher until then,
    in addition to its own part."""

    full_until: float
    ends: float
    rows: tuple[PlanRow, ...]
    leases: tuple[tuple[WorkerId, float], ...] = ()


@dataclass(frozen=True, slots=True)
class OperatorOverrides:
    """All workers that operators have taken out of service, and when others were returned to service (ms).

    This replaces the earlier set. No new job goes to a worker that is out, whatever the list says; one that
    is returned counts as cold from then. `cold_elsewhere`: another process also runs as this dispatcher, and
    uses all of this dispatcher's part of cold workers' budgets.
    """

    out: tuple[WorkerId, ...] = ()
    back: tuple[tuple[WorkerId, float], ...] = ()
    cold_elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class PeerObservation:
    """What other dispatchers report about one worker."""

    worker: WorkerId
    held: float  # slots held there by the dispatchers that are heard, discounted for late reports
    most: float  # most slots that any of them saw free; 0: none
    avoid: tuple[int, ...] = ()  # classes whose jobs are likely to fail there
    unreached: bool = False  # dispatchers in the same position as this one cannot reach it


@dataclass(frozen=True, slots=True)
class PeerObservations:
    """New observations by other dispatchers. `weight`: the fraction of the slots held by all others that they
    cover, from 0 (none is heard) to 1 (all are heard, without delay)."""

    weight: float
    rows: tuple[PeerObservation, ...] = ()


Event = (PeerObservations | ServerList | Request | StreamStarted | AttemptProgress | AttemptEnded | ClientLeft
         | ShutdownAnnounced | Timer | Probed | PlanUpdate | OperatorOverrides)

# ------------------------------------------------------------------- actions


@value
class Send:
    """Start an attempt; with `timeout_ms` 0 it lasts until the client gives up."""

    rid: int
    worker: WorkerId
    timeout_ms: float = 0.0


@value
class Refuse:
    """Final answer: rejected; a retry is harmless."""

    rid: int
    retry_after_ms: float = 0.0


@value
class Fail:
    """Final answer: failed; the job may or may not have had its effect."""

    rid: int


@value
class Cancel:
    """Stop waiting for an attempt."""

    rid: int
    attempt: int


@value
class SetTimer:
    """Request a `Timer` event with this token."""

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
