"""Gangs: placed all at once or not at all, and given room after they have waited.

A gang that finds no room may reserve workers: they take no task that ranks behind it until it is placed
or the reservation ends. Reservations are bounded in number and in time, so that a gang that can never fit
stops nobody.
"""

from __future__ import annotations

from flintfield.jobs.demands import demand_of, may_hold
from flintfield.jobs.ends import Ends
from flintfield.jobs.model import Step, TaskState
from flintfield.jobs.readiness import Readiness
from flintfield.jobs.state import DispatcherState, ServiceQueue
from flintfield.placement.interface import Demand, Resources, Worker

RESERVE_AFTER_MS = 1_500
RESERVATION_MS = 6_000
REST_MS = 6_000  # between two reservations of one service
MAX_RESERVED_SHARE = 0.5  # of a service's workers


class Gangs:
    """Places gangs."""

    def __init__(self, state: DispatcherState, readiness: Readiness, ends: Ends) -> None:
        self._state = state
        self._readiness = readiness
        self._ends = ends

    def place(self, queue: ServiceQueue, step: Step) -> int:
        """Place all members, or none; how many were."""
        if any(task.state is not TaskState.READY for task in step.tasks):
            return 0
        demands = [demand_of(task) for task in step.tasks]
        chosen = self._choose(queue, demands)
        if chosen is None:
            self._reserve(queue, step, demands[0])
            return 0
        self._end_reservation(queue, step)
        self._place_all(step, demands, chosen)
        return len(step.tasks)

    def _choose(self, queue: ServiceQueue, demands: list[Demand]) -> list[Worker] | None:
        if not any(may_hold(worker, demands[0]) for worker in queue.workers.values()):
            return None
        names = self._state.placement.choose_gang(demands, self._state.placeable, self._state.now_ms)
        if names is None:
            return None
        chosen = [queue.workers[name] for name in names if name in queue.workers]
        if not _may_hold_all(demands, chosen):
            self._state.counters.bad_placements += 1
            return None
        return chosen

    def _place_all(self, step: Step, demands: list[Demand], chosen: list[Worker]) -> None:
        number = max(task.last_run for task in step.tasks) + 1
        checkpoint = step.tasks[0].checkpoint
        for task, demand, worker in zip(step.tasks, demands, chosen, strict=True):
            self._readiness.no_longer_ready(task)
            self._ends.runs.place(task, demand, worker, number, checkpoint)

    # Reservations

    def withhold(self, queue: ServiceQueue, step: Step) -> None:
        """Hide reserved workers from a step that ranks behind their holder, until `give_back`."""
        if not queue.reserved or queue.withheld:
            return
        if self._state.now_ms >= queue.reserved_until_ms:
            queue.reserved.clear()
            return
        holder = next(iter(queue.reserved.values()))
        if step is holder or step.rank < holder.rank:
            return
        workers = [queue.workers[name] for name in queue.reserved if name in queue.workers]
        queue.withheld = [worker for worker in workers if worker.ready]
        for worker in queue.withheld:
            worker.ready = False

    def give_back(self, queue: ServiceQueue) -> None:
        """The pass is over."""
        for worker in queue.withheld:
            worker.ready = True
        queue.withheld = []

    def _reserve(self, queue: ServiceQueue, step: Step, demand: Demand) -> None:
        now = self._state.now_ms
        waited = now - step.ready_since_ms
        if queue.reserved or waited < RESERVE_AFTER_MS or now < queue.reserved_until_ms + REST_MS:
            return
        wanted = self._enough_workers(queue, step, demand)
        if wanted:
            queue.reserved = {worker.instance: step for worker in wanted}
            queue.reserved_until_ms = now + RESERVATION_MS

    def _enough_workers(self, queue: ServiceQueue, step: Step, demand: Demand) -> list[Worker]:
        """The least used workers that could hold the whole gang if they were empty; none if too many."""
        able = [worker for worker in queue.workers.values() if _could_hold(worker, demand)]
        able.sort(key=lambda worker: worker.used.cpu / max(worker.capacity.cpu, 1))
        taken: list[Worker] = []
        members = len(step.tasks)
        for worker in able:
            if members <= 0:
                return taken
            taken.append(worker)
            members -= _members(worker.capacity, demand)
            if len(taken) > max(1, len(queue.workers) * MAX_RESERVED_SHARE):
                return []
        return taken if members <= 0 else []

    def _end_reservation(self, queue: ServiceQueue, step: Step) -> None:
        if step in queue.reserved.values():
            queue.reserved.clear()
            queue.reserved_until_ms = self._state.now_ms


def _could_hold(worker: Worker, demand: Demand) -> bool:
    return (worker.ready and worker.service == demand.service
            and all(label in worker.labels for label in demand.needs)
            and demand.resources.fits(worker.capacity))


def _members(capacity: Resources, demand: Demand) -> int:
    """How many members an empty worker holds."""
    asked = demand.resources
    pairs = ((capacity.cpu, asked.cpu), (capacity.memory_mb, asked.memory_mb), (capacity.gpu, asked.gpu))
    fits = min((room // each for room, each in pairs if each), default=1)
    return min(fits, demand.at_most) if demand.at_most else fits


def _may_hold_all(demands: list[Demand], chosen: list[Worker]) -> bool:
    """Whether the rules allow all members on these workers together."""
    if len(chosen) != len(demands):
        return False
    added: dict[str, int] = {}
    for demand, worker in zip(demands, chosen, strict=True):
        if not may_hold(worker, demand):
            return False
        added[worker.instance] = added.get(worker.instance, 0) + 1
    demand = demands[0]  # all members ask for the same
    for worker in chosen:
        count = added[worker.instance]
        asked = demand.resources
        together = Resources(asked.cpu * count, asked.memory_mb * count, asked.gpu * count)
        if not worker.used.plus(together).fits(worker.capacity):
            return False
        if demand.at_most and worker.held.get(demand.group, 0) + count > demand.at_most:
            return False
    return True
