"""Codecs of plain values: numbers, truth values, texts and bytes; see `records` for the form of the bytes."""

from __future__ import annotations

import struct
import typing
from collections.abc import Callable

WriteValue = Callable[[typing.Any, bytearray], None]
ReadValue = Callable[[bytes, int], tuple[typing.Any, int]]  # bytes and position; value and position behind it

_NUMBER = struct.Struct("<q")
_DOUBLE = struct.Struct("<d")
LENGTH = struct.Struct("<I")


class ValueCodec(typing.NamedTuple):
    """How a value is appended to bytes, and read from a position in them."""

    write: WriteValue
    read: ReadValue


def slice_of(data: bytes, at: int) -> tuple[int, int]:
    """Start and end of the bytes whose length stands at this position; raises `ValueError`."""
    (length,) = LENGTH.unpack_from(data, at)
    start = at + LENGTH.size
    if start + length > len(data):
        raise ValueError(f"a length of {length} beyond the end")
    return start, start + length


def _write_int(value: int, out: bytearray) -> None:
    out += _NUMBER.pack(value)


def _read_int(data: bytes, at: int) -> tuple[int, int]:
    return _NUMBER.unpack_from(data, at)[0], at + 8


def _write_float(value: float, out: bytearray) -> None:
    out += _DOUBLE.pack(value)


def _read_float(data: bytes, at: int) -> tuple[float, int]:
    return _DOUBLE.unpack_from(data, at)[0], at + 8


def _write_bool(value: bool, out: bytearray) -> None:
    out.append(1 if value else 0)


def _read_bool(data: bytes, at: int) -> tuple[bool, int]:
    return data[at] != 0, at + 1


def _write_text(value: str, out: bytearray) -> None:
    _write_raw(value.encode(), out)


def _read_text(data: bytes, at: int) -> tuple[str, int]:
    start, end = slice_of(data, at)
    return data[start:end].decode(), end


def _write_raw(value: bytes, out: bytearray) -> None:
    out += LENGTH.pack(len(value))
    out += value


def _read_raw(data: bytes, at: int) -> tuple[bytes, int]:
    start, end = slice_of(data, at)
    return data[start:end], end


PLAIN: dict[object, ValueCodec] = {
    int: ValueCodec(_write_int, _read_int),
    float: ValueCodec(_write_float, _read_float),
    bool: ValueCodec(_write_bool, _read_bool),
    str: ValueCodec(_write_text, _read_text),
    bytes: ValueCodec(_write_raw, _read_raw),
}
