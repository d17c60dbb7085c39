"""Storage format of jobs: keys and records in the ordered store.

| key | value | written |
| --- | --- | --- |
| `j` + id | `JobRecord`: body, queue, terms | once, before the client receives 200 |
| `q` + id | `QueueRecord`: name and terms of its queue | when the configuration changes them |
| `e` + id | `EndRecord`: final state and end time | when the job ends or is cancelled |
| `k` + id | `OccurrencesRecord`: completed occurrences | each time an occurrence of a timed job completes |
| `t` + id + `.` + K.STEP.INDEX | `TaskRecord` | at each change of a task that was ever placed |

A task's record is deleted once its occurrence or job has ended and none of its runs may still exist. All
records of a job are deleted when the job is forgotten, and its `QueueRecord` when it ends. A job without one
has the terms of its acceptance: so does one of a former release, which kept no such records.
"""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.jobs.body import JobSpec
from flintfield.jobs.model import Job, Run, Task
from flintfield.jobs.terms import Terms
from flintfield.jobs.states import TaskState
from flintfield.transport.records import encode, record

JOB, QUEUE, END, OCCURRENCES, TASK = b"j", b"q", b"e", b"k", b"t"

# Upper estimates of the record sizes, including keys but not the body, for the longest usual names.
JOB_RECORDS_BYTES = 352  # `JobRecord` without its body, `QueueRecord`, `EndRecord` and `OccurrencesRecord`
TASK_RECORD_BYTES = 360  # `TaskRecord` with two runs: a current one and one whose end is not certain yet
OPEN_OCCURRENCES = 2  # of a timed job: a late one and the next


@dataclass(frozen=True, slots=True)
class TermsRecord:
    """Stored configuration of the job's queue."""

    service: str
    priority: int
    max_attempts: int
    extension: float
    target_latency_ms: int


@record(110)
@dataclass(frozen=True, slots=True)
class JobRecord:
    """An accepted job; `accepted_wall_ms` is cluster time, `address` the host and prefix of its queue."""

    route: str
    terms: TermsRecord
    accepted_wall_ms: int
    body: bytes
    address: str = ""


@record(111)
@dataclass(frozen=True, slots=True)
class EndRecord:
    """Final state of a job (a `JobState`). `submitted` is False if an unknown id was cancelled.

    `fingerprint` is that of its body (`flintfield.jobs.body.fingerprint`).
    """

    state: int
    ended_wall_ms: int
    submitted: bool
    route: str
    address: str = ""
    fingerprint: bytes = b""


@record(112)
@dataclass(frozen=True, slots=True)
class OccurrencesRecord:
    """Completed occurrences of a timed job: all below `done_below`, plus those in `done_above`."""

    done_below: int
    done_above: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RunRecord:
    """A run that may exist: stored before its start order is sent, until its end is certain."""

    number: int
    instance: str
    machine: str
    epoch: int
    cpu: int
    memory_mb: int
    gpu: int
    checkpoint: str


@record(113)
@dataclass(frozen=True, slots=True)
class TaskRecord:
    """A task that was ever placed. `failed` holds the numbers of its failed runs."""

    last_run: int
    done: bool
    failed: tuple[int, ...]
    checkpoint: str
    runs: tuple[RunRecord, ...]


@record(114)
@dataclass(frozen=True, slots=True)
class QueueRecord:
    """The queue of a job by a configuration after its acceptance; it holds on after the queue's removal.

    `accepted_wall_ms` is that of the job: a former release leaves the record of a job that ends, and may take
    another one with its ID.
    """

    accepted_wall_ms: int
    route: str
    terms: TermsRecord


def most_bytes(body: bytes, tasks: int, timed: bool) -> int:
    """Upper bound of a job's size in the store (bytes) while it is active with all tasks placed."""
    occurrences = OPEN_OCCURRENCES if timed else 1
    return len(body) + JOB_RECORDS_BYTES + tasks * occurrences * TASK_RECORD_BYTES


def open_tasks(spec: JobSpec, occurrences: int) -> int:
    """Tasks for which a job with this many open occurrences has room: at least those of its admission."""
    return spec.tasks * max(OPEN_OCCURRENCES if spec.timed else 1, occurrences)


def end_record(job: Job) -> EndRecord:
    """The record of an ended job."""
    return EndRecord(
        int(job.state), job.ended_wall_ms, job.submitted, job.route, job.address, job.fingerprint
    )


def job_key(job: str) -> bytes:
    """Key of the `JobRecord`."""
    return JOB + job.encode()


def queue_key(job: str) -> bytes:
    """Key of the `QueueRecord`."""
    return QUEUE + job.encode()


def end_key(job: str) -> bytes:
    """Key of the `EndRecord`."""
    return END + job.encode()


def occurrences_key(job: str) -> bytes:
    """Key of the `OccurrencesRecord`."""
    return OCCURRENCES + job.encode()


def task_key(task: str) -> bytes:
    """Key of the `TaskRecord` of the task with the name `ID.K.STEP.INDEX`."""
    return TASK + task.encode()


@dataclass(frozen=True, slots=True)
class TaskName:
    """The components of a task name."""

    job: str
    occurrence: int
    step: int
    index: int


def parse_task(name: str) -> TaskName:
    """Parse a task name; raises `ValueError`."""
    job, occurrence, step, index = name.split(".")
    return TaskName(job, int(occurrence), int(step), int(index))


def encode_terms(terms: Terms) -> TermsRecord:
    """Convert terms to their stored form."""
    return TermsRecord(
        terms.service, terms.priority, terms.max_attempts, terms.extension, terms.target_latency_ms
    )


def encode_queue(job: Job) -> bytes:
    """Encode the present queue of a job."""
    return encode(QueueRecord(job.accepted_wall_ms, job.route, encode_terms(job.terms)))


def decode_terms(terms: TermsRecord) -> Terms:
    """Convert terms from their stored form."""
    return Terms(terms.service, terms.priority, terms.max_attempts, terms.extension, terms.target_latency_ms)


def encode_run(run: Run) -> RunRecord:
    """Convert a run to its stored form."""
    room = run.resources
    return RunRecord(
        run.number, run.instance, run.machine, run.epoch, room.cpu, room.memory_mb, room.gpu, run.checkpoint
    )


def encode_task(task: Task) -> bytes:
    """Encode a task's record."""
    runs = tuple(encode_run(run) for run in task.runs)
    done = task.state is TaskState.DONE
    return encode(TaskRecord(task.last_run, done, task.failed, task.checkpoint, runs))
