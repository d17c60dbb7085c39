"""Jobs, occurrences, steps, tasks and runs, with one method for every state transition.

A job has one occurrence, or one per scheduled time. An occurrence contains the job's steps, a step its tasks,
a task its runs. A task outlives its runs. A run outlives its job while it may still occupy capacity on a
worker.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from flintfield.jobs.body import JobSpec, StepSpec, fingerprint, longest_chain_ms
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

Shape = tuple[object, ...]


@dataclass(slots=True, eq=False)
class Run:
    """One execution of a task on one worker. It occupies capacity there until it is `CLOSED`."""

    task: Task
    number: int
    instance: str
    machine: str
    epoch: int
    resources: Resources
    checkpoint: str
    placed_ms: int
    state: RunState = RunState.PLACING
    order: int = 0  # number of the newest order for it
    answered_stamp: int | None = None  # agent's stamp from which listings show the order's full effect
    stop_answered: bool = False
    ordered_ms: int = -1  # when its start order was first sent
    started_ms: int = -1  # when its start was answered, or it was first seen running
    first_seen_ms: int = -1  # when it was first listed as running
    percent: int = 0
    first_percent: int = 0  # progress when it was first listed
    percent_at_ms: int = -1  # when `percent` last changed
    duration_factor: float = 1.0  # above 1 if it runs away from its data or from its step's other tasks
    suspect: bool = False  # it was stopped because it stalled or was slow

    @property
    def name(self) -> str:
        """The task's name on the wire."""
        return self.task.name

    def order_sent(self, order: int, now_ms: int) -> None:
        """Record that its start order is being sent."""
        if self.ordered_ms < 0:
            self.ordered_ms = now_ms
        if self.state is not RunState.ORDERED:
            self._change(RunState.ORDERED)
        self.order = order
        self.answered_stamp = None

    def order_answered(self, stamp_ms: int, now_ms: int) -> None:
        """Record that its newest order was carried out; listings requested from `stamp_ms` on show it."""
        self.answered_stamp = stamp_ms
        if self.started_ms < 0:
            self.started_ms = self.percent_at_ms = now_ms

    def seen_running(self, now_ms: int, percent: int) -> None:
        """Record that a listing shows it as running."""
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
        """Record that a stop order is being sent, possibly again."""
        if self.state is not RunState.STOPPING:
            self._change(RunState.STOPPING)
        self.order = order
        self.answered_stamp = None

    def close(self) -> None:
        """Record that it no longer occupies the worker."""
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
    moves: int = 0  # times that it was stopped because it stalled or was slow
    preempted: int = 0  # times that it was stopped for a step with a smaller priority number
    consecutive_short_runs: int = 0  # of a long-running task; they increase the backoff
    ready_ms: int = -1  # when it last became ready
    done_ms: int = -1  # when a listing first showed a run of the task after it was done
    recorded: bool = False  # whether the store holds a record of it

    @property
    def job(self) -> Job:
        """The job that the task belongs to."""
        return self.step.occurrence.job

    def add_failed(self, *runs: int) -> None:
        """Record runs that ended `failed`."""
        self.failed = (*self.failed, *runs)
        self.step.failed_runs.update(runs)

    def become_ready(self) -> None:
        """The task may be placed."""
        self._change(TaskState.READY)

    def become_delayed(self) -> None:
        """The task waits for a backoff before its next run."""
        self._change(TaskState.DELAYED)

    def become_placed(self) -> None:
        """A run of the task may exist on a worker."""
        if self.state is not TaskState.PLACED:
            self._change(TaskState.PLACED)

    def become_done(self) -> None:
        """A run of the task or of its gang has ended `done`."""
        self._change(TaskState.DONE)

    def _change(self, new: TaskState) -> None:
        if (self.state, new) not in TASK_CHANGES:
            raise IllegalChange(f"task {self.name}: {self.state.name} to {new.name}")
        self.state = new


