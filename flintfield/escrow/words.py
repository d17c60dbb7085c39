"""What two places tell each other of units, as MessagePack arrays; fields may be appended.

Lines are of one pair of lives: the word around them names the speaker's life and the life that it is for.
`AskNet` alone may go to a life that is not known yet.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Count = Annotated[int, Meta(ge=0, le=2**40)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]


class AskNet(msgspec.Struct, frozen=True, array_like=True, tag=1, gc=False):
    """I have forgotten everything: what did you give to my place, less what you took, before this life?"""


class Net(msgspec.Struct, frozen=True, array_like=True, tag=2, gc=False):
    """By pool: what your place's earlier lives had from us, less what we had from them. May be negative."""

    had: dict[Name, Annotated[int, Meta(ge=-(2**40), le=2**40)]]


class Give(msgspec.Struct, frozen=True, array_like=True, tag=3, gc=False):
    """By pool: all that this life has given to that life so far; told again until it is told as taken."""

    total: dict[Name, Count]


class Took(msgspec.Struct, frozen=True, array_like=True, tag=4, gc=False):
    """By pool: all that this life has taken from that one so far."""

    total: dict[Name, Count]


class Want(msgspec.Struct, frozen=True, array_like=True, tag=5, gc=False):
    """So many units by pool are missing here for something of this rank; lower goes first."""

    units: dict[Name, Count]
    rank: Count


class Even(msgspec.Struct, frozen=True, array_like=True, tag=6, gc=False):
    """I have forgotten what passed between us, as you have, and know all else: so much I lack for what I
    have bound and given on; you must have given it. `alone`: of nobody else have I forgotten that."""

    lacks: dict[Name, Count] = {}
    alone: bool = False


Line = AskNet | Net | Give | Took | Want | Even
LINES = (AskNet, Net, Give, Took, Want, Even)
