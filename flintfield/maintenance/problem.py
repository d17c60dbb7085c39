"""What is to be planned, as arrays over grid steps, and a board on which tasks are put."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import numpy as np

from flintfield.escrow.interface import Units
from flintfield.maintenance.agreements import Book, Work
from flintfield.maintenance.windows import allowed, pieces, to_minutes

GRID = 5  # minutes: all begins lie on it, and lengths are counted in it, up
HORIZON_DAYS = 30
Bits = Any  # a numpy array of booleans, one for each grid step
Key = tuple[str, str]
"""A task: its work and its node."""


@dataclass(frozen=True, slots=True)
class Task:
    """One node of one work; times are grid steps from the plan's first minute."""

    work: str
    node: str
    steps: int
    units: Units
    latest: int  # it has to be over by then
    after: tuple[str, ...]
    apart: frozenset[str]

    @property
    def key(self) -> Key:
        """Names it."""
        return self.work, self.node


class Problem:
    """What is to be planned, as arrays over grid steps."""

    def __init__(self, book: Book, now: int, days: float = HORIZON_DAYS, done: Iterable[Key] = (),
                 lost: Iterable[str] = ()) -> None:
        """`now` is a Unix minute; `lost` nodes are missing to begin with, and take units from their pools."""
        self.book = book
        self.first = -(-now // GRID) * GRID
        self.steps = int(days * 24 * 60 / GRID)
        weights = book.weights()
        gone: Units = {}
        for missing in lost:
            for name, n in weights.get(missing, {}).items():
                gone[name] = gone.get(name, 0) + n
        self.units = {p.name: max(0, p.units - gone.get(p.name, 0)) for p in book.pools()}
        last = self.first + self.steps * GRID
        by_agreement = {a.name: self.bits(pieces(allowed(book, a, self.first, last)))
                        for a in book.agreements}
        self.open: dict[str, Bits] = {}  # by node
        out = set(done)
        self.tasks: list[Task] = []
        for work in book.works:
            for node in book.nodes_for(work):
                if (work.name, node.name) in out:
                    continue
                if node.name not in self.open:
                    free: Bits = np.ones(self.steps, dtype=bool)
                    for name in weights[node.name].keys() & by_agreement.keys():
                        free &= by_agreement[name]
                    self.open[node.name] = free
                self.tasks.append(Task(work.name, node.name, -(-work.minutes // GRID), weights[node.name],
                                       self._latest(book, work), tuple(work.after), self._apart(book, work)))

    def bits(self, spans: list[tuple[int, int]]) -> Bits:
        found = np.zeros(self.steps, dtype=bool)
        for begin, end in spans:
            found[-(-(begin - self.first) // GRID):max(0, (end - self.first) // GRID)] = True
        return found

    def _latest(self, book: Book, work: Work) -> int:
        if work.latest is None:
            return self.steps
        local = work.latest if work.latest.tzinfo else work.latest.replace(tzinfo=book.place())
        return min(self.steps, (to_minutes(local) - self.first) // GRID)

    def _apart(self, book: Book, work: Work) -> frozenset[str]:
        return frozenset(work.apart) | {w.name for w in book.works if work.name in w.apart}


class Board:
    """What is taken so far."""

    def __init__(self, problem: Problem) -> None:
        self.problem = problem
        self.used = {name: np.zeros(problem.steps, dtype=np.int32) for name in problem.units}
        self.busy: dict[str, list[tuple[int, int]]] = {}  # by node
        self.spans: dict[str, list[tuple[int, int]]] = {}  # by work
        self.begins: dict[Key, int] = {}

    def room(self, task: Task, but: str = "") -> Bits:
        """The steps at which the node may be out; `but`: without asking that pool."""
        free = self.problem.open[task.node].copy()
        for name, n in task.units.items():
            if name != but:
                free &= self.used[name] <= self.problem.units[name] - n
        for begin, end in self.busy.get(task.node, ()):
            free[begin:end] = False
        for work in task.apart:
            for begin, end in self.spans.get(work, ()):
                free[begin:end] = False
        free[max(0, task.latest):] = False
        return free

    def earliest(self, task: Task, free: Bits, since: int = 0) -> int | None:
        """The first step from which it may be out for as long as it takes."""
        since = max([since, *(end for work in task.after for _, end in self.spans.get(work, ()))])
        if since + task.steps > len(free):
            return None
        counted = np.concatenate(([0], np.cumsum(free)))
        whole = counted[since + task.steps:] - counted[since:len(counted) - task.steps] == task.steps
        place = int(np.argmax(whole))
        return since + place if whole[place] else None

    def put(self, task: Task, begin: int) -> None:
        """Take it."""
        end = begin + task.steps
        for name, n in task.units.items():
            self.used[name][begin:end] += n
        self.busy.setdefault(task.node, []).append((begin, end))
        self.spans.setdefault(task.work, []).append((begin, end))
        self.begins[task.key] = begin
