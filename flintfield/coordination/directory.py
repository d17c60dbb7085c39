"""Leader discovery: the public interface of coordination for agents."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Sequence

from flintfield.coordination.contacts import LeaderAnswer, WhereIsLeader
from flintfield.coordination.model import LeaderView
from flintfield.coordination.search import SearchWatch
from flintfield.transport.rpc import Pool, RpcError

LOG = logging.getLogger(__name__)
ASK_TIMEOUT_S = 0.4
PARALLEL_QUERIES = 2  # addresses queried in parallel, so that an unreachable one adds no delay
ROUND_DELAY_RANGE_S = (0.05, 0.15)
SEARCH_BUDGET_S = 2.0  # per call of `leader()`, which then returns None
MAX_ADDRESSES = 32
FRESH_WITHIN_MS = 1_000  # a leader known to be alive within this time is returned immediately
MAX_LEADER_AGE_MS = 10_000  # an older one, up to this age, is returned if a full round finds none fresher
# A leader reported as failed is not returned for this time, unless it was heard of after the report.
FAILED_LEADER_EXCLUSION_MS = 1_000


def _steady_ms() -> int:
    return time.monotonic_ns() // 1_000_000


class Directory:
    """Finds the leader by querying schedulers, and caches the addresses of core members and schedulers."""

    def __init__(self, seeds: Sequence[str], pool: Pool, rng: random.Random) -> None:
        self._pool = pool
        self._rng = rng
        self._seeds = tuple(seeds)
        self._core: tuple[str, ...] = ()
        self._schedulers: dict[str, None] = {}
        self._view: LeaderView | None = None
        self._failed: dict[str, int] = {}
        self._watch = SearchWatch()
        self.searches = 0

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the seeds after a change of the settings."""
        self._seeds = tuple(seeds)

    def report_failed(self, address: str) -> None:
        """Exclude the leader at this address for a while, because it didn't answer or isn't the leader."""
        if len(self._failed) >= MAX_ADDRESSES:
            self._failed.clear()
        self._failed[address] = _steady_ms()

    async def leader(self) -> LeaderView | None:
        """Return the newest leader known to any reachable scheduler, or None when the budget is spent."""
        self.searches += 1
        deadline_s = time.monotonic() + SEARCH_BUDGET_S
        while True:
            for batch in self._query_batches():
                await asyncio.gather(*(self._query(address) for address in batch))
                if self._is_usable(FRESH_WITHIN_MS):
                    return self._finish_search()
            if self._is_usable(MAX_LEADER_AGE_MS):
                return self._finish_search()
            self._warn_if_due()
            if time.monotonic() >= deadline_s:
                return None
            await asyncio.sleep(self._rng.uniform(*ROUND_DELAY_RANGE_S))

    def _finish_search(self) -> LeaderView | None:
        self._watch.found()
        return self._view

    def _warn_if_due(self) -> None:
        fields = self._watch.warning(_steady_ms())
        if fields is not None:
            LOG.warning("leader_unknown", extra=fields)

    def _is_usable(self, max_age_ms: int) -> bool:
        view = self._view
        if view is None or _steady_ms() - view.heard_ms > max_age_ms:
            return False
        failed_ms = self._failed.get(view.address)
        if failed_ms is None or _steady_ms() - failed_ms >= FAILED_LEADER_EXCLUSION_MS:
            return True
        return view.heard_ms > failed_ms  # it was heard of after the failure report

    def _query_batches(self) -> list[tuple[str, ...]]:
        core = list(self._core)
        others = [
            address for address in dict.fromkeys((*self._seeds, *self._schedulers)) if address not in core
        ]
        self._rng.shuffle(core)
        self._rng.shuffle(others)
        addresses = core + others
        return [
            tuple(addresses[start : start + PARALLEL_QUERIES])
            for start in range(0, len(addresses), PARALLEL_QUERIES)
        ]

    async def _query(self, address: str) -> None:
        self._watch.asked(_steady_ms())
        try:
            answer = await self._pool.call(address, WhereIsLeader(), ASK_TIMEOUT_S)
        except RpcError:
            return
        if not isinstance(answer, LeaderAnswer):
            return
        self._watch.answered(bool(answer.core))
        if answer.core:
            self._core = answer.core[:MAX_ADDRESSES]
        for scheduler in answer.schedulers:
            self._remember_scheduler(scheduler)
        reported = answer.leader
        if reported is None:
            return
        heard_ms = _steady_ms() - reported.heard_ago_ms
        view = self._view
        if (
            view is None
            or reported.epoch > view.epoch
            or (reported.epoch == view.epoch and heard_ms > view.heard_ms)
        ):
            self._view = LeaderView(reported.epoch, reported.name, reported.address, heard_ms)

    def _remember_scheduler(self, address: str) -> None:
        self._schedulers.pop(address, None)
        self._schedulers[address] = None
        if len(self._schedulers) > MAX_ADDRESSES:
            del self._schedulers[next(iter(self._schedulers))]
