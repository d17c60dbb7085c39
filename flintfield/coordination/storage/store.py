"""The keyed store on a ring: memory, tickets, group commit, compaction, and healing after a failure.

Everything here runs in the event loop's thread; the ring's methods run as jobs of the sync thread, one at a
time. A round takes whatever is pending as one frame, so a later value of a key replaces an earlier one that
was not yet written. Compaction is a snapshot in pieces: each frame also carries some items as they are at
that moment, until all have been written again; then the files before the snapshot's start are free. The
order "pending changes and pieces in one frame" matters: a piece never shows a value whose own change is not
in the log.
"""

from __future__ import annotations

import asyncio
import enum
import logging
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass
from functools import partial

from flintfield.coordination.storage.format import LARGEST_KEY, FrameFlag, entry_bytes
from flintfield.coordination.storage.interface import Change, StorageFailed, StorageFull
from flintfield.coordination.storage.ring import MODEST_RING_BYTES, Ring
from flintfield.coordination.storage.sync_thread import Runner

LIVE_PART_OF_LIMIT = 8  # the content may take 1/8 of the limit: see "Space" in docs/system-storage.md
CHAIN_PER_LIVE = 2  # compact once the log is this many times the content ...
PIECE_PART_OF_SEGMENT = 32  # a piece of a snapshot: 32 KiB for files of 1 MiB, 0.3 ms at 120 MB/s
PIECE_PER_CHANGE = 2  # ... and at least this many times the changes beside it, so that it ends in time
FIRST_RETRY_S = 0.05  # after a failure; doubled up to the last, each with jitter
LAST_RETRY_S = 1.0
JITTER = 0.25  # part of the pause by which it varies

logger = logging.getLogger(__name__)


class State(enum.Enum):
    """What the store is doing with its disk."""

    IDLE = enum.auto()
    WRITING = enum.auto()
    RETRY_PAUSE = enum.auto()
    CLOSED = enum.auto()


@dataclass(slots=True)
class StoreCounters:
    """Since the open."""

    rounds: int = 0
    failed_rounds: int = 0
    compactions: int = 0
    refused_changes: int = 0


@dataclass(frozen=True, slots=True)
class Tools:
    """What the store takes from outside; tests give their own."""

    runner: Runner
    call_later: Callable[[float, Callable[[], None]], object]
    clock_s: Callable[[], float]
    random: random.Random


