"""Schedule by which a process that knows the core set introduces itself to its seeds. No I/O.

Rules.

1. A process that starts without stored state (a scheduler without a disk, an agent, a replica whose disk is
   lost) can query only its seeds. A seed may be such a process itself.
2. Discovery of the core set must therefore not depend on the state of the seeds: every process that knows the
   core set introduces itself to every seed of its own settings throughout its life, whether or not it can
   reach the core.
3. A seed that learns of a core set newer than its own queries the process that introduced itself.

A process thus finds the core set if a chain of seed relations, of any length and in either direction,
connects it to a process that knows the core set. Introductions are periodic because a seed may restart, and
lose its state, at any time after its answer.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

INTRODUCTION_MS = 2_000  # per seed; with n introducers a restarted seed waits 1 / n of this
RETRY_MS = 150  # after the first failure: a seed often starts shortly after the introducer
MAX_RETRY_MS = 1_000  # limit of the doubling; well below the time after which a waiting job counts as lost
JITTER = (0.7, 1.3)


class IntroductionSchedule:
    """The time of the next introduction to each seed.

    Times are milliseconds of a steady clock; `rng` adds jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._due_ms: dict[str, float] = {}
        self._retry_ms: dict[str, int] = {}

    def due(self, now_ms: int, seeds: Sequence[str]) -> list[str]:
        """Return the seeds that are due. A seed that the previous call didn't contain is due immediately."""
        self._due_ms = {seed: self._due_ms.get(seed, now_ms) for seed in seeds}
        self._retry_ms = {seed: self._retry_ms.get(seed, RETRY_MS) for seed in seeds}
        return [seed for seed, due_ms in self._due_ms.items() if due_ms <= now_ms]

    def answered(self, now_ms: int, seed: str) -> None:
        """Schedule the next regular introduction after an answer."""
        self._retry_ms[seed] = RETRY_MS
        self._set_due(now_ms, seed, INTRODUCTION_MS)

    def failed(self, now_ms: int, seed: str) -> None:
        """Schedule a retry with exponential backoff after a missing answer."""
        retry_ms = self._retry_ms.get(seed, RETRY_MS)
        self._retry_ms[seed] = min(2 * retry_ms, MAX_RETRY_MS)
        self._set_due(now_ms, seed, retry_ms)

    def wait_ms(self, now_ms: int) -> float:
        """Return the time until the next seed is due; without seeds, a full period."""
        earliest_ms = min(self._due_ms.values(), default=now_ms + INTRODUCTION_MS)
        return max(0.0, earliest_ms - now_ms)

    def _set_due(self, now_ms: int, seed: str, delay_ms: int) -> None:
        self._due_ms[seed] = now_ms + delay_ms * self._rng.uniform(*JITTER)
