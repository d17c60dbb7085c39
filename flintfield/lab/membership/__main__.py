"""`python -m flintfield.lab.membership`: make the runs of the grid, and sum them up as tables and plots."""

from __future__ import annotations

import time
from concurrent.futures import FIRST_COMPLETED, ProcessPoolExecutor, wait
from itertools import islice
from pathlib import Path

import click
import msgspec

from flintfield.lab.membership.sweep import SIZES, Outcome, measure, points


@click.group()
def main() -> None:
    """Membership in virtual time."""


def read(path: Path) -> list[Outcome]:
    """The outcomes that a file holds, a JSON object a line."""
    if not path.exists():
        return []
    return [msgspec.json.decode(line, type=Outcome) for line in path.read_bytes().splitlines()]


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--sizes", default=",".join(map(str, SIZES)), show_default=True)
@click.option("--seeds", default=1, show_default=True)
@click.option("--jobs", default=2, show_default=True)
@click.option("--seconds", default=200.0, show_default=True, help="Begin no run after that.")
def sweep(file: Path, sizes: str, seeds: int, jobs: int, seconds: float) -> None:
    """Make the runs that FILE does not hold yet, and add them to it."""
    done = {o.point for o in read(file)}
    wanted = dict.fromkeys(points(tuple(map(int, sizes.split(","))), seeds))
    left = [p for p in wanted if p not in done]
    click.echo(f"{len(done)} done, {len(left)} left")
    ends, waiting = time.monotonic() + seconds, iter(left)
    with ProcessPoolExecutor(jobs) as pool, file.open("ab") as out:
        running = {pool.submit(measure, p) for p in islice(waiting, jobs)}
        while running:
            done_now, running = wait(running, return_when=FIRST_COMPLETED)
            for future in done_now:
                out.write(msgspec.json.encode(future.result()) + b"\n")
                out.flush()
                if time.monotonic() < ends:
                    running |= {pool.submit(measure, p) for p in islice(waiting, 1)}


@main.command()
@click.argument("file", type=click.Path(path_type=Path, exists=True))
def table(file: Path) -> None:
    """Sum the runs of FILE up as tables in Markdown."""
    from flintfield.lab.membership.report import tables

    click.echo(tables(read(file)))


@main.command()
@click.argument("file", type=click.Path(path_type=Path, exists=True))
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
def plot(file: Path, folder: Path) -> None:
    """Plot the runs of FILE against the papers' formulas, into FOLDER."""
    from flintfield.lab.membership.report import plots

    for path in plots(read(file), folder):
        click.echo(str(path))


@main.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--seed", default=1, show_default=True)
def views(file: Path, seed: int) -> None:
    """Play one trouble after the other, and plot what 30 members believe over time into FILE."""
    from flintfield.lab.membership.views import draw, play

    draw(play(seed), file)
    click.echo(str(file))


if __name__ == "__main__":
    main()
