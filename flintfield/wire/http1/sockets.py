"""The event loop's one set of sockets: its own readers and writers, and those that are told in batches.

Rules:

1. There is one epoll set and one wait, the event loop's. A set within the set (`epoll(7)` allows it) is a
   file that not every stand-in of a kernel wakes for: on a platform that leads a process's system calls
   elsewhere, a scheduler whose sockets stood in such a set took no connection at all.
2. Nothing is decided here. Who is ready is noted in the batch of whom it belongs to, and the batch is handed
   on in the event loop's same turn.

Theory of operation. asyncio waits in `select` of a `selectors.BaseSelector`; this is one, over
`select.epoll`. What the loop registers is told to the loop as by `selectors.EpollSelector`. What is
registered by `watch` costs no key and no handle: its descriptor and events go to its batch, and the batch's
owner is called once, as a callback of that same turn (`call_soon` from within `select`, which runs on the
loop's own thread).
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import select
import selectors
from collections.abc import Callable, Mapping
from typing import Any, Protocol, cast

MOST_READY = 8_192  # asked for at once


class HasFileno(Protocol):
    """What has a descriptor."""

    def fileno(self) -> int:
        """The descriptor."""


class Batch:
    """Descriptors of one owner, and what was told of them since it was last called."""

    __slots__ = ("called", "ready")

    def __init__(self, called: Callable[[list[tuple[int, int]]], None]) -> None:
        self.called = called
        self.ready: list[tuple[int, int]] = []

    def hand_on(self) -> None:
        """Call the owner with pairs of descriptor and epoll events."""
        ready, self.ready = self.ready, []
        self.called(ready)


class SocketSet(selectors.BaseSelector):
    """An epoll set; a selector to the event loop, with descriptors beside the loop's that go to batches."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._keys: dict[int, selectors.SelectorKey] = {}  # the event loop's
        self._batches: dict[int, Batch] = {}  # by descriptor
        self.soon: Callable[[Callable[[], None]], object]  # the event loop's call_soon

    # ---------------------------------------------------------- the loop's own

    def register(self, fileobj: int | HasFileno, events: int, data: Any = None) -> selectors.SelectorKey:
        """Look for events; errors as of `selectors.BaseSelector`."""
        descriptor = _descriptor(fileobj)
        if descriptor in self._keys:
            raise KeyError(f"{descriptor} is registered")
        self._epoll.register(descriptor, _epoll_events(events))
        key = self._keys[descriptor] = selectors.SelectorKey(fileobj, descriptor, events, data)
        return key

    def unregister(self, fileobj: int | HasFileno) -> selectors.SelectorKey:
        """Look no more; errors as of `selectors.BaseSelector`."""
        key = self._keys.pop(_descriptor(fileobj))
        with contextlib.suppress(OSError):  # it was closed before, which took it out of the set
            self._epoll.unregister(key.fd)
        return key

    def modify(self, fileobj: int | HasFileno, events: int, data: Any = None) -> selectors.SelectorKey:
        """Look for other events; errors as of `selectors.BaseSelector`."""
        key = self._keys[_descriptor(fileobj)]
        if events != key.events:
            self._epoll.modify(key.fd, _epoll_events(events))
        key = self._keys[key.fd] = key._replace(events=events, data=data)
        return key

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait up to `timeout` s (None: for ever); tell the loop of its own, note the others."""
        # Up, not down: guards against turn after turn before the time.
        wait = -1.0 if timeout is None else 0.0 if timeout <= 0 else math.ceil(timeout * 1e3) * 1e-3
        most = min(MOST_READY, len(self._keys) + len(self._batches) + 1)
        try:
            told = self._epoll.poll(wait, most)
        except InterruptedError:
            return []
        own: list[tuple[selectors.SelectorKey, int]] = []
        for descriptor, events in told:
            if batch := self._batches.get(descriptor):
                if not batch.ready:
                    self.soon(batch.hand_on)
                batch.ready.append((descriptor, events))
            elif key := self._keys.get(descriptor):
                mask = ((selectors.EVENT_WRITE if events & ~select.EPOLLIN else 0)
                        | (selectors.EVENT_READ if events & ~select.EPOLLOUT else 0))
                if mask & key.events:
                    own.append((key, mask & key.events))
        return own

    def get_map(self) -> Mapping[int | HasFileno, selectors.SelectorKey]:
        """The event loop's keys, by descriptor."""
        return cast("Mapping[int | HasFileno, selectors.SelectorKey]", self._keys)

    def get_key(self, fileobj: int | HasFileno) -> selectors.SelectorKey:
        """The event loop's key; KeyError if there is none."""
        return self._keys[_descriptor(fileobj)]

    def close(self) -> None:
        """Let go of all."""
        self._keys.clear()
        self._batches.clear()
        self._epoll.close()

    # ------------------------------------------------------------ in batches

    def watch(self, descriptor: int, batch: Batch, events: int) -> None:
        """Note epoll events of a descriptor in that batch; an OSError tells why it can not be."""
        self._epoll.register(descriptor, events)
        self._batches[descriptor] = batch

    def change(self, descriptor: int, events: int) -> None:
        """Look for other epoll events; an end or an error is told whatever is asked for."""
        self._epoll.modify(descriptor, events)

    def forget(self, descriptor: int) -> None:
        """Let go of a descriptor that is closed next, which takes it out of the set."""
        self._batches.pop(descriptor, None)

    def stop(self, descriptor: int) -> None:
        """Look no more at a descriptor that stays open."""
        if self._batches.pop(descriptor, None):
            self._epoll.unregister(descriptor)


class Loop(asyncio.SelectorEventLoop):
    """The event loop over a `SocketSet`, which stands in `sockets`."""

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
