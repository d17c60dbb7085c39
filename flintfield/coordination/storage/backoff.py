"""Exponential backoff between attempts to write to a failing disk."""

from __future__ import annotations

import random

INITIAL_RETRY_S = 0.05  # outlasts a brief write error; doubles with each failure up to MAX_RETRY_S
MAX_RETRY_S = 0.5  # an attempt is cheap, and the recovery of a disk should be detected soon
JITTER = 0.25  # relative variation of a pause, in both directions


class Backoff:
    """Exponential backoff with a cap and jitter."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._next_pause_s = INITIAL_RETRY_S

    @property
    def failing(self) -> bool:
        """Whether the last attempt failed."""
        return self._next_pause_s != INITIAL_RETRY_S

    def record_failure(self) -> float:
        """Record a failed attempt and return the pause before the next one, in seconds."""
        pause_s = self._next_pause_s * self._rng.uniform(1 - JITTER, 1 + JITTER)
        self._next_pause_s = min(MAX_RETRY_S, self._next_pause_s * 2)
        return pause_s

    def record_success(self) -> None:
        """Record a successful attempt: the next failure starts with the shortest pause again."""
        self._next_pause_s = INITIAL_RETRY_S
