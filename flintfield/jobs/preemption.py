"""Preemption: runs may be stopped for a ready step with a smaller priority number.

Preemption happens only if the step would otherwise start too late for its objective, and stops only as many
runs as needed, the cheapest first: runs with checkpoints and long-running ones, then the youngest. A task is
preempted a limited number of times.
"""

from __future__ import annotations

from dataclasses import dataclass

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


@dataclass(slots=True)
class Room:
    """Free capacity of a worker if the runs in `victims` are stopped."""

    worker: Worker
    free: Resources
    held: int
    victims: list[Run]


class Preemption:
    """Stops runs to free capacity for late steps."""

    def __init__(self, state: DispatcherState, ends: RunEnds) -> None:
        self._state = state
        self._ends = ends

    def make_room(self, queue: ServiceQueue, step: Step) -> None:
        """Preempt runs for a step that is late, if that frees enough capacity for it."""
        state = self._state
        priority = step.occurrence.job.terms.priority
        latest_wall_ms = step.rank - priority * PRIORITY_GAP_MS
        if (
            state.wall_ms + PREEMPT_AHEAD_MS < latest_wall_ms
            or state.now_ms - step.preempted_ms < PREEMPT_INTERVAL_MS
        ):
            return
        demand = demand_of(next(iter(step.ready.values())))
        victims = self._victims(queue, step, demand)
        if not victims:
            return
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
        victims: list[Run] = []
        for _ in range(members):
            best = self._cheapest(rooms, demand, step)
            if best is None:
                return [] if gang else victims
            room, more = best
            for run in more:
                room.free = room.free.plus(run.resources)
            room.victims += more
            victims += more
            room.free = room.free.minus(demand.resources)
            room.held += 1
        return victims

    def _room(self, worker: Worker, demand: Demand) -> Room:
        """The free capacity of a worker, including that of runs that are already being stopped."""
        free = worker.capacity.minus(worker.used)
        for run in self._state.workers[worker.instance].runs.values():
            if run.state is RunState.STOPPING:
                free = free.plus(run.resources)
        return Room(worker, free, worker.task_counts.get(demand.group, 0), [])

    def _cheapest(self, rooms: list[Room], demand: Demand, step: Step) -> tuple[Room, list[Run]] | None:
        best: tuple[float, Room, list[Run]] | None = None
        for room in rooms:
            if demand.max_per_worker and room.held >= demand.max_per_worker:
                continue
            found = self._cheapest_victims(room, demand, step)
            if found is None:
                continue
            loss = sum(self._work_lost(run) for run in found)
            if best is None or loss < best[0]:
                best = (loss, room, found)
        return None if best is None else (best[1], best[2])

    def _cheapest_victims(self, room: Room, demand: Demand, step: Step) -> list[Run] | None:
        """The cheapest runs whose end frees capacity for one such task; None if that is impossible."""
        free = room.free
        taken: list[Run] = []
        if demand.resources.fits(free):
            return taken
        runs = self._state.workers[room.worker.instance].runs.values()
        candidates = [run for run in runs if run not in room.victims and self._may_stop(run, step)]
        for run in sorted(candidates, key=self._work_lost):
            taken.append(run)
            free = free.plus(run.resources)
            if demand.resources.fits(free):
                return taken
        return None

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
