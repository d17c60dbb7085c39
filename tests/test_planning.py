"""Planning and forwarding: leases, what plans are taken, ageing, and the market's homes."""

from __future__ import annotations

import math
import random
from itertools import pairwise

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from flintfield.forwarding.core import Forwarding
from flintfield.planning.leases import LEASE_MS, OWN_PART, Leases, hold_ms, planner_part
from flintfield.planning.market import settle_homes, shares
from flintfield.planning.messages import (
    VALID_MS, Digest, Lease, NonsenseError, Plan, Row, Seen, check_digest, delta, sealed, whole,
)
from flintfield.planning.planner import LISTEN_MS, Listed, Planner

FALL_MS = 1_000.0
COLD = 7


def row(worker: int = 1, share: float = 1.0, **more: float) -> Row:
    return Row(worker, share, more.get("price", 0.0), 0.0, 2.0, 1.0, 10.0, True)


def plan(number: int = 1, *, place: int = 0, term: int = 1, answers: float = 0.0,
         rows: tuple[Row, ...] = (row(),), leases: tuple[Lease, ...] = ()) -> Plan:
    return sealed(Plan(place, term, number, answers, VALID_MS, rows=rows, leases=leases))


def forwarder(at: float = 0.0, planners: int = 3) -> Forwarding:
    made = Forwarding("f", 0, planners)
    made.digest(at, 1.0, ())
    return made


# ------------------------------------------------------------------------ leases

STEPS = st.lists(st.tuples(
    st.sampled_from(["digest", "plan", "deliver", "old", "restart", "sleep", "wake", "cut", "mend", "wait"]),
    st.integers(0, 2), st.integers(0, 3), st.floats(0, 4_000)), max_size=120)


class Play:
    """Three planners and four forwarders, in any order of deeds; each clock has an origin and a rate of its
    own."""

    def __init__(self) -> None:
        self.now = 0.0
        self.rates = [1.0, 0.995, 1.005, 1.0, 0.995, 1.005, 1.0]
        self.places = [self.planner(p, 1) for p in range(3)]
        self.asleep = [False] * 3
        self.forwarders = [Forwarding(f"f{i}", 0, 3) for i in range(4)]
        self.cut: set[tuple[int, int]] = set()
        self.up: list[tuple[int, int, Digest]] = []
        self.down: list[tuple[int, int, Plan]] = []
        self.sent: list[tuple[float, float, int]] = []  # (when, part of the budget, by whom)

    def planner(self, place: int, term: int) -> Planner:
        made = Planner(place, 3, term, FALL_MS)
        made.list_workers([Listed(COLD, is_cold=True)])
        return made

    def clock(self, party: int) -> float:
        return 1e6 * party + self.now * self.rates[party]

    def do(self, deed: str, place: int, who: int, value: float) -> None:
        planner, force = self.places[place], self.forwarders[who]
        here = self.clock(3 + who)
        if deed == "digest":
            told = force.digest(here, 2.0, (Seen(COLD, 0.0, 2.0, 1.0, 5.0),))
            self.up += [(p, who, told) for p in range(3) if (p, who) not in self.cut]
        elif deed == "plan" and not self.asleep[place]:
            for _, _, told in [u for u in self.up if u[0] == place]:
                planner.hear(self.clock(place), told)
            self.up = [u for u in self.up if u[0] != place]
            planner.step(self.clock(place))
            planner.homes[COLD] = force.name  # the hardest: the worker changes hands all the time
            planner.sort_homes()
            if made := planner.plan_for(self.clock(place), force.name):
                self.down.append((place, who, made))
        elif deed in ("deliver", "old") and self.down:
            at, to, made = self.down[0 if deed == "deliver" else int(value) % len(self.down)]
            if deed == "deliver":
                self.down.pop(0)
            if (at, to) not in self.cut:
                self.forwarders[to].take(self.clock(3 + to), made)
        elif deed == "restart":
            self.places[place] = self.planner(place, planner.term + 1)
            self.asleep[place] = False
        elif deed in ("sleep", "wake"):
            self.asleep[place] = deed == "sleep"
        elif deed == "cut":
            self.cut.add((place, who))
        elif deed == "mend":
            self.cut.discard((place, who))
        elif deed == "wait":
            self.now += value
        self.spend()

    def spend(self) -> None:
        """Each forwarder fills its leased part at once, the most that it may."""
        for who, force in enumerate(self.forwarders):
            part = force.lease(self.clock(3 + who), COLD)
            used = math.fsum(p for at, p, by in self.sent if by == who and at > self.now - FALL_MS)
            if part > used:
                self.sent.append((self.now, part - used, who))
        window = math.fsum(p for at, p, _ in self.sent if at > self.now - FALL_MS)
        assert window <= 1.0 - OWN_PART + 1e-6
        self.sent = [s for s in self.sent if s[0] > self.now - 2 * FALL_MS]


