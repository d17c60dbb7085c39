"""The file of maintenance, read and checked in this one place.

A fault is a `BadInput` of one line that names the file, the key, what was found and what was expected.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TypeVar

import msgspec

from flintfield.base.errors import BadInput
from flintfield.maintenance.agreements import Agreement, Book, Node, Window, Work, closed_days
from flintfield.maintenance.windows import rule_fault


def read(path: str) -> Book:
    """Read and check a file; `BadInput` names file, key, found and expected."""
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        found = error.__class__.__name__
        raise BadInput(f"{path}: found {found}, expected a file that can be read") from error
    return parse(text, path)


def parse(text: str, path: str) -> Book:
    """The same of its text."""
    try:
        book = msgspec.convert(tomllib.loads(text), Book)
    except tomllib.TOMLDecodeError as error:
        raise BadInput(f"{path}: found no TOML ({error}), expected a file of maintenance") from error
    except msgspec.ValidationError as error:
        what, _, key = str(error).partition(" - at `$")
        key = key.rstrip("`").lstrip(".") or "the file"
        raise BadInput(f"{path}: {key}: {what}") from error
    _check(book, path)
    return book


Named = TypeVar("Named", Node, Agreement, Window, Work)


def _named(path: str, key: str, items: list[Named]) -> dict[str, Named]:
    found: dict[str, Named] = {}
    for item in items:
        if item.name in found:
            raise BadInput(f"{path}: {key}: found {item.name} twice, expected each name once")
        found[item.name] = item
    return found


def _check(book: Book, path: str) -> None:
    """What can't be said by types."""
    def fault(key: str, found: object, expected: str) -> BadInput:
        return BadInput(f"{path}: {key}: found {found}, expected {expected}")

    try:
        book.place()
    except Exception as error:
        expected = "a name of the zone database, such as America/Guatemala"
        raise fault("zone", repr(book.zone), expected) from error
    nodes = _named(path, "nodes", book.nodes)
    windows = _named(path, "windows", book.windows)
    works = _named(path, "works", book.works)
    _named(path, "agreements", book.agreements)
    for window in book.windows:
        if why := rule_fault(window):
            raise fault(f"windows.{window.name}.rule", repr(window.rule), f"a rule of RFC 5545 ({why})")
    for agreement in book.agreements:
        key, mine = f"agreements.{agreement.name}", book.nodes_of(agreement)
        if (agreement.keep_slots is None) is (agreement.keep_share is None):
            raise fault(key, "keep_slots and keep_share both or neither", "one of them")
        total = sum(n.slots for n in mine)
        if (agreement.keep_slots or 0) > total:
            raise fault(f"{key}.keep_slots", agreement.keep_slots,
                        f"at most {total}, the slots of the {len(mine)} nodes that serve it")
        for name in agreement.windows:
            if name not in windows:
                raise fault(f"{key}.windows", repr(name), f"one of {', '.join(windows) or 'no windows'}")
        try:
            closed_days(agreement)
        except ValueError as error:
            raise fault(f"{key}.closed", repr(str(error)), "a day (2027-02-08) or first/last") from error
    for work in book.works:
        key = f"works.{work.name}"
        if bool(work.nodes) is bool(work.zone or work.kind):
            raise fault(key, "nodes and zone or kind both or neither", "names, or a selector")
        for name in work.nodes:
            if name not in nodes:
                raise fault(f"{key}.nodes", repr(name), "the name of a node")
        if not book.nodes_for(work):
            raise fault(key, "a selector that fits no node", "at least one")
        for field, names in (("after", work.after), ("apart", work.apart)):
            for name in names:
                if name not in works or name == work.name:
                    raise fault(f"{key}.{field}", repr(name), "the name of another work")
    if ring := _ring(works):
        raise fault("works", f"a circle of after: {' after '.join(ring)}", "an order")


def _ring(works: dict[str, Work]) -> list[str]:
    """A circle in the order of works; empty if there is none."""
    seen: set[str] = set()

    def visit(name: str, path: list[str]) -> list[str]:
        if name in path:
            return [*path[path.index(name):], name]
        if name in seen:
            return []
        seen.add(name)
        return next((ring for other in works[name].after if (ring := visit(other, [*path, name]))), [])

    return next((ring for name in works if (ring := visit(name, []))), [])
