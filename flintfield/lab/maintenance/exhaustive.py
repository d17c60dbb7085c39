"""Small histories of maintenance, all of them, from starts in the midst of what may go wrong.

`python -m flintfield.lab.maintenance.exhaustive DEPTH [FAULT]` explores, and prints one JSON object. Two
places and two schedulers, two nodes and one pool that lets one of them be out. At each step one of these
happens: a word under way arrives, is lost, or arrives and stays under way; a quarter of a second passes and
all that run look and tell (`tick`); the same, and all words arrive, or all but those to one process or of
one (`round`, `deaf`, `mute`); four seconds pass in which nothing arrives (`long`); an executor or a
scheduler is started anew with nothing; a second process of a place is started beside the first; somebody
says that the work at a node is done. States that are alike in all that counts are explored once.

After each step: what live schedulers bar is within the pool, and what an executor calls safe is barred by
each live scheduler that is grown.
"""

from __future__ import annotations

import copy
import json
import os
import sys
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import Any

from flintfield.escrow.interface import Pool
from flintfield.lab.maintenance.histories import planted
from flintfield.maintenance.barring import Barring, Say
from flintfield.maintenance.executor import TICK_MS, Executor, Wanted
from flintfield.maintenance.words import Word, write

NAMES = ("s0", "s1")
NODES = {"n0": {"all": 1}, "n1": {"all": 1}}
POOLS = (Pool("all", 1),)
PARTIES: tuple[int | str, ...] = (0, 1, *NAMES)
LONG_MS = 4_000.0
MOST_UNDER_WAY = 5  # words; the oldest are lost
Act = tuple[str, int]


def _no_jobs(node: str) -> int:
    return 0


@dataclass(slots=True)
class Small:
    """One state of the whole."""

    now: float = 10_000.0
    life: int = 0
    executors: list[Executor] = field(default_factory=list)  # by place, then second processes
    schedulers: list[Barring] = field(default_factory=list)
    under_way: list[tuple[int | str, Word]] = field(default_factory=list)
    restarts: int = 0
    most: int = MOST_UNDER_WAY

    def new_life(self) -> int:
        """The next one."""
        self.life += 1
        return self.life

    def executor(self, place: int) -> Executor:
        """A process with nothing, which wants the node of its number."""
        made = Executor(place, 2, self.new_life(), 1, NAMES, POOLS, NODES, Counter(), 0.0)
        made.doubt = set()  # what was seen serving is no matter here
        # A new life wants the other node first.
        nodes = sorted(NODES, reverse=bool(place) is not bool(self.restarts))
        made.wanted = tuple(Wanted(node, "w", rank) for rank, node in enumerate(nodes))
        return made

    def scheduler(self, number: int) -> Barring:
        """Likewise."""
        return Barring(NAMES[number], self.new_life(), NAMES, 2, 1, Counter(), _no_jobs)

    def carry_out(self, effects: Any) -> None:
        """Words go on their way."""
        self.under_way += [(e.to, e.word) for e in effects if isinstance(e, Say)]
        del self.under_way[:-self.most]

    def arrive(self, to: int | str, word: Word) -> None:
        """At all processes that it is for."""
        if isinstance(to, str):
            self.carry_out(self.schedulers[NAMES.index(to)].hear(self.now, word))
            return
        for one in [e for e in self.executors if e.place == to]:
            self.carry_out(one.hear(self.now, word))

    def tick(self, ms: float = TICK_MS + 1) -> None:
        """Time passes, and all look."""
        self.now += ms
        for scheduler in self.schedulers:
            self.carry_out(scheduler.wake(self.now))
        for executor in self.executors:
            self.carry_out(executor.wake(self.now))

    def settle(self, ticks: int, deaf: int | str = "", mute: int | str = "") -> None:
        """Time passes, and all words arrive, but those to or of that place or scheduler."""
        self.most = 1_000
        for _ in range(ticks):
            self.tick()
            while self.under_way:
                to, word = self.under_way.pop(0)
                if to != deaf and (word.name or word.place) != mute:
                    self.arrive(to, word)
        self.most = MOST_UNDER_WAY


def acts(state: Small) -> Iterator[Act]:
    """All that can happen."""
    for number in range(len(state.under_way)):
        yield "arrive", number
        yield "copy", number
        yield "lose", number
    yield "tick", 0
    yield "long", 0
    yield "round", 0
    for number in range(len(PARTIES)):
        yield "deaf", number
        yield "mute", number
    for number, one in enumerate(state.executors):
        if any(e.phase == "safe" for e in one.episodes.values()):
            yield "done", number
    if state.restarts < 2:
        for place in (0, 1):
            yield "restart-x", place
            if len(state.executors) == 2:
                yield "twin", place
        for number in (0, 1):
            if state.schedulers[1 - number].grown:
                yield "restart-s", number


def act(state: Small, what: Act) -> None:
    """Have it happen."""
    kind, number = what
    match kind:
        case "arrive":
            state.arrive(*state.under_way.pop(number))
        case "copy":
            state.arrive(*state.under_way[number])
        case "lose":
            state.under_way.pop(number)
        case "tick":
            state.tick()
        case "round":
            state.settle(1)
        case "deaf":
            state.settle(1, deaf=PARTIES[number])
        case "mute":
            state.settle(1, mute=PARTIES[number])
        case "long":
            state.under_way.clear()
            state.now += LONG_MS
        case "done":
            one = state.executors[number]
            for episode in list(one.episodes.values()):
                one.give_back(state.now, episode.bar.node, "done")
                one.vouch(episode.bar.node)
        case "restart-x":
            state.restarts += 1
            state.executors[number] = state.executor(number)
        case "twin":
            state.restarts += 1
            state.executors.append(state.executor(number))
        case "restart-s":
            state.schedulers[number] = state.scheduler(number)
            state.restarts += 1


