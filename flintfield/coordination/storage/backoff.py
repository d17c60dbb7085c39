"""Pauses between attempts at a disk that fails."""

from __future__ import annotations

import random

FIRST_RETRY_S = 0.05  # long enough for a short refusal to pass; doubled with each failure up to the last
LAST_RETRY_S = 0.5  # an attempt costs little, and a disk that works again should be noticed soon
JITTER = 0.25  # part of a pause by which it varies


class Backoff:
    """Exponential, with a cap and jitter."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._next_s = FIRST_RETRY_S

    @property
    def failing(self) -> bool:
        """Whether the last attempt failed."""
        return self._next_s != FIRST_RETRY_S

    def failed(self) -> float:
        """The pause in seconds before the next attempt."""
        pause_s = self._next_s * self._chance.uniform(1 - JITTER, 1 + JITTER)
        self._next_s = min(LAST_RETRY_S, self._next_s * 2)
        return pause_s

    def succeeded(self) -> None:
        """Begin with the shortest pause again."""
        self._next_s = FIRST_RETRY_S
