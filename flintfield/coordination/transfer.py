"""How a member of a new core set finds the state with which it may become active. No I/O.

A state is sufficient if it contains everything committed in the set before. Two sources are:

1. a majority of the replicas of the set before, all *sealed*: whatever was committed there has a majority
   that overlaps with them, and a sealed replica takes nothing more; the highest position and the highest
   ballot among them count;
2. any single replica that is active in the new set already (or in a newer one, which makes the question
   moot).

The promise of epochs is the highest of all that were asked, because epochs never repeat across sets. Promises
of ballots need not be carried over: the version of the set is the first part of a ballot.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from flintfield.coordination.messages import StateAnswer
from flintfield.coordination.model import NO_BALLOT, NOWHERE, Ballot, CoreSet, Position


@dataclass(frozen=True, slots=True)
class WholeState:
    """What a replica starts with in a set. `items` is None where its own are the ones."""

    promised: int
    position: Position
    accepted: Ballot
    value: bytes | None
    items: Sequence[tuple[bytes, bytes]] | None


EMPTY = WholeState(0, NOWHERE, NO_BALLOT, None, None)
"""The state with which every member of the first set begins."""


@dataclass(frozen=True, slots=True)
class Choice:
    """From which replica the ordered store is fetched, and the rest of the state."""

    source: int
    state: WholeState


def choose(target: CoreSet, told: Mapping[int, StateAnswer]) -> Choice | None:
    """The sufficient state among these answers, by identity; None while they don't suffice."""
    active = [
        answer
        for answer in told.values()
        if answer.core is not None and answer.core.version == target.version
    ]
    if active:
        return _best(active[:1])
    before = {member.identity for member in target.previous}
    sealed = [
        answer
        for identity, answer in told.items()
        if identity in before
        and answer.core is not None
        and answer.sealed
        and answer.core.version == target.version - 1
    ]
    if not before or len(sealed) <= len(before) // 2:
        return None
    return _best(sealed)


def _best(answers: list[StateAnswer]) -> Choice:
    store = max(answers, key=lambda answer: answer.position)
    register = max(answers, key=lambda answer: answer.accepted)
    promised = max(answer.promised for answer in answers)
    state = WholeState(promised, store.position, register.accepted, register.value, None)
    return Choice(store.replica, state)
