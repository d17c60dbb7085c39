"""The calendar of a run: what is to be done when, in order of time, and of one moment in the order it was
set."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Loop:
    """Virtual time in ms from the run's start; it jumps from event to event."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events = 0
        self.running = True
        self._count = 0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: float, do: Callable[..., None], *args: Any) -> None:
        """Call `do(*args)` at that time, or at once if it is past."""
        self._count += 1
        heapq.heappush(self._heap, (when if when > self.now else self.now, self._count, do, args))

    def run(self, until: float) -> None:
        """Go on until that time, or until `running` is taken away or nothing is left."""
        heap, pop = self._heap, heapq.heappop
        while heap and self.running and heap[0][0] <= until:
            self.now, _, do, args = pop(heap)
            self.events += 1
            do(*args)
