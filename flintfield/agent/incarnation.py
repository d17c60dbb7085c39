"""One incarnation of the worker beside the agent: all that is known of it and wanted of it.

A worker that deregisters may serve on for many seconds. It takes no more starts, but it is called and
reported for as long as it may hold runs, or ends that are not acknowledged. That is over once it lists
neither, another incarnation answers in its place, or its last hold has certainly expired; no time is assumed
for it.
"""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass, replace

from flintfield.agent.clock import WorkerClock
from flintfield.agent.events import (
    Answer,
    AnswerKind,
    CallWorker,
    Heartbeat,
    Hold,
    RunStart,
    RunStop,
    WorkerRequest,
)
from flintfield.agent.holds import Flight, Grant, HoldSchedule, Purpose
from flintfield.agent.limits import AgentLimits
from flintfield.agent.listing import Listing
from flintfield.agent.orders import MIN_HOLD_LEFT_MS, Order, OrderBook
from flintfield.agent.received_heartbeats import ReceivedHeartbeats
from flintfield.agent.settling import Settling
from flintfield.jobs.messages import AgentOrders, Outcome, StartOrder, StopOrder, WorkerState


class Standing(enum.Enum):
    """Where an incarnation stands."""

    UNCONFIRMED = "unconfirmed"  # named by a heartbeat or the dispatcher, which may both be late
    PRESENT = "present"  # it has answered, or goes on sending heartbeats
    DEREGISTERED = "deregistered"  # it has said that it ends, and may serve on until then
    REPLACED = "replaced"  # another one has answered in its place: it runs nothing any more


@dataclass(frozen=True, slots=True)
class Planned:
    """A request that is due, and what it is due for."""

    cause: Order | Purpose
    request: WorkerRequest


