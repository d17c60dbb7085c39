"""Rule 4: no cold node is pushed over by all schedulers together.

A cold node bears, in any window of the stated length, the multiple of its present capacity times the
window. All work that reaches it counts, what it turns away included, but the largest job: one alone pushes
nobody over, however far its hint was off. The rule is broken when it is sent more, or falls over, and two
thirds of that window's work came from schedulers that had been told of its start.

The log notes warmth in steps of 0.05, so that the judge's own count gives a node that much more, and none
that may be warm by then: what it finds is over the budget for certain. A node that the world lets fall is
judged without the count.
"""

from __future__ import annotations

from collections import deque

from flintfield.lab.judge.findings import Findings
from flintfield.lab.judge.tries import Tries
from flintfield.lab.log import Arrived, Begin, NodeState, NodeUp, NodeWarmth, Told

STEP = 0.05  # between two notes of warmth
PART = 2 / 3  # of the window's work from schedulers that were told
SAME_MS = 5.0  # the time of a start may be told that much rounded


class _Cold:
    """A cold node's present process, and the work that reached it within the last window."""

    def __init__(self, record: NodeUp, place: int) -> None:
        self.up_at, self.up, self.capacity = record.at, place, record.capacity
        self.share, self.noted = record.warm_share, place
        self.told: dict[str, tuple[float, int]] = {}  # by scheduler: when and where it heard of this start
        self.window: deque[tuple[float, int, float, bool]] = deque()  # at, place, cost, from one that knew
        self.work = self.told_work = 0.0
        self.broken = False

    def keep_since(self, since: float) -> None:
        """Let go of what arrived before `since`, or at it."""
        while self.window and self.window[0][0] <= since:
            _, _, cost, told = self.window.popleft()
            self.work -= cost
            self.told_work -= cost if told else 0.0
        if not self.window:
            self.work = self.told_work = 0.0  # guards against rounding that adds up


class ColdStarts:
    """Judges rule 4."""

    def __init__(self, begin: Begin, tries: Tries, findings: Findings) -> None:
        self._begin, self._tries, self._findings = begin, tries, findings
        self._cold: dict[str, _Cold] = {}

    def node_up(self, place: int, record: NodeUp) -> None:
        self._cold.pop(record.node, None)
        if record.warm_share < 1.0:
            self._cold[record.node] = _Cold(record, place)

    def node_warmth(self, place: int, record: NodeWarmth) -> None:
        if node := self._cold.get(record.node):
            node.share, node.noted = record.warm_share, place
            if record.warm_share >= 1.0:
                del self._cold[record.node]

    def node_state(self, place: int, record: NodeState) -> None:
        node = self._cold.pop(record.node, None) if record.state in ("fell", "down") else None
        if node and record.state == "fell":
            node.keep_since(record.at - self._begin.cold_window_ms)
            self._judge(node, record.node, record.at, "fell over", place)

    def told(self, place: int, record: Told) -> None:
        node = self._cold.get(record.node)
        if node and record.state != "gone" and record.started_at >= node.up_at - SAME_MS:
            node.told.setdefault(record.scheduler, (record.at, place))

    def arrived(self, place: int, record: Arrived) -> None:
        node = self._cold.get(record.node)
        if node is None:
            return
        known = node.told.get(record.scheduler)
        node.window.append((record.at, place, record.cost, known is not None
                            and known[0] <= self._sent_at(record)))
        node.work += record.cost
        node.told_work += record.cost if node.window[-1][3] else 0.0
        node.keep_since(record.at - self._begin.cold_window_ms)
        begin, share = self._begin, node.share + STEP
        if share >= 1.0:
            return
        budget = begin.cold_multiple * node.capacity * share * begin.cold_window_ms
        if node.work > budget and node.work - max(cost for _, _, cost, _ in node.window) > budget:
            self._judge(node, record.node, record.at, f"was sent more than its budget of {budget:.0f}", -1)

    def _sent_at(self, record: Arrived) -> float:
        found = self._tries.by_rid.get(record.rid)
        attempt = found.attempts.get(record.branch) if found else None
        return attempt.sent_at if attempt else record.at

    def _judge(self, node: _Cold, name: str, at: float, what: str, fell: int) -> None:
        if node.broken or not node.window or node.told_work < PART * node.work - 1e-6:
            return
        node.broken = True
        word = (f"{name}, at {node.share:.2f} of its capacity {at - node.up_at:.0f} ms after its start, "
                f"{what}: {node.work:.0f} ms of work in {self._begin.cold_window_ms:g} ms, "
                f"{node.told_work:.0f} of it from schedulers that knew of its start")
        proof = [node.up, node.noted, fell, *sorted(place for _, place in node.told.values())]
        self._findings.broke("cold", at, word, proof + [place for _, place, _, _ in node.window])
