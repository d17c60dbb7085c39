"""Limits, and which part of one a configured place owns."""

from __future__ import annotations

import hashlib
import random
from dataclasses import dataclass, field
from functools import cache

from flintfield.sharing.rules import FLOOR


@dataclass(frozen=True, slots=True)
class Limit:
    """At most `rights` jobs in any `window_ms` of true time; a pool: at most so many at once, each for
    `window_ms` at the longest."""

    name: str
    rights: int
    window_ms: float = 1_000.0
    is_pool: bool = False
    floor: float = FLOOR  # the share of its part that a place never lends
    number: int = field(init=False)  # stands for the name in words

    def __post_init__(self) -> None:
        """Number it by its name."""
        digest = hashlib.blake2b(self.name.encode(), digest_size=4).digest()
        object.__setattr__(self, "number", int.from_bytes(digest, "big"))

    def part(self, place: int, places: int) -> int:
        """The rights that this place of so many owns. The parts of all places add up to `rights` (Hermite's
        identity), and each grows with `rights`; 0 for one that is no place."""
        if not 0 <= place < places:
            return 0
        return (self.rights + _ranks(self.name, places)[place]) // places

    def floor_of(self, part: int) -> int:
        """What a place with this part never lends."""
        return int(part * self.floor)


@cache
def _ranks(name: str, places: int) -> tuple[int, ...]:
    """A permutation by the limit's name: guards against one place having the odd right of every limit."""
    ranks = list(range(places))
    random.Random(f"{name}/{places}").shuffle(ranks)
    return tuple(ranks)
