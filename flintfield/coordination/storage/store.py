"""The keyed store on a ring: memory, tickets, group commit, compaction, and recovery from write failures.

All code here runs in the thread of the event loop; the methods of the ring run as jobs of the sync thread,
one at a time. A commit round writes all pending changes as one frame, so a later value of a key replaces an
earlier one that was not yet written. If the changes exceed the maximum size of a frame, or the previous round
failed, the round writes a full snapshot instead.
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

from flintfield.coordination.storage.backoff import Backoff
from flintfield.coordination.storage.compaction import IncrementalSnapshot, content_bound, snapshot_threshold
from flintfield.coordination.storage.format import MAX_KEY_BYTES, FrameFlag, entry_bytes
from flintfield.coordination.storage.interface import Change, StorageClosed, StorageFailed, StorageFull
from flintfield.coordination.storage.ring import Ring
from flintfield.coordination.storage.sync_thread import Runner
from flintfield.coordination.storage.waiters import Waiters


logger = logging.getLogger(__name__)


class State(enum.Enum):
    """The state of the store's disk I/O."""

    IDLE = enum.auto()
    WRITING = enum.auto()
    RETRY_PAUSE = enum.auto()
    CLOSED = enum.auto()


@dataclass(slots=True)
class StoreCounters:
    """Counters since the open."""

    rounds: int = 0
    failed_rounds: int = 0
    whole_snapshots: int = 0
    compactions: int = 0
    refused_changes: int = 0


@dataclass(frozen=True, slots=True)
class StoreDependencies:
    """External dependencies of the store, which tests replace."""

    runner: Runner
    call_later: Callable[[float, Callable[[], None]], object]
    clock_s: Callable[[], float]
    random: random.Random


