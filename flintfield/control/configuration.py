"""The configuration as the rest of the system reads it: typed, immutable and indexed.

A `Configuration` is made from a document that was checked when its order was taken (`documents.py`); nothing
is checked again here. Times are milliseconds, sizes bytes.
"""

from __future__ import annotations

import typing
from collections.abc import Mapping
from dataclasses import dataclass, field

from flintfield.base.hosts import canonical_host

DOCUMENT = Mapping[str, typing.Any]  # the operator's JSON object, as parsed


@dataclass(frozen=True, slots=True)
class Route:
    """A queue: the calls to `host` whose path starts with `path_prefix`, run by the workers of `service`."""

    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: int
    target_latency_ms: int
    priority: int
    service: str
    max_attempts: int
    extension: float


@dataclass(frozen=True, slots=True)
class Service:
    """A kind of worker. `guards` is False where its workers start whatever they are told."""

    name: str
    health_path: str
    max_connections: int
    protocol: str
    tls: bool
    guards: bool


@dataclass(frozen=True, slots=True)
class Limits:
    """What a client may send, and how long its connection may take or rest."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class _HostIndex:
    """The routes of one host by prefix, and the lengths of those prefixes, longest first."""

    by_prefix: dict[str, Route]
    lengths: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: Limits
    _hosts: Mapping[str, _HostIndex] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "_hosts", _index(self.routes))

    def find_route(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix of this path; `host` is a `Host` header, port or none."""
        index = self._hosts.get(canonical_host(host))
        if index is None:
            return None
        for length in index.lengths:
            route = index.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


def from_document(document: DOCUMENT) -> Configuration:
    """The configuration that a checked document describes."""
    services = (_service(item) for item in document["services"])
    return Configuration(
        version=document["version"],
        routes=tuple(_route(item) for item in document["routes"]),
        services={service.name: service for service in services},
        limits=_limits(document.get("limits", {})),
    )


def _index(routes: tuple[Route, ...]) -> dict[str, _HostIndex]:
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(canonical_host(route.host), {})[route.path_prefix] = route
    return {
        host: _HostIndex(by_prefix, tuple(sorted({len(prefix) for prefix in by_prefix}, reverse=True)))
        for host, by_prefix in by_host.items()
    }


def _route(item: DOCUMENT) -> Route:
    return Route(
        name=item["name"],
        host=item["host"],
        path_prefix=item["pathPrefix"],
        route_type=item.get("routeType", "non_idempotent"),
        timeout_ms=item["timeoutMs"],
        target_latency_ms=item.get("targetLatencyMs", item["timeoutMs"]),
        priority=item.get("priority", 0),
        service=item["service"],
        max_attempts=item.get("maxAttempts", 1),
        extension=float(item.get("extension", 1.0)),
    )


def _service(item: DOCUMENT) -> Service:
    return Service(
        name=item["name"],
        health_path=item.get("healthPath", ""),
        max_connections=item.get("maxConnections", 0),
        protocol=item.get("protocol", "h1"),
        tls=item.get("tls", False),
        guards=item.get("guards", False),
    )


def _limits(item: DOCUMENT) -> Limits:
    default = Limits()
    return Limits(
        max_header_bytes=item.get("maxHeaderBytes", default.max_header_bytes),
        max_body_bytes=item.get("maxBodyBytes", default.max_body_bytes),
        header_timeout_ms=item.get("headerTimeoutMs", default.header_timeout_ms),
        idle_timeout_ms=item.get("idleTimeoutMs", default.idle_timeout_ms),
    )
