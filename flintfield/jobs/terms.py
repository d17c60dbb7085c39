"""The terms of a queue, as a job keeps them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Terms:
    """What the configuration says of a job's queue."""

    service: str
    priority: int
    max_attempts: int
    extension: float
    target_latency_ms: int
