"""What is to be looked at when: one time for each key, soonest first.

Rules: `live` is the whole truth, a plain dict from key to time; the heap is made of it and may be made of it
anew at any time. A time that was replaced or dropped leaves a dead entry in the heap; as soon as the dead
outnumber the living the heap is made anew, so it holds at most twice what lives (and a few). `put` and `drop`
cost O(log n) and O(1), a dead entry is paid for once.

A heap with lazy deletion was preferred to a timer wheel: times here reach from milliseconds to minutes and
are asked for by their exact order, which a wheel gives only within a slot.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Hashable, Iterator
from typing import Any, Generic, TypeVar

K = TypeVar("K", bound=Hashable)
SLACK = 64  # dead entries that are borne however few live


class Agenda(Generic[K]):
    """Keys and their times; of one time, the key that was put first comes first."""

    __slots__ = ("_heap", "_numbers", "live")

    def __init__(self) -> None:
        self.live: dict[K, float] = {}
        self._heap: list[tuple[float, int, K]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self.live)

    def put(self, key: K, at: float) -> None:
        """Look at the key then, whatever was said before."""
        live = self.live
        if key in live:
            if live[key] == at:
                return
            del live[key]  # so that the dict stands in the order of the puts
        live[key] = at
        heapq.heappush(self._heap, (at, next(self._numbers), key))
        if len(self._heap) > 2 * len(live) + SLACK:
            self._make_anew()

    def drop(self, key: K) -> None:
        """The key need not be looked at any more."""
        if self.live.pop(key, None) is not None and len(self._heap) > 2 * len(self.live) + SLACK:
            self._make_anew()

    def next_at(self) -> float | None:
        """The soonest time; None if there is none."""
        heap = self._heap
        while heap and self.live.get(heap[0][2]) != heap[0][0]:
            heapq.heappop(heap)
        return heap[0][0] if heap else None

    def is_due(self, now: float) -> bool:
        """Whether some time has come, maybe of a key that is not looked at any more."""
        heap = self._heap
        return bool(heap) and heap[0][0] <= now

    def pop_due(self, now: float) -> K | None:
        """Take off the first key whose time has come; None if there is none."""
        heap, live = self._heap, self.live
        while heap and heap[0][0] <= now:
            at, _, key = heapq.heappop(heap)
            if live.get(key) == at:
                del live[key]
                return key
        return None

    def take_due(self, now: float) -> Iterator[K]:
        """Each key whose time has come, soonest first; it is taken off before it is given."""
        while (key := self.pop_due(now)) is not None:
            yield key

    def _make_anew(self) -> None:
        self._heap = [(at, next(self._numbers), key) for key, at in self.live.items()]
        heapq.heapify(self._heap)

    def kept(self) -> Any:
        """What a checkpoint keeps."""
        return self.live

    def restore(self, kept: Any, _: float) -> None:
        """Go on from what was kept."""
        self.live = dict(kept)
        self._make_anew()
