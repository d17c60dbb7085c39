"""Places ready tasks in passes over a service's queue, ordered by rank.

The placement policy chooses a worker, and `can_place` checks the choice against the rules. A task whose data
is in a rack waits for that rack while that costs less than running elsewhere (`racks`). A task that has
waited long although a worker has capacity is placed there even if the policy would wait.

The work of a pass is limited. Its first part begins at the front of the queue. If that part reaches its
limit, a second part goes on behind it, where the second part of the last pass stopped, so that each step is
tried within a few passes, however many ahead of it find no capacity.
"""

from __future__ import annotations

from bisect import bisect_left

from flintfield.jobs.demands import demand_of, can_place
from flintfield.jobs.exemptions import ReservationExemptions
from flintfield.jobs.gangs import FORCE_AFTER_MS, Gangs
from flintfield.jobs.model import Step, Task
from flintfield.jobs.placement_pass import SHORT_OF_ROOM, PlacementPass
from flintfield.jobs.readiness import Readiness
from flintfield.jobs.ends import RunEnds
from flintfield.jobs.preemption import Preemption
from flintfield.jobs.queues import ServiceQueue
from flintfield.jobs.racks import RackWaits
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.states import JobState, WaitCause
from flintfield.placement.interface import MAX_RUNS_PER_WORKER, Demand, Worker

MAX_MISSES = 8  # tasks of a step that avoid other workers and find none; those behind go first next time
SETTLE_WAIT_MS = 1_000  # the time of a step that goes on waiting is recorded once in this time
RETRY_PASS_MS = 200  # a queue is tried again after this time even without a known change
QueuedStep = tuple[float, int, Step]  # rank, serial, step


