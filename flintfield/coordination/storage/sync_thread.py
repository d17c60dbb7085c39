"""The one thread that writes and syncs, and the seam by which tests run its jobs step by step."""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable
from typing import Protocol

Job = Callable[[], None]
Done = Callable[[Exception | None], None]
_Item = tuple[Job, Done, asyncio.AbstractEventLoop]


class Runner(Protocol):
    """Runs blocking jobs, one at a time, outside of the event loop."""

    def submit(self, job: Job, done: Done) -> None:
        """Run the job; then call `done` in the event loop with the exception that the job raised, or None."""

    def stop(self) -> None:
        """Let the thread end after the jobs that were submitted."""


class SyncThread:
    """A daemon thread, started with the first job: a hanging disk must not hold up the end of the process."""

    def __init__(self) -> None:
        self._jobs: queue.SimpleQueue[_Item | None] = queue.SimpleQueue()
        self._thread: threading.Thread | None = None

    def submit(self, job: Job, done: Done) -> None:
        """Run the job in the thread; called from within the event loop."""
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="storage-sync", daemon=True)
            self._thread.start()
        self._jobs.put((job, done, asyncio.get_running_loop()))

    def stop(self) -> None:
        """Let the thread end after the jobs that were submitted."""
        if self._thread is not None:
            self._jobs.put(None)

    def _run(self) -> None:
        while (item := self._jobs.get()) is not None:
            job, done, loop = item
            error: Exception | None = None
            try:
                job()
            except Exception as raised:
                error = raised
            try:
                loop.call_soon_threadsafe(done, error)
            except RuntimeError:  # the loop was closed meanwhile: nobody waits for the answer
                return
