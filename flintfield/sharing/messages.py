"""What the core of sharing is told (messages) and what it asks for (effects): plain values, no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.sharing.limits import Limit
from flintfield.sharing.words import Word


@dataclass(frozen=True, slots=True)
class Heard:
    """A word of another instance has come."""

    word: Word


@dataclass(frozen=True, slots=True)
class Woke:
    """The clock reached `next_at`."""


@dataclass(frozen=True, slots=True)
class Present:
    """These places are believed to be there, ourselves not among them: they may be asked."""

    places: frozenset[int]


@dataclass(frozen=True, slots=True)
class Configured:
    """The limits, and the number of configured places, from now on."""

    limits: tuple[Limit, ...]
    places: int


@dataclass(frozen=True, slots=True)
class Slept:
    """The machine was suspended, and our clock did not count it: begin as a new life would."""


Message = Heard | Woke | Present | Configured | Slept


@dataclass(frozen=True, slots=True)
class Say:
    """Send this word to that place; it may be lost."""

    place: int
    word: Word


@dataclass(frozen=True, slots=True)
class Noted:
    """Something that operators should know; `values` in pairs."""

    event: str
    values: tuple[tuple[str, object], ...] = ()


Effect = Say | Noted
