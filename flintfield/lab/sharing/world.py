"""Instances that share limits, in virtual time: the core as it serves, and the ledger that knows the truth.

Rules. One heap of events, one random generator: the same seed gives the same run. The model does what the
unit, the net and processes would do and decides nothing for an instance. Times are true ms; each instance
has a clock of its own that runs up to `drift` fast or slow and is set anywhere. A stopped process handles
nothing; what reaches it waits and is handled when it goes on. A restarted one has nothing but its place and
a life above its last, or, where its clock was set back, below. The ledger counts true spends: `passed` lists
the instants at which a limit was.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from flintfield.sharing.core import (
    Configured, Effect, Heard, Message, Present, Say, Sharing, Ticket, Woke, give_back, step,
)
from flintfield.sharing.counts import window_of
from flintfield.sharing.limits import Limit
from flintfield.sharing.rules import COUNT_MS
from flintfield.sharing.words import read, write

MOST_INBOX = 512


@dataclass(slots=True)
class Net:
    """What becomes of a word; shares, and delays in ms."""

    loss: float = 0.0
    double: float = 0.0
    least_ms: float = 0.5
    tail_ms: float = 1.0
    late: float = 0.0  # the share that comes up to `late_ms` later
    late_ms: float = 2_000.0


@dataclass(slots=True, eq=False)
class Instance:
    """One process, or what is left of one."""

    place: int
    state: Sharing
    rate: float = 1.0  # of its clock
    offset: float = 0.0
    up: bool = True
    stopped: bool = False
    inbox: deque[Callable[[], None]] = field(default_factory=deque)
    armed: float = math.inf
    open_jobs: list[tuple[Ticket, list[bool]]] = field(default_factory=list)
    sent_bytes: int = 0
    sent: int = 0

    def clock(self, now: float) -> float:
        """What its clock shows."""
        return now * self.rate + self.offset

    def true(self, shown: float) -> float:
        """When its clock shows that."""
        return (shown - self.offset) / self.rate


class Ledger:
    """True spends of one limit, and whether it was ever passed."""

    def __init__(self, limit: Limit) -> None:
        self.limit = limit
        self.rights = limit.rights  # the bound in force
        self._times: deque[float] = deque()
        self.in_use = 0
        self.spent = self.most = 0
        self.passed: list[tuple[float, int]] = []

    def spend(self, now: float) -> None:
        """A right was spent in this instant."""
        self.spent += 1
        if self.limit.is_pool:
            self.in_use += 1
            count = self.in_use
        else:
            self._times.append(now)
            while self._times[0] <= now - self.limit.window_ms:
                self._times.popleft()
            count = len(self._times)
        self.most = max(self.most, count)
        if count > self.rights:
            self.passed.append((now, count))


class World:
    """One run."""

    def __init__(self, places: int, limits: Sequence[Limit], seed: int, *, net: Net | None = None,
                 drift: float = 0.02, is_new: bool = True) -> None:
        """`is_new`: the first processes may have had former lives, as far as they know; else they are old."""
        self.rng, self.net, self.now = random.Random(seed), net or Net(), 0.0
        self.places, self.limits, self.drift = places, tuple(limits), drift
        self.ledgers = {limit.name: Ledger(limit) for limit in limits}
        self.counters: Counter[str] = Counter()
        self._epoch = 1.7e12 + self.rng.uniform(0, COUNT_MS)  # clocks are set within 5 s of it
        self.labels: Counter[tuple[str, int]] = Counter()  # true spends by limit and the spender's window
        self.cuts: set[tuple[int, int]] = set()  # from a place to a place
        self.instances: list[Instance] = []  # by place, the one that is meant by it
        self.zombies: list[Instance] = []  # former processes of a place that still run
        self.tried: Counter[tuple[str, int]] = Counter()
        self.granted: Counter[tuple[str, int]] = Counter()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        for place in range(places):
            self.instances.append(self._start(place))
            if not is_new:
                self.instances[-1].state.began -= 600_000.0
                self.instances[-1].state.tallies.born_at -= 600_000.0
        self.tell_present()

    # ------------------------------------------------------------ processes

    def _start(self, place: int, rate: float | None = None) -> Instance:
        rng = self.rng
        rate = rate if rate is not None else 1.0 + rng.uniform(-self.drift, self.drift)
        instance = Instance(place, None, rate, self._epoch + rng.uniform(-5_000, 5_000))  # type: ignore[arg-type]
        life = int(1e9 + self.now * 1000) + rng.randrange(100)
        instance.state = Sharing(place, self.places, life, instance.clock(self.now),
                                 random.Random(rng.random()), self.counters, self.limits)
        self._arm(instance)
        return instance

    def kill(self, place: int) -> None:
        """Its process is gone, and what it had in work."""
        self._end(self.instances[place])
        self.tell_present()

    def _end(self, instance: Instance) -> None:
        instance.up = False
        for ticket, alive in instance.open_jobs:
            if alive[0]:
                alive[0] = False
                self.ledgers[self._pool_of(ticket)].in_use -= 1
        instance.open_jobs.clear()

    def restart(self, place: int, zombie: bool = False, back: bool = False) -> None:
        """A new process with nothing; `zombie`: the old one runs on; `back`: the new one's clock is back."""
        old = self.instances[place]
        if zombie:
            self.zombies.append(old)
        else:
            self._end(old)
        self.instances[place] = fresh = self._start(place)
        if back:
            fresh.state.life = max(1, old.state.life - self.rng.randrange(1, 1_000_000))
        self.tell_present()

    def stop(self, place: int) -> None:
        """SIGSTOP."""
        self.instances[place].stopped = True

    def go_on(self, place: int) -> None:
        """SIGCONT: its socket is read, then its timers ring."""
        instance = self.instances[place]
        instance.stopped = False
        while instance.inbox and not instance.stopped:
            instance.inbox.popleft()()
        self._arm(instance)

    def configure(self, place: int, limits: Sequence[Limit], places: int | None = None) -> None:
        """SIGHUP with other limits."""
        instance = self.instances[place]
        self._tell(instance, Configured(tuple(limits), places or self.places))

    def tell_present(self) -> None:
        """Membership's word, at once and true; what is cut off is believed to be there."""
        there = frozenset(i.place for i in self.instances if i.up)
        for instance in [*self.instances, *self.zombies]:
            self._tell(instance, Present(there - {instance.place}))

    # ------------------------------------------------------------ time

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Do something then."""
        heapq.heappush(self._events, (max(when, self.now), next(self._numbers), act))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.now = until

    def _arm(self, instance: Instance) -> None:
        due = instance.state.next_at()
        if due is None:
            instance.armed = math.inf
            return
        at = max(self.now, instance.true(due))
        if at < instance.armed or instance.armed < self.now:
            instance.armed = at
            self.at(at, lambda: self._ring(instance, at))

    def _ring(self, instance: Instance, at: float) -> None:
        if not instance.up or instance.stopped or instance.armed != at:
            return
        instance.armed = math.inf
        due = instance.state.next_at()
        if due is not None and instance.clock(self.now) >= due - 1e-6:
            self._tell(instance, Woke())
        else:
            self._arm(instance)

    def _tell(self, instance: Instance, message: Message) -> None:
        if not instance.up:
            return
        if instance.stopped:
            if len(instance.inbox) < MOST_INBOX:
                instance.inbox.append(lambda: self._tell(instance, message))
            return
        for effect in step(instance.state, instance.clock(self.now), message):
            self._carry_out(instance, effect)
        self._arm(instance)

    # ------------------------------------------------------------ words

    def _carry_out(self, sender: Instance, effect: Effect) -> None:
        if not isinstance(effect, Say):
            return
        data = write(effect.word)
        sender.sent += 1
        sender.sent_bytes += len(data)
        net, rng = self.net, self.rng
        if (sender.place, effect.place) in self.cuts or rng.random() < net.loss:
            return
        for _ in range(1 + (rng.random() < net.double)):
            wait = net.least_ms + rng.expovariate(1 / net.tail_ms)
            if rng.random() < net.late:
                wait += rng.uniform(0, net.late_ms)
            self.at(self.now + wait, lambda: self._arrive(sender.place, effect.place, data))

    def _arrive(self, sender: int, place: int, data: bytes) -> None:
        if (sender, place) in self.cuts or place >= len(self.instances):
            return
        found = read(data)
        assert found is not None and found[1] == 0
        for instance in [self.instances[place], *(z for z in self.zombies if z.place == place)]:
            self._tell(instance, Heard(found[0]))

    def hear(self, place: int, data: bytes) -> None:
        """Bytes from anybody reach an instance."""
        if found := read(data):
            self._tell(self.instances[place], Heard(found[0]))

    # ------------------------------------------------------------ jobs

    def attempt(self, instance: Instance, name: str, lasts_ms: float = 0.0) -> None:
        """A job asks for a right there; a pool's job lasts so long, its window at the most."""
        if not instance.up:
            return
        if instance.stopped:
            if len(instance.inbox) < MOST_INBOX:
                instance.inbox.append(lambda: self.attempt(instance, name, lasts_ms))
            return
        self.tried[name, instance.place] += 1
        got = instance.state.spend(instance.clock(self.now), name)
        self._arm(instance)
        if got is False:
            return
        self.granted[name, instance.place] += 1
        self.labels[name, window_of(instance.clock(self.now))] += 1
        ledger = self.ledgers[name]
        ledger.spend(self.now)
        if isinstance(got, Ticket):
            alive, ticket = [True], got
            instance.open_jobs.append((ticket, alive))
            ends = min(lasts_ms, ledger.limit.window_ms / instance.rate)  # cut off by its own clock
            self.at(self.now + ends, lambda: self._job_ends(instance, ticket, alive, ledger))

    def _job_ends(self, instance: Instance, ticket: Ticket, alive: list[bool], ledger: Ledger) -> None:
        if not alive[0]:
            return
        alive[0] = False
        ledger.in_use -= 1
        instance.open_jobs = [job for job in instance.open_jobs if job[1] is not alive]
        if instance.up and not instance.stopped:
            give_back(ticket)
        elif instance.up:
            instance.inbox.append(lambda: give_back(ticket))

    def _pool_of(self, ticket: Ticket) -> str:
        for instance in [*self.instances, *self.zombies]:
            for holding in instance.state.holdings.values():
                held = [holding.uses, *(lease.uses for lease in holding.leases.values())]
                if any(ticket.uses is one for one in held):
                    return holding.limit.name
        return next(limit.name for limit in self.limits if limit.is_pool)

    # ------------------------------------------------------------ what is seen

    def miscounted(self) -> list[tuple[int, str, int, int, int]]:
        """Counts whose interval the truth is not in: place, limit, low, truth, high."""
        found = []
        for instance in self.instances:
            if not instance.up or instance.stopped:
                continue
            shown, state = instance.clock(self.now), instance.state
            for limit in (state.by_name[one.name].limit for one in self.limits):
                if limit.rights < max(i.state.by_name[limit.name].limit.rights for i in self.instances):
                    continue  # others were told of a raise before it: docs/sharing.md
                for window in (window_of(shown), window_of(shown) - 1):
                    told = state.tallies.total(shown, limit, self.places, window)
                    truth = self.labels[limit.name, window]
                    if not told.low <= truth <= (told.high if told.high >= 0 else math.inf):
                        found.append((instance.place, limit.name, told.low, truth, told.high))
        return found

    @property
    def passed(self) -> dict[str, list[tuple[float, int]]]:
        """The limits that were passed: when, and how many then counted."""
        return {name: ledger.passed for name, ledger in self.ledgers.items() if ledger.passed}

    def bytes_a_second(self, since: float, before: dict[int, int]) -> list[float]:
        """Of each instance's words, without what seals them."""
        return [(i.sent_bytes - before.get(i.place, 0)) * 1000 / max(1.0, self.now - since)
                for i in self.instances]


def summary(world: World) -> dict[str, Any]:
    """What came of a run, for people."""
    return {"passed": {n: len(p) for n, p in world.passed.items()},
            "most": {n: f"{ledger.most}/{ledger.rights}" for n, ledger in world.ledgers.items()},
            "lent": world.counters["lent"], "borrowed": world.counters["borrowed"],
            "recalled": world.counters["recalled"]}
