"""Fleet trials that bear with a busy machine."""

from __future__ import annotations

from pathlib import Path

import pytest

from flintfield.lab.fleet.judge import Outcome
from flintfield.lab.fleet.plan import Plan
from flintfield.lab.fleet.trial import play

TRIES = 2


def played(plan: Plan, seed: int, folder: Path) -> Outcome:
    """Play and judge; a void trial is played once more, then the test is skipped with the reason."""
    for number in range(TRIES):
        place = folder / str(number)
        outcome = play(plan, seed, place)
        if outcome.findings:  # a test that expected none is then told which, and has the log to look into
            place.mkdir(exist_ok=True)
            (place / "log.jsonl").write_bytes(outcome.log.encode())
            for finding in outcome.findings:
                print(f"{finding.name} at {finding.at / 1000:.2f} s: {finding.word}; log in {place}")
        if not outcome.void:
            return outcome
        print(f"void: {outcome.void}")
    pytest.skip(f"void {TRIES} times: {outcome.void}")
