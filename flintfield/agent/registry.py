"""The HTTP listener that the worker sends its heartbeats to."""

from __future__ import annotations

import json
import urllib.parse
from collections.abc import Callable
from dataclasses import dataclass

from tornado.httputil import HTTPServerRequest

from flintfield.agent.events import Deregistered, Event
from flintfield.agent.heartbeats import MAX_INSTANCE, MalformedHeartbeat, read_heartbeat
from flintfield.transport.http import BoundedServer, ServerLimits, respond, start_server

HEARTBEAT_PATH = "/-/Instances.Heartbeat/"
DEREGISTER_PATH = "/-/Instances.Deregister/"
MAX_BODY_BYTES = 64 * 1024  # a heartbeat has some 300 bytes
READ_BYTES = 256 * 1024  # what is read of a body, so that its refusal arrives and says why; beyond: cut off
LIMITS = ServerLimits(max_header_bytes=8 * 1024, max_body_bytes=READ_BYTES, max_connections=16)


@dataclass(slots=True)
class RegistryCounters:
    """Calls by what was answered."""

    heartbeats: int = 0
    deregistrations: int = 0
    malformed: int = 0


class Registry:
    """Acknowledges the worker's calls at once and hands them on as events."""

    def __init__(self, deliver: Callable[[Event], None]) -> None:
        self.counters = RegistryCounters()
        self._deliver = deliver
        self._server: BoundedServer | None = None

    def start(self, ip: str, port: int) -> int:
        """Listen; returns the port. Raises `OSError`."""
        self._server = start_server(self._serve, ip, port, LIMITS)
        return int(self._server.port)

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def _serve(self, request: HTTPServerRequest) -> None:
        path = request.path or ""
        if len(request.body) > MAX_BODY_BYTES:
            self._refuse(request, 413, f"a body of {len(request.body)} bytes, above {MAX_BODY_BYTES}")
        elif path.startswith(HEARTBEAT_PATH):
            self._heartbeat(request, urllib.parse.unquote(path[len(HEARTBEAT_PATH) :]))
        elif path.startswith(DEREGISTER_PATH):
            self._deregister(request, urllib.parse.unquote(path[len(DEREGISTER_PATH) :]))
        else:
            self._refuse(request, 404, "no such path")

    def _heartbeat(self, request: HTTPServerRequest, instance: str) -> None:
        if request.method != "POST":
            self._refuse(request, 405, "POST only")
            return
        try:
            heartbeat = read_heartbeat(instance, request.body)
        except MalformedHeartbeat as error:
            self._refuse(request, 400, str(error))
            return
        self.counters.heartbeats += 1
        respond(request, 200, b"{}")
        self._deliver(heartbeat)

    def _deregister(self, request: HTTPServerRequest, instance: str) -> None:
        if request.method != "POST":
            self._refuse(request, 405, "POST only")
            return
        if not instance or len(instance) > MAX_INSTANCE:
            self._refuse(request, 400, f"an id of {len(instance)} characters")
            return
        self.counters.deregistrations += 1
        respond(request, 200, b"{}")
        self._deliver(Deregistered(instance))

    def _refuse(self, request: HTTPServerRequest, status: int, reason: str) -> None:
        self.counters.malformed += 1
        respond(request, status, json.dumps({"error": reason}).encode())
