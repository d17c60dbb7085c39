"""The judge is judged: planted faults are each caught by the rule they break, the program as it is by none.

About 25 s in all.
"""

from __future__ import annotations

import msgspec
import pytest

from flintfield.lab import scenario as scenarios
from flintfield.lab.choosers import NAMES
from flintfield.lab.experiments.pool import Players
from flintfield.lab.experiments.runs import Job, run
from flintfield.lab.experiments.settings import changed
from flintfield.lab.faults import FAULTS, play_all, scenario_of
from flintfield.lab.judge.findings import RULES

HERE = Players(play=run)


def test_the_faults_cover_all_rules() -> None:
    assert len(FAULTS) >= 12 and {f.rule for f in FAULTS.values()} == set(RULES)


@pytest.mark.parametrize("name", FAULTS)
def test_a_planted_fault_is_caught_by_its_rule_alone(name: str) -> None:
    verdict = run(Job(scenario_of(name), 1, plant=name))
    if not verdict.broken:  # not every half minute gives a fault the occasion to show
        verdict = run(Job(scenario_of(name), 2, plant=name))
    assert set(verdict.broken) == {FAULTS[name].rule}
    assert verdict.violations[0].proof and not verdict.void


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("name", ["", "sends-to-the-gone", "misreads-deadlines", "drops-the-cold-budget"])
def test_the_program_as_it_is_keeps_all_rules(name: str, seed: int) -> None:
    assert run(Job(scenario_of(name), seed)).broken == {}


def test_a_fault_that_no_rule_sees_is_told() -> None:
    seen: list[int] = []
    caught, nothing = play_all(["forgets"], Players(play=lambda job: run(
        msgspec.structs.replace(job, plant=""))), lambda: seen.append(1), seeds=(1,))
    assert not caught.caught and nothing.caught and len(seen) == 2


def test_the_yardsticks_stand_in_their_order() -> None:
    scenario = changed(scenarios.load("agem-calm"), [("length_s", 12.0), ("load.per_s", 30.0)])
    goals = dict.fromkeys(("flintfield", *NAMES), 0.0)
    for chooser in goals:
        for seed in (1, 2, 3):
            verdict = run(Job(scenario, seed, chooser=chooser))
            assert not verdict.broken
            goals[chooser] += verdict.service.goal / 3
    assert max(goals, key=lambda c: goals[c]) == "omniscient"
    assert min(goals, key=lambda c: goals[c]) == "random"
    assert goals["flintfield"] > goals["power-of-two"]
