"""The queue of a service: its steps with ready tasks, its workers, its backlog."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import Counter
from dataclasses import dataclass, field

from flintfield.jobs.model import Step
from flintfield.placement.interface import Worker


@dataclass(slots=True, eq=False)
class ServiceQueue:
    """The steps of one service that have ready tasks, in the order of their rank."""

    name: str
    steps: list[tuple[float, int, Step]] = field(default_factory=list)
    workers: dict[str, Worker] = field(default_factory=dict)
    dirty: bool = True
    last_pass_ms: int = -1
    next_pass_ms: int = 0  # no pass before that
    backlog_cpu: Counter[int] = field(default_factory=Counter)  # by priority: thousandths of a core x ms
    backlog_gpu: Counter[int] = field(default_factory=Counter)  # by priority: GPUs x ms
    reserved: dict[str, Step] = field(default_factory=dict)  # instances kept for a large gang
    reserved_until_ms: int = 0
    last_reserve_attempt_ms: int = 0
    short_of_room: bool = False  # tasks found no room in the last pass
    awaited_racks: frozenset[str] = frozenset()  # whose room tasks waited for in the last pass
    progress: dict[str, int] = field(default_factory=dict)  # by instance: when a run there last made progress
    hidden_workers: list[Worker] = field(
        default_factory=list
    )  # of those, out of sight for the rest of a pass

    def add(self, step: Step) -> None:
        """Take in a step; `rank` must not change while it is here."""
        insort(self.steps, (step.rank, step.serial, step))
        step.queued_in = self.name

    def remove(self, step: Step) -> None:
        """Drop a step."""
        at = bisect_left(self.steps, (step.rank, step.serial))
        del self.steps[at]
        step.queued_in = None

    def waits_for_room(self, worker: Worker) -> bool:
        """Whether tasks wait for the room of this worker, as the last pass found."""
        return bool(self.steps) and (self.short_of_room or worker.rack in self.awaited_racks)
