"""What a report shows of a log: figures by time slice, by class and by node; and the lines that prove a
violation."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from flintfield.lab.judge import judge_file
from flintfield.lab.judge.service import LONGEST_MS, TICKS_PER_MS, Wish
from flintfield.lab.log import (
    AnyRecord, Answered, Asked, Begin, End, LetGo, NodeState, NodeUp, ProbeSeen, SchedulerState, Sent,
    Trouble,
)
from flintfield.lab.verdict import Verdict, Violation

SLICES = 120  # at the most, over the run's length
EVENTS = 2_000  # changes of state that are kept
SHOWN = 8  # violations of each rule that are shown with their lines
PERCENTILES = (0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100)


class Slice(msgspec.Struct):
    """One time slice of one class: worth, and how wishes and tries ended."""

    asked: float = 0.0  # worth
    in_time: float = 0.0  # worth
    wishes: int = 0
    refused: int = 0  # answers
    failed: int = 0


class Latency(msgspec.Struct):
    """A class's time to its answer, in ms, at each of `PERCENTILES`, and by slice."""

    count: int
    values: list[float]
    by_slice_p50: list[float | None]
    by_slice_p99: list[float | None]


class Span(msgspec.Struct):
    """Something that lasted from one time to another, in ms."""

    name: str
    begin: float
    end: float
    word: str = ""


class Event(msgspec.Struct):
    """A change of state of a node or scheduler."""

    at: float
    who: str
    state: str


class Proof(msgspec.Struct):
    """A violation with the lines of the log that prove it."""

    violation: Violation
    lines: list[str]


class Report(msgspec.Struct):
    """All that the page shows; times in ms from the run's start."""

    begin: Begin
    verdict: Verdict
    slice_ms: float
    slices: int
    classes: dict[str, list[Slice]]
    latency: dict[str, Latency]
    inflight: dict[str, list[int]]  # by node: the most attempts out within each slice
    attempts: list[int]  # by slice
    probes: list[int]
    troubles: list[Span]
    schedulers_away: list[Span]
    nodes_away: list[Span]
    events: list[Event]
    proofs: list[Proof]
    cpu_ms: dict[str, float]
    events_played: int


