"""The placement policy: a market of workers, after the overlay market paper (docs/system-placement.md).

Theory of operation. Every tick updates the prices (`prices`). For a ready task, the candidates are the
workers that can take it now according to the dispatcher's record of their free room (`candidates`). Each has
a share computed from its price, its speed (`speeds`) and the worth of the queue (`shares`), and one is drawn
at random with these shares as weights. Among workers whose share is close to that of the drawn one, the one
where the placement strands the least room is taken (`packing`). Workers whose runs fail or stall while others
succeed are quarantined (`health`).
"""

from __future__ import annotations

import bisect
import itertools
import math
import random
from collections.abc import Sequence

from flintfield.placement.candidates import CandidateFinder, Candidates
from flintfield.placement.gangs import Option, place_gang, place_on_one_rack
from flintfield.placement.health import HealthTable
from flintfield.placement.index import WorkerIndex
from flintfield.placement.interface import Demand, Result, Worker
from flintfield.placement.packing import added_stranding
from flintfield.placement.prices import PriceTable
from flintfield.placement.runs import Run, RunTable
from flintfield.placement.shares import ShareTable
from flintfield.placement.speeds import SpeedTable
from flintfield.placement.waiting import MAX_WAIT_MS, WaitingTable

FAR_X = 1.5  # factor on the running time on another rack than that of the task's data or step
SIMILAR_SHARE = 0.9  # shares whose ratio to the drawn one is between this and its inverse count as equal
MAX_COMPARED = 6  # workers with similar shares that are compared by stranded room
# A task waits for another worker if the drawn one is this many times as slow as the mean.
SLOWNESS_THRESHOLD = 3.0
WAIT_FRACTION = 0.5  # of a task's estimate: the longest wait for a faster worker
OVERDUE_WEIGHT = 0.5  # of an overdue run as evidence, relative to a completion
BAD_END_SLOWNESS = 2.0  # a run that failed, stalled or was lost counts as one that took twice the time
LOST_WEIGHT = 0.5  # of a lost run as evidence, relative to a completion
INDEX_REBUILD_TICKS = 10  # interval at which the index is rebuilt, to pick up changed labels
WORKERS_PER_TICK = 64  # whose prices are updated in one tick; a larger fleet is updated in rotation


