"""Counts of use over all instances: what was heard, and between which bounds the true total is.

Rules. A count belongs to a limit, a window of the spender's own clock, a place and one life of it; it only
grows, and two words of it are merged by the greater. So words may be late, doubled or out of order. A total
is an interval. Its low end is the sum of what was heard and our own, exact. Its high end adds what those
that were not heard since can have spent, which the law of the bound limits whoever of them it was: a limit
of L in any W allows at most L x ceil(S / W) in a span S.

*Since when* someone was not heard is never read from its clock: we send a stamp, it comes back as an echo
with the count, so the count is no older than the stamp (stretched for drift). Who never echoed a stamp of
ours in this window counts from the window's begin. Windows that closed are kept for KEPT more, then
forgotten.

Source: state-based counters (Shapiro et al. 2011, G-Counter) by instance and life; the bound is escrow's.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from flintfield.sharing.limits import Limit
from flintfield.sharing.rules import COUNT_BYTES_S, COUNT_LEAST_MS, COUNT_MS, DRIFT, LEASE_MS, hold_ms

KEPT = 1
MOST_FORMER = 8  # limits that were replaced, of each limit
LINE_BYTES, WORD_BYTES = 12, 100  # of one count, and of a datagram with its seal

Source = tuple[int, int]
"""Place and life."""
Key = tuple[int, int]
"""A limit's number, and a window's."""
OVER_MS = hold_ms(LEASE_MS, 1_000.0)  # a life that has a newer one may hold leases for so long


@dataclass(slots=True)
class Told:
    """What one life of a place told: until when its counts are whole, and from when it was over."""

    as_of: float = -math.inf
    heard_at: float = -math.inf
    stamp: int = 0  # its newest that we heard
    over_at: float = math.inf  # it had a newer life by then, and could spend no more
    born_at: float = math.inf  # it had begun by then, and the life before it was over


@dataclass(frozen=True, slots=True)
class Interval:
    """A total: between `low` and `high`; `unheard` are the places that were not heard for over two rounds."""

    low: int
    high: int
    oldest_ms: float  # of what was heard: the age of the oldest
    unheard: tuple[int, ...]


@dataclass(slots=True)
class Counts:
    """The counts of all limits that one instance knows."""

    place: int
    born_at: float  # what former lives of our place spent we do not know
    own: dict[Key, int] = field(default_factory=dict)
    others: dict[Key, dict[Source, int]] = field(default_factory=dict)
    told: dict[int, dict[int, Told]] = field(default_factory=dict)  # by place and life
    former: dict[int, list[tuple[float, Limit]]] = field(default_factory=dict)  # until when others may go by
    next_at: float = -math.inf
    _turn: list[int] = field(default_factory=list)

    def spend(self, now: float, limit: int) -> None:
        """One more of ours."""
        key = limit, window_of(now)
        self.own[key] = self.own.get(key, 0) + 1

    def merge(self, now: float, source: Source, limit: int, window: int, count: int) -> bool:
        """A count was told; False where its window can't be meant."""
        if abs(window - window_of(now)) > KEPT + 1:
            return False
        known = self.others.setdefault((limit, window), {})
        known[source] = max(known.get(source, 0), count)
        return True

    def heard(self, now: float, source: Source, stamp: int, echo_at: float, total: int) -> None:
        """A round of counts has come, which add up to `total`.

        If all of them came, all that this life spent until `echo_at` of our clock is in them.
        """
        place, life = source
        lives = self.told.setdefault(place, {})
        told = lives.setdefault(life, Told())
        for other, older in lives.items():
            if other < life:
                older.over_at = min(older.over_at, now + OVER_MS)
        told.heard_at, told.stamp = now, max(told.stamp, stamp)
        told.born_at = min(told.born_at, now - stamp / DRIFT**2)
        if sum(counts.get(source, 0) for counts in self.others.values()) >= total:
            told.as_of = max(told.as_of, echo_at)

    def replaced(self, now: float, limit: Limit) -> None:
        """That limit is another from now on here; others are told of it within a window at the latest."""
        known = self.former.setdefault(limit.number, [])
        known.append((now + COUNT_MS, limit))
        if len(known) > MOST_FORMER:  # two become one to the safe side
            (over, one), (later, other) = known[:2]
            known[:2] = [(max(over, later), replace(one, rights=max(one.rights, other.rights),
                                                    window_ms=min(one.window_ms, other.window_ms)))]

    def end_life(self, source: Source) -> None:
        """We go on as another life: what this one spent is known, and told no more."""
        for key, count in self.own.items():
            self.others.setdefault(key, {})[source] = count
        self.own = {}

    def stamp_of(self, source: Source) -> int:
        """The newest stamp that was heard of that life; 0: none."""
        told = self.told.get(source[0], {}).get(source[1])
        return told.stamp if told else 0

    def forget(self, now: float) -> None:
        """Let go of windows that closed long ago, and of lives that were over before; bounds what is kept."""
        least = window_of(now) - KEPT
        self.own = {k: n for k, n in self.own.items() if k[1] >= least}
        self.others = {k: n for k, n in self.others.items() if k[1] >= least}
        for number, limits in list(self.former.items()):
            self.former[number] = kept = [f for f in limits if f[0] >= (least - 1) * COUNT_MS]
            if not kept:
                del self.former[number]
        for lives in self.told.values():
            for life in [n for n, t in lives.items() if t.over_at < (least - 1) * COUNT_MS]:
                del lives[life]

    def next_place(self, present: frozenset[int], shuffled: list[int]) -> int | None:
        """Whose turn it is to be told: each once in a round."""
        while self._turn:
            if (place := self._turn.pop()) in present:
                return place
        self._turn = shuffled
        return self._turn.pop() if self._turn else None

    def total(self, now: float, limit: Limit, places: int, window: int | None = None) -> Interval:
        """The use of a limit by all in a window (the present one).

        Of a pool the jobs that began are counted, of which one right may begin many: its high end is
        unknown, -1, once anybody is not heard.
        """
        window = window_of(now) if window is None else window
        # Their clocks may be set otherwise than ours: their window may have begun a whole one before ours.
        begins = (window - 1) * COUNT_MS
        low = self.own.get((limit.number, window), 0) + sum(
            self.others.get((limit.number, window), {}).values())
        spans, unheard, oldest = [(begins, min(now, self.born_at))], list[int](), now
        for place in (p for p in range(places) if p != self.place):
            lives = self.told.get(place) or {0: Told()}
            spans.append((begins, min(now, lives[min(lives)].born_at)))
            spans += [(max(begins, t.as_of), min(now, t.over_at)) for t in lives.values()]
            newest = lives[max(lives)]
            oldest = min(oldest, newest.as_of)
            if now - newest.heard_at > 2 * round_ms(places, 1):
                unheard.append(place)
        more = _most(spans, limit, self.former.get(limit.number, ()))
        return Interval(low, -1 if limit.is_pool and more else low + more, now - oldest, tuple(unheard))


def _most(spans: list[tuple[float, float]], limit: Limit, former: Sequence[tuple[float, Limit]]) -> int:
    """What can have been spent in the union of these spans by anybody: the law, for each stretch of it, by
    the greatest limit that anybody may have gone by in it."""
    most, until = 0, -math.inf
    stretch_from = -math.inf
    for since, to in [*sorted(s for s in spans if s[1] > s[0]), (math.inf, math.inf)]:
        if since > until:
            if until > stretch_from:
                most += max(one.rights * math.ceil((until - stretch_from) * DRIFT / one.window_ms)
                            for one in (limit, *(f for over, f in former if over > stretch_from)))
            stretch_from, until = since, to
        until = max(until, to)
    return most


def window_of(now: float) -> int:
    """The number of the window of the wall clock that this instant is in."""
    return int(now // COUNT_MS)


def round_ms(places: int, limits: int) -> float:
    """How long a round of counts takes: an instance sends COUNT_BYTES_S at most, five times that at 200."""
    size = max(0, places - 1) * (WORD_BYTES + LINE_BYTES * limits)
    return max(COUNT_LEAST_MS, size / (COUNT_BYTES_S * max(1.0, places / 40)) * 1_000.0)
