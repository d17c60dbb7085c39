"""`flintfield sites`: what would become of the load if sites were lost."""

from __future__ import annotations

import json
from collections.abc import Collection
from typing import Any

import click

from flintfield.base.errors import BadInput
from flintfield.sites.file import read
from flintfield.sites.plan import Class, Plan, losses, plan_for


@click.group()
def sites() -> None:
    """Plan for the loss of sites, from an operators' file (docs/sites.md)."""


@sites.command()
@click.argument("file", metavar="FILE")
def check(file: str) -> None:
    """Read and check a file of sites."""
    found, classes = read(file)
    click.echo(f"{file}: {len(found)} sites, {len(classes)} classes, {len(list(losses(found)))} plans")


@sites.command()
@click.argument("file", metavar="FILE")
@click.option("--lost", multiple=True, metavar="SITE", help="Plan for this loss alone; may be given again.")
@click.option("--json", "as_json", is_flag=True, help="Print all figures.")
def plan(file: str, lost: tuple[str, ...], as_json: bool) -> None:
    """Say what is kept, refused and moved: with no site lost, with each one, with any two."""
    found, classes = read(file)
    names = {site.name for site in found}
    for name in lost:
        if name not in names:
            raise BadInput(f"--lost: found {name!r}, expected one of {', '.join(sorted(names))}")
    wanted = [tuple(sorted(set(lost)))] if lost else list(losses(found))
    plans = [plan_for(found, classes, one) for one in wanted]
    if as_json:
        click.echo(json.dumps([as_object(one) for one in plans]))
    else:
        click.echo("\n".join(as_text(one, classes) for one in plans))


def as_object(plan: Plan) -> dict[str, Any]:
    """All figures of a plan."""
    return {"lost": list(plan.lost), "use": dict(plan.use), "kept": dict(plan.kept),
            "refused": list(plan.refused), "crossing": plan.crossing,
            "flows": [[f.cls, f.home, f.at, f.work] for f in plan.flows]}


def as_text(plan: Plan, classes: Collection[Class]) -> str:
    """One paragraph for people."""
    head = f"if {' and '.join(plan.lost)} is lost" if plan.lost else "with all sites"
    kept = ", ".join(f"{plan.kept[c.name]:.2f} of {c.name}" for c in sorted(classes, key=lambda c: -c.earns))
    use = ", ".join(f"{name} at {part:.2f}" for name, part in sorted(plan.use.items()))
    moves: dict[tuple[str, str], float] = {}
    for flow in plan.flows:
        if flow.home != flow.at:
            moves[flow.home, flow.at] = moves.get((flow.home, flow.at), 0.0) + flow.work
    lines = [f"{head}: kept {kept}; {use or 'nothing is left'}"]
    if plan.refused:
        lines.append(f"  refused first: {', '.join(plan.refused)}")
    lines += [f"  {home} to {at}: {work:.3g} of work a ms" for (home, at), work in sorted(moves.items())]
    return "\n".join(lines)
