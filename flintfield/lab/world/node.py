"""A worker node: what becomes of jobs that reach it, and what it says of its load.

Rules. A node knows time only from what it is told (ms from the run's start, never falling), and nothing of
connections but their count: the engine carries its words away and says what reaches it. Between two calls
nothing changes but what `next_at` and `wake` tell of.

Theory of operation. All jobs in work share the cores evenly (egalitarian processor sharing, Kleinrock 1967),
so all advance alike: `_v` is the service that a job in work since the process began would have got, and a job
that starts at `v` with work `w` ends when `_v` reaches `v + w`. A heap of those ends gives the next one; what
changes the pace (warmth, slowness, more jobs) changes only `_v`'s slope. Work of connections and probes is
taken from `_v` where no core is idle. The state before each change is kept for as long as a load report may
still show it, so reports need no events.

Slots: a job holds 1, 2, 4 or 8 of them; with more slots held than cores, the cores are shared by slots. A
job's running time at speed 1 on a machine of its own is its work, however many slots it holds.

Warmth: by time the share of capacity rises evenly from `cold_from` to 1 within `cold_ms`; by work it rises
with the work done, at full use as fast, and never slower than evenly over the time that the rules state.

Falling over: a cold node that was sent more work than `fall_multiple` times its present capacity within
`fall_ms` dies and stays down. The largest single job of the window does not count: one job alone pushes
nobody over, however far its hint was off (the rule's slack for chance).
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass
from enum import Enum

from flintfield.lab.scenario import Fleet as FleetFigures, RequestClass, Rules
from flintfield.lab.world.fleet import Machine
from flintfield.lab.world.streams import Draws

WARM_STEP_MS = 50.0  # between two looks at the warmth
WARMTH_NOTED = 0.05
DONE_SLACK = 1e-6  # ms of service: what rounding may leave of a job that is done
LATENCY_MEMORY = 8  # jobs that the reported latency goes back

Key = tuple[str, int]
"""An attempt at a node: the try's id and the number of the branch."""


class What(Enum):
    """What happened to an attempt at a node, or to the node."""

    STARTED = "started"
    PROGRESS = "progress"
    DONE = "done"
    FAILED = "failed"  # ended in an error
    TURNED_AWAY = "turned away"  # on arrival: full or draining
    RETURNED = "returned"  # handed back unstarted by a node that drains
    KILLED = "killed"  # with the process
    CANCELLED = "cancelled"
    WARMTH = "warmth"
    FELL = "fell"  # pushed over: the process is dead


@dataclass(frozen=True, slots=True)
class Happening:
    """One thing that happened; `share` is of the job done, or of the capacity for WARMTH."""

    what: What
    key: Key = ("", -1)
    share: float = 0.0
    body: str = ""  # what the node made
    started: bool = False  # for KILLED and CANCELLED
    spent: float = 0.0  # work (ms of a standard core times slots) that the attempt got here, at its end


@dataclass(frozen=True, slots=True)
class Errand:
    """An attempt as it reaches a node."""

    key: Key
    request: str  # the wish that it serves, for the saved state
    scheduler: str
    cls: RequestClass
    work: float  # ms of a standard core
    slots: int = 1


@dataclass(frozen=True, slots=True)
class Reading:
    """A load report: late and noisy."""

    free: float
    inflight: float
    queue: float
    util: float
    latency_ms: float


_Past = tuple[float, int, int, int, float]  # since when; jobs in work, waiting; free slots; latency


@dataclass(slots=True)
class _Run:
    """A job in work."""

    errand: Errand
    began: float
    base: float  # the share that a saved state had done
    start_v: float
    work: float  # of this attempt, without the saved part
    error: bool


Saves = dict[str, float]
"""By request: the share done of the last saved state; all nodes of a fleet share it."""


