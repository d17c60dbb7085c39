"""Codecs of dataclasses and of the types that their fields may have; see `records` for the form of the bytes.

A value's codec is a pair of functions. The codec of a dataclass is compiled from generated source at its
first use, as `dataclasses` itself does: neighbours of a fixed size and the length of a text behind them are
packed by one `struct`. A reader that meets bytes it can't read whole starts again field by field, which takes
in records of an older release (fields missing at the end) and finds what is malformed.
"""

from __future__ import annotations

import dataclasses
import enum
import struct
import types
import typing
from collections.abc import Callable

from flintfield.transport.plain_codecs import LENGTH, PLAIN, ReadValue, ValueCodec, WriteValue, slice_of

ReadWhole = Callable[[bytes, int, int], typing.Any]  # bytes, start and end


FIXED: dict[object, str] = {int: "q", float: "d", bool: "?"}  # types of a fixed size and their `struct` codes


class DataclassCodec(typing.NamedTuple):
    """How the fields of a dataclass are appended to bytes, and read from the bytes between two positions."""

    write: WriteValue
    read: ReadWhole


_codecs: dict[type, DataclassCodec] = {}


def codec_of(kind: type) -> DataclassCodec:
    """The codec of a dataclass, compiled once; raises `TypeError` where a field's type has no form."""
    codec = _codecs.get(kind)
    if codec is None:
        codec = _codecs[kind] = _compile(kind)
    return codec


# Values.


def _many(item: ValueCodec) -> ValueCodec:
    write_item, read_item = item

    def write(values: tuple[typing.Any, ...], out: bytearray) -> None:
        out += LENGTH.pack(len(values))
        for value in values:
            write_item(value, out)

    def read(data: bytes, at: int) -> tuple[tuple[typing.Any, ...], int]:
        (count,) = LENGTH.unpack_from(data, at)
        at += LENGTH.size
        if count > len(data) - at:  # no item is smaller than a byte
            raise ValueError(f"a count of {count} beyond the end")
        values = []
        for _ in range(count):
            value, at = read_item(data, at)
            values.append(value)
        return tuple(values), at

    return ValueCodec(write, read)


def _perhaps(item: ValueCodec) -> ValueCodec:
    write_item, read_item = item

    def write(value: typing.Any, out: bytearray) -> None:
        if value is None:
            out.append(0)
        else:
            out.append(1)
            write_item(value, out)

    def read(data: bytes, at: int) -> tuple[typing.Any, int]:
        return read_item(data, at + 1) if data[at] else (None, at + 1)

    return ValueCodec(write, read)


def _choice(kind: type[enum.IntEnum]) -> ValueCodec:
    def read(data: bytes, at: int) -> tuple[enum.IntEnum, int]:
        return kind(data[at]), at + 1

    return ValueCodec(lambda value, out: out.append(int(value)), read)


def _nested(kind: type) -> ValueCodec:
    def write(value: typing.Any, out: bytearray) -> None:
        at = len(out)
        out += b"\0\0\0\0"
        codec_of(kind).write(value, out)
        LENGTH.pack_into(out, at, len(out) - at - LENGTH.size)

    def read(data: bytes, at: int) -> tuple[typing.Any, int]:
        start, end = slice_of(data, at)
        return codec_of(kind).read(data, start, end), end

    return ValueCodec(write, read)


def _value_codec(annotation: typing.Any) -> ValueCodec:
    if annotation in PLAIN:
        return PLAIN[annotation]
    origin, arguments = typing.get_origin(annotation), typing.get_args(annotation)
    if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        return _many(_value_codec(arguments[0]))
    if origin in (types.UnionType, typing.Union) and len(arguments) == 2 and type(None) in arguments:
        (inner,) = (part for part in arguments if part is not type(None))
        return _perhaps(_value_codec(inner))
    if _is_choice(annotation):
        return _choice(annotation)
    if dataclasses.is_dataclass(annotation) and isinstance(annotation, type):
        return _nested(annotation)
    raise TypeError(f"no record form for {annotation!r}")


def _is_choice(annotation: typing.Any) -> bool:
    return isinstance(annotation, type) and issubclass(annotation, enum.IntEnum)