@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_leased_parts_keep_the_limit_in_any_interleaving(steps: list[tuple[str, int, int, float]]) -> None:
    play = Play()
    for step in steps:
        play.do(*step)


def test_a_long_random_run_gives_leases_and_keeps_the_limit() -> None:
    """The property above would hold if no lease were ever given: here many are."""
    draws, play, given_ones = random.Random(5), Play(), 0
    deeds = ["digest"] * 6 + ["plan"] * 6 + ["deliver"] * 12 + ["old", "wait", "wait", "wait"]
    rare = ["restart", "sleep", "wake", "cut", "mend", "mend"]
    for _ in range(20_000):
        deed = draws.choice(rare) if draws.random() < 0.003 else draws.choice(deeds)
        play.do(deed, draws.randrange(3), draws.randrange(4), draws.uniform(0, 250))
        given_ones += any(f.lease(play.clock(3 + i), COLD) > 0 for i, f in enumerate(play.forwarders))
    assert given_ones > 2_000


def test_a_part_is_not_given_anew_before_the_old_lease_and_its_window_have_ended() -> None:
    book = Leases(2, FALL_MS)
    book.step(0.0)
    assert book.give(1.0, COLD, "a", 1.0) == 0.0  # a new life listens first
    start = book.quiet_ms
    for at in range(0, int(start) + 1, 500):
        book.step(float(at))
    assert book.give(start, COLD, "a", 1.0) == pytest.approx(planner_part(2))
    ends = start + hold_ms(LEASE_MS, FALL_MS)
    for at in range(int(start), int(ends), 500):
        book.step(float(at))
        assert book.give(float(at), COLD, "b", 1.0) == 0.0
    book.step(ends + 1)
    assert book.give(ends + 1, COLD, "b", 1.0) == pytest.approx(planner_part(2))


def test_a_planner_that_stood_still_listens_again_and_one_with_a_successor_gives_nothing() -> None:
    book = Leases(1, FALL_MS)
    for at in range(0, 10_000, 500):
        book.step(float(at))
    assert book.may_give(9_500.0)
    book.step(40_000.0)
    assert not book.may_give(40_000.0)
    planner = Planner(0, 1, 3, FALL_MS)
    planner.list_workers(listed(2))
    planner.hear(0.0, Digest("f", 0, 1, 0.0, 1.0, terms=((0, 4),)))
    assert planner.term == 5 and not planner.leases.ended  # its clock was behind
    settled(planner, ["f"], 3_000, 250)
    assert planner.plan_for(3_000, "f") is not None
    planner.hear(3_001.0, Digest("f", 0, 4_000, 3_001.0, 1.0, terms=((0, 6),)))
    assert planner.leases.ended and planner.plan_for(3_001, "f") is None


# ------------------------------------------------------------------ what is taken

