"""HTTP/1.1 as the parties round a scheduler speak it: asyncio protocols over httptools' parser (llhttp).

A `ServerEnd` is one connection that a scheduler opened to a node or to discovery; a `ClientEnd` one that a
client opened to a scheduler. Neither decides anything: a `Party` is told of heads, whole requests and
connections that went, and says what is written.

A `ServerEnd` plays the network as well: bytes pass at once where nothing is wrong,
later or never where a cut, a stall or a `Pipe`'s fault says so. Parsing takes 6 µs a request, where h11 took
190 µs: the laboratory has to be much cheaper than the schedulers it plays against.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterable
from functools import partial
from http import HTTPStatus
from typing import Protocol, cast

import httptools

from flintfield.lab.sockets.faults import Abort, AnyFault, Finish, Happening, Pass, Pipe, split

GRAIN_MS = 0.5  # of the loop's timers
MOST_WAIT_S = 1e6  # what is to wait longer never comes
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_PHRASES = {s.value: s.phrase.encode() for s in HTTPStatus}

Headers = dict[bytes, bytes]


def reset(transport: asyncio.BaseTransport) -> None:
    """End a connection with a RST, not a FIN."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    cast(asyncio.Transport, transport).abort()


class Exchange:
    """One request on a server's connection, and its answer."""

    __slots__ = ("answered", "body", "connection", "expects", "headers", "keeps", "method", "open",
                 "released", "tag", "target")

    def __init__(self, connection: ServerEnd) -> None:
        self.connection = connection
        self.method, self.target = b"", b""
        self.headers: Headers = {}
        self.body = b""
        self.expects = False  # it asked for a 100 before its body
        self.keeps = True
        self.open = False  # a chunked answer has begun
        self.answered = False  # its last byte is handed over
        self.released = False  # the scheduler's side of it is over
        self.tag: object = None  # the party's own

    def text(self, name: bytes) -> str:
        """A header's value, empty if it is not there."""
        return self.headers.get(name, b"").decode("latin-1").strip()

    def go_on(self) -> None:
        """Ask for the body (100)."""
        self.connection.write(CONTINUE)

    def reply(self, status: int, body: bytes = b"", *headers: bytes) -> None:
        """A whole answer; `headers` are lines without their ends."""
        if self.answered or self.open:
            return
        last = () if self.keeps else (b"Connection: close",)
        lines = (b"HTTP/1.1 %d %s" % (status, _PHRASES.get(status, b"Odd")), *headers, *last,
                 b"Content-Length: %d" % len(body), b"", b"")
        self.connection.write(b"\r\n".join(lines) + body)
        self._end()

    def line(self, text: bytes, last: bool = False) -> None:
        """One more line of a chunked answer; the first one is preceded by the head."""
        if self.answered:
            return
        begin = b"" if self.open else b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.open = True
        end = b"0\r\n\r\n" if last else b""
        self.connection.write(b"%s%x\r\n%s\n\r\n%s" % (begin, len(text) + 1, text, end))
        if last:
            self._end()

    def _end(self) -> None:
        self.answered = True
        self.connection.answered(self)


class Party(Protocol):
    """Who listens: a node's or discovery's side of its connections.

    `sent` and `let_go` are for the onlooker, who sees past cuts of the network; the others are for the party
    itself and wait while nothing passes.
    """

    def sent(self, exchange: Exchange, first_at: float) -> None:
        """A scheduler has sent a head, whose first byte came at that time."""

    def let_go(self, exchange: Exchange) -> None:
        """The scheduler's side of a request is over: it has the answer, or ended or lost the connection."""

    def connected(self, end: ServerEnd) -> None:
        """A connection was made."""

    def head(self, exchange: Exchange) -> None:
        """A head has come; if it `expects`, `go_on` or `reply` is due."""

    def whole(self, exchange: Exchange) -> None:
        """The last byte of a request has come."""

    def left(self, end: ServerEnd, exchange: Exchange | None) -> None:
        """The other side ended the connection or its sending, or it broke; `exchange` had no answer yet."""


