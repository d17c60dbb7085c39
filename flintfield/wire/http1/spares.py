"""Pool of idle connections to next hops, kept for their next job.

A connection is kept only if its last response was regular and read to its end. An idle connection is watched:
if the next hop sends anything or closes it, it is closed at once. Each is kept for only part of the time
after which the next hop closes idle connections. Their number is limited, because a next hop accepts a
limited number of connections and this process has a limited number of descriptors.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable

from flintfield.memory.messages import Address
from flintfield.wire.http1.poller import Poller, Waits
from flintfield.wire.http1.stream import Stream

MOST_EACH = 8  # idle connections per next hop


class Spare:
    """One idle connection."""

    caller: Hashable | None = None  # it serves no caller
    urgent = False
    __slots__ = ("_spares", "address", "stream")

    def __init__(self, stream: Stream, address: Address, spares: Spares) -> None:
        self.stream, self.address, self._spares = stream, address, spares

    def ready(self) -> None:
        """The next hop closed it or sent unexpected data."""
        self._spares.close(self)

    def broke(self, error: Exception) -> None:
        """Close the connection after an exception in `ready`."""
        self._spares.close(self)


class Spares:
    """All idle connections, by address; the most recently used one is reused first."""

    def __init__(self, poller: Poller, retire_s: float, most: int) -> None:
        self._poller, self._most = poller, most
        self._shut_addresses: frozenset[Address] = frozenset()  # addresses for which no connection is kept
        self._by_address: dict[Address, list[Spare]] = {}
        self._by_age: OrderedDict[Spare, None] = OrderedDict()
        self._waits: Waits[Spare] = Waits(poller, retire_s, self.close)

    def put(self, stream: Stream, address: Address) -> None:
        """Add an idle connection that the poller watches already."""
        spares = self._by_address.setdefault(address, [])
        if len(spares) >= MOST_EACH or not self._most or address in self._shut_addresses:
            self.close(Spare(stream, address, self))
            if not spares:
                del self._by_address[address]
            return
        spare = Spare(stream, address, self)
        spares.append(spare)
        self._by_age[spare] = None
        self._waits.add(spare)
        self._poller.hand(stream.descriptor, spare)
        if len(self._by_age) > self._most:
            self.close_oldest()

    def take(self, address: Address) -> Stream | None:
        """Remove and return an idle connection to that address, still watched; None if there is none."""
        if not (spares := self._by_address.get(address)):
            return None
        spare = spares[-1]
        self._remove(spare)
        return spare.stream

    def close(self, spare: Spare) -> None:
        """Close one idle connection."""
        self._remove(spare)
        self._poller.forget(spare.stream.descriptor)
        spare.stream.close()

    def close_oldest(self) -> bool:
        """Close the connection that has been idle longest; whether there was one."""
        if not self._by_age:
            return False
        self.close(next(iter(self._by_age)))
        return True

    def forget(self, address: Address) -> None:
        """Close all connections to an address; a failure of one may affect all of them."""
        for spare in list(self._by_address.get(address, ())):
            self.close(spare)

    def shut(self, addresses: frozenset[Address]) -> None:
        """Replace the set of addresses for which no connection is kept, and close those to them."""
        self._shut_addresses = addresses
        for address in addresses:
            self.forget(address)

    def _remove(self, spare: Spare) -> None:
        if self._by_age.pop(spare, self) is self:
            return  # it was never added
        spares = self._by_address[spare.address]
        spares.remove(spare)
        if not spares:
            del self._by_address[spare.address]
        self._waits.remove(spare)
