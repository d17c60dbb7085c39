"""When discovery is asked, so that many dispatchers that all fail to reach it do not keep one another out.

Discovery is one service for all and takes calls in turn; one that has waited too long fails, and what work it
made is lost. Dispatchers that ask again at a fixed pace can so hold it above what it can do long after what
brought them together is gone: with 40, of which 28 had started together, 20 calls a second failed and 2 did
not, for as long as the day was. So the waits are a binary exponential back-off with jitter (Metcalfe, Boggs
1976, "Ethernet", 4.4), from a quarter of the time within which the rules want each to ask up to the most that
keeps them.

That holds for calls that have waited in vain: discovery is there, and has more callers than it can serve.
One that is refused at once made it no work: it is down, or its queue is full; one that nobody answered, not
even to refuse it, was lost on the way. When discovery is back or reached again, what it has to tell counts a
fixed time later, whichever call failed; so after such calls two more fit into that time.

A list is in doubt where it may lack what counts as told already: at a start, for what stands in it may be
long over, and once the time is up after which a silent watch's news count. Nothing goes out by a list in
doubt. That lasts no longer than `patience_ms`: discovery may be down, and then its list is the best there is.
"""

from __future__ import annotations

import math
import random

FIRST = 1 / 4  # of the time within which to ask: the longest wait after the first failure
MOST = 0.8  # of it: the longest of all
SHORTEST = 0.4  # of the longest wait: the shortest
PRESSING = 1 / 8  # of the time until hidden news count as told: the longest wait then
TOLD_MS = 6_000.0  # the platform's: a change counts as told so long after discovery had it and was reached
CALL_MS = 1_500.0  # the longest that a call for the list is under way
AT_ONCE_MS = 250.0  # a call that failed sooner was refused unheard: a round trip and a late loop
TRIES = 2  # calls that fit into TOLD_MS after one that was refused at once, for the next one may be as well
IN_VAIN = 1 / 2  # of it: how long a call that was never answered at all counts as out


class Asking:
    """Whether discovery is being watched, and when it is to be asked next; times in ms."""

    def __init__(self, within_ms: float, most_ms: float = math.inf, patience_ms: float = 0.0) -> None:
        self.within_ms = within_ms  # the longest that may pass between two calls
        self.most_ms = most_ms  # the longest wait of all
        self.patience_ms = patience_ms
        self.doubted_at, self.trusted_at = math.inf, math.inf  # the list is in doubt from then, and till then
        self.watching = False  # news come by themselves
        self.at = -math.inf
        self.failed = 0  # calls in a row
        self.called_at = -math.inf  # when the call that is out was made, by our doing or after an answer

    def is_due(self, now: float) -> bool:
        """Whether to ask now; the call then counts as out."""
        if self.watching or now < self.at:
            return False
        if self.called_at == -math.inf:
            self.doubted_at, self.trusted_at = now, now + self.patience_ms
        self.at, self.called_at = now + IN_VAIN * self.within_ms, now
        return True

    def is_sure(self, now: float) -> bool:
        """Whether jobs may go out by the list as it is."""
        return not self.doubted_at <= now < self.trusted_at

    def heard(self, now: float) -> None:
        """An answer came: the next ones follow by themselves."""
        self.watching, self.failed, self.called_at, self.doubted_at = True, 0, now, math.inf

    def fail(self, now: float, generator: random.Random, due: float | None = None) -> None:
        """A call failed, or the watch ended; `due`: when news that it may have hidden count as told.

        Until then there is no time to back off: only those whose watch broke ask, and those alone.
        """
        self.watching, self.failed = False, self.failed + 1
        if due is not None and now < self.doubted_at:
            self.doubted_at, self.trusted_at = due, due + self.patience_ms
        longest = min(self.most_ms, self.within_ms * min(MOST, FIRST * 2.0 ** (self.failed - 1)))
        if due is not None or now - self.called_at <= AT_ONCE_MS:  # nobody keeps us out by asking as well
            longest = min(longest, (TOLD_MS - CALL_MS) / TRIES)
        if due is not None and now < due:
            longest = min(longest, (due - now) * PRESSING)
        self.at = now + longest * generator.uniform(SHORTEST, 1.0)
