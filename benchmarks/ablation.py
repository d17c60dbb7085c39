"""What each mechanism of placement and dispatch is worth: plays without it, paired with plays of the whole.

A mechanism is taken out by replacing attributes, as `simulation.planted` does with safeguards, so that no
test of a switch stands in the program; safety checks have none. The plays are those of
`benchmarks.decision_model`: no faults, no processor time. Results are appended to a file, a line a play, and
what stands there is not played again.

    python -m benchmarks.ablation SITE DAY --seeds 3 --seconds 15 --load 1.0 --into results.jsonl
"""

from __future__ import annotations

import argparse
import json
import math
import multiprocessing
import statistics
import typing
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import asdict, dataclass
from functools import partial
from pathlib import Path
from unittest import mock

from benchmarks.decision_model import play
from flintfield.jobs import state as dispatcher_state
from flintfield.jobs.ends import RunEnds
from flintfield.jobs.gangs import Gangs
from flintfield.jobs.moves import Moves
from flintfield.jobs.preemption import Preemption
from flintfield.jobs.racks import RackWaits
from flintfield.jobs.speculation import SpeculativeCopies
from flintfield.placement import health, market
from flintfield.placement.candidates import CandidateFinder
from flintfield.placement.health import HealthTable
from flintfield.placement.market import MarketPlacement
from flintfield.placement.prices import PriceTable
from flintfield.placement.speeds import SpeedTable

WHOLE = ""  # the program as it is
GATHERED_MS = 300  # for which agents gathered ends before they were told their patience


@dataclass(frozen=True, slots=True)
class Replacement:
    """An attribute, and what stands in its place while the mechanism is out."""

    owner: typing.Any
    attribute: str
    value: typing.Any


def _nothing(*_: object, **__: object) -> None:
    """Do nothing."""


def _always(value: typing.Any) -> Callable[..., typing.Any]:
    def answer(*_: object, **__: object) -> typing.Any:
        return value

    return answer


def _equal_shares(_: MarketPlacement, __: object, candidates: typing.Any, *___: object) -> list[float]:
    """Every candidate is as good as the others."""
    return [1.0] * len(candidates.workers)


MECHANISMS: dict[str, tuple[Replacement, ...]] = {
    WHOLE: (),
    "prices": (Replacement(PriceTable, "step", _nothing),),
    "speeds": (
        Replacement(SpeedTable, "note_done", _nothing),
        Replacement(SpeedTable, "note_slowness", _nothing),
    ),
    "shares": (Replacement(MarketPlacement, "_shares_of", _equal_shares),),
    "trust": (
        Replacement(HealthTable, "untrusted", _always(frozenset())),
        Replacement(HealthTable, "trusted", _always(True)),
    ),
    "probing runs": (Replacement(CandidateFinder, "probe", _nothing),),
    "suspicion by rate": (Replacement(health, "MEAN_TIME_BETWEEN_FALSE_ALARMS_S", 0.0),),
    "waiting for a better worker": (Replacement(market, "SLOWNESS_THRESHOLD", math.inf),),
    "packing": (Replacement(market, "MAX_COMPARED", 1),),
    "waiting for racks": (Replacement(RackWaits, "tasks_that_may_wait", _always([])),),
    "back-off": (Replacement(RunEnds, "_backoff", _always(0)),),
    "preemption": (Replacement(Preemption, "make_room", _nothing),),
    "reservations of gangs": (Replacement(Gangs, "reserve", _nothing),),
    "moves": (Replacement(Moves, "check", _nothing),),
    "copies": (Replacement(SpeculativeCopies, "tick", _nothing),),
    "patience": (Replacement(dispatcher_state, "patience_ms", _always(GATHERED_MS)),),
}
"""The mechanisms by name, and what takes each out."""


