"""Rule 2: nothing that may have run and must not twice is sent again or refused; never two attempts at
once.

An attempt may have run once its last byte has reached the node, unless the node proved that it never did
(turned away, or handed back unstarted) while the scheduler still listened. An attempt whose last byte has
not arrived has not run; should it arrive after another was sent, that is judged then.

An attempt is out from its first byte until either side has ended it. On sockets the onlooker may see the
end of one and the beginning of the next in the wrong order, and two beginnings: there an overlap counts once
it has lasted 50 ms, and an attempt as sent after another where 50 ms lie between, or both have arrived.
"""

from __future__ import annotations

from collections import deque

from flintfield.lab.judge.findings import Figures, Findings
from flintfield.lab.judge.tries import Attempt, Tries, Try
from flintfield.lab.log import Answered, Arrived, Sent


class Repeats:
    """Judges rule 2."""

    def __init__(self, figures: Figures, tries: Tries, findings: Findings) -> None:
        self._figures, self._tries, self._findings = figures, tries, findings
        self._overlaps: deque[tuple[float, Try, Attempt, Attempt]] = deque()  # when each counts, on sockets

    def _broke(self, found: Try, kind: str, at: float, word: str, *proof: int) -> None:
        if kind not in found.flagged:
            found.flagged.add(kind)
            self._findings.broke("repeat", at, word, proof)

    def advance(self, now: float, place: int, *, last: bool = False) -> None:
        """Judge the overlaps that have lasted long enough."""
        while self._overlaps and (self._overlaps[0][0] < now or last):
            since, found, first, second = self._overlaps.popleft()
            # Either end ends it: on sockets it is not sure which of two that began together was first.
            ends = [t for a in (first, second)
                    for p, t in ((a.ended, a.ended_at), (a.let_go, a.let_go_at)) if p >= 0]
            if not ends or min(ends) > since:
                self._two_at_once(found, first, second)

    def _two_at_once(self, found: Try, first: Attempt, second: Attempt) -> None:
        word = (f"{second.scheduler} sent {found.rid} to {second.node} while its attempt at {first.node} was "
                "out")
        self._broke(found, "two", second.sent_at, word, found.asked, first.sent, second.sent)

    def sent(self, place: int, record: Sent) -> None:
        found = self._tries.by_rid.get(record.rid)
        if found is None or len(found.attempts) < 2:
            return
        mine = found.attempts[record.branch]
        for other in found.attempts.values():
            if other is mine:
                continue
            if other.is_out():
                if self._figures.extra:
                    self._overlaps.append((record.at + self._figures.extra, found, other, mine))
                else:
                    self._two_at_once(found, other, mine)
            if found.unsafe and other.may_have_run():
                self._twice(found, other, mine, record.at)

    def _twice(self, found: Try, first: Attempt, second: Attempt, at: float) -> None:
        word = (f"{second.scheduler} sent {found.rid} ({found.name}) to {second.node} although it may have "
                f"run at {first.node}, and must not run twice")
        self._broke(found, "twice", at, word, found.asked, *first.places(), second.sent, second.arrived)

    def arrived(self, place: int, record: Arrived) -> None:
        """Judge what arrived late: after another attempt went out, or after a refusal."""
        found = self._tries.by_rid.get(record.rid)
        if found is None or not found.unsafe:
            return
        mine = found.attempts[record.branch]
        for other in found.attempts.values():
            late = other.sent > mine.sent and other.sent_at >= mine.sent_at + self._figures.extra
            if other is not mine and (late or other.may_have_run()):
                self._twice(found, mine, other, record.at)
        if found.refused >= 0:
            self._refused(found, mine, record.at)

    def answered(self, place: int, record: Answered) -> None:
        found = self._tries.by_rid.get(record.rid)
        if found is None or record.verdict != "refused" or not found.unsafe or found.refused >= 0:
            return
        found.refused = place
        for attempt in found.attempts.values():
            if attempt.may_have_run():
                self._refused(found, attempt, record.at)

    def _refused(self, found: Try, attempt: Attempt, at: float) -> None:
        word = (f"{found.scheduler} refused {found.rid} ({found.name}) although it may have run at "
                f"{attempt.node}")
        self._broke(found, "refused", at, word, found.asked, *attempt.places(), found.refused)
