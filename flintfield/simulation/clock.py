"""A machine's clocks: a steady one that runs a little fast or slow, and a time of day that may step."""

from __future__ import annotations

import random

WALL_START_MS = 1_700_000_000_000  # time of day at the beginning of a history
STEADY_RATES = (0.998, 1.002)  # of machines; workers have a wider bound of their own
STEADY_STARTS_MS = (50_000, 900_000)  # what a steady clock shows at first means nothing to other machines
WALL_SKEW_MS = 40  # machines may disagree on the time of day by so much, either way


class MachineClock:
    """Maps true time (ms since the history began) to a machine's own clocks and back."""

    def __init__(self, rng: random.Random) -> None:
        self.rate = rng.uniform(*STEADY_RATES)
        self.start_ms = float(rng.randint(*STEADY_STARTS_MS))
        self.wall_error_ms = rng.randint(-WALL_SKEW_MS, WALL_SKEW_MS)

    def steady_ms(self, true_ms: float) -> float:
        """What the steady clock shows at that true time."""
        return self.start_ms + true_ms * self.rate

    def true_ms(self, steady_ms: float) -> float:
        """The true time at which the steady clock shows this."""
        return (steady_ms - self.start_ms) / self.rate

    def wall_ms(self, true_ms: float) -> int:
        """What the time of day is there, in ms since 1970."""
        return int(WALL_START_MS + true_ms) + self.wall_error_ms
