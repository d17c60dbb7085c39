"""Wakes connections that can go on, without a task for any of them.

Rules:

1. Nobody waits here: whoever is watched is an object whose `ready` does what can be done now, and returns. A
   wake may be for nothing, so `ready` must bear to find neither bytes nor room.
2. An exception that leaves `ready` stops at its connection: `broke` is told, and nobody else is touched.
3. Whoever works for a caller names it. One caller's connections, however many, take turns with the others'
   callers, not with their connections.

Theory of operation. All sockets stand in the event loop's own epoll set (`sockets.py`), told in one batch a
turn: a waiting task for each socket would cost a future, a registration and a pass through the loop for each
wake (measured: 35 us a wait through anyio, 5 us here). Of a batch, listeners and spare connections go first,
for they are few. The others, a caller's leg and the branches of its jobs, stand under that caller, what ends
work before what begins it; one after the other is woken, in turn with those of other callers, until a turn's
worth is done. Then the event loop has its own turn: timers, tasks, and this poller again, which is told anew.
The set is level-triggered: who was not woken is ready again in the next turn, at no cost but the asking.

Fairness is the plain round robin of J. Nagle, "On Packet Switches With Infinite Storage" (RFC 970, 1985),
with a wake for a packet and a caller's address for a source. Weights and deficits as of later work were left
out: wakes cost us about the same, whatever the size of what they bring.
"""

from __future__ import annotations

import asyncio
import select
from collections import OrderedDict, deque
from collections.abc import Callable, Hashable
from typing import Generic, Protocol, TypeVar

import anyio

from flintfield.wire.http1.sockets import Batch, Loop

READ, WRITE, NOTHING = select.EPOLLIN, select.EPOLLOUT, 0  # an end or an error is told with any of them
TURN = 32  # woken for callers before the event loop has its turn; at 0.1 ms each that is 3 ms


class Watched(Protocol):
    """What can be watched: something with one socket."""

    @property
    def caller(self) -> Hashable | None:
        """The caller that it works for, and that takes turns with the others; None goes before all."""

    @property
    def urgent(self) -> bool:
        """Whether it ends work that was begun: of one caller's, it goes first."""

    def ready(self) -> None:
        """Something may go on: do what can be done without waiting."""

    def broke(self, error: Exception) -> None:
        """`ready` raised this: give up."""


