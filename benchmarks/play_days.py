"""Plays the days of our own (benchmarks/days/*.toml) on a deployment, and tells what broke.

    python -m benchmarks.play_days --bench FLEETBENCH --site SITE.toml --why TEXT [--seed N] [--jobs 4] [DAY]

`--bench` is the users' bench, which is called as its page says; without days named, all are played. Each play
leaves an entry in journal/, from which its verdict is read. Exit codes: 0 where every gate held, 1 where a
rule broke, a fault showed or a gate did not hold, 2 where a play ended without a verdict.
"""

from __future__ import annotations

import argparse
import json
import re
import subprocess
import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

DAYS = Path(__file__).parent / "days"
JOURNAL = Path("journal")
SNAPSHOT = re.compile(r"^snapshot ([0-9a-f]+)$", re.MULTILINE)
PLAY_TIMEOUT_S = 900.0
NO_VERDICT = 2


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a journal entry says of one day; `worth` is after prices, `entry` the entry's id."""

    day: str
    entry: str
    worth: float
    broken: tuple[str, ...]
    fault: str
    gate: bool

    @property
    def passed(self) -> bool:
        """Whether nothing broke and the gate held."""
        return self.gate and not self.broken and not self.fault

    def __str__(self) -> str:
        what = ", ".join(self.broken) or self.fault or ("" if self.gate else "below its floor")
        end = "passed" if self.passed else f"FAILED: {what}"
        return f"{self.day:24} {self.worth:6.3f}  {self.entry}  {end}"


@dataclass(frozen=True, slots=True)
class NoVerdict:
    """A play that ended without an entry that tells of its day."""

    day: str
    output: str

    def __str__(self) -> str:
        return f"{self.day:24} no verdict: {self.output[-300:].strip()}"


@dataclass(frozen=True, slots=True)
class Plan:
    """What all plays share."""

    bench: str
    site: str
    why: str
    seed: int | None

    def command(self, day: Path) -> list[str]:
        """The call of the bench for one day."""
        seed = [] if self.seed is None else ["--seed", str(self.seed)]
        return [self.bench, "run", self.site, str(day), *seed, "--jobs", "1", "--why", self.why]


def read_entry(day: str, entry: str, content: str) -> Verdict | NoVerdict:
    """The verdict in the text of a journal entry."""
    run = json.loads(content)
    if not run.get("ok") or not run.get("days"):
        return NoVerdict(day, str(run.get("error")))
    told = run["days"][0]
    broken = tuple(f"{rule} {count}" for rule, count in told["rules"].items())
    return Verdict(day, entry, told["G"], broken, told["fault"] or "", bool(told["gate"]))


def play(plan: Plan, day: Path) -> Verdict | NoVerdict:
    """Play one day."""
    try:
        done = subprocess.run(plan.command(day), capture_output=True, text=True, timeout=PLAY_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        return NoVerdict(day.stem, f"took longer than {PLAY_TIMEOUT_S:.0f} s")
    output = done.stdout + done.stderr
    snapshot = SNAPSHOT.search(output)
    entries = list(JOURNAL.glob(f"*-{snapshot[1]}.json")) if snapshot else []
    if snapshot is None or not entries:
        return NoVerdict(day.stem, output)
    return read_entry(day.stem, snapshot[1], entries[0].read_text())


def main(arguments: Sequence[str] | None = None) -> int:
    """Play the days that the command line names; returns the exit code."""
    given = _parser().parse_args(arguments)
    plan = Plan(given.bench, given.site, given.why, given.seed)
    days = [DAYS / f"{name}.toml" for name in given.days] or sorted(DAYS.glob("*.toml"))
    with ThreadPoolExecutor(given.jobs) as pool:
        results = []
        for result in pool.map(lambda day: play(plan, day), days):
            print(result, flush=True)
            results.append(result)
    passed = sum(isinstance(result, Verdict) and result.passed for result in results)
    silent = sum(isinstance(result, NoVerdict) for result in results)
    print(f"{len(results)} days, {passed} passed, {silent} without a verdict")
    if silent:
        return NO_VERDICT
    return 0 if passed == len(results) else 1


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.play_days",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--bench", required=True, help="path of the users' bench")
    parser.add_argument("--site", required=True, help="path of a site file")
    parser.add_argument("--why", required=True, help="a line for the journal, under 120 characters")
    parser.add_argument("--seed", type=int, help="in place of each day's own")
    parser.add_argument("--jobs", type=int, default=4, help="days played at a time")
    parser.add_argument("days", nargs="*", metavar="DAY", help="names of days; without any: all")
    return parser


if __name__ == "__main__":
    sys.exit(main())
