"""Index of workers by service, label and rack, which bounds how many workers a decision examines.

The lists hold instance names; a worker's free room is read from the dispatcher's table at each decision. A
group of up to `FULL_SCAN_MAX_WORKERS` is scanned completely. In a larger group a decision scans from a random
position until it has found `ENOUGH_CANDIDATES` workers that can take the task, so its cost does not grow with
the fleet while there is room.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator

from flintfield.placement.interface import Demand, Worker

FULL_SCAN_MAX_WORKERS = 32
ENOUGH_CANDIDATES = 24
MAX_SCANNED = 512  # workers per scan if few have room; each scan starts at another random position

_NO_WORKERS: list[str] = []


class WorkerIndex:
    """Names of workers by service, by service and label, and by service and rack."""

    def __init__(self) -> None:
        self._by_service: dict[str, list[str]] = {}
        self._by_label: dict[tuple[str, str], list[str]] = {}
        self._by_rack: dict[tuple[str, str], list[str]] = {}
        self._count = -1

    def is_stale(self, workers: dict[str, Worker]) -> bool:
        """Whether the number of workers differs from that at the last build."""
        return self._count != len(workers)

    def invalidate(self) -> None:
        """Mark the index for a rebuild before its next use."""
        self._count = -1

    def build(self, workers: dict[str, Worker]) -> None:
        """Rebuild the index from the whole table."""
        self._by_service, self._by_label, self._by_rack = {}, {}, {}
        for instance, worker in workers.items():
            service = worker.service
            self._by_service.setdefault(service, []).append(instance)
            self._by_rack.setdefault((service, worker.rack), []).append(instance)
            for label in worker.labels:
                self._by_label.setdefault((service, label), []).append(instance)
        self._count = len(workers)

    def members(self, service: str) -> list[str]:
        """All workers of the service; the caller must not modify the list."""
        return self._by_service.get(service, _NO_WORKERS)

    def rack_members(self, service: str, rack: str) -> list[str]:
        """All workers of the service on that rack; the caller must not modify the list."""
        return self._by_rack.get((service, rack), _NO_WORKERS)

    def group(self, demand: Demand) -> list[str]:
        """The shortest list that contains all workers with the required labels."""
        if not demand.needs:
            return self.members(demand.service)
        return min(
            (self._by_label.get((demand.service, label), _NO_WORKERS) for label in demand.needs), key=len
        )


def scan_from_random_start(group: list[str], generator: random.Random) -> Iterator[str]:
    """The group from a random position onwards, wrapping around; each worker once, up to `MAX_SCANNED`."""
    start = int(generator.random() * len(group))
    end = start + min(MAX_SCANNED, len(group))
    yield from itertools.islice(group, start, end)
    yield from itertools.islice(group, 0, max(0, end - len(group)))
