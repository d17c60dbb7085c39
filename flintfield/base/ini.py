"""The operators' INI file as text, and the readers that its sections are checked with.

What is faulty is an `OperatorsError`: one line that names `[section] key`, what was found and what was
expected. Whoever prints it puts the file's name first.
"""

from __future__ import annotations

import configparser
import math
from collections.abc import Callable, Mapping
from dataclasses import MISSING, dataclass, fields
from typing import Any, Generic, TypeVar

from flintfield.base.errors import BadInput

Made = TypeVar("Made")
MOST_SHOWN = 60  # of a faulty value


class OperatorsError(BadInput):
    """An operators' file that cannot be used; the text is one line that names what is faulty."""


@dataclass(frozen=True, slots=True)
class Reader:
    """How the text of a key is read: `read` raises a ValueError for what is not as `expected` words it."""

    expected: str
    read: Callable[[str], Any]


@dataclass(frozen=True, slots=True)
class Section(Generic[Made]):
    """A section, or a family of them, `[name.ONE]`; `make` is a dataclass with a field for each key.

    A key whose field has no default must be given. A ValueError of `make` tells of keys that do not fit.
    """

    name: str
    make: type[Made]
    keys: Mapping[str, Reader]
    family: bool = False


# ------------------------------------------------------------------ readers


def number(least: float, most: float) -> Reader:
    """A number of that range, both ends in it."""
    def read(text: str) -> float:
        value = float(text)
        if not (math.isfinite(value) and least <= value <= most):
            raise ValueError
        return value

    return Reader(f"a number from {least:.15g} to {most:.15g}", read)


def whole(least: int, most: int) -> Reader:
    """A whole number of that range, both ends in it."""
    def read(text: str) -> int:
        if not (text.isascii() and text.isdecimal() and least <= int(text) <= most):
            raise ValueError
        return int(text)

    return Reader(f"a whole number from {least} to {most}", read)


def word(*words: str) -> Reader:
    """One of these words."""
    def read(text: str) -> str:
        if text not in words:
            raise ValueError
        return text

    return Reader(f"one of {', '.join(words)}", read)


def _flag(text: str) -> bool:
    return {"on": True, "off": False}[text]


def _some(text: str) -> str:
    if not text:
        raise ValueError
    return text


FLAG = Reader("on or off", _flag)
FOLDER = Reader("a folder's name", _some)
FILE = Reader("a file's name", _some)
TEXT = Reader("a text", _some)


# --------------------------------------------------------------------- file


def read_file(path: str) -> dict[str, dict[str, str]]:
    """The sections of the file, each with its keys as text."""
    # No section's keys are those of all others, and nothing in a value stands for another value.
    parser = configparser.ConfigParser(default_section="", interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file, source=path)
    except (OSError, ValueError) as error:
        raise OperatorsError(f"cannot be read: {' '.join(str(error).split())}") from error
    except configparser.DuplicateOptionError as error:
        raise OperatorsError(f"[{error.section}] {error.option}: found twice, expected once") from error
    except configparser.DuplicateSectionError as error:
        raise OperatorsError(f"[{error.section}]: found twice, expected once") from error
    except configparser.Error as error:
        raise OperatorsError(' '.join(str(error).split())) from error
    return {name: dict(parser[name]) for name in parser.sections()}


def read_section(section: Section[Made], title: str, raw: Mapping[str, str]) -> Made:
    """Read and check one section; `title` is its name as it stands in the file."""
    given = {}
    for key, text in raw.items():
        if key not in section.keys:
            raise OperatorsError(f"[{title}] {key}: found an unknown key, "
                                 f"expected one of {', '.join(section.keys)}")
        given[key] = _value(section.keys[key], title, key, text)
    for item in fields(section.make):  # type: ignore[arg-type]
        if item.default is MISSING and item.default_factory is MISSING and item.name not in given:
            raise OperatorsError(f"[{title}] {item.name}: found nothing, "
                                 f"expected {section.keys[item.name].expected}")
    try:
        return section.make(**given)
    except ValueError as error:
        raise OperatorsError(f"[{title}]: {error}") from error


def _value(reader: Reader, title: str, key: str, text: str) -> Any:
    try:
        return reader.read(text)
    except (ValueError, KeyError) as error:
        shown = text if len(text) <= MOST_SHOWN else f"{text[:MOST_SHOWN]}..."
        raise OperatorsError(f"[{title}] {key}: found {shown!r}, expected {reader.expected}") from error
