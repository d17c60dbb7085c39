"""The event loop's selector: one epoll set for asyncio's own descriptors and for those reported in batches.

Rules:

1. There is one epoll set and one wait, the event loop's. `epoll(7)` allows nesting an epoll set in another,
   but not every kernel substitute wakes for a nested one: on a platform that redirects a process's system
   calls, a scheduler whose sockets were in a nested set accepted no connection at all.
2. This module makes no decisions. A ready descriptor is recorded in its owner's batch, and the batch is
   delivered in the same iteration of the event loop.

Theory of operation. asyncio waits in `select` of a `selectors.BaseSelector`; this is one, based on
`select.epoll`. Descriptors that the loop registers are reported to the loop as by `selectors.EpollSelector`.
Descriptors registered by `watch` need no key and no handle: their events go to their batch, and the batch's
owner is called once, as a callback of the same iteration (`call_soon` from within `select`, which runs on
the loop's own thread).
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import select
import selectors
from collections.abc import Callable, Mapping
from typing import Any, Protocol, cast

MAX_EVENTS = 8_192  # most events fetched by one epoll wait


class HasFileno(Protocol):
    """An object with a file descriptor."""

    def fileno(self) -> int:
        """The descriptor."""


class Batch:
    """Events of one owner's descriptors since the owner was last called."""

    __slots__ = ("callback", "ready")

    def __init__(self, callback: Callable[[list[tuple[int, int]]], None]) -> None:
        self.callback = callback
        self.ready: list[tuple[int, int]] = []

    def hand_on(self) -> None:
        """Call the owner with the collected pairs of descriptor and epoll events."""
        ready, self.ready = self.ready, []
        self.callback(ready)


class SocketSet(selectors.BaseSelector):
    """An epoll set: the event loop's selector, with further descriptors that are reported to batches."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._keys: dict[int, selectors.SelectorKey] = {}  # the event loop's
        self._batches: dict[int, Batch] = {}  # by descriptor
        self.soon: Callable[[Callable[[], None]], object]  # the event loop's call_soon

    # --------------------------------------------- selector of the event loop

    def register(self, fileobj: int | HasFileno, events: int, data: Any = None) -> selectors.SelectorKey:
        """Register for events; raises as `selectors.BaseSelector.register` does."""
        descriptor = _descriptor(fileobj)
        if descriptor in self._keys:
            raise KeyError(f"{descriptor} is registered")
        self._epoll.register(descriptor, _epoll_events(events))
        key = self._keys[descriptor] = selectors.SelectorKey(fileobj, descriptor, events, data)
        return key

    def unregister(self, fileobj: int | HasFileno) -> selectors.SelectorKey:
        """Unregister; raises as `selectors.BaseSelector.unregister` does."""
        key = self._keys.pop(_descriptor(fileobj))
        with contextlib.suppress(OSError):  # already closed, which removed it from the set
            self._epoll.unregister(key.fd)
        return key

    def modify(self, fileobj: int | HasFileno, events: int, data: Any = None) -> selectors.SelectorKey:
        """Change the events; raises as `selectors.BaseSelector.modify` does."""
        key = self._keys[_descriptor(fileobj)]
        if events != key.events:
            self._epoll.modify(key.fd, _epoll_events(events))
        key = self._keys[key.fd] = key._replace(events=events, data=data)
        return key

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait up to `timeout` s (None: no limit); return the loop's own events, batch the others."""
        # Rounded up: rounding down would spin through iterations just before a timer is due.
        wait = -1.0 if timeout is None else 0.0 if timeout <= 0 else math.ceil(timeout * 1e3) * 1e-3
        max_events = min(MAX_EVENTS, len(self._keys) + len(self._batches) + 1)
        try:
            events_by_descriptor = self._epoll.poll(wait, max_events)
        except InterruptedError:
            return []
        loop_events: list[tuple[selectors.SelectorKey, int]] = []
        for descriptor, events in events_by_descriptor:
            if batch := self._batches.get(descriptor):
                if not batch.ready:
                    self.soon(batch.hand_on)
                batch.ready.append((descriptor, events))
            elif key := self._keys.get(descriptor):
                mask = ((selectors.EVENT_WRITE if events & ~select.EPOLLIN else 0)
                        | (selectors.EVENT_READ if events & ~select.EPOLLOUT else 0))
                if mask & key.events:
                    loop_events.append((key, mask & key.events))
        return loop_events

    def get_map(self) -> Mapping[int | HasFileno, selectors.SelectorKey]:
        """The event loop's keys, by descriptor."""
        return cast("Mapping[int | HasFileno, selectors.SelectorKey]", self._keys)

    def get_key(self, fileobj: int | HasFileno) -> selectors.SelectorKey:
        """The event loop's key; KeyError if there is none."""
        return self._keys[_descriptor(fileobj)]

    def close(self) -> None:
        """Drop all registrations and close the epoll set."""
        self._keys.clear()
        self._batches.clear()
        self._epoll.close()

    # ----------------------------------------------- descriptors in batches

    def watch(self, descriptor: int, batch: Batch, events: int) -> None:
        """Report epoll events of a descriptor to that batch; raises OSError if it can't be registered."""
        self._epoll.register(descriptor, events)
        self._batches[descriptor] = batch

    def change(self, descriptor: int, events: int) -> None:
        """Change the epoll events; hangups and errors are always reported."""
        self._epoll.modify(descriptor, events)

    def forget(self, descriptor: int) -> None:
        """Forget a descriptor that is about to be closed; closing removes it from the epoll set."""
        self._batches.pop(descriptor, None)

    def stop(self, descriptor: int) -> None:
        """Unregister a descriptor that stays open."""
        if self._batches.pop(descriptor, None):
            self._epoll.unregister(descriptor)


class Loop(asyncio.SelectorEventLoop):
    """An event loop that uses a `SocketSet`, available as `sockets`."""

    def __init__(self) -> None:
        self.sockets = SocketSet()
        super().__init__(self.sockets)
        self.sockets.soon = self.call_soon


LOOP: dict[str, Any] = {"loop_factory": Loop}
"""`backend_options` of `anyio.run`."""


def _descriptor(fileobj: int | HasFileno) -> int:
    return fileobj if isinstance(fileobj, int) else fileobj.fileno()


def _epoll_events(events: int) -> int:
    return ((select.EPOLLIN if events & selectors.EVENT_READ else 0)
            | (select.EPOLLOUT if events & selectors.EVENT_WRITE else 0))
