"""The fleet: which machines there are, drawn from the scenario and the seed.

A machine's kind follows from its place alone (a golden-ratio sequence over the kinds' shares, so that any
first few hold the kinds in about their shares), its zone and speed from a stream of its own: one more machine
changes none of the others.
"""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.lab.scenario import Kind, Node as NodeSpec, Scenario
from flintfield.lab.world.streams import Draws, Streams

GOLDEN = 0.6180339887498949
CELL = 4  # machines of a zone that share a cell
ROUGH = 0.15  # spread of the list weights that are about right


@dataclass(frozen=True, slots=True)
class Machine:
    """One machine and the worker node on it; its name is also its address."""

    name: str
    place: int
    zone: str
    cell: int
    kind: Kind
    speed: float  # of a core
    weight: float  # as discovery lists it

    @property
    def capacity(self) -> float:
        """Work (ms of a standard core) that it does in a ms when warm."""
        return self.kind.cores * self.speed


@dataclass(frozen=True, slots=True)
class Fleet:
    """The machines at the start."""

    machines: tuple[Machine, ...]

    @property
    def capacity(self) -> float:
        """Work that the warm fleet does in a ms."""
        return sum(m.capacity for m in self.machines)


def node_name(place: int) -> str:
    """What the machine at that place is called; replacements go on counting."""
    return f"n{place:04d}"


def draw_fleet(scenario: Scenario, streams: Streams) -> Fleet:
    """The machines that run at the start."""
    fleet = scenario.fleet
    count = len(fleet.node) or fleet.nodes
    specs: list[NodeSpec | None] = list(fleet.node) or [None] * count
    return Fleet(tuple(draw_machine(scenario, streams, i, spec) for i, spec in enumerate(specs)))


def draw_machine(scenario: Scenario, streams: Streams, place: int, spec: NodeSpec | None,
                 like: Machine | None = None) -> Machine:
    """One machine: as `spec` says, else of the kind and zone of `like`, else drawn."""
    draws, name = streams.of(f"machine/{place}"), node_name(place)
    u, v, speed_factor, weight_factor = draws.uniform(), draws.uniform(), draws.normal(), draws.normal()
    kinds = {k.name: k for k in scenario.fleet.kinds}
    kind = kinds[spec.kind] if spec else like.kind if like else _kind_at(scenario.fleet.kinds, place)
    zone = spec.zone if spec and spec.zone else like.zone if like else _zone_at(scenario, place, u, v)
    speed = spec.speed if spec and spec.speed else kind.speed * max(0.2, 1.0 + kind.speed_cv * speed_factor)
    weight = _weight(scenario.fleet.weights, kind, weight_factor)
    if spec and spec.weight is not None:
        weight = spec.weight
    cell = scenario.zones.index(zone) + len(scenario.zones) * (place // (CELL * len(scenario.zones)))
    return Machine(name, place, zone, cell, kind, speed, weight)


def _kind_at(kinds: list[Kind], place: int) -> Kind:
    at = ((place + 0.5) * GOLDEN) % 1.0 * sum(k.share for k in kinds)
    for kind in kinds:
        at -= kind.share
        if at < 0:
            return kind
    return kinds[-1]


def _zone_at(scenario: Scenario, place: int, u: float, v: float) -> str:
    """In turn over the zones; a part of the machines, the skew, stands in zones drawn with falling chance."""
    zones = scenario.zones
    if u >= scenario.fleet.zone_skew:
        return zones[place % len(zones)]
    return zones[min(int(len(zones) * v * v), len(zones) - 1)]


def _weight(how: str, kind: Kind, factor: float) -> float:
    if how == "off":
        return 1.0
    return float(kind.cores) if how == "nominal" else round(kind.cores * max(0.5, 1 + ROUGH * factor), 2)


def pick(draws: Draws, places: list[int], part: float) -> list[int]:
    """A part of the places, at least one, in a drawn order."""
    order = sorted(places, key=lambda _: draws.uniform())
    return order[:max(1, round(part * len(places)))]
