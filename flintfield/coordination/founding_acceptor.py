"""The acceptor for the agreement on the first core set. No I/O.

The first set is decided when *all* its members have adopted it under one ballot. An acceptor promises not to
adopt a set under a lower ballot than the highest that it has seen, and reports the set that it adopted last.
A proposer that has asked all members of its set therefore knows every set that shares a member with it and
may be decided (`foundation.first_proposal`). This is single-decree Paxos with the members of the value as
the quorum.
"""

from __future__ import annotations

from dataclasses import replace

from flintfield.coordination.contacts import AskFounding, Found, FoundAnswer
from flintfield.coordination.model import CoreSet
from flintfield.coordination.stored import StoredFounding


class FoundingAcceptor:
    """The acceptor's state machine.

    `stored` is the state that is durable or about to become durable. `takes_part` is False for a replica that
    was formatted after the very first start of the cluster; such a replica adopts no set.
    """

    def __init__(self, identity: int, takes_part: bool, stored: StoredFounding) -> None:
        self.stored = stored
        self._identity = identity
        self._takes_part = takes_part

    @property
    def adopted(self) -> CoreSet | None:
        """The most recently adopted first set."""
        return self.stored.adopted

    def ask(self, request: AskFounding) -> bool:
        """Promise the ballot if it is higher than all earlier ones. Returns whether `stored` changed."""
        if not self._takes_part or request.ballot <= self.stored.promised:
            return False
        self.stored = replace(self.stored, promised=request.ballot)
        return True

    def found(self, request: Found) -> bool:
        """Adopt the set unless a higher ballot was promised. Returns whether `stored` changed."""
        if not self._takes_part or request.core.member(self._identity) is None:
            return False
        if request.ballot < self.stored.promised:
            return False
        if request.ballot == self.stored.accepted and self.adopted is not None:
            return False  # repeated, or another set without a ballot from the previous release
        self.stored = StoredFounding(request.ballot, request.ballot, request.core)
        return True

    def answer(self, core: CoreSet | None) -> FoundAnswer:
        """Return the answer to a request. `core` is the newest decided set known to this replica."""
        stored = self.stored
        return FoundAnswer(self._identity, stored.adopted, core, stored.promised, stored.accepted)
