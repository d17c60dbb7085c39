"""What processes say to find the core and to keep up with it: records 230 to 249."""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.coordination.model import NO_BALLOT, Ballot, CoreSet
from flintfield.transport.records import record


@dataclass(frozen=True, slots=True)
class KnownLeader:
    """A leader, and how long ago it was heard of."""

    epoch: int
    name: str
    address: str
    heard_ago_ms: int


@record(230)
@dataclass(frozen=True, slots=True)
class Poll:
    """Tell what is newer than this; wait up to `hold_ms` for it. `address` is the asker's RPC address.
    `ballots_only`: leave values out; a replica of the release before tells them all the same."""

    core: int
    epoch: int
    accepted: Ballot
    hold_ms: int
    address: str
    ballots_only: bool = False


@record(231)
@dataclass(frozen=True, slots=True)
class PollAnswer:
    """What the replica knew when it answered, `held_ms` after the poll came in.

    `active` is the version of the set it is active in and unsealed (0: none); only then `accepted` counts,
    and `value` is told where `accepted` is not the asker's. `committed` is the highest ballot that is known
    to be committed, with `committed_value` where it is newer than the asker's. Both values are left out where
    the asker wants ballots only. `core` is told where the asker's is older.
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


@record(232)
@dataclass(frozen=True, slots=True)
class WhereIsLeader:
    """Asked by agents of any scheduler."""


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
    """One-way: this core set is agreed."""

    core: CoreSet


@record(240)
@dataclass(frozen=True, slots=True)
class Announce:
    """A scheduler introduces itself. `identity` is 0 without a replica; `founding`: it takes part in the
    foundation; `leaving`: its process is about to end and its place may be taken at once."""

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
    """The newest set known here, if it is newer than the announcer's, and the leader's RPC address or "".
    `founder`: this process gathers the members of the first set. `stay`: the announcer is leaving, and a
    candidate is there that is to take its place first."""

    core: CoreSet | None
    leader: str
    founder: bool = False
    stay: bool = False


@record(242)
@dataclass(frozen=True, slots=True)
class Found:
    """Adopt this first core set under this ballot, unless a higher one was promised; doubled and late ones
    are harmless. A sender of the release before names no ballot, which ranks below all others."""

    core: CoreSet
    ballot: Ballot = NO_BALLOT


@record(243)
@dataclass(frozen=True, slots=True)
class FoundAnswer:
    """The replica that was asked, and the first set that it has adopted last, durably (None: none, or it
    can't
    take part), under which ballot, and the highest ballot that it has promised. Where `core` is told, the
    foundation is over."""

    replica: int
    adopted: CoreSet | None
    core: CoreSet | None = None
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT


@record(246)
@dataclass(frozen=True, slots=True)
class AskFounding:
    """Promise to adopt no first set under a lower ballot, and tell what you have adopted."""

    ballot: Ballot


@record(244)
@dataclass(frozen=True, slots=True)
class AskIdentity:
    """Who is at this address?"""


@record(245)
@dataclass(frozen=True, slots=True)
class IdentityAnswer:
    """The process at this address: name and identity (0: no replica)."""

    name: str
    identity: int
