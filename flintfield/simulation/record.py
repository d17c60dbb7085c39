"""What clients, workers and the operator saw in a history: all that the judge reads. Times are true ms."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

Document = dict[str, Any]


@dataclass(slots=True)
class RunSeen:
    """A run, as the worker saw it that began it."""

    task: str
    run: int
    machine: str
    instance: str
    service: str
    labels: tuple[str, ...]
    spec: str
    checkpoint: str
    start_ms: float
    over_capacity: bool = False  # its start brought the worker over its capacity
    late: bool = False  # the order was carried out long after it was sent
    drain_acked_ms: float | None = None  # when the worker's word that it leaves was acknowledged
    held_of_step: int = 1  # how many tasks of its step the worker held then, itself included
    end_ms: float | None = None
    how: str = ""
    number: int = 0
    noted: bool = False  # `lastSeen` reached its end, and the hold had not lapsed in between
    listed_ms: float | None = None  # when the worker first listed its end
    lapsed_ms: float | None = None  # when the hold first lapsed after its end

    @property
    def job(self) -> str:
        """The job's ID."""
        return self.task.partition(".")[0]

    def ended_by(self, time_ms: float) -> bool:
        """Whether it was over by then."""
        return self.end_ms is not None and self.end_ms <= time_ms


@dataclass(slots=True)
class CallSeen:
    """A client's call to one scheduler; `status` 0 is silence or a cut."""

    method: str
    job: str
    path: str
    scheduler: str
    life: int
    sent_ms: float
    answered_ms: float
    status: int
    state: str = ""


@dataclass(slots=True)
class OrderSeen:
    """A change of the configuration, with all tries of the operator to have it taken."""

    name: str
    version: int
    base: int
    valid: bool
    document: Document
    sent_ms: float
    tries: list[tuple[float, float, int]] = field(default_factory=list)  # sent, answered, status

    @property
    def acked_ms(self) -> float | None:
        """When it was first acknowledged."""
        return min((answered for _, answered, status in self.tries if status == 200), default=None)

    @property
    def refused(self) -> bool:
        """Whether any try was refused for good."""
        return any(status in (400, 409, 412, 413, 422) for _, _, status in self.tries)


@dataclass(frozen=True, slots=True)
class ReadSeen:
    """A read of the configuration that was asked of a scheduler; `version` is None where it didn't come."""

    scheduler: str
    sent_ms: float
    answered_ms: float
    version: int | None


@dataclass(frozen=True, slots=True)
class Trouble:
    """A span in which a machine ("" for all of them) was in trouble."""

    machine: str
    begin_ms: float
    end_ms: float


@dataclass(frozen=True, slots=True)
class JobAsked:
    """A job as its client hands it in; `plan` tells what its tasks do (see `plans`)."""

    id: str
    path: str  # prefix of the queue
    queue: str
    body: Mapping[str, Any]
    max_attempts: int

    @property
    def steps(self) -> list[Document]:
        """Its steps, as sent."""
        steps: list[Document] = self.body["steps"]
        return steps

    @property
    def times(self) -> int:
        """How often its steps run."""
        return max(1, int(self.body.get("repeatCount", 0)))

    def step_of(self, task: str) -> Document:
        """The step that a task belongs to."""
        return self.steps[int(task.split(".")[2])]


@dataclass
class Record:
    """Everything that was seen."""

    jobs: dict[str, JobAsked] = field(default_factory=dict)
    runs: list[RunSeen] = field(default_factory=list)
    calls: list[CallSeen] = field(default_factory=list)
    orders: list[OrderSeen] = field(default_factory=list)
    reads: list[ReadSeen] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)
    saved: dict[str, set[str]] = field(default_factory=dict)  # texts that workers saved, by task or gang
    core: frozenset[str] = frozenset()  # machines that count for the quorum
    core_troubles: list[Trouble] = field(default_factory=list)
    wall_jumps: bool = False
    last_read: Document | None = None  # the configuration that was read back at the end
    crashes: list[str] = field(default_factory=list)  # exceptions that reached an event loop
    end_ms: float = 0.0
