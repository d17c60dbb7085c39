"""Market computations: shares, prices, key affinity, held jobs, tenant accounts."""

from __future__ import annotations

import os
import subprocess
import sys
import tomllib
from collections import Counter
from dataclasses import replace
from math import log
from pathlib import Path

import pytest
from hypothesis import given, strategies as st

from helpers import LIMITS, World, only, sent_to, settings
from flintfield.decision.interface import (
    Effect, Entry, Fail, AttemptProgress, Outcome, Probed, Refuse, Report, Request, RequestClass, Send,
    Settings, Tenant,
)
from flintfield.decision.pricing import RHO, shares_at
from flintfield.decision.rests import SHUN_MS
from flintfield.decision.shares import split

ROOT = Path(__file__).parent.parent


def market_shares(theta: float, workers: list[tuple[float, float]]) -> list[float]:
    """Each worker's share as a fraction, for workers given as (weight, price)."""
    _, eta = split(shares_at, theta, [(price, weight) for weight, price in workers])
    return [e / sum(eta) for e in eta]


WORKERS = st.lists(st.tuples(st.floats(0.2, 5.0), st.floats(0.0, 1.0)), min_size=1, max_size=12)


@given(WORKERS, st.floats(0.05, 1.0))
def test_shares_sum_to_one_and_none_is_negative(workers: list[tuple[float, float]], theta: float) -> None:
    eta = market_shares(theta, workers)
    assert sum(eta) == pytest.approx(1.0)
    assert min(eta) >= 0.0


def objective(eta: list[float], theta: float, workers: list[tuple[float, float]]) -> float:
    """The objective of eq. (7), in units of the equal share."""
    n = len(workers)
    mean = sum(w for w, _ in workers) / n
    return sum(theta * log(1 + n * e * w / mean) - p * n * e for e, (w, p) in zip(eta, workers, strict=True))


@given(WORKERS.filter(lambda w: len(w) > 1), st.floats(0.2, 1.0), st.integers(0, 11), st.integers(0, 11))
def test_shares_are_optimal_under_small_moves_between_two_workers(
    workers: list[tuple[float, float]], theta: float, one: int, other: int
) -> None:
    eta = market_shares(theta, workers)
    a, b = one % len(eta), other % len(eta)
    moved = list(eta)
    step = min(0.01, moved[a])
    moved[a] -= step
    moved[b] += step
    assert objective(moved, theta, workers) <= objective(eta, theta, workers) + 1e-3


def test_shares_rise_with_speed_and_fall_with_price() -> None:
    fast, slow, dear = market_shares(1.0, [(2.0, 0.0), (1.0, 0.0), (1.0, 0.2)])
    assert fast > slow > dear


def test_the_price_rises_above_the_load_factor_and_falls_back_to_zero() -> None:
    world = World(settings(), [Entry(1)], free=10)
    worker = world.dispatcher.workers[1]
    world.set(1, others=10.0)
    world.wait(1_000, answer_probes=None)
    assert 0.5 * (1 - RHO) < worker.price < 1.5 * (1 - RHO)
    world.set(1, others=0.0)
    world.wait(2_000, answer_probes=10)
    assert worker.price == 0.0


def test_a_worker_without_recent_contact_keeps_its_price() -> None:
    world = World(settings(), [Entry(1)])
    worker = world.dispatcher.workers[1]
    world.set(1, price=0.4)
    world.wait(2_000, answer_probes=None)
    before = worker.price
    world.wait(2_000, answer_probes=None)
    assert worker.price == before


def test_a_key_draws_the_same_worker_at_every_dispatcher() -> None:
    entries = [Entry(n) for n in range(8)]
    homes = {k: {sent_to(World(settings(), entries, seed=s).request(1, key=k))[0] for s in range(6)}
             for k in range(1, 40)}
    assert all(len(h) == 1 for h in homes.values())
    assert len(set.union(*homes.values())) >= 6


def test_jobs_are_held_while_no_slot_is_free_and_the_newest_goes_first() -> None:
    world = World(settings(), [Entry(1)], free=2)
    assert [len(sent_to(world.request(n))) for n in (1, 2, 3, 4)] == [1, 1, 0, 0]
    world.now += 10
    actions = world.end(1, 1, Outcome.OK, over=True)
    assert [a.rid for a in only(actions, Send)] == [4]


