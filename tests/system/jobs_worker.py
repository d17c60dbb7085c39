"""Model workers with gangs that span several workers, and the runs that they observed."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .support.worker_model import ModelRun, WorkerModel
from .support.worker_model import RunState as ModelState
from .support.worker_plan import Capacity, RunPlan

if TYPE_CHECKING:
    from .jobs_fleet import Fleet


@dataclass
class ObservedRun:
    """A run as observed by its worker, in world time."""

    task: str
    run: int
    worker: WorldWorker
    checkpoint: str
    spec: str
    start: float
    end: float | None = None
    how: str = ""
    number: int = 0
    acknowledged: bool = False  # whether `lastSeen` reached its end before the hold lapsed
    draining_since: float | None = None  # as acknowledged by an agent
    late: bool = False  # whether the order was carried out seconds after it was sent


class WorldWorker(WorkerModel):
    """A model worker with its own clock, whose gangs can span several workers."""

    def __init__(self, world: Fleet, machine: str, instance: str, capacity: Capacity, rate: float) -> None:
        self.world = world
        self.machine = machine
        self.rate = rate
        self.born = world.now
        self.dead = False
        self.draining_since: float | None = None
        self.drain_acknowledged: float | None = None
        self.open: dict[str, ObservedRun] = {}
        self.ended: list[ObservedRun] = []
        self.serving_late = False
        self.factor = 1.0  # slowdown of the runs that start from now on
        self.slowed: dict[
            str, tuple[int, int, float]
        ] = {}  # by task: start of the work, ms done before, slowdown
        super().__init__(instance, 0, world.worker_bounds, capacity, plan=world.plan)

    def clock(self) -> int:
        """The worker's clock."""
        return int((self.world.now - self.born) * self.rate)

    def to_world(self, clock: int) -> float:
        """Convert the worker's clock to world time."""
        return self.born + clock / self.rate

    def catch_up(self) -> None:
        """Advance the worker to the present."""
        if not self.dead:
            self.advance(self.clock())

    def crash(self) -> None:
        """Crash the worker and end its runs."""
        self.catch_up()
        self.dead = True
        for seen in self.open.values():
            seen.end, seen.how = self.world.now, "crash"
        self.open.clear()
        super().crash()

    def hold(self, now: int, fields: dict[str, object]) -> tuple[int, dict[str, object]]:
        """Record which ends the system has acknowledged."""
        status, answer = super().hold(now, fields)
        if status == 200:
            for seen in self.ended:
                if seen.number <= self.last_seen and seen.number not in self.world.unacknowledged[self]:
                    seen.acknowledged = True
        return status, answer

    def advance(self, now: int) -> None:
        """Ends not acknowledged when the hold lapses never count as acknowledged, even if nothing runs."""
        lapses = self.expires_ms
        super().advance(now)
        if lapses <= now:
            over = self.to_world(lapses)
            late = {seen.number for seen in self.ended if not seen.acknowledged and (seen.end or 0) <= over}
            self.world.unacknowledged[self].update(late)

    def _begin(self, task: str, run: int, plan: RunPlan, saved: str) -> None:
        seen = ObservedRun(
            task,
            run,
            self,
            saved,
            self.current_spec,
            self.to_world(self.now),
            draining_since=self.drain_acknowledged,
            late=self.serving_late,
        )
        self.world.seen.append(seen)
        self.open[task] = seen
        self._begin_run(task, run, plan, saved)

    def start(self, now: int, fields: dict[str, object]) -> tuple[int, dict[str, object]]:
        """Keep the spec for the judge."""
        self.current_spec = str(fields.get("spec"))
        return super().start(now, fields)

    def _begin_run(self, task: str, run: int, plan: RunPlan, saved: str) -> None:
        begun = ModelRun(task, run, plan, self.now, saved)
        self.runs[task] = begun
        if plan.gang <= 1:
            self._work(begun)
            return
        begun.state = ModelState.WAITING
        members = self.world.gang(begun.gang_key)
        if len(members) >= plan.gang:
            for worker, member in members:
                worker.catch_up()
                if member.state is ModelState.WAITING:
                    worker._work(member)
            self._end_together(members)

    @staticmethod
    def _end_together(members: list[tuple[WorldWorker, ModelRun]]) -> None:
        """End a gang as a whole: members that are complete earlier stay listed at 100 %."""
        ends = [worker.to_world(member.ends_at) for worker, member in members if member.ends_at is not None]
        for worker, member in members:
            if member.ends_at is not None:
                member.ends_at = math.ceil((max(ends) - worker.born) * worker.rate)

    def _work(self, run: ModelRun) -> None:
        super()._work(run)
        self.slowed.pop(run.task, None)
        if self.factor == 1.0 or run.ends_at is None:
            return
        done_ms = int(run.saved, 16) if run.saved else 0
        begin = self.now + (self.bounds.restore_ms if run.saved else 0)
        self.slowed[run.task] = (begin, done_ms, self.factor)
        run.ends_at = begin + int((run.plan.work_ms - done_ms) * self.factor)

    def _work_from(self, run: ModelRun) -> None:
        """Set `work_from` so that the base class computes the work done so far at reduced speed."""
        if run.task in self.slowed:
            begin, done_ms, factor = self.slowed[run.task]
            run.work_from = self.now - done_ms - int(max(0, self.now - begin) / factor)

    def _percent(self, run: ModelRun) -> int:
        self._work_from(run)
        waits = run.plan.gang > 1 and run.state is ModelState.WORKING and run.plan.work_ms > 0
        if waits and self.now - run.work_from >= run.plan.work_ms:
            return 100
        return super()._percent(run)

    def _saved_now(self, run: ModelRun) -> str:
        self._work_from(run)
        return super()._saved_now(run)

    def _end(self, run: ModelRun, how: str) -> None:
        if run.task not in self.runs:
            return  # already ended by another member of its gang at the same time
        plan = run.plan
        before = self._last_number
        others = self.world.gang(run.gang_key) if plan.gang > 1 else []
        gang, run.plan = run.plan, RunPlan(plan.work_ms, plan.how, plan.checkpoints, 1)
        super()._end(run, how)
        run.plan = gang
        seen = self.open.pop(run.task)
        seen.end, seen.how, seen.number = self.to_world(self.now), how, before + 1
        self.ended.append(seen)
        if how not in ("done", "alone"):
            for worker, member in others:
                if member is not run and member.task in worker.runs:
                    worker._end(member, "broken")
