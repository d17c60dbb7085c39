"""The replication state that a leader keeps for each follower."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from flintfield.coordination.follower import NEVER_MS
from flintfield.coordination.messages import Change
from flintfield.coordination.model import Member

UNKNOWN = -1


class Mode(enum.Enum):
    """How the leader replicates to the follower."""

    SYNC = 1  # ask whether its items are the base of the epoch, and for its position
    INSTALL = 2  # send the whole state
    APPEND = 3  # send the batches that it lacks


@dataclass(slots=True)
class Progress:
    """The state of one follower. Sequences belong to the leader's epoch: the follower has made everything up
    to `acked` durable, and everything up to `sent` is acknowledged or in flight."""

    member: Member
    mode: Mode = Mode.SYNC
    acked: int = UNKNOWN
    sent: int = UNKNOWN
    in_flight: int = 0
    round: int = 0  # raised when messages in flight are abandoned; their late answers don't lower `in_flight`
    retry_at_ms: int = NEVER_MS
    refusals: int = 0  # consecutive
    transfer: int = 0
    target: int = 0
    part: int = 0
    parts: list[tuple[Change, ...]] = field(default_factory=list)
    heartbeat_ms: int = NEVER_MS
    lease_from_ms: int = NEVER_MS  # sending time of the newest message that it acknowledged
    contact_ms: int = NEVER_MS  # time of the newest answer of any kind
    wall_offset_ms: int | None = None

    def reset_in_flight(self) -> None:
        """Abandon the messages in flight and resume after the last acknowledged sequence."""
        self.round += 1
        self.in_flight = 0
        self.sent = self.acked

    def sync(self) -> None:
        """Switch to `SYNC`: ask the follower for its position."""
        self.mode = Mode.SYNC
        self.parts = []
        self.acked = UNKNOWN
        self.reset_in_flight()

    def append_from(self, acked: int) -> None:
        """Switch to `APPEND`: send the batches after this sequence."""
        self.mode = Mode.APPEND
        self.parts = []
        self.acked = acked
        self.reset_in_flight()

    def install(self, transfer: int, target: int, parts: list[tuple[Change, ...]]) -> None:
        """Switch to `INSTALL`: send the whole state as of sequence `target`."""
        self.mode = Mode.INSTALL
        self.transfer, self.target, self.parts, self.part = transfer, target, parts, 0
        self.reset_in_flight()
