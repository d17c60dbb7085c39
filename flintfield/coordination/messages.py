"""Messages between replicas and leaders: records 200 and 210 to 229. Registers: see `register_messages`.

Requests that depend on the core set carry its version (`core`); answers of replicas carry the replica's
identity.
"""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.coordination.contacts import LeaderAnswer as LeaderAnswer  # re-exported for the console
from flintfield.coordination.contacts import KnownLeader as KnownLeader
from flintfield.coordination.contacts import WhereIsLeader as WhereIsLeader
from flintfield.coordination.model import (
    NO_BALLOT,
    NOWHERE,
    Ballot,
    CoreSet,
    Position,
    Refusal,
)
from flintfield.coordination.register_messages import Accept, AcceptDelta, Prepare
from flintfield.transport.records import record

Pair = tuple[bytes, bytes | None]


@record(200)
@dataclass(frozen=True, slots=True)
class Refused:
    """The answer of a replica that refused a request and changed nothing.

    `core` is a decided core set newer than the requester's, if one is known. `ballot` and `epoch` are the
    highest promised, and `position` is the position of the replica's ordered store.
    """

    kind: Refusal
    replica: int
    core: CoreSet | None = None
    ballot: Ballot = NO_BALLOT
    epoch: int = 0
    position: Position = NOWHERE


# The ordered store.


@dataclass(frozen=True, slots=True)
class Change:
    """A key and its new value; None deletes it."""

    key: bytes
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Batch:
    """Changes that are applied atomically, at one sequence number of an epoch."""

    sequence: int
    changes: tuple[Change, ...]


@record(210)
@dataclass(frozen=True, slots=True)
class PrepareEpoch:
    """Request for a promise to accept nothing from a lower epoch.

    `boot` distinguishes restarts of the candidate. With `probe`, the request only asks whether the replica
    would promise, and changes nothing.
    """

    core: int
    epoch: int
    candidate: int
    boot: int
    probe: bool


@record(211)
@dataclass(frozen=True, slots=True)
class EpochPromised:
    """The promise for `epoch` (or a positive answer to a probe), the highest promised epoch, and the position
    of the store."""

    replica: int
    epoch: int
    promised: int
    position: Position
    probe: bool


@record(212)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic message that the leader of `epoch` is alive; handling it needs no disk access."""

    core: int
    epoch: int
    leader: int
    boot: int


@record(213)
@dataclass(frozen=True, slots=True)
class Alive:
    """The answer to a heartbeat: the replica's wall clock and the position of its store, durable or not."""

    replica: int
    epoch: int
    wall_ms: int
    position: Position


@record(214)
@dataclass(frozen=True, slots=True)
class Adopt:
    """Request to use the store as of position `base` as the start (sequence 0) of `epoch`."""

    core: int
    epoch: int
    leader: int
    boot: int
    base: Position


@record(215)
@dataclass(frozen=True, slots=True)
class Append:
    """Request to append these batches, which follow `after` in the sequence of `epoch`."""

    core: int
    epoch: int
    after: int
    batches: tuple[Batch, ...]


@record(216)
@dataclass(frozen=True, slots=True)
class Install:
    """One part of a full copy of the store as of `sequence` of `epoch`.

    The parts of one `transfer` are sent in the order of `index`.
    """

    core: int
    epoch: int
    leader: int
    boot: int
    sequence: int
    transfer: int
    index: int
    last: bool
    changes: tuple[Change, ...]


@record(217)
@dataclass(frozen=True, slots=True)
class Appended:
    """The store is durable up to `position`.

    After a part of an installation that is not the last, `position` is unchanged and `index` is the part's.
    """

    replica: int
    epoch: int
    position: Position
    wall_ms: int
    index: int = -1


@record(218)
@dataclass(frozen=True, slots=True)
class Resign:
    """The leader of `epoch` has stepped down; `successor` may campaign immediately, others slightly later."""

    core: int
    epoch: int
    successor: int


@record(219)
@dataclass(frozen=True, slots=True)
class Resigned:
    """Acknowledgement of a resignation."""

    replica: int


# Full state transfer: for a new member, and for a candidate whose store is behind.


@record(220)
@dataclass(frozen=True, slots=True)
class AskState:
    """Query for the replica's state. If `transfer` is not 0, the replica keeps a snapshot under that
    number."""

    transfer: int


@record(221)
@dataclass(frozen=True, slots=True)
class StateAnswer:
    """The state of a replica.

    `core` is the core set in which the replica is active (None: none). `sealed` is set if it accepts nothing
    more in that set, because it has durably accepted a successor set or knows of a decided one. The answer
    includes the register's value; the ordered store is fetched in parts.
    """

    replica: int
    core: CoreSet | None
    sealed: bool
    promised: int
    position: Position
    accepted: Ballot
    value: bytes | None


@record(222)
@dataclass(frozen=True, slots=True)
class AskPart:
    """Request for the part `index` of a snapshot."""

    transfer: int
    index: int


@record(223)
@dataclass(frozen=True, slots=True)
class PartAnswer:
    """A part of a snapshot; `found` is False if the snapshot no longer exists."""

    found: bool
    last: bool
    changes: tuple[Change, ...]


REPLICA_REQUESTS = (
    Prepare,
    Accept,
    AcceptDelta,
    PrepareEpoch,
    Heartbeat,
    Adopt,
    Append,
    Install,
    Resign,
    AskState,
    AskPart,
)
"""The requests of this module and of `register_messages` that a replica answers."""
