"""What members say to one another, as it goes over the wire.

A `msgspec.Struct` written as an array, so that a later version may append fields and an older one skips them;
the limits that stand with a field are checked when it is read. Times are milliseconds; an address is host and
port, for UDP and TCP alike. A `session` is a random number below 2**63 that names one life of one process.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from flintfield.membership.rules import MOST_BODY, MOST_HOST, MOST_KEYS, MOST_META, MOST_NAME

Address = tuple[str, int]
MOST_NUMBER = 2**63 - 1
MOST_SHUT = 64  # lives that a row names
MOST_HEARD = 2**31 - 1  # ms: longer ago than this, or never

Name = Annotated[str, Meta(pattern=f"^[!-~]{{1,{MOST_NAME}}}$")]
Host = Annotated[str, Meta(pattern=f"^[0-9a-fA-F.:]{{2,{MOST_HOST}}}$")]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Session = Annotated[int, Meta(ge=0, le=MOST_NUMBER)]
Incarnation = Annotated[int, Meta(ge=0, le=2**48)]
Counter = Annotated[int, Meta(ge=0, le=2**48)]
KeyId = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Number = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Identity = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Version = Annotated[int, Meta(ge=1, le=255)]


class Status(IntEnum):
    """What is believed of a member; of one incarnation, the higher word wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # it said so itself


WORDS = {Status.ALIVE: "alive", Status.SUSPECT: "suspect", Status.DEAD: "dead", Status.LEFT: "left"}


class Record(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a member says of itself. Nobody else changes a field of it."""

    name: Name
    host: Host
    port: Port
    session: Session
    incarnation: Incarnation  # raised by its owner alone, to object to what is said of it
    version: Counter = 0  # of what follows, within the incarnation
    keys: Annotated[tuple[KeyId, ...], Meta(max_length=MOST_KEYS)] = ()  # the ids of those it understands
    meta: Annotated[bytes, Meta(max_length=MOST_META)] = b""
    least: Version = 1  # the versions of the wire format that it understands
    most: Version = 1

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self.host, self.port

    @property
    def rank(self) -> tuple[int, int, int]:
        """Of two records of one name the higher one holds."""
        return self.incarnation, self.session, self.version


# ---------------------------------------------------------------------- updates: what is gossiped


class Alive(msgspec.Struct, frozen=True, array_like=True, tag=1, gc=False):
    """A member is there, with this record."""

    record: Record


class Suspect(msgspec.Struct, frozen=True, array_like=True, tag=2, gc=False):
    """`by` had no answer from this incarnation of a member."""

    name: Name
    incarnation: Incarnation
    by: Name


class Dead(msgspec.Struct, frozen=True, array_like=True, tag=3, gc=False):
    """For `by` the suspicion ran out."""

    name: Name
    incarnation: Incarnation
    by: Name


class Left(msgspec.Struct, frozen=True, array_like=True, tag=4, gc=False):
    """A member says that it leaves."""

    name: Name
    incarnation: Incarnation


class Survey(msgspec.Struct, frozen=True, array_like=True, tag=13, gc=False):
    """Find out whom you hear, and let all hear you; ways.py says why."""

    number: Number


class Row(msgspec.Struct, frozen=True, array_like=True, tag=14, gc=False):
    """A member does not hear these lives, and hears all others; `more`: so many that did not fit."""

    name: Name
    session: Session
    version: Counter
    shut: Annotated[tuple[Identity, ...], Meta(max_length=MOST_SHUT)] = ()
    more: Number = 0


Update = Alive | Suspect | Dead | Left | Survey | Row


# ---------------------------------------------------------------------- the probe's words


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=5, gc=False):
    """Answer with an `Ack` of that number."""

    number: Number


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=6, gc=False):
    """The answer to a `Ping`, or to an `Ask` whose target has answered."""

    number: Number


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=7, gc=False):
    """Probe that member in my place; say `Nack` if it does not answer in time."""

    number: Number
    host: Host
    port: Port
    session: Session
    nack: bool = True


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=8, gc=False):
    """I did as you asked, and the target has not answered so far. `heard_ms`: how long ago a datagram of its
    own reached me; releases before do not tell."""

    number: Number
    heard_ms: Annotated[int, Meta(ge=0, le=MOST_HEARD)] = MOST_HEARD


class Astray(msgspec.Struct, frozen=True, array_like=True, tag=9, gc=False):
    """What you sent was meant for another life of mine: we should exchange tables."""


# ---------------------------------------------------------------------- questions, beside the protocol


class Query(msgspec.Struct, frozen=True, array_like=True, tag=10, gc=False):
    """A question of this kind to a member's program; the core takes no notice."""

    number: Number
    kind: Annotated[str, Meta(max_length=16)]
    body: Annotated[bytes, Meta(max_length=MOST_BODY)]


class Told(msgspec.Struct, frozen=True, array_like=True, tag=11, gc=False):
    """The answer to a `Query`."""

    number: Number
    body: Annotated[bytes, Meta(max_length=MOST_BODY)]


class Said(msgspec.Struct, frozen=True, array_like=True, tag=12, gc=False):
    """A word of this kind to a member's program, which nobody answers here; the core takes no notice."""

    kind: Annotated[str, Meta(max_length=16)]
    body: Annotated[bytes, Meta(max_length=MOST_BODY)]


class Way(msgspec.Struct, frozen=True, array_like=True, tag=15, gc=False):
    """A datagram of a survey: that it comes is all that it says."""

    number: Number


Part = (Alive | Suspect | Dead | Left | Ping | Ack | Ask | Nack | Astray | Query | Told | Said | Survey | Row
        | Way)


class Known(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A line of a whole table: the record, what is believed of which incarnation, and how long it is kept."""

    record: Record
    incarnation: Incarnation
    status: Annotated[int, Meta(ge=0, le=3)]
    keep_ms: Annotated[float, Meta(ge=0, le=1e12)] = 0.0  # of one that is gone

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self.record.address


# ---------------------------------------------------------------------- sizes


def _text(text: str) -> int:
    size = len(text)  # names and addresses are ASCII
    return size + (1 if size < 32 else 2)


def size_of(part: Part) -> int:
    """The most bytes that a part takes in a datagram, in MessagePack. Pure arithmetic, for packing."""
    if isinstance(part, Alive):
        r = part.record
        # Array heads and tag 4, two ports and versions 3 + 3, session 9, incarnation and version 9 + 5.
        return 33 + _text(r.name) + _text(r.host) + 1 + 5 * len(r.keys) + 3 + len(r.meta)
    if isinstance(part, Suspect | Dead):
        return 11 + _text(part.name) + _text(part.by)
    if isinstance(part, Left):
        return 11 + _text(part.name)
    if isinstance(part, Ask):
        return 20 + _text(part.host)
    if isinstance(part, Query):
        return 10 + _text(part.kind) + len(part.body)
    if isinstance(part, Told | Said):
        return 10 + len(part.body) + (_text(part.kind) if isinstance(part, Said) else 0)
    if isinstance(part, Nack):
        return 12
    if isinstance(part, Row):
        return 28 + _text(part.name) + 5 * len(part.shut)
    return 2 if isinstance(part, Astray) else 7
