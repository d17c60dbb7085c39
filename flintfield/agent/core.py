"""The agent as a state machine: events in, effects out, without I/O, clock or global random numbers.

The highest epoch that was ever seen is the fence of all calls; what an earlier dispatcher ordered is dropped
when a later one appears. Everything that is sent is decided by the time at hand: after a freeze, deadlines
that have passed hold back what was due before.
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
from flintfield.agent.incarnation import Incarnation, Planned
from flintfield.agent.incarnations import Incarnations
from flintfield.agent.limits import AgentLimits
from flintfield.agent.listing import NEVER
from flintfield.agent.reports import ReportedListing, ReportSchedule, make_report
from flintfield.jobs.messages import AgentOrders, AgentReport, OrderResult, Outcome

RESENT_RESULTS = 256  # results that a new connection is told again


@dataclass(slots=True)
class Counters:
    """Events that should be rare, for the log."""

    stale_orders: int = 0  # of a lower epoch
    refused_grants: int = 0  # an echo of another life of this process
    foreign_orders: int = 0  # for an incarnation of which nothing is known


class Agent:
    """The whole state of the node agent."""

    def __init__(
        self, machine: str, boot: int, start_ms: int, limits: AgentLimits, app: str, rng: random.Random
    ) -> None:
        self.machine = machine
        self.boot = boot
        self.epoch = 0
        self.incarnations = Incarnations(limits, start_ms, app, rng)
        self.counters = Counters()
        self.stopping = False
        self._start_ms = start_ms
        self._limits = limits
        self._calls: dict[int, tuple[Incarnation, int]] = {}  # with the time at which each was sent
        self._last_call = 0
        self._reports = ReportSchedule(rng)
        self._reported_listing = ReportedListing()
        self._recent: deque[OrderResult] = deque(maxlen=RESENT_RESULTS)

    @property
    def present(self) -> Incarnation | None:
        """The incarnation that is reported."""
        return self.incarnations.present

    def step(self, now: int, event: Event) -> list[Effect]:
        """Take in an event at this time; returns what is to be done now."""
        effects: list[Effect] = []
        match event:
            case Heartbeat():
                self._news_if(now, self.incarnations.take_heartbeat(now, event))
            case Deregistered():
                self._news_if(now, self.incarnations.take_deregistration(now, event.instance))
            case OrdersArrived():
                self._take_orders(now, event.orders)
            case WorkerAnswered():
                self._take_answer(now, event.call, event.answer, effects)
            case LinkOpened():
                self.incarnations.results[:0] = self._recent
                self._recent.clear()
                self._reported_listing.forget()
                self._reports.news(now)
            case Stopping():
                self._stop(now, effects)
            case Tick():
                pass
        self._call_worker(now, effects)
        self._report(now, effects)
        return effects

    def wake_at(self, now: int) -> int:
        """When to step with a `Tick`, unless an event comes before."""
        times = [incarnation.wake_at(now, self.epoch) for incarnation in self.incarnations]
        return min([self._reports.due_ms, *(time for time in times if time is not None)])

    def final_report(self, now: int) -> SendReport:
        """The last report of this life, due or not."""
        return SendReport(self._make_report(now))

    @property
    def calls_to_finish(self) -> int:
        """How many calls are under way whose answer matters before the process ends."""
        return sum(incarnation.calls_to_finish for incarnation in self.incarnations)

    def _take_orders(self, now: int, orders: AgentOrders) -> None:
        if orders.epoch < self.epoch:
            self.counters.stale_orders += 1
            return
        if orders.epoch > self.epoch:
            self._raise_epoch(orders.epoch)
        if not orders.instance:
            return
        incarnation = self.incarnations.addressee(now, orders.instance)
        if incarnation is None:
            self._answer_for_absent(now, orders)
            return
        self._extend(now, incarnation, orders)
        incarnation.take_orders(now, orders, Outcome.BUSY if self.stopping else None)
        self._news_if(now, self.incarnations.succeed(now))

    def _raise_epoch(self, epoch: int) -> None:
        self.epoch = epoch
        self._reported_listing.forget()
        self.incarnations.results.clear()
        self._recent.clear()
        for incarnation in self.incarnations:
            incarnation.new_epoch()

    def _answer_for_absent(self, now: int, orders: AgentOrders) -> None:
        """Orders for an incarnation that is not here: it is gone if another one has taken its place."""
        if not self.incarnations.is_gone(orders.instance):
            self.counters.foreign_orders += 1
            return
        numbers = [start.order for start in orders.starts] + [stop.order for stop in orders.stops]
        self.incarnations.results.extend(OrderResult(number, Outcome.GONE, now + 1) for number in numbers)

    def _extend(self, now: int, incarnation: Incarnation, orders: AgentOrders) -> None:
        if not self._start_ms <= orders.echo_stamp <= now:
            self.counters.refused_grants += 1
            return
        limit_ms = min(orders.echo_stamp + orders.hold_ms, now + self._limits.hold_max_ms)
        incarnation.grant.extend(limit_ms, orders.hold_ms)

    def _take_answer(self, now: int, call: int, answer: Answer, effects: list[Effect]) -> None:
        incarnation, sent_ms = self._calls.pop(call)
        news = incarnation.answered(now, call, sent_ms, answer) and incarnation is self.present
        if answer.kind is AnswerKind.FENCE and incarnation.holds.fenced < self.epoch:
            effects.append(LookForLeader())
        self._news_if(now, self.incarnations.settle(now, incarnation) or news)

    def _stop(self, now: int, effects: list[Effect]) -> None:
        self.stopping = True
        for incarnation in self.incarnations:
            incarnation.book.refuse_starts(now, Outcome.BUSY)
        if self.present is not None and self.epoch:
            self._send(now, self.present, self.present.last_hold(now, self.epoch), effects)
        self._reports.news(now)

    def _call_worker(self, now: int, effects: list[Effect]) -> None:
        if self.stopping:
            return
        for incarnation in self.incarnations:
            while self._send(now, incarnation, incarnation.next_request(now, self.epoch), effects):
                pass

    def _send(
        self, now: int, incarnation: Incarnation, planned: Planned | None, effects: list[Effect]
    ) -> bool:
        if planned is None:
            return False
        self._last_call += 1
        self._calls[self._last_call] = (incarnation, now)
        effects.append(incarnation.sent(now, self._last_call, planned))
        return True

    def _news_if(self, now: int, news: bool) -> None:
        if news:
            self._reports.news(now)

    def _report(self, now: int, effects: list[Effect]) -> None:
        present = self.present
        book = present.book if present is not None and present.tells_results else None
        if self.incarnations.results or (book is not None and book.has_urgent_results):
            self._reports.news(now)
        elif book is not None and book.results:
            self._reports.leisurely_news(now)
        if now < self._reports.due_ms:
            return
        self._reports.sent(now)
        if present is not None and present.awaits_acknowledgement(now):
            self._reports.ask_soon(now)
        effects.append(SendReport(self._make_report(now)))

    def _make_report(self, now: int) -> AgentReport:
        results = tuple(self.incarnations.results)
        self.incarnations.results.clear()
        if self.present is not None and self.present.tells_results:
            results += self.present.book.take_results()
        self._recent.extend(results)
        with_listing = self.present is not None and self._reported_listing.is_due(now, self.present)
        report = make_report(
            now, self.machine, self.boot, self._start_ms, self.present, results, with_listing
        )
        if self.present is not None and report.listing_stamp != NEVER:
            self._reported_listing.reported(now, self.present)
        return report
