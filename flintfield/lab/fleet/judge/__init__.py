"""The judge of a trial: the four rules as clients and worker nodes saw them, and subsystems' invariants.

An invariant is a pure function from a `History` to findings, in a file of its own, and stands in `INVARIANTS`
under the name by which its findings are known. It says nothing where the history has nothing of its
subsystem.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from flintfield.lab.fleet.history import History
from flintfield.lab.fleet.judge import hearsay, limits, maintenance, passing, rules, views, ways
from flintfield.lab.fleet.judge.finding import Finding
from flintfield.lab.judge import judge
from flintfield.lab.log import End, Log
from flintfield.lab.verdict import Verdict

INVARIANTS: dict[str, Callable[[History], Iterable[Finding]]] = {
    "passing": passing.check, "views": views.check, "limits": limits.check,
    "hearsay": hearsay.check, "ways": ways.check, "maintenance": maintenance.check,
}
MOST_KEPT = 20  # findings of one name that are kept whole


@dataclass(slots=True)
class Outcome:
    """What came of a trial."""

    log: Log
    history: History
    verdict: Verdict
    findings: list[Finding]
    void: str = ""

    @property
    def names(self) -> set[str]:
        """The names of what was found."""
        return {f.name for f in self.findings}


def judge_trial(log: Log, history: History) -> Outcome:
    """Judge a trial; a void one has no findings."""
    verdict = judge(log)
    end = log.records[-1]
    void = end.void if isinstance(end, End) else "the log has no end"
    if void:
        return Outcome(log, history, verdict, [], void)
    history.log = log
    findings = list(rules.check(verdict, log, history))
    for check in INVARIANTS.values():
        findings += check(history)
    kept: list[Finding] = []
    counts: dict[str, int] = {}
    for finding in sorted(findings, key=lambda f: f.at):
        counts[finding.name] = counts.get(finding.name, 0) + 1
        if counts[finding.name] <= MOST_KEPT:
            kept.append(finding)
    return Outcome(log, history, verdict, kept)
