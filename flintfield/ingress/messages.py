"""Requests and replies of the ingress as values, and the bounds and counters of a listener."""

from __future__ import annotations

import json
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

from flintfield.runtime.errors import ErrorKind, answer, retry_after_header


@dataclass(frozen=True, slots=True)
class Request:
    """A whole request. `path` has no query; `arrived_ms`: the steady time when its headers were read."""

    method: str
    path: str
    headers: HTTPHeaders
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
    """Bounds of one listener: bytes by request, connections, requests being served, bytes of all bodies held
    at a time, and times in ms.
    """

    header_bytes: int
    body_bytes: int
    connections: int
    requests: int
    held_bytes: int
    idle_timeout_ms: int
    body_timeout_ms: int


@dataclass(slots=True)
class ListenerCounters:
    """What came in, and what was turned away."""

    requests: int = 0
    headers_too_large: int = 0
    bodies_too_large: int = 0
    overload: int = 0
    memory_overload: int = 0
    clients_left: int = 0
    failures: int = 0
