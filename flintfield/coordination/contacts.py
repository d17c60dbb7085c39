"""Messages for discovering the core set and following its state: records 230 to 249."""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.coordination.model import NO_BALLOT, Ballot, CoreSet
from flintfield.transport.records import record


@dataclass(frozen=True, slots=True)
class KnownLeader:
    """A leader, and the time since it was last known to be alive."""

    epoch: int
    name: str
    address: str
    heard_ago_ms: int


@record(230)
@dataclass(frozen=True, slots=True)
class Poll:
    """Long poll for state newer than the state given here; the replica waits up to `hold_ms` for it.

    `address` is the requester's RPC address. With `ballots_only` the answer omits values; a replica of the
    previous release ignores the flag and sends them.
    """

    core: int
    epoch: int
    accepted: Ballot
    hold_ms: int
    address: str
    ballots_only: bool = False


@record(231)
@dataclass(frozen=True, slots=True)
class PollAnswer:
    """The replica's state at the time of its answer, `held_ms` after it received the poll.

    `active` is the version of the core set in which the replica is active and unsealed (0: none). `accepted`
    is valid only if `active` is not 0; `value` is set if `accepted` differs from the requester's. `committed`
    is the highest ballot known to be committed; `committed_value` is set if that ballot is newer than the
    requester's. Both values are omitted if the poll asks for ballots only. `core` is set if the requester's
    core set is older.
    """

    replica: int
    held_ms: int
    active: int
    accepted: Ballot
    value: bytes | None
    committed: Ballot
    committed_value: bytes | None
    core: CoreSet | None
    leader: KnownLeader | None
    unconfirmed_ms: int = 0  # for how long the answerer has reached no majority; a former release tells 0


@record(232)
@dataclass(frozen=True, slots=True)
class WhereIsLeader:
    """Query for the current leader, which an agent may send to any scheduler."""


@record(233)
@dataclass(frozen=True, slots=True)
class LeaderAnswer:
    """The newest leader known, the addresses of the core's members and of some schedulers."""

    leader: KnownLeader | None
    core: tuple[str, ...]
    schedulers: tuple[str, ...]


@record(234)
@dataclass(frozen=True, slots=True)
class SetDecided:
    """One-way notification that this core set is decided."""

    core: CoreSet


@record(240)
@dataclass(frozen=True, slots=True)
class Announce:
    """Announcement of a scheduler.

    `identity` is 0 if the scheduler has no replica. `founding` is set if it takes part in the bootstrap of
    the first core set, `leaving` if its process is about to end and may be replaced immediately.
    """

    name: str
    address: str
    zone: str
    identity: int
    founding: bool
    core: int
    leaving: bool = False


@record(241)
@dataclass(frozen=True, slots=True)
class AnnounceNoted:
    """The newest core set known here, if newer than the announcer's, and the leader's RPC address or "".

    `founder` is set if this process collects the members of the first core set. `stay` is set if the
    announcer is leaving but must wait, because a candidate is available that has yet to replace it.
    """

    core: CoreSet | None
    leader: str
    founder: bool = False
    stay: bool = False


@record(242)
@dataclass(frozen=True, slots=True)
class Found:
    """Request to adopt this first core set under this ballot, unless a higher ballot was promised.

    Duplicate and late requests are harmless. A sender of the previous release sends no ballot; the default
    ranks below all others.
    """

    core: CoreSet
    ballot: Ballot = NO_BALLOT


@record(243)
@dataclass(frozen=True, slots=True)
class FoundAnswer:
    """The bootstrap state of a replica.

    `adopted` is the first core set that it adopted last, durably (None: it has adopted none, or it can't take
    part), `accepted` is the ballot of that set, and `promised` is the highest ballot that it has promised. If
    `core` is set, the bootstrap is complete.
    """

    replica: int
    adopted: CoreSet | None
    core: CoreSet | None = None
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT


@record(246)
@dataclass(frozen=True, slots=True)
class AskFounding:
    """Request for the first core set adopted so far, and for a promise to adopt none under a lower ballot."""

    ballot: Ballot


@record(244)
@dataclass(frozen=True, slots=True)
class AskIdentity:
    """Query for the name and identity of the process at this address."""


@record(245)
@dataclass(frozen=True, slots=True)
class IdentityAnswer:
    """The process at this address: name and identity (0: no replica)."""

    name: str
    identity: int
