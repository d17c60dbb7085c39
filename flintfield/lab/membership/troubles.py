"""One-sided cuts, deafness, pauses: what is believed wrongly under a trouble, and how soon views heal.

One run: a group that knows itself; after `WARM_S` the trouble begins and lasts `TROUBLE_S`; then all heals.
Counted while it lasts: each change of a view to suspect or dead about a member that is there (once for each
who believes it), apart from those about the *odd* member that the trouble makes unlike the others; and bytes.
After the heal: when all views are right for good. With `kill`, a healthy member dies in the midst of the
trouble: when all healthy ones know. All times are virtual; the same point gives the same outcome.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from itertools import permutations

import msgspec

from flintfield.lab.membership.world import Network, Party, Slow, Views, World
from flintfield.membership.messages import Status
from flintfield.membership.rules import Rules
from flintfield.membership.ways import reaches

WARM_S, TROUBLE_S, HEAL_S = 5.0, 60.0, 40.0
REACH_AT_S = 10.0
KILL_AT_S, KNOWN_WITHIN_S = 20.0, 120.0
CUT_SHARE = 0.15  # of ordered pairs
LOSS = 0.2
PAUSES = Slow((500.0, 3_000.0), (2_000.0, 8_000.0))

Trouble = Callable[[World, list[Party]], list[Party]]
"""Makes the trouble; the members that it makes odd."""


class Point(msgspec.Struct, frozen=True):
    """One run to make."""

    members: int
    case: str  # a key of CASES, with `+loss` behind it for 20 % loss
    seed: int
    kill: bool = False


class Outcome(msgspec.Struct, frozen=True):
    """What came of it; times in s."""

    point: Point
    suspected: int  # views of members that are there
    dead: int
    odd_dead: int  # views of odd members
    healed_s: float | None  # from the heal until all views are right; None: not within HEAL_S
    known_s: float | None  # from the death until all healthy ones know
    bytes_s: float  # sent by a member, a second
    reach_right: float | None = None  # of ordered pairs, REACH_AT_S after the trouble began


def _pairs(world: World, parties: list[Party]) -> list[Party]:
    for one, other in permutations(parties, 2):
        if world.rng.random() < CUT_SHARE:
            world.cuts.add((one.address, other.address))
    return []


def _third(world: World, parties: list[Party]) -> list[Party]:
    part = len(parties) // 3
    world.cuts |= {(a.address, b.address) for a in parties[:part] for b in parties[part:2 * part]}
    return []


def _deaf(world: World, parties: list[Party]) -> list[Party]:
    world.cuts |= {(other.address, parties[0].address) for other in parties[1:]}
    return parties[:1]


def _mute(world: World, parties: list[Party]) -> list[Party]:
    world.cuts |= {(parties[0].address, other.address) for other in parties[1:]}
    return parties[:1]


def _pauses(world: World, parties: list[Party]) -> list[Party]:
    world.make_slow(parties[:max(1, len(parties) // 10)], PAUSES)
    return []


def _zone_pauses(world: World, parties: list[Party]) -> list[Party]:
    for party in parties[:len(parties) // 3]:
        for at in (0.0, 15_000.0, 30_000.0, 45_000.0):
            world.at(world.now + at, world.stop, party, 3_000.0)
    return []


CASES: dict[str, Trouble] = {
    "calm": lambda world, parties: [], "pairs": _pairs, "third": _third, "deaf": _deaf, "mute": _mute,
    "pauses": _pauses, "zone-pauses": _zone_pauses,
}


@dataclass(slots=True)
class _Run:
    world: World
    parties: list[Party]
    odd: list[Party]

    def right(self) -> bool:
        """Whether every view of every member that is there is right."""
        up = [p for p in self.parties if p.up]
        names = {p.name for p in up}
        return all(entry.status is Status.ALIVE if name in names else not entry.live
                   for p in up for name, entry in p.state.table.entries.items()) and all(
                       names <= p.state.table.entries.keys() for p in up)


def measure(point: Point) -> Outcome:
    """Make one run."""
    case, _, loss = point.case.partition("+")
    world = World(point.seed, Rules())
    parties = world.settled(point.members)
    world.run(WARM_S * 1000)
    if loss:
        world.network = Network(loss=LOSS)
    odd = CASES[case](world, parties)
    run, views, before = _Run(world, parties, odd), Views(), sum(p.sent_bytes for p in parties)
    world.watchers.append(views.watch)
    began, known, reach = world.now, None, None
    if point.kill:
        world.run(KILL_AT_S * 1000)
        victim = parties[-1]
        world.kill(victim)
        died, healthy = world.now, [p for p in parties if p is not victim and p not in odd]
        session = victim.state.own.record.session

        def told() -> bool:
            return all((e := p.state.table.get(victim.name)) is None or e.status is Status.DEAD
                       or e.record.session != session for p in healthy)

        if world.run(KNOWN_WITHIN_S * 1000, told):
            known = (world.now - died) / 1000
    else:
        world.run(REACH_AT_S * 1000)
        reach = reach_right(world, parties) if world.cuts else None
        world.run((TROUBLE_S - REACH_AT_S) * 1000)
    lasted = (world.now - began) / 1000
    rate = (sum(p.sent_bytes for p in parties) - before) / point.members / lasted
    up, out = {p.name for p in parties if p.up}, {p.name for p in odd}
    wrong = [c for _, _, c in views.changes if c.record.name in up]
    suspected = sum(c.after is Status.SUSPECT and c.record.name not in out for c in wrong)
    dead = sum(c.after is Status.DEAD and c.record.name not in out for c in wrong)
    odd_dead = sum(c.after is Status.DEAD and c.record.name in out for c in wrong)
    healed = None if point.kill else _heal(run)
    return Outcome(point, suspected, dead, odd_dead, healed, known, rate, reach)


def reach_right(world: World, parties: list[Party]) -> float:
    """Of all ordered pairs of members, the share that is told rightly by five that are asked."""
    right = asked = 0
    for party in world.rng.sample(parties, min(5, len(parties))):
        for one, other in permutations(parties, 2):
            told, _ = reaches(party.state, one.name, other.name)
            right += told is ((one.address, other.address) not in world.cuts)
            asked += 1
    return right / asked


def _heal(run: _Run) -> float | None:
    world = run.world
    world.cuts.clear()
    world.network = Network()
    for party in run.parties:
        party.slow = None
    began, since = world.now, None
    while world.now < began + HEAL_S * 1000:
        world.run(100.0)
        if not run.right():
            since = None
        elif since is None:
            since = world.now
    return None if since is None else (since - began) / 1000
