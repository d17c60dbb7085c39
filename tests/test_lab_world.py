"""The laboratory's world: each machine alone, by hand."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from flintfield.lab.scenario import (
    Clients as ClientFigures, Crash, Deploy, Discovery as DiscoveryFigures, Fleet as FleetFigures, Kind, Load,
    RequestClass, Rules, Scenario, SchedulerRoll, load,
)
from flintfield.lab.world import (
    Clients, Discovery, Do, Errand, Front, GiveUp, Leave, Machine, Network, Node, Reply, Streams, Try, What,
    Word, draw_clients, draw_fleet, schedule,
)
from flintfield.lab.world.clients import draw_work, mean_work

SAFE = RequestClass(name="a", attempt_noise=0.0)
BOOKING = RequestClass(name="b", attempt_noise=0.0, effect="unsafe", priority=1)


def a_scenario(**changes: Any) -> Scenario:
    base = Scenario(name="x", fleet=FleetFigures(kinds=[Kind(name="k")], nodes=6),
                    classes=[SAFE, BOOKING], load=Load(per_s=20.0))
    return msgspec.structs.replace(base, **changes)


def a_node(saves: dict[str, float] | None = None, cold: bool = False, rules: Rules | None = None,
           fleet: dict[str, Any] | None = None, **kind: Any) -> Node:
    made = Kind(name="k", **({"cores": 2, "slots": 2} | kind))
    figures = FleetFigures(kinds=[made], nodes=1, progress_ms=0.0, **(fleet or {}))
    node = Node(Machine("n", 0, "a", 0, made, 1.0, 1.0), figures, rules or Rules(), Streams(1).of("n"),
                {} if saves is None else saves)
    node.start(0.0, cold)
    return node


def job(name: str, work: float = 100.0, cls: RequestClass = SAFE, slots: int = 1) -> Errand:
    return Errand((name, 0), name, "s", cls, work, slots)


def run(node: Node, until: float) -> list[tuple[float, str, What]]:
    """Wake a node as it asks; what happened to which job, and when."""
    seen = []
    while (due := node.next_at()) <= until:
        seen += [(round(due, 6), h.key[0], h.what) for h in node.wake(due)]
    return seen


def whats(happenings: list[Any]) -> list[tuple[str, What]]:
    return [(h.key[0], h.what) for h in happenings]


# ------------------------------------------------------------------------- streams


def test_one_more_machine_changes_no_others_draws() -> None:
    """A component's stream hangs on its name and the seed alone."""
    few, many = a_scenario(), a_scenario()
    many.fleet = msgspec.structs.replace(many.fleet, nodes=9)
    some, more = draw_fleet(few, Streams(3)), draw_fleet(many, Streams(3))
    assert some.machines == more.machines[:6]
    assert Streams(3).of("a").uniform() == Streams(3).of("a").uniform() != Streams(3).of("b").uniform()


# --------------------------------------------------------------------------- nodes


def test_jobs_share_the_cores_evenly() -> None:
    node = a_node(slots=4)
    for name in "wxyz":
        node.arrive(0.0, job(name))
    assert [at for at, _, _ in run(node, 1e9)] == [200.0] * 4  # four jobs of 100 ms on two cores


def test_a_job_that_ends_lets_the_others_run_faster() -> None:
    node = a_node(cores=1, slots=2)
    node.arrive(0.0, job("long", 100.0))
    node.arrive(0.0, job("short", 50.0))
    assert run(node, 1e9) == [(100.0, "short", What.DONE), (150.0, "long", What.DONE)]


@pytest.mark.parametrize(("order", "started"), [
    ("fifo", []), ("backfill", ["small"]), ("priority", ["booking"]),
])
def test_the_queue_is_served_in_the_fleets_order(order: str, started: list[str]) -> None:
    """The head needs two slots and only one is free; what may pass it depends on the order."""
    node = a_node(fleet={"order": order})
    node.arrive(0.0, job("busy"))
    node.arrive(0.0, job("wide", slots=2))
    node.arrive(0.0, job("small"))
    happened = node.arrive(0.0, job("booking", cls=BOOKING))
    assert node.jobs[0] - 1 == len(started)
    assert [h.key[0] for h in happened] == [s for s in started if s == "booking"]


