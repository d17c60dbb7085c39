"""What a run took of others: attempts, probes, attempts that crossed zones, and node work that served no
answer."""

from __future__ import annotations

from flintfield.lab.judge.tries import Attempt, Tries
from flintfield.lab.log import Answered, Arrived, Broke, Done, NodeUp, ProbeSeen, SchedulerState
from flintfield.lab.verdict import Cost


class Costs:
    """Adds up cost."""

    def __init__(self, tries: Tries) -> None:
        self._tries = tries
        self._zones: dict[str, str] = {}
        self.attempts = self.probes = self.crossings = 0
        self.spent = self.useful = 0.0  # ms of a standard core

    def node_up(self, place: int, record: NodeUp) -> None:
        self._zones[record.node] = record.zone

    def scheduler_state(self, place: int, record: SchedulerState) -> None:
        if record.zone:
            self._zones[record.scheduler] = record.zone

    def arrived(self, place: int, record: Arrived) -> None:
        self.attempts += 1
        ours, theirs = self._zones.get(record.scheduler), self._zones.get(record.node)
        self.crossings += ours is not None and theirs is not None and ours != theirs

    def probe(self, place: int, record: ProbeSeen) -> None:
        self.probes += 1

    def _attempt(self, rid: str, branch: int) -> Attempt | None:
        found = self._tries.by_rid.get(rid)
        return found.attempts.get(branch) if found else None

    def ended(self, place: int, record: Done | Broke) -> None:
        attempt = self._attempt(record.rid, record.branch)
        spent = record.spent
        if spent is None:
            worked = isinstance(record, Done) or record.started
            spent = attempt.cost if attempt and worked else 0.0
        if attempt:
            attempt.cost = spent
        self.spent += spent

    def answered(self, place: int, record: Answered) -> None:
        found = self._tries.by_rid.get(record.rid)
        if record.verdict == "served" and found and found.fate == "open":
            self.useful += sum(a.cost for a in found.attempts.values() if a.body == record.body)

    def summary(self, wishes: int, asked_work: float) -> Cost:
        """Cost for each of so many wishes, and waste over the work that they asked for."""
        each = 1.0 / wishes if wishes else 0.0
        waste = max(0.0, self.spent - self.useful) / asked_work if asked_work > 0 else 0.0
        return Cost(self.attempts * each, self.probes * each, self.crossings * each, waste)
