"""The figures of a planned stop, which the platform sets; the laboratory plays stops by the same ones."""

from __future__ import annotations

from collections.abc import Iterable

# After SIGTERM the kill comes no sooner than the longest deadline, counted as 3 s at the most, and 0.7 s.
KILL_MS, KILL_MORE_MS = 3_000.0, 700.0
STOP_MARGIN_MS = 200.0  # all is answered so long before the kill
STOP_ACCEPT_S = 0.62  # after SIGTERM new connections keep coming for up to 0.4 s, then their requests
STOP_CHECK_S = 0.02
STOP_LINGER_S = 0.1  # for what crosses the end of a connection in the end: half of STOP_MARGIN_MS
# From the order to drain: a front that asks ten times a second has had its no, and 0.2 s more to heed it.
DRAIN_NOTICE_S = 0.5


def kill_after_ms(deadlines_ms: Iterable[float]) -> float:
    """How long after SIGTERM the kill may come, for classes of these deadlines."""
    return min(max(deadlines_ms), KILL_MS) + KILL_MORE_MS
