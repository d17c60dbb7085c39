"""The agent as a state machine: events in, effects out, without I/O, clock or global random numbers.

It knows at most one present incarnation of the worker and one candidate, which a heartbeat or the dispatcher
has named and which is not reported before it is confirmed: late heartbeats of a crashed incarnation must not
make the dispatcher believe that the present one is gone. The highest epoch that was ever seen is the fence of
all calls; what an earlier dispatcher ordered is dropped when a later one appears.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

from flintfield.agent.events import (
    Answer,
    AnswerKind,
    Deregistered,
    Effect,
    Event,
    Heartbeat,
    LinkOpened,
    LookForLeader,
    OrdersArrived,
    SendReport,
    Stopping,
    Tick,
    WorkerAnswered,
)
from flintfield.agent.incarnation import Incarnation, Standing
from flintfield.agent.listing import NEVER
from flintfield.agent.reports import ReportSchedule
from flintfield.jobs.messages import AgentOrders, AgentReport, OrderResult, Outcome

MAX_PAST = 64  # incarnations known to be gone; late heartbeats come from the newest of them
RESENT_RESULTS = 256  # results that a new connection is told again
INHERITED_SLACK_MS = 200
SLOWEST_FACTOR = 1.03  # 1 / 0.98, rounded up


@dataclass(slots=True)
class Counters:
    """Events that should be rare, for the log."""

    stale_heartbeats: int = 0
    stale_orders: int = 0
    refused_grants: int = 0
    foreign_orders: int = 0
    incarnations: int = 0


class Agent:
    """The whole state of the node agent."""

    def __init__(self, machine: str, boot: int, start_ms: int, hold_max_ms: int, app: str,
                 rng: random.Random) -> None:
        self.machine = machine
        self.boot = boot
        self.epoch = 0
        self.present: Incarnation | None = None
        self.candidate: Incarnation | None = None
        self.counters = Counters()
        self.stopping = False
        self._app = app
        self._start_ms = start_ms
        self._hold_max_ms = hold_max_ms
        self._rng = rng
        self._past: deque[str] = deque(maxlen=MAX_PAST)
        self._calls: dict[int, tuple[Incarnation, int]] = {}  # with the time at which each was sent
        self._last_call = 0
        self._reports = ReportSchedule(rng)
        self._loose_results: list[OrderResult] = []  # for orders that name no incarnation known here
        self._recent: deque[OrderResult] = deque(maxlen=RESENT_RESULTS)

    def step(self, now: int, event: Event) -> list[Effect]:
        """Take in an event at this time; returns what is to be done now."""
        effects: list[Effect] = []
        match event:
            case Heartbeat():
                self._take_heartbeat(now, event)
            case Deregistered():
                self._take_farewell(now, event.instance)
            case OrdersArrived():
                self._take_orders(now, event.orders)
            case WorkerAnswered():
                self._take_answer(now, event.call, event.answer, effects)
            case LinkOpened():
                self._loose_results[:0] = self._recent
                self._recent.clear()
                self._reports.news(now)
            case Stopping():
                self._stop(now)
            case Tick():
                pass
        self._call_worker(now, effects)
        self._report(now, effects)
        return effects

    def wake_at(self, now: int) -> int:
        """When to step with a `Tick`, unless an event comes before."""
        times = [self._reports.due_ms]
        for incarnation in (self.present, self.candidate):
            if incarnation is not None:
                times.append(incarnation.wake_at(now, self.epoch) or times[0])
        return min(times)

    @property
    def orders_under_way(self) -> int:
        """How many calls that carry out orders have not ended yet."""
        return sum(incarnation.book.calling for incarnation in (self.present, self.candidate) if incarnation)

    def final_report(self, now: int) -> SendReport:
        """The last report of this life, due or not."""
        return SendReport(self._make_report(now))

    def _take_heartbeat(self, now: int, beat: Heartbeat) -> None:
        instance = beat.state.instance
        if instance in self._past:
            self.counters.stale_heartbeats += 1
            return
        incarnation = self._known(instance) or self._new_candidate(instance, beat.state.address)
        if incarnation.take_heartbeat(now, beat):
            self._reports.news(now)
        self._settle(now, incarnation)

    def _take_farewell(self, now: int, instance: str) -> None:
        incarnation = self._known(instance)
        if incarnation is None:
            return
        if incarnation is self.candidate:
            self._drop_candidate()
            return
        incarnation.set_standing(now, Standing.DEREGISTERED)
        self._reports.news(now)

    def _take_orders(self, now: int, orders: AgentOrders) -> None:
        if orders.epoch < self.epoch:
            self.counters.stale_orders += 1
            return
        if orders.epoch > self.epoch:
            self._raise_epoch(orders.epoch)
        if not orders.instance:
            return
        incarnation = self._addressee(orders.instance)
        if incarnation is None:
            self._answer_for_absent(now, orders)
            return
        self._extend(now, incarnation, orders)
        incarnation.listing.forget(orders.last_seen)
        for stop in orders.stops:
            incarnation.book.take_stop(now, stop)
        for start in orders.starts:
            refusal = Outcome.BUSY if self.stopping else incarnation.refusal(now)
            incarnation.book.take_start(now, start, refusal)

    def _raise_epoch(self, epoch: int) -> None:
        self.epoch = epoch
        self._loose_results.clear()
        self._recent.clear()
        for incarnation in (self.present, self.candidate):
            if incarnation is not None:
                incarnation.book.new_epoch()
                incarnation.holds.new_fence()

    def _addressee(self, instance: str) -> Incarnation | None:
        known = self._known(instance)
        if known is not None:
            return known
        if self.present is None and self.candidate is None and instance not in self._past and self._app:
            return self._new_candidate(instance, self._app)
        return None

    def _answer_for_absent(self, now: int, orders: AgentOrders) -> None:
        """Orders for an incarnation that is not here: it is gone if another one has taken its place."""
        replaced = self.present is not None and self.present.standing is not Standing.REPLACED
        if not replaced and orders.instance not in self._past:
            self.counters.foreign_orders += 1
            return
        numbers = [start.order for start in orders.starts] + [stop.order for stop in orders.stops]
        self._loose_results.extend(OrderResult(number, Outcome.GONE, now + 1) for number in numbers)

    def _extend(self, now: int, incarnation: Incarnation, orders: AgentOrders) -> None:
        if not self._start_ms <= orders.echo_stamp <= now:
            self.counters.refused_grants += 1  # an echo of another life of this process
            return
        limit_ms = min(orders.echo_stamp + orders.hold_ms, now + self._hold_max_ms)
        incarnation.grant.extend(limit_ms, orders.hold_ms)

    def _take_answer(self, now: int, call: int, answer: Answer, effects: list[Effect]) -> None:
        incarnation, sent_ms = self._calls.pop(call)
        if incarnation.answered(now, call, sent_ms, answer):
            self._reports.news(now)
        if answer.kind is AnswerKind.FENCE and incarnation.holds.fenced < self.epoch:
            effects.append(LookForLeader())
        self._settle(now, incarnation)

    def _settle(self, now: int, incarnation: Incarnation) -> None:
        """Let a candidate that is confirmed take its place, and drop one that is not there."""
        if incarnation is not self.candidate:
            return
        if incarnation.standing is Standing.REPLACED:
            self._loose_results.extend(incarnation.book.results)
            self._drop_candidate()
        elif incarnation.standing is not Standing.UNCONFIRMED:
            if self.present is not None:
                self._retire(now, self.present)
            self.present, self.candidate = incarnation, None
            self.counters.incarnations += 1
        self._reports.news(now)

    def _retire(self, now: int, incarnation: Incarnation) -> None:
        incarnation.set_standing(now, Standing.REPLACED)
        self._loose_results.extend(incarnation.book.results)
        self._past.append(incarnation.instance)

    def _drop_candidate(self) -> None:
        assert self.candidate is not None
        self._past.append(self.candidate.instance)
        self.candidate = None

    def _known(self, instance: str) -> Incarnation | None:
        for incarnation in (self.present, self.candidate):
            if incarnation is not None and incarnation.instance == instance:
                return incarnation
        return None

    def _new_candidate(self, instance: str, address: str) -> Incarnation:
        """The last one named is the candidate; one that it displaces is named again by its next heartbeat."""
        inherited_until = None
        if self.present is None:
            longest = int(self._hold_max_ms * SLOWEST_FACTOR) + INHERITED_SLACK_MS
            inherited_until = self._start_ms + longest
        self.candidate = Incarnation(instance, self._app or address, self._rng, inherited_until)
        return self.candidate

    def _stop(self, now: int) -> None:
        self.stopping = True
        for incarnation in (self.present, self.candidate):
            if incarnation is not None:
                incarnation.book.refuse_starts(now, Outcome.BUSY)
        self._reports.news(now)

    def _call_worker(self, now: int, effects: list[Effect]) -> None:
        if self.stopping:
            return
        for incarnation in (self.present, self.candidate):
            while incarnation is not None:
                next_request = incarnation.next_request(now, self.epoch)
                if next_request is None:
                    break
                self._last_call += 1
                self._calls[self._last_call] = (incarnation, now)
                effects.append(incarnation.sent(now, self._last_call, *next_request))

    def _report(self, now: int, effects: list[Effect]) -> None:
        if self._has_results():
            self._reports.news(now)
        if now < self._reports.due_ms:
            return
        self._reports.sent(now)
        effects.append(SendReport(self._make_report(now)))

    def _has_results(self) -> bool:
        present = self.present
        return bool(self._loose_results) or (present is not None and bool(present.book.results))

    def _take_results(self) -> tuple[OrderResult, ...]:
        results = self._loose_results
        self._loose_results = []
        if self.present is not None:
            results.extend(self.present.book.results)
            self.present.book.results.clear()
        self._recent.extend(results)
        return tuple(results)

    def _make_report(self, now: int) -> AgentReport:
        results = self._take_results()
        shown = self.present
        state = shown.reported_state(now) if shown is not None else None
        if shown is None or state is None:
            lapsed = shown is not None and shown.lapsed(now)
            return AgentReport(self.machine, self.boot, now, 0, None, 0, NEVER, (), (), results,
                               now - self._start_ms, lapsed)
        answered_ms = shown.last_answer_ms if shown.last_answer_ms is not None else self._start_ms
        return AgentReport(
            machine=self.machine,
            boot=self.boot,
            stamp_ms=now,
            wall_ms=0,
            worker=state,
            fenced_epoch=shown.holds.fenced,
            listing_stamp=shown.listing.stamp_ms,
            running=shown.listing.running,
            finished=shown.listing.finished(),
            results=results,
            silent_ms=now - answered_ms,
            lapsed=shown.lapsed(now),
        )
