"""Jobs, occurrences, steps, tasks and runs: their states, and one function for every change of state.

A job has one occurrence, or one for each of its times. An occurrence has the job's steps, a step its
tasks, a task its runs. A task outlives its runs, and a run outlives its job where it may still hold
capacity on a worker.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from flintfield.jobs.body import JobSpec, StepSpec, longest_chain_ms
from flintfield.jobs.states import (
    JOB_CHANGES,
    RUN_CHANGES,
    TASK_CHANGES,
    IllegalChange,
    JobState,
    RunState,
    TaskState,
    WaitCause,
)
from flintfield.jobs.terms import Terms
from flintfield.placement.interface import Resources


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task on one worker. Its resources count there until it is `CLOSED`."""

    task: Task
    number: int
    instance: str
    machine: str
    epoch: int
    resources: Resources
    checkpoint: str
    placed_ms: int
    state: RunState = RunState.PLACING
    order: int = 0  # the newest order for it
    answered_stamp: int | None = None  # agent's stamp from which on a listing shows the order's whole effect
    stop_answered: bool = False
    ordered_ms: int = -1  # when its start order was first sent
    started_ms: int = -1  # when its start was answered, or it was first seen running
    first_seen_ms: int = -1  # when it was first seen running
    percent: int = 0
    first_percent: int = 0  # when it was first seen
    percent_at_ms: int = -1  # when the percentage last moved
    duration_factor: float = 1.0  # how many times as long it takes there, away from its data or its step
    suspect: bool = False  # it was stopped for standing still or being slow

    @property
    def name(self) -> str:
        """The task's name on the wire."""
        return self.task.name

    def order_sent(self, order: int, now_ms: int) -> None:
        """Its start order may leave."""
        if self.ordered_ms < 0:
            self.ordered_ms = now_ms
        if self.state is not RunState.ORDERED:
            self._change(RunState.ORDERED)
        self.order = order
        self.answered_stamp = None

    def order_answered(self, stamp_ms: int, now_ms: int) -> None:
        """Its newest order was carried out; listings asked for from that stamp of the agent on show it."""
        self.answered_stamp = stamp_ms
        if self.started_ms < 0:
            self.started_ms = self.percent_at_ms = now_ms

    def seen_running(self, now_ms: int, percent: int) -> None:
        """A listing names it as running."""
        if self.state in (RunState.ORDERED, RunState.INHERITED):
            self._change(RunState.RUNNING)
        if self.started_ms < 0:
            self.started_ms = now_ms
        if self.first_seen_ms < 0:
            self.first_seen_ms = now_ms
            self.first_percent = percent
        if percent != self.percent or self.percent_at_ms < 0:
            self.percent = percent
            self.percent_at_ms = now_ms

    def stop_ordered(self, order: int) -> None:
        """A stop order leaves, perhaps once more."""
        if self.state is not RunState.STOPPING:
            self._change(RunState.STOPPING)
        self.order = order
        self.answered_stamp = None

    def close(self) -> None:
        """Nothing of it is left on the worker."""
        self._change(RunState.CLOSED)

    def _change(self, new: RunState) -> None:
        if (self.state, new) not in RUN_CHANGES:
            raise IllegalChange(f"run {self.name}/{self.number}: {self.state.name} to {new.name}")
        self.state = new


@dataclass(slots=True, eq=False)
class Task:
    """One task of a step of an occurrence."""

    step: Step
    index: int
    name: str
    state: TaskState = TaskState.WAITING
    last_run: int = 0
    failed: tuple[int, ...] = ()
    checkpoint: str = ""
    runs: list[Run] = field(default_factory=list)
    avoid: frozenset[str] = frozenset()  # instances where earlier runs failed, stalled or were lost
    moves: int = 0  # stops for standing still or being slow
    preempted: int = 0  # stops for a smaller priority number
    consecutive_short_runs: int = 0  # of a lasting task in a row
    ready_ms: int = -1  # when its turn came last
    done_ms: int = -1  # when a listing first showed a run of it although it is done
    recorded: bool = False  # the store holds its record

    @property
    def job(self) -> Job:
        """The job it belongs to."""
        return self.step.occurrence.job

    def become_ready(self) -> None:
        """Its turn has come."""
        self._change(TaskState.READY)

    def become_delayed(self) -> None:
        """It backs off before its next run."""
        self._change(TaskState.DELAYED)

    def become_placed(self) -> None:
        """A run of it may be somewhere."""
        if self.state is not TaskState.PLACED:
            self._change(TaskState.PLACED)

    def become_done(self) -> None:
        """A run of it, or of its gang, has ended `done`."""
        self._change(TaskState.DONE)

    def _change(self, new: TaskState) -> None:
        if (self.state, new) not in TASK_CHANGES:
            raise IllegalChange(f"task {self.name}: {self.state.name} to {new.name}")
        self.state = new


