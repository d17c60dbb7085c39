"""One try of a proposer: prepare at a majority, then accept at a majority of the same core set (CASPaxos). No
I/O.

The shell sends `prepare`, hands all answers to `take`, and once the phase is `PREPARED` looks at `current`,
calls `propose` and sends what it returns. At `COMMITTED` the value is chosen. At `LOST` a higher ballot, a
newer set or a seal stands against it; the shell starts over with what `highest` and `newer` tell.
"""

from __future__ import annotations

import enum

from flintfield.coordination.messages import Accept, Accepted, Prepare, Promised, Refused
from flintfield.coordination.model import NO_BALLOT, Ballot, CoreSet, Refusal, Register


class Phase(enum.Enum):
    """How far the attempt is."""

    PREPARING = 1
    PREPARED = 2
    ACCEPTING = 3
    COMMITTED = 4
    LOST = 5


class Attempt:
    """The state machine of one ballot. A ballot must never be used for two attempts."""

    def __init__(self, core: CoreSet, register: Register, ballot: Ballot) -> None:
        self.core = core
        self.register = register
        self.ballot = ballot
        self.phase = Phase.PREPARING
        self.accepted = NO_BALLOT
        self.current: bytes | None = None
        self.highest = ballot
        self.newer: CoreSet | None = None
        self.sealed = False
        self._agreed: set[int] = set()
        self._against: set[int] = set()

    @property
    def prepare(self) -> Prepare:
        """What to send first."""
        return Prepare(self.core.version, self.register, self.ballot)

    def propose(self, value: bytes | None) -> Accept:
        """Ask that this value be accepted; only in phase `PREPARED`."""
        if self.phase is not Phase.PREPARED:
            raise ValueError(f"nothing can be proposed in phase {self.phase.name}")
        self.phase = Phase.ACCEPTING
        self._agreed.clear()
        self._against.clear()
        return Accept(self.core.version, self.register, self.ballot, value)

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
