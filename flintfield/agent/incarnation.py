"""One incarnation of the worker beside the agent: all that is known of it and wanted of it."""

from __future__ import annotations

import enum
import random
from dataclasses import replace

from flintfield.agent.clock import WorkerClock
from flintfield.agent.events import (
    Answer,
    AnswerKind,
    CallWorker,
    Heartbeat,
    RunStart,
    RunStop,
    WorkerRequest,
)
from flintfield.agent.holds import Flight, Grant, HoldSchedule, Purpose
from flintfield.agent.listing import Listing
from flintfield.agent.orders import MIN_HOLD_LEFT_MS, Order, OrderBook
from flintfield.jobs.messages import Outcome, StartOrder, WorkerState

CONFIRMING_BEATS_MS = 300  # two heartbeats this far apart confirm an incarnation that does not answer
FAREWELL_MS = 2_000  # how long a deregistered worker is still reported if its last ends are not acknowledged


class Standing(enum.Enum):
    """Where an incarnation stands."""

    UNCONFIRMED = "unconfirmed"  # named by a heartbeat or the dispatcher, which may both be late
    PRESENT = "present"  # it has answered, or goes on sending heartbeats
    DEREGISTERED = "deregistered"  # it has said that it ends
    REPLACED = "replaced"  # another one has answered in its place: it runs nothing any more


class Incarnation:
    """A worker's incarnation: its words, clock, lists, holds and orders."""

    def __init__(self, instance: str, address: str, rng: random.Random, inherited_until: int | None) -> None:
        self.instance = instance
        self.address = address
        self.standing = Standing.UNCONFIRMED
        self.state: WorkerState | None = None
        self.clock = WorkerClock()
        self.grant = Grant()
        self.listing = Listing()
        self.holds = HoldSchedule(rng, self.clock, self.grant)
        self.book = OrderBook()
        self.last_answer_ms: int | None = None
        self._inherited_until = inherited_until  # until then, grants of the agent's last life may hold
        self._seq = -1
        self._first_beat_ms: int | None = None
        self._left_ms = 0

    def take_heartbeat(self, now: int, beat: Heartbeat) -> bool:
        """Take in a heartbeat; True where it tells something that the dispatcher waits for."""
        if beat.seq <= self._seq:
            return False
        self._seq = beat.seq
        if beat.clock_ms is not None:
            self.clock.read(beat.clock_ms, now, None)
        news = self.state is None or self.state.draining != beat.state.draining
        self.state = beat.state
        if self._first_beat_ms is None:
            self._first_beat_ms = now
        elif self.standing is Standing.UNCONFIRMED and now - self._first_beat_ms >= CONFIRMING_BEATS_MS:
            self.set_standing(now, Standing.PRESENT)
        if beat.state.draining:
            self.book.refuse_starts(now, Outcome.DRAINING)
        return news

    def set_standing(self, now: int, standing: Standing) -> None:
        """The one place where the standing changes; nothing leads back from `REPLACED`."""
        if self.standing is standing or self.standing is Standing.REPLACED:
            return
        self.standing = standing
        if standing is Standing.REPLACED:
            self.book.gone(now)
        elif standing is Standing.DEREGISTERED:
            self._left_ms = now
            self.book.refuse_starts(now, Outcome.DRAINING)

    def refusal(self, now: int) -> Outcome | None:
        """Why no start may be sent at this moment, if so."""
        if self.standing is Standing.REPLACED:
            return Outcome.GONE
        if self.state is None:
            return Outcome.BUSY
        if self.state.draining or self.standing is Standing.DEREGISTERED:
            return Outcome.DRAINING
        if self.grant.limit_ms - now < MIN_HOLD_LEFT_MS:
            return Outcome.LATE
        if self.clock.expiry(self.grant.limit_ms) is None:
            return Outcome.BUSY
        return None

    def next_request(self, now: int, fence: int) -> tuple[Order | Purpose, WorkerRequest] | None:
        """What is to be sent to the worker now, if anything."""
        if self.standing is Standing.REPLACED:
            return None
        if self.standing is Standing.UNCONFIRMED:
            return self.holds.probe(now, fence)
        order = self.book.due(now, lambda: self.refusal(now)) if fence else None
        if order is not None:
            return order, self._request(order, fence)
        return self.holds.due(now, fence, self.listing.last_seen, self.listing.has_ends)

    def sent(self, now: int, call: int, cause: Order | Purpose, request: WorkerRequest) -> CallWorker:
        """The request leaves under this call number."""
        if isinstance(cause, Order):
            timeout_ms = self.book.sent(now, cause, call)
            if isinstance(request, RunStart):
                self.clock.note_sent(request.expires_ms)
        else:
            assert not isinstance(request, RunStart | RunStop)
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
        if flight is None:
            self.book.answered(now, call, answer)
            return bool(self.book.results) or self.standing is Standing.REPLACED
        return self._hold_answered(now, call, flight, answer)

    def lapsed(self, now: int) -> bool:
        """Whether everything held there is over for certain, and no answer has come since."""
        if self.standing is Standing.REPLACED:
            return True
        bounds = [bound for bound in (self._inherited_until, self.clock.over_at()) if bound is not None]
        if not bounds:
            return False
        over_at = max(bounds)
        return now > over_at and (self.last_answer_ms is None or self.last_answer_ms < over_at)

    def reported_state(self, now: int) -> WorkerState | None:
        """The worker as the dispatcher should see it; one that is replaced or leaving takes no starts."""
        if self.state is None or self.standing is Standing.UNCONFIRMED:
            return None
        if self.standing is Standing.PRESENT:
            return self.state
        said_all = not self.listing.has_ends and not self.listing.running
        if self.standing is Standing.DEREGISTERED and (said_all or now - self._left_ms > FAREWELL_MS):
            return None
        return replace(self.state, draining=True)

    def wake_at(self, now: int, fence: int) -> int | None:
        """When something may be due here, other than by an event."""
        if self.standing is Standing.REPLACED:
            return None
        probing = self.standing is Standing.UNCONFIRMED
        times = [self.holds.wake_at(now, fence, probing), None if probing else self.book.wake_at(now)]
        return min((time for time in times if time is not None), default=None)

    def _hold_answered(self, now: int, call: int, flight: Flight, answer: Answer) -> bool:
        news = False
        if answer.kind is AnswerKind.OK and (flight.hold.fence or flight.purpose is not Purpose.PROBE):
            news = self.listing.take(flight.sent_ms, answer.running, answer.finished)
        fenced = self.holds.fenced
        self.holds.answered(now, call, answer, news)
        if self.standing is Standing.REPLACED:
            return True
        if self.standing is Standing.UNCONFIRMED and answer.kind in (AnswerKind.OK, AnswerKind.FENCE):
            self.set_standing(now, Standing.PRESENT)
            self.holds.new_fence()
            return True
        return news or self.holds.fenced != fenced

    def _request(self, order: Order, fence: int) -> RunStart | RunStop:
        wanted = order.wanted
        if isinstance(wanted, StartOrder):
            expires_ms = self.clock.expiry(self.grant.limit_ms)
            assert expires_ms is not None, "refusal() holds back starts without a clock"
            return RunStart(wanted.task, wanted.run, wanted.spec, wanted.checkpoint, expires_ms, fence)
        return RunStop(wanted.task, wanted.run, fence)