class Later:
    """Acts of one direction, each at its time, in the order in which they were handed over.

    Guards against timers that overtake each other: the loop's have a grain of 1 ms.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._acts: deque[tuple[float, Callable[[], None]]] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def at(self, at: float, act: Callable[[], None]) -> None:
        """Do it at that time, ms; never if the time is infinite."""
        if at <= self._clock() and not self._acts:
            act()
            return
        self._acts.append((at, act))
        if len(self._acts) == 1:
            self._arm()

    def clear(self) -> None:
        """Do none of them any more."""
        self._acts.clear()
        if self._timer:
            self._timer.cancel()

    def _arm(self) -> None:
        wait = (self._acts[0][0] - self._clock()) / 1000
        if wait < MOST_WAIT_S:
            self._timer = asyncio.get_running_loop().call_later(max(0.0, wait), self._ring)

    def _ring(self) -> None:
        while self._acts and self._acts[0][0] <= self._clock() + GRAIN_MS:
            self._acts.popleft()[1]()
        if self._acts:
            self._arm()


class ServerEnd(asyncio.Protocol):
    """One connection of a scheduler at a party."""

    def __init__(self, party: Party, clock: Callable[[], float], faults: Iterable[AnyFault] = ()) -> None:
        self._party, self._clock = party, clock
        up, down = split(list(faults))
        self._up, self._down = Pipe(up), Pipe(down)
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._inward, self._outward = Later(clock), Later(clock)
        self._kept_in: list[Callable[[], None]] | None = None  # while nothing comes in: what is to be told
        self._kept_out: list[Callable[[], None]] | None = None  # while nothing gets out: what is to
        self._first_at, self._fresh = 0.0, True
        self._heads: list[tuple[bytes, bytes]] = []
        self._target, self._pieces = b"", list[bytes]()
        self.exchange: Exchange | None = None
        self.idle_since: float | None = None  # of a connection between two requests
        self.lag_ms = 0.0  # what is written leaves so much later: the way through the network
        self.over = False  # the other side is gone, or we are

    # --------------------------------------------------------- the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self.idle_since = self._clock()
        self._party.connected(self)

    def data_received(self, data: bytes) -> None:
        if self._up.plain:
            self._take(data)
        else:
            self._play(self._inward, self._up.feed(self._clock(), data), self._take, self._end)

    def eof_received(self) -> bool:
        if self._up.plain:
            self._end()
        else:
            self._play(self._inward, self._up.end(self._clock()), self._take, self._end)
        return True  # our side stays open until we close it

    def connection_lost(self, exc: Exception | None) -> None:
        self._end()

    def _end(self) -> None:
        """The other side is gone or ends its sending: it gives up what it asked for."""
        if self.over:
            return
        self.over = True
        exchange = self._finish()
        self._tell(partial(self._leave, exchange))

    def _finish(self) -> Exchange | None:
        """Nothing more is written; the request that has no answer yet."""
        self._inward.clear()
        self._outward.clear()
        self._kept_out = None
        exchange = self.exchange
        self._release(exchange)
        return exchange if exchange and not exchange.answered else None

    def _leave(self, exchange: Exchange | None) -> None:
        self._party.left(self, exchange)
        if self._transport:
            self._transport.close()

    def _release(self, exchange: Exchange | None) -> None:
        if exchange and not exchange.released:
            exchange.released = True
            self._party.let_go(exchange)

    def close(self, hard: bool = False) -> None:
        """End it from our side, with a reset if `hard`; the party is not told."""
        if self._kept_out is not None:
            self._kept_out.append(partial(self.close, hard))
        elif not self.over:
            self.over = True
            self._kept_in = None
            self._finish()
            if self._transport and hard:
                reset(self._transport)
            elif self._transport:
                self._transport.close()

    # ------------------------------------------------------------ the network

    def hold(self, inward: bool, outward: bool) -> None:
        """Let nothing pass in these directions until told otherwise: no bytes, no end."""
        if inward and self._kept_in is None:
            self._kept_in = []
        elif not inward and self._kept_in is not None:
            acts, self._kept_in = self._kept_in, None
            for act in acts:
                act()
        if outward and self._kept_out is None and not self.over:
            self._kept_out = []
        elif not outward and self._kept_out is not None:
            acts, self._kept_out = self._kept_out, None
            for act in acts:
                act()

    def _tell(self, act: Callable[[], None]) -> None:
        if self._kept_in is None:
            act()
        else:
            self._kept_in.append(act)

    def strike(self, fault: AnyFault) -> None:
        """Let a fault befall the bytes from now on; its place counts from the next one."""
        if fault.way == "up":
            self._up = Pipe([fault])
        else:
            self._down = Pipe([fault])

    def write(self, data: bytes) -> None:
        """Send these bytes, as the network lets them."""
        if not self.over:
            self._outward.at(self._clock() + self.lag_ms, partial(self._out, data))

    def answered(self, exchange: Exchange) -> None:
        """The last byte of an answer was handed over."""
        if not self.over:
            self._outward.at(self._clock() + self.lag_ms, partial(self._passed, exchange))

    def _out(self, data: bytes) -> None:
        if self._kept_out is not None:
            self._kept_out.append(partial(self._out, data))
        elif self._down.plain:
            self._put(data)
        else:
            self._play(self._outward, self._down.feed(self._clock(), data), self._put, self._end_out)

    def _passed(self, exchange: Exchange) -> None:
        """The last byte of an answer has left."""
        if self._kept_out is not None:
            self._kept_out.append(partial(self._passed, exchange))
            return
        self._release(exchange)
        if exchange is self.exchange:
            self.idle_since = self._clock()
        if not exchange.keeps:
            self.close()

    def _put(self, data: bytes) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.write(data)

    def _end_out(self) -> None:
        if self._transport and self._transport.can_write_eof():
            self._transport.write_eof()

    def _play(self, later: Later, happenings: list[Happening], passes: Callable[[bytes], None],
              ends: Callable[[], None]) -> None:
        for one in happenings:
            match one:
                case Pass(data, at):
                    later.at(at, partial(passes, data))
                case Finish(at):
                    later.at(at, ends)
                case Abort(at):
                    later.at(at, self.broken)

    def broken(self) -> None:
        """The network resets the connection."""
        if not self.over:
            if self._transport:
                reset(self._transport)
            self._end()

    # ------------------------------------------------------------- the parser

    def _take(self, data: bytes) -> None:
        if self.over:
            return
        if self._fresh:
            self._first_at, self.idle_since, self._fresh = self._clock(), None, False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.broken()

    def on_message_begin(self) -> None:
        self._heads, self._pieces, self._target = [], [], b""

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._heads.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        exchange = Exchange(self)
        exchange.method, exchange.target = self._parser.get_method(), self._target
        exchange.headers = dict(self._heads)
        exchange.keeps = self._parser.should_keep_alive()
        exchange.expects = exchange.headers.get(b"expect", b"").lower() == b"100-continue"
        self.exchange = exchange
        self._party.sent(exchange, self._first_at)
        self._tell(partial(self._party.head, exchange))

    def on_body(self, body: bytes) -> None:
        self._pieces.append(body)

    def on_message_complete(self) -> None:
        self._fresh = True
        if (exchange := self.exchange) is not None and not exchange.answered:
            exchange.body = b"".join(self._pieces)
            self._tell(partial(self._party.whole, exchange))


# ------------------------------------------------------------------ the client


class Response:
    """What came back for a client's request; `status` 0 if the connection ended before a whole answer."""

    __slots__ = ("at", "body", "headers", "reset", "seen", "status")

    def __init__(self, status: int, headers: Headers, body: bytes, at: float, reset: bool = False,
                 seen: bool = False) -> None:
        self.status, self.headers, self.body, self.at = status, headers, body, at
        self.reset = reset  # it ended with a reset, not with a FIN
        self.seen = seen  # a part of an answer had come


