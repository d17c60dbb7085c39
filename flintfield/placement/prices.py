"""Prices of workers: the projected step of the market on load against a part of capacity.

Each step is φ ← [φ − ν(ρ − u)]⁺ (overlay market paper, price update; its ESB section counts capacity as ρ
of the true). Workers send no figure of free slots, so the load u is 1 − free / largest free seen, from the
dispatcher's record of what was ordered and has not ended against the capacity that the worker reports. Of
CPU, memory and GPUs the scarcest decides.
"""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.placement.interface import Resources, Worker

RHO = 0.8  # the part of a worker that is sold without its price rising (as in the program in service)
NU_PER_S = 1.0  # price step for one second of a whole worker's excess demand, in units of the highest worth
TOP_PRICE = 0.5  # half of the highest worth: a worker that empties is cheap again within a second
LONGEST_STEP_S = 1.0  # after a pause (freeze, takeover) one step counts as no more


@dataclass(slots=True)
class _Entry:
    """What is known of one worker; `load` is u for the `used` and `capacity` that were last looked at."""

    stepped_ms: int
    used: Resources | None = None
    capacity: Resources | None = None
    load: float = 1.0
    largest_cpu: int = 0
    largest_memory_mb: int = 0
    largest_gpu: int = 0


class PriceTable:
    """A price for each worker, by the largest free room seen on it."""

    def __init__(self) -> None:
        self.prices: dict[str, float] = {}  # φ by worker; whoever is missing has 0.0
        self._entries: dict[str, _Entry] = {}

    def price(self, instance: str) -> float:
        """φ of a worker; 0.0 for one that was never priced."""
        return self.prices.get(instance, 0.0)

    def load(self, instance: str) -> float:
        """u of a worker at its last step, 0.0 to 1.0; 1.0 for one never seen."""
        entry = self._entries.get(instance)
        return entry.load if entry is not None else 1.0

    def step(self, worker: Worker, now_ms: int) -> None:
        """Step one price by the time since its last step; a worker that is not in touch keeps its price."""
        entry = self._entries.get(worker.instance)
        if entry is None:
            entry = self._entries[worker.instance] = _Entry(now_ms)
        seconds = min(LONGEST_STEP_S, max(0, now_ms - entry.stepped_ms) / 1000.0)
        entry.stepped_ms = now_ms
        if not worker.ready:
            return
        if entry.used is not worker.used or entry.capacity is not worker.capacity:
            _look(entry, worker)
        price = self.prices.get(worker.instance, 0.0)
        if price > 0.0 or entry.load > RHO:
            stepped = price - NU_PER_S * seconds * (RHO - entry.load)
            self.prices[worker.instance] = min(TOP_PRICE, max(0.0, stepped))

    def forget(self, instance: str) -> None:
        """The worker is gone."""
        self.prices.pop(instance, None)
        self._entries.pop(instance, None)

    def gone(self, workers: dict[str, Worker]) -> list[str]:
        """Workers that are known here and no longer in the table."""
        return [instance for instance in self._entries if instance not in workers]


def _look(entry: _Entry, worker: Worker) -> None:
    """Take in the room that the record leaves on the worker: the largest, and u by the scarcest resource."""
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
