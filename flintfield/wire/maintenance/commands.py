"""`flintfield maintenance`: plans from a file, and what running executors know and are told."""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.request
from typing import Any
from urllib.parse import quote

import click

from flintfield.base.errors import BadInput
from flintfield.wire.membership.commands import fetch, read_status_address

WITHIN_S = 5.0
ORDERS = {"out": "Take a node out as soon as agreements allow.",
          "touch": "Ask, at the node, whether it is safe to touch now.",
          "done": "Say that the work at a node is over: let it back.",
          "call-off": "Let a node back that is being drained.",
          "vouch": "Say that a node serves, or never will again; written to the log.",
          "off": "Say that a scheduler's process is off and sends nothing."}
AT = click.option("--at", metavar="HOST:PORT", default="127.0.0.1:9080", show_default=True,
                  help="The status port of the instance that is asked.")
ADMIN = click.option("--at", metavar="HOST:PORT", required=True, help="The executor's second address.")


@click.group()
def maintenance() -> None:
    """Take worker nodes out within what was agreed with tenants (docs/maintenance.md)."""


@maintenance.command()
@click.argument("file", metavar="FILE")
def check(file: str) -> None:
    """Read and check a file of agreements and works."""
    from flintfield.maintenance.reading import read

    book = read(file)
    click.echo(f"{file}: {len(book.nodes)} nodes, {len(book.agreements)} agreements, "
               f"{len(book.works)} works, version {book.version():x}")
    for agreement in book.agreements:
        nodes = book.nodes_of(agreement)
        total = sum(n.slots for n in nodes)
        spare = total - book.floor(agreement, total)
        heavy = [n.name for n in nodes if n.slots > spare]
        if heavy:
            click.echo(f"  {agreement.name}: {spare} of {total} slots may be missing, so these can never be "
                       f"out: {', '.join(heavy[:8])}{' ...' if len(heavy) > 8 else ''}")


@maintenance.command()
@click.argument("file", metavar="FILE")
@click.option("--days", type=click.FloatRange(0.1, 120), default=30, show_default=True, help="How far ahead.")
@click.option("--seconds", type=click.FloatRange(0.1, 600), default=5, show_default=True,
              help="How long to look for a better plan.")
