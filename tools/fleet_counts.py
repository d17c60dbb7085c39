"""Sum what many schedulers counted: by second over all, and for each next hop the most that all held there.

    python -m tools.fleet_counts FOLDER [--match TEXT] [--nodes 10]

FOLDER has a `*.log` for each scheduler, written with `[counts]` on (`flintfield/units/counts.py`). A line may
begin with the second that it came at; without one, its `timestamp` counts, from the earliest of all. What is
no line of counts is passed over, and told of at the end: log lines by event.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

import click


@dataclass(slots=True)
class Sums:
    """Of a fleet: gains by second and counter, levels by second and name, other log lines by their event, and
    by next hop the most branches that were out at once, with the second."""

    gained: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    levels: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    told: dict[int, int] = field(default_factory=lambda: defaultdict(int))  # lines of counts
    versions: dict[int, set[int | None]] = field(default_factory=lambda: defaultdict(set))
    events: Counter[str] = field(default_factory=Counter)
    peaks: dict[str, tuple[int, int]] = field(default_factory=dict)


def read_line(line: str) -> tuple[float | None, dict[str, Any]] | None:
    """The second that a line begins with, and its object; None if it holds none."""
    begun, brace, rest = line.partition("{")
    try:
        given = json.loads(brace + rest)
        return (float(begun) if begun.strip() else None), given
    except ValueError:
        return None


def read_folder(folder: Path) -> Iterator[tuple[float, dict[str, Any]]]:
    """All lines of all logs, with their seconds."""
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if (read := read_line(line)) is None:
                continue
            at, given = read
            if at is None:
                try:
                    at = datetime.fromisoformat(str(given.get("timestamp"))).timestamp()
                except ValueError:
                    continue
            yield at, given


def sum_up(lines: Iterable[tuple[float, dict[str, Any]]]) -> Sums:
    """Sum the lines; seconds that are times of day count from the earliest."""
    lines = list(lines)
    zero = min((at for at, _ in lines), default=0.0)
    zero = zero if zero > 1e8 else 0.0
    sums, held = Sums(), dict[int, Counter[str]]()
    for at, given in lines:
        second = int(at - zero)
        if given.get("event") != "counts":
            sums.events[str(given.get("event"))] += 1
            continue
        sums.told[second] += 1
        sums.gained[second].update(given["gained"])
        sums.versions[second].add(given["now"].get("version"))
        sums.levels[second].update({k: v for k, v in given["now"].items() if k != "version"})
        held.setdefault(second, Counter()).update(given["at"])
    for second, at_once in held.items():
        for name, count in at_once.items():
            sums.peaks[name] = max(sums.peaks.get(name, (0, 0)), (count, second))
    return sums


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--match", default="", help="only counters with this text")
@click.option("--nodes", default=10, help="so many next hops with the highest peaks")
def main(folder: Path, match: str, nodes: int) -> None:
    """Print the sums."""
    sums = sum_up(read_folder(folder))
    names = sorted({n for gained in sums.gained.values() for n in gained if match in n})
    levels = sorted({n for level in sums.levels.values() for n in level})
    seconds = sorted(sums.told)
    print(f"{'second':34}" + "".join(f"{s:6}" for s in seconds))
    print(f"{'schedulers heard':34}" + "".join(f"{sums.told[s]:6}" for s in seconds))
    for name in names:
        print(f"{name:34}" + "".join(f"{sums.gained[s][name]:6}" for s in seconds))
    for name in levels:
        print(f"{'level ' + name:34}" + "".join(f"{sums.levels[s][name]:6}" for s in seconds))
    print(f"{'versions of the route set':34}" + "".join(f"{len(sums.versions[s]):6}" for s in seconds))
    for name, (most, second) in sorted(sums.peaks.items(), key=lambda p: -p[1][0])[:nodes]:
        print(f"most branches at once at {name}: {most}, in second {second}")
    for event, count in sums.events.most_common():
        print(f"log lines {event!r}: {count}")


if __name__ == "__main__":
    main()
