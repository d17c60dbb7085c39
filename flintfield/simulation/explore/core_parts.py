"""What the small world of core changes consists of: its limits, a leader's term, the first core set, and the
states with which a replica may join.

A *slot* is a place for a replica in the world; the replica's identity is one more than its slot.
"""

from __future__ import annotations

import itertools
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from flintfield.coordination.messages import AskState
from flintfield.coordination.model import CoreSet, ordered
from flintfield.coordination.transfer import EMPTY, WholeState, choose
from flintfield.simulation.explore import stored_replicas
from flintfield.simulation.explore.stored_replicas import Stored, activated, formatted, step

Few = tuple[int, ...]
LATER_MS = 100_000  # after all guards: what time allows is allowed


@dataclass(frozen=True, slots=True)
class Limits:
    """How much may happen."""

    size: int = 3
    elections: int = 2  # after the first
    writes: int = 2
    wipes: int = 1
    unfinished: int = 1  # proposals of a successor that reach one replica only


@dataclass(frozen=True, slots=True)
class Term:
    """A leader that was elected: its epoch, how far it has written, all its items."""

    epoch: int
    sequence: int
    items: frozenset[bytes]


def listed(few: Few) -> str:
    """These slots as a word of an action's name."""
    return ",".join(map(str, few))


def replaced(core: CoreSet, old: int, new: int) -> CoreSet:
    """The successor of a set in which slot `old` gives its place to slot `new`."""
    members = [member for member in core.members if member.identity != old + 1]
    return CoreSet(
        core.version + 1, ordered([*members, stored_replicas.member(new)]), core.founded_size, core.members
    )


def answers_of(replicas: Mapping[int, Stored]) -> dict[int, Any]:
    """What each replica tells of its state, by identity."""
    return {slot + 1: step(stored, AskState(0), LATER_MS)[1] for slot, stored in replicas.items()}


def sufficient_states(core: CoreSet, replicas: Mapping[int, Stored]) -> list[tuple[int, WholeState]]:
    """The states with which a replica may become active in `core`, each with the slot of its source.

    They come from any sufficient few of the replicas, which are told by their slots.
    """
    answers = answers_of(replicas)
    found: dict[tuple[int, Any], tuple[int, WholeState]] = {}
    for size in (1, len(core.previous) // 2 + 1):
        for few in itertools.combinations(sorted(answers), size):
            choice = choose(core, {identity: answers[identity] for identity in few})
            if choice is not None:
                found[choice.source, choice.state] = (choice.source - 1, choice.state)
    return [found[key] for key in sorted(found, key=repr)]


def first_set(size: int) -> CoreSet:
    """The set that the first `size` slots found."""
    return CoreSet(1, ordered([stored_replicas.member(slot) for slot in range(size)]), size, ())


def founded_replicas(core: CoreSet) -> list[Stored]:
    """The members of the first set, active in it, and a newcomer that has just started."""
    size = len(core.members)
    members = [activated(formatted(slot, True), core, EMPTY, 0) for slot in range(size)]
    return [*members, formatted(size, False)]
