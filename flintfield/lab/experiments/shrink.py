"""Shrink: the fewest troubles, nodes and seconds with which a scenario still breaks the same rule.

Theory. Greedy reduction to a fixed point, after the manner of delta debugging (Zeller and Hildebrandt,
Simplifying and Isolating Failure-Inducing Input, IEEE TSE 28, 2002): each pass proposes smaller scenarios,
the smallest first; one that still fails is taken on and the pass begins anew. A smaller scenario draws
other random numbers, so that each proposal is played with a few seeds, and the seed that fails goes with
it.

Passes that only simplify (an odd setting back to its default) come last: they make the file short.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import msgspec

from flintfield.lab.experiments.fuzz import kind_of
from flintfield.lab.experiments.pool import Players
from flintfield.lab.experiments.runs import Job
from flintfield.lab.scenario import Scenario, ScenarioError, check
from flintfield.lab.verdict import Verdict

replace = msgspec.structs.replace
SEEDS = 4  # tried for each proposal, the present one first
SHORTEST_S = 1.0
PLAIN = ("network", "front", "discovery", "clients", "rules", "goal")


FAILED = "failed"
"""What breaks when a run ends in an error, beside the rules."""


class Break(msgspec.Struct, frozen=True):
    """What is to break again: a rule, or the run itself; `at` in ms."""

    what: str
    at: float
    word: str


class Shrunk(msgspec.Struct, frozen=True):
    """What is left, with what breaks in it."""

    job: Job
    found: Break
    runs: int


class Shrinker:
    """Reduces one failing job; `runs` bounds the plays, and `go_on` is asked before each proposal.

    `best` is the smallest that fails so far, whenever the caller stops.
    """

    def __init__(self, job: Job, what: str | None, players: Players, *, runs: int = 400,
                 go_on: Callable[[], bool] = lambda: True,
                 on_step: Callable[[Shrunk], None] | None = None) -> None:
        self._players, self._left, self._limit, self._on_step = players, runs, runs, on_step
        self._go_on = go_on
        self._tried: set[str] = set()
        found = next(first_break(job, verdict, what) for _, verdict in self._play([job]))
        if found is None:
            raise ScenarioError(f"{job.scenario.name}: seed {job.seed}: found no broken rule"
                                f"{f' {what}' if what else ''}, expected a run that fails")
        self.best = Shrunk(job, found, 1)

    def _play(self, jobs: Sequence[Job]) -> Iterator[tuple[Job, Verdict]]:
        todo = [j for j in jobs if j.key() not in self._tried][:self._left]
        self._tried.update(j.key() for j in todo)
        self._left -= len(todo)
        yield from self._players.play_all(todo)

    def _take(self, scenario: Scenario) -> bool:
        """Take the smaller scenario on if it still breaks the rule with one of a few seeds."""
        if not self._go_on():
            return False
        try:
            check(scenario)
        except ScenarioError:
            return False
        job = self.best.job
        jobs = [replace(job, scenario=scenario, seed=job.seed + i) for i in range(SEEDS)]
        width = self._players.width
        for batch in (jobs[i:i + width] for i in range(0, SEEDS, width)):
            found: list[tuple[int, Job, Break]] = []
            for played, verdict in self._play(batch):
                if again := first_break(played, verdict, self.best.found.what):
                    found.append((played.seed, played, again))
            if found:
                _, played, again = min(found, key=lambda f: f[0])
                self.best = Shrunk(played, again, self._limit - self._left)
                if self._on_step:
                    self._on_step(self.best)
                return True
        return False

    def run(self) -> Shrunk:
        """Reduce until no pass makes it smaller, or the runs or the time are spent."""
        changed = True
        while changed and self._left > 0 and self._go_on():
            changed = False
            for each in PASSES:
                while self._left > 0 and any(self._take(s) for s in each(self.best)):
                    changed = True
        return replace(self.best, runs=self._limit - self._left)


def first_break(job: Job, verdict: Verdict, what: str | None) -> Break | None:
    """The first thing that broke (or the first of that kind); None if nothing did."""
    if verdict.void.startswith(FAILED) and what in (None, FAILED):
        return Break(FAILED, 1_000.0 * job.scenario.length_s, verdict.void)
    return next((Break(v.rule, v.at, v.word) for v in verdict.violations if what in (None, v.rule)), None)


# ---------------------------------------------------------------- the passes
# Each proposes smaller scenarios, boldest first.

Proposals = Iterator[Scenario]


def fewer_troubles(best: Shrunk) -> Proposals:
    """Halves of the list, then each trouble alone left out."""
    scenario = best.job.scenario
    for left in _without(scenario.trouble):
        yield replace(scenario, trouble=left)


def _without(items: list[Any]) -> Iterator[list[Any]]:
    size = len(items)
    part = math.ceil(size / 2)
    while part >= 1 and size:
        for start in range(0, size, part):
            yield items[:start] + items[start + part:]
        part = part // 2


def shorter(best: Shrunk) -> Proposals:
    """End arrivals when the rule broke, or earlier; drop what begins later."""
    scenario = best.job.scenario
    broke_s = math.ceil(best.found.at / 1_000.0)
    for length in (broke_s / 4, broke_s / 2, broke_s * 3 / 4, broke_s - 2, broke_s - 1, broke_s):
        if SHORTEST_S <= length <= scenario.length_s - 1:
            length = float(math.ceil(length))
            left = [t for t in scenario.trouble if t.at_s <= length]
            yield replace(scenario, length_s=length, trouble=left)


def earlier(best: Shrunk) -> Proposals:
    """Move all troubles to an earlier time."""
    scenario = best.job.scenario
    if scenario.trouble:
        first = min(t.at_s for t in scenario.trouble)
        for left in (0.0, 1.0, first / 2):
            shift = math.floor(first - left)
            if shift >= 1 and scenario.length_s - shift >= SHORTEST_S:
                yield replace(scenario, length_s=scenario.length_s - shift,
                              trouble=[replace(t, at_s=round(t.at_s - shift, 3)) for t in scenario.trouble])


def fewer_nodes(best: Shrunk) -> Proposals:
    """Half the fleet, three quarters, one less; at the same load for each node."""
    scenario = best.job.scenario
    fleet = scenario.fleet
    count = len(fleet.node) or fleet.nodes
    for fewer in sorted({1, count // 2, count * 3 // 4, count - 1}):
        if 1 <= fewer < count:
            smaller = replace(fleet, node=fleet.node[:fewer]) if fleet.node else replace(fleet, nodes=fewer)
            load = scenario.load
            if load.per_s is not None:
                load = replace(load, per_s=load.per_s * fewer / count)
            yield replace(scenario, fleet=smaller, load=load,
                          trouble=[_within(t, fewer) for t in scenario.trouble])


def _within(trouble: Any, count: int) -> Any:
    """The trouble without the nodes that are no more."""
    if getattr(trouble, "nodes", None):
        return replace(trouble, nodes=[n for n in trouble.nodes if n < count] or [0])
    return trouble


def fewer_schedulers(best: Shrunk) -> Proposals:
    """One scheduler, half of them, one less."""
    scenario = best.job.scenario
    given = scenario.schedulers
    for fewer in sorted({1, given.count // 2, given.count - 1}):
        if 1 <= fewer < given.count:
            yield replace(scenario, schedulers=replace(
                given, count=fewer, zones=given.zones[:fewer], start_at_ms=given.start_at_ms[:fewer],
                clock_offset_ms=given.clock_offset_ms[:fewer]))


def less_load(best: Shrunk) -> Proposals:
    """Half the load, three quarters."""
    scenario = best.job.scenario
    load = scenario.load
    for part in (0.25, 0.5, 0.75):
        if load.level is not None and load.level * part >= 0.02:
            yield replace(scenario, load=replace(load, level=round(load.level * part, 3)))
        if load.per_s is not None and load.per_s * part >= 0.1:
            yield replace(scenario, load=replace(load, per_s=round(load.per_s * part, 3)))


def less_of_a_trouble(best: Shrunk) -> Proposals:
    """Each trouble shorter."""
    scenario = best.job.scenario
    for i, trouble in enumerate(scenario.trouble):
        for part in (0.25, 0.5):
            if trouble.for_s * part >= 0.1:
                smaller = replace(trouble, for_s=round(trouble.for_s * part, 2))
                yield replace(scenario, trouble=[*scenario.trouble[:i], smaller, *scenario.trouble[i + 1:]])


def one_of_each(best: Shrunk) -> Proposals:
    """One class, one kind of machine, one zone; no owners."""
    scenario = best.job.scenario
    for cls in scenario.classes if len(scenario.classes) > 1 else ():
        yield replace(scenario, classes=[cls])
    kinds = scenario.fleet.kinds
    for kind in kinds if len(kinds) > 1 and not scenario.fleet.node else ():
        yield replace(scenario, fleet=replace(scenario.fleet, kinds=[kind]))
    if len(scenario.zones) > 1 and not scenario.schedulers.zones and not scenario.fleet.node:
        yield replace(scenario, zones=scenario.zones[:1], load=replace(scenario.load, zone_share=[]))
    if scenario.load.owners:
        yield replace(scenario, load=replace(scenario.load, owners=[]))


def plainer(best: Shrunk) -> Proposals:
    """Odd settings back to their defaults, a whole table or one key."""
    scenario = best.job.scenario
    for part in PLAIN:
        table = getattr(scenario, part)
        if table != type(table)():
            yield replace(scenario, **{part: type(table)()})
    for part in ("fleet", "load", *PLAIN):
        table = getattr(scenario, part)
        for field in msgspec.structs.fields(table):
            default = _default(field)
            if default is not msgspec.NODEFAULT and getattr(table, field.name) != default:
                smaller = replace(table, **{field.name: default})
                yield replace(scenario, **{part: smaller})


def _default(field: msgspec.structs.FieldInfo) -> Any:
    if field.name in ("kinds", "nodes", "node", "level", "per_s", "owners"):
        return msgspec.NODEFAULT  # these are no oddity but the size of the thing
    return field.default_factory() if field.default_factory is not msgspec.NODEFAULT else field.default


PASSES: tuple[Callable[[Shrunk], Proposals], ...] = (
    fewer_troubles, shorter, earlier, fewer_nodes, fewer_schedulers, less_load, less_of_a_trouble,
    one_of_each, plainer)


def regression(shrunk: Shrunk, name: str) -> Scenario:
    """The scenario as a file to keep: with the sentence that it guards and the seed that failed."""
    scenario, found = shrunk.job.scenario, shrunk.found
    kinds = ", ".join(kind_of(t) for t in scenario.trouble) or "no trouble"
    return replace(scenario, name=name, seed=shrunk.job.seed,
                   about=f"Shrunk from {scenario.name} in {shrunk.runs} runs; {kinds}.",
                   guards=f"The run {found.word}." if found.what == FAILED else
                   f"Rule {found.what}: {found.word}.")