def test_a_held_job_that_can_not_be_in_time_is_refused_before_its_deadline() -> None:
    world = World(settings(), [Entry(1)], free=1)
    world.request(1)
    world.request(2)
    world.wait(1_500, answer_probes=0)
    assert [r.rid for r in only([a for _, a in world.log], Refuse)] == [2]


def test_no_job_is_sent_to_a_worker_while_one_waits_to_start_there() -> None:
    world = World(settings(tells_start=True), [Entry(1)], free=4)
    world.request(1)
    world.now += 60
    assert not sent_to(world.request(2))
    world.feed(AttemptProgress(1, 0, 1, started=True))
    world.now += 5
    assert sent_to(world.request(3))


def test_one_tenant_beyond_its_share_does_not_crowd_out_another() -> None:
    tenants = (Tenant(5.0), Tenant(5.0), Tenant(5.0))
    world = World(settings(tenants=tenants, over_share_worth=0.05), [Entry(1), Entry(2)], free=20)
    for number in world.dispatcher.workers:
        world.set(number, price=0.2)
    flood = sum(len(sent_to(world.request(n, tenant=0))) for n in range(36))
    assert flood == 22  # two seconds of the allowance plus the burst of 12 jobs
    assert sent_to(world.request(100, tenant=1))


def test_only_a_part_of_a_queue_counts_when_there_are_many_dispatchers() -> None:
    world = World(settings(dispatchers=30), [Entry(1)], free=4)
    for _ in range(30):
        world.feed(Probed(1, Outcome.OK, 1.0, Report(free=1, queue=9, inflight=12)))
    assert sent_to(world.request(1))
    alone = World(settings(), [Entry(1)], free=4)
    for _ in range(30):
        alone.feed(Probed(1, Outcome.OK, 1.0, Report(free=1, queue=9, inflight=12)))
    assert not sent_to(alone.request(1))


def test_a_silent_worker_gets_no_jobs_and_returns_cold() -> None:
    world = World(settings(), [Entry(1), Entry(2)], free=4)
    world.wait(600, answer_probes=None)
    world.feed(Probed(1, Outcome.TIMEOUT, 100.0))
    world.feed(Probed(2, Outcome.OK, 1.0, Report(free=4)))
    assert {w for n in range(4) for w in sent_to(world.request(n))} == {2}
    world.now += 3_000
    world.feed(Probed(1, Outcome.OK, 1.0, Report(free=4)))
    world.wait(150)
    assert world.dispatcher.workers[1].warmth(world.given.rules, world.now) < 1.0
    assert world.dispatcher.workers[2].warmth(world.given.rules, world.now) == 1.0


def test_progress_notes_lower_the_quality_of_a_slow_worker() -> None:
    world = World(settings(), [Entry(1), Entry(2)], free=4)
    for n, (attempt_worker, rid) in enumerate([(1, 1), (2, 2)]):
        world.set(3 - attempt_worker, full_until=world.now + 1)
        assert sent_to(world.request(rid)) == [attempt_worker]
        world.now += 2 + n
    world.now += 1_000
    world.feed(AttemptProgress(1, 0, 1, started=False, done=0.1))
    world.feed(AttemptProgress(2, 0, 2, started=False, done=0.9))
    workers = world.dispatcher.workers
    assert workers[1].zeta < workers[2].zeta


def test_unknown_names_and_empty_lists_never_raise() -> None:
    world = World(settings(), [])
    world.request(1)
    assert only(world.feed(Request(2, 9, world.now + 100)), Fail) == [Fail(2)]
    world.end(77, 5, Outcome.OK, over=True)
    world.feed(AttemptProgress(77, 0, 5, started=True))
    world.feed(Probed(5, Outcome.OK, 1.0, Report()))
    world.wait(6_000)
    assert len([a for _, a in world.log if isinstance(a, Refuse | Fail)]) == 2


