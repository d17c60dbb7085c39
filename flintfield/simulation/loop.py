"""An event loop in virtual time, one for each simulated process.

It has no sockets, threads or signals: just callbacks, timers, futures and tasks. The world decides when it
runs, so a process can be frozen (its loop isn't run for a while) or killed (its loop is never run again,
and nothing of it gets a chance to clean up).
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

MOST_CALLBACKS = 100_000  # in one instant: more is an endless loop
ROUNDING_S = 2e-6  # what the way from true time to the loop's own and back may lose


class EndlessLoop(RuntimeError):
    """A process does not come to rest within one instant."""


class ProcessLoop(asyncio.AbstractEventLoop):  # the part of it that shells without sockets use
    """A loop whose clock is `now_s`, in seconds of the process's own steady clock.

    `on_work` is called when work is handed in from outside of the loop.
    """

    def __init__(self, now_s: Callable[[], float], on_work: Callable[[], None]) -> None:
        self._now_s = now_s
        self._on_work = on_work
        self._ready: deque[asyncio.Handle] = deque()
        self._timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self._count = 0
        self._running = False
        self.failures: list[dict[str, Any]] = []
        self.dead = False

    def time(self) -> float:
        """Virtual seconds."""
        return self._now_s()

    def call_soon(self, callback: Callable[..., object], *args: Any,  # type: ignore[override]
                  context: contextvars.Context | None = None) -> asyncio.Handle:
        """Run it at the next turn."""
        handle = asyncio.Handle(callback, args, self, context)
        self._ready.append(handle)
        self._tell()
        return handle

    def call_later(self, delay: float, callback: Callable[..., object],  # type: ignore[override]
                   *args: Any,
                   context: contextvars.Context | None = None) -> asyncio.TimerHandle:
        """Run it after a time."""
        return self.call_at(self._now_s() + delay, callback, *args, context=context)

    def call_at(self, when: float, callback: Callable[..., object], *args: Any,  # type: ignore[override]
                context: contextvars.Context | None = None) -> asyncio.TimerHandle:
        """Run it at a time."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self._count += 1
        heapq.heappush(self._timers, (when, self._count, handle))
        self._tell()
        return handle

    def _tell(self) -> None:
        if not self._running and not self.dead:
            self._on_work()

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
        return self._running

    def is_closed(self) -> bool:
        """Never: a dead loop just isn't run any more."""
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Keep what went wrong in a living process."""
        if not self.dead:
            self.failures.append(context)

    def next_s(self) -> float | None:
        """When it has something to run, by its own clock; None: never."""
        while self._timers and self._timers[0][2].cancelled():
            heapq.heappop(self._timers)
        if self._ready:
            return self._now_s()
        return self._timers[0][0] if self._timers else None

    def run_due(self) -> None:
        """Run all that is due."""
        until_s = self._now_s() + ROUNDING_S
        while self._timers and self._timers[0][0] <= until_s:
            timer = heapq.heappop(self._timers)[2]
            if not timer.cancelled():
                self._ready.append(timer)
        self._running = True
        events._set_running_loop(self)
        try:
            for _ in range(MOST_CALLBACKS):
                if not self._ready or self.dead:
                    return
                handle = self._ready.popleft()
                if not handle.cancelled():
                    handle._run()
            raise EndlessLoop("a loop does not come to rest")
        finally:
            self._running = False
            events._set_running_loop(None)
