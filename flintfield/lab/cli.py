"""The command line: `flintfield lab ...`.

Exit codes: 0 all rules kept, 1 a rule broke (or, for `compare`, this is worse; for `plant`, a fault went
unseen), 2 bad input, told in one line that names the key, 3 the run is void. What a machine is to read goes
to standard output, progress to standard error.
"""

from __future__ import annotations

import contextlib
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec

from flintfield.lab import scenario as scenarios
from flintfield.lab.command_support import (
    BROKE, CHOOSER, ENGINE, JSON, KEPT, OUT, PROCESSES, SEEDS, SET, VOID, check_chooser, end_by,
    load_scenario, print_object, reports_bad_input, runs_at_once,
)
from flintfield.lab.fleet.commands import fleet
from flintfield.lab.scenario import ScenarioError
from flintfield.lab.search_commands import fuzz, plant, shrink
from flintfield.lab.sockets.commands import proxy
from flintfield.lab.verdict import Verdict

if TYPE_CHECKING:
    from flintfield.lab.experiments.runs import Job

@click.group()
@click.pass_context
def lab(ctx: click.Context) -> None:
    """Play scenarios against the scheduler, judge them and report."""
    # An experiment that is told to end closes its results and its processes as after Ctrl-C.
    with contextlib.suppress(ValueError):  # not in the main thread: the caller heeds signals
        before = signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
        ctx.call_on_close(lambda: signal.signal(signal.SIGTERM, before))


lab.add_command(proxy)
lab.add_command(fleet)
lab.add_command(fuzz)
lab.add_command(shrink)
lab.add_command(plant)


# ------------------------------------------------------------------ scenarios


@lab.command("list")
@JSON
@reports_bad_input
def list_(as_object: bool) -> None:
    """Name the scenarios that ship with the package."""
    from flintfield.lab import tables

    loaded = [scenarios.load(name) for name in scenarios.library()]
    if as_object:
        print_object([{"name": s.name, "about": s.about, "length_s": s.length_s,
                       "schedulers": s.schedulers.count,
                       "nodes": len(s.fleet.node) or s.fleet.nodes,
                       "troubles": len(s.trouble)} for s in loaded])
    else:
        tables.show_library(loaded)


@lab.command()
@click.argument("files", nargs=-1, required=True, metavar="FILE...")
@reports_bad_input
def check(files: tuple[str, ...]) -> None:
    """Read and check scenario files."""
    for file in files:
        scenario = scenarios.load(file)
        click.echo(f"{file}: {scenario.name}, {scenario.length_s:g} s, {len(scenario.trouble)} troubles")


@lab.command("import")
@click.argument("file", type=click.Path())
@click.option("--rate", type=click.FloatRange(min=0, min_open=True), default=1.0, show_default=True,
              help="times the load")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="standard output if none")
@reports_bad_input
def import_(file: str, rate: float, out: Path | None) -> None:
    """Make a scenario of a day that the simulator drew, or of a capture."""
    from flintfield.lab import importing

    text = scenarios.dump(importing.read(file, rate))
    if out:
        out.write_text(text)
        click.echo(f"{out}")
    else:
        click.echo(text, nl=False)


# ------------------------------------------------------------------- one run


@lab.command()
@click.argument("scenario")
@ENGINE
@click.option("--seed", type=int, help="the scenario's own if none is named")
@CHOOSER
@SET
@click.option("--plant", default="", metavar="FAULT", help="plant a fault in the scheduler")
@click.option("--yardsticks", type=click.Choice(["none", "ends", "all"]), default="ends", show_default=True,
              help="played beside, to say where the run stands between floor and top")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path),
              help="keep log, verdict and report here")
@JSON
@reports_bad_input
def run(scenario: str, engine: Any, seed: int | None, chooser: str, changes: tuple[str, ...], plant: str,
        yardsticks: str, out: Path | None, as_object: bool) -> None:
    """Play one scenario and judge it."""
    from flintfield.lab import tables
    from flintfield.lab.experiments import runs

    check_chooser(chooser)
    played = load_scenario(scenario, changes)
    job = runs.Job(played, played.seed if seed is None else seed, engine, chooser, plant)
    if out:
        out.mkdir(parents=True, exist_ok=True)
        (out / "scenario.toml").write_text(scenarios.dump(played))
    verdict = runs.run(job, out / "log.jsonl" if out else None)
    goals = {} if verdict.void else _yardsticks(job, yardsticks)
    if goals:
        verdict = runs.with_yardsticks(verdict, goals)
    if out:
        (out / "verdict.json").write_bytes(msgspec.json.encode(verdict) + b"\n")
        _write_report(out / "log.jsonl", verdict, out / "report.html")
    if as_object:
        print_object(runs.as_json(verdict))
    else:
        tables.show_verdict(verdict)
        if out:
            click.echo(f"report: {out / 'report.html'}")
    end_by([verdict])


def _yardsticks(job: Job, which: str) -> dict[str, float]:
    """The goals of the yardsticks on the same scenario and seed, played on the virtual engine."""
    from flintfield.lab.choosers import NAMES
    from flintfield.lab.experiments.pool import Players
    from flintfield.lab.experiments.runs import FLOOR, TOP

    names = {"none": (), "ends": (FLOOR, TOP), "all": NAMES}[which]
    if not names:
        return {}
    beside = [msgspec.structs.replace(job, engine="virtual", chooser=name, plant="") for name in names]
    with Players(min(len(names), 4)) as players:
        return {j.chooser: v.service.goal for j, v in players.play_all(beside)}


