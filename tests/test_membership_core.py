"""The membership core: the rules of the table one by one, and the hard cases in virtual time."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import replace

import pytest
from hypothesis import given, strategies as st
from msgspec.structs import replace as with_fields

from flintfield.lab.membership.world import Network, Party, Views, World
from flintfield.membership.core import step
from flintfield.membership.gossip import Gossip
from flintfield.membership.judging import NEEDS
from flintfield.membership.messages import (
    Ack, Address, Alive, Begin, Changed, Dead, Effect, Heard, Known, Left, OpenExchange, Ping, Record, Send,
    SessionSet, Status, Suspect, TableTold, Update, Woke, size_of, )
from flintfield.membership.rules import MOST_DATAGRAM, SEALING, Rules, plain_swim
from flintfield.membership.state import State

ALIVE, SUSPECT, DEAD, LEFT = Status
RULES = Rules()
X = Record("x", "10.0.0.9", 7946, 99, 5)


class Alone:
    """One member, told what the test says."""

    def __init__(self, rules: Rules = RULES, seeds: Sequence[Address] = ()) -> None:
        self.now = 0.0
        self.state = State(rules, Record("me", "10.0.0.1", 7946, 1, 1), seeds, random.Random(1))
        step(self.state, 0.0, Begin())

    def hear(self, *updates: Update, to: int | None = None) -> list[Effect]:
        to = self.state.own.record.session if to is None else to
        return step(self.state, self.now, Heard(X.address, 99, to, updates))

    def wait(self, ms: float) -> list[Effect]:
        end, effects = self.now + ms, list[Effect]()
        while (due := self.state.next_at()) is not None and due <= end:
            self.now = max(self.now, due)
            effects += step(self.state, self.now, Woke())
        self.now = end
        return effects

    def status(self, name: str = "x") -> Status | None:
        entry = self.state.table.get(name)
        return entry.status if entry else None


def x(**fields: object) -> Record:
    return with_fields(X, **fields)


def word(status: Status, incarnation: int) -> Update:
    match status:
        case Status.ALIVE:
            return Alive(x(incarnation=incarnation))
        case Status.SUSPECT:
            return Suspect("x", incarnation, "z")
        case Status.DEAD:
            return Dead("x", incarnation, "z")
        case _:
            return Left("x", incarnation)


@pytest.mark.parametrize("known", Status)
@pytest.mark.parametrize("heard", Status)
@pytest.mark.parametrize("rise", [-1, 0, 1])
def test_word_is_taken_as_the_table_of_rules_says(known: Status, heard: Status, rise: int) -> None:
    one = Alone()
    one.hear(word(ALIVE, 5))
    one.hear(word(known, 5))
    assert one.status() is known
    one.hear(word(heard, 5 + rise))
    least = NEEDS.get((known, heard))
    assert one.status() is (heard if least is not None and rise >= least else known)


def test_a_member_objects_to_what_is_said_of_it_and_nobody_else_raises_its_incarnation() -> None:
    one = Alone()
    said: tuple[Update, ...] = (Suspect("me", 1, "z"), Dead("me", 2, "z"), Left("me", 7))
    for n, update in enumerate(said):
        one.hear(update)
        assert one.state.own.record.incarnation == (2, 3, 8)[n] and one.status("me") is ALIVE
    one.hear(Suspect("me", 3, "z"))  # old word
    assert one.state.own.record.incarnation == 8


def test_voices_shorten_a_suspicion_as_the_formula_says() -> None:
    for voices in range(5):
        one = Alone()
        one.hear(*(Alive(x(name=f"m{i}", session=i + 10)) for i in range(8)))
        one.hear(Alive(X), *(Suspect("x", 5, f"m{i % (voices + 1)}") for i in range(9)))
        least, most, k = 4_000.0, 24_000.0, 3
        wanted = max(least, most - (most - least) * math.log(min(voices, k) + 1) / math.log(k + 1))
        suspicion = one.state.table.entries["x"].suspicion
        assert suspicion and suspicion.ends - suspicion.began == pytest.approx(wanted)


def test_who_does_not_object_in_time_is_dead() -> None:
    one = Alone()
    one.hear(Alive(X), Suspect("x", 5, "z"))
    one.wait(3_999)
    assert one.status() is SUSPECT
    asked = [e for e in one.wait(2) if isinstance(e, Send)]
    assert any(isinstance(p, Suspect) and p.name == "x" for e in asked for p in e.parts)  # once more, before
    assert [e.after for e in one.wait(300) if isinstance(e, Changed)] == [DEAD]


@pytest.mark.parametrize(("n", "seconds"), [(1, 4.0), (10, 4.0), (100, 8.0), (1000, 12.0)])
def test_the_least_suspicion_grows_as_log_n(n: int, seconds: float) -> None:
    assert RULES.suspicion_least_ms(n) == pytest.approx(seconds * 1000)
    assert plain_swim().suspicion_ms(n, 0) == pytest.approx(seconds * 1000)


def test_a_datagram_for_an_earlier_life_counts_for_nothing_and_is_answered() -> None:
    one = Alone()
    effects = one.hear(Alive(X), to=77)
    assert one.status() is None
    assert [type(e.parts[0]).__name__ for e in effects if isinstance(e, Send)] == ["Astray"]
    one.hear(Alive(X))
    assert one.status() is ALIVE
    old = one.state.own.record.session
    step(one.state, one.now, SessionSet(1234))
    one.hear(Suspect("x", 5, "z"), to=old)  # the old session is still answered to
    assert one.status() is SUSPECT
    one.wait(60_001)
    one.hear(word(ALIVE, 9), to=old)
    assert one.status() is not ALIVE


def test_who_speaks_and_is_unknown_is_asked_for_its_table_once_a_period() -> None:
    one = Alone()

    def asked() -> list[Address]:
        effects = step(one.state, one.now, Heard(X.address, 99, one.state.own.record.session, (Ping(1),)))
        return [e.address for e in effects if isinstance(e, OpenExchange)]

    assert asked() == [X.address]
    assert asked() == []
    one.wait(RULES.probe_ms)
    assert asked() == [X.address]
    one.wait(RULES.probe_ms)
    one.hear(Alive(X))
    assert asked() == []


def test_a_member_that_missed_all_news_of_another_hears_of_it_by_its_first_probe() -> None:
    world = World(1, RULES)
    parties = world.settled(5)
    one, other = parties[2], parties[4]
    one.state.table.remove(other.name)
    world.run(5 * RULES.probe_ms)  # the other's round of probes comes to everybody within four periods
    assert (entry := one.state.table.get(other.name)) is not None
    assert entry.status is ALIVE


def test_a_tombstone_ends_and_its_age_goes_along_with_tables() -> None:
    one = Alone()
    keep = RULES.tombstone_keep_ms(1)
    line = Known(X, 5, int(DEAD), keep / 2)
    step(one.state, one.now, TableTold(X.address, (Known(x(name="y", session=5), 1, 0), line)))
    assert one.status() is DEAD
    one.hear(word(ALIVE, 5))
    assert one.status() is DEAD  # old word does not bring it back
    one.wait(keep / 2 + 1)
    assert one.status() is None


def test_death_in_a_table_is_a_suspicion_for_who_believes_in_the_member() -> None:
    one = Alone()
    one.hear(Alive(X))
    step(one.state, one.now, TableTold(("10.0.0.2", 7946), (
        Known(x(name="y", session=5), 1, 0), Known(X, 5, int(DEAD), 1e6))))
    assert one.status() is SUSPECT


def test_gossip_is_not_believed_before_the_first_table() -> None:
    one = Alone(seeds=[("10.0.0.2", 7946)])
    one.hear(Alive(X))
    assert one.status() is None
    step(one.state, one.now, TableTold(("10.0.0.2", 7946), (Known(x(name="y", session=5), 1, 0),)))
    one.hear(Alive(X))
    assert one.status() is ALIVE


def test_a_full_table_drops_the_gone_first_and_refuses_beyond(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("flintfield.membership.table.MOST_MEMBERS", 4)
    one = Alone()
    for i in range(3):
        one.hear(Alive(x(name=f"m{i}", session=i + 10)))
    one.hear(Dead("m1", 5, "z"))
    one.hear(Alive(X))
    assert set(one.state.table.entries) == {"me", "m0", "m2", "x"}
    one.hear(Alive(x(name="more", session=50)))
    assert one.status("more") is None and one.state.counters["table_full"] == 1


@given(st.lists(st.tuples(st.integers(0, 30), st.sampled_from(Status), st.integers(0, 3)), max_size=60),
       st.integers(60, 400))
def test_gossip_is_bounded_and_tells_the_least_told_first(
    said: list[tuple[int, Status, int]], room: int
) -> None:
    queue, newest = Gossip(), dict[str, set[Update]]()
    for number, status, by in said:
        name = f"m{number}"
        update: Update = Suspect(name, 1, f"z{by}") if status is SUSPECT else Dead(name, by, "z")
        queue.put(name, update)
        kept = {u for u in newest.get(name, set()) if isinstance(u, Suspect) and isinstance(update, Suspect)}
        newest[name] = kept | {update}
    wanted = {u for updates in newest.values() for u in updates}
    assert len(queue) == len(wanted)
    sent: list[Update] = []
    while taken := queue.take(room, 3):
        sent += taken
        counts = [sent.count(u) for u in wanted]
        assert max(counts) - min(counts) <= 1
    assert sorted(map(repr, sent)) == sorted(map(repr, list(wanted) * 3)) and len(queue) == 0


# ---------------------------------------------------------------------- hard cases in virtual time


def settled(
    count: int, seed: int = 1, rules: Rules = RULES, **network: float
) -> tuple[World, list[Party], Views]:
    world, views = World(seed, rules, Network(**network)), Views()
    world.watchers.append(views.watch)
    return world, world.settled(count), views


def deaths(views: Views) -> list[Changed]:
    return [c for _, _, c in views.changes if c.after is DEAD]


def statuses(party: Party) -> dict[str, Status]:
    return {name: entry.status for name, entry in party.state.table.entries.items()}


def all_alive(parties: list[Party]) -> bool:
    there = {p.state.own.record.session for p in parties}
    return all(there == {e.record.session for e in p.state.table.entries.values() if e.status is ALIVE}
               for p in parties)


def test_one_way_loss_kills_nobody() -> None:
    world, parties, views = settled(6)
    world.cuts.add((parties[0].address, parties[1].address))
    world.cuts |= {(parties[2].address, p.address) for p in parties[3:5]}
    world.run(120_000)
    assert not deaths(views) and all_alive(parties)


@pytest.mark.parametrize("count", [3, 8, 40])
def test_a_member_stopped_for_5_s_is_not_declared_dead(count: int) -> None:
    world, parties, views = settled(count)
    for party in (parties[1], parties[2]):
        world.run(20_000)
        world.stop(party, 5_000)
    world.run(40_000)
    assert not deaths(views) and all_alive(parties)
    assert parties[1].state.counters["stalls"] >= 1


def test_one_that_alone_holds_a_living_member_for_dead_is_set_right_by_it() -> None:
    took = []
    for seed in range(10):
        world, parties, _ = settled(5, seed=seed)
        world.run(20_000)
        wrong, name, began = parties[1].state.table, parties[2].state.name, world.now
        entry = wrong.get(name)
        assert entry is not None
        wrong.set_status(entry, DEAD, began, "it missed the news of a return")
        world.run(60_000, lambda: statuses(parties[1])[name] is ALIVE)  # noqa: B023
        took.append(world.now - began)
    assert max(took) < 8_000 and sum(p.state.counters["dead_spoke"] for p in parties) > 0


def test_halves_of_a_lasting_split_grow_together_again() -> None:
    rules = replace(RULES, tombstone_ms=60_000.0)
    world, parties, views = settled(10, rules=rules)
    for party in parties[:5]:
        party.side = 1
        party.state.meeting.seeds = [parties[7].address]
    for minutes in (1, 30):  # the second outlasts all tombstones: only seeds lead back
        world.run(minutes * 60_000)
        assert {s for p in parties[:5] for n, s in statuses(p).items() if n == "m9"} <= {DEAD, None}
        assert len(parties[9].state.table.entries) == (10 if minutes == 1 else 5)
        for party in parties[:5]:
            party.side = 0
        assert world.run(40_000, lambda: all_alive(parties)), views.changes[-20:]
        for party in parties[:5]:
            party.side = 1


def test_a_third_restarted_within_10_s_with_no_memory_is_back_and_no_other_is_doubted_to_death() -> None:
    world, parties, views = settled(30)
    world.run(10_000)
    seeds = [parties[20].address, parties[0].address]
    for party in parties[:10]:
        world.run(1_000)
        world.restart(party, seeds, after_ms=500)
    assert world.run(20_000, lambda: all_alive(parties))
    old = {p.state.own.record.session for p in parties[10:]}
    assert not [c for c in deaths(views) if c.record.session in old]


def test_two_members_with_one_name_are_both_there_and_told_of() -> None:
    world, parties, views = settled(5)
    twin = world.add("m2", [parties[0].address], host="10.9.9.9")
    assert world.run(60_000, lambda: all_alive([*parties, twin]))
    names = {p.name for p in (*parties, twin)}
    assert len(names) == 6 and {"m2"} < {n for n in names if n.startswith("m2")}
    assert [n.event for _, _, n in views.notes].count("name taken by another member") == 1
    before = {p.name: p.state.own.record.incarnation for p in (*parties, twin)}
    world.run(120_000)
    assert before == {p.name: p.state.own.record.incarnation for p in (*parties, twin)}  # and no war


def test_a_namesake_that_is_gone_is_a_former_life_at_another_address() -> None:
    world, parties, _ = settled(4)
    world.kill(parties[2])
    moved = world.add("m2", [parties[0].address], host="10.9.9.9")
    there = [parties[0], parties[1], parties[3], moved]
    assert world.run(30_000, lambda: all_alive(there)) and moved.name == "m2"
    assert all(p.state.table.entries["m2"].record.host == "10.9.9.9" for p in there)


def test_a_flapping_member_ends_as_it_stands_and_drags_no_other_along() -> None:
    world, parties, views = settled(8)
    for _ in range(30):
        world.restart(parties[3], [parties[0].address], after_ms=1_500)
        world.run(4_000)
    assert world.run(20_000, lambda: all_alive(parties))
    assert {c.record.name for c in deaths(views)} <= {"m3"}
    assert all(len(p.state.table) == 8 and len(p.state.table.sessions) == 8 for p in parties)


def test_seeds_that_are_all_dead_are_asked_more_and_more_rarely_and_one_that_comes_is_found() -> None:
    world, views = World(3, RULES), Views()
    world.watchers.append(views.watch)
    opened: list[float] = []
    world.watchers.append(lambda now, _, e: opened.append(now) if isinstance(e, OpenExchange) else None)
    seed = ("10.5.5.5", 7_946)
    lone = world.add("lone", [seed, ("10.5.5.6", 7_946)])
    world.run(3_600_000)
    assert len(opened) < 2 * 80 and not lone.state.meeting.joined
    late = world.add("late", (), host="10.5.5.5")
    assert world.run(90_000, lambda: all_alive([lone, late]))
    assert lone.state.meeting.joined and "no seed answers" in [n.event for _, _, n in views.notes]


@pytest.mark.parametrize("jumps", [[200_000.0], [-100_000.0], [-50_000.0, 250_000.0, -3_600_000.0]])
def test_a_clock_that_jumps_kills_nobody(jumps: list[float]) -> None:
    world, parties, views = settled(6)
    for ms in jumps:
        world.run(15_000)
        world.jump(parties[0], ms)
    world.run(60_000)
    assert not deaths(views) and all_alive(parties)
    sent = parties[0].state.counters["probes.sent"]
    world.run(10_000)
    assert parties[0].state.counters["probes.sent"] >= sent + 4  # it goes on probing


def test_a_member_stopped_for_half_a_tombstones_life_forgets_all_and_joins_anew() -> None:
    world, parties, views = settled(5)
    sessions = {p.name: p.state.own.record.session for p in parties}
    world.stop(parties[1], RULES.tombstone_keep_ms(5))
    world.run(1_000)
    world.kill(parties[4])
    world.run(RULES.tombstone_keep_ms(5))
    there = parties[:4]
    assert world.run(60_000, lambda: all_alive(there))
    assert "stopped for too long, joining anew" in [n.event for _, _, n in views.notes]
    late = [c for t, _, c in views.changes
            if t > 100_000 and c.after is ALIVE and c.record.session == sessions["m4"]]
    assert not late  # the sleeper did not bring back who died meanwhile


def test_metadata_that_changes_100_times_a_second_is_told_once_a_second() -> None:
    world, parties, _ = settled(10)
    world.run(5_000)
    before = sum(p.sent_bytes for p in parties)
    for n in range(2_000):
        world.set_meta(parties[0], b"%d" % n)
        world.run(10)
    assert sum(p.sent_bytes for p in parties) - before < 10 * 20 * 2_000  # 2 kB a second for each member
    assert 15 <= parties[0].state.own.record.version <= 22
    assert world.run(5_000, lambda: all(p.state.table.entries["m0"].record.meta == b"1999" for p in parties))


def test_a_leave_is_told_apart_from_a_death_and_seen_by_all_at_once() -> None:
    world, parties, views = settled(12)
    world.leave(parties[3])
    assert world.run(3_000, lambda: all(statuses(p)["m3"] is LEFT for p in parties if p.up))
    world.run(30_000)
    assert parties[3].left and not deaths(views)
    assert not [c for _, _, c in views.changes if c.after is SUSPECT]


def test_no_datagram_is_too_long_whatever_is_told() -> None:
    world, parties, _ = settled(40, loss=0.2)
    sizes: list[int] = []
    world.watchers.append(
        lambda _, p, e: sizes.append(sum(map(size_of, e.parts))) if isinstance(e, Send) else None)
    for n, party in enumerate(parties):
        world.set_meta(party, bytes([n]) * 512)
    world.run(20_000)
    assert 1_000 < max(sizes) <= MOST_DATAGRAM - SEALING
    assert all(p.state.table.entries["m39"].record.meta == bytes([39]) * 512 for p in parties)


def test_the_same_seed_gives_the_same_run() -> None:
    def play(seed: int) -> list[tuple[float, str, str]]:
        world, parties, views = settled(10, seed, loss=0.2, double=0.1)
        world.run(10_000)
        world.kill(parties[4])
        world.run(20_000)
        return [(t, p.name, repr(c)) for t, p, c in views.changes]

    assert play(5) == play(5) != play(6)


def test_an_ack_counts_only_for_its_own_probe() -> None:
    one = Alone()
    one.hear(Alive(X))
    sent = [part for e in one.wait(1_000) if isinstance(e, Send) for part in e.parts]
    pings = [part for part in sent if isinstance(part, Ping)]
    step(one.state, one.now, Heard(X.address, 99, 1, (Ack(pings[-1].number + 1),)))
    assert one.state.probe is not None and one.state.counters["probes.late_word"] == 1
    step(one.state, one.now, Heard(X.address, 99, 1, (Ack(pings[-1].number),)))
    assert one.state.probe is None


@pytest.mark.parametrize("seed", range(6))  # for some the new session is the lower number
def test_one_that_died_and_comes_back_with_nothing_is_taken_in_again(seed: int) -> None:
    world, parties, _ = settled(4, seed)
    world.kill(parties[1])
    world.run(20_000)
    assert statuses(parties[0])["m1"] is DEAD
    world.restart(parties[1], [parties[0].address])
    assert world.run(5_000, lambda: all_alive(parties))
