"""Handles the end of a run: its consequences for the task, gang, step, occurrence and job.

An end and all its consequences are written in one batch. The resulting orders are sent after that batch is
durable. Only runs that end `failed` count as attempts, and a run of a gang counts once, no matter how many of
its members failed.
"""

from __future__ import annotations

from functools import partial

from flintfield.jobs import durable
from flintfield.jobs.model import Job, Occurrence, Run, Step, Task
from flintfield.jobs.occurrences import release_occurrence
from flintfield.jobs.readiness import Readiness
from flintfield.jobs.recorder import JobEvent
from flintfield.jobs.run_tables import uncount_job
from flintfield.jobs.runs import Ending, Runs
from flintfield.jobs.demands import demand_of
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.states import JobState, TaskState
from flintfield.jobs.timing import Phase
from flintfield.placement.interface import Result
from flintfield.transport.records import encode

SHORT_RUN_MS = 3_000  # a failed run of a long-running task that was shorter than this causes a backoff
FIRST_BACKOFF_MS = 50
MAX_BACKOFF_MS = 2_000
REFUSAL_BACKOFF_MS = 100  # after an order that the worker did not carry out

_RESULTS = {
    Ending.DONE: Result.DONE,
    Ending.FAILED: Result.FAILED,
    Ending.LOST: Result.LOST,
    Ending.LAPSED: Result.LOST,
}