def test_beyond_the_queue_the_answer_is_full() -> None:
    node = a_node(slots=1, cores=1, queue=1)
    node.arrive(0.0, job("runs"))
    node.arrive(0.0, job("waits"))
    assert whats(node.arrive(0.0, job("late"))) == [("late", What.TURNED_AWAY)]


@pytest.mark.parametrize(("returns", "told"), [(True, [("waits", What.RETURNED)]), (False, [])])
def test_a_drain_hands_back_what_waits_or_runs_it(returns: bool, told: list[tuple[str, What]]) -> None:
    node = a_node(slots=1, cores=1, fleet={"drain_returns": returns})
    node.arrive(0.0, job("runs"))
    node.arrive(0.0, job("waits"))
    assert whats(node.drain(1.0)) == told
    assert whats(node.arrive(2.0, job("new"))) == [("new", What.TURNED_AWAY)]
    assert len(run(node, 1e9)) == (1 if returns else 3)  # both end, and the second one's start


@pytest.mark.parametrize(("kind", "running", "queued"), [
    ("none", [], []), ("queued", [], [What.CANCELLED]), ("running", [What.CANCELLED], [What.CANCELLED]),
])
def test_what_a_cancel_stops_depends_on_the_kind(kind: str, running: list[What], queued: list[What]) -> None:
    node = a_node(slots=1, cores=1, cancel=kind)
    node.arrive(0.0, job("runs"))
    node.arrive(0.0, job("waits"))
    assert [h.what for h in node.cancel(1.0, ("waits", 0))] == queued
    assert [h.what for h in node.cancel(1.0, ("runs", 0))] == running
    assert node.jobs == ((0, 0) if running else (1, 1 - len(queued)))


def test_a_killed_job_goes_on_from_its_saved_state_if_it_is_safe() -> None:
    """After 250 ms with a state saved each 100 ms, two tenths of 1,000 are saved."""
    saves: dict[str, float] = {}
    first = a_node(saves, fleet={"checkpoint_ms": 100.0})
    first.arrive(0.0, job("safe", 1000.0))
    first.arrive(0.0, job("booking", 1000.0, BOOKING))
    assert all(h.started for h in first.die(250.0))
    second = a_node(saves, fleet={"checkpoint_ms": 100.0})
    second.arrive(300.0, job("safe", 1000.0))
    second.arrive(300.0, job("booking", 1000.0, BOOKING))
    assert run(second, 1e9) == [(1100.0, "safe", What.DONE), (1300.0, "booking", What.DONE)]


def test_an_end_and_a_death_at_one_instant_give_one_outcome() -> None:
    for order in ("end first", "death first"):
        node = a_node()
        node.arrive(0.0, job("x"))
        seen = whats(node.wake(100.0)) if order == "end first" else []
        seen += whats(node.die(100.0)) + (whats(node.wake(100.0)) if order == "death first" else [])
        assert seen == [("x", What.DONE if order == "end first" else What.KILLED)]


def test_warmth_rises_by_time_or_with_work_and_never_slower_than_stated() -> None:
    slow = a_node(cold=True, cold_from=0.4, cold_ms=1000.0)
    run(slow, 500.0)
    assert slow.warm_share == pytest.approx(0.7, abs=0.05)
    rules = Rules(cold_from=0.4, cold_ms=4000.0, fall_multiple=1e9)
    idle = a_node(cold=True, rules=rules, cold_from=0.4, cold_ms=1000.0, warm_by="work")
    run(idle, 2000.0)
    assert idle.warm_share == pytest.approx(0.7, abs=0.02)
    busy = a_node(cold=True, rules=rules, cold_from=0.4, cold_ms=1000.0, warm_by="work")
    busy.arrive(0.0, job("x", 1e6))
    busy.arrive(0.0, job("y", 1e6))
    run(busy, 1600.0)
    assert busy.warm_share == 1.0


def test_a_cold_node_falls_over_when_sent_more_than_its_budget() -> None:
    """Two cores at 0.4: 3 x 0.8 x 1000 = 2,400 ms of work in a second, the largest job aside."""
    def sent(works: list[float], every: float = 1.0) -> Node:
        node = a_node(cold=True, cold_from=0.4, cold_ms=1e9, rules=Rules(cold_from=0.4, cold_ms=1e9))
        for i, work in enumerate(works):
            node.arrive(i * every, job(str(i), work))
        return node
    assert not sent([60_000.0]).fell  # one job alone, however far off its hint was
    assert not sent([800.0] * 4).fell
    assert sent([800.0] * 4 + [1.0]).fell
    assert not sent([800.0] * 20, every=300.0).fell  # 2,400 besides one in any second
    warm = a_node()
    assert [h.what for h in warm.arrive(0.0, job("x", 1e9))] == [What.STARTED]


