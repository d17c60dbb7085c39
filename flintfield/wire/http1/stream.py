"""A non-blocking TCP socket. Errors are values: a short count when sending, an empty text when reading.

anyio's own streams do not tell how much of a text the kernel took before a connection broke, nor do they
close at once; both decide here whether a job may have run. So sockets are waited for with anyio and used
directly.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Awaitable, Callable

import anyio

CHUNK = 65_536
_DUMP = bytearray(CHUNK)  # for bytes that nobody reads
DUMP_TURN = 8  # chunks of them at once: one a turn makes a long body outlast its time


class Stream:
    """One connection."""

    __slots__ = ("_awaited", "_sock", "closed")

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._awaited = False  # a task may wait for it
        self.closed = False

    # ------------------------------------------------------------ at once

    def read_now(self, most: int = CHUNK) -> bytes | None:
        """The bytes that have come, empty after the end or if it broke; None if none have come."""
        try:
            return self._sock.recv(most)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def send_now(self, data: bytes | memoryview) -> int | None:
        """How many of the bytes the kernel takes now; None if the connection broke."""
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            return None

    def error(self) -> int:
        """What became of a connect that is over: 0, or the error's number."""
        return self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    # -------------------------------------------------------------- in time

    async def send(self, data: bytes) -> int:
        """Hand the bytes to the kernel; fewer than given means that the connection broke."""
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

    async def receive(self, most: int = CHUNK, flags: int = 0) -> bytes:
        """The next bytes; none once the other side has ended or the connection broke."""
        while not self.closed:
            try:
                return self._sock.recv(most, flags)
            except BlockingIOError:
                await self._wait(anyio.wait_readable)
            except OSError:
                break
        return b""

    async def receive_by(self, deadline: float, most: int = CHUNK, flags: int = 0) -> bytes | None:
        """The next bytes, empty at the end; None if by then nothing had come."""
        with anyio.CancelScope(deadline=deadline):
            return await self.receive(most, flags)
        # Guards against closing on a request that came in time and that a busy loop had no turn to read.
        try:
            return self._sock.recv(most, flags)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def throw_away(self) -> int | None:
        """Drop bytes that have come, uncopied where the kernel can: how many, 0 at the end, None if none."""
        thrown = 0
        for _ in range(DUMP_TURN):
            try:
                piece = self._sock.recv_into(_DUMP, CHUNK, socket.MSG_TRUNC)
            except BlockingIOError:
                return thrown or None
            except OSError:
                return thrown
            if not piece:
                break
            thrown += piece
        return thrown

    async def _wait(self, ready: Callable[[socket.socket], Awaitable[None]]) -> bool:
        self._awaited = True
        try:
            await ready(self._sock)
        except (anyio.ClosedResourceError, OSError, ValueError):
            return False
        return True

    @property
    def sock(self) -> socket.socket:
        """The socket, to be waited for."""
        self._awaited = True
        return self._sock

    @property
    def descriptor(self) -> int:
        """The socket's number, to be watched."""
        return self._sock.fileno()

    def has_ended(self) -> bool:
        """Whether the other side has ended or broken it; bytes that wait hide an end behind them."""
        try:
            return not self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def is_quiet(self) -> bool:
        """Whether it is open with nothing to read: neither bytes nor an end."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return not self.closed
        except OSError:
            pass
        return False

    def end_sending(self) -> None:
        """Tell the other side that no more comes."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def close(self) -> None:
        """Close now; whoever waits on it is woken."""
        if not self.closed:
            self.closed = True
            if self._awaited:
                anyio.notify_closing(self._sock)
            self._sock.close()


def open_listener(address: tuple[str, int], backlog: int) -> socket.socket:
    """A listening socket; an OSError tells why there is none."""
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
"""Errors of a dial that are our own lack, and no word on the other side."""


async def dial(address: tuple[str, int], timeout_ms: float) -> Stream | int:
    """Connect within that time; else the error's number."""
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
