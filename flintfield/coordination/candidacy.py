"""The campaign of one replica for an epoch. No I/O.

First a probe, which changes nothing: a replica that merely lost its own links must not depose a leader whom
all others hear (the pre-vote of Ongaro's Raft dissertation, section 9.6). Then the promise of a majority,
whose highest position is where the new epoch's history begins.
"""

from __future__ import annotations

import enum

from flintfield.coordination.messages import EpochPromised, PrepareEpoch, Refused
from flintfield.coordination.model import NOWHERE, CoreSet, Position, Refusal


class CampaignPhase(enum.Enum):
    """How far the campaign is."""

    PROBING = 1
    PREPARING = 2
    PREPARED = 3
    LOST = 4


class Candidacy:
    """The state machine of one campaign, under one core set."""

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
        self._yes: set[int] = set()
        self._no: set[int] = set()

    @property
    def request(self) -> PrepareEpoch:
        """What to send to all members in this phase."""
        probe = self.phase is CampaignPhase.PROBING
        return PrepareEpoch(self.core.version, self.epoch, self.identity, self.boot, probe)

    def take(self, answer: object) -> CampaignPhase:
        """Count an answer; those of other epochs and phases do nothing."""
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
        self._yes.add(answer.replica)
        if len(self._yes) >= self.core.majority:
            self._advance()

    def _better(self, replica: int, position: Position) -> bool:
        """The own store is preferred among equals: it needs no fetching."""
        return not self.source or position > self.base or (position == self.base and replica == self.identity)

    def _advance(self) -> None:
        won = self.phase is CampaignPhase.PROBING
        self.phase = CampaignPhase.PREPARING if won else CampaignPhase.PREPARED
        self._yes.clear()
        self._no.clear()

    def _refused(self, answer: Refused) -> None:
        if self.phase not in (CampaignPhase.PROBING, CampaignPhase.PREPARING):
            return
        if self.core.member(answer.replica) is None:
            return
        probing = self.phase is CampaignPhase.PROBING
        if probing and answer.kind is Refusal.BALLOT and answer.epoch >= self.epoch:
            self._restart_probe(answer.epoch)
            return
        self._no.add(answer.replica)
        self.sealed = self.sealed or answer.kind is Refusal.SEALED
        if answer.core is not None and answer.core.version > self.core.version:
            self.newer = answer.core
            self.phase = CampaignPhase.LOST
        if len(self._no) > len(self.core.members) - self.core.majority:
            self.phase = CampaignPhase.LOST

    def _restart_probe(self, promised: int) -> None:
        """A higher epoch was promised: the probe was for nothing, and is lost; the next one knows better."""
        self.epoch = promised + 1
        self.phase = CampaignPhase.LOST
