"""Speculative copies: a second run for a task of a `speculative` step whose first run is far behind.

The first run to end `done` counts, and the other is stopped. Copies are placed only while no task waits for
capacity.
"""

from __future__ import annotations

from dataclasses import replace

from flintfield.jobs.demands import demand_of, can_place
from flintfield.jobs.ends import RunEnds
from flintfield.jobs.estimates import estimate_ms
from flintfield.jobs.model import Task
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.states import JobState, RunState, TaskState

LATE_FACTOR = 1.6  # multiple of the expected duration
MIN_LATE_MS = 600
NEARLY_DONE_PERCENT = 75
CHECK_PERIOD_MS = 250
MAX_CHECKED_TASKS = 256  # per check; the rest wait for the next check


class SpeculativeCopies:
    """Starts copies of late tasks of speculative steps."""

    def __init__(self, state: DispatcherState, ends: RunEnds) -> None:
        self._state = state
        self._ends = ends
        self._last_check_ms = state.now_ms

    def tick(self) -> None:
        """Start copies of late tasks."""
        state = self._state
        if state.now_ms - self._last_check_ms < CHECK_PERIOD_MS or not state.terms_confirmed:
            return
        self._last_check_ms = state.now_ms
        for task in list(state.speculative)[:MAX_CHECKED_TASKS]:
            if task.state is not TaskState.PLACED or task.job.state is not JobState.ACTIVE:
                state.speculative.pop(task, None)
            elif self._is_late(task):
                self._start_copy(task)

    def _is_late(self, task: Task) -> bool:
        if len(task.runs) != 1:
            return False
        run = task.runs[0]
        if run.state is RunState.PLACING or run.percent >= NEARLY_DONE_PERCENT:
            return False
        if len(task.failed) + len(task.runs) >= max(task.job.terms.max_attempts, 1):
            return False
        expected = estimate_ms(run) / self._state.paces.usual(task.job.route)
        return self._state.now_ms - run.placed_ms > max(MIN_LATE_MS, LATE_FACTOR * expected)

    def _start_copy(self, task: Task) -> None:
        state = self._state
        demand = demand_of(task)
        queue = state.service(demand.service)
        if queue.steps:
            return  # other tasks wait for capacity
        demand = replace(
            demand, avoided_instances=demand.avoided_instances | {run.instance for run in task.runs}
        )
        instance = state.placement.choose(demand, state.placeable, state.now_ms)
        worker = queue.workers.get(instance or "")
        if worker is None or worker.instance in demand.avoided_instances or not can_place(worker, demand):
            return
        state.counters.copies += 1
        self._ends.runs.place(task, demand, worker, task.last_run + 1, task.checkpoint)
