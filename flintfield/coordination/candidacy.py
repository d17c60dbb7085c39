"""The election campaign of one replica for an epoch. No I/O.

The candidate first sends a probe, which changes no state: a replica that has merely lost its own links must
not depose a leader that all other replicas can reach (the pre-vote of Ongaro's Raft dissertation, section
9.6). It then collects the promises of a majority; the history of the new epoch begins at the highest position
reported in these promises.
"""

from __future__ import annotations

import enum

from flintfield.coordination.messages import EpochPromised, PrepareEpoch, Refused
from flintfield.coordination.model import NOWHERE, CoreSet, Position, Refusal


class CampaignPhase(enum.Enum):
    """The phase of a campaign."""

    PROBING = 1
    PREPARING = 2
    PREPARED = 3
    LOST = 4


class Candidacy:
    """The candidate's state machine for one campaign in one core set."""

    def __init__(self, core: CoreSet, identity: int, boot: int, promised: int) -> None:
        self.core = core
        self.identity = identity
        self.boot = boot
        self.phase = CampaignPhase.PROBING
        self.epoch = promised + 1
        self.base = NOWHERE
        self.source = 0
        self.newer: CoreSet | None = None
        self.sealed = False
        self._granted: set[int] = set()
        self._rejected: set[int] = set()

    @property
    def request(self) -> PrepareEpoch:
        """The request to send to all members in the current phase."""
        probe = self.phase is CampaignPhase.PROBING
        return PrepareEpoch(self.core.version, self.epoch, self.identity, self.boot, probe)

    def take(self, answer: object) -> CampaignPhase:
        """Process an answer. Answers to other epochs and phases have no effect."""
        if isinstance(answer, EpochPromised):
            self._promised(answer)
        elif isinstance(answer, Refused):
            self._refused(answer)
        return self.phase

    def _promised(self, answer: EpochPromised) -> None:
        if answer.epoch != self.epoch or self.core.member(answer.replica) is None:
            return
        if answer.probe != (self.phase is CampaignPhase.PROBING):
            return
        if self.phase is CampaignPhase.PREPARING and self._better(answer.replica, answer.position):
            self.base, self.source = answer.position, answer.replica
        self._granted.add(answer.replica)
        if len(self._granted) >= self.core.majority:
            self._advance()

    def _better(self, replica: int, position: Position) -> bool:
        """Whether this position is a better base. On a tie, the own store wins: it needs no fetch."""
        return not self.source or position > self.base or (position == self.base and replica == self.identity)

    def _advance(self) -> None:
        probe_granted = self.phase is CampaignPhase.PROBING
        self.phase = CampaignPhase.PREPARING if probe_granted else CampaignPhase.PREPARED
        self._granted.clear()
        self._rejected.clear()

    def _refused(self, answer: Refused) -> None:
        if self.phase not in (CampaignPhase.PROBING, CampaignPhase.PREPARING):
            return
        if self.core.member(answer.replica) is None:
            return
        probing = self.phase is CampaignPhase.PROBING
        if probing and answer.kind is Refusal.BALLOT and answer.epoch >= self.epoch:
            self._lose_probe(answer.epoch)
            return
        self._rejected.add(answer.replica)
        self.sealed = self.sealed or answer.kind is Refusal.SEALED
        if answer.core is not None and answer.core.version > self.core.version:
            self.newer = answer.core
            self.phase = CampaignPhase.LOST
        if len(self._rejected) > len(self.core.members) - self.core.majority:
            self.phase = CampaignPhase.LOST

    def _lose_probe(self, promised: int) -> None:
        """End the campaign because an equal or higher epoch was promised; the next one starts above it."""
        self.epoch = promised + 1
        self.phase = CampaignPhase.LOST
