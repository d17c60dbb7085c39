"""The messages between proposers, replicas and readers of the registers (CASPaxos): records 201 to 209.

Each ballot is used for only one value, so a ballot identifies a value, and agreement needs ballots only. A
value is sent once to each receiver that lacks it, as a delta if the receiver has a suitable base value.
"""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.coordination.model import Ballot, Register
from flintfield.transport.records import record


@record(201)
@dataclass(frozen=True, slots=True)
class Prepare:
    """Request for a promise to accept nothing below this ballot, and for the accepted value.

    `ballots_only` asks to omit the value; a replica of the previous release sends it anyway.
    """

    core: int
    register: Register
    ballot: Ballot
    ballots_only: bool = False


@record(202)
@dataclass(frozen=True, slots=True)
class Promised:
    """The promise for `ballot`, with the accepted ballot (`NO_BALLOT` if there is none) and its value, which
    is None if it was omitted (`omitted`)."""

    replica: int
    ballot: Ballot
    accepted: Ballot
    value: bytes | None
    omitted: bool = False


@record(203)
@dataclass(frozen=True, slots=True)
class Accept:
    """Request to accept this value."""

    core: int
    register: Register
    ballot: Ballot
    value: bytes | None


@record(204)
@dataclass(frozen=True, slots=True)
class Accepted:
    """The value of `ballot` is durable at this replica."""

    replica: int
    ballot: Ballot


@record(205)
@dataclass(frozen=True, slots=True)
class Committed:
    """One-way message of the previous release: a majority accepted the configuration of this ballot."""

    ballot: Ballot
    value: bytes | None


@dataclass(frozen=True, slots=True)
class ValueDelta:
    """A value as a delta against the value with the digest `base`. `digest` is that of the new value."""

    base: bytes
    patch: bytes
    digest: bytes


@record(206)
@dataclass(frozen=True, slots=True)
class AcceptDelta:
    """Request to accept the value that this delta produces. It is refused with `LACKS_BASE` if the accepted
    value is not the delta's base. Earlier releases don't know this request and reject it without decoding
    it."""

    core: int
    register: Register
    ballot: Ballot
    delta: ValueDelta


@record(207)
@dataclass(frozen=True, slots=True)
class BallotCommitted:
    """One-way message: a majority accepted the configuration of this ballot."""

    ballot: Ballot


@record(208)
@dataclass(frozen=True, slots=True)
class AskValue:
    """Request for the configuration of `ballot`. `known` is the digest of a value that the requester has, or
    b""."""

    ballot: Ballot
    known: bytes = b""


@record(209)
@dataclass(frozen=True, slots=True)
class ValueAnswer:
    """The configuration of the requested ballot, whole or as a delta against the requester's value. `found`
    is False if the replica doesn't know the configuration or no longer keeps it."""

    found: bool
    value: bytes | None = None
    delta: ValueDelta | None = None