class _Collector:
    """Looks on while a log is judged."""

    def __init__(self) -> None:
        self.begin: Begin | None = None
        self.slice_ms, self.slices = 1_000.0, 1
        self.classes: dict[str, list[Slice]] = {}
        self.histograms: dict[str, list[HdrHistogram | None]] = {}
        self.whole: dict[str, HdrHistogram] = {}
        self.inflight: dict[str, list[int]] = {}
        self.attempts: list[int] = []
        self.probes: list[int] = []
        self.troubles: list[Span] = []
        self.away: dict[str, list[Span]] = {"scheduler": [], "node": []}
        self.events: list[Event] = []
        self.end: End | None = None
        self._out: dict[str, int] = {}  # attempts out, by node
        self._where: dict[tuple[str, int], str] = {}
        self._touched: dict[str, int] = {}  # up to which slice a node's row is filled
        self._cls: dict[str, str] = {}  # of tries that are open
        self._open: dict[str, Span] = {}

    def each(self, record: AnyRecord) -> None:
        """Take one record in."""
        handler = HANDLERS.get(type(record))
        if handler:
            handler(self, record)

    def at(self, ms: float) -> int:
        """The slice of a time; what comes after the last arrival falls in the last one."""
        return min(self.slices - 1, max(0, int(ms // self.slice_ms)))

    def within(self, ms: float) -> bool:
        """Whether a time lies within the run's length: figures a second must not count what comes later."""
        return self.begin is not None and ms < self.begin.length_ms

    # ---------------------------------------------------------------- records

    def begins(self, record: Begin) -> None:
        self.begin = record
        self.slice_ms = max(1_000.0, math.ceil(record.length_ms / SLICES / 1_000.0) * 1_000.0)
        self.slices = max(1, math.ceil(record.length_ms / self.slice_ms))
        for cls in record.classes:
            self.classes[cls.name] = [Slice() for _ in range(self.slices)]
            self.histograms[cls.name] = [None] * self.slices
            self.whole[cls.name] = _histogram()
        self.attempts, self.probes = [0] * self.slices, [0] * self.slices

    def wish(self, wish: Wish) -> None:
        """A wish has ended."""
        at = self.at(wish.first_at)
        mine = self.classes[wish.cls.name][at]
        mine.asked += wish.worth
        mine.wishes += 1
        mine.in_time += wish.worth if wish.outcome == "in_time" else 0.0
        if wish.served_at is not None:
            ticks = max(int((wish.served_at - wish.first_at) * TICKS_PER_MS), 1)
            ticks = min(ticks, LONGEST_MS * TICKS_PER_MS)
            slices = self.histograms[wish.cls.name]
            part = slices[at] = slices[at] or _histogram()
            part.record_value(ticks)
            self.whole[wish.cls.name].record_value(ticks)

    def asked(self, record: Asked) -> None:
        self._cls[record.rid] = record.cls

    def answered(self, record: Answered) -> None:
        cls = self._cls.pop(record.rid, None)
        if cls and record.verdict != "served" and self.within(record.at):
            mine = self.classes[cls][self.at(record.at)]
            mine.refused += record.verdict == "refused"
            mine.failed += record.verdict == "failed"

    def sent(self, record: Sent) -> None:
        self.attempts[self.at(record.at)] += self.within(record.at)
        self._where[record.rid, record.branch] = record.node
        self._count(record.node, record.at, 1)

    def let_go(self, record: LetGo) -> None:
        if node := self._where.pop((record.rid, record.branch), None):
            self._count(node, record.at, -1)

    def _count(self, node: str, ms: float, more: int) -> None:
        row = self.inflight.setdefault(node, [0] * self.slices)
        at, before = self.at(ms), self._out.get(node, 0)
        for i in range(self._touched.get(node, -1) + 1, at + 1):
            row[i] = before
        self._touched[node] = at
        self._out[node] = before + more
        row[at] = max(row[at], before + more)

    def probe(self, record: ProbeSeen) -> None:
        self.probes[self.at(record.at)] += self.within(record.at)

    def trouble(self, record: Trouble) -> None:
        key = f"trouble {record.name}"
        if record.begins:
            self._open[key] = Span(record.name, record.at, math.inf, record.word)
            self.troubles.append(self._open[key])
        elif key in self._open:
            self._open.pop(key).end = record.at

    def scheduler(self, record: SchedulerState) -> None:
        away = record.state in ("ended", "killed")
        self._change("scheduler", record.at, record.scheduler, record.state, away)

    def node_up(self, record: NodeUp) -> None:
        if record.node not in self.inflight and record.at > 0 and len(self.away["node"]) < EVENTS:
            self.away["node"].append(Span(record.node, 0.0, record.at, "not started"))
        self.inflight.setdefault(record.node, [0] * self.slices)
        self._change("node", record.at, record.node, "up", False)

    def node_state(self, record: NodeState) -> None:
        self._change("node", record.at, record.node, record.state, record.state in ("down", "fell"))

    def _change(self, kind: str, at: float, who: str, state: str, away: bool) -> None:
        if at > 0 and len(self.events) < EVENTS:
            self.events.append(Event(at, who, state))
        key = f"{kind} {who}"
        if away and key not in self._open and len(self.away[kind]) < EVENTS:
            self._open[key] = Span(who, at, math.inf, state)
            self.away[kind].append(self._open[key])
        elif state == "up" and key in self._open:
            self._open.pop(key).end = at

    def ends(self, record: End) -> None:
        self.end = record

    # ----------------------------------------------------------------- result

    def report(self, verdict: Verdict, proofs: list[Proof]) -> Report:
        """All together, once the whole log was seen."""
        assert self.begin is not None
        last = self.begin.length_ms
        for span in self._open.values():
            span.end = max(last, span.begin)
        for node, row in self.inflight.items():
            for i in range(self._touched.get(node, -1) + 1, self.slices):
                row[i] = self._out.get(node, 0)
        return Report(
            self.begin, verdict, self.slice_ms, self.slices, self.classes,
            {name: self._latency(name) for name in self.classes}, dict(sorted(self.inflight.items())),
            self.attempts, self.probes, self.troubles, self.away["scheduler"], self.away["node"], self.events,
            proofs, dict(self.end.cpu_ms) if self.end else {}, self.end.events if self.end else 0)

    def _latency(self, name: str) -> Latency:
        whole, parts = self.whole[name], self.histograms[name]
        p50, p99 = ([_value(h, p) if h else None for h in parts] for p in (50, 99))
        return Latency(whole.get_total_count(), [_value(whole, p) for p in PERCENTILES], p50, p99)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_MS * TICKS_PER_MS, 2)


def _value(histogram: HdrHistogram, percentile: float) -> float:
    return float(histogram.get_value_at_percentile(percentile)) / TICKS_PER_MS


HANDLERS: dict[type, Any] = {
    Begin: _Collector.begins, Asked: _Collector.asked, Answered: _Collector.answered, Sent: _Collector.sent,
    LetGo: _Collector.let_go, ProbeSeen: _Collector.probe, Trouble: _Collector.trouble,
    SchedulerState: _Collector.scheduler, NodeUp: _Collector.node_up, NodeState: _Collector.node_state,
    End: _Collector.ends,
}


def read(path: str | Path, verdict: Verdict | None = None) -> Report:
    """Judge the log at `path` and collect its report; `verdict` is taken for its yardsticks and share.

    Raises `LogError` for a log that cannot be read or judged.
    """
    collector = _Collector()
    judged = judge_file(path, collector.each, collector.wish)
    if verdict and verdict.log_sha256 == judged.log_sha256:
        judged = msgspec.structs.replace(judged, share=verdict.share, yardsticks=verdict.yardsticks)
    return collector.report(judged, _proofs(path, judged))


def _proofs(path: str | Path, verdict: Verdict) -> list[Proof]:
    shown: list[Violation] = []
    for rule in ("answer", "repeat", "drain", "cold"):
        shown += [v for v in verdict.violations if v.rule == rule][:SHOWN]
    wanted = {place for v in shown for place in v.proof}
    lines: dict[int, str] = {}
    if wanted:
        last = max(wanted)
        with open(path, "rb") as file:
            for place, line in enumerate(file):
                if place in wanted:
                    lines[place] = line.decode().rstrip()
                if place == last:
                    break
    return [Proof(v, [lines[p] for p in v.proof if p in lines]) for v in shown]
