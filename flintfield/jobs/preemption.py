"""Preemption: runs may be stopped for a ready step with a smaller priority number.

Preemption happens only if the step would otherwise start too late for its objective, and stops only as many
runs as needed, the cheapest first: runs with checkpoints and long-running ones, then the youngest. A task is
preempted a limited number of times.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from operator import itemgetter

from flintfield.jobs.demands import demand_of
from flintfield.jobs.ends import RunEnds
from flintfield.jobs.model import Run, Step
from flintfield.jobs.ranks import PRIORITY_GAP_MS
from flintfield.jobs.queues import ServiceQueue
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.states import RunState, TaskState
from flintfield.placement.interface import Demand, Resources, Worker

PREEMPT_AHEAD_MS = 400  # before the latest start time that meets the objective
PREEMPT_INTERVAL_MS = 1_000  # shortest time between two preemptions for one step
MAX_PREEMPTED = 2  # per task
MAX_TASKS_PER_PREEMPTION = 8  # of a step that is not a gang
MAX_LOST_MS = 2_500  # of unsaved work per victim
GPU_CORES = 8  # one GPU counts as this many cores
MAX_RUNS_EXAMINED = 20_000  # per pass over a queue; the search that passes it is the last one of the pass
MANY_RUNS = 5_000  # a search of so many without success is repeated only after `PREEMPT_INTERVAL_MS`


@dataclass(slots=True)
class Room:
    """Capacity of a worker that is free, or would be if the victims chosen so far were stopped."""

    worker: Worker
    free: Resources
    held: int
    candidates: list[tuple[float, Run]] | None = None  # further runs that may be stopped, by work lost
    victims: list[Run] | None = None  # to be stopped for the next task; None: it can't fit
    loss: float = 0.0  # work lost with `victims`

    def take(self, resources: Resources) -> list[Run]:
        """Use the room for one task; returns the runs to be stopped for it."""
        victims = self.victims or []
        for run in victims:
            self.free = self.free.plus(run.resources)
        self.free = self.free.minus(resources)
        self.held += 1
        if self.candidates is not None:
            del self.candidates[: len(victims)]  # the cheapest were taken
        return victims


class Preemption:
    """Stops runs to free capacity for late steps."""

    def __init__(self, state: DispatcherState, ends: RunEnds) -> None:
        self._state = state
        self._ends = ends
        self.examined = 0  # runs in this pass

    def begin_pass(self) -> None:
        """Begin a pass over a queue."""
        self.examined = 0

    def make_room(self, queue: ServiceQueue, step: Step) -> None:
        """Preempt runs for a step that is late, if that frees enough capacity for it."""
        state = self._state
        if not state.terms_confirmed:
            return  # it may have changed the priorities
        priority = step.occurrence.job.terms.priority
        latest_wall_ms = step.rank - priority * PRIORITY_GAP_MS
        if (
            state.wall_ms + PREEMPT_AHEAD_MS < latest_wall_ms
            or state.now_ms - step.preempted_ms < PREEMPT_INTERVAL_MS
            or self.examined >= MAX_RUNS_EXAMINED
        ):
            return
        examined_before = self.examined
        demand = demand_of(next(iter(step.ready.values())))
        victims = self._victims(queue, step, demand)
        if victims or self.examined - examined_before >= MANY_RUNS:
            step.preempted_ms = state.now_ms
        for run in victims:
            run.task.preempted += 1
            state.counters.preempted_runs += 1
            self._ends.runs.stop(run)

    def _victims(self, queue: ServiceQueue, step: Step, demand: Demand) -> list[Run]:
        rooms = [
            self._room(worker, demand) for worker in queue.workers.values() if _could_fit(worker, demand)
        ]
        gang = step.spec.gang
        members = len(step.ready) if gang else min(len(step.ready), MAX_TASKS_PER_PREEMPTION)
        self.examined += members
        by_loss: list[tuple[float, int, Room]] = []
        for position, room in enumerate(rooms):
            self._push(by_loss, position, room, demand, step)
        victims: list[Run] = []
        for _ in range(members):
            if not by_loss:
                return [] if gang else victims
            _, position, room = heapq.heappop(by_loss)
            victims += room.take(demand.resources)
            self._push(by_loss, position, room, demand, step)
        return victims

    def _push(
        self,
        by_loss: list[tuple[float, int, Room]],
        position: int,
        room: Room,
        demand: Demand,
        step: Step,
    ) -> None:
        """Add the room to the heap if it can take one more task, by the work that is lost for it."""
        if demand.max_per_worker and room.held >= demand.max_per_worker:
            return
        self._search(room, demand, step)
        if room.victims is not None:
            heapq.heappush(by_loss, (room.loss, position, room))

    def _room(self, worker: Worker, demand: Demand) -> Room:
        """The free capacity of a worker, including that of runs that are already being stopped."""
        free = worker.capacity.minus(worker.used)
        self.examined += worker.runs
        for run in self._state.workers[worker.instance].runs.values():
            if run.state is RunState.STOPPING:
                free = free.plus(run.resources)
        return Room(worker, free, worker.task_counts.get(demand.group, 0))

    def _search(self, room: Room, demand: Demand, step: Step) -> None:
        """Find the cheapest runs whose end frees capacity for one such task."""
        room.victims, room.loss = None, 0.0
        free = room.free
        if demand.resources.fits(free):
            room.victims = []
            return
        if room.candidates is None:
            runs = self._state.workers[room.worker.instance].runs.values()
            candidates = [(self._work_lost(run), run) for run in runs if self._may_stop(run, step)]
            room.candidates = sorted(candidates, key=itemgetter(0))
        for count, (loss, run) in enumerate(room.candidates, 1):
            room.loss += loss
            free = free.plus(run.resources)
            if demand.resources.fits(free):
                room.victims = [each for _, each in room.candidates[:count]]
                return

    def _may_stop(self, run: Run, step: Step) -> bool:
        task = run.task
        if task.step.rank <= step.rank:
            return False  # it ranks ahead of the step and would take the capacity again
        priority = step.occurrence.job.terms.priority
        if run.state not in (RunState.RUNNING, RunState.ORDERED) or task.state is not TaskState.PLACED:
            return False
        if task.job.terms.priority <= priority or task.preempted >= MAX_PREEMPTED or task.step.spec.gang:
            return False
        return self._keeps_work(run) or self._state.now_ms - run.placed_ms <= MAX_LOST_MS

    def _keeps_work(self, run: Run) -> bool:
        return run.task.step.spec.checkpoints or run.task.step.spec.long_running

    def _work_lost(self, run: Run) -> float:
        ran_ms = 0 if self._keeps_work(run) else self._state.now_ms - run.placed_ms
        return float(ran_ms + 100) * (run.resources.cpu + run.resources.gpu * GPU_CORES * 1_000)


def _could_fit(worker: Worker, demand: Demand) -> bool:
    return (
        worker.ready
        and all(label in worker.labels for label in demand.needs)
        and demand.resources.fits(worker.capacity)
    )
