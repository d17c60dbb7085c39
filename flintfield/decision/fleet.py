"""Operations on the listed workers: price steps, probes, draws by share, checkpoints (roster.py keeps the
list and its indices).

A table of shares catches up with the roster's log of changes only when it is next drawn from, so an unused
table costs nothing.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from flintfield.decision.key_affinity import KeyAffinity
from flintfield.decision.records import Survey, Worker
from flintfield.decision.roster import SILENT, Roster
from flintfield.decision.shares import Order, Shares, eligible, prices_and_qualities, tree_size, split

TABLE_UNUSED_MS = 5_000.0  # a table that was not drawn from for this long is dropped
MAX_TABLES = 256
SMALL_FLEET = 40  # up to this many workers are all evaluated for each job: exact, and no dearer than a table


class Fleet(Roster):
    """The roster, and the selection of workers from it."""

    def survey(self, pace: Callable[[Worker], float]) -> Survey:
        """Totals over all near workers, computed at most once per price step; `pace` returns a worker's run
        time per unit of cost."""
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
        """Update the price of each near worker whose price may change; one whose price stays the same is
        skipped from then on until it is touched."""
        moving = [w for w in map(self._slots.__getitem__, sorted(self._price_changing))
                  if w is not None and w.near]
        self._price_changing.clear()
        for worker, price in zip(moving, prices(moving), strict=True):
            if price != worker.price:
                worker.price = price
                self._price_changing.add(worker.slot)
                self._log_change(worker.slot)

    def schedule_probe(self, worker: Worker, at: float) -> None:
        """Consider a near worker for a probe at the first price step after `at`."""
        if worker.near and not worker.probing:
            self._probe_times.put(worker.slot, at)

    def due_for_probe(self, due_from: Callable[[Worker], float], most: int) -> Iterator[Worker]:
        """Yield at most `most` near workers that are due for a probe, the longest overdue first.

        The others stay due. The caller marks each yielded worker as `probing`; it is considered again when it
        is touched while no longer `probing`.
        """
        for slot in self._probe_times.pop_all_due(self.now) if most > 0 else ():
            worker = self._slots[slot]
            if worker is None or not worker.near or worker.probing or worker.barred:
                continue
            if self.now <= (due := due_from(worker)):
                self._probe_times.put(slot, math.nextafter(due, math.inf))
                continue
            yield worker
            most -= 1
            if most <= 0:
                break

    # -------------------------------------------------------------------- shares

    def draw(self, order: Order, allowed: Callable[[Worker], bool], generator: random.Random, pace: float,
             key: int = 0, group: tuple[str, int] | None = None) -> Worker | None:
        """Draw a worker by its share among those that may take such a job and are allowed; None if none.

        Jobs with the same `key` go to the same worker as long as the shares stay the same. `group` restricts
        the draw to a `zone` or `cell`; `allowed` must check this too. `pace` is assumed for workers that were
        not measured.
        """
        if order[0] is False and self.cut == len(self.ring):
            order = (True, *order[1:])
        among = self._groups.get(group, {}).values() if group else None
        size = len(among) if among is not None else self.cut if order[0] else len(self.ring)
        pool: Iterable[Worker]
        if size > SMALL_FLEET:
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
        ready = [w for w in eligible(order, pool) if allowed(w)]
        if len(ready) < 2:
            return ready[0] if ready else None
        _, eta = split(self._fill, order[2], prices_and_qualities(ready, pace))
        if key:
            weights = {w.slot: share for w, share in zip(ready, eta, strict=True)}
            worker = self._home(order[0]).find(key, lambda slot: weights.get(slot, 0.0), allowed)
            if worker is not None:
                return worker
        return generator.choices(ready, eta)[0]

    def _table(self, order: Order, pace: float) -> Shares:
        """The table of shares for a kind of job, brought up to date."""
        table = self.tables.get(order)
        if table is None:
            if len(self.tables) >= MAX_TABLES:
                self.tables.clear()
            table = self.tables[order] = Shares(order)
            self._floors = sorted({t.floor for t in self.tables.values()})
        table.used_at = self.now
        self._catch_up(table)
        if table.is_outdated(self.now):
            table.solve(self._fill, self.now, pace)
        return table

    def _scope(self, table: Shares) -> list[Worker]:
        return self.near if table.order[0] else self.ring

    def _catch_up(self, table: Shares) -> None:
        """Apply the log entries since the last read, or rebuild the table if that is cheaper."""
        end = self._start + len(self._log)
        unread = end - table.seen
        if table.seen < self._start or unread > len(self._slots) // 2 + 8 or table.tree.size != self._size:
            table.rebuild(self._fill, self._scope(table), self._size)
        elif unread:
            table.update(self._fill, dict.fromkeys(self._log[table.seen - self._start:]), self._slots)
        table.seen = end

    def _home(self, near: bool) -> KeyAffinity:
        homes = self._homes.get(near)
        if homes is None:
            homes = self._homes[near] = KeyAffinity(self.near if near else self.ring)
        return homes

    def drop_unused(self) -> None:
        """Drop the tables that were not drawn from for `TABLE_UNUSED_MS`."""
        if unused := [o for o, t in self.tables.items() if self.now - t.used_at > TABLE_UNUSED_MS]:
            for order in unused:
                del self.tables[order]
            self._floors = sorted({t.floor for t in self.tables.values()})

    # ---------------------------------------------------------------- checkpoints

    def kept(self) -> Any:
        """The part that a checkpoint stores: workers, the ring and its boundary, probe times, λ by table."""
        survey = self._survey and (self._survey.carries, self._survey.quickest, self._survey.slots)
        tables = [(t.order, t.lam, t.mean, t.pace, t.solved, t.solved_at, t.used_at)
                  for t in self.tables.values()]
        return self.workers, self.ring, self.cut, self._probe_times.live, survey, tables

    def restore(self, kept: Any, now: float) -> None:
        """Restore what `kept` returned, and rebuild everything else from it."""
        workers, self.ring, self.cut, asks, survey, tables = kept
        self.workers.update(workers)
        self.now = now
        self._probe_times.restore(asks, now)
        self._survey = Survey(*survey) if survey else None
        self._ranks = [w.rank for w in self.ring]
        self._slots = [None] * (1 + max((w.slot for w in self.ring), default=-1))
        for n, worker in enumerate(self.ring):
            worker.near, worker.room, worker.bits = n < self.cut, -math.inf, 0
            worker.counted = worker.avoided = ()
            self._slots[worker.slot] = worker
            self._group(worker, worker.entry)
        self._size = tree_size(len(self._slots))
        self._free = [slot for slot, worker in enumerate(self._slots) if worker is None]
        for worker in self.ring:
            self.touch(worker)
        for order, lam, mean, pace, solved, solved_at, used_at in tables:
            table = self.tables[order] = Shares(order)
            table.lam, table.mean, table.pace = lam, mean, pace
            table.solved, table.solved_at, table.used_at = solved, solved_at, used_at
        self._floors = sorted({t.floor for t in self.tables.values()})
