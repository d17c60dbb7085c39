"""The relays: each instance is reached by the others at a relay's address, and the net says what passes.

Datagrams: one that comes in at B's relay from A's own socket goes on to B's own socket *from A's relay*, so
that B sees it come from where A says that it lives. Streams: taken at B's relay, reached on to B once it is
known who dialled. Each direction of a stream holds `HIGH` bytes at the most; in a cut its bytes stand still,
and go on within `AGAIN_MS` after it. Nothing is decided here.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import cast

from flintfield.lab.fleet.net import Net
from flintfield.lab.fleet.owners import owner_of
from flintfield.lab.sockets.addresses import Address, listen
from flintfield.lab.sockets.wire import reset

HIGH = 256 << 10
AGAIN_MS = 500.0
LOOK_S = 0.02  # between two looks of a stream that stands still
MOST_DATAGRAM = 65_535
BUFFER = 4 << 20  # of each datagram socket: a trial's slow turn must not lose words


@dataclass(frozen=True, slots=True)
class Seat:
    """An instance: its name, where its own sockets are, and the relay's address that the others know."""

    name: str
    own: Address
    relay: Address


class Relays:
    """All relays of a trial."""

    def __init__(self, net: Net, seats: list[Seat], clock: Callable[[], float],
                 pids: Callable[[], Mapping[str, int]], rng: random.Random) -> None:
        """`clock` in ms; `pids` tells the process of each instance that has one."""
        self.net, self.clock, self.rng = net, clock, rng
        self._seats, self._pids = seats, pids
        self._sender = {seat.own: seat.name for seat in seats}
        self._sockets: dict[str, socket.socket] = {}
        self._servers: list[asyncio.Server] = []
        self.streams: set[_Stream] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.unclaimed = self.strangers = 0

    async def open(self) -> None:
        """Take all addresses; an OSError if one can not be had."""
        loop = asyncio.get_running_loop()
        for seat in self._seats:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self._sockets[seat.name] = sock
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            sock.bind(seat.relay)
            loop.add_reader(sock.fileno(), self._read, seat, sock)
            taken = partial(self._take, seat)
            self._servers.append(await loop.create_server(taken, sock=listen(*seat.relay)))

    def close(self) -> None:
        """Pass nothing more."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        for stream in list(self.streams):
            stream.abort()
        for sock in self._sockets.values():
            asyncio.get_running_loop().remove_reader(sock.fileno())
            sock.close()
        self._sockets.clear()

    # -------------------------------------------------------------- datagrams

    def _read(self, seat: Seat, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                data, source = sock.recvfrom(MOST_DATAGRAM)
            except BlockingIOError:
                return
            except OSError:
                continue  # word that a datagram of ours found nobody
            sender = self._sender.get(source)
            if sender is None:
                self.strangers += 1
                continue
            now = self.clock()
            for at in self.net.datagram(now, sender, seat.name, len(data)):
                if at <= now:
                    self._hand_on(sender, seat, data)
                else:
                    loop.call_later((at - now) / 1000, self._hand_on, sender, seat, data)

    def _hand_on(self, sender: str, seat: Seat, data: bytes) -> None:
        sock = self._sockets.get(sender)
        if sock is None:
            return  # the trial is over
        if not self.net.passes(sender, seat.name):
            self.net.dropped(sender, seat.name)
            return
        with contextlib.suppress(OSError):  # nobody is there, as on a real net
            sock.sendto(data, seat.own)
            self.net.handed_on(self.clock(), sender, seat.name, len(data))

    # ---------------------------------------------------------------- streams

    def _take(self, seat: Seat) -> _Side:
        stream = _Stream(self, seat)
        self.streams.add(stream)
        return stream.near

    def greet(self, stream: _Stream) -> None:
        """A stream was dialled: find out by whom, and reach its target."""
        task = asyncio.get_running_loop().create_task(self._join(stream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _join(self, stream: _Stream) -> None:
        near = cast(asyncio.Transport, stream.near.transport)
        peer, here = near.get_extra_info("peername"), near.get_extra_info("sockname")
        loop = asyncio.get_running_loop()
        found = await loop.run_in_executor(None, owner_of, peer[:2], here[:2], dict(self._pids()))
        if found is None:
            self.unclaimed += 1
            stream.abort()
            return
        stream.dialler = found
        while not self.net.passes(found, stream.seat.name):  # its dial would not come up
            await asyncio.sleep(LOOK_S)
        try:
            await loop.create_connection(lambda: stream.far, *stream.seat.own)
        except OSError:
            stream.abort()
            return
        if near.is_closing():
            stream.abort()
        else:
            stream.near.begin()

    def reset(self, pairs: frozenset[tuple[str, str]]) -> None:
        """Reset the open streams between these."""
        for stream in list(self.streams):
            if (stream.dialler, stream.seat.name) in pairs:
                stream.abort()


class _Side(asyncio.Protocol):
    """One of a stream's two sockets; what it reads goes to the other."""

    def __init__(self, stream: _Stream, is_near: bool) -> None:
        self._stream, self._is_near = stream, is_near
        self._held: deque[tuple[float, bytes | None]] = deque()  # None: the end
        self._size = 0
        self._timer: asyncio.TimerHandle | None = None
        self._stood = False
        self.transport: asyncio.Transport | None = None

    @property
    def _other(self) -> _Side:
        return self._stream.far if self._is_near else self._stream.near

    @property
    def _ends(self) -> tuple[str, str]:
        ends = (self._stream.dialler, self._stream.seat.name)
        return ends if self._is_near else (ends[1], ends[0])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self._is_near:
            self._stream.relays.greet(self._stream)

    def data_received(self, data: bytes) -> None:
        self._hold(data)
        if self._size > HIGH and self.transport:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        self._hold(None)
        return True

    def begin(self) -> None:
        """The other side is reached: hand on what came meanwhile."""
        self._go_on()

    def _hold(self, data: bytes | None) -> None:
        relays = self._stream.relays
        now = relays.clock()
        is_joined = self._other.transport is not None
        due = relays.net.piece(now, *self._ends, len(data or b"")) if is_joined else now
        self._held.append((max(due, self._held[-1][0] if self._held else now), data))
        self._size += len(data or b"")
        if self._timer is None and is_joined:
            self._go_on()

    def _go_on(self) -> None:
        self._timer = None
        relays, loop = self._stream.relays, asyncio.get_running_loop()
        while self._held and not self._stream.over:
            now = relays.clock()
            if not relays.net.passes(*self._ends):
                self._stood = True
                self._timer = loop.call_later(LOOK_S, self._go_on)
                return
            if self._stood:
                self._stood = False
                self._timer = loop.call_later(relays.rng.uniform(0, AGAIN_MS) / 1000, self._go_on)
                return
            due, data = self._held[0]
            if due > now:
                self._timer = loop.call_later((due - now) / 1000, self._go_on)
                return
            self._held.popleft()
            self._put(now, data)

    def _put(self, now: float, data: bytes | None) -> None:
        out = self._other.transport
        if out is None or out.is_closing():
            return
        if data is None:
            if out.can_write_eof():
                out.write_eof()
            return
        out.write(data)
        self._size -= len(data)
        self._stream.relays.net.handed_on(now, *self._ends, len(data), stream=True)
        if self._size <= HIGH and self.transport and not self.transport.is_closing():
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is not None:
            self._stream.abort()
        elif not self._held or self._other.transport is None:
            self._stream.finish()
        else:  # what it sent before it closed is still on its way
            self._held.append((self._held[-1][0], None))

    def stop(self) -> None:
        """Hand nothing on any more."""
        if self._timer:
            self._timer.cancel()
        self._held.clear()


class _Stream:
    """One connection through a relay."""

    def __init__(self, relays: Relays, seat: Seat) -> None:
        self.relays, self.seat, self.dialler = relays, seat, ""
        self.over = False
        self.near, self.far = _Side(self, True), _Side(self, False)

    def _end(self) -> list[asyncio.Transport]:
        self.over = True
        self.relays.streams.discard(self)
        for side in (self.near, self.far):
            side.stop()
        return [s.transport for s in (self.near, self.far) if s.transport and not s.transport.is_closing()]

    def abort(self) -> None:
        """Reset both sides."""
        for transport in self._end():
            reset(transport)

    def finish(self) -> None:
        """Both sides end."""
        for transport in self._end():
            transport.close()
