"""What becomes of a word on its way from one instance to another: pure, and both ways apart.

Rules. All state is in `Net`: the conditions in force, and for each pair what it carries. `now` is handed in,
in ms; draws come from the generator handed in. A datagram is asked about twice: `datagram` says when it
would be handed on, `passes` in that instant whether it still is, so that a cut loses what is under way.

Conditions add up: any cut cuts; shares of loss are independent; delays are summed; the lowest rate counts.
Order of draws is fixed, so that the same words at the same times meet the same fate.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from flintfield.lab.fleet.plan import Between, Cut, Delay, Duplicate, Loss, Rate

Pair = tuple[str, str]
"""Sender and receiver."""

MOST_QUEUE_MS = 200.0  # a datagram that a slow link would hold longer is lost, as in a router's short queue
RESEND_MS = 200.0  # a stream's lost piece comes again after this: the least time-out of Linux's TCP


@dataclass(slots=True)
class Carried:
    """What one pair carried one way; bytes are those of payloads."""

    offered: int = 0  # datagrams
    passed: int = 0
    lost: int = 0
    bytes_passed: int = 0  # datagrams and streams
    stream_bytes: int = 0
    last_passed: float = float("-inf")


@dataclass(slots=True)
class Way:
    """All conditions of one pair, summed up."""

    cut: bool = False
    kept: float = 1.0  # the share that is not lost
    delays: list[tuple[float, float]] = field(default_factory=list)  # least, and jitter
    twice: list[tuple[float, float]] = field(default_factory=list)  # share, and within
    bytes_s: float = float("inf")


class Net:
    """The net between the instances of a trial."""

    def __init__(self, rng: random.Random, also: Callable[[str, str], bool] = lambda *_: True) -> None:
        """`also` tells whether the world's own network lets a word pass from one to the other."""
        self._rng, self._also = rng, also
        self._conditions: dict[int, tuple[frozenset[Pair], Between]] = {}
        self._ways: dict[Pair, Way] = {}
        self._free_at: dict[Pair, float] = defaultdict(float)  # when a slow link has sent what it holds
        self.carried: dict[Pair, Carried] = defaultdict(Carried)

    # ------------------------------------------------------------- conditions

    def begin(self, number: int, pairs: Iterable[Pair], fault: Between) -> None:
        """A fault begins for these pairs; `number` names it."""
        self._conditions[number] = (frozenset(pairs), fault)
        self._ways.clear()

    def over(self, number: int) -> None:
        """A fault is over."""
        self._conditions.pop(number, None)
        self._ways.clear()

    def _way(self, pair: Pair) -> Way:
        if (way := self._ways.get(pair)) is None:
            way = self._ways[pair] = Way()
            for _, (pairs, fault) in sorted(self._conditions.items()):
                if pair in pairs:
                    _add(way, fault)
        return way

    # ------------------------------------------------------------------ words

    def passes(self, sender: str, receiver: str) -> bool:
        """Whether anything passes in this instant."""
        return not self._way((sender, receiver)).cut and self._also(sender, receiver)

    def datagram(self, now: float, sender: str, receiver: str, size: int) -> list[float]:
        """When a datagram would be handed on: once, twice, or never."""
        pair = (sender, receiver)
        way, carried = self._way(pair), self.carried[pair]
        carried.offered += 1
        if not self.passes(sender, receiver) or (way.kept < 1 and self._rng.random() >= way.kept):
            carried.lost += 1
            return []
        at = self._sent(pair, way, now, size)
        if at - now > MOST_QUEUE_MS:
            self._free_at[pair] -= size / way.bytes_s * 1000.0
            carried.lost += 1
            return []
        times = [at + self._delay(way)]
        for share, within in way.twice:
            if self._rng.random() < share:
                times.append(times[0] + self._rng.uniform(0, within))
        return times

    def piece(self, now: float, sender: str, receiver: str, size: int) -> float:
        """When a stream's piece would be handed on, if nothing before it comes later."""
        pair = (sender, receiver)
        way = self._way(pair)
        at = self._sent(pair, way, now, size) + self._delay(way)
        if way.kept < 1 and self._rng.random() >= way.kept:
            at += RESEND_MS
        return at

    def handed_on(self, now: float, sender: str, receiver: str, size: int, stream: bool = False) -> None:
        """A word was handed to its receiver."""
        carried = self.carried[sender, receiver]
        carried.passed += not stream
        carried.bytes_passed += size
        carried.stream_bytes += size if stream else 0
        carried.last_passed = now

    def dropped(self, sender: str, receiver: str) -> None:
        """A datagram that was under way is lost in a cut."""
        self.carried[sender, receiver].lost += 1

    def _sent(self, pair: Pair, way: Way, now: float, size: int) -> float:
        """When the link has let out the last of so many bytes."""
        if way.bytes_s == float("inf"):
            return now
        self._free_at[pair] = max(now, self._free_at[pair]) + size / way.bytes_s * 1000.0
        return self._free_at[pair]

    def _delay(self, way: Way) -> float:
        return sum(least + (self._rng.uniform(0, jitter) if jitter else 0.0) for least, jitter in way.delays)


def _add(way: Way, fault: Between) -> None:
    match fault:
        case Cut():
            way.cut = True
        case Loss():
            way.kept *= 1 - fault.share
        case Delay():
            way.delays.append((fault.ms, fault.jitter_ms))
        case Duplicate():
            way.twice.append((fault.share, fault.within_ms))
        case Rate():
            way.bytes_s = min(way.bytes_s, fault.bytes_s)
