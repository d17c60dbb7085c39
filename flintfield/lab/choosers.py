"""Yardsticks: plain choosers that decide in the module's place, from a floor (random) to a top (all-seeing).

Rules. Each takes the module's events and answers with its actions, so the reducer and every engine drive it
alike. All share one core, `Chooser`, that keeps the four rules: it answers before the deadline, never has two
attempts of a job out, sends nothing again that may have run and must not, and nothing to a worker node that
drains, is gone or is not sure to be warm. A chooser only picks among the worker nodes that are left.

The all-seeing one, `Omniscient`, is told what no real scheduler knows: each node's true free slots, speed and
cold budget at this moment, what all others of its kind have on the way there, and each job's true work. It
holds jobs until a slot is free, takes the one worth most for its work first, gives up what can not be in
time, and picks the node where the job ends first.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from flintfield.decision.interface import (
    NEVER_RAN, Action, AttemptEnded, Cancel, Effect, Entry, Event, Fail, ClientLeft, ListMode,
    AttemptProgress, Outcome, Refuse, Request, Send, ServerList, SetTimer, Settings, State, Timer, Watch,
    WorkerId,
)
from flintfield.decision.policy import Dispatcher

NAMES = ("random", "round-robin", "least-in-flight", "power-of-two", "omniscient")
TICK, TICK_MS = 0, 100.0
SEEING_TICK_MS = 10.0  # the all-seeing one looks so often for a free slot
IN_TRANSIT_MS = 20.0  # a job that was sent so long ago has arrived
MARGIN = 1.2  # the all-seeing one leaves so much for what no one can see: the spread between attempts
SURE = 0.9  # the part of a cold node's true budget that the all-seeing one uses


@dataclass(frozen=True, slots=True)
class Truth:
    """What is true of a worker node now; work in ms of a standard core."""

    free: int  # slots
    held: int  # slots
    cores: int
    speed: float  # of a core, as warm and as slow as it is
    budget: float  # work that it may still be sent now before it falls over; inf when warm


class View:
    """The all-seeing chooser's sight, shared by all schedulers of a run."""

    def __init__(self, truth: Callable[[WorkerId, int, int], Truth | None],
                 work: Callable[[int, int], float]) -> None:
        """`truth` of a node for a scheduler's place and a class: None if it would not do such a job now.

        `work` of a job, by the place of its scheduler and its `rid`.
        """
        self.truth, self.work = truth, work
        self._transit: dict[WorkerId, list[tuple[float, float, float]]] = {}  # when, slots, work

    def sent(self, now: float, worker: WorkerId, slots: float, work: float) -> None:
        """A job is on its way there."""
        self._transit.setdefault(worker, []).append((now, slots, work))

    def in_transit(self, now: float, worker: WorkerId) -> tuple[float, float]:
        """Slots and work on the way to a node."""
        out = self._transit.get(worker)
        if not out:
            return 0.0, 0.0
        out[:] = [s for s in out if s[0] > now - IN_TRANSIT_MS]
        return sum(s[1] for s in out), sum(s[2] for s in out)


@dataclass(slots=True)
class Job:
    """A request that is still owed its answer."""

    request: Request
    arrived: float
    attempts: list[tuple[WorkerId, Outcome | None]] = field(default_factory=list)

    def out(self) -> bool:
        """Whether an attempt is out."""
        return any(outcome is None for _, outcome in self.attempts)

    def maybe_ran(self) -> bool:
        """Whether an attempt may have run."""
        return any(outcome not in NEVER_RAN for _, outcome in self.attempts)


