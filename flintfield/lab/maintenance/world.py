"""A fleet with maintenance in virtual time, and the ledger of what truly happened.

The cores are the real ones. What is modelled: processes that are stopped, killed, started with nothing,
started twice; words that are lost, late, doubled or cut off one way; jobs at worker nodes, which go on at
the node when their scheduler is gone; operators who look at a page, walk to the node, and work on it. The
ledger knows no core: a node is out while a living scheduler sends it nothing for a plan's sake, or while
somebody works on it.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from flintfield.escrow.interface import Pool, Units
from flintfield.lab.maintenance.parts import Broken, Net, Process
from flintfield.maintenance.barring import REPORT_MS, BarredNow, Barring, Effect as SchedulerEffect, Say
from flintfield.maintenance.executor import Effect as ExecutorEffect, Episode, Executor, Noted, Wanted
from flintfield.maintenance.words import Bar, Word

LONGEST_MS = 1_500.0  # a job's
WALK_MS = 2_000.0  # from the page to the node, at most
LOOK_MS = 250.0  # between two turns of a process


class World:
    """One fleet and its history."""

    def __init__(self, seed: int, schedulers: int, places: int, pools: tuple[Pool, ...],
                 weights: dict[str, Units], net: Net) -> None:
        self.rng = random.Random(f"world/{seed}")
        self.now, self.net, self.pools, self.weights, self.places = 0.0, net, pools, weights, places
        self.names = tuple(f"s{i}" for i in range(schedulers))
        self.counters: Counter[str] = Counter()
        self.life = 0
        self.processes: list[Process] = []
        # By node: whose jobs, and until when.
        self.jobs: dict[str, list[tuple[Process, float]]] = {n: [] for n in weights}
        self.touched: Counter[str] = Counter()  # by node: who works on it
        self.down: set[str] = set()  # nodes that fail all
        self.broken: list[Broken] = []
        self.done: Counter[str] = Counter()  # by node: works that were done
        self.wanted: list[str] = []
        self.operators: list[Operator] = []
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self.job_pace = 12.0  # jobs a second, of each scheduler
        self.waits = True  # schedulers that have just begun send nothing until they know what stands
        self.reported: dict[int, float] = {}  # when a life of a scheduler last reported unasked
        self.most: Counter[str] = Counter()  # by pool: the most units that were out at once
        for name in self.names:
            self.start_scheduler(name)
        for place in range(places):
            self.start_executor(place)
        self.at(LOOK_MS, self._operators)

    # ------------------------------------------------------------ time

    def at(self, at: float, do: Callable[[], None]) -> None:
        """Have something done then."""
        self._number += 1
        heapq.heappush(self._queue, (at, self._number, do))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, do = heapq.heappop(self._queue)
            do()
        self.now = until

    # ------------------------------------------------------------ processes

    def _new_life(self) -> int:
        self.life += 1
        return self.life

    def start_scheduler(self, name: str) -> Process:
        """A new process, with nothing."""
        core: Barring
        process = Process(name, None)  # type: ignore[arg-type]
        core = Barring(name, self._new_life(), self.names, self.places, 1, self.counters,
                       lambda node: sum(p is process for p, _ in self.jobs[node]))
        process.core = core
        self._begin(process)
        self._job(process)
        return process

    def start_executor(self, place: int) -> Process:
        """A new process, with nothing."""
        core = Executor(place, self.places, self._new_life(), 1, self.names, self.pools, self.weights,
                        self.counters, LONGEST_MS)
        process = Process(f"x{place}", core)
        self._begin(process)
        return process

    def _begin(self, process: Process) -> None:
        self.processes.append(process)
        self.at(self.now + self.rng.uniform(0, LOOK_MS), lambda: self._turn(process))

    def living(self, name: str) -> list[Process]:
        """The processes of that machine."""
        return [p for p in self.processes if p.name == name and p.alive]

    def kill(self, process: Process) -> None:
        """SIGKILL."""
        process.alive = False
        self.processes.remove(process)

    def stop(self, process: Process, for_ms: float) -> None:
        """SIGSTOP, and SIGCONT: what came meanwhile is read then, or was lost."""
        process.stopped = True
        self.at(self.now + for_ms, lambda: self._go_on(process))

    def _go_on(self, process: Process) -> None:
        process.stopped = False
        heard = process.inbox if self.rng.random() < 0.6 else []  # else the socket's buffer overflowed
        process.inbox = []
        for word in heard:
            self._hear(process, word)

    def _turn(self, process: Process) -> None:
        if not process.alive:
            return
        if not process.stopped:
            core = process.core
            if isinstance(core, Barring):
                self._carry_out(process, core.wake(self.now))
                if self.now - self.reported.get(process.core.life, 0.0) > REPORT_MS:
                    self.reported[process.core.life] = self.now
                    self._carry_out(process, [core.report(place) for place in range(self.places)])
                core.lost = frozenset(self.down - core.barred)
            else:
                core.wanted = tuple(Wanted(n, "work", i) for i, n in enumerate(self.wanted)
                                    if self.done[n] == 0)
                self._carry_out(process, core.wake(self.now))
        self.at(self.now + LOOK_MS * self.rng.uniform(0.9, 1.1), lambda: self._turn(process))

    def _hear(self, process: Process, word: Word) -> None:
        self._carry_out(process, process.core.hear(self.now, word))

    def _carry_out(self, process: Process, effects: Sequence[SchedulerEffect | ExecutorEffect]) -> None:
        for effect in effects:
            match effect:
                case Say(to, word):
                    self._send(process, to if isinstance(to, str) else f"x{to}", word)
                case BarredNow():
                    self._check()
                case Noted(event, _):
                    self.counters[event] += 1

    def _send(self, sender: Process, to: str, word: Word) -> None:
        rng, net = self.rng, self.net
        if (sender.name, to) in net.cut or rng.random() < net.loss:
            return
        for _ in range(2 if rng.random() < net.doubled else 1):
            late = rng.uniform(0, net.late_ms) if rng.random() < net.late else 0.0
            self.at(self.now + rng.uniform(1, 8) + late, lambda: self._arrive(to, word))

    def _arrive(self, to: str, word: Word) -> None:
        for process in self.living(to):
            if process.stopped:
                process.inbox.append(word)
            else:
                self._hear(process, word)

    # ------------------------------------------------------------ jobs

    def _job(self, process: Process) -> None:
        """One job of a scheduler, and the next."""
        if not process.alive:
            return
        core = process.core
        assert isinstance(core, Barring)
        if not process.stopped and (core.grown or not self.waits):
            nodes = [n for n in self.weights if n not in core.barred]
            if nodes:
                node = self.rng.choice(nodes)
                if self.touched[node]:
                    self._found("safe", f"{process.name} sent to {node}, which somebody works on")
                elif node not in self.down and not self.touched[node]:
                    self._serve(process, node, core)
        self.at(self.now + self.rng.expovariate(self.job_pace / 1_000), lambda: self._job(process))

    def _serve(self, process: Process, node: str, core: Barring) -> None:
        began, end = self.now, self.now + self.rng.uniform(20, LONGEST_MS)
        job = (process, end)
        self.jobs[node].append(job)

        def over() -> None:
            if job in self.jobs[node]:
                self.jobs[node].remove(job)
                if process.alive and node not in self.down:
                    core.ended_well(node, began)

        self.at(end, over)

    # ------------------------------------------------------------ operators

    def _operators(self) -> None:
        """They look at all pages: who sees that a node is safe goes there, once for each episode."""
        for process in self.processes:
            if process.alive and not process.stopped and isinstance(process.core, Executor):
                for episode in list(process.core.episodes.values()):
                    self._look_at(process, process.core, episode)
        self.at(self.now + LOOK_MS, self._operators)

    def _look_at(self, process: Process, core: Executor, episode: Episode) -> None:
        """Who has worked there says so, once, by the page that he looks at; nobody goes while another is
        there."""
        there = [o for o in self.operators if o.bar == episode.bar]
        if any(not o.finished for o in there) or episode.phase == "returning":
            return
        if untold := [o for o in there if not o.told]:
            untold[0].told = core.give_back(self.now, episode.bar.node, "done")
        elif core.is_safe(self.now, episode):
            operator = Operator(self, episode.bar.node, episode.bar, process)
            self.operators.append(operator)
            self.at(self.now + self.rng.uniform(0, WALK_MS), operator.touch)

    # ------------------------------------------------------------ the ledger

    def _found(self, name: str, what: str) -> None:
        self.broken.append(Broken(self.now, name, what))

    def out(self) -> set[str]:
        """Nodes that are out for a plan's sake, at any scheduler or by hand."""
        barred = {n for p in self.processes if p.alive and isinstance(p.core, Barring) for n in p.core.barred}
        return barred | {n for n, count in self.touched.items() if count}

    def _check(self) -> None:
        out = self.out()
        for pool in self.pools:
            gone = sum(self.weights[n].get(pool.name, 0) for n in out)
            self.most[pool.name] = max(self.most[pool.name], gone)
            if gone > pool.units:
                self._found("agreement", f"{gone} of {pool.name} are out, {pool.units} may: {sorted(out)}")

    def begin_work(self, operator: Operator) -> None:
        """Somebody is at the node."""
        if jobs := [p.name for p, end in self.jobs[operator.node] if end > self.now]:
            self._found("safe", f"{operator.node} has jobs of {sorted(jobs)} though it was safe at "
                                f"{operator.process.name}")
        self.touched[operator.node] += 1
        self._check()


@dataclass(slots=True)
class Operator:
    """Goes to one node for one episode, and works."""

    world: World
    node: str
    bar: Bar
    process: Process  # whose page it was
    finished: bool = False
    told: bool = False

    def touch(self) -> None:
        """The page is asked once more, at the node; the work begins."""
        core = self.process.core
        assert isinstance(core, Executor)
        episode = core.episodes.get(self.bar)
        if not self.process.alive or self.process.stopped or episode is None or not core.is_safe(
                self.world.now, episode):
            self.finished = self.told = True
            return
        self.world.begin_work(self)
        self.world.at(self.world.now + self.world.rng.uniform(300, 2_500), self.finish)

    def finish(self) -> None:
        """The work is over; who looks at a page that has the node says so there."""
        self.world.touched[self.node] -= 1
        self.world.done[self.node] += 1
        self.finished = True