# Dataclasses.


def _compile(kind: type) -> DataclassCodec:
    hints = typing.get_type_hints(kind)
    annotations = {field.name: hints[field.name] for field in dataclasses.fields(kind)}
    source = _Source(kind, [_value_codec(annotation).read for annotation in annotations.values()])
    for name, annotation in annotations.items():
        source.add(name, annotation)
    return source.compiled()


def _read_by_field(kind: type, readers: list[ReadValue], data: bytes, at: int, end: int) -> typing.Any:
    """Read as many fields as are there; the others take their defaults. Raises where a field is malformed."""
    own = data[at:end]
    values: list[typing.Any] = []
    at = 0
    for read_field in readers:
        if at >= len(own):
            break  # written by the release before
        value, at = read_field(own, at)
        values.append(value)
    return kind(*values)


class _Source:
    """The source of a dataclass's two functions, collected field by field.

    `codes`, `packed` and `unpacked` are the neighbours of a fixed size that wait to be packed together.
    """

    def __init__(self, kind: type, readers: list[ReadValue]) -> None:
        self.names: dict[str, typing.Any] = {
            "kind": kind,
            "by_field": lambda data, at, end: _read_by_field(kind, readers, data, at, end),
            "unreadable": (struct.error, ValueError, IndexError, KeyError, TypeError),
        }
        self.writing: list[str] = []
        self.reading: list[str] = []
        self.arguments: list[str] = []
        self.codes = ""
        self.packed: list[str] = []
        self.unpacked: list[str] = []

    def add(self, name: str, annotation: typing.Any) -> None:
        """Append a field."""
        value = f"value{len(self.arguments)}"
        if annotation in FIXED:
            self._wait(FIXED[annotation], f"message.{name}", value)
        elif _is_choice(annotation):
            self.names[f"member_{value}"] = {int(member): member for member in annotation}
            self._wait("B", f"message.{name}", value)
            value = f"member_{value}[{value}]"
        elif annotation is str or annotation is bytes:
            self._add_text(
                name,
                value,
                ".encode()" if annotation is str else "",
                ".decode()" if annotation is str else "",
            )
        else:
            self._add_other(name, value, _value_codec(annotation))
        self.arguments.append(value)

    def compiled(self) -> DataclassCodec:
        """The functions."""
        self._flush()
        lines = [
            "def write(message, out):",
            *self.writing,
            " return None",
            "def read(data, at, end):",
            " start = at",
            " try:",
            *self.reading,
            f"  if at <= end: return kind({', '.join(self.arguments)})",
            " except unreadable: pass",
            " return by_field(data, start, end)",
        ]
        exec("\n".join(lines), self.names)
        return DataclassCodec(self.names["write"], self.names["read"])

    def _wait(self, code: str, expression: str, value: str) -> None:
        self.codes += code
        self.packed.append(expression)
        self.unpacked.append(value)

    def _flush(self) -> None:
        if not self.codes:
            return
        form = struct.Struct("<" + self.codes)
        number = len(self.names)
        self.names[f"pack{number}"], self.names[f"unpack{number}"] = form.pack, form.unpack_from
        self.writing.append(f" out += pack{number}({', '.join(self.packed)})")
        self.reading.append(f"  {', '.join(self.unpacked)}, = unpack{number}(data, at)")
        self.reading.append(f"  at += {form.size}")
        self.codes, self.packed, self.unpacked = "", [], []

    def _add_text(self, name: str, value: str, encoded: str, decoded: str) -> None:
        self.writing.append(f" {value} = message.{name}{encoded}")
        self._wait("I", f"len({value})", f"length_{value}")
        self._flush()
        self.writing.append(f" out += {value}")
        self.reading.append(f"  behind = at + length_{value}")
        self.reading.append(f"  {value} = data[at:behind]{decoded}")
        self.reading.append("  at = behind")

    def _add_other(self, name: str, value: str, codec: ValueCodec) -> None:
        self._flush()
        self.names[f"write_{value}"], self.names[f"read_{value}"] = codec
        self.writing.append(f" write_{value}(message.{name}, out)")
        self.reading.append(f"  {value}, at = read_{value}(data, at)")
