"""Commands for operators: `members` asks a running instance, `keys` keeps the key file."""

from __future__ import annotations

import json
import os
import secrets
import stat
import time
import urllib.error
import urllib.request
from types import ModuleType
from typing import Any

import click

from flintfield.base.errors import BadInput

WITHIN_S = 5.0
MOST_PAGE = 16 << 20
CLEAR = "\x1b[H\x1b[2J"
NO_ANSWER, NOT_SAFE = 1, 1


def fetch(at: str, page: str = "/members", section: str = "membership") -> Any:
    """A page of a status port, as plain values; a `ClickException` tells why there is none."""
    try:
        with urllib.request.urlopen(f"http://{at}{page}", timeout=WITHIN_S) as answer:
            return json.loads(answer.read(MOST_PAGE))
    except urllib.error.HTTPError as error:
        raise click.ClickException(f"{at}: answers {error.code}: is [{section}] on there?") from error
    except (OSError, ValueError) as error:
        reason = getattr(error, "reason", error)
        raise click.ClickException(f"{at}: no answer from a status port: {reason}") from error


def read_status_address(text: str) -> str:
    """Check what `--at` names; a `BadInput` tells what is wrong with it."""
    from flintfield.base.config import read_address

    try:
        read_address(text)
    except ValueError as error:
        raise BadInput(f"--at: found {text!r}, expected host:port of a status port") from error
    return text


@click.command()
@click.option("--at", metavar="HOST:PORT", default="127.0.0.1:9080", show_default=True,
              help="The status port of the instance that is asked.")
@click.option("--watch", is_flag=True, help="Show it anew each second, until Ctrl-C.")
@click.option("--paths", is_flag=True, help="Show who hears whom, as a matrix, in place of the members.")
@click.option("--json", "as_json", is_flag=True, help="Print what the instance told, one line a look.")
def members(at: str, watch: bool, paths: bool, as_json: bool) -> int:
    """Show the members as a running instance sees them.

    The instance needs [membership] and [statuspage]. Exit codes: 0, 1 if it does not answer, 2 for bad input.
    """
    at = read_status_address(at)
    while True:
        told = fetch(at)
        if as_json:
            click.echo(json.dumps(told))
        else:
            click.echo((CLEAR if watch else "") + (as_matrix(told, at) if paths else _as_text(told, at)))
        if not watch:
            return 0
        time.sleep(1.0)