@click.option("--lost", multiple=True, metavar="NODE", help="A node that is missing now; may be given again.")
@click.option("--json", "as_json", is_flag=True, help="Print all figures.")
def plan(file: str, days: float, seconds: float, lost: tuple[str, ...], as_json: bool) -> int:
    """Say when each node's work begins, or which agreements are in the way. Exit code 1: not all fits."""
    from flintfield.maintenance.problem import GRID, Problem
    from flintfield.maintenance.reading import read
    from flintfield.maintenance.schedule import peaks, plan_for
    from flintfield.maintenance.windows import from_minutes

    book = read(file)
    names = {n.name for n in book.nodes}
    for name in lost:
        if name not in names:
            raise BadInput(f"--lost: found {name!r}, expected the name of a node")
    problem = Problem(book, int(time.time() // 60), days, lost=lost)
    found, zone = plan_for(problem, seconds), book.place()
    rows = sorted((begin, key) for key, begin in found.begins.items())

    def local(step: int) -> str:
        return from_minutes(problem.first + step * GRID, zone).isoformat(timespec="minutes")

    if as_json:
        click.echo(json.dumps({
            "tasks": [{"work": key[0], "node": key[1], "begins": local(begin),
                       "minutes": found.tasks[key].steps * GRID} for begin, key in rows],
            "unplaced": [{"work": u.task.work, "node": u.task.node, "why": u.why, "names": u.names}
                         for u in found.unplaced],
            "gap": round(found.gap, 4), "peaks": peaks(found, problem)}))
        return int(bool(found.unplaced))
    for begin, key in rows:
        click.echo(f"{local(begin)}  {found.tasks[key].steps * GRID:>4} min  {key[1]:<16} {key[0]}")
    for one in found.unplaced:
        click.echo(f"no place: {one.task.work} at {one.task.node}: {one.why}: {', '.join(one.names)}")
    most_of = sorted(peaks(found, problem).items())
    full = [f"{n} {most} of {may}" for n, (most, may) in most_of if most == may]
    click.echo(f"{len(rows)} of {len(problem.tasks)} placed; the last ends at most {found.gap:.0%} later "
               f"than it can at the best" + (f"; full at times: {', '.join(full[:8])}" if full else ""))
    return int(bool(found.unplaced))


@maintenance.command()
@AT
@click.option("--json", "as_json", is_flag=True, help="Print what the instance told.")
def show(at: str, as_json: bool) -> int:
    """Show what is out, and what is waited for, as a running instance sees it."""
    told = fetch(read_status_address(at), "/maintenance", "maintenance")
    click.echo(json.dumps(told) if as_json else as_text(told, at))
    return 0


@maintenance.command()
@click.argument("node")
@AT
def why(node: str, at: str) -> int:
    """Say what the next step of a node waits for. Exit code 1: no executor asked knows of it."""
    told = fetch(read_status_address(at), "/maintenance", "maintenance")
    mine = [n for n in told.get("executor", {}).get("nodes", []) if n["node"] == node]
    for one in mine:
        click.echo(f"{node} is {one['phase']} for {one['for_ms'] / 1000:.0f} s"
                   + (": safe to touch" if one["safe_to_touch"] else ""))
        for line in one["why"]:
            click.echo(f"  {line}")
    if not mine:
        barred = node in told["scheduler"]["barred"]
        word = "barred here by another place" if barred else "not out, as far as is known here"
        click.echo(f"{node} is {word}")
    return int(not mine)


def as_text(told: dict[str, Any], at: str) -> str:
    """The page for people."""
    own = told["scheduler"]
    lines = [f"as {told['name']} ({at}) sees it: {len(own['barred'])} nodes barred here"
             + ("" if own["grown"] else "; just started, and not told yet what stands")]
    executor = told.get("executor")
    if executor is None:
        return "\n".join([*lines, "no executor here"])
    lines.append(f"place {executor['place']} of {executor['places']}: {executor['mode']}")
    if executor["unconfirmed"]:
        lines.append(f"not heard of late: {', '.join(executor['unconfirmed'])}")
    if executor["in_doubt"]:
        lines.append(f"{executor['in_doubt']} nodes were not seen serving yet, and count as out")
    for name, pool in executor["pools"].items():
        lines.append(f"  {name}: {pool['free']} free and {pool['bound']} bound of {pool['owned']} here, "
                     f"{pool['units']} in all")
    for one in executor["nodes"]:
        lines.append(f"  {one['node']}: {one['phase']} for {one['for_ms'] / 1000:.0f} s"
                     + (", SAFE TO TOUCH" if one["safe_to_touch"] else ""))
        lines += [f"    {word}" for word in one["why"]]
    return "\n".join(lines)


def _send(at: str, order: str, subject: str) -> int:
    path = "/".join(quote(part, safe="") for part in (subject, order) if part)
    url = f"http://{read_status_address(at)}/control/maintenance/{path}"
    request = urllib.request.Request(url, method="PUT")
    try:
        with urllib.request.urlopen(request, timeout=WITHIN_S) as answer:
            click.echo(answer.read().decode().strip())
            return 0
    except urllib.error.HTTPError as error:
        click.echo(f"{error.code}: {error.read().decode().strip()}")
        return 1
    except OSError as error:
        raise click.ClickException(f"{at}: no answer from a second address: "
                                   f"{getattr(error, 'reason', error)}") from error


def _order(name: str, about: str) -> None:
    @maintenance.command(name, help=f"{about} Exit code 1: no.")
    @click.argument("subject")
    @ADMIN
    def ask(subject: str, at: str) -> int:
        return _send(at, name, subject)


for _name, _about in ORDERS.items():
    _order(_name, _about)


@maintenance.command()
@ADMIN
def hold(at: str) -> int:
    """Begin no more drains at this executor."""
    return _send(at, "hold", "")


@maintenance.command()
@ADMIN
def resume(at: str) -> int:
    """Begin drains again."""
    return _send(at, "resume", "")
