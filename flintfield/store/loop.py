"""A store on an asyncio event loop (anyio's, uvloop's): nothing here waits for a disk.

Outcomes come back on the loop, in order, many for each wake-up, so that a reducer's effect can be `submit`
and its message what `done` is told.
"""

from __future__ import annotations

import asyncio
from collections import deque
from pathlib import Path

import anyio.to_thread

from flintfield.store.batch import Batch, Done, Durability, Outcome, Settings
from flintfield.store.errors import StoreError
from flintfield.store.reading import Reading
from flintfield.store.store import Stats, Store, open_store


class AsyncStore:
    """An open store, used from the event loop on which it was made. `read` has all that reads."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._loop = asyncio.get_running_loop()
        self._told: deque[tuple[Done, Outcome]] = deque()
        self._woken = False
        self.read: Reading = store
        self.get, self.has, self.count = store.get, store.has, store.count
        self.scan, self.keys, self.snapshot = store.scan, store.keys, store.snapshot

    def submit(self, batch: Batch, durability: Durability, done: Done) -> None:
        """Hand a batch in; `done` hears of its outcome on the event loop. Raises `Busy`, `Closed`."""
        def tell(outcome: Outcome) -> None:  # in a thread of the store
            self._told.append((done, outcome))
            if not self._woken:
                self._woken = True
                try:
                    self._loop.call_soon_threadsafe(self._tell)
                except RuntimeError:  # the loop has ended: nobody is there to be told
                    self._told.clear()

        self._store.submit(batch, durability, tell)

    def _tell(self) -> None:
        self._woken = False
        while self._told:
            done, outcome = self._told.popleft()
            done(outcome)

    async def write(self, batch: Batch, durability: Durability) -> int:
        """Commit a batch; its sequence number. Raises `StoreError`. A cancelled wait does not take it
        back."""
        future: asyncio.Future[Outcome] = self._loop.create_future()

        def done(outcome: Outcome) -> None:
            if not future.done():
                future.set_result(outcome)

        self.submit(batch, durability, done)
        outcome = await future
        if isinstance(outcome, StoreError):
            raise outcome
        return outcome.seq

    async def fetch(self, space: str, key: bytes) -> bytes | None:
        """`get` in a thread, for values that are old or large. Raises `Damaged`."""
        return await anyio.to_thread.run_sync(self._store.get, space, key)

    def stats(self) -> Stats:
        """The counters."""
        return self._store.stats()

    async def aclose(self) -> None:
        """Wait for what was submitted, and close. Raises OSError, `StoreError`."""
        await anyio.to_thread.run_sync(self._store.close)
        self._tell()


async def open_async(path: str | Path, settings: Settings | None = None) -> AsyncStore:
    """`open_store` in a thread."""
    return AsyncStore(await anyio.to_thread.run_sync(open_store, path, settings))
