"""The configured terms of a queue, as stored with a job."""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.jobs.events import Route


@dataclass(frozen=True, slots=True)
class Terms:
    """Configuration of a job's queue."""

    service: str
    priority: int
    max_attempts: int
    extension: float
    target_latency_ms: int


def terms_of(route: Route) -> Terms:
    """The terms of a configured queue."""
    return Terms(route.service, route.priority, route.max_attempts, route.extension, route.target_latency_ms)
