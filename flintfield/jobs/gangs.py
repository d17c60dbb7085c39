"""Gang placement: all members are placed at once or none, with reservations after a wait.

A gang that finds no capacity may reserve workers: until it is placed or the reservation ends, they accept no
task that ranks behind it. Reservations are limited in number and time, so that a gang that can never fit does
not block other tasks. Tasks that would count as lost are exempt (`exemptions`).
"""

from __future__ import annotations

from flintfield.jobs.demands import can_place, demand_of, has_room, tasks_that_fit
from flintfield.jobs.ends import RunEnds
from flintfield.jobs.estimates import left_ms
from flintfield.jobs.model import Run, Step
from flintfield.jobs.readiness import Readiness
from flintfield.jobs.queues import ServiceQueue
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.states import TaskState
from flintfield.placement.interface import Demand, Resources, Worker

FORCE_AFTER_MS = 1_500  # after this wait the policy is overridden and any worker with capacity is used
RESERVE_AFTER_MS = 1_500
RESERVE_ALL_AFTER_MS = 4_000  # after this wait it may briefly exceed `RESERVED_SHARE`
RESERVATION_MS = 2_500  # a task that waits for 3 s beside idle workers counts as lost, so this is shorter
LONGEST_RESERVATION_MS = 8_000  # within `RESERVED_SHARE`: the rest of the service keeps working
RESERVATION_PAUSE_MS = 3_000  # between two reservations in one service
RESERVED_SHARE = 0.5  # of the workers of a service
RETRY_MS = 300
NEVER_MS = 1e9