def as_matrix(told: dict[str, Any], at: str) -> str:
    """Who hears whom by each one's own word: a row hears its columns."""
    names = [m["name"] for m in told["members"] if m["state"] in ("alive", "suspect")]
    paths = told.get("paths", {"rows": {}, "gone_but_heard_s": {}})
    rows = paths["rows"]
    lines = [f"as {told['name']} ({at}) was told; it is {told.get('standing', 'well')} itself",
             "a row hears its columns: o yes, X no, ? nobody told; AGE of the row's own word"]
    cells = [("", *names, "AGE")]
    for name in names:
        row = rows.get(name)
        marks = ["." if other == name else "?" if row is None else "X" if other in row["not_heard"]
                 else "?" if row["more"] else "o" for other in names]
        cells.append((name, *marks, "-" if row is None else _span(row["age_s"])))
    widths = [max(len(row[i]) for row in cells) for i in range(len(cells[0]))]
    lines += ["  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip() for row in cells]
    lines += [f"{name} is held for dead and was heard {age:g} s ago: it is deaf, or cut off one way"
              for name, age in sorted(paths["gone_but_heard_s"].items())]
    return "\n".join(lines)


def _as_text(told: dict[str, Any], at: str) -> str:
    counts = ", ".join(f"{count} {word}" for word, count in told["counts"].items() if count)
    lines = [f"as {told['name']} ({at}) sees it: {counts}; schedulers: {told['schedulers']['live']} live, "
             f"{told['schedulers']['configured']} configured; own health {told['health']} (0 is well)"]
    rows = [("NAME", "ADDRESS", "STATE", "SINCE", "ROLE", "ZONE", "RELEASE", "JOBS", "INC", "REASON")]
    rows += [(m["name"], m["address"], m["state"], _span(told["at_s"] - m["since_s"]), m["role"], m["zone"],
              m["release"], str(m["load"]["jobs"]), str(m["incarnation"]), m["reason"])
             for m in told["members"]]
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines += ["  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
              for row in rows]
    return "\n".join(lines)


def _span(seconds: float) -> str:
    for unit, size in (("d", 86_400), ("h", 3_600), ("m", 60)):
        if seconds >= size:
            return f"{seconds / size:.0f}{unit}"
    return f"{seconds:.0f}s"


@click.group()
def keys() -> None:
    """Make, rotate and check the key file of [membership].

    To rotate: `keys rotate FILE` puts a new key first. Bring the file to all machines and send SIGHUP to all
    instances, in any order. Once `keys check FILE --at ...` says that all members have the new key,
    `keys rotate FILE --drop-old`, and bring it round once more. At no time do two members not understand
    each other.
    """


def _ring() -> ModuleType:
    """What keeps keys; it needs a package that an installation without membership does not have."""
    try:
        from flintfield.wire.membership import keys as ring
    except ModuleNotFoundError as error:
        raise click.ClickException(f"keys needs the package {error.name}: requirements-membership.txt names "
                                   f"what it needs") from error
    return ring


FILE = click.argument("file", metavar="FILE")


@keys.command()
@FILE
def new(file: str) -> int:
    """Write a new key file with one key, readable by its owner alone. Refuses to replace a file."""
    ring = _ring()
    key = ring.make_key(secrets.token_bytes(ring.KEY_BYTES))
    ring.write_keys(file, [key], new=True)
    click.echo(f"{file}: key {key.name}")
    return 0


@keys.command()
@FILE
@click.option("--drop-old", is_flag=True, help="Take out all keys but the first.")
def rotate(file: str, drop_old: bool) -> int:
    """Put a new key first, or take out the old ones."""
    ring = _ring()
    found = ring.read_keys(file)
    if drop_old:
        found = found[:1]
    elif len(found) >= ring.MOST_KEYS:
        raise BadInput(f"{file}: found {len(found)} keys, expected fewer than {ring.MOST_KEYS} to add one: "
                       f"take the old ones out first (--drop-old)")
    else:
        found = [ring.make_key(secrets.token_bytes(ring.KEY_BYTES)), *found]
    ring.write_keys(file, found, new=False)
    click.echo(f"{file}: keys {', '.join(k.name for k in found)}; the first is preferred")
    return 0


@keys.command()
@FILE
@click.option("--at", metavar="HOST:PORT", help="Compare with the members that this instance sees.")
def check(file: str, at: str | None) -> int:
    """Say which keys a file holds, and whether all members have the first.

    Exit codes: 0 if all is well, 1 if a member lacks the first key, others may read the file or nobody
    answers, 2 for a file that can not be used.
    """
    ring = _ring().read_keys(file)
    click.echo(f"{file}: keys {', '.join(k.name for k in ring)}; the first is preferred")
    code = 0
    if os.stat(file).st_mode & (stat.S_IRWXG | stat.S_IRWXO):
        click.echo(f"{file}: others than its owner may read or write it (expected mode 600)")
        code = NOT_SAFE
    if at:
        there = [m for m in fetch(read_status_address(at))["members"] if m["state"] in ("alive", "suspect")]
        lack = [m["name"] for m in there if ring[0].name not in m["keys"]]
        old = [m["name"] for m in there if set(m["keys"]) - {ring[0].name}]
        if lack:
            click.echo(f"without {ring[0].name}: {', '.join(lack)}: keep the old keys in the file")
            code = NOT_SAFE
        else:
            click.echo(f"all {len(there)} members have {ring[0].name}: older keys may be taken out"
                       + (f" (still with others: {', '.join(old)})" if old else ""))
    return code
