"""One CASPaxos proposal: prepare at a majority, then accept at a majority of the same core set. No I/O.

The shell sends `prepare` and passes every answer to `take`. In phase `PREPARED` it reads `current`, calls
`propose` and sends the returned request. If the promises omitted the value (`lacks_value`), the shell first
fetches the value of ballot `accepted` from one of `holders` and passes it to `supply`. In phase `COMMITTED`
the value is chosen. In phase `LOST` the proposal failed because of a higher ballot, a newer core set or a
sealed set; the shell starts a new attempt that takes `highest` and `newer` into account.
"""

from __future__ import annotations

import enum

from flintfield.coordination.delta import MAX_DELTA_RATIO, difference
from flintfield.coordination.messages import Refused
from flintfield.coordination.model import NO_BALLOT, Ballot, CoreSet, Refusal, Register
from flintfield.coordination.register_messages import Accept, AcceptDelta, Accepted, Prepare, Promised


class Phase(enum.Enum):
    """The phase of an attempt."""

    PREPARING = 1
    PREPARED = 2
    ACCEPTING = 3
    COMMITTED = 4
    LOST = 5


class Attempt:
    """The proposer's state machine for one ballot. A ballot must never be used for two attempts."""

    def __init__(
        self, core: CoreSet, register: Register, ballot: Ballot, *, ballots_only: bool = False
    ) -> None:
        self.core = core
        self.register = register
        self.ballot = ballot
        self.phase = Phase.PREPARING
        self.accepted = NO_BALLOT
        self.current: bytes | None = None
        self.lacks_value = False
        self.holders: set[int] = set()
        self.highest = ballot
        self.newer: CoreSet | None = None
        self.sealed = False
        self._ballots_only = ballots_only
        self._agreed: set[int] = set()
        self._against: set[int] = set()

    @property
    def prepare(self) -> Prepare:
        """The first request to send."""
        return Prepare(self.core.version, self.register, self.ballot, self._ballots_only)

    def supply(self, value: bytes | None) -> None:
        """Set the current value to the value of ballot `accepted`, which the promises omitted."""
        self.current = value
        self.lacks_value = False

    def propose(self, value: bytes | None) -> Accept:
        """Return the accept request for this value. Requires phase `PREPARED` and a known current value."""
        if self.phase is not Phase.PREPARED or self.lacks_value:
            raise ValueError(f"cannot propose in phase {self.phase.name} or without the current value")
        self.phase = Phase.ACCEPTING
        self._agreed.clear()
        self._against.clear()
        return Accept(self.core.version, self.register, self.ballot, value)

    def delta(self, accept: Accept, longest: float = MAX_DELTA_RATIO) -> AcceptDelta | None:
        """Return the request as a delta against `current`, or None if the delta is too long.

        `longest` is the greatest permitted ratio of the delta's length to the value's length.
        """
        delta = difference(self.current, accept.value, longest)
        if delta is None:
            return None
        return AcceptDelta(accept.core, accept.register, accept.ballot, delta)

    def take(self, answer: object) -> Phase:
        """Process an answer. Duplicate answers and answers to other phases have no effect."""
        if isinstance(answer, Promised) and self.phase is Phase.PREPARING:
            self._promised(answer)
        elif isinstance(answer, Accepted) and self.phase is Phase.ACCEPTING:
            self._count(answer.replica, answer.ballot, Phase.COMMITTED)
        elif isinstance(answer, Refused) and self.phase in (Phase.PREPARING, Phase.ACCEPTING):
            self._refused(answer)
        return self.phase

    def _promised(self, answer: Promised) -> None:
        if answer.ballot != self.ballot or self.core.member(answer.replica) is None:
            return
        if answer.accepted > self.accepted:
            self.accepted, self.current = answer.accepted, answer.value
            self.lacks_value = answer.omitted
            self.holders = {answer.replica}
        elif answer.accepted == self.accepted:
            self.holders.add(answer.replica)
            if self.lacks_value and not answer.omitted:
                self.supply(answer.value)
        self._count(answer.replica, answer.ballot, Phase.PREPARED)

    def _count(self, replica: int, ballot: Ballot, next_phase: Phase) -> None:
        if ballot != self.ballot or self.core.member(replica) is None:
            return
        self._agreed.add(replica)
        if len(self._agreed) >= self.core.majority:
            self.phase = next_phase

    def _refused(self, answer: Refused) -> None:
        if self.core.member(answer.replica) is None:
            return
        if answer.kind is not Refusal.LACKS_BASE:  # the request is repeated with the whole value
            self._against.add(answer.replica)
        self.sealed = self.sealed or answer.kind is Refusal.SEALED
        if answer.kind is Refusal.BALLOT:
            self.highest = max(self.highest, answer.ballot)
        if answer.core is not None and answer.core.version > self.core.version:
            if self.newer is None or answer.core.version > self.newer.version:
                self.newer = answer.core
            self.phase = Phase.LOST
        if len(self._against) > len(self.core.members) - self.core.majority:
            self.phase = Phase.LOST