def test_reports_are_late_and_probes_are_capped() -> None:
    node = a_node(fleet={"probe_cap_per_core_s": 2.0})
    period = node.figures.reports.period_ms + node.figures.reports.delay_ms
    node.arrive(1000.0, job("x", 1e6))
    early, late = node.probe(1001.0), node.probe(1000.0 + period)
    assert early and late and early.free == pytest.approx(2, rel=0.1)
    assert late.free == pytest.approx(1, rel=0.1) == late.inflight
    assert [node.probe(2000.0) is None for _ in range(4)] == [False, False, True, True]  # 4 in a second


def test_a_stalled_node_goes_on_where_it_was_and_a_slow_one_takes_longer() -> None:
    node = a_node()
    node.arrive(0.0, job("x", 100.0))
    node.stall(40.0, True)
    assert node.next_at() == math.inf
    node.stall(1040.0, False)
    node.slow(1050.0, 5.0)
    assert run(node, 1e9) == [(1050.0 + 50.0 * 5.0, "x", What.DONE)]


def test_a_full_table_takes_no_connection_and_an_old_process_none_of_the_news() -> None:
    node = a_node(connections_per_core=1.0)
    life = node.life
    assert [node.dial(0.0) for _ in range(3)] == [True, True, False]
    node.hang_up(1.0, life)
    assert node.dial(2.0)
    node.die(3.0)
    node.start(4.0, cold=False)
    node.dial(5.0)
    node.hang_up(6.0, life)  # of the process before
    assert node.connections == 1


# ----------------------------------------------------------------------- discovery


class Listing:
    """A discovery with one watcher, and what it has said."""

    def __init__(self, **figures: Any) -> None:
        given = DiscoveryFigures(**({"notice_ms": 100.0, "add_ms": 100.0, "period_ms": 10.0,
                                     "spread_ms": 0.0, "call_lines": 0.0} | figures))
        self.machine = draw_fleet(a_scenario(), Streams(1)).machines[0]
        self.it = Discovery(given, 10_000.0, Streams(1).of("discovery"))
        self.it.list_now(self.machine)
        self.it.scheduler_started(0.0, "s")
        self.said: list[tuple[float, Reply | Word]] = []
        self.calls = 0

    def call(self, now: float, index: int | None, wait_ms: float = 60_000.0) -> int:
        self.until(now)
        self.calls += 1
        self.it.call(now, "s", self.calls, index, wait_ms)
        self.until(now)
        return self.calls

    def until(self, now: float) -> None:
        while (due := self.it.next_at()) <= now:
            at = max(due, 0.0) if due > -math.inf else now
            self.said += [(at, said) for said in self.it.wake(at)]

    @property
    def words(self) -> list[tuple[str, float | None]]:
        return [(s.state, s.since) for _, s in self.said if isinstance(s, Word)]

    @property
    def replies(self) -> list[Reply]:
        return [s for _, s in self.said if isinstance(s, Reply)]


@pytest.mark.parametrize(("gap", "same_watch"), [(199.0, True), (201.0, False)])
def test_a_watch_goes_on_for_200_ms(gap: float, same_watch: bool) -> None:
    """What changes between two calls of one watch counts as told from when it changed."""
    d = Listing()
    d.call(0.0, None)
    d.until(50.0)
    answered = next(at for at, said in d.said if isinstance(said, Reply))
    d.it.draining(answered + 20.0, d.machine)
    d.until(answered + gap)
    d.call(answered + gap, d.replies[0].version)
    d.until(answered + gap + 50.0)
    (state, since), = d.words
    assert state == "draining"
    assert (since is not None and since < answered + 40.0) is same_watch
    assert [r.lines and r.lines[0].state for r in d.replies] == ["ready", "draining"]


