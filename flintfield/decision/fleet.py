"""The workers as they are known now, and the indices that find and count them without a walk.

Rules. The workers' own fields are the truth; whoever changes one calls `touch`. Everything else here is made
of them, by `assess` (the policy's word on one worker: what room it has, is it silent, may it be counted on,
and when does that change by the mere passing of time), and may be made anew from them at any time with the
same effect: that is what a restored checkpoint does.

Theory of operation.

- `ring` is the fleet in an order of our own; `near`, whom we deal with, is a prefix of it, and an event
  moves its end by a few places: an order statistic kept as counts on one side of a moving boundary. Whether
  a worker is near is a flag on it.
- What time alone changes (a rest that ends, a silence that begins, a cold worker that warms) stands in an
  agenda; `advance` touches those whose moment has come. Another one tells which near worker may be due for a
  probe.
- Each worker has a slot, the smallest that is free, by which arrays and trees name it.
- A touch appends the slot to a log. Tables of shares read on from where they stopped when they are next drawn
  from, so a table that is not used costs nothing.
- What needs a look at all near workers (`survey`) is asked for seldom, and taken at most once a price step.
"""

from __future__ import annotations

import bisect
import heapq
import math
import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from flintfield.decision.agenda import Agenda
from flintfield.decision.homes import Homes
from flintfield.decision.interface import Entry, State, WorkerId
from flintfield.decision.records import Worker
from flintfield.decision.shares import Fill, Order, Shares, able, goods_of, size_for, split

Assess = Callable[[Worker], tuple[float, bool, bool, bool, float]]
"""Of a worker: its room in slots (-inf where nothing may be sent), is it silent, may it be counted on for a
class's needs, may its price step, and when one of these changes though nothing is heard."""

USABLE, SILENT, ROOMY = 1, 2, 4  # bits of a near worker
UNUSED_MS = 5_000.0  # a table that was not drawn from for so long is dropped
MOST_TABLES = 256
FEW = 40  # workers of which all are looked at for each job: that is exact, and costs no more than a table
SOME_ROOM = 0.5  # slots from which on a worker counts as roomy


@dataclass(frozen=True, slots=True)
class Survey:
    """Of the near workers: what the least of each kind carries, in work a ms, the quickest's pace, and the
    slots of all that speak."""

    carries: dict[int, float]
    quickest: float
    slots: float


