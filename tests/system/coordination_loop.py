"""An event loop in virtual time, one for each simulated process.

It has no sockets, threads or signals: just callbacks, timers, futures and tasks. The world decides when it
runs, so a process can be frozen (its loop isn't run for a while) or killed (its loop is never run again, and
nothing of it gets a chance to clean up).
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

MOST_CALLBACKS = 200_000  # in one instant: more is an endless loop
ROUNDING_S = 1e-6  # times are whole milliseconds, told as floats


class ProcessLoop(asyncio.AbstractEventLoop):
    """A loop whose clock is `now_s`."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._ready: deque[asyncio.Handle] = deque()
        self._timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self._count = 0
        self.failures: list[dict[str, Any]] = []
        self.dead = False

    def time(self) -> float:
        """Virtual seconds."""
        return self._now_s()

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Run it at the next turn."""
        handle = asyncio.Handle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    def call_later(  # type: ignore[override]
        self,
        delay: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Run it after a time."""
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Run it at a time."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self._count += 1
        heapq.heappush(self._timers, (when, self._count, handle))
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        return

    def create_future(self) -> asyncio.Future[Any]:
        """A future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro: Coroutine[Any, Any, Any], **_: Any) -> asyncio.Task[Any]:  # type: ignore[override]
        """A task of this loop."""
        return asyncio.Task(coro, loop=self)

    def get_debug(self) -> bool:
        """Never."""
        return False

    def is_running(self) -> bool:
        """Whether its callbacks are being run."""
        return events._get_running_loop() is self

    def is_closed(self) -> bool:
        """Whether the process is dead."""
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Keep what went wrong in a living process."""
        if not self.dead:
            self.failures.append(context)

    def next_s(self) -> float | None:
        """When it has something to run."""
        while self._timers and self._timers[0][2].cancelled():
            heapq.heappop(self._timers)
        if self._ready:
            return self.time()
        return self._timers[0][0] if self._timers else None

    def run_due(self) -> None:
        """Run all that is due."""
        now_s = self.time()
        while self._timers and self._timers[0][0] <= now_s + ROUNDING_S:
            timer = heapq.heappop(self._timers)[2]
            if not timer.cancelled():
                self._ready.append(timer)
        events._set_running_loop(self)
        try:
            for _ in range(MOST_CALLBACKS):
                if not self._ready or self.dead:
                    return
                handle = self._ready.popleft()
                if not handle.cancelled():
                    handle._run()
            raise RuntimeError("a loop does not come to rest")
        finally:
            events._set_running_loop(None)
