"""What a stand-in worker is, the faults it shows on demand, and the clocks it may go by."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from .worker_plan import Bounds, Capacity, RunPlan, plan_of_spec


class ManualClock:
    """A steady clock that a test moves; workers that use it are told of each move."""

    def __init__(self, now: int = 1_000_000) -> None:
        self.now = now
        self._listeners: list[Callable[[], None]] = []

    def __call__(self) -> int:
        """The time in ms."""
        return self.now

    def advance(self, length_ms: int) -> None:
        """Move on, and let workers do what has fallen due."""
        self.now += length_ms
        for listener in self._listeners:
            listener()

    def watch(self, listener: Callable[[], None]) -> None:
        """Call this at each move."""
        self._listeners.append(listener)


def steady_ms() -> int:
    """The machine's steady clock, shifted so that it differs from the agent's."""
    return time.monotonic_ns() // 1_000_000 + 7_000_000


@dataclass(slots=True)
class WorkerOptions:
    """What a worker is; `agent` is the agent's control address ("": no heartbeats)."""

    instance: str = ""
    service: str = "service-a"
    zone: str = "zone-a"
    version: str = "v1"
    slots: int = 8
    labels: tuple[str, ...] = ("a", "r1-1")
    capacity: Capacity = field(default_factory=Capacity)
    bounds: Bounds = field(default_factory=Bounds)
    guards: bool = False
    agent: str = ""
    heartbeat_ms: int = 1_500
    plan: Callable[[str, str], RunPlan] = plan_of_spec
    tells_runs: bool = False  # prints each start, each end, and how far ends are taken note of
    waits_for_new_ends: bool = False  # a hold with `waitMs` waits although older ends are not acknowledged


@dataclass(slots=True)
class Trouble:
    """Faults that are switched on and off."""

    unhealthy_status: int = 0  # 429 or 503 to every call
    dark: bool = False  # calls are read and neither done nor answered
    late_orders: int = 0  # so many starts and stops get no answer, and are done `late_ms` later
    late_ms: int = 2_000
    lost_answers: int = 0  # so many starts and stops are done, and get no answer
