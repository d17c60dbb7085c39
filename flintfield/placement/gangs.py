"""Placing all tasks of a gang at once, or none: first on one rack where that is asked for, else anywhere.

Members start together and end with the slowest, so the members go to the workers of highest share first,
each as long as it has room. Room that earlier members of the gang would take is counted.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from flintfield.placement.interface import Demand, Resources, Worker


@dataclass(frozen=True, slots=True)
class Option:
    """A worker that could take members, and its share."""

    worker: Worker
    share: float


@dataclass(slots=True)
class _Plan:
    """What the members placed so far take of one worker."""

    used: Resources
    held: dict[tuple[str, int, int], int]


def place_gang(demands: Sequence[Demand], options: Sequence[Option]) -> list[str] | None:
    """An instance for each demand, or None where they do not fit together. Large members are placed first."""
    plans: dict[str, _Plan] = {}
    chosen: dict[int, str] = {}
    ranked = sorted(options, key=lambda option: -option.share)
    order = sorted(range(len(demands)), key=lambda at: _size(demands[at].resources), reverse=True)
    for at in order:
        instance = _place_one(demands[at], ranked, plans)
        if instance is None:
            return None
        chosen[at] = instance
    return [chosen[at] for at in range(len(demands))]


def place_on_one_rack(demands: Sequence[Demand], options: Sequence[Option]) -> list[str] | None:
    """As `place_gang`, on the rack whose workers offer the best mean share; None where it fits on none."""
    racks: dict[str, list[Option]] = {}
    for option in options:
        racks.setdefault(option.worker.rack, []).append(option)
    by_instance = {option.worker.instance: option.share for option in options}
    best: tuple[float, list[str]] | None = None
    for members in racks.values():
        placed = place_gang(demands, members)
        if placed is not None:
            share = min(by_instance[instance] for instance in placed)
            if best is None or share > best[0]:
                best = share, placed
    return best[1] if best is not None else None


def _size(resources: Resources) -> tuple[int, int, int]:
    return resources.gpu, resources.cpu, resources.memory_mb


def _place_one(demand: Demand, ranked: Sequence[Option], plans: dict[str, _Plan]) -> str | None:
    for option in ranked:
        worker = option.worker
        plan = plans.get(worker.instance)
        used = plan.used if plan is not None else worker.used
        if not demand.resources.fits(worker.capacity.minus(used)):
            continue
        if demand.needs and not worker.labels.issuperset(demand.needs):
            continue
        held = worker.held.get(demand.group, 0) + (plan.held.get(demand.group, 0) if plan is not None else 0)
        if demand.at_most and held >= demand.at_most:
            continue
        if plan is None:
            plan = plans[worker.instance] = _Plan(used, {})
        plan.used = used.plus(demand.resources)
        plan.held[demand.group] = plan.held.get(demand.group, 0) + 1
        return worker.instance
    return None
