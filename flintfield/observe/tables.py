"""The dispatcher's tables as rows: workers, jobs, one job. Reads them and changes nothing."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import islice
from typing import TypeVar

from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.model import Job, Run, Task
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.states import JobState, TaskState
from flintfield.jobs.worker_record import WorkerRecord
from flintfield.observe.history import JobHistory
from flintfield.observe.messages import (
    JobDetail,
    JobRow,
    Jobs,
    RunRow,
    TasksRow,
    WaitReason,
    WorkerCondition,
    WorkerRow,
    Workers,
)
from flintfield.observe.questions import PAGE_ROWS, AskJobs, AskWorkers
from flintfield.observe.times import job_times
from flintfield.observe.waiting import wait_reason
from flintfield.placement.market import MarketPlacement

MOST_TASKS_READ = 2_000  # of one job, for one answer: some milliseconds
QUEUED, RUNNING = "queued", "running"
Row = TypeVar("Row")
Standing = tuple[int, int, TaskState, WaitReason]


def workers_page(dispatcher: Dispatcher, question: AskWorkers) -> Workers:
    """A page of all workers."""
    state = dispatcher.state
    rows = _page(state.workers.values(), question.offset, question.limit)
    return Workers(dispatcher.epoch, len(state.workers), tuple(_worker_row(state, record) for record in rows))


def jobs_page(dispatcher: Dispatcher, question: AskJobs) -> Jobs:
    """A page of the jobs that were asked for."""
    found = [job for job in dispatcher.state.jobs.values() if _matches(job, question)]
    rows = _page(found, question.offset, question.limit)
    return Jobs(dispatcher.epoch, len(found), tuple(_job_row(job) for job in rows))


def job_detail(dispatcher: Dispatcher, job_id: str) -> JobDetail:
    """All that is known of a job."""
    state = dispatcher.state
    job = state.jobs.get(job_id)
    if job is None or not job.submitted:
        return JobDetail(dispatcher.epoch, None)
    tasks = list(islice(_tasks(job), MOST_TASKS_READ + 1))
    cut = len(tasks) > MOST_TASKS_READ
    del tasks[MOST_TASKS_READ:]
    standings = list(_standings(state, tasks).items())
    runs = [run for task in tasks for run in task.runs]
    history = state.recorder if isinstance(state.recorder, JobHistory) else JobHistory()
    events, earlier = history.events(job, dispatcher.epoch)
    return JobDetail(
        dispatcher.epoch,
        _job_row(job),
        tuple(TasksRow(*standing, count) for standing, count in standings[:PAGE_ROWS]),
        tuple(_run_row(state, run) for run in runs[:PAGE_ROWS]),
        events,
        earlier,
        sum(len(task.failed) for task in tasks),
        cut or len(standings) > PAGE_ROWS or len(runs) > PAGE_ROWS,
        job_times(job),
    )


def _page(rows: Iterable[Row], offset: int, limit: int) -> list[Row]:
    start = max(0, offset)
    return list(islice(rows, start, start + max(0, min(limit, PAGE_ROWS))))


# Workers.


def _worker_row(state: DispatcherState, record: WorkerRecord) -> WorkerRow:
    worker = record.worker
    market = state.placement if isinstance(state.placement, MarketPlacement) else None
    trusted = state.placement.is_trusted(worker.instance, state.now_ms)
    leaves_in_ms = max(0, record.leaves_ms - state.now_ms) if record.draining else -1
    return WorkerRow(
        worker.instance,
        worker.machine,
        worker.service,
        worker.zone,
        worker.rack,
        tuple(sorted(worker.labels)),
        _condition(state, record, trusted),
        trusted,
        worker.capacity.cpu,
        worker.capacity.memory_mb,
        worker.capacity.gpu,
        worker.used.cpu,
        worker.used.memory_mb,
        worker.used.gpu,
        len(record.runs),
        market.prices.price(worker.instance) if market else -1.0,
        market.speeds.zeta.get(worker.instance, 1.0) if market else -1.0,
        market.prices.load(worker.instance) if market else -1.0,
        state.now_ms - record.granted_ms,
        leaves_in_ms,
    )


def _condition(state: DispatcherState, record: WorkerRecord, trusted: bool) -> WorkerCondition:
    if not record.known:
        return WorkerCondition.UNKNOWN
    if not record.connected:
        return WorkerCondition.OUT_OF_TOUCH
    if record.silent:
        return WorkerCondition.SILENT
    if record.draining:
        return WorkerCondition.DRAINING
    if record.paused_until_ms > state.now_ms:
        return WorkerCondition.UNWELL
    if not trusted:
        return WorkerCondition.QUARANTINED
    return WorkerCondition.READY


# Jobs.


def _matches(job: Job, question: AskJobs) -> bool:
    if not job.submitted or (question.queue and job.route != question.queue):
        return False
    return not (question.open_only and job.ended)


def _job_row(job: Job) -> JobRow:
    steps = [step for occurrence in job.open.values() for step in occurrence.steps]
    tasks = sum(step.spec.count for step in steps)
    return JobRow(
        job.id,
        job.route,
        job.terms.service,
        job.terms.priority,
        _state_word(job),
        job.accepted_wall_ms,
        job.ended_wall_ms,
        tasks,
        tasks - sum(step.left for step in steps),
        job.spec.occurrences if job.spec is not None else 0,
        job.done_below + len(job.done_above),
    )


def _state_word(job: Job) -> str:
    """As clients are told it."""
    if job.durable_state in (JobState.ACCEPTING, JobState.ACTIVE):
        return RUNNING if job.started else QUEUED
    return job.durable_state.name.lower()


# One job.


def _tasks(job: Job) -> Iterator[Task]:
    for occurrence in job.open.values():
        for step in occurrence.steps:
            yield from step.tasks


def _standings(state: DispatcherState, tasks: list[Task]) -> Counter[Standing]:
    """How many tasks of each step stand alike; of a step's ready tasks the reason is found out once."""
    counts: Counter[Standing] = Counter()
    reasons: dict[int, WaitReason] = {}
    for task in tasks:
        step = task.step
        if task.state is TaskState.READY and not task.avoid:
            reason = reasons.get(id(step))
            if reason is None:
                reason = reasons[id(step)] = wait_reason(state, task)
        else:
            reason = wait_reason(state, task)
        counts[step.occurrence.number, step.index, task.state, reason] += 1
    return counts


def _run_row(state: DispatcherState, run: Run) -> RunRow:
    started_ms_ago = state.now_ms - run.started_ms if run.started_ms >= 0 else -1
    return RunRow(
        run.name,
        run.number,
        run.instance,
        run.machine,
        run.epoch,
        run.state,
        state.now_ms - run.placed_ms,
        started_ms_ago,
        run.percent,
    )
