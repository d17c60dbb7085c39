"""When to call `/-/hold`, and with what.

One long call is kept under way: the worker answers it as soon as something has ended. A call that does not
wait is made at once under a new fence, and where the hold would otherwise run out although a later limit is
granted. Each call is priced as a look at the worker, so calls that bring nothing new are spaced, and after an
end the next long call waits a little, so that one answer brings the ends of one moment.
"""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass, field

from flintfield.agent.clock import WorkerClock
from flintfield.agent.events import Answer, AnswerKind, Hold
from flintfield.agent.listing import Listing

LONGEST_WAIT_MS = 2_000  # the protocol's own bound
SHORTEST_WAIT_MS = 100
ANSWER_TIMEOUT_MS = 1_000  # beyond the time the worker was asked to wait
ACK_PATIENCE_MS = 500  # ends are durable within tens of ms; until then the worker would repeat them at once
GATHER_MS = 300  # after an end: more ends in this time are late by half of it and cost no call of their own
BUSY_GATHER_MS = 30  # where starts follow an end at once: tasks wait for the room that an end makes
IDLE_GAP_MS = 500  # after an answer that came early and brought nothing new
FIRST_BACKOFF_MS = 250
LONGEST_BACKOFF_MS = 1_000
LONGEST_MARGIN_MS = 1_500
MAX_UNDER_WAY = 5  # a long and a prompt call of this epoch, and long ones of the last three
SPACING_MS = 250  # between two listings that are wanted for themselves
MAX_WANTED = 8


class Purpose(enum.Enum):
    """Why a call was made."""

    PROBE = "probe"  # is this incarnation there?
    PROMPT = "prompt"  # under a new fence, after silence, or to extend the hold now
    LONG = "long"  # waits for an end


@dataclass(frozen=True, slots=True)
class Flight:
    """A call under way."""

    purpose: Purpose
    sent_ms: int
    hold: Hold


