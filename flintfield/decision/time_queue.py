"""A priority queue of keys by time: each key has one due time, and the earliest comes first.

`live`, a plain dict from key to time, is authoritative; the heap is derived from it and can be rebuilt at any
time. A time that is replaced or dropped leaves a stale entry in the heap. When stale entries outnumber live
ones the heap is rebuilt, so it holds at most twice the live entries plus a constant. `put` costs O(log n) and
`drop` O(1); each stale entry is removed once.

A heap with lazy deletion is used instead of a timer wheel: times range from milliseconds to minutes and are
needed in exact order, which a wheel does not keep within a slot.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Hashable, Iterator
from typing import Any, Generic, TypeVar

K = TypeVar("K", bound=Hashable)
STALE_ALLOWANCE = 64  # stale entries that are always tolerated, however few entries are live


class TimeQueue(Generic[K]):
    """Keys and their due times; keys with equal times are ordered by when they were put."""

    __slots__ = ("_heap", "_numbers", "live")

    def __init__(self) -> None:
        self.live: dict[K, float] = {}
        self._heap: list[tuple[float, int, K]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self.live)

    def put(self, key: K, at: float) -> None:
        """Set the key's due time, replacing an earlier one."""
        live = self.live
        if key in live:
            if live[key] == at:
                return
            del live[key]  # keeps the dict in the order of the puts
        live[key] = at
        heapq.heappush(self._heap, (at, next(self._numbers), key))
        if len(self._heap) > 2 * len(live) + STALE_ALLOWANCE:
            self._rebuild_heap()

    def drop(self, key: K) -> None:
        """Remove the key, if it is there."""
        if self.live.pop(key, None) is not None and len(self._heap) > 2 * len(self.live) + STALE_ALLOWANCE:
            self._rebuild_heap()

    def next_at(self) -> float | None:
        """The earliest due time; None if there is none."""
        heap = self._heap
        while heap and self.live.get(heap[0][2]) != heap[0][0]:
            heapq.heappop(heap)
        return heap[0][0] if heap else None

    def is_due(self, now: float) -> bool:
        """Whether an entry is due; it may be a stale one."""
        heap = self._heap
        return bool(heap) and heap[0][0] <= now

    def pop_due(self, now: float) -> K | None:
        """Remove and return the first key that is due; None if there is none."""
        heap, live = self._heap, self.live
        while heap and heap[0][0] <= now:
            at, _, key = heapq.heappop(heap)
            if live.get(key) == at:
                del live[key]
                return key
        return None

    def pop_all_due(self, now: float) -> Iterator[K]:
        """Yield each key that is due, earliest first; a key is removed before it is yielded."""
        while (key := self.pop_due(now)) is not None:
            yield key

    def _rebuild_heap(self) -> None:
        self._heap = [(at, next(self._numbers), key) for key, at in self.live.items()]
        heapq.heapify(self._heap)

    def kept(self) -> Any:
        """The part that a checkpoint stores."""
        return self.live

    def restore(self, kept: Any, _: float) -> None:
        """Restore the keys and times that `kept` returned."""
        self.live = dict(kept)
        self._rebuild_heap()
