"""Bounds on a worker's steady clock, whose zero is unknown and which may run slow.

A reading W that was received at our time r was taken no later than r, so at r the worker's clock shows W or
more; from then on it advances by at least `SLOWEST_RATE` for each of our milliseconds. All bounds follow from
the greatest W - SLOWEST_RATE * r seen (`_offset`). Readings of a call sent at s were taken no earlier than s,
and the clock runs no faster than ours, which bounds it from above (`_ceiling`). See Gray and Cheriton,
"Leases" (1989).
"""

from __future__ import annotations

import math

SLOWEST_RATE = 0.98  # the pages: a worker's steady clock may be 2 % slow


class WorkerClock:
    """What is known of one incarnation's clock, and the latest expiry that was ever sent to it."""

    def __init__(self) -> None:
        self._offset: float | None = None
        self._ceiling: int | None = None
        self._latest_expiry: int | None = None

    def read(self, clock_ms: int, received_ms: int, sent_ms: int | None) -> None:
        """Take in a reading; `sent_ms` is when the call left that brought it (None for a heartbeat)."""
        offset = self.offset_of(clock_ms, received_ms)
        if self._offset is None or offset > self._offset:
            self._offset = offset
        if sent_ms is not None:
            ceiling = clock_ms - sent_ms
            self._ceiling = ceiling if self._ceiling is None else min(self._ceiling, ceiling)

    @staticmethod
    def offset_of(clock_ms: int, received_ms: int) -> float:
        """The bound that one reading gives."""
        return clock_ms - SLOWEST_RATE * received_ms

    def behind(self, offset: float) -> float:
        """How many ms a reading with this bound was late at least, by the best reading known."""
        return 0.0 if self._offset is None else self._offset - offset

    def expiry(self, limit_ms: int) -> int | None:
        """The latest time on the worker's clock that comes no later than our `limit_ms`; None if unknown."""
        if self._offset is None:
            return None
        return math.floor(self._offset + SLOWEST_RATE * limit_ms)

    def note_sent(self, expires_ms: int) -> None:
        """A call with this expiry leaves; the worker keeps the latest."""
        if self._latest_expiry is None or expires_ms > self._latest_expiry:
            self._latest_expiry = expires_ms

    @property
    def latest_expiry(self) -> int | None:
        """The latest expiry ever sent, on the worker's clock."""
        return self._latest_expiry

    def over_at(self) -> float | None:
        """Our time at which everything held there is over for certain; None if nothing was ever sent."""
        if self._latest_expiry is None or self._offset is None:
            return None
        return (self._latest_expiry - self._offset) / SLOWEST_RATE

    def may_end_at(self) -> int | None:
        """Our earliest time at which the hold may end; None if nothing was sent or nothing bounds it."""
        if self._latest_expiry is None or self._ceiling is None:
            return None
        return self._latest_expiry - self._ceiling
