"""A keyed store in virtual time: group commit, and what a crash leaves."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping, Sequence

from flintfield.coordination.storage.interface import Change, StorageFailed

Content = dict[bytes, bytes]


class Platter:
    """What outlives a process: the writes in their order, and how many of them are synced."""

    def __init__(self) -> None:
        self.writes: list[list[Change]] = []
        self.synced = 0
        self.base: Content = {}
        self.formatted = False
        self.sync_ms = (4, 9)
        self.stalled_until_ms = 0
        self.failing = False

    def crash(self, rng: random.Random) -> None:
        """Writes that were not synced are kept up to some point, which is drawn."""
        kept = rng.randint(self.synced, len(self.writes))
        self.base = content(self.base, self.writes[:kept])
        self.writes = []
        self.synced = 0


def content(base: Content, writes: Iterable[Sequence[Change]]) -> Content:
    """The content after these writes."""
    items = dict(base)
    for write in writes:
        for key, value in write:
            if value is None:
                items.pop(key, None)
            else:
                items[key] = value
    return items


class SimulatedStore:
    """A `KeyedStore` of one life of a process on a platter."""

    def __init__(self, platter: Platter, rng: random.Random, now_ms: Callable[[], int]) -> None:
        self._platter = platter
        self._rng = rng
        self._now_ms = now_ms
        self._items = content(platter.base, platter.writes)
        self._syncing = False
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._tickets_before = len(platter.writes)
        self._lost_tickets = 0
        self.fresh = not platter.formatted
        platter.formatted = True

    @property
    def items(self) -> Mapping[bytes, bytes]:
        """What was applied."""
        return self._items

    def apply(self, changes: Sequence[Change]) -> int:
        """Change memory, and the platter's queue."""
        self._platter.writes.append(list(changes))
        for key, value in changes:
            if value is None:
                self._items.pop(key, None)
            else:
                self._items[key] = value
        return len(self._platter.writes)

    def replace(self, changes: Iterable[tuple[bytes, bytes]], keep: Callable[[bytes], bool]) -> int:
        """One write that drops and puts."""
        dropped: list[Change] = [(key, None) for key in self._items if not keep(key)]
        return self.apply([*dropped, *changes])

    async def durable(self, ticket: int) -> None:
        """Wait for the sync that covers it."""
        if ticket <= self._platter.synced:
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append((ticket, waiter))
        if not self._syncing:
            self._begin()
        await waiter

    def _begin(self) -> None:
        self._syncing = True
        platter = self._platter
        covered = len(platter.writes)
        stall_ms = max(0, platter.stalled_until_ms - self._now_ms())
        delay_ms = self._rng.randint(*platter.sync_ms) + stall_ms
        asyncio.get_running_loop().call_later(delay_ms / 1_000, self._end, covered)

    def _end(self, covered: int) -> None:
        self._syncing = False
        waiters, self._waiters = self._waiters, []
        if self._platter.failing:
            for _, waiter in waiters:
                if not waiter.done():
                    waiter.set_exception(StorageFailed("simulated"))
            return
        self._platter.synced = max(self._platter.synced, covered)
        for ticket, waiter in waiters:
            if ticket > covered:
                self._waiters.append((ticket, waiter))
            elif not waiter.done():
                waiter.set_result(None)
        if self._waiters:
            self._begin()

    def stalled_ms(self, now_ms: float) -> float:
        """Not told."""
        return 0.0

    async def close(self) -> None:
        """Nothing to close."""
