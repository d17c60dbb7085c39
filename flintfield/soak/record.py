"""What was seen in a soak run. Times are seconds of one steady clock."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from flintfield.soak.worker_events import WorkerEvents


class CallEnd(enum.Enum):
    """How a call over an open connection ended."""

    ANSWERED = "answered"
    UNSENT = "the connection was gone before the whole request had left"
    CUT = "the connection ended without a complete answer"
    SILENT = "nothing came in time"


@dataclass(frozen=True, slots=True)
class CallSeen:
    """A client's or the operator's call; `status` is 0 where it was not answered."""

    machine: str
    method: str
    path: str
    sent_s: float
    ended_s: float
    end: CallEnd
    status: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationSeen:
    """A version that was acknowledged (`by_change`) or read."""

    machine: str
    version: int
    sent_s: float
    answered_s: float
    by_change: bool


@dataclass(slots=True)
class JobSeen:
    """A job, when it was first accepted, and the state that was shown last."""

    id: str
    accepted_s: float
    state: str = ""


@dataclass(frozen=True, slots=True)
class Trouble:
    """A span in which a machine's process was killed, down or frozen, all without notice."""

    machine: str
    begin_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class StopSeen:
    """A process that got SIGTERM: how long it took to end, and its exit code (None: it did not end)."""

    machine: str
    took_s: float
    exit_code: int | None


@dataclass(slots=True)
class Record:
    """Everything that was seen in one run."""

    calls: list[CallSeen] = field(default_factory=list)
    configurations: list[ConfigurationSeen] = field(default_factory=list)
    jobs: dict[str, JobSeen] = field(default_factory=dict)
    troubles: list[Trouble] = field(default_factory=list)
    stops: list[StopSeen] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)  # ends that nobody asked for
    errors: list[str] = field(default_factory=list)  # error lines in the logs
    worker_events: WorkerEvents = field(default_factory=WorkerEvents)
    actions_s: list[tuple[float, float]] = field(default_factory=list)  # when something was done to a process
    cancelled_s: dict[str, float] = field(default_factory=dict)  # jobs cancelled in calm: acknowledgement
    unsettled: list[str] = field(default_factory=list)  # what was not as it must be at the end
