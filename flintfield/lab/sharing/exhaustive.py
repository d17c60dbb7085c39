"""Small histories, all of them: three instances, two limits, and all that can befall them up to a depth.

`python -m flintfield.lab.sharing.exhaustive DEPTH [FAULT]` explores from a start in which rights are lent,
and prints one JSON object. At each step one of these happens, for each instance or word that it can happen
to: a word under way arrives, is lost or arrives and stays under way (a copy that comes again, later than
others); an instance's jobs ask for all that they can get; an instance is killed and restarted with nothing;
it is stopped or goes on; a short while passes (a tick's), or a long one (a lease's end, or a window's). Time
only passes by those steps, and each instance that is due and runs is woken then. States that are alike in
all that counts (what each holds, what is under way, what the ledger remembers) are explored once.

It checks after each step that no limit was passed, in true time, with clocks that run 2 % fast, true and 2 %
slow.
"""

from __future__ import annotations

import contextlib
import copy
import json
import os
import random
import sys
import time
from collections import Counter, deque
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from flintfield.lab.sharing.histories import planted
from flintfield.sharing.core import Heard, Present, Say, Sharing, Ticket, Woke, step
from flintfield.sharing.limits import Limit
from flintfield.sharing.rules import LEASE_MS
from flintfield.sharing.words import Word

PLACES = 3
RATES = (1.02, 1.0, 0.98)
LIMITS = (Limit("rate", 4, 1_000.0, floor=0.0), Limit("pool", 3, 1_000.0, is_pool=True, floor=0.0))
SHORT_MS, WINDOW_MS, LEASE_END_MS = 110.0, 1_015.0, LEASE_MS + 30.0
MOST_UNDER_WAY = 4  # words; more are lost, the oldest first

Act = tuple[str, int]


@dataclass(slots=True)
class Small:
    """One state of the whole."""

    now: float = 0.0
    instances: list[Sharing] = field(default_factory=list)
    stopped: set[int] = field(default_factory=set)
    under_way: list[tuple[int, Word]] = field(default_factory=list)  # to whom, and what
    spends: deque[float] = field(default_factory=deque)  # of the rate: true times within its window
    jobs: list[tuple[int, float]] = field(default_factory=list)  # of the pool: whose, and when it ends
    most: list[int] = field(default_factory=lambda: [0, 0])
    restarts: int = 0

    def clock(self, place: int) -> float:
        """What the clock of that place shows."""
        return 1e9 + self.now * RATES[place]

    def tell(self, place: int, message: Heard | Woke | Present) -> None:
        """Hand a message to an instance, and put what it says under way."""
        for effect in step(self.instances[place], self.clock(place), message):
            if isinstance(effect, Say) and effect.word.lines:
                self.under_way.append((effect.place, effect.word))
        del self.under_way[:-MOST_UNDER_WAY]

    def begin(self, place: int) -> None:
        """A new life with nothing."""
        self.restarts += 1
        self.instances[place] = Sharing(place, PLACES, 1_000 + self.restarts, self.clock(place),
                                        random.Random(place), Counter(), LIMITS)
        self.instances[place].tallies.next_at = float("inf")  # counts are not what is looked at here
        self.jobs = [job for job in self.jobs if job[0] != place]
        self.tell(place, Present(frozenset(range(PLACES)) - {place}))

    def ask(self, place: int) -> None:
        """Its jobs ask for rights until there are none, of both limits."""
        instance, shown = self.instances[place], self.clock(place)
        while instance.spend(shown, "rate") is True:
            self.spends.append(self.now)
        while isinstance(instance.spend(shown, "pool"), Ticket):
            self.jobs.append((place, self.now + LIMITS[1].window_ms / RATES[place]))
        self.look()

    def look(self) -> None:
        """Count what is spent and in use."""
        while self.spends and self.spends[0] <= self.now - LIMITS[0].window_ms:
            self.spends.popleft()
        self.jobs = [job for job in self.jobs if job[1] > self.now]
        self.most = [max(self.most[0], len(self.spends)), max(self.most[1], len(self.jobs))]

    @property
    def passed(self) -> bool:
        """Whether a limit was passed so far."""
        return self.most[0] > LIMITS[0].rights or self.most[1] > LIMITS[1].rights

    def acts(self) -> Iterator[Act]:
        """All that can happen next."""
        for number in range(len(self.under_way)):
            if self.under_way[number][0] not in self.stopped:
                yield "arrives", number
                yield "copy arrives", number
            yield "is lost", number
        for place in range(PLACES):
            if place not in self.stopped:
                yield "asks", place
                yield "restarts", place
            yield ("goes on" if place in self.stopped else "stops"), place
        for number in range(3):
            yield "time", number

    def do(self, act: Act) -> None:
        """Let it happen."""
        what, number = act
        if what in ("arrives", "copy arrives", "is lost"):
            place, word = self.under_way[number]
            if what != "copy arrives":
                del self.under_way[number]
            if what != "is lost":
                self.tell(place, Heard(word))
        elif what == "asks":
            self.ask(number)
        elif what == "restarts":
            self.begin(number)
        elif what == "stops":
            self.stopped.add(number)
        elif what == "goes on":
            self.stopped.discard(number)
        else:
            self.now += (SHORT_MS, WINDOW_MS, LEASE_END_MS)[number]
            self.look()
            for place, instance in enumerate(self.instances):
                due = instance.next_at()
                if place not in self.stopped and due is not None and due <= self.clock(place):
                    self.tell(place, Woke())

    def key(self) -> tuple[object, ...]:
        """What counts of it."""
        told: list[object] = [round(self.now), tuple(sorted(self.stopped)),
                              tuple((p, repr(w)) for p, w in self.under_way), tuple(self.spends),
                              tuple(self.jobs)]
        for instance in self.instances:
            told.append((instance.life, instance.ended, instance.numbers, round(instance.due, 3), tuple(
                (h.uses.count, h.uses.next_end(), h.book.out(self.clock(instance.place)),
                 tuple((o, le.number, le.keep, le.until, le.uses.count) for o, le in h.leases.items()),
                 tuple((b, a.number, a.n, tuple((x.number, x.n, x.until) for x in a.lines))
                       for b, a in h.book.accounts.items()))
                for h in instance.holdings.values())))
        return tuple(told)


