"""How many rights an instance needs of a limit: from what is asked of it, with a memory for gusts."""

from __future__ import annotations

import math

from flintfield.sharing.rules import AHEAD_MS, HEADROOM, PEAK_MS, RATE_MS

LEAST = 1e-3  # of an attempt: less is nothing


class Demand:
    """Attempts a millisecond, decayed, and the need that follows; `is_quiet` once nothing is left of both."""

    __slots__ = ("_at", "_level", "_peak", "_peak_at")

    def __init__(self) -> None:
        self._level, self._at = 0.0, -math.inf
        self._peak, self._peak_at = 0, -math.inf

    def attempt(self, now: float) -> None:
        """A job asked for a right, and got it or not."""
        self._decay(now)
        self._level += 1.0

    def _decay(self, now: float) -> None:
        if now > self._at:
            self._level *= math.exp((self._at - now) / RATE_MS) if self._level else 0.0
            self._at = now

    def need(self, now: float, window_ms: float, occupied: int) -> int:
        """Rights that are needed to go on: those occupied and those of the next AHEAD_MS, at most a window's.

        Without demand none, whatever is still occupied: that counts at its owner.
        """
        self._decay(now)
        if self._level < LEAST:
            return 0
        rate = self._level / RATE_MS
        ahead = min(rate * window_ms, occupied + rate * min(AHEAD_MS, window_ms))
        return math.ceil(ahead * HEADROOM) + (self._level > 0.5)

    def lasting(self, now: float, window_ms: float, occupied: int) -> int:
        """The greatest need of the last PEAK_MS: what is not given away yet."""
        need = self.need(now, window_ms, occupied)
        if need >= self._peak or now - self._peak_at > PEAK_MS:
            self._peak, self._peak_at = need, now
        return self._peak

    def is_quiet(self, now: float) -> bool:
        """Whether nobody has asked for long."""
        self._decay(now)
        return self._level < LEAST and now - self._peak_at > PEAK_MS
