"""Counts as a unit: a log line at each beat with what the counters gained, to be summed over a fleet.

Beside the gains (`gained`, by counter) a line holds levels (`now`): `listed` next hops, `near` and of them
`roomy` and `silent`, `held` jobs that wait here, `open` transactions, `version` of the route set; and `at`,
by the next hop's name, the branches that are out there. `tools/fleet_counts.py` sums them.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

import anyio

from flintfield.base.ini import Section, number
from flintfield.memory.state import State
from flintfield.units.interface import Feature, Given, Host, Unit


@dataclass(frozen=True, slots=True)
class CountsOn:
    """How often a line is written, in milliseconds."""

    every_ms: float = 1_000.0


SECTION = Section("counts", CountsOn, {"every_ms": number(100, 3_600_000)})


def gains(before: Counter[str], now: Counter[str]) -> dict[str, int]:
    """What the counters gained since, without those that gained nothing; both by counter."""
    return {name: more for name, value in sorted(now.items()) if (more := value - before[name])}


def levels(state: State) -> dict[str, Any]:
    """The levels of now, as the module's page says."""
    fleet = state.dispatcher.fleet
    return {
        "listed": len(fleet.ring), "near": fleet.cut, "roomy": fleet.roomy, "silent": fleet.silent,
        "held": len(state.dispatcher.held), "open": len(state.transactions), "version": state.generation,
    }


def out_at(state: State) -> dict[str, int]:
    """The branches that are out, by the next hop's name; its number where it is not listed any more."""
    out: Counter[str] = Counter()
    for transaction in state.transactions.values():
        for branch in transaction.branches:
            if not branch.ended:
                route = state.routes.get(branch.worker)
                out[route.name if route else str(branch.worker)] += 1
    return dict(out)


class CountsUnit(Unit):
    """Writes a line at each beat."""

    def __init__(self, host: Host, given: Given) -> None:
        self._host, self._given = host, given.one(SECTION) or CountsOn()
        self._before: Counter[str] = Counter()

    async def run(self) -> None:
        """Write lines until cancelled."""
        while True:
            await anyio.sleep(self._given.every_ms / 1000)
            self.tell()

    def tell(self) -> None:
        """Write a line."""
        state = self._host.state
        now = Counter(state.counters)
        self._host.log.info("counts", gained=gains(self._before, now), now=levels(state), at=out_at(state))
        self._before = now

    async def end(self) -> None:
        """Write what came since the last line."""
        self.tell()


FEATURE = Feature((SECTION,), CountsUnit)
