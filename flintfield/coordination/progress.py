"""What a leader knows of one follower."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from flintfield.coordination.follower import NEVER_MS
from flintfield.coordination.messages import Change
from flintfield.coordination.model import Member

UNKNOWN = -1


class Mode(enum.Enum):
    """How the follower is served."""

    SYNC = 1  # asked whether its items are the base of the epoch, or where it stands
    INSTALL = 2  # sent the whole state
    APPEND = 3  # sent the batches that it lacks


@dataclass(slots=True)
class Progress:
    """One follower. Sequences are of the leader's epoch; `acked` is durable there, `sent` is under way or
    acked."""

    member: Member
    mode: Mode = Mode.SYNC
    acked: int = UNKNOWN
    sent: int = UNKNOWN
    in_flight: int = 0
    round: int = 0  # rises when what is in flight is given up; later answers don't lower `in_flight`
    retry_at_ms: int = NEVER_MS
    refusals: int = 0  # in a row
    transfer: int = 0
    target: int = 0
    part: int = 0
    parts: list[tuple[Change, ...]] = field(default_factory=list)
    heartbeat_ms: int = NEVER_MS
    lease_from_ms: int = NEVER_MS  # newest sending that it acknowledged
    contact_ms: int = NEVER_MS  # newest answer of any kind
    wall_offset_ms: int | None = None

    def give_up_flight(self) -> None:
        """Send anew from what is acknowledged."""
        self.round += 1
        self.in_flight = 0
        self.sent = self.acked

    def sync(self) -> None:
        """Ask where it stands."""
        self.mode = Mode.SYNC
        self.parts = []
        self.acked = UNKNOWN
        self.give_up_flight()

    def append_from(self, acked: int) -> None:
        """Serve batches after that sequence."""
        self.mode = Mode.APPEND
        self.parts = []
        self.acked = acked
        self.give_up_flight()

    def install(self, transfer: int, target: int, parts: list[tuple[Change, ...]]) -> None:
        """Send the whole state as of `target`."""
        self.mode = Mode.INSTALL
        self.transfer, self.target, self.parts, self.part = transfer, target, parts, 0
        self.give_up_flight()
