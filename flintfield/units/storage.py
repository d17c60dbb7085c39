"""The embedded store as it is lent to units: open while the program runs, opened anew after a failure.

What is submitted comes back on the event loop, as a value. No method here waits for a disk but `reopen` and
`close`, which may be cancelled: a disk that hangs then holds a thread, and not the program.
"""

from __future__ import annotations

import sys
import threading
from collections.abc import Callable
from contextlib import suppress
from typing import TypeVar

import anyio

from flintfield.store import (
    Batch, Closed, Durability, Failed, Outcome, Reading, Settings, Stats, StoreError, open_store,
)
from flintfield.store.loop import AsyncStore

Got = TypeVar("Got")
WAITING_BYTES = 4 << 20  # a disk that stalls holds no more of ours in memory
# Between threads. A commit waits for a busy loop several times as long; Python's own is 5 ms.
SWITCH_S = 0.0005
LOOK_S = 0.01  # between two looks whether a thread is through


class Storage:
    """One store in a folder. Raises `StoreError` or OSError where it can not be opened; blocks meanwhile."""

    def __init__(self, folder: str) -> None:
        self._folder, self._settings = folder, Settings(waiting_bytes=WAITING_BYTES)
        sys.setswitchinterval(SWITCH_S)
        self._opened = open_store(folder, self._settings)
        self._store = AsyncStore(self._opened)
        self.failed = False  # nothing is written any more until it is opened anew

    @property
    def read(self) -> Reading:
        """For reading: harmless on a loop where the values are few and new, or only keys are asked for."""
        return self._store.read

    def submit(self, batch: Batch, durability: Durability, done: Callable[[Outcome], None]) -> None:
        """Have it written; `done` is told later, on the event loop. Raises `Busy`, `Closed`."""
        def note(outcome: Outcome) -> None:
            self.failed = self.failed or isinstance(outcome, Failed | Closed)
            done(outcome)

        self._store.submit(batch, durability, note)

    async def reopen(self) -> None:
        """Close it and open it again; a `StoreError` or OSError tells why that can not be."""
        with suppress(StoreError, OSError):  # it has failed: that is why it is opened anew
            await _beside(self._opened.close)
        self._opened = await _beside(lambda: open_store(self._folder, self._settings))
        self._store, self.failed = AsyncStore(self._opened), False

    async def close(self) -> None:
        """Wait for what was submitted, and close. Raises `StoreError`, OSError."""
        await _beside(self._opened.close)

    def stats(self) -> Stats:
        """The store's own figures."""
        return self._store.stats()


async def _beside(call: Callable[[], Got]) -> Got:
    """Call it in a daemon thread: guards against a program that can not end because a disk hangs."""
    got: list[Got] = []
    raised: list[Exception] = []

    def run() -> None:
        try:
            got.append(call())
        except Exception as error:
            raised.append(error)

    thread = threading.Thread(target=run, name="storage", daemon=True)
    thread.start()
    while thread.is_alive():
        await anyio.sleep(LOOK_S)
    if raised:
        raise raised[0]
    return got[0]
