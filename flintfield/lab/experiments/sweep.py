"""Sweep: a grid of changes times seeds, over all cores, to be taken up again after an interrupt."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from flintfield.lab.experiments.pool import Players
from flintfield.lab.experiments.results import Line, Results, fingerprint
from flintfield.lab.experiments.runs import FLOOR, TOP, Engine, Job, share
from flintfield.lab.experiments.settings import changed, grid
from flintfield.lab.scenario import Scenario, ScenarioError

CHOOSER = "chooser"
"""The axis that is no key of the scenario: who plays."""


class Plan(msgspec.Struct, frozen=True):
    """What a sweep plays."""

    scenarios: tuple[Scenario, ...]
    axes: tuple[tuple[str, list[Any]], ...]
    seeds: tuple[int, ...]
    engine: Engine = "virtual"
    choosers: tuple[str, ...] = ("flintfield",)

    def jobs(self) -> list[tuple[dict[str, str], Job]]:
        """Each run with where it stands in the grid, all seeds of a point together.

        A `ScenarioError` names a key that cannot be changed so.
        """
        made: list[tuple[dict[str, str], Job]] = []
        for scenario in self.scenarios:
            for point in grid(self.axes):
                played = changed(scenario, point)
                for chooser in self.choosers:
                    named = {"scenario": scenario.name, **{k: f"{v}" for k, v in point}, CHOOSER: chooser}
                    made += [(named, Job(played, seed, self.engine, chooser)) for seed in self.seeds]
        if not made:
            raise ScenarioError("sweep: found nothing to play, expected at least one scenario and seed")
        return made


class Point(msgspec.Struct, frozen=True):
    """A point of the grid over its seeds."""

    point: dict[str, str]
    runs: int
    goal: float  # the mean
    goal_least: float
    share: float | None  # the mean, where floor and top of the same point were played
    broken: dict[str, int]  # violations by rule
    void: int
    failing_seeds: tuple[int, ...]  # the first of them


def sweep(plan: Plan, out: Path, players: Players, *,
          on_start: Callable[[int, int], None] | None = None,
          on_line: Callable[[Line], None] | None = None) -> list[Point]:
    """Play what `out` does not hold yet and sum up; `on_start` is told the runs in all and those done
    before."""
    jobs = plan.jobs()
    places = {job.key(): point for point, job in jobs}
    with Results(out, fingerprint()) as results:
        todo = [job for _, job in jobs if job.key() not in results.done]
        if on_start:
            on_start(len(places), len(places) - len(todo))
        for job, verdict in players.play_all(todo):
            line = Line(job.key(), results.code, places[job.key()], job.seed, verdict)
            results.add(line)
            if on_line:
                on_line(line)
        return summary([results.done[key] for key in places])


def summary(lines: Sequence[Line]) -> list[Point]:
    """The points of the grid in the order of their lines."""
    points: dict[tuple[tuple[str, str], ...], list[Line]] = {}
    for line in lines:
        points.setdefault(tuple(line.point.items()), []).append(line)
    goals = {(key, line.seed): line.verdict.service.goal for key, those in points.items() for line in those}
    return [_point(key, those, goals) for key, those in points.items()]


def _point(key: tuple[tuple[str, str], ...], lines: list[Line],
           goals: dict[tuple[tuple[tuple[str, str], ...], int], float]) -> Point:
    def beside(chooser: str, seed: int) -> float | None:
        return goals.get((tuple((k, chooser if k == CHOOSER else v) for k, v in key), seed))

    broken: dict[str, int] = {}
    shares: list[float] = []
    for line in lines:
        for rule, count in line.verdict.broken.items():
            broken[rule] = broken.get(rule, 0) + count
        floor, top = beside(FLOOR, line.seed), beside(TOP, line.seed)
        if floor is not None and top is not None:
            shares.append(share(line.verdict.service.goal, floor, top))
    each = [line.verdict.service.goal for line in lines]
    failing = tuple(line.seed for line in lines if line.verdict.violations)[:10]
    return Point(dict(key), len(lines), statistics.fmean(each), min(each),
                 statistics.fmean(shares) if shares else None, dict(sorted(broken.items())),
                 sum(bool(line.verdict.void) for line in lines), failing)
