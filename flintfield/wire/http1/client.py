"""Our side as a client: one kept connection, requests one after the other, the pool of idle ones."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import h11

from flintfield.memory.messages import Address
from flintfield.wire.http1.stream import Stream, dial

MOST_BODY = 4 << 20  # a whole list or a job's lines; more than this is odd input
RETIRE_PART = 0.7  # of the time after which the other side closes an idle connection
MOST_IDLE = 32  # kept for each address


@dataclass(frozen=True, slots=True)
class Head:
    """The head of a response."""

    status: int
    headers: dict[bytes, bytes]


class Connection:
    """A connection on which we are the client."""

    def __init__(self, stream: Stream, address: Address) -> None:
        self.stream, self.address = stream, address
        self.idle_since = 0.0
        self._host = f"{address[0]}:{address[1]}".encode()
        self._h11 = h11.Connection(h11.CLIENT)

    def request(self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes) -> bytes:
        """The bytes of a request."""
        head = h11.Request(method=method, target=target, headers=[
            (b"Host", self._host), *headers, (b"Content-Length", b"%d" % len(body))])
        parts = (head, h11.Data(data=body), h11.EndOfMessage())
        return b"".join(self._h11.send(p) or b"" for p in parts)

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


class Pool:
    """Idle connections by address, the last used first."""

    def __init__(self, clock: Callable[[], float], conn_idle_ms: float, dial_timeout_ms: float) -> None:
        self._clock, self._dial_timeout_ms = clock, dial_timeout_ms
        # Guards against a request on a connection that the other side is just closing: it would be a reset.
        self._retire_ms = conn_idle_ms * RETIRE_PART
        self._idle: dict[Address, list[Connection]] = {}

    async def get(self, address: Address) -> Connection | None:
        """A kept connection that is still good, else a new one, else None."""
        kept = self._idle.get(address, [])
        while kept:
            connection = kept.pop()
            if self._clock() - connection.idle_since < self._retire_ms and connection.stream.is_quiet():
                return connection
            connection.stream.close()
        stream = await dial(address, self._dial_timeout_ms)
        return Connection(stream, address) if stream else None

    def keep(self, connection: Connection, unused: bool = False) -> None:
        """Keep a connection for later, or close it."""
        kept = self._idle.setdefault(connection.address, [])
        if not (unused or connection.renew()) or len(kept) >= MOST_IDLE:
            connection.stream.close()
            return
        if not unused:  # an unused one is as old as it was
            connection.idle_since = self._clock()
        kept.append(connection)

    def forget(self, address: Address) -> None:
        """Close what is kept for an address."""
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