class RingStore:
    """A `KeyedStore` on a `Ring`. Created by `open_store`."""

    def __init__(
        self, ring: Ring, items: dict[bytes, bytes], fresh: bool, limit_bytes: int, deps: StoreDependencies
    ) -> None:
        self.fresh = fresh
        self.counters = StoreCounters()
        self.ring = ring
        self._items = items
        self._dependencies = deps
        self._max_live_bytes = content_bound(limit_bytes)
        self._limit_bytes = limit_bytes
        self._max_frame_bytes = ring.max_payload_bytes // 2  # leaves space for any one item
        self._live_bytes = sum(entry_bytes(key, value) for key, value in items.items())
        self._ticket = 0
        self._durable_ticket = -1 if ring.needs_rebase else 0
        self._pending: dict[bytes, bytes | None] = {}
        self._pending_bytes = 0
        self._needs_full_snapshot = ring.needs_rebase  # the next round writes a full snapshot
        self._snapshot: IncrementalSnapshot | None = None  # the running compaction
        self._state = State.IDLE
        self._start_scheduled = False
        self._spare_failed = False
        self._closing = False
        self._job_started_s = 0.0
        self._backoff = Backoff(deps.random)
        self._waiters = Waiters()
        self._not_writing = asyncio.Event()
        self._not_writing.set()

    @property
    def items(self) -> Mapping[bytes, bytes]:
        """All applied records, durable or not."""
        return self._items

    @property
    def durable_ticket(self) -> int:
        """The newest durable ticket; -1 while even the content found at the open is not durable."""
        return self._durable_ticket

    @property
    def state(self) -> State:
        """The state of the disk I/O."""
        return self._state

    def apply(self, changes: Sequence[Change]) -> int:
        """Apply each key's last change to memory; writes follow. Raises `StorageFull` or `StorageClosed`."""
        if self._state is State.CLOSED:
            raise StorageClosed("closed")
        merged = {key: value for key, value in dict(changes).items() if self._items.get(key) != value}
        if not merged:
            return self._ticket  # the previous ticket: no value changes, so no further write is needed
        growth = self._growth(merged)
        if growth > 0 and self._live_bytes + growth > self._max_live_bytes:
            self.counters.refused_changes += 1
            raise StorageFull(f"content limit: {self._live_bytes} of {self._max_live_bytes} bytes are in use")
        for key, value in merged.items():
            if value is None:
                self._items.pop(key, None)
            else:
                self._items[key] = value
        self._live_bytes += growth
        self._add_pending(merged)
        self._ticket += 1
        self._schedule()
        return self._ticket

    def replace(self, changes: Iterable[tuple[bytes, bytes]], keep: Callable[[bytes], bool]) -> int:
        """Delete keys for which `keep` is false, then apply `changes`; unchanged values aren't rewritten."""
        deletes: list[Change] = [(key, None) for key in self._items if not keep(key)]
        return self.apply([*deletes, *changes])

    async def durable(self, ticket: int) -> None:
        """Return once all changes up to `ticket` are on disk. Raises `StorageFailed`."""
        if ticket > self._ticket:
            raise ValueError(f"ticket {ticket} was never issued")
        if ticket <= self._durable_ticket:
            return
        if self._state is State.CLOSED:
            raise StorageClosed("closed")
        future = self._waiters.add(ticket)
        self._schedule()
        await future

    def stalled_ms(self, now_ms: float) -> float:
        """How long the current job has been running at `now_ms` of the monotonic clock; 0.0 if none is."""
        if self._state is not State.WRITING:
            return 0.0
        return max(0.0, now_ms - self._job_started_s * 1000.0)

    async def close(self) -> None:
        """Try once to write pending changes, then close the files; has no timeout if the disk hangs."""
        if self._closing:
            return
        self._closing = True
        with suppress(StorageFailed):
            await self.durable(self._ticket)
        while self._state is State.WRITING:
            await self._not_writing.wait()
        self._set_state(State.CLOSED)
        self._waiters.fail("closed")
        self.ring.close()
        self._dependencies.runner.stop()

    def _growth(self, merged: Mapping[bytes, bytes | None]) -> int:
        """Return the content's growth in bytes. Raises `StorageFull` for a record too large for a frame."""
        growth = 0
        for key, value in merged.items():
            if value is not None:
                size = entry_bytes(key, value)
                if size > self._max_frame_bytes or len(key) > MAX_KEY_BYTES:
                    self.counters.refused_changes += 1
                    raise StorageFull(
                        f"record or key too large: {size} bytes; at most {self._max_frame_bytes} fit"
                    )
                growth += size
            old = self._items.get(key)
            if old is not None:
                growth -= entry_bytes(key, old)
        return growth

    def _add_pending(self, merged: Mapping[bytes, bytes | None]) -> None:
        if self._needs_full_snapshot:
            return  # the full snapshot of the next round includes them
        for key, value in merged.items():
            if key in self._pending:
                self._pending_bytes -= entry_bytes(key, self._pending[key])
            self._pending[key] = value
            self._pending_bytes += entry_bytes(key, value)
        if self._pending_bytes > self._max_frame_bytes:
            self._request_full_snapshot()

    def _request_full_snapshot(self) -> None:
        """Make the next round write a full snapshot: atomic at any size; replaces the pending changes."""
        self._needs_full_snapshot = True
        self._pending = {}
        self._pending_bytes = 0
        self._snapshot = None

    def _schedule(self) -> None:
        """Start a round in the loop's next iteration, so that changes of this one are written together."""
        if self._start_scheduled or self._state is not State.IDLE:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return  # the loop isn't running yet; `durable` starts the round
        self._start_scheduled = True
        loop.call_soon(self._run_scheduled)

    def _run_scheduled(self) -> None:
        self._start_scheduled = False
        if self._state is State.IDLE:
            self._start_next_job()

    def _start_next_job(self) -> None:
        """Start the next job, if there is one."""
        if self._durable_ticket < self._ticket or self._needs_full_snapshot:
            job = self._full_snapshot_job() if self._needs_full_snapshot else self._append_job()
            self._submit(job, partial(self._round_done, self._ticket))
        elif self.ring.needs_spare() and not self._spare_failed and not self._closing:
            self._submit(self.ring.pool.prepare_spare, self._spare_step_done)

    def _submit(self, job: Callable[[], None], done: Callable[[Exception | None], None]) -> None:
        self._set_state(State.WRITING)
        self._job_started_s = self._dependencies.clock_s()
        self._dependencies.runner.submit(job, done)

    def _full_snapshot_job(self) -> Callable[[], None]:
        self._needs_full_snapshot = False
        self.counters.whole_snapshots += 1
        return partial(self.ring.rebase, list(self._items.items()))

    def _append_job(self) -> Callable[[], None]:
        """Return a job that appends the pending changes and a chunk of any running snapshot as one frame."""
        changes, size = self._pending, self._pending_bytes
        self._pending, self._pending_bytes = {}, 0
        threshold_bytes = snapshot_threshold(self._limit_bytes, self._live_bytes)
        starts_snapshot = self._snapshot is None and self.ring.chain_bytes >= threshold_bytes
        if starts_snapshot:
            self._snapshot = IncrementalSnapshot(self._items, self.ring.pool.segment_bytes)
        flags = FrameFlag.NONE
        entries: list[Change] = list(changes.items())
        if self._snapshot is not None:
            space = self.ring.max_payload_bytes if starts_snapshot else self.ring.free_payload_bytes
            chunk, chunk_bytes = self._snapshot.next_chunk(changes, size, space, self.ring.max_payload_bytes)
            entries += chunk
            size += chunk_bytes
            if self._snapshot.finished:
                self._snapshot = None
                flags = FrameFlag.SNAPSHOT_ENDS
                self.counters.compactions += 1
        return partial(self.ring.append, entries, size, flags, starts_snapshot)

    def _round_done(self, ticket: int, error: Exception | None) -> None:
        self.counters.rounds += 1
        if error is not None:
            self._round_failed(error)
            return
        if self._backoff.failing:
            logger.warning("storage: writes succeed again")
        self._backoff.record_success()
        self._spare_failed = False
        self._durable_ticket = max(self._durable_ticket, ticket)
        self._waiters.succeed(ticket)
        self._set_state(State.IDLE)
        self._start_next_job()

    def _round_failed(self, error: Exception) -> None:
        """Fail the waiting callers, and write a full snapshot into other files after a pause."""
        self.counters.failed_rounds += 1
        logger.warning("storage: a write or sync failed: %s", error)
        self._request_full_snapshot()
        self._set_state(State.RETRY_PAUSE)
        self._waiters.fail(str(error))
        self._dependencies.call_later(self._backoff.record_failure(), self._retry)

    def _retry(self) -> None:
        if self._state is State.RETRY_PAUSE:
            self._set_state(State.IDLE)
            self._start_next_job()

    def _spare_step_done(self, error: Exception | None) -> None:
        if error is not None:
            logger.warning("storage: no spare file: %s", error)
            self._spare_failed = True  # until the next successful round
        self._set_state(State.IDLE)
        self._start_next_job()

    def _set_state(self, state: State) -> None:
        """Set the state; it is changed nowhere else."""
        self._state = state
        if state is State.WRITING:
            self._not_writing.clear()
        else:
            self._not_writing.set()
