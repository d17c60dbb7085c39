"""Quotas: which limits a job is under, and whether it is within all of them. Pure.

A job is under every quota that names its owner (or stands for those that no quota names, or for all) and its
class. It spends one right of each or of none. An owner that is not named costs nothing to remember: the
unnamed share one limit, if there is one for them.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from flintfield.memory.messages import Submission
from flintfield.sharing.core import Sharing, Ticket, give_back
from flintfield.sharing.limits import Limit

ALL, UNNAMED = "all", "*"
LEAST_RETRY_MS = 20.0


@dataclass(frozen=True, slots=True)
class Quota:
    """A limit and whose jobs are under it."""

    limit: Limit
    owners: tuple[str, ...]  # names, or ALL, or UNNAMED
    classes: tuple[str, ...] = ()  # empty: all


class Quotas:
    """All quotas of one instance; `flintfield.memory.state.Admission`."""

    def __init__(self, sharing: Sharing, quotas: Iterable[Quota]) -> None:
        self.sharing = sharing
        self._tickets: dict[int, list[Ticket]] = {}  # of jobs in work, by transaction
        self.replace(quotas)

    def replace(self, quotas: Iterable[Quota]) -> None:
        """Go on with these; their limits must be told to `sharing` beside."""
        self.quotas = tuple(quotas)
        self._named: dict[str, list[Quota]] = {}
        self._unnamed: list[Quota] = []
        for quota in self.quotas:
            for owner in quota.owners:
                if owner not in (ALL, UNNAMED):
                    self._named.setdefault(owner, []).append(quota)
        for quota in self.quotas:
            if ALL in quota.owners:
                for named in self._named.values():
                    if quota not in named:
                        named.append(quota)
            if ALL in quota.owners or UNNAMED in quota.owners:
                self._unnamed.append(quota)

    def _over(self, given: Submission) -> list[Quota]:
        quotas = self._named.get(given.owner, self._unnamed)
        return [q for q in quotas if not q.classes or given.class_name in q.classes]

    def latest(self, now: float, given: Submission) -> float:
        """A right of a pool is held for its window at the longest, so the job must be settled by then."""
        if not self.quotas:
            return math.inf
        return now + min((q.limit.window_ms for q in self._over(given) if q.limit.is_pool), default=math.inf)

    def admit(self, now: float, rid: int, given: Submission) -> float | None:
        """Spend a right of each limit that the job is under; else how long its caller should keep off, ms."""
        sharing, over = self.sharing, self._over(given)
        full = [q for q in over if not sharing.has_free(now, q.limit.name)]
        if full:
            for quota in full:
                sharing.spend(now, quota.limit.name)  # refused, and counted as wanted
            return max(LEAST_RETRY_MS, *(sharing.retry_after_ms(now, q.limit.name) for q in full))
        for quota in over:
            got = sharing.spend(now, quota.limit.name)
            if isinstance(got, Ticket):
                self._tickets.setdefault(rid, []).append(got)
        return None

    def settled(self, rid: int) -> None:
        """Give the pools' rights back."""
        for ticket in self._tickets.pop(rid, ()):
            give_back(ticket)
