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


class Handle:  # what asyncio.Handle is for its users
    """A callback that waits for its turn; cheaper than `asyncio.Handle`, as contexts are not kept."""

    __slots__ = ("arguments", "callback")

    def __init__(self, callback: Callable[..., object], arguments: tuple[Any, ...]) -> None:
        self.callback: Callable[..., object] | None = callback
        self.arguments = arguments

    def cancel(self) -> None:
        """Don't call it."""
        self.callback = None
        self.arguments = ()

    def cancelled(self) -> bool:
        """Whether it was cancelled."""
        return self.callback is None


class ProcessLoop(asyncio.AbstractEventLoop):  # the part of it that shells without sockets use
    """A loop whose clock is `now_s`, in seconds of the process's own steady clock.

    Work that is handed in from outside is told: `on_ready()` if it is to be done at once, `on_timer(when)`.
    """

    def __init__(
        self, now_s: Callable[[], float], on_ready: Callable[[], None], on_timer: Callable[[float], None]
    ) -> None:
        self._now_s = now_s
        self._on_ready = on_ready
        self._on_timer = on_timer
        self._ready: deque[Handle] = deque()
        self._timers: list[tuple[float, int, Handle]] = []
        self._count = 0
        self._running = False
        self.failures: list[dict[str, Any]] = []
        self.dead = False

    def time(self) -> float:
        """Virtual seconds."""
        return self._now_s()

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> Handle:
        """Run it at the next turn."""
        handle = Handle(callback, args)
        self._ready.append(handle)
        if not self._running and not self.dead:
            self._on_ready()
        return handle

    def call_later(  # type: ignore[override]
        self,
        delay: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> Handle:
        """Run it after a time."""
        return self.call_at(self._now_s() + delay, callback, *args)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> Handle:
        """Run it at a time."""
        handle = Handle(callback, args)
        self._count += 1
        heapq.heappush(self._timers, (when, self._count, handle))
        if not self._running and not self.dead:
            self._on_timer(when)
        return handle

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

    def next_timer_s(self) -> float | None:
        """When its next timer is due, by its own clock; None: there is none."""
        timers = self._timers
        while timers and timers[0][2].callback is None:
            heapq.heappop(timers)
        return timers[0][0] if timers else None

    def run_due(self) -> None:
        """Run all that is due."""
        until_s = self._now_s() + ROUNDING_S
        timers, ready = self._timers, self._ready
        while timers and timers[0][0] <= until_s:
            ready.append(heapq.heappop(timers)[2])
        self._running = True
        events._set_running_loop(self)
        try:
            self._run_ready()
        finally:
            self._running = False
            events._set_running_loop(None)

    def _run_ready(self) -> None:
        ready = self._ready
        for _ in range(MOST_CALLBACKS):
            if not ready or self.dead:
                return
            handle = ready.popleft()
            if handle.callback is None:
                continue
            try:
                handle.callback(*handle.arguments)
            except Exception as error:
                self.call_exception_handler({"message": f"in {handle.callback!r}", "exception": error})
        raise EndlessLoop("a loop does not come to rest")