@dataclass(frozen=True, slots=True)
class Play:
    """A play without a mechanism, and its figures: share of worth earned, that of the worst 3 s, looks a
    worker and second."""

    site: str
    day: str
    load: float
    seconds: float
    mechanism: str
    seed: int
    worth: float = 0.0
    worst: float = 0.0
    looks: float = 0.0

    @property
    def key(self) -> tuple[str, str, float, float, str, int]:
        """What tells it from other plays."""
        return self.site, self.day, self.load, self.seconds, self.mechanism, self.seed


@contextmanager
def without(mechanism: str) -> Iterator[None]:
    """Have this mechanism taken out; raises `KeyError` for an unknown one."""
    with ExitStack() as stack:
        for each in MECHANISMS[mechanism]:
            stack.enter_context(mock.patch.object(each.owner, each.attribute, each.value))
        yield


def carry_out(plan: Play, site: Path) -> Play:
    """Make the play."""
    with without(plan.mechanism):
        outcome = play(site, plan.day, plan.load, [], 0.0, plan.seconds, plan.seed)
    figures = {"worth": outcome.all, "worst": outcome.worst_second, "looks": outcome.looks}
    return Play(**{**asdict(plan), **figures})


def read(results: Path) -> list[Play]:
    """The plays that were made before; a line that was cut short is passed over."""
    plays = []
    for line in results.read_text().splitlines() if results.exists() else []:
        try:
            plays.append(Play(**json.loads(line)))
        except (ValueError, TypeError):
            continue
    return plays


@dataclass(frozen=True, slots=True)
class Loss:
    """What plays without a mechanism lose against those with it on the same seeds (means; `spread`: the
    standard deviation over the seeds)."""

    mechanism: str
    seeds: int
    worth: float
    spread: float
    worst: float
    looks: float


def losses(plays: list[Play]) -> list[Loss]:
    """By mechanism, largest loss of worth first; seeds that were not played with the whole don't count."""
    whole = {each.seed: each for each in plays if each.mechanism == WHOLE}
    found = []
    for mechanism in MECHANISMS:
        mine = [each for each in plays if each.mechanism == mechanism and each.seed in whole]
        if mechanism == WHOLE or not mine:
            continue
        lost = [whole[each.seed].worth - each.worth for each in mine]
        found.append(
            Loss(
                mechanism,
                len(mine),
                statistics.fmean(lost),
                statistics.stdev(lost) if len(lost) > 1 else 0.0,
                statistics.fmean(whole[each.seed].worst - each.worst for each in mine),
                statistics.fmean(each.looks - whole[each.seed].looks for each in mine),
            )
        )
    return sorted(found, key=lambda loss: -loss.worth)


def table(plays: list[Play]) -> str:
    """The losses as a table of a page."""
    rows = [
        "| without | seeds | worth lost | spread | worst 3 s lost | looks added |",
        "|---|---|---|---|---|---|",
    ]
    for loss in losses(plays):
        rows.append(
            f"| {loss.mechanism} | {loss.seeds} | {loss.worth:+.3f} | {loss.spread:.3f} "
            f"| {loss.worst:+.3f} | {loss.looks:+.2f} |"
        )
    return "\n".join(rows)


def main() -> None:
    """Make the plays that are missing and print the table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("site", type=Path)
    parser.add_argument("day")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--into", type=Path, required=True)
    arguments = parser.parse_args()
    made = {each.key for each in read(arguments.into)}
    plans = [
        Play(arguments.site.stem, arguments.day, arguments.load, arguments.seconds, mechanism, seed)
        for seed in range(arguments.seeds)
        for mechanism in MECHANISMS
    ]
    missing = [plan for plan in plans if plan.key not in made]
    with multiprocessing.Pool(arguments.jobs) as pool, arguments.into.open("a") as results:
        for done in pool.imap_unordered(partial(carry_out, site=arguments.site), missing):
            results.write(json.dumps(asdict(done)) + "\n")
            results.flush()
    wanted = {plan.key for plan in plans}
    print(table([each for each in read(arguments.into) if each.key in wanted]))


if __name__ == "__main__":
    main()
