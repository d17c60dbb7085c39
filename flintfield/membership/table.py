"""The members as one of them believes them to be: entries, counts, the order of probes and random picks."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterator

from flintfield.membership.messages import Known, Record, Status
from flintfield.membership.paths import Path
from flintfield.membership.rules import MOST_MEMBERS

FEW = 16  # members, up to which random picks go through them all
MOST_LATELY_DEAD = 64  # members that are still gossiped to


class Suspicion:
    """Who says that a member does not answer, and when that will do."""

    __slots__ = ("asked", "began", "ends", "n", "voices")

    def __init__(self, began: float, ends: float, n: int, by: str) -> None:
        self.began, self.ends, self.n = began, ends, n
        self.voices = {by}
        self.asked = False  # once more, before the end

    @property
    def confirmed(self) -> int:
        """How many have said so after the first."""
        return len(self.voices) - 1


class Entry:
    """What is believed of one member. `incarnation` is the one spoken of; the record may be older."""

    __slots__ = (
        "changes",
        "in_ring",
        "incarnation",
        "keep_until",
        "path",
        "reason",
        "rechecks",
        "record",
        "since",
        "status",
        "suspicion",
    )

    def __init__(self, record: Record, incarnation: int, status: Status, since: float, reason: str) -> None:
        self.record, self.incarnation, self.status = record, incarnation, status
        self.since, self.reason = since, reason
        self.suspicion: Suspicion | None = None
        self.keep_until = 0.0  # of one that is gone
        self.in_ring = False
        self.changes = 0  # between being there and gone, since it is known
        self.path = Path()
        self.rechecks = 0  # since it is held for dead

    @property
    def live(self) -> bool:
        """Whether it is believed to be there, be it under suspicion."""
        return self.status <= Status.SUSPECT


class Table:
    """All entries, oneself among them; at most MOST_MEMBERS."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.entries: dict[str, Entry] = {}
        self.sessions: dict[int, str] = {}
        self.live = 0  # entries believed to be there, oneself included
        self._ring: list[str] = []  # the order of probes; gone ones fall out when it is gone through
        self._next = 0
        self.lately_dead: deque[str] = deque(maxlen=MOST_LATELY_DEAD)

    def __len__(self) -> int:
        return len(self.entries)

    def get(self, name: str) -> Entry | None:
        """The member of that name."""
        return self.entries.get(name)

    def of_session(self, session: int) -> Entry | None:
        """The member that speaks under this session."""
        return self.entries.get(self.sessions.get(session, ""))

    def add(self, entry: Entry) -> bool:
        """Take a new member in; False where the table is full of live ones."""
        if len(self.entries) >= MOST_MEMBERS:
            oldest = min((e for e in self.entries.values() if not e.live), default=None,
                         key=lambda e: e.keep_until)
            if oldest is None or not entry.live:
                return False
            self.remove(oldest.record.name)
        self.entries[entry.record.name] = entry
        self.sessions[entry.record.session] = entry.record.name
        if entry.live:
            self.live += 1
            self._enter_ring(entry)
        return True

    def remove(self, name: str) -> None:
        """Forget a member."""
        entry = self.entries.pop(name)
        self._forget_session(entry.record)
        self.live -= entry.live

    def set_record(self, entry: Entry, record: Record) -> None:
        """A member told something new of itself."""
        self._forget_session(entry.record)
        if record.session != entry.record.session:
            entry.path = Path()
        entry.record = record
        self.sessions[record.session] = record.name

    def _forget_session(self, record: Record) -> None:
        # Guards against a member that took another name: its session stands for the new one by now.
        if self.sessions.get(record.session) == record.name:
            del self.sessions[record.session]

    def set_status(self, entry: Entry, status: Status, now: float, reason: str) -> None:
        """Believe something else of a member."""
        was = entry.live
        entry.status, entry.since, entry.reason = status, now, reason
        entry.suspicion = None
        if entry.live != was:
            self.live += 1 if entry.live else -1
            entry.changes += 1
            if entry.live:
                self._enter_ring(entry)
            elif status is Status.DEAD:
                entry.rechecks = 0
                self.lately_dead.append(entry.record.name)

    # ------------------------------------------------------------ picks

    def _enter_ring(self, entry: Entry) -> None:
        """At a random place [SWIM 4.3]: the bound on the time to the first probe holds for newcomers too."""
        if entry.in_ring:
            return
        entry.in_ring = True
        ring, at = self._ring, self._rng.randrange(len(self._ring) + 1)
        ring.append(entry.record.name)
        ring[at], ring[-1] = ring[-1], ring[at]

    def next_target(self, me: str) -> Entry | None:
        """The member to probe now: round robin over a random order that is drawn anew each round."""
        for _ in range(len(self._ring) + 1):
            if self._next >= len(self._ring):
                self._shuffle()
                if not self._ring:
                    return None
            name = self._ring[self._next]
            self._next += 1
            entry = self.entries.get(name)
            if entry and entry.live and name != me:
                return entry
        return None

    def _shuffle(self) -> None:
        for name in self._ring:
            if (entry := self.entries.get(name)) and not entry.live:
                entry.in_ring = False
        self._ring = list(dict.fromkeys(n for n in self._ring if (e := self.entries.get(n)) and e.live))
        self._rng.shuffle(self._ring)
        self._next = 0

    def pick(self, count: int, suits: Callable[[Entry], bool]) -> list[Entry]:
        """Up to so many different live members that suit, at random."""
        if len(self._ring) <= FEW:
            suited = [e for e in map(self.entries.get, self._ring) if e and e.live and suits(e)]
            return self._rng.sample(suited, min(count, len(suited)))
        picked: dict[str, Entry] = {}
        for _ in range(4 * count + 8):
            name = self._ring[self._rng.randrange(len(self._ring))]
            entry = self.entries.get(name)
            if entry and entry.live and name not in picked and suits(entry):
                picked[name] = entry
                if len(picked) == count:
                    break
        return list(picked.values())

    def pick_lately_dead(self, since: float) -> Entry | None:
        """A member held for dead since then or later, at random."""
        if not self.lately_dead:
            return None
        entry = self.entries.get(self._rng.choice(self.lately_dead))
        return entry if entry and entry.status is Status.DEAD and entry.since >= since else None

    def gone(self) -> Iterator[Entry]:
        """Those that are remembered as gone."""
        return (e for e in self.entries.values() if not e.live)

    def lines(self, me: str, now: float) -> tuple[Known, ...]:
        """The whole table for another member; the first line is our own."""
        others = (_line(e, now) for name, e in self.entries.items() if name != me)
        return (_line(self.entries[me], now), *others)


def _line(entry: Entry, now: float) -> Known:
    keep_ms = 0.0 if entry.live else max(0.0, entry.keep_until - now)
    return Known(entry.record, entry.incarnation, int(entry.status), keep_ms)
