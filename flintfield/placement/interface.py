"""Inputs and results of placement. Placement does no I/O and has no clock; its random numbers are seeded."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol


MAX_RUNS_PER_WORKER = 2_000  # as many as can be stopped one after another within the bound of a cancel
MAX_FIRST_RUNS = (
    500  # beyond these, for jobs of which nothing runs: they would count as lost beside free capacity
)


@dataclass(frozen=True, slots=True)
class Resources:
    """Amounts of CPU (thousandths of a core), memory (MB) and GPUs."""

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def fits(self, room: Resources) -> bool:
        """Whether no amount exceeds that of `room`."""
        return self.cpu <= room.cpu and self.memory_mb <= room.memory_mb and self.gpu <= room.gpu

    def plus(self, other: Resources) -> Resources:
        """The sum of both, per resource."""
        return Resources(self.cpu + other.cpu, self.memory_mb + other.memory_mb, self.gpu + other.gpu)

    def minus(self, other: Resources) -> Resources:
        """The difference per resource; may be negative."""
        return Resources(self.cpu - other.cpu, self.memory_mb - other.memory_mb, self.gpu - other.gpu)


@dataclass(slots=True)
class Worker:
    """A worker as recorded by the dispatcher; the dispatcher updates it, placement only reads it.

    `used` includes every run that may be on the worker: ordered, running, being stopped, or in an unknown
    state. `ready` is False while the worker drains, sends nothing, or its agent is disconnected. `rack` is
    the label that names its rack. `runs` is the number of runs in `used`. `task_counts` counts the worker's
    tasks by `(job, time, step)`, for anti-affinity.
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
    runs: int = 0
    task_counts: dict[tuple[str, int, int], int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Demand:
    """A task that is ready to start.

    `needs` are the required labels (usually none or one); `affinity` names a preferred rack or is "";
    `same_rack` is True if all tasks of the step should be on one rack; `siblings` are the racks where other
    tasks of that step run now. `max_per_worker` is the anti-affinity limit per worker (0: no limit) on tasks
    of the key `group` = (job, time, step). `avoided_instances` are the instances where earlier runs of this
    task failed, stalled or were lost. `first_of_job` is True while no run of the job exists. `priority` is
    the queue's priority (0 is the highest); `client` is the queue's name, for which shares are computed.
    `estimate_ms` is the client's rough estimate of the running time.
    """

    task: str
    service: str
    client: str
    priority: int
    resources: Resources
    estimate_ms: int
    needs: tuple[str, ...] = ()
    affinity: str = ""
    same_rack: bool = False
    siblings: frozenset[str] = frozenset()
    max_per_worker: int = 0
    group: tuple[str, int, int] = ("", 0, 0)
    avoided_instances: frozenset[str] = frozenset()
    first_of_job: bool = False

    @property
    def max_runs(self) -> int:
        """Number of runs on a worker from which on it takes no such task."""
        return MAX_RUNS_PER_WORKER + (MAX_FIRST_RUNS if self.first_of_job else 0)


class Result:
    """How a run ended, as evidence about its worker."""

    DONE, FAILED, LOST, STALLED = "done", "failed", "lost", "stalled"


class Placement(Protocol):
    """A placement policy. `workers` has all workers by instance; only the dispatcher changes them."""

    def note_start(self, demand: Demand, instance: str, now_ms: int) -> None:
        """Record that a run was ordered on the instance."""

    def note_end(self, demand: Demand, instance: str, result: str, ran_ms: float, now_ms: int) -> None:
        """Record that a run ended with `result` after `ran_ms` (0.0 if unknown)."""

    def forget(self, instance: str) -> None:
        """Drop all state of a worker that no longer exists."""

    def tick(self, now_ms: int, workers: dict[str, Worker]) -> None:
        """Update the prices; called about every 100 ms."""

    def choose(self, demand: Demand, workers: dict[str, Worker], now_ms: int) -> str | None:
        """The instance on which to start the task now, or None if it should wait."""

    def choose_gang(
        self, demands: Sequence[Demand], workers: dict[str, Worker], now_ms: int
    ) -> list[str] | None:
        """An instance for each demand, or None if the gang can't be placed as a whole."""

    def is_trusted(self, instance: str, now_ms: int) -> bool:
        """False while the worker is quarantined or probed after failed or stalled runs."""
