"""Checkpoints: the whole state of a dispatcher as plain JSON values, and back, with identical behaviour.

Jobs, attempts and workers refer to each other. The first occurrence of an object is written out and later
ones refer to it by number, so that object identity is preserved. Only the types listed here are read back.

In JSON a list begins with its tag: `l` list, `t` tuple, `q` deque, `d` dict (keys and values alternating),
`#` an object that was written before, else the type's name and its fields. A string stands for a float that
JSON cannot represent.
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
from flintfield.decision.discovery_schedule import Asking
from flintfield.decision.operator_overrides import Hands
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
NOT_STORED = frozenset({"settings", "handlers", "actions", "workers"})  # set by the constructor, not stored
SELF_RESTORING = ("checks", "fleet")  # store a part and rebuild their indices; restored after all others
# Version of the state's layout. 6 lacked the time of the call to discovery; 5 lacked pushed lists; 4 lacked
# client patience; 3 lacked workers out by hand; 2 called discovery at a fixed interval; 1 had no version
# number: it had no fleet, and found the jobs to check by a full scan.
VERSION = 7
WORDS = struct.Struct("<625I")  # the random generator's state


class TooLarge(Exception):
    """The state has more values than were allowed."""


def save(dispatcher: Dispatcher, most_values: float = math.inf) -> dict[str, Any]:
    """The state between two events; raises `TooLarge` once it exceeds `most_values` values."""
    writer = _Writer(most_values)
    state = {name: writer.value(v.kept() if name in SELF_RESTORING else v)
             for name, v in vars(dispatcher).items() if name not in NOT_STORED}
    return {"version": VERSION, "fields": writer.fields, "state": state}


def restore(settings: Settings, saved: dict[str, Any]) -> Dispatcher:
    """A dispatcher in the saved state; raises ValueError if it is malformed or of another version."""
    dispatcher = Dispatcher(settings, 0)
    names = set(vars(dispatcher)) - NOT_STORED
    if (version := saved.get("version", 1)) != VERSION:
        raise ValueError(f"the state has version {version!r}, expected {VERSION}: only the program version "
                         "that wrote it can restore it")
    try:
        reader = _Reader(saved["fields"])
        if names != set(saved["state"]):
            raise ValueError("the fields are not those of a dispatcher")
        parts = {name: reader.value(value) for name, value in saved["state"].items()}
        for name in names.difference(SELF_RESTORING):
            setattr(dispatcher, name, parts[name])
        for name in SELF_RESTORING:
            getattr(dispatcher, name).restore(parts[name], dispatcher.now)
    except (ValueError, KeyError, TypeError, IndexError, AttributeError, struct.error) as error:
        raise ValueError(f"the state cannot be read: {error!r}") from error
    return dispatcher


class _Writer:
    def __init__(self, most_values: float) -> None:
        self.fields: dict[str, list[str]] = {}  # field names by type, of the types written so far
        self._left = most_values
        self._numbers: dict[int, int] = {}  # numbers of the objects written, by identity

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
        raise TypeError(f"cannot write a value of type {kind.__name__}")

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
        self._objects: list[Any] = []  # in the order written

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
        self._objects.append(made)  # before its fields are read, since they may refer to it
        for field, value in zip(self._fields[name], values, strict=True):
            object.__setattr__(made, field, self.value(value))  # some classes are frozen
        return made

    def _random(self, version: int, words: str, gauss: float | None) -> random.Random:
        made = random.Random()
        made.setstate((version, WORDS.unpack(base64.b64decode(words)), gauss))
        return made
