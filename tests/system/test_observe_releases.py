"""The release before against this one: every record of the system is read both ways.

A later release may add fields with a default at the end of a dataclass, of a message as of what is nested in
it. For each registered record a later release is made up, in which every dataclass has grown, and an
earlier one, which lacks the fields that have a default by now.
"""

from __future__ import annotations

import dataclasses
import enum
import importlib
import pkgutil
import types
import typing
import unittest
from collections.abc import Callable
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

import flintfield
from flintfield.transport import records
from flintfield.transport.codecs import codec_of

PACKAGES = ("agent", "control", "coordination", "dispatch", "ingress", "jobs", "observe", "transport")
EXAMPLES = 12  # for each record and direction
NUMBER_BYTES = 2  # in front of the fields
ADDED = (("added_number", int, 7), ("added_text", str, "none yet"), ("added_items", tuple[int, ...], ()))

Transform = Callable[[type], type]


def system_records() -> dict[int, type]:
    """All records of the system's packages, by number."""
    for package in PACKAGES:
        module = importlib.import_module(f"flintfield.{package}")
        for found in pkgutil.walk_packages(module.__path__, f"{module.__name__}."):
            importlib.import_module(found.name)
    return {
        number: kind
        for number, kind in records._by_number.items()
        if kind.__module__.startswith(f"{flintfield.__name__}.")
    }


def values_of(annotation: Any) -> st.SearchStrategy[Any]:
    """Values of a field."""
    plain = {
        int: st.integers(-(2**63), 2**63 - 1),
        float: st.floats(allow_nan=False),
        bool: st.booleans(),
        str: st.text(max_size=6),
        bytes: st.binary(max_size=6),
    }
    if annotation in plain:
        return plain[annotation]
    arguments = typing.get_args(annotation)
    if typing.get_origin(annotation) is tuple:
        return st.lists(values_of(arguments[0]), max_size=2).map(tuple)
    if arguments:
        return st.none() | values_of(next(part for part in arguments if part is not type(None)))
    if issubclass(annotation, enum.IntEnum):
        return st.sampled_from(annotation)
    hints = typing.get_type_hints(annotation)
    return st.builds(annotation, *(values_of(hints[field.name]) for field in dataclasses.fields(annotation)))


def transformed(annotation: Any, transform: Transform) -> Any:
    """The annotation with each dataclass in it transformed."""
    arguments = typing.get_args(annotation)
    if typing.get_origin(annotation) is tuple:
        item: Any = transformed(arguments[0], transform)
        return tuple.__class_getitem__((item, ...))
    if typing.get_origin(annotation) in (types.UnionType, typing.Union):
        inner = next(part for part in arguments if part is not type(None))
        return transformed(inner, transform) | None
    return transform(annotation) if is_nested(annotation) else annotation


def is_nested(annotation: Any) -> bool:
    """Whether a field of this type holds a dataclass."""
    return isinstance(annotation, type) and dataclasses.is_dataclass(annotation)


def later_release(kind: type) -> type:
    """The dataclass, and all within it, with fields added at the end."""
    hints = typing.get_type_hints(kind)
    own = [(field.name, transformed(hints[field.name], later_release)) for field in dataclasses.fields(kind)]
    added = [(name, annotation, dataclasses.field(default=default)) for name, annotation, default in ADDED]
    return dataclasses.make_dataclass(f"Later{kind.__name__}", _with_defaults(kind, own) + added, frozen=True)


def earlier_release(kind: type) -> type:
    """The dataclass, and all within it, without the fields at the end that have a default."""
    hints = typing.get_type_hints(kind)
    own = [
        (field.name, transformed(hints[field.name], earlier_release))
        for field in dataclasses.fields(kind)
        if not has_default(field)
    ]
    return dataclasses.make_dataclass(f"Earlier{kind.__name__}", own, frozen=True)


def has_default(field: dataclasses.Field[Any]) -> bool:
    """Whether it may be left out."""
    return field.default is not dataclasses.MISSING or field.default_factory is not dataclasses.MISSING


def _with_defaults(kind: type, own: list[tuple[str, Any]]) -> list[Any]:
    fields: list[Any] = []
    for (name, annotation), field in zip(own, dataclasses.fields(kind), strict=True):
        known = has_default(field)
        fields.append(
            (name, annotation, dataclasses.field(default=field.default)) if known else (name, annotation)
        )
    return fields


