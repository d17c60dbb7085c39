"""Rebuilds the dispatcher's tables from the stored records after an election."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping

from flintfield.jobs import durable
from flintfield.jobs.body import MalformedJob, StepSpec, read_job
from flintfield.jobs.durable import TaskName, TaskRecord
from flintfield.jobs.model import Job, Occurrence, Run, Step, Task
from flintfield.jobs.occurrences import open_occurrence
from flintfield.jobs.terms import Terms
from flintfield.jobs.readiness import Readiness
from flintfield.jobs.recorder import JobEvent
from flintfield.jobs.run_tables import count_job
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.states import JobState, RunState, TaskState
from flintfield.jobs.worker_record import WorkerRecord, unknown_worker
from flintfield.placement.interface import Resources
from flintfield.transport.records import MalformedRecord, decode


WORK_IN_PART = 1_000  # a task costs one, and a record
RECORD_WORK = 16


class Restore:
    """Reads jobs, their queues, ends, completed occurrences and tasks in this order; makes tasks ready."""

    def __init__(self, state: DispatcherState, readiness: Readiness) -> None:
        self._state = state
        self._readiness = readiness
        self._work = 0
        self.unreadable = 0

    def parts(self, items: Mapping[bytes, bytes]) -> Iterator[None]:
        """Fill the empty tables from the stored items, a part at a time; the tables are whole at the end."""
        by_kind: dict[bytes, list[tuple[str, bytes]]] = {}
        for key, value in items.items():
            by_kind.setdefault(key[:1], []).append((key[1:].decode("ascii", "replace"), value))
        for kind, read in (
            (durable.JOB, self._job),
            (durable.QUEUE, self._queue),
            (durable.END, self._end),
            (durable.OCCURRENCES, self._occurrences),
            (durable.TASK, self._task),
        ):
            for name, value in by_kind.get(kind, ()):
                if self._part_is_full(RECORD_WORK):
                    yield
                try:
                    read(name, decode(value))
                except (MalformedRecord, MalformedJob, ValueError):
                    self.unreadable += 1
        yield
        self._state.ended = deque(sorted(self._state.ended, key=lambda entry: entry[0]))
        self._state.marks = deque(sorted(self._state.marks, key=lambda job: job.ended_wall_ms))
        for job in self._state.jobs.values():
            self._resume(job)
            tasks = sum(len(step.tasks) for each in job.open.values() for step in each.steps)
            if self._part_is_full(RECORD_WORK + tasks):
                yield

    def _part_is_full(self, work: int) -> bool:
        """Count work; True where a part ends here."""
        self._work += work
        if self._work < WORK_IN_PART:
            return False
        self._work = 0
        return True

    def _job(self, job_id: str, record: durable.JobRecord) -> None:
        spec = read_job(record.body)
        terms = durable.decode_terms(record.terms)
        kept_bytes = durable.most_bytes(record.body, spec.tasks, spec.timed)
        job = Job(
            job_id,
            record.route,
            terms,
            record.accepted_wall_ms,
            record.body,
            spec,
            address=record.address,
            kept_bytes=kept_bytes,
        )
        job.become_active()
        self._state.jobs[job_id] = job

    def _queue(self, job_id: str, record: durable.QueueRecord) -> None:
        job = self._state.jobs.get(job_id)
        if job is None or job.accepted_wall_ms != record.accepted_wall_ms:  # of a job that has ended
            self._state.put(durable.queue_key(job_id), None)
            return
        job.route, job.terms = record.route, durable.decode_terms(record.terms)
        job.queue_recorded = True

    def _end(self, job_id: str, record: durable.EndRecord) -> None:
        terms = Terms("", 0, 1, 1.0, 0)
        job = Job(
            job_id, record.route, terms, 0, b"", None, submitted=record.submitted, address=record.address
        )
        job.become_active()
        job.end(JobState(record.state), record.ended_wall_ms)
        job.show_end()
        job.fingerprint = record.fingerprint
        self._state.jobs[job_id] = job
        if job.submitted:
            self._state.remember_ended(job)
        else:
            self._state.marks.append(job)

    def _occurrences(self, job_id: str, record: durable.OccurrencesRecord) -> None:
        job = self._state.jobs.get(job_id)
        if job is not None:
            job.done_below = record.done_below
            job.done_above = set(record.done_above)

    def _task(self, name: str, record: TaskRecord) -> None:
        where = durable.parse_task(name)
        job = self._state.jobs.get(where.job)
        if job is None:
            job = Job(where.job, "", Terms("", 0, 1, 1.0, 0), 0, b"", None)  # forgotten, but has runs
            job.become_active()
            job.end(JobState.CANCELLED, 0)
        task = self._live_task(job, where) or _stub_task(job, where, name)
        task.recorded = True
        task.last_run = record.last_run
        task.add_failed(*record.failed)
        task.checkpoint = record.checkpoint
        for run in record.runs:
            self._run(task, run)
        if record.done:
            task.become_done()
            task.step.left -= 1
        elif task.runs:
            task.become_placed()
            if task.step.spec.speculative and not task.step.spec.gang:
                self._state.speculative[task] = None

    def _live_task(self, job: Job, where: TaskName) -> Task | None:
        if job.ended or job.is_done(where.occurrence) or job.spec is None:
            return None
        if where.occurrence >= job.spec.occurrences:
            return None
        steps = job.spec.steps
        if where.step >= len(steps) or where.index >= steps[where.step].count:
            return None  # of a forgotten job with the same ID
        occurrence = job.open.get(where.occurrence)
        if occurrence is None:
            occurrence = open_occurrence(job, where.occurrence)
            self._work += job.spec.tasks
        return occurrence.steps[where.step].tasks[where.index]

    def _run(self, task: Task, record: durable.RunRecord) -> None:
        state = self._state
        room = Resources(record.cpu, record.memory_mb, record.gpu)
        run = Run(
            task,
            record.number,
            record.instance,
            record.machine,
            record.epoch,
            room,
            record.checkpoint,
            state.now_ms,
            RunState.INHERITED,
        )
        task.step.run_opened(run)
        if record.instance not in state.workers:
            worker = unknown_worker(record.instance, record.machine)
            state.workers[record.instance] = WorkerRecord(worker, False, state.now_ms)
            state.by_machine[record.machine] = record.instance
        state.count_run(run)
        state.record(task.job, JobEvent.INHERITED, run)

    def _resume(self, job: Job) -> None:
        if job.ended or job.spec is None:
            return
        overlapping = durable.open_tasks(job.spec, len(job.open)) - durable.open_tasks(job.spec, 0)
        job.kept_bytes += overlapping * durable.TASK_RECORD_BYTES
        self._state.kept_bytes += job.kept_bytes
        count_job(self._state.service(job.terms.service), job)
        self._state.pending[job.route] += 1
        for occurrence in list(job.open.values()):
            self._resume_occurrence(occurrence)
        self._readiness.begin(job)

    def _resume_occurrence(self, occurrence: Occurrence) -> None:
        readiness = self._readiness
        done = {step.index for step in occurrence.steps if step.left == 0}
        occurrence.steps_left -= len(done)
        readiness.rank(occurrence)
        readiness.add_backlog(occurrence)
        for step in occurrence.steps:
            step.earlier_left = len(set(step.spec.depends_on) - done)
            if step.earlier_left == 0:
                self._resume_step(step)

    def _resume_step(self, step: Step) -> None:
        if step.spec.gang:
            best = max(task.checkpoint for task in step.tasks)
            for task in step.tasks:
                task.checkpoint = best
            if step.open_runs():
                for task in step.tasks:
                    if task.state is TaskState.WAITING:
                        task.become_placed()  # its run has ended; others are stopped when listed
                return
        self._readiness.open_step(step)


def _stub_task(job: Job, where: TaskName, name: str) -> Task:
    """A placeholder for a task that needs no run, while a run of it may still occupy capacity."""
    occurrence = Occurrence(job, where.occurrence, 0, finished=True)
    step = Step(occurrence, where.step, StepSpec(count=1), 1, 0)
    task = Task(step, where.index, name)
    step.tasks.append(task)
    return task
