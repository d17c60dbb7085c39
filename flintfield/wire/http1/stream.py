"""A non-blocking TCP socket. Errors are values: a short count when sending, empty bytes when reading.

anyio's own streams don't report how many bytes the kernel accepted before a connection broke, and don't
close immediately; both decide here whether a job may have run. So anyio is only used to wait for sockets.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Awaitable, Callable

import anyio

CHUNK = 65_536
_DISCARD_BUFFER = bytearray(CHUNK)  # receives discarded bytes
DISCARD_CHUNKS = 8  # chunks discarded per call; with one per call a long body would exceed the draining time


class Stream:
    """One connection."""

    __slots__ = ("_awaited", "_sock", "closed")

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._awaited = False  # a task may be waiting for the socket
        self.closed = False

    # --------------------------------------------------------- non-blocking

    def read_now(self, max_bytes: int = CHUNK) -> bytes | None:
        """Available bytes; empty at the end of the stream or on an error, None if there are none yet."""
        try:
            return self._sock.recv(max_bytes)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def send_now(self, data: bytes | memoryview) -> int | None:
        """Send without waiting; returns how many bytes the kernel accepted, None if the connection broke."""
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            return None

    def error(self) -> int:
        """Result of a finished connect: 0 or the errno."""
        return self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    # ------------------------------------------------------------- with waiting

    async def send(self, data: bytes) -> int:
        """Send all bytes; a return value below their number means that the connection broke."""
        sent = 0
        while sent < len(data):
            try:
                sent += self._sock.send(memoryview(data)[sent:])
            except BlockingIOError:
                if not await self._wait(anyio.wait_writable):
                    break
            except OSError:
                break
        return sent

    async def receive(self, max_bytes: int = CHUNK, flags: int = 0) -> bytes:
        """The next bytes; empty at the end of the stream or if the connection broke."""
        while not self.closed:
            try:
                return self._sock.recv(max_bytes, flags)
            except BlockingIOError:
                await self._wait(anyio.wait_readable)
            except OSError:
                break
        return b""

    async def receive_by(self, deadline: float, max_bytes: int = CHUNK, flags: int = 0) -> bytes | None:
        """The next bytes, empty at the end of the stream; None if none arrived by the deadline."""
        with anyio.CancelScope(deadline=deadline):
            return await self.receive(max_bytes, flags)
        # Data may have arrived in time while a busy event loop had not yet read it.
        try:
            return self._sock.recv(max_bytes, flags)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def discard_input(self) -> int | None:
        """Discard available bytes, without copying if the kernel can. Returns their number.

        0 means the end of the stream, None that there was nothing to read.
        """
        discarded = 0
        for _ in range(DISCARD_CHUNKS):
            try:
                count = self._sock.recv_into(_DISCARD_BUFFER, CHUNK, socket.MSG_TRUNC)
            except BlockingIOError:
                return discarded or None
            except OSError:
                return discarded
            if not count:
                break
            discarded += count
        return discarded

    async def _wait(self, ready: Callable[[socket.socket], Awaitable[None]]) -> bool:
        self._awaited = True
        try:
            await ready(self._sock)
        except (anyio.ClosedResourceError, OSError, ValueError):
            return False
        return True

    @property
    def sock(self) -> socket.socket:
        """The socket, for a task that waits for it."""
        self._awaited = True
        return self._sock

    @property
    def descriptor(self) -> int:
        """The socket's file descriptor, for a poller."""
        return self._sock.fileno()

    def has_ended(self) -> bool:
        """Whether the peer has closed or reset it; unread bytes hide a close that follows them."""
        try:
            return not self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def is_quiet(self) -> bool:
        """Whether it is open with nothing to read: neither data nor an end of the stream."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return not self.closed
        except OSError:
            pass
        return False

    def end_sending(self) -> None:
        """Shut down the sending direction."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def close(self) -> None:
        """Close immediately; tasks that wait for the socket are woken."""
        if not self.closed:
            self.closed = True
            if self._awaited:
                anyio.notify_closing(self._sock)
            self._sock.close()


def open_listener(address: tuple[str, int], backlog: int) -> socket.socket:
    """Open a listening socket; raises OSError on failure."""
    listener = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


OURS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL})
"""Errnos of a failed connect that come from local resource limits and say nothing about the peer."""


async def dial(address: tuple[str, int], timeout_ms: float) -> Stream | int:
    """Connect within the time limit; returns the errno on failure."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    try:
        sock = socket.socket(family, socket.SOCK_STREAM)
    except OSError as error:
        return error.errno or errno.EMFILE
    stream, failed = Stream(sock), errno.ETIMEDOUT
    try:
        with anyio.move_on_after(timeout_ms / 1000):
            failed = await _connect(sock, address)
    finally:
        if failed:
            stream.close()
    return failed or stream


async def _connect(sock: socket.socket, address: tuple[str, int]) -> int:
    try:
        sock.connect(address)
    except BlockingIOError:
        await anyio.wait_writable(sock)
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except OSError as error:
        return error.errno or errno.ECONNREFUSED
    return 0