class Fleet:
    """All listed workers. `now` is set by whoever hands over an event, before anything else."""

    def __init__(self, assess: Assess, fill: Fill, kinds: Iterable[int | None]) -> None:
        self._assess, self._fill, self._kinds = assess, fill, tuple(dict.fromkeys(kinds))
        self.now = -math.inf
        self.workers: dict[WorkerId, Worker] = {}
        self.ring: list[Worker] = []  # all workers by rank
        self.cut = 0  # so many of them are near
        self.tables: dict[Order, Shares] = {}
        self._ranks: list[float] = []  # of the ring, for finding a place in it
        self._slots: list[Worker | None] = []
        self._size = 1  # of trees that have room for all slots
        self._free: list[int] = []  # slots below the end that are free, smallest first
        self._log: list[int] = []  # slots whose shares may have changed; the first is number `_start`
        self._start = 0
        self._floors: list[float] = []  # the rooms from which on tables take a worker, ascending
        self._wakes: Agenda[int] = Agenda()
        self._counts: Counter[Any] = Counter()  # near workers by bit, by kind if usable, by class if shunning
        self._fits: Counter[int] = Counter()  # listed workers by kind
        self._groups: dict[tuple[str, int], dict[int, Worker]] = {}  # by zone and by cell
        self._homes: dict[bool, Homes] = {}  # of the near, of all
        self._asks: Agenda[int] = Agenda()  # of near workers, by slot
        self._moving: set[int] = set()  # slots of near workers whose price may step
        self._unseen: list[Worker] = []  # that were listed since the last sizing-up
        self._survey: Survey | None = None  # of this price step, if it was taken

    # --------------------------------------------------------------- membership

    @property
    def near(self) -> list[Worker]:
        """The start of the ring, whom we deal with."""
        return self.ring[:self.cut]

    def take_list(self, entries: Iterable[Entry], whole: bool,
                  meet: Callable[[Entry], Worker]) -> Iterator[tuple[Worker, Entry]]:
        """Take in a list, the whole of it or changes; `meet` makes a worker that was not listed.

        Gives each worker of which the list says something else now, with what it said before; they are to be
        touched, and `size_up` is to follow.
        """
        if whole:
            entries = list(entries)
            named = {e.worker for e in entries}
            for gone in [w for w in self.workers if w not in named]:
                self._remove(gone)
        for entry in entries:
            worker = self.workers.get(entry.worker)
            if entry.state is State.GONE:
                self._remove(entry.worker)
            elif worker is None:
                self._add(meet(entry))
            elif entry != worker.entry:
                before = worker.entry
                self._count(worker, 0, ())
                self._ungroup(worker)
                worker.entry = entry
                self._group(worker, entry)
                yield worker, before

    def _add(self, worker: Worker) -> None:
        worker.slot = heapq.heappop(self._free) if self._free else len(self._slots)
        if worker.slot == len(self._slots):
            self._slots.append(None)
            self._size = size_for(len(self._slots))
        self._slots[worker.slot] = worker
        self.workers[worker.entry.worker] = worker
        at = bisect.bisect_right(self._ranks, worker.rank)
        self._ranks.insert(at, worker.rank)
        self.ring.insert(at, worker)
        worker.near = at < self.cut
        self.cut += worker.near
        self._group(worker, worker.entry)
        self._homes.clear()
        self._unseen.append(worker)

    def _remove(self, number: WorkerId) -> None:
        """Forget a worker that is not listed any more; attempts that are still out may go on naming it."""
        worker = self.workers.pop(number, None)
        if worker is None:
            return
        self._count(worker, 0, ())
        at = bisect.bisect_left(self._ranks, worker.rank)
        while self.ring[at] is not worker:
            at += 1
        del self.ring[at], self._ranks[at]
        self.cut -= worker.near
        self._ungroup(worker)
        self._slots[worker.slot] = None
        heapq.heappush(self._free, worker.slot)
        self._wakes.drop(worker.slot)
        self._asks.drop(worker.slot)
        self._moving.discard(worker.slot)
        self._note(worker.slot)
        self._homes.clear()
        worker.slot, worker.near = -1, False

    def _group(self, worker: Worker, entry: Entry) -> None:
        self._fits[entry.kind] += entry.state is State.READY
        for group in (("zone", entry.zone), ("cell", entry.cell)):
            self._groups.setdefault(group, {})[worker.slot] = worker

    def _ungroup(self, worker: Worker) -> None:
        entry = worker.entry
        self._fits[entry.kind] -= entry.state is State.READY
        for group in (("zone", entry.zone), ("cell", entry.cell)):
            del self._groups[group][worker.slot]
            if not self._groups[group]:
                del self._groups[group]

    def group(self, group: tuple[str, int]) -> Iterable[Worker]:
        """The workers of a `zone` or a `cell`."""
        return self._groups.get(group, {}).values()

    def ready(self, kind: int | None) -> int:
        """How many listed workers of that kind, or of all, are ready."""
        return self._fits.total() if kind is None else self._fits[kind]

    def size_up(self, enough: int) -> None:
        """Near: the shortest start of the ring with so many usable workers for each kind that is needed."""
        before, unseen, self._unseen = self.cut, self._unseen, []
        for worker in unseen:
            if worker.near:
                self.touch(worker)
        while self.cut < len(self.ring) and self._lacks(enough):
            self._move(self.ring[self.cut], True)
        while self.cut > 0 and self._spare(self.ring[self.cut - 1], enough):
            self._move(self.ring[self.cut - 1], False)
        if self.cut != before:
            self._homes.clear()
        for worker in unseen:
            if not worker.near:
                self.touch(worker)
        self._survey = None

    def _lacks(self, enough: int, without: tuple[int | None, ...] = ()) -> bool:
        """Whether some needed kind has too few usable workers near, or would have with one less of these."""
        for kind in self._kinds:
            usable = self._counts[USABLE if kind is None else ("kind", kind)]
            if usable - (kind in without) < enough:
                return True
        return False

    def _spare(self, last: Worker, enough: int) -> bool:
        """Whether all kinds have enough usable workers without the last one."""
        return not self._lacks(enough, (None, last.entry.kind) if last.bits & USABLE else ())

    def rerank(self, ranks: Mapping[WorkerId, float]) -> None:
        """These workers stand elsewhere in our order from now on; `size_up` is to follow. O(n log n)."""
        for number, rank in ranks.items():
            self.workers[number].rank = rank
        self.ring.sort(key=lambda w: w.rank)
        self._ranks = [w.rank for w in self.ring]
        for place, worker in enumerate(self.ring):
            if worker.near is not (place < self.cut):
                worker.near = place < self.cut
                self.touch(worker, True)
        self._homes.clear()

    def reach(self, count: int) -> None:
        """So many of the ring's first are near at the least, until the next sizing-up."""
        while self.cut < min(count, len(self.ring)):
            self._move(self.ring[self.cut], True)
        self._homes.clear()

    def _move(self, worker: Worker, near: bool) -> None:
        worker.near = near
        self.cut += 1 if near else -1
        self.touch(worker, True)

    # ------------------------------------------------------------------- touches

    def touch(self, worker: Worker, rated: bool = False) -> None:
        """A worker's fields have changed, or time has. `rated`: its price or quality may be another."""
        slot, now, shuns, had = worker.slot, self.now, worker.shunned, worker.room
        if slot < 0:
            return
        room, silent, usable, moves, changes_at = self._assess(worker)
        worker.room = room
        if changes_at < math.inf:
            self._wakes.put(slot, changes_at if changes_at > now else math.nextafter(now, math.inf))
        elif slot in self._wakes.live:
            self._wakes.drop(slot)
        if shuns or worker.avoided:
            avoided = tuple([c for c, until in shuns.items() if now < until])
            rated, worker.avoided = rated or avoided != worker.avoided, avoided
        bits = 0
        if worker.near:
            bits = (usable and USABLE) | (silent and SILENT) | (room >= SOME_ROOM and ROOMY)
            if moves:
                self._moving.add(slot)
            if not worker.probing and slot not in self._asks.live:
                self._asks.put(slot, now)
        counted = worker.avoided if worker.near and not silent else ()
        if bits != worker.bits or counted != worker.counted:
            self._count(worker, bits, counted)
        if self._floors and (rated or (
                room != had and bisect.bisect(self._floors, room) != bisect.bisect(self._floors, had))):
            self._note(slot)

    def _count(self, worker: Worker, bits: int, shunning: tuple[int, ...]) -> None:
        counts, kind = self._counts, ("kind", worker.entry.kind)
        for bit in (USABLE, SILENT, ROOMY):
            counts[bit] += bool(bits & bit) - bool(worker.bits & bit)
        counts[kind] += bool(bits & USABLE) - bool(worker.bits & USABLE)
        for cls in worker.counted:
            counts["shuns", cls] -= 1
        for cls in shunning:
            counts["shuns", cls] += 1
        worker.bits, worker.counted = bits, shunning

    def _note(self, slot: int) -> None:
        if not self._floors:
            return  # nobody reads
        self._log.append(slot)
        if len(self._log) > 2 * len(self._slots) + 64:
            self._start += len(self._log)
            self._log.clear()

    def advance(self, now: float) -> None:
        """Time has come to `now`: touch whom that changes."""
        self.now = now
        if self._wakes.is_due(now):
            for slot in self._wakes.take_due(now):
                worker = self._slots[slot]
                if worker is not None:
                    self.touch(worker)

    def next_wake(self) -> float:
        """When time alone will change a worker; infinity if never."""
        at = self._wakes.next_at()
        return math.inf if at is None else at

    @property
    def roomy(self) -> int:
        """How many near workers have room for a job of one slot."""
        return self._counts[ROOMY]

    @property
    def silent(self) -> int:
        """How many near workers are silent."""
        return self._counts[SILENT]

    def willing(self, cls: int) -> bool:
        """Whether some near worker that is not silent does not shun that class."""
        return self.cut - self._counts[SILENT] > self._counts["shuns", cls]

    def survey(self, pace: Callable[[Worker], float]) -> Survey:
        """A look at all near workers, at most once a price step; `pace` is running time for a unit of
        cost."""
        if self._survey is None:
            carries, quickest, slots = dict[int, float](), math.inf, 0.0
            for worker in self.near:
                its_pace, kind = pace(worker), worker.entry.kind
                quickest = min(quickest, its_pace)
                if worker.most > 0:
                    carries[kind] = min(worker.most / its_pace, carries.get(kind, math.inf))
                if not worker.bits & SILENT:
                    slots += max(1.0, worker.most)
            self._survey = Survey(carries, quickest if quickest < math.inf else 1.0, slots)
        return self._survey

    # --------------------------------------------------------- at each price step

    def step_prices(self, prices: Callable[[list[Worker]], list[float]]) -> None:
        """Set the price of each near worker that may have another one; one that keeps its price rests till
        it is touched."""
        moving = [w for w in map(self._slots.__getitem__, sorted(self._moving)) if w is not None and w.near]
        self._moving.clear()
        for worker, price in zip(moving, prices(moving), strict=True):
            if price != worker.price:
                worker.price = price
                self._moving.add(worker.slot)
                self._note(worker.slot)

    def ask(self, worker: Worker, at: float) -> None:
        """A near worker may be due for a probe then: it is thought of at the first price step after."""
        if worker.near and not worker.probing:
            self._asks.put(worker.slot, at)

    def due_for_probe(self, due_from: Callable[[Worker], float], most: int) -> Iterator[Worker]:
        """Near workers after their moment, no more than so many, the longest overdue first; others stay due.

        What is given is to be marked as `probing`; it is thought of again when it is touched and is not.
        """
        for slot in self._asks.take_due(self.now) if most > 0 else ():
            worker = self._slots[slot]
            if worker is None or not worker.near or worker.probing or worker.barred:
                continue
            if self.now <= (due := due_from(worker)):
                self._asks.put(slot, math.nextafter(due, math.inf))
                continue
            yield worker
            most -= 1
            if most <= 0:
                break

    # -------------------------------------------------------------------- shares

    def draw(self, order: Order, allowed: Callable[[Worker], bool], generator: random.Random, pace: float,
             key: int = 0, group: tuple[str, int] | None = None) -> Worker | None:
        """A worker by its share among those that may take such a job and are allowed; None if there is none.

        Jobs of one `key` go alike as long as shares do. `group`: within that `zone` or `cell` alone, which
        `allowed` is to know as well. `pace` is of workers that were not measured.
        """
        if order[0] is False and self.cut == len(self.ring):
            order = (True, *order[1:])
        among = self._groups.get(group, {}).values() if group else None
        size = len(among) if among is not None else self.cut if order[0] else len(self.ring)
        pool: Iterable[Worker]
        if size > FEW:
            table = self._table(order, pace)
            worker = self._home(order[0]).find(key, table.tree.weight, allowed) if key else None
            if worker is not None:
                return worker
            worker, cut_short = table.draw(generator, self._slots, allowed)
            if not cut_short:
                return worker
            pool = [table.members[slot] for slot in sorted(table.members)]
        else:
            pool = among if among is not None else self.ring[:self.cut] if order[0] else self.ring
        ready = [w for w in able(order, pool) if allowed(w)]
        if len(ready) < 2:
            return ready[0] if ready else None
        _, eta = split(self._fill, order[2], goods_of(ready, pace))
        if key:
            weights = {w.slot: share for w, share in zip(ready, eta, strict=True)}
            worker = self._home(order[0]).find(key, lambda slot: weights.get(slot, 0.0), allowed)
            if worker is not None:
                return worker
        return generator.choices(ready, eta)[0]

    def _table(self, order: Order, pace: float) -> Shares:
        """The shares of a sort of job, as of now."""
        table = self.tables.get(order)
        if table is None:
            if len(self.tables) >= MOST_TABLES:
                self.tables.clear()
            table = self.tables[order] = Shares(order)
            self._floors = sorted({t.floor for t in self.tables.values()})
        table.used_at = self.now
        self._catch_up(table)
        if table.is_off(self.now):
            table.solve(self._fill, self.now, pace)
        return table

    def _scope(self, table: Shares) -> list[Worker]:
        return self.near if table.order[0] else self.ring

    def _catch_up(self, table: Shares) -> None:
        """Read on in the log; by a walk if that is shorter."""
        end = self._start + len(self._log)
        unread = end - table.seen
        if table.seen < self._start or unread > len(self._slots) // 2 + 8 or table.tree.size != self._size:
            table.walk(self._fill, self._scope(table), self._size)
        elif unread:
            table.update(self._fill, dict.fromkeys(self._log[table.seen - self._start:]), self._slots)
        table.seen = end

    def _home(self, near: bool) -> Homes:
        homes = self._homes.get(near)
        if homes is None:
            homes = self._homes[near] = Homes(self.near if near else self.ring)
        return homes

    def drop_unused(self) -> None:
        """Forget tables that nobody drew from of late."""
        if unused := [o for o, t in self.tables.items() if self.now - t.used_at > UNUSED_MS]:
            for order in unused:
                del self.tables[order]
            self._floors = sorted({t.floor for t in self.tables.values()})

    # ---------------------------------------------------------------- checkpoints

    def kept(self) -> Any:
        """What a checkpoint keeps: workers, the ring, its boundary, who is asked when, λ of each table."""
        survey = self._survey and (self._survey.carries, self._survey.quickest, self._survey.slots)
        tables = [(t.order, t.lam, t.mean, t.pace, t.solved, t.solved_at, t.used_at)
                  for t in self.tables.values()]
        return self.workers, self.ring, self.cut, self._asks.live, survey, tables

    def restore(self, kept: Any, now: float) -> None:
        """Go on from what was kept: everything else is made anew."""
        workers, self.ring, self.cut, asks, survey, tables = kept
        self.workers.update(workers)
        self.now = now
        self._asks.restore(asks, now)
        self._survey = Survey(*survey) if survey else None
        self._ranks = [w.rank for w in self.ring]
        self._slots = [None] * (1 + max((w.slot for w in self.ring), default=-1))
        for n, worker in enumerate(self.ring):
            worker.near, worker.room, worker.bits = n < self.cut, -math.inf, 0
            worker.counted = worker.avoided = ()
            self._slots[worker.slot] = worker
            self._group(worker, worker.entry)
        self._size = size_for(len(self._slots))
        self._free = [slot for slot, worker in enumerate(self._slots) if worker is None]
        for worker in self.ring:
            self.touch(worker)
        for order, lam, mean, pace, solved, solved_at, used_at in tables:
            table = self.tables[order] = Shares(order)
            table.lam, table.mean, table.pace = lam, mean, pace
            table.solved, table.solved_at, table.used_at = solved, solved_at, used_at
        self._floors = sorted({t.floor for t in self.tables.values()})
