"""When to call discovery, with back-off so that many dispatchers do not keep it overloaded.

All dispatchers share one discovery service, which serves calls in sequence; a call that waits too long
fails, and the work done for it is lost. Dispatchers that retry at a fixed interval can keep it overloaded
long after the cause has passed: with 40, of which 28 had started together, 20 calls a second failed and 2
succeeded for the entire day. So the waits are a binary exponential back-off with jitter (Metcalfe, Boggs
1976, "Ethernet", 4.4), from a quarter of the interval within which the rules require a call up to the
longest wait that still satisfies them.

This applies to calls that timed out in the queue: discovery is up and has more callers than it can serve. A
call that is refused immediately cost it no work: discovery is down, or its queue is full. A call without any
response, not even a refusal, was lost on the network. When discovery is reachable again, its news take
effect a fixed time later, whichever call failed; so after such calls the waits are short enough for two more
calls within that time.

A list is in doubt while it may lack news that are already in effect: at a start, since its content may be
outdated, and once the time has passed after which news hidden by a broken watch take effect. No job is sent
by a list in doubt. This lasts at most `patience_ms`: discovery may be down, and then the list is the best
information there is.
"""

from __future__ import annotations

import math
import random

FIRST_WAIT = 1 / 4  # longest wait after the first failure, as a fraction of `within_ms`
MAX_WAIT = 0.8  # longest wait after any number of failures, as a fraction of `within_ms`
MIN_JITTER = 0.4  # lower end of the jitter, as a fraction of the longest wait
BEFORE_DUE_WAIT = 1 / 8  # longest wait before hidden news take effect, as a fraction of the time until then
NEWS_DELAY_MS = 6_000.0  # platform's delay from discovery having a change and being reachable to its effect
CALL_MS = 1_500.0  # longest duration of a call for the list
IMMEDIATE_REFUSAL_MS = 250.0  # a call that fails sooner was refused unserved; a round trip and loop delay
CALLS_AFTER_REFUSAL = 2  # that fit into NEWS_DELAY_MS after an immediate refusal, as the next may fail too
PENDING_FRACTION = 1 / 2  # how long a call without any answer counts as pending, as a fraction of `within_ms`


class Asking:
    """Whether discovery is being watched, and when to call it next; times in ms."""

    def __init__(self, within_ms: float, most_ms: float = math.inf, patience_ms: float = 0.0) -> None:
        self.within_ms = within_ms  # longest time allowed between two calls
        self.most_ms = most_ms  # upper limit of every wait
        self.patience_ms = patience_ms
        self.doubted_at, self.trusted_at = math.inf, math.inf  # the list is in doubt from, until
        self.watching = False  # a watch delivers the news
        self.at = -math.inf  # when the next call is due
        self.failed = 0  # consecutive failed calls
        self.called_at = -math.inf  # start of the pending call, made here or continued after an answer

    def is_due(self, now: float) -> bool:
        """Whether to call now; if so, the call counts as pending."""
        if self.watching or now < self.at:
            return False
        if self.called_at == -math.inf:
            self.doubted_at, self.trusted_at = now, now + self.patience_ms
        self.at, self.called_at = now + PENDING_FRACTION * self.within_ms, now
        return True

    def is_sure(self, now: float) -> bool:
        """Whether jobs may be sent by the current list, because it is not in doubt."""
        return not self.doubted_at <= now < self.trusted_at

    def heard(self, now: float) -> None:
        """Record an answer; the watch delivers the following ones."""
        self.watching, self.failed, self.called_at, self.doubted_at = True, 0, now, math.inf

    def fail(self, now: float, generator: random.Random, due: float | None = None) -> None:
        """Record a failed call or the end of a watch; `due`: when news that it may have hidden take effect.

        Until then waits stay short: only the dispatchers whose watch broke call at that time.
        """
        self.watching, self.failed = False, self.failed + 1
        if due is not None and now < self.doubted_at:
            self.doubted_at, self.trusted_at = due, due + self.patience_ms
        longest = min(self.most_ms, self.within_ms * min(MAX_WAIT, FIRST_WAIT * 2.0 ** (self.failed - 1)))
        if due is not None or now - self.called_at <= IMMEDIATE_REFUSAL_MS:  # not caused by other callers
            longest = min(longest, (NEWS_DELAY_MS - CALL_MS) / CALLS_AFTER_REFUSAL)
        if due is not None and now < due:
            longest = min(longest, (due - now) * BEFORE_DUE_WAIT)
        self.at = now + longest * generator.uniform(MIN_JITTER, 1.0)
