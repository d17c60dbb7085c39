"""A listening socket that can fall silent: dials to it neither come up nor are refused, as with a machine
that is cut off.

Linux drops the SYN of a dial whose accept queue is full. So a silent listener's queue is cut to its least
and filled with connections of our own, and nothing is accepted; the socket stays bound, there is no gap in
which a dial would be refused. The event loop serves a duplicate of the descriptor for that reason.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from flintfield.lab.sockets.addresses import Address, listen

BACKLOG = 256
FILLERS = 3  # a backlog of 0 leaves room for one


class Listener:
    """One party's listening address for one scheduler."""

    def __init__(self, host: str, protocol: Callable[[], asyncio.Protocol]) -> None:
        self.address: Address = (host, 0)
        self._protocol = protocol
        self._sock: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None
        self._fillers: list[socket.socket] = []

    @property
    def listens(self) -> bool:
        """Whether dials reach it."""
        return self._sock is not None and not self._fillers

    def open(self) -> None:
        """Listen at the address that it had before, or at a port of the kernel's choice."""
        self.close()
        self._sock = listen(*self.address, backlog=BACKLOG)
        host, port = self._sock.getsockname()
        self.address = (str(host), int(port))
        self._serve()

    def close(self) -> None:
        """Refuse dials; what waits to be accepted is reset."""
        self._stop_serving()
        self._let_fillers_go()
        if self._sock:
            self._sock.close()
            self._sock = None

    def silence(self) -> None:
        """Let no dial come up, and refuse none."""
        if self._sock is None or self._fillers:
            return
        self._stop_serving()
        self._sock.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self._fillers.append(filler)

    def speak(self) -> None:
        """Take dials again, and those that came up before it fell silent."""
        if self._sock is None or not self._fillers:
            return
        ours = {f.getsockname() for f in self._fillers}
        self._let_fillers_go()
        self._sock.listen(BACKLOG)
        waiting: list[socket.socket] = []
        try:
            while True:
                taken, peer = self._sock.accept()
                if peer in ours:
                    taken.close()
                else:
                    waiting.append(taken)
        except BlockingIOError:
            pass
        self._serve(waiting)

    def _serve(self, waiting: list[socket.socket] | None = None) -> None:
        assert self._sock
        loop = asyncio.get_running_loop()

        async def serve(sock: socket.socket) -> None:
            self._server = await loop.create_server(self._protocol, sock=sock, backlog=BACKLOG)
            for taken in waiting or ():
                await loop.connect_accepted_socket(self._protocol, taken)

        self._task = loop.create_task(serve(self._sock.dup()))

    def _stop_serving(self) -> None:
        if self._task:
            self._task.cancel()
            self._task = None
        if self._server:
            self._server.close()
            self._server = None

    def _let_fillers_go(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers = []
