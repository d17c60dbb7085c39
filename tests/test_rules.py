"""The four rules and their edge cases."""

from __future__ import annotations

from dataclasses import replace

import pytest

from helpers import World, only, sent_to, settings
from flintfield.decision.interface import (
    Cancel, Effect, Entry, Fail, ClientLeft, Group, ListMode, Outcome, Refuse, RequestClass, Send, ServerList,
    State, Watch,
)

TWO_CELLS = [Entry(1, cell=1, zone=1), Entry(2, cell=1, zone=1), Entry(3, cell=2, zone=1), Entry(4, cell=3)]


def test_an_answer_is_given_before_the_deadline_without_any_outcome() -> None:
    world = World(settings(), [Entry(1)])
    world.request(7)
    world.wait(4_000)
    assert not only([a for _, a in world.log], Refuse)
    world.wait(1_000)
    ends = [(t, a) for t, a in world.log if isinstance(a, Refuse | Fail)]
    assert len(ends) == 1
    assert ends[0][0] < 6_000
    assert only([a for _, a in world.log], Cancel) == [Cancel(7, 0)]


def test_nothing_is_sent_after_the_final_answer_which_is_given_once() -> None:
    world = World(settings(), [Entry(1), Entry(2)])
    (send,) = only(world.request(7), Send)
    world.wait(5_000)
    assert not only(world.end(7, send.worker, Outcome.CANCELLED), Send)
    world.wait(2_000)
    assert len([a for _, a in world.log if isinstance(a, Refuse | Fail)]) == 1


def test_an_unsafe_job_is_failed_after_a_timeout_without_an_answer() -> None:
    world = World(settings(Effect.UNSAFE), [Entry(1)])
    world.request(7)
    actions = world.end(7, 1, Outcome.TIMEOUT)
    assert only(actions, Fail) == [Fail(7)]


def test_a_client_that_left_gets_no_answer() -> None:
    world = World(settings(), [Entry(1)])
    world.request(7)
    assert world.feed(ClientLeft(7)) == [Cancel(7, 0)]
    world.wait(6_000)
    assert not [a for _, a in world.log if isinstance(a, Refuse | Fail)]


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_an_unsafe_job_that_may_have_run_is_failed_and_never_sent_again(outcome: Outcome) -> None:
    world = World(settings(Effect.UNSAFE), [Entry(1), Entry(2)])
    (first,) = sent_to(world.request(7))
    actions = world.end(7, first, outcome)
    assert not only(actions, Send)
    assert not only(actions, Refuse)
    assert only(actions, Fail) == [Fail(7)]


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED])
def test_an_unsafe_job_that_never_ran_goes_to_another_worker(outcome: Outcome) -> None:
    world = World(settings(Effect.UNSAFE), [Entry(1), Entry(2)])
    (first,) = sent_to(world.request(7))
    assert sent_to(world.end(7, first, outcome)) == [3 - first]


@pytest.mark.parametrize(("group", "allowed"), [(Group.CELL, {1, 2}), (Group.ZONE, {1, 2, 3}),
                                                (Group.ALL, {1, 2, 3, 4})])
def test_a_keyed_job_is_repeated_within_its_group_alone(group: Group, allowed: set[int]) -> None:
    seen: set[int] = set()
    for seed in range(60):
        world = World(settings(Effect.KEYED, group=group), TWO_CELLS, seed=seed)
        (first,) = sent_to(world.request(7))
        if first in (1, 2):
            seen.update(sent_to(world.end(7, first, Outcome.RESET)))
    assert seen == allowed


def test_a_keyed_job_is_not_repeated_after_its_window() -> None:
    world = World(settings(Effect.KEYED, group=Group.CELL), TWO_CELLS)
    (first,) = sent_to(world.request(7))
    world.wait(1_999)
    actions = world.end(7, first, Outcome.RESET)
    assert not only(actions, Send)
    assert not only(actions, Refuse)
    assert only(actions, Fail) == [Fail(7)]


