"""One try of a proposer: prepare at a majority, then accept at a majority of the same core set (CASPaxos). No
I/O.

The shell sends `prepare`, hands all answers to `take`, and once the phase is `PREPARED` looks at `current`,
calls `propose` and sends what it returns. Where the promises left the value out (`lacks_value`), it fetches
the value of ballot `accepted` from one of `holders` and hands it to `supply` before. At `COMMITTED` the value
is chosen. At `LOST` a higher ballot, a newer set or a seal stands against it; the shell starts over with what
`highest` and `newer` tell.
"""

from __future__ import annotations

import enum

from flintfield.coordination.delta import WORTH_IT, difference
from flintfield.coordination.messages import Refused
from flintfield.coordination.model import NO_BALLOT, Ballot, CoreSet, Refusal, Register
from flintfield.coordination.register_messages import Accept, AcceptDelta, Accepted, Prepare, Promised


class Phase(enum.Enum):
    """How far the attempt is."""

    PREPARING = 1
    PREPARED = 2
    ACCEPTING = 3
    COMMITTED = 4
    LOST = 5


class Attempt:
    """The state machine of one ballot. A ballot must never be used for two attempts."""

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
        """What to send first."""
        return Prepare(self.core.version, self.register, self.ballot, self._ballots_only)

    def supply(self, value: bytes | None) -> None:
        """The value of ballot `accepted`, which the promises left out."""
        self.current = value
        self.lacks_value = False

    def propose(self, value: bytes | None) -> Accept:
        """Ask that this value be accepted; only in phase `PREPARED`, and with the current value at hand."""
        if self.phase is not Phase.PREPARED or self.lacks_value:
            raise ValueError(f"nothing can be proposed in phase {self.phase.name}, or without the value")
        self.phase = Phase.ACCEPTING
        self._agreed.clear()
        self._against.clear()
        return Accept(self.core.version, self.register, self.ballot, value)

    def delta(self, accept: Accept, longest: float = WORTH_IT) -> AcceptDelta | None:
        """The same request as a difference to `current`; None where that is longer than this part of it."""
        delta = difference(self.current, accept.value, longest)
        if delta is None:
            return None
        return AcceptDelta(accept.core, accept.register, accept.ballot, delta)

    def take(self, answer: object) -> Phase:
        """Count an answer; doubled ones and those of other phases do nothing."""
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

    def _count(self, replica: int, ballot: Ballot, reached: Phase) -> None:
        if ballot != self.ballot or self.core.member(replica) is None:
            return
        self._agreed.add(replica)
        if len(self._agreed) >= self.core.majority:
            self.phase = reached

    def _refused(self, answer: Refused) -> None:
        if self.core.member(answer.replica) is None:
            return
        if answer.kind is not Refusal.LACKS_BASE:  # then it is asked with the whole value
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
