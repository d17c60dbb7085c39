"""What a decision costs, by the size of the fleet, and what the hard moments cost.

Time is taken round `Dispatcher.handle` alone, by the wall clock: run it on a quiet machine. The fleet is the
model of `benchmarks/model.py`.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable
from time import perf_counter_ns
from typing import Any

from benchmarks.model import CLASSES, RULES, Model, Plan, Trouble
from benchmarks.suite import Options, Result, median_of
from flintfield.decision.interface import (
    AttemptEnded,
    Entry,
    ListMode,
    AttemptProgress,
    Outcome,
    Probe,
    Probed,
    Report,
    Request,
    Send,
    ServerList,
    Settings,
    SetTimer,
    State,
    Timer,
)
from flintfield.decision.policy import Dispatcher

SIZES = (10, 100, 300, 1_000, 2_000)
WIDE = 2_000
JOBS = 2_000  # a round of the job suite has at least so many
HELD = 5_000


def run(options: Options) -> list[Result]:
    """The figures of this suite that are asked for; `decisions.job.N` is µs a job at N nodes and 60% load."""
    results: list[Result] = []
    for size in SIZES:
        if options.wants(f"decisions.job.{size}") or options.wants(f"decisions.tick.{size}"):
            results += _steady(options, size)
    if options.wants("decisions.keyed.1000"):
        rounds = [_day(options, 1_000, r, keys=5_000).cost_us() for r in range(options.rounds)]
        results.append(median_of("decisions.keyed.1000", "µs", "lower", rounds))
    for name, unit, measure in MOMENTS:
        if options.wants(name):
            rounds = [measure(options.seed + r, options.scale) for r in range(options.rounds)]
            results.append(median_of(name, unit, "lower", rounds))
    return results


def _day(options: Options, size: int, turn: int, **more: Any) -> Model:
    """A calm day at 60% load with some jobs a node, and enough of them in all."""
    seconds = max(2.0, JOBS / (0.6 * size * 2 / 0.91)) * options.scale
    return Model(Plan(nodes=size, seconds=seconds, **more), options.seed + turn).run()


def _steady(options: Options, size: int) -> list[Result]:
    days = [_day(options, size, turn) for turn in range(options.rounds)]
    ticks = [statistics.median(d.tick_ns) / 1000.0 for d in days]
    worst = max(max(d.event_ns) for d in days) / 1000.0
    return [
        median_of(
            f"decisions.job.{size}",
            "µs",
            "lower",
            [d.cost_us() for d in days],
            jobs=sum(d.jobs for d in days),
            worst_event_us=worst,
        ),
        median_of(
            f"decisions.tick.{size}", "µs", "lower", ticks, most=max(max(d.tick_ns) for d in days) / 1000.0
        ),
    ]


# ------------------------------------------------------------------ hard moments


class Hand:
    """One dispatcher driven by hand, with the time of each event."""

    def __init__(self, nodes: int, seed: int, free: float | None = 2.0) -> None:
        self.settings = Settings(CLASSES, tells_start=True, worth_by_work=True, rules=RULES)
        self.now, self.rid, self.took_us = 1_000.0, 0, 0.0
        self.entries = tuple(Entry(n) for n in range(1, nodes + 1))
        self.dispatcher = Dispatcher(self.settings, seed)
        self.probed = [
            a.worker for a in self.tell(ServerList(ListMode.CACHED, self.entries)) if isinstance(a, Probe)
        ]
        for entry in self.entries if free is not None else ():
            self.tell(Probed(entry.worker, Outcome.OK, 1.0, Report(free=free, queue=0.0)))

    def tell(self, event: Any) -> list[Any]:
        """Hand over an event; `took_us` is what it took."""
        began = perf_counter_ns()
        actions: list[Any] = self.dispatcher.handle(self.now, event)
        self.took_us = (perf_counter_ns() - began) / 1000.0
        return actions

    def submit(self, **fields: Any) -> Send | None:
        """A client's job; the send, if there was one."""
        self.rid += 1
        event = Request(self.rid, **{"cls": 0, "deadline": self.now + 8_000.0, "hint_ms": 700.0} | fields)
        return next((a for a in self.tell(event) if isinstance(a, Send)), None)

    def load(self, jobs: int) -> list[Send]:
        """So many jobs out and started."""
        sends = [s for s in (self.submit() for _ in range(jobs)) if s]
        for send in sends:
            self.tell(AttemptProgress(send.rid, 0, send.worker, started=True))
        return sends