class ClientEnd(asyncio.Protocol):
    """One connection of a client at a scheduler; one request at a time."""

    def __init__(self, sock: socket.socket, clock: Callable[[], float]) -> None:
        self._sock, self._clock = sock, clock
        self._transport: asyncio.Transport | None = None
        self._waiting: asyncio.Future[Response] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = {}
        self._pieces: list[bytes] = []
        self._seen = False
        self.over = False
        self.used = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def is_quiet(self) -> bool:
        """Whether it is open and the other side has not ended it, as far as the kernel knows."""
        if self.over:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def send(self, data: bytes) -> asyncio.Future[Response]:
        """Write a whole request; the future gives its answer, or how the connection ended."""
        assert self._transport and self._waiting is None
        self._waiting = asyncio.get_running_loop().create_future()
        self._headers, self._pieces, self._seen = {}, [], False
        self.used += 1
        waiting = self._waiting
        if self.over:
            self._ended(reset=True)
        else:
            self._transport.write(data)
        return waiting

    def data_received(self, data: bytes) -> None:
        self._seen = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._ended(reset=False)
            self.close()

    def eof_received(self) -> bool:
        self._ended(reset=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._ended(reset=exc is not None)

    def close(self, hard: bool = False) -> None:
        """Go away."""
        self.over = True
        if self._waiting and not self._waiting.done():
            self._waiting.cancel()
        self._waiting = None
        if self._transport:
            if hard:
                reset(self._transport)
            else:
                self._transport.close()

    def _ended(self, reset: bool) -> None:
        self.over = True
        self._tell(Response(0, self._headers, b"", self._clock(), reset, self._seen))

    def _tell(self, response: Response) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting and not waiting.done():
            waiting.set_result(response)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._pieces.append(body)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 200:
            self._headers, self._pieces = {}, []
            return
        self.over = self.over or not self._parser.should_keep_alive()
        self._tell(Response(status, self._headers, b"".join(self._pieces), self._clock()))


async def dial(address: tuple[str, int], clock: Callable[[], float], within_s: float) -> ClientEnd | None:
    """A client's new connection; None if it was refused or did not come up in that time."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    loop = asyncio.get_running_loop()
    try:
        await asyncio.wait_for(loop.sock_connect(sock, address), within_s)
        _, end = await loop.create_connection(lambda: ClientEnd(sock, clock), sock=sock)
    except (OSError, TimeoutError):
        sock.close()
        return None
    return end


def head_of(method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b"") -> bytes:
    """The bytes of a request."""
    lines = [b"%s %s HTTP/1.1" % (method, target), *(b"%s: %s" % h for h in headers)]
    if body or method == b"POST":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, b"", b""]) + body
