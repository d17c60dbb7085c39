"""The operators' file of sites, read and checked in one place.

    [class.reservation]
    earns = 10.0                     # worth of a unit of work, against the other classes

    [site.east]
    capacity = 70.0                  # work (ms of a standard core) that its worker nodes do in a ms
    reserve = 0.1                    # the part of it that others' load may never have
    load = { reservation = 20.0, search = 26.0 }   # work a ms that its clients ask for
    distance = { north = 1.0, south = 3.0 }        # to others; 1 where not named
    crossing = { south = 10.0 }                    # the most work a ms that it sends there

A fault is a `BadInput` of one line: file, key, what was found and what was expected.
"""

from __future__ import annotations

import math
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

from flintfield.base.errors import BadInput
from flintfield.sites.plan import Class, Site

Amount = Annotated[float, Meta(ge=0)]
MOST_SITES, MOST_CLASSES = 64, 32


class ClassSpec(msgspec.Struct, forbid_unknown_fields=True):
    """A class of job."""

    earns: Amount


class SiteSpec(msgspec.Struct, forbid_unknown_fields=True):
    """One site."""

    capacity: Amount
    load: dict[str, Amount] = {}
    reserve: Annotated[float, Meta(ge=0, le=1)] = 0.0
    distance: dict[str, Amount] = {}
    crossing: dict[str, Amount] = {}


Spec = TypeVar("Spec", SiteSpec, ClassSpec)


def _section(path: str, title: str, given: Any, kind: type[Spec]) -> Spec:
    try:
        return msgspec.convert(given, kind)
    except msgspec.ValidationError as error:
        word, _, at = str(error).partition(" - at `$.")
        key = at.rstrip("`").replace("[...]", "")
        found = given.get(key) if isinstance(given, dict) and key in given else given
        where = f"{title}.{key}" if key else title
        raise BadInput(f"{path}: {where}: found {found!r}, {word[0].lower()}{word[1:]}") from error


def read(path: str) -> tuple[list[Site], list[Class]]:
    """The sites and classes of a file."""
    try:
        raw = msgspec.toml.decode(Path(path).read_bytes())
    except (OSError, UnicodeDecodeError) as error:
        raise BadInput(f"{path}: cannot be read: {error}") from error
    except msgspec.DecodeError as error:
        raise BadInput(f"{path}: {' '.join(str(error).split())}") from error
    for key in ("site", "class"):
        if not isinstance(raw.get(key), dict):
            raise BadInput(f"{path}: {key}: found {raw.get(key)!r}, expected sections [{key}.NAME]")
    if more := sorted(raw.keys() - {"site", "class"}):
        raise BadInput(f"{path}: {more[0]}: found an unknown section, expected [site.NAME] or [class.NAME]")
    told_sites = {n: _section(path, f"site.{n}", g, SiteSpec) for n, g in raw["site"].items()}
    told_classes = {n: _section(path, f"class.{n}", g, ClassSpec) for n, g in raw["class"].items()}

    def fail(key: str, found: object, expected: str) -> BadInput:
        return BadInput(f"{path}: {key}: found {found!r}, expected {expected}")

    if not 1 <= len(told_sites) <= MOST_SITES:
        raise fail("site", len(told_sites), f"1 to {MOST_SITES} sites")
    if not 1 <= len(told_classes) <= MOST_CLASSES:
        raise fail("class", len(told_classes), f"1 to {MOST_CLASSES} classes")
    for name, spec in told_sites.items():
        figures = [spec.capacity, *spec.load.values(), *spec.distance.values(), *spec.crossing.values()]
        if not all(map(math.isfinite, figures)):
            raise fail(f"site.{name}", figures, "finite figures")
        for key, known, names in (("load", told_classes, spec.load), ("distance", told_sites, spec.distance),
                                  ("crossing", told_sites, spec.crossing)):
            for other in names:
                if other not in known or other == name:
                    expected = sorted(set(known) - {name})
                    raise fail(f"site.{name}.{key}", other, f"one of {', '.join(expected)}")
    sites = [Site(name, s.capacity, s.load, s.reserve, s.distance, s.crossing)
             for name, s in told_sites.items()]
    return sites, [Class(name, c.earns) for name, c in told_classes.items()]
