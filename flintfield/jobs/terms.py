"""The configured terms of a queue, as stored with a job."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Terms:
    """Configuration of a job's queue."""

    service: str
    priority: int
    max_attempts: int
    extension: float
    target_latency_ms: int
