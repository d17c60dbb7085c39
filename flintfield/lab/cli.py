"""The command line: `flintfield lab ...`.

Exit codes: 0 all rules kept, 1 a rule broke (or, for `compare`, this is worse; for `plant`, a fault went
unseen), 2 bad input, told in one line that names the key, 3 the run is void. What a machine is to read goes
to standard output, progress to standard error.
"""

from __future__ import annotations

import contextlib
import functools
import signal
import sys
import time
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn, TypeVar

import click
import msgspec

from flintfield.lab import scenario as scenarios
from flintfield.lab.experiments.runs import RunError
from flintfield.lab.fleet.commands import fleet
from flintfield.lab.judge import LogError
from flintfield.lab.scenario import Scenario, ScenarioError
from flintfield.lab.sockets.commands import proxy
from flintfield.lab.verdict import Verdict

if TYPE_CHECKING:
    from flintfield.lab.experiments.runs import Job

KEPT, BROKE, BAD_INPUT, VOID = 0, 1, 2, 3
OUT = "lab-out"

Command = TypeVar("Command", bound=Callable[..., Any])

ENGINE = click.option("--engine", type=click.Choice(["virtual", "sockets"]), default="virtual",
                      show_default=True)
SEEDS = click.option("--seeds", default="1-10", show_default=True, help="as 7, 1-30 or 1-5,9")
CHOOSER = click.option("--chooser", default="flintfield", show_default=True, help="who decides")
SET = click.option("--set", "changes", multiple=True, metavar="KEY=VALUE",
                   help="change a key of the scenario")
JSON = click.option("--json", "as_object", is_flag=True, help="print one JSON object")
PROCESSES = click.option("--processes", type=click.IntRange(min=0), default=0, help="0: one for each core")


def told(command: Command) -> Command:
    """Tell bad input in one line, with its exit code."""
    @functools.wraps(command)
    def wrapped(*args: Any, **given: Any) -> Any:
        try:
            return command(*args, **given)
        except (ScenarioError, LogError, RunError) as error:
            print(f"flintfield lab: {error}", file=sys.stderr)
            sys.exit(VOID if isinstance(error, RunError) else BAD_INPUT)

    return wrapped  # type: ignore[return-value]


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


def _print(value: Any) -> None:
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=1))


def _end(verdicts: Iterable[Verdict]) -> NoReturn:
    """Leave with the code of what was seen."""
    seen = list(verdicts)
    if any(v.violations for v in seen):
        sys.exit(BROKE)
    sys.exit(VOID if any(v.void for v in seen) else KEPT)


def _load(name: str, changes: Sequence[str] = ()) -> Scenario:
    from flintfield.lab.experiments.settings import change_of, changed

    return changed(scenarios.load(name), [change_of(c) for c in changes])


def _width(engine: str, processes: int) -> int:
    """Runs at once: one on sockets, where each needs the machine for itself to keep time."""
    return 1 if engine == "sockets" else processes


def _check_chooser(*names: str) -> None:
    from flintfield.lab.choosers import NAMES

    for name in names:
        if name not in ("flintfield", *NAMES):
            raise ScenarioError(f"chooser: found {name!r}, expected flintfield, {', '.join(NAMES)}")


# ------------------------------------------------------------------ scenarios


@lab.command("list")
@JSON
@told
def list_(as_object: bool) -> None:
    """Name the scenarios that ship with the package."""
    from flintfield.lab import tables

    loaded = [scenarios.load(name) for name in scenarios.library()]
    if as_object:
        _print([{"name": s.name, "about": s.about, "length_s": s.length_s, "schedulers": s.schedulers.count,
                 "nodes": len(s.fleet.node) or s.fleet.nodes, "troubles": len(s.trouble)} for s in loaded])
    else:
        tables.show_library(loaded)


