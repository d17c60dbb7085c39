"""The laboratory's command line, on scenarios of a few seconds."""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner, Result

import flintfield
from flintfield.lab import scenario as scenarios
from flintfield.lab.cli import lab
from flintfield.lab.experiments import runs
from flintfield.lab.judge import judge_file
from flintfield.lab.log import Begin, Class, End

ROOT = Path(flintfield.__file__).parents[1]


@pytest.fixture
def small(tmp_path: Path) -> str:
    """Four seconds, five nodes, one of which dies at the second."""
    path = tmp_path / "small.toml"
    base = scenarios.load("agem-calm")
    made = msgspec.structs.replace(
        base, name="small", length_s=4.0, fleet=msgspec.structs.replace(base.fleet, nodes=5,
                                                                             zone_skew=0.0),
        trouble=[scenarios.Crash(at_s=1.0, for_s=9.0, nodes=[0])])
    path.write_text(scenarios.dump(made))
    return str(path)


def call(*arguments: str) -> Result:
    return CliRunner().invoke(lab, arguments, catch_exceptions=False)


def test_the_shipped_scenarios_are_listed_and_check() -> None:
    listed = json.loads(call("list", "--json").stdout)
    names = [s["name"] for s in listed]
    assert "agem-calm" in names and call("check", *names).exit_code == 0


@pytest.mark.parametrize(("arguments", "word"), [
    (["check", "nosuch.toml"], "nosuch.toml: cannot be read"),
    (["run", "agem-calm", "--set", "load.lvl=1"], "load.lvl"),
    (["run", "agem-calm", "--chooser", "luck"], "chooser: found 'luck'"),
    (["sweep", "agem-calm", "--seeds", "x"], "seeds"),
    (["compare", "agem-calm"], "compare: found no base"),
    (["compare", "agem-calm", "--base", "/"], "build: found '/'"),
    (["plant", "nothing-such"], "plant: found 'nothing-such'"), (["report", "nosuch.jsonl"], "nosuch.jsonl")])
def test_bad_input_is_told_in_one_line(arguments: list[str], word: str) -> None:
    result = call(*arguments)
    assert result.exit_code == 2 and word in result.stderr and result.stderr.count("\n") == 1


def test_a_run_prints_one_object_and_keeps_what_shows_it(small: str, tmp_path: Path) -> None:
    out = tmp_path / "out"
    result = call("run", small, "--seed", "3", "--yardsticks", "none", "--out", str(out), "--json")
    told = json.loads(result.stdout)
    assert result.exit_code == 0 and told["kept"] and set(told["rules"]) == {"answer", "repeat", "drain",
                                                                             "cold"}
    assert told["log_sha256"] == judge_file(out / "log.jsonl").log_sha256
    again = json.loads(call("run", small, "--seed", "3", "--yardsticks", "none", "--json").stdout)
    assert again == told
    page, beside = (out / "report.html").read_text(), json.loads((out / "report.json").read_text())
    assert page.count("data:image/svg+xml") >= 5 and "http" not in page
    assert beside["verdict"] == told and set(beside["classes"]) == {"match-list", "social-booking"}
    assert beside["troubles"][0]["name"] == "crash" and len(beside["inflight"]) == 5
    assert call("report", str(out), "--out", str(tmp_path / "again.html")).exit_code == 0
    assert (tmp_path / "again.html").read_text() == page


def test_a_broken_rule_is_code_1_with_its_proof_in_the_report(small: str, tmp_path: Path) -> None:
    result = call("run", small, "--plant", "books-twice", "--yardsticks", "none", "--out",
                  str(tmp_path / "out"))
    assert result.exit_code == 1 and "rule repeat: broken" in result.stdout
    proof = json.loads((tmp_path / "out" / "report.json").read_text())["proofs"][0]
    assert len(proof["lines"]) == len(proof["violation"]["proof"]) >= 3
    assert all(json.loads(line)["what"] for line in proof["lines"])


def test_a_void_run_is_code_3(small: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def too_busy(job: runs.Job, on_record: Any) -> None:
        on_record(Begin(0.0, "small", 1, "sockets", "flintfield", 1, 4_000.0, (
            Class("c", 1.0, 1.0, 1.0, 1.0, "safe"),), True, 400.0, 8.0, 3.0, 1_000.0))
        on_record(End(9_000.0, "the machine was too busy"))

    monkeypatch.setattr(runs, "play", too_busy)
    result = call("run", small, "--engine", "sockets", "--yardsticks", "none")
    assert result.exit_code == 3 and "void: the machine was too busy" in result.stdout


def test_a_sweep_over_processes_with_shares(small: str, tmp_path: Path) -> None:
    given = ["sweep", small, "--vary", "load.per_s=5,10", "--seeds", "1-2", "--chooser", "flintfield",
             "--chooser",
             "random", "--chooser", "omniscient", "--out", str(tmp_path / "r.jsonl"), "--processes", "2",
             "--json"]
    points = json.loads(call(*given).stdout)
    assert len(points) == 6 and all(p["runs"] == 2 for p in points)
    assert [p["share"] for p in points if p["point"]["chooser"] == "omniscient"] == [1.0, 1.0]
    assert json.loads(call(*given).stdout) == points  # now from the file
    assert len((tmp_path / "r.jsonl").read_text().splitlines()) == 12


REFUSE_ALL = """
_handle = Dispatcher.handle


def _refuse_all(self: Dispatcher, now: float, event: Event) -> list[Action]:
    if isinstance(event, Request):
        return [Refuse(event.rid, 0.0)]
    return _handle(self, now, event)


Dispatcher.handle = _refuse_all
"""


def test_another_checkout_is_compared_in_this_laboratory(small: str, tmp_path: Path) -> None:
    other = tmp_path / "other"
    shutil.copytree(ROOT / "flintfield", other / "flintfield",
                    ignore=shutil.ignore_patterns("lab"))
    with (other / "flintfield" / "decision" / "policy.py").open("a") as policy:
        policy.write(REFUSE_ALL)
    result = call("compare", small, "--base", str(other), "--seeds", "1-6", "--processes", "2", "--json")
    found = json.loads(result.stdout)
    assert (found["word"], found["pairs"], result.exit_code) == ("better", 6, 0)
    assert found["measures"][0]["base"] == 0.0 < found["measures"][0]["other"]


def test_fuzz_finds_a_planted_fault_and_shrinks_it(small: str, tmp_path: Path) -> None:
    ranges = tmp_path / "ranges.toml"
    ranges.write_text('troubles = [2, 3]\n[vary]\n"fleet.nodes" = [5, 8]\n[kind.resets]\nfor_s = [2.0, 4.0]\n'
                      "share = [0.2, 0.4]\n[kind.slow]\nfor_s = [1.0, 2.0]\n")
    result = call("fuzz", small, "--ranges", str(ranges), "--plant", "resends-after-reset", "--seconds", "30",
                  "--trials", "8", "--processes", "2", "--out", str(tmp_path), "--json")
    told = json.loads(result.stdout)
    assert result.exit_code == 1 and told["violations"][0]["rule"] == "repeat"
    kept = scenarios.load(told["file"])
    assert kept.guards.startswith("Rule repeat:") and len(kept.trouble) <= 1 and kept.fleet.nodes <= 4
    again = call("run", told["file"], "--plant", "resends-after-reset", "--yardsticks", "none")
    assert again.exit_code == 1 and "rule repeat: broken" in again.stdout
    assert call("run", told["file"], "--yardsticks", "none").exit_code == 0
