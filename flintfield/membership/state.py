"""What one member remembers, and one turn of the core: its time, its effects, its timers. Only the core
writes."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from flintfield.membership.gossip import Gossip
from flintfield.membership.messages import (
    WORDS, Address, Changed, Effect, Noted, Part, Record, Send, Status, Update, size_of,
)
from flintfield.membership.paths import Path
from flintfield.membership.rules import MOST_DATAGRAM, SEALING, Rules
from flintfield.membership.rows import Ways
from flintfield.membership.table import Entry, Table


ROUNDING_MS = 1e-3  # guards against a timer that is due in real time and, by a rounding, not in ours


class Counts(Protocol):
    """Counters by name; one that is missing is 0."""

    def __getitem__(self, name: str, /) -> int:
        """How often."""

    def __setitem__(self, name: str, count: int, /) -> None:
        """Count."""


class Timers:
    """What is to happen when, soonest first; those of one moment ring in the order they were set."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, str, object]] = []
        self._count = 0

    def __len__(self) -> int:
        return len(self._heap)

    def set(self, at: float, what: str, about: object = None) -> None:
        """Add a timer."""
        self._count += 1
        heapq.heappush(self._heap, (at, self._count, what, about))

    def next_at(self) -> float | None:
        """When the first one rings."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> tuple[str, object] | None:
        """Take the first one that has come due."""
        return heapq.heappop(self._heap)[2:] if self._heap and self._heap[0][0] <= now else None


@dataclass(slots=True)
class Clock:
    """Our own time: it stands still while we were stopped, and goes on where the clock was set back."""

    slept: float = 0.0  # ms in all in which we were stopped, less those by which the clock was set back
    now: float = float("-inf")

    def advance(self, real: float, due: float | None, stall_ms: float | None) -> float:
        """Move on to the real time; how long we were stopped, as a timer that rings too late proves."""
        at = real - self.slept
        if at < self.now:
            self.slept, at = real - self.now, self.now
        if due is not None and at < due <= at + ROUNDING_MS:
            at = due
        late = at - due if due is not None and stall_ms is not None else 0.0
        if stall_ms is None or late <= stall_ms:
            self.now = at
            return 0.0
        self.slept += late
        self.now = max(self.now, at - late)
        return late


@dataclass(slots=True)
class Health:
    """[LG IV-A] How much we trust ourselves: 0 is well; each point stretches our probes by one more time."""

    worst: int
    score: int = 0

    def note(self, points: int) -> None:
        """Better (negative) or worse."""
        self.score = min(self.worst, max(0, self.score + points))

    @property
    def stretch(self) -> float:
        """What probe interval and time-out are multiplied by."""
        return self.score + 1.0


@dataclass(slots=True)
class Probe:
    """The probe that is out."""

    number: int
    entry: Entry
    session: int
    began: float
    rounds: int = 0  # of helpers that were asked
    asked: int = 0  # helpers that owe us a word
    nacks: int = 0
    helpers: set[str] = field(default_factory=set)  # that were asked
    proofs: set[int] = field(default_factory=set)  # sessions that answered a word of this probe


@dataclass(slots=True)
class Check:
    """A target that answered a helper, and not us: is our way shut?"""

    entry: Entry
    session: int
    left: int  # pings still to be sent


@dataclass(frozen=True, slots=True)
class Relay:
    """A probe that we make for another member."""

    origin: Address
    session: int
    number: int
    target: int = 0  # its session


@dataclass(slots=True)
class Namesake:
    """Another session that claims our name and may be alive."""

    record: Record
    number: int
    tries: int = 1


@dataclass(slots=True)
class Meeting:
    """How we find others whom gossip does not lead to."""

    seeds: Sequence[Address]
    joined: bool = False
    tries: int = 0
    next_seed: int = 0
    next_gone: int = 0
    last_word: str = ""  # why an exchange failed
    last_astray: float = float("-inf")  # when we last told one that it went astray, or heard so
    unknown_asked_at: float = float("-inf")  # when we last asked a member that we did not know for its table
    told_of_death_at: float = float("-inf")  # when we last told one that we hold it for dead


@dataclass(slots=True)
class Own:
    """Ourselves."""

    record: Record
    first_name: str
    former: dict[int, float] = field(default_factory=dict)  # sessions that are still answered to: until when
    namesake: Namesake | None = None
    leaving: bool = False
    meta: bytes | None = None  # waits to be told
    meta_told: float = float("-inf")


@dataclass(slots=True)
class Standing:
    """Whether we hear and are heard, and since when (ms on our own clock); standing.py has the rules."""

    word: str = "well"  # or `unheard`, `isolated`
    since: float = 0.0
    heard_at: float = float("-inf")  # a word of anybody's reached us
    proved_at: float = float("-inf")  # an answer to a word of ours did
    unproved: int = 0  # probes begun since then

    @property
    def well(self) -> bool:
        """Whether we may judge others."""
        return self.word == "well"


class State:
    """One member's memory."""

    def __init__(self, rules: Rules, record: Record, seeds: Sequence[Address], rng: random.Random,
                 counters: Counts | None = None) -> None:
        self.rules, self.rng = rules, rng
        self.own = Own(record, record.name)
        self.table = Table(rng)
        self.gossip = Gossip()
        self.gossiping = False  # a gossip tick is to come
        self.timers = Timers()
        self.clock = Clock()
        self.health = Health(rules.worst_health)
        self.standing = Standing()
        self.ways = Ways()
        self.usual = Path()  # the round trips of all direct answers, for ways that are not measured yet
        self.checks: dict[int, Check] = {}
        self.probe: Probe | None = None
        self.relays: dict[int, Relay] = {}
        self.numbers = rng.randrange(1 << 31)  # of probes; a random start tells lives of one process apart
        self.meeting = Meeting(seeds)
        self.counters: Counts = Counter() if counters is None else counters

    def next_at(self) -> float | None:
        """The real time at which the core wants to be woken."""
        at = self.timers.next_at()
        return None if at is None else at + self.clock.slept

    @property
    def period_ms(self) -> float:
        """The protocol's period now. Who may not judge takes no more time for it: others are to hear it."""
        return self.rules.probe_ms * (self.health.stretch if self.standing.well else 1.0)

    @property
    def name(self) -> str:
        """Our name, as it now is."""
        return self.own.record.name


