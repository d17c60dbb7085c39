"""Service: worth answered within the aim over worth asked, by wish.

A wish is what a client wants; its tries share `request`. It is worth its class's worth, times its work
where the scenario counts so. It is in time if one of its tries was served within `aim_ms` and `stretch`
times its work, at the most within the class's deadline, all from when the wish was first uttered. What
never reached a scheduler, or was given up by its client, was asked too.

The worst window is the least share over all windows of the stated length that begin at a whole second and
lie within the run's length (the whole run if it is shorter), by the time of the wish. Classes and windows
in which nothing was asked do not count.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Literal, get_args

from hdrh.histogram import HdrHistogram

from flintfield.lab.judge.findings import Figures
from flintfield.lab.log import Answered, Asked, Begin, Class, Unreached
from flintfield.lab.verdict import ClassService, Service

Outcome = Literal["in_time", "late", "refused", "failed", "unanswered"]
OUTCOMES: tuple[Outcome, ...] = get_args(Outcome)
FORGET_MS = 1_000.0  # a wish ends that long after its deadline and the slack
BUCKET_MS = 1_000.0
TICKS_PER_MS = 100  # of the latency histogram
LONGEST_MS = 3_600_000


class Wish:
    """What a client wants, from its first try to its end."""

    __slots__ = ("aim_at", "cls", "first_at", "outcome", "served_at", "worth")

    def __init__(self, cls: Class, first_at: float, work: float, by_work: bool) -> None:
        self.cls, self.first_at = cls, first_at
        self.aim_at = first_at + min(cls.aim_ms + cls.stretch * work, cls.deadline_ms)
        self.worth = cls.worth * (work if by_work else 1.0)
        self.outcome: Outcome = "unanswered"
        self.served_at: float | None = None


class _Class:
    """The sums of one class."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.asked = self.got = 0.0
        self.ends: dict[str, int] = dict.fromkeys(OUTCOMES, 0)
        self.latency = HdrHistogram(1, LONGEST_MS * TICKS_PER_MS, 3)

    def summary(self) -> ClassService:
        count = sum(self.ends.values())
        p50, p99 = (self.latency.get_value_at_percentile(p) / TICKS_PER_MS for p in (50, 99))
        service = share(self.got, self.asked)
        return ClassService(self.name, service, count, p50_ms=p50, p99_ms=p99, **self.ends)


def share(got: float, asked: float) -> float:
    """Worth in time over worth asked; 1 if nothing was asked."""
    return got / asked if asked > 0 else 1.0


class Services:
    """Follows wishes; `on_wish` is told of each at its end."""

    def __init__(self, begin: Begin, figures: Figures, on_wish: Callable[[Wish], None] | None = None) -> None:
        self._begin, self._figures, self._on_wish = begin, figures, on_wish
        self._classes = {c.name: _Class(c.name) for c in begin.classes}
        self._buckets: dict[int, list[float]] = {}  # by second: worth asked and worth in time
        self._wishes: dict[str, Wish] = {}
        self._by_rid: dict[str, str] = {}  # the wish of each open try
        self._ends: list[tuple[float, str, str]] = []  # when each is over: wishes, and tries with their rid
        self.asked_work = 0.0
        self.count = 0

    def advance(self, now: float, place: int, *, last: bool = False) -> None:
        """End the wishes whose time is over."""
        while self._ends and (self._ends[0][0] < now or last):
            _, request, rid = heapq.heappop(self._ends)
            if rid:
                self._by_rid.pop(rid, None)
            elif wish := self._wishes.pop(request, None):
                self._end(wish)

    def _end(self, wish: Wish) -> None:
        sums = self._classes[wish.cls.name]
        bucket = self._buckets.setdefault(int(wish.first_at // BUCKET_MS), [0.0, 0.0])
        sums.ends[wish.outcome] += 1
        sums.asked += wish.worth
        bucket[0] += wish.worth
        if wish.outcome == "in_time":
            sums.got += wish.worth
            bucket[1] += wish.worth
        if wish.served_at is not None:
            ticks = int((wish.served_at - wish.first_at) * TICKS_PER_MS)
            sums.latency.record_value(min(max(ticks, 1), LONGEST_MS * TICKS_PER_MS))
        if self._on_wish:
            self._on_wish(wish)

    # ---------------------------------------------------------------- records

    def _wish(self, place: int, record: Asked | Unreached) -> float:
        """Begin the wish if it is new; returns when it is over."""
        cls = self._figures.cls(record.cls, place)
        over = record.first_at + cls.deadline_ms + self._figures.answer_slack + FORGET_MS
        if record.request not in self._wishes and record.at <= over:
            by_work = self._begin.worth_by_work
            self._wishes[record.request] = Wish(cls, record.first_at, record.work, by_work)
            heapq.heappush(self._ends, (over, record.request, ""))
            self.asked_work += record.work
            self.count += 1
        return over

    def asked(self, place: int, record: Asked) -> None:
        over = self._wish(place, record)
        if record.at <= over:
            self._by_rid[record.rid] = record.request
            heapq.heappush(self._ends, (over, record.request, record.rid))

    def unreached(self, place: int, record: Unreached) -> None:
        if record.cls:
            self._wish(place, record)

    def answered(self, place: int, record: Answered) -> None:
        wish = self._wishes.get(self._by_rid.get(record.rid, ""))
        if wish is None or wish.served_at is not None:
            return
        if record.verdict == "served":
            wish.served_at = record.at
            wish.outcome = "in_time" if record.at <= wish.aim_at else "late"
        else:
            wish.outcome = record.verdict

    # ----------------------------------------------------------------- result

    def summary(self) -> Service:
        """The whole run's service, once `advance` was told of its last record."""
        sums = self._classes.values()
        classes = tuple(c.summary() for c in sums)
        whole = share(sum(c.got for c in sums), sum(c.asked for c in sums))
        worst_class = min((c.service for c in classes if c.asked), default=1.0)
        worst, worst_at = self._worst_window(whole)
        begin = self._begin
        goal = begin.goal_whole * whole + begin.goal_window * worst + begin.goal_class * worst_class
        return Service(whole, worst, worst_at, worst_class, goal, classes)

    def _worst_window(self, whole: float) -> tuple[float, float]:
        width = round(self._begin.window_ms / BUCKET_MS)
        last = int(self._begin.length_ms // BUCKET_MS) - width
        if last < 0:
            return whole, 0.0
        worst, worst_at, asked, got = 2.0, 0.0, 0.0, 0.0
        for second in range(last + width):
            new, old = self._buckets.get(second, (0.0, 0.0)), self._buckets.get(second - width, (0.0, 0.0))
            asked, got = asked + new[0] - old[0], got + new[1] - old[1]
            if second >= width - 1 and asked > 1e-6 and got / asked < worst:
                worst, worst_at = max(0.0, got / asked), (second - width + 1) * BUCKET_MS
        return (worst, worst_at) if worst <= 1.0 else (whole, 0.0)
