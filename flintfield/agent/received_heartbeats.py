"""What the heartbeats of one incarnation tell: whether it is there, and whether they come in time."""

from __future__ import annotations

from flintfield.agent.clock import WorkerClock
from flintfield.agent.events import Heartbeat

CONFIRMING_BEATS_MS = 300  # two heartbeats this far apart confirm an incarnation that does not answer
LATE_BEAT_MS = 500  # a later heartbeat comes no sooner, except at the beginning of draining


class ReceivedHeartbeats:
    """The heartbeats so far."""

    def __init__(self, clock: WorkerClock) -> None:
        self._clock = clock
        self._seq = -1
        self._count = 0
        self._offset: float | None = None  # of the clock that the newest one told
        self._first_ms: int | None = None

    def take(self, now: int, beat: Heartbeat) -> bool:
        """Take in a heartbeat; False for one that a later one has overtaken."""
        if beat.seq <= self._seq:
            return False
        self._seq = beat.seq
        self._count += 1
        if beat.clock_ms is not None:
            self._clock.read(beat.clock_ms, now, None)
            self._offset = self._clock.offset_of(beat.clock_ms, now)
        if self._first_ms is None:
            self._first_ms = now
        return True

    def confirm(self, now: int) -> bool:
        """Whether they go on for so long that the incarnation is there, though it may not answer."""
        return self._first_ms is not None and now - self._first_ms >= CONFIRMING_BEATS_MS

    @property
    def are_timely(self) -> bool:
        """False after a single heartbeat that came late: the last life of the agent may have seen a later one
        that told of draining."""
        if self._count != 1 or self._offset is None:
            return self._count > 0
        return self._clock.behind(self._offset) <= LATE_BEAT_MS
