"""What the judge says of a run: service, the four rules and their violations, and cost."""

from __future__ import annotations

from typing import Literal

import msgspec

Rule = Literal["answer", "repeat", "drain", "cold"]
"""`answer`: one final answer for each request taken, in time, of what a node made. `repeat`: nothing that may
have run and must not twice is sent again or refused, never two attempts at once. `drain`: nothing new to a
draining or gone node after the grace. `cold`: no cold node pushed over by all together."""


class Violation(msgspec.Struct, frozen=True):
    """One broken rule; `proof` holds the places of the log's records that prove it, from 0."""

    rule: Rule
    at: float  # ms from the run's start
    word: str  # one sentence for people
    proof: tuple[int, ...]


class ClassService(msgspec.Struct, frozen=True):
    """One class: worth in time over worth asked, and how its wishes ended."""

    name: str
    service: float
    asked: int
    in_time: int
    late: int
    refused: int
    failed: int
    unanswered: int
    p50_ms: float
    p99_ms: float


class Service(msgspec.Struct, frozen=True):
    """Worth answered within the aim over worth asked: each from 0 to 1."""

    whole: float
    worst_window: float
    worst_window_at: float  # ms
    worst_class: float
    goal: float  # the three, mixed by the scenario's weights
    classes: tuple[ClassService, ...]


class Cost(msgspec.Struct, frozen=True):
    """What the run took of others, for each wish of a client."""

    attempts: float
    probes: float
    cross_zone: float  # attempts that crossed zones
    waste: float  # node work that served no answer, over the work asked for


class Verdict(msgspec.Struct, frozen=True):
    """The whole verdict; `share` is where the goal stands between a floor and a top, if they were played."""

    scenario: str
    seed: int
    engine: str
    chooser: str
    service: Service
    violations: tuple[Violation, ...]
    cost: Cost
    log_sha256: str
    records: int
    void: str = ""
    share: float | None = None
    broken: dict[str, int] = {}  # violations by rule, all of them: `violations` holds the first ones only
    yardsticks: dict[str, float] = {}  # the goal of each yardstick that was played beside this run

    @property
    def kept(self) -> bool:
        """Whether no rule broke."""
        return not self.violations
