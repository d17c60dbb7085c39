"""A digest of all that state machines hold, whatever their classes; generators and policies are left out."""

from __future__ import annotations

import enum
import functools
import random
import types
from collections import deque
from collections.abc import Mapping
from hashlib import blake2b
from typing import Any

from flintfield.simulation.world import World

_LEFT_OUT = (random.Random, World, types.ModuleType, type)
_PLAIN = (int, float, str, bytes, bool, type(None))


def fingerprint(value: Any) -> bytes:
    """The same for values that hold the same."""
    return blake2b(repr(_form(value, {})).encode(), digest_size=16).digest()


def _form(value: Any, seen: dict[int, int]) -> Any:
    if isinstance(value, enum.Enum):
        return value.name
    if isinstance(value, _PLAIN):
        return value
    if isinstance(value, _LEFT_OUT) or hasattr(value, "note_start"):
        return None
    if id(value) in seen:
        return ("again", seen[id(value)])
    seen[id(value)] = len(seen)
    if isinstance(value, functools.partial):
        return (_form(value.func, seen), _form(value.args, seen))
    if isinstance(value, types.MethodType):
        return value.__func__.__qualname__
    if isinstance(value, types.FunctionType | types.BuiltinFunctionType):
        return value.__qualname__
    if isinstance(value, Mapping):
        return [(_form(key, seen), _form(item, seen)) for key, item in value.items()]
    if isinstance(value, list | tuple | deque):
        return [_form(item, seen) for item in value]
    if isinstance(value, set | frozenset):
        return sorted(repr(_form(item, seen)) for item in value)
    return [type(value).__name__, [_form(item, seen) for item in _fields(value)]]


def _fields(value: Any) -> list[Any]:
    names = [name for kind in type(value).__mro__ for name in _slots(kind)]
    fields = [getattr(value, name) for name in names if hasattr(value, name)]
    return [*fields, *getattr(value, "__dict__", {}).values()]


def _slots(kind: type) -> tuple[str, ...]:
    slots: Any = kind.__dict__.get("__slots__", ())
    return (slots,) if isinstance(slots, str) else tuple(slots)
