"""A simulated keyed store in virtual time, with group commit and crashes that lose unsynced writes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping, Sequence

from flintfield.coordination.storage.interface import Change, StorageFailed

Content = dict[bytes, bytes]


class Platter:
    """The simulated disk, which outlives the process: the ordered writes and the number that are synced."""

    def __init__(self) -> None:
        self.writes: list[list[Change]] = []
        self.synced_writes = 0
        self.base: Content = {}
        self.formatted = False
        self.sync_ms = (4, 9)
        self.stalled_until_ms = 0
        self.failing = False

    def crash(self, rng: random.Random) -> None:
        """Keep the synced writes and a random number of the unsynced ones, in order; drop the rest."""
        kept_writes = rng.randint(self.synced_writes, len(self.writes))
        self.base = apply_writes(self.base, self.writes[:kept_writes])
        self.writes = []
        self.synced_writes = 0


def apply_writes(base: Content, writes: Iterable[Sequence[Change]]) -> Content:
    """Return the content after applying `writes` to `base`."""
    items = dict(base)
    for write in writes:
        for key, value in write:
            if value is None:
                items.pop(key, None)
            else:
                items[key] = value
    return items


class SimulatedStore:
    """A `KeyedStore` on a platter, used by one process until it ends."""

    def __init__(self, platter: Platter, rng: random.Random, now_ms: Callable[[], int]) -> None:
        self._platter = platter
        self._rng = rng
        self._now_ms = now_ms
        self._items = apply_writes(platter.base, platter.writes)
        self._syncing = False
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._tickets_before = len(platter.writes)
        self._lost_tickets = 0
        self.fresh = not platter.formatted
        platter.formatted = True

    @property
    def items(self) -> Mapping[bytes, bytes]:
        """All applied records."""
        return self._items

    def apply(self, changes: Sequence[Change]) -> int:
        """Apply the changes to memory and add them to the writes of the platter."""
        self._platter.writes.append(list(changes))
        for key, value in changes:
            if value is None:
                self._items.pop(key, None)
            else:
                self._items[key] = value
        return len(self._platter.writes)

    def replace(self, changes: Iterable[tuple[bytes, bytes]], keep: Callable[[bytes], bool]) -> int:
        """Delete every key for which `keep` is false and apply `changes`, in one write."""
        deletes: list[Change] = [(key, None) for key in self._items if not keep(key)]
        return self.apply([*deletes, *changes])

    async def durable(self, ticket: int) -> None:
        """Wait for a sync that covers the ticket."""
        if ticket <= self._platter.synced_writes:
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append((ticket, waiter))
        if not self._syncing:
            self._start_sync()
        await waiter

    def _start_sync(self) -> None:
        self._syncing = True
        platter = self._platter
        covered_writes = len(platter.writes)
        stall_ms = max(0, platter.stalled_until_ms - self._now_ms())
        delay_ms = self._rng.randint(*platter.sync_ms) + stall_ms
        asyncio.get_running_loop().call_later(delay_ms / 1_000, self._finish_sync, covered_writes)

    def _finish_sync(self, covered_writes: int) -> None:
        self._syncing = False
        waiters, self._waiters = self._waiters, []
        if self._platter.failing:
            for _, waiter in waiters:
                if not waiter.done():
                    waiter.set_exception(StorageFailed("simulated"))
            return
        self._platter.synced_writes = max(self._platter.synced_writes, covered_writes)
        for ticket, waiter in waiters:
            if ticket > covered_writes:
                self._waiters.append((ticket, waiter))
            elif not waiter.done():
                waiter.set_result(None)
        if self._waiters:
            self._start_sync()

    def stalled_ms(self, now_ms: float) -> float:
        """Always 0.0: the duration of a sync isn't simulated here."""
        return 0.0

    async def close(self) -> None:
        """Do nothing: no files are open."""
