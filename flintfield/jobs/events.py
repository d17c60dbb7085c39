"""Inputs (events) and outputs (effects) of the dispatcher."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from flintfield.jobs.messages import AgentOrders, AgentReport, JobAnswer, JobCall

Change = tuple[bytes, bytes | None]
"""A key and its new value; None deletes it."""


class Route(Protocol):
    """The fields of a configured route that the dispatcher uses."""

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
    """The part of a configuration that the dispatcher uses."""

    @property
    def version(self) -> int: ...
    @property
    def routes(self) -> Sequence[Route]: ...
    def find_route(self, host: str, path: str) -> Route | None: ...


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A client's call; exactly one `Answer` with the same number follows, immediately or after a write."""

    call: int
    request: JobCall


@dataclass(frozen=True, slots=True)
class ReportArrived:
    """A report from an agent."""

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
class ConfigurationConfirmed:
    """A majority has confirmed, since the election, that this configuration is the newest (None: there is
    none)."""

    configuration: Configuration | None


@dataclass(frozen=True, slots=True)
class Written:
    """The write with this number is durable on a majority of replicas; writes are confirmed in order."""

    write: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer; `wall_ms` is the cluster time of the coordination core."""

    wall_ms: int


Event = (
    CallArrived | ReportArrived | AgentLost | ConfigurationChanged | ConfigurationConfirmed | Written | Tick
)


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer a client's call."""

    call: int
    answer: JobAnswer


@dataclass(frozen=True, slots=True)
class Write:
    """Make these changes durable atomically, after all earlier writes."""

    write: int
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class SendOrders:
    """Send orders to the agent on a machine; they may be lost with the connection."""

    machine: str
    orders: AgentOrders


Effect = Answer | Write | SendOrders
