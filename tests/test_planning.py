"""Planning and forwarding: leases, validation and ageing of plans, and the assignment of homes."""

from __future__ import annotations

import math
import random
from itertools import pairwise

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from flintfield.forwarding.core import Forwarding
from flintfield.planning.leases import LEASE_MS, OWN_PART, Leases, hold_ms, planner_part
from flintfield.planning.market import assign_homes, shares
from flintfield.planning.messages import (
    VALID_MS, Digest, InvalidMessageError, Lease, Plan, Row, Seen, apply_delta, check_digest, delta,
    with_proof,
)
from flintfield.planning.planner import LISTEN_MS, ListedWorker, Planner

FALL_MS = 1_000.0
COLD = 7


def row(worker: int = 1, share: float = 1.0, **fields: float) -> Row:
    return Row(worker, share, fields.get("price", 0.0), 0.0, 2.0, 1.0, 10.0, True)


def plan(number: int = 1, *, place: int = 0, term: int = 1, answers: float = 0.0,
         rows: tuple[Row, ...] = (row(),), leases: tuple[Lease, ...] = ()) -> Plan:
    return with_proof(Plan(place, term, number, answers, VALID_MS, rows=rows, leases=leases))


def forwarder(at: float = 0.0, planners: int = 3) -> Forwarding:
    forwarding = Forwarding("f", 0, planners)
    forwarding.digest(at, 1.0, ())
    return forwarding


# ------------------------------------------------------------------------ leases

STEPS = st.lists(st.tuples(
    st.sampled_from(["digest", "plan", "deliver", "old", "restart", "sleep", "wake", "cut", "mend", "wait"]),
    st.integers(0, 2), st.integers(0, 3), st.floats(0, 4_000)), max_size=120)


class Simulation:
    """Three planners and four forwarders that perform actions in any order; each clock has its own origin and
    rate."""

    def __init__(self) -> None:
        self.now = 0.0
        self.rates = [1.0, 0.995, 1.005, 1.0, 0.995, 1.005, 1.0]
        self.places = [self.planner(p, 1) for p in range(3)]
        self.suspended = [False] * 3
        self.forwarders = [Forwarding(f"f{i}", 0, 3) for i in range(4)]
        self.cut_links: set[tuple[int, int]] = set()
        self.digests_in_transit: list[tuple[int, int, Digest]] = []
        self.plans_in_transit: list[tuple[int, int, Plan]] = []
        self.sent: list[tuple[float, float, int]] = []  # (time, part of the budget, forwarder)

    def planner(self, place: int, term: int) -> Planner:
        new_planner = Planner(place, 3, term, FALL_MS)
        new_planner.set_workers([ListedWorker(COLD, is_cold=True)])
        return new_planner

    def clock(self, clock_index: int) -> float:
        return 1e6 * clock_index + self.now * self.rates[clock_index]

    def perform(self, action: str, place: int, index: int, value: float) -> None:
        planner, forwarding = self.places[place], self.forwarders[index]
        forwarder_time = self.clock(3 + index)
        if action == "digest":
            digest = forwarding.digest(forwarder_time, 2.0, (Seen(COLD, 0.0, 2.0, 1.0, 5.0),))
            self.digests_in_transit += [(p, index, digest) for p in range(3)
                                        if (p, index) not in self.cut_links]
        elif action == "plan" and not self.suspended[place]:
            for _, _, digest in [entry for entry in self.digests_in_transit if entry[0] == place]:
                planner.receive_digest(self.clock(place), digest)
            self.digests_in_transit = [entry for entry in self.digests_in_transit if entry[0] != place]
            planner.step(self.clock(place))
            planner.homes[COLD] = forwarding.name  # the hardest case: the worker's home changes all the time
            planner.index_homes()
            if new_plan := planner.plan_for(self.clock(place), forwarding.name):
                self.plans_in_transit.append((place, index, new_plan))
        elif action in ("deliver", "old") and self.plans_in_transit:
            sender, receiver, new_plan = self.plans_in_transit[
                0 if action == "deliver" else int(value) % len(self.plans_in_transit)]
            if action == "deliver":
                self.plans_in_transit.pop(0)
            if (sender, receiver) not in self.cut_links:
                self.forwarders[receiver].accept_plan(self.clock(3 + receiver), new_plan)
        elif action == "restart":
            self.places[place] = self.planner(place, planner.term + 1)
            self.suspended[place] = False
        elif action in ("sleep", "wake"):
            self.suspended[place] = action == "sleep"
        elif action == "cut":
            self.cut_links.add((place, index))
        elif action == "mend":
            self.cut_links.discard((place, index))
        elif action == "wait":
            self.now += value
        self.use_leases()

    def use_leases(self) -> None:
        """Each forwarder uses up its leased part at once, the most that it may."""
        for index, forwarding in enumerate(self.forwarders):
            part = forwarding.lease(self.clock(3 + index), COLD)
            used = math.fsum(p for sent_at, p, sender in self.sent
                             if sender == index and sent_at > self.now - FALL_MS)
            if part > used:
                self.sent.append((self.now, part - used, index))
        window = math.fsum(p for sent_at, p, _ in self.sent if sent_at > self.now - FALL_MS)
        assert window <= 1.0 - OWN_PART + 1e-6
        self.sent = [s for s in self.sent if s[0] > self.now - 2 * FALL_MS]


