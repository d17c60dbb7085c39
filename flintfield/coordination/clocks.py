"""Common time: the median of the replicas' wall clocks."""

from __future__ import annotations

from collections.abc import Sequence


def median_offset(offsets: Sequence[int], before: int | None) -> int | None:
    """The median; of two middle values the one nearer to the estimate before, so that one clock that jumps
    moves nothing.

    Without any offset the estimate before stands.
    """
    if not offsets:
        return before
    ranked = sorted(offsets)
    low, high = ranked[(len(ranked) - 1) // 2], ranked[len(ranked) // 2]
    if low == high or before is None:
        return low
    return low if abs(low - before) <= abs(high - before) else high