@dataclass(slots=True)
class Grant:
    """What the dispatcher allows: hold until `limit_ms`; `length_ms` is the length of the newest grant."""

    limit_ms: int = 0
    length_ms: int = 0

    def extend(self, limit_ms: int, length_ms: int) -> None:
        """A later limit counts; an earlier one is an answer that was overtaken."""
        if limit_ms > self.limit_ms:
            self.limit_ms = limit_ms
            self.length_ms = length_ms

    @property
    def wait_ms(self) -> int:
        """How long a long call may wait, so that a renewal may fail before the hold is extended beside it."""
        if not self.length_ms:
            return LONGEST_WAIT_MS
        return max(SHORTEST_WAIT_MS, min(LONGEST_WAIT_MS, self.length_ms * 2 // 5))

    @property
    def margin_ms(self) -> int:
        """How long before its end a hold is extended at once."""
        return min(LONGEST_MARGIN_MS, self.length_ms // 3)


@dataclass(slots=True)
class HoldSchedule:
    """The hold calls of one incarnation."""

    rng: random.Random
    clock: WorkerClock
    grant: Grant
    flights: dict[int, Flight] = field(default_factory=dict)
    fenced: int = 0  # the highest epoch under which the worker has listed
    patience_ms: int = GATHER_MS  # how late the dispatcher may learn of an end, as it told last
    not_before: int = 0
    acked_by: int = 0  # until then, ends that were reported may still be acknowledged
    gather_from: int = 0  # when the last answer came that brought ends
    gather_until: int = 0  # until then, the worker gathers ends and no long call is made
    failures: int = 0
    settle_ms: int = 0  # how long after an answer a listing has to be asked for to show its whole effect
    wanted: list[int] = field(default_factory=list)  # a listing asked for at each of these times, or later

    def new_fence(self) -> None:
        """A higher epoch: what was put off under the last one is due now."""
        self.not_before = 0
        self.acked_by = 0
        self.gather_until = 0

    def be_patient(self, patience_ms: int) -> None:
        """The dispatcher tells how late it may learn of an end (0: a release that does not tell it)."""
        self.patience_ms = patience_ms or GATHER_MS
        self.gather_until = min(self.gather_until, self.gather_from + self.patience_ms)

    def room_is_wanted(self) -> None:
        """A start has been ordered: while ends are gathered, that shows that tasks wait for room."""
        self.gather_until = min(self.gather_until, self.gather_from + BUSY_GATHER_MS)

    def acknowledged(self) -> None:
        """Ends are durable: the worker repeats them no more, so that a long call waits again."""
        if not self.failures:
            self.not_before = 0

    def awaits_acknowledgement(self, now: int, listing: Listing) -> bool:
        """Whether the next long call waits until ends are durable."""
        return listing.has_ends and now < self.acked_by

    def want_listing(self, now: int) -> None:
        """The dispatcher waits for a listing that shows the whole effect of what was answered now."""
        at = now + self.settle_ms
        if len(self.wanted) >= MAX_WANTED or (len(self.wanted) > 1 and at - self.wanted[-2] < SPACING_MS):
            self.wanted[-1] = at  # the one before stays, so that the next is not put off for ever
        else:
            self.wanted.append(at)

    @property
    def prompt_calls(self) -> int:
        """How many calls are under way that don't wait for an end."""
        return sum(1 for flight in self.flights.values() if flight.purpose is not Purpose.LONG)

    def probe(self, now: int, fence: int) -> Hold | None:
        """The call that finds out whether the incarnation is there."""
        if self.flights or now < self.not_before:
            return None
        return Hold(fence, 0, None, 0)

    def due(self, now: int, fence: int, listing: Listing) -> tuple[Purpose, Hold] | None:
        """The call to be made now, if any."""
        if not fence or now < self.not_before or len(self.flights) >= MAX_UNDER_WAY:
            return None
        ours = [flight for flight in self.flights.values() if flight.hold.fence == fence]
        prompt = bool(self.wanted) and self.wanted[0] <= now
        if ours:
            prompt = prompt or self._runs_out(now)
            if not prompt or len(ours) > 1 or ours[0].purpose is not Purpose.LONG:
                return None
        elif self.fenced < fence or self.failures:
            prompt = True
        elif not prompt and (now < self.gather_until or self.awaits_acknowledgement(now, listing)):
            return None
        purpose, wait_ms = (Purpose.PROMPT, 0) if prompt else (Purpose.LONG, self.grant.wait_ms)
        return purpose, Hold(fence, listing.last_seen, self.expiry(now), wait_ms)

    def expiry(self, now: int) -> int | None:
        """The expiry to send now; None where the grant is over or extends nothing."""
        expires = self.clock.expiry(self.grant.limit_ms) if now < self.grant.limit_ms else None
        latest = self.clock.latest_expiry
        if expires is None or (latest is not None and expires < latest):
            return None
        return expires

    def sent(self, now: int, call: int, purpose: Purpose, hold: Hold) -> int:
        """The call leaves; returns its time-out in ms."""
        self.flights[call] = Flight(purpose, now, hold)
        if hold.expires_ms is not None:
            self.clock.note_sent(hold.expires_ms)
        return hold.wait_ms + ANSWER_TIMEOUT_MS

    def answered(self, now: int, call: int, answer: Answer, news: bool) -> None:
        """A call has ended; `news` tells whether its answer changed the listing."""
        flight = self.flights.pop(call)
        if answer.kind is AnswerKind.OK:
            self.failures = 0
            self.wanted = [at for at in self.wanted if at > flight.sent_ms]
            if flight.hold.fence > self.fenced:
                self.fenced = flight.hold.fence
                self.want_listing(now)  # for runs whose orders the last dispatcher may not have sent
            early = flight.purpose is Purpose.LONG and now - flight.sent_ms < flight.hold.wait_ms * 9 // 10
            if news:
                self.acked_by = now + ACK_PATIENCE_MS
                if flight.purpose is Purpose.LONG:
                    self.gather_from = now
                    self.gather_until = now + self._jittered(self.patience_ms)
            elif early:
                self.not_before = now + self._jittered(IDLE_GAP_MS)
            return
        self.failures += 1
        backoff = min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS << min(self.failures - 1, 4))
        self.not_before = now + self._jittered(backoff)

    def wake_at(self, now: int, fence: int, probing: bool) -> int | None:
        """When `due` or `probe` may next have a call, other than by an event."""
        if self.not_before > now:
            return self.not_before
        if probing or not fence:
            return None
        times = [time for time in (self.acked_by, self.gather_until, *self.wanted) if time > now]
        end = self.clock.may_end_at()
        if end is not None and end - self.grant.margin_ms > now:
            times.append(end - self.grant.margin_ms)
        return min(times, default=None)

    def _runs_out(self, now: int) -> bool:
        """Whether the hold may end soon although a later limit is granted."""
        end = self.clock.may_end_at()
        latest = self.clock.latest_expiry
        if end is None or latest is None or now < end - self.grant.margin_ms:
            return False
        expires = self.expiry(now)
        return expires is not None and expires - latest >= SHORTEST_WAIT_MS

    def _jittered(self, length_ms: int) -> int:
        return int(length_ms * self.rng.uniform(0.8, 1.2))
