"""What the dispatcher is told (events) and what it wants done (effects)."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from flintfield.jobs.messages import AgentOrders, AgentReport, JobAnswer, JobCall

Change = tuple[bytes, bytes | None]
"""A key and its new value; None deletes it."""


class Route(Protocol):
    """What the dispatcher reads of a route of the configuration."""

    @property
    def name(self) -> str: ...
    @property
    def path_prefix(self) -> str: ...
    @property
    def service(self) -> str: ...
    @property
    def priority(self) -> int: ...
    @property
    def max_attempts(self) -> int: ...
    @property
    def extension(self) -> float: ...
    @property
    def target_latency_ms(self) -> int: ...


class Configuration(Protocol):
    """What the dispatcher reads of a configuration."""

    @property
    def version(self) -> int: ...
    @property
    def routes(self) -> Sequence[Route]: ...
    def find_route(self, host: str, path: str) -> Route | None: ...


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A client's call; exactly one `Answer` with the same number follows, at once or after a write."""

    call: int
    request: JobCall


@dataclass(frozen=True, slots=True)
class ReportArrived:
    """An agent's report."""

    report: AgentReport


@dataclass(frozen=True, slots=True)
class AgentLost:
    """The connection to the agent on this machine has closed."""

    machine: str


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A newer configuration is in force."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Written:
    """The write with this number is durable at a majority; writes come back in order."""

    write: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; `wall_ms` is the common time of the core."""

    wall_ms: int


Event = CallArrived | ReportArrived | AgentLost | ConfigurationChanged | Written | Tick


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer that call."""

    call: int
    answer: JobAnswer


@dataclass(frozen=True, slots=True)
class Write:
    """Make these changes durable, all or none, after all earlier writes."""

    write: int
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class SendOrders:
    """Send this to the agent on that machine; may be lost with its connection."""

    machine: str
    orders: AgentOrders


Effect = Answer | Write | SendOrders
