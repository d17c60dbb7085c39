"""What the judge of a trial reads: faults, processes, claims of instances, and what the net carried.

Times are ms on the run's clock, 0 when the clients begin; what came before stands below 0. A history holds
what was seen from outside and what instances *say*; that they are kept apart is what the judge lives on.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Literal

from flintfield.lab.fleet.net import Carried, Pair
from flintfield.lab.fleet.plan import Bounds, Plan
from flintfield.lab.fleet.schedule import Act, Deed
from flintfield.lab.log import Log


@dataclass(frozen=True, slots=True)
class FaultSeen:
    """A fault began or was over."""

    at: float
    act: Act
    deed: Deed


@dataclass(frozen=True, slots=True)
class ProcessSeen:
    """A process of an instance was started, ended, stopped (SIGSTOP) or went on."""

    at: float
    name: str
    state: Literal["up", "down", "stopped", "on"]


@dataclass(frozen=True, slots=True)
class Claim:
    """A page of an instance's status port: asked at `asked`, read at `at`."""

    asked: float
    at: float
    name: str
    page: str
    told: dict[str, Any]


@dataclass(slots=True)
class History:
    """One trial."""

    plan: Plan
    instances: list[str]
    zones: list[str]
    faults: list[FaultSeen] = field(default_factory=list)
    processes: list[ProcessSeen] = field(default_factory=list)
    claims: list[Claim] = field(default_factory=list)
    carried: dict[Pair, Carried] = field(default_factory=dict)
    log: Log = field(default_factory=Log)  # of the run, once it is over
    refused_with: dict[str, int] = field(default_factory=dict)  # the status of refusals, by try
    epoch_ms: float = 0.0  # Unix time of the run's time 0
    unclaimed: int = 0  # streams whose dialler could not be told
    end: float = 0.0

    @property
    def bounds(self) -> Bounds:
        """What the plan holds the instances to."""
        return self.plan.bounds

    def of_page(self, page: str) -> Iterator[Claim]:
        """The claims on one page."""
        return (c for c in self.claims if c.page == page)

    def spells(self, name: str, begins: str, ends: str) -> list[tuple[float, float]]:
        """When that instance's process was in a state: from its `begins` to its next `ends`."""
        found: list[tuple[float, float]] = []
        since: float | None = None
        for seen in self.processes:
            if seen.name != name:
                continue
            if seen.state == begins and since is None:
                since = seen.at
            elif seen.state in (ends, "down") and since is not None:
                found.append((since, seen.at))
                since = None
        return found if since is None else [*found, (since, float("inf"))]

    def lives(self, name: str) -> list[tuple[float, float]]:
        """From when to when it had a process."""
        return self.spells(name, "up", "down")

    def lived(self, name: str, since: float, until: float) -> bool:
        """Whether one and the same process of it was there, and not stopped, all that time."""
        return any(a <= since and until <= b for a, b in self.lives(name)) and not any(
            a <= until and since <= b for a, b in self.spells(name, "stopped", "on"))

    def troubled(self, name: str, since: float, until: float) -> bool:
        """Whether a fault lay on words from or to it at any time between."""
        open_since: dict[int, float] = {}
        for seen in self.faults:
            touches = any(name in pair for pair in seen.deed.pairs)
            if not touches:
                continue
            if seen.act == "begin":
                open_since[seen.deed.number] = seen.at
                if since <= seen.at <= until:
                    return True
            elif open_since.pop(seen.deed.number, float("inf")) <= until and seen.at >= since:
                return True
        return any(at <= until for at in open_since.values())

    @property
    def calm_since(self) -> float:
        """When the last fault of the net was over and the last process began or went on; inf: never."""
        open_ones: set[int] = set()
        last = 0.0
        for seen in self.faults:
            if seen.deed.pairs:
                (open_ones.add if seen.act == "begin" else open_ones.discard)(seen.deed.number)
                last = max(last, seen.at)
        if any(self.plan.faults[n].kind_of() != "reset" for n in open_ones):
            return float("inf")
        return max([last, *(p.at for p in self.processes if p.at <= self.end)])
