"""The scheduler's own commands."""

from __future__ import annotations

import click


@click.command()
@click.option("--ini", metavar="FILE", help="The operators' settings; without it no feature is on.")
@click.pass_context
def run(ctx: click.Context, ini: str | None) -> int:
    """Run one real scheduler until SIGTERM or SIGINT.

    LB_CONFIG names the platform's configuration. Exit codes: 0 after a stop, 2 for a faulty configuration,
    1 for an address that can not be taken.
    """
    from flintfield.lifecycle.start import serve

    above = ctx.parent.params.get("ini") if ctx.parent else None
    return serve(ini or above)


@click.command()
@click.argument("file", metavar="FILE")
def replay(file: str) -> int:
    """Decide again what a capture holds, and print what differs.

    FILE is a copy of the ring, or a cap-*.jsonl. Exit codes: 0 if no decision differs, 1 if some do, 2 if
    there is no such file or no header in it.
    """
    from flintfield.capture.replay import run as run_replay

    return run_replay(file)
