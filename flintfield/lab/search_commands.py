"""Commands of `flintfield lab` that look for failures: random scenarios, smaller ones, planted faults."""

from __future__ import annotations

import contextlib
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from flintfield.lab import scenario as scenarios
from flintfield.lab.command_support import (
    BROKE, JSON, KEPT, OUT, PROCESSES, SET, end_by, load_scenario, print_object, reports_bad_input,
)
from flintfield.lab.scenario import Scenario, ScenarioError

if TYPE_CHECKING:
    from flintfield.lab.experiments.runs import Job


@click.command()
@click.argument("base", default="agem-calm")
@click.option("--ranges", type=click.Path(dir_okay=False), help="what is drawn; the shipped ranges if none")
@click.option("--seconds", type=float, default=60.0, show_default=True)
@click.option("--trials", type=int, default=0, help="at the most; 0: as many as the time allows")
@click.option("--first", type=int, default=0, help="the first trial's number")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--plant", default="", metavar="FAULT", help="plant a fault in the scheduler")
@click.option("--shrink/--no-shrink", "reduce", default=True, show_default=True)
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), default=Path(OUT), show_default=True)
@PROCESSES
@JSON
@reports_bad_input
def fuzz(base: str, ranges: str | None, seconds: float, trials: int, first: int, seed: int, plant: str,
         reduce: bool, out: Path, processes: int, as_object: bool) -> None:
    """Play random scenarios until a rule breaks or the time is up."""
    from flintfield.lab import tables
    from flintfield.lab.experiments.fuzz import fuzz as play_fuzz, read_ranges, troubles_of
    from flintfield.lab.experiments.pool import Players

    drawn, until, failed = read_ranges(ranges), time.monotonic() + seconds, None
    goals: list[float] = []

    def go_on(count: int) -> bool:
        return failed is None and time.monotonic() < until and (not trials or count < trials)

    with Players(processes) as players:
        with tables.progress() as bar:
            bar.start(trials, 0)
            for job, verdict in play_fuzz(load_scenario(base), drawn, seed, players, first=first, plant=plant,
                                          go_on=go_on):
                goals.append(verdict.service.goal)
                bar.step()
                # The first trial that fails, not the first to be done: all before it were handed out too.
                if (verdict.violations or verdict.void) and (failed is None or job.seed < failed[0].seed):
                    failed = job, verdict
        if failed:
            out.mkdir(parents=True, exist_ok=True)
            file = out / f"{failed[0].scenario.name}.toml"
            file.write_text(scenarios.dump(failed[0].scenario))
            click.echo(f"{file}: {troubles_of(failed[0].scenario)}", err=True)
            if reduce:
                small = _shrink(failed[0], None, players, 300, seconds)
                file = out / f"{failed[0].scenario.name}-small.toml"
                file.write_text(scenarios.dump(small))
    if as_object:
        print_object({"trials": len(goals), "goal_least": min(goals, default=None),
                      "file": str(file) if failed else None,
                      "violations": failed[1].violations if failed else []})
    else:
        tables.show_fuzz(goals, failed[1] if failed else None, str(file) if failed else "")
    end_by([failed[1]] if failed else [])


def _shrink(job: Job, rule: Any, players: Any, limit: int, seconds: float) -> Scenario:
    """The smallest scenario that fails, found within so many plays and seconds, or until Ctrl-C."""
    from flintfield.lab import tables
    from flintfield.lab.experiments.shrink import Shrinker, regression

    with tables.progress() as bar:
        until = time.monotonic() + seconds
        shrinker = Shrinker(job, rule, players, runs=limit, go_on=lambda: time.monotonic() < until,
                            on_step=lambda best: bar.say(tables.size_of(best)))
        bar.start(0, 0)
        with contextlib.suppress(KeyboardInterrupt, SystemExit):
            shrinker.run()
        shrunk = shrinker.best
    name, what = job.scenario.name, shrunk.found.what
    return regression(shrunk, name if name.startswith(what) else f"{what}-{name}"[:60])


@click.command()
@click.argument("scenario")
@click.option("--seed", type=int, help="the scenario's own if none is named")
@click.option("--rule", type=click.Choice(["answer", "repeat", "drain", "cold", "failed"]),
              help="the first that breaks if none")
@SET
@click.option("--plant", default="", metavar="FAULT", help="plant a fault in the scheduler")
@click.option("--runs", "limit", type=int, default=400, show_default=True, help="plays at the most")
@click.option("--seconds", type=float, default=600.0, show_default=True, help="at the most")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path),
              help="the file; standard output if none")
@PROCESSES
@reports_bad_input
def shrink(scenario: str, seed: int | None, rule: Any, changes: tuple[str, ...], plant: str, limit: int,
           seconds: float, out: Path | None, processes: int) -> None:
    """Reduce a failing scenario to the fewest troubles, nodes and seconds that still fail."""
    from flintfield.lab.experiments.pool import Players
    from flintfield.lab.experiments.runs import Job

    played = load_scenario(scenario, changes)
    with Players(processes) as players:
        job = Job(played, played.seed if seed is None else seed, plant=plant)
        text = scenarios.dump(_shrink(job, rule, players, limit, seconds))
    if out:
        out.write_text(text)
        click.echo(f"{out}")
    else:
        click.echo(text, nl=False)


@click.command()
@click.argument("names", nargs=-1, metavar="[FAULT...]")
@PROCESSES
@JSON
@reports_bad_input
def plant(names: tuple[str, ...], processes: int, as_object: bool) -> None:
    """Judge the judge: play planted faults, and say which rule caught each."""
    from flintfield.lab import tables
    from flintfield.lab.experiments.pool import Players
    from flintfield.lab.faults import FAULTS, play_all

    unknown = [n for n in names if n not in FAULTS]
    if unknown:
        raise ScenarioError(f"plant: found {unknown[0]!r}, expected one of {', '.join(FAULTS)}")
    with tables.progress() as bar, Players(processes) as players:
        bar.start(0, 0)
        caught = play_all(names or tuple(FAULTS), players, on_run=bar.step)
    if as_object:
        print_object(caught)
    else:
        tables.show_planted(caught)
    sys.exit(KEPT if all(c.caught for c in caught) else BROKE)
