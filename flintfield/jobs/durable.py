"""The durable form of jobs: keys and records in the ordered store.

| key | value | written |
| --- | --- | --- |
| `j` + id | `JobRecord`: body, queue, terms | once, before 200 to the client |
| `e` + id | `EndRecord`: how the job ended, and when | with the end, or with a cancel |
| `k` + id | `OccurrencesRecord`: which times are done | a timed job, as each time is done |
| `t` + id + `.` + K.STEP.INDEX | `TaskRecord` | a task that was ever placed, at each change |

A task's record goes when its occurrence or job has ended and no run of it may still be there. All records
of a job go when it is forgotten.
"""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.jobs.model import Run, Task
from flintfield.jobs.terms import Terms
from flintfield.jobs.states import TaskState
from flintfield.transport.records import encode, record

JOB, END, OCCURRENCES, TASK = b"j", b"e", b"k", b"t"

# What records take beside the body, with their keys: measured for the longest usual names, rounded up.
JOB_RECORDS_BYTES = 256  # `JobRecord` without its body, `EndRecord` and `OccurrencesRecord`
TASK_RECORD_BYTES = 360  # `TaskRecord` with two runs: one that is there, one whose end is not certain
OPEN_OCCURRENCES = 2  # of a timed job: one that runs late, beside the next


@dataclass(frozen=True, slots=True)
class TermsRecord:
    """What the configuration said of the job's queue."""

    service: str
    priority: int
    max_attempts: int
    extension: float
    target_latency_ms: int


@record(110)
@dataclass(frozen=True, slots=True)
class JobRecord:
    """An accepted job; `accepted_wall_ms` is common time."""

    route: str
    terms: TermsRecord
    accepted_wall_ms: int
    body: bytes


@record(111)
@dataclass(frozen=True, slots=True)
class EndRecord:
    """How a job ended (a `JobState`). `submitted` is False for the mark of a cancelled unknown id."""

    state: int
    ended_wall_ms: int
    submitted: bool
    route: str


@record(112)
@dataclass(frozen=True, slots=True)
class OccurrencesRecord:
    """Which times of a timed job are done: all below `done_below`, and those named."""

    done_below: int
    done_above: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RunRecord:
    """A run that may be there: from before its start order leaves until its end is certain."""

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
    """A task that was ever placed. `failed` are the numbers of the runs that ended `failed`."""

    last_run: int
    done: bool
    failed: tuple[int, ...]
    checkpoint: str
    runs: tuple[RunRecord, ...]


def most_bytes(body: bytes, tasks: int, timed: bool) -> int:
    """What a job may take in the store while it is active, all of its tasks placed (bytes)."""
    occurrences = OPEN_OCCURRENCES if timed else 1
    return len(body) + JOB_RECORDS_BYTES + tasks * occurrences * TASK_RECORD_BYTES


def job_key(job: str) -> bytes:
    """Key of the accepted job."""
    return JOB + job.encode()


def end_key(job: str) -> bytes:
    """Key of the job's end."""
    return END + job.encode()


def occurrences_key(job: str) -> bytes:
    """Key of the done times."""
    return OCCURRENCES + job.encode()


def task_key(task: str) -> bytes:
    """Key of a task by its name `ID.K.STEP.INDEX`."""
    return TASK + task.encode()


@dataclass(frozen=True, slots=True)
class TaskName:
    """The parts of a task's name."""

    job: str
    occurrence: int
    step: int
    index: int


def parse_task(name: str) -> TaskName:
    """The parts of a task's name; raises `ValueError`."""
    job, occurrence, step, index = name.split(".")
    return TaskName(job, int(occurrence), int(step), int(index))


def encode_terms(terms: Terms) -> TermsRecord:
    """The durable form of a queue's terms."""
    return TermsRecord(
        terms.service, terms.priority, terms.max_attempts, terms.extension, terms.target_latency_ms
    )


def decode_terms(terms: TermsRecord) -> Terms:
    """A queue's terms from their durable form."""
    return Terms(terms.service, terms.priority, terms.max_attempts, terms.extension, terms.target_latency_ms)


def encode_run(run: Run) -> RunRecord:
    """The durable form of a run."""
    room = run.resources
    return RunRecord(
        run.number, run.instance, run.machine, run.epoch, room.cpu, room.memory_mb, room.gpu, run.checkpoint
    )


def encode_task(task: Task) -> bytes:
    """The durable form of a task."""
    runs = tuple(encode_run(run) for run in task.runs)
    done = task.state is TaskState.DONE
    return encode(TaskRecord(task.last_run, done, task.failed, task.checkpoint, runs))
