"""How well the protocol does: sizes, loss and slow members, with Lifeguard's rules and without, paired by
seed.

One run: a group that knows itself, slow members at work from the start. After `WARM_S` everything that is
believed wrongly within `WATCH_S` is counted; then healthy members die one after the other, and it is noted
when the first of the others declares each dead and when the last healthy one knows. All times are virtual.

A false positive is a member that declares one dead which is there, counted once for each who believes it,
as in the Lifeguard paper. `about healthy` are those about members that are not slow: a member that hears
nothing for 20 s is hardly there, and to call it dead is no fault of the detector.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import product

import msgspec

from flintfield.lab.membership.world import Network, Party, Slow, Views, World
from flintfield.membership.messages import Changed, Effect, Status
from flintfield.membership.rules import Rules, lifeguard_alone, plain_swim

WARM_S, WATCH_S, KNOWN_WITHIN_S, BETWEEN_S = 5.0, 60.0, 240.0, 2.0
LARGE = 1_000  # from so many members on a run watches for 10 s, and for one death
LARGE_WATCH_S = 10.0
SIZES = (3, 10, 30, 100, 300, 1_000)
LOSSES = (0.0, 0.05, 0.2, 0.4)
SHARES = (0.0, 0.05, 0.1, 0.2)
BLOCKED = Slow((5_000.0, 20_000.0), (50.0, 500.0), blocked=True)
STOPPED = Slow((5_000.0, 20_000.0), (50.0, 500.0))
MILD = Slow((500.0, 5_000.0), (200.0, 1_000.0), blocked=True)
KINDS = {"blocked": BLOCKED, "stopped": STOPPED, "mild": MILD}
PLAYS: dict[str, Callable[[], Rules]] = {"swim": plain_swim, "lifeguard": lifeguard_alone, "ours": Rules}


class Point(msgspec.Struct, frozen=True):
    """One run to make. `loss` and `slow` are shares, of datagrams and of members."""

    members: int
    loss: float
    slow: float
    kind: str  # of slow members: a key of KINDS
    play: str  # a key of PLAYS
    seed: int


class Outcome(msgspec.Struct, frozen=True):
    """What came of it; times in s, None for what was not seen within KNOWN_WITHIN_S."""

    point: Point
    false_all: int
    false_about_healthy: int
    false_at_healthy: int  # about healthy members, believed by healthy members
    first_s: tuple[float | None, ...]  # one for each death
    all_s: tuple[float | None, ...]
    bytes_s: float  # sent by a member, a second: UDP payload and streams
    steps: int
    cpu_s: float


@dataclass(slots=True)
class Deaths:
    """Looks on who declares the one dead that did die."""

    session: int
    known: dict[int, float]

    def watch(self, now: float, party: Party, effect: Effect) -> None:
        """To be put among a world's watchers."""
        if isinstance(effect, Changed) and effect.record.session == self.session \
                and effect.after is Status.DEAD:
            self.known.setdefault(party.state.own.record.session, now)


def watched_s(members: int) -> float:
    """For how long wrong declarations are counted."""
    return WATCH_S if members < LARGE else LARGE_WATCH_S


def measure(point: Point, rules: Rules | None = None) -> Outcome:
    """Make one run."""
    began = time.process_time()
    watch_s, deaths = watched_s(point.members), 3 if point.members < LARGE else 1
    world = World(point.seed, rules or PLAYS[point.play](), Network(loss=point.loss))
    parties = world.settled(point.members)
    slow = parties[:round(point.members * point.slow)]
    world.make_slow(slow, KINDS[point.kind])
    world.run(WARM_S * 1000)
    views, before = Views(), sum(p.sent_bytes for p in parties)
    world.watchers.append(views.watch)
    world.run(watch_s * 1000)
    world.watchers.clear()
    rate = (sum(p.sent_bytes for p in parties) - before) / point.members / watch_s
    lame = {p.state.own.record.session for p in slow}
    false = [(p, c) for _, p, c in views.changes if c.after is Status.DEAD]
    about = [(p, c) for p, c in false if c.record.session not in lame]
    victims = parties[::-1][:min(deaths, max(1, (point.members - len(slow)) // 3))]
    seen = [_death(world, victim, parties) for victim in victims]
    return Outcome(point, len(false), len(about), sum(p.slow is None for p, _ in about),
                   tuple(s[0] for s in seen), tuple(s[1] for s in seen), rate, world.steps,
                   time.process_time() - began)


def _death(world: World, victim: Party, parties: list[Party]) -> tuple[float | None, float | None]:
    """Kill one: when the first and the last healthy member know, in s from then."""
    world.run(BETWEEN_S * 1000 + world.rng.uniform(0, 1000))
    deaths = Deaths(victim.state.own.record.session, {})
    world.watchers.append(deaths.watch)
    world.kill(victim)
    began = world.now
    healthy = {p.state.own.record.session for p in parties if p.up and p.slow is None}
    done = world.run(KNOWN_WITHIN_S * 1000, lambda: healthy <= deaths.known.keys())
    world.watchers.remove(deaths.watch)
    times = [(at - began) / 1000 for session, at in deaths.known.items() if session in healthy]
    return min(times, default=None), max(times) if done and times else None


def points(sizes: tuple[int, ...] = SIZES, seeds: int = 1) -> Iterator[Point]:
    """The grid: small groups with more seeds; above 100 members either loss or slow members, not both, and of
    LARGE groups little of either: 20% loss among 1,000 takes an hour."""
    for members in sizes:
        for loss, slow in product(LOSSES, SHARES):
            both = loss > 0 and slow > 0
            if (slow and round(members * slow) == 0) or (both and members > 100):
                continue
            if members >= LARGE and (loss > 0.05 or slow not in (0.0, 0.1)):
                continue
            times = seeds * (1 if both and members >= 100 else max(1, min(20, 300 // members)))
            for play, seed in product(("swim", "lifeguard"), range(times)):
                yield Point(members, loss, slow, "blocked", play, seed)
    if 100 in sizes:
        for kind, play, seed in product(KINDS, PLAYS, range(3 * seeds)):
            yield Point(100, 0.0, 0.1, kind, play, seed)
