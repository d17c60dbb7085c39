"""Shared judgements: what is told, merged and believed, and what the decisions make of it."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings as drawn, strategies as st
from msgspec.structs import replace

from helpers import World, only, sent_to, settings
from flintfield.decision.peer_evidence import PeerEvidenceDispatcher
from flintfield.decision.interface import (
    Entry, PeerObservation, PeerObservations, ListMode, Outcome, Probe, Probed, Report, ServerList,
)
from flintfield.lab import scenario as scenarios, virtual
from flintfield.lab.judge import judge
from flintfield.lab.virtual.judgements import SharedEngine
from flintfield.sharing.evidence import MOST_ROWS, News, Others, Own, Row, Tally, read, write
from flintfield.sharing.experience import Look
from flintfield.sharing.judging import EACH, MOST_OUT, PRIOR, STALE_MS, Judgements

NODES = range(100, 120)


def group(count: int, zones: int = 3) -> list[Judgements]:
    """So many instances that know a list of worker nodes."""
    parts = [Judgements(place, count, 1_000 + place, place % zones) for place in range(count)]
    for part in parts:
        part.forget(NODES)
    return parts


def pass_words(parts: list[Judgements], now: float, lost: Collection[tuple[int, int]] = ()) -> None:
    """All that is due is told, but for what is lost from one to another."""
    words = [(part.place, to, news) for part in parts for to, news in part.tell(now, range(len(parts)))]
    for teller, to, news in words:
        if (teller, to) not in lost:
            parts[to].hear(now, msgspec.msgpack.decode(write(news), type=News))


def talk(parts: list[Judgements], began: float, until: float, lost: Collection[tuple[int, int]] = ()) -> None:
    """Words pass every 60 ms."""
    now = began
    while now <= until:
        pass_words(parts, now, lost)
        now += 60.0


def heard(part: Judgements, now: float, worker: int) -> tuple[float, tuple[int, ...], bool]:
    part.step(now)
    found = part._told.get(worker)
    return (found.held, found.avoid, found.unreached) if found else (0.0, (), False)


def test_slots_that_others_hold_are_known_within_two_words_and_fade_when_nobody_speaks() -> None:
    parts = group(3)
    talk(parts, 0, 300)
    parts[1].look(400, Look(100, 2.0, 3.0, 0, False))
    talk(parts, 420, 660)
    assert heard(parts[0], 660, 100)[0] == pytest.approx(2.0)
    assert parts[0].weight(660) == 1.0
    assert heard(parts[0], 660 + 3 * STALE_MS, 100)[0] == 0.0
    assert parts[0].weight(660 + 3 * STALE_MS) == 0.0


def test_a_lost_word_is_made_good_by_the_next() -> None:
    parts = group(2)
    talk(parts, 0, 300)
    parts[1].look(400, Look(100, 2.0, 3.0, 0, False))
    pass_words(parts, 420, {(1, 0)})
    parts[1].look(440, Look(101, 1.0, 3.0, 0, False))
    talk(parts, 500, 700)
    assert heard(parts[0], 700, 100)[0] == pytest.approx(2.0, abs=0.1)


def test_one_that_hears_us_not_is_not_believed_to_be_fresh() -> None:
    parts = group(2)
    talk(parts, 0, 2_000, lost={(0, 1)})
    assert parts[0].others.by_place[1].upto == 0
    assert parts[0].weight(2_000) == 0.0


def test_a_class_that_fails_for_one_is_tried_by_the_drawn_one_alone_and_for_two_by_none() -> None:
    parts = group(5)
    talk(parts, 0, 300)
    parts[0].ended(400, 100, 0, 1, failed=True)
    talk(parts, 420, 660)
    others = parts[1:]
    trying = [p for p in others if not heard(p, 660, 100)[1]]
    drawn = min(parts, key=lambda p: p.draw(p.place, 100))
    assert [p.place for p in trying] == ([drawn.place] if drawn.place else [])
    parts[1].ended(700, 100, 0, 1, failed=True)
    parts[2].ended(700, 100, 0, 1, failed=True)
    talk(parts, 720, 960)
    assert all(heard(p, 960, 100)[1] == (1,) for p in parts[3:])


def test_own_experience_overrules_what_is_heard() -> None:
    parts = group(4)
    talk(parts, 0, 300)
    for part in parts[1:]:
        for _ in range(9):
            part.ended(400, 100, 0, 1, failed=True)
    talk(parts, 420, 660)
    assert heard(parts[0], 660, 100)[1] == (1,)
    for _ in range(30):
        parts[0].ended(700, 100, 0, 1, failed=False)
    assert heard(parts[0], 720, 100)[1] == ()


def test_a_new_life_of_a_worker_node_begins_without_a_past() -> None:
    parts = group(3)
    talk(parts, 0, 300)
    for part in parts[1:]:
        part.ended(400, 100, 5, 1, failed=True)
    talk(parts, 420, 660)
    assert heard(parts[0], 660, 100)[1] == (1,)
    parts[0].look(700, Look(100, 0.0, 2.0, 9, False))
    parts[0]._dirty.add(100)
    assert heard(parts[0], 720, 100)[1] == ()


@pytest.mark.parametrize(
    ("tellers", "believed"), [((1,), False), ((1, 4), False), ((1, 2), True), ((3, 6), True)])
def test_not_reached_is_believed_of_two_that_share_no_fate_or_stand_as_we_do(
    tellers: tuple[int, ...], believed: bool
) -> None:
    parts = group(9)
    talk(parts, 0, 300)
    for place in tellers:
        parts[place].look(400, Look(100, 0.0, 2.0, 0, True))
    talk(parts, 420, 660)
    assert heard(parts[0], 660, 100)[2] is believed


def test_one_of_our_zone_that_reaches_it_stands_against_others() -> None:
    parts = group(9)
    talk(parts, 0, 300)
    for place in (1, 2):
        parts[place].look(400, Look(100, 0.0, 2.0, 0, True))
    parts[3].look(400, Look(100, 1.0, 2.0, 0, False))
    talk(parts, 420, 660)
    assert heard(parts[0], 660, 100)[2] is False


def test_what_is_out_on_hearsay_is_bounded_and_one_that_blames_all_is_not_believed() -> None:
    parts = group(4)
    talk(parts, 0, 300)
    for part in parts[1:]:
        for worker in list(NODES)[:5]:
            part.ended(400, worker, 0, 1, failed=True)
            part.ended(400, worker, 0, 1, failed=True)
    for worker in list(NODES)[5:7]:
        for part in parts[1:3]:
            part.ended(400, worker, 0, 1, failed=True)
    talk(parts, 420, 900)
    parts[0].step(900)
    assert len(parts[0].out.get(1, {})) <= MOST_OUT * len(NODES)
    fresh = group(4)
    talk(fresh, 0, 300)
    for worker in NODES:
        fresh[1].ended(400, worker, 0, 1, failed=True)
    talk(fresh, 420, 900)
    fresh[0].step(900)
    assert not fresh[0].out.get(1)


TALLIES = st.lists(st.tuples(st.integers(0, 10**6), st.integers(0, 10**6)), min_size=1, max_size=40)


@given(TALLIES)
def test_no_history_gives_others_more_weight_than_stated(told: list[tuple[int, int]]) -> None:
    part = group(2)[0]
    tallies = [Tally(1, f, s) for f, s in told]
    sure = part.failing(0, 100, 1, tallies)
    assert (0 + 0.05) / (PRIOR + 1) <= sure <= (PRIOR + 0.05) / (PRIOR + 1)
    if len(told) == 1:
        assert sure <= (min(EACH, 1.0) + 0.05) / 2.0


@drawn(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 6), st.integers(0, 9)), min_size=1, max_size=60),
       st.lists(st.integers(0, 10**6), min_size=1, max_size=30), st.randoms(use_true_random=False))
def test_words_in_any_order_and_number_come_to_the_same(
    changes: list[tuple[int, int]], marks: list[int], random: Any
) -> None:
    own, words = Own(), []
    for n, (worker, held) in enumerate(changes):
        own.put(Row(worker, held), n)
        rows, upto = own.after(0)
        words.append(News(1, 7, 0, n, 0, upto, 0, 0, 0, rows))
    once, often = Others(3), Others(3)
    for word in words:
        once.take(word)
    shuffled = [words[m % len(words)] for m in marks] + words
    random.shuffle(shuffled)
    for word in shuffled:
        often.take(word)
    assert once.by_place[1].rows == often.by_place[1].rows
    assert once.by_worker == often.by_worker


def test_an_older_life_changes_nothing_and_a_newer_one_takes_its_place() -> None:
    others = Others(3)
    others.take(News(1, 7, 0, 5, 0, 5, 0, 0, 0, [Row(100, 20)]))
    assert others.take(News(1, 6, 0, 9, 0, 9, 0, 0, 0, [Row(101, 20)])) is None
    assert others.take(News(1, 8, 0, 1, 0, 1, 0, 0, 0, [Row(102, 10)])) == [100, 102]
    assert set(others.by_worker) == {102}


def test_a_word_holds_at_most_so_many_rows_and_the_rest_follows() -> None:
    parts = group(2)
    for part in parts:
        part.forget(range(1_000))
    talk(parts, 0, 300)
    for worker in range(200):
        parts[1].look(400, Look(worker, 1.0, 3.0, 0, False))
    ((_, news),) = parts[1].tell(420, [0])
    assert len(news.rows) == MOST_ROWS and len(write(news)) < 1_024
    talk(parts, 480, 2_400)
    assert len(parts[0].others.by_place[1].rows) == 200


def test_deploys_in_which_every_name_is_new_leave_nothing_behind() -> None:
    parts = group(2)
    now = 0.0
    for deploy in range(30):
        nodes = range(1_000 * deploy, 1_000 * deploy + 20)
        for part in parts:
            part.step(now)
            part.forget(nodes)
        for worker in nodes:
            parts[1].look(now, Look(worker, 1.0, 3.0, 0, False))
            parts[1].ended(now, worker, 0, 1, failed=True)
        talk(parts, now + 60, now + 600)
        now += 660
    assert len(parts[0].others.by_place[1].rows) <= 2 * 20 + 64 + 20
    assert len(parts[0].others.by_worker) <= 2 * 20 + 64 + 20
    assert len(parts[1].own.after(0)[0]) <= 20 and len(parts[1]._memory) <= 20
    assert all(w in nodes for those in parts[0].out.values() for w in those)


def test_nonsense_is_turned_down() -> None:
    part = group(3)[0]
    good = News(1, 7, 0, 5, 0, 5, 0, 0, 0, [Row(100, 20)])
    for wrong in (replace(good, place=0), replace(good, place=900), replace(good, echo=10**9),
                  replace(good, to=part.life, had=10**9), replace(good, since=3)):
        assert not part.hear(10.0, wrong)
    assert read(b"\xc1") is None and read(write(replace(good, rows=[Row(100, 10**9)]))) is None
    assert part.hear(10.0, good)


# ------------------------------------------------------------------- decisions


def heeding(entries: list[Entry], free: float = 4) -> World:
    world = World(settings(), entries, free=None)
    world.dispatcher = PeerEvidenceDispatcher(world.given, 1)
    world.feed(ServerList(ListMode.CACHED, tuple(entries)))
    for entry in entries:
        world.dispatcher.workers[entry.worker].most = free
    return world


def test_held_slots_that_are_heard_take_the_place_of_the_guess_and_leave_it_when_others_fall_silent() -> None:
    world = heeding([Entry(1)])
    worker = world.dispatcher.workers[1]
    worker.others = 2.0
    world.feed(PeerObservations(1.0, (PeerObservation(1, 0.0, 4.0),)))
    assert worker.others == 0.0
    world.feed(PeerObservations(0.5, (PeerObservation(1, 1.0, 4.0),)))
    assert worker.others == pytest.approx(2.0)
    world.feed(PeerObservations(0.0, (PeerObservation(1, 0.0, 4.0),)))
    assert worker.others == pytest.approx(2.0)


def test_a_node_that_others_do_not_reach_gets_nothing_until_our_own_probe_ends() -> None:
    world = heeding([Entry(1), Entry(2)])
    world.feed(PeerObservations(1.0, (PeerObservation(1, 0.0, 4.0, (), True),)))
    assert {w for n in range(6) for w in sent_to(world.request(n))} == {2}
    asked = [p.worker for p in only(world.wait(250, answer_probes=None), Probe)]
    assert 1 in asked
    world.feed(PeerObservations(1.0, (PeerObservation(1, 0.0, 4.0, (), True),)))

    world.feed(Probed(1, Outcome.OK, 1.0, Report(free=4)))
    assert 1 in {w for n in range(10, 16) for w in sent_to(world.request(n))}


def test_what_is_told_of_jobs_names_the_worker_the_class_and_the_end() -> None:
    world = heeding([Entry(1)])
    world.request(1)
    changed, _ = world.dispatcher.news()  # type: ignore[attr-defined]
    assert [(w.entry.worker, w.mine) for w in changed] == [(1, 1.0)]
    world.end(1, 1, Outcome.ERROR, over=True)
    changed, ends = world.dispatcher.news()  # type: ignore[attr-defined]
    assert ends == [(1, 0, True)] and changed[0].mine == 0.0


def test_schedulers_that_share_judgements_serve_more_and_keep_the_rules_and_the_bound() -> None:
    plain = scenarios.load("site-calm")
    plain = replace(plain, length_s=12.0)
    sharing = replace(plain, sharing=scenarios.Sharing(judgements=True, loss=0.2, wrong=1))
    alone = judge(virtual.play(plain, 5))
    engine = SharedEngine(sharing, 5)
    together = judge(engine.run())
    assert together.kept and not engine.defects
    assert together.service.goal > alone.service.goal + 0.005
    assert together.cost.probes < alone.cost.probes
    assert engine.figures.most_out <= MOST_OUT
