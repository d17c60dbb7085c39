"""What the dispatcher knows of one incarnation of a worker."""

from __future__ import annotations

from dataclasses import dataclass, field

from flintfield.jobs.messages import StartOrder, StopOrder
from flintfield.jobs.model import Run
from flintfield.placement.interface import Resources, Worker


@dataclass(slots=True)
class PendingOrder:
    """An order that has no answer yet; it is repeated on a new connection and after a while."""

    run: Run | None  # None: the run is in no table
    sent_ms: int
    boot: int = 0  # the life of the agent that it was first sent to; a later one does not know of open calls
    start: StartOrder | None = None
    stop: StopOrder | None = None


@dataclass(slots=True, eq=False)
class WorkerRecord:
    """All that the dispatcher knows of one incarnation of a worker."""

    worker: Worker
    known: bool  # a report has named it; False: known from durable placements only
    granted_ms: int  # receipt of the newest report that was granted a hold
    boot: int = 0
    stamp_ms: int = -1  # of the newest report
    granted_stamp: int = -1  # of the newest report that was granted a hold
    listing_stamp: int = -1
    examined_ms: int = -1_000  # when the progress of its runs was last looked at
    fence_stamp: int | None = None  # of the first report that showed it fenced by this epoch
    connected: bool = False
    draining: bool = False
    leaves_ms: int = 0  # while it drains: when it may leave, on the dispatcher's clock
    remaining_ms: int = 0  # as it last told
    slowness: float = 1.0  # times as slow as is usual
    silent: bool = False
    unwell_until_ms: int = 0
    unidentified_boot: int = 0  # a life of the agent that knew of no worker, and since when
    unidentified_since_ms: int = 0
    last_seen: int = 0  # durable
    taken_in: int = 0  # ends up to here are in the tables
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    orders: dict[int, PendingOrder] = field(default_factory=dict)
    barred: dict[tuple[str, int], int] = field(default_factory=dict)  # released runs: their stop orders
    strays: dict[tuple[str, int], int] = field(default_factory=dict)  # listed, but not in the tables
    unsent_starts: list[StartOrder] = field(default_factory=list)
    unsent_stops: list[StopOrder] = field(default_factory=list)

    @property
    def instance(self) -> str:
        """The worker's id."""
        return self.worker.instance


def unknown_worker(instance: str, machine: str) -> Worker:
    """A worker of which only its place is known."""
    return Worker(instance, machine, "", "", frozenset(), "", Resources(), ready=False)
