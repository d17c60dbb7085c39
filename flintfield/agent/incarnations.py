"""Which incarnation of the worker is there: at most one that is present, and one candidate.

A heartbeat or the dispatcher names a candidate; it takes its place only when it is confirmed, by an answer to
a call that named it or by heartbeats that go on. A late heartbeat of an incarnation that has crashed would
otherwise make the dispatcher believe that the present one is gone, and place its runs a second time.

The dispatcher takes the runs of an incarnation that is no longer reported for lost. So one that was replaced
stays the reported one until the ends that it listed are durable; its successor waits for so long.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from flintfield.agent.events import Heartbeat
from flintfield.agent.incarnation import Incarnation, Standing
from flintfield.agent.limits import AgentLimits
from flintfield.jobs.messages import OrderResult

MAX_PAST = 64  # incarnations known to be gone; late heartbeats come from the newest of them
MAX_DEREGISTERED = 64  # incarnations that deregistered before anything else was known of them


@dataclass(slots=True)
class IncarnationCounters:
    """Events that should be rare, for the log."""

    stale_heartbeats: int = 0
    incarnations: int = 0
    unconfirmed: int = 0


class Incarnations:
    """The incarnations of the worker, and the results of orders for those that are gone."""

    def __init__(self, limits: AgentLimits, start_ms: int, app: str, rng: random.Random) -> None:
        self.present: Incarnation | None = None
        self.candidate: Incarnation | None = None
        self.counters = IncarnationCounters()
        self.results: list[OrderResult] = []
        self._app = app
        self._inherited_until = start_ms + limits.longest_hold_ms
        self._limits = limits
        self._rng = rng
        self._past: deque[str] = deque(maxlen=MAX_PAST)
        self._deregistered: deque[str] = deque(maxlen=MAX_DEREGISTERED)

    def __iter__(self) -> Iterator[Incarnation]:
        """Those that calls may go to."""
        return iter([one for one in (self.present, self.candidate) if one is not None])

    def known(self, instance: str) -> Incarnation | None:
        """The present one or the candidate, if it has this id."""
        return next((one for one in self if one.instance == instance), None)

    def take_heartbeat(self, now: int, beat: Heartbeat) -> bool:
        """Take in a heartbeat; True where it tells something that the dispatcher waits for."""
        instance = beat.state.instance
        if instance in self._past:
            self.counters.stale_heartbeats += 1
            return False
        incarnation = self.known(instance) or self._new_candidate(now, instance, beat.state.address)
        news = incarnation.take_heartbeat(now, beat)
        return self.settle(now, incarnation) or (news and incarnation is self.present)

    def take_deregistration(self, now: int, instance: str) -> bool:
        """The worker has deregistered; True where that is news."""
        incarnation = self.known(instance)
        if incarnation is None:
            self._deregistered.append(instance)
            return False
        if incarnation is self.candidate and self.present is not None:
            self._drop_candidate()  # this life of the agent has started nothing there
            return False
        incarnation.deregister(now)
        return incarnation is self.present

    def addressee(self, now: int, instance: str) -> Incarnation | None:
        """Whom orders for this id are meant for; after a restart here, the dispatcher may know it first."""
        known = self.known(instance)
        if known is not None:
            return known
        if self.present is None and self.candidate is None and instance not in self._past and self._app:
            return self._new_candidate(now, instance, self._app)
        return None

    def is_gone(self, instance: str) -> bool:
        """Whether an incarnation that is not known here runs nothing any more, for certain."""
        replaced = self.present is not None and self.present.standing is not Standing.REPLACED
        return replaced or instance in self._past

    def settle(self, now: int, incarnation: Incarnation) -> bool:
        """Let a candidate that is confirmed take its place, drop one that is not there; True for a change."""
        if incarnation is not self.candidate or incarnation.standing is Standing.UNCONFIRMED:
            return False
        if incarnation.standing is Standing.REPLACED:
            self.results.extend(incarnation.book.results)
            self._drop_candidate()
            return False
        if self.present is not None:
            self.present.set_standing(now, Standing.REPLACED)
        self.succeed(now)
        return True

    def succeed(self, now: int) -> bool:
        """Let the successor of a replaced incarnation be reported once that has nothing left to report."""
        successor = self.candidate
        if successor is None or successor.standing is Standing.UNCONFIRMED:
            return False
        if self.present is not None:
            if not self.present.is_over(now):
                return False
            self.results.extend(self.present.book.results)
            self._past.append(self.present.instance)
        self.present, self.candidate = successor, None
        self.counters.incarnations += 1
        return True

    def _drop_candidate(self) -> None:
        assert self.candidate is not None
        self.counters.unconfirmed += 1
        self._past.append(self.candidate.instance)
        self.candidate = None

    def _new_candidate(self, now: int, instance: str, address: str) -> Incarnation:
        """The last one named is the candidate; one that it displaces is named again by its next heartbeat."""
        inherited_until = self._inherited_until if self.present is None else None
        self.candidate = Incarnation(instance, self._app or address, self._rng, self._limits, inherited_until)
        if instance in self._deregistered:
            self.candidate.deregister(now)
        return self.candidate
