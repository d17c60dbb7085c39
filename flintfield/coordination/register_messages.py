"""What proposers, replicas and readers of the registers say to one another (CASPaxos): records 201 to 209.

A ballot is used for one value only, so a ballot names a value. What is agreed is therefore agreed by ballots;
a value travels to who lacks it, once, and as a difference to one that the receiver has where there is such.
"""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.coordination.model import Ballot, Register
from flintfield.transport.records import record


@record(201)
@dataclass(frozen=True, slots=True)
class Prepare:
    """Promise to take nothing below this ballot, and tell what was accepted. `ballots_only`: leave the value
    out; a replica of the release before tells it all the same."""

    core: int
    register: Register
    ballot: Ballot
    ballots_only: bool = False


@record(202)
@dataclass(frozen=True, slots=True)
class Promised:
    """The promise for `ballot`, with the accepted ballot (`NO_BALLOT`: none) and its value, which is None
    where it was left out (`omitted`)."""

    replica: int
    ballot: Ballot
    accepted: Ballot
    value: bytes | None
    omitted: bool = False


@record(203)
@dataclass(frozen=True, slots=True)
class Accept:
    """Accept this value."""

    core: int
    register: Register
    ballot: Ballot
    value: bytes | None


@record(204)
@dataclass(frozen=True, slots=True)
class Accepted:
    """The value of `ballot` is durable here."""

    replica: int
    ballot: Ballot


@record(205)
@dataclass(frozen=True, slots=True)
class Committed:
    """One-way, of the release before: the configuration of this ballot was accepted by a majority."""

    ballot: Ballot
    value: bytes | None


@dataclass(frozen=True, slots=True)
class ValueDelta:
    """A value as the difference to the one with the digest `base`; `digest` is its own."""

    base: bytes
    patch: bytes
    digest: bytes


@record(206)
@dataclass(frozen=True, slots=True)
class AcceptDelta:
    """Accept the value that this difference gives, or refuse with `LACKS_BASE` where the accepted value is
    not its base. A release before knows no such request, and rejects it unread."""

    core: int
    register: Register
    ballot: Ballot
    delta: ValueDelta


@record(207)
@dataclass(frozen=True, slots=True)
class BallotCommitted:
    """One-way: the configuration of this ballot was accepted by a majority."""

    ballot: Ballot


@record(208)
@dataclass(frozen=True, slots=True)
class AskValue:
    """What is the configuration of `ballot`? `known` is the digest of a value that the asker has, or b""."""

    ballot: Ballot
    known: bytes = b""


@record(209)
@dataclass(frozen=True, slots=True)
class ValueAnswer:
    """The configuration of the ballot that was asked for, whole or as a difference to what the asker has;
    `found` is False where it isn't known here (any more)."""

    found: bool
    value: bytes | None = None
    delta: ValueDelta | None = None
