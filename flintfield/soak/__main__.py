"""Soak runs from the command line: `python -m flintfield.soak --seeds 50`; exit code 1 if one is broken."""

from __future__ import annotations

import argparse
import shutil
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

from flintfield.console.local.machines import ClusterSize
from flintfield.soak.cluster import ClusterFailed
from flintfield.soak.play import Verdict, play

DEFAULT_SECONDS = 10.0
DEFAULT_SIZE = ClusterSize(replicas=3, frontends=3, agents=4)
SHOWN = 8  # broken rules of one run


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m flintfield.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=0, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many runs")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS, help="in which actions begin")
    parser.add_argument("--jobs", type=int, default=1, help="runs at the same time")
    parser.add_argument("--replicas", type=int, default=DEFAULT_SIZE.replicas)
    parser.add_argument("--frontends", type=int, default=DEFAULT_SIZE.frontends, help="without a disk")
    parser.add_argument("--agents", type=int, default=DEFAULT_SIZE.agents, help="each with a worker")
    parser.add_argument("--folder", type=Path, help="keeps the logs of runs that broke a rule")
    return parser.parse_args()


def _play_one(seed: int, size: ClusterSize, seconds: float, folder: Path) -> Verdict | str:
    try:
        return play(seed, size, seconds, folder / f"seed-{seed}")
    except ClusterFailed as error:
        return f"seed {seed}: the cluster failed: {error}"


def _show(verdict: Verdict | str) -> bool:
    """Print one run; whether it was good."""
    if isinstance(verdict, str):
        print(verdict, flush=True)
        return False
    word = f"{len(verdict.broken)} broken" if verdict.broken else "good"
    print(
        f"seed {verdict.plan.seed}: {word}; {len(verdict.plan.actions)} actions, "
        f"{verdict.processes} processes, {verdict.calls} calls, {verdict.jobs} jobs, "
        f"{verdict.changes} changes",
        flush=True,
    )
    for line in verdict.broken[:SHOWN]:
        print(f"    {line}")
    if verdict.broken:
        print("".join(f"      {action}\n" for action in verdict.plan.actions), end="", flush=True)
    return not verdict.broken


def main() -> int:
    """Play the runs; returns the exit code."""
    arguments = _arguments()
    size = ClusterSize(arguments.replicas, arguments.frontends, arguments.agents)
    folder = arguments.folder or Path(tempfile.mkdtemp(prefix="flintfield-soak-"))
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    work = partial(_play_one, size=size, seconds=arguments.seconds, folder=folder)
    bad = 0
    with ThreadPoolExecutor(arguments.jobs) as pool:
        for seed, verdict in zip(seeds, pool.map(work, seeds), strict=True):
            if _show(verdict):
                shutil.rmtree(folder / f"seed-{seed}", ignore_errors=True)
            else:
                bad += 1
    print(f"{len(seeds)} runs, {bad} broken" + (f"; logs in {folder}" if bad else ""))
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
