"""The ends that a stand-in worker lists until they are taken note of."""

from __future__ import annotations

from flintfield.jobs.messages import End, RunResult
from flintfield.simulation.record import RunSeen

MOST_ENDS_TOLD = 500


class ListedEnds:
    """Ends by number; what becomes of each is noted in its `RunSeen`."""

    def __init__(self) -> None:
        self.last_seen = 0
        self._ends: dict[int, tuple[End, RunSeen]] = {}
        self._unnoted: set[int] = set()  # ends that the hold's lapse came before
        self._numbers = 0

    def __len__(self) -> int:
        return len(self._ends)

    def add(self, now_ms: float, seen: RunSeen, how: RunResult, saved: str) -> None:
        """A run has ended."""
        self._numbers += 1
        seen.end_ms, seen.how, seen.number = now_ms, how.name.lower(), self._numbers
        self._ends[self._numbers] = (End(self._numbers, seen.task, seen.run, how, saved), seen)
        if how is RunResult.LAPSED:
            self._unnoted.add(self._numbers)

    def forget(self, last_seen: int) -> int:
        """Ends up to this number are taken note of; returns how many were not before."""
        self.last_seen = max(self.last_seen, last_seen)
        numbers = [number for number in self._ends if number <= self.last_seen]
        for number in numbers:
            _, seen = self._ends.pop(number)
            seen.noted = number not in self._unnoted
        return len(numbers)

    def lapse(self, now_ms: float) -> None:
        """The hold is over: what was not taken note of before is not by a later `last_seen`."""
        self._unnoted.update(self._ends)
        for _, seen in self._ends.values():
            if seen.lapsed_ms is None:
                seen.lapsed_ms = now_ms

    def told(self, now_ms: float) -> tuple[End, ...]:
        """The ends as they are listed now."""
        told = list(self._ends.values())[:MOST_ENDS_TOLD]
        for _, seen in told:
            if seen.listed_ms is None:
                seen.listed_ms = now_ms
        return tuple(end for end, _ in told)