@pytest.mark.parametrize("bad, word", [
    (plan(rows=(row(share=0.7),)), "shares"),
    (plan(rows=(row(price=math.nan),)), "price"),
    (plan(rows=(row(price=-0.1),)), "price"),
    (plan(rows=(row(share=0.5), row(share=0.5))), "rows"),
    (plan(leases=(Lease(1, 0.5),)), "lease"),
    (plan(place=3), "place"),
    (plan(answers=99.0), "answers"),
    (msgspec.structs.replace(plan(), valid_ms=1e6), "valid_ms"),
    (msgspec.structs.replace(plan(), proof="00"), "proof"),
    (msgspec.structs.replace(plan(), base=5), "base"),
])
def test_nonsense_is_turned_down_with_a_reason_and_the_last_good_plan_kept(bad: Plan, word: str) -> None:
    force = forwarder()
    good = plan(rows=(row(2),))
    assert force.take(1.0, good) == ""
    later = msgspec.structs.replace(bad, number=2)
    later = later if word in ("proof", "valid_ms", "base") else sealed(later)
    assert word in force.take(2.0, later)
    held = force.in_force(3.0)
    assert held is not None and held[0] == good
    assert force.counts == {"taken": 1, "refused": 1}


def test_older_terms_and_numbers_are_turned_down_whatever_the_order() -> None:
    force = forwarder()
    assert force.take(1.0, plan(5, term=2)) == ""
    assert "number" in force.take(1.0, plan(4, term=2))
    assert "number" in force.take(1.0, plan(5, term=2))
    assert "term" in force.take(1.0, plan(9, term=1))
    assert force.take(1.0, plan(1, term=3)) == ""


def test_an_old_planner_that_wakes_answers_old_digests_and_is_not_taken_for_fresh() -> None:
    force = forwarder()
    force.take(1.0, plan())
    for at in range(250, 30_250, 250):
        force.digest(float(at), 1.0, ())
    assert "answers" in force.take(30_250.0, plan(2, term=2))
    assert force.in_force(30_250.0) is None


@given(st.dictionaries(st.integers(0, 9), st.floats(0, 1), max_size=8),
       st.dictionaries(st.integers(0, 9), st.floats(0, 1), max_size=8))
def test_a_delta_makes_the_same_plan_and_proof(old: dict[int, float], new: dict[int, float]) -> None:
    first, second = (plan(n, rows=tuple(row(w, s) for w, s in rows.items()))
                     for n, rows in ((1, old), (2, new)))
    assert whole(delta(second, first), first) == second


def test_the_proof_in_a_digest_is_that_of_the_plan_in_force_and_goes_when_it_ends() -> None:
    force, made = forwarder(), plan()
    force.take(1.0, made)
    assert force.digest(2.0, 1.0, ()).in_force == (0, 1, 1, made.proof)
    assert force.digest(VALID_MS, 1.0, ()).in_force is None


def test_a_plan_fades_without_a_jump_and_a_fresher_planner_is_followed() -> None:
    force = forwarder()
    force.take(1.0, plan())
    weights = [held[1] if (held := force.in_force(float(at))) else 0.0 for at in range(0, 3_200, 10)]
    assert weights[0] == 1.0 and weights[-1] == 0.0
    assert max(a - b for a, b in pairwise(weights)) < 0.01
    assert all(a >= b for a, b in pairwise(weights))
    force.digest(2_500.0, 1.0, ())
    force.take(2_510.0, plan(place=1, answers=2_500.0))
    held = force.in_force(2_510.0)
    assert held is not None and held[0].place == 1


def test_all_come_to_follow_the_lowest_place_that_is_steady() -> None:
    force, numbers = forwarder(), {0: 0, 1: 0}
    followed = []
    for at in range(0, 9_000, 250):
        force.digest(float(at), 1.0, ())
        for place in (1, 0) if at >= 1_000 else (1,):
            numbers[place] += 1
            assert force.take(float(at), plan(numbers[place], place=place, answers=float(at))) == ""
        followed.append(force.followed)
    assert followed == [1] * 16 + [0] * 20


