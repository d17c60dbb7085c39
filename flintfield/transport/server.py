"""The listener that accepts connections."""

from __future__ import annotations

import asyncio

from flintfield.transport.connection import Connection, Handlers
from flintfield.transport.counters import Counters
from flintfield.transport.sockets import LISTEN_BACKLOG

MAX_CONNECTIONS = 1_024  # of one listener; further ones are closed at once


class _Accepted(Connection):
    """A connection that its server keeps in its set while it is open."""

    def __init__(self, server: Server) -> None:
        super().__init__(server.handlers, server.counters)
        self._server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.accept(self)


class Server:
    """Serves handlers to everybody who connects."""

    def __init__(self, handlers: Handlers) -> None:
        self.handlers = handlers
        self.counters = Counters()
        self.connections: set[Connection] = set()
        self._listener: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> int:
        """Listen on ip:port (0: any free port) and return the port; raises `OSError`."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _Accepted(self), ip, port, backlog=LISTEN_BACKLOG, reuse_address=True
        )
        bound: int = self._listener.sockets[0].getsockname()[1]
        return bound

    async def stop(self) -> None:
        """Stop listening and close all connections; what was written is still sent."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in tuple(self.connections):
            connection.close()

    def accept(self, connection: Connection) -> None:
        """Keep a new connection, or close it where there are too many."""
        if self._listener is None or len(self.connections) >= MAX_CONNECTIONS:
            self.counters.refused_connections += 1
            connection.close()
            return
        self.connections.add(connection)
        connection.on_close(self.connections.discard)