@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_leased_parts_stay_within_the_limit_in_any_interleaving(
        steps: list[tuple[str, int, int, float]]) -> None:
    simulation = Simulation()
    for step in steps:
        simulation.perform(*step)


def test_a_long_random_run_grants_leases_within_the_limit() -> None:
    """The property above would also hold if no lease were ever granted; in this run many are."""
    generator, simulation, granted_count = random.Random(5), Simulation(), 0
    actions = ["digest"] * 6 + ["plan"] * 6 + ["deliver"] * 12 + ["old", "wait", "wait", "wait"]
    rare_actions = ["restart", "sleep", "wake", "cut", "mend", "mend"]
    for _ in range(20_000):
        action = generator.choice(rare_actions) if generator.random() < 0.003 else generator.choice(actions)
        simulation.perform(action, generator.randrange(3), generator.randrange(4), generator.uniform(0, 250))
        granted_count += any(f.lease(simulation.clock(3 + i), COLD) > 0
                             for i, f in enumerate(simulation.forwarders))
    assert granted_count > 2_000


def test_a_part_is_not_granted_again_before_the_old_lease_and_its_window_have_ended() -> None:
    leases = Leases(2, FALL_MS)
    leases.step(0.0)
    assert leases.grant(1.0, COLD, "a", 1.0) == 0.0  # a new incarnation grants nothing at first
    start = leases.quiet_ms
    for at in range(0, int(start) + 1, 500):
        leases.step(float(at))
    assert leases.grant(start, COLD, "a", 1.0) == pytest.approx(planner_part(2))
    ends = start + hold_ms(LEASE_MS, FALL_MS)
    for at in range(int(start), int(ends), 500):
        leases.step(float(at))
        assert leases.grant(float(at), COLD, "b", 1.0) == 0.0
    leases.step(ends + 1)
    assert leases.grant(ends + 1, COLD, "b", 1.0) == pytest.approx(planner_part(2))


def test_a_suspended_planner_waits_again_and_one_with_a_successor_grants_nothing() -> None:
    leases = Leases(1, FALL_MS)
    for at in range(0, 10_000, 500):
        leases.step(float(at))
    assert leases.may_grant(9_500.0)
    leases.step(40_000.0)
    assert not leases.may_grant(40_000.0)
    planner = Planner(0, 1, 3, FALL_MS)
    planner.set_workers(listed(2))
    planner.receive_digest(0.0, Digest("f", 0, 1, 0.0, 1.0, terms=((0, 4),)))
    # The planner's clock was behind that of the previous one.
    assert planner.term == 5 and not planner.leases.superseded
    run_until(planner, ["f"], 3_000, 250)
    assert planner.plan_for(3_000, "f") is not None
    planner.receive_digest(3_001.0, Digest("f", 0, 4_000, 3_001.0, 1.0, terms=((0, 6),)))
    assert planner.leases.superseded and planner.plan_for(3_001, "f") is None


