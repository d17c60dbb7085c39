"""The listed workers, and the indices that find and count them without a full scan.

Rules. The workers' own fields are authoritative; a change of one must be followed by `touch`. Everything else
here is derived from them by `assess` (the policy's assessment of one worker: its room, whether it is silent,
whether it is usable, and when that changes without an event). It can be rebuilt from them at any time with
the same result, as a restored checkpoint does.

Theory of operation.

- `ring` is the fleet in an order specific to this dispatcher. `near`, the workers that it uses, is a prefix
  of the ring whose end an event moves by a few places: an order statistic kept as counts on one side of a
  moving boundary. A flag on each worker says whether it is near.
- Changes by time alone (a back-off that ends, a silence that begins, a cold worker that warms up) are
  scheduled in an agenda; `advance` touches the workers that are due. Another agenda holds when each near
  worker may be due for a probe.
- Each worker has a slot, the smallest free number, which is its index in arrays and trees.
- A touch that may change shares appends the slot to a log, which tables of shares read (fleet.py).
- Totals over all near workers (`survey`) are needed rarely, and computed at most once per price step.
"""

from __future__ import annotations

import bisect
import heapq
import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from flintfield.decision.time_queue import TimeQueue
from flintfield.decision.key_affinity import KeyAffinity
from flintfield.decision.interface import Entry, State, WorkerId
from flintfield.decision.records import Survey, Worker
from flintfield.decision.shares import Fill, Order, Shares, tree_size

Assess = Callable[[Worker], tuple[float, bool, bool, bool, float]]
"""Assesses a worker: its room in slots (-inf if nothing may be sent), whether it is silent, whether it is
usable for a class's needs, whether its price may change, and when one of these changes without an event."""

USABLE, SILENT, ROOMY = 1, 2, 4  # flag bits of a near worker
ROOMY_SLOTS = 0.5  # free slots from which a worker counts as roomy