class Turn:
    """One step of the core: where it stands in time, and the effects so far."""

    __slots__ = ("effects", "now", "state")

    def __init__(self, state: State, now: float) -> None:
        self.state, self.now = state, now
        self.effects: list[Effect] = []

    def emit(self, effect: Effect) -> None:
        """Ask for this."""
        self.effects.append(effect)

    def count(self, name: str) -> None:
        """Count it."""
        self.state.counters[name] += 1

    def note(self, event: str, **values: object) -> None:
        """Tell the operators."""
        self.emit(Noted(event, tuple(values.items())))

    def after(self, ms: float, what: str, about: object = None) -> None:
        """Set a timer."""
        self.state.timers.set(self.now + ms, what, about)

    def number(self) -> int:
        """A number that no probe of ours had lately."""
        self.state.numbers = (self.state.numbers + 1) & 0xFFFFFFFF
        return self.state.numbers

    def send(self, address: Address, to: int, *lead: Part) -> None:
        """Send these, and what gossip fits in beside them."""
        room = MOST_DATAGRAM - SEALING - sum(map(size_of, lead))
        state = self.state
        riding = state.gossip.take(room, state.rules.transmits(state.table.live)) if len(state.gossip) else []
        self.emit(Send(address, to, (*lead, *riding)))

    def tell(self, name: str, update: Update) -> None:
        """Gossip this of a member."""
        state = self.state
        state.gossip.put(name, update)
        if not state.gossiping:
            state.gossiping = True
            self.after(state.rules.gossip_ms * state.rng.uniform(0.1, 1.0), "gossip")

    def believe(self, entry: Entry, status: Status, reason: str) -> None:
        """Believe something else of a member, and say so."""
        before = entry.status
        self.state.table.set_status(entry, status, self.now, reason)
        if not entry.live:
            keep_ms = self.state.rules.tombstone_keep_ms(self.state.table.live)
            entry.keep_until = self.now + keep_ms
            self.after(keep_ms, "forget", entry)
        self.emit(Changed(entry.record, before, status, reason))
        self.count(f"changes.{WORDS[status]}")