def start() -> Small:
    """Old lives, of which the first has asked for all and borrowed what it could."""
    small = Small(instances=[None] * PLACES)  # type: ignore[list-item]
    for place in range(PLACES):
        small.begin(place)
        small.instances[place].began -= 600_000.0
    for _ in range(8):
        small.ask(0)
        small.do(("time", 0))
        while small.under_way:
            small.do(("arrives", 0))
    return small


Way = tuple[Act, ...]


def _follow(level: list[tuple[Small, Way]], steps: int) -> tuple[list[tuple[Small, Way]], Counter[str], Way]:
    """All histories of so many more steps, breadth first: their ends, counts, and the first that passed."""
    told: Counter[str] = Counter()
    first: Way = ()
    seen: set[int] = set()
    for left in range(steps, 0, -1):
        following: list[tuple[Small, Way]] = []
        for small, way in level:
            for act in small.acts():
                told["steps"] += 1
                other = copy.deepcopy(small)
                other.do(act)
                if other.passed:
                    told["passed"] += 1
                    first = first or (*way, act)
                elif (key := hash(other.key())) not in seen:
                    seen.add(key)
                    following.append((other, (*way, act)))
                    told["states"] += 1
        level = following if left > 1 else []
    return following, told, first


def _from(given: tuple[Small, Way, int, str]) -> tuple[Counter[str], Way]:
    small, way, steps, fault = given
    with planted(fault) if fault else contextlib.nullcontext():
        return _follow([(small, way)], steps)[1:]


def explore(depth: int, fault: str = "", processes: int | None = None) -> dict[str, object]:
    """All histories of that many steps, 3 at least.

    What two steps lead to is explored in a process each: a state may be met, and counted, in several.
    """
    began = time.monotonic()
    with planted(fault) if fault else contextlib.nullcontext():
        begin = start()
        lent = sum(h.book.out(begin.clock(i.place)) for i in begin.instances for h in i.holdings.values())
        level, told, first = _follow([(begin, ())], 2)
    with ProcessPoolExecutor(processes or os.cpu_count()) as pool:
        jobs = [(small, way, depth - 2, fault) for small, way in level]
        for more, found in pool.map(_from, jobs):
            told.update(more)
            first = first or found
    return {"depth": depth, "fault": fault, "lent at the start": lent, "steps": told["steps"],
            "states": told["states"], "passed": told["passed"], "first": [list(a) for a in first],
            "seconds": round(time.monotonic() - began, 1)}


if __name__ == "__main__":
    print(json.dumps(explore(int(sys.argv[1]), "".join(sys.argv[2:3]))))