@pytest.mark.parametrize("bad", [
    Digest("", 0, 1, 0.0, 1.0), Digest("f", 0, 1, math.inf, 1.0), Digest("f", 0, 1, 0.0, -1.0),
    Digest("f", 0, 1, 0.0, 1.0, (Seen(1, math.nan, 1, 1, 1),)),
    Digest("f", 0, 1, 0.0, 1.0, (Seen(1, 1, 1, 1, 1), Seen(1, 1, 1, 1, 1))),
])
def test_a_digest_of_nonsense_changes_nothing_at_a_planner(bad: Digest) -> None:
    planner = Planner(0, 1, 1, FALL_MS)
    with pytest.raises(NonsenseError):
        check_digest(bad)
    with pytest.raises(NonsenseError):
        planner.hear(0.0, bad)
    assert not planner.tellers


# -------------------------------------------------------------------- the market

@given(st.lists(st.tuples(st.floats(0, 1), st.floats(0.01, 100)), min_size=1, max_size=30), st.floats(0, 1))
def test_shares_sum_to_one_and_fall_with_the_price(goods: list[tuple[float, float]], theta: float) -> None:
    eta = shares(theta, [p for p, _ in goods], [z for _, z in goods])
    assert math.fsum(eta) == pytest.approx(1.0) and min(eta) >= 0
    two = shares(1.0, [0.1, 0.5], [1.0, 1.0])
    assert two[0] > two[1]


@settings(max_examples=50, deadline=None)
@given(st.lists(st.floats(0.5, 20), min_size=1, max_size=8), st.integers(1, 60), st.integers(0, 2**16))
def test_homes_follow_demand_and_then_stay(demand: list[float], count: int, seed: int) -> None:
    draws = random.Random(seed)
    slots = {w: float(draws.randint(1, 4)) for w in range(count)}
    named = {f"f{i}": d for i, d in enumerate(demand)}
    homes: dict[int, str] = {}
    for _ in range(100):
        settle_homes(homes, slots, named, {}, {}, 3)
    assert homes.keys() == slots.keys()
    before = dict(homes)
    settle_homes(homes, slots, named, {}, {}, 3)
    assert homes == before
    total = sum(slots.values())
    for name, wants in named.items():
        due, has = total * wants / sum(demand), sum(slots[w] for w, n in homes.items() if n == name)
        assert has >= due - 6 - len(demand)


def listed(count: int) -> list[Listed]:
    return [Listed(w) for w in range(count)]


def settled(planner: Planner, names: list[str], until: float, start: float = 0.0) -> None:
    at, number = start, int(start) + 1
    while at <= until:
        for name in names:
            own = [w for w, n in planner.homes.items() if n == name]
            planner.hear(at, Digest(name, 0, number, at, 2.0, tuple(Seen(w, 1.0, 2.0, 1.0, 5.0, True)
                                                                   for w in own)))
        planner.step(at)
        at, number = at + 250, number + 1


def test_a_new_life_listens_and_takes_the_homes_that_stand() -> None:
    first, names = Planner(0, 2, 1, FALL_MS), ["a", "b", "c"]
    first.list_workers(listed(12))
    settled(first, names, 5_000)
    second = Planner(1, 2, 1, FALL_MS)
    second.list_workers(listed(12))
    assert second.plan_for(0.0, "a") is None
    for name in names:
        own = tuple(Seen(w, 1.0, 2.0, 1.0, 5.0, True) for w, n in first.homes.items() if n == name)
        second.hear(0.0, Digest(name, 0, 1, 0.0, 2.0, own))
    second.step(0.0)
    assert second.homes == first.homes
    assert second.is_listening(LISTEN_MS - 1)


def test_a_draining_worker_leaves_the_plans_and_a_silent_forwarders_homes_are_given_out() -> None:
    planner = Planner(0, 1, 1, FALL_MS)
    planner.list_workers(listed(6))
    settled(planner, ["a", "b"], 5_000)
    planner.list_workers([Listed(w, is_ready=w != 3) for w in range(6)])
    settled(planner, ["a"], 12_000, 5_250)
    made = planner.plan_for(12_000, "a")
    assert made is not None
    assert {r.worker for r in made.rows if r.is_home} == {0, 1, 2, 4, 5}
    assert math.fsum(r.share for r in made.rows) == pytest.approx(1.0)
