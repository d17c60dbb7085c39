"""What is known of each try and its attempts while it can still matter.

A try is kept from its `Asked` until `KEEP_MS` after the last moment its answer was owed, so that a second
answer or a late send is still recognised. Places are those of the log's records; -1 means that it has not
happened.
"""

from __future__ import annotations

import heapq
from typing import Literal

from flintfield.lab.judge.findings import Figures
from flintfield.lab.log import Arrived, Asked, Broke, Done, LetGo, Sent, Started, TurnedAway

KEEP_MS = 30_000.0  # a try is remembered so long after its limit

Fate = Literal["open", "answered", "left", "lost", "overdue", "released"]
"""What became of a try: `left` by its client, `lost` by its scheduler, `released` because that was killed."""


class Attempt:
    """One attempt: where the log tells of it."""

    __slots__ = ("arrived", "body", "cost", "ended", "ended_at", "let_go", "let_go_at", "node", "proved",
                 "scheduler", "sent", "sent_at", "started")

    def __init__(self, scheduler: str, node: str, sent: int, sent_at: float) -> None:
        self.scheduler, self.node = scheduler, node
        self.sent, self.sent_at = sent, sent_at
        self.arrived = self.started = self.ended = self.let_go = -1
        self.ended_at = self.let_go_at = self.cost = 0.0
        self.proved = False  # the node proved, while the scheduler still listened, that it never ran
        self.body: str | None = None

    def places(self) -> tuple[int, ...]:
        """Where the log tells of it, -1 for what has not happened."""
        return self.sent, self.arrived, self.started, self.ended, self.let_go

    def may_have_run(self) -> bool:
        """Whether its last byte reached the node, and the node has not proved that it never ran."""
        return self.arrived >= 0 and not self.proved

    def is_out(self) -> bool:
        """Whether both sides still hold it."""
        return self.ended < 0 and self.let_go < 0


class Try:
    """One try of a client, from its last byte on."""

    __slots__ = ("asked", "asked_at", "attempts", "deadline_at", "fate", "flagged", "limit", "name",
                 "refused", "rid", "scheduler", "settled", "settled_at", "unsafe")

    def __init__(self, record: Asked, place: int, unsafe: bool, limit: float) -> None:
        self.rid, self.scheduler, self.name = record.rid, record.scheduler, record.cls
        self.asked, self.asked_at, self.deadline_at = place, record.at, record.deadline_at
        self.limit, self.unsafe = limit, unsafe
        self.attempts: dict[int, Attempt] = {}
        self.fate: Fate = "open"
        self.settled, self.settled_at = -1, 0.0
        self.refused = -1
        self.flagged: set[str] = set()  # of the kinds of violation, each counts once for a try


class Tries:
    """The tries that still matter, by rid."""

    def __init__(self, figures: Figures) -> None:
        self._figures = figures
        self.by_rid: dict[str, Try] = {}
        self._ends: list[tuple[float, str]] = []

    def forget(self, now: float) -> None:
        """Drop what cannot matter any more."""
        while self._ends and self._ends[0][0] < now:
            self.by_rid.pop(heapq.heappop(self._ends)[1], None)

    def asked(self, place: int, record: Asked) -> None:
        unsafe = self._figures.cls(record.cls, place).effect == "unsafe"
        limit = record.deadline_at + self._figures.answer_slack
        self.by_rid[record.rid] = Try(record, place, unsafe, limit)
        heapq.heappush(self._ends, (limit + KEEP_MS, record.rid))

    def _attempt(self, rid: str, branch: int) -> Attempt | None:
        found = self.by_rid.get(rid)
        return found.attempts.get(branch) if found else None

    def sent(self, place: int, record: Sent) -> None:
        if found := self.by_rid.get(record.rid):
            found.attempts[record.branch] = Attempt(record.scheduler, record.node, place, record.at)

    def arrived(self, place: int, record: Arrived) -> None:
        if found := self.by_rid.get(record.rid):
            attempt = found.attempts.get(record.branch)
            if attempt is None:  # an engine that sees only whole requests
                attempt = Attempt(record.scheduler, record.node, place, record.at)
                found.attempts[record.branch] = attempt
            attempt.arrived, attempt.cost = place, record.cost

    def started(self, place: int, record: Started) -> None:
        if attempt := self._attempt(record.rid, record.branch):
            attempt.started = place

    def ended(self, place: int, record: TurnedAway | Done | Broke) -> None:
        if attempt := self._attempt(record.rid, record.branch):
            attempt.ended, attempt.ended_at = place, record.at
            if isinstance(record, TurnedAway):
                # Guards against a proof that nobody heard: the scheduler had let go before.
                attempt.proved = attempt.let_go < 0
            elif isinstance(record, Done):
                attempt.body = record.body

    def let_go(self, place: int, record: LetGo) -> None:
        if (attempt := self._attempt(record.rid, record.branch)) and attempt.let_go < 0:
            attempt.let_go, attempt.let_go_at = place, record.at
