"""A keyed store on a simulated disk: group commit, and what a loss of power leaves of it.

It stands for `coordination.storage`, whose own tests cut the real files at every byte. A write is atomic
here; writes that were not synced are kept up to some point, which is drawn.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping, Sequence

from flintfield.coordination.storage.interface import Change, StorageFailed, StorageFull

Content = dict[bytes, bytes]
SYNC_MS = (1.0, 9.0)
ALL_GONE = 0.5  # share of the losses of power that no write outlives that was not synced


class Platter:
    """What outlives a process: the writes in their order, and how many of them are synced."""

    def __init__(self) -> None:
        self.writes: list[list[Change]] = []
        self.synced = 0
        self.base: Content = {}
        self.formatted = False
        self.stalled_until_ms = 0.0  # true time; syncs hang until then
        self.failing_until_ms = 0.0  # syncs fail
        self.full_until_ms = 0.0  # writes are refused

    def lose_power(self, rng: random.Random) -> None:
        """Writes that were not synced are all gone, or kept up to some point."""
        kept = self.synced if rng.random() < ALL_GONE else rng.randint(self.synced, len(self.writes))
        self._cut(kept)

    def end_process(self) -> None:
        """A killed process leaves what it wrote: the machine goes on to write it out."""
        self._cut(len(self.writes))

    def _cut(self, kept: int) -> None:
        self.base = apply_all(self.base, self.writes[:kept])
        self.writes = []
        self.synced = 0


def apply_all(base: Content, writes: Iterable[Sequence[Change]]) -> Content:
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
    """A `KeyedStore` of one life of a process on a platter; `now_ms` is true time."""

    def __init__(self, platter: Platter, rng: random.Random, now_ms: Callable[[], float]) -> None:
        self._platter = platter
        self._rng = rng
        self._now_ms = now_ms
        self._items = apply_all(platter.base, platter.writes)
        self._syncing = False
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self.fresh = not platter.formatted
        platter.formatted = True

    @property
    def items(self) -> Mapping[bytes, bytes]:
        """What was applied."""
        return self._items

    def apply(self, changes: Sequence[Change]) -> int:
        """Change memory, and the platter's queue; raises `StorageFull`."""
        platter = self._platter
        if self._now_ms() < platter.full_until_ms:
            raise StorageFull("simulated")
        platter.writes.append(list(changes))
        for key, value in changes:
            if value is None:
                self._items.pop(key, None)
            else:
                self._items[key] = value
        return len(platter.writes)

    def replace(self, changes: Iterable[tuple[bytes, bytes]], keep: Callable[[bytes], bool]) -> int:
        """One write that drops and puts."""
        dropped: list[Change] = [(key, None) for key in self._items if not keep(key)]
        return self.apply([*dropped, *changes])

    async def durable(self, ticket: int) -> None:
        """Wait for the sync that covers it; raises `StorageFailed`."""
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
        stall_ms = max(0.0, platter.stalled_until_ms - self._now_ms())
        delay_ms = self._rng.uniform(*SYNC_MS) + stall_ms
        asyncio.get_running_loop().call_later(delay_ms / 1_000, self._end, len(platter.writes))

    def _end(self, covered: int) -> None:
        self._syncing = False
        waiters, self._waiters = self._waiters, []
        if self._now_ms() < self._platter.failing_until_ms:
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
