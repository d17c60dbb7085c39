"""The leader's policy for choosing the next core set. It has no side effects, and any result is safe.

A candidate is a replica that is not a member and has announced itself recently. A candidate with the name or
the address of a member replaces that member immediately, because it proves that the member's disk (or
machine) is lost. A candidate with a new name is added if the set is smaller than at its bootstrap; otherwise
it replaces a member that is leaving or, if there is none, the member that has been unreachable longest,
provided that it has been unreachable for at least `UNREACHABLE_MS`. Members are never removed without a
replacement, because a smaller set would tolerate no further losses.
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
    """Return the next core set, or None if the current one stays.

    `silent_ms(identity)` returns the time since the leader last reached a member. `leader` is the identity of
    the leader, which is never replaced. `leaving` holds the identities of members that are about to end.
    """
    members = list(core.members)
    for candidate in sorted(candidates, key=lambda member: (member.name, member.identity)):
        members = _add_candidate(candidate, members, core, silent_ms, leader, leaving)
    chosen = ordered(members)
    if chosen == core.members:
        return None
    return CoreSet(core.version + 1, chosen, core.founded_size, core.members)


def _add_candidate(
    candidate: Member,
    members: list[Member],
    core: CoreSet,
    silent_ms: Callable[[int], int],
    leader: int,
    leaving: Collection[int],
) -> list[Member]:
    if candidate in members or candidate.identity in leaving:
        return members
    current_identities = {member.identity for member in core.members}
    replaced = [
        member
        for member in members
        if member.identity == candidate.identity
        or member.name == candidate.name
        or member.address == candidate.address
    ]
    if any(member.identity == leader for member in replaced):
        return members  # a candidate with the name or address of the leader is misconfigured
    if not replaced and len(members) >= core.founded_size:
        replaceable = [
            member
            for member in members
            if member.identity in current_identities and member.identity != leader
        ]
        leaving_members = [member for member in replaceable if member.identity in leaving]
        silent_members = [member for member in replaceable if silent_ms(member.identity) >= UNREACHABLE_MS]
        if not leaving_members and not silent_members:
            return members
        replaced = leaving_members[:1] or [max(silent_members, key=lambda member: silent_ms(member.identity))]
    return [*(member for member in members if member not in replaced), candidate]
