"""Runs suites, prints and writes their results, and pairs them with those of an earlier run.

A file of results is JSON: `{"version": 1, "python": ..., "machine": ..., "options": {...}, "results": []}`,
each result as in `benchmarks/suite.py`.
"""

from __future__ import annotations

import importlib
import json
import os
import platform
import sys
from collections.abc import Iterable, Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

from benchmarks.suite import Options, Result

SUITES = ("decisions", "path", "memory")
VERSION = 1


class BenchError(Exception):
    """What keeps a run from its results, in one line: no such suite, a file that cannot be read."""


def run_suites(names: Sequence[str], options: Options) -> list[Result]:
    """Run suites in turn; `all` stands for each that is there. `BenchError` for a name that is none."""
    wanted = [n for n in SUITES if _exists(n)] if "all" in names else list(names)
    results: list[Result] = []
    for name in wanted:
        if name not in SUITES or not _exists(name):
            known = ", ".join(n for n in SUITES if _exists(n))
            raise BenchError(f"suite: found {name!r}, expected one of {known}, all")
        results += importlib.import_module(f"benchmarks.{name}").run(options)
    return results


def _exists(name: str) -> bool:
    return importlib.util.find_spec(f"benchmarks.{name}") is not None


def as_json(results: Iterable[Result], options: Options) -> dict[str, Any]:
    """The results with what they were measured on."""
    return {
        "version": VERSION,
        "python": platform.python_version(),
        "machine": f"{platform.machine()}, {os.cpu_count()} cores",
        "options": asdict(options),
        "results": [asdict(r) for r in results],
    }


def read_results(path: Path) -> list[Result]:
    """The results of an earlier run; a `BenchError` that names file, key, what was found, what expected."""
    try:
        told = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise BenchError(f"{path}: cannot be read: {error}") from error
    if not isinstance(told, dict) or told.get("version") != VERSION:
        found = told.get("version") if isinstance(told, dict) else type(told).__name__
        raise BenchError(f"{path}: version: found {found!r}, expected {VERSION}")
    try:
        return [Result(**r) for r in told["results"]]
    except (KeyError, TypeError) as error:
        raise BenchError(f"{path}: results: found {error}, expected a list of results") from error


def table(results: Sequence[Result], earlier: Sequence[Result] = ()) -> list[str]:
    """Lines for people: each figure, its spread over the rounds, the earlier figure of that name.

    The ratio is now / before; `better` or `worse` stands beside it where the two runs' rounds do not overlap.
    """
    before = {r.name: r for r in earlier}
    width = max([len(r.name) for r in results], default=4)
    lines = []
    for result in results:
        low, high = _span(result)
        line = f"{result.name:<{width}}  {result.value:>12.5g} {result.unit:<6} ({low:.4g} to {high:.4g})"
        if (old := before.get(result.name)) and old.value:
            line += f"   before {old.value:.5g}, x{result.value / old.value:.3f}{_verdict(result, old)}"
        lines.append(line)
    return lines


def _span(result: Result) -> tuple[float, float]:
    rounds = result.detail.get("rounds") or [result.value]
    return min(rounds), max(rounds)


def _verdict(now: Result, before: Result) -> str:
    (low, high), (old_low, old_high) = _span(now), _span(before)
    if high < old_low:
        return " better" if now.better == "lower" else " worse"
    if low > old_high:
        return " worse" if now.better == "lower" else " better"
    return ""


def run_and_tell(names: Sequence[str], options: Options, out: Path | None, compare: Path | None) -> int:
    """The command: run, print, write; exit code 2 with one line on what keeps it from that."""
    try:
        earlier = read_results(compare) if compare else []
        results = run_suites(names, options)
        if out:
            out.write_text(json.dumps(as_json(results, options), indent=1) + "\n", encoding="utf-8")
    except (BenchError, OSError) as error:
        print(f"flintfield bench: {error}", file=sys.stderr)
        return 2
    print("\n".join(table(results, earlier)))
    return 0
