"""The orders for one incarnation of a worker: what is to be sent, and what became of it.

Each order goes through `Phase`; `_set_phase` is the only place that changes it. A start is *in doubt* once a
call for it ended without an answer (`AnswerKind.NONE`): the worker may have carried it out, or may yet. A
call leaves at most once (`transport.single_send`), so a refusal of the only call made says that nothing was
done; an order in doubt never gets such an outcome. The outcome of a start is final for its order id; a stop
that got no answer is tried again each time the dispatcher repeats it. Calls for one task leave in the order
in which they were ordered, except that a stop does not wait for the answer to a start that it supersedes.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass

from flintfield.agent.bounded import Bounded
from flintfield.agent.events import Answer, AnswerKind
from flintfield.jobs.messages import OrderResult, Outcome, StartOrder, StopOrder

ATTEMPT_TIMEOUTS_MS = (350, 350, 700)  # a sound worker answers in a few ms; the sum stays under a takeover
BUSY_ATTEMPTS = 2  # an unhealthy worker is asked once more, then the dispatcher may place the task elsewhere
BUSY_PAUSE_MS = 150
REFUSED_PAUSE_MS = 200
MAX_CALLS = 8  # calls under way at once; each may hang for seconds
MAX_FRESH_CALLS = 3  # calls that are expected to be answered soon: more would only open more connections
MAX_FRESH_STARTS = 1  # of them; a sound worker answers in 1 or 2 ms, and a new connection is priced
FRESH_MS = 30
MIN_HOLD_LEFT_MS = 300  # a run that would be killed sooner is not worth its start
MAX_UNRESOLVED = 512  # above it, starts are refused
MAX_UNRESOLVED_STOPS = 8_192  # above it, stops as well: a worker's list holds half as many runs
MAX_REMEMBERED = 4_096

_KEPT = frozenset({Outcome.DONE, Outcome.FENCE, Outcome.GONE, Outcome.BAD})  # final for a stop
_NOTHING_DONE = frozenset({Outcome.LATE, Outcome.ROOM, Outcome.BUSY, Outcome.DRAINING})
_OUTCOME_OF = {
    AnswerKind.OK: Outcome.DONE,
    AnswerKind.FENCE: Outcome.FENCE,
    AnswerKind.OLD: Outcome.OLD,
    AnswerKind.LATE: Outcome.LATE,
    AnswerKind.ROOM: Outcome.ROOM,
    AnswerKind.BAD: Outcome.BAD,
    AnswerKind.OTHER_INSTANCE: Outcome.GONE,
}


class Phase(enum.Enum):
    """Where an order stands."""

    QUEUED = "queued"  # to be sent, at `not_before` or later
    CALLING = "calling"  # a call is under way
    RESOLVED = "resolved"  # its outcome is known


@dataclass(slots=True)
class Order:
    """One order that is being carried out."""

    wanted: StartOrder | StopOrder
    phase: Phase = Phase.QUEUED
    not_before: int = 0
    call: int = 0
    called_ms: int = 0
    unanswered: int = 0
    refused: int = 0
    in_doubt: bool = False
    superseded: bool = False

    @property
    def is_start(self) -> bool:
        """Whether it is a start."""
        return isinstance(self.wanted, StartOrder)


class OrderBook:
    """All orders of the present epoch for one incarnation."""

    def __init__(self) -> None:
        self.results: list[OrderResult] = []  # not yet reported
        self.refused_for_bound = 0
        self._urgent = False
        self._orders: dict[int, Order] = {}  # by order id, oldest first
        self._starts: dict[str, list[Order]] = {}  # unresolved, by task
        self._calls: dict[int, Order] = {}
        self._outcomes = Bounded(MAX_REMEMBERED)  # by order id
        self._stopped = Bounded(MAX_REMEMBERED)  # highest run stopped, by task

    @property
    def has_urgent_results(self) -> bool:
        """Whether the dispatcher waits for a result; a start that succeeded is no such one."""
        return self._urgent

    def take_results(self) -> tuple[OrderResult, ...]:
        """The results that were not yet reported."""
        taken = tuple(self.results)
        self.results.clear()
        self._urgent = False
        return taken

    def new_epoch(self) -> None:
        """Another dispatcher acts: nothing that its predecessor ordered is tried any more."""
        self.take_results()
        self._orders.clear()
        self._starts.clear()
        self._calls.clear()
        self._outcomes.entries.clear()

    def take_start(
        self, now: int, start: StartOrder, refusal: Outcome | None, in_doubt: bool = False
    ) -> None:
        """Take in a start; `refusal` is the outcome where the worker takes no starts now.

        `in_doubt` tells that an earlier life of this process may have sent it.
        """
        if self._repeated(now, start.order, final=True):
            return
        order = Order(start, in_doubt=in_doubt or start.order in self._outcomes.entries)
        self._orders[start.order] = order
        self._starts.setdefault(start.task, []).append(order)
        stopped = self._stopped.entries.get(start.task, 0)
        if refusal is not None:
            self._resolve(now, order, refusal)
        elif start.run <= stopped:
            self._resolve(now, order, Outcome.OLD)
        elif len(self._orders) > MAX_UNRESOLVED:
            self.refused_for_bound += 1
            self._resolve(now, order, Outcome.BUSY)

    def take_stop(self, now: int, stop: StopOrder) -> None:
        """Take in a stop; it supersedes starts of the same or an earlier run."""
        self._stopped.put(stop.task, max(stop.run, self._stopped.entries.get(stop.task, 0)))
        for order in tuple(self._starts.get(stop.task, ())):
            if order.wanted.run <= stop.run:
                self._supersede(now, order)
        if self._repeated(now, stop.order, final=False):
            return
        order = self._orders[stop.order] = Order(stop)
        if len(self._orders) > MAX_UNRESOLVED_STOPS:
            self.refused_for_bound += 1
            self._resolve(now, order, Outcome.BUSY)

    def refuse_starts(self, now: int, outcome: Outcome) -> None:
        """The worker takes no more starts: resolve those that are not under way."""
        for order in list(self._orders.values()):
            if order.is_start:
                order.superseded = True
                if order.phase is Phase.QUEUED:
                    self._resolve(now, order, outcome)

    def gone(self, now: int) -> None:
        """The incarnation is there no more."""
        for order in list(self._orders.values()):
            self._resolve(now, order, Outcome.GONE)

    def due(self, now: int, may_start: Callable[[], Outcome | None]) -> Order | None:
        """The next order to be sent now; `may_start` tells the refusal of a start at this moment, if any."""
        if not self._has_room(now, for_start=False):
            return None
        starts_wait = not self._has_room(now, for_start=True)
        blocked: set[str] = set()
        for order in list(self._orders.values()):
            task = order.wanted.task
            if task in blocked:
                continue
            if order.is_start and order.phase is Phase.QUEUED and starts_wait:
                blocked.add(task)
            elif order.phase is Phase.QUEUED and order.not_before <= now:
                refusal = may_start() if order.is_start else None
                if refusal is None:
                    return order
                self._resolve(now, order, refusal)
            elif not order.superseded:
                blocked.add(task)
        return None

    def sent(self, now: int, order: Order, call: int) -> int:
        """The order leaves under this call number; returns its time-out in ms."""
        order.call, order.called_ms = call, now
        self._calls[call] = order
        self._set_phase(order, Phase.CALLING)
        return ATTEMPT_TIMEOUTS_MS[min(order.unanswered, len(ATTEMPT_TIMEOUTS_MS) - 1)]

    def answered(self, now: int, call: int, answer: Answer) -> Order | None:
        """A call has ended; returns its order, or None for a call that doesn't count any more."""
        order = self._calls.pop(call, None)
        if order is None or order.phase is not Phase.CALLING:
            return None
        kind = answer.kind
        if kind is AnswerKind.NONE:
            order.in_doubt = True
            order.unanswered += 1
            self._again(now, order, 0, order.unanswered < len(ATTEMPT_TIMEOUTS_MS), Outcome.UNKNOWN)
        elif kind is AnswerKind.UNHEALTHY:
            order.refused += 1
            self._again(now, order, BUSY_PAUSE_MS, order.refused < BUSY_ATTEMPTS, Outcome.BUSY)
        elif kind is AnswerKind.NOT_SENT:
            order.refused += 1
            self._again(now, order, REFUSED_PAUSE_MS, order.refused < BUSY_ATTEMPTS, Outcome.BUSY)
        else:
            self._resolve(now, order, _OUTCOME_OF[kind])
        return order

    @property
    def calling(self) -> int:
        """How many calls are under way."""
        return len(self._calls)

    @property
    def unresolved(self) -> int:
        """How many orders have no outcome yet."""
        return len(self._orders)

    def wake_at(self, now: int) -> int | None:
        """When `due` may next have something that it has not now, other than by an event."""
        waits = [
            order.not_before
            for order in self._orders.values()
            if order.phase is Phase.QUEUED and order.not_before > now
        ]
        held_back = len(self._calls) < MAX_CALLS and not self._has_room(now, for_start=True)
        if len(waits) < len(self._orders) and held_back:
            waits.extend(
                order.called_ms + FRESH_MS
                for order in self._calls.values()
                if order.called_ms + FRESH_MS > now
            )
        return min(waits, default=None)

    def _has_room(self, now: int, for_start: bool) -> bool:
        fresh = [order for order in self._calls.values() if now - order.called_ms < FRESH_MS]
        if for_start and sum(1 for order in fresh if order.is_start) >= MAX_FRESH_STARTS:
            return False
        return len(fresh) < MAX_FRESH_CALLS and len(self._calls) < MAX_CALLS

    def _repeated(self, now: int, order: int, final: bool) -> bool:
        if order in self._orders:
            return True
        code = self._outcomes.entries.get(order)
        if code is None:
            return False
        outcome = Outcome(code)
        if outcome is Outcome.UNKNOWN or (not final and outcome not in _KEPT):
            return False
        self._note(now, order, outcome, True)
        return True

    def _supersede(self, now: int, order: Order) -> None:
        order.superseded = True
        if order.phase is Phase.QUEUED:
            self._resolve(now, order, Outcome.UNKNOWN if order.in_doubt else Outcome.OLD)

    def _again(self, now: int, order: Order, pause_ms: int, may_try: bool, otherwise: Outcome) -> None:
        if not may_try or order.superseded:
            self._resolve(now, order, otherwise)
            return
        order.not_before = now + pause_ms
        self._set_phase(order, Phase.QUEUED)

    def _resolve(self, now: int, order: Order, outcome: Outcome) -> None:
        if order.in_doubt and outcome in _NOTHING_DONE:
            outcome = Outcome.UNKNOWN
        self._set_phase(order, Phase.RESOLVED)
        number = order.wanted.order
        del self._orders[number]
        if order.is_start:
            self._forget_start(order)
        self._outcomes.put(number, int(outcome))
        self._note(now, number, outcome, not order.is_start or outcome is not Outcome.DONE)

    def _forget_start(self, order: Order) -> None:
        starts = self._starts[order.wanted.task]
        starts.remove(order)
        if not starts:
            del self._starts[order.wanted.task]

    def _note(self, now: int, number: int, outcome: Outcome, urgent: bool) -> None:
        # Rounded up, as stamps of calls are rounded down: a listing is never taken for later than it is.
        self.results.append(OrderResult(number, outcome, now + 1))
        self._urgent = self._urgent or urgent

    @staticmethod
    def _set_phase(order: Order, phase: Phase) -> None:
        if order.phase is Phase.RESOLVED:
            raise ValueError(f"order {order.wanted.order} is resolved")
        order.phase = phase
