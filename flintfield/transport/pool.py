"""Connections by address, made on demand and shared by concurrent callers."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from flintfield.transport.connection import Connection, Handlers
from flintfield.transport.counters import Counters
from flintfield.transport.errors import Unreachable
from flintfield.transport.sockets import parse_address

CONNECT_TIMEOUT_S = 1.0  # an opening packet that was dropped is sent again no sooner: better a new attempt
BACKOFF_S = 0.1
BACKOFF_JITTER = 0.5  # each back-off is within this share of `BACKOFF_S`, so that callers don't march in step
MAX_ADDRESSES = 1_024
MAX_WAITING_MESSAGES = 64  # one-way messages that wait for one connection


async def connect(
    address: str, handlers: Handlers, timeout_s: float, counters: Counters | None = None
) -> Connection:
    """Open a connection to "ip:port"; raises `Unreachable`."""
    counted = counters if counters is not None else Counters()
    loop = asyncio.get_running_loop()
    try:
        ip, port = parse_address(address)
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(lambda: Connection(handlers, counted), ip, port)
            return connection
    except (OSError, ValueError) as error:  # TimeoutError is an OSError
        counted.failed_connects += 1
        raise Unreachable(f"{address}: {error or 'timed out'}") from error


class _Peer:
    """One address: its connection, or the attempt to make one, or the back-off after a failed attempt."""

    __slots__ = ("attempt", "connection", "retry_at_s", "waiting")

    def __init__(self) -> None:
        self.connection: Connection | None = None
        self.attempt: asyncio.Task[Connection] | None = None
        self.retry_at_s = 0.0
        self.waiting: list[Any] = []

    def open_connection(self) -> Connection | None:
        connection = self.connection
        return connection if connection is not None and not connection.closed else None

    def idle(self, now_s: float) -> bool:
        return self.open_connection() is None and self.attempt is None and now_s >= self.retry_at_s


class Pool:
    """Calls and one-way messages by address; one connection an address."""

    def __init__(self, handlers: Handlers | None = None, random_source: random.Random | None = None) -> None:
        self.counters = Counters()
        self._handlers: Handlers = handlers if handlers is not None else {}
        self._random = random_source if random_source is not None else random.Random()
        self._peers: dict[str, _Peer] = {}
        self._closed = False

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """Call the process at "ip:port", connecting first where needed; raises as `Connection.call` does.

        The time to connect counts against the timeout. Within the back-off after a failed attempt, calls fail
        at once as `Unreachable`.
        """
        peer = self._peers.get(address)
        connection = peer.open_connection() if peer is not None else None
        if connection is not None:
            return await connection.call(message, timeout_s)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        connection = await self._connected(address, timeout_s)
        return await connection.call(message, max(0.0, deadline_s - loop.time()))

    def send(self, address: str, message: Any) -> None:
        """Send a one-way message; connects in the background and drops it where the peer is unreachable."""
        peer = self._peers.get(address)
        connection = peer.open_connection() if peer is not None else None
        if connection is not None:
            connection.send(message)
            return
        try:
            peer = self._attempting(address)
        except Unreachable:
            self.counters.dropped_one_way += 1
            return
        if len(peer.waiting) >= MAX_WAITING_MESSAGES:
            self.counters.dropped_one_way += 1
            return
        peer.waiting.append(message)

    async def close(self) -> None:
        """Close all connections; later calls fail as `Unreachable`."""
        self._closed = True
        attempts = [peer.attempt for peer in self._peers.values() if peer.attempt is not None]
        for attempt in attempts:
            attempt.cancel()
        await asyncio.gather(*attempts, return_exceptions=True)
        for peer in self._peers.values():
            if peer.connection is not None:
                peer.connection.close()
        self._peers.clear()

    async def _connected(self, address: str, timeout_s: float) -> Connection:
        peer = self._attempting(address)
        assert peer.attempt is not None
        done, _ = await asyncio.wait((peer.attempt,), timeout=timeout_s)
        if not done:
            raise Unreachable(f"{address}: no connection in time")
        (attempt,) = done
        if attempt.cancelled():
            raise Unreachable(f"{address}: the pool is closed")
        error = attempt.exception()
        if error is not None:  # shared by all who wait: each caller gets an exception of its own
            raise Unreachable(str(error)) from error
        return attempt.result()

    def _attempting(self, address: str) -> _Peer:
        """The peer with an attempt under way; raises `Unreachable` within its back-off."""
        if self._closed:
            raise Unreachable("the pool is closed")
        loop = asyncio.get_running_loop()
        peer = self._peers.get(address)
        if peer is None:
            peer = self._add(address, loop.time())
        if peer.attempt is not None:
            return peer
        if loop.time() < peer.retry_at_s:
            raise Unreachable(f"{address}: failed a moment ago")
        peer.attempt = loop.create_task(connect(address, self._handlers, CONNECT_TIMEOUT_S, self.counters))
        peer.attempt.add_done_callback(lambda attempt: self._attempted(peer, attempt))
        return peer

    def _add(self, address: str, now_s: float) -> _Peer:
        if len(self._peers) >= MAX_ADDRESSES:
            self._peers = {known: peer for known, peer in self._peers.items() if not peer.idle(now_s)}
        if len(self._peers) >= MAX_ADDRESSES:
            raise Unreachable(f"{MAX_ADDRESSES} addresses are in use")
        peer = self._peers[address] = _Peer()
        return peer

    def _attempted(self, peer: _Peer, attempt: asyncio.Task[Connection]) -> None:
        peer.attempt = None
        waiting, peer.waiting = peer.waiting, []
        if attempt.cancelled() or attempt.exception() is not None:
            self.counters.dropped_one_way += len(waiting)
            spread = 1.0 + BACKOFF_JITTER * (2.0 * self._random.random() - 1.0)
            peer.retry_at_s = asyncio.get_running_loop().time() + BACKOFF_S * spread
            return
        peer.connection = attempt.result()
        for message in waiting:
            peer.connection.send(message)
