"""State shared by the dispatcher's components: tables, the pending batch of changes, and effects."""

from __future__ import annotations

import random
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from flintfield.jobs import durable
from flintfield.jobs.bounds import DispatcherBounds
from flintfield.jobs.estimates import Paces
from flintfield.jobs.events import Change, Configuration, Effect, SendOrders, Write
from flintfield.jobs.messages import AgentOrders, JobAnswer
from flintfield.jobs.model import Job, Run, Task
from flintfield.jobs.patience import patience_ms
from flintfield.jobs.recorder import JobEvent, Recorder
from flintfield.jobs.queues import ServiceQueue
from flintfield.jobs.timing import Timing
from flintfield.jobs.worker_record import WorkerRecord
from flintfield.placement.interface import Placement, Worker

ORDER_BITS = 32  # width of an order's number below its epoch; answers to a predecessor's orders match none
MAX_STARTS_SENT = 64  # per message, as each start may carry 4,000 bytes
MAX_OUTSTANDING_WRITES = 8  # above this, changes are collected in the next batch
MANY_RUNS = 64  # on a worker: its patience is computed every `PATIENCE_PERIOD_MS` instead of for each message
PATIENCE_PERIOD_MS = 100
CONFIRMATION_WAIT_MS = 1_000  # after an election, for the configuration; as long as an election takes
MAX_BATCH_BYTES = 1 << 20  # above this, they leave without waiting: a write must fit into one message


@dataclass(slots=True)
class Counters:
    """Counters for the log and the operator."""

    accepted: int = 0
    refused: int = 0
    refused_ids: int = 0  # of `refused`: the ID is that of another job, or of runs of a forgotten one
    refused_places: int = 0  # of `refused`: the workers get no more runs (`flintfield.jobs.run_tables`)
    malformed: int = 0
    dropped_marks: int = 0  # of cancelled unknown IDs, for lack of room
    starts: int = 0
    lost_runs: int = 0
    vanished_runs: int = 0
    stalled_runs: int = 0
    preempted_runs: int = 0
    copies: int = 0
    strays: int = 0
    ends: int = 0
    bad_placements: int = 0


