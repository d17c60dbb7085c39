"""The values that all coordination protocols share, and the errors that its users see."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass

from flintfield.transport.records import record

Clock = Callable[[], int]
"""A clock that is handed in; milliseconds."""


class NoQuorum(Exception):
    """No majority of the core answered in time. For a change, the outcome is unknown."""


class Deposed(Exception):
    """This process no longer leads; a write that was under way may have been taken or not."""


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """The rank of a proposal: version of the core set first, so that what was brought over from an older set
    ranks below everything proposed in the newer one. `proposer` is drawn by each process at its start."""

    core: int
    counter: int
    proposer: int


NO_BALLOT = Ballot(0, 0, 0)


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """The place of a batch in the ordered store's history. Equal positions mean equal contents."""

    epoch: int
    sequence: int


NOWHERE = Position(0, 0)


@dataclass(frozen=True, slots=True)
class Member:
    """A replica of a core set. `identity` was drawn when its store was formatted; `address` is its RPC
    address."""

    name: str
    address: str
    zone: str
    identity: int


@record(280)
@dataclass(frozen=True, slots=True)
class CoreSet:
    """The replicas of one version; versions rise by one. `members` stand in the agreed order, by name.

    `previous` are the members of the version before, from whom a new member fetches the state.
    """

    version: int
    members: tuple[Member, ...]
    founded_size: int
    previous: tuple[Member, ...] = ()

    @property
    def majority(self) -> int:
        """How many members are more than half."""
        return len(self.members) // 2 + 1

    def member(self, identity: int) -> Member | None:
        """The member with that identity, or None."""
        for member in self.members:
            if member.identity == identity:
                return member
        return None

    def place(self, identity: int) -> int:
        """Its place in the agreed order, from 0; the number of members for a stranger."""
        for place, member in enumerate(self.members):
            if member.identity == identity:
                return place
        return len(self.members)


def ordered(members: tuple[Member, ...] | list[Member]) -> tuple[Member, ...]:
    """Members in the agreed order."""
    return tuple(sorted(members, key=lambda member: (member.name, member.identity)))


@dataclass(frozen=True, slots=True)
class LeaderView:
    """The newest leader that a process knows of. `heard_ms`: steady time at which it was last heard of
    here."""

    epoch: int
    name: str
    address: str
    heard_ms: int


class Register(enum.IntEnum):
    """The registers that a replica keeps: the configuration, and the successor of the core set it is active
    in."""

    CONFIGURATION = 1
    SUCCESSOR = 2


class Refusal(enum.IntEnum):
    """Why a replica did not do what it was asked."""

    OLD_SET = 1  # the asker's core set is older; the newer is told
    INACTIVE = 2  # the replica is not active in the asker's core set
    SEALED = 3  # the replica has accepted a successor of the set
    BALLOT = 4  # a higher ballot or epoch was promised
    LEASE = 5  # a live leader was heard a moment ago
    GAP = 6  # the batch does not follow the replica's position
    BROKEN = 7  # the replica's store takes nothing
    LACKS_BASE = 8  # the accepted value is not the one that the difference builds on
