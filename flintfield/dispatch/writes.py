"""The writes of one term: begun in order, and told once they are durable."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from flintfield.dispatch.interface import Leadership
from flintfield.jobs.events import Write

MAX_PENDING_BYTES = 1 << 20  # limit on bytes of pending writes; beyond 4 MiB the leader makes calls wait


class WriteQueue:
    """Begins writes with few enough bytes pending that the leader accepts each without delay.

    `written` is called with the number of each durable write; `failed` where the leader took one no more.
    """

    def __init__(
        self, leadership: Leadership, written: Callable[[int], None], failed: Callable[[Exception], None]
    ) -> None:
        self._leadership = leadership
        self._written = written
        self._failed = failed
        self._waiting: deque[Write] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._pending_bytes = 0

    def add(self, effect: Write) -> None:
        """Make this durable, after all earlier writes."""
        self._waiting.append(effect)
        self._begin()

    def cancel(self) -> None:
        """The term is over: nothing is told any more."""
        self._waiting.clear()
        for task in self._tasks:
            task.cancel()

    def _begin(self) -> None:
        while self._waiting and (not self._tasks or self._pending_bytes <= MAX_PENDING_BYTES):
            effect = self._waiting.popleft()
            size = sum(len(key) + len(value or b"") for key, value in effect.changes)
            self._pending_bytes += size
            task = asyncio.get_running_loop().create_task(self._make_durable(effect, size))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _make_durable(self, effect: Write, size: int) -> None:
        try:
            await self._leadership.write(effect.changes)
        except asyncio.CancelledError:
            raise
        except Exception as error:  # deposed; the listener is notified later
            self._failed(error)
            return
        self._pending_bytes -= size
        self._written(effect.write)
        self._begin()
