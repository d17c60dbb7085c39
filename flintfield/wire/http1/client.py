"""HTTP/1.1 client: a connection for sequential requests, and a pool of idle connections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import h11

from flintfield.memory.messages import Address, Reach
from flintfield.wire.http1.answer import Head
from flintfield.wire.http1.stream import OURS, Stream, dial

MAX_BODY = 4 << 20  # limit for a server list or a job's lines; a longer body is treated as invalid
RETIRE_PART = 0.7  # part of the server's idle timeout after which this side closes an idle connection
DESCRIPTOR_PAUSE_S = 0.02  # pause between two attempts to get a descriptor


class Connection:
    """One client connection."""

    def __init__(self, stream: Stream, address: Address) -> None:
        self.stream, self.address = stream, address
        self.idle_since = 0.0
        self.reused = False
        self._host = f"{address[0]}:{address[1]}".encode()
        self._h11 = h11.Connection(h11.CLIENT)

    def request(
        self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> tuple[bytes, bytes]:
        """Encode a request; returns its head and its body."""
        head = h11.Request(method=method, target=target, headers=[
            (b"Host", self._host), *headers, (b"Content-Length", b"%d" % len(body))])
        start = self._h11.send(head) or b""
        return start, b"".join(self._h11.send(p) or b"" for p in (h11.Data(data=body), h11.EndOfMessage()))

    async def goes_on(self) -> bool:
        """Wait for 100 Continue; False if the connection broke or another response came."""
        event = await self._next()
        return isinstance(event, h11.InformationalResponse) and event.status_code == 100

    async def head(self) -> Head | None:
        """The response's head; None if the connection broke or the head is invalid."""
        event = await self._next()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next()
        if not isinstance(event, h11.Response):
            return None
        return Head(event.status_code, dict(event.headers))

    async def data(self) -> bytes | None:
        """The next piece of the body, empty at its end; None if the connection broke."""
        event = await self._next()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return b"" if isinstance(event, h11.EndOfMessage) else None

    async def body(self) -> bytes | None:
        """The rest of the body; None if the connection broke or the body is too long."""
        whole = bytearray()
        while piece := await self.data():
            whole += piece
            if len(whole) > MAX_BODY:
                return None
        return None if piece is None else bytes(whole)

    async def _next(self) -> object:
        try:
            while (event := self._h11.next_event()) is h11.NEED_DATA:
                self._h11.receive_data(await self.stream.receive())
        except h11.RemoteProtocolError:
            return None
        return event

    def renew(self) -> bool:
        """Prepare for another request; False if the connection can't be reused."""
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            return self.stream.is_quiet()
        return False


@dataclass(frozen=True, slots=True)
class Page:
    """A complete response to a GET."""

    head: Head
    body: bytes


class Pool:
    """Idle connections by address, the most recently used first; at most `most` in total."""

    def __init__(self, clock: Callable[[], float], conn_idle_ms: float, dial_timeout_ms: float, most: int,
                 make_room: Callable[[], object]) -> None:
        self._clock, self._dial_timeout_ms = clock, dial_timeout_ms
        # A request on a connection that the server is closing at that moment would be reset.
        self._retire_ms = conn_idle_ms * RETIRE_PART
        self._most, self._make_room = most, make_room
        self._idle: dict[Address, list[Connection]] = {}

    async def _get(self, address: Address, fresh: bool = False) -> Connection | Reach:
        """A usable idle connection or a new one; on failure, how far connecting got."""
        kept = [] if fresh else self._idle.get(address, [])
        while kept:
            connection = kept.pop()
            if self._clock() - connection.idle_since < self._retire_ms and connection.stream.is_quiet():
                connection.reused = True
                return connection
            connection.stream.close()
        return await self.dial(address)

    async def dial(self, address: Address) -> Connection | Reach:
        """A new connection; on failure, how far connecting got.

        A lack of descriptors in this process doesn't count as the server's failure: other connections are
        closed to free one, and connecting is retried.
        """
        deadline = self._clock() + self._dial_timeout_ms
        while True:
            stream = await dial(address, self._dial_timeout_ms)
            if isinstance(stream, Stream):
                return Connection(stream, address)
            if stream not in OURS:
                return Reach.DIALLING
            if self._clock() >= deadline:
                return Reach.UNTRIED
            self.make_room()
            await anyio.sleep(DESCRIPTOR_PAUSE_S)

    async def fetch(self, address: Address, target: bytes, kept_s: float) -> Page | Reach:
        """GET a page, on an idle connection within `kept_s`; if that fails, once more on a new connection."""
        for fresh in (False, True):
            connection = await self._get(address, fresh)
            if isinstance(connection, Reach):
                return connection
            page: Page | None = None
            try:
                with anyio.move_on_after(kept_s if connection.reused else None):
                    page = await self._read(connection, target)
            finally:
                if page is None:
                    connection.stream.close()
            if page:
                self._keep(connection)
                return page
            if not connection.reused:
                break
            self.forget(address)
        return Reach.SENT

    async def _read(self, connection: Connection, target: bytes) -> Page | None:
        data = b"".join(connection.request(b"GET", target, [], b""))
        if await connection.stream.send(data) < len(data):
            return None
        head = await connection.head()
        body = await connection.body() if head else None
        return None if head is None or body is None else Page(head, body)

    def _keep(self, connection: Connection) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        if not connection.renew():
            connection.stream.close()
            return
        connection.idle_since = self._clock()
        self._idle.setdefault(connection.address, []).append(connection)
        # Idle connections must not use up the descriptors.
        if sum(len(kept) for kept in self._idle.values()) > self._most:
            self._close_oldest()

    def make_room(self) -> None:
        """Close a connection to free a descriptor."""
        if not self._close_oldest():
            self._make_room()

    def _close_oldest(self) -> bool:
        """Close the connection that has been idle longest; returns whether there was one."""
        if not (oldest_by_address := [kept[0] for kept in self._idle.values() if kept]):
            return False
        oldest = min(oldest_by_address, key=lambda c: c.idle_since)
        self._idle[oldest.address].remove(oldest)
        oldest.stream.close()
        return True

    def forget(self, address: Address) -> None:
        """Close all idle connections to an address; a failure of one may affect all of them."""
        for connection in self._idle.pop(address, []):
            connection.stream.close()

    def sweep(self) -> None:
        """Close connections that were idle too long or that the server closed."""
        now = self._clock()
        for address, kept in list(self._idle.items()):
            usable = [c for c in kept if now - c.idle_since < self._retire_ms and c.stream.is_quiet()]
            for connection in kept:
                if connection not in usable:
                    connection.stream.close()
            if usable:
                self._idle[address] = usable
            else:
                del self._idle[address]
