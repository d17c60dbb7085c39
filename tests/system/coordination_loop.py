"""An event loop in virtual time, one for each simulated process.

It has no sockets, threads or signals, only callbacks, timers, futures and tasks. `World` decides when a loop
runs, so it can freeze a process (its loop isn't run for a while) or kill it (its loop is never run again, and
no cleanup code runs).
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

MAX_CALLBACKS = 200_000  # per call of `run_due`; more indicates an endless loop
ROUNDING_S = 1e-6  # tolerance for times that are whole milliseconds expressed as floats


class ProcessLoop(asyncio.AbstractEventLoop):
    """An event loop that takes its time from `now_s`."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._ready: deque[asyncio.Handle] = deque()
        self._timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self._timer_count = 0
        self.failures: list[dict[str, Any]] = []
        self.dead = False

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s()

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedule the callback for the next iteration."""
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
        """Schedule the callback after `delay` seconds."""
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule the callback at the virtual time `when`."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self._timer_count += 1
        heapq.heappush(self._timers, (when, self._timer_count, handle))
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        return

    def create_future(self) -> asyncio.Future[Any]:
        """Create a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro: Coroutine[Any, Any, Any], **_: Any) -> asyncio.Task[Any]:  # type: ignore[override]
        """Create a task of this loop."""
        return asyncio.Task(coro, loop=self)

    def get_debug(self) -> bool:
        """Return False: debug mode is not supported."""
        return False

    def is_running(self) -> bool:
        """Return whether this loop is running callbacks now."""
        return events._get_running_loop() is self

    def is_closed(self) -> bool:
        """Return False: the loop is never closed, not even when its process is killed."""
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record an unhandled error, unless the process was killed."""
        if not self.dead:
            self.failures.append(context)

    def next_s(self) -> float | None:
        """Return the virtual time of the next callback, or None if there is none."""
        while self._timers and self._timers[0][2].cancelled():
            heapq.heappop(self._timers)
        if self._ready:
            return self.time()
        return self._timers[0][0] if self._timers else None

    def run_due(self) -> None:
        """Run all callbacks that are due, including those that they schedule for the same time."""
        now_s = self.time()
        while self._timers and self._timers[0][0] <= now_s + ROUNDING_S:
            timer = heapq.heappop(self._timers)[2]
            if not timer.cancelled():
                self._ready.append(timer)
        events._set_running_loop(self)
        try:
            for _ in range(MAX_CALLBACKS):
                if not self._ready or self.dead:
                    return
                handle = self._ready.popleft()
                if not handle.cancelled():
                    handle._run()
            raise RuntimeError("the event loop exceeded the callback limit at one virtual time")
        finally:
            events._set_running_loop(None)
