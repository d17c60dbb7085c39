"""Events that the agent's core takes in, and effects that it wants carried out.

All times are milliseconds of the machine's steady clock unless a name says otherwise.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from flintfield.jobs.messages import AgentOrders, AgentReport, End, Run, WorkerState


class AnswerKind(enum.Enum):
    """What became of one call to the worker."""

    OK = "ok"
    FENCE = "fence"  # 409: the worker has seen a higher fencing token
    OLD = "old"  # 409: this run or a later one was stopped or has ended there
    LATE = "late"  # 409: the hold was over
    ROOM = "room"  # 409: the worker guards its capacity
    BAD = "bad"  # 400
    OTHER_INSTANCE = "other_instance"  # 421
    UNHEALTHY = "unhealthy"  # 429 or 503: nothing was done
    NOT_SENT = "not_sent"  # the connection was refused: nothing was done
    NONE = "none"  # time-out, reset, or an answer that can't be read: may have been done, or may yet be


@dataclass(frozen=True, slots=True)
class Answer:
    """The outcome of a call; `clock_ms` is the worker's clock, the lists are those of a hold answered OK.

    `too_many_runs`: the worker listed more runs than are taken in, so that `running` is empty.
    """

    kind: AnswerKind
    clock_ms: int | None = None
    running: tuple[Run, ...] = ()
    finished: tuple[End, ...] = ()
    too_many_runs: bool = False


@dataclass(frozen=True, slots=True)
class RunStart:
    """Body of `/-/run-start`."""

    task: str
    run: int
    spec: str
    checkpoint: str
    expires_ms: int
    fence: int


@dataclass(frozen=True, slots=True)
class RunStop:
    """Body of `/-/run-stop`."""

    task: str
    run: int
    fence: int


@dataclass(frozen=True, slots=True)
class Hold:
    """Body of `/-/hold`; without `expires_ms` it only asks for the lists."""

    fence: int
    last_seen: int
    expires_ms: int | None
    wait_ms: int


WorkerRequest = RunStart | RunStop | Hold


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat of the worker; `clock_ms` is None where it told no clock."""

    state: WorkerState
    seq: int
    clock_ms: int | None


@dataclass(frozen=True, slots=True)
class Deregistered:
    """The worker has said that it ends."""

    instance: str


@dataclass(frozen=True, slots=True)
class OrdersArrived:
    """The dispatcher has answered a report."""

    orders: AgentOrders


@dataclass(frozen=True, slots=True)
class WorkerAnswered:
    """A call to the worker has ended, with or without an answer."""

    call: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class LinkOpened:
    """A new connection to a dispatcher wants its first report."""


@dataclass(frozen=True, slots=True)
class Tick:
    """A time that `wake_at` has named is reached."""


@dataclass(frozen=True, slots=True)
class Stopping:
    """The process is to end: start nothing more, let calls that are under way finish."""


Event = Heartbeat | Deregistered | OrdersArrived | WorkerAnswered | LinkOpened | Tick | Stopping


@dataclass(frozen=True, slots=True)
class CallWorker:
    """Send this request to the worker; its end is told by `WorkerAnswered` within `timeout_ms`."""

    call: int
    instance: str
    address: str
    timeout_ms: int
    request: WorkerRequest


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send this report to the dispatcher; `wall_ms` is left for the shell to fill in."""

    report: AgentReport


@dataclass(frozen=True, slots=True)
class LookForLeader:
    """The worker has answered to a newer dispatcher than the one known here."""


Effect = CallWorker | SendReport | LookForLeader
