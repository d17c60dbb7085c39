"""What executors and schedulers tell each other of maintenance, as MessagePack; fields may be appended.

A word names who speaks and which life of it, and the version of the operators' file. What can't be read is
None, and counted by the caller. Lines of kinds that are not known are skipped.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from flintfield.base.words import WordReader
from flintfield.escrow.interface import LINES as ESCROW_LINES, AskNet, Even, Give, Net, Took, Want

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Place = Annotated[int, Meta(ge=0, le=63)]
Life = Annotated[int, Meta(ge=0, le=2**62)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
MOST_BARS = 64  # standing at once, of all places: a word of a datagram has to hold them


class Bar(msgspec.Struct, frozen=True, array_like=True, gc=False, order=True):
    """One drain of one worker node: an episode, named by who ordered it first."""

    place: Place
    life: Life
    number: Count
    node: Name


class Orders(msgspec.Struct, frozen=True, array_like=True, tag=10, gc=False):
    """An executor to a scheduler: all its bars that stand, and those that are over and not known as such."""

    seq: Count
    standing: list[Bar]
    released: list[Bar]
    doubted: list[Name] = []  # nodes of which a new life has to know whether they serve


class Barred(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A bar at a scheduler, and how many of its jobs are still at that node."""

    bar: Bar
    open: Count


class Report(msgspec.Struct, frozen=True, array_like=True, tag=11, gc=False):
    """A scheduler to an executor: what it has taken in, and what it sees."""

    seq: Count  # of the last orders of that place's life that were taken in
    of: Life  # which life's
    grown: bool
    fences: dict[int, Life]  # the newest life of each place that was heard of
    bars: list[Barred]
    seen: list[Bar]  # over, and a job that began since ended well at its node
    leaving: bool = False  # it sends nothing any more, and ends
    lost: list[Name] = []  # nodes that it can't use though nobody barred them
    served: list[Name] = []  # of the doubted: a job began there since that life was heard of, and ended well


class AskBook(msgspec.Struct, frozen=True, array_like=True, tag=12, gc=False):
    """A scheduler that has just begun: what stands?"""

    nonce: Count


class Book(msgspec.Struct, frozen=True, array_like=True, tag=13, gc=False):
    """What stands, as the speaker knows it."""

    nonce: Count
    grown: bool  # a scheduler that knows all that is safe; an executor says False
    bars: list[Bar]
    fences: dict[int, Life]


class Bound(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An episode at its executor."""

    bar: Bar
    phase: Annotated[str, Meta(max_length=12)]


class Row(msgspec.Struct, frozen=True, array_like=True, tag=14, gc=False):
    """An executor to another: its episodes; for views and for who steps back, never for the law."""

    seq: Count
    bound: list[Bound]
    done: list[tuple[Name, Name]] = []  # some of the works, by name and node, that are known to be over


class Stale(msgspec.Struct, frozen=True, array_like=True, tag=15, gc=False):
    """There is a newer life of that place."""

    place: Place
    life: Life


class Off(msgspec.Struct, frozen=True, array_like=True, tag=16, gc=False):
    """An operator's word: that scheduler's process, up to that life, is off and sends nothing."""

    name: Name
    life: Life


Line = AskNet | Net | Give | Took | Want | Even | Orders | Report | AskBook | Book | Row | Stale | Off
ESCROW = ESCROW_LINES


class Word(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One datagram's content. `name` is the scheduler that speaks; an executor has "" there, and its
    place."""

    name: Annotated[str, Meta(max_length=64)]
    place: Place
    life: Life
    to: Life  # the life that it is for, as far as it is known, else 0
    version: Count  # of the operators' file
    lines: list[Line]


class _Loose(msgspec.Struct, frozen=True, array_like=True, gc=False):
    name: Annotated[str, Meta(max_length=64)]
    place: Place
    life: Life
    to: Life
    version: Count
    lines: Annotated[list[msgspec.Raw], Meta(max_length=64)]


_encoder = msgspec.msgpack.Encoder()
_reader: WordReader[Word] = WordReader(
    Word, _Loose, Line,
    lambda word, lines: Word(word.name, word.place, word.life, word.to, word.version, lines))
read = _reader.read
"""A word and how many of its lines were skipped; None if it is none."""


def write(word: Word) -> bytes:
    """For a datagram."""
    return _encoder.encode(word)
