"""Request rates of tenants at this dispatcher, and its estimated share of all traffic."""

from __future__ import annotations

import math
from collections.abc import Iterable


class Account:
    """A tenant's request rate at this dispatcher and its token bucket; times in ms."""

    def __init__(self, allowance_per_s: float, prior_ms: float) -> None:
        self.allowance, self.at = allowance_per_s / 1000.0, -math.inf
        self.recent = self.allowance * prior_ms  # prior: the requests that an average dispatcher receives
        self.tokens = math.inf  # the first refill caps this at the bucket's size

    def take_token(self, now: float, rate: float, most_ms: float, burst: float) -> bool:
        """Refill the bucket at `rate`, up to `most_ms` worth of tokens plus `burst`, and take a token if any.

        Returns whether there was one.
        """
        gained = rate * min(now - self.at, most_ms)
        self.tokens, self.at = min(self.tokens + gained, burst + rate * most_ms), now
        had_one = self.tokens >= 1.0
        self.tokens -= had_one
        return had_one


class Accounts:
    """The accounts of all tenants, and this dispatcher's share of all traffic."""

    def __init__(self, allowances: Iterable[float], dispatchers: int, prior_ms: float,
                 memory_ms: float, burst: int) -> None:
        self.least, self.span, self.memory_ms = 1.0 / dispatchers, prior_ms, memory_ms
        self.most_ms, self.burst = prior_ms, burst  # bucket size: ms of allowance, plus a number of requests
        self.accounts = [Account(a, prior_ms / dispatchers) for a in allowances]

    def forget(self, passed_ms: float) -> None:
        """Decay the counts by the elapsed time; `span` is the time (ms) that they cover."""
        kept = math.exp(-passed_ms / self.memory_ms)
        self.span = self.memory_ms + (self.span - self.memory_ms) * kept
        for account in self.accounts:
            account.recent *= kept

    def is_over(self, tenant: int, now: float) -> bool:
        """Count a request and return whether it exceeds its tenant's allowance at this dispatcher.

        This keeps a surge by one tenant from crowding out the others.
        """
        if not 0 <= tenant < len(self.accounts):
            return False
        share, account = self.traffic_share(), self.accounts[tenant]
        account.recent += 1.0
        return not account.take_token(now, account.allowance * share, self.most_ms, self.burst)

    def traffic_share(self) -> float:
        """This dispatcher's share of all traffic: the median over tenants of the fraction of the allowance
        that is used here, but at least 1/n for n dispatchers."""
        use = sorted(a.recent / self.span / max(a.allowance, 1e-9) for a in self.accounts)
        return max(self.least, use[(len(use) - 1) // 2])
