"""What replicas and leaders say to one another: records 200 and 210 to 229. Registers: `register_messages`.

Every request names the version of the core set under which it is made (`core`), every answer the replica's
identity.
"""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.coordination.contacts import LeaderAnswer as LeaderAnswer  # the console's part of them
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
    """The answer of a replica that did nothing. `core` is a decided set newer than the asker's, if one is
    known; `ballot` and `epoch` are the highest promised, `position` where its ordered store stands."""

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
    """Changes that take effect together, at one number of an epoch's sequence."""

    sequence: int
    changes: tuple[Change, ...]


@record(210)
@dataclass(frozen=True, slots=True)
class PrepareEpoch:
    """Promise to obey nobody of a lower epoch. `boot` tells the candidate's lives apart.

    A `probe` only asks whether the promise would be given, and changes nothing.
    """

    core: int
    epoch: int
    candidate: int
    boot: int
    probe: bool


@record(211)
@dataclass(frozen=True, slots=True)
class EpochPromised:
    """The promise for `epoch` (or the probe's yes), the highest epoch promised, and where the store
    stands."""

    replica: int
    epoch: int
    promised: int
    position: Position
    probe: bool


@record(212)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The leader of `epoch` lives. Needs no disk."""

    core: int
    epoch: int
    leader: int
    boot: int


@record(213)
@dataclass(frozen=True, slots=True)
class Alive:
    """The answer to a heartbeat: the replica's wall clock, and where its store stands, durable or not."""

    replica: int
    epoch: int
    wall_ms: int
    position: Position


@record(214)
@dataclass(frozen=True, slots=True)
class Adopt:
    """Take the store as it is at `base` for the start (sequence 0) of `epoch`."""

    core: int
    epoch: int
    leader: int
    boot: int
    base: Position


@record(215)
@dataclass(frozen=True, slots=True)
class Append:
    """Take these batches, which follow `after` in the sequence of `epoch`."""

    core: int
    epoch: int
    after: int
    batches: tuple[Batch, ...]


@record(216)
@dataclass(frozen=True, slots=True)
class Install:
    """A part of the whole store as of `sequence` of `epoch`; the parts of one `transfer` come in order of
    `index`."""

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
    """The store is durable up to `position`. After a part of an installation that was not the last,
    `position` is the old one and `index` the part's."""

    replica: int
    epoch: int
    position: Position
    wall_ms: int
    index: int = -1


@record(218)
@dataclass(frozen=True, slots=True)
class Resign:
    """The leader of `epoch` has stopped acting; `successor` may campaign at once, the others a little
    later."""

    core: int
    epoch: int
    successor: int


@record(219)
@dataclass(frozen=True, slots=True)
class Resigned:
    """The resignation is noted."""

    replica: int


# Whole states: for a new member, and for a candidate whose own store is behind.


@record(220)
@dataclass(frozen=True, slots=True)
class AskState:
    """What does the replica hold? With `transfer` other than 0, a snapshot is kept to be fetched under that
    number."""

    transfer: int


@record(221)
@dataclass(frozen=True, slots=True)
class StateAnswer:
    """`core` is the set that the replica is active in (None: none). `sealed`: it takes nothing more in it,
    because it has accepted a successor or knows of a decided one, durably. The register's value comes with
    it, the ordered store is fetched in parts."""

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
    """The part `index` of a snapshot."""

    transfer: int
    index: int


@record(223)
@dataclass(frozen=True, slots=True)
class PartAnswer:
    """A part of a snapshot; `found` is False where the snapshot is gone."""

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
