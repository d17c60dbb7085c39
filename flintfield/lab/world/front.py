"""The front: a plain layer that spreads clients' tries over the schedulers of their zone.

It takes a scheduler in once that is ready, and goes on sending to a dead one for `notice_ms`. One that is
taken out on purpose gets nothing new at once. A zone without a scheduler that the front holds for alive is
served by all others.
"""

from __future__ import annotations

import math

from flintfield.lab.world.streams import Draws


class Front:
    """Which scheduler a try goes to."""

    def __init__(self, zones: list[str], notice_ms: float, draws: Draws) -> None:
        """`zones`: of each scheduler, by its place. None is in before it is `up`."""
        self._zones, self._notice_ms, self._draws = zones, notice_ms, draws
        self._until: list[float] = [-math.inf] * len(zones)  # until when each is sent to

    def up(self, now: float, place: int) -> None:
        """That scheduler is ready."""
        self._until[place] = math.inf

    def out(self, now: float, place: int, after_ms: float = 0.0) -> None:
        """That scheduler is taken out on purpose, after a while."""
        self._until[place] = min(self._until[place], now + after_ms)

    def died(self, now: float, place: int) -> None:
        """That scheduler's process has ended; the front notices later."""
        self._until[place] = min(self._until[place], now + self._notice_ms)

    def pick(self, now: float, zone: str) -> int | None:
        """The place of the scheduler that a new try of a zone's client goes to; None if there is none."""
        alive = [i for i, until in enumerate(self._until) if now < until]
        home = [i for i in alive if self._zones[i] == zone] or alive
        if not home:
            return None
        return home[0] if len(home) == 1 else home[int(self._draws.uniform() * len(home))]
