"""Connections to next hops that wait for their next job.

Only what is beyond doubt stands here: its last answer was regular and read to its end. A spare is watched:
what the next hop says or ends while it waits closes it at once. Each waits no longer than a part of the time
after which the next hop closes it, and there are few: a next hop holds only so many, and we have only so many
descriptors.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable

from flintfield.memory.messages import Address
from flintfield.wire.http1.poller import Poller, Waits
from flintfield.wire.http1.stream import Stream

MOST_EACH = 8  # for one next hop


class Spare:
    """One connection that waits."""

    caller: Hashable | None = None  # it works for nobody
    urgent = False
    __slots__ = ("_spares", "address", "stream")

    def __init__(self, stream: Stream, address: Address, spares: Spares) -> None:
        self.stream, self.address, self._spares = stream, address, spares

    def ready(self) -> None:
        """The next hop ended it, or said what nobody asked for."""
        self._spares.close(self)

    def broke(self, error: Exception) -> None:
        """An exception stops here."""
        self._spares.close(self)


class Spares:
    """All spares, by address; the last used goes first."""

    def __init__(self, poller: Poller, retire_s: float, most: int) -> None:
        self._poller, self._most = poller, most
        self._shut: frozenset[Address] = frozenset()  # none is kept for these
        self._by_address: dict[Address, list[Spare]] = {}
        self._oldest: OrderedDict[Spare, None] = OrderedDict()
        self._waits: Waits[Spare] = Waits(poller, retire_s, self.close)

    def put(self, stream: Stream, address: Address) -> None:
        """Keep a connection, which is watched already."""
        spares = self._by_address.setdefault(address, [])
        if len(spares) >= MOST_EACH or not self._most or address in self._shut:
            self.close(Spare(stream, address, self))
            if not spares:
                del self._by_address[address]
            return
        spare = Spare(stream, address, self)
        spares.append(spare)
        self._oldest[spare] = None
        self._waits.add(spare)
        self._poller.hand(stream.descriptor, spare)
        if len(self._oldest) > self._most:
            self.close_oldest()

    def take(self, address: Address) -> Stream | None:
        """A connection to that address, which is still watched; None if there is none."""
        if not (spares := self._by_address.get(address)):
            return None
        spare = spares[-1]
        self._remove(spare)
        return spare.stream

    def close(self, spare: Spare) -> None:
        """Close one now."""
        self._remove(spare)
        self._poller.forget(spare.stream.descriptor)
        spare.stream.close()

    def close_oldest(self) -> bool:
        """Close the one that has waited longest; whether there was any."""
        if not self._oldest:
            return False
        self.close(next(iter(self._oldest)))
        return True

    def forget(self, address: Address) -> None:
        """Close all to an address: what ended one connection may have ended all."""
        for spare in list(self._by_address.get(address, ())):
            self.close(spare)

    def shut(self, addresses: frozenset[Address]) -> None:
        """Keep none for these addresses from now on; others that were shut are so no more."""
        self._shut = addresses
        for address in addresses:
            self.forget(address)

    def _remove(self, spare: Spare) -> None:
        if self._oldest.pop(spare, self) is self:
            return  # it never stood here
        spares = self._by_address[spare.address]
        spares.remove(spare)
        if not spares:
            del self._by_address[spare.address]
        self._waits.remove(spare)
