"""Which workers there are by service, label and rack, and how few of them a decision looks at.

The lists hold names; what a worker's room is now is read from the dispatcher's table at each decision. A
group of up to `WALK_ALL` workers is looked at whole. Of a larger one a decision looks from a random place
onwards until it has found `ENOUGH` that could take the task, so that its cost does not grow with the fleet
while there is room.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator

from flintfield.placement.interface import Demand, Worker

WALK_ALL = 32
ENOUGH = 24
LOOK_AT = 512  # at the most, of a group in which hardly anybody has room: each look begins at another place

_NOBODY: list[str] = []


class WorkerIndex:
    """Names of workers by service, by service and label, and by service and rack."""

    def __init__(self) -> None:
        self._by_service: dict[str, list[str]] = {}
        self._by_label: dict[tuple[str, str], list[str]] = {}
        self._by_rack: dict[tuple[str, str], list[str]] = {}
        self._count = -1

    def is_stale(self, workers: dict[str, Worker]) -> bool:
        """Whether workers have come or gone since the last build."""
        return self._count != len(workers)

    def invalidate(self) -> None:
        """Have it built anew at the next look."""
        self._count = -1

    def build(self, workers: dict[str, Worker]) -> None:
        """Read the whole table."""
        self._by_service, self._by_label, self._by_rack = {}, {}, {}
        for instance, worker in workers.items():
            service = worker.service
            self._by_service.setdefault(service, []).append(instance)
            self._by_rack.setdefault((service, worker.rack), []).append(instance)
            for label in worker.labels:
                self._by_label.setdefault((service, label), []).append(instance)
        self._count = len(workers)

    def members(self, service: str) -> list[str]:
        """All workers of the service (not to be changed)."""
        return self._by_service.get(service, _NOBODY)

    def rack_members(self, service: str, rack: str) -> list[str]:
        """All workers of the service on that rack (not to be changed)."""
        return self._by_rack.get((service, rack), _NOBODY)

    def group(self, demand: Demand) -> list[str]:
        """The shortest list that has all workers with the labels asked for."""
        if not demand.needs:
            return self.members(demand.service)
        return min((self._by_label.get((demand.service, label), _NOBODY) for label in demand.needs), key=len)


def from_random_place(group: list[str], generator: random.Random) -> Iterator[str]:
    """The group from a random place onwards, each worker once, `LOOK_AT` at the most."""
    start = int(generator.random() * len(group))
    end = start + min(LOOK_AT, len(group))
    yield from itertools.islice(group, start, end)
    yield from itertools.islice(group, 0, max(0, end - len(group)))
