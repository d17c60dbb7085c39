"""Rule 1: each request that a live scheduler took gets one final answer, in time, of what a node made for
it.

A try is owed from `Asked` until it is settled: answered; left by its client before its deadline; or
released, for its scheduler was killed. What breaks the rule: no answer by the deadline and the slack; a
connection that the scheduler ends without one; an exit with tries unanswered; a kill that finds what was
asked long after SIGTERM; a body that no node made; two answers; an attempt after the end.

An answer may still be on its way when its scheduler ends, so an exit is judged the answer's slack later.
"""

from __future__ import annotations

import heapq

from flintfield.lab.judge.findings import Figures, Findings
from flintfield.lab.judge.tries import Fate, Tries, Try
from flintfield.lab.log import Answered, Asked, ConnectionLost, GivenUp, SchedulerState, Sent


class _End:
    """How a scheduler's process ended, for the tries that it had not answered."""

    def __init__(self, state: str, place: int, stopping: tuple[float, int] | None) -> None:
        self.state, self.place, self.stopping = state, place, stopping

    def loses(self, found: Try, notice_ms: float) -> str:
        """Why this end loses the try; empty if it does not."""
        if self.stopping is None:
            return ""  # killed: nothing is owed; a crash is put down once, for itself
        if self.state == "ended":
            return "ended after SIGTERM without answering it"
        if found.asked_at > self.stopping[0] + notice_ms:
            return f"was killed with it unanswered, though it came over {notice_ms:g} ms after SIGTERM"
        return ""


class Answers:
    """Judges rule 1."""

    def __init__(self, figures: Figures, tries: Tries, findings: Findings) -> None:
        self._figures, self._tries, self._findings = figures, tries, findings
        self._due: list[tuple[float, str]] = []  # when each open try must be settled
        self._held: dict[str, dict[str, Try]] = {}  # by scheduler: the tries that it owes an answer
        self._stopping: dict[str, tuple[float, int]] = {}
        self._ends: dict[str, _End] = {}  # of tries whose scheduler has ended, by rid
        self._killed: set[str] = set()  # schedulers that are down after a kill

    def _broke(self, at: float, word: str, *proof: int) -> None:
        self._findings.broke("answer", at, word, proof)

    def _settle(self, found: Try, fate: Fate, place: int, at: float) -> None:
        found.fate, found.settled, found.settled_at = fate, place, at
        self._held.get(found.scheduler, {}).pop(found.rid, None)
        self._ends.pop(found.rid, None)

    def _open(self, rid: str) -> Try | None:
        found = self._tries.by_rid.get(rid)
        return found if found and found.fate == "open" else None

    # ------------------------------------------------------------ time passes

    def advance(self, now: float, place: int, *, last: bool = False) -> None:
        """Settle what is due before `now` (and at it, if this is the `last` record)."""
        while self._due and (self._due[0][0] < now or (last and self._due[0][0] <= now)):
            limit, rid = heapq.heappop(self._due)
            if found := self._open(rid):
                if end := self._ends.get(rid):
                    self._after_end(found, end, place, limit)
                elif limit >= found.limit:
                    self._overdue(found, place, limit)

    def _overdue(self, found: Try, place: int, at: float) -> None:
        self._settle(found, "overdue", place, at)
        self._broke(at, f"{found.scheduler} had not answered {found.rid} ({found.name}) by {at:.1f} ms, "
                    f"{at - found.deadline_at:g} ms past its deadline", found.asked, place)

    def _after_end(self, found: Try, end: _End, place: int, at: float) -> None:
        why = end.loses(found, self._figures.stop_notice)
        self._settle(found, "lost" if why else "released", place, at)
        if why:
            sigterm = end.stopping[1] if end.stopping else -1
            self._broke(at, f"{found.scheduler} {why}: {found.rid} ({found.name})", found.asked, sigterm,
                        end.place)

    # ---------------------------------------------------------------- records

    def asked(self, place: int, record: Asked) -> None:
        found = self._tries.by_rid[record.rid]
        heapq.heappush(self._due, (found.limit, record.rid))
        self._held.setdefault(record.scheduler, {})[record.rid] = found

    def answered(self, place: int, record: Answered) -> None:
        found = self._tries.by_rid.get(record.rid)
        if found is None:
            self._broke(record.at, f"an answer for {record.rid}, which is not open", place)
        elif found.fate == "answered":
            self._broke(record.at, f"a second answer for {record.rid}: {record.verdict}", found.asked,
                        found.settled, place)
        elif found.fate == "open":
            if record.verdict == "served" and all(a.body != record.body for a in found.attempts.values()):
                self._broke(record.at, f"{record.rid} was served {record.body!r}, which no node made for it",
                            found.asked, place, *(a.ended for a in found.attempts.values()))
            self._settle(found, "answered", place, record.at)

    def given_up(self, place: int, record: GivenUp) -> None:
        if found := self._open(record.rid):
            if record.at < found.deadline_at:
                self._settle(found, "left", place, record.at)
            elif record.at >= found.limit:
                self._overdue(found, place, record.at)

    def connection_lost(self, place: int, record: ConnectionLost) -> None:
        found = self._open(record.rid)
        if found is None:
            return
        if record.by == "scheduler":
            self._settle(found, "lost", place, record.at)
            self._broke(record.at, f"{found.scheduler} ended the connection of {found.rid} ({found.name}) "
                        "without an answer", found.asked, place)
        elif record.by == "death":
            if end := self._ends.get(found.rid):
                self._after_end(found, end, place, record.at)
            elif found.scheduler in self._killed:  # its kernel took a connection while it died
                self._settle(found, "released", place, record.at)
        elif record.by == "network" or record.at < found.deadline_at:
            self._settle(found, "left", place, record.at)

    def sent(self, place: int, record: Sent) -> None:
        found = self._tries.by_rid.get(record.rid)
        if found is None or "late send" in found.flagged:
            return
        # An answer is told by its scheduler itself; of a client that left it hears a little later.
        if found.fate == "answered":
            grace = self._figures.extra
        elif found.fate in ("left", "overdue"):
            grace = self._figures.answer_slack
        else:
            return
        if record.at > found.settled_at + grace:
            found.flagged.add("late send")
            self._broke(record.at, f"{record.scheduler} sent {record.rid} to {record.node} after its end",
                        found.asked, found.settled, place)

    # ------------------------------------------------------------- schedulers

    def scheduler_state(self, place: int, record: SchedulerState) -> None:
        name = record.scheduler
        if record.state == "up":
            self._stopping.pop(name, None)
            self._killed.discard(name)
        elif record.state == "stopping":
            self._stopping.setdefault(name, (record.at, place))
        else:
            stopping = self._stopping.pop(name, None)
            held = self._held.pop(name, {})
            if record.state == "killed":
                self._killed.add(name)
            if record.state == "ended" and stopping is None:
                self._broke(record.at, f"{name} ended without being told, with {len(held)} tries unanswered",
                            place, *(t.asked for t in held.values()))
            end = _End(record.state, place, stopping)
            for rid, found in held.items():
                self._ends[rid] = end
                due = min(found.limit, record.at + self._figures.answer_slack)
                heapq.heappush(self._due, (due, rid))
