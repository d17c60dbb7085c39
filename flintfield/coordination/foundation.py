"""The proposer for the first core set: which members it has, and which set may be proposed. No I/O.

The set is decided when *all* its members have adopted it durably under one ballot. A proposer needs the
promises of all members of the set that it proposes, and must propose a set that one of them has adopted
unless that set can no longer be decided (`first_proposal`). Two sets that share a member are therefore never
both decided, even if a proposer lost its memory in between. Every member may propose the set that it has
adopted again under the same ballot, so another process can complete the foundation if the founder dies.
For disjoint sets, only the minimum size (`Gathering`) prevents that both are decided.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from flintfield.coordination.contacts import FoundAnswer
from flintfield.coordination.model import CoreSet, Member, ordered
from flintfield.coordination.timing import FOUNDATION_MAX_WAIT_MS, FOUNDATION_STABLE_MS


@dataclass(frozen=True, slots=True)
class Proposal:
    """The next action of a founder: propose `core` to its members if all of them have given their promise,
    else ask the members in `missing` for theirs first."""

    core: CoreSet | None
    missing: tuple[Member, ...] = ()


def first_proposal(gathered: CoreSet, promises: Mapping[int, FoundAnswer]) -> Proposal:
    """Return what may be proposed under a ballot that these replicas (by identity) have promised.

    A set that a replica has adopted may be decided and must be proposed, unless one of the set's own members
    reports that it last adopted another set or none. If no such set exists, `gathered` may be proposed.
    """
    adopted = {answer.adopted for answer in promises.values() if answer.adopted is not None}
    possible_sets = [core for core in adopted if _may_be_decided(core, promises)]
    if len(possible_sets) > 1:
        missing = [member for core in possible_sets for member in core.members]
        return Proposal(None, _without_promise(missing, promises))
    core = possible_sets[0] if possible_sets else gathered
    missing_members = _without_promise(core.members, promises)
    return Proposal(None if missing_members else core, missing_members)


def _may_be_decided(core: CoreSet, promises: Mapping[int, FoundAnswer]) -> bool:
    answers = [promises[member.identity] for member in core.members if member.identity in promises]
    return all(answer.adopted == core for answer in answers)


def _without_promise(
    members: tuple[Member, ...] | list[Member], promises: Mapping[int, FoundAnswer]
) -> tuple[Member, ...]:
    return tuple(dict.fromkeys(member for member in members if member.identity not in promises))


class Gathering:
    """The replicas that have announced themselves to a founder.

    `needed` is the number of replicas required for the configured fault tolerance. A `strict` founder never
    founds a smaller set, so that two founders that don't know of each other can't found two sets while at
    most 2 x `needed` - 1 replicas exist.
    """

    def __init__(self, now_ms: int, needed: int, strict: bool) -> None:
        self._needed = needed
        self._strict = strict
        self._started_ms = now_ms
        self._last_arrival_ms = now_ms
        self._members: dict[int, Member] = {}

    def note(self, now_ms: int, member: Member) -> None:
        """Add a replica that has announced itself at its first start."""
        if self._members.get(member.identity) == member:
            return
        superseded = [
            identity
            for identity, known in self._members.items()
            if known.name == member.name or known.address == member.address
        ]
        for identity in superseded:  # its store has been formatted again since
            del self._members[identity]
        self._members[member.identity] = member
        self._last_arrival_ms = now_ms

    def drop(self, name: str, address: str) -> None:
        """Remove replicas with this name or address, whose disk was lost after they announced themselves."""
        removed = [
            key for key, known in self._members.items() if name == known.name or address == known.address
        ]
        for identity in removed:
            del self._members[identity]

    def first_set(self, now_ms: int) -> CoreSet | None:
        """Return the first core set once no new replica has announced itself for `FOUNDATION_STABLE_MS`."""
        if not self._members or now_ms - self._last_arrival_ms < FOUNDATION_STABLE_MS:
            return None
        waits_for_more = self._strict or now_ms - self._started_ms < FOUNDATION_MAX_WAIT_MS
        if waits_for_more and len(self._members) < self._needed:
            return None
        members = ordered(list(self._members.values()))
        # A set that is founded with too few members grows when further replicas arrive.
        return CoreSet(1, members, max(len(members), self._needed))
