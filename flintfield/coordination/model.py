"""Types shared by all coordination protocols, and the errors that their users see."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass

from flintfield.transport.records import record

Clock = Callable[[], int]
"""A function that returns the current time in milliseconds."""


class NoQuorum(Exception):
    """No majority of the core answered in time. The outcome of a change is unknown."""


class Deposed(Exception):
    """This process is no longer the leader. The outcome of a write in progress is unknown."""


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """The rank of a proposal.

    The version of the core set ranks first, so that a value that was carried over from an older set ranks
    below every value proposed in the newer one. `proposer` is a random number that each process draws at its
    start.
    """

    core: int
    counter: int
    proposer: int


NO_BALLOT = Ballot(0, 0, 0)


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """The place of a batch in the history of the ordered store. Equal positions imply equal contents."""

    epoch: int
    sequence: int


NOWHERE = Position(0, 0)


@dataclass(frozen=True, slots=True)
class Member:
    """A replica of a core set. `identity` is a random number, drawn when the store was formatted; `address`
    is the RPC address."""

    name: str
    address: str
    zone: str
    identity: int


@record(280)
@dataclass(frozen=True, slots=True)
class CoreSet:
    """The replicas of one version of the core; each change raises the version by one.

    `members` are in the canonical order, sorted by name. `previous` are the members of the previous version,
    from which a new member fetches the state.
    """

    version: int
    members: tuple[Member, ...]
    founded_size: int
    previous: tuple[Member, ...] = ()

    @property
    def majority(self) -> int:
        """The smallest number of members that is more than half."""
        return len(self.members) // 2 + 1

    def member(self, identity: int) -> Member | None:
        """The member with that identity, or None."""
        for member in self.members:
            if member.identity == identity:
                return member
        return None

    def place(self, identity: int) -> int:
        """Return the index in the canonical order, from 0, or the number of members for a non-member."""
        for place, member in enumerate(self.members):
            if member.identity == identity:
                return place
        return len(self.members)


def ordered(members: tuple[Member, ...] | list[Member]) -> tuple[Member, ...]:
    """Return the members in the canonical order."""
    return tuple(sorted(members, key=lambda member: (member.name, member.identity)))


@dataclass(frozen=True, slots=True)
class LeaderView:
    """The newest leader that a process knows. `heard_ms` is the steady time at which this process last
    received news of it."""

    epoch: int
    name: str
    address: str
    heard_ms: int


class Register(enum.IntEnum):
    """The registers of a replica: the configuration, and the successor of the core set in which the replica
    is active."""

    CONFIGURATION = 1
    SUCCESSOR = 2


class Refusal(enum.IntEnum):
    """The reason why a replica refused a request."""

    OLD_SET = 1  # the requester's core set is outdated; the answer contains the newer one
    INACTIVE = 2  # the replica is not active in the requester's core set
    SEALED = 3  # the replica has accepted a successor of the core set
    BALLOT = 4  # a higher ballot or epoch was promised
    LEASE = 5  # the lease of another leader may still be in force
    GAP = 6  # the batch does not follow the replica's position
    BROKEN = 7  # the replica's store can't be written
    LACKS_BASE = 8  # the accepted value is not the base of the delta