class PlacementPasses:
    """Runs placement passes over the queues."""

    def __init__(
        self,
        state: DispatcherState,
        readiness: Readiness,
        ends: RunEnds,
        gangs: Gangs,
        preemption: Preemption,
    ) -> None:
        self._state = state
        self._readiness = readiness
        self._ends = ends
        self._gangs = gangs
        self._preemption = preemption

    def run_passes(self) -> None:
        """Run a pass over each queue that has changed or was not tried for `RETRY_PASS_MS`."""
        now = self._state.now_ms
        if self._state.awaits_configuration(now):
            return
        for queue in self._state.services.values():
            if not queue.steps or now < queue.next_pass_ms:
                continue
            if queue.dirty or now - queue.last_pass_ms >= RETRY_PASS_MS:
                self._pass(queue)

    def _pass(self, queue: ServiceQueue) -> None:
        queue.dirty = False
        queue.last_pass_ms = self._state.now_ms
        try:
            self._place_steps(queue)
        finally:
            self._gangs.unhide_reserved(queue)

    def _place_steps(self, queue: ServiceQueue) -> None:
        attempt = PlacementPass(
            RackWaits(self._state, queue), ReservationExemptions(queue, self._state.now_ms)
        )
        attempt.tables_full = any(worker.runs >= MAX_RUNS_PER_WORKER for worker in queue.workers.values())
        self._preemption.begin_pass()
        steps = tuple(queue.steps)
        end = self._visit(queue, attempt, steps, 0)
        if end < len(steps) and attempt.budget > 0:
            self._visit_later(queue, attempt, steps, end)
        elif end == len(steps):
            queue.resume_at = None
        queue.dirty = queue.dirty or attempt.budget <= 0 or queue.resume_at is not None
        queue.short_of_room = attempt.short_of_room
        queue.awaited_racks = attempt.racks.wanted
        queue.next_pass_ms = self._state.now_ms + attempt.pause_ms(self._preemption.examined)

    def _visit_later(
        self, queue: ServiceQueue, attempt: PlacementPass, steps: tuple[QueuedStep, ...], first: int
    ) -> None:
        """The second part of a pass, over the steps from `first` on: goes on where the last one stopped."""
        if queue.resume_at is not None:
            resumed = bisect_left(steps, queue.resume_at)
            first = resumed if first < resumed < len(steps) else first
        attempt.begin_second_part()
        end = self._visit(queue, attempt, steps, first)
        queue.resume_at = steps[end][:2] if end < len(steps) else None

    def _visit(
        self, queue: ServiceQueue, attempt: PlacementPass, steps: tuple[QueuedStep, ...], first: int
    ) -> int:
        """Try the steps from `first` on until a limit is reached; returns the position of the next one."""
        for position in range(first, len(steps)):
            if attempt.is_over():
                return position
            step = steps[position][2]
            attempt.visited += len(step.tasks) if step.spec.gang else 1
            if step.queued_in == queue.name and step.occurrence.job.state is JobState.ACTIVE:
                self._try_step(queue, attempt, step)
        return len(steps)

    def _try_step(self, queue: ServiceQueue, attempt: PlacementPass, step: Step) -> None:
        if not self._state.terms_confirmed and not self._decided_tasks(step):
            return
        exempt = attempt.exemptions.covers(step)
        cause = attempt.causes.get(attempt.waiting_shape(step, exempt))
        if cause is not None and (cause is WaitCause.ROOM or not self._overdue(step)):
            self._note_wait(step, cause)
            return
        if exempt:
            self._gangs.unhide_reserved(queue)
        else:
            self._gangs.hide_reserved(queue, step)
        attempt.note_placed(self._place_step(queue, attempt, step))
        if not step.ready:
            return
        cause = self._wait_cause(queue, step)
        self._note_wait(step, cause)
        if cause is WaitCause.RACK:
            attempt.racks.missed(step)  # each step is tried, also of the same shape, as it may run elsewhere
            return
        attempt.causes[attempt.waiting_shape(step, exempt)] = cause  # a job that has a run by now waits apart
        if cause in SHORT_OF_ROOM:
            self._gangs.reserve(queue, step)
            self._preemption.make_room(queue, step)

    def _place_step(self, queue: ServiceQueue, attempt: PlacementPass, step: Step) -> int:
        """Place the step's ready tasks; returns the number placed."""
        if step.spec.gang:
            return self._gangs.place(queue, step)
        return self._place(queue, step, attempt.racks, attempt.budget)

    def _note_wait(self, step: Step, cause: WaitCause) -> None:
        now = self._state.now_ms
        if cause is step.wait_cause and now - step.waiting_since_ms < SETTLE_WAIT_MS:
            return
        self._state.timing.settle_wait(step, now)
        step.wait_cause = cause

    def _wait_cause(self, queue: ServiceQueue, step: Step) -> WaitCause:
        """Why the step's ready tasks were not placed in this pass."""
        demand = demand_of(next(iter(step.ready.values())))
        if not any(can_place(worker, demand) for worker in queue.workers.values()):
            return WaitCause.ROOM
        if step.spec.gang:
            return WaitCause.GANG
        return WaitCause.RACK if step.spec.affinity else WaitCause.WORKER

    def _overdue(self, step: Step) -> bool:
        """Whether the step has waited so long that the policy is overridden."""
        return self._state.now_ms - step.ready_since_ms >= FORCE_AFTER_MS

    def _place(self, queue: ServiceQueue, step: Step, racks: RackWaits, budget: int) -> int:
        """Place ready tasks of the step; returns the number placed."""
        tasks = self._decided_tasks(step)
        if not step.spec.affinity:
            return self._place_tasks(queue, step, tasks, budget, data_rack_only=False)
        rack_candidates = racks.tasks_that_may_wait(step, tasks)
        placed = 0
        if rack_candidates and racks.has_room(step):
            placed = self._place_tasks(queue, step, rack_candidates, budget, data_rack_only=True)
        left = [task for task in rack_candidates if task.index in step.ready]
        waiting = racks.count_waiting(step, len(left)) if left else 0
        kept = {task.index for task in left[:waiting]}
        others = [task for task in tasks if task.index in step.ready and task.index not in kept]
        return placed + self._place_tasks(queue, step, others, budget - placed, data_rack_only=False)

    def _decided_tasks(self, step: Step) -> list[Task]:
        """The ready tasks, without those that wait for a confirmed configuration."""
        tasks = list(step.ready.values())
        if self._state.terms_confirmed:
            return tasks
        return [task for task in tasks if not self._ends.is_undecided(task)]

    def _place_tasks(
        self, queue: ServiceQueue, step: Step, tasks: list[Task], budget: int, data_rack_only: bool
    ) -> int:
        """Place these tasks, optionally only in the rack of their data; returns the number placed."""
        placed = misses = 0
        for task in tasks:
            if placed >= budget or task.index not in step.ready or self._ends.fail_if_exhausted(task):
                return placed
            chosen = self._choose(queue, task, data_rack_only)
            if chosen is None:
                misses += 1
                if not task.avoid or misses >= MAX_MISSES or not self._has_room(queue, task, data_rack_only):
                    return placed  # the other tasks have the same demand
                step.ready[task.index] = step.ready.pop(task.index)  # behind the others
                continue
            demand, worker = chosen
            self._readiness.remove_ready(task)
            self._gangs.end_reservation(queue, step)
            self._ends.runs.place(task, demand, worker, task.last_run + 1, task.checkpoint)
            placed += 1
        return placed

    def _has_room(self, queue: ServiceQueue, task: Task, data_rack_only: bool) -> bool:
        demand = demand_of(task, data_rack_only=data_rack_only)
        return any(can_place(worker, demand) for worker in queue.workers.values())

    def _choose(self, queue: ServiceQueue, task: Task, data_rack_only: bool) -> tuple[Demand, Worker] | None:
        step = task.step
        siblings = _racks(step, queue) if step.spec.same_rack else frozenset()
        demand = demand_of(task, siblings, data_rack_only)
        chosen = self._ask_policy(queue, demand)
        if chosen is None and not data_rack_only and self._overdue(step):
            chosen = self._least_used(queue, demand)
        return chosen

    def _ask_policy(self, queue: ServiceQueue, demand: Demand) -> tuple[Demand, Worker] | None:
        if not any(can_place(worker, demand) for worker in queue.workers.values()):
            return None
        instance = self._state.placement.choose(demand, self._state.placeable, self._state.now_ms)
        if instance is None:
            return None
        worker = queue.workers.get(instance)
        if worker is None or not can_place(worker, demand):
            self._state.counters.bad_placements += 1
            return None
        return demand, worker

    def _least_used(self, queue: ServiceQueue, demand: Demand) -> tuple[Demand, Worker] | None:
        """The least used worker that fits, trusted ones first, those where this task failed last."""
        trusted, now = self._state.placement.is_trusted, self._state.now_ms
        fitting = [worker for worker in queue.workers.values() if can_place(worker, demand)]
        if not fitting:
            return None
        best = min(
            fitting,
            key=lambda worker: (
                worker.instance in demand.avoided_instances,
                not trusted(worker.instance, now),
                worker.used.cpu / max(worker.capacity.cpu, 1),
            ),
        )
        return demand, best


def _racks(step: Step, queue: ServiceQueue) -> frozenset[str]:
    """Racks in which tasks of the step run."""
    found = {queue.workers[run.instance].rack for run in step.open_runs() if run.instance in queue.workers}
    return frozenset(found)
