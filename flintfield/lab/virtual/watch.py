"""One scheduler's watch of discovery: the calls that it has out there, and their ends."""

from __future__ import annotations

from collections.abc import Callable

from flintfield.lab.virtual.interface import Process
from flintfield.memory.messages import CallDiscovery, Message, RouteCallFailed
from flintfield.wire.http1 import discovery


class Watch:
    """Calls discovery; `is_due` tells whether a call is still wanted when its pause is over."""

    def __init__(self, process: Process, is_due: Callable[[int], bool]) -> None:
        self._process, self._is_due = process, is_due
        self._loop, self._listing = process.run.loop, process.run.listing
        self.name, self.zone = process.name, process.zone
        self._calls: dict[int, int] = {}  # our number of a call to discovery: the engine's
        self._knows_discovery = False  # a connection to it is kept

    def call(self, effect: CallDiscovery) -> None:
        """Call discovery, after the pause that watches make."""
        self._loop.at(self._loop.now + self._listing.pause_ms, self._call_now, effect)

    def _call_now(self, effect: CallDiscovery) -> None:
        if not self._process.alive or not self._is_due(effect.call):
            return
        self._loop.at(self._loop.now + discovery.within_ms(effect), self._call_late, effect.call)
        self._calls[effect.call] = self._listing.call(self, effect, self._knows_discovery)

    def _call_late(self, call: int) -> None:
        if call in self._calls:
            self._listing.leave(self, self._calls[call])
            self.call_ended(call, RouteCallFailed("no answer in time", call, silent=True))

    def call_ended(self, call: int, message: Message) -> None:
        """A call to discovery came to its end."""
        if self._process.alive and self._calls.pop(call, None) is not None:
            self._knows_discovery = not isinstance(message, RouteCallFailed)
            self._process.tell(message)

    def leave(self) -> None:
        """Leave all calls, and the connection."""
        for call in list(self._calls):
            self._listing.leave(self, self._calls.pop(call))
        self._knows_discovery = False
