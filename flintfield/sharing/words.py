"""What instances tell each other of their rights, as MessagePack: small arrays, each with a tag.

A word carries who speaks (its place among how many configured ones) and which life of it; times in it are on
one clock, whose it is stands beside the field. A field may be appended to any array and a new kind of line
added: who does not know it skips it (as `wire/membership/codec.py`). What can't be read is None, and counted
by the caller.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from flintfield.base.words import WordReader

from flintfield.sharing.rules import MOST_PLACES, MOST_RIGHTS

Rights = Annotated[int, Meta(ge=0, le=MOST_RIGHTS)]
Place = Annotated[int, Meta(ge=0, le=MOST_PLACES)]
Number = Annotated[int, Meta(ge=0, le=2**62)]
Clock = Annotated[int, Meta(ge=0, le=2**53)]
Key = Annotated[int, Meta(ge=0, le=2**32 - 1)]


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=1, gc=False):
    """Lend me so many of your rights. It also tells what is true of the lease that is held (`Book.lower`)."""

    limit: Key
    asked_at: Clock  # ms of the asker's life
    want: Rights  # in all, of this owner
    number: Number = 0  # of the newest lease held from this owner
    keep: Rights = 0  # what the asker goes on using of it
    occupied: Rights = 0


class Grant(msgspec.Struct, frozen=True, array_like=True, tag=2, gc=False):
    """A lease, which replaces the one before; with n = 0, none."""

    limit: Key
    asked_at: Clock  # of the ask that it answers: ms of the asker's life
    number: Number
    n: Rights
    valid_ms: Annotated[int, Meta(ge=0, le=600_000)]  # from `asked_at`, on the asker's clock


class Stale(msgspec.Struct, frozen=True, array_like=True, tag=3, gc=False):
    """There is a newer life of that place."""

    place: Place
    life: Number


class Tally(msgspec.Struct, frozen=True, array_like=True, tag=5, gc=False):
    """The speaker's counts add up to `total`: who has so much of them has them all as of `stamp`."""

    stamp: Clock  # ms of the speaker's life
    total: Annotated[int, Meta(ge=0, le=2**62)]  # over the windows that it tells of
    echo: Clock = 0  # the newest stamp that it heard of the one it speaks to: ms of that one's life
    echo_life: Number = 0  # which life's


class Used(msgspec.Struct, frozen=True, array_like=True, tag=4, gc=False):
    """The speaker's use of a limit in a window of the wall clock: so many spends since the window began."""

    limit: Key
    window: Number  # the window's start in Unix ms / its length
    count: Rights


Line = Ask | Grant | Stale | Used | Tally


class Word(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One datagram's content."""

    place: Place
    life: Number
    places: Place  # that the speaker was configured with
    to: Number  # the life that it is for, as far as the speaker knows it, else 0
    lines: list[Line]


class _Loose(msgspec.Struct, frozen=True, array_like=True, gc=False):
    place: Place
    life: Number
    places: Place
    to: Number
    lines: Annotated[list[msgspec.Raw], Meta(max_length=256)]


_encoder = msgspec.msgpack.Encoder()
_reader: WordReader[Word] = WordReader(
    Word, _Loose, Line,
    lambda word, lines: Word(word.place, word.life, word.places, word.to, lines))
read = _reader.read
"""A word and how many of its lines were skipped; None if it is none."""


def write(word: Word) -> bytes:
    """For a datagram."""
    return _encoder.encode(word)