def _whole_list(seed: int, _: float) -> float:
    """ms of a whole list of 2,000 that names some anew, while 1,000 jobs are out."""
    hand = Hand(WIDE, seed)
    hand.load(1_000)
    entries = hand.entries[20:] + tuple(Entry(n) for n in range(WIDE + 1, WIDE + 21))
    hand.now += 50.0
    hand.tell(ServerList(ListMode.FULL, entries))
    return hand.took_us / 1000.0


def _changes(seed: int, _: float) -> float:
    """ms of a change that drains 10 nodes of 2,000 and names 10 new ones."""
    hand = Hand(WIDE, seed)
    hand.load(1_000)
    hand.now += 50.0
    changed = tuple(Entry(n, State.DRAINING) for n in range(1, 11))
    hand.tell(ServerList(ListMode.DELTA, changed + tuple(Entry(WIDE + n) for n in range(1, 11))))
    return hand.took_us / 1000.0


def _restart(seed: int, _: float) -> float:
    """ms from nothing to the first job sent, with a list of 2,000."""
    began = perf_counter_ns()
    hand = Hand(WIDE, seed, free=None)
    if hand.submit() is None:
        raise RuntimeError("no job was sent")
    return (perf_counter_ns() - began) / 1e6


def _idle(seed: int, scale: float) -> float:
    """ms of decisions in a second at 2,000 nodes of which none answers, a minute after the start."""
    hand, total, probes, until = Hand(WIDE, seed, free=None), 0.0, 0, 61_000.0 + 10_000.0 * scale
    ticks, due = [hand.now], [(hand.now + 1.0, p) for p in hand.probed]
    while hand.now < until:
        hand.now, spent = ticks.pop(), 0.0
        for at, worker in due:
            hand.tell(Probed(worker, Outcome.CONNECT_FAILED, at))
            spent += hand.took_us
        actions = hand.tell(Timer(0))
        spent += hand.took_us
        due = [(hand.now + 1.0, a.worker) for a in actions if isinstance(a, Probe)]
        ticks = [hand.now + a.after_ms for a in actions if isinstance(a, SetTimer)]
        if hand.now >= 61_000.0:
            total, probes = total + spent, probes + len(due)
    return total / (10_000.0 * scale)


def _free_slot(seed: int, _: float) -> float:
    """µs of an outcome that frees one slot of 2,000 nodes while 5,000 jobs are held; median of 50."""
    hand = Hand(WIDE, seed)
    out = hand.load(WIDE * 2 + HELD)
    took = []
    for send in out[:50]:
        hand.now += 1.0
        hand.tell(AttemptEnded(send.rid, 0, send.worker, Outcome.OK, 100.0, over=True))
        took.append(hand.took_us)
    return statistics.median(took)


def _half_silent(seed: int, scale: float) -> float:
    """ms of the worst event while half of 1,000 nodes fall silent at once under load."""
    trouble = Trouble("crash", at_s=2.0, for_s=60.0, part=0.5)
    day = Model(Plan(nodes=1_000, seconds=2.0 + 2.0 * scale, load=0.4, troubles=(trouble,)), seed).run()
    return max(max(day.event_ns), max(day.tick_ns)) / 1e6


MOMENTS: tuple[tuple[str, str, Callable[[int, float], float]], ...] = (
    ("decisions.list.whole", "ms", _whole_list),
    ("decisions.list.changes", "ms", _changes),
    ("decisions.restart", "ms", _restart),
    ("decisions.idle", "ms/s", _idle),
    ("decisions.free_slot", "µs", _free_slot),
    ("decisions.half_silent", "ms", _half_silent),
)
