"""Typed messages as `struct` records.

A message is a frozen dataclass that is given a number by `@record(NUMBER)`. Its fields are encoded in their
order: `int` as a signed 64-bit number, `float` as a double, `bool` as one byte, `str` and `bytes` with a
32-bit length in front, an `IntEnum` as one byte, `tuple[T, ...]` with a 32-bit count, `T | None` with a byte
that tells whether a value follows, and a nested dataclass with a 32-bit length in front. All little-endian.

Versions: a field may be added at the end of a dataclass if it has a default. A reader of the release before
skips what it does not know, for lengths are told; a reader of the release after takes the default of a field
that is missing. Numbers of messages are never used again.
"""

from __future__ import annotations

import struct
import typing
from collections.abc import Callable

from flintfield.transport.codecs import codec_of

_KIND = struct.Struct("<H")

_by_number: dict[int, type] = {}
_number_of: dict[type, int] = {}


class MalformedRecord(ValueError):
    """Bytes that are no record of a known kind."""


Message = typing.TypeVar("Message", bound=type)


def record(number: int) -> Callable[[Message], Message]:
    """Give a dataclass its number on the wire (0 to 65,535); raises `ValueError` for one in use."""

    def register(kind: Message) -> Message:
        if number in _by_number:
            raise ValueError(f"record number {number} is {_by_number[number].__name__}'s")
        _by_number[number] = kind
        _number_of[kind] = number
        return kind

    return register


def encode(message: typing.Any) -> bytes:
    """The bytes of a message: its number, then its fields."""
    out = bytearray()
    encode_into(message, out)
    return bytes(out)


def encode_into(message: typing.Any, out: bytearray) -> None:
    """Append the bytes of a message; raises `TypeError` for what is no record.

    Where a field has a value of another type, whatever the codec raises comes through and `out` holds a part.
    """
    kind: type[typing.Any] = type(message)
    number = _number_of.get(kind)
    if number is None:
        raise TypeError(f"{kind.__name__} is no record")
    out += _KIND.pack(number)
    codec_of(kind).write(message, out)


def decode(data: bytes | bytearray | memoryview) -> typing.Any:
    """The message in these bytes; raises `MalformedRecord` where there is none."""
    raw = bytes(data)  # a copy of a view: slices of bytes are cheaper than slices of views
    try:
        kind = _by_number[_KIND.unpack_from(raw)[0]]
        return codec_of(kind).read(raw, _KIND.size, len(raw))
    except (KeyError, struct.error, ValueError, IndexError, TypeError, RecursionError) as error:
        raise MalformedRecord(f"{len(raw)} bytes: {error}") from error