class RingStore:
    """A `KeyedStore` on a `Ring`. Made by `open_store`."""

    def __init__(self, ring: Ring, items: dict[bytes, bytes], fresh: bool, limit_bytes: int,
                 tools: Tools) -> None:
        self.fresh = fresh
        self.counters = StoreCounters()
        self.ring = ring
        self._items = items
        self._tools = tools
        self._most_live_bytes = limit_bytes // LIVE_PART_OF_LIMIT
        self._modest_bytes = min(limit_bytes // 2, MODEST_RING_BYTES)
        self._most_frame_bytes = ring.empty_room // 2  # beside it, one more item always fits
        self._live_bytes = sum(entry_bytes(key, value) for key, value in items.items())
        self._ticket = 0
        self._durable_ticket = -1 if ring.broken else 0
        self._pending: dict[bytes, bytes | None] = {}
        self._pending_bytes = 0
        self._whole = ring.broken  # the next round writes everything anew
        self._snapshot_keys: list[bytes] | None = None  # left to write of the snapshot under way
        self._state = State.IDLE
        self._wake_scheduled = False
        self._chores_refused = False
        self._closing = False
        self._started_s = 0.0
        self._retry_s = FIRST_RETRY_S
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._idle: asyncio.Event = asyncio.Event()
        self._idle.set()

    @property
    def items(self) -> Mapping[bytes, bytes]:
        """What was applied, durable or not."""
        return self._items

    @property
    def durable_ticket(self) -> int:
        """The newest ticket that is durable; -1 while not even what the open found is."""
        return self._durable_ticket

    @property
    def state(self) -> State:
        """What it is doing."""
        return self._state

    def apply(self, changes: Sequence[Change]) -> int:
        """Change memory at once; the disk follows. Raises `StorageFull`, and `StorageFailed` once closed."""
        if self._state is State.CLOSED:
            raise StorageFailed("closed")
        merged = dict(changes)
        growth = self._growth(merged)
        if growth > 0 and self._live_bytes + growth > self._most_live_bytes:
            self.counters.refused_changes += 1
            raise StorageFull(f"{self._live_bytes} of {self._most_live_bytes} bytes are in use")
        for key, value in merged.items():
            if value is None:
                self._items.pop(key, None)
            else:
                self._items[key] = value
        self._live_bytes += growth
        self._note_pending(merged)
        self._ticket += 1
        self._schedule()
        return self._ticket

    def replace(self, changes: Iterable[tuple[bytes, bytes]], keep: Callable[[bytes], bool]) -> int:
        """Drop every key for which `keep` is false, then put these; the unchanged is not written again."""
        wanted = dict(changes)
        merged: dict[bytes, bytes | None] = {}
        for key in self._items:
            if key not in wanted and not keep(key):
                merged[key] = None
        for key, value in wanted.items():
            if self._items.get(key) != value:
                merged[key] = value
        return self.apply(list(merged.items()))

    async def durable(self, ticket: int) -> None:
        """Return once everything up to the ticket is on disk. Raises `StorageFailed`."""
        if ticket > self._ticket:
            raise ValueError(f"ticket {ticket} was not given out")
        if ticket <= self._durable_ticket:
            return
        if self._state is State.CLOSED:
            raise StorageFailed("closed")
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append((ticket, future))
        self._schedule()
        await future

    def stalled_ms(self, now_ms: float) -> float:
        """For how long the disk has been at the round under way, by the steady clock (`time.monotonic`)."""
        if self._state is not State.WRITING:
            return 0.0
        return max(0.0, now_ms - self._started_s * 1000.0)

    async def close(self) -> None:
        """Write what is pending, once, and close the files."""
        if self._closing:
            return
        self._closing = True
        with suppress(StorageFailed):
            await self.durable(self._ticket)
        while self._state is State.WRITING:
            await self._idle.wait()
        self._enter(State.CLOSED)
        self._fail_waiters(StorageFailed("closed"))
        self.ring.close()
        self._tools.runner.stop()

    def _growth(self, merged: Mapping[bytes, bytes | None]) -> int:
        """By how many bytes the content grows. Raises `StorageFull` for a record that no frame could hold."""
        growth = 0
        for key, value in merged.items():
            if value is not None:
                size = entry_bytes(key, value)
                if size > self._most_frame_bytes or len(key) > LARGEST_KEY:
                    self.counters.refused_changes += 1
                    raise StorageFull(f"a record of {size} bytes; at most {self._most_frame_bytes} fit")
                growth += size
            old = self._items.get(key)
            if old is not None:
                growth -= entry_bytes(key, old)
        return growth

    def _note_pending(self, merged: Mapping[bytes, bytes | None]) -> None:
        if self._whole:
            return  # the next round writes everything anyway
        for key, value in merged.items():
            if key in self._pending:
                self._pending_bytes -= entry_bytes(key, self._pending[key])
            self._pending[key] = value
            self._pending_bytes += entry_bytes(key, value)
        if self._pending_bytes > self._most_frame_bytes:
            self._write_whole()

    def _write_whole(self) -> None:
        """Let the next round be a snapshot of everything: atomic at any size; replaces what is pending."""
        self._whole = True
        self._pending = {}
        self._pending_bytes = 0
        self._snapshot_keys = None

    def _schedule(self) -> None:
        """Begin a round in the loop's next turn, so that changes made in this one go out together."""
        if self._wake_scheduled or self._state is not State.IDLE:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return  # before the loop runs; `durable` begins it
        self._wake_scheduled = True
        loop.call_soon(self._wake)

    def _wake(self) -> None:
        self._wake_scheduled = False
        if self._state is State.IDLE:
            self._begin()

    def _begin(self) -> None:
        """Begin the next job, if there is anything to do."""
        if self._durable_ticket < self._ticket or self._whole:
            job = self._whole_round() if self._whole else self._next_frame()
            self._run(job, partial(self._round_ended, self._ticket))
        elif self.ring.wants_spare() and not self._chores_refused and not self._closing:
            self._run(self.ring.prepare_spare, self._chore_ended)

    def _run(self, job: Callable[[], None], done: Callable[[Exception | None], None]) -> None:
        self._enter(State.WRITING)
        self._started_s = self._tools.clock_s()
        self._tools.runner.submit(job, done)

    def _whole_round(self) -> Callable[[], None]:
        self._whole = False
        return partial(self.ring.rebase, list(self._items.items()))

    def _next_frame(self) -> Callable[[], None]:
        """The pending changes, with a piece of the snapshot if one is under way, as one frame."""
        changes, size = self._pending, self._pending_bytes
        self._pending, self._pending_bytes = {}, 0
        starts = self._snapshot_keys is None and self.ring.chain_bytes >= self._chain_bound()
        if starts:
            self._snapshot_keys = list(self._items)
        flags = FrameFlag.NONE
        entries: list[Change] = list(changes.items())
        if self._snapshot_keys is not None:
            piece, piece_bytes = self._next_piece(self._snapshot_keys, changes, size, starts)
            entries += piece
            size += piece_bytes
            if not self._snapshot_keys:
                self._snapshot_keys = None
                flags = FrameFlag.SNAPSHOT_ENDS
        return partial(self.ring.append, entries, size, flags, starts)

    def _chain_bound(self) -> int:
        return max(self._modest_bytes // 2, CHAIN_PER_LIVE * self._live_bytes)

    def _next_piece(self, keys: list[bytes], changes: Mapping[bytes, bytes | None], size: int,
                    starts: bool) -> tuple[list[Change], int]:
        """Take the next items of a snapshot off the keys that are left, as many as the frame should carry."""
        budget = max(self.ring.segment_bytes // PIECE_PART_OF_SEGMENT, PIECE_PER_CHANGE * size)
        room = self.ring.empty_room if starts else self.ring.room
        piece: list[Change] = []
        total = 0
        while keys:
            key = keys[-1]
            value = self._items.get(key)
            if value is not None and key not in changes:
                item_bytes = entry_bytes(key, value)
                if not piece and size + item_bytes > room:
                    room = self.ring.empty_room  # the frame goes into the next file
                if piece and (total + item_bytes > budget or size + total + item_bytes > room):
                    break
                piece.append((key, value))
                total += item_bytes
            keys.pop()
        return piece, total

    def _round_ended(self, ticket: int, error: Exception | None) -> None:
        self.counters.rounds += 1
        if error is not None:
            self._round_failed(error)
            return
        if self._retry_s != FIRST_RETRY_S:
            logger.warning("storage: writes succeed again")
        self._retry_s = FIRST_RETRY_S
        self._chores_refused = False
        self._durable_ticket = max(self._durable_ticket, ticket)
        waiting, self._waiters = self._waiters, []
        for wanted, future in waiting:
            if wanted > ticket:
                self._waiters.append((wanted, future))
            elif not future.done():
                future.set_result(None)
        self._enter(State.IDLE)
        self._begin()

    def _round_failed(self, error: Exception) -> None:
        """Tell who waits, then write everything anew, into other files, after a pause."""
        self.counters.failed_rounds += 1
        logger.warning("storage: a write or sync failed: %s", error)
        self._write_whole()
        pause = self._retry_s * self._tools.random.uniform(1 - JITTER, 1 + JITTER)
        self._retry_s = min(LAST_RETRY_S, self._retry_s * 2)
        self._enter(State.RETRY_PAUSE)
        self._fail_waiters(StorageFailed(str(error)))
        self._tools.call_later(pause, self._retry)

    def _retry(self) -> None:
        if self._state is State.RETRY_PAUSE:
            self._enter(State.IDLE)
            self._begin()

    def _chore_ended(self, error: Exception | None) -> None:
        if error is not None:
            logger.warning("storage: no spare file: %s", error)
            self._chores_refused = True  # until the next round that goes well
        self._enter(State.IDLE)
        self._begin()

    def _fail_waiters(self, error: StorageFailed) -> None:
        waiting, self._waiters = self._waiters, []
        for _, future in waiting:
            if not future.done():
                future.set_exception(error)

    def _enter(self, state: State) -> None:
        """The one place where the state changes."""
        self._state = state
        if state is State.WRITING:
            self._idle.clear()
        else:
            self._idle.set()
