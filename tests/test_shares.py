"""Incrementally updated shares: the split, the sum tree, the draw, and home workers of keys."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import pytest
from hypothesis import given, strategies as st

from flintfield.decision.key_affinity import MAX_WEIGHT, KeyAffinity
from flintfield.decision.interface import Entry
from flintfield.decision.pricing import shares_at
from flintfield.decision.records import Worker
from flintfield.decision.shares import SUM_TOLERANCE, Shares, SumTree, tree_size, split, round_down_slots

GOODS = st.lists(st.tuples(st.floats(0.0, 1.0), st.floats(1e-3, 50.0)), min_size=1, max_size=40)


@given(GOODS, st.floats(0.01, 1.0), st.one_of(st.none(), st.floats(-2.0, 2.0)))
def test_split_converges_from_any_hint(goods: list[tuple[float, float]], theta: float,
                                       hint: float | None) -> None:
    lam, eta = split(shares_at, theta, goods, float("inf") if hint is None else hint)
    assert sum(eta) == pytest.approx(len(goods), rel=2 * SUM_TOLERANCE)
    assert min(eta) >= 0.0 and lam > -min(goods)[0]


WEIGHTS = st.lists(st.floats(0.0, 9.0), min_size=1, max_size=70)


CHANGES = st.lists(st.tuples(st.integers(0, 69), st.floats(0.0, 9.0)), max_size=30)


@given(WEIGHTS, CHANGES, st.floats(0, 0.999))
def test_a_tree_finds_a_position_by_weight(weights: list[float], changes: list[tuple[int, float]],
                                           part: float) -> None:
    size = tree_size(len(weights))
    loaded, changed = SumTree(size), SumTree(size)
    for position, weight in changes:
        changed.set(position % len(weights), weight)
    for position, weight in enumerate(weights):
        changed.set(position, weight)
    loaded.load(weights + [0.0] * (size - len(weights)))
    assert loaded.total == changed.total == pytest.approx(sum(weights))
    if loaded.total > 0:
        at = loaded.find(part * loaded.total)
        assert at == changed.find(part * changed.total) and weights[at] > 0
        assert sum(weights[:at]) <= part * loaded.total + 1e-9
        assert part * loaded.total <= sum(weights[:at + 1]) + 1e-9


def workers(count: int) -> list[Worker]:
    made = [Worker(Entry(n + 1), 8) for n in range(count)]
    for slot, worker in enumerate(made):
        worker.slot, worker.near, worker.room, worker.zeta = slot, True, 2.0, 0.5 + slot % 5
    return made


def drawn(shares: Shares, pool: list[Worker], allowed: Callable[[Worker], bool],
          count: int = 20_000) -> Counter[int]:
    generator, seen = random.Random(1), Counter[int]()
    for _ in range(count):
        worker, _ = shares.draw(generator, pool, allowed)
        if worker:
            seen[worker.slot] += 1
    return seen


def test_workers_not_allowed_are_excluded_and_the_others_keep_their_probabilities() -> None:
    pool = workers(100)
    shares = Shares((True, None, 1.0, 1.0, -1))
    shares.rebuild(shares_at, pool, tree_size(100))
    shares.solve(shares_at, 0.0, 1.0)
    before = shares.tree.total
    barred = {7, 8}
    seen = drawn(shares, pool, lambda w: w.slot not in barred)
    assert not barred & seen.keys() and shares.tree.total == before
    left = sum(shares.tree.weight(w.slot) for w in pool if w.slot not in barred)
    distance = sum(abs(seen[w.slot] / 20_000 - shares.tree.weight(w.slot) / left)
              for w in pool if w.slot not in barred) / 2
    assert distance < 0.03  # above the sampling noise of 20,000 draws


def test_a_draw_with_too_many_rejections_is_cut_short() -> None:
    pool = workers(100)
    shares = Shares((True, None, 1.0, 1.0, -1))
    shares.rebuild(shares_at, pool, tree_size(100))
    shares.solve(shares_at, 0.0, 1.0)
    assert shares.draw(random.Random(1), pool, lambda w: False) == (None, True)
    assert shares.draw(random.Random(1), pool, lambda w: w.zeta < 1) == (None, True)


def test_a_worker_joins_and_leaves_a_table_by_its_room_and_price() -> None:
    pool = workers(50)
    shares = Shares((True, None, 0.5, 1.0, -1))
    shares.rebuild(shares_at, pool, tree_size(50))
    shares.solve(shares_at, 0.0, 1.0)
    pool[3].room, pool[4].price = 0.4, 0.6
    shares.update(shares_at, [3, 4], pool)
    assert len(shares.members) == 48 and shares.tree.weight(3) == shares.tree.weight(4) == 0.0
    pool[3].room, pool[4].price = 1.0, 0.0
    shares.update(shares_at, [4, 3], pool)
    fresh = Shares(shares.order)
    fresh.lam, fresh.mean, fresh.pace = shares.lam, shares.mean, shares.pace
    fresh.rebuild(shares_at, pool, tree_size(50))
    assert [fresh.tree.weight(n) for n in range(50)] == [shares.tree.weight(n) for n in range(50)]


def test_many_different_job_sizes_make_few_steps() -> None:
    steps = {round_down_slots(1.0 + n / 100) for n in range(1_500)}
    assert len(steps) <= 17 and {1.0, 1.5, 2.0, 3.0, 4.0, 6.0} <= steps
    assert all(round_down_slots(s) == s for s in steps)


def test_keys_follow_weights_and_a_change_moves_only_its_own_keys() -> None:
    pool = workers(60)
    weight = {w.slot: 0.2 + w.slot % 4 for w in pool}
    homes = KeyAffinity(pool)
    keys = range(1, 30_001)

    def find(changed: dict[int, float]) -> dict[int, int]:
        given = weight | changed
        found = {k: homes.find(k, lambda slot: given[slot], lambda w: True) for k in keys}
        return {k: w.slot for k, w in found.items() if w is not None}

    at = find({})
    assert len(at) == len(keys)
    count, total = Counter(at.values()), sum(weight.values())
    for slot, share in weight.items():
        assert count[slot] / len(keys) == pytest.approx(share / total, abs=0.004)
    gone = find({7: 0.0})
    assert all(gone[k] == home for k, home in at.items() if home != 7) and 7 not in gone.values()
    more = find({8: 2 * weight[8]})
    assert weight[8] * 2 <= MAX_WEIGHT and all(more[k] in (home, 8) for k, home in at.items())
    assert KeyAffinity(reversed(pool)).find(5, weight.__getitem__, lambda w: True) == pool[at[5]]


def test_a_key_has_no_home_if_no_worker_has_weight() -> None:
    pool = workers(500)
    assert KeyAffinity(pool).find(3, lambda slot: 0.0, lambda w: True) is None
