"""The queue of a service: steps with ready tasks, workers and backlog."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import Counter
from dataclasses import dataclass, field

from flintfield.jobs.model import Step
from flintfield.placement.interface import Worker

Needs = tuple[str, ...]
"""The labels that a worker must have."""

FEW_STEPS = 32  # of which each is searched for; more are found in one run through the queue


@dataclass(slots=True, eq=False)
class ServiceQueue:
    """The steps of one service that have ready tasks, ordered by rank."""

    name: str
    steps: list[tuple[float, int, Step]] = field(default_factory=list)
    workers: dict[str, Worker] = field(default_factory=dict)
    dirty: bool = True
    last_pass_ms: int = -1
    next_pass_ms: int = 0  # earliest time of the next pass
    resume_at: tuple[float, int] | None = None  # rank and serial where the second part of a pass goes on
    backlog_cpu: Counter[int] = field(default_factory=Counter)  # by priority: millicores x ms
    backlog_gpu: Counter[int] = field(default_factory=Counter)  # by priority: GPUs x ms
    open_tasks: int = 0  # of all jobs that have not ended, for as many occurrences as they may have open
    lasting_tasks: int = 0  # of them: long-running
    first_runs: Counter[Needs] = field(default_factory=Counter)  # runs that the jobs need at once to begin
    reserved: dict[str, Step] = field(default_factory=dict)  # by instance: the step it is reserved for
    reserved_since_ms: int = 0
    reserved_until_ms: int = 0
    last_reserve_attempt_ms: int = 0
    short_of_room: bool = False  # whether tasks found no capacity in the last pass
    awaited_racks: frozenset[str] = frozenset()  # racks that tasks waited for in the last pass
    progress: dict[str, int] = field(default_factory=dict)  # by instance: time of its last progress
    hidden_workers: list[Worker] = field(default_factory=list)  # reserved, and hidden during a pass

    def add(self, step: Step) -> None:
        """Add a step; its `rank` must not change while it is queued."""
        insort(self.steps, (step.rank, step.serial, step))
        step.queued_in = self.name

    def remove(self, step: Step) -> None:
        """Remove a step."""
        at = bisect_left(self.steps, (step.rank, step.serial))
        del self.steps[at]
        step.queued_in = None

    def remove_all(self, steps: list[Step]) -> None:
        """Remove many steps at once."""
        if len(steps) < FEW_STEPS:
            for step in steps:
                self.remove(step)
            return
        for step in steps:
            step.queued_in = None
        self.steps = [entry for entry in self.steps if entry[2].queued_in is not None]

    def add_all(self, steps: list[Step]) -> None:
        """Add many steps at once."""
        if len(steps) < FEW_STEPS:
            for step in steps:
                self.add(step)
            return
        for step in steps:
            step.queued_in = self.name
        self.steps = sorted([*self.steps, *((step.rank, step.serial, step) for step in steps)])

    def waits_for_room(self, worker: Worker) -> bool:
        """Whether, in the last pass, tasks were waiting for capacity on this worker."""
        return bool(self.steps) and (self.short_of_room or worker.rack in self.awaited_racks)
