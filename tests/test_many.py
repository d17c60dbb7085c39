"""Many dispatchers that each see a small part of the traffic: one test per failure found at that scale."""

from __future__ import annotations

from dataclasses import replace

from helpers import LIMITS, RULES, World, only, sent_to, settings
from flintfield.decision.interface import (
    Cancel, Effect, Entry, Fail, Group, ListMode, AttemptProgress, Outcome, Probe, Probed, Refuse, Report,
    RequestClass, Send, ServerList, Tenant,
)
from flintfield.decision.pricing import START_MS

FLEET = [Entry(n, zone=n % 2, kind=n % 3) for n in range(1, 41)]


def near(world: World) -> list[int]:
    return [w.entry.worker for w in world.dispatcher.fleet.near]


def test_one_of_many_uses_few_workers_and_together_they_use_nearly_all() -> None:
    worlds = [World(settings(dispatchers=90, me=m), FLEET, free=None) for m in range(90)]
    assert all(2 <= len(near(w)) <= 6 for w in worlds)
    assert len(set().union(*(near(w) for w in worlds))) >= 0.9 * len(FLEET)
    probes = {a.worker for a in only(worlds[0].wait(5_000), Probe)}
    assert probes and probes <= set(near(worlds[0]))


def test_a_single_dispatcher_uses_all_workers_and_a_busy_one_uses_more() -> None:
    assert len(near(World(settings(), FLEET))) == len(FLEET)
    busy = World(settings(dispatchers=90, deadline_ms=60_000.0), FLEET, free=8)
    before = len(near(busy))
    for n in range(1, 25):
        busy.request(n)
    busy.wait(3_000, answer_probes=8)
    assert len(near(busy)) > before + 5


def test_jobs_that_wait_at_workers_do_not_widen_the_near_set() -> None:
    world = World(settings(dispatchers=90, tells_start=True, late_worth=0.5), FLEET, free=8)
    before = len(near(world))
    for n in range(1, 25):
        world.request(n)
    world.wait(1_000, answer_probes=8)
    assert len(near(world)) == before


def test_the_near_set_extends_past_workers_that_can_not_serve() -> None:
    world = World(settings(dispatchers=90), FLEET, free=4)
    lost = near(world)
    restarted = tuple(replace(e, started_ms=900.0) for e in FLEET if e.worker in lost)
    world.feed(ServerList(ListMode.DELTA, restarted))
    assert len(near(world)) > len(lost)  # they are cold now, so more workers are needed
    world.feed(ServerList(ListMode.FULL, (FLEET[0],)))
    assert near(world) == [1] and sent_to(world.request(1)) == [1]


def test_a_job_for_a_kind_no_longer_listed_waits_and_is_then_refused() -> None:
    only_kind = replace(settings().classes[0], kind=2)
    world = World(replace(settings(dispatchers=90), classes=(only_kind,)), [e for e in FLEET if e.kind != 2])
    assert not sent_to(world.request(1))
    world.wait(6_000)
    assert [r.rid for r in only([a for _, a in world.log], Refuse)] == [1]


def test_local_workers_rank_before_most_others() -> None:
    homes = [FLEET[w - 1].zone == 0 for m in range(90)
             for w in near(World(settings(dispatchers=90, me=m, zone=0), FLEET, free=None))]
    assert 0.6 < sum(homes) / len(homes) < 0.95


def test_a_tenant_within_its_share_is_not_shed_at_a_small_dispatcher() -> None:
    tenants = tuple(Tenant(45.0) for _ in range(3))  # half a request a second at one of ninety
    world = World(settings(tenants=tenants, over_share_worth=0.05, dispatchers=90), FLEET, free=30)
    for number in world.dispatcher.workers:
        world.set(number, price=0.2)
    assert all(sent_to(world.request(n, tenant=n % 3)) for n in range(24))


