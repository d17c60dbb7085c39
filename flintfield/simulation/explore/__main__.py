"""`python -m flintfield.simulation.explore register --depth 8`: explore a small world.

Exit codes: 0 where nothing is broken, 1 where something is.
"""

from __future__ import annotations

import argparse
import sys

from flintfield.simulation.explore.core_changes import core_world
from flintfield.simulation.explore.core_parts import Limits
from flintfield.simulation.explore.explorer import SmallWorld, explore
from flintfield.simulation.explore.foundation import foundation_world
from flintfield.simulation.explore.register import register_world
from flintfield.simulation.explore.takeover import TakeoverWorld
from flintfield.simulation.explore.takeover_budget import Budget
from flintfield.simulation.planted import planted


def main() -> int:
    """Run the command; returns the exit code."""
    arguments = _parser().parse_args()
    world: SmallWorld
    if arguments.world == "register":
        world = register_world(arguments.appenders, arguments.prepared)
    elif arguments.world == "core":
        world = core_world(
            Limits(
                arguments.size, arguments.elections, arguments.writes, arguments.wipes, arguments.unfinished
            )
        )
    elif arguments.world == "foundation":
        world = foundation_world(arguments.size, arguments.founders, arguments.needed)
    else:
        world = TakeoverWorld(
            Budget(
                arguments.takeovers,
                arguments.restarts,
                arguments.leaps,
                arguments.unanswered,
                arguments.ends,
                arguments.slow,
                arguments.waits,
                arguments.deregistrations,
            )
        )
    with planted(arguments.planted):
        explored = explore(world, arguments.depth, print, arguments.states)
    print(explored)
    return 1 if explored.broken else 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m flintfield.simulation.explore",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("world", choices=["register", "takeover", "core", "foundation"])
    parser.add_argument("--depth", type=int, default=30)
    parser.add_argument("--states", type=int, default=500_000, help="stop after so many")
    parser.add_argument("--planted", default="", metavar="NAME", help="with this fault planted")
    parser.add_argument("--appenders", type=int, default=1, help="register: processes that append")
    parser.add_argument("--prepared", action="store_true", help="register: begin with promises of a majority")
    parser.add_argument("--founders", type=int, default=2, help="foundation: lives of founders")
    parser.add_argument(
        "--needed", type=int, default=2, help="foundation: replicas that are gathered at least"
    )
    limits = Limits()
    for name in ("size", "elections", "writes", "wipes", "unfinished"):
        parser.add_argument(
            f"--{name}", type=int, default=getattr(limits, name), help="core: members, and at most so many"
        )
    budget = Budget()
    for name in ("takeovers", "restarts", "leaps", "unanswered", "ends", "slow", "waits", "deregistrations"):
        parser.add_argument(
            f"--{name}", type=int, default=getattr(budget, name), help="takeover: at most so many"
        )
    return parser


if __name__ == "__main__":
    sys.exit(main())