def test_calls_are_served_in_turn_and_fail_when_they_wait_too_long() -> None:
    d = Listing(call_lines=99.0, lines_per_s=100.0, timeout_ms=1500.0)
    d.it.scheduler_started(0.0, "t")
    for call, scheduler in ((1, "s"), (2, "t"), (3, "s")):
        d.it.call(0.0, scheduler, call, None, 0.0)
    d.until(0.0)
    d.until(5000.0)
    assert [(round(at), r.call, r.lines is None) for at, r in d.said if isinstance(r, Reply)] == [
        (0, 3, True), (1000, 1, False), (2000, 2, False)]


def test_a_scheduler_that_does_not_ask_counts_as_told_after_a_while() -> None:
    d = Listing()
    d.call(0.0, None)
    d.until(50.0)
    d.it.draining(60.0, d.machine)
    d.until(9_000.0)
    assert d.words == []
    d.until(20_000.0)
    assert d.words == [("draining", None)]


def test_a_process_that_came_back_is_not_hidden_by_the_end_of_the_old_one() -> None:
    d = Listing(notice_ms=500.0, silent_notice_ms=5000.0, add_ms=100.0)
    d.call(0.0, None)
    d.until(50.0)
    d.it.process_ended(100.0, d.machine, silent=True)
    d.it.process_started(2000.0, d.machine)
    d.call(200.0, d.replies[0].version)
    d.until(10_000.0)
    assert [(w.state, w.started_at) for _, w in d.said if isinstance(w, Word)] == [("ready", 2000.0)]


def test_discovery_that_counts_anew_gives_the_whole_list() -> None:
    d = Listing()
    d.it.draining(5.0, d.machine)
    d.call(50.0, None)
    d.until(60.0)
    d.call(61.0, d.replies[0].version)
    d.it.stop(100.0)
    d.until(101.0)
    assert d.replies[-1].lines is None
    d.it.come_back(200.0, anew=True)
    d.call(300.0, 2)
    d.until(400.0)
    assert d.replies[-1].whole and d.replies[-1].version == 1


# ------------------------------------------------------------------ clients, front


def clients(retries: int = 3, **figures: Any) -> Clients:
    given = a_scenario(clients=ClientFigures(retries=retries, **figures), load=Load(per_s=5.0))
    return draw_clients(given, Streams(2), 1.0)


def first_try(c: Clients, effect: str) -> tuple[float, Try]:
    while True:
        now = c.next_at()
        for act in c.wake(now):
            if isinstance(act, Try) and act.wish.cls.effect == effect:
                return now, act


@pytest.mark.parametrize(("effect", "how", "again"), [
    ("safe", "failed", True), ("safe", "lost", True), ("safe", "refused", True), ("safe", "served", False),
    ("unsafe", "failed", False), ("unsafe", "lost", False), ("unsafe", "refused", True),
    ("unsafe", "unreached", True),
])
def test_clients_try_again_where_the_rules_let_them(effect: str, how: Any, again: bool) -> None:
    c = clients(backoff_ms=7.0)
    now, tried = first_try(c, effect)
    c.ended(now + 1, tried.rid, how)
    acts = c.wake(now + 8.0)
    repeats = [a for a in acts if isinstance(a, Try) and a.wish is tried.wish]
    assert [(r.attempt, r.rid) for r in repeats] == ([(1, f"{tried.wish.name}.1")] if again else [])


def test_a_wish_is_given_up_after_its_retries_and_at_its_deadline() -> None:
    c = clients(retries=2)
    now, tried = first_try(c, "safe")
    for attempt in (1, 2):
        c.ended(now, tried.rid, "refused")
        tried = next(a for a in c.wake(now) if isinstance(a, Try))
        assert tried.attempt == attempt
    c.ended(now, tried.rid, "refused")
    assert not c.waits(tried.rid) and not [a for a in c.wake(now) if isinstance(a, Try)]
    now, tried = first_try(c, "safe")
    given_up = [a for a in c.wake(tried.wish.deadline_at + 8.0) if isinstance(a, GiveUp)]
    assert tried.rid in [a.rid for a in given_up]


def test_some_clients_leave_and_some_heed_advice() -> None:
    c = clients(leaves=1.0, honours_advice=1.0)
    now, tried = first_try(c, "safe")
    assert now <= tried.wish.leaves_at <= now + 600.0 + 2 * tried.wish.work
    c.ended(now, tried.rid, "refused", retry_after_ms=100.0)
    assert not [a for a in c.wake(now + 99.0) if isinstance(a, Try) and a.wish is tried.wish]
    c = clients(leaves=1.0)
    now, tried = first_try(c, "safe")
    assert tried.rid in [a.rid for a in c.wake(tried.wish.leaves_at) if isinstance(a, Leave)]