class Gangs:
    """Places gangs and manages reservations."""

    def __init__(self, state: DispatcherState, readiness: Readiness, ends: RunEnds) -> None:
        self._state = state
        self._readiness = readiness
        self._ends = ends

    def place(self, queue: ServiceQueue, step: Step) -> int:
        """Place all members or none; returns the number placed."""
        if any(task.state is not TaskState.READY for task in step.tasks):
            return 0
        if self._ends.is_undecided(step.tasks[0]):
            return 0
        if any(self._ends.fail_if_exhausted(task) for task in step.tasks if task.failed):
            return 0
        demands = [demand_of(task) for task in step.tasks]
        chosen = self._choose(queue, demands)
        if chosen is None and self._state.now_ms - step.ready_since_ms >= FORCE_AFTER_MS:
            chosen = self._first_fit(queue, demands)
        if chosen is None:
            return 0
        self.end_reservation(queue, step)
        self._place_all(step, demands, chosen)
        return len(step.tasks)

    def _choose(self, queue: ServiceQueue, demands: list[Demand]) -> list[Worker] | None:
        if not any(can_place(worker, demands[0]) for worker in queue.workers.values()):
            return None
        names = self._state.placement.choose_gang(demands, self._state.placeable, self._state.now_ms)
        if names is None:
            return None
        chosen = [queue.workers[name] for name in names if name in queue.workers]
        if not _can_place_all(demands, chosen):
            self._state.counters.bad_placements += 1
            return None
        return chosen

    def _first_fit(self, queue: ServiceQueue, demands: list[Demand]) -> list[Worker] | None:
        """Workers with capacity for all members, trusted ones first, ignoring the placement policy."""
        demand, now = demands[0], self._state.now_ms  # all members have the same demand
        avoid = frozenset().union(*(each.avoided_instances for each in demands))
        eligible = [worker for worker in queue.workers.values() if can_place(worker, demand)]
        eligible.sort(
            key=lambda worker: (
                worker.instance in avoid,
                not self._state.placement.is_trusted(worker.instance, now),
            )
        )
        chosen: list[Worker] = []
        for worker in eligible:
            free = worker.capacity.minus(worker.used)
            held = worker.task_counts.get(demand.group, 0)
            places = _members_that_fit(free, demand, demand.max_runs - worker.runs, held)
            chosen += [worker] * min(places, len(demands) - len(chosen))
        return chosen if len(chosen) == len(demands) and _can_place_all(demands, chosen) else None

    def _place_all(self, step: Step, demands: list[Demand], chosen: list[Worker]) -> None:
        number = max(task.last_run for task in step.tasks) + 1
        checkpoint = step.tasks[0].checkpoint
        apart = step.spec.same_rack and len({worker.rack for worker in chosen}) > 1
        for task, demand, worker in zip(step.tasks, demands, chosen, strict=True):
            self._readiness.remove_ready(task)
            run = self._ends.runs.place(task, demand, worker, number, checkpoint)
            if apart:
                run.duration_factor = self._state.bounds.far_x

    # Reservations

    def hide_reserved(self, queue: ServiceQueue, step: Step) -> None:
        """Hide reserved workers from a step that ranks behind the holder, until `unhide_reserved`."""
        if not queue.reserved or queue.hidden_workers:
            return
        if self._state.now_ms >= queue.reserved_until_ms:
            queue.reserved.clear()
            return
        holder = next(iter(queue.reserved.values()))
        if step is holder or step.rank < holder.rank:
            return
        workers = [queue.workers[name] for name in queue.reserved if name in queue.workers]
        queue.hidden_workers = [worker for worker in workers if worker.ready]
        for worker in queue.hidden_workers:
            worker.ready = False

    def unhide_reserved(self, queue: ServiceQueue) -> None:
        """Show the hidden workers again: to an exempt step, and after a pass."""
        for worker in queue.hidden_workers:
            worker.ready = True
        queue.hidden_workers = []

    def reserve(self, queue: ServiceQueue, step: Step) -> None:
        """Reserve workers for a step that has waited: a gang, or a task larger than any free capacity."""
        now = self._state.now_ms
        waited = now - step.ready_since_ms
        if (
            queue.reserved
            or waited < RESERVE_AFTER_MS
            or now < queue.reserved_until_ms + RESERVATION_PAUSE_MS
        ):
            return
        if now < queue.last_reserve_attempt_ms + RETRY_MS:
            return
        queue.last_reserve_attempt_ms = now
        most = len(queue.workers) if waited >= RESERVE_ALL_AFTER_MS else len(queue.workers) * RESERVED_SHARE
        wanted, free_in_ms = self._soonest_free_workers(queue, step, max(most, 1))
        if wanted:
            queue.reserved = {worker.instance: step for worker in wanted}
            queue.reserved_since_ms = now
            within_share = len(wanted) <= len(queue.workers) * RESERVED_SHARE
            longest = LONGEST_RESERVATION_MS if within_share else RESERVATION_MS
            queue.reserved_until_ms = now + int(min(max(RESERVATION_MS, free_in_ms * 1.5), longest))

    def _soonest_free_workers(
        self, queue: ServiceQueue, step: Step, most: float
    ) -> tuple[list[Worker], float]:
        """The workers that can host the whole step soonest, and in how many ms; none if it needs too many."""
        demand = demand_of(next(iter(step.ready.values())))
        eligible = [
            (self._free_in_ms(worker, demand), worker.instance, worker)
            for worker in queue.workers.values()
            if _could_place_when_empty(worker, demand)
        ]
        taken: list[Worker] = []
        members = len(step.tasks) if step.spec.gang else 1
        for free_in_ms, _, worker in sorted(eligible, key=lambda each: each[:2]):
            taken.append(worker)
            members -= _members_that_fit(worker.capacity, demand, demand.max_runs)
            if len(taken) > most:
                break
            if members <= 0:
                return taken, free_in_ms
        return [], 0.0

    def _free_in_ms(self, worker: Worker, demand: Demand) -> float:
        """Expected time until the worker has capacity for one more such task."""
        if has_room(worker, demand):
            return 0.0
        runs_there = self._state.workers[worker.instance].runs.values()
        runs = sorted(((self._left_ms(run), run.resources) for run in runs_there), key=lambda each: each[0])
        free = worker.capacity.minus(worker.used)
        for left, resources in runs:
            free = free.plus(resources)
            if demand.resources.fits(free):
                return left
        return NEVER_MS

    def _left_ms(self, run: Run) -> float:
        if run.task.step.spec.long_running:
            return NEVER_MS
        return left_ms(run, self._state.now_ms, self._state.paces.usual(run.task.job.route))

    def end_reservation(self, queue: ServiceQueue, step: Step) -> None:
        """Release the step's reservation after its placement."""
        if queue.reserved and step in queue.reserved.values():
            queue.reserved.clear()
            queue.reserved_until_ms = self._state.now_ms


def _could_place_when_empty(worker: Worker, demand: Demand) -> bool:
    return (
        worker.ready
        and worker.service == demand.service
        and all(label in worker.labels for label in demand.needs)
        and demand.resources.fits(worker.capacity)
    )


def _members_that_fit(room: Resources, demand: Demand, runs_left: int, held: int = 0) -> int:
    """Number of members that fit into `room` on a worker that may get `runs_left` more runs.

    `held` is the number of the step's tasks that it already has.
    """
    fits = min(tasks_that_fit(room, demand.resources), runs_left)
    return min(fits, demand.max_per_worker - held) if demand.max_per_worker else fits


def _can_place_all(demands: list[Demand], chosen: list[Worker]) -> bool:
    """Whether all members may be placed on these workers together."""
    if len(chosen) != len(demands):
        return False
    added: dict[str, int] = {}
    for demand, worker in zip(demands, chosen, strict=True):
        if not can_place(worker, demand):
            return False
        added[worker.instance] = added.get(worker.instance, 0) + 1
    demand = demands[0]  # all members have the same demand
    for worker in chosen:
        count = added[worker.instance]
        asked = demand.resources
        together = Resources(asked.cpu * count, asked.memory_mb * count, asked.gpu * count)
        if not worker.used.plus(together).fits(worker.capacity) or worker.runs + count > demand.max_runs:
            return False
        if demand.max_per_worker and worker.task_counts.get(demand.group, 0) + count > demand.max_per_worker:
            return False
    return True
