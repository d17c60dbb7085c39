"""Many histories on several processes."""

from __future__ import annotations

import multiprocessing
import time
import traceback
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial

from flintfield.simulation import planted
from flintfield.simulation.history import play
from flintfield.simulation.scenario import draw
from flintfield.simulation.themes import Theme

CHUNK = 4  # histories handed to a process at a time


@dataclass(frozen=True, slots=True)
class Result:
    """What is told of one history."""

    seed: int
    broken: tuple[str, ...]
    runs: int = 0
    events: int = 0


@dataclass
class Tally:
    """What became of many histories."""

    histories: int = 0
    runs: int = 0
    events: int = 0
    seconds: float = 0.0
    rules: Counter[str] = field(default_factory=Counter)
    failing: list[Result] = field(default_factory=list)

    def add(self, result: Result) -> None:
        """Count a history."""
        self.histories += 1
        self.runs += result.runs
        self.events += result.events
        if result.broken:
            self.failing.append(result)
            self.rules.update({line.partition(" ")[0] for line in result.broken})

    def __str__(self) -> str:
        pace = 60 * self.histories / self.seconds if self.seconds else 0.0
        rules = ", ".join(f"{rule} in {count}" for rule, count in sorted(self.rules.items())) or "none"
        pace_told = f"{self.histories} histories in {self.seconds:.0f} s ({pace:.0f} a minute)"
        return f"{pace_told}, {self.runs} runs, {self.events} events; rules broken: {rules}"


def play_one(seed: int, fault: str = "", theme: Theme | None = None) -> Result:
    """One history; an exception of the simulator itself is told as `EXCEPTION`."""
    try:
        with planted.planted(fault):
            outcome = play(seed, draw(seed, theme))
    except Exception:
        return Result(seed, (f"EXCEPTION {traceback.format_exc()}",))
    return Result(seed, tuple(outcome.broken), len(outcome.record.runs), outcome.events)


def results(seeds: range, jobs: int, fault: str = "", theme: Theme | None = None) -> Iterator[Result]:
    """Play these seeds; results come in any order where there is more than one process."""
    work = partial(play_one, fault=fault, theme=theme)
    if jobs <= 1:
        yield from map(work, seeds)
        return
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        yield from pool.imap_unordered(work, seeds, chunksize=CHUNK)


def campaign(seeds: range, jobs: int, fault: str = "", theme: Theme | None = None) -> Tally:
    """Play them all."""
    tally = Tally()
    began_s = time.monotonic()
    for result in results(seeds, jobs, fault, theme):
        tally.add(result)
    tally.seconds = time.monotonic() - began_s
    tally.failing.sort(key=lambda result: result.seed)
    return tally
