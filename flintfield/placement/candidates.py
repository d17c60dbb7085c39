"""Finds the workers that can take a task now, with price and speed: hard constraints before the market.

Workers do not enforce their own capacity, so a worker is a candidate only if the dispatcher's record (which
counts every run that may be on it) leaves room for the whole demand. It must be ready, have the required
labels and stay within the step's anti-affinity limit. Untrusted workers and those where the task has failed
before are left out unless explicitly included. If the task's data or the rest of its step is on another
rack, ζ is divided by `far_x`.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from flintfield.placement.health import HealthTable
from flintfield.placement.index import (
    ENOUGH_CANDIDATES,
    FULL_SCAN_MAX_WORKERS,
    WorkerIndex,
    scan_from_random_start,
)
from flintfield.placement.interface import Demand, Resources, Worker
from flintfield.placement.prices import PriceTable
from flintfield.placement.speeds import SpeedTable

PROBE_MAX_ESTIMATE_RATIO = 1.5  # to the service's mean estimate: a probing run should end soon
ESTIMATE_GAIN = 0.05  # weight of a new demand in that mean (exponential smoothing)
GANG_CANDIDATES = 24  # candidates collected for a gang on a service above FULL_SCAN_MAX_WORKERS
MAX_UNPLACEABLE = 256  # remembered demand shapes without room at this instant; others are searched again

DemandShape = tuple[str, tuple[str, ...], Resources, bool]


@dataclass(slots=True)
class Candidates:
    """Workers that can take the task, and by the same index their price φ and speed ζ (1.0: the mean)."""

    workers: list[Worker] = field(default_factory=list)
    price_speeds: list[tuple[float, float]] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.workers)


class CandidateFinder:
    """Finds candidates; on a large fleet, caches for the current instant which demands found no room."""

    def __init__(
        self,
        index: WorkerIndex,
        prices: PriceTable,
        speeds: SpeedTable,
        health: HealthTable,
        generator: random.Random,
        far_x: float,
    ) -> None:
        self._index = index
        self._prices = prices
        self._speeds = speeds
        self._health = health
        self._generator = generator
        self._far_x = far_x
        self._racks: OrderedDict[str, str] = OrderedDict()
        self._unplaceable: set[DemandShape] = set()
        self._unplaceable_ms = -1
        self._mean_estimate: dict[str, float] = {}

    def clear_unplaceable(self) -> None:
        """Clear the cache of demands without room, since room may have become free."""
        self._unplaceable.clear()

    def find(self, demand: Demand, workers: dict[str, Worker], now_ms: int) -> Candidates:
        """Trusted workers that can take the task now, except those where it has failed."""
        group = self._index.group(demand)
        if len(group) <= FULL_SCAN_MAX_WORKERS:
            return self._filter(demand, group, workers, len(group), demand.avoided_instances)
        if self._is_unplaceable(demand, now_ms):
            return Candidates()
        scan_order: Iterable[str] = scan_from_random_start(group, self._generator)
        if demand.affinity:
            scan_order = _rack_first(self._index.rack_members(demand.service, demand.affinity), scan_order)
        found = self._filter(demand, scan_order, workers, ENOUGH_CANDIDATES, demand.avoided_instances)
        if (
            not found
            and not demand.avoided_instances
            and not demand.max_per_worker
            and len(self._unplaceable) < MAX_UNPLACEABLE
        ):
            self._unplaceable.add(_shape(demand))
        return found

    def find_for_gang(self, demand: Demand, workers: dict[str, Worker], avoid: frozenset[str]) -> Candidates:
        """Trusted workers that can take at least one member of the gang, except those in `avoid`."""
        group = self._index.group(demand)
        if len(group) <= FULL_SCAN_MAX_WORKERS:
            return self._filter(demand, group, workers, len(group), avoid)
        scan_order = self._rack_by_rack(demand, group, workers)
        return self._filter(demand, scan_order, workers, GANG_CANDIDATES, avoid)

    def last_resort(self, demand: Demand, workers: dict[str, Worker]) -> Candidates:
        """Workers where the task has failed and untrusted ones, if they can take it."""
        excluded = sorted(demand.avoided_instances | self._health.untrusted(demand.service))
        return self._filter(demand, excluded, workers, ENOUGH_CANDIDATES, frozenset(), trusted_only=False)

    def probe(self, demand: Demand, workers: dict[str, Worker], now_ms: int) -> str | None:
        """An untrusted worker whose back-off is over, if this task qualifies as its probing run."""
        untrusted = self._health.untrusted(demand.service)
        if not untrusted:
            return None
        mean = self._learn_estimate(demand)
        if demand.avoided_instances or demand.estimate_ms > PROBE_MAX_ESTIMATE_RATIO * mean:
            return None
        due = self._health.due_for_probe(demand.service, now_ms)
        found = self._filter(demand, due, workers, 1, frozenset(), trusted_only=False)
        return found.workers[0].instance if found else None

    def sample(self, service: str, workers: dict[str, Worker]) -> list[tuple[float, float]]:
        """Price and ζ of the ready, trusted workers of a service; at most `ENOUGH_CANDIDATES` of them."""
        group: Iterable[str] = self._index.members(service)
        if len(self._index.members(service)) > FULL_SCAN_MAX_WORKERS:
            group = scan_from_random_start(self._index.members(service), self._generator)
        untrusted, prices, zeta = self._health.untrusted(service), self._prices.prices, self._speeds.zeta
        price_speeds = []
        for instance in group:
            worker = workers.get(instance)
            if worker is not None and worker.ready and instance not in untrusted:
                price_speeds.append((prices.get(instance, 0.0), zeta.get(instance, 1.0)))
                if len(price_speeds) >= ENOUGH_CANDIDATES:
                    break
        return price_speeds

    def has_alternative(self, demand: Demand, workers: dict[str, Worker]) -> bool:
        """Whether a trusted worker where the task has not failed could take it if it were idle."""
        untrusted = self._health.untrusted(demand.service)
        for instance in self._index.group(demand):
            worker = workers.get(instance)
            if (
                worker is not None
                and worker.ready
                and instance not in untrusted
                and instance not in demand.avoided_instances
                and demand.resources.fits(worker.capacity)
            ):
                return True
        return False

    def far_factor(self, demand: Demand, worker: Worker) -> float:
        """Factor by which the task takes longer on a rack other than that of its data or its step."""
        if demand.affinity and worker.rack != demand.affinity:
            return self._far_x
        if demand.same_rack and demand.siblings and demand.siblings != {worker.rack}:
            return self._far_x
        return 1.0

    def _filter(
        self,
        demand: Demand,
        group: Iterable[str],
        workers: dict[str, Worker],
        limit: int,
        avoid: frozenset[str],
        trusted_only: bool = True,
    ) -> Candidates:
        """Apply the hard constraints. Hot path: one pass, no function calls for workers ruled out early."""
        needs, service, resources = demand.needs, demand.service, demand.resources
        cpu, memory_mb, gpu = resources.cpu, resources.memory_mb, resources.gpu
        at_most, group_key, max_runs = demand.max_per_worker, demand.group, demand.max_runs
        may_be_far = bool(demand.affinity) or (demand.same_rack and bool(demand.siblings))
        untrusted = self._health.untrusted(service) if trusted_only else _NO_WORKERS
        prices, zetas = self._prices.prices, self._speeds.zeta
        found = Candidates()
        accepted, price_speeds = found.workers, found.price_speeds
        for instance in group:
            worker = workers.get(instance)
            if (
                worker is None
                or not worker.ready
                or worker.service != service
                or worker.runs >= max_runs
                or instance in untrusted
                or instance in avoid
            ):
                continue
            capacity, used = worker.capacity, worker.used
            if (
                used.cpu + cpu > capacity.cpu
                or used.gpu + gpu > capacity.gpu
                or used.memory_mb + memory_mb > capacity.memory_mb
            ):
                continue
            if needs and not worker.labels.issuperset(needs):
                continue
            if at_most and worker.task_counts.get(group_key, 0) >= at_most:
                continue
            zeta = zetas.get(instance, 1.0)
            if may_be_far:
                zeta /= self.far_factor(demand, worker)
            accepted.append(worker)
            price_speeds.append((prices.get(instance, 0.0), zeta))
            if len(accepted) >= limit:
                break
        return found

    def _is_unplaceable(self, demand: Demand, now_ms: int) -> bool:
        if now_ms != self._unplaceable_ms:
            self._unplaceable.clear()
            self._unplaceable_ms = now_ms
        return _shape(demand) in self._unplaceable

    def _rack_by_rack(self, demand: Demand, group: list[str], workers: dict[str, Worker]) -> Iterable[str]:
        """All workers rack by rack, from a random position onwards; the rack of the data comes first."""
        seen = {demand.affinity}
        if demand.affinity:
            yield from self._index.rack_members(demand.service, demand.affinity)
        for instance in scan_from_random_start(group, self._generator):
            worker = workers.get(instance)
            if worker is not None and worker.rack not in seen:
                seen.add(worker.rack)
                yield from self._index.rack_members(demand.service, worker.rack)

    def _learn_estimate(self, demand: Demand) -> float:
        mean = self._mean_estimate.get(demand.service, float(demand.estimate_ms))
        mean += (demand.estimate_ms - mean) * ESTIMATE_GAIN
        self._mean_estimate[demand.service] = mean
        return mean


def _rack_first(rack_workers: list[str], scan_order: Iterable[str]) -> Iterable[str]:
    seen = set(rack_workers)
    yield from rack_workers
    for instance in scan_order:
        if instance not in seen:
            yield instance


def _shape(demand: Demand) -> DemandShape:
    return demand.service, demand.needs, demand.resources, demand.first_of_job


_NO_WORKERS: set[str] = set()
