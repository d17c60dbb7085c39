"""A small seeded fleet in virtual time, to drive the decision module and to judge what it does.

Rules: one heap of moments, no clock but its own, all draws from generators made of the plan's seed. Arrivals,
work, troubles and the nodes' nature are drawn apart from whatever the module does, so two modules on one plan
and seed meet the very same day (paired runs).

What is modelled: nodes with slots, a speed and a bounded queue served in order; starts that are told, load
reports that are a little old, probes; nodes that crash or vanish and come back cold, nodes that run slow; a
list that tells of it late. What is not: connections, clients that retry, discovery that must be asked. The
laboratory is the place for those; this model is for cost, and for paired comparison of service.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from time import perf_counter_ns
from typing import Any

from flintfield.decision.interface import (
    AttemptEnded,
    Cancel,
    Effect,
    Entry,
    Fail,
    Limits,
    ListMode,
    AttemptProgress,
    Outcome,
    Probe,
    Probed,
    Refuse,
    Report,
    Request,
    RequestClass,
    Rules,
    Send,
    ServerList,
    SetTimer,
    Settings,
    State,
    Timer,
)
from flintfield.decision.policy import Dispatcher

LEG_MS = 0.5  # one way between a dispatcher and a node
DIAL_MS = 250.0  # until a dial to a node that vanished is given up
PROBE_OUT_MS = 300.0  # until a probe that gets no answer is given up
REPORT_MS = 700.0  # how often a node's report is made anew
LATE_MS = (1_000.0, 3_000.0)  # how late the list tells of a crash or a start
WARM_S = 3.0  # of a day are not judged

CLASSES = (
    RequestClass(aim_ms=600.0, deadline_ms=8_000.0, worth=1.0, stretch=2.0, effect=Effect.SAFE),
    RequestClass(aim_ms=400.0, deadline_ms=20_000.0, worth=10.0, stretch=2.0, effect=Effect.UNSAFE),
)
PORTIONS = (0.7, 0.3)  # of the jobs, by class
WORK_MS = (700.0, 1_400.0)  # mean running time at speed 1, by class
RULES = Rules(
    answer_slack_ms=20.0,
    drain_grace_ms=400.0,
    cold_from=0.35,
    cold_ms=8_000.0,
    fall_multiple=3.0,
    fall_ms=1_000.0,
)


@dataclass(frozen=True, slots=True)
class Trouble:
    """From `at_s` for `for_s` a `part` of the nodes is hit; `factor` is how much slower a slow one runs."""

    kind: str  # "crash": refuses at once; "vanish": says nothing; "slow"
    at_s: float
    for_s: float
    part: float
    factor: float = 4.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A day: `load` is work offered as a part of what the fleet can do; times in seconds of its clock."""

    nodes: int = 12
    dispatchers: int = 1
    seconds: float = 20.0
    load: float = 0.6
    slots: int = 2
    queue: int = 8
    keys: int = 0  # jobs carry one of so many keys; 0: none
    tells_start: bool = True
    troubles: tuple[Trouble, ...] = ()
    classes: tuple[RequestClass, ...] = CLASSES
    limits: Limits = field(default_factory=lambda: Limits(max_attempts=6))

    def settings(self, me: int) -> Settings:
        """What dispatcher `me` is told."""
        return Settings(
            self.classes,
            me=me,
            dispatchers=self.dispatchers,
            tells_start=self.tells_start,
            worth_by_work=True,
            limits=self.limits,
            rules=RULES,
        )


class Node:
    """A worker node: runs what fits, queues the rest in order."""

    def __init__(self, number: int, slots: int, speed: float) -> None:
        self.number, self.slots, self.speed = number, slots, speed
        self.factor = 1.0
        self.up, self.silent = True, False
        self.born = -math.inf
        self.running: dict[tuple[int, int, int], float] = {}  # (dispatcher, rid, attempt): when it ends
        self.waiting: deque[tuple[tuple[int, int, int], float]] = deque()
        self.report, self.report_at = Report(free=float(slots), queue=0.0), -math.inf
        self.sent: deque[tuple[float, float]] = deque()  # while cold: when and how much work

    def warmth(self, now: float) -> float:
        """The part of its capacity that it has."""
        age = min(1.0, (now - self.born) / RULES.cold_ms)
        return RULES.cold_from + (1.0 - RULES.cold_from) * age


