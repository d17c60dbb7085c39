"""How much is taken from whom, before anything costly is done with it: pure, with the time handed in.

A datagram that claims a session which has proven itself is counted against that session; who is not a member
can not guess one. All others are counted against the address they come from and, together, against one small
allowance. So a flood with wrong keys costs little and takes nothing from members.
"""

from __future__ import annotations

from collections import OrderedDict

MOST_SOURCES = 1_024  # addresses or sessions that are counted apart; the one longest unheard of goes


class Bucket:
    """A token bucket: so many a second, so many at once."""

    __slots__ = ("_at", "_burst", "_rate", "_tokens")

    def __init__(self, rate: float, burst: float) -> None:
        self._rate, self._burst, self._tokens, self._at = rate / 1000, burst, burst, 0.0

    def take(self, now: float, count: float = 1.0) -> bool:
        """Whether so many may pass at this time (ms)."""
        self._tokens = min(self._burst, self._tokens + max(0.0, now - self._at) * self._rate)
        self._at = max(self._at, now)
        if self._tokens < count:
            return False
        self._tokens -= count
        return True


class Sources:
    """A bucket for each source, and one for all strangers together."""

    def __init__(self, rate: float, burst: float, all_rate: float, all_burst: float) -> None:
        self._rate, self._burst = rate, burst
        self._all = Bucket(all_rate, all_burst)
        self._own: OrderedDict[object, Bucket] = OrderedDict()

    def admits(self, source: object, now: float, shared: bool = True) -> bool:
        """Whether one more may be taken from there; `shared`: it counts against the common allowance too."""
        bucket = self._own.get(source)
        if bucket is None:
            bucket = self._own[source] = Bucket(self._rate, self._burst)
            if len(self._own) > MOST_SOURCES:
                self._own.popitem(last=False)
        else:
            self._own.move_to_end(source)
        return bucket.take(now) and (not shared or self._all.take(now))
