"""The agreement on the first core set, as a small world.

Founders gather replicas, ask them for promises and bring them a set; each is a life of a process that may
forget everything and gather others next time, so founders know nothing of one another. Answers get lost, an
adoption reaches any of the replicas at any time, also long after its founder has ended (members push what
they have adopted). The replicas are the program's state machines, and the founders propose by its rule.

What must hold: at most one set is decided, that is, adopted by all its members under one ballot (safety); and
a founder that reaches everybody has something to propose (`_stuck`).
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Hashable, Mapping
from dataclasses import dataclass, replace

from flintfield.coordination.contacts import AskFounding, Found, FoundAnswer
from flintfield.coordination.foundation import Proposal, first_proposal
from flintfield.coordination.model import Ballot, CoreSet
from flintfield.simulation.explore import stored_replicas
from flintfield.simulation.explore.stored_replicas import Stored

NOW_MS = 10_000
Propose = Callable[[CoreSet, Mapping[int, FoundAnswer]], Proposal]


@dataclass(frozen=True)
class FounderLife:
    """One life of a founder, with a ballot of its own."""

    gathered: CoreSet | None = None
    promises: tuple[tuple[int, FoundAnswer], ...] = ()
    proposed: CoreSet | None = None


@dataclass(frozen=True)
class FoundationWorld:
    """A state. `needed`: a founder gathers at least so many replicas."""

    replicas: tuple[Stored, ...]
    founders: tuple[FounderLife, ...]
    needed: int
    propose: Propose = first_proposal
    adoptions: frozenset[tuple[int, int]] = frozenset()  # (founder, slot), for ever

    def actions(self) -> list[str]:
        """What may happen next."""
        names: list[str] = []
        for founder, life in enumerate(self.founders):
            if life.gathered is None:
                names += [f"gather {founder} {listed}" for listed in self._gatherings()]
                continue
            if life.proposed is not None:
                slots = [member.identity - 1 for member in life.proposed.members]
                names += [f"adopt {founder} {slot}" for slot in slots]
                continue
            proposal = self.propose(life.gathered, dict(life.promises))
            if proposal.core is not None:
                names.append(f"propose {founder}")
            for member in proposal.missing:
                names += [f"ask {founder} {member.identity - 1}", f"lose {founder} {member.identity - 1}"]
        return names

    def after(self, action: str) -> FoundationWorld:
        """The state that this leads to."""
        kind, *words = action.split()
        founder = int(words[0])
        life = self.founders[founder]
        match kind:
            case "gather":
                slots = [int(slot) for slot in words[1].split(",")]
                return self._with_life(founder, replace(life, gathered=_first_set(slots, self.needed)))
            case "propose":
                assert life.gathered is not None
                proposal = self.propose(life.gathered, dict(life.promises))
                return self._with_life(founder, replace(life, proposed=proposal.core))
            case "adopt":
                assert life.proposed is not None
                return self._adopt(founder, int(words[1]), life.proposed)
            case _:
                return self._ask(founder, int(words[1]), answered=kind == "ask")

    def key(self) -> Hashable:
        """All that the future depends on."""
        return self.replicas, self.founders, self.adoptions

    def broken(self) -> str:
        """What must not be, or ""."""
        decided = self.decided()
        if len(decided) > 1:
            return f"{len(decided)} sets are decided: {sorted(_names(core) for core in decided)}"
        return self._stuck()

    def decided(self) -> set[CoreSet]:
        """The sets that all their members have adopted under one ballot."""
        return {
            life.proposed
            for founder, life in enumerate(self.founders)
            if life.proposed is not None
            and all((founder, member.identity - 1) in self.adoptions for member in life.proposed.members)
        }

    def _stuck(self) -> str:
        ballot = _ballot(len(self.founders))
        promises: dict[int, FoundAnswer] = {}
        for slot, stored in enumerate(self.replicas):
            _, promises[slot + 1] = stored_replicas.step(stored, AskFounding(ballot), NOW_MS)
        everybody = _first_set(range(len(self.replicas)), self.needed)
        proposal = self.propose(everybody, promises)
        return "" if proposal.core is not None else f"a founder waits for {_names_of(proposal)}"

    def _gatherings(self) -> list[str]:
        slots = range(len(self.replicas))
        sizes = range(self.needed, len(self.replicas) + 1)
        chosen = itertools.chain.from_iterable(itertools.combinations(slots, size) for size in sizes)
        return [",".join(map(str, few)) for few in chosen]

    def _ask(self, founder: int, slot: int, answered: bool) -> FoundationWorld:
        stored, answer = stored_replicas.step(self.replicas[slot], AskFounding(_ballot(founder)), NOW_MS)
        world = self._with_replica(slot, stored)
        life = self.founders[founder]
        if not answered or answer.promised != _ballot(founder):
            return world
        promises = tuple(sorted((*life.promises, (slot + 1, answer)), key=lambda entry: entry[0]))
        return world._with_life(founder, replace(life, promises=promises))

    def _adopt(self, founder: int, slot: int, core: CoreSet) -> FoundationWorld:
        ballot = _ballot(founder)
        stored, answer = stored_replicas.step(self.replicas[slot], Found(core, ballot), NOW_MS)
        world = self._with_replica(slot, stored)
        if answer.accepted != ballot:
            return world
        return replace(world, adoptions=world.adoptions | {(founder, slot)})

    def _with_replica(self, slot: int, stored: Stored) -> FoundationWorld:
        return replace(self, replicas=(*self.replicas[:slot], stored, *self.replicas[slot + 1 :]))

    def _with_life(self, founder: int, life: FounderLife) -> FoundationWorld:
        return replace(self, founders=(*self.founders[:founder], life, *self.founders[founder + 1 :]))


def foundation_world(
    replicas: int, founders: int, needed: int, propose: Propose = first_proposal
) -> FoundationWorld:
    """The start: replicas on empty disks, founders that have gathered nobody."""
    formatted = tuple(stored_replicas.formatted(slot, founding=True) for slot in range(replicas))
    return FoundationWorld(formatted, (FounderLife(),) * founders, needed, propose)


def _ballot(founder: int) -> Ballot:
    return Ballot(1, founder + 1, founder + 1)


def _first_set(slots: range | list[int], needed: int) -> CoreSet:
    members = tuple(stored_replicas.member(slot) for slot in slots)
    return CoreSet(1, members, max(len(members), needed))


def _names(core: CoreSet) -> list[str]:
    return [member.name for member in core.members]


def _names_of(proposal: Proposal) -> list[str]:
    return [member.name for member in proposal.missing]
