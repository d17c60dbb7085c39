"""Policies to compare the market with: first-fit, random and least-loaded, all within capacity."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from flintfield.placement.gangs import Option, place_gang
from flintfield.placement.interface import Demand, Placement, Worker
from flintfield.placement.market import MarketPlacement

Order = Callable[[Worker], float]


class Simple:
    """Takes the first worker with room in its order; one where the task failed only if there is no other."""

    def __init__(self, order: Order) -> None:
        self._order = order

    def note_start(self, demand: Demand, instance: str, now_ms: int) -> None:
        """Nothing is learned."""

    def note_end(self, demand: Demand, instance: str, result: str, ran_ms: float, now_ms: int) -> None:
        """Nothing is learned."""

    def forget(self, instance: str) -> None:
        """Nothing is kept."""

    def tick(self, now_ms: int, workers: dict[str, Worker]) -> None:
        """Nothing is priced."""

    def choose(self, demand: Demand, workers: dict[str, Worker], now_ms: int) -> str | None:
        """The first in order."""
        placed = self.choose_gang([demand], workers, now_ms)
        return placed[0] if placed is not None else None

    def choose_gang(
        self, demands: Sequence[Demand], workers: dict[str, Worker], now_ms: int
    ) -> list[str] | None:
        """All members in order, wherever their racks are."""
        first = demands[0]
        options = [
            Option(worker, -self._order(worker))
            for worker in workers.values()
            if worker.ready and worker.service == first.service
        ]
        sound = [option for option in options if option.worker.instance not in first.avoided_instances]
        return place_gang(demands, sound) or place_gang(demands, options)

    def is_trusted(self, instance: str, now_ms: int) -> bool:
        """Everybody is."""
        return True


def load_of(worker: Worker) -> float:
    """The used part of the scarcest resource."""
    used, whole = worker.used, worker.capacity
    return max(used.cpu / whole.cpu, used.memory_mb / whole.memory_mb, used.gpu / max(1, whole.gpu))


def first_fit(seed: int) -> Placement:
    """Always the same order."""
    return Simple(lambda worker: 0.0)


def random_fit(seed: int) -> Placement:
    """Any worker with room."""
    generator = random.Random(seed)
    return Simple(lambda worker: generator.random())


def least_loaded(seed: int) -> Placement:
    """The emptiest worker."""
    return Simple(load_of)


POLICIES: dict[str, Callable[[int], Placement]] = {
    "market": MarketPlacement,
    "first-fit": first_fit,
    "random": random_fit,
    "least-loaded": least_loaded,
}
