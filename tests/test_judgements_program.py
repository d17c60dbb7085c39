"""Shared judgements in the real program: the section, several processes with faults between them, pages."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from flintfield.lab.fleet import plan as plans
from flintfield.lab.fleet.plan import Plan
from flintfield.wire.sharing.nodes import as_text, differences
from peers import ROOT
from support.fleet import played


def short(planted: dict[str, str]) -> Plan:
    """Five instances for 10 s, without faults of the plan."""
    plan = plans.load("judgements")
    plan.set |= {"length_s": 9.0, "tail_s": 4.0, "schedulers.count": 5, "load.per_s": 30.0, "trouble": []}
    plan.faults, plan.bounds.heal_s, plan.planted = [], 3.0, planted
    return plan


def test_ten_real_instances_judge_together_through_loss_cuts_a_stop_and_a_kill(tmp_path: Path) -> None:
    outcome = played(plans.load("judgements"), 1, tmp_path)
    assert outcome.names == set()
    claims = list(outcome.history.of_page("/judgements"))
    assert any(node["avoided"] for claim in claims for node in claim.told["nodes"])  # the two that fail
    calm = [c.told["weight"] for c in claims if 3_000 < c.at < 6_500]
    assert sum(w > 0.8 for w in calm) > 0.9 * len(calm)
    cut = [c.told["weight"] for c in claims if c.name == "s03" and 9_000 < c.at < 10_500]
    assert cut and max(cut) < 0.4  # of nine others two are heard
    text = as_text(claims[-1].told)
    assert text.count("\n") == 1 + len(claims[-1].told["nodes"])
    assert differences(claims[-1].told, claims[-1].told) == []


@pytest.mark.parametrize(("planted", "found"), [
    ({"all": "believes-whoever-blames-all+no-bound", "s04": "blames-all"}, {"hearsay-out", "hearsay-lasts"}),
    ({"s01": "deaf"}, {"hearsay-none"}),
    ({"s04": "blames-all"}, set()),
])
def test_planted_faults_are_found_by_name_and_one_that_blames_all_is_borne(
    tmp_path: Path, planted: dict[str, str], found: set[str]
) -> None:
    assert played(short(planted), 2, tmp_path).names == found


@pytest.mark.parametrize(("lines", "told"), [
    ("[sharing]\njudgements = perhaps", "[sharing] judgements: found 'perhaps'"),
    ("[sharing]\njudgements = on\n[capture]\ndir = FOLDER", "[sharing] judgements: found on beside [capt"),
])
def test_a_faulty_key_is_one_line_and_exit_code_2(
    tmp_path: Path, lines: str, told: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    from flintfield.lifecycle.start import main
    from peers import SETTINGS

    config = {"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    (tmp_path / "config.json").write_text(json.dumps(config))
    (tmp_path / "ini").write_text(lines.replace("FOLDER", str(tmp_path)) + "\n")
    monkeypatch.setenv("LB_CONFIG", str(tmp_path / "config.json"))
    assert main(["--ini", str(tmp_path / "ini")]) == 2
    errors = capsys.readouterr().err
    assert told in errors and errors.count("\n") == 1


def test_sharing_alone_imports_nothing_of_judgements(tmp_path: Path) -> None:
    seen = "import sys, flintfield.units.sharing; NAMES = ('heeding', 'evidence', 'bridge'); " \
           "print([m for m in sys.modules if m.split('.')[-1] in NAMES])"
    done = subprocess.run([sys.executable, "-c", seen], cwd=ROOT, text=True, capture_output=True, timeout=20)
    assert done.stdout.splitlines()[-1] == "[]"
