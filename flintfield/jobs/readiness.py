"""Makes tasks ready: occurrences at their times, steps by their dependencies, tasks after a backoff.

Steps with ready tasks wait in their service's queue, ordered by a rank that does not change while they are
queued: the latest start time at which the job meets its objective, plus `PRIORITY_GAP_MS` for each priority
number. So smaller priority numbers go first, but a step that has waited long enough is no longer overtaken.
"""

from __future__ import annotations

import heapq

from flintfield.jobs import durable
from flintfield.jobs.body import JobSpec
from flintfield.jobs.model import Job, Occurrence, Step, Task
from flintfield.jobs.occurrences import open_occurrence
from flintfield.jobs.ranks import PRIORITY_GAP_MS
from flintfield.jobs.run_tables import count_job, has_places_for_more, uncount_job
from flintfield.jobs.terms import Terms
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.states import JobState, TaskState, WaitCause
from flintfield.jobs.timing import Phase

MAX_OPEN_OCCURRENCES = 256  # per job; later occurrences wait until earlier ones are done
MAX_TASKS_OPENED = 4_000  # per tick, beyond its first occurrence, so that a tick is processed quickly
STEP_WORK = 4  # opening a step takes as long as opening so many tasks
MAX_HELD_TRIED = 64  # per tick: jobs whose next occurrence is due and has no room yet
DEFAULT_ESTIMATE_MS = 1_000  # if the client gives no estimate


