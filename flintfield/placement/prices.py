"""Prices of workers: a projected gradient step on the load relative to a target fraction of capacity.

Each step is φ ← [φ − ν(ρ − u)]⁺ (overlay market paper, price update; its ESB section counts capacity as ρ
of the true capacity). Workers do not report free slots, so the load u is 1 − free / largest free seen. Free
room is the capacity that the worker reports less the dispatcher's record of runs ordered and not ended. The
scarcest of CPU, memory and GPUs determines u.
"""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.placement.interface import Resources, Worker

RHO = 0.8  # load above which the price rises, as in the program in service
NU_PER_S = 1.0  # price step per second of excess demand of one whole worker, in units of the highest worth
TOP_PRICE = 0.5  # half of the highest worth: the price of a worker that empties falls to 0 within a second
MAX_STEP_S = 1.0  # limit on one step's duration after a pause (frozen process, takeover)


@dataclass(slots=True)
class _Entry:
    """State of one worker; `load` is u for `used` and `capacity` as of the last update."""

    stepped_ms: int
    used: Resources | None = None
    capacity: Resources | None = None
    load: float = 1.0
    largest_cpu: int = 0
    largest_memory_mb: int = 0
    largest_gpu: int = 0


class PriceTable:
    """A price for each worker, from its load relative to the largest free room seen on it."""

    def __init__(self) -> None:
        self.prices: dict[str, float] = {}  # φ by worker; a missing worker has 0.0
        self._entries: dict[str, _Entry] = {}

    def price(self, instance: str) -> float:
        """φ of a worker; 0.0 for one that was never priced."""
        return self.prices.get(instance, 0.0)

    def load(self, instance: str) -> float:
        """u of a worker at its last step, 0.0 to 1.0; 1.0 for one never seen."""
        entry = self._entries.get(instance)
        return entry.load if entry is not None else 1.0

    def step(self, worker: Worker, now_ms: int) -> None:
        """Update one price for the time since its last step; a worker that is not ready keeps its price."""
        entry = self._entries.get(worker.instance)
        if entry is None:
            entry = self._entries[worker.instance] = _Entry(now_ms)
        seconds = min(MAX_STEP_S, max(0, now_ms - entry.stepped_ms) / 1000.0)
        entry.stepped_ms = now_ms
        if not worker.ready:
            return
        if entry.used is not worker.used or entry.capacity is not worker.capacity:
            _update_load(entry, worker)
        price = self.prices.get(worker.instance, 0.0)
        if price > 0.0 or entry.load > RHO:
            stepped = price - NU_PER_S * seconds * (RHO - entry.load)
            self.prices[worker.instance] = min(TOP_PRICE, max(0.0, stepped))

    def forget(self, instance: str) -> None:
        """Drop the state of a worker that no longer exists."""
        self.prices.pop(instance, None)
        self._entries.pop(instance, None)

    def gone(self, workers: dict[str, Worker]) -> list[str]:
        """Workers that have state here but are no longer in the table."""
        return [instance for instance in self._entries if instance not in workers]


def _update_load(entry: _Entry, worker: Worker) -> None:
    """Update the largest free room seen and the load u, which the scarcest resource determines."""
    used, capacity = worker.used, worker.capacity
    entry.used, entry.capacity = used, capacity
    cpu, gpu = capacity.cpu - used.cpu, capacity.gpu - used.gpu
    memory_mb = capacity.memory_mb - used.memory_mb
    entry.largest_cpu = max(entry.largest_cpu, cpu)
    entry.largest_memory_mb = max(entry.largest_memory_mb, memory_mb)
    entry.largest_gpu = max(entry.largest_gpu, gpu)
    loads = [_load(cpu, entry.largest_cpu)]
    if capacity.memory_mb > 0:
        loads.append(_load(memory_mb, entry.largest_memory_mb))
    if capacity.gpu > 0:
        loads.append(_load(gpu, entry.largest_gpu))
    entry.load = min(1.0, max(loads))


def _load(free: int, largest: int) -> float:
    """1 − free / largest free seen; 1.0 while none has been seen."""
    return 1.0 - free / largest if largest > 0 else 1.0
