"""How long a slow link takes to carry messages, for the time limits of whoever waits for their answers.

The links themselves aren't measured: the slowest that is expected counts for all.
"""

from __future__ import annotations

SLOW_LINK_BYTES_PER_S = 125_000  # half of 2 Mbit/s, which other connections use too


def transmission_s(size: int) -> float:
    """How long a slow link takes to carry this many bytes."""
    return size / SLOW_LINK_BYTES_PER_S