def test_a_dispatcher_learns_that_it_has_far_more_than_one_nth_of_the_traffic() -> None:
    tenants = tuple(Tenant(45.0) for _ in range(3))
    world = World(settings(tenants=tenants, over_share_worth=0.05, dispatchers=90), FLEET, free=30)
    over = []
    for n in range(600):  # three a second per tenant, six times 1/n of its allowance
        over.append(world.dispatcher.accounts.is_over(n % 3, world.dispatcher.now))
        world.wait(111, answer_probes=30)
    assert sum(over[300:]) < 30


def test_a_late_job_waits_behind_those_that_can_still_be_in_time() -> None:
    world = World(settings(late_worth=0.25), [Entry(1)], free=1)
    for rid in (1, 2):
        world.request(rid)
    world.wait(1_500, answer_probes=0)
    world.request(3)
    order = []
    for rid in (1, 3):
        world.set(1, price=0.0)
        order += [a.rid for a in only(world.end(rid, 1, Outcome.OK, over=True, report=Report(free=1)), Send)]
    assert order == [3, 2]


def waiting_world(effect: Effect, group: Group = Group.ALL) -> tuple[World, int]:
    fleet = [Entry(1, cell=1), Entry(2, cell=1)]
    world = World(settings(effect, group=group, tells_start=True), fleet, free=1)
    (first,) = sent_to(world.request(7))
    return world, first


def test_a_waiting_repeatable_job_is_sent_to_a_second_worker_until_one_starts() -> None:
    for effect in (Effect.SAFE, Effect.KEYED):
        world, first = waiting_world(effect)
        second = sent_to(world.wait(45, answer_probes=None))
        assert second == [3 - first]
        assert only(world.feed(AttemptProgress(7, 1, second[0], started=True)), Cancel) == [Cancel(7, 0)]


def test_an_unsafe_job_is_not_sent_to_a_second_worker() -> None:
    world, _ = waiting_world(Effect.UNSAFE)
    assert not sent_to(world.wait(400))


def test_a_job_that_waits_past_its_useful_time_is_cancelled() -> None:
    world, _ = waiting_world(Effect.UNSAFE)
    ended = world.wait(1_500)
    assert only(ended, Fail) == [Fail(7)] and only(ended, Cancel) == [Cancel(7, 0)]
    started, worker = waiting_world(Effect.UNSAFE)
    started.feed(AttemptProgress(7, 0, worker, started=True))
    assert not only(started.wait(1_500), Fail)


def test_the_back_off_from_a_worker_doubles_each_time_a_job_waits_there() -> None:
    world = World(settings(Effect.UNSAFE, tells_start=True, dispatchers=90), [Entry(1)], free=9)
    rests = []
    for rid in (1, 2, 3):
        world.now += 10_000
        world.request(rid)
        world.now += 100
        world.feed(AttemptProgress(rid, 0, 1, started=True))
        rests.append(world.dispatcher.workers[1].rest)
    assert rests == [100.0, 200.0, 400.0]
    assert not sent_to(world.request(9))


def test_a_job_given_up_before_its_start_causes_back_off_from_its_worker() -> None:
    """A job cancelled there may run all the same, and other jobs still queue behind it."""
    given = settings(Effect.UNSAFE, tells_start=True, dispatchers=90, limits=replace(LIMITS, probes=False))
    world = World(given, [Entry(1)], free=9)
    rests = []
    cases = (1, Outcome.CANCELLED, 300), (2, Outcome.TIMEOUT, 100), (3, Outcome.CANCELLED, 20)
    for rid, outcome, waited in cases:
        world.now += 10_000
        world.request(rid)
        world.now += waited
        world.end(rid, 1, outcome, over=True)
        rests.append(world.dispatcher.workers[1].rest)
        assert bool(sent_to(world.request(10 + rid))) is (waited < START_MS)
    assert rests == [300.0, 600.0, 600.0]  # an immediate cancellation changes nothing


