"""Client of the discovery service: parses its server lists and makes the watch calls."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

import anyio

from flintfield.decision.interface import Entry, ListMode, State
from flintfield.memory.messages import (
    Address, CallDiscovery, LeaveDiscovery, Message, Reach, Route, RouteCallFailed, RouteUpdate,
    worker_of,
)
from flintfield.wire.http1.client import Pool
from flintfield.wire.http1.lines import read_json

# A change that a silent watch misses counts as delivered 6 s after the watch fell silent, or 2 s after its
# wait if that is later. The wait is short enough that two more calls fit into that time, even if discovery
# queues each for as long as it lets a call wait.
WAIT_MS = 3_000  # long-poll time of a watch
AT_ONCE_MS = 1  # wait of a call that is answered immediately with the changes there are
ANSWER_MS = 1_000.0  # time limit of a call for changes, beyond its wait
WHOLE_MS = 1_500.0  # time limit of a call for the whole list
BUSY = frozenset({429, 503})  # discovery is reachable but overloaded
STATES = {"in_service": State.READY, "terminating": State.DRAINING, "terminated": State.GONE}


class ListError(Exception):
    """A server list that can't be parsed."""


@dataclass(frozen=True, slots=True)
class Reader:
    """Parses discovery's lists; zones and machine types become indexes into the settings' lists."""

    zones: Sequence[str]
    kinds: Sequence[str]

    def news(self, raw: Any, cached: bool = False) -> RouteUpdate:
        """Parse a full list or a delta."""
        try:
            mode = ListMode.CACHED if cached else ListMode.FULL if raw["reset"] else ListMode.DELTA
            routes = [self._route(r) for r in list(raw["instances"])]
            return RouteUpdate(mode, int(raw["generation"]), tuple(r for r in routes if r))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise ListError(f"server list can't be parsed: {error!r}") from error

    def _route(self, raw: Any) -> Route | None:
        """Parse one entry; None if it has no instance id. A malformed entry doesn't invalidate the list."""
        if not isinstance(raw, Mapping) or not isinstance(name := raw.get("instanceId"), str):
            return None
        address = _address(raw.get("hostPort"))
        lifecycle = raw.get("lifecycle")
        # An unknown lifecycle state or address counts as draining: no new work goes to such a next hop.
        state = STATES.get(lifecycle, State.DRAINING) if isinstance(lifecycle, str) else State.DRAINING
        if address is None and state is State.READY:
            state = State.DRAINING
        entry = Entry(
            worker=worker_of(name),
            state=state,
            zone=_index_of(self.zones, raw.get("zone")),
            cell=int(_number_or(raw.get("cell"), 0.0)),
            kind=_index_of(self.kinds, raw.get("machineType")),
            weight=_number_or(raw.get("weight"), 1.0) or 1.0,
            started_ms=_number_or(raw.get("startedAtMs"), 0.0),
        )
        return Route(name, address or ("", 0), entry)


def _index_of(names: Sequence[str], name: Any) -> int:
    return names.index(name) if name in names else len(names)


def _address(text: Any) -> Address | None:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    return (host.strip("[]"), int(port)) if host and port.isdecimal() and 0 < int(port) < 65_536 else None


def _number_or(value: Any, default: float) -> float:
    """A number of an entry; the default if it is missing, not a number or out of range."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(value) if is_number and 0 <= value < 1e15 else default


def wait_ms(effect: CallDiscovery) -> int | None:
    """How long the call asks discovery to wait for changes; None for a call for the whole list."""
    if effect.generation is None:
        return None
    return WAIT_MS if effect.waits else AT_ONCE_MS


def within_ms(effect: CallDiscovery) -> float:
    """Time limit of the call, after which its connection counts as silent."""
    waits = wait_ms(effect)
    return WHOLE_MS if waits is None else ANSWER_MS + waits


class Discovery:
    """Makes the watch calls to discovery, one at a time on a kept-alive connection."""

    def __init__(self, tell: Callable[[Message], None], pool: Pool, reader: Reader) -> None:
        self._tell, self._pool, self._reader = tell, pool, reader
        self._scopes: dict[int, anyio.CancelScope] = {}

    def open(self, effect: CallDiscovery) -> None:
        """Register a call before `run` makes it, so that it can be cancelled earlier."""
        self._scopes[effect.call] = anyio.CancelScope()

    def leave(self, effect: LeaveDiscovery) -> None:
        """Cancel the call in flight without waiting, and close idle connections to that address."""
        for scope in self._scopes.values():
            scope.cancel()
        self._pool.forget(effect.address)

    async def run(self, effect: CallDiscovery) -> None:
        """Make one call and report its result or failure."""
        message: Message = RouteCallFailed("no answer in time", effect.call, silent=True)
        scope = self._scopes[effect.call]
        # A call on a connection that has gone silent must fail rather than wait forever.
        scope.deadline = anyio.current_time() + within_ms(effect) / 1000
        with scope:
            try:
                message = await self._ask(effect)
            except Exception as error:  # must not affect other connections
                message = RouteCallFailed(repr(error), effect.call)
        del self._scopes[effect.call]
        self._tell(message)

    async def _ask(self, effect: CallDiscovery) -> Message:
        index, wait = effect.generation, wait_ms(effect)
        query = b"" if index is None or wait is None else b"?index=%d&wait=%d" % (index, wait)
        page = await self._pool.fetch(effect.address, b"/v1/endpoints" + query, math.inf)
        if isinstance(page, Reach):
            reason = "broke before the answer" if page is Reach.SENT else "no connection"
            return RouteCallFailed(reason, effect.call)
        if page.head.status != 200:
            return RouteCallFailed(f"answered {page.head.status}", effect.call, page.head.status in BUSY)
        try:
            return replace(self._reader.news(read_json(page.body)), call=effect.call)
        except (ListError, ValueError) as error:
            return RouteCallFailed(str(error), effect.call)
