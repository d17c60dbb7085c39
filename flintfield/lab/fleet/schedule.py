"""Which fault begins and ends when, for whom: a plan's faults as deeds in order of time. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from flintfield.lab.fleet.net import Pair
from flintfield.lab.fleet.plan import Between, Fault, Plan, chosen

Act = Literal["begin", "over"]


@dataclass(frozen=True, slots=True)
class Deed:
    """A fault begins or is over, at a time in ms: for the words of `pairs`, or the processes of `who`."""

    at: float
    number: int  # of the fault in its plan
    act: Act
    fault: Fault
    pairs: frozenset[Pair] = frozenset()
    who: tuple[str, ...] = ()


def deeds_of(plan: Plan, instances: list[str], zones: list[str]) -> list[Deed]:
    """All deeds, by time; of one instant, what ends stands before what begins."""
    deeds: list[Deed] = []
    for number, fault in enumerate(plan.faults):
        pairs, who = frozenset[Pair](), tuple[str, ...]()
        if isinstance(fault, Between):
            pairs = pairs_of(fault, instances, zones)
        else:
            who = tuple(chosen(fault.who, instances, zones))
        deeds.append(Deed(fault.at_s * 1000, number, "begin", fault, pairs, who))
        if fault.for_s:
            deeds.append(Deed((fault.at_s + fault.for_s) * 1000, number, "over", fault, pairs, who))
    return sorted(deeds, key=lambda d: (d.at, d.act == "begin", d.number))


def pairs_of(fault: Between, instances: list[str], zones: list[str]) -> frozenset[Pair]:
    """The ways that a fault between instances lies on."""
    ones = chosen(fault.from_, instances, zones)
    others = chosen(fault.to, instances, zones, set(ones) if set(ones) != set(instances) else set())
    pairs = {(a, b) for a in ones for b in others if a != b}
    return frozenset(pairs if fault.one_way else pairs | {(b, a) for a, b in pairs})