class RunEnds:
    """Processes the ends of runs."""

    def __init__(self, state: DispatcherState, readiness: Readiness) -> None:
        self._state = state
        self._readiness = readiness
        self.runs = Runs(state, self.resolve)

    def resolve(self, run: Run, ending: Ending, checkpoint: str) -> None:
        """Process the certain end of a run; `checkpoint` is its newest checkpoint or ""."""
        state = self._state
        task = run.task
        state.counters.ends += 1
        state.record(task.job, JobEvent.RUN_ENDED, run, ending.value)
        self._report_end_to_placement(run, ending)
        self._record_times(run, ending)
        self.runs.close(run)
        self.save_checkpoint(task, checkpoint)
        if ending is Ending.FAILED and run.number not in task.failed:
            task.add_failed(run.number)
        if ending in (Ending.FAILED, Ending.VANISHED) or run.suspect:
            task.avoid |= {run.instance}
        over = task.job.state is not JobState.ACTIVE or task.step.occurrence.finished
        if over or task.state is TaskState.DONE:
            state.write_task(task)
        elif ending is Ending.DONE:
            self._task_done(task)
        elif self._out_of_attempts(task.step, task):
            state.write_task(task)
            self.finish_job(task.job, JobState.FAILED)
        elif task.step.spec.gang:
            state.write_task(task)
            self._gang_member_ended(run, ending)
        else:
            self._retry(run, ending)
            state.write_task(task)

    def save_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Store a newer checkpoint; a checkpoint of any gang member is valid for the whole gang."""
        if not checkpoint or not task.step.spec.checkpoints:
            return
        for each in task.step.tasks if task.step.spec.gang else (task,):
            each.checkpoint = checkpoint

    def _report_end_to_placement(self, run: Run, ending: Ending) -> None:
        state = self._state
        result = _RESULTS.get(ending, ending.value)
        if run.suspect and ending is not Ending.DONE:
            result = Result.STALLED
        ran_ms = float(state.now_ms - run.started_ms) if run.started_ms >= 0 else 0.0
        state.placement.note_end(demand_of(run.task), run.instance, result, ran_ms, state.now_ms)

    def _record_times(self, run: Run, ending: Ending) -> None:
        state, job = self._state, run.task.job
        if run.started_ms < 0 or run.ordered_ms < 0:
            return  # the run never started, or an earlier dispatcher ordered it
        state.timing.note(job, Phase.START, run.started_ms - run.ordered_ms)
        phase = Phase.RUN if ending is Ending.DONE else Phase.RUN_LOST
        state.timing.note(job, phase, state.now_ms - run.started_ms)
        state.after_write(partial(self._record_note_time, job, state.now_ms))

    def _record_note_time(self, job: Job, reported_ms: int) -> None:
        self._state.timing.note(job, Phase.NOTE, self._state.now_ms - reported_ms)

    def _out_of_attempts(self, step: Step, task: Task) -> bool:
        if step.spec.long_running or not self._state.terms_confirmed:
            return False
        failed = len(step.failed_runs) if step.spec.gang else len(task.failed)
        return failed >= max(step.occurrence.job.terms.max_attempts, 1)

    def is_undecided(self, task: Task) -> bool:
        """Whether only a confirmed configuration tells if the task may run again, or its job has failed."""
        if self._state.terms_confirmed or task.step.spec.long_running:
            return False
        return bool(task.step.failed_runs if task.step.spec.gang else task.failed)

    def fail_if_exhausted(self, task: Task) -> bool:
        """Fail the job of a ready task without attempts left, for example after a configuration change."""
        if not task.failed or not self._out_of_attempts(task.step, task):
            return False
        self.finish_job(task.job, JobState.FAILED)
        return True

    # Retries

    def _retry(self, run: Run, ending: Ending) -> None:
        task = run.task
        if not task.runs:
            self._readiness.delay(task, self._backoff(run, ending))

    def _gang_member_ended(self, run: Run, ending: Ending) -> None:
        step = run.task.step
        if step.broken_run < run.number:
            step.broken_run = run.number  # before the stops, which may end further members at once
            self._stop_all(step.open_runs())
        if step.members or any(task.state is not TaskState.PLACED for task in step.tasks):
            return  # continues when the last member closes
        delay = self._backoff(run, ending)
        for task in step.tasks:
            self._readiness.delay(task, delay)

    def _backoff(self, run: Run, ending: Ending) -> int:
        task = run.task
        if ending in (Ending.VANISHED, Ending.REFUSED):
            return REFUSAL_BACKOFF_MS
        if not task.step.spec.long_running or ending is Ending.UNSENT:
            return 0
        ran = self._state.now_ms - run.started_ms if run.started_ms >= 0 else 0
        if ran >= SHORT_RUN_MS or ending is not Ending.FAILED:
            task.consecutive_short_runs = 0
            return 0
        task.consecutive_short_runs += 1
        if task.consecutive_short_runs == 1:
            return 0
        return min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << min(task.consecutive_short_runs - 2, 10))

    # Completion

    def _task_done(self, task: Task) -> None:
        step = task.step
        for each in step.tasks if step.spec.gang else (task,):
            self._mark_done(each)
        others = list(task.runs)
        if others:
            self._state.after_write(partial(self._stop_all, others))
        if step.left == 0:
            self._step_done(step)

    def _mark_done(self, task: Task) -> None:
        if task.state is TaskState.DONE:
            return
        if task.state is TaskState.READY:
            self._readiness.remove_ready(task)
        task.become_done()
        task.step.left -= 1
        self._readiness.count_backlog(task.step, -1)
        self._state.write_task(task)

    def _stop_all(self, runs: list[Run]) -> None:
        for run in runs:
            self.runs.stop(run)

    def _step_done(self, step: Step) -> None:
        occurrence = step.occurrence
        occurrence.steps_left -= 1
        if occurrence.steps_left == 0:
            self._occurrence_done(occurrence)
            return
        for later in occurrence.steps[step.index + 1 :]:
            if step.index in later.spec.depends_on:
                later.earlier_left -= 1
                if later.earlier_left == 0:
                    self._readiness.open_step(later)

    def _occurrence_done(self, occurrence: Occurrence) -> None:
        job = occurrence.job
        occurrence.finished = True
        for step in occurrence.steps:
            self._forget_tasks(step)
        release_occurrence(occurrence)
        self._readiness.occurrence_done(occurrence)
        if job.spec is not None and job.done_below >= job.spec.occurrences:
            self.finish_job(job, JobState.COMPLETED)
            return
        done = durable.OccurrencesRecord(job.done_below, tuple(sorted(job.done_above)))
        self._state.put(durable.occurrences_key(job.id), encode(done))

    # Jobs

    def finish_job(self, job: Job, job_state: JobState) -> None:
        """Record the end of the job, and stop its remaining runs once that is durable."""
        state = self._state
        was_active = job.state is JobState.ACTIVE
        left = self._close_occurrences(job)
        state.kept_bytes -= job.kept_bytes
        uncount_job(state.service(job.terms.service), job)
        job.end(job_state, state.wall_ms)
        state.record(job, JobEvent.JOB_ENDED, detail=job_state.name.lower())
        if was_active:
            state.pending[job.route] -= 1
        state.put(durable.end_key(job.id), encode(durable.end_record(job)))
        state.put(durable.job_key(job.id), None)
        if job.queue_recorded:
            state.put(durable.queue_key(job.id), None)
        state.put(durable.occurrences_key(job.id), None)
        state.remember_ended(job)
        state.after_write(partial(self._show_end, job, state.now_ms))
        state.after_write(partial(self.runs.stop_all, left))

    def _show_end(self, job: Job, ended_ms: int) -> None:
        job.show_end()
        self._state.timing.note(job, Phase.SHOW, self._state.now_ms - ended_ms)

    def _close_occurrences(self, job: Job) -> list[Run]:
        left: list[Run] = []
        self._readiness.drop_steps(job)
        for occurrence in job.open.values():
            occurrence.finished = True
            for step in occurrence.steps:
                self._readiness.count_backlog(step, -step.left)
                left += step.open_runs()
                self._forget_tasks(step)
        return left

    def _forget_tasks(self, step: Step) -> None:
        """Delete the records of tasks that are over; those with runs stay as they are until the runs end."""
        for task in step.tasks:
            if not task.runs:
                self._state.write_task(task)
