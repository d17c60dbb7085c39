"""When all schedulers know something, for good: two rounds of confirmations by the same lives.

A scheduler that is started anew learns what stands from one that knows. So a fact is known to all that are
and all that will be, if (1) each present life has taken it in, and (2) each of the same lives was there
after that: a life that begins later asks somebody who was there after (1), and by induction whoever it asks
knows. One round is not enough: the life that confirmed may have ended, and its successor may have asked one
that had not confirmed yet.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field


@dataclass(slots=True)
class Echo:
    """The last of our orders that a scheduler has taken in, and which life of it did."""

    life: int
    seq: int


@dataclass(slots=True)
class Settling:
    """How far a fact has come that stands in all orders from `since` on."""

    since: int
    first: dict[str, int] = field(default_factory=dict)  # the life that confirmed, by scheduler
    second: int | None = None  # orders from this one on were sent after all had confirmed
    again: set[str] = field(default_factory=set)  # who confirmed those too
    done: bool = False

    def look(self, echoes: Mapping[str, Echo], needed: Iterable[str], sent: int) -> bool:
        """Whether it is settled, given what was confirmed; `sent`: the number of the last orders sent."""
        if self.done:
            return True
        names = set(needed)
        for name, life in list(self.first.items()):
            if name in names and (echo := echoes.get(name)) and echo.life != life:
                # Another life: what its former one confirmed is worth nothing, nor is the second round.
                del self.first[name]
                self.second, self.again = None, set()
        for name in names - self.first.keys():
            if (echo := echoes.get(name)) and echo.seq >= self.since:
                self.first[name] = echo.life
        if names - self.first.keys():
            self.second, self.again = None, set()
            return False
        if self.second is None:
            self.second = sent + 1
        self.again |= {n for n in names if (echo := echoes.get(n)) and echo.life == self.first[n]
                       and echo.seq >= self.second}
        self.done = names <= self.again
        return self.done

    def missing(self, needed: Iterable[str]) -> list[str]:
        """Who has not confirmed yet, in the round that is on."""
        names = set(needed)
        return sorted(names - self.first.keys() or names - self.again)
