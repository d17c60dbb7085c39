"""Places all tasks of a gang or none: on one rack first if requested, else anywhere.

Members start together and the gang ends with its slowest member, so members go to the workers with the
highest share first, each worker as long as it has room. Room taken by members placed earlier is subtracted.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from flintfield.placement.interface import Demand, Resources, Worker


@dataclass(frozen=True, slots=True)
class Option:
    """A worker that can take members of the gang, and its share."""

    worker: Worker
    share: float


@dataclass(slots=True)
class _WorkerUsage:
    """Use of one worker including the members placed so far."""

    used: Resources
    runs: int
    held: dict[tuple[str, int, int], int]


def place_gang(demands: Sequence[Demand], options: Sequence[Option]) -> list[str] | None:
    """An instance for each demand, or None if they do not all fit. Larger members are placed first."""
    usages: dict[str, _WorkerUsage] = {}
    chosen: dict[int, str] = {}
    ranked = sorted(options, key=lambda option: -option.share)
    order = sorted(range(len(demands)), key=lambda index: _size(demands[index].resources), reverse=True)
    for index in order:
        instance = _place_one(demands[index], ranked, usages)
        if instance is None:
            return None
        chosen[index] = instance
    return [chosen[index] for index in range(len(demands))]


def place_on_one_rack(demands: Sequence[Demand], options: Sequence[Option]) -> list[str] | None:
    """As `place_gang`, on the rack whose lowest chosen share is highest; None if the gang fits on no rack."""
    racks: dict[str, list[Option]] = {}
    for option in options:
        racks.setdefault(option.worker.rack, []).append(option)
    share_by_instance = {option.worker.instance: option.share for option in options}
    best: tuple[float, list[str]] | None = None
    for rack_options in racks.values():
        placed = place_gang(demands, rack_options)
        if placed is not None:
            share = min(share_by_instance[instance] for instance in placed)
            if best is None or share > best[0]:
                best = share, placed
    return best[1] if best is not None else None


def _size(resources: Resources) -> tuple[int, int, int]:
    return resources.gpu, resources.cpu, resources.memory_mb


def _place_one(demand: Demand, ranked: Sequence[Option], usages: dict[str, _WorkerUsage]) -> str | None:
    for option in ranked:
        worker = option.worker
        usage = usages.get(worker.instance)
        used = usage.used if usage is not None else worker.used
        if (usage.runs if usage is not None else worker.runs) >= demand.max_runs:
            continue
        if not demand.resources.fits(worker.capacity.minus(used)):
            continue
        if demand.needs and not worker.labels.issuperset(demand.needs):
            continue
        held = worker.task_counts.get(demand.group, 0) + (
            usage.held.get(demand.group, 0) if usage is not None else 0
        )
        if demand.max_per_worker and held >= demand.max_per_worker:
            continue
        if usage is None:
            usage = usages[worker.instance] = _WorkerUsage(used, worker.runs, {})
        usage.used = used.plus(demand.resources)
        usage.runs += 1
        usage.held[demand.group] = usage.held.get(demand.group, 0) + 1
        return worker.instance
    return None