def converted(value: Any, annotation: Any, transform: Transform) -> Any:
    """The value in another release's types; what that one lacks is dropped, what it adds has its default."""
    arguments = typing.get_args(annotation)
    if value is None:
        return None
    if typing.get_origin(annotation) is tuple:
        return tuple(converted(item, arguments[0], transform) for item in value)
    if arguments:
        inner = next(part for part in arguments if part is not type(None))
        return converted(value, inner, transform)
    if not is_nested(annotation):
        return value
    hints = typing.get_type_hints(annotation)
    target = transform(annotation)
    names = {field.name for field in dataclasses.fields(target)}
    return target(
        **{name: converted(getattr(value, name), hints[name], transform) for name in hints if name in names}
    )


def plain(value: Any) -> Any:
    """The value without its types, so that releases can be compared."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {field.name: plain(getattr(value, field.name)) for field in dataclasses.fields(value)}
    if isinstance(value, tuple):
        return tuple(plain(item) for item in value)
    return value


def written_by(release: type, value: Any, number: int) -> bytes:
    """The record's bytes as that release writes them."""
    out = bytearray(number.to_bytes(NUMBER_BYTES, "little"))
    codec_of(release).write(value, out)
    return bytes(out)


def read_by(release: type, data: bytes) -> Any:
    """The record as that release reads it."""
    return codec_of(release).read(data, NUMBER_BYTES, len(data))


class EveryRecord(unittest.TestCase):
    """Each record of the system, written by one release and read by the other."""

    def for_each(self, check: Callable[[int, type, Any], None]) -> None:
        """Check values of each record."""
        for number, kind in sorted(system_records().items()):
            with self.subTest(record=kind.__name__, number=number):
                self.check_values(number, kind, check)

    def check_values(self, number: int, kind: type, check: Callable[[int, type, Any], None]) -> None:
        """Check values of one record."""

        @settings(
            max_examples=EXAMPLES,
            deadline=None,
            database=None,
            derandomize=True,
            suppress_health_check=list(HealthCheck),
        )
        @given(values_of(kind))
        def run(value: Any) -> None:
            check(number, kind, value)

        run()

    def test_this_release_reads_what_the_later_one_writes(self) -> None:
        memo = remembered(later_release)

        def check(number: int, kind: type, value: Any) -> None:
            data = written_by(memo(kind), converted(value, kind, memo), number)
            self.assertEqual(value, records.decode(data))

        self.for_each(check)

    def test_the_later_release_reads_what_this_one_writes(self) -> None:
        memo = remembered(later_release)

        def check(_number: int, kind: type, value: Any) -> None:
            read = read_by(memo(kind), records.encode(value))
            self.assertEqual(plain(converted(value, kind, memo)), plain(read))

        self.for_each(check)

    def test_this_release_reads_what_the_earlier_one_wrote(self) -> None:
        memo = remembered(earlier_release)

        def check(number: int, kind: type, value: Any) -> None:
            earlier = converted(value, kind, memo)
            read = records.decode(written_by(memo(kind), earlier, number))
            self.assertEqual(plain(earlier), plain(converted(read, kind, memo)))

        self.for_each(check)

    def test_the_earlier_release_reads_what_this_one_writes(self) -> None:
        memo = remembered(earlier_release)

        def check(_number: int, kind: type, value: Any) -> None:
            read = read_by(memo(kind), records.encode(value))
            self.assertEqual(plain(converted(value, kind, memo)), plain(read))

        self.for_each(check)


def remembered(transform: Transform) -> Transform:
    """The transform, which gives one class for one class."""
    known: dict[type, type] = {}

    def once(kind: type) -> type:
        if kind not in known:
            known[kind] = transform(kind)
        return known[kind]

    return once


class Rules(unittest.TestCase):
    """What a record must be like, so that a later release can add to it."""

    def test_the_packages_have_records(self) -> None:
        names = {kind.__name__ for kind in system_records().values()}
        self.assertLessEqual({"JobCall", "AgentReport", "StoredOrder", "TaskRecord", "ProcessStatus"}, names)

    def test_every_record_is_a_frozen_dataclass(self) -> None:
        for kind in system_records().values():
            with self.subTest(kind.__name__):
                self.assertTrue(kind.__dataclass_params__.frozen)  # type: ignore[attr-defined]

    def test_observation_keeps_to_its_numbers(self) -> None:
        for number, kind in system_records().items():
            inside = kind.__module__.startswith("flintfield.observe")
            self.assertEqual(inside, 300 <= number <= 349, kind)


if __name__ == "__main__":
    unittest.main()
