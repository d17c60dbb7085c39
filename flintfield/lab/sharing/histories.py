"""Drawn histories: a fleet of some instances, demand that moves, and faults of every kind, from a seed.

`play(seed)` draws and plays one; `planted(name)` gives a core with a fault, to judge the ledger. Run by
`python -m flintfield.lab.sharing FIRST COUNT [FAULT]`, which prints one JSON object.
"""

from __future__ import annotations

import contextlib
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from unittest import mock

from flintfield.lab.sharing.world import Instance, Net, World
from flintfield.sharing import book, borrowing, core, holding as holdings, limits as limit_file
from flintfield.sharing.book import Borrower
from flintfield.sharing.counts import Counts, Source
from flintfield.sharing.limits import Limit
from flintfield.sharing.rules import DRIFT, LEASE_MS, hold_ms
from flintfield.sharing.words import Grant, Line

LOOK_MS = 500.0  # between two looks at all counts
CHANGED = 0.4  # of the histories: a limit is raised or lowered within


@dataclass(frozen=True, slots=True)
class Played:
    """What one history came to."""

    seed: int
    passed: int  # instants at which a limit was passed
    miscounted: int  # intervals that the truth was not in
    lent: int
    returned: int  # leases whose rights came back to their owner while it lived
    spent: int
    refused: int


def play(seed: int) -> Played:
    """Draw and play one history."""
    rng = random.Random(f"history/{seed}")
    places = rng.choice((2, 3, 3, 3, 4, 5, 8))
    limits = (Limit("rate", rng.choice((1, 2, 3, 5, 8, 20)), rng.choice((200.0, 1_000.0)),
                    floor=rng.choice((0.02, 0.3))),
              Limit("pool", rng.choice((1, 2, 4, 9)), rng.choice((300.0, 1_500.0)), is_pool=True))
    net = Net(rng.choice((0, 0, 0.05, 0.2, 0.5)), rng.choice((0, 0.1)), late=rng.choice((0, 0, 0.1)),
              late_ms=rng.choice((500.0, 6_000.0)))
    world = World(places, limits, seed, net=net, is_new=rng.random() < 0.2)
    length = rng.uniform(3_000, 9_000)
    _demand(world, rng, length)
    for _ in range(rng.choice((0, 1, 2, 3, 5))):
        _fault(world, rng, length)
    change = random.Random(f"change/{seed}")
    if change.random() < CHANGED:
        _change(world, change, length)
    miscounted = 0
    while world.now < length:
        world.run(min(length, world.now + LOOK_MS))
        miscounted += len(world.miscounted())
    counters = world.counters
    passed = sum(len(p) for p in world.passed.values())
    return Played(seed, passed, miscounted, counters["lent"], counters["borrowed"],
                  sum(ledger.spent for ledger in world.ledgers.values()),
                  sum(world.tried.values()) - sum(world.granted.values()))


def _demand(world: World, rng: random.Random, length: float) -> None:
    """Arrivals whose place moves: all at one, evenly, or from one to another every second."""
    for limit in world.limits:
        style, hot = rng.choice(("one", "even", "moving", "then-all")), rng.randrange(world.places)
        gap = limit.window_ms / limit.rights / rng.choice((0.7, 1.5, 3.0))
        at, turns = rng.uniform(0, gap), rng.uniform(500, 0.6 * length)
        while at < length:
            if style == "moving" and rng.random() < gap / 1_000:
                hot = rng.randrange(world.places)
            is_any = style == "even" or (style == "then-all" and at > turns) or rng.random() < 0.1
            place = rng.randrange(world.places) if is_any else hot
            lasts = rng.expovariate(1 / (limit.window_ms * 0.4))
            world.at(at, lambda place=place, name=limit.name, lasts=lasts: world.attempt(  # type: ignore[misc]
                _any_process(world, rng, place), name, lasts))
            at += rng.expovariate(1 / gap)


