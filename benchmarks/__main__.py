"""`python -m benchmarks SUITE...`: the same as `flintfield bench`."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from benchmarks.runner import SUITES, run_and_tell
from benchmarks.suite import Options


def main(argv: list[str] | None = None) -> int:
    """Read the command line and run; exit code 2 where it is wrong."""
    parser = argparse.ArgumentParser(prog="flintfield bench", description=__doc__)
    parser.add_argument("suites", nargs="+", metavar="SUITE", help=f"{', '.join(SUITES)} or all")
    parser.add_argument("--rounds", type=int, default=5, help="how often each figure is measured")
    parser.add_argument("--scale", type=float, default=1.0, help="length of a round as a part of the usual")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", action="append", default=[], help="beginning of the names wanted")
    parser.add_argument("--json", type=Path, metavar="FILE", help="write the results there")
    parser.add_argument("--compare", type=Path, metavar="FILE", help="pair with an earlier run")
    given = parser.parse_args(argv)
    try:
        options = Options(given.rounds, given.scale, given.seed, tuple(given.only))
    except ValueError as error:
        parser.error(str(error))
    return run_and_tell(given.suites, options, given.json, given.compare)


if __name__ == "__main__":
    sys.exit(main())
