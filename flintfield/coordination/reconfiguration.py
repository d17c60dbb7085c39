"""Which core set is to follow the present one. A pure policy of the leader; any outcome of it is safe.

A candidate is a replica that is no member and has announced itself within the last moments. One with the name
or the address of a member takes that member's place at once, because it proves that the member's disk (or
machine) is gone. One with a new name takes the place of a member that is leaving, else of the one that has
been silent for longest, if that is long enough, and is added where the set is smaller than it was founded.
Members are never dropped without a candidate: a smaller set would bear no more losses.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from flintfield.coordination.model import CoreSet, Member, ordered
from flintfield.coordination.timing import UNREACHABLE_MS


def successor(
    core: CoreSet,
    candidates: Iterable[Member],
    silent_ms: Callable[[int], int],
    leader: int,
    leaving: Collection[int] = (),
) -> CoreSet | None:
    """The next set, or None where the present one stays. `silent_ms(identity)` tells for how long a member
    has been out of the leader's reach; `leader` is the leader's own identity, which keeps its place;
    `leaving` are identities of members that are about to end."""
    members = list(core.members)
    for candidate in sorted(candidates, key=lambda member: (member.name, member.identity)):
        members = _with(candidate, members, core, silent_ms, leader, leaving)
    chosen = ordered(members)
    if chosen == core.members:
        return None
    return CoreSet(core.version + 1, chosen, core.founded_size, core.members)


def _with(
    candidate: Member,
    members: list[Member],
    core: CoreSet,
    silent_ms: Callable[[int], int],
    leader: int,
    leaving: Collection[int],
) -> list[Member]:
    if candidate in members or candidate.identity in leaving:
        return members
    before = {member.identity for member in core.members}
    replaced = [
        member
        for member in members
        if member.identity == candidate.identity
        or member.name == candidate.name
        or member.address == candidate.address
    ]
    if any(member.identity == leader for member in replaced):
        return members  # a stranger under this process's own name or address is a fault of its settings
    if not replaced and len(members) >= core.founded_size:
        others = [member for member in members if member.identity in before and member.identity != leader]
        ending = [member for member in others if member.identity in leaving]
        silent = [member for member in others if silent_ms(member.identity) >= UNREACHABLE_MS]
        if not ending and not silent:
            return members
        replaced = ending[:1] or [max(silent, key=lambda member: silent_ms(member.identity))]
    return [*(member for member in members if member not in replaced), candidate]
