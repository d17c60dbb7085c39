"""`flintfield lab fleet ...`: play trials, and name those that ship.

Exit codes as all of the laboratory: 0 nothing found, 1 something was, 2 bad input, 3 the trial is void.
"""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec

from flintfield.base.errors import BadInput
from flintfield.lab.scenario import ScenarioError

if TYPE_CHECKING:
    from flintfield.lab.fleet.judge import Outcome
    from flintfield.lab.fleet.plan import Plan

FOUND, VOID = 1, 3


@click.group()
def fleet() -> None:
    """Play real processes with faults between them, and judge what they did together."""


@fleet.command("list")
def list_() -> None:
    """Name the plans that ship with the package."""
    from flintfield.lab.fleet import plan as plans

    for name in plans.library():
        click.echo(f"{name:24} {plans.load(name).about}")


@fleet.command()
@click.argument("plan", metavar="PLAN")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_object", is_flag=True, help="print one JSON object")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path),
              help="keep configurations, output and the log there")
def run(plan: str, seed: int, as_object: bool, out: Path | None) -> None:
    """Play PLAN, a shipped plan's name or a file, and judge it."""
    from flintfield.lab.fleet import plan as plans
    from flintfield.lab.fleet.trial import play
    from flintfield.lab.sockets import StartError

    try:
        loaded = plans.load(plan)
    except ScenarioError as error:
        raise BadInput(f"lab fleet: {error}") from error
    try:
        if out:
            outcome = play(loaded, seed, out)
            (out / "log.jsonl").write_bytes(outcome.log.encode())
        else:
            with tempfile.TemporaryDirectory(prefix="flintfield-fleet-") as passing:
                outcome = play(loaded, seed, Path(passing))
    except StartError as error:
        raise BadInput(f"lab fleet: {plan}: {error}") from error
    summed = summary(outcome, seed)
    if as_object:
        click.echo(msgspec.json.format(msgspec.json.encode(summed), indent=1))
    else:
        _show(summed)
    sys.exit(VOID if outcome.void else FOUND if outcome.findings else 0)


@fleet.command()
@click.argument("plan", metavar="PLAN")
@click.option("--seed", type=int, default=1, show_default=True, help="the first schedule's")
@click.option("--minutes", type=click.FloatRange(0, min_open=True), default=10.0, show_default=True)
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), default=Path("found.toml"),
              show_default=True, help="where the plan is written that replays what was found")
def hunt(plan: str, seed: int, minutes: float, out: Path) -> None:
    """Play PLAN with faults drawn in the place of its own, until something breaks or the time is up.

    What breaks is shrunk to the fewest faults and instances that still break it. Exit codes: 0 nothing was
    found, 1 something was, 2 bad input.
    """
    from flintfield.lab.fleet import hunt as hunting, plan as plans
    from flintfield.lab.fleet.trial import play

    try:
        base = plans.load(plan)
    except ScenarioError as error:
        raise BadInput(f"lab fleet: {error}") from error
    until = time.monotonic() + 60 * minutes

    def played(drawn: Plan) -> set[str]:
        with tempfile.TemporaryDirectory(prefix="flintfield-fleet-") as passing:
            return play(drawn, seed, Path(passing)).names

    found = hunting.hunt(base, seed, played, lambda: time.monotonic() < until,
                         lambda word: click.echo(word, err=True))
    if found is None:
        click.echo("nothing found")
        return
    out.write_text(plans.write(found.plan))
    click.echo(f"{', '.join(sorted(found.names))}: {len(found.plan.faults)} faults after {found.played} "
               f"trials; {out} replays it")
    sys.exit(FOUND)


def summary(outcome: Outcome, seed: int) -> dict[str, Any]:
    """What came of a trial, as plain values: times in ms, bytes of payload."""
    from flintfield.lab.fleet.judge.limits import usage

    history, service = outcome.history, outcome.verdict.service
    carried = history.carried.values()
    return {
        "plan": history.plan.name, "seed": seed, "void": outcome.void, "instances": len(history.instances),
        "findings": [{"name": f.name, "at": round(f.at, 1), "word": f.word} for f in outcome.findings],
        "service": {"goal": service.goal, "whole": service.whole, "worst_window": service.worst_window,
                    "classes": [{"name": c.name, "service": c.service, "asked": c.asked, "late": c.late,
                                 "refused": c.refused, "failed": c.failed, "unanswered": c.unanswered}
                                for c in service.classes]},
        "between": {"datagrams": sum(c.offered for c in carried), "passed": sum(c.passed for c in carried),
                    "lost": sum(c.lost for c in carried), "bytes": sum(c.bytes_passed for c in carried),
                    "bytes_s_each": round(sum(c.bytes_passed for c in carried) * 1000
                                          / max(1.0, history.end) / max(1, len(history.instances)), 1)},
        "limits": usage(history),
        "claims": len(history.claims), "length_ms": round(history.end),
        "faults": [{"at": round(f.at, 1), "act": f.act, "kind": f.deed.fault.kind_of(),
                    "number": f.deed.number} for f in history.faults],
    }


def _show(told: dict[str, Any]) -> None:
    service, between = told["service"], told["between"]
    click.echo(f"{told['plan']}, seed {told['seed']}: {told['instances']} instances, "
               f"{told['length_ms'] / 1000:.1f} s, {told['claims']} claims read")
    for fault in told["faults"]:
        click.echo(f"  {fault['at'] / 1000:7.2f} s  {fault['kind']} {fault['number']} "
                   f"{'begins' if fault['act'] == 'begin' else 'is over'}")
    click.echo(f"service {service['goal']:.3f} (worst window {service['worst_window']:.3f})")
    for one in service["classes"]:
        click.echo(f"  {one['name']}: {one['service']:.3f} of {one['asked']}, late {one['late']}, refused "
                   f"{one['refused']}, failed {one['failed']}")
    click.echo(f"between instances: {between['datagrams']} datagrams, {between['lost']} lost, "
               f"{between['bytes_s_each']:.0f} bytes/s each")
    for one in told["limits"]:
        click.echo(f"limit {one['name']}: {one['rights']}; admitted {one['admitted']}, refused "
                   f"{one['refused']}; by second {' '.join(map(str, one['by_second']))}")
    if told["void"]:
        click.echo(f"void: {told['void']}")
    for finding in told["findings"]:
        click.echo(f"FOUND {finding['name']} at {finding['at'] / 1000:.2f} s: {finding['word']}")
    if not told["findings"] and not told["void"]:
        click.echo("nothing found")
