"""`plan`: asks running forwarders and planners for their plans."""

from __future__ import annotations

import json
import urllib.error
import urllib.request
from typing import Any

import click

from flintfield.base.config import read_address
from flintfield.base.errors import BadInput

WITHIN_S = 5.0
MOST_PAGE = 16 << 20
DIFFERS = 1


def _fetch(at: str) -> dict[str, Any]:
    try:
        read_address(at)
    except ValueError as error:
        raise BadInput(f"--at: found {at!r}, expected host:port of a status port") from error
    try:
        with urllib.request.urlopen(f"http://{at}/plan", timeout=WITHIN_S) as answer:
            told: dict[str, Any] = json.loads(answer.read(MOST_PAGE))
            return told
    except urllib.error.HTTPError as error:
        raise click.ClickException(f"{at}: answers {error.code}: has it a [role]?") from error
    except (OSError, ValueError) as error:
        reason = getattr(error, "reason", error)
        raise click.ClickException(f"{at}: no answer from a status port: {reason}") from error


@click.group()
def plan() -> None:
    """Show what planners plan and what forwarders have in force.

    The instances need [role] and [statuspage]. Exit codes: 0, 1 if one does not answer (or plans differ), 2
    for bad input.
    """


@plan.command()
@click.option("--at", metavar="HOST:PORT", default="127.0.0.1:9080", show_default=True,
              help="The status port of the instance that is asked.")
@click.option("--json", "as_json", is_flag=True, help="Print what the instance told.")
def show(at: str, as_json: bool) -> int:
    """Show one instance's plan, or for a planner its forwarders."""
    told = _fetch(at)
    click.echo(json.dumps(told) if as_json else _as_text(told))
    return 0


@plan.command()
@click.argument("one", metavar="HOST:PORT")
@click.argument("other", metavar="HOST:PORT")
def diff(one: str, other: str) -> int:
    """Compare the plans in force at two forwarders: whom they follow, and workers that are home to both."""
    first, second = _fetch(one), _fetch(other)
    for at, told in ((one, first), (other, second)):
        if told["role"] != "forwarder":
            raise BadInput(f"{at}: found a {told['role']}, expected a forwarder")
    lines = [f"{at}: {_headline(told)}" for at, told in ((one, first), (other, second))]
    plans = [told["plan"] or {"place": None, "term": None, "rows": []} for told in (first, second)]
    if [plans[0]["place"], plans[0]["term"]] != [plans[1]["place"], plans[1]["term"]]:
        lines.append("they follow different planners, or different lives of one")
    homes = [{r["worker"] for r in made["rows"] if r["home"]} for made in plans]
    both = sorted(homes[0] & homes[1])
    lines.append(f"home to both: {', '.join(both) or 'none'}")
    click.echo("\n".join(lines))
    return DIFFERS if both or len(lines) > 3 else 0


def _headline(told: dict[str, Any]) -> str:
    made = told["plan"]
    if made is None:
        return f"{told['name']}: no plan in force"
    return (f"{told['name']}: planner {made['place']} term {made['term']} number {made['number']} "
            f"({made['proof']}), weight {told['weight']:g}, {told['age_ms']} ms old")


def _as_text(told: dict[str, Any]) -> str:
    if told["role"] == "planner":
        state = "listens" if told["listening"] else "plans"
        lines = [f"planner {told['place']} term {told['term']}: {state}, {told['workers']} workers, "
                 f"{told['links']} links, {'gives' if told['leases'] else 'no'} leases"
                 f"{', ITS PLACE IS TAKEN BY A LATER LIFE' if told['place_taken'] else ''}"]
        return "\n".join(lines + [f"  {f['name']}: demand {f['demand']:g}, {f['homes']} homes, heard "
                                  f"{f['heard_ms']} ms ago" for f in told["forwarders"]])
    lines = [_headline(told)]
    lines += [f"  planner {p['place']} {p['address']}: {'connected' if p['connected'] else p['error']}"
              for p in told["planners"]]
    made = told["plan"] or {"rows": [], "leases": []}
    lines += [f"  {r['worker']}: share {r['share']:.4f}, price {r['price']:.4f}, {r['others']:g} of "
              f"{r['slots']:g} slots others'{', home' if r['home'] else ''}" for r in made["rows"]]
    lines += [f"  {x['worker']}: cold, leased {x['part']:.4f} of its budget" for x in made["leases"]]
    if told["last_refusal"]:
        lines.append(f"  last refused: {told['last_refusal']}")
    return "\n".join(lines)
