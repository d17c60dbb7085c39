"""A fault proxy: takes TCP connections, hands them on to a target, and lets faults befall their bytes.

Usable alone, for tests of anything that speaks TCP:

    async with Proxy(("127.0.0.1", 9000), [parse("reset,at=120")]) as proxy:
        ...  # connect to proxy.address

`faults` is a list for every connection, or a function from the connection's number to its list. What happens
is decided by `faults.Pipe`; this is the shell that reads, waits and writes. Each direction holds no more
than `HIGH` bytes: a reader is paused until the other side has taken them.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from functools import partial
from types import TracebackType
from typing import cast

from flintfield.lab.sockets.addresses import Address, listen
from flintfield.lab.sockets.faults import Abort, AnyFault, Finish, Pass, Pipe, split
from flintfield.lab.sockets.wire import Later, reset

HIGH = 256 << 10

Choose = Callable[[int], Sequence[AnyFault]]
"""From a connection's number, from 0, to what befalls it."""


def now_ms() -> float:
    """The proxies' clock."""
    return time.monotonic() * 1000.0


def share_of(share: float, faults: Sequence[AnyFault], rng: random.Random) -> Choose:
    """A chooser: that share of connections suffers one of the faults, drawn evenly; the others none."""
    def choose(_: int) -> Sequence[AnyFault]:
        return [rng.choice(faults)] if faults and rng.random() < share else []

    return choose


class _Side(asyncio.Protocol):
    """One of a connection's two sockets: what it reads goes through the pipe to the other."""

    def __init__(self, pair: _Pair, pipe: Pipe) -> None:
        self._pair, self._pipe = pair, pipe
        self._later = Later(now_ms)
        self._waiting = 0  # bytes read and not yet written on
        self.other: _Side | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._waiting += len(data)
        happenings = self._pipe.feed(now_ms(), data)
        for one in happenings:
            match one:
                case Pass(piece, at):
                    self._later.at(at, partial(self._hand_on, piece))
                case Finish(at):
                    self._later.at(at, self._finish)
                case Abort(at):
                    self._later.at(at, self._pair.abort)
        if self._waiting > HIGH and self.transport and not self._pipe.over:
            self.transport.pause_reading()

    def _hand_on(self, piece: bytes) -> None:
        self._waiting = max(0, self._waiting - len(piece))
        if self.other and self.other.transport and not self.other.transport.is_closing():
            self.other.transport.write(piece)
        if self._waiting <= HIGH:
            self.resume()

    def resume(self) -> None:
        """Read on."""
        if self.transport and not self.transport.is_closing():
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        if self.other and self.other.transport:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.other:
            self.other.resume()

    def eof_received(self) -> bool:
        for one in self._pipe.end(now_ms()):
            self._later.at(cast(Finish, one).at, self._finish)
        return True  # the other direction may go on

    def _finish(self) -> None:
        if self.other and self.other.transport and not self.other.transport.is_closing():
            self.other.transport.write_eof()

    def connection_lost(self, exc: Exception | None) -> None:
        self._pair.lost(self, broke=exc is not None)

    def stop(self) -> None:
        """Hand nothing on any more."""
        self._later.clear()


class _Pair:
    """One connection through the proxy."""

    def __init__(self, proxy: Proxy, faults: Sequence[AnyFault]) -> None:
        up, down = split(faults)
        self._proxy = proxy
        self.near, self.far = _Side(self, Pipe(up)), _Side(self, Pipe(down))
        self.near.other, self.far.other = self.far, self.near

    def abort(self) -> None:
        """Reset both sides."""
        for side in (self.near, self.far):
            side.stop()
            if side.transport and not side.transport.is_closing():
                reset(side.transport)
        self._proxy.forget(self)

    def lost(self, side: _Side, broke: bool) -> None:
        """One side has ended altogether: the other is ended alike."""
        if broke:
            self.abort()
        elif side.other and side.other.transport and not side.other.transport.is_closing():
            side.other.stop()
            side.other.transport.close()
        else:
            self._proxy.forget(self)


class Proxy:
    """A listening proxy in front of `target`; `address` is where it listens once started."""

    def __init__(self, target: Address, faults: Choose | Sequence[AnyFault] = (),
                 listen_at: Address = ("127.0.0.1", 0)) -> None:
        self._target, self._listen_at = target, listen_at
        self._choose: Choose = faults if callable(faults) else lambda _: faults
        self._pairs: set[_Pair] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.taken = 0  # connections so far
        self.address: Address = listen_at

    async def start(self) -> Address:
        """Listen; an OSError if the address cannot be had."""
        sock = listen(*self._listen_at)
        host, port = sock.getsockname()
        self.address = (str(host), int(port))
        self._server = await asyncio.get_running_loop().create_server(self._take, sock=sock)
        return self.address

    def _take(self) -> asyncio.Protocol:
        pair = _Pair(self, self._choose(self.taken))
        self.taken += 1
        self._pairs.add(pair)
        task = asyncio.get_running_loop().create_task(self._connect(pair))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return _Gate(pair.near)

    async def _connect(self, pair: _Pair) -> None:
        """Reach the target; until then what comes waits in the kernel."""
        try:
            await asyncio.get_running_loop().create_connection(lambda: pair.far, *self._target)
        except OSError:
            pair.abort()
            return
        if pair.near.transport is None or pair.near.transport.is_closing():
            pair.abort()
            return
        pair.near.resume()

    def forget(self, pair: _Pair) -> None:
        """A connection is over."""
        self._pairs.discard(pair)

    async def stop(self) -> None:
        """Listen no more and reset what is open."""
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for pair in list(self._pairs):
            pair.abort()

    async def __aenter__(self) -> Proxy:
        await self.start()
        return self

    async def __aexit__(self, kind: type[BaseException] | None, error: BaseException | None,
                        trace: TracebackType | None) -> None:
        await self.stop()


class _Gate(asyncio.Protocol):
    """Hands the near side its connection with reading paused until the target is reached."""

    def __init__(self, side: _Side) -> None:
        self._side = side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        plain = cast(asyncio.Transport, transport)
        plain.pause_reading()
        plain.set_protocol(self._side)
        self._side.connection_made(plain)