class Model:
    """One day: `run()` plays it, the counters and figures tell what came of it."""

    def __init__(self, plan: Plan, seed: int, make: Callable[[Settings, int], Any] = Dispatcher) -> None:
        self.plan, self.now, self._count = plan, 0.0, 0
        nature, self._noise = random.Random(f"nature {seed}"), random.Random(f"noise {seed}")
        self.nodes = {
            n: Node(n, plan.slots, nature.choice((0.8, 1.2, 2.0)) * nature.uniform(0.85, 1.15))
            for n in range(1, plan.nodes + 1)
        }
        self.dispatchers = [make(plan.settings(me), seed * 1000 + me) for me in range(plan.dispatchers)]
        self._moments: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._jobs: dict[tuple[int, int], tuple[int, float, float]] = {}  # owed: (class, work, came)
        self._sends: Counter[tuple[int, int]] = Counter()
        self._out: dict[tuple[int, int, int], int] = {}  # whose outcome is still to come, and at which node
        self.asked, self.served = [0.0] * len(plan.classes), [0.0] * len(plan.classes)  # work, by class
        self.counts: Counter[str] = Counter()
        self.jobs, self._last_rid = 0, 0  # that came since the day is judged
        self.tick_ns, self.list_ns, self.event_ns = list[int](), list[int](), list[int]()
        self.judged_from = min(WARM_S, plan.seconds / 4) * 1000.0
        self._arrivals = random.Random(f"arrivals {seed}")
        self._day(random.Random(f"troubles {seed}"))

    # ------------------------------------------------------------------ the day

    def at(self, when: float, do: Callable[..., None], *args: Any) -> None:
        """Let something happen; what falls on one moment happens in the order it was asked for."""
        self._count += 1
        heapq.heappush(self._moments, (when, self._count, do, args))

    def _day(self, draw: random.Random) -> None:
        entries = tuple(Entry(n) for n in self.nodes)
        for me in range(len(self.dispatchers)):
            self.at(0.0, self.tell, me, ServerList(ListMode.CACHED, entries))
        capacity = sum(n.slots * n.speed for n in self.nodes.values())
        mean = sum(p * w for p, w in zip(PORTIONS, WORK_MS, strict=True))
        self.rate = self.plan.load * capacity / mean  # jobs each ms
        self.at(self._arrivals.expovariate(self.rate), self._arrive)
        for trouble in self.plan.troubles:
            hit = draw.sample(sorted(self.nodes), round(trouble.part * len(self.nodes)))
            for number in hit:
                self.at(trouble.at_s * 1000.0, self._hit, number, trouble)
                self.at((trouble.at_s + trouble.for_s) * 1000.0, self._mend, number, trouble)

    def run(self) -> Model:
        """Play the day to its last arrival."""
        return self._until(self.plan.seconds * 1000.0)

    def settle(self) -> Model:
        """Play on until all is answered."""
        return self._until(self.plan.seconds * 1000.0 + max(c.deadline_ms for c in self.plan.classes))

    def _until(self, end: float) -> Model:
        while self._moments and self._moments[0][0] <= end:
            self.now, _, do, args = heapq.heappop(self._moments)
            do(*args)
        return self

    def _arrive(self) -> None:
        draw = self._arrivals
        if self.now > self.plan.seconds * 1000.0:
            return
        self.at(self.now + draw.expovariate(self.rate), self._arrive)
        cls = 0 if draw.random() < PORTIONS[0] else min(1, len(self.plan.classes) - 1)
        work = WORK_MS[cls] * draw.lognormvariate(-0.5 * 0.9**2, 0.9)
        hint = work * draw.lognormvariate(0.0, 0.3)
        key = draw.randint(1, self.plan.keys) if self.plan.keys else 0
        me, self._last_rid = draw.randrange(len(self.dispatchers)), self._last_rid + 1
        self._jobs[me, self._last_rid] = cls, work, self.now
        if self.now >= self.judged_from:
            self.jobs += 1
            self.asked[cls] += work
        deadline = self.now + self.plan.classes[cls].deadline_ms
        self.tell(me, Request(self._last_rid, cls, deadline, key=key, hint_ms=hint))

    # ------------------------------------------------------- the dispatcher's side

    def tell(self, me: int, event: Any) -> None:
        """Hand an event to a dispatcher, take its time, and carry out what it says."""
        dispatcher, now = self.dispatchers[me], self.now
        began = perf_counter_ns()
        actions = dispatcher.handle(now, event)
        took = perf_counter_ns() - began
        if type(event) is ServerList:
            self.list_ns.append(took)
        elif now < self.judged_from:
            pass
        elif type(event) is Timer and event.token == 0:
            self.tick_ns.append(took)
        else:
            self.event_ns.append(took)
        for action in actions:
            ACTIONS[type(action)](self, me, action)

    def _timer(self, me: int, action: SetTimer) -> None:
        self.at(self.now + action.after_ms, self.tell, me, Timer(action.token))

    def _probe(self, me: int, action: Probe) -> None:
        self.counts["probes"] += 1
        node = self.nodes[action.worker]
        if node.silent or not node.up:
            wait = PROBE_OUT_MS if node.silent else 2 * LEG_MS
            outcome = Outcome.TIMEOUT if node.silent else Outcome.CONNECT_FAILED
            self.at(self.now + wait, self.tell, me, Probed(action.worker, outcome, wait))
            return
        if self.now - node.report_at > REPORT_MS * self._noise.uniform(0.6, 1.4):
            free = max(0.0, node.slots - len(node.running)) * self._noise.uniform(0.97, 1.03)
            node.report, node.report_at = Report(free=free, queue=float(len(node.waiting))), self.now
        told = Probed(action.worker, Outcome.OK, 2 * LEG_MS, node.report)
        self.at(self.now + 2 * LEG_MS, self.tell, me, told)

    def _refuse(self, me: int, action: Refuse | Fail) -> None:
        self.counts["refused" if isinstance(action, Refuse) else "failed"] += 1
        self._jobs.pop((me, action.rid), None)

    def _send(self, me: int, action: Send) -> None:
        number = self._sends[me, action.rid]
        self._sends[me, action.rid] += 1
        name = (me, action.rid, number)
        self._out[name] = action.worker
        self.counts["sends"] += 1
        self.at(self.now + LEG_MS, self._come_in, name, action.worker)

    def _cancel(self, me: int, action: Cancel) -> None:
        name = (me, action.rid, action.attempt)
        if name in self._out:
            node = self.nodes[self._out[name]]
            node.waiting = deque(w for w in node.waiting if w[0] != name)
            self._end(name, node.number, Outcome.CANCELLED)

    def _end(self, name: tuple[int, int, int], worker: int, outcome: Outcome, wait: float = 0.0) -> None:
        if name not in self._out:
            return
        del self._out[name]
        me, rid, number = name
        over = outcome is Outcome.OK or (me, rid) not in self._jobs
        if outcome is Outcome.OK and (job := self._jobs.pop((me, rid), None)):
            cls, work, came = job
            aim = self.plan.classes[cls]
            in_time = self.now + wait - came <= aim.aim_ms + aim.stretch * work
            self.counts["in time" if in_time else "late"] += 1
            if in_time and came >= self.judged_from:
                self.served[cls] += work
        self.at(self.now + wait, self.tell, me, AttemptEnded(rid, number, worker, outcome, 0.0, over))

    # ------------------------------------------------------------- the nodes' side

    def _come_in(self, name: tuple[int, int, int], worker: int) -> None:
        node = self.nodes[worker]
        job = self._jobs.get(name[:2])
        if node.silent or not node.up:
            self._end(name, worker, Outcome.CONNECT_FAILED, DIAL_MS if node.silent else LEG_MS)
        elif job is None or len(node.waiting) >= self.plan.queue:
            self._end(name, worker, Outcome.FULL, LEG_MS)
        else:
            self._watch_cold(node, job[1])
            node.waiting.append((name, job[1]))
            self._start(node)

    def _watch_cold(self, node: Node, work: float) -> None:
        """Rule 4: work sent to a cold node within the window, against what it can do at that moment."""
        warmth = node.warmth(self.now)
        if warmth >= 1.0:
            return
        node.sent.append((self.now, work))
        while node.sent[0][0] < self.now - RULES.fall_ms:
            node.sent.popleft()
        able = RULES.fall_multiple * RULES.fall_ms * warmth * node.slots * node.speed
        self.counts["pushed over"] += sum(w for _, w in node.sent) > 1.3 * able and len(node.sent) > 2

    def _start(self, node: Node) -> None:
        while node.waiting and len(node.running) < node.slots:
            name, work = node.waiting.popleft()
            ends = self.now + work * node.factor / (node.speed * node.warmth(self.now))
            node.running[name] = ends
            self.at(ends, self._done, node, name, ends)
            if self.plan.tells_start:
                note = AttemptProgress(name[1], name[2], node.number, started=True)
                self.at(self.now + LEG_MS, self._note, name, note)

    def _note(self, name: tuple[int, int, int], note: AttemptProgress) -> None:
        if name in self._out:
            self.tell(name[0], note)

    def _done(self, node: Node, name: tuple[int, int, int], ends: float) -> None:
        if node.running.get(name) == ends:
            del node.running[name]
            self._end(name, node.number, Outcome.OK, LEG_MS)
            self._start(node)

    def _hit(self, number: int, trouble: Trouble) -> None:
        node = self.nodes[number]
        if trouble.kind == "slow":
            node.factor = trouble.factor
            return
        node.up, node.silent = False, trouble.kind == "vanish"
        lost = [*node.running, *(name for name, _ in node.waiting)]
        node.running.clear()
        node.waiting.clear()
        for name in lost if not node.silent else ():
            self._end(name, number, Outcome.RESET, LEG_MS)

    def _mend(self, number: int, trouble: Trouble) -> None:
        node = self.nodes[number]
        if trouble.kind == "slow":
            node.factor = 1.0
            return
        node.up, node.silent, node.born = True, False, self.now
        news = ServerList(ListMode.DELTA, (Entry(number, State.READY, started_ms=self.now),))
        for me in range(len(self.dispatchers)):
            self.at(self.now + self._noise.uniform(*LATE_MS), self.tell, me, news)

    # ------------------------------------------------------------------ what came of it

    def service(self) -> float:
        """Worth of what was in time over the worth that was asked for, half of it the worse class's own."""
        worth = [c.worth for c in self.plan.classes]
        whole = sum(w * s for w, s in zip(worth, self.served, strict=True)) / sum(
            w * a for w, a in zip(worth, self.asked, strict=True)
        )
        worst = min(s / a for s, a in zip(self.served, self.asked, strict=True) if a)
        return (whole + worst) / 2

    def cost_us(self) -> float:
        """Decision time a job, ticks and probes included, lists left out, in µs."""
        return (sum(self.event_ns) + sum(self.tick_ns)) / 1000.0 / max(1, self.jobs)


ACTIONS: dict[type, Callable[[Model, int, Any], None]] = {
    SetTimer: Model._timer,
    Probe: Model._probe,
    Refuse: Model._refuse,
    Fail: Model._refuse,
    Send: Model._send,
    Cancel: Model._cancel,
}
