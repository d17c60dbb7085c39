"""The thread that writes and syncs, and the interface that lets tests run its jobs step by step."""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable
from typing import Protocol

Job = Callable[[], None]
DoneCallback = Callable[[Exception | None], None]
_QueuedJob = tuple[Job, DoneCallback, asyncio.AbstractEventLoop]


class Runner(Protocol):
    """Runs blocking jobs, one at a time, outside of the event loop."""

    def submit(self, job: Job, done: DoneCallback) -> None:
        """Run the job, then call `done` in the event loop with the exception raised by the job, or None."""

    def stop(self) -> None:
        """Stop the thread after the jobs already submitted have run."""


class SyncThread:
    """A daemon thread, started by the first job: a hanging disk must not prevent the process from exiting."""

    def __init__(self) -> None:
        self._jobs: queue.SimpleQueue[_QueuedJob | None] = queue.SimpleQueue()
        self._thread: threading.Thread | None = None

    def submit(self, job: Job, done: DoneCallback) -> None:
        """Run the job in the thread; must be called from the event loop."""
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="storage-sync", daemon=True)
            self._thread.start()
        self._jobs.put((job, done, asyncio.get_running_loop()))

    def stop(self) -> None:
        """Stop the thread after the jobs already submitted have run."""
        if self._thread is not None:
            self._jobs.put(None)

    def _run(self) -> None:
        while (queued := self._jobs.get()) is not None:
            job, done, loop = queued
            error: Exception | None = None
            try:
                job()
            except Exception as raised:
                error = raised
            try:
                loop.call_soon_threadsafe(done, error)
            except RuntimeError:  # the loop was closed in the meantime, so no caller waits for the result
                return
