"""What placement is told and what it answers. It does no I/O, has no clock; its random numbers are seeded."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Resources:
    """Thousandths of a core, MB of memory, GPUs."""

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def fits(self, room: Resources) -> bool:
        """Whether all of it is within that room."""
        return self.cpu <= room.cpu and self.memory_mb <= room.memory_mb and self.gpu <= room.gpu

    def plus(self, other: Resources) -> Resources:
        """The sum."""
        return Resources(self.cpu + other.cpu, self.memory_mb + other.memory_mb, self.gpu + other.gpu)

    def minus(self, other: Resources) -> Resources:
        """The difference; may be negative."""
        return Resources(self.cpu - other.cpu, self.memory_mb - other.memory_mb, self.gpu - other.gpu)


@dataclass(slots=True)
class Worker:
    """A worker as the dispatcher's record has it; the dispatcher changes it, placement reads it.

    `used` counts every run that may be there: ordered, running, being stopped, or in doubt. `ready` is
    False while it drains, is silent, or its agent is out of touch. `rack` is its label that names the rack.
    `held` counts the tasks by `(job, time, step)` that it holds, for anti-affinity.
    """

    instance: str
    machine: str
    service: str
    zone: str
    labels: frozenset[str]
    rack: str
    capacity: Resources
    used: Resources = field(default_factory=Resources)
    ready: bool = True
    held: dict[tuple[str, int, int], int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Demand:
    """A task that is ready to start.

    `needs` are the labels asked for (usually none or one); `affinity` names a rack or is ""; `together` is
    True where all tasks of the step should be on one rack; `siblings` are the racks where other tasks of
    that step run now. `at_most` is the anti-affinity bound by worker (0: none), for the key `group` = (job,
    time, step). `avoid` are instances where earlier runs of this task failed, stalled or were lost.
    `priority` is the queue's number (0 first); `client` names who is served, for the shares (the queue's
    name). `estimate_ms` is the client's rough guess.
    """

    task: str
    service: str
    client: str
    priority: int
    resources: Resources
    estimate_ms: int
    needs: tuple[str, ...] = ()
    affinity: str = ""
    together: bool = False
    siblings: frozenset[str] = frozenset()
    at_most: int = 0
    group: tuple[str, int, int] = ("", 0, 0)
    avoid: frozenset[str] = frozenset()


class Result:
    """How a run ended, for what is learned of its worker."""

    DONE, FAILED, LOST, STALLED = "done", "failed", "lost", "stalled"


class Placement(Protocol):
    """The policy. `workers` are all workers by instance; the dispatcher alone changes them."""

    def note_start(self, demand: Demand, instance: str, now_ms: int) -> None:
        """A run was ordered there."""

    def note_end(self, demand: Demand, instance: str, result: str, ran_ms: float, now_ms: int) -> None:
        """A run ended so after that time (0.0 where unknown)."""

    def forget(self, instance: str) -> None:
        """The worker is gone."""

    def tick(self, now_ms: int, workers: dict[str, Worker]) -> None:
        """Step the prices; called about every 100 ms."""

    def choose(self, demand: Demand, workers: dict[str, Worker], now_ms: int) -> str | None:
        """The instance on which to start it now, or None where it is better to wait."""

    def choose_gang(
        self, demands: Sequence[Demand], workers: dict[str, Worker], now_ms: int
    ) -> list[str] | None:
        """An instance for each, all or none."""

    def trusted(self, instance: str, now_ms: int) -> bool:
        """False while the worker is in quarantine for failing or stalling."""
