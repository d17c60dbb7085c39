"""Discovery's side: its list as it stands on the wire, and the watch calls."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import anyio

from flintfield.decision.interface import Entry, ListMode, State
from flintfield.memory.messages import Address, CallDiscovery, Message, Route, RouteCallFailed, RouteNews
from flintfield.wire.http1.client import Pool

WAIT_MS = 5_000  # how long a watch may wait for news: short, for a silent connection hides news that long
ANSWER_MS = 1_500.0  # what a call may take beyond its wait
STATES = {"in_service": State.READY, "terminating": State.DRAINING, "terminated": State.GONE}


class ListError(Exception):
    """A list that cannot be read."""


def worker_of(instance: str) -> int:
    """A next hop's number: alike at every scheduler and after every restart, for decisions rank by it."""
    return int.from_bytes(hashlib.blake2b(instance.encode(), digest_size=6).digest(), "little")


@dataclass(frozen=True, slots=True)
class Reader:
    """Reads discovery's lists; zones and machine types are places in the settings' lists."""

    zones: Sequence[str]
    kinds: Sequence[str]

    def news(self, raw: Any, cached: bool = False) -> RouteNews:
        """Read a list or a change of it."""
        try:
            mode = ListMode.CACHED if cached else ListMode.FULL if raw["reset"] else ListMode.DELTA
            return RouteNews(mode, int(raw["generation"]), tuple(self._route(r) for r in raw["instances"]))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise ListError(f"a list that cannot be read: {error!r}") from error

    def _route(self, raw: Any) -> Route:
        host, _, port = raw["hostPort"].rpartition(":")
        entry = Entry(
            worker=worker_of(raw["instanceId"]),
            # Guards against a word we do not know: nothing new goes to such a next hop.
            state=STATES.get(raw["lifecycle"], State.DRAINING),
            zone=_place(self.zones, raw.get("zone")),
            cell=int(raw.get("cell") or 0),
            kind=_place(self.kinds, raw.get("machineType")),
            weight=float(raw.get("weight") or 1.0),
            started_ms=float(raw.get("startedAtMs") or 0.0),
        )
        return Route(raw["instanceId"], (host, int(port)), entry)


def _place(names: Sequence[str], name: Any) -> int:
    return names.index(name) if name in names else len(names)


class Discovery:
    """The watch calls to discovery, one at a time on a kept connection."""

    def __init__(self, tell: Callable[[Message], None], pool: Pool, address: Address, reader: Reader) -> None:
        self._tell, self._pool, self._address, self._reader = tell, pool, address, reader

    async def call(self, effect: CallDiscovery) -> None:
        """One watch call; its news or its failure is told."""
        message: Message = RouteCallFailed("no answer in time")
        # Guards against a connection that says nothing any more: such a call must fail, not wait for ever.
        with anyio.move_on_after((WAIT_MS + ANSWER_MS) / 1000):
            try:
                message = await self._watch(effect.generation)
            except Exception as error:  # exceptions stop at the connection
                message = RouteCallFailed(repr(error))
        self._tell(message)

    async def _watch(self, generation: int) -> Message:
        connection = await self._pool.get(self._address)
        if connection is None:
            return RouteCallFailed("no connection")
        whole = False
        try:
            target = b"/v1/endpoints?index=%d&wait=%d" % (generation, WAIT_MS)
            data = connection.request(b"GET", target, [], b"")
            if await connection.stream.send(data) < len(data):
                return RouteCallFailed("broke while writing")
            head = await connection.head()
            body = await connection.body() if head else None
            whole = body is not None
        finally:
            if not whole:
                connection.stream.close()
        self._pool.keep(connection)
        if head is None or body is None or head.status != 200:
            return RouteCallFailed(f"answered {head.status}" if head else "broke before the answer")
        try:
            return self._reader.news(json.loads(body))
        except (ListError, ValueError) as error:
            return RouteCallFailed(str(error))
