"""When each node's work begins: plans that keep windows, agreements, order and dates.

Rules: a plan is a list of tasks (one node of one work) with their begin; no pool is over its units at any
minute of it, each task lies within its node's windows and before its date, works that come after come after,
works that must be apart do not overlap. What can't be placed says by which agreements.

Theory of operation. Serial generation: tasks are taken in an order, each begins as soon as everything allows
(Kolisch 1996, "Serial and parallel resource-constrained project scheduling methods revisited"). For the end
of the last task some order gives an optimum, whatever windows there are: of an optimal plan, taken in the
order of its begins, no task begins later. So up to `EXACT` tasks all orders are tried. Beyond, an order by
date and scarcity is improved by taking some tasks out and putting them in elsewhere (Ruiz, Stützle 2007, "A
simple and effective iterated greedy algorithm") until the time is up; how far that is from the best is told
as the gap to a bound (`bound_of`). A plan that is made anew keeps each begin that still holds.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from itertools import permutations

import numpy as np

from flintfield.maintenance.problem import GRID, Bits, Board, Key, Problem, Task
from flintfield.maintenance.windows import allowed, pieces

EXACT = 6  # tasks of which all orders are tried


@dataclass(frozen=True, slots=True)
class Unplaced:
    """A task without a place, and the agreements (or other limits) in the way."""

    task: Task
    why: str
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Plan:
    """Begins by task, in grid steps; `first` is the Unix minute of step 0."""

    first: int
    steps: int
    begins: Mapping[Key, int]
    tasks: Mapping[Key, Task]
    unplaced: tuple[Unplaced, ...] = ()
    bound: int = 0  # the last task can't end before
    moved: int = 0  # begins that an earlier plan had otherwise
    kept: int = 0

    @property
    def end(self) -> int:
        """When the last task is over."""
        return max((b + self.tasks[k].steps for k, b in self.begins.items()), default=0)

    @property
    def gap(self) -> float:
        """How much later it ends than it can at the best, at most, as a share."""
        return (self.end - self.bound) / self.bound if self.bound else 0.0

    def minute(self, key: Key) -> int:
        """The Unix minute at which a task begins."""
        return self.first + self.begins[key] * GRID


def _ordered(tasks: Iterable[Task]) -> list[Task]:
    """The same order, with what has to come first put first."""
    left = list(tasks)
    names = {t.work for t in left}
    found: list[Task] = []
    while left:
        waiting = {t.work for t in left}
        ready = [t for t in left if not any(a in waiting for a in t.after if a in names)]
        if not ready:
            return found + left  # a circle: the file's check refuses it
        found += ready
        taken = {t.key for t in ready}
        left = [t for t in left if t.key not in taken]
    return found


def _generate(problem: Problem, order: Iterable[Task], kept: Mapping[Key, int] | None = None) -> Board:
    """Put tasks on a board, one after the other; `kept` ones where they were, as far as that still holds,
    and before all others, so that one that has to move drives no other out."""
    board = Board(problem)
    tasks = _ordered(order)
    for task in sorted((t for t in tasks if kept and t.key in kept), key=lambda t: (kept or {})[t.key]):
        wish = (kept or {})[task.key]
        if any(t.work in task.after and t.key not in board.begins for t in tasks):
            continue  # what it comes after has to move, and may end later
        if board.earliest(task, board.room(task), wish) == wish:
            board.put(task, wish)
    missing: set[str] = set()  # works of which a task has no place: what comes after has none either
    for task in tasks:
        if task.key in board.begins:
            continue
        begin = None if missing & set(task.after) else board.earliest(task, board.room(task))
        if begin is None:
            missing.add(task.work)
        else:
            board.put(task, begin)
    return board


Cost = tuple[int, int, int]


def _cost(problem: Problem, board: Board) -> Cost:
    ends = [board.begins[t.key] + t.steps for t in problem.tasks if t.key in board.begins]
    return len(problem.tasks) - len(ends), max(ends, default=0), sum(ends)


def plan_for(problem: Problem, seconds: float = 5.0, seed: int = 0, before: Plan | None = None,
             clock: Callable[[], float] = time.monotonic) -> Plan:
    """The best plan found in that time; with `before`, one that changes as little of it as it can."""
    tasks = problem.tasks
    if before is not None:
        shift = (before.first - problem.first) // GRID
        kept = {key: begin + shift for key, begin in before.begins.items() if begin + shift >= 0}
        board = _generate(problem, tasks, kept)
        moved = sum(board.begins.get(key) != begin for key, begin in kept.items()
                    if any(t.key == key for t in tasks))
        return _told(problem, board, moved, len(kept) - moved)
    if len(tasks) <= EXACT:
        boards = (_generate(problem, order) for order in permutations(tasks))
        return _told(problem, min(boards, key=lambda b: _cost(problem, b)))
    until = clock() + seconds
    scarce = {t.key: int(problem.open[t.node].sum()) for t in tasks}
    order = sorted(tasks, key=lambda t: (t.latest, scarce[t.key], -t.steps * sum(t.units.values()), t.key))
    best, cost = _generate(problem, order), None
    cost = _cost(problem, best)
    rng = random.Random(seed)
    while clock() < until and cost[1] > bound_of(problem):
        other = list(order)
        out = [other.pop(rng.randrange(len(other))) for _ in range(max(2, len(tasks) // 50))]
        for task in out:
            other.insert(rng.randrange(len(other) + 1), task)
        board = _generate(problem, other)
        if (found := _cost(problem, board)) <= cost:
            order, best, cost = other, board, found
    return _told(problem, best)


def _told(problem: Problem, board: Board, moved: int = 0, kept: int = 0) -> Plan:
    unplaced = tuple(_why(problem, board, t) for t in problem.tasks if t.key not in board.begins)
    return Plan(problem.first, problem.steps, dict(board.begins), {t.key: t for t in problem.tasks}, unplaced,
                bound_of(problem), moved, kept)


def bound_of(problem: Problem) -> int:
    """A step before which the last task can't be over: each alone in its windows, and each pool's units."""
    empty, most = Board(problem), 0
    work: dict[str, int] = {}
    opens: dict[str, Bits] = {}
    for task in problem.tasks:
        begin = empty.earliest(task, empty.room(task))
        if begin is None:
            continue
        most = max(most, begin + task.steps)
        for name, n in task.units.items():
            work[name] = work.get(name, 0) + n * task.steps
            opens[name] = opens[name] | problem.open[task.node] if name in opens else problem.open[task.node]
    for name, needed in work.items():
        there = np.cumsum(opens[name]) * problem.units[name]
        place = int(np.searchsorted(there, needed))
        most = max(most, min(place + 1, problem.steps))
    return most


def _why(problem: Problem, board: Board, task: Task) -> Unplaced:
    heavy = tuple(n for n, units in task.units.items() if units > problem.units[n])
    if heavy:
        return Unplaced(task, "the node alone is more than may be missing", heavy)
    if any(work not in board.spans for work in task.after):
        return Unplaced(task, "what it has to come after has no place", tuple(task.after))
    alone = Board(problem)
    if alone.earliest(task, alone.room(task)) is None:
        return Unplaced(task, "no window is long enough before its date", _windows_in_way(problem, task))
    ways = tuple(n for n in task.units if board.earliest(task, board.room(task, but=n)) is not None)
    return Unplaced(task, "others are out all that time", ways or tuple(task.units))


def _windows_in_way(problem: Problem, task: Task) -> tuple[str, ...]:
    """Agreements without whose windows it would fit; a least set, by leaving out one after the other."""
    book = problem.book
    mine = [a for a in book.agreements if a.name in task.units]

    def fits(without: set[str]) -> bool:
        bits = np.ones(problem.steps, dtype=bool)
        for agreement in mine:
            if agreement.name not in without:
                bits &= problem.bits(pieces(allowed(book, agreement, problem.first,
                                                     problem.first + problem.steps * GRID)))
        bits[max(0, task.latest):] = False
        return Board(problem).earliest(task, bits) is not None

    in_way = {a.name for a in mine}
    if not fits(in_way):
        return ("its date",)
    for agreement in mine:
        if fits(in_way - {agreement.name}):
            in_way.discard(agreement.name)
    return tuple(sorted(in_way))


def peaks(plan: Plan, problem: Problem) -> dict[str, tuple[int, int]]:
    """By pool, the most units that are missing at once by the plan, and how many may."""
    board = Board(problem)
    for key, begin in plan.begins.items():
        board.put(plan.tasks[key], begin)
    return {name: (int(used.max(initial=0)), problem.units[name]) for name, used in board.used.items()}