def _write_report(log_file: Path, verdict: Verdict | None, page: Path) -> None:
    from flintfield.lab.report import read, write_page

    write_page(read(log_file, verdict), page)


@lab.command()
@click.argument("log", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path),
              help="the page; beside the log if none")
@reports_bad_input
def report(log: Path, out: Path | None) -> None:
    """Write the report of a log: a file, or the folder that `run --out` kept."""
    file = log / "log.jsonl" if log.is_dir() else log
    beside = file.with_name("verdict.json")
    verdict = msgspec.json.decode(beside.read_bytes(), type=Verdict) if beside.exists() else None
    page = out or file.with_name("report.html")
    _write_report(file, verdict, page)
    click.echo(f"{page}")


# ----------------------------------------------------------------- experiments


@lab.command()
@click.argument("names", nargs=-1, required=True, metavar="SCENARIO...")
@click.option("--vary", "axes", multiple=True, metavar="KEY=V,V,...", help="an axis of the grid")
@SEEDS
@ENGINE
@click.option("--chooser", "choosers", multiple=True, default=("flintfield",),
              help="one axis of the grid too")
@SET
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), default=Path(OUT) / "sweep.jsonl",
              show_default=True, help="results; what it holds already is not played again")
@PROCESSES
@JSON
@reports_bad_input
def sweep(names: tuple[str, ...], axes: tuple[str, ...], seeds: str, engine: Any, choosers: tuple[str, ...],
          changes: tuple[str, ...], out: Path, processes: int, as_object: bool) -> None:
    """Play a grid of settings times seeds over all cores."""
    from flintfield.lab import tables
    from flintfield.lab.experiments.pool import Players
    from flintfield.lab.experiments.settings import axis_of, seeds_of
    from flintfield.lab.experiments.sweep import Plan, sweep as play_sweep

    check_chooser(*choosers)
    plan = Plan(tuple(load_scenario(n, changes) for n in names), tuple(axis_of(a) for a in axes),
                tuple(seeds_of(seeds)), engine, choosers)
    with tables.progress() as bar, Players(runs_at_once(engine, processes)) as players:
        points = play_sweep(plan, out, players, on_start=bar.start, on_line=lambda line: bar.step())
    if as_object:
        print_object(points)
    else:
        tables.show_points(points)
    ours = [p for p in points if p.point["chooser"] == "flintfield"]
    sys.exit(BROKE if any(p.broken for p in ours) else VOID if any(p.void for p in points) else KEPT)


@lab.command()
@click.argument("names", nargs=-1, required=True, metavar="SCENARIO...")
@click.option("--base", "build", type=click.Path(file_okay=False), default="",
              help="the base is the scheduler of the checkout in this folder")
@click.option("--base-set", "base_changes", multiple=True, metavar="KEY=VALUE",
              help="the base has other settings")
@click.option("--base-chooser", default="", help="the base has another chooser")
@SEEDS
@ENGINE
@CHOOSER
@SET
@PROCESSES
@JSON
@reports_bad_input
def compare(names: tuple[str, ...], build: str, base_changes: tuple[str, ...], base_chooser: str, seeds: str,
            engine: Any, chooser: str, changes: tuple[str, ...], processes: int, as_object: bool) -> None:
    """Say whether this is better or worse than a base, seed by seed."""
    from flintfield.lab import tables
    from flintfield.lab.experiments.compare import compare as judge_pairs
    from flintfield.lab.experiments.pool import Players, check_build
    from flintfield.lab.experiments.runs import Job
    from flintfield.lab.experiments.settings import seeds_of

    if not (build or base_changes or base_chooser):
        raise ScenarioError("compare: found no base, expected --base, --base-set or --base-chooser")
    if build:
        check_build(build)
        if engine == "sockets":
            raise ScenarioError("engine: found 'sockets' with --base, expected 'virtual'")
    check_chooser(chooser, base_chooser or chooser)
    wanted = seeds_of(seeds)
    ours = [Job(load_scenario(n, changes), s, engine, chooser) for n in names for s in wanted]
    theirs = [Job(load_scenario(n, [*changes, *base_changes]), s, engine, base_chooser or chooser)
              for n in names for s in wanted]
    found: list[dict[str, Verdict]] = [{}, {}]
    width = runs_at_once(engine, processes)
    with tables.progress() as bar, Players(width, build) as base, Players(width) as here:
        bar.start(len(ours) + len(theirs), 0)
        for side, (players, jobs) in enumerate(((base, theirs), (here, ours))):
            for job, verdict in players.play_all(jobs):
                found[side][job.key()] = verdict
                bar.step()
    comparison = judge_pairs([(found[0][base_job.key()], found[1][job.key()])
                              for base_job, job in zip(theirs, ours, strict=True)])
    if as_object:
        print_object(comparison)
    else:
        tables.show_comparison(comparison)
    if not comparison.pairs:
        void = next((v.void for side in found for v in side.values() if v.void), "")
        print(f"flintfield lab: no pair of runs to compare: {void}", file=sys.stderr)
        sys.exit(VOID)
    sys.exit(BROKE if comparison.other_broke or comparison.word == "worse" else KEPT)
