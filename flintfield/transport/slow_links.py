"""How long a slow link takes to carry messages, for the time limits of whoever waits for their answers.

The links themselves aren't measured: the slowest that is expected counts for all.
"""

from __future__ import annotations

SLOW_LINK_BYTES_PER_S = 125_000  # half of 2 Mbit/s, which other connections use too


def transmission_s(size: int) -> float:
    """How long a slow link takes to carry this many bytes."""
    return size / SLOW_LINK_BYTES_PER_S


class RequestBacklog:
    """The requests that may still be on the way to the peer of one connection, if its link is a slow one.

    Positions count the bytes of requests since the connection was made.
    """

    __slots__ = ("_carried_by_s", "position")

    def __init__(self) -> None:
        self.position = 0
        self._carried_by_s = 0.0

    def append(self, size: int, now_s: float) -> float:
        """A request is written; returns how long a slow link takes to carry it and those before it."""
        self.position += size
        self._carried_by_s = max(self._carried_by_s, now_s) + size / SLOW_LINK_BYTES_PER_S
        return self._carried_by_s - now_s

    def arrived(self, position: int, now_s: float) -> None:
        """What was written up to this position is with the peer, for it has answered it."""
        left_s = (self.position - position) / SLOW_LINK_BYTES_PER_S
        self._carried_by_s = min(self._carried_by_s, now_s + left_s)