def test_errors_for_invalid_settings_name_the_field() -> None:
    with pytest.raises(ValueError, match="classes"):
        Settings(classes=())
    with pytest.raises(ValueError, match="me"):
        Settings(classes=(RequestClass(aim_ms=1, deadline_ms=1),), me=3, dispatchers=3)
    with pytest.raises(ValueError, match=r"classes\[0\].aim_ms"):
        Settings(classes=(RequestClass(aim_ms=-1, deadline_ms=1),))


SCRIPT = """
import sys; sys.path.insert(0, "tests")
from helpers import LIMITS, World, settings
from flintfield.decision.interface import Entry, Outcome
worlds = [World(settings(), [Entry(n) for n in range(9)], seed=s) for s in (1, 2)]
for n in range(40):
    for w in (worlds if len(sys.argv) > 1 else worlds[:1]):
        w.request(n, key=n % 3); w.wait(37)
print(worlds[0].log)
"""


def test_actions_depend_on_events_alone() -> None:
    seen = Counter(
        subprocess.run([sys.executable, "-c", SCRIPT, *more], cwd=ROOT, check=True, capture_output=True,
                       env=os.environ | {"PYTHONHASHSEED": seed}).stdout
        for seed in ("1", "2") for more in ([], ["both"])
    )
    assert list(seen.values()) == [4]


def test_the_policy_files_stay_within_their_line_limit() -> None:
    named = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    lines = [line for name in named for line in (ROOT / name).read_text().splitlines()]
    assert len([line for line in lines if line.strip()]) <= 500
    assert max(map(len, lines)) <= 110
    assert "flintfield/decision/interface.py" in lines[0]


def test_the_examples_in_the_readme_run() -> None:
    parts = (ROOT / "README.md").read_text().split("```python\n")[1:]
    code = "\n".join(part.split("```")[0] for part in parts)
    exec(compile(code, "README.md", "exec"), {})


@pytest.mark.parametrize(("effect", "ends"), [(Effect.UNSAFE, 1100), (Effect.SAFE, 800)])
def test_a_sent_job_is_given_up_when_it_can_not_be_in_time_and_an_unsafe_one_at_the_last_moment(
    effect: Effect, ends: int
) -> None:
    limits = replace(LIMITS, second_copies=False)
    world = World(settings(effect, tells_start=True, stretch=2.0, limits=limits), [Entry(1)])
    assert sent_to(world.request(1, hint_ms=300.0)) == [1]
    assert not [a for a in world.wait(ends - 20) if isinstance(a, Fail | Refuse)]
    assert len([a for a in world.wait(200) if isinstance(a, Fail | Refuse)]) == 1


@pytest.mark.parametrize(("effect", "goes_to"), [(Effect.UNSAFE, {2}), (Effect.SAFE, {1})])
def test_an_unsafe_job_goes_to_a_worker_with_a_spare_slot(effect: Effect, goes_to: set[int]) -> None:
    drawn = set()
    for seed in range(20):
        entries = [Entry(1, weight=9.0), Entry(2)]
        world = World(settings(effect, has_weights=True), entries, seed, free=None)
        for worker, free in ((1, 1), (2, 4), (1, 0)):  # the last report: worker 1's slot is taken at times
            world.feed(Probed(worker, Outcome.OK, 1.0, Report(free=free)))
        drawn.update(sent_to(world.request(1, hint_ms=300.0)))
    assert drawn == goes_to


@pytest.mark.parametrize("effect", [Effect.UNSAFE, Effect.SAFE])
def test_a_worker_that_fails_a_class_is_avoided_by_unsafe_jobs(effect: Effect) -> None:
    world = World(settings(effect, has_weights=True), [Entry(1, weight=9.0), Entry(2)], free=9)
    rids = iter(range(100))

    def count_failures(count: int) -> int:
        """Run `count` jobs one by one; those at worker 1 end in an error, and their number is returned."""
        failures = 0
        for rid in (next(rids) for _ in range(count)):
            (worker,) = sent_to(world.request(rid, hint_ms=300.0))
            failures += worker == 1
            world.end(rid, worker, Outcome.ERROR if worker == 1 else Outcome.OK, over=True)
        return failures

    assert count_failures(10) == 1 if effect is Effect.UNSAFE else count_failures(10) > 2
    if effect is Effect.UNSAFE:
        world.wait(SHUN_MS)  # after that the worker is tried again
        assert count_failures(20) == 1
