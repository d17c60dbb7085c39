"""Messages about jobs between schedulers, the dispatcher and the agents.

The dispatcher is the one scheduler that acts for the whole cluster, fenced by its epoch. The other schedulers
forward clients' calls to it as `JobCall`. An agent opens a connection to the dispatcher and sends
`AgentReport`; the dispatcher sends `AgentOrders` on the same connection. Stamps are milliseconds of the
sender's own monotonic clock and are not comparable between machines.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from flintfield.transport.records import record


class Method(enum.IntEnum):
    """The operation that a client requests."""

    SUBMIT = 1
    STATUS = 2
    CANCEL = 3
    COUNT = 4


@record(100)
@dataclass(frozen=True, slots=True)
class JobCall:
    """A client's call, as parsed by the scheduler that received it.

    `path` is the full path; the dispatcher finds the queue by host and longest prefix. `version` is the
    newest configuration version whose effect this scheduler has shown; the dispatcher must not answer by an
    older one.
    """

    method: Method
    host: str
    path: str
    body: bytes
    version: int


@record(101)
@dataclass(frozen=True, slots=True)
class JobAnswer:
    """The answer to a `JobCall`: an HTTP status, a JSON body and the retry delay in ms (0: none).

    `version` is the configuration version that the answer is based on.
    """

    status: int
    body: bytes
    retry_after_ms: int
    version: int


@record(102)
@dataclass(frozen=True, slots=True)
class NotDispatcher:
    """The process is not the dispatcher; `leader` is the RPC address of the likely one, or ""."""

    epoch: int
    leader: str


@dataclass(frozen=True, slots=True)
class Run:
    """A run listed as running: `saved` is its newest checkpoint, `percent` its progress."""

    task: str
    run: int
    saved: str
    percent: int


class RunResult(enum.IntEnum):
    """How a run ended, as reported by the worker."""

    DONE = 1
    FAILED = 2
    STOPPED = 3
    LAPSED = 4
    BROKEN = 5
    ALONE = 6


@dataclass(frozen=True, slots=True)
class End:
    """An ended run listed by a worker; `number` counts from 1 within one incarnation of the worker."""

    number: int
    task: str
    run: int
    how: RunResult
    saved: str


class Outcome(enum.IntEnum):
    """Result of an order at the worker."""

    DONE = 1  # 200: the run exists (start), or can never exist again (stop)
    FENCE = 2  # 409 `fence`: a newer dispatcher has already contacted the worker
    OLD = 3  # 409 `old`: this run or a later one has ended or was stopped there
    LATE = 4  # 409 `late`: the hold had expired
    ROOM = 5  # 409 `room`: the worker has too little free capacity
    DRAINING = 6  # the agent starts nothing on a draining worker
    GONE = 7  # 421, or another incarnation has replaced this one, which runs nothing any more
    BUSY = 8  # 429 or 503: the worker took no action
    BAD = 9  # 400
    UNKNOWN = 10  # no answer after several tries: it may have been carried out or may still be


@dataclass(frozen=True, slots=True)
class OrderResult:
    """Result of the order with this id; `stamp_ms` is when the answer arrived, by the agent's clock."""

    order: int
    outcome: Outcome
    stamp_ms: int


@dataclass(frozen=True, slots=True)
class WorkerState:
    """A worker's state from its newest heartbeat, in the units of the protocol (millicores, MB)."""

    instance: str
    service: str
    address: str
    zone: str
    draining: bool
    cpu: int
    memory_mb: int
    gpu: int
    labels: tuple[str, ...]
    remaining_ms: int
    slots: int
    cold_left_ms: int


@record(103)
@dataclass(frozen=True, slots=True)
class AgentReport:
    """An agent's report about the worker on its machine.

    `machine` names the agent's machine, and `boot` identifies the agent's process since its last restart.
    `instance` is the incarnation of the worker that the rest is about ("": none is known, or the agent is of
    a release that names it in `worker` alone). `worker` is its state; None before its first heartbeat to this
    process, and once it has deregistered and is over. `deregistered` means that it ends and takes no more
    starts; it may still run what it has. It is over if `lapsed` is set too and `worker` is None: it runs
    nothing, and all its ends are acknowledged. `fenced_epoch` is the highest
    epoch that this incarnation of the worker has answered to. `listing_stamp` is when the call that returned
    `running` was sent (-1: the report holds no list of runs, as none was taken since the agent's restart, or
    the dispatcher was told the newest one). `finished` holds all ends that are not forgotten yet. `silent_ms`
    is the time since the worker last answered a call. `lapsed` means that no run is left there for certain:
    the longest hold ever granted has expired even by the slowest clock allowed. `complete_listing` means that
    the answer with `running` left no end out, so that a run in neither list does not exist (False: an agent
    of a release that did not check).
    """

    machine: str
    boot: int
    stamp_ms: int
    wall_ms: int
    worker: WorkerState | None
    fenced_epoch: int
    listing_stamp: int
    running: tuple[Run, ...]
    finished: tuple[End, ...]
    results: tuple[OrderResult, ...]
    silent_ms: int
    lapsed: bool
    complete_listing: bool = False
    instance: str = ""
    deregistered: bool = False

    @property
    def subject(self) -> str:
        """The incarnation that the report is about, or ""."""
        return self.worker.instance if self.worker is not None else self.instance

    @property
    def last_end(self) -> int:
        """The highest number of the ends (0: there is none)."""
        return max((end.number for end in self.finished), default=0)

    @property
    def is_over(self) -> bool:
        """Whether the incarnation has deregistered, runs nothing, and has no end left to acknowledge."""
        return self.worker is None and self.deregistered and self.lapsed


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start a run; idempotent."""

    order: int
    task: str
    run: int
    spec: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop a run, or prevent it from ever starting; idempotent."""

    order: int
    task: str
    run: int


@record(104)
@dataclass(frozen=True, slots=True)
class AgentOrders:
    """Orders of the dispatcher of `epoch` for the worker incarnation `instance`.

    `echo_stamp` is the stamp of the newest report that was granted a hold; the worker may be held until
    `hold_ms` after it by the agent's clock, and no longer. Ends up to `last_seen` are durable and may be
    forgotten. The agent obeys the highest epoch that it has seen and ignores lower ones. `patience_ms` is the
    delay with which ends may be reported without loss (0: not set).
    """

    epoch: int
    instance: str
    echo_stamp: int
    hold_ms: int
    last_seen: int
    starts: tuple[StartOrder, ...]
    stops: tuple[StopOrder, ...]
    patience_ms: int = 0
