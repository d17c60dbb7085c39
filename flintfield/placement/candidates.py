"""The workers that could take a task now, with price and speed: the hard rules before the market.

Nobody guards a worker's capacity, so a worker is a candidate only where the dispatcher's record (every run
that may be there counts) leaves room for the whole demand. It must be ready, carry the labels asked for and
stay within the step's anti-affinity; workers out of trust and those where the task has failed before are
left out, unless asked for. Where data or the rest of the step lies on another rack, ζ is divided by
`far_x`.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from flintfield.placement.health import HealthTable
from flintfield.placement.index import ENOUGH, WALK_ALL, WorkerIndex, from_random_place
from flintfield.placement.interface import Demand, Resources, Worker
from flintfield.placement.prices import PriceTable
from flintfield.placement.speeds import SpeedTable

PROBE_MOST_ESTIMATE = 1.5  # times the service's mean estimate: a probing run should tell soon
ESTIMATE_STEP = 0.05  # by which that mean follows a demand
GANG_CANDIDATES = 24  # workers of a large service among which a gang is placed
MOST_REFUSED = 256  # shapes of demand that found no room in this instant; beyond, they are looked for again

Shape = tuple[str, tuple[str, ...], Resources]


@dataclass(slots=True)
class Candidates:
    """Workers that could take the task; at the same place price φ and speed ζ for it (1.0: the mean)."""

    workers: list[Worker] = field(default_factory=list)
    goods: list[tuple[float, float]] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.workers)


class CandidateFinder:
    """Finds candidates; remembers for the instant which demands found no room on a large fleet."""

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
        self._refused: set[Shape] = set()
        self._refused_ms = -1
        self._mean_estimate: dict[str, float] = {}

    def changed(self) -> None:
        """Room may have become free."""
        self._refused.clear()

    def find(self, demand: Demand, workers: dict[str, Worker], now_ms: int) -> Candidates:
        """Trusted workers that could take it now, but for those where it has failed."""
        group = self._index.group(demand)
        if len(group) <= WALK_ALL:
            return self._filter(demand, group, workers, len(group), demand.avoid)
        if self._is_refused(demand, now_ms):
            return Candidates()
        walk: Iterable[str] = from_random_place(group, self._generator)
        if demand.affinity:
            walk = _near_first(self._index.rack_members(demand.service, demand.affinity), walk)
        found = self._filter(demand, walk, workers, ENOUGH, demand.avoid)
        if not found and not demand.avoid and not demand.at_most and len(self._refused) < MOST_REFUSED:
            self._refused.add((demand.service, demand.needs, demand.resources))
        return found

    def find_for_gang(self, demand: Demand, workers: dict[str, Worker], avoid: frozenset[str]) -> Candidates:
        """Trusted workers that could take at least one such member, except those."""
        group = self._index.group(demand)
        if len(group) <= WALK_ALL:
            return self._filter(demand, group, workers, len(group), avoid)
        walk = self._rack_by_rack(demand, group, workers)
        return self._filter(demand, walk, workers, GANG_CANDIDATES, avoid)

    def last_resort(self, demand: Demand, workers: dict[str, Worker]) -> Candidates:
        """Workers where it has failed and those out of trust, if they could take it."""
        left_out = sorted(demand.avoid | self._health.untrusted(demand.service))
        return self._filter(demand, left_out, workers, ENOUGH, frozenset(), trusted_only=False)

    def probe(self, demand: Demand, workers: dict[str, Worker], now_ms: int) -> str | None:
        """A worker out of trust whose back-off is over, if this task may be its probing run."""
        untrusted = self._health.untrusted(demand.service)
        if not untrusted:
            return None
        mean = self._learn_estimate(demand)
        if demand.avoid or demand.estimate_ms > PROBE_MOST_ESTIMATE * mean:
            return None
        due = self._health.due_for_probe(demand.service, now_ms)
        found = self._filter(demand, due, workers, 1, frozenset(), trusted_only=False)
        return found.workers[0].instance if found else None

    def sample(self, service: str, workers: dict[str, Worker]) -> list[tuple[float, float]]:
        """Price and ζ of the ready, trusted workers of a service, or of enough of them."""
        group: Iterable[str] = self._index.members(service)
        if len(self._index.members(service)) > WALK_ALL:
            group = from_random_place(self._index.members(service), self._generator)
        untrusted, prices, zeta = self._health.untrusted(service), self._prices.prices, self._speeds.zeta
        goods = []
        for instance in group:
            worker = workers.get(instance)
            if worker is not None and worker.ready and instance not in untrusted:
                goods.append((prices.get(instance, 0.0), zeta.get(instance, 1.0)))
                if len(goods) >= ENOUGH:
                    break
        return goods

    def has_other_place(self, demand: Demand, workers: dict[str, Worker]) -> bool:
        """Whether a trusted worker where it has not failed could take it if that were empty."""
        untrusted = self._health.untrusted(demand.service)
        for instance in self._index.group(demand):
            worker = workers.get(instance)
            if (
                worker is not None
                and worker.ready
                and instance not in untrusted
                and instance not in demand.avoid
                and demand.resources.fits(worker.capacity)
            ):
                return True
        return False

    def far_factor(self, demand: Demand, worker: Worker) -> float:
        """How many times as long the task takes there for its distance from its data or its step."""
        if demand.affinity and worker.rack != demand.affinity:
            return self._far_x
        if demand.together and demand.siblings and demand.siblings != {worker.rack}:
            return self._far_x
        return 1.0

    def _filter(
        self,
        demand: Demand,
        group: Iterable[str],
        workers: dict[str, Worker],
        enough: int,
        avoid: frozenset[str],
        trusted_only: bool = True,
    ) -> Candidates:
        """The hot path: one look at each worker, without a call for those that drop out."""
        needs, service, wants = demand.needs, demand.service, demand.resources
        cpu, memory_mb, gpu = wants.cpu, wants.memory_mb, wants.gpu
        at_most, key = demand.at_most, demand.group
        far = bool(demand.affinity) or (demand.together and bool(demand.siblings))
        untrusted = self._health.untrusted(service) if trusted_only else _NOBODY
        prices, zetas = self._prices.prices, self._speeds.zeta
        found = Candidates()
        fitting, goods = found.workers, found.goods
        for instance in group:
            worker = workers.get(instance)
            if (
                worker is None
                or not worker.ready
                or worker.service != service
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
            if at_most and worker.held.get(key, 0) >= at_most:
                continue
            zeta = zetas.get(instance, 1.0)
            if far:
                zeta /= self.far_factor(demand, worker)
            fitting.append(worker)
            goods.append((prices.get(instance, 0.0), zeta))
            if len(fitting) >= enough:
                break
        return found

    def _is_refused(self, demand: Demand, now_ms: int) -> bool:
        if now_ms != self._refused_ms:
            self._refused.clear()
            self._refused_ms = now_ms
        return (demand.service, demand.needs, demand.resources) in self._refused

    def _rack_by_rack(self, demand: Demand, group: list[str], workers: dict[str, Worker]) -> Iterable[str]:
        """Racks from a random place onwards, each whole, that of the data first."""
        seen = {demand.affinity}
        if demand.affinity:
            yield from self._index.rack_members(demand.service, demand.affinity)
        for instance in from_random_place(group, self._generator):
            worker = workers.get(instance)
            if worker is not None and worker.rack not in seen:
                seen.add(worker.rack)
                yield from self._index.rack_members(demand.service, worker.rack)

    def _learn_estimate(self, demand: Demand) -> float:
        mean = self._mean_estimate.get(demand.service, float(demand.estimate_ms))
        mean += (demand.estimate_ms - mean) * ESTIMATE_STEP
        self._mean_estimate[demand.service] = mean
        return mean


def _near_first(near: list[str], walk: Iterable[str]) -> Iterable[str]:
    seen = set(near)
    yield from near
    for instance in walk:
        if instance not in seen:
            yield instance


_NOBODY: set[str] = set()