@dataclass(slots=True, eq=False)
class Step:
    """One step of an occurrence. `ready` holds the tasks that may be placed, by index."""

    occurrence: Occurrence
    index: int
    spec: StepSpec
    left: int
    earlier_left: int
    rank: float = 0.0
    serial: int = 0  # tie-breaker between steps of the same rank: the one ranked first goes first
    tasks: list[Task] = field(default_factory=list)
    ready: dict[int, Task] = field(default_factory=dict)
    ready_since_ms: int = -1
    waiting_since_ms: int = -1  # the waiting time of its ready tasks is recorded up to here
    wait_cause: WaitCause = WaitCause.PASS  # as found by the last pass over the queue
    preempted_ms: int = -1_000_000  # when runs were last preempted for it
    queued_in: str | None = None  # the service in whose queue it waits
    members: Counter[int] = field(default_factory=Counter)  # open runs by number; gang members share one
    failed_runs: set[int] = field(default_factory=set)  # of a gang: a run counts once, however many failed
    broken_run: int = 0  # of a gang: the newest run whose other members were stopped, as one has ended
    shape: Shape = ()  # steps of one shape have the same demand: if one finds no room, none does

    def __post_init__(self) -> None:
        apart = self.spec.anti_affinity or self.spec.same_rack or self.spec.gang
        self.shape = (id(self),) if apart else self.spec.demand

    @property
    def group(self) -> tuple[str, int, int]:
        """(job, occurrence, step): the key by which anti-affinity counts tasks."""
        return (self.occurrence.job.id, self.occurrence.number, self.index)

    @property
    def resources(self) -> Resources:
        """The resources requested by each task."""
        return Resources(self.spec.cpu, self.spec.mem_mb, self.spec.gpu)

    def run_opened(self, run: Run) -> None:
        """Add a run of one of its tasks that may exist from now on."""
        run.task.runs.append(run)
        self.occurrence.job.open_runs += 1
        self.members[run.number] += 1

    def run_closed(self, run: Run) -> None:
        """Remove a run that has certainly ended."""
        run.task.runs.remove(run)
        self.occurrence.job.open_runs -= 1
        self.members[run.number] -= 1
        if not self.members[run.number]:
            del self.members[run.number]

    def open_runs(self) -> list[Run]:
        """Runs of its tasks that may still exist."""
        return [run for task in self.tasks for run in task.runs]


@dataclass(slots=True, eq=False)
class Occurrence:
    """The occurrence K of a job (0 for a job without a schedule)."""

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
    fingerprint: bytes = b""  # of its body, once it has ended; b"": not known
    state: JobState = JobState.ACCEPTING
    durable_state: JobState = JobState.ACCEPTING  # the durable state, which is shown to clients
    submitted: bool = True
    address: str = ""  # its queue's host and prefix at its acceptance; "": stored by a former release
    accepted_route: str = ""  # its queue's name at its acceptance; `route` is its name now
    queue_recorded: bool = False  # whether the store has its `QueueRecord`
    kept_bytes: int = 0  # upper bound of its size in the store until it has ended
    started: bool = False
    open_runs: int = 0  # of its tasks, that may still exist
    chain: list[int] = field(default_factory=list)
    open: dict[int, Occurrence] = field(default_factory=dict)
    next_occurrence: int = 0
    done_below: int = 0
    done_above: set[int] = field(default_factory=set)
    ended_wall_ms: int = 0
    history: object | None = None  # the recorder's entries about it, dropped with the job
    times: object | None = None  # its phase times, kept for the newest jobs (`flintfield.jobs.timing`)

    def __post_init__(self) -> None:
        self.accepted_route = self.accepted_route or self.route
        if self.spec is not None:
            self.chain = longest_chain_ms(self.spec.steps)

    @property
    def ended(self) -> bool:
        """Whether the job has ended."""
        return self.state in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)

    def become_active(self) -> None:
        """Record that its acceptance is durable."""
        self._change(JobState.ACTIVE)
        self.durable_state = JobState.ACTIVE

    def end(self, state: JobState, wall_ms: int) -> None:
        """End the job; clients see the end once it is durable (`show_end`)."""
        self._change(state)
        self.ended_wall_ms = wall_ms
        self.open = {}
        if self.spec is not None:
            self.fingerprint = fingerprint(self.spec)
        self.spec = None
        self.body = b""

    def show_end(self) -> None:
        """Record that its end is durable."""
        self.durable_state = self.state

    def occurrence_done(self, number: int) -> None:
        """Record that all tasks of an occurrence are done."""
        self.open.pop(number, None)
        self.done_above.add(number)
        while self.done_below in self.done_above:
            self.done_above.remove(self.done_below)
            self.done_below += 1

    def is_done(self, number: int) -> bool:
        """Whether an occurrence is done."""
        return number < self.done_below or number in self.done_above

    def _change(self, new: JobState) -> None:
        if (self.state, new) not in JOB_CHANGES:
            raise IllegalChange(f"job {self.id}: {self.state.name} to {new.name}")
        self.state = new
