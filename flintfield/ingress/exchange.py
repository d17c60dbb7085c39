"""One request on a client's connection, and its answer: what Tornado's reader calls."""

from __future__ import annotations

import asyncio
import json
import typing
from http import HTTPStatus

from tornado import httputil
from tornado.http1connection import HTTP1Connection

from flintfield.ingress.messages import ListenerCounters, ListenerLimits, Reply, Request, error_reply
from flintfield.runtime.errors import ErrorKind
from flintfield.transport.http import JSON_TYPE


class ExchangeOwner(typing.Protocol):
    """What an exchange needs of its listener."""

    counters: ListenerCounters
    draining: bool
    held_bytes: int

    @property
    def limits(self) -> typing.Callable[[], ListenerLimits]:
        """The bounds in force."""

    @property
    def steady_ms(self) -> typing.Callable[[], int]:
        """The steady clock."""

    def serve(self, exchange: Exchange, request: Request) -> None:
        """Have a whole request answered."""

    def over(self, exchange: Exchange) -> None:
        """The exchange was answered."""


class Exchange(httputil.HTTPMessageDelegate):
    """One request on a connection and its answer."""

    def __init__(self, listener: ExchangeOwner, connection: HTTP1Connection) -> None:
        self.connection = connection
        self.idle = True  # nothing of a request has been read
        self.limits = listener.limits()
        self._listener = listener
        self._start_line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._body = bytearray()
        self._held_bytes = 0
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
        self.limits = self._listener.limits()  # it may have waited here for long
        if _size_of(self._start_line, headers) > self.limits.header_bytes:
            self._listener.counters.headers_too_large += 1
            reason = f"the headers are above {self.limits.header_bytes} bytes"
            self._refusal = Reply(431, json.dumps({"error": "too_large", "reason": reason}).encode())
        elif _announced_bytes(headers) > self.limits.body_bytes:
            self._refuse_body()

    def data_received(self, chunk: bytes) -> None:
        """A part of the body; what belongs to a refused request is dropped."""
        if self._refusal is not None:
            return
        if len(self._body) + len(chunk) > self.limits.body_bytes:
            self._refuse_body()
        elif self._listener.held_bytes + len(chunk) > self.limits.held_bytes:
            self._refuse_for_memory()
        else:
            self._body += chunk
            self._held_bytes += len(chunk)
            self._listener.held_bytes += len(chunk)

    def finish(self) -> None:
        """The request is whole."""
        if self._refusal is not None:
            self.answer(self._refusal)
            return
        assert self._start_line is not None
        path = self._start_line.path.partition("?")[0]
        body = bytes(self._body)
        self._body.clear()  # but held, as the request's body, until it is answered
        request = Request(self._start_line.method, path, self._headers, body, self._arrived_ms)
        self._listener.serve(self, request)

    def on_connection_close(self) -> None:
        """The connection ended before the request was whole."""
        self.release()

    def release(self) -> None:
        """The body is not held any more."""
        self._body.clear()
        self._listener.held_bytes -= self._held_bytes
        self._held_bytes = 0

    def on_client_left(self, task: asyncio.Task[None]) -> None:
        """Stop waiting for the answer once the client has closed the connection."""

        def left() -> None:
            self._listener.counters.clients_left += 1
            task.cancel()

        self.connection.set_close_callback(left)

    def answer(self, reply: Reply) -> None:
        """Write the answer; a client that has left gets nothing."""
        self.connection.set_close_callback(None)
        if self.connection.stream.closed():
            self._listener.counters.clients_left += 1
            return
        headers = httputil.HTTPHeaders({"Content-Type": JSON_TYPE, "Content-Length": str(len(reply.body))})
        for name, value in reply.headers:
            headers.add(name, value)
        if self._listener.draining:
            headers["Connection"] = "close"
        assert self._start_line is not None
        body = b"" if self._start_line.method == "HEAD" else reply.body
        start_line = httputil.ResponseStartLine("", reply.status, _reason_phrase(reply.status))
        written = self.connection.write_headers(start_line, headers, body)
        self._listener.over(self)
        self.connection.finish()
        if self._listener.draining:
            written.add_done_callback(lambda _: self.connection.close())

    def _refuse_body(self) -> None:
        self._listener.counters.bodies_too_large += 1
        self.release()
        self._refusal = error_reply(ErrorKind.TOO_LARGE, f"the body is above {self.limits.body_bytes} bytes")

    def _refuse_for_memory(self) -> None:
        self._listener.counters.memory_overload += 1
        self.release()
        self._refusal = error_reply(ErrorKind.OVERLOADED, "too many large requests are under way")


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
