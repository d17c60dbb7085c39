"""What a member knows of its own way to another one, each direction by itself: a path is no member.

Theory of operation. A datagram of the other one's that reaches us proves that it speaks and that the way
from there is open; an answer to a direct ping proves both ways. A ping without a direct answer whose target
answers a helper proves that one of our two ways is shut, and nothing against the target. The round trip of
direct answers gives the time-out, by the estimator of TCP (Jacobson 1988; RFC 6298, section 2, with its
gains of 1/8 and 1/4; answers to pings that were sent more than once do not count, Karn 1987). Differs from
TCP: the time-out has a floor of a share of the fixed one, for a wrong doubt costs a helper's work alone,
and its ceiling in it, for the period has to end.
"""

from __future__ import annotations

import math

GAIN, VAR_GAIN, SPREAD = 1 / 8, 1 / 4, 4.0  # [RFC 6298, 2.3]
NEVER = -math.inf


class Path:
    """Our way to one life of one member. Times are ms on our own clock."""

    __slots__ = ("answered_at", "heard_at", "life_at", "missed", "refuted", "srtt", "unproven", "var", "via")

    def __init__(self) -> None:
        self.heard_at = NEVER  # a datagram of its own came last
        self.answered_at = NEVER  # it answered a direct ping last
        self.life_at = NEVER  # the last sign that it lives, from it or of it
        self.missed = 0  # direct pings in a row without a direct answer
        self.refuted = 0  # suspicions of ours in a row to which it objected, with no answer between
        self.unproven = 0  # probes of ours in a row that came to nothing
        self.srtt = self.var = 0.0
        self.via = ""  # a helper that reached it when we did not

    def hear(self, now: float) -> None:
        """A datagram of its own reached us."""
        self.heard_at = self.life_at = now
        self.unproven = 0

    def answer(self, now: float, round_trip: float | None) -> None:
        """It answered a direct ping, after so long if that can be told."""
        self.answered_at, self.missed, self.refuted, self.unproven, self.via = now, 0, 0, 0, ""
        if round_trip is None:
            return
        if self.srtt == 0.0:
            self.srtt, self.var = round_trip, round_trip / 2
        else:
            self.var += VAR_GAIN * (abs(self.srtt - round_trip) - self.var)
            self.srtt += GAIN * (round_trip - self.srtt)

    def answer_through(self, now: float, helper: str) -> None:
        """It answered that helper, and not us."""
        self.life_at, self.refuted, self.unproven, self.via = now, 0, 0, helper

    def timeout_ms(self, least: float, most: float, usual: Path | None = None) -> float:
        """How long a direct answer is waited for before others are asked.

        Where this way is not measured yet: as for the `usual` one, else for the most.
        """
        if self.srtt == 0.0:
            return usual.timeout_ms(least, most) if usual else most
        return min(most, max(least, self.srtt + SPREAD * self.var))

    @property
    def cut(self) -> bool:
        """Whether we know that one of our two ways is shut: it lives, and has not answered us twice."""
        return self.missed >= 2 and self.life_at > self.answered_at
