"""The scheduler's side: which worker nodes are barred by plan, and what each executor is told of that.

Rules:

1. A bar stands until its release is heard from a life of its place that is the newest heard of. No clock ends
   one, and orders that leave one out end nothing.
2. Orders of a life older than the newest heard of are not taken in, and its speaker is told; nor are orders
   that were for a former life of ours.
3. A new life knows nothing. It asks who is there what stands, and is *grown* when one grown scheduler has
   answered, or all configured schedulers and places have. Until then it takes no orders in.
4. A release is a fact of its own: the node is used again, and a job that began since and ended well is told
   of.

Theory of operation. Orders are states, not changes: the newest says all, so lost and late words do no harm.
Why being grown is enough for what was told as safe stands in `settling.py`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, MutableMapping
from dataclasses import dataclass

from flintfield.maintenance.words import (
    MOST_BARS, AskBook, Bar, Barred, Book, Line, Orders, Report, Stale, Word,
)

ASK_MS = 300.0  # between two asks of a life that is not grown
REPORT_MS = 1_000.0  # a report is told at least so often to a place that is there


@dataclass(frozen=True, slots=True)
class Say:
    """Tell an executor (by place) or a scheduler (by name); it may be lost."""

    to: int | str
    word: Word


@dataclass(frozen=True, slots=True)
class BarredNow:
    """From now on these nodes are barred by plan; `back` were until now."""

    nodes: frozenset[str]
    back: frozenset[str]


Effect = Say | BarredNow


@dataclass(slots=True)
class Over:
    """A bar that was released: when, and whether its node was seen serving since."""

    at: float
    seen: bool = False


class Barring:
    """What one life of one scheduler knows."""

    def __init__(self, name: str, life: int, schedulers: Iterable[str], places: int, version: int,
                 counters: MutableMapping[str, int], open_at: Callable[[str], int]) -> None:
        """`schedulers`: all configured names; `open_at` tells how many of our jobs are at a node."""
        self.name, self.life, self.places, self.version = name, life, places, version
        self.others = frozenset(schedulers) - {name}
        self.counters, self.open_at = counters, open_at
        self.grown = False
        self.fences: dict[int, int] = {}
        self.seqs: dict[int, int] = {}  # the last orders taken in of that place's newest life
        self.bars: set[Bar] = set()
        self.over: dict[Bar, Over] = {}
        self.doubted: dict[int, frozenset[str]] = {}  # by place: of which its newest life has to know
        self.served: dict[int, set[str]] = {}  # of those, the nodes that were seen serving since
        self.heard_at: dict[int, float] = {}  # when that place's newest life was first heard of
        self.leaving = False
        self.lost: frozenset[str] = frozenset()  # nodes that we can't use: set by the shell
        self._answers: dict[int | str, tuple[int, frozenset[Bar]]] = {}  # while we are not grown
        self._asked_at = -ASK_MS
        self._nonce = 0

    @property
    def barred(self) -> frozenset[str]:
        """The nodes that get nothing new."""
        return frozenset(bar.node for bar in self.bars)

    # ------------------------------------------------------------ messages

    def hear(self, now: float, word: Word) -> list[Effect]:
        """A word of an executor or of another scheduler."""
        if word.version != self.version:
            self.counters["other_version"] += 1
            return []
        before, effects = self.barred, list[Effect]()
        for line in word.lines:
            match line:
                case Orders() if not word.name:
                    effects += self._orders(now, word, line)
                case AskBook():
                    to: int | str = word.name
                    book = Book(line.nonce, self.grown, sorted(self.bars), dict(self.fences))
                    effects.append(Say(to, self._word([book], word.life)))
                case Book() if word.to == self.life and line.nonce == self._nonce and not self.grown:
                    self._book(now, word, line)
                case Stale() if not word.name:
                    self._fence(now, line.place, line.life)
                case _:
                    pass  # for the executor of the same process
        return [*self._changed(before), *effects]

    def wake(self, now: float) -> list[Effect]:
        """Ask on, where we are not grown."""
        if self.grown or now - self._asked_at < ASK_MS:
            return []
        self._asked_at = now
        self._nonce += 1 if not self._nonce else 0  # one nonce for all asks: each answer is made after it
        ask = self._word([AskBook(self._nonce)], 0)
        return [*(Say(name, ask) for name in sorted(n for n in self.others if n not in self._answers)),
                *(Say(place, ask) for place in range(self.places) if place not in self._answers)]

    def ended_well(self, node: str, began: float) -> None:
        """A job that was sent to that node at `began` has ended well."""
        for bar, over in self.over.items():
            if bar.node == node and began > over.at:
                over.seen = True
        for place, nodes in self.doubted.items():
            if node in nodes and began > self.heard_at[place]:
                self.served[place].add(node)

    def report(self, place: int) -> Say:
        """What that place is to be told now."""
        bars = [Barred(bar, self.open_at(bar.node)) for bar in sorted(self.bars)]
        seen = sorted(bar for bar, over in self.over.items() if over.seen and bar.place == place)
        return Say(place, self._word([Report(
            self.seqs.get(place, 0), self.fences.get(place, 0), self.grown, dict(self.fences), bars, seen,
            self.leaving, sorted(self.lost)[:MOST_BARS],
            sorted(self.served.get(place, set()) & self.doubted.get(place, frozenset())))],
            self.fences.get(place, 0)))

    # ------------------------------------------------------------ what they do

    def _fence(self, now: float, place: int, life: int) -> None:
        if life > self.fences.get(place, 0):
            self.fences[place], self.seqs[place], self.heard_at[place] = life, 0, now
            self.doubted[place], self.served[place] = frozenset(), set()

    def _orders(self, now: float, word: Word, orders: Orders) -> list[Effect]:
        place = word.place
        if word.life < self.fences.get(place, 0):
            self.counters["stale_orders"] += 1
            return [Say(place, self._word([Stale(place, self.fences[place])], word.life))]
        if not self.grown or word.to != self.life:
            # Guards against old orders: of a life that we don't know to be over, or to a former life of ours,
            # whose numbers we have forgotten. The report tells the executor of our life.
            return [self.report(place)]
        self._fence(now, place, word.life)
        if orders.seq <= self.seqs[place]:
            return []  # late or doubled: what came since says more
        if len(orders.standing) + len(self.bars) > 2 * MOST_BARS:
            self.counters["too_many"] += 1
            return []
        self.seqs[place] = orders.seq
        released = set(orders.released)
        self.bars = (self.bars | set(orders.standing)) - released
        for bar in released:
            self.over.setdefault(bar, Over(now))
        for bar in [b for b in self.over if b.place == place and b not in released]:
            del self.over[bar]  # its executor has heard all that it needs
        self.doubted[place] = frozenset(orders.doubted)
        return [self.report(place)]

    def _book(self, now: float, word: Word, book: Book) -> None:
        if not word.name:
            self._fence(now, word.place, word.life)
        for place, life in book.fences.items():
            self._fence(now, place, life)
        if word.name and book.grown:
            # It knows all that was told as safe, and what is over. A place's own word is not added to that:
            # it may be a former life's, which knows of no release.
            self.bars, self.grown = set(book.bars), True
            return
        self._answers[word.name or word.place] = (word.life, frozenset(book.bars))
        if self.others | set(range(self.places)) <= self._answers.keys():
            self.bars = {bar for who, (life, bars) in self._answers.items() for bar in bars
                         if isinstance(who, str) or life >= self.fences.get(who, 0)}
            self.grown = True

    def _changed(self, before: frozenset[str]) -> list[Effect]:
        now = self.barred
        return [BarredNow(now, before - now)] if now != before else []

    def _word(self, lines: list[Line], to: int) -> Word:
        return Word(self.name, 0, self.life, to, self.version, lines)
