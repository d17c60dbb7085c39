"""Compare: two variants played with the same seeds, and whether the difference is more than chance.

Source: the percentile bootstrap (Efron and Tibshirani, An Introduction to the Bootstrap, 1993, chapter 13)
of the mean of paired differences: a seed's noise is common to both variants and falls out. Seeds of one
scenario are drawn anew within it, so that each scenario keeps its weight. `can't tell` is said where the
interval holds 0, or where there are fewer than `FEWEST` pairs; a variant that breaks rules in more runs
than the other is worse whatever its service.
"""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from typing import Literal

import msgspec
import numpy as np

from flintfield.lab.verdict import Verdict

FEWEST = 5  # pairs: the bootstrap of fewer gives intervals far too narrow
DRAWS = 10_000
LEVEL = 0.95

Word = Literal["better", "worse", "can't tell"]


class Measure(msgspec.Struct, frozen=True):
    """One figure of both variants: means, the mean difference and its confidence interval."""

    name: str
    base: float
    other: float
    difference: float  # other less base
    low: float
    high: float


class Comparison(msgspec.Struct, frozen=True):
    """What `other` is against `base`."""

    word: Word
    why: str
    pairs: int
    measures: tuple[Measure, ...]
    base_broke: int  # runs that broke a rule
    other_broke: int
    void: int  # pairs left out


def compare(pairs: Sequence[tuple[Verdict, Verdict]], seed: int = 0) -> Comparison:
    """Judge pairs of verdicts (base, other), each pair of one scenario and seed."""
    whole = [(a, b) for a, b in pairs if not a.void and not b.void]
    measures = tuple(_measure(name, whole, seed) for name in ("goal", "whole", "worst_window", "worst_class"))
    broke = [sum(bool(pair[side].violations) for pair in whole) for side in (0, 1)]
    word, why = _word(measures, len(whole), broke)
    return Comparison(word, why, len(whole), measures, broke[0], broke[1], len(pairs) - len(whole))


def _measure(name: str, pairs: Sequence[tuple[Verdict, Verdict]], seed: int) -> Measure:
    base, other = ([float(getattr(pair[side].service, name)) for pair in pairs] for side in (0, 1))
    if not pairs:
        return Measure(name, 0.0, 0.0, 0.0, 0.0, 0.0)
    groups: dict[str, list[float]] = {}
    for (verdict, _), a, b in zip(pairs, base, other, strict=True):
        groups.setdefault(verdict.scenario, []).append(b - a)
    low, high = interval(list(groups.values()), seed)
    a, b = statistics.fmean(base), statistics.fmean(other)
    return Measure(name, a, b, b - a, low, high)


def interval(groups: Sequence[Sequence[float]], seed: int = 0) -> tuple[float, float]:
    """The bootstrap's interval for the mean of all differences, drawn anew within each group."""
    rng = np.random.default_rng(seed)
    total, count = np.zeros(DRAWS), sum(len(g) for g in groups)
    for group in groups:
        values = np.asarray(group, dtype=np.float64)
        for start in range(0, DRAWS, 1_000):  # a thousand draws at a time: bounded memory for many seeds
            picked = rng.integers(0, len(values), (1_000, len(values)))
            total[start:start + 1_000] += values[picked].sum(axis=1)
    low, high = np.quantile(total / count, [(1 - LEVEL) / 2, (1 + LEVEL) / 2])
    return float(low), float(high)


def _word(measures: Sequence[Measure], pairs: int, broke: Sequence[int]) -> tuple[Word, str]:
    goal = measures[0]
    if broke[1] > broke[0]:
        return "worse", f"it broke rules in {broke[1]} runs, the base in {broke[0]}"
    if pairs < FEWEST:
        return "can't tell", f"only {pairs} pairs, expected {FEWEST} at least"
    if broke[1] < broke[0] and goal.high >= 0:
        return "better", f"it broke rules in {broke[1]} runs, the base in {broke[0]}"
    if goal.low > 0:
        return "better", f"the goal rose by {goal.difference:.4f} ({goal.low:.4f} to {goal.high:.4f})"
    if goal.high < 0:
        return "worse", f"the goal fell by {-goal.difference:.4f} ({-goal.high:.4f} to {-goal.low:.4f})"
    if not any((m.low, m.high, m.difference) != (0.0, 0.0, 0.0) for m in measures):
        return "can't tell", "all runs gave the same service"
    return "can't tell", f"the goal's difference lies between {goal.low:.4f} and {goal.high:.4f}"