# ------------------------------------------------------------- validation of plans

@pytest.mark.parametrize("bad, reason", [
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
def test_an_invalid_plan_is_rejected_with_a_reason_and_the_last_valid_plan_is_kept(
        bad: Plan, reason: str) -> None:
    forwarding = forwarder()
    good = plan(rows=(row(2),))
    assert forwarding.accept_plan(1.0, good) == ""
    later = msgspec.structs.replace(bad, number=2)
    later = later if reason in ("proof", "valid_ms", "base") else with_proof(later)
    assert reason in forwarding.accept_plan(2.0, later)
    current = forwarding.in_force(3.0)
    assert current is not None and current[0] == good
    assert forwarding.counts == {"taken": 1, "refused": 1}


def test_older_terms_and_numbers_are_rejected_in_any_order() -> None:
    forwarding = forwarder()
    assert forwarding.accept_plan(1.0, plan(5, term=2)) == ""
    assert "number" in forwarding.accept_plan(1.0, plan(4, term=2))
    assert "number" in forwarding.accept_plan(1.0, plan(5, term=2))
    assert "term" in forwarding.accept_plan(1.0, plan(9, term=1))
    assert forwarding.accept_plan(1.0, plan(1, term=3)) == ""


def test_a_plan_of_a_resumed_planner_that_answers_an_old_digest_is_rejected() -> None:
    forwarding = forwarder()
    forwarding.accept_plan(1.0, plan())
    for at in range(250, 30_250, 250):
        forwarding.digest(float(at), 1.0, ())
    assert "answers" in forwarding.accept_plan(30_250.0, plan(2, term=2))
    assert forwarding.in_force(30_250.0) is None


@given(st.dictionaries(st.integers(0, 9), st.floats(0, 1), max_size=8),
       st.dictionaries(st.integers(0, 9), st.floats(0, 1), max_size=8))
def test_a_delta_yields_the_same_plan_and_proof(old: dict[int, float], new: dict[int, float]) -> None:
    first, second = (plan(n, rows=tuple(row(w, s) for w, s in rows.items()))
                     for n, rows in ((1, old), (2, new)))
    assert apply_delta(delta(second, first), first) == second


def test_a_digest_has_the_proof_of_the_plan_in_force_until_it_expires() -> None:
    forwarding, current_plan = forwarder(), plan()
    forwarding.accept_plan(1.0, current_plan)
    assert forwarding.digest(2.0, 1.0, ()).in_force == (0, 1, 1, current_plan.proof)
    assert forwarding.digest(VALID_MS, 1.0, ()).in_force is None


def test_the_weight_of_a_plan_falls_gradually_and_a_fresher_planner_is_followed() -> None:
    forwarding = forwarder()
    forwarding.accept_plan(1.0, plan())
    weights = [current[1] if (current := forwarding.in_force(float(at))) else 0.0
               for at in range(0, 3_200, 10)]
    assert weights[0] == 1.0 and weights[-1] == 0.0
    assert max(a - b for a, b in pairwise(weights)) < 0.01
    assert all(a >= b for a, b in pairwise(weights))
    forwarding.digest(2_500.0, 1.0, ())
    forwarding.accept_plan(2_510.0, plan(place=1, answers=2_500.0))
    current = forwarding.in_force(2_510.0)
    assert current is not None and current[0].place == 1


def test_a_forwarder_switches_to_the_lowest_place_with_steady_plans() -> None:
    forwarding, numbers = forwarder(), {0: 0, 1: 0}
    followed = []
    for at in range(0, 9_000, 250):
        forwarding.digest(float(at), 1.0, ())
        for place in (1, 0) if at >= 1_000 else (1,):
            numbers[place] += 1
            assert forwarding.accept_plan(
                float(at), plan(numbers[place], place=place, answers=float(at))) == ""
        followed.append(forwarding.followed)
    assert followed == [1] * 16 + [0] * 20


@pytest.mark.parametrize("bad", [
    Digest("", 0, 1, 0.0, 1.0), Digest("f", 0, 1, math.inf, 1.0), Digest("f", 0, 1, 0.0, -1.0),
    Digest("f", 0, 1, 0.0, 1.0, (Seen(1, math.nan, 1, 1, 1),)),
    Digest("f", 0, 1, 0.0, 1.0, (Seen(1, 1, 1, 1, 1), Seen(1, 1, 1, 1, 1))),
])
def test_an_invalid_digest_changes_nothing_at_a_planner(bad: Digest) -> None:
    planner = Planner(0, 1, 1, FALL_MS)
    with pytest.raises(InvalidMessageError):
        check_digest(bad)
    with pytest.raises(InvalidMessageError):
        planner.receive_digest(0.0, bad)
    assert not planner.forwarders


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
    generator = random.Random(seed)
    slots = {w: float(generator.randint(1, 4)) for w in range(count)}
    demand_by_name = {f"f{i}": d for i, d in enumerate(demand)}
    homes: dict[int, str] = {}
    for _ in range(100):
        assign_homes(homes, slots, demand_by_name, {}, {}, 3)
    assert homes.keys() == slots.keys()
    before = dict(homes)
    assign_homes(homes, slots, demand_by_name, {}, {}, 3)
    assert homes == before
    total = sum(slots.values())
    for name, own_demand in demand_by_name.items():
        expected, assigned = (total * own_demand / sum(demand),
                              sum(slots[w] for w, n in homes.items() if n == name))
        assert assigned >= expected - 6 - len(demand)


def listed(count: int) -> list[ListedWorker]:
    return [ListedWorker(w) for w in range(count)]


def run_until(planner: Planner, names: list[str], until: float, start: float = 0.0) -> None:
    at, number = start, int(start) + 1
    while at <= until:
        for name in names:
            own = [w for w, n in planner.homes.items() if n == name]
            planner.receive_digest(at, Digest(name, 0, number, at, 2.0, tuple(
                Seen(w, 1.0, 2.0, 1.0, 5.0, True) for w in own)))
        planner.step(at)
        at, number = at + 250, number + 1


def test_a_new_planner_listens_first_and_adopts_the_existing_homes() -> None:
    first, names = Planner(0, 2, 1, FALL_MS), ["a", "b", "c"]
    first.set_workers(listed(12))
    run_until(first, names, 5_000)
    second = Planner(1, 2, 1, FALL_MS)
    second.set_workers(listed(12))
    assert second.plan_for(0.0, "a") is None
    for name in names:
        own = tuple(Seen(w, 1.0, 2.0, 1.0, 5.0, True) for w, n in first.homes.items() if n == name)
        second.receive_digest(0.0, Digest(name, 0, 1, 0.0, 2.0, own))
    second.step(0.0)
    assert second.homes == first.homes
    assert second.is_listening(LISTEN_MS - 1)


def test_plans_omit_a_draining_worker_and_a_silent_forwarders_homes_are_reassigned() -> None:
    planner = Planner(0, 1, 1, FALL_MS)
    planner.set_workers(listed(6))
    run_until(planner, ["a", "b"], 5_000)
    planner.set_workers([ListedWorker(w, is_ready=w != 3) for w in range(6)])
    run_until(planner, ["a"], 12_000, 5_250)
    last_plan = planner.plan_for(12_000, "a")
    assert last_plan is not None
    assert {r.worker for r in last_plan.rows if r.is_home} == {0, 1, 2, 4, 5}
    assert math.fsum(r.share for r in last_plan.rows) == pytest.approx(1.0)
