"""The answers to the questions in `flintfield.observe.questions`: odd records from 301 on.

Ages and times are ms, amounts as on the wire (thousandths of a core, MB). -1 stands for unknown. A process
imports this module when it is asked for the first time: 1 MB that most processes never need.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from flintfield.coordination.messages import KnownLeader
from flintfield.coordination.model import CoreSet
from flintfield.jobs.recorder import JobEvent
from flintfield.jobs.states import RunState, TaskState
from flintfield.jobs.timing import Phase
from flintfield.transport.records import record


@dataclass(frozen=True, slots=True)
class Counter:
    """A counter of a part of the process, since its start (of the dispatcher: since its election)."""

    part: str
    name: str
    value: int


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """What a replica's store says: its identity, its core sets, its promises, where its items stand.

    `accepted_core`, `accepted_counter` are the ballot of the configuration that was accepted last;
    `configuration_version` is that one's (0: none; -1: in a form that this release can't read).
    """

    identity: int
    founding: bool
    active_core: CoreSet | None
    known_core: CoreSet | None
    successor_accepted: bool
    promised_epoch: int
    promised_candidate: int
    epoch: int
    sequence: int
    promised_core: int
    promised_counter: int
    accepted_core: int
    accepted_counter: int
    configuration_version: int
    jobs: int
    ended_jobs: int
    tasks: int
    other_items: int


@dataclass(frozen=True, slots=True)
class StoreStatus:
    """A store in use: records, bytes of its content and their bound, how long the write under way takes."""

    state: str
    records: int
    live_bytes: int
    most_live_bytes: int
    chain_bytes: int
    stalled_ms: int


@record(301)
@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """A scheduler's state. `configuration_since_ms` is the process's time of day at which it took up the
    version; `confirmed_ms_ago` is for how long that version may have been overtaken."""

    name: str
    role: str
    release: str
    zone: str
    address: str
    uptime_ms: int
    peak_memory_kb: int
    ready: bool
    leads: bool
    leader: KnownLeader | None
    core: CoreSet | None
    configuration_version: int
    configuration_since_ms: int
    confirmed_ms_ago: int
    replica: ReplicaStatus | None
    store: StoreStatus | None
    counters: tuple[Counter, ...]


class WorkerCondition(enum.IntEnum):
    """What keeps a worker from being given tasks, the weightiest first."""

    READY = 1
    UNKNOWN = 2  # known from durable placements only; its agent has not reported yet
    OUT_OF_TOUCH = 3  # no connection to its agent
    SILENT = 4  # it does not answer its agent
    DRAINING = 5
    UNWELL = 6  # it refused an order a moment ago
    QUARANTINED = 7  # not trusted: its runs failed or stood still while others' did not


@dataclass(frozen=True, slots=True)
class WorkerRow:
    """A worker. `price` is φ, `speed` is ζ (1.0: the mean), `load` is u; `runs` counts those that may be
    there; `report_ms_ago` is the age of the newest report that was granted a hold."""

    instance: str
    machine: str
    service: str
    zone: str
    rack: str
    labels: tuple[str, ...]
    condition: WorkerCondition
    trusted: bool
    cpu: int
    memory_mb: int
    gpu: int
    used_cpu: int
    used_memory_mb: int
    used_gpu: int
    runs: int
    price: float
    speed: float
    load: float
    report_ms_ago: int
    leaves_in_ms: int


@record(303)
@dataclass(frozen=True, slots=True)
class Workers:
    """A page of workers, and how many there are in all."""

    epoch: int
    total: int
    rows: tuple[WorkerRow, ...]


@dataclass(frozen=True, slots=True)
class JobRow:
    """A job. `tasks` and `tasks_done` count those of the times that are open now."""

    id: str
    queue: str
    service: str
    priority: int
    state: str
    accepted_wall_ms: int
    ended_wall_ms: int
    tasks: int
    tasks_done: int
    times: int
    times_done: int


@record(305)
@dataclass(frozen=True, slots=True)
class Jobs:
    """A page of jobs, and how many match in all."""

    epoch: int
    total: int
    rows: tuple[JobRow, ...]


class WaitReason(enum.IntEnum):
    """Why tasks wait."""

    NONE = 0  # they don't
    EARLIER_STEPS = 1
    BACKOFF = 2  # before the next try after a failure
    NO_WORKER = 3  # no worker of the service is known
    NONE_READY = 4  # workers are known, and none may be given tasks
    NO_LABEL = 5  # no ready worker has the labels that are asked for
    TOO_LARGE = 6  # no ready worker with the labels would have room if it were empty
    NO_ROOM = 7
    ANTI_AFFINITY = 8  # every worker with room holds as many tasks of the step as it may
    QUARANTINE = 9  # every worker with room is out of trust
    GANG = 10  # single members would fit; all together don't
    POLICY = 11  # there is room; the placement policy waits for a better worker, or the next pass
    UNANSWERED = 12  # its run is placed, and the worker has not answered the start yet


@dataclass(frozen=True, slots=True)
class TasksRow:
    """So many tasks of one step of one time stand alike."""

    time: int
    step: int
    state: TaskState
    reason: WaitReason
    tasks: int


@dataclass(frozen=True, slots=True)
class RunRow:
    """A run that may be there; `epoch` is of the dispatcher that placed it. `started_ms_ago` counts from the
    answer to its start order, or from the first listing that named it (-1: neither came yet)."""

    task: str
    run: int
    instance: str
    machine: str
    epoch: int
    state: RunState
    placed_ms_ago: int
    started_ms_ago: int
    percent: int


@dataclass(frozen=True, slots=True)
class EventRow:
    """An event of the job's history. `wall_ms` is common time (0: before it was known, at a takeover);
    `epoch` is of the dispatcher that placed the run, or that noted the event where there is no run."""

    wall_ms: int
    happening: JobEvent
    time: int
    step: int
    index: int
    run: int
    instance: str
    detail: str
    epoch: int


@dataclass(frozen=True, slots=True)
class PhaseRow:
    """A phase that jobs of a queue, or tasks of a job, went through: how many times (0: not counted), how
    long in all and the longest (ms). A task that waits is counted once for each reason that was found."""

    queue: str
    phase: Phase
    count: int
    total_ms: int
    longest_ms: int


@record(309)
@dataclass(frozen=True, slots=True)
class QueueTimesTable:
    """The phases of all queues."""

    epoch: int
    rows: tuple[PhaseRow, ...]


@record(307)
@dataclass(frozen=True, slots=True)
class JobDetail:
    """A job (None: not known), its tasks, its runs, and its newest events since the dispatcher's election.

    `cut` tells that there are more rows than are told; `earlier_events` counts those that were dropped.
    """

    epoch: int
    job: JobRow | None
    tasks: tuple[TasksRow, ...] = ()
    runs: tuple[RunRow, ...] = ()
    events: tuple[EventRow, ...] = ()
    earlier_events: int = 0
    failed_runs: int = 0
    cut: bool = False
    times: tuple[PhaseRow, ...] = ()  # of the newest jobs only