class Readiness:
    """Opens occurrences and steps and fills the queues."""

    def __init__(self, state: DispatcherState) -> None:
        self._state = state
        self._due: list[tuple[int, int, Job]] = []
        self._held: dict[str, Job] = {}  # by id: their next occurrence is due and waits for room
        self._delayed: list[tuple[int, int, Task]] = []
        self._sequence = 0

    # Occurrences

    def begin(self, job: Job) -> None:
        """Schedule the occurrences of an active job, or open its only one."""
        if job.spec is None:
            return
        if job.spec.timed:
            self._schedule(job)
        elif not job.open:
            self.open(job, 0)

    def open(self, job: Job, number: int) -> Occurrence:
        """Open an occurrence of the job and its steps without dependencies."""
        occurrence = open_occurrence(job, number)
        self.rank(occurrence)
        self.add_backlog(occurrence)
        for step in occurrence.steps:
            if step.earlier_left == 0:
                self.open_step(step)
        return occurrence

    def _schedule(self, job: Job) -> None:
        spec = job.spec
        if spec is None:
            return
        job.next_occurrence = max(job.next_occurrence, job.done_below)
        while job.next_occurrence in job.open or job.is_done(job.next_occurrence):
            job.next_occurrence += 1
        if job.next_occurrence < spec.occurrences:
            due = spec.first_run_ms + job.next_occurrence * spec.interval_ms
            self._sequence += 1
            heapq.heappush(self._due, (due, self._sequence, job))

    def open_due(self) -> None:
        """Open the occurrences that are due by cluster time, never early, as far as there is room."""
        state = self._state
        if not state.wall_known:
            return
        opened = 0
        for _ in range(min(len(self._held), MAX_HELD_TRIED)):
            if opened >= MAX_TASKS_OPENED:
                return
            opened += self._open_next(self._held.pop(next(iter(self._held))))
        while opened < MAX_TASKS_OPENED and self._due and self._due[0][0] <= state.wall_ms:
            opened += self._open_next(heapq.heappop(self._due)[2])

    def _open_next(self, job: Job) -> int:
        """Open the job's next occurrence, which is due, or hold it until there is room; returns the work."""
        spec = job.spec
        if spec is None or job.state is not JobState.ACTIVE:
            return 0
        if not self._has_room(job, spec):
            self._held[job.id] = job
            return 0
        before = len(job.open)
        self.open(job, job.next_occurrence)
        self._reserve(job, spec, before)
        self._schedule(job)
        return spec.tasks + len(spec.steps) * STEP_WORK

    def _has_room(self, job: Job, spec: JobSpec) -> bool:
        """Whether one more occurrence may be open; those that were counted at admission always may."""
        state, occurrences = self._state, len(job.open)
        if occurrences >= MAX_OPEN_OCCURRENCES:
            return False
        more = durable.open_tasks(spec, occurrences + 1) - durable.open_tasks(spec, occurrences)
        if not more:
            return True
        if state.kept_bytes + more * durable.TASK_RECORD_BYTES > state.bounds.max_overlap_bytes:
            return False
        return has_places_for_more(state.service(job.terms.service), spec)

    def _reserve(self, job: Job, spec: JobSpec, before: int) -> None:
        """Count the tasks of the open occurrences, of which there were `before` until now."""
        more = durable.open_tasks(spec, len(job.open)) - durable.open_tasks(spec, before)
        job.kept_bytes += more * durable.TASK_RECORD_BYTES
        self._state.kept_bytes += more * durable.TASK_RECORD_BYTES
        self._state.service(job.terms.service).open_tasks += more

    def occurrence_done(self, occurrence: Occurrence) -> None:
        """Remove a finished occurrence from its job, and what was reserved for it."""
        job, before = occurrence.job, len(occurrence.job.open)
        job.occurrence_done(occurrence.number)
        if job.spec is not None:
            self._reserve(job, job.spec, before)
        if len(job.open) < durable.OPEN_OCCURRENCES and self._held.pop(job.id, None) is not None:
            self._schedule(job)  # it need not wait for the other jobs that are held

    def rank(self, occurrence: Occurrence) -> None:
        """Compute the ranks of the occurrence's steps; none of them may be queued."""
        job = occurrence.job
        terms = job.terms
        chain = max(job.chain, default=0)
        deadline = occurrence.due_wall_ms + terms.extension * chain + terms.target_latency_ms
        for step in occurrence.steps:
            self._sequence += 1
            step.serial = self._sequence
            step.rank = deadline - job.chain[step.index] + terms.priority * PRIORITY_GAP_MS

    # Steps and tasks

    def open_step(self, step: Step) -> None:
        """Make the tasks of a step ready after all steps that it depends on are done."""
        waiting = [task for task in step.tasks if task.state is TaskState.WAITING]
        if waiting:
            self._make_ready(step, waiting)

    def make_ready(self, task: Task) -> None:
        """Allow the task to be placed from now on."""
        self._make_ready(task.step, [task])

    def _make_ready(self, step: Step, tasks: list[Task]) -> None:
        self._state.timing.settle_wait(step, self._state.now_ms)
        if not step.ready:
            step.ready_since_ms = self._state.now_ms
            step.wait_cause = WaitCause.PASS
        for task in tasks:
            task.become_ready()
            task.ready_ms = self._state.now_ms
            step.ready[task.index] = task
        queue = self._state.service(step.occurrence.job.terms.service)
        if step.queued_in is None:
            queue.add(step)
        queue.dirty = True

    def delay(self, task: Task, delay_ms: int) -> None:
        """Allow the task to be placed after a delay."""
        if delay_ms <= 0:
            self.make_ready(task)
            return
        self._state.timing.note(task.job, Phase.BACKOFF, delay_ms)
        task.become_delayed()
        self._sequence += 1
        heapq.heappush(self._delayed, (self._state.now_ms + delay_ms, self._sequence, task))

    def end_delays(self) -> None:
        """Make tasks ready whose backoff is over."""
        while self._delayed and self._delayed[0][0] <= self._state.now_ms:
            task = heapq.heappop(self._delayed)[2]
            over = task.job.ended or task.step.occurrence.finished
            if task.state is TaskState.DELAYED and not over:
                self.make_ready(task)

    def remove_ready(self, task: Task) -> None:
        """Remove a task that was placed or needs no run any more from the ready tasks."""
        step = task.step
        self._state.timing.settle_wait(step, self._state.now_ms)
        step.ready.pop(task.index, None)
        if not step.ready:
            self.drop_step(step)

    def drop_step(self, step: Step) -> None:
        """Remove the step from its queue."""
        step.ready.clear()
        if step.queued_in is not None:
            self._state.service(step.queued_in).remove(step)

    def drop_steps(self, job: Job) -> None:
        """Remove all steps of the job from their queue."""
        steps = [step for occurrence in job.open.values() for step in occurrence.steps]
        for step in steps:
            step.ready.clear()
        self._state.service(job.terms.service).remove_all(
            [step for step in steps if step.queued_in is not None]
        )

    # Backlog

    def add_backlog(self, occurrence: Occurrence) -> None:
        """Add the estimated work of an occurrence to the backlog of its service."""
        for step in occurrence.steps:
            self.count_backlog(step, step.left)

    def count_backlog(self, step: Step, tasks: int) -> None:
        """Add the work of this many tasks of a step to the backlog (negative: remove it)."""
        if step.spec.long_running or not tasks:
            return
        terms = step.occurrence.job.terms
        queue = self._state.service(terms.service)
        work_ms = tasks * (step.spec.estimate_ms or DEFAULT_ESTIMATE_MS)
        queue.backlog_cpu[terms.priority] += work_ms * step.spec.cpu
        queue.backlog_gpu[terms.priority] += work_ms * step.spec.gpu

    # Configuration

    def try_all(self) -> None:
        """Have all queues tried at once."""
        for queue in self._state.services.values():
            queue.dirty = True
            queue.next_pass_ms = self._state.now_ms

    def change_terms(self, job: Job, terms: Terms) -> None:
        """Apply changed terms of the job's queue."""
        steps = [step for occurrence in job.open.values() for step in occurrence.steps]
        queued = [step for step in steps if step.queued_in is not None]
        self._state.service(job.terms.service).remove_all(queued)
        for step in steps:
            self.count_backlog(step, -step.left)
        uncount_job(self._state.service(job.terms.service), job)
        job.terms = terms
        count_job(self._state.service(terms.service), job)
        for step in steps:
            self.count_backlog(step, step.left)
        for occurrence in job.open.values():
            self.rank(occurrence)
        queue = self._state.service(terms.service)
        queue.add_all(queued)
        queue.dirty = queue.dirty or bool(queued)
