"""Prices of workers: the projected step of the market on load against a part of capacity.

Each step is φ ← [φ − ν(ρ − u)]⁺ (overlay market paper, price update; its ESB section counts capacity as ρ
of the true). Workers send no figure of free slots, so the load u is 1 − free / largest free seen, from the
dispatcher's record of what was ordered and has not ended against the capacity that the worker reports. Of
CPU, memory and GPUs the scarcest decides.
"""

from __future__ import annotations

from flintfield.placement.interface import Resources, Worker

RHO = 0.8  # the part of a worker that is sold without its price rising (as in the program in service)
NU_PER_S = 1.0  # price step for one second of a whole worker's excess demand, in units of the highest worth
TOP_PRICE = 0.5  # half of the highest worth: a worker that empties is cheap again within a second
LONGEST_STEP_S = 1.0  # after a pause (freeze, takeover) one step counts as no more


class PriceTable:
    """A price for each worker, and the largest free room seen on it."""

    def __init__(self) -> None:
        self._prices: dict[str, float] = {}
        self._largest: dict[str, Resources] = {}
        self._stepped_ms: dict[str, int] = {}

    def price(self, instance: str) -> float:
        """φ of a worker; 0.0 for one that was never priced."""
        return self._prices.get(instance, 0.0)

    def load(self, worker: Worker) -> float:
        """u of a worker, 0.0 to 1.0, by its scarcest resource; 1.0 while no free room has been seen."""
        free = worker.capacity.minus(worker.used)
        largest = _largest(self._largest.get(worker.instance), free)
        self._largest[worker.instance] = largest
        loads = [1.0 - left / most for left, most in _pairs(free, largest, worker.capacity) if most > 0]
        if len(loads) < _kinds(worker.capacity) or not loads:
            return 1.0  # of some resource no free room has been seen
        return min(1.0, max(0.0, *loads))

    def step(self, worker: Worker, now_ms: int) -> None:
        """Step one price by the time since its last step; a worker that is not in touch keeps its price."""
        instance = worker.instance
        before_ms = self._stepped_ms.get(instance, now_ms)
        self._stepped_ms[instance] = now_ms
        if not worker.ready:
            return
        seconds = min(LONGEST_STEP_S, max(0, now_ms - before_ms) / 1000.0)
        stepped = self.price(instance) - NU_PER_S * seconds * (RHO - self.load(worker))
        self._prices[instance] = min(TOP_PRICE, max(0.0, stepped))

    def forget(self, instance: str) -> None:
        """The worker is gone."""
        self._prices.pop(instance, None)
        self._largest.pop(instance, None)
        self._stepped_ms.pop(instance, None)

    def gone(self, workers: dict[str, Worker]) -> list[str]:
        """Workers that are known here and no longer in the table."""
        return [instance for instance in self._stepped_ms if instance not in workers]


def _largest(before: Resources | None, free: Resources) -> Resources:
    if before is None:
        return free
    if free.fits(before):
        return before
    return Resources(max(before.cpu, free.cpu), max(before.memory_mb, free.memory_mb),
                     max(before.gpu, free.gpu))


def _pairs(free: Resources, largest: Resources, capacity: Resources) -> list[tuple[int, int]]:
    """Free and largest free of each resource that the worker has."""
    pairs = [(free.cpu, largest.cpu, capacity.cpu), (free.memory_mb, largest.memory_mb, capacity.memory_mb),
             (free.gpu, largest.gpu, capacity.gpu)]
    return [(left, most) for left, most, whole in pairs if whole > 0]


def _kinds(capacity: Resources) -> int:
    """How many resources the worker has."""
    return sum(1 for whole in (capacity.cpu, capacity.memory_mb, capacity.gpu) if whole > 0)