@settings(max_examples=30, deadline=None)
@given(st.sampled_from(["fixed", "exponential", "lognormal", "pareto"]), st.floats(0.2, 3.0),
       st.sampled_from([0.0, 300.0, 3000.0]))
def test_the_mean_of_works_is_as_stated(dist: Any, cv: float, most: float) -> None:
    """Load is drawn by `mean_work`, so that must be the mean of what `draw_work` draws."""
    cls = RequestClass(name="a", dist=dist, cv=cv, most_ms=most)
    works = draw_work(Streams(1).generator("w"), cls, 60_000)
    tolerance = 6 * float(works.std()) / 60_000 ** 0.5 + (0.15 * 700 if not most and cv > 1 else 1.0)
    assert abs(float(works.mean()) - mean_work(cls)) < tolerance
    assert not most or works.max() <= most


def test_load_follows_level_and_shape() -> None:
    given = a_scenario(load=Load(level=0.5, shape=((0.0, 0.5), (50.0, 1.5))))
    wishes = draw_clients(given, Streams(5), 20.0).wishes
    expected = 0.5 * 20.0 / 700.0 * 50_000
    assert abs(len(wishes) - expected) < 5 * expected ** 0.5
    assert sum(w.at < 25_000 for w in wishes) / len(wishes) == pytest.approx(0.375, abs=0.06)


def test_the_front_goes_on_sending_to_a_dead_scheduler() -> None:
    front = Front(["a", "b"], 1000.0, Streams(1).of("front"))
    assert front.pick(0.0, "a") is None
    front.up(1.0, 0)
    assert front.pick(2.0, "b") == 0  # no other is there
    front.up(3.0, 1)
    front.died(4.0, 0)
    assert [front.pick(at, "a") for at in (5.0, 1003.0, 1005.0)] == [0, 0, 1]
    front.up(2000.0, 0)
    front.out(2001.0, 0)
    assert front.pick(2002.0, "a") == 1


def test_a_cut_lets_nothing_in_or_out_and_cuts_overlap() -> None:
    network = Network(a_scenario().network, Streams(1).of("network"))
    network.cut("b", one_way=False)
    network.cut("b", one_way=True)
    network.mend("b", one_way=False)
    assert not network.passes("b", "a") and network.passes("a", "b") and network.passes("b", "b")
    network.mend("b", one_way=True)
    assert network.passes("b", "a")


# ----------------------------------------------------------------------- troubles


def test_troubles_overlap_without_changing_each_other() -> None:
    """A trouble more adds its deeds and changes none of the others'."""
    alone, both = a_scenario(trouble=[Crash(10.0, 5.0, part=0.5)]), a_scenario()
    both.trouble = [*alone.trouble, Deploy(8.0, 20.0, part=1.0, batch=0.34), SchedulerRoll(5.0, 20.0)]
    def deeds(scenario: Scenario) -> list[Any]:
        return schedule(scenario, draw_fleet(scenario, Streams(4)), Streams(4))
    crash = [d for d in deeds(alone) if d.do in (Do.NODE_CRASH, Do.NODE_BACK)]
    assert crash == [d for d in deeds(both) if d.do in (Do.NODE_CRASH, Do.NODE_BACK)]
    assert len(crash) == 6 and {d.at for d in crash} == {10_000.0, 15_000.0}
    new = [d for d in deeds(both) if d.do is Do.NODE_NEW]
    assert [d.place for d in new] == list(range(6, 12))
    assert sorted(d.place for d in deeds(both) if d.do is Do.NODE_DRAIN) == list(range(6))
    times = [d.at for d in deeds(both)]
    assert times == sorted(times)


def test_a_graceful_stop_comes_long_before_the_kill() -> None:
    given = load("scheduler-stop")
    deeds = schedule(given, draw_fleet(given, Streams(1)), Streams(1))
    by_place = {(d.do, d.place): d.at for d in deeds}
    for place in range(3):
        term, out = by_place[Do.SCHEDULER_TERM, place], by_place[Do.SCHEDULER_OUT, place]
        assert 200 <= out - term <= 400
        assert by_place[Do.SCHEDULER_KILL, place] - term == pytest.approx(3700.0)