class Poller:
    """Sockets of one event loop that are served without tasks; made within a running `Loop`."""

    def __init__(self, turn: int = TURN) -> None:
        loop = asyncio.get_running_loop()
        if not isinstance(loop, Loop):
            raise TypeError(f"the poller needs a {Loop.__qualname__}, this is a {type(loop).__qualname__}")
        self.loop = loop
        self._sockets = loop.sockets
        self._batch = Batch(self._turn)
        self._turn_size = turn
        self._watched: dict[int, Watched] = {}  # by descriptor
        self._gone: set[int] = set()  # descriptors let go of in this turn: what is told of them is old
        self._order: OrderedDict[Hashable, None] = OrderedDict()  # callers, the one longest unserved first
        self._turning = False
        self._soon: deque[tuple[Watched, Callable[[], None]]] = deque()  # calls for the end of this turn

    def close(self) -> None:
        """Watch nobody any more."""
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
        """Wake `watched` when one of the events has come, until `forget`."""
        self._sockets.watch(descriptor, self._batch, events)
        self._watched[descriptor] = watched

    def change(self, descriptor: int, events: int) -> None:
        """Look for other events; an end or an error is told whatever is asked for."""
        self._sockets.change(descriptor, events)

    def hand(self, descriptor: int, watched: Watched) -> None:
        """Wake somebody else from now on."""
        self._watched[descriptor] = watched

    def forget(self, descriptor: int) -> None:
        """Let go of a descriptor that is closed next, which takes it out of the set."""
        if self._watched.pop(descriptor, None) is not None:
            self._gone.add(descriptor)
            self._sockets.forget(descriptor)

    def stop(self, descriptor: int) -> None:
        """Let go of a descriptor whose socket stays open elsewhere, and so would stay in the set."""
        if self._watched.pop(descriptor, None) is not None:
            self._gone.add(descriptor)
            self._sockets.stop(descriptor)

    def later(self, seconds: float, watched: Watched, call: Callable[[], None]) -> asyncio.TimerHandle:
        """Call once after that time, for what is rare; what is raised is told to `watched`."""
        return self.loop.call_later(seconds, _guarded, watched, call)

    def soon(self, watched: Watched, call: Callable[[], None]) -> None:
        """Call once what runs now has returned; what is raised is told to `watched`."""
        if self._turning:
            self._soon.append((watched, call))  # at the end of this turn: sooner than the loop would
        else:
            self.loop.call_soon(_guarded, watched, call)

    # --------------------------------------------------------------- the turn

    def _turn(self, ready: list[tuple[int, int]]) -> None:
        self._turning = True
        try:
            self._wake_ready(ready)
            while self._soon:
                _guarded(*self._soon.popleft())
        finally:
            self._turning = False
            self._gone.clear()

    def _wake_ready(self, ready: list[tuple[int, int]]) -> None:
        """Wake those who work for nobody, then the others: the urgent first, or caller by caller."""
        urgent: list[tuple[int, Hashable]] = []
        others: list[tuple[int, Hashable]] = []
        for descriptor, _ in ready:
            if (watched := self._watched.get(descriptor)) is None or descriptor in self._gone:
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
        self._order.clear()
        for descriptor, _ in urgent:
            self._wake(descriptor)
        for descriptor, _ in others:
            self._wake(descriptor)

    def _take_turns(self, ready: list[tuple[int, Hashable]]) -> None:
        """Wake one of each caller after the other, as many as a turn has."""
        waiting: dict[Hashable, deque[int]] = {}
        for descriptor, caller in ready:
            waiting.setdefault(caller, deque()).append(descriptor)
        # Who was served in the last turn and waits again stands behind those who were not.
        last = [caller for caller in self._order if caller in waiting]
        order = deque([*(c for c in waiting if c not in self._order), *last])
        self._order = OrderedDict.fromkeys(last)
        for _ in range(self._turn_size):
            caller = order.popleft()
            self._wake(waiting[caller].popleft())
            if waiting[caller]:
                order.append(caller)
            self._order[caller] = None
            self._order.move_to_end(caller)

    def _wake(self, descriptor: int) -> None:
        watched = self._watched.get(descriptor)
        if watched is not None and descriptor not in self._gone:
            _guarded(watched, watched.ready)


def _guarded(watched: Watched, call: Callable[[], None]) -> None:
    try:
        call()
    except Exception as error:  # exceptions stop at the connection
        watched.broke(error)


Item = TypeVar("Item", bound=Watched)


class Waits(Generic[Item]):
    """Those that all wait equally long: the first to come is the first whose time is over.

    Adding and removing cost an entry of a dictionary; the event loop has one timer for all, however many.
    """

    def __init__(self, poller: Poller, seconds: float, over: Callable[[Item], None]) -> None:
        self._loop, self._seconds, self._over = poller.loop, seconds, over
        self._ends: dict[Item, float] = {}  # on the loop's clock, in order
        self._armed = False

    def add(self, item: Item) -> None:
        """Let it wait from now on."""
        self._ends.pop(item, None)  # it stands last now
        self._ends[item] = ends = self._loop.time() + self._seconds
        if not self._armed:
            self._armed = True
            self._loop.call_at(ends, self._ring)

    def remove(self, item: Item) -> None:
        """It waits no longer, if it did."""
        self._ends.pop(item, None)

    def _ring(self) -> None:
        now = self._loop.time()
        while self._ends:
            item, ends = next(iter(self._ends.items()))
            if ends > now:
                self._loop.call_at(ends, self._ring)
                return
            del self._ends[item]
            try:
                self._over(item)
            except Exception as error:  # exceptions stop at the connection
                item.broke(error)
        self._armed = False
