"""HTTP/1.1 for clients, over the bounded server of `transport.http`: whole requests in, whole answers out.

A `Listener` hands each request to one coroutine and writes what it returns. It answers 413 and 431 by itself,
and knows which connections are idle, so that a process that is about to end closes those and answers the
others in full. What is not HTTP at all is answered by Tornado: 400, and the connection ends.
"""

from __future__ import annotations

import asyncio
import json
import typing
import weakref
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

from tornado import httputil
from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

from flintfield.runtime.errors import ErrorKind, answer, retry_after_header
from flintfield.transport.http import JSON_TYPE, BoundedServer, Serve, ServerLimits, start_server

HARD_HEADER_BYTES = 65_536  # above it the connection is closed without an answer; up to it, a 431 says why
# A refused body is read (and dropped) up to here, so that the client sees the 413
HARD_BODY_BYTES = 1024 * 1024
HARD_BODY_FACTOR = 4  # the same, by the configured bound, where that is higher
_MS_IN_S = 1_000


@dataclass(frozen=True, slots=True)
class Request:
    """A whole request. `path` has no query; `arrived_ms` is the steady time at which its headers were read.
    """

    method: str
    path: str
    headers: httputil.HTTPHeaders
    body: bytes
    arrived_ms: int


@dataclass(frozen=True, slots=True)
class Reply:
    """A status, a JSON body, and further headers."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


def error_reply(kind: ErrorKind, reason: str, headers: tuple[tuple[str, str], ...] = ()) -> Reply:
    """The answer to this kind of error."""
    row = answer(kind)
    if row.tells_retry_after:
        headers = (*headers, ("Retry-After", retry_after_header(row.retry_after_ms)))
    return Reply(row.status, json.dumps({"error": kind.value, "reason": reason}).encode(), headers)


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Bounds of one listener: bytes by request, connections, requests being served, and times in ms."""

    header_bytes: int
    body_bytes: int
    connections: int
    requests: int
    idle_timeout_ms: int
    body_timeout_ms: int


@dataclass(slots=True)
class ListenerCounters:
    """What came in, and what was turned away."""

    requests: int = 0
    headers_too_large: int = 0
    bodies_too_large: int = 0
    overload: int = 0
    clients_left: int = 0
    failures: int = 0


Handler = Callable[[Request], Awaitable[Reply]]


class Listener(httputil.HTTPServerConnectionDelegate):
    """One listening address. `limits` is asked for each request, so that it may change."""

    def __init__(
        self, handler: Handler, limits: Callable[[], ListenerLimits], steady_ms: Callable[[], int]
    ) -> None:
        self.counters = ListenerCounters()
        self.draining = False
        self.limits = limits
        self.steady_ms = steady_ms
        self._handler = handler
        self._exchanges: weakref.WeakSet[_Exchange] = weakref.WeakSet()  # as long as Tornado reads or waits
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: BoundedServer | None = None

    def start(self, address: str) -> int:
        """Listen on "ip:port" (0: any free port) and return the port; raises `OSError`."""
        ip, _, port = address.rpartition(":")
        bounds = ServerLimits(HARD_HEADER_BYTES, HARD_BODY_BYTES, max_connections=self.limits().connections)
        self._server = start_server(typing.cast(Serve, self), ip, int(port), bounds)
        self.apply_limits()
        return self._server.port

    def apply_limits(self) -> None:
        """Bring the limits into force that Tornado keeps; open connections have them from the next request
        on.
        """
        if self._server is None:
            return
        limits = self.limits()
        parameters = self._server.conn_params
        parameters.header_timeout = limits.idle_timeout_ms / _MS_IN_S
        parameters.body_timeout = limits.body_timeout_ms / _MS_IN_S
        parameters.max_body_size = max(HARD_BODY_BYTES, HARD_BODY_FACTOR * limits.body_bytes)
        self._server.max_buffer_size = HARD_HEADER_BYTES + parameters.max_body_size
        self._server.max_connections = limits.connections

    @property
    def connections_refused(self) -> int:
        """How many connections were closed at once, above the bound."""
        return self._server.refused if self._server is not None else 0

    @property
    def serving(self) -> int:
        """The number of requests that wait for their answers."""
        return len(self._tasks)

    def drain(self) -> None:
        """From now on each answer ends its connection."""
        self.draining = True
        if self._server is not None:
            self._server.conn_params.no_keep_alive = True

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or answered."""
        for exchange in tuple(self._exchanges):
            if exchange.idle:
                exchange.connection.close()

    def stop_listening(self) -> None:
        """Take no new connections."""
        if self._server is not None:
            self._server.stop()

    async def answered(self, timeout_s: float) -> bool:
        """Wait until every request is answered; False where time ran out."""
        if self._tasks:
            await asyncio.wait(tuple(self._tasks), timeout=timeout_s)
        return not self._tasks

    async def close(self) -> None:
        """End everything, answered or not."""
        self.stop_listening()
        for task in tuple(self._tasks):
            task.cancel()
        for exchange in tuple(self._exchanges):
            exchange.connection.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Tornado is about to read a request from this connection."""
        exchange = _Exchange(self, typing.cast(HTTP1Connection, request_conn))
        self._exchanges.add(exchange)
        return exchange

    def serve(self, exchange: _Exchange, request: Request) -> None:
        """Have a whole request answered."""
        self.counters.requests += 1
        if len(self._tasks) >= self.limits().requests:
            self.counters.overload += 1
            exchange.answer(error_reply(ErrorKind.OVERLOADED, "too many requests are under way"))
            return
        task = asyncio.get_running_loop().create_task(self._serve(exchange, request))
        exchange.on_client_left(task)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, exchange: _Exchange, request: Request) -> None:
        try:
            reply = await self._handler(request)
        except Exception:
            self.counters.failures += 1
            exchange.answer(error_reply(ErrorKind.INTERNAL, "a fault of this program"))
            raise
        exchange.answer(reply)


