"""Selection of the state from which a member of a new core set may become active. No I/O.

A state is sufficient if it contains everything committed in the previous set. It has two possible sources:

1. a majority of the replicas of the previous set, all *sealed*: any majority that committed a value there
   overlaps with this one, and a sealed replica accepts nothing more; the highest position and the highest
   ballot among them are used;
2. any single replica that is already active in the new set (or in a newer one, which makes the transfer
   unnecessary).

The promised epoch is the highest among the answers used, because epochs never repeat across sets. Promised
ballots need not be carried over, because the version of the set is the first component of a ballot.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from flintfield.coordination.messages import StateAnswer
from flintfield.coordination.model import NO_BALLOT, NOWHERE, Ballot, CoreSet, Position


@dataclass(frozen=True, slots=True)
class WholeState:
    """The state with which a replica starts in a core set. `items` is None if it keeps its own items."""

    promised: int
    position: Position
    accepted: Ballot
    value: bytes | None
    items: Sequence[tuple[bytes, bytes]] | None


EMPTY = WholeState(0, NOWHERE, NO_BALLOT, None, None)
"""The initial state of every member of the first core set."""


@dataclass(frozen=True, slots=True)
class Choice:
    """The replica from which the ordered store is fetched, and the rest of the state."""

    source: int
    state: WholeState


def choose(target: CoreSet, answers_by_identity: Mapping[int, StateAnswer]) -> Choice | None:
    """Choose a sufficient state from the answers, keyed by identity; None if they don't suffice yet."""
    active = [
        answer
        for answer in answers_by_identity.values()
        if answer.core is not None and answer.core.version == target.version
    ]
    if active:
        return _most_recent(active[:1])
    previous_identities = {member.identity for member in target.previous}
    sealed = [
        answer
        for identity, answer in answers_by_identity.items()
        if identity in previous_identities
        and answer.core is not None
        and answer.sealed
        and answer.core.version == target.version - 1
    ]
    if not previous_identities or len(sealed) <= len(previous_identities) // 2:
        return None
    return _most_recent(sealed)


def _most_recent(answers: list[StateAnswer]) -> Choice:
    store = max(answers, key=lambda answer: answer.position)
    register = max(answers, key=lambda answer: answer.accepted)
    promised = max(answer.promised for answer in answers)
    state = WholeState(promised, store.position, register.accepted, register.value, None)
    return Choice(store.replica, state)