class Roster:
    """All listed workers. The caller sets `now` (by `advance`) before it processes an event."""

    def __init__(self, assess: Assess, fill: Fill, kinds: Iterable[int | None]) -> None:
        self._assess, self._fill, self._kinds = assess, fill, tuple(dict.fromkeys(kinds))
        self.now = -math.inf
        self.workers: dict[WorkerId, Worker] = {}
        self.ring: list[Worker] = []  # all workers by rank
        self.cut = 0  # how many workers at the start of the ring are near
        self.tables: dict[Order, Shares] = {}
        self._ranks: list[float] = []  # ranks of the ring's workers, for bisection
        self._slots: list[Worker | None] = []
        self._size = 1  # size of a tree with room for all slots
        self._free: list[int] = []  # heap of free slots below the end of `_slots`
        self._log: list[int] = []  # slots whose shares may have changed; the first has number `_start`
        self._start = 0
        self._floors: list[float] = []  # minimum room of a worker for each table, ascending
        self._time_changes: TimeQueue[int] = TimeQueue()
        self._counts: Counter[Any] = Counter()  # near workers by bit, by kind if usable, by avoided class
        self._ready_by_kind: Counter[int] = Counter()  # ready workers by kind
        self._groups: dict[tuple[str, int], dict[int, Worker]] = {}  # by zone and by cell
        self._homes: dict[bool, KeyAffinity] = {}  # True: of the near workers, False: of all
        self._probe_times: TimeQueue[int] = TimeQueue()  # when near workers may be due for a probe, by slot
        self._price_changing: set[int] = set()  # slots of near workers whose price may change
        self._newly_listed: list[Worker] = []  # listed since the near set was last resized
        self._survey: Survey | None = None  # cached for this price step

    # --------------------------------------------------------------- membership

    @property
    def near(self) -> list[Worker]:
        """The workers that this dispatcher uses: the start of the ring."""
        return self.ring[:self.cut]

    def take_list(self, entries: Iterable[Entry], whole: bool,
                  make_worker: Callable[[Entry], Worker]) -> Iterator[tuple[Worker, Entry]]:
        """Apply a server list, complete or changes only; `make_worker` creates a worker that was not listed.

        Yields each worker whose entry changed, with its previous entry. The caller must touch these workers
        and then call `resize_near`.
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
                self._add(make_worker(entry))
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
            self._size = tree_size(len(self._slots))
        self._slots[worker.slot] = worker
        self.workers[worker.entry.worker] = worker
        at = bisect.bisect_right(self._ranks, worker.rank)
        self._ranks.insert(at, worker.rank)
        self.ring.insert(at, worker)
        worker.near = at < self.cut
        self.cut += worker.near
        self._group(worker, worker.entry)
        self._homes.clear()
        self._newly_listed.append(worker)

    def _remove(self, number: WorkerId) -> None:
        """Remove a worker that is no longer listed; running attempts may still refer to it."""
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
        self._time_changes.drop(worker.slot)
        self._probe_times.drop(worker.slot)
        self._price_changing.discard(worker.slot)
        self._log_change(worker.slot)
        self._homes.clear()
        worker.slot, worker.near = -1, False

    def _group(self, worker: Worker, entry: Entry) -> None:
        self._ready_by_kind[entry.kind] += entry.state is State.READY
        for group in (("zone", entry.zone), ("cell", entry.cell)):
            self._groups.setdefault(group, {})[worker.slot] = worker

    def _ungroup(self, worker: Worker) -> None:
        entry = worker.entry
        self._ready_by_kind[entry.kind] -= entry.state is State.READY
        for group in (("zone", entry.zone), ("cell", entry.cell)):
            del self._groups[group][worker.slot]
            if not self._groups[group]:
                del self._groups[group]

    def group(self, group: tuple[str, int]) -> Iterable[Worker]:
        """The workers of a `zone` or a `cell`."""
        return self._groups.get(group, {}).values()

    def ready(self, kind: int | None) -> int:
        """How many listed workers of that kind (None: of any kind) are ready."""
        return self._ready_by_kind.total() if kind is None else self._ready_by_kind[kind]

    def resize_near(self, enough: int) -> None:
        """Resize the near set to the shortest prefix of the ring with `enough` usable workers of each needed
        kind."""
        before, unseen, self._newly_listed = self.cut, self._newly_listed, []
        for worker in unseen:
            if worker.near:
                self.touch(worker)
        while self.cut < len(self.ring) and self._needs_more(enough):
            self._set_near(self.ring[self.cut], True)
        while self.cut > 0 and self._can_exclude(self.ring[self.cut - 1], enough):
            self._set_near(self.ring[self.cut - 1], False)
        if self.cut != before:
            self._homes.clear()
        for worker in unseen:
            if not worker.near:
                self.touch(worker)
        self._survey = None

    def _needs_more(self, enough: int, without: tuple[int | None, ...] = ()) -> bool:
        """Whether a needed kind has too few usable near workers, or would have with one fewer of each kind in
        `without`."""
        for kind in self._kinds:
            usable = self._counts[USABLE if kind is None else ("kind", kind)]
            if usable - (kind in without) < enough:
                return True
        return False

    def _can_exclude(self, last: Worker, enough: int) -> bool:
        """Whether each needed kind has enough usable near workers without the last one."""
        return not self._needs_more(enough, (None, last.entry.kind) if last.bits & USABLE else ())

    def rerank(self, ranks: Mapping[WorkerId, float]) -> None:
        """Change the ranks of these workers; the caller must then call `resize_near`. O(n log n)."""
        for number, rank in ranks.items():
            self.workers[number].rank = rank
        self.ring.sort(key=lambda w: w.rank)
        self._ranks = [w.rank for w in self.ring]
        for place, worker in enumerate(self.ring):
            if worker.near is not (place < self.cut):
                worker.near = place < self.cut
                self.touch(worker, True)
        self._homes.clear()

    def extend_near(self, count: int) -> None:
        """Make at least the first `count` workers of the ring near, until the next `resize_near`."""
        while self.cut < min(count, len(self.ring)):
            self._set_near(self.ring[self.cut], True)
        self._homes.clear()

    def _set_near(self, worker: Worker, near: bool) -> None:
        worker.near = near
        self.cut += 1 if near else -1
        self.touch(worker, True)

    # ------------------------------------------------------------------- touches

    def touch(self, worker: Worker, rated: bool = False) -> None:
        """Update the indices after a change of a worker's fields or of the time.

        `rated`: its price or quality may have changed.
        """
        slot, now, shuns, had = worker.slot, self.now, worker.shunned, worker.room
        if slot < 0:
            return
        room, silent, usable, moves, changes_at = self._assess(worker)
        worker.room = room
        if changes_at < math.inf:
            self._time_changes.put(slot, changes_at if changes_at > now else math.nextafter(now, math.inf))
        elif slot in self._time_changes.live:
            self._time_changes.drop(slot)
        if shuns or worker.avoided:
            avoided = tuple([c for c, until in shuns.items() if now < until])
            rated, worker.avoided = rated or avoided != worker.avoided, avoided
        bits = 0
        if worker.near:
            bits = (usable and USABLE) | (silent and SILENT) | (room >= ROOMY_SLOTS and ROOMY)
            if moves:
                self._price_changing.add(slot)
            if not worker.probing and slot not in self._probe_times.live:
                self._probe_times.put(slot, now)
        counted = worker.avoided if worker.near and not silent else ()
        if bits != worker.bits or counted != worker.counted:
            self._count(worker, bits, counted)
        if self._floors and (rated or (
                room != had and bisect.bisect(self._floors, room) != bisect.bisect(self._floors, had))):
            self._log_change(slot)

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

    def _log_change(self, slot: int) -> None:
        if not self._floors:
            return  # no table reads the log
        self._log.append(slot)
        if len(self._log) > 2 * len(self._slots) + 64:
            self._start += len(self._log)
            self._log.clear()

    def advance(self, now: float) -> None:
        """Set the time to `now`, and touch the workers that this changes."""
        self.now = now
        if self._time_changes.is_due(now):
            for slot in self._time_changes.pop_all_due(now):
                worker = self._slots[slot]
                if worker is not None:
                    self.touch(worker)

    def next_wake(self) -> float:
        """When the next worker changes by time alone; infinity if none does."""
        at = self._time_changes.next_at()
        return math.inf if at is None else at

    @property
    def roomy(self) -> int:
        """How many near workers have room for a job of one slot."""
        return self._counts[ROOMY]

    @property
    def silent(self) -> int:
        """How many near workers are silent."""
        return self._counts[SILENT]

    def is_any_willing(self, cls: int) -> bool:
        """Whether some near worker that is not silent is not avoided by that class."""
        return self.cut - self._counts[SILENT] > self._counts["shuns", cls]
