"""`flintfield nodes`: worker nodes as a running instance judges them, and where two instances differ."""

from __future__ import annotations

import json
from typing import Any

import click

from flintfield.wire.membership.commands import fetch, read_status_address

SAME = 0.5  # slots that two instances may count unlike


@click.command()
@click.option("--at", metavar="HOST:PORT", default="127.0.0.1:9080", show_default=True,
              help="The status port of the instance that is asked.")
@click.option("--why", metavar="NODE", help="All evidence on one worker node, by its address.")
@click.option("--diff", metavar="HOST:PORT", help="Another instance: only what the two judge unlike.")
@click.option("--json", "as_json", is_flag=True, help="Print what the instance told.")
def nodes(at: str, why: str | None, diff: str | None, as_json: bool) -> int:
    """Show worker nodes as a running instance judges them.

    The instance needs [sharing] with judgements, and [statuspage]. Exit codes: 0, 1 if it does not answer or
    does not know the node, 2 for bad input.
    """
    told = fetch(read_status_address(at), "/judgements", "sharing")
    if as_json:
        click.echo(json.dumps(told))
    elif why:
        found = [node for node in told["nodes"] if node["node"] == why]
        if not found:
            raise click.ClickException(f"{why}: not listed at {at}")
        click.echo(json.dumps(found[0], indent=1))
    elif diff:
        click.echo("\n".join(differences(told, fetch(read_status_address(diff), "/judgements", "sharing"))))
    else:
        click.echo(as_text(told))
    return 0


def as_text(told: dict[str, Any]) -> str:
    """A table of the page."""
    head = (f"as {told['name']} judges: place {told['place']} of {told['places']}, {len(told['others'])} "
            f"heard, held slots counted at {told['weight']:.0%}")
    rows = [("NODE", "HELD HERE", "HELD HEARD", "COUNTED", "AVOIDED", "NOT REACHED", "HEARD OF BY")]
    rows += [(n["node"], f"{n['held_here']:g}", f"{n['held_heard']:g}", f"{n['counted']:g}",
              ",".join(n["avoided"]), "asking" if n["doubted"] else "yes" if n["unreached"] else "",
              str(len(n["heard"]))) for n in told["nodes"]]
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = ["  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
             for row in rows]
    return "\n".join([head, *lines])


def differences(one: dict[str, Any], other: dict[str, Any]) -> list[str]:
    """A line for each worker node that the two judge unlike."""
    theirs = {node["node"]: node for node in other["nodes"]}
    lines = []
    for node in one["nodes"]:
        its = theirs.pop(node["node"], None)
        if its is None:
            lines.append(f"{node['node']}: only {one['name']} lists it")
            continue
        unlike = [f"{key}: {node[key]} and {its[key]}" for key in ("avoided", "unreached")
                  if node[key] != its[key]]
        sums = [n["held_here"] + n["counted"] for n in (node, its)]
        if abs(sums[0] - sums[1]) > SAME:
            unlike.append(f"slots held: {sums[0]:g} and {sums[1]:g}")
        if unlike:
            lines.append(f"{node['node']}: " + "; ".join(unlike))
    return lines + [f"{name}: only {other['name']} lists it" for name in theirs]
