"""Planners and forwarders in virtual time, and what a plan does in the decision module."""

from __future__ import annotations

import random
from itertools import pairwise

import msgspec
import pytest

from flintfield.decision.interface import (
    Entry, ListMode, PlanUpdate, PlanRow, Request, RequestClass, Send, ServerList, Settings, State,
)
from flintfield.decision.planned import PlannedDispatcher
from flintfield.decision.records import Job
from flintfield.lab import planners, scenario as scenarios
from flintfield.lab.judge import judge
from flintfield.lab.log import Begin, End, Log, ProbeSeen
from flintfield.lab.planners import Outage, Setup, Split
from flintfield.lab.scenario import Scenario
from flintfield.lab.virtual import play

DEPLOY = {"kind": "deploy", "at_s": 3.0, "for_s": 4.0, "part": 0.5, "batch": 0.25}
EVENTS = Setup(outages=(Outage(3.0, 5.0, (0, 1, 2)), Outage(5.5, 7.0, (1,), killed=False)),
               splits=(Split(4.0, 9.0, (0,)),))


def small(**more: object) -> Scenario:
    raw = {"extends": "nodes-200", "name": "small", "about": "Small.", "length_s": 8.0,
           "load": {"level": 0.6}, "schedulers": {"count": 6}, "fleet": {"nodes": 18}, "trouble": []}
    return scenarios.parse(msgspec.toml.encode(scenarios.merged(raw, more)).decode(), "small")


def probes(played: Log) -> int:
    return sum(isinstance(r, ProbeSeen) for r in played.records)


def test_with_planners_probes_fall_and_no_rule_breaks() -> None:
    scenario = small()
    today, (planned, figures) = play(scenario, 3), planners.play(scenario, 3)
    assert judge(planned.records).kept
    assert probes(planned) < probes(today) / 2
    assert figures.plans > 100
    assert not figures.refused


@pytest.mark.parametrize("setup", [Setup(), EVENTS, Setup(stale_ms=1_000.0)])
def test_deploys_keep_the_rules_whatever_happens_to_planners(setup: Setup) -> None:
    verdict = judge(planners.play(small(trouble=[DEPLOY]), 5, setup)[0].records)
    assert verdict.kept, verdict.violations


def test_a_run_is_the_same_each_time() -> None:
    scenario = small(length_s=4.0)
    one, two = (planners.play(scenario, 2, EVENTS)[0].records for _ in range(2))
    assert one[:-1] == two[:-1]


def test_without_planners_a_forwarder_plays_as_a_scheduler() -> None:
    scenario = small(length_s=4.0)
    today, planned = play(scenario, 1), planners.play(scenario, 1, Setup(planners=0))[0]
    kept = [[r for r in played.records if not isinstance(r, Begin | End)] for played in (today, planned)]
    assert kept[0] == kept[1]


# ------------------------------------------------------------------------ the module

def told(ends: float, full_until: float = 0.0) -> PlannedDispatcher:
    made = PlannedDispatcher(Settings((RequestClass(500.0, 5_000.0),)), 4)
    made.handle(0.0, ServerList(ListMode.FULL, tuple(Entry(w) for w in (1, 2, 3, 4))))
    made.handle(0.0, PlanUpdate(full_until, ends, (PlanRow(1, 1.0, 0.0, 0.0, 2.0, 1.0, 0.0, True),)))
    return made


def part_at_home(module: PlannedDispatcher, now: float) -> float:
    module.now, module.random = now, random.Random(1)
    job = Job(Request(1, 0, 9e9), now, 1.0, 1.0)
    drawn = [module._draw(job, anywhere=True) for _ in range(2_000)]
    return sum(worker is not None and worker.entry.worker == 1 for worker in drawn) / 2_000


def test_shares_go_evenly_from_the_plan_to_our_own_as_it_ages() -> None:
    module = told(2_400.0, 400.0)
    parts = [part_at_home(module, at) for at in range(0, 2_600, 100)]
    assert parts[0] == 1.0
    assert parts[-1] == pytest.approx(0.25, abs=0.05)
    assert max(abs(a - b) for a, b in pairwise(parts)) < 0.1


def test_a_lease_adds_to_our_own_part_until_it_ends_and_without_one_only_ours_is_used() -> None:
    module = PlannedDispatcher(Settings((RequestClass(500.0, 5_000.0),)), 4)
    module.handle(0.0, ServerList(ListMode.FULL, (Entry(1),)))
    worker = module.workers[1]
    assert module._cold_share(worker, 100.0) == pytest.approx(60.0)
    module.handle(1.0, PlanUpdate(500.0, 1_000.0, (), ((1, 0.4),)))
    assert module._cold_share(worker, 100.0) == pytest.approx(100.0)
    module.now = 1_000.0
    assert module._cold_share(worker, 100.0) == pytest.approx(60.0)


def test_a_worker_that_the_list_says_drains_gets_nothing_whatever_the_plan_says() -> None:
    module = told(5_000.0, 5_000.0)
    module.handle(1.0, ServerList(ListMode.DELTA, (Entry(1, State.DRAINING),)))
    for rid in range(40):
        sent = [a for a in module.handle(2.0 + rid * 600, Request(rid, 0, 9e9)) if isinstance(a, Send)]
        assert all(a.worker != 1 for a in sent)
