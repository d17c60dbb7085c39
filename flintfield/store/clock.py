"""The store's clock: it goes on when wall time jumps back, and over restarts.

A time to live is counted on it, so that what was once reported as expired never comes back. It is wall time
as long as that only rises; when wall time jumps back it goes on at the monotonic clock's pace until wall
time is past it again. What jumps forward by mistake makes entries expire early: no clock can tell such a
jump from a long sleep.
"""

from __future__ import annotations

import threading
import time
from typing import Protocol


class Clock(Protocol):
    """Where times come from, in ms."""

    def wall(self) -> int:
        """Time of day since 1970. May jump either way."""

    def monotonic(self) -> int:
        """Goes forward at a steady pace; its zero means nothing."""


class SystemClock:
    """The computer's."""

    def wall(self) -> int:
        """See `Clock`."""
        return time.time_ns() // 1_000_000

    def monotonic(self) -> int:
        """See `Clock`."""
        return time.monotonic_ns() // 1_000_000


class StoreClock:
    """Never goes back. `start` is the highest time that the store remembers, in ms."""

    def __init__(self, clock: Clock, start: int) -> None:
        self._clock, self._time, self._seen = clock, start, clock.monotonic()
        self._lock = threading.Lock()  # guards against a reader that puts back what a later one had reached

    def now(self) -> int:
        """The store's time, in ms."""
        with self._lock:
            seen = self._clock.monotonic()
            self._time = max(self._clock.wall(), self._time + seen - self._seen)
            self._seen = seen
            return self._time