class Chooser:
    """The core that all yardsticks share."""

    tick_ms = TICK_MS

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.actions: list[Action] = []
        self.workers: dict[WorkerId, Entry] = {}
        self.jobs: dict[int, Job] = {}
        self.held: dict[int, Job] = {}
        self.in_flight: dict[WorkerId, int] = {}
        self.now = 0.0
        self._ticking = self._watching = False
        self._watch_at = 0.0
        self._tokens: dict[int, int] = {}
        self._next_token = TICK

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event and return the actions it calls for."""
        self.actions, self.now = [], now
        if not self._ticking:
            self._ticking = True
            self._tick()
        if isinstance(event, Request):
            self._request(event)
        elif isinstance(event, AttemptEnded):
            self._ended(event)
        elif isinstance(event, ServerList):
            self._list(event)
        elif isinstance(event, Timer):
            self._timer(event)
        elif isinstance(event, ClientLeft):
            self._forget(event.rid)
        if self.held and not isinstance(event, Request | AttemptProgress):
            self.serve_held()
        return self.actions

    # ------------------------------------------------------------ to override

    def pick(self, job: Job, ready: list[Entry]) -> Entry | None:
        """One of the worker nodes that the rules allow; None to hold the job."""
        raise NotImplementedError

    def may_be_cold(self, entry: Entry, job: Job) -> bool:
        """Whether a node that is not sure to be warm may have the job."""
        return False

    def serve_held(self) -> None:
        """Try to place the jobs that wait here, the oldest first."""
        for job in list(self.held.values()):
            if not self.place(job):
                break

    # ------------------------------------------------------------------ the core

    def place(self, job: Job) -> bool:
        """Send a job to a node, or hold it."""
        rid, limits = job.request.rid, self.settings.limits
        if len(job.attempts) >= limits.max_attempts:
            self.end(job)
            return True
        ready = [e for e in self.workers.values()
                 if e.state is State.READY and (self._is_warm(e) or self.may_be_cold(e, job))]
        entry = self.pick(job, ready) if ready else None
        if entry is None:
            self.held[rid] = job
            return False
        self.held.pop(rid, None)
        job.attempts.append((entry.worker, None))
        self.in_flight[entry.worker] = self.in_flight.get(entry.worker, 0) + 1
        self.actions.append(Send(rid, entry.worker))
        return True

    def end(self, job: Job) -> None:
        """Give the final answer."""
        rid = job.request.rid
        safe = self.settings.classes[job.request.cls].effect is Effect.SAFE
        refused = safe or not job.maybe_ran()
        self._forget(rid)
        self.actions.append(Refuse(rid) if refused else Fail(rid))

    def _is_warm(self, entry: Entry) -> bool:
        return entry.started_ms <= 0 or self.now - entry.started_ms >= self.settings.rules.cold_ms

    def _request(self, event: Request) -> None:
        job = self.jobs[event.rid] = Job(event, self.now)
        self._next_token += 1
        self._tokens[self._next_token] = event.rid
        last = event.deadline - 2 * self.settings.resolution_ms
        self.actions.append(SetTimer(max(0.0, last - self.now), self._next_token))
        self.place(job)

    def _ended(self, event: AttemptEnded) -> None:
        left = self.in_flight.get(event.worker, 1) - 1
        self.in_flight[event.worker] = left
        job = self.jobs.get(event.rid)
        if job is None:
            return
        job.attempts[event.attempt] = (event.worker, event.outcome)
        if event.over:
            self._forget(event.rid)
        elif not job.out():
            safe = self.settings.classes[job.request.cls].effect is Effect.SAFE
            if job.maybe_ran() and not safe:
                self.end(job)
            else:
                self.place(job)

    def _forget(self, rid: int) -> None:
        job = self.jobs.pop(rid, None)
        self.held.pop(rid, None)
        if job and self.settings.limits.cancel:
            self.actions.extend(Cancel(rid, i) for i, (_, out) in enumerate(job.attempts) if out is None)

    def _list(self, event: ServerList) -> None:
        if event.mode is ListMode.FAILED:
            self._watching = False
            self._watch_at = self.now + self.random.uniform(0.2, 1.0) * self.settings.rules.ask_within_ms / 4
            return
        self._watching |= event.mode is not ListMode.CACHED
        if event.mode is not ListMode.DELTA:
            self.workers.clear()
        for entry in event.entries:
            if entry.state is State.GONE:
                self.workers.pop(entry.worker, None)
            else:
                self.workers[entry.worker] = entry

    def _timer(self, event: Timer) -> None:
        if event.token == TICK:
            self._tick()
        elif job := self.jobs.get(self._tokens.pop(event.token, -1)):
            self.end(job)

    def _tick(self) -> None:
        self.actions.append(SetTimer(self.tick_ms, TICK))
        if self.settings.ask_list and not self._watching and self.now >= self._watch_at:
            self._watch_at = self.now + self.settings.rules.ask_within_ms / 2
            self.actions.append(Watch())


class Random(Chooser):
    """Any node, all alike."""

    def pick(self, job: Job, ready: list[Entry]) -> Entry | None:
        return self.random.choice(ready)


class RoundRobin(Chooser):
    """The nodes in turn."""

    _turn = -1

    def pick(self, job: Job, ready: list[Entry]) -> Entry | None:
        self._turn += 1
        return ready[self._turn % len(ready)]


class LeastInFlight(Chooser):
    """The node where the fewest of our own jobs are; of those alike any."""

    def pick(self, job: Job, ready: list[Entry]) -> Entry | None:
        return self._least(ready)

    def _least(self, ready: Iterable[Entry]) -> Entry:
        return min(ready, key=lambda e: (self.in_flight.get(e.worker, 0), self.random.random()))


class PowerOfTwo(LeastInFlight):
    """Of two nodes drawn, the one where fewer of our own jobs are (Mitzenmacher 2001)."""

    def pick(self, job: Job, ready: list[Entry]) -> Entry | None:
        return self._least(self.random.sample(ready, min(2, len(ready))))


class Omniscient(Chooser):
    """Sees the true state of every node and the true work of every job."""

    tick_ms = SEEING_TICK_MS

    def __init__(self, settings: Settings, seed: int, view: View, place: int) -> None:
        super().__init__(settings, seed)
        self._view, self._place = view, place
        self._works: dict[int, float] = {}

    def _work(self, job: Job) -> float:
        rid = job.request.rid
        if rid not in self._works:
            self._works[rid] = self._view.work(self._place, rid)
        return self._works[rid]

    def _due(self, job: Job) -> float:
        cls = self.settings.classes[job.request.cls]
        return min(job.arrived + cls.aim_ms + cls.stretch * self._work(job), job.request.deadline)

    def may_be_cold(self, entry: Entry, job: Job) -> bool:
        return True  # `pick` looks at the true budget

    def pick(self, job: Job, ready: list[Entry]) -> Entry | None:
        best, best_at = None, (self._due(job) - self.now) / MARGIN  # later than that is likely to be late
        work, slots = self._work(job), job.request.slots
        for entry in ready:
            truth = self._view.truth(entry.worker, self._place, job.request.cls)
            if truth is None:
                continue
            coming, coming_work = self._view.in_transit(self.now, entry.worker)
            held = truth.held + coming
            if truth.free - coming < slots or coming_work + work * slots > SURE * truth.budget:
                continue
            ends_in = work / max(truth.speed * min(1.0, truth.cores / (held + slots)), 1e-9)
            if ends_in < best_at:
                best, best_at = entry, ends_in
        if best is not None:
            self._view.sent(self.now, best.worker, slots, work * slots)
        return best

    def serve_held(self) -> None:
        """The job that earns most for its work first, of those alike the one that is due first."""
        quickest: dict[int, float] = {}
        for job in list(self.held.values()):
            if (cls := job.request.cls) not in quickest:
                truths = [self._view.truth(w, self._place, cls) for w in self.workers]
                quickest[cls] = max((t.speed for t in truths if t), default=1.0)
            if self.now + MARGIN * self._work(job) / max(quickest[cls], 1e-9) > self._due(job):
                self.end(job)  # it can not be in time any more
        full: set[int] = set()  # classes whose jobs find no node now
        for job in sorted(self.held.values(), key=self._rank):
            if job.request.cls not in full and not self.place(job):
                full.add(job.request.cls)

    def _rank(self, job: Job) -> tuple[float, float]:
        cls = self.settings.classes[job.request.cls]
        worth = cls.worth if self.settings.worth_by_work else cls.worth / self._work(job)
        return -worth / job.request.slots, self._due(job)


def maker(name: str, view: View, place: int) -> Callable[[Settings, int], Any]:
    """What makes the decisions of the scheduler at that place; a ValueError if no chooser has that name."""
    plain: dict[str, Callable[[Settings, int], Any]] = {
        "flintfield": Dispatcher, "random": Random, "round-robin": RoundRobin,
        "least-in-flight": LeastInFlight, "power-of-two": PowerOfTwo,
        "omniscient": lambda settings, seed: Omniscient(settings, seed, view, place),
    }
    if name not in plain:
        raise ValueError(f"chooser: found {name!r}, expected one of {', '.join(plain)}")
    return plain[name]
