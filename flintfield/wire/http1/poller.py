"""Calls connections whose sockets are ready, without a task per connection.

Rules:

1. Nothing blocks here: a watched object's `ready` does what can be done now and returns. Wake-ups may be
   spurious, so `ready` must cope with finding no data to read and no room to write.
2. An exception raised by `ready` affects only its connection, whose `broke` is called.
3. An object that works for a caller names that caller. Turns are shared among callers, not among
   connections, so opening many connections gains a caller nothing.

Theory of operation. All sockets are in the event loop's own epoll set (`sockets.py`) and are reported in one
batch per iteration: a waiting task per socket would cost a future, a registration and an iteration of the
loop for each wake-up (35 us per wait through anyio, 5 us here). Listeners and idle connections of a batch are
called first, because they are few. The others, a caller's connections and the branches of its jobs, are
grouped by caller, with those that finish work before those that begin it. One per caller is called in
round-robin order, up to a limit per turn. Then the event loop runs timers and tasks, and calls this poller
again with a new batch. The set is level-triggered: a socket that was not served is reported again in the next
iteration, at only the cost of the query.

Fairness is the plain round robin of J. Nagle, "On Packet Switches With Infinite Storage" (RFC 970, 1985),
with wake-ups for packets and a caller's address for a source. Weights and deficits as in later work are not
used: a wake-up costs about the same whatever the amount of data.
"""

from __future__ import annotations

import asyncio
import select
from collections import OrderedDict, deque
from collections.abc import Callable, Hashable
from typing import Generic, Protocol, TypeVar

import anyio

from flintfield.wire.http1.sockets import Batch, Loop

READ, WRITE, NOTHING = select.EPOLLIN, select.EPOLLOUT, 0  # hangups and errors are reported with any of them
TURN = 32  # calls on behalf of callers per iteration of the event loop; at 0.1 ms each, about 3 ms


class Watched(Protocol):
    """An object with one socket that the poller can watch."""

    @property
    def caller(self) -> Hashable | None:
        """The caller that it works for, the unit of fairness; objects with None are called first."""

    @property
    def urgent(self) -> bool:
        """Whether it finishes work in progress; it then goes first among its caller's objects."""

    def ready(self) -> None:
        """The socket may be ready: do what can be done without blocking."""

    def broke(self, error: Exception) -> None:
        """`ready` raised this exception: close."""


