"""The four rules over the fleet, with what a stopped process can not be blamed for.

Who was stopped (SIGSTOP) can neither answer in time nor hear that a node drains. So a late answer counts
only if its scheduler was not stopped between the request and the limit, a send to a draining node only if it
was not stopped between the word and `drain` grace after it went on. What is sent twice counts always.
"""

from __future__ import annotations

from collections.abc import Iterator

from flintfield.lab.fleet.history import History
from flintfield.lab.fleet.judge.finding import Finding
from flintfield.lab.log import Asked, Begin, Log, Sent
from flintfield.lab.verdict import Verdict, Violation

LAG_MS = 1_500.0  # until a process that went on has worked off what waited: its sockets hold that much


def check(verdict: Verdict, log: Log, history: History) -> Iterator[Finding]:
    """`rule/NAME` for each violation that is not a stopped process's."""
    begin = log.records[0]
    grace = begin.drain_grace_ms if isinstance(begin, Begin) else 0.0
    for violation in verdict.violations:
        if not _excused(violation, log, history, grace):
            yield Finding(f"rule/{violation.rule}", violation.at, violation.word)


def _excused(violation: Violation, log: Log, history: History, grace: float) -> bool:
    if violation.rule not in ("answer", "drain"):
        return False
    for place in violation.proof:
        record = log.records[place]
        if isinstance(record, Asked | Sent):
            since = record.at if isinstance(record, Asked) else record.at - grace - LAG_MS
            if any(a <= violation.at and since <= b + LAG_MS
                   for a, b in history.spells(record.scheduler, "stopped", "on")):
                return True
    return False
