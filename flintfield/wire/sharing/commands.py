"""`flintfield budgets`: the limits as a running instance sees them."""

from __future__ import annotations

import json
import time
from typing import Any

import click

from flintfield.wire.membership.commands import CLEAR, fetch, read_status_address


@click.command()
@click.option("--at", metavar="HOST:PORT", default="127.0.0.1:9080", show_default=True,
              help="The status port of the instance that is asked.")
@click.option("--watch", is_flag=True, help="Show it anew each second, until Ctrl-C.")
@click.option("--json", "as_json", is_flag=True, help="Print what the instance told, one line a look.")
def budgets(at: str, watch: bool, as_json: bool) -> int:
    """Show shared limits as a running instance sees them.

    The instance needs [sharing] and [statuspage]. Exit codes: 0, 1 if it does not answer, 2 for bad input.
    """
    at = read_status_address(at)
    while True:
        told = fetch(at, "/sharing", "sharing")
        click.echo(json.dumps(told) if as_json else (CLEAR if watch else "") + as_text(told, at))
        if not watch:
            return 0
        time.sleep(1.0)


def as_text(told: dict[str, Any], at: str) -> str:
    """A table of the page."""
    unheard = ", ".join(f"{place} for {age:.0f} s" if age is not None else f"{place} never"
                        for place, age in sorted(told["unheard_s"].items(), key=lambda i: int(i[0])))
    lines = [f"as {told['name']} ({at}) sees it: place {told['place']} of {told['places']}, {told['mode']}"
             + (f"; not heard: {unheard}" if unheard else "")]
    rows = [("LIMIT", "KIND", "RIGHTS", "WINDOW", "PART", "FLOOR", "LENT", "HELD", "IN USE", "WANTED",
             "SPENT", "REFUSED", "FLEET")]
    rows += [(one["name"], one["kind"], str(one["rights"]), f"{one['window_ms'] / 1000:g}s",
              f"{one['usable']}/{one['part']}", str(one["floor"]), str(one["lent"]), str(one["held"]),
              str(one["occupied"]), str(one["wanted"]), str(one["spent"]), str(one["refused"]),
              _interval(one["fleet"])) for one in told["limits"]]
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines += ["  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
              for row in rows]
    return "\n".join(lines)


def _interval(fleet: dict[str, Any]) -> str:
    """The use by all in this minute."""
    low, high = fleet["low"], fleet["high"]
    return f"{low}" if low == high else f"{low} or more" if high is None else f"{low} to {high}"