class Incarnation:
    """A worker's incarnation: its words, clock, lists, holds and orders."""

    def __init__(
        self,
        instance: str,
        address: str,
        rng: random.Random,
        limits: AgentLimits,
        inherited_until: int | None,
    ) -> None:
        self.instance = instance
        self.address = address
        self.standing = Standing.UNCONFIRMED
        self.state: WorkerState | None = None
        self.clock = WorkerClock()
        self.grant = Grant()
        self.listing = Listing()
        self.holds = HoldSchedule(rng, self.clock, self.grant, settle_ms=limits.settle_ms)
        self.book = OrderBook()
        self.last_answer_ms: int | None = None
        self._limits = limits
        self._inherited_until = inherited_until  # until then, grants of the agent's last life may hold
        self._heartbeats = ReceivedHeartbeats(self.clock)
        self._deregistered = False
        self._settling = Settling(limits.settle_ms, inherited_until)

    def take_heartbeat(self, now: int, beat: Heartbeat) -> bool:
        """Take in a heartbeat; True where it tells something that the dispatcher waits for."""
        if not self._heartbeats.take(now, beat):
            return False
        news = self.state is None or self.state.draining != beat.state.draining
        self.state = beat.state
        if self.standing is Standing.UNCONFIRMED and self._heartbeats.confirm(now):
            self.set_standing(now, Standing.PRESENT)
        if beat.state.draining:
            self.book.refuse_starts(now, Outcome.DRAINING)
        return news

    def set_standing(self, now: int, standing: Standing) -> None:
        """The one place where the standing changes; nothing leads back from `REPLACED`."""
        if standing is Standing.PRESENT and self._deregistered:
            standing = Standing.DEREGISTERED
        if self.standing is standing or self.standing is Standing.REPLACED:
            return
        self.standing = standing
        if standing is Standing.REPLACED:
            self.book.gone(now)

    def deregister(self, now: int) -> None:
        """The worker has said that it ends: it takes no more starts."""
        self._deregistered = True
        self.book.refuse_starts(now, Outcome.DRAINING)
        if self.standing is Standing.PRESENT:
            self.set_standing(now, Standing.DEREGISTERED)

    def new_epoch(self) -> None:
        """Another dispatcher acts."""
        self.book.new_epoch()
        self.holds.new_fence()

    def take_orders(self, now: int, orders: AgentOrders, refusal: Outcome | None) -> None:
        """Take in orders of the present epoch; with a `refusal`, starts are not taken now."""
        if self.listing.forget(orders.last_seen):
            self.holds.acknowledged()
        for stop in orders.stops:
            self.book.take_stop(now, stop)
        self.holds.be_patient(orders.patience_ms)
        if orders.starts:
            self.holds.room_is_wanted()
        in_doubt = self._settling.may_repeat(orders.echo_stamp, self._limits.longest_hold_ms)
        for start in orders.starts:
            self.book.take_start(now, start, refusal or self.refusal(now), in_doubt)
        if self.standing is Standing.REPLACED:
            self.book.gone(now)

    def refusal(self, now: int) -> Outcome | None:
        """Why no start may be sent at this moment, if so."""
        if self.standing is Standing.REPLACED:
            return Outcome.GONE
        if self._deregistered:
            return Outcome.DRAINING
        if self.state is None or not self._heartbeats.are_timely:
            return Outcome.BUSY
        if self.state.draining:
            return Outcome.DRAINING
        if self.grant.limit_ms - now < MIN_HOLD_LEFT_MS:
            return Outcome.LATE
        if self.clock.expiry(self.grant.limit_ms) is None:
            return Outcome.BUSY
        return None

    def next_request(self, now: int, fence: int) -> Planned | None:
        """What is to be sent to the worker now, if anything."""
        if not self._answers(now):
            return None
        if self.standing is Standing.UNCONFIRMED:
            hold = self.holds.probe(now, fence)
            return Planned(Purpose.PROBE, hold) if hold is not None else None
        order = self.book.due(now, lambda: self.refusal(now)) if fence else None
        if order is not None:
            return Planned(order, self._request(order, fence))
        due = self.holds.due(now, fence, self.listing)
        return Planned(*due) if due is not None else None

    def last_hold(self, now: int, fence: int) -> Planned | None:
        """Before this process ends: hold the worker for as long as is granted."""
        expires_ms = self.holds.expiry(now)
        if expires_ms is None or not self._answers(now):
            return None
        return Planned(Purpose.PROMPT, Hold(fence, self.listing.last_seen, expires_ms, 0))

    @property
    def calls_to_finish(self) -> int:
        """How many calls are under way other than those that wait for an end."""
        return self.book.calling + self.holds.prompt_calls

    def awaits_acknowledgement(self, now: int) -> bool:
        """Whether the next long call waits until the dispatcher says that ends are durable."""
        return self.holds.awaits_acknowledgement(now, self.listing)

    def sent(self, now: int, call: int, planned: Planned) -> CallWorker:
        """The request leaves under this call number."""
        cause, request = planned.cause, planned.request
        if isinstance(cause, Order):
            self._settling.order_sent(call)
            timeout_ms = self.book.sent(now, cause, call)
            if isinstance(request, RunStart):
                self.clock.note_sent(request.expires_ms)
        else:
            assert isinstance(request, Hold)
            timeout_ms = self.holds.sent(now, call, cause, request)
        return CallWorker(call, self.instance, self.address, timeout_ms, request)

    def answered(self, now: int, call: int, sent_ms: int, answer: Answer) -> bool:
        """A call has ended; True where that is something that the dispatcher waits for."""
        if answer.clock_ms is not None and answer.kind is not AnswerKind.OTHER_INSTANCE:
            self.clock.read(answer.clock_ms, now, sent_ms)
        if answer.kind is AnswerKind.OTHER_INSTANCE:
            self.set_standing(now, Standing.REPLACED)
        elif answer.kind not in (AnswerKind.NONE, AnswerKind.NOT_SENT, AnswerKind.UNHEALTHY):
            self.last_answer_ms = now
        flight = self.holds.flights.get(call)
        if flight is not None:
            return self._hold_answered(now, call, flight, answer)
        self._settling.order_answered(now, call, answer, self.clock.over_at())
        order = self.book.answered(now, call, answer)
        in_question = order is not None and answer.kind is AnswerKind.OK and self._is_in_question(order)
        if in_question or self.standing is Standing.DEREGISTERED:
            self.holds.want_listing(now)
        return False  # the book tells by itself what became of its orders

    def lapsed(self, now: int) -> bool:
        """Whether everything held there is over for certain, and no answer has come since."""
        if self.standing is Standing.REPLACED:
            return True
        bounds = [bound for bound in (self._inherited_until, self.clock.over_at()) if bound is not None]
        if not bounds:
            return False
        over_at = max(bounds)
        return now > over_at and (self.last_answer_ms is None or self.last_answer_ms < over_at)

    def is_over(self, now: int) -> bool:
        """Whether nothing runs there for certain, and every end that it listed is durable.

        Never true for a worker that is present: it may be given further runs.
        """
        if self.listing.has_ends:
            return False
        if self.standing is not Standing.DEREGISTERED:
            return self.standing is Standing.REPLACED
        return self.lapsed(now) or self._settling.shows_no_run(now, self.listing, self.book)

    @property
    def tells_results(self) -> bool:
        """Whether results of orders may be reported: one that it is gone must not overtake its ends."""
        return self.standing is not Standing.REPLACED or not self.listing.has_ends

    @property
    def leaves(self) -> bool:
        """Whether it has deregistered or was replaced."""
        return self._deregistered or self.standing is Standing.REPLACED

    @property
    def reported_state(self) -> WorkerState | None:
        """The worker as the dispatcher should see it; one that leaves takes no starts.

        None before its first heartbeat to this life of the agent.
        """
        if self.state is None or not self.leaves:
            return self.state
        return replace(self.state, draining=True)

    def wake_at(self, now: int, fence: int) -> int | None:
        """When something may be due here, other than by an event."""
        if not self._answers(now):
            return None
        probing = self.standing is Standing.UNCONFIRMED
        times = [self.holds.wake_at(now, fence, probing)]
        if not probing:
            times.append(self.book.wake_at(now))
        return min((time for time in times if time is not None), default=None)

    def _hold_answered(self, now: int, call: int, flight: Flight, answer: Answer) -> bool:
        news = False
        incomplete = self.listing.incomplete
        if answer.kind is AnswerKind.OK:
            self._settling.hold_answered(flight.hold.last_seen)
            news = self._take_lists(flight.sent_ms, answer)
        fenced = self.holds.fenced
        self.holds.answered(now, call, answer, news)
        if self.listing.incomplete > incomplete:
            self.holds.want_listing(now)
        if self.standing is Standing.REPLACED:
            return True
        if self.standing is Standing.UNCONFIRMED and answer.kind in (AnswerKind.OK, AnswerKind.FENCE):
            self.set_standing(now, Standing.PRESENT)
            self.holds.new_fence()
            return True
        return news or self.holds.fenced != fenced

    def _take_lists(self, sent_ms: int, answer: Answer) -> bool:
        return self.listing.take(sent_ms, answer.running, answer.finished, answer.too_many_runs)

    def _answers(self, now: int) -> bool:
        """Whether calls to it make sense."""
        if self.standing is Standing.UNCONFIRMED and self._deregistered:
            return now <= (self._inherited_until or 0)  # then it runs nothing, be it there or not
        if self.standing is not Standing.DEREGISTERED:
            return self.standing is not Standing.REPLACED
        shows_no_run = self._settling.shows_no_run(now, self.listing, self.book)
        return not self.lapsed(now) and not (shows_no_run and self._settling.has_been_told(self.listing))

    def _is_in_question(self, order: Order) -> bool:
        """Whether only a later listing tells what the order did: a stop of a run that is not listed."""
        wanted = order.wanted
        return isinstance(wanted, StopOrder) and not self.listing.shows(wanted.task, wanted.run)

    def _request(self, order: Order, fence: int) -> RunStart | RunStop:
        wanted = order.wanted
        if isinstance(wanted, StartOrder):
            expires_ms = self.clock.expiry(self.grant.limit_ms)
            assert expires_ms is not None, "refusal() holds back starts without a clock"
            return RunStart(wanted.task, wanted.run, wanted.spec, wanted.checkpoint, expires_ms, fence)
        return RunStop(wanted.task, wanted.run, fence)
