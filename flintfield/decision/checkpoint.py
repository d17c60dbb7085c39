"""The whole state of a dispatcher as plain JSON values, and back: what it does next is the same.

Jobs, attempts and workers refer to each other. The first mention of one writes it out, later ones name it by
its number, so that what was one object is one object again. Only the types named here are read back.

In JSON a list begins with its tag: `l` list, `t` tuple, `q` deque, `d` dict (keys and values in turn), `#` an
object mentioned before, else the type's name and its fields. A text stands for a number that JSON lacks.
"""

from __future__ import annotations

import base64
import math
import random
import struct
from collections import deque
from enum import Enum
from typing import Any

from flintfield.decision.accounts import Account, Accounts
from flintfield.decision.asking import Asking
from flintfield.decision.byhand import Hands
from flintfield.decision.interface import Entry, Outcome, Request, Settings, State
from flintfield.decision.patience import Patience
from flintfield.decision.policy import Dispatcher
from flintfield.decision.records import Attempt, Held, Job, Mean, Timers, Worker

OBJECTS: dict[str, type[Any]] = {
    c.__name__: c for c in (
        Account, Accounts, Asking, Attempt, Entry, Hands, Held, Job, Mean, Patience, Request, Timers, Worker)
}
ENUMS: dict[str, type[Enum]] = {c.__name__: c for c in (Outcome, State)}
SERIES: dict[type, str] = {list: "l", tuple: "t", deque: "q"}
MAKERS: dict[str, type[Any]] = {tag: kind for kind, tag in SERIES.items()}
PLAIN = frozenset({int, bool, type(None)})
MADE_ANEW = frozenset({"settings", "handlers", "actions", "workers"})  # by the making of a dispatcher
INDEXED = ("checks", "fleet")  # that keep a part and make the rest anew, of what stands before them
# Of what a state holds. 6 did not know when discovery was called; 5 knew no pushed lists; 4 knew no patience;
# 3 knew nobody out by hand; 2 asked discovery at a fixed pace; 1 had no number: it knew no fleet, and its
# jobs were looked at by a walk.
VERSION = 7
WORDS = struct.Struct("<625I")  # of the generator's state


class TooLarge(Exception):
    """The state has more values than were allowed."""


def save(dispatcher: Dispatcher, most_values: float = math.inf) -> dict[str, Any]:
    """The state between two events; `TooLarge` as soon as it proves to have more values than that."""
    writer = _Writer(most_values)
    state = {name: writer.value(v.kept() if name in INDEXED else v)
             for name, v in vars(dispatcher).items() if name not in MADE_ANEW}
    return {"version": VERSION, "fields": writer.fields, "state": state}


def restore(settings: Settings, saved: dict[str, Any]) -> Dispatcher:
    """A dispatcher in that state; a ValueError if it can not be read or is another version's."""
    dispatcher = Dispatcher(settings, 0)
    names = set(vars(dispatcher)) - MADE_ANEW
    if (version := saved.get("version", 1)) != VERSION:
        raise ValueError(f"a state of version {version!r}, expected {VERSION}: the program that wrote it can "
                         "go on from it")
    try:
        reader = _Reader(saved["fields"])
        if names != set(saved["state"]):
            raise ValueError("not the parts of a dispatcher")
        parts = {name: reader.value(value) for name, value in saved["state"].items()}
        for name in names.difference(INDEXED):
            setattr(dispatcher, name, parts[name])
        for name in INDEXED:
            getattr(dispatcher, name).restore(parts[name], dispatcher.now)
    except (ValueError, KeyError, TypeError, IndexError, AttributeError, struct.error) as error:
        raise ValueError(f"a state that cannot be read: {error!r}") from error
    return dispatcher


class _Writer:
    def __init__(self, most_values: float) -> None:
        self.fields: dict[str, list[str]] = {}  # of each type that was met
        self._left = most_values
        self._numbers: dict[int, int] = {}  # of the objects written, by identity

    def value(self, value: Any) -> Any:
        self._left -= 1
        if self._left < 0:
            raise TooLarge
        kind = type(value)
        if kind in PLAIN:
            return value
        if kind is float:
            return value if -math.inf < value < math.inf else str(value)
        if kind is dict:
            return ["d", *(self.value(part) for pair in value.items() for part in pair)]
        if kind in SERIES:
            return [SERIES[kind], *map(self.value, value)]
        if kind.__name__ in OBJECTS:
            return self._object(value, kind.__name__)
        if kind.__name__ in ENUMS:
            return [kind.__name__, value.value]
        if kind is random.Random:
            version, words, gauss = value.getstate()
            return ["random", version, base64.b64encode(WORDS.pack(*words)).decode(), gauss]
        raise TypeError(f"no way to write a {kind.__name__}")

    def _object(self, value: Any, name: str) -> Any:
        if id(value) in self._numbers:
            return ["#", self._numbers[id(value)]]
        self._numbers[id(value)] = len(self._numbers)
        if name not in self.fields:
            derived = getattr(value, "DERIVED", ())
            fields = getattr(value, "__slots__", None) or vars(value)
            self.fields[name] = [f for f in fields if f not in derived]
        return [name, *(self.value(getattr(value, field)) for field in self.fields[name])]


class _Reader:
    def __init__(self, fields: dict[str, list[str]]) -> None:
        self._fields = fields
        self._objects: list[Any] = []  # in the order in which they were written

    def value(self, value: Any) -> Any:
        if isinstance(value, str):
            return float(value)
        if not isinstance(value, list):
            return value
        tag, *rest = value
        if tag == "#":
            return self._objects[rest[0]]
        if tag == "random":
            return self._random(*rest)
        if tag in ENUMS:
            return ENUMS[tag](rest[0])
        if tag in OBJECTS:
            return self._object(tag, rest)
        parts = [self.value(part) for part in rest]
        if tag == "d":
            return dict(zip(parts[::2], parts[1::2], strict=True))
        return MAKERS[tag](parts)

    def _object(self, name: str, values: list[Any]) -> Any:
        kind = OBJECTS[name]
        made = object.__new__(kind)
        self._objects.append(made)  # before its parts, which may name it
        for field, value in zip(self._fields[name], values, strict=True):
            object.__setattr__(made, field, self.value(value))  # some are frozen
        return made

    def _random(self, version: int, words: str, gauss: float | None) -> random.Random:
        made = random.Random()
        made.setstate((version, WORDS.unpack(base64.b64decode(words)), gauss))
        return made
