"""What becomes of a fleet's load when sites are lost: where it goes, what does not fit, what is refused.

Rules. Load is work a ms (ms of a standard core), by class and by the site whose clients ask. Classes are
served in the order of what they earn for a unit of work; within a class home comes first, then the nearest
sites with spare capacity, equally near ones filled to the same part of theirs. So what is refused is what
earns least, whoever asked for it, and nothing is sent away that home could do. What may cross from one site
to another is bounded, so that one survivor is not pushed over by all others' overflow.

The plan holds for what it was made of. It is made before, and at the moment of a loss nothing needs to be
asked or computed: all that is wrong in it costs quality, for what is admitted follows what is delivered
(`decision/admission.py`).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import combinations

USE = 0.95  # of a capacity that is planned with: above it, waiting costs more than is won
LEAST = 1e-9
SLICES = 400  # of what crosses: the plan is exact to one of them


@dataclass(frozen=True, slots=True)
class Class:
    """A class of job; `earns`: worth of a unit of work, in any unit that all share."""

    name: str
    earns: float


@dataclass(frozen=True, slots=True)
class Site:
    """A site: what its worker nodes deliver, what its clients ask for, and where it stands."""

    name: str
    capacity: float  # work a ms
    load: Mapping[str, float]  # by class: work a ms that its clients ask for
    reserve: float = 0.0  # the part of its capacity that others' load may never have
    distance: Mapping[str, float] = field(default_factory=dict)  # to others, in any unit; 1 where not named
    crossing: Mapping[str, float] = field(default_factory=dict)  # the most that goes to others; else no bound


@dataclass(frozen=True, slots=True)
class Flow:
    """So much work a ms of a class goes from the clients of one site to the worker nodes of another."""

    cls: str
    home: str
    at: str
    work: float


@dataclass(frozen=True, slots=True)
class Plan:
    """What is expected with those sites lost."""

    lost: tuple[str, ...]
    flows: tuple[Flow, ...]
    use: Mapping[str, float]  # of each site that is left: the part of its capacity that is used
    kept: Mapping[str, float]  # by class: the part of the asked work that is served
    refused: tuple[str, ...]  # classes of which something is refused, in the order in which that begins

    @property
    def crossing(self) -> float:
        """The part of the served work that crosses sites."""
        all_ = sum(f.work for f in self.flows)
        return sum(f.work for f in self.flows if f.home != f.at) / all_ if all_ > 0 else 0.0


def plan_for(sites: Collection[Site], classes: Iterable[Class], lost: Collection[str] = (),
             parts: Mapping[str, float] | None = None) -> Plan:
    """The plan with those sites lost, and of others only a part of the capacity left (`parts`, by name)."""
    parts = parts or {}
    left = {s.name: USE * s.capacity * max(0.0, min(1.0, parts.get(s.name, 1.0)))
            for s in sites if s.name not in lost}
    room = dict(left)
    shared = {s.name: left[s.name] * (1.0 - s.reserve) for s in sites if s.name in left}
    crossed: dict[tuple[str, str], float] = {}
    flows: list[Flow] = []
    kept, refused = dict[str, float](), list[str]()
    for cls in sorted(classes, key=lambda c: -c.earns):
        asked = {s.name: max(0.0, s.load.get(cls.name, 0.0)) for s in sites}
        open_ = dict(asked)
        for name in left:  # home first
            served = min(open_[name], room[name])
            room[name] -= served
            open_[name] -= served
            if served > LEAST:
                flows.append(Flow(cls.name, name, name, served))
        for flow in _abroad(sites, cls.name, open_, room, left, shared, crossed):
            open_[flow.home] -= flow.work
            flows.append(flow)
        whole = sum(asked.values())
        kept[cls.name] = 1.0 - sum(open_.values()) / whole if whole > 0 else 1.0
        if sum(open_.values()) > LEAST * max(1.0, whole):
            refused.insert(0, cls.name)
    use = {name: USE * (1.0 - room[name] / left[name]) if left[name] > 0 else 0.0 for name in left}
    return Plan(tuple(sorted(lost)), tuple(flows), use, kept, tuple(refused))


def _abroad(sites: Collection[Site], cls: str, open_: Mapping[str, float], room: dict[str, float],
            left: Mapping[str, float], shared: Mapping[str, float],
            crossed: dict[tuple[str, str], float]) -> Iterator[Flow]:
    """What home has no room for, to the nearest first; those of one distance to an equal part of theirs.

    Sites that send are served in turn by small parts, so that none takes all that is spare.
    """
    by_name = {s.name: s for s in sites}
    need = {name: work for name, work in open_.items() if work > LEAST}
    part = sum(need.values()) / SLICES
    flows: dict[tuple[str, str], float] = {}
    while need and part > LEAST:
        moved = False
        for name in sorted(need, key=lambda n: -need[n]):
            home = by_name[name]
            bounds = {at: min(room[at] - (left[at] - shared[at]),
                              home.crossing.get(at, float("inf")) - crossed.get((name, at), 0.0))
                      for at in left if at != name}
            able = [at for at, most in bounds.items() if most > LEAST]
            if not able:
                continue
            near = min(home.distance.get(at, 1.0) for at in able)
            at = max((a for a in able if home.distance.get(a, 1.0) <= near),
                     key=lambda a: (room[a] / left[a], a))
            work = min(part, need[name], bounds[at])
            room[at] -= work
            crossed[name, at] = crossed.get((name, at), 0.0) + work
            flows[name, at] = flows.get((name, at), 0.0) + work
            need[name] -= work
            if need[name] <= LEAST:
                del need[name]
            moved = True
        if not moved:
            break
    for (name, at), work in flows.items():
        yield Flow(cls, name, at, work)


def losses(sites: Collection[Site], most: int = 2) -> Iterator[tuple[str, ...]]:
    """Each loss that is planned for: none, one site, any two."""
    names = sorted(s.name for s in sites)
    for count in range(min(most, len(names) - 1) + 1):
        yield from combinations(names, count)
