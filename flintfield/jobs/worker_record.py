"""State that the dispatcher keeps about one incarnation of a worker."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from flintfield.jobs.messages import StartOrder, StopOrder
from flintfield.jobs.model import Run
from flintfield.placement.interface import Resources, Worker


NO_BOOT = -1  # no boot: several tries, or several lives of the agent, may have carried the order out
MAX_UNANSWERED = 256  # orders on their way to one agent; the others wait until some are answered


@dataclass(slots=True)
class PendingOrder:
    """An unanswered order; it is repeated on a new connection and after a timeout."""

    run: Run | None  # None: the run is in no table
    sent_ms: int
    boot: int = 0  # the agent's boot at the first send; a restarted agent does not know of open calls
    start: StartOrder | None = None
    stop: StopOrder | None = None

    @property
    def number(self) -> int:
        """The number of the order."""
        order = self.start or self.stop
        assert order is not None, "an order is a start or a stop"
        return order.order


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
    no_ends_stamp: int | None = None  # stamp of the first report without ends since one with ends
    fence_stamp: int | None = None  # stamp of the first report that showed it fenced by this epoch
    connected: bool = False
    state_known: bool = False  # whether the agent's newest report told the state of the worker
    draining: bool = False
    leaves_ms: int = 0  # if draining: when it may leave, by the dispatcher's clock
    remaining_ms: int = 0  # as last reported
    slowness: float = 1.0  # as a multiple of the usual
    silent: bool = False
    patience_ms: int = 0  # as last computed, at `patience_at_ms`
    patience_at_ms: int = -1_000
    paused_until_ms: int = 0
    unidentified_boot: int = 0  # boot of an agent that did not know its worker
    unidentified_since_ms: int = 0
    last_seen: int = 0  # ends up to this number are durable
    processed_ends: int = 0  # ends up to this number are processed
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    orders: dict[int, PendingOrder] = field(default_factory=dict)
    blocked_runs: dict[tuple[str, int], int] = field(default_factory=dict)  # released runs: their stop orders
    unknown_runs: dict[tuple[str, int], int] = field(default_factory=dict)  # listed but unknown: stop orders
    unsent_starts: dict[int, StartOrder] = field(default_factory=dict)  # by order number, oldest first
    unsent_stops: dict[int, StopOrder] = field(default_factory=dict)
    unanswered: set[int] = field(default_factory=set)  # orders that were sent

    @property
    def instance(self) -> str:
        """The id of the worker's incarnation."""
        return self.worker.instance

    def add_order(self, pending: PendingOrder) -> None:
        """Keep an order until it is answered; it is sent once fewer than `MAX_UNANSWERED` are under way."""
        self.orders[pending.number] = pending
        self.send_again(pending)

    def send_again(self, pending: PendingOrder) -> None:
        """Send the order, whether or not it was sent before."""
        self.unanswered.discard(pending.number)
        if pending.start is not None:
            self.unsent_starts[pending.number] = pending.start
        if pending.stop is not None:
            self.unsent_stops[pending.number] = pending.stop

    def forget_order(self, number: int) -> PendingOrder | None:
        """Drop an order that was answered, or that nothing depends on any more."""
        self.unanswered.discard(number)
        self.unsent_starts.pop(number, None)
        self.unsent_stops.pop(number, None)
        return self.orders.pop(number, None)

    def agent_restarted(self, boot: int) -> None:
        """Another life of the agent reports: what was ordered before may be carried out by either of them.

        A refusal that comes late, from the life before, no longer tells that nothing was done.
        """
        self.boot = boot
        for pending in self.orders.values():
            pending.boot = NO_BOOT

    def connection_lost(self) -> None:
        """What was under way may be lost; everything is sent again on the next connection."""
        self.unsent_starts.clear()
        self.unsent_stops.clear()
        self.unanswered.clear()

    def take_stops(self, now_ms: int) -> tuple[StopOrder, ...]:
        """The stops to be sent now."""
        return tuple(self.unsent_stops.pop(number) for number in self._take(self.unsent_stops, now_ms))

    def take_starts(self, now_ms: int) -> tuple[StartOrder, ...]:
        """The starts to be sent now; after `take_stops`, as stops go first."""
        return tuple(self.unsent_starts.pop(number) for number in self._take(self.unsent_starts, now_ms))

    def _take(self, unsent: Iterable[int], now_ms: int) -> list[int]:
        numbers = list(islice(unsent, max(0, MAX_UNANSWERED - len(self.unanswered))))
        for number in numbers:
            self.unanswered.add(number)
            self.orders[number].sent_ms = now_ms
        return numbers


def unknown_worker(instance: str, machine: str) -> Worker:
    """A worker of which only the machine is known."""
    return Worker(instance, machine, "", "", frozenset(), "", Resources(), ready=False)