def wrong(state: Small) -> str:
    """What must not be; empty: nothing."""
    out = {node for s in state.schedulers for node in s.barred}
    if len(out) > POOLS[0].units:
        return f"{sorted(out)} are out"
    for one in state.executors:
        for episode in one.episodes.values():
            if one.is_safe(state.now, episode):
                for scheduler in state.schedulers:
                    if scheduler.grown and episode.bar.node not in scheduler.barred:
                        return f"{episode.bar.node} is called safe, and {scheduler.name} may send there"
    return ""


def key(state: Small) -> bytes:
    """What counts of a state, as bytes."""
    executors = [(e.life, e.ended, e.seq, e.account.sealed, sorted(e.account.bound.items()), [
        (p, x.life, x.had, x.forgot, x.given, x.taken, x.told) for p, x in e.account.pairs.items()],
        sorted((b, x.phase, x.seen, x.adopted, x.settling) for b, x in e.episodes.items()),
        sorted((n, x.life, x.seq, state.now - e.sent_at.get(x.seq, 0)) for n, x in e.echoes.items()),
        sorted((n, h.life, h.report.of, h.report.seq) for n, h in e.heard.items()),
        e.fence, state.now - e._ticked, state.now - e.sealed_at, sorted(e.account.wants))
        for e in state.executors]
    schedulers = [(s.life, s.grown, sorted(s.fences.items()), sorted(s.seqs.items()), sorted(s.bars),
                   sorted(s.over), sorted(s._answers, key=str), state.now - s._asked_at)
                  for s in state.schedulers]
    return repr((executors, schedulers, [(t, write(w)) for t, w in state.under_way])).encode()


def starts() -> Iterator[tuple[str, Small]]:
    """States in the midst of something, with words under way."""
    base = Small()
    base.schedulers = [base.scheduler(0), base.scheduler(1)]
    base.executors = [base.executor(0), base.executor(1)]
    for one in base.executors:
        one.held = True
    base.settle(30)
    assert all(e.ready for e in base.executors) and all(s.grown for s in base.schedulers)
    for one in base.executors:
        one.held = False
    begun = copy.deepcopy(base)
    begun.tick()
    yield "begun", begun
    for ticks in (1, 2, 3):
        state = copy.deepcopy(base)
        state.settle(ticks)
        state.tick()
        yield f"after {ticks}", state
    safe = copy.deepcopy(base)
    safe.settle(8)
    assert any(e.phase == "safe" for x in safe.executors for e in x.episodes.values())
    safe.tick()
    yield "safe", safe
    back = copy.deepcopy(safe)
    for number in range(2):
        act(back, ("done", number))
    back.tick()
    yield "returning", back
    handed = copy.deepcopy(back)
    handed.settle(3)
    handed.tick()
    yield "given on", handed
    twin = copy.deepcopy(safe)
    twin.executors.append(twin.executor(next(e.place for e in twin.executors if e.episodes)))
    twin.settle(2)
    twin.tick()
    yield "a second process", twin


def explore(start: Small, depth: int, first: Act | None) -> tuple[int, list[list[Act]]]:
    """How many steps were taken from there, and the ways to what must not be."""
    seen: set[bytes] = set()
    found: list[list[Act]] = []
    steps = 0
    stack: list[tuple[Small, list[Act]]] = [(start, [])]
    while stack and len(found) < 3:
        state, path = stack.pop()
        for what in acts(state):
            if not path and first is not None and what != first:
                continue
            after = copy.deepcopy(state)
            act(after, what)
            steps += 1
            if wrong(after):
                found.append([*path, what])
                continue
            if len(path) + 1 < depth and (name := key(after) + bytes([len(path)])) not in seen:
                seen.add(name)
                stack.append((after, [*path, what]))
    return steps, found


def _part(task: tuple[str, int, Act, str | None]) -> tuple[str, int, list[list[Act]]]:
    name, depth, first, fault = task
    start = dict(starts())[name]  # without the fault: it is to show from here on
    with planted(fault):
        steps, found = explore(start, depth, first)
    return name, steps, found


def explore_all(depth: int, fault: str | None = None, workers: int | None = None) -> dict[str, Any]:
    """All starts on all cores."""
    began = time.perf_counter()
    tasks = [(name, depth, first, fault) for name, start in starts() for first in acts(start)]
    steps: Counter[str] = Counter()
    found: list[tuple[str, list[Act]]] = []
    with ProcessPoolExecutor(workers or os.cpu_count()) as pool:
        for name, count, ways in pool.map(_part, tasks):
            steps[name] += count
            found += [(name, way) for way in ways]
    return {"depth": depth, "fault": fault, "steps": sum(steps.values()), "by_start": dict(steps),
            "found": len(found), "first": found[:3], "s": round(time.perf_counter() - began, 1)}


if __name__ == "__main__":
    print(json.dumps(explore_all(int(sys.argv[1]), sys.argv[2] if len(sys.argv) > 2 else None)))
