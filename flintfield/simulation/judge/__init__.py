"""The rules of the users, judged on what clients, workers and the operator saw.

Each broken rule is one line that begins with the rule's name. `CRASH` stands for an exception that reached
the event loop of a process.
"""

from __future__ import annotations

from flintfield.simulation.judge import answers, configuration, runs, standstill, starts
from flintfield.simulation.judge.case import Case
from flintfield.simulation.plans import Bounds
from flintfield.simulation.record import Record
from flintfield.simulation.scenario import Scenario

__all__ = ["check"]


def check(record: Record, bounds: Bounds, scenario: Scenario) -> list[str]:
    """All broken rules."""
    case = Case(record, bounds, scenario)
    broken = [f"CRASH {line}" for line in record.crashes]
    for judge in (runs.judge, starts.judge, answers.judge, standstill.judge, configuration.judge):
        broken += judge(case)
    return list(dict.fromkeys(broken))