class _Exchange(httputil.HTTPMessageDelegate):
    """One request on a connection and its answer."""

    def __init__(self, listener: Listener, connection: HTTP1Connection) -> None:
        self.connection = connection
        self.idle = True  # no request has been read, or it was answered
        self._listener = listener
        self._start_line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._body = bytearray()
        self._arrived_ms = 0
        self._refusal: Reply | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """The headers are there; a body may follow."""
        self.idle = False
        self._arrived_ms = self._listener.steady_ms()
        self._start_line = typing.cast(httputil.RequestStartLine, start_line)
        self._headers = headers
        limits = self._listener.limits()
        if _size_of(self._start_line, headers) > limits.header_bytes:
            self._listener.counters.headers_too_large += 1
            reason = f"the headers are above {limits.header_bytes} bytes"
            self._refusal = Reply(431, json.dumps({"error": "too_large", "reason": reason}).encode())
        elif _announced_bytes(headers) > limits.body_bytes:
            self._refuse_body(limits)

    def data_received(self, chunk: bytes) -> None:
        """A part of the body; what belongs to a refused request is dropped."""
        if self._refusal is not None:
            return
        limits = self._listener.limits()
        if len(self._body) + len(chunk) > limits.body_bytes:
            self._refuse_body(limits)
            return
        self._body += chunk

    def finish(self) -> None:
        """The request is whole."""
        if self._refusal is not None:
            self.answer(self._refusal)
            return
        assert self._start_line is not None
        path = self._start_line.path.partition("?")[0]
        body = bytes(self._body)
        self._body.clear()
        request = Request(self._start_line.method, path, self._headers, body, self._arrived_ms)
        self._listener.serve(self, request)

    def on_connection_close(self) -> None:
        """The connection ended before the request was whole."""
        self._body.clear()

    def on_client_left(self, task: asyncio.Task[None]) -> None:
        """Stop waiting for the answer once the client has closed the connection."""

        def left() -> None:
            self._listener.counters.clients_left += 1
            task.cancel()

        self.connection.set_close_callback(left)

    def answer(self, reply: Reply) -> None:
        """Write the answer; a client that has left gets nothing."""
        self.connection.set_close_callback(None)
        headers = httputil.HTTPHeaders({"Content-Type": JSON_TYPE, "Content-Length": str(len(reply.body))})
        for name, value in reply.headers:
            headers.add(name, value)
        ends = self._listener.draining
        if ends:
            headers["Connection"] = "close"
        try:
            start_line = httputil.ResponseStartLine("", reply.status, _reason_phrase(reply.status))
            written = self.connection.write_headers(start_line, headers, reply.body)
            self.connection.finish()
        except (StreamClosedError, httputil.HTTPOutputError, AttributeError):
            self._listener.counters.clients_left += 1
            return
        finally:
            self.idle = True
        if ends:
            written.add_done_callback(lambda _: self.connection.close())

    def _refuse_body(self, limits: ListenerLimits) -> None:
        self._listener.counters.bodies_too_large += 1
        self._body.clear()
        self._refusal = error_reply(ErrorKind.TOO_LARGE, f"the body is above {limits.body_bytes} bytes")


def _size_of(start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders) -> int:
    """Bytes of the request line and the headers, with colons, blanks and ends of lines."""
    lines = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
    return len(start_line.method) + len(start_line.path) + len(start_line.version) + 4 + lines


def _announced_bytes(headers: httputil.HTTPHeaders) -> int:
    text = headers.get("Content-Length", "0")
    return int(text) if text.isascii() and text.isdigit() and len(text) <= 16 else 0


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
