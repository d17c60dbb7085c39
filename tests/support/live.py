"""Runs on sockets that bear with a busy machine."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path

import pytest

from flintfield.lab import sockets
from flintfield.lab.judge import judge
from flintfield.lab.log import End, Log
from flintfield.lab.scenario import Scenario
from flintfield.lab.sockets.proxy import Choose
from flintfield.lab.verdict import Verdict

TRIES = 2


def play(scenario: Scenario, seed: int, folder: Path,
         program: Sequence[str] | None = None,
         ways: Callable[[str], Choose] | None = None) -> tuple[Log, Verdict]:
    """Play and judge; a run that is void is played once more, then the test is skipped with the reason."""
    word = ""
    for _ in range(TRIES):
        log = sockets.play(scenario, seed, program=program, folder=folder, ways=ways)
        end = log.records[-1]
        assert isinstance(end, End)
        if not end.void:
            return log, judge(log)
        word = end.void
        print(f"void: {word}")
    pytest.skip(f"void {TRIES} times: {word}")
