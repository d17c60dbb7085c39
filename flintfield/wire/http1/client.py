"""Our side as a client: one kept connection, requests one after the other, the pool of idle ones."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import h11

from flintfield.memory.messages import Address, Reach
from flintfield.wire.http1.answer import Head
from flintfield.wire.http1.stream import OURS, Stream, dial

MOST_BODY = 4 << 20  # a whole list or a job's lines; more than this is odd input
RETIRE_PART = 0.7  # of the time after which the other side closes an idle connection
ROOM_PAUSE_S = 0.02  # between two tries to get a descriptor


class Connection:
    """A connection on which we are the client."""

    def __init__(self, stream: Stream, address: Address) -> None:
        self.stream, self.address = stream, address
        self.idle_since = 0.0
        self.reused = False
        self._host = f"{address[0]}:{address[1]}".encode()
        self._h11 = h11.Connection(h11.CLIENT)

    def request(
        self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> tuple[bytes, bytes]:
        """The bytes of a request: its head and its body."""
        head = h11.Request(method=method, target=target, headers=[
            (b"Host", self._host), *headers, (b"Content-Length", b"%d" % len(body))])
        start = self._h11.send(head) or b""
        return start, b"".join(self._h11.send(p) or b"" for p in (h11.Data(data=body), h11.EndOfMessage()))

    async def goes_on(self) -> bool:
        """Whether the other side, having read the head, asks for the body; not if it broke or answered."""
        event = await self._next()
        return isinstance(event, h11.InformationalResponse) and event.status_code == 100

    async def head(self) -> Head | None:
        """The response's head; None if the connection broke or it cannot be read."""
        event = await self._next()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next()
        if not isinstance(event, h11.Response):
            return None
        return Head(event.status_code, dict(event.headers))

    async def data(self) -> bytes | None:
        """The next piece of the body, empty at its end; None if it broke."""
        event = await self._next()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return b"" if isinstance(event, h11.EndOfMessage) else None

    async def body(self) -> bytes | None:
        """The rest of the body; None if it broke or is too long."""
        whole = bytearray()
        while piece := await self.data():
            whole += piece
            if len(whole) > MOST_BODY:
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
        """Make ready for another request, where both sides allow it."""
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            return self.stream.is_quiet()
        return False


@dataclass(frozen=True, slots=True)
class Page:
    """A whole answer to a GET."""

    head: Head
    body: bytes


class Pool:
    """Idle connections by address, the last used first; in all no more than `most`."""

    def __init__(self, clock: Callable[[], float], conn_idle_ms: float, dial_timeout_ms: float, most: int,
                 make_room: Callable[[], object]) -> None:
        self._clock, self._dial_timeout_ms = clock, dial_timeout_ms
        # Guards against a request on a connection that the other side is just closing: it would be a reset.
        self._retire_ms = conn_idle_ms * RETIRE_PART
        self._most, self._make_room = most, make_room
        self._idle: dict[Address, list[Connection]] = {}

    async def _get(self, address: Address, fresh: bool = False) -> Connection | Reach:
        """A kept connection that is still good, or a fresh one; else how far the dial had come."""
        kept = [] if fresh else self._idle.get(address, [])
        while kept:
            connection = kept.pop()
            if self._clock() - connection.idle_since < self._retire_ms and connection.stream.is_quiet():
                connection.reused = True
                return connection
            connection.stream.close()
        return await self.dial(address)

    async def dial(self, address: Address) -> Connection | Reach:
        """A new connection, else how far the dial had come.

        Guards against blaming the other side for our own lack of descriptors: room is made instead.
        """
        ends = self._clock() + self._dial_timeout_ms
        while True:
            stream = await dial(address, self._dial_timeout_ms)
            if isinstance(stream, Stream):
                return Connection(stream, address)
            if stream not in OURS:
                return Reach.DIALLING
            if self._clock() >= ends:
                return Reach.UNTRIED
            self.make_room()
            await anyio.sleep(ROOM_PAUSE_S)

    async def fetch(self, address: Address, target: bytes, kept_s: float) -> Page | Reach:
        """Read a page, on a kept connection within that time; if that is no use, once more on a new one."""
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
        """Keep a connection for later, or close it."""
        if not connection.renew():
            connection.stream.close()
            return
        connection.idle_since = self._clock()
        self._idle.setdefault(connection.address, []).append(connection)
        # Guards against idle connections that use up the descriptors.
        if sum(len(kept) for kept in self._idle.values()) > self._most:
            self._close_oldest()

    def make_room(self) -> None:
        """Have a descriptor come free soon."""
        if not self._close_oldest():
            self._make_room()

    def _close_oldest(self) -> bool:
        """Close what has been idle the longest; whether there was any."""
        if not (firsts := [kept[0] for kept in self._idle.values() if kept]):
            return False
        oldest = min(firsts, key=lambda c: c.idle_since)
        self._idle[oldest.address].remove(oldest)
        oldest.stream.close()
        return True

    def forget(self, address: Address) -> None:
        """Close what is kept for an address: what ended one connection may have ended all."""
        for connection in self._idle.pop(address, []):
            connection.stream.close()

    def sweep(self) -> None:
        """Close what has been idle too long or was ended by the other side."""
        now = self._clock()
        for address, kept in list(self._idle.items()):
            good = [c for c in kept if now - c.idle_since < self._retire_ms and c.stream.is_quiet()]
            for connection in kept:
                if connection not in good:
                    connection.stream.close()
            if good:
                self._idle[address] = good
            else:
                del self._idle[address]