def test_a_cold_worker_is_used_by_some_and_never_overloaded_by_all() -> None:
    rules = replace(RULES, cold_ms=20_000)
    fleet = [Entry(1, started_ms=900.0), Entry(2)]
    cost = 0.0
    takers = 0
    for me in range(90):
        given = settings(dispatchers=90, me=me, rules=rules)
        world = World(given, fleet, free=8)
        for rid in range(40):
            world.request(rid, hint_ms=100.0)
        sends = [w for w in sent_to([a for _, a in world.log]) if w == 1]
        takers += bool(sends)
        cost += 100.0 * len(sends)
    capacity = 8.0  # slots of a worker at one unit of work a millisecond
    assert takers > 0 and 0 < cost <= rules.fall_multiple * rules.cold_from * rules.fall_ms * capacity


def test_no_state_remains_of_ended_requests_and_removed_workers() -> None:
    world = World(settings(tells_start=True), FLEET, free=4)
    for rid in range(50):
        for worker in sent_to(world.request(rid)):
            world.feed(AttemptProgress(rid, 0, worker, started=True))
            world.end(rid, worker, Outcome.OK, over=True)
    world.feed(ServerList(ListMode.FULL, ()))
    world.wait(6_000)
    kept = world.dispatcher
    assert not (kept.jobs or kept.attempts or kept.timers.jobs or kept.held.sorts or kept.workers
                or kept.fleet.near or kept.checks.live)


def test_each_needed_kind_has_near_workers() -> None:
    classes = tuple(RequestClass(aim_ms=500, deadline_ms=5_000, kind=k) for k in (0, 1, 2))
    for me in range(30):
        world = World(replace(settings(dispatchers=90, me=me), classes=classes), FLEET)
        assert {FLEET[w - 1].kind for w in near(world)} == {0, 1, 2}


def test_a_worker_that_refused_a_connection_is_down_until_it_answers_and_then_cold() -> None:
    world = World(settings(), [Entry(1), Entry(2)], free=4)
    (first,) = sent_to(world.request(1))
    world.end(1, first, Outcome.CONNECT_FAILED)
    world.wait(450, answer_probes=None)
    assert {w for n in range(2, 5) for w in sent_to(world.request(n))} == {3 - first}
    world.feed(Probed(first, Outcome.OK, 1.0, Report(free=4)))
    assert world.dispatcher.workers[first].is_cold(RULES, world.now)


def test_many_different_job_sizes_make_few_sorts() -> None:
    world = World(settings(), [Entry(1)], free=1)
    for rid in range(500):
        world.request(rid, slots=2.0 + rid)
    assert len(world.dispatcher.held.sorts) <= 10


def test_without_probes_a_worker_is_not_excluded_for_good() -> None:
    world = World(settings(reports=False, reports_in_answers=False), [Entry(1)], free=None)
    world.request(1)
    world.end(1, 1, Outcome.CONNECT_FAILED)
    assert sent_to(world.wait(400)) == [1]


def test_a_wrong_count_of_dispatchers_loses_no_job() -> None:
    world = World(settings(dispatchers=90, aim_ms=60_000.0, deadline_ms=60_000.0), FLEET, free=4)
    for rid in range(60):  # the other 89 are dead: all of the traffic comes here
        world.request(rid)
        world.wait(100)
    world.wait(20_000)
    assert {a.rid for _, a in world.log if isinstance(a, Send)} == set(range(60))


def test_a_refusal_comes_early_and_says_when_to_retry() -> None:
    advice = []
    for waiting in (1, 30):
        world = World(settings(late_worth=0.0), [Entry(1)], free=1)
        for rid in range(waiting + 1):
            world.request(rid, hint_ms=50.0)
        world.wait(700, answer_probes=0)
        refused = only([a for _, a in world.log], Refuse)
        assert len(refused) == waiting  # long before their deadlines
        advice.append(max(r.retry_after_ms for r in refused))
    assert 0 < advice[0] < advice[1] <= world.given.limits.max_retry_after_ms