@lab.command()
@click.argument("files", nargs=-1, required=True, metavar="FILE...")
@told
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
@told
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
@told
def run(scenario: str, engine: Any, seed: int | None, chooser: str, changes: tuple[str, ...], plant: str,
        yardsticks: str, out: Path | None, as_object: bool) -> None:
    """Play one scenario and judge it."""
    from flintfield.lab import tables
    from flintfield.lab.experiments import runs

    _check_chooser(chooser)
    played = _load(scenario, changes)
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
        _print(runs.as_json(verdict))
    else:
        tables.show_verdict(verdict)
        if out:
            click.echo(f"report: {out / 'report.html'}")
    _end([verdict])


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
@told
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
@told
def sweep(names: tuple[str, ...], axes: tuple[str, ...], seeds: str, engine: Any, choosers: tuple[str, ...],
          changes: tuple[str, ...], out: Path, processes: int, as_object: bool) -> None:
    """Play a grid of settings times seeds over all cores."""
    from flintfield.lab import tables
    from flintfield.lab.experiments.pool import Players
    from flintfield.lab.experiments.settings import axis_of, seeds_of
    from flintfield.lab.experiments.sweep import Plan, sweep as play_sweep

    _check_chooser(*choosers)
    plan = Plan(tuple(_load(n, changes) for n in names), tuple(axis_of(a) for a in axes),
                tuple(seeds_of(seeds)), engine, choosers)
    with tables.progress() as bar, Players(_width(engine, processes)) as players:
        points = play_sweep(plan, out, players, on_start=bar.start, on_line=lambda line: bar.step())
    if as_object:
        _print(points)
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
@told
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
    _check_chooser(chooser, base_chooser or chooser)
    wanted = seeds_of(seeds)
    ours = [Job(_load(n, changes), s, engine, chooser) for n in names for s in wanted]
    theirs = [Job(_load(n, [*changes, *base_changes]), s, engine, base_chooser or chooser)
              for n in names for s in wanted]
    found: list[dict[str, Verdict]] = [{}, {}]
    width = _width(engine, processes)
    with tables.progress() as bar, Players(width, build) as base, Players(width) as here:
        bar.start(len(ours) + len(theirs), 0)
        for side, (players, jobs) in enumerate(((base, theirs), (here, ours))):
            for job, verdict in players.play_all(jobs):
                found[side][job.key()] = verdict
                bar.step()
    comparison = judge_pairs([(found[0][base_job.key()], found[1][job.key()])
                              for base_job, job in zip(theirs, ours, strict=True)])
    if as_object:
        _print(comparison)
    else:
        tables.show_comparison(comparison)
    if not comparison.pairs:
        void = next((v.void for side in found for v in side.values() if v.void), "")
        print(f"flintfield lab: no pair of runs to compare: {void}", file=sys.stderr)
        sys.exit(VOID)
    sys.exit(BROKE if comparison.other_broke or comparison.word == "worse" else KEPT)


@lab.command()
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
@told
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
            for job, verdict in play_fuzz(_load(base), drawn, seed, players, first=first, plant=plant,
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
        _print({"trials": len(goals), "goal_least": min(goals, default=None),
                "file": str(file) if failed else None,
                "violations": failed[1].violations if failed else []})
    else:
        tables.show_fuzz(goals, failed[1] if failed else None, str(file) if failed else "")
    _end([failed[1]] if failed else [])


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


@lab.command()
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
@told
def shrink(scenario: str, seed: int | None, rule: Any, changes: tuple[str, ...], plant: str, limit: int,
           seconds: float, out: Path | None, processes: int) -> None:
    """Reduce a failing scenario to the fewest troubles, nodes and seconds that still fail."""
    from flintfield.lab.experiments.pool import Players
    from flintfield.lab.experiments.runs import Job

    played = _load(scenario, changes)
    with Players(processes) as players:
        job = Job(played, played.seed if seed is None else seed, plant=plant)
        text = scenarios.dump(_shrink(job, rule, players, limit, seconds))
    if out:
        out.write_text(text)
        click.echo(f"{out}")
    else:
        click.echo(text, nl=False)


@lab.command()
@click.argument("names", nargs=-1, metavar="[FAULT...]")
@PROCESSES
@JSON
@told
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
        _print(caught)
    else:
        tables.show_planted(caught)
    sys.exit(KEPT if all(c.caught for c in caught) else BROKE)
