"""What a member keeps of who hears whom; ways.py has the rules."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from flintfield.membership.messages import Row


@dataclass(slots=True)
class Told:
    """A member's row, and when it came (ms on our own clock)."""

    row: Row
    at: float


@dataclass(slots=True)
class Ways:
    """What is known of who hears whom."""

    number: int = 0  # of the last survey
    began: float = float("-inf")  # when we last took part in one
    version: int = 0  # of our own row
    shut: frozenset[str] = frozenset()  # members that we do not hear, by our last look
    looked_at: float = float("-inf")
    told_at: float = float("-inf")
    same: deque[int] = field(default_factory=lambda: deque(maxlen=32))  # numbers of surveys heard of
    wanted: bool = False  # a shut way was found too soon after the last survey
    quiet: int = 0  # surveys in a row that changed nothing for us
    rows: dict[str, Told] = field(default_factory=dict)
    takes_part: set[int] = field(default_factory=set)  # sessions that are known to know surveys