def _change(world: World, rng: random.Random, length: float) -> None:
    """One limit is raised or lowered: each instance is told at a time of its own, in any order.

    While some have the old and some the new, the greater of both bounds all; after the last one was told and
    what it had lent is over, the new one does.
    """
    old = rng.choice(world.limits)
    new = replace(old, rights=rng.choice([n for n in (1, 2, 3, 5, 9, 15) if n != old.rights]))
    limits = tuple(new if limit is old else limit for limit in world.limits)
    began, spread = rng.uniform(200, 0.4 * length), rng.choice((0.0, 300.0, 2_000.0))
    ledger = world.ledgers[old.name]

    def first() -> None:
        world.limits = limits  # for whoever starts from now on
        ledger.rights = max(old.rights, new.rights)

    def tell(place: int) -> None:
        instance = world.instances[place]
        if instance.up and not instance.stopped:
            world.configure(place, limits)

    def look() -> None:
        """Who stood still or was down is told later; the new bound holds a lease's life after the last."""
        told = True
        for instance in [*world.instances, *(z for z in world.zombies if z.up)]:
            if instance.state.by_name[old.name].limit.rights != new.rights:
                told = False
                if instance in world.instances:
                    tell(instance.place)
        if told:
            over = DRIFT * hold_ms(LEASE_MS, old.window_ms)
            world.at(world.now + over, lambda: setattr(ledger, "rights", new.rights))
        else:
            world.at(world.now + 300.0, look)

    world.at(began, first)
    for place in range(world.places):
        world.at(began + rng.uniform(0, spread), lambda place=place: tell(place))  # type: ignore[misc]
    world.at(began + spread + 1.0, look)


def _any_process(world: World, rng: random.Random, place: int) -> Instance:
    """Callers find whichever process has the place."""
    found = [world.instances[place], *(z for z in world.zombies if z.place == place and z.up)]
    return rng.choice(found)


def _fault(world: World, rng: random.Random, length: float) -> None:
    at, lasts = rng.uniform(200, 0.8 * length), rng.choice((200.0, 1_000.0, 4_000.0, 9_000.0))
    place = rng.randrange(world.places)
    kind = rng.choice(("cut", "cut", "one-way", "alone", "stop", "stop", "restart", "restarts", "kill",
                       "back"))
    if kind in ("cut", "one-way", "alone"):
        side = {place} if kind == "alone" else {p for p in range(world.places) if rng.random() < 0.5}
        pairs = {(a, b) for a in side for b in range(world.places) if b not in side}
        if kind != "one-way":
            pairs |= {(b, a) for a, b in pairs}
        world.at(at, lambda: world.cuts.update(pairs))
        world.at(at + lasts, lambda: world.cuts.difference_update(pairs))
    elif kind == "stop":
        world.at(at, lambda: world.stop(place))
        world.at(at + lasts, lambda: world.go_on(place))
    elif kind == "kill":
        world.at(at, lambda: world.kill(place))
        world.at(at + lasts, lambda: world.restart(place))
    else:
        for number in range(10 if kind == "restarts" else 1):
            world.at(at + number * rng.uniform(10, 500), lambda: world.restart(place, back=kind == "back"))


# ------------------------------------------------------------------ planted faults


def _twice_as_long(state: core.Sharing, now: float, owner: Borrower, grant: Grant) -> list[Line]:
    found = _GRANTED(state, now, owner, grant)
    for holding in state.holdings.values():
        if grant.limit == holding.limit.number and owner in holding.leases:
            holding.leases[owner].until = state.began + grant.asked_at + 2 * LEASE_MS
    return found


def _forgets_spends(state: core.Sharing, now: float, owner: Borrower, grant: Grant) -> list[Line]:
    holding = state.holdings.get(grant.limit)
    if holding is not None:
        holding.leases.pop(owner, None)  # each grant counts as rights of its own
    return _GRANTED(state, now, owner, grant)


def _forgets_former_lives(self: Counts, now: float, source: Source, stamp: int, echo_at: float,
                          total: int) -> None:
    _HEARD(self, now, source, stamp, echo_at, total)
    self.born_at = -math.inf
    for lives in self.told.values():
        lives[min(lives)].born_at = -math.inf


_GRANTED, _HEARD = borrowing.granted, Counts.heard
FAULTS: dict[str, tuple[object, str, object]] = {
    "lease-twice-as-long": (borrowing, "granted", _twice_as_long),
    "grant-is-fresh": (borrowing, "granted", _forgets_spends),
    "no-quiet-start": (core.Sharing, "own_part", lambda self, now, holding: holding.part),
    "short-hold": (book, "hold_ms", lambda valid, window: valid / 2),
    "unstretched-clocks": (holdings, "cool_ms", lambda window: window * 0.9),
    "lowers-too-far": (book.Book, "lower", lambda self, now, borrower, number, keep, occupied: (
        self.accounts.pop(borrower, None), self._sum_up(now))),
    "forgets-former-lives": (Counts, "heard", _forgets_former_lives),
    "each-owns-all": (limit_file.Limit, "part", lambda self, place, places: self.rights),
    "parts-too-large": (limit_file.Limit, "part", lambda self, place, places: -(-self.rights // places)),
}


@contextlib.contextmanager
def planted(name: str) -> Iterator[None]:
    """The core has that fault within."""
    where, what, wrong = FAULTS[name]
    with mock.patch.object(where, what, wrong):
        yield
