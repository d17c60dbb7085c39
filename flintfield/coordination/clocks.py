"""Cluster time: the median of the replicas' wall clocks."""

from __future__ import annotations

from collections.abc import Sequence


def median_offset(offsets: Sequence[int], previous: int | None) -> int | None:
    """Return the median offset.

    If there are two middle values, the one closer to the previous estimate is returned, so that a jump of a
    single clock does not change the result. If there are no offsets, the previous estimate is returned.
    """
    if not offsets:
        return previous
    sorted_offsets = sorted(offsets)
    low, high = sorted_offsets[(len(sorted_offsets) - 1) // 2], sorted_offsets[len(sorted_offsets) // 2]
    if low == high or previous is None:
        return low
    return low if abs(low - previous) <= abs(high - previous) else high
