"""What the core is told (inputs) and what it asks for (effects), and the words that both hold (words.py)."""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.membership.words import (
    MOST_HEARD, MOST_NUMBER, MOST_SHUT, WORDS, Ack, Address, Alive, Ask, Astray, Counter, Dead, Host,
    Identity, Incarnation, KeyId, Known, Left, Nack, Name, Number, Part, Ping, Port, Query, Record, Row,
    Said, Session, Status, Survey, Suspect, Told, Update, Version, Way, size_of,
)

__all__ = [
    "MOST_HEARD",
    "MOST_NUMBER",
    "MOST_SHUT",
    "WORDS",
    "Ack",
    "Address",
    "Alive",
    "Ask",
    "Astray",
    "Begin",
    "Changed",
    "Counter",
    "Dead",
    "Effect",
    "ExchangeFailed",
    "Gone",
    "Heard",
    "Host",
    "Identity",
    "Incarnation",
    "Input",
    "KeyId",
    "KeysSet",
    "Known",
    "LeaveAsked",
    "Left",
    "MetaSet",
    "Nack",
    "Name",
    "Noted",
    "Number",
    "OpenExchange",
    "Part",
    "Ping",
    "Port",
    "Query",
    "Record",
    "Renamed",
    "ReplyExchange",
    "Row",
    "Said",
    "Send",
    "Session",
    "SessionSet",
    "Status",
    "Survey",
    "Suspect",
    "TableAsked",
    "TableTold",
    "Told",
    "Update",
    "Updated",
    "Version",
    "Way",
    "Woke",
    "size_of",
]


# ---------------------------------------------------------------------- inputs: what the core is told


@dataclass(frozen=True, slots=True)
class Begin:
    """Start: be a member alone, and look for others."""


@dataclass(frozen=True, slots=True)
class Woke:
    """The clock reached the first timer."""


@dataclass(frozen=True, slots=True)
class Heard:
    """An authenticated datagram: from where and from whom, for whom, and what it says."""

    source: Address
    sender: int  # the session that sent it
    to: int  # the session that it was meant for
    parts: tuple[Part, ...]


@dataclass(frozen=True, slots=True)
class TableAsked:
    """Another member sent its table and waits for ours on the connection `token`."""

    token: int
    table: tuple[Known, ...]


@dataclass(frozen=True, slots=True)
class TableTold:
    """The answer to an `OpenExchange`."""

    address: Address
    table: tuple[Known, ...]


@dataclass(frozen=True, slots=True)
class ExchangeFailed:
    """An `OpenExchange` came to nothing."""

    address: Address
    word: str


@dataclass(frozen=True, slots=True)
class MetaSet:
    """Our metadata from now on."""

    meta: bytes


@dataclass(frozen=True, slots=True)
class KeysSet:
    """The ids of the keys that we understand from now on."""

    keys: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SessionSet:
    """Go on under a new session; the old one is still answered to for a while."""

    session: int


@dataclass(frozen=True, slots=True)
class LeaveAsked:
    """Tell the others that we leave."""


Input = (Begin | Woke | Heard | TableAsked | TableTold | ExchangeFailed | MetaSet | KeysSet | SessionSet
         | LeaveAsked)


# ---------------------------------------------------------------------- effects: what the core asks for


@dataclass(frozen=True, slots=True)
class Send:
    """Send one datagram."""

    address: Address
    to: int  # the session it is meant for
    parts: tuple[Part, ...]


@dataclass(frozen=True, slots=True)
class OpenExchange:
    """Connect, hand over this table and tell `TableTold` or `ExchangeFailed`."""

    address: Address
    table: tuple[Known, ...]


@dataclass(frozen=True, slots=True)
class ReplyExchange:
    """Answer the connection `token` with this table."""

    token: int
    table: tuple[Known, ...]


@dataclass(frozen=True, slots=True)
class Changed:
    """What is believed of a member changed; `before` is None for one that was not known, `after` for one that
    is forgotten. `reason` is for people."""

    record: Record
    before: Status | None
    after: Status | None
    reason: str


@dataclass(frozen=True, slots=True)
class Updated:
    """A member's record changed, and not what is believed of it."""

    record: Record


@dataclass(frozen=True, slots=True)
class Noted:
    """Something that operators should know of; `values` in pairs."""

    event: str
    values: tuple[tuple[str, object], ...] = ()


@dataclass(frozen=True, slots=True)
class Renamed:
    """Our name belongs to another living member; from now on this one is ours."""

    name: str


@dataclass(frozen=True, slots=True)
class Gone:
    """Our leave is told: the program may end."""


Effect = Send | OpenExchange | ReplyExchange | Changed | Updated | Noted | Renamed | Gone
