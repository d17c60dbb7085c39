"""What a datagram and a stream's frame say, as MessagePack; the versions of the format.

Rules for what comes later. A field may be appended to any array, and a new kind of part may be added: who
does not know them skips them. Only what would be misread needs a new version. A member tells in its record
which versions it understands, and is written to in the highest one that both do; a format is dropped one
release after the last member that needs it. So two releases run side by side.

What is read is bounded: a datagram by its size, a table by `MOST_MEMBERS` lines, each text and number by the
limit beside its field in `membership/messages.py`. What can not be read is a `BadFormat`, or skipped and
counted where it is one part of a datagram that an authenticated member sent.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from flintfield.membership.messages import MOST_NUMBER, Known, Part
from flintfield.membership.rules import MOST_MEMBERS

LEAST, MOST = 1, 1
"""The versions of the format that this program writes and reads."""


class BadFormat(Exception):
    """Bytes that are not what they should be."""


class Packet(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A datagram's content; `sent_ms` counts from the start of the sender's session."""

    to: Annotated[int, Meta(ge=0, le=MOST_NUMBER)]
    sent_ms: Annotated[int, Meta(ge=0, le=2**48)]
    parts: list[Part]


class _Loose(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The same with parts unread: one of them may be of a kind that this version does not know."""

    to: Annotated[int, Meta(ge=0, le=MOST_NUMBER)]
    sent_ms: Annotated[int, Meta(ge=0, le=2**48)]
    parts: list[msgspec.Raw]


_encoder = msgspec.msgpack.Encoder()
_packet: msgspec.msgpack.Decoder[Packet] = msgspec.msgpack.Decoder(Packet)
_loose: msgspec.msgpack.Decoder[_Loose] = msgspec.msgpack.Decoder(_Loose)
_part: msgspec.msgpack.Decoder[Part] = msgspec.msgpack.Decoder(Part)
_lines: msgspec.msgpack.Decoder[list[Known]] = msgspec.msgpack.Decoder(
    Annotated[list[Known], Meta(max_length=MOST_MEMBERS)])


def common_version(least: int, most: int) -> int | None:
    """The highest version that both understand; None if there is none."""
    version = min(MOST, most)
    return version if version >= max(LEAST, least) else None


def write_packet(to: int, sent_ms: int, parts: tuple[Part, ...]) -> bytes:
    """A datagram's content."""
    return _encoder.encode((to, sent_ms, parts))


def read_packet(data: bytes) -> tuple[Packet, int]:
    """A datagram's content, and how many of its parts were skipped."""
    try:
        return _packet.decode(data), 0
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return _read_loosely(data)


def _read_loosely(data: bytes) -> tuple[Packet, int]:
    try:
        loose = _loose.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BadFormat(str(error)) from error
    parts: list[Part] = []
    for raw in loose.parts:
        try:
            parts.append(_part.decode(raw))
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            continue
    return Packet(loose.to, loose.sent_ms, parts), len(loose.parts) - len(parts)


def write_lines(lines: tuple[Known, ...]) -> bytes:
    """Some lines of a table, for a frame."""
    return _encoder.encode(lines)


def read_lines(data: bytes) -> list[Known]:
    """The lines of a frame."""
    try:
        return _lines.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BadFormat(str(error)) from error
