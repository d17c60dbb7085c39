"""What it costs that job status lasts: latency, rate and processor time with `[store]`, beside those without.

    python -m benchmarks.lasting [ROUNDS] [SCALE]

Bookings, two steps of which wait for the disk, and jobs of a safe class, for which nothing waits, go through
one scheduler on one core to ten instant nodes. In turn, in every round: no feature, job status alone, the
store with each step synced, and the store with steps that wait for the operating system alone. What the disk
itself takes is measured beside: one write of 100 bytes and its sync, in the same folder, within `TMPDIR`.
"""

from __future__ import annotations

import os
import sys
import tempfile
import time
from collections import defaultdict
from pathlib import Path
from typing import Any

from benchmarks.stage import Stage
from benchmarks.suite import Options, Result, median_of

CONNECTIONS = (1, 16)
SECONDS = 2.0
SYNCS = 200
INIS = {
    "off": "",
    "jobstatus": "[jobstatus]\n",
    "synced": "[store]\ndir = {0}/synced\n",
    "unsynced": "[store]\ndir = {0}/unsynced\nsync_ms = 100\n",
}


def _sync_us(folder: Path) -> float:
    """The median of a small write and its sync."""
    took = []
    with open(folder / "probe", "wb", buffering=0) as file:
        for _ in range(SYNCS):
            began = time.perf_counter()
            file.write(b"x" * 100)
            os.fdatasync(file.fileno())
            took.append(time.perf_counter() - began)
    return sorted(took)[SYNCS // 2] * 1e6


def run(options: Options) -> list[Result]:
    """All figures, by class, variant and number of connections."""
    seen: dict[tuple[str, str, int], list[dict[str, Any]]] = defaultdict(list)
    syncs = []
    with tempfile.TemporaryDirectory() as folder, Stage() as stage:
        nodes = stage.nodes(nodes=10, slots=64)
        targets = {name: stage.scheduler(nodes, ini=ini.format(folder)) for name, ini in INIS.items()}
        for number in range(options.rounds):
            syncs.append(_sync_us(Path(folder)))
            for cls in ("social-booking", "match-list"):
                for connections in CONNECTIONS:
                    for name, target in targets.items():
                        seen[cls, name, connections].append(
                            stage.call(
                                target,
                                cls=cls,
                                connections=connections,
                                seconds=SECONDS * options.scale,
                                warm_up=0.5 * options.scale,
                                seed=options.seed + number,
                            )
                        )
    results = [median_of("lasting.sync", "us", "lower", syncs)]
    for (cls, name, connections), rounds in seen.items():
        end = f"{cls}.{name}.{connections}"
        results += [
            median_of(
                f"lasting.rate.{end}",
                "requests/s",
                "higher",
                [r["rate"] for r in rounds],
                statuses=[r["statuses"] for r in rounds],
            ),
            median_of(f"lasting.cpu.{end}", "us/request", "lower", [r["cpu_us"] for r in rounds]),
            *(
                median_of(f"lasting.{part}.{end}", "us", "lower", [r["latency_us"][part] for r in rounds])
                for part in ("p50", "p99")
            ),
        ]
    return results


def main() -> None:
    """Print all figures, and those of each round behind them."""
    rounds, scale = (*sys.argv[1:], *("5", "1.0")[len(sys.argv) - 1 :])
    for result in run(Options(rounds=int(rounds), scale=float(scale))):
        seen = " ".join(f"{figure:.0f}" for figure in result.detail["rounds"])
        print(f"{result.name:<42} {result.value:>9.0f} {result.unit:<12} {seen}")


if __name__ == "__main__":
    main()