class DispatcherState:
    """The tables, and the effects of the current event so far."""

    def __init__(
        self,
        epoch: int,
        now_ms: int,
        bounds: DispatcherBounds,
        placement: Placement,
        rng: random.Random,
        configuration: Configuration | None,
    ) -> None:
        self.epoch = epoch
        self.now_ms = now_ms
        self.elected_ms = now_ms
        self.bounds = bounds
        self.placement = placement
        self.rng = rng
        self.configuration = configuration
        self.configuration_confirmed = True
        self.terms_confirmed = True  # all jobs have taken up the confirmed configuration
        self.counters = Counters()
        self.recorder: Recorder | None = None
        self.jobs: dict[str, Job] = {}
        self.ended: deque[tuple[int, Job]] = deque()  # (cluster time of the end, job), oldest first
        self.marks: deque[Job] = deque()  # `cancel_marks`: cancelled IDs that no job has, oldest first
        self.pending: Counter[str] = Counter()  # by queue: jobs that have not ended
        self.runs_of_job: Counter[str] = Counter()  # by ID: runs that may exist, also of forgotten jobs
        self.kept_bytes = 0  # upper bound of the store size of the jobs that have not ended
        self.workers: dict[str, WorkerRecord] = {}
        self.placeable: dict[str, Worker] = {}  # workers named by reports; visible to the placement policy
        self.by_machine: dict[str, str] = {}
        self.removed_incarnations: OrderedDict[str, None] = OrderedDict()
        self.services: dict[str, ServiceQueue] = {}
        self.paces = Paces()
        self.timing = Timing()
        self.speculative: dict[Task, None] = {}  # placed tasks that may get a copy
        self._wall_ms: int | None = None
        self._wall_at_ms = now_ms
        self._effects: list[Effect] = []
        self._changes: dict[bytes, bytes | None] = {}
        self._changes_bytes = 0
        self._after: list[Callable[[], None]] = []
        self._outstanding: OrderedDict[int, list[Callable[[], None]]] = OrderedDict()
        self._write = 0
        self._order = epoch << ORDER_BITS
        self._to_send: dict[str, WorkerRecord] = {}

    # Time

    def set_wall(self, wall_ms: int) -> None:
        """Set the cluster time."""
        self._wall_ms = wall_ms
        self._wall_at_ms = self.now_ms

    @property
    def wall_known(self) -> bool:
        """Whether the cluster time was ever set."""
        return self._wall_ms is not None

    @property
    def wall_ms(self) -> int:
        """The current cluster time, advanced by the monotonic clock since it was last set."""
        return (self._wall_ms or 0) + self.now_ms - self._wall_at_ms

    def awaits_configuration(self, now_ms: int) -> bool:
        """Whether nothing may be decided yet, as the configuration may have changed before the election.

        The wait is bounded: then tasks are placed by the configuration that is known. Until all
        jobs have taken up a confirmed one, nothing is decided that it may show to be wrong: a task that has
        failed is neither placed nor failed.
        """
        return not self.configuration_confirmed and now_ms < self.elected_ms + CONFIRMATION_WAIT_MS

    # Writes

    def put(self, key: bytes, value: bytes | None) -> None:
        """Add a change to the next write; None deletes the key."""
        self._changes[key] = value
        self._changes_bytes += len(key) + (len(value) if value is not None else 0)

    def after_write(self, action: Callable[[], None]) -> None:
        """Call `action` once all changes so far are durable."""
        self._after.append(action)

    def written(self, write: int) -> None:
        """Handle the confirmation that a write and all earlier ones are durable."""
        while self._outstanding and next(iter(self._outstanding)) <= write:
            _, actions = self._outstanding.popitem(last=False)
            for action in actions:
                action()

    def write_task(self, task: Task) -> None:
        """Write the task's current state, or delete its record if it is no longer needed."""
        occurrence = task.step.occurrence
        over = occurrence.finished or task.job.ended
        if over and not task.runs:
            if task.recorded:
                self.put(durable.task_key(task.name), None)
                task.recorded = False
            return
        self.put(durable.task_key(task.name), durable.encode_task(task))
        task.recorded = True

    def record(self, job: Job, happening: JobEvent, run: Run | None = None, detail: str = "") -> None:
        """Notify the recorder, if there is one."""
        if self.recorder is not None:
            self.recorder.note(self.wall_ms, job, happening, run, detail)

    # Effects

    def emit(self, effect: Effect) -> None:
        """Add an effect."""
        self._effects.append(effect)

    def flush(self) -> list[Effect]:
        """Return all effects of the current event."""
        self._flush_writes()
        for record in self._to_send.values():
            self._flush_orders(record)
        self._to_send = {}
        effects, self._effects = self._effects, []
        return effects

    def _flush_writes(self) -> None:
        while self._after and not self._changes:
            actions, self._after = self._after, []
            if self._outstanding:
                self._outstanding[next(reversed(self._outstanding))].extend(actions)
                return
            for action in actions:
                action()
        may_wait = len(self._outstanding) >= MAX_OUTSTANDING_WRITES
        if self._changes and (not may_wait or self._changes_bytes >= MAX_BATCH_BYTES):
            self._write += 1
            changes: tuple[Change, ...] = tuple(self._changes.items())
            self._outstanding[self._write] = self._after
            self._changes, self._changes_bytes, self._after = {}, 0, []
            self.emit(Write(self._write, changes))

    # Orders

    def next_order(self) -> int:
        """Allocate an order number."""
        self._order += 1
        return self._order

    def send_to(self, record: WorkerRecord) -> None:
        """Send this worker its unsent orders at the end of the current event."""
        self._to_send[record.instance] = record

    def _flush_orders(self, record: WorkerRecord) -> None:
        if not record.connected or record.stamp_ms < 0:
            return  # sent again from `orders` with the next report
        stops = record.take_stops(self.now_ms)
        starts = record.take_starts(self.now_ms)
        while True:
            orders = AgentOrders(
                self.epoch,
                record.instance,
                record.granted_stamp,
                self.bounds.hold,
                record.last_seen,
                starts[:MAX_STARTS_SENT],
                stops,
                self._patience_ms(record),
            )
            self.emit(SendOrders(record.worker.machine, orders))
            starts, stops = starts[MAX_STARTS_SENT:], ()
            if not starts:
                return

    def _patience_ms(self, record: WorkerRecord) -> int:
        if len(record.runs) > MANY_RUNS and self.now_ms - record.patience_at_ms < PATIENCE_PERIOD_MS:
            return record.patience_ms
        record.patience_ms, record.patience_at_ms = self._compute_patience_ms(record), self.now_ms
        return record.patience_ms

    def _compute_patience_ms(self, record: WorkerRecord) -> int:
        queue = self.services.get(record.worker.service)
        tasks_wait = queue is not None and queue.waits_for_room(record.worker)
        return patience_ms(record.runs.values(), tasks_wait, self.paces, self.now_ms, self.wall_ms)

    # Tables

    def service(self, name: str) -> ServiceQueue:
        """The queue of this service; created if missing."""
        queue = self.services.get(name)
        if queue is None:
            queue = self.services[name] = ServiceQueue(name)
        return queue

    def record_of(self, run: Run) -> WorkerRecord | None:
        """The record of the run's worker."""
        return self.workers.get(run.instance)

    def count_run(self, run: Run) -> None:
        """Add a run's resources to the use of its worker."""
        record = self.workers[run.instance]
        record.runs[run.name, run.number] = run
        worker = record.worker
        worker.used = worker.used.plus(run.resources)
        worker.runs += 1
        self.runs_of_job[run.task.job.id] += 1
        group = run.task.step.group
        worker.task_counts[group] = worker.task_counts.get(group, 0) + 1

    def uncount_run(self, run: Run) -> None:
        """Remove a closed run's resources from the use of its worker, which may be gone."""
        self._uncount_run_of_job(run.task.job.id)
        record = self.workers.get(run.instance)
        if record is None or record.runs.pop((run.name, run.number), None) is None:
            return
        worker = record.worker
        worker.used = worker.used.minus(run.resources)
        worker.runs -= 1
        group = run.task.step.group
        held = worker.task_counts.get(group, 0) - 1
        if held > 0:
            worker.task_counts[group] = held
        else:
            worker.task_counts.pop(group, None)
        self.service(worker.service).dirty = True

    def _uncount_run_of_job(self, job_id: str) -> None:
        self.runs_of_job[job_id] -= 1
        if not self.runs_of_job[job_id]:
            del self.runs_of_job[job_id]

    def answer(self, status: int, body: bytes = b"{}", retry_after_ms: int = 0) -> JobAnswer:
        """Build an answer based on the configuration in force."""
        version = self.configuration.version if self.configuration is not None else 0
        return JobAnswer(status, body, retry_after_ms, version)

    def remember_ended(self, job: Job) -> None:
        """Keep an ended job for `keep_ended_ms` after its end."""
        self.ended.append((job.ended_wall_ms, job))
