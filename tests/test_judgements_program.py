"""Shared judgements in the real program: the section, several processes with faults between them, pages."""

from __future__ import annotations

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


def test_sharing_alone_imports_nothing_of_judgements(tmp_path: Path) -> None:
    seen = "import sys, flintfield.units.sharing; NAMES = ('heeding', 'evidence', 'bridge'); " \
           "print([m for m in sys.modules if m.split('.')[-1] in NAMES])"
    done = subprocess.run([sys.executable, "-c", seen], cwd=ROOT, text=True, capture_output=True, timeout=20)
    assert done.stdout.splitlines()[-1] == "[]"
