"""The founder's part of the first start: whom the first core set names. No I/O.

The set is decided when *all* its members have adopted it durably, which each does once in the life of its
disk. Two sets that share a member can therefore never both be decided, whoever proposed them; every member
may push the set that it has adopted, so a founder that dies leaves nothing half done.
"""

from __future__ import annotations

from flintfield.coordination.model import CoreSet, Member, ordered
from flintfield.coordination.timing import FOUNDATION_PATIENCE_MS, FOUNDATION_STABLE_MS


class Gathering:
    """The replicas that have announced themselves to a founder.

    `needed`: as many as bear the promised losses. The second founder is `strict`: it never goes below that
    number, so that two founders that don't reach each other can't found two sets while at most 2 x `needed` -
    1 replicas exist.
    """

    def __init__(self, now_ms: int, needed: int, strict: bool) -> None:
        self._needed = needed
        self._strict = strict
        self._started_ms = now_ms
        self._newest_ms = now_ms
        self._members: dict[int, Member] = {}

    def note(self, now_ms: int, member: Member) -> None:
        """A replica at its first start has announced itself."""
        if self._members.get(member.identity) == member:
            return
        same = [
            identity
            for identity, known in self._members.items()
            if known.name == member.name or known.address == member.address
        ]
        for identity in same:  # its store was formatted anew since
            del self._members[identity]
        self._members[member.identity] = member
        self._newest_ms = now_ms

    def first_set(self, now_ms: int) -> CoreSet | None:
        """The first core set, once nobody new has come for a while."""
        if not self._members or now_ms - self._newest_ms < FOUNDATION_STABLE_MS:
            return None
        patient = self._strict or now_ms - self._started_ms < FOUNDATION_PATIENCE_MS
        if patient and len(self._members) < self._needed:
            return None
        members = ordered(list(self._members.values()))
        # Founded too small, it is to grow once the others have come.
        return CoreSet(1, members, max(len(members), self._needed))
