"""What every suite of benchmarks takes and gives.

A suite is a module `benchmarks/<name>.py` with `def run(options: Options) -> list[Result]`. It measures each
of its figures once for each round, in turn with its yardsticks, so that a slow moment of the machine hits all
alike, and gives one `Result` a figure: the median over the rounds. `benchmarks/runner.py` calls it.
"""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Literal

Better = Literal["lower", "higher"]


@dataclass(frozen=True, slots=True)
class Options:
    """How a suite is to run.

    `rounds`: how often each figure is measured; 1 and up. `scale`: the length of a round as a part of the
    usual, above 0; tests pass a small one. `seed`: of whatever a suite draws. `only`: the measurements asked
    for, as results' names or their first parts (`decisions`, `decisions.job`); a suite may leave out what
    none of them names. Empty: all.
    """

    rounds: int = 5
    scale: float = 1.0
    seed: int = 1
    only: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        """Options that cannot be right are the caller's error."""
        if self.rounds < 1:
            raise ValueError(f"rounds: found {self.rounds}, expected 1 or more")
        if self.scale <= 0:
            raise ValueError(f"scale: found {self.scale}, expected a number above 0")

    def wants(self, name: str) -> bool:
        """Whether the figure of that name is asked for."""
        return not self.only or any(f"{name}.".startswith(f"{part}.") for part in self.only)


@dataclass(frozen=True, slots=True)
class Result:
    """One figure: its name (`suite.what[.case]`), the median over the rounds, and which way is better.

    `detail` is plain JSON values: the figure of each round in `rounds`, and whatever explains the figure.
    """

    name: str
    value: float
    unit: str
    better: Better
    detail: dict[str, Any] = field(default_factory=dict)


def median_of(name: str, unit: str, better: Better, rounds: Sequence[float], **detail: Any) -> Result:
    """The result of a figure that was measured once a round."""
    return Result(name, statistics.median(rounds), unit, better, {"rounds": list(rounds), **detail})
