"""The operator's API on `listen.control`; every scheduler serves it, with or without a disk."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from tornado.httputil import HTTPServerRequest

from flintfield.control.forwarding import OrderForwarder
from flintfield.control.messages import ForwardedOrder
from flintfield.control.operator import MAX_BODY_BYTES, READ_PATH, Answer, OperatorService, RegisterNode
from flintfield.control.redirection import ReadRedirector
from flintfield.runtime.clock import steady_ms
from flintfield.runtime.errors import ErrorKind, answer, retry_after_header
from flintfield.runtime.settings import NodeSettings
from flintfield.transport.rpc import Handlers
from flintfield.transport.delivery import Delivery, respond_in_pieces
from flintfield.transport.http import BoundedServer, ServerLimits, respond, start_server

_log = logging.getLogger(__name__)

# Up to here a body that is too large is read, so that the 413 is seen
READ_BODY_BYTES = MAX_BODY_BYTES + 1024 * 1024
MAX_CONNECTIONS = 64
IDLE_TIMEOUT_S = 30.0
STOP_S = 0.5  # of the grace period, which the ingress has used already

Call = Callable[[HTTPServerRequest], Awaitable[Answer]]


class ControlServer:
    """The listener for the operator."""

    def __init__(
        self,
        settings: NodeSettings,
        node: RegisterNode,
        forwarder: OrderForwarder | None = None,
        redirector: ReadRedirector | None = None,
    ) -> None:
        self.service = OperatorService(node, forwarder=forwarder, redirector=redirector)
        self.port = 0
        self._settings = settings
        self._server: BoundedServer | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._calls: dict[str, tuple[str, Call]] = {
            "/-/Config.Replace": ("POST", self._replace),
            "/-/Config.Update": ("POST", self._update),
            READ_PATH: ("GET", self._read),
        }

    def handlers(self) -> Handlers:
        """The handlers for the process's RPC server."""
        return {ForwardedOrder: lambda order, _: self.service.take_forwarded(order)}

    async def start(self) -> None:
        """Listen; raises `OSError`. Without an address in the settings, nothing is served."""
        address = self._settings.listen.control
        if address is None:
            return
        ip, _, port = address.rpartition(":")
        limits = ServerLimits(
            max_body_bytes=READ_BODY_BYTES, max_connections=MAX_CONNECTIONS, idle_timeout_s=IDLE_TIMEOUT_S
        )
        self._server = start_server(self._serve, ip, int(port), limits)
        self.port = self._server.port

    async def stop(self) -> None:
        """Stop listening, answer the calls under way if that is soon, close."""
        if self._server is None:
            return
        self._server.stop()
        self._server.conn_params.no_keep_alive = True
        if self._tasks:
            await asyncio.wait(tuple(self._tasks), timeout=STOP_S)
        for task in tuple(self._tasks):
            task.cancel()  # answered by 504: no clear answer, so that the operator repeats the order
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.close_all_connections()

    def _serve(self, request: HTTPServerRequest) -> None:
        method, call = self._calls.get(request.path, ("", None))
        if call is None:
            _refuse(request, ErrorKind.UNKNOWN_PATH)
        elif request.method != method:
            _refuse(request, ErrorKind.NOT_ALLOWED, {"Allow": method})
        elif len(request.body) > MAX_BODY_BYTES:
            _refuse(request, ErrorKind.TOO_LARGE)
        else:
            task = asyncio.get_running_loop().create_task(self._answer(request, call))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _answer(self, request: HTTPServerRequest, call: Call) -> None:
        started_ms = steady_ms()
        try:
            reply = await call(request)
        except asyncio.CancelledError:
            _refuse(request, ErrorKind.OUTCOME_UNKNOWN)
            return
        except Exception:
            _log.exception("operator_call_failed")
            _refuse(request, ErrorKind.INTERNAL)  # no clear answer: the operator repeats the order
            return
        answered_ms = steady_ms() - started_ms
        headers = {"Location": reply.location} if reply.location else None
        delivery = await respond_in_pieces(request, reply.status, reply.body, headers)
        self._note(request, reply, delivery, answered_ms, steady_ms() - started_ms)

    def _note(
        self,
        request: HTTPServerRequest,
        reply: Answer,
        delivery: Delivery,
        answered_ms: int,
        ended_ms: int,
    ) -> None:
        """Count and log how a call ended; the times are counted from when the request was whole."""
        counters = self.service.counters
        counters.answer_bytes += delivery.sent_bytes
        counters.cut_answers += not delivery.complete
        fields = {
            "path": request.path,
            "caller": request.remote_ip,
            "request_bytes": len(request.body),
            "status": reply.status,
            "answer_bytes": len(reply.body),
            "sent_bytes": delivery.sent_bytes,
            "answered_ms": answered_ms,
            "ended_ms": ended_ms,
        }
        if delivery.complete:
            _log.info("operator_call", extra=fields)
        else:
            _log.warning("operator_call_cut", extra=fields)

    def _replace(self, request: HTTPServerRequest) -> Awaitable[Answer]:
        return self.service.replace(request.headers.get("X-Base-Version"), request.body)

    def _update(self, request: HTTPServerRequest) -> Awaitable[Answer]:
        return self.service.update(request.headers.get("X-Base-Version"), request.body)

    def _read(self, request: HTTPServerRequest) -> Awaitable[Answer]:
        return self.service.read()


def _refuse(request: HTTPServerRequest, kind: ErrorKind, headers: dict[str, str] | None = None) -> None:
    row = answer(kind)
    retry_after = retry_after_header(row.retry_after_ms) if row.tells_retry_after else ""
    body = b'{"error":"%s"}' % kind.value.encode() if request.method != "HEAD" else b""
    respond(request, row.status, body, retry_after, headers=headers)
