"""Clocks in whole milliseconds.

The steady clock never goes back and means nothing to another process. The wall clock (since 1970) may jump by
seconds in either direction: nothing that has to do with safety goes by it.
"""

from __future__ import annotations

import time
from typing import Protocol

_NS_IN_MS = 1_000_000


class Clock(Protocol):
    """What reads time for a shell; tests hand in one that they move by themselves."""

    def steady_ms(self) -> int:
        """Milliseconds of the steady clock."""

    def wall_ms(self) -> int:
        """Milliseconds since 1970."""


def steady_ms() -> int:
    """Milliseconds of the machine's steady clock."""
    return time.monotonic_ns() // _NS_IN_MS


def wall_ms() -> int:
    """Milliseconds since 1970 by the machine's time of day."""
    return time.time_ns() // _NS_IN_MS


class SystemClock:
    """The machine's clocks."""

    def steady_ms(self) -> int:
        """As `clock.steady_ms`."""
        return steady_ms()

    def wall_ms(self) -> int:
        """As `clock.wall_ms`."""
        return wall_ms()
