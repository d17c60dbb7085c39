"""`python -m flintfield.simulation`: play many histories, or look at one.

    python -m flintfield.simulation --histories 1000 --seed 0 --jobs 3
    python -m flintfield.simulation --replay 1234 --shrink
    python -m flintfield.simulation --planted               # the names of planted faults
    python -m flintfield.simulation --planted NAME --histories 200

Exit codes: 0 where no rule was broken, 1 where one was.
"""

from __future__ import annotations

import argparse
import sys

from flintfield.simulation import planted
from flintfield.simulation.campaign import campaign
from flintfield.simulation.history import Outcome, play
from flintfield.simulation.scenario import draw
from flintfield.simulation.shrink import shrink
from flintfield.simulation.themes import Theme

SHOWN = 5  # failing seeds whose broken rules are printed


def main() -> int:
    """Run the command; returns the exit code."""
    arguments = _parser().parse_args()
    if arguments.planted == "":
        for name, fault in planted.FAULTS.items():
            print(f"{name}: {fault.about}")
        return 0
    name = arguments.planted or ""
    theme = Theme(arguments.theme) if arguments.theme else None
    if arguments.replay is not None:
        with planted.planted(name):
            return _replay(arguments.replay, theme, arguments.shrink, arguments.quiet)
    return _campaign(arguments.seed, arguments.histories, arguments.jobs, name, theme)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m flintfield.simulation",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--histories", type=int, default=100, help="how many to play")
    parser.add_argument("--seed", type=int, default=0, help="the first seed")
    parser.add_argument("--jobs", type=int, default=1, help="processes")
    parser.add_argument("--replay", type=int, metavar="SEED", help="play one history and print its trace")
    parser.add_argument("--shrink", action="store_true", help="cut faults out of it while it still fails")
    parser.add_argument("--quiet", action="store_true", help="print no trace")
    parser.add_argument(
        "--planted",
        nargs="?",
        const="",
        metavar="NAME",
        help="with this fault planted; without a name: list them",
    )
    parser.add_argument("--theme", choices=[theme.value for theme in Theme], help="of this theme only")
    return parser


def _replay(seed: int, theme: Theme | None, wants_less: bool, quiet: bool) -> int:
    outcome = play(seed, draw(seed, theme))
    if wants_less and outcome.broken:
        outcome = shrink(outcome, lambda text: print(f"shrinking: {text}", file=sys.stderr))
    _print(outcome, quiet)
    return 1 if outcome.broken else 0


def _print(outcome: Outcome, quiet: bool) -> None:
    for fault in outcome.scenario.faults:
        print(f"fault  {fault}")
    if not quiet:
        for time_ms, text in outcome.trace:
            print(f"{time_ms:9.1f} {text}")
    for line in outcome.broken:
        print(f"broken: {line}")
    print(f"{len(outcome.broken)} broken, {len(outcome.record.runs)} runs, {outcome.events} events")


def _campaign(first: int, histories: int, jobs: int, name: str, theme: Theme | None) -> int:
    tally = campaign(range(first, first + histories), jobs, name, theme)
    for result in tally.failing[:SHOWN]:
        print(f"seed {result.seed}:")
        for line in result.broken[:SHOWN]:
            print(f"    {line}")
    if tally.failing:
        seed = tally.failing[0].seed
        extra = f" --planted {name}" if name else ""
        extra += f" --theme {theme.value}" if theme is not None else ""
        print(f"replay: python -m flintfield.simulation --replay {seed} --shrink{extra}")
    print(tally)
    return 1 if tally.failing else 0


if __name__ == "__main__":
    sys.exit(main())