@dataclass(slots=True, eq=False)
class Step:
    """One step of an occurrence. `ready` are the tasks whose turn has come, by index."""

    occurrence: Occurrence
    index: int
    spec: StepSpec
    left: int
    earlier_left: int
    rank: float = 0.0
    serial: int = 0  # tells steps of the same rank apart: the one that was ranked first goes first
    tasks: list[Task] = field(default_factory=list)
    ready: dict[int, Task] = field(default_factory=dict)
    ready_since_ms: int = -1
    waiting_since_ms: int = -1  # up to then, the waiting of its ready tasks is accounted for
    wait_cause: WaitCause = WaitCause.PASS  # what the last pass over the queue found
    preempted_ms: int = -1_000_000  # when runs were last stopped for it
    queued_in: str | None = None  # the service whose queue holds it
    members: Counter[int] = field(default_factory=Counter)  # open runs by number; a gang's share theirs

    @property
    def group(self) -> tuple[str, int, int]:
        """(job, time, step): what anti-affinity counts by."""
        return (self.occurrence.job.id, self.occurrence.number, self.index)

    @property
    def resources(self) -> Resources:
        """What each of its tasks asks for."""
        return Resources(self.spec.cpu, self.spec.mem_mb, self.spec.gpu)

    def failed_runs(self) -> int:
        """How many runs of the gang have failed: a run counts once, however many members say so."""
        return len({number for task in self.tasks for number in task.failed})

    def run_opened(self, run: Run) -> None:
        """A run of one of its tasks may be somewhere from now on."""
        run.task.runs.append(run)
        self.members[run.number] += 1

    def run_closed(self, run: Run) -> None:
        """The run is over for certain."""
        run.task.runs.remove(run)
        self.members[run.number] -= 1
        if not self.members[run.number]:
            del self.members[run.number]

    def open_runs(self) -> list[Run]:
        """Runs of its tasks that may still be there."""
        return [run for task in self.tasks for run in task.runs]


@dataclass(slots=True, eq=False)
class Occurrence:
    """One time K of a job (0 where there are no times)."""

    job: Job
    number: int
    due_wall_ms: int
    steps: list[Step] = field(default_factory=list)
    steps_left: int = 0
    finished: bool = False


@dataclass(slots=True, eq=False)
class Job:
    """A job, from its submission until it is forgotten."""

    id: str
    route: str
    terms: Terms
    accepted_wall_ms: int
    body: bytes
    spec: JobSpec | None  # None once it has ended
    state: JobState = JobState.ACCEPTING
    shown: JobState = JobState.ACCEPTING  # as far as it is durable: what clients are told
    submitted: bool = True
    kept_bytes: int = 0  # what it may take in the store until it has ended
    started: bool = False
    chain: list[int] = field(default_factory=list)
    open: dict[int, Occurrence] = field(default_factory=dict)
    next_occurrence: int = 0
    done_below: int = 0
    done_above: set[int] = field(default_factory=set)
    ended_wall_ms: int = 0
    accepted: list[Callable[[], None]] = field(default_factory=list)  # to be called once it is durable
    history: object | None = None  # the recorder's notes on it, which end with the job
    times: object | None = None  # where its time went, for the newest jobs (`flintfield.jobs.timing`)

    def __post_init__(self) -> None:
        if self.spec is not None:
            self.chain = longest_chain_ms(self.spec.steps)

    @property
    def ended(self) -> bool:
        """Whether it needs no more work."""
        return self.state in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)

    def become_active(self) -> None:
        """Its acceptance is durable."""
        self._change(JobState.ACTIVE)
        self.shown = JobState.ACTIVE

    def end(self, state: JobState, wall_ms: int) -> None:
        """It has ended; clients are told once that is durable (`show_end`)."""
        self._change(state)
        self.ended_wall_ms = wall_ms
        self.open = {}
        self.spec = None
        self.body = b""

    def show_end(self) -> None:
        """Its end is durable."""
        self.shown = self.state

    def occurrence_done(self, number: int) -> None:
        """All tasks of that time have ended `done`."""
        self.open.pop(number, None)
        self.done_above.add(number)
        while self.done_below in self.done_above:
            self.done_above.remove(self.done_below)
            self.done_below += 1

    def is_done(self, number: int) -> bool:
        """Whether that time is done."""
        return number < self.done_below or number in self.done_above

    def _change(self, new: JobState) -> None:
        if (self.state, new) not in JOB_CHANGES:
            raise IllegalChange(f"job {self.id}: {self.state.name} to {new.name}")
        self.state = new