class MarketPlacement:
    """Placement by prices and shares; see `flintfield.placement.interface.Placement`. Not thread-safe."""

    def __init__(self, seed: int, far_x: float = FAR_X) -> None:
        """`seed` makes all random draws reproducible; `far_x` is set per deployment."""
        self._generator = random.Random(seed)
        self._index = WorkerIndex()
        self.prices = PriceTable()
        self.speeds = SpeedTable()
        self.health = HealthTable(self._generator)
        self._shares = ShareTable()
        self._runs = RunTable()
        self._waiting = WaitingTable()
        self._finder = CandidateFinder(
            self._index, self.prices, self.speeds, self.health, self._generator, far_x
        )
        self._workers: dict[str, Worker] = {}
        self._ticks = 0
        self._next_update = 0

    def note_start(self, demand: Demand, instance: str, now_ms: int) -> None:
        """Record that a run was ordered on the instance."""
        self._waiting.started(demand.task)
        self.health.note_start(instance, demand.task, demand.estimate_ms, now_ms)
        slowdown = self._far_factor(demand, instance)
        scale = self.speeds.client_scale(demand.client) or 0.0
        self._runs.add(Run(demand.task, instance, now_ms, demand.estimate_ms * scale * slowdown, slowdown))

    def note_end(self, demand: Demand, instance: str, result: str, ran_ms: float, now_ms: int) -> None:
        """Record that a run ended after `ran_ms` (0.0: unknown); an unlisted result only removes the run."""
        self._finder.clear_unplaceable()
        run = self._runs.remove(demand.task, instance)
        if result == Result.DONE:
            self.health.note_success(instance, demand.service, demand.task, now_ms)
            if ran_ms > 0.0 and demand.estimate_ms > 0:
                slowdown = run.slowdown if run is not None else 1.0
                self.speeds.note_done(
                    instance, demand.client, ran_ms / (demand.estimate_ms * slowdown), now_ms
                )
        elif result in (Result.FAILED, Result.STALLED):
            workers = len(self._index.members(demand.service))
            failed_elsewhere = bool(demand.avoided_instances - {instance})
            weight = self.health.note_failure(
                instance, demand.service, demand.task, failed_elsewhere, workers, now_ms
            )
            self.speeds.note_slowness(instance, BAD_END_SLOWNESS, weight, now_ms)
        elif result == Result.LOST:
            self.speeds.note_slowness(instance, BAD_END_SLOWNESS, LOST_WEIGHT, now_ms)

    def forget(self, instance: str) -> None:
        """Drop all state of a worker that no longer exists."""
        self.prices.forget(instance)
        self.speeds.forget(instance)
        self.health.forget(instance)
        self._runs.forget(instance)
        self._index.invalidate()
        self._finder.clear_unplaceable()

    def tick(self, now_ms: int, workers: dict[str, Worker]) -> None:
        """Update the prices; called about every 100 ms."""
        self._ticks += 1
        if self._ticks % INDEX_REBUILD_TICKS == 0:
            self._index.invalidate()
            for instance in self.prices.gone(workers):
                self.forget(instance)
        self._refresh_index(workers)
        self._finder.clear_unplaceable()
        for run in self._runs.overdue(now_ms):
            slowness = (now_ms - run.started_ms) / run.expected_ms
            self.speeds.note_slowness(run.instance, slowness, OVERDUE_WEIGHT, now_ms)
        for worker in self._workers_to_update(workers):
            self.prices.step(worker, now_ms)
            self.speeds.refresh(worker.instance, now_ms)

    def choose(self, demand: Demand, workers: dict[str, Worker], now_ms: int) -> str | None:
        """The instance on which to start the task now, or None if it should wait."""
        self._refresh_index(workers)
        probe = self._finder.probe(demand, workers, now_ms)
        if probe is not None:
            return probe
        candidates = self._finder.find(demand, workers, now_ms)
        if not candidates:
            return self._last_resort(demand, workers, now_ms)
        index = self._draw(demand, candidates, workers, now_ms)
        if self.speeds.zeta.get(candidates.workers[index].instance, 1.0) * SLOWNESS_THRESHOLD < 1.0:
            limit_ms = WAIT_FRACTION * demand.estimate_ms
            if self._waiting.may_wait(demand.task, limit_ms, now_ms):
                return None
        return candidates.workers[index].instance

    def choose_gang(
        self, demands: Sequence[Demand], workers: dict[str, Worker], now_ms: int
    ) -> list[str] | None:
        """An instance for each demand, or None if the gang can't be placed as a whole."""
        if not demands:
            return []
        self._refresh_index(workers)
        first = demands[0]
        avoid = frozenset().union(*(demand.avoided_instances for demand in demands))
        placed = self._place_gang(demands, self._finder.find_for_gang(first, workers, avoid), workers, now_ms)
        if placed is None and avoid and not self._waiting.may_wait(first.task, MAX_WAIT_MS, now_ms):
            candidates = self._finder.find_for_gang(first, workers, frozenset())
            placed = self._place_gang(demands, candidates, workers, now_ms)
        return placed

    def is_trusted(self, instance: str, now_ms: int) -> bool:
        """False while the worker is quarantined or probed after failed or stalled runs."""
        return self.health.trusted(instance)

    def _shares_of(
        self, demand: Demand, candidates: Candidates, workers: dict[str, Worker], now_ms: int
    ) -> list[float]:
        """η of each candidate for the demand's client."""
        key = demand.client, demand.service, demand.priority
        if self._shares.needs_solving(key, now_ms):
            self._shares.solve(key, self._finder.sample(demand.service, workers), now_ms)
        return self._shares.shares(key, candidates.price_speeds)

    def _draw(self, demand: Demand, candidates: Candidates, workers: dict[str, Worker], now_ms: int) -> int:
        """Index of the least stranding candidate among those with a share similar to one drawn by shares."""
        if len(candidates.workers) == 1:
            return 0
        shares = self._shares_of(demand, candidates, workers, now_ms)
        cumulative = list(itertools.accumulate(shares))
        drawn = min(bisect.bisect(cumulative, self._generator.random() * cumulative[-1]), len(shares) - 1)
        lowest, highest = shares[drawn] * SIMILAR_SHARE, shares[drawn] / SIMILAR_SHARE
        best, best_stranding, compared = drawn, math.inf, 0
        for index in itertools.chain(range(drawn, len(shares)), range(drawn)):
            if lowest <= shares[index] <= highest:
                stranding = added_stranding(candidates.workers[index], demand.resources)
                if stranding < best_stranding:
                    best, best_stranding = index, stranding
                compared += 1
                if compared >= MAX_COMPARED:
                    break
        return best

    def _last_resort(self, demand: Demand, workers: dict[str, Worker], now_ms: int) -> str | None:
        """An avoided or untrusted worker, once the task has waited long enough for another."""
        candidates = self._finder.last_resort(demand, workers)
        if not candidates:
            return None
        limit_ms = MAX_WAIT_MS if self._finder.has_alternative(demand, workers) else 0
        if self._waiting.may_wait(demand.task, limit_ms, now_ms):
            return None
        for worker in candidates.workers:
            if self.health.trusted(worker.instance):
                return worker.instance
        return candidates.workers[self._draw(demand, candidates, workers, now_ms)].instance

    def _place_gang(
        self, demands: Sequence[Demand], candidates: Candidates, workers: dict[str, Worker], now_ms: int
    ) -> list[str] | None:
        if not candidates:
            return None
        shares = self._shares_of(demands[0], candidates, workers, now_ms)
        options = list(map(Option, candidates.workers, shares))
        if any(demand.same_rack for demand in demands):
            placed = place_on_one_rack(demands, options)
            if placed is not None:
                return placed
        return place_gang(demands, options)

    def _far_factor(self, demand: Demand, instance: str) -> float:
        worker = self._workers.get(instance)
        return self._finder.far_factor(demand, worker) if worker is not None else 1.0

    def _refresh_index(self, workers: dict[str, Worker]) -> None:
        self._workers = workers
        if self._index.is_stale(workers):
            self._index.build(workers)

    def _workers_to_update(self, workers: dict[str, Worker]) -> list[Worker]:
        """The workers to update in this tick: all of a small fleet, the next ones of a large fleet."""
        if len(workers) <= WORKERS_PER_TICK:
            return list(workers.values())
        start = self._next_update % len(workers)
        self._next_update = start + WORKERS_PER_TICK
        return list(itertools.islice(workers.values(), start, start + WORKERS_PER_TICK))