@pytest.mark.parametrize(("group", "window_ms", "kind"), [
    (Group.ALL, 9_000, Refuse), (Group.ALL, 2_000, Fail), (Group.ALL, 5_050, Fail),
    (Group.CELL, 9_000, Fail)])
def test_a_keyed_job_that_may_have_run_is_refused_only_while_all_workers_drop_repeats(
    group: Group, window_ms: float, kind: type[Refuse | Fail]
) -> None:
    """The window must also cover the client's retry: a repeat after it would run."""
    world = World(settings(Effect.KEYED, group=group, window_ms=window_ms), [Entry(1)])
    world.request(7)
    world.wait(5_000)
    assert [type(a) for _, a in world.log if isinstance(a, Refuse | Fail)] == [kind]


def test_attempts_stay_within_the_limit() -> None:
    world = World(settings(), [Entry(n) for n in range(1, 9)])
    (worker,) = sent_to(world.request(7))
    sends = 1
    for n in range(20):
        again = sent_to(world.end(7, worker, Outcome.FULL, attempt=n))
        if not again:
            break
        worker, sends = again[0], sends + 1
    assert sends == 4


def test_a_draining_or_unlisted_worker_gets_no_jobs_from_that_moment() -> None:
    world = World(settings(), [Entry(1), Entry(2)])
    world.feed(ServerList(ListMode.DELTA, (Entry(1, State.DRAINING),)))
    assert {w for n in range(3) for w in sent_to(world.request(n))} == {2}
    world.feed(ServerList(ListMode.FULL, (Entry(1),)))
    assert {w for n in range(10, 13) for w in sent_to(world.request(n))} == {1}


def test_the_list_is_watched_from_the_start_and_again_after_a_failure() -> None:
    world = World(settings(ask_list=True), [Entry(1)])
    assert only([a for _, a in world.log], Watch)
    before = len(world.log)
    world.feed(ServerList(ListMode.FAILED))
    world.wait(3_000)
    again = only([a for _, a in world.log[before:]], Watch)
    assert len(again) == 1


def test_a_cold_worker_gets_no_more_than_its_budget_and_more_as_it_warms() -> None:
    def burst(age: float) -> int:
        world = World(settings(), [Entry(1), Entry(2)])
        world.feed(ServerList(ListMode.DELTA, (Entry(1, started_ms=world.now - age), Entry(2, State.GONE))))
        return sum(len(sent_to(world.request(n))) for n in range(40))

    cold, warm = burst(0.0), burst(9_000.0)
    # each job has an assumed cost of 500 ms; the budget is 3 x 0.2 of four slots for one second
    assert cold <= 4
    assert cold < warm


def test_a_job_does_not_return_to_a_worker_where_it_failed() -> None:
    """A worker that fails jobs immediately always has room, and would use up all attempts of a job."""
    world = World(settings(), [Entry(1), Entry(2)])
    world.set(2, full_until=world.now + 60.0)
    assert sent_to(world.request(1)) == [1]
    assert sent_to(world.end(1, 1, Outcome.ERROR)) == []  # it waits for the other worker
    assert sent_to(world.wait(200)) == [2]
    answers = world.end(1, 2, Outcome.ERROR, attempt=1)
    assert only(answers, Refuse) and not sent_to(answers)  # there is no other worker


def test_errors_of_one_class_keep_unsafe_jobs_away() -> None:
    """Otherwise each dispatcher loses an unsafe job to learn what errors of a safe class already showed."""
    classes = (RequestClass(aim_ms=500, deadline_ms=5_000), RequestClass(
        aim_ms=500, deadline_ms=5_000, effect=Effect.UNSAFE))
    world = World(replace(settings(), classes=classes), [Entry(1), Entry(2)])
    for rid in (1, 2):
        world.set(2, full_until=world.now + 20.0)
        assert sent_to(world.request(rid)) == [1]
        world.end(rid, 1, Outcome.ERROR, over=True)
        world.wait(30)
    assert [sent_to(world.request(rid, cls=1)) for rid in range(3, 6)] == [[2]] * 3
    world.wait(21_000)
    assert 1 in [w for rid in range(10, 13) for w in sent_to(world.request(rid, cls=1))]
