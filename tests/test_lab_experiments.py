"""Experiments, played by a stand-in for the engines whose outcome is known."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import pytest

from flintfield.lab.experiments.compare import compare, interval
from flintfield.lab.experiments.fuzz import draw, fuzz, read_ranges
from flintfield.lab.experiments.pool import Players
from flintfield.lab.experiments.results import Results
from flintfield.lab.experiments.runs import Job, as_json, share, with_yardsticks
from flintfield.lab.experiments.settings import axis_of, change_of, changed, seeds_of
from flintfield.lab.experiments.shrink import Shrinker, regression
from flintfield.lab.experiments.sweep import Plan, sweep
from flintfield.lab.scenario import Crash, Deploy, ScenarioError, dump, parse
from flintfield.lab.verdict import Cost, Service, Verdict, Violation

BASE = parse("""
name = "base"
length_s = 30
[fleet]
nodes = 12
[[fleet.kinds]]
name = "k"
[[classes]]
name = "match"
[load]
level = 0.8
""")


def verdict(goal: float = 0.9, broken: tuple[Violation, ...] = (), **changes: Any) -> Verdict:
    service = Service(goal, goal, 0.0, goal, goal, ())
    counts: dict[str, int] = {v.rule: 1 for v in broken}
    made = Verdict("base", 1, "virtual", "flintfield", service, broken, Cost(1, 1, 0, 0), "", 1)
    return msgspec.structs.replace(made, broken=counts, **changes)


def play(job: Job) -> Verdict:
    """Goal by chooser and level; a cold node falls when 3 nodes or more are there and one crashes."""
    goal = {"random": 0.5, "omniscient": 1.0}.get(job.chooser, 0.9 - (job.scenario.load.level or 0) / 10)
    fails = job.scenario.fleet.nodes >= 3 and any(isinstance(t, Crash) for t in job.scenario.trouble)
    broken = (Violation("cold", 4_200.0, "n0 fell over", (1,)),) if fails else ()
    return verdict(goal, broken, seed=job.seed, chooser=job.chooser)


HERE = Players(play=play)


# ----------------------------------------------------------------- settings


def test_changes_reach_defaults_troubles_and_free_settings() -> None:
    scenario = changed(BASE, [("trouble", [{"kind": "crash", "at_s": 3.0}])])
    made = changed(scenario, [change_of("load.level=0.5"), change_of("trouble.0.part=0.5"),
                              change_of("schedulers.settings.limits.max_attempts=2"),
                              change_of("fleet.order=backfill")])
    assert made.load.level == 0.5 and made.fleet.order == "backfill"
    assert made.trouble == [Crash(at_s=3.0, part=0.5)]
    assert made.schedulers.settings == {"limits": {"max_attempts": 2}}
    assert BASE.load.level == 0.8
    by_rate = changed(BASE, [("load.per_s", 3.0)])  # the two say the same thing: one takes the other's place
    assert (by_rate.load.per_s, by_rate.load.level) == (3.0, None)


@pytest.mark.parametrize(("text", "word"), [
    ("load.levle=1", "load.levle: found 'levle', expected one of"), ("load.level=-1", "load.level"),
    ("fleet.kinds.3.cores=2", "expected a place from 0 to 0"), ("load.level.x=1", "nothing below"),
    ("name", "expected KEY.PATH=VALUE"), ("load.shape=[]", "load.shape")])
def test_a_change_that_cannot_be_names_its_key(text: str, word: str) -> None:
    with pytest.raises(ScenarioError, match=word):
        changed(BASE, [change_of(text)])


def test_axes_and_seeds() -> None:
    assert axis_of("fleet.nodes=10,100") == ("fleet.nodes", [10, 100])
    assert axis_of("fleet.order=fifo,backfill") == ("fleet.order", ["fifo", "backfill"])
    assert seeds_of("1-3,7,2") == [1, 2, 3, 7]
    for wrong in ("x", "3-1", "1-", ""):
        with pytest.raises(ScenarioError, match="seeds"):
            seeds_of(wrong)


# -------------------------------------------------------------------- sweep


PLAN = Plan((BASE,), (("load.level", [0.5, 1.0]),), (1, 2, 3),
            choosers=("flintfield", "random", "omniscient"))


def test_a_sweep_sums_up_its_grid_with_shares(tmp_path: Path) -> None:
    points = sweep(PLAN, tmp_path / "r.jsonl", HERE)
    assert [p.runs for p in points] == [3] * 6
    ours = [p for p in points if p.point["chooser"] == "flintfield"]
    assert [p.point["load.level"] for p in ours] == ["0.5", "1.0"]
    assert [p.share for p in ours] == pytest.approx([0.7, 0.6])


def test_an_interrupted_sweep_goes_on_where_it_was(tmp_path: Path) -> None:
    out, played = tmp_path / "r.jsonl", list[Job]()

    def counted(job: Job) -> Verdict:
        if len(played) == 7:
            raise KeyboardInterrupt
        played.append(job)
        return play(job)

    with pytest.raises(KeyboardInterrupt):
        sweep(PLAN, out, Players(play=counted))
    out.write_bytes(out.read_bytes()[:-10])  # the interrupt cut the last line off
    again = list[Job]()

    def rest(job: Job) -> Verdict:
        again.append(job)
        return play(job)

    points = sweep(PLAN, out, Players(play=rest))
    assert len(again) == 18 - 6 and points == sweep(PLAN, tmp_path / "whole.jsonl", HERE)


def test_results_of_other_code_do_not_count(tmp_path: Path) -> None:
    sweep(PLAN, tmp_path / "r.jsonl", HERE)
    with Results(tmp_path / "r.jsonl", "other code") as results:
        assert results.done == {}


# ------------------------------------------------------------------ compare


def pairs(differences: list[float], **other: Any) -> list[tuple[Verdict, Verdict]]:
    return [(verdict(0.8), verdict(0.8 + d, **other)) for d in differences]


@pytest.mark.parametrize(("differences", "word"), [
    ([0.02, 0.01, 0.03, 0.02, 0.015, 0.025], "better"),
    ([-0.02, -0.01, -0.03, -0.02, -0.015, -0.02], "worse"),
    ([0.02, -0.02, 0.03, -0.03, 0.01, -0.01], "can't tell"), ([0.0] * 6, "can't tell"),
    ([0.05] * 4, "can't tell")])
def test_a_difference_is_told_from_chance(differences: list[float], word: str) -> None:
    assert compare(pairs(differences)).word == word


def test_a_broken_rule_outweighs_service_and_void_runs_do_not_count() -> None:
    broke = (Violation("drain", 1.0, "late", ()),)
    assert compare(pairs([0.1] * 6, broken=broke)).word == "worse"
    assert compare(pairs([0.1] * 6, void="busy")).pairs == 0


def test_the_interval_holds_the_mean_as_often_as_it_says() -> None:
    rng = np.random.default_rng(7)
    held = 0
    for trial in range(100):
        low, high = interval([list(rng.normal(0.3, 1.0, 40))], trial)
        held += low <= 0.3 <= high
    assert 88 <= held <= 100  # 95 expected


def test_shares_and_the_one_object_that_is_printed() -> None:
    assert (share(0.5, 0.5, 1.0), share(1.0, 0.5, 1.0), share(0.9, 0.94, 0.95)) == pytest.approx((0, 1, 0.5))
    broken = (Violation("cold", 1.0, "fell", (3,)),)
    told = as_json(with_yardsticks(verdict(0.75, broken), {"random": 0.5, "omniscient": 1.0}))
    assert told["share"] == pytest.approx(0.5) and told["service"]["goal"] == 0.75 and not told["kept"]
    assert told["rules"]["cold"] == {"kept": False, "broken": 1, "violations": [
        {"rule": "cold", "at": 1.0, "word": "fell", "proof": (3,)}]}
    assert told["rules"]["answer"] == {"kept": True, "broken": 0, "violations": []}


# ----------------------------------------------------------- fuzz and shrink


def test_a_trial_is_the_same_whatever_was_played_before() -> None:
    ranges = read_ranges()
    drawn = [draw(BASE, ranges, 3, i) for i in range(40)]
    assert draw(BASE, ranges, 3, 17) == drawn[17] and len({dump(s) for s in drawn}) == 40
    assert all(2 <= s.fleet.nodes <= 24 and 1 <= len(s.trouble) <= 4 for s in drawn)
    assert parse(dump(drawn[5])) == drawn[5]


def test_fuzz_ends_when_told_so() -> None:
    seen = list(fuzz(BASE, read_ranges(), 1, HERE, go_on=lambda trials: trials < 30))
    assert len(seen) == 30 and any(v.violations for _, v in seen)


@pytest.mark.parametrize(("text", "word"), [
    ("[kind.quake]\npart=[0,1]", "kind.quake"), ("[kind.crash]\nsize=[0,1]", "kind.crash.size"),
    ("[vary]\n'load.level'=3", "vary")])
def test_faulty_ranges_name_their_key(tmp_path: Path, text: str, word: str) -> None:
    path = tmp_path / "ranges.toml"
    path.write_text(text)
    with pytest.raises(ScenarioError, match=word):
        read_ranges(path)


def test_shrinking_leaves_what_breaks_the_rule_and_no_more(tmp_path: Path) -> None:
    scenario = changed(BASE, [("schedulers.count", 5), ("network.cross_ms", 9.0), ("zones", ["a", "b"])])
    troubles = [Deploy(at_s=2.0, for_s=9.0), Crash(at_s=3.0, for_s=8.0), Deploy(at_s=12.0), Crash(at_s=20.0)]
    job = Job(msgspec.structs.replace(scenario, trouble=troubles), 5)
    shrunk = Shrinker(job, "cold", HERE).run()
    left = shrunk.job.scenario
    assert [type(t) for t in left.trouble] == [Crash] and left.fleet.nodes == 3
    assert left.length_s <= 5 and left.schedulers.count == 1 and left.network.cross_ms == 1.2
    kept = parse(dump(regression(shrunk, "cold-crash")))
    assert kept.guards == "Rule cold: n0 fell over." and kept.seed == 5


def test_a_run_that_ends_in_an_error_is_shrunk_too() -> None:
    scenario = changed(BASE, [("trouble", [{"kind": "crash", "at_s": 3.0}, {"kind": "deploy", "at_s": 5.0}])])

    def fails(job: Job) -> Verdict:
        return verdict(void="failed with KeyError(7)" if len(job.scenario.trouble) == 2 else "")

    shrunk = Shrinker(Job(scenario, 1), None, Players(play=fails)).run()
    assert shrunk.found.what == "failed" and shrunk.job.scenario.fleet.nodes == 1
    assert regression(shrunk, "failed").guards == "The run failed with KeyError(7)."


def test_what_does_not_fail_cannot_be_shrunk() -> None:
    with pytest.raises(ScenarioError, match="expected a run that fails"):
        Shrinker(Job(BASE, 1), None, HERE)
