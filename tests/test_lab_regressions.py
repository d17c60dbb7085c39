"""Scenarios that once broke something, each with the sentence that it guards: they must keep all rules."""

from __future__ import annotations

from pathlib import Path

import pytest

from flintfield.lab import scenario as scenarios
from flintfield.lab.experiments.runs import Job, run

FILES = sorted((Path(__file__).parent / "regressions").glob("*.toml"))


@pytest.mark.parametrize("file", FILES, ids=lambda f: f.stem)
def test_what_once_broke_stays_mended(file: Path) -> None:
    scenario = scenarios.load(file)
    assert scenario.guards
    verdict = run(Job(scenario, scenario.seed))
    assert not verdict.void and not verdict.violations
