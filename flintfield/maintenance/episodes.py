"""What an executor remembers: episodes, what was heard, and what follows from that alone."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, MutableMapping
from dataclasses import dataclass

from flintfield.escrow.interface import Account, Pool, Units, Want
from flintfield.maintenance.barring import Say
from flintfield.maintenance.settling import Echo, Settling
from flintfield.maintenance.words import Bar, Bound, Line, Report, Word

DRIFT = 1.02  # a clock runs within this of true time (`sharing/rules.py`)
FRESH_MS = 3_000.0  # a bar is safe while all schedulers confirmed orders sent within this
TICK_MS = 250.0  # between two tellings while anything is open
STEADY_MS = 5_000.0  # after a loss nothing begins for so long: a node that comes and goes drains nothing anew
DONE_TOLD = 8  # works that are over, told at once
SEEN_MS = 5_000.0  # a report older than this says nothing on which nodes are lost
DOUBTED_TOLD = 24  # nodes in doubt that are asked of at once, so that the orders fit a datagram


@dataclass(frozen=True, slots=True)
class Noted:
    """Something that operators should know; `values` in pairs."""

    event: str
    values: tuple[tuple[str, object], ...] = ()


Effect = Say | Noted


@dataclass(frozen=True, slots=True)
class Wanted:
    """A node that is to be taken out as soon as it may; the order in the plan is `rank`, lowest first."""

    node: str
    work: str
    rank: int


@dataclass(slots=True)
class Episode:
    """One drain."""

    bar: Bar
    work: str
    units: Units
    settling: Settling
    began: float
    phase: str = "draining"  # draining, safe, returning
    why: str = ""  # it is on its way back
    seen: bool = False  # serving, since it was released
    adopted: bool = False  # of a former life: it may have been called safe


@dataclass(slots=True)
class Heard:
    """The last report of a scheduler."""

    report: Report
    at: float
    life: int


@dataclass(slots=True)
class Told:
    """What another place tells of its episodes."""

    seq: int
    life: int
    bound: tuple[Bound, ...]
    at: float


def key_of(bar: Bar) -> str:
    """What units are bound to."""
    return f"{bar.place}/{bar.life}/{bar.number}/{bar.node}"


class Knowing:
    """One life of one place: what it knows."""

    def __init__(self, place: int, places: int, life: int, version: int, schedulers: Iterable[str],
                 pools: Iterable[Pool], weights: Mapping[str, Units],
                 counters: MutableMapping[str, int], longest_ms: float) -> None:
        """`weights`: the units, by pool, that each node costs while it is out; `longest_ms`: how long a job
        may be in work at a node after its scheduler is gone."""
        self.place, self.places, self.life, self.version = place, places, life, version
        self.schedulers = frozenset(schedulers)
        self.weights, self.counters, self.longest_ms = weights, counters, longest_ms
        self.account = Account(place, places, life, pools, counters)
        self.account.sealed = False  # by the schedulers, too, where there is one place
        self.ended = False
        self.episodes: dict[Bar, Episode] = {}
        self.echoes: dict[str, Echo] = {}
        self.heard: dict[str, Heard] = {}
        self.sent_at: dict[int, float] = {}  # when orders of that number were first sent
        self.off: dict[str, int] = {}  # by an operator's word or their own: lives that send nothing any more
        self.others: dict[int, Told] = {}
        self.doubt: set[str] = set(weights)
        self.changed_at: dict[str, float] = {}  # when another life of that scheduler was first heard of
        self.fence = Settling(1)
        self.seq = 0
        self.numbers = 0
        self.wanted: tuple[Wanted, ...] = ()
        self.held = False
        self.done: set[tuple[str, str]] = set()  # works and nodes that are over, here or elsewhere
        self.pressed_at = -STEADY_MS  # when a drain was last called off for a loss
        self.sealed_at = 0.0
        self.wants: Want | None = None
        self._ticked = -TICK_MS

    # ------------------------------------------------------------ what is known

    @property
    def ready(self) -> bool:
        """We may take nodes out."""
        return self.account.whole and not self.ended

    @property
    def needed(self) -> list[str]:
        """The schedulers that could send something."""
        return sorted(n for n in self.schedulers if n not in self.off)

    def unconfirmed(self, now: float) -> list[str]:
        """Schedulers that have confirmed nothing that we sent within `FRESH_MS`."""
        return [n for n in self.needed if (echo := self.echoes.get(n)) is None
                or now - self.sent_at.get(echo.seq, -FRESH_MS) >= FRESH_MS]

    def is_safe(self, now: float, episode: Episode) -> bool:
        """Whether the node may be touched now."""
        return episode.phase == "safe" and not self.ended and not self.unconfirmed(now)

    def lost(self, now: float) -> frozenset[str]:
        """Nodes that more than half of the schedulers heard of late can't use, though nobody barred them."""
        fresh = [h.report for h in self.heard.values() if now - h.at < SEEN_MS]
        counts: dict[str, int] = {}
        for report in fresh:
            for node in report.lost:
                counts[node] = counts.get(node, 0) + 1
        return frozenset(n for n, count in counts.items() if 2 * count > len(fresh) and n in self.weights)

    def _out(self) -> dict[str, str]:
        """All nodes that are out by plan as far as known, and the phase."""
        found = {b.bar.node: b.phase for told in self.others.values() for b in told.bound}
        return found | {e.bar.node: e.phase for e in self.episodes.values()}

    def _word(self, lines: list[Line], to: int) -> Word:
        return Word("", self.place, self.life, to, self.version, lines)

    def _said(self, episode: Episode) -> tuple[tuple[str, object], ...]:
        said: list[tuple[str, object]] = [("node", episode.bar.node), ("number", episode.bar.number)]
        if episode.work:
            said.append(("work", episode.work))
        if episode.why:
            said.append(("why", episode.why))
        return tuple(said)

    def _return(self, now: float, episode: Episode, why: str) -> None:
        episode.phase, episode.why = "returning", why
        episode.settling = Settling(self.seq + 1)
