"""Idle connections of one scheduler, kept for the next use and closed once they are idle too long."""

from __future__ import annotations

import math
from functools import partial

from flintfield.lab.virtual.connections import Link
from flintfield.lab.virtual.loop import Loop
from flintfield.lab.virtual.wires import Wires
from flintfield.memory.messages import Address


class IdleConnections:
    """Idle connections by address, the last used at the end, with the time since when they are idle.

    `retire_ms` is how long one may be idle; `most` bounds those to one address, and one more is closed.
    """

    def __init__(self, loop: Loop, wires: Wires, retire_ms: float, most: float = math.inf) -> None:
        self._loop, self._wires = loop, wires
        self._retire_ms, self._most = retire_ms, most
        self._idle: dict[Address, list[tuple[float, Link]]] = {}

    def take(self, address: Address) -> Link | None:
        """The connection to that address that was used last and still stands."""
        idle = self._idle.get(address, [])
        while idle:
            since, link = idle.pop()
            if link.open and self._loop.now - since < self._retire_ms:
                return link
            self._wires.hang_up(link)
        return None

    def put(self, address: Address, link: Link) -> None:
        """Keep a connection on which nothing is out."""
        idle = self._idle.setdefault(address, [])
        if len(idle) >= self._most:
            self._wires.hang_up(link)
            return
        link.broken = partial(_broke, link)
        idle.append((self._loop.now, link))

    def drop(self, address: Address) -> None:
        """Close all connections to that address."""
        for _, link in self._idle.pop(address, []):
            self._wires.hang_up(link)

    def sweep(self) -> None:
        """Close what has been idle too long."""
        for idle in self._idle.values():
            while idle and self._loop.now - idle[0][0] >= self._retire_ms:
                self._wires.hang_up(idle.pop(0)[1])

    def close(self) -> None:
        """Close all of them."""
        for address in list(self._idle):
            self.drop(address)


def _broke(link: Link) -> None:
    link.open = False
