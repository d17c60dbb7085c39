"""When the agent reports: at once (gathered for a few ms) on news, else in a jittered period."""

from __future__ import annotations

import random

PERIOD_MS = 500  # half of the dispatcher's shortest patience with an agent
GATHER_MS = 4  # ends and answers of one moment go out together


class ReportSchedule:
    """The time of the next report."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._due_ms = 0
        self._urgent = False

    @property
    def due_ms(self) -> int:
        """When the next report is due."""
        return self._due_ms

    def news(self, now: int) -> None:
        """Something changed that the dispatcher waits for."""
        if not self._urgent:
            self._urgent = True
            self._due_ms = min(self._due_ms, now + GATHER_MS)

    def sent(self, now: int) -> None:
        """A report leaves."""
        self._urgent = False
        self._due_ms = now + int(PERIOD_MS * self._rng.uniform(0.85, 1.1))
