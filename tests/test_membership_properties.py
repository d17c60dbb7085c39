"""Membership under any schedule of loss, delay, doubling, reordering, stops, restarts and splits (virtual
time).

Stated bound: `HEALED_MS` after all troubles are over, each live member is in every live member's view with
the life it has now, and no life that ended is in any.
"""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from typing import Any

from hypothesis import given, settings, strategies as st

from flintfield.lab.membership.world import Network, Party, World
from flintfield.membership.messages import Changed, Effect, Heard, Send, Status, Updated
from flintfield.membership.rules import MOST_AGE_MS, Rules

# Tombstones as short as the rule allows for five members, and what is sent again here: twice as late as the
# wire lets it come.
RULES = replace(Rules(), tombstone_ms=105_000.0 + 2 * MOST_AGE_MS, join_most_ms=20_000.0)
# The longest wait to join (1.5 times its most), a round of looks for all that are gone (each 1.2 times its
# time), a failed stream's 10 s, and the longest suspicion of one that died meanwhile.
HEALED_MS = 30_000.0 + 5 * 12_000.0 + 10_000.0 + 2 * 24_000.0

WHO = st.integers(0, 4)
TROUBLE = st.one_of(
    st.tuples(st.just("kill"), WHO),
    st.tuples(st.just("restart"), WHO, st.floats(0, 20_000)),
    st.tuples(st.just("stop"), WHO, st.floats(100, 90_000)),
    st.tuples(st.just("block"), WHO, st.floats(100, 30_000)),
    st.tuples(st.just("leave"), WHO),
    st.tuples(st.just("cut"), WHO, WHO),
    st.tuples(st.just("split"), st.integers(0, 31)),
    st.tuples(st.just("heal")),
    st.tuples(st.just("meta"), WHO, st.binary(max_size=64)),
    st.tuples(st.just("network"), st.builds(
        Network, loss=st.sampled_from([0.0, 0.2, 0.5]), double=st.sampled_from([0.0, 0.5]),
        late=st.sampled_from([0.0, 0.3]), late_ms=st.sampled_from([100.0, 20_000.0]))),
)
SCHEDULE = st.lists(st.tuples(st.floats(0, 40_000), TROUBLE), max_size=12)


class Watch:
    """Looks on: what must never happen in any view, and the datagrams that were sent."""

    def __init__(self, world: World) -> None:
        self.world, self.highest = world, dict[tuple[int, str], int]()
        self.old: deque[tuple[float, Party, Heard]] = deque(maxlen=1_000)
        self.lives: set[int] = set()  # all lives that ever spoke
        self.over: set[int] = set()  # lives that ended and that nobody believes in any more
        world.watchers.append(self.look)

    def look(self, now: float, party: Party, effect: Effect) -> None:
        if isinstance(effect, Changed | Updated):
            life, name = party.state.own.record.session, effect.record.name
            if isinstance(effect, Changed) and effect.after is None:
                self.highest.pop((life, name), None)
                return
            entry = party.state.table.entries[name]
            assert entry.incarnation >= self.highest.get((life, name), 0), "an incarnation fell"
            self.highest[life, name] = entry.incarnation
            assert not (entry.live and effect.record.session in self.over), "a life that ended is back"
        elif isinstance(effect, Send) and effect.address in self.world.parties:
            session = party.state.own.record.session
            self.lives.add(session)
            heard = Heard(party.address, session, effect.to, effect.parts)
            self.old.append((now, self.world.parties[effect.address], heard))

    def check_bounds(self) -> None:
        for party in self.world.parties.values():
            state = party.state
            assert len(state.table) <= len(self.world.parties)
            assert len(state.gossip) <= 4 * len(state.table) and len(state.relays) <= 64
            assert len(state.timers) <= 20 + 30 * len(state.table) + 3 * len(state.relays), len(state.timers)


def cause(world: World, parties: list[Party], trouble: tuple[Any, ...]) -> None:
    match trouble:
        case ("kill", who):
            world.kill(parties[who])
        case ("restart", who, after):
            world.restart(parties[who], seeds(parties), after)
        case ("stop", who, ms) if parties[who].up:
            world.stop(parties[who], ms)
        case ("block", who, ms) if parties[who].up:
            world.block(parties[who], ms)
        case ("leave", who) if parties[who].up and world.now >= parties[who].stopped_until:
            world.leave(parties[who])
        case ("cut", one, other):
            world.cuts.add((parties[one].address, parties[other].address))
        case ("split", sides):
            for number, party in enumerate(parties):
                party.side = sides >> number & 1
        case ("meta", who, meta) if parties[who].up and world.now >= parties[who].stopped_until:
            world.set_meta(parties[who], meta)
        case ("network", network):
            world.network = network
        case ("heal",):
            heal(world)


def heal(world: World) -> None:
    world.cuts.clear()
    world.network = Network()
    for party in world.parties.values():
        party.side = 0


def seeds(parties: list[Party]) -> list[tuple[str, int]]:
    return [p.address for p in parties[:2]]


def live_sessions(party: Party) -> set[int]:
    return {e.record.session for e in party.state.table.entries.values() if e.status is Status.ALIVE}


def agree(world: World) -> bool:
    up = [p for p in world.parties.values() if p.up]
    there = {p.state.own.record.session for p in up}
    return all(live_sessions(p) == there for p in up)


def begin(world: World, count: int) -> list[Party]:
    addresses = [(f"10.0.0.{i}", 7_946) for i in range(2)]
    return [world.add(f"m{i}", addresses) for i in range(count)]


@settings(max_examples=40)
@given(st.integers(0, 1000), SCHEDULE)
def test_views_agree_within_the_bound_and_nothing_old_comes_back(seed: int, schedule: list[Any]) -> None:
    world = World(seed, RULES)
    watch = Watch(world)
    parties = begin(world, 5)
    for wait, trouble in schedule:
        world.run(wait)
        cause(world, parties, trouble)
        watch.check_bounds()
    heal(world)
    world.run(max([0.0, *(max(p.stopped_until, p.blocked_until) - world.now for p in parties if p.up)]))
    world.run(21_000.0)  # restarts that are still to come, and datagrams still on their way
    if not any(p.up for p in parties[:2]):
        world.restart(parties[0], seeds(parties))  # seeds that are all gone are another test
    assert world.run(HEALED_MS, lambda: agree(world)), [
        (p.name, p.up, sorted((e.record.name, e.status.name) for e in p.state.table.entries.values()))
        for p in parties]
    there = {p.state.own.record.session for p in parties if p.up}
    watch.over = watch.lives - there
    for sent, target, heard in watch.old:  # comes once more, twice as late as the wire lets it
        if target.up and sent > world.now - 2 * MOST_AGE_MS:
            world.at(world.now, world._step, target, heard)
    world.run(2_000.0)
    assert world.run(HEALED_MS, lambda: agree(world))
    world.run(RULES.tombstone_keep_ms(5) + 30_000.0)
    assert agree(world)
    watch.check_bounds()
