"""Thin helpers over Tornado for what the system speaks as HTTP/1.1: a bounded server and a bounded client.

Import cost, measured as resident memory and processor time: this module 5 MB and 58 ms (Tornado's server,
with `ssl`), the first `make_client` 6 MB more (libcurl). `tornado.web` is not imported: a server takes one
callback `serve(request)`, which answers by `respond`, now or later.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError

from flintfield.transport.sockets import LISTEN_BACKLOG, USER_TIMEOUT_MS

if TYPE_CHECKING:
    from tornado.httpclient import AsyncHTTPClient

READ_CHUNK_BYTES = 16 * 1024  # Tornado allocates as much for each read: most calls are far below
BUFFER_SLACK_BYTES = 64 * 1024  # what a connection may hold beyond one request: the start of the next one
JSON_TYPE = "application/json"

Serve = Callable[[HTTPServerRequest], None]


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Bounds of a server; for larger headers or bodies, Tornado closes the connection.

    It tries to answer 400 first, but what is unread resets the connection, so that the client may miss it.
    Where a 413 is promised, let `max_body_bytes` be above the promised bound and answer it in the callback.
    `idle_timeout_s` is how long a connection may take until the headers of its next request are there.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 256 * 1024
    idle_timeout_s: float = 75.0
    max_connections: int = 1_024


class BoundedServer(HTTPServer):
    """An `HTTPServer` with a bound on open connections; `refused` counts those closed above it."""

    port: int
    max_connections: int
    open_connections: int
    refused: int

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """As Tornado's; the class is configurable, so that this takes the place of `__init__`."""
        self.port = 0
        self.max_connections = kwargs.pop("max_connections")
        self.open_connections = 0
        self.refused = 0
        super().initialize(*args, **kwargs)

    def handle_stream(self, stream: Any, address: Any) -> None:
        """Take a new connection."""
        if self.open_connections >= self.max_connections:
            self.refused += 1
            stream.close()
            return
        self.open_connections += 1
        _set_options(stream)
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """A connection is over."""
        self.open_connections -= 1
        super().on_close(server_conn)


def _set_options(stream: IOStream) -> None:
    """Switch Nagle's algorithm off for good: Tornado would toggle it by two system calls a request."""
    sock: socket.socket = stream.socket
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    except OSError:
        return  # reset by the peer; the stream will tell
    stream.set_nodelay = _leave_nodelay  # type: ignore[method-assign]


def _leave_nodelay(value: bool) -> None:
    """Takes the place of `IOStream.set_nodelay`."""


def start_server(serve: Serve, ip: str, port: int, limits: ServerLimits) -> BoundedServer:
    """Listen on ip:port (0: any free port, told by `port`) in the running event loop; raises `OSError`."""
    listener = _listener(ip, port)
    server = BoundedServer(
        serve,
        xheaders=False,
        chunk_size=READ_CHUNK_BYTES,
        max_header_size=limits.max_header_bytes,
        max_body_size=limits.max_body_bytes,
        max_buffer_size=limits.max_header_bytes + limits.max_body_bytes + BUFFER_SLACK_BYTES,
        idle_connection_timeout=limits.idle_timeout_s,
        max_connections=limits.max_connections,
    )
    server.port = listener.getsockname()[1]
    server.add_socket(listener)
    return server


def _listener(ip: str, port: int) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, port))
        listener.listen(LISTEN_BACKLOG)
    except BaseException:
        listener.close()
        raise
    return listener


def respond(
    request: HTTPServerRequest,
    status: int,
    body: bytes = b"",
    retry_after_s: str = "",
    content_type: str = JSON_TYPE,
    headers: dict[str, str] | None = None,
) -> None:
    """Answer a request whole, in one write; a client that is gone is no error."""
    connection = request.connection
    assert connection is not None
    start, fields = answer_head(status, body, retry_after_s, content_type, headers)
    try:
        connection.write_headers(start, fields, body)
        connection.finish()
    except StreamClosedError:
        return


def answer_head(
    status: int,
    body: bytes,
    retry_after_s: str = "",
    content_type: str = JSON_TYPE,
    headers: dict[str, str] | None = None,
) -> tuple[ResponseStartLine, HTTPHeaders]:
    """The status line and the headers of an answer with this body."""
    fields = HTTPHeaders({"Content-Length": str(len(body))})
    if body:
        fields["Content-Type"] = content_type
    if retry_after_s:
        fields["Retry-After"] = retry_after_s
    for name, value in (headers or {}).items():
        fields[name] = value
    return ResponseStartLine("HTTP/1.1", status, _reason(status)), fields


def _reason(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def make_client(
    max_clients: int,
    connect_timeout_s: float,
    request_timeout_s: float,
    max_body_bytes: int = 4 * 1024 * 1024,
) -> AsyncHTTPClient:
    """The curl client: at most `max_clients` calls at a time (further ones wait), connections are kept.

    No proxies (whatever the environment says), no redirects, no signals, IPv4, no compression. The timeouts
    are defaults; a call may name its own `request_timeout`. Tornado's client wakes once a second by itself.
    """
    from tornado.curl_httpclient import CurlAsyncHTTPClient

    return CurlAsyncHTTPClient(
        force_instance=True,
        max_clients=max_clients,
        max_body_size=max_body_bytes,
        defaults={
            "allow_ipv6": False,
            "connect_timeout": connect_timeout_s,
            "decompress_response": False,
            "follow_redirects": False,
            "prepare_curl_callback": set_common_options,
            "request_timeout": request_timeout_s,
        },
    )


def set_common_options(curl: Any) -> None:
    """The options of every call: no proxies, no signals, no delay of small packets."""
    import pycurl  # type: ignore[import-untyped]

    curl.setopt(pycurl.TCP_NODELAY, 1)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.NOPROXY, "*")
