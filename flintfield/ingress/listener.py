"""HTTP/1.1 for clients, over the bounded server of `transport.http`: whole requests in, whole answers out.

A `Listener` hands each request to one coroutine and writes what it returns. It answers 413 and 431 by itself,
and knows which connections are idle, so that a process that is about to end closes those and answers the
others in full. What is not HTTP at all is answered by Tornado: 400, and the connection ends.
"""

from __future__ import annotations

import asyncio
import logging
import typing
import weakref
from collections.abc import Awaitable, Callable

from tornado import httputil
from tornado.http1connection import HTTP1Connection

from flintfield.ingress.exchange import Exchange
from flintfield.ingress.messages import ListenerCounters, ListenerLimits, Reply, Request, error_reply
from flintfield.runtime.errors import ErrorKind
from flintfield.transport.http import BoundedServer, Serve, ServerLimits, start_server

_log = logging.getLogger(__name__)

HARD_HEADER_BYTES = 65_536  # above it the connection is closed without an answer; up to it, a 431 says why
# A refused body is read (and dropped) up to here, so that the client sees the 413
HARD_BODY_BYTES = 1024 * 1024
HARD_BODY_FACTOR = 4  # the same, by the configured bound, where that is higher
_MS_IN_S = 1_000

Handler = Callable[[Request], Awaitable[Reply]]


class Listener(httputil.HTTPServerConnectionDelegate):
    """One listening address. `limits` is asked for each request, so that it may change."""

    def __init__(
        self, handler: Handler, limits: Callable[[], ListenerLimits], steady_ms: Callable[[], int]
    ) -> None:
        self.counters = ListenerCounters()
        self.draining = False
        self.held_bytes = 0  # of all bodies that are being read or served
        self.limits = limits
        self.steady_ms = steady_ms
        self._handler = handler
        self._exchanges: weakref.WeakSet[Exchange] = weakref.WeakSet()  # as long as Tornado reads or waits
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: BoundedServer | None = None
        self._giving_up = False  # requests that still wait get no answer of the handler any more

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
        try:
            async with asyncio.timeout(timeout_s):
                while self._tasks:
                    await asyncio.wait(tuple(self._tasks))
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """End everything; what still waits is answered by 504, for its outcome is not known here."""
        self.stop_listening()
        self._giving_up = True
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for exchange in tuple(self._exchanges):
            exchange.connection.close()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Tornado is about to read a request from this connection."""
        exchange = Exchange(self, typing.cast(HTTP1Connection, request_conn))
        self._exchanges.add(exchange)
        return exchange

    def serve(self, exchange: Exchange, request: Request) -> None:
        """Have a whole request answered."""
        self.counters.requests += 1
        if len(self._tasks) >= exchange.limits.requests:
            self.counters.overload += 1
            exchange.answer(error_reply(ErrorKind.OVERLOADED, "too many requests are under way"))
            return
        task = asyncio.get_running_loop().create_task(self._serve(exchange, request))
        exchange.on_client_left(task)
        self._tasks.add(task)
        task.add_done_callback(lambda _: self._served(exchange, task))

    def over(self, exchange: Exchange) -> None:
        """The exchange was answered; its connection may have the next one already."""
        self._exchanges.discard(exchange)

    def _served(self, exchange: Exchange, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        exchange.release()

    async def _serve(self, exchange: Exchange, request: Request) -> None:
        try:
            reply = await self._handler(request)
        except asyncio.CancelledError:
            if not self._giving_up:
                raise  # the client has left
            exchange.answer(error_reply(ErrorKind.OUTCOME_UNKNOWN, "this process ends"))
            return
        except Exception:
            self.counters.failures += 1
            _log.exception("client_call_failed")
            exchange.answer(error_reply(ErrorKind.INTERNAL, "a fault of this program"))
            return
        exchange.answer(reply)
