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
        outcome = play(plan, seed, folder / str(number))
        if not outcome.void:
            return outcome
        print(f"void: {outcome.void}")
    pytest.skip(f"void {TRIES} times: {outcome.void}")
