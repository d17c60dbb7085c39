"""Occupied rights: spends that still count, by the spender's own clock."""

from __future__ import annotations

from collections import deque

from flintfield.sharing.rules import SLICES


class Uses:
    """Spends under one lease, or of one's own part.

    Bounded: `SLICES` + 1 entries of a rate, one for each job of a pool.
    """

    __slots__ = ("_ends", "_open", "_slice", "_ticket", "count", "occupied_ms")

    def __init__(self, occupied_ms: float) -> None:
        """`occupied_ms`: how long a spend counts."""
        self.occupied_ms, self._slice = occupied_ms, occupied_ms / SLICES
        # Spends within one slice: when the last of them ends, how many, and when the first does; soonest
        # first.
        self._ends: deque[list[float]] = deque()
        self._open: dict[int, float] = {}  # of a pool: jobs by ticket, soonest end first
        self._ticket = 0
        self.count = 0  # as of the last `advance`

    def advance(self, now: float) -> int:
        """Let go of what has ended; how many are occupied."""
        ends = self._ends
        while ends and ends[0][0] <= now:
            self.count -= int(ends.popleft()[1])
        while self._open and (first := next(iter(self._open.items())))[1] <= now:
            del self._open[first[0]]
            self.count -= 1
        return self.count

    def spend(self, now: float) -> None:
        """Occupy a right for its time."""
        end = now + self.occupied_ms
        self.count += 1
        if self._ends and end - self._ends[-1][2] < self._slice:
            self._ends[-1][0] = end  # all of the slice end with its last: later than they need to
            self._ends[-1][1] += 1
        else:
            self._ends.append([end, 1, end])

    def take(self, now: float) -> int:
        """Occupy a right until it is given back; the ticket for that."""
        self._ticket += 1
        self._open[self._ticket] = now + self.occupied_ms
        self.count += 1
        return self._ticket

    def give_back(self, ticket: int) -> None:
        """The job of that ticket is over; nothing if it counted no more."""
        if self._open.pop(ticket, None) is not None:
            self.count -= 1

    def next_end(self) -> float:
        """When the first one ends by itself; inf: none does."""
        ends = [self._ends[0][0]] if self._ends else []
        if self._open:
            ends.append(next(iter(self._open.values())))
        return min(ends, default=float("inf"))