class Poller:
    """Serves sockets of one event loop without tasks; must be created within a running `Loop`."""

    def __init__(self, turn: int = TURN) -> None:
        loop = asyncio.get_running_loop()
        if not isinstance(loop, Loop):
            raise TypeError(f"the poller needs a {Loop.__qualname__}, this is a {type(loop).__qualname__}")
        self.loop = loop
        self._sockets = loop.sockets
        self._batch = Batch(self._on_ready)
        self._turn_size = turn
        self._watched: dict[int, Watched] = {}  # by descriptor
        self._released: set[int] = set()  # released in this turn; their remaining events are stale
        self._served_order: OrderedDict[Hashable, None] = OrderedDict()  # least recently served first
        self._in_turn = False
        self._deferred: deque[tuple[Watched, Callable[[], None]]] = deque()  # run after this turn

    def close(self) -> None:
        """Stop watching all sockets."""
        for descriptor in self._watched:
            self._sockets.stop(descriptor)
        self._watched.clear()

    async def run(self) -> None:
        """Serve until cancelled."""
        try:
            await anyio.sleep_forever()
        finally:
            self.close()

    # ------------------------------------------------------------ the watched

    def watch(self, descriptor: int, watched: Watched, events: int = READ) -> None:
        """Call `watched.ready` when one of the events occurs, until `forget`."""
        self._sockets.watch(descriptor, self._batch, events)
        self._watched[descriptor] = watched

    def change(self, descriptor: int, events: int) -> None:
        """Change the watched events; hangups and errors are always reported."""
        self._sockets.change(descriptor, events)

    def hand(self, descriptor: int, watched: Watched) -> None:
        """Transfer a watched descriptor to another object."""
        self._watched[descriptor] = watched

    def forget(self, descriptor: int) -> None:
        """Forget a descriptor that is about to be closed; closing removes it from the epoll set."""
        if self._watched.pop(descriptor, None) is not None:
            self._released.add(descriptor)
            self._sockets.forget(descriptor)

    def stop(self, descriptor: int) -> None:
        """Unregister a descriptor whose socket stays open elsewhere and so would remain in the set."""
        if self._watched.pop(descriptor, None) is not None:
            self._released.add(descriptor)
            self._sockets.stop(descriptor)

    def later(self, seconds: float, watched: Watched, call: Callable[[], None]) -> asyncio.TimerHandle:
        """Call once after that time; exceptions go to `watched.broke`. Meant for rare timers."""
        return self.loop.call_later(seconds, _guarded, watched, call)

    def soon(self, watched: Watched, call: Callable[[], None]) -> None:
        """Call after the current callback has returned; exceptions go to `watched.broke`."""
        if self._in_turn:
            self._deferred.append((watched, call))  # sooner than the loop's next iteration
        else:
            self.loop.call_soon(_guarded, watched, call)

    # --------------------------------------------------------------- the turn

    def _on_ready(self, ready: list[tuple[int, int]]) -> None:
        self._in_turn = True
        try:
            self._wake_ready(ready)
            while self._deferred:
                _guarded(*self._deferred.popleft())
        finally:
            self._in_turn = False
            self._released.clear()

    def _wake_ready(self, ready: list[tuple[int, int]]) -> None:
        """Call objects without a caller, then the others: urgent ones first, in turns if there are many."""
        urgent: list[tuple[int, Hashable]] = []
        others: list[tuple[int, Hashable]] = []
        for descriptor, _ in ready:
            if (watched := self._watched.get(descriptor)) is None or descriptor in self._released:
                continue
            if (caller := watched.caller) is None:
                _guarded(watched, watched.ready)
            elif watched.urgent:
                urgent.append((descriptor, caller))
            else:
                others.append((descriptor, caller))
        if len(urgent) + len(others) > self._turn_size:
            self._take_turns(urgent + others)
            return
        self._served_order.clear()
        for descriptor, _ in urgent:
            self._wake(descriptor)
        for descriptor, _ in others:
            self._wake(descriptor)

    def _take_turns(self, ready: list[tuple[int, Hashable]]) -> None:
        """Call one object per caller in round-robin order, up to the limit per turn."""
        waiting: dict[Hashable, deque[int]] = {}
        for descriptor, caller in ready:
            waiting.setdefault(caller, deque()).append(descriptor)
        # Callers served in the last turn come after those that were not.
        last = [caller for caller in self._served_order if caller in waiting]
        order = deque([*(c for c in waiting if c not in self._served_order), *last])
        self._served_order = OrderedDict.fromkeys(last)
        for _ in range(self._turn_size):
            caller = order.popleft()
            self._wake(waiting[caller].popleft())
            if waiting[caller]:
                order.append(caller)
            self._served_order[caller] = None
            self._served_order.move_to_end(caller)

    def _wake(self, descriptor: int) -> None:
        watched = self._watched.get(descriptor)
        if watched is not None and descriptor not in self._released:
            _guarded(watched, watched.ready)


def _guarded(watched: Watched, call: Callable[[], None]) -> None:
    try:
        call()
    except Exception as error:  # must not affect other connections
        watched.broke(error)


Item = TypeVar("Item", bound=Watched)


class Waits(Generic[Item]):
    """Timeouts of equal length, so that they expire in the order in which they were added.

    Adding and removing cost one dictionary operation; the event loop has a single timer for all of them.
    """

    def __init__(self, poller: Poller, seconds: float, on_timeout: Callable[[Item], None]) -> None:
        self._loop, self._seconds, self._on_timeout = poller.loop, seconds, on_timeout
        self._deadlines: dict[Item, float] = {}  # by the loop's clock, in order
        self._armed = False

    def add(self, item: Item) -> None:
        """Start or restart the timeout of an item."""
        self._deadlines.pop(item, None)  # moves it to the end
        self._deadlines[item] = deadline = self._loop.time() + self._seconds
        if not self._armed:
            self._armed = True
            self._loop.call_at(deadline, self._on_timer)

    def remove(self, item: Item) -> None:
        """Cancel the timeout of an item, if it has one."""
        self._deadlines.pop(item, None)

    def _on_timer(self) -> None:
        now = self._loop.time()
        while self._deadlines:
            item, deadline = next(iter(self._deadlines.items()))
            if deadline > now:
                self._loop.call_at(deadline, self._on_timer)
                return
            del self._deadlines[item]
            try:
                self._on_timeout(item)
            except Exception as error:  # must not affect other connections
                item.broke(error)
        self._armed = False