class Node:
    """One worker node's process, and those that follow it on the same machine."""

    def __init__(self, machine: Machine, figures: FleetFigures, rules: Rules, draws: Draws,
                 saves: Saves) -> None:
        self.machine, self.figures, self.rules = machine, figures, rules
        self._draws, self._saves = draws, saves
        self.life = 0  # counts processes; a connection belongs to one of them
        self.up = self.draining = self.stalled = self.fell = False
        self.started_at = 0.0
        self.warm_share = 1.0
        self.connections = 0
        self.fails: dict[str, float] = {}  # by class: the share of jobs that fail at once
        self.false_full = 0.0  # the share of jobs that are told full although there is room
        self._factor = 1.0  # times slower
        self._phase = draws.uniform(0, figures.reports.period_ms)
        self._cap = machine.kind.connections_per_core * machine.kind.cores
        self._reset(0.0)

    def _reset(self, now: float) -> None:
        self._v, self._at, self._slope = 0.0, now, 0.0
        self._running: dict[Key, _Run] = {}
        self._waiting: dict[Key, Errand] = {}  # in order of arrival
        self._held = 0  # slots
        self._ends: list[tuple[float, int, Key]] = []
        self._notes: list[tuple[float, int, Key]] = []
        self._count = 0
        self._work_done = 0.0
        self._noted_share = self.warm_share
        self._warm_at = math.inf
        self._pressure: deque[tuple[float, float]] = deque()
        self._probes: deque[float] = deque()
        self._latency = 0.0
        self._past: deque[_Past] = deque()
        self._told: tuple[int, Reading] | None = None
        self._remember(now)

    # ------------------------------------------------------------ the process

    def start(self, now: float, cold: bool) -> None:
        """A process starts; `cold` or as if it had run for long."""
        self.life += 1
        self.up, self.draining, self.fell, self.stalled = True, False, False, False
        self.started_at, self.connections = now, 0
        kind = self.machine.kind
        self.warm_share = kind.cold_from if cold and kind.cold_ms > 0 else 1.0
        self._reset(now)
        if self.warm_share < 1.0:
            self._warm_at = now + WARM_STEP_MS
        self._pace()

    def die(self, now: float) -> list[Happening]:
        """The process ends, with all that it holds."""
        self._advance(now)
        happened = [self._lost(k, What.KILLED, now) for k in [*self._running, *self._waiting]]
        self.up, self.connections = False, 0
        self._reset(now)
        return happened

    def drain(self, now: float) -> list[Happening]:
        """It is told to finish what it has and take nothing new."""
        self.draining = True
        if not self.figures.drain_returns:
            return []
        back = [Happening(What.RETURNED, key) for key in self._waiting]
        self._waiting.clear()
        self._remember(now)
        return back

    def slow(self, now: float, factor: float) -> None:
        """It runs so many times slower from now on; 1 / factor undoes it."""
        self._advance(now)
        self._factor *= factor
        self._pace()

    def stall(self, now: float, on: bool) -> None:
        """It stands still, or goes on where it was."""
        self._advance(now)
        self.stalled = on
        self._pace()

    # ---------------------------------------------------------------- attempts

    def arrive(self, now: float, errand: Errand) -> list[Happening]:
        """An attempt's last byte is here."""
        self._advance(now)
        happened = self._press(now, errand)
        if happened:
            return happened
        if self.draining or self._draws.chance(self.false_full):
            return [Happening(What.TURNED_AWAY, errand.key)]
        self._waiting[errand.key] = errand
        self._start_some(now, happened)
        if errand.key in self._waiting and len(self._waiting) > self.machine.kind.queue:
            del self._waiting[errand.key]
            happened.append(Happening(What.TURNED_AWAY, errand.key))
        self._remember(now)
        return happened

    def cancel(self, now: float, key: Key) -> list[Happening]:
        """Nobody waits for that attempt any more; what stops depends on the kind."""
        self._advance(now)
        stops = self.machine.kind.cancel
        happened: list[Happening] = []
        if key in self._waiting and stops != "none":
            happened.append(self._lost(key, What.CANCELLED, now))
            del self._waiting[key]
        elif key in self._running:
            if stops == "running":
                happened.append(self._lost(key, What.CANCELLED, now))
                self._leave(key)
            else:
                self._save(self._running[key], now)
        self._start_some(now, happened)
        self._remember(now)
        return happened

    def _start_some(self, now: float, happened: list[Happening]) -> None:
        """Start what fits, in the fleet's order."""
        while self._waiting and self._held < self.machine.kind.slots:
            key = self._next_waiting()
            if key is None:
                return
            self._begin(now, self._waiting.pop(key), happened)

    def _next_waiting(self) -> Key | None:
        free, order = self.machine.kind.slots - self._held, self.figures.order
        if order == "backfill":
            return next((k for k, e in self._waiting.items() if e.slots <= free), None)
        if order == "priority":
            first = max(self._waiting, key=lambda k: self._waiting[k].cls.priority)  # the oldest of them
        else:
            first = next(iter(self._waiting))
        return first if min(self._waiting[first].slots, self.machine.kind.slots) <= free else None

    def _begin(self, now: float, errand: Errand, happened: list[Happening]) -> None:
        happened.append(Happening(What.STARTED, errand.key))
        if self._draws.chance(self.fails.get(errand.cls.name, 0.0)):
            happened.append(Happening(What.FAILED, errand.key))
            return
        base = self._saves.get(errand.request, 0.0) if self._goes_on(errand) else 0.0
        work = errand.work * self._draws.spread(errand.cls.attempt_noise) * (1.0 - base)
        error = self._draws.chance(self.machine.kind.error_rate)
        self._running[errand.key] = _Run(errand, now, base, self._v, work, error)
        self._held += min(errand.slots, self.machine.kind.slots)
        self._count += 1
        heapq.heappush(self._ends, (self._v + work, self._count, errand.key))
        if self.figures.progress_ms > 0:
            heapq.heappush(self._notes, (now + self.figures.progress_ms, self._count, errand.key))
        self._pace()

    def _leave(self, key: Key) -> _Run:
        """A job is in work no longer; the heaps forget it when they come to it."""
        run = self._running.pop(key)
        self._held -= min(run.errand.slots, self.machine.kind.slots)
        self._pace()
        return run

    def _goes_on(self, errand: Errand) -> bool:
        return self.figures.checkpoint_ms > 0 and errand.cls.effect == "safe"

    def _save(self, run: _Run, now: float) -> None:
        """Keep the state that was saved last; guards against a job that goes on from more than was saved."""
        every, ran = self.figures.checkpoint_ms, now - run.began
        if self._goes_on(run.errand) and ran >= every:
            saved = self._share(run) * (ran // every) * every / ran
            self._saves[run.errand.request] = max(saved, self._saves.get(run.errand.request, 0.0))

    def _share(self, run: _Run) -> float:
        """The share done of a job in work."""
        part = (self._v - run.start_v) / run.work if run.work > 0 else 1.0
        return run.base + (1.0 - run.base) * min(1.0, max(0.0, part))

    def _lost(self, key: Key, what: What, now: float) -> Happening:
        if run := self._running.get(key):
            self._save(run, now)
        return Happening(what, key, started=run is not None, spent=self._spent(run) if run else 0.0)

    def _spent(self, run: _Run) -> float:
        return min(run.work, max(0.0, self._v - run.start_v)) * run.errand.slots

    # -------------------------------------------------------------------- time

    def _pace(self) -> None:
        """How fast each job in work advances from now on."""
        kind = self.machine.kind
        free_of = 1.0 - kind.crowding * min(1.0, self.connections / self._cap)
        speed = self.machine.speed * self.warm_share * free_of / self._factor
        shared = min(1.0, kind.cores / self._held) if self._held else 1.0
        self._slope = 0.0 if self.stalled or not self.up else speed * shared

    def _advance(self, now: float) -> None:
        served = self._slope * (now - self._at)
        self._v += served
        self._work_done += served * self._held
        self._at = now

    def next_at(self) -> float:
        """When it has something to do by itself; infinite if nothing, or while it stands still."""
        if not self.up or self.stalled:
            return math.inf
        while self._ends and self._ends[0][2] not in self._running:
            heapq.heappop(self._ends)
        while self._notes and self._notes[0][2] not in self._running:
            heapq.heappop(self._notes)
        end = math.inf
        if self._ends:
            end = self._at + max(0.0, self._ends[0][0] - self._v) / max(self._slope, 1e-12)
        return min(end, self._notes[0][0] if self._notes else math.inf, self._warm_at)

    def wake(self, now: float) -> list[Happening]:
        """Do what has come due."""
        self._advance(now)
        happened: list[Happening] = []
        if self._warm_at <= now:
            self._warm(now, happened)
        while self._ends and (self._ends[0][2] not in self._running
                              or self._ends[0][0] <= self._v + DONE_SLACK):
            key = heapq.heappop(self._ends)[2]
            if key in self._running:
                self._end(now, key, happened)
        while self._notes and (self._notes[0][2] not in self._running or self._notes[0][0] <= now):
            _, count, key = heapq.heappop(self._notes)
            if run := self._running.get(key):
                happened.append(Happening(What.PROGRESS, key, self._share(run)))
                heapq.heappush(self._notes, (now + self.figures.progress_ms, count, key))
        return happened

    def _end(self, now: float, key: Key, happened: list[Happening]) -> None:
        run = self._leave(key)
        self._saves.pop(run.errand.request, None)
        self._latency += (now - run.began - self._latency) / LATENCY_MEMORY
        if run.error:
            happened.append(Happening(What.FAILED, key, spent=self._spent(run)))
        else:
            body = f"{self.machine.name}/{key[0]}/{key[1]}"
            happened.append(Happening(What.DONE, key, 1.0, body, spent=self._spent(run)))
        self._start_some(now, happened)
        self._remember(now)

    def _warm(self, now: float, happened: list[Happening]) -> None:
        kind, rules, age = self.machine.kind, self.rules, now - self.started_at
        if kind.warm_by == "time":
            share = kind.cold_from + (1 - kind.cold_from) * age / kind.cold_ms
        else:
            full_use = self.machine.capacity * kind.cold_ms
            share = kind.cold_from + (1 - kind.cold_from) * self._work_done / full_use
            stated = rules.cold_from + (1 - rules.cold_from) * age / max(rules.cold_ms, 1.0)
            share = max(share, stated)
        # Schedulers count on the stated time to the ms: no step, and no rounding, may leave it cold beyond.
        until = rules.cold_ms if kind.warm_by == "work" else min(kind.cold_ms, rules.cold_ms)
        share = 1.0 if age >= until - DONE_SLACK else share
        self.warm_share = min(1.0, max(self.warm_share, share))
        next_look = min(now + WARM_STEP_MS, self.started_at + until)
        self._warm_at = next_look if self.warm_share < 1.0 else math.inf
        if self.warm_share >= 1.0 or self.warm_share >= self._noted_share + WARMTH_NOTED:
            self._noted_share = self.warm_share
            happened.append(Happening(What.WARMTH, share=self.warm_share))
        self._pace()

    def _press(self, now: float, errand: Errand) -> list[Happening]:
        """Rule 4's budget; what comes counts whether it is taken or not."""
        if self.warm_share >= 1.0:
            return []
        sent, rules = self._pressure, self.rules
        sent.append((now, errand.work * errand.slots))
        while sent[0][0] <= now - rules.fall_ms:
            sent.popleft()
        works = [work for _, work in sent]
        present = self.machine.capacity * self.warm_share
        if sum(works) - max(works) <= rules.fall_multiple * present * rules.fall_ms:
            return []
        killed = [Happening(What.KILLED, errand.key), *self.die(now)]
        self.fell = True
        return [Happening(What.FELL), *killed]

    # ------------------------------------------------- connections and reports

    def dial(self, now: float) -> bool:
        """A new connection, if it takes one more."""
        if self.connections >= self._cap:
            return False
        self._advance(now)
        self.connections += 1
        self._burden(self.figures.handshake_work_ms)
        self._pace()
        return True

    def hang_up(self, now: float, life: int) -> None:
        """A connection to the process of that life is closed."""
        if life == self.life and self.connections:
            self._advance(now)
            self.connections -= 1
            self._pace()

    def probe(self, now: float) -> Reading | None:
        """Its load as the last report that is out shows it; None beyond what it answers a second."""
        while self._probes and self._probes[0] <= now - 1_000.0:
            self._probes.popleft()
        if len(self._probes) >= self.figures.probe_cap_per_core_s * self.machine.kind.cores:
            return None
        self._probes.append(now)
        self._advance(now)
        self._burden(self.figures.probe_work_ms)
        return self._reading(now)

    def _burden(self, work: float) -> None:
        """Work beside the jobs: it slows them where no core is idle."""
        if self._held >= self.machine.kind.cores:
            self._v -= work / self._held

    def _remember(self, now: float) -> None:
        """Keep the state as it is from now on, and let go of what no report shows any more."""
        past, reports = self._past, self.figures.reports
        if past and past[-1][0] == now:
            past.pop()
        past.append((now, len(self._running), len(self._waiting), self.machine.kind.slots - self._held,
                     self._latency))
        oldest = now - reports.period_ms - reports.delay_ms
        while len(past) > 1 and past[1][0] <= oldest:
            past.popleft()

    def _reading(self, now: float) -> Reading:
        reports = self.figures.reports
        place = math.floor((now - reports.delay_ms - self._phase) / reports.period_ms)
        if self._told and self._told[0] == place:
            return self._told[1]
        at = self._phase + place * reports.period_ms
        state = self._past[0]
        for later in self._past:
            if later[0] > at:
                break
            state = later
        _, running, waiting, free, latency = state
        noise = [1.0 + reports.noise * self._draws.normal() for _ in range(5)]
        kind = self.machine.kind
        util = min(1.0, (kind.slots - free) / kind.cores)
        reading = Reading(free * noise[0], running * noise[1], waiting * noise[2], util * noise[3],
                          latency * noise[4])
        self._told = place, reading
        return reading

    @property
    def jobs(self) -> tuple[int, int]:
        """How many jobs are in work, and how many wait."""
        return len(self._running), len(self._waiting)

    def outlook(self, now: float) -> tuple[int, int, float, float]:
        """The truth, for a yardstick that sees it: free slots, held slots, the present speed of a core, and
        the work that it may be sent now before it falls over (inf when warm)."""
        speed = self.machine.speed * self.warm_share / self._factor
        budget = math.inf
        if self.warm_share < 1.0:
            rules = self.rules
            sent = sum(work for at, work in self._pressure if at > now - rules.fall_ms)
            present = self.machine.capacity * self.warm_share
            budget = rules.fall_multiple * present * rules.fall_ms - sent
        free = self.machine.kind.slots - self._held - len(self._waiting)
        return free, self._held, speed, budget
