"""The tasks of one run: they are started here and cancelled together at its end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any


class Tasks:
    """Tasks that run until they are done or the run ends."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def repeat(self, seconds: float, act: Callable[[], None]) -> None:
        """Act now and every so many seconds, without drift."""
        self.start(_repeat(seconds, act))

    def cancel(self) -> None:
        """Cancel all that still run."""
        for task in list(self._tasks):
            task.cancel()


async def _repeat(seconds: float, act: Callable[[], None]) -> None:
    loop = asyncio.get_running_loop()
    due = loop.time()
    while True:
        act()
        due += seconds
        await asyncio.sleep(max(0.0, due - loop.time()))
