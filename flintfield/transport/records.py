"""Typed messages as `struct` records.

A message is a frozen dataclass that is given a number by `@record(NUMBER)`. Its fields are encoded in their
order: `int` as a signed 64-bit number, `float` as a double, `bool` as one byte, `str` and `bytes` with a
32-bit length in front, an `IntEnum` as one byte, `tuple[T, ...]` with a 32-bit count, `T | None` with one byte that
tells whether a value follows, and a nested dataclass with a 32-bit length in front.

Versions: a field may be added at the end of a dataclass if it has a default. A reader of the release before
skips what it does not know, for lengths are told; a reader of the release after takes the default of a field
that is missing. Numbers of messages are never used again.
"""

from __future__ import annotations

import dataclasses
import enum
import struct
import types
import typing
from collections.abc import Callable
from functools import cache

WRITE = Callable[[typing.Any, bytearray], None]
READ = Callable[[memoryview, int], tuple[typing.Any, int]]

_NUMBER = struct.Struct("<q")
_DOUBLE = struct.Struct("<d")
_LENGTH = struct.Struct("<I")
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
    """Append the bytes of a message; raises `TypeError` for what is no record."""
    kind: type[typing.Any] = type(message)
    number = _number_of.get(kind)
    if number is None:
        raise TypeError(f"{kind.__name__} is no record")
    out += _KIND.pack(number)
    _codec(kind)[0](message, out)


def decode(data: bytes | bytearray | memoryview) -> typing.Any:
    """The message in these bytes; raises `MalformedRecord` where there is none."""
    view = memoryview(data)
    try:
        kind = _by_number[_KIND.unpack_from(view, 0)[0]]
        return _codec(kind)[1](view, _KIND.size)[0]
    except (KeyError, struct.error, ValueError, IndexError, TypeError) as error:
        raise MalformedRecord(f"{len(view)} bytes: {error}") from error


def _slice(view: memoryview, at: int) -> tuple[int, int]:
    (length,) = _LENGTH.unpack_from(view, at)
    start = at + _LENGTH.size
    if start + length > len(view):
        raise ValueError(f"a length of {length} beyond the end")
    return start, start + length


def _write_int(value: int, out: bytearray) -> None:
    out += _NUMBER.pack(value)


def _read_int(view: memoryview, at: int) -> tuple[int, int]:
    return _NUMBER.unpack_from(view, at)[0], at + 8


def _write_float(value: float, out: bytearray) -> None:
    out += _DOUBLE.pack(value)


def _read_float(view: memoryview, at: int) -> tuple[float, int]:
    return _DOUBLE.unpack_from(view, at)[0], at + 8


def _write_bool(value: bool, out: bytearray) -> None:
    out.append(1 if value else 0)


def _read_bool(view: memoryview, at: int) -> tuple[bool, int]:
    return view[at] != 0, at + 1


def _write_text(value: str, out: bytearray) -> None:
    raw = value.encode()
    out += _LENGTH.pack(len(raw))
    out += raw


def _read_text(view: memoryview, at: int) -> tuple[str, int]:
    start, end = _slice(view, at)
    return str(view[start:end], "utf-8"), end


def _write_raw(value: bytes, out: bytearray) -> None:
    out += _LENGTH.pack(len(value))
    out += value


def _read_raw(view: memoryview, at: int) -> tuple[bytes, int]:
    start, end = _slice(view, at)
    return bytes(view[start:end]), end


_PLAIN: dict[object, tuple[WRITE, READ]] = {
    int: (_write_int, _read_int),
    float: (_write_float, _read_float),
    bool: (_write_bool, _read_bool),
    str: (_write_text, _read_text),
    bytes: (_write_raw, _read_raw),
}


def _many(item: tuple[WRITE, READ]) -> tuple[WRITE, READ]:
    write_item, read_item = item

    def write(values: tuple[typing.Any, ...], out: bytearray) -> None:
        out += _LENGTH.pack(len(values))
        for value in values:
            write_item(value, out)

    def read(view: memoryview, at: int) -> tuple[tuple[typing.Any, ...], int]:
        (count,) = _LENGTH.unpack_from(view, at)
        at += _LENGTH.size
        if count > len(view) - at:
            raise ValueError(f"a count of {count} beyond the end")
        values = []
        for _ in range(count):
            value, at = read_item(view, at)
            values.append(value)
        return tuple(values), at

    return write, read


def _perhaps(item: tuple[WRITE, READ]) -> tuple[WRITE, READ]:
    write_item, read_item = item

    def write(value: typing.Any, out: bytearray) -> None:
        if value is None:
            out.append(0)
        else:
            out.append(1)
            write_item(value, out)

    def read(view: memoryview, at: int) -> tuple[typing.Any, int]:
        return read_item(view, at + 1) if view[at] else (None, at + 1)

    return write, read


def _choice(kind: type[enum.IntEnum]) -> tuple[WRITE, READ]:
    def read(view: memoryview, at: int) -> tuple[enum.IntEnum, int]:
        return kind(view[at]), at + 1

    return lambda value, out: out.append(int(value)), read


def _nested(kind: type) -> tuple[WRITE, READ]:
    def write(value: typing.Any, out: bytearray) -> None:
        at = len(out)
        out += b"\0\0\0\0"
        _codec(kind)[0](value, out)
        _LENGTH.pack_into(out, at, len(out) - at - _LENGTH.size)

    def read(view: memoryview, at: int) -> tuple[typing.Any, int]:
        start, end = _slice(view, at)
        return _codec(kind)[1](view[start:end], 0)[0], end

    return write, read


def _of_annotation(annotation: typing.Any) -> tuple[WRITE, READ]:
    if annotation in _PLAIN:
        return _PLAIN[annotation]
    origin, arguments = typing.get_origin(annotation), typing.get_args(annotation)
    if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        return _many(_of_annotation(arguments[0]))
    if origin in (types.UnionType, typing.Union):
        (inner,) = (part for part in arguments if part is not type(None))
        return _perhaps(_of_annotation(inner))
    if isinstance(annotation, type) and issubclass(annotation, enum.IntEnum):
        return _choice(annotation)
    if dataclasses.is_dataclass(annotation) and isinstance(annotation, type):
        return _nested(annotation)
    raise TypeError(f"no record form for {annotation!r}")


@cache
def _codec(kind: type) -> tuple[WRITE, READ]:
    hints = typing.get_type_hints(kind)
    names = [field.name for field in dataclasses.fields(kind)]
    codecs = [_of_annotation(hints[name]) for name in names]
    writers = [(name, write) for name, (write, _) in zip(names, codecs, strict=True)]
    readers = [(name, read) for name, (_, read) in zip(names, codecs, strict=True)]

    def write(message: typing.Any, out: bytearray) -> None:
        for name, write_field in writers:
            write_field(getattr(message, name), out)

    def read(view: memoryview, at: int) -> tuple[typing.Any, int]:
        values, end = {}, len(view)
        for name, read_field in readers:
            if at >= end:
                break  # written by the release before: the rest take their defaults
            values[name], at = read_field(view, at)
        return kind(**values), at

    return write, read
