"""Admission under overload: the age of jobs, retries by clients, high-worth jobs."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, strategies as st

from helpers import World, only, sent_to, settings
from flintfield.decision.checkpoint import restore, save
from flintfield.decision.interface import (
    Action, Effect, Entry, Outcome, Refuse, Request, RequestClass, Send, Settings,
)
from flintfield.decision.patience import BINS, Patience

DEADLINE = 8_000.0


def trained_patience(*times_left: float, each: int = 40) -> Patience:
    """A `Patience` for one class that has seen `each` requests with each of these times left."""
    patience = Patience([DEADLINE])
    for _ in range(each):
        for left in times_left:
            patience.age(0, left)
    return patience


def test_a_retrys_age_is_the_common_time_minus_its_remaining_time() -> None:
    patience = trained_patience(7_998.0)
    assert patience.age(0, 7_200.0) == pytest.approx(798.0)
    assert patience.age(0, 7_997.0) == pytest.approx(1.0)


def test_requests_of_clients_with_less_patience_are_not_treated_as_old() -> None:
    patience = trained_patience(7_998.0, 3_000.0)
    assert patience.age(0, 3_000.0) == 0.0
    assert patience.age(0, 2_500.0) == pytest.approx(500.0)
    assert patience.age(0, 7_000.0) == pytest.approx(998.0)


def test_no_request_is_old_before_or_without_a_common_time() -> None:
    assert Patience([DEADLINE]).age(0, 100.0) == 0.0
    spread = Patience([DEADLINE])
    assert max(spread.age(0, DEADLINE * (n * 37 % 100) / 100) for n in range(400)) == 0.0


def test_a_storm_of_retries_does_not_make_them_look_new() -> None:
    patience = trained_patience(7_998.0)
    for n in range(600):  # one first try in ten
        patience.age(0, 7_998.0 if n % 10 == 0 else 1_000.0 + n * 71 % 6_000)
    assert patience.age(0, 4_000.0) == pytest.approx(3_998.0)


def test_old_client_patience_is_forgotten() -> None:
    patience = trained_patience(7_998.0, each=600)
    for _ in range(4_000):
        patience.age(0, 3_000.0)
    assert patience.age(0, 2_900.0) == pytest.approx(100.0)
    assert patience.common[0] == [int(3_000.0 / (DEADLINE / BINS))]


@given(st.lists(st.floats(-10.0, 20_000.0), max_size=300))
def test_an_age_is_never_negative_nor_beyond_the_longest_time_seen(times: list[float]) -> None:
    patience = Patience([DEADLINE])
    for n, left in enumerate(times):
        assert 0.0 <= patience.age(0, left) <= max(0.0, max(times[:n + 1]) - left)


def safe_and_unsafe_settings() -> Settings:
    """A safe class, and an unsafe class of ten times its worth."""
    base = settings(deadline_ms=DEADLINE, aim_ms=600, stretch=2.0)
    high_worth = RequestClass(aim_ms=400, deadline_ms=20_000, worth=10.0, stretch=2.0, effect=Effect.UNSAFE)
    return replace(base, classes=(base.classes[0], high_worth))


def full_world(given: Settings, workers: int = 1) -> World:
    """A world in which all slots are taken and the patience of the first class is known."""
    world = World(given, [Entry(n + 1) for n in range(workers)], free=1)
    for _ in range(32):
        world.dispatcher.patience.age(0, DEADLINE)
    for n in range(workers):
        world.request(900 + n, hint_ms=400.0)
    return world


def retry(world: World, rid: int, waited: float, cls: int = 0) -> list[Action]:
    """A client's retry, `waited` ms after its first try."""
    deadline = world.now + world.given.classes[cls].deadline_ms - waited
    return world.feed(Request(rid, cls, deadline, hint_ms=400.0))


def test_a_late_retry_is_refused_at_once_with_a_retry_time_while_room_is_short() -> None:
    world = full_world(safe_and_unsafe_settings())
    world.request(1, hint_ms=400.0)
    world.wait(1_400, answer_probes=0)  # the first job is given up for lack of room
    actions = retry(world, 2, 3_000.0)
    assert [r.rid for r in only(actions, Refuse)] == [2]
    assert only(actions, Refuse)[0].retry_after_ms > 0


def test_a_late_retry_is_served_if_there_is_spare_room() -> None:
    world = World(safe_and_unsafe_settings(), [Entry(1), Entry(2)], free=3)
    for _ in range(32):
        world.dispatcher.patience.age(0, DEADLINE)
    assert sent_to(retry(world, 1, 3_000.0))


def test_a_timely_retry_is_accepted_and_given_up_by_its_age() -> None:
    world = full_world(safe_and_unsafe_settings())
    retry(world, 1, 700.0)
    world.request(2, hint_ms=400.0)
    world.wait(600, answer_probes=0)
    assert [r.rid for r in only([a for _, a in world.log], Refuse)] == [1]


def test_room_goes_to_a_new_job_before_a_late_retry() -> None:
    world = World(safe_and_unsafe_settings(), [Entry(1)], free=2)
    for _ in range(32):
        world.dispatcher.patience.age(0, DEADLINE)
    world.request(900, hint_ms=400.0)
    assert sent_to(retry(world, 1, 3_000.0)) == [1]
    world.end(1, 1, Outcome.FULL)
    world.request(2, hint_ms=400.0)
    world.now += 250
    actions = world.end(900, 1, Outcome.OK, over=True)
    assert [a.rid for a in only(actions, Send)][:1] == [2]


def test_a_high_worth_job_queues_instead_of_being_refused_and_others_do_not() -> None:
    for cls, queues in ((0, False), (1, True)):
        world = full_world(safe_and_unsafe_settings())
        assert not sent_to(world.request(1, cls=cls, hint_ms=400.0))
        sent = only(world.wait(1_400, answer_probes=0), Send)
        assert [s.rid for s in sent] == ([1] if queues else [])


def test_held_high_worth_jobs_go_oldest_first_and_others_newest_first() -> None:
    for cls, first in ((0, 2), (1, 1)):
        world = full_world(safe_and_unsafe_settings())
        for rid in (1, 2):
            world.request(rid, cls=cls, hint_ms=400.0)
            world.now += 1
        actions = world.end(900, 1, Outcome.OK, over=True)
        assert [a.rid for a in only(actions, Send)] == [first]


def test_patience_is_in_a_checkpoint() -> None:
    world = full_world(safe_and_unsafe_settings())
    again = restore(world.given, save(world.dispatcher))
    assert again.patience.age(0, 7_000.0) == world.dispatcher.patience.age(0, 7_000.0) > 900.0
