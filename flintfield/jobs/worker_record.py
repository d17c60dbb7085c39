"""State that the dispatcher keeps about one incarnation of a worker."""

from __future__ import annotations

from dataclasses import dataclass, field

from flintfield.jobs.messages import StartOrder, StopOrder
from flintfield.jobs.model import Run
from flintfield.placement.interface import Resources, Worker


@dataclass(slots=True)
class PendingOrder:
    """An unanswered order; it is repeated on a new connection and after a timeout."""

    run: Run | None  # None: the run is in no table
    sent_ms: int
    boot: int = 0  # the agent's boot at the first send; a restarted agent does not know of open calls
    start: StartOrder | None = None
    stop: StopOrder | None = None


@dataclass(slots=True, eq=False)
class WorkerRecord:
    """One incarnation of a worker as known to the dispatcher."""

    worker: Worker
    known: bool  # whether a report has named it; False: known only from stored placements
    granted_ms: int  # when the newest report that was granted a hold was received
    boot: int = 0
    stamp_ms: int = -1  # stamp of the newest report
    granted_stamp: int = -1  # stamp of the newest report that was granted a hold
    listing_stamp: int = -1
    examined_ms: int = -1_000  # when the progress of its runs was last checked
    endless_stamp: int | None = None  # stamp of the first report without ends since one with ends
    fence_stamp: int | None = None  # stamp of the first report that showed it fenced by this epoch
    connected: bool = False
    draining: bool = False
    leaves_ms: int = 0  # if draining: when it may leave, by the dispatcher's clock
    remaining_ms: int = 0  # as last reported
    slowness: float = 1.0  # as a multiple of the usual
    silent: bool = False
    paused_until_ms: int = 0
    unidentified_boot: int = 0  # boot of an agent that did not know its worker
    unidentified_since_ms: int = 0
    last_seen: int = 0  # ends up to this number are durable
    processed_ends: int = 0  # ends up to this number are processed
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    orders: dict[int, PendingOrder] = field(default_factory=dict)
    blocked_runs: dict[tuple[str, int], int] = field(default_factory=dict)  # released runs: their stop orders
    unknown_runs: dict[tuple[str, int], int] = field(default_factory=dict)  # listed but unknown: stop orders
    unsent_starts: list[StartOrder] = field(default_factory=list)
    unsent_stops: list[StopOrder] = field(default_factory=list)

    @property
    def instance(self) -> str:
        """The id of the worker's incarnation."""
        return self.worker.instance


def unknown_worker(instance: str, machine: str) -> Worker:
    """A worker of which only the machine is known."""
    return Worker(instance, machine, "", "", frozenset(), "", Resources(), ready=False)
