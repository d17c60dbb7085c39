"""Discovery: the list of worker nodes, late and of fixed capacity, and the watches on it.

Theory of operation. What happens in the fleet is handed in at once (`process_started`, ...); discovery sees
it at its first look after the time that such news takes, and counts its version up. A call is served in turn:
it costs `call_lines` and its lines at `lines_per_s`, and fails when its turn is more than `timeout_ms` off. A
watch that goes on (the next call within `WATCH_GAP_MS` of the last answer, from the version that it gave)
costs its lines alone.

What counts as told: whatever an answer holds, from when it is written; whatever changes between two calls of
one watch, from when it changes (the next call's `Word` says since when); and to a scheduler that neither
watches nor has asked for `ask_within_ms`, four times that after a call of it failed, whatever was listed that
long ago. A scheduler that is cut off from discovery is told nothing by answers that do not reach it.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field, replace
from typing import Literal

from flintfield.lab.scenario import Discovery as Figures
from flintfield.lab.world.fleet import Machine
from flintfield.lab.world.streams import Draws

WATCH_GAP_MS = 200.0
AFTER_FAILURE = 4.0  # times `ask_within_ms` that a scheduler has whose call failed

NO_CALL = -1

Lifecycle = Literal["ready", "draining", "gone"]


@dataclass(frozen=True, slots=True)
class Line:
    """A line of the list; `started_at` in ms from the run's start, 0 for long ago."""

    machine: Machine
    state: Lifecycle
    started_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Word:
    """A scheduler counts as told of a change: from now on, or since `since`."""

    scheduler: str
    node: str
    state: Lifecycle
    started_at: float
    since: float | None = None


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a call, to be carried there: `lines` is None if the call failed (503)."""

    scheduler: str
    call: int
    version: int
    whole: bool
    lines: tuple[Line, ...] | None


@dataclass(slots=True)
class _Watcher:
    """What discovery knows of one scheduler."""

    told: dict[str, Line] = field(default_factory=dict)  # what counts as told, by node
    upto: int = 0  # the version up to which all counts as told
    answered_at: float = -math.inf  # the last watch answer, and the version that it gave
    answered: int = -1
    asked_at: float = 0.0
    failed: bool = False
    waiting: bool = False  # a call is here
    reached: bool = True


@dataclass(frozen=True, slots=True)
class _Call:
    scheduler: str
    call: int
    index: int | None
    ends_at: float  # when the wait is over


class Discovery:
    """The list service."""

    def __init__(self, figures: Figures, ask_within_ms: float, draws: Draws) -> None:
        self._figures, self._ask_within, self._draws = figures, ask_within_ms, draws
        self.version = 1
        self.lines: dict[str, Line] = {}
        self.running = True
        self._oldest = 1  # the oldest version that changes are known since
        self._changes: list[tuple[int, float, Line]] = []
        self._news: list[tuple[float, int, str, int, Line]] = []  # what it will see: when, of which process
        self._lives: dict[str, int] = {}
        self._phase = draws.uniform(0, figures.period_ms)
        self._watchers: dict[str, _Watcher] = {}
        self._open: dict[int, _Call] = {}  # calls that have no answer yet
        self._parked: dict[int, None] = {}  # those of them that wait for news, oldest first
        self._due: list[tuple[float, int, int]] = []  # turns of calls; NO_CALL: what counts as told unasked
        self._out: list[Reply | Word] = []  # made outside `wake`, to be taken there
        self._busy_until = 0.0
        self._count = 0

    # -------------------------------------------------------------- the fleet

    def list_now(self, machine: Machine, started_at: float = 0.0) -> None:
        """List a node from the start."""
        self.lines[machine.name] = Line(machine, "ready", started_at)

    def process_started(self, now: float, machine: Machine) -> None:
        """A process starts: listed after `add_ms`."""
        self._lives[machine.name] = self._lives.get(machine.name, 0) + 1
        self._see(now + self._figures.add_ms, machine, Line(machine, "ready", now))

    def draining(self, now: float, machine: Machine) -> None:
        """A node was told to drain: seen at the next look."""
        known = self.lines.get(machine.name)
        self._see(now, machine, Line(machine, "draining", known.started_at if known else 0.0))

    def process_ended(self, now: float, machine: Machine, silent: bool = False) -> None:
        """A process ended, or its machine fell silent."""
        late = self._figures.silent_notice_ms if silent else self._figures.notice_ms
        known = self.lines.get(machine.name)
        self._see(now + late, machine, Line(machine, "gone", known.started_at if known else 0.0))

    def _see(self, at: float, machine: Machine, line: Line) -> None:
        period = self._figures.period_ms
        look = self._phase + math.ceil((at - self._phase) / period) * period
        self._count += 1
        life = self._lives.get(machine.name, 0)
        heapq.heappush(self._news, (look, self._count, machine.name, life, line))

    def _look(self, now: float) -> None:
        """Take in what this look shows."""
        changed = False
        while self._news and self._news[0][0] <= now:
            _, _, name, life, line = heapq.heappop(self._news)
            # Guards against the end of a process that hides the one that came after it.
            if line.state != "ready" and life < self._lives.get(name, 0):
                continue
            if not changed:
                self.version += 1
                changed = True
            if line.state == "gone":
                if self.lines.pop(name, None) is None:
                    continue
            else:
                self.lines[name] = line
            self._changes.append((self.version, now, line))
        if changed:
            self._news_out(now)

    def _news_out(self, now: float) -> None:
        for call in self._parked:
            self._serve_at(now + self._draws.uniform(0, self._figures.spread_ms), self._open[call])
        self._parked.clear()
        for watcher in self._watchers.values():
            if not watcher.waiting:
                self._deem(now, watcher)

    # -------------------------------------------------------------- the calls

    def scheduler_started(self, now: float, scheduler: str) -> tuple[int, tuple[Line, ...]]:
        """A scheduler's process starts: version and list that it has from before, which counts as told."""
        watcher = self._watchers.setdefault(scheduler, _Watcher(dict(self.lines), self.version))
        watcher.asked_at, watcher.waiting, watcher.failed = now, False, False
        watcher.answered_at, watcher.answered = -math.inf, -1
        for line in watcher.told.values():
            if line.state != "ready" or line.started_at > 0:
                self._out.append(Word(scheduler, line.machine.name, line.state, line.started_at))
        return watcher.upto, tuple(line for line in watcher.told.values() if line.state != "gone")

    def call(self, now: float, scheduler: str, call: int, index: int | None, wait_ms: float) -> None:
        """A call has come in; `call` is a number that no other call has."""
        watcher, figures = self._watchers[scheduler], self._figures
        watcher.asked_at, watcher.waiting = now, True
        goes_on = index is not None and index == watcher.answered and (
            now - watcher.answered_at <= WATCH_GAP_MS)
        if goes_on:
            for _, at, line in self._since(watcher.upto):
                self._say(scheduler, watcher, line, at)
            watcher.upto = self.version
        cost = 0.0 if goes_on else figures.call_lines
        cost += len(self.lines) if index is None else len(self._since(index))
        begins = max(now, self._busy_until)
        asked = _Call(scheduler, call, index, now + wait_ms)
        self._open[call] = asked
        if not self.running or begins - now > figures.timeout_ms:
            self._fail(asked, watcher)
            return
        self._busy_until = begins + 1_000.0 * cost / figures.lines_per_s
        if index is not None and index == self.version and goes_on:
            self._park(asked)
        else:
            self._serve_at(self._busy_until, asked)

    def hang_up(self, now: float, call: int) -> None:
        """The scheduler has closed that call's connection, or is gone."""
        if asked := self._open.pop(call, None):
            self._parked.pop(call, None)
            self._watchers[asked.scheduler].waiting = False
            self._deem(now, self._watchers[asked.scheduler])

    def reach(self, scheduler: str, reached: bool) -> None:
        """Whether answers reach that scheduler."""
        if watcher := self._watchers.get(scheduler):
            watcher.reached = reached

    def stop(self, now: float) -> None:
        """Discovery goes down: all calls fail."""
        self.running = False
        self._parked.clear()
        for call in list(self._open.values()):
            self._fail(call, self._watchers[call.scheduler])

    def come_back(self, now: float, anew: bool) -> None:
        """Discovery is back, with its version or counting from nothing."""
        self.running, self._busy_until = True, now
        if anew:
            self.version, self._changes = 1, []
            for watcher in self._watchers.values():
                watcher.answered, watcher.upto = -1, 0

    def _since(self, index: int) -> list[tuple[int, float, Line]]:
        return [c for c in self._changes if c[0] > index] if index <= self.version else []

    def _park(self, call: _Call) -> None:
        self._parked[call.call] = None
        self._serve_at(call.ends_at, call)

    def _serve_at(self, at: float, call: _Call) -> None:
        self._count += 1
        heapq.heappush(self._due, (at, self._count, call.call))

    def _fail(self, call: _Call, watcher: _Watcher) -> None:
        del self._open[call.call]
        watcher.waiting, watcher.failed = False, True
        watcher.answered_at = -math.inf
        self._out.append(Reply(call.scheduler, call.call, self.version, False, None))

    # ------------------------------------------------------------------- time

    def next_at(self) -> float:
        """When it has something to do or to say."""
        if self._out:
            return -math.inf
        return min(self._news[0][0] if self._news else math.inf, self._due[0][0] if self._due else math.inf)

    def wake(self, now: float) -> list[Reply | Word]:
        """Look at the fleet, answer calls, and say what counts as told."""
        self._look(now)
        while self._due and self._due[0][0] <= now:
            _, _, number = heapq.heappop(self._due)
            if number == NO_CALL:
                self._deem_due(now)
            elif call := self._open.get(number):
                self._serve(now, call)
        out, self._out = self._out, []
        return out

    def _serve(self, now: float, call: _Call) -> None:
        watcher = self._watchers[call.scheduler]
        self._parked.pop(call.call, None)
        whole = call.index is None or call.index > self.version
        news = tuple(self.lines.values()) if whole else tuple(
            {line.machine.name: line for _, _, line in self._since(call.index or 0)}.values())
        if not whole and not news and now < call.ends_at:
            self._park(call)  # a new watch that has had its turn
            return
        del self._open[call.call]
        watcher.waiting, watcher.failed, watcher.asked_at = False, False, now
        watcher.answered_at, watcher.answered = now, self.version
        if watcher.reached:
            self._tell(call.scheduler, watcher, news, whole)
        self._out.append(Reply(call.scheduler, call.call, self.version, whole, news))

    def _tell(self, scheduler: str, watcher: _Watcher, news: tuple[Line, ...], whole: bool) -> None:
        if whole:
            named = {line.machine.name for line in news}
            gone = [replace(line, state="gone") for name, line in watcher.told.items()
                    if name not in named and line.state != "gone"]
            news = (*news, *gone)
        for line in news:
            self._say(scheduler, watcher, line)
        watcher.upto = self.version

    def _say(self, scheduler: str, watcher: _Watcher, line: Line, since: float | None = None) -> None:
        known = watcher.told.get(line.machine.name)
        old = line.state == "ready" and line.started_at <= 0 if known is None else (
            known.state == line.state and known.started_at == line.started_at)
        watcher.told[line.machine.name] = line
        if not old:
            self._out.append(Word(scheduler, line.machine.name, line.state, line.started_at, since))

    def _deem(self, now: float, watcher: _Watcher) -> None:
        """Set the time at which what is listed now counts as told, should the scheduler not ask."""
        within = self._ask_within * (AFTER_FAILURE if watcher.failed else 1.0)
        self._count += 1
        heapq.heappush(self._due, (max(now, watcher.asked_at) + within, self._count, NO_CALL))

    def _deem_due(self, now: float) -> None:
        for scheduler, watcher in self._watchers.items():
            within = self._ask_within * (AFTER_FAILURE if watcher.failed else 1.0)
            if watcher.waiting or now < watcher.asked_at + within:
                continue
            for version, at, line in self._since(watcher.upto):
                if at <= now - within:
                    self._say(scheduler, watcher, line)
                    watcher.upto = version
