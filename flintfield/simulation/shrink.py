"""Cutting faults out of a failing history for as long as it still breaks one of the same rules."""

from __future__ import annotations

from collections.abc import Callable

from flintfield.simulation.faults import Fault
from flintfield.simulation.history import Outcome, play
from flintfield.simulation.scenario import Scenario

MOST_PLAYS = 200


def shrink(outcome: Outcome, tell: Callable[[str], None] = lambda _: None) -> Outcome:
    """The same history with as few faults as were found to do: halves first, then single ones."""
    best = outcome
    plays = 0
    size = max(1, len(best.scenario.faults) // 2)
    while True:
        smaller = None
        for start in range(0, len(best.scenario.faults), size):
            plays += 1
            smaller = _without(best, start, size, outcome.rules)
            if smaller is not None or plays >= MOST_PLAYS:
                break
        if smaller is not None:
            best = smaller
            tell(f"{len(best.scenario.faults)} faults do")
        elif size > 1 and plays < MOST_PLAYS:
            size //= 2
        else:
            return best


def _without(outcome: Outcome, start: int, size: int, rules: set[str]) -> Outcome | None:
    faults = outcome.scenario.faults
    kept: tuple[Fault, ...] = faults[:start] + faults[start + size :]
    scenario: Scenario = outcome.scenario.with_faults(kept)
    played = play(scenario.seed, scenario)
    return played if played.rules & rules else None
