"""The store as a program uses it: the engine, a thread that commits, and one that does the chores.

Whoever hands in a batch puts it into a queue. A caller that waits for its batch commits it itself if nobody
else is writing (and what stands in the queue with it), so that one writer alone pays for no change of
threads; otherwise, and for callers that do not wait, the writer's thread does. Either way all that gathered
meanwhile is one commit.
"""

from __future__ import annotations

import os
import queue
import secrets
import threading
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from flintfield.store.batch import Batch, Committed, Done, Durability, Outcome, Pending, Settings
from flintfield.store.clock import Clock, SystemClock
from flintfield.store.engine import Answers, Engine, Opened
from flintfield.store.errors import Busy, Closed, StoreError
from flintfield.store.fs import Folder, RealFolder
from flintfield.store.reading import Reading

SLICE_S = 0.002  # chores work as long at once, then rest
CHECK_S = 0.2  # between two looks for chores
STALL_S = 0.02  # rest after each commit while compaction is as far behind as may be
SWEEP_S = 1.0  # between two looks for what has expired
PAUSE_S = 10.0  # after a chore that failed, as on a full disk


@dataclass(frozen=True)
class Stats:
    """What a store is and has done since it was opened. Bytes unless said otherwise."""

    entries: int
    segments: int
    disk: int  # segments' lengths
    live: int  # of it, what is alive
    kept_versions: int  # old versions held for snapshots, in entries
    snapshots: int
    waiting: int
    batches: int
    groups: int
    syncs: int
    written: int
    refused: int  # batches
    rolls: int
    compactions: int
    moved: int
    freed: int
    hints: int
    chores_failed: int
    chore_error: str | None  # of the last that failed
    callbacks_failed: int
    longest_chore_ms: float  # of one slice
    damage: tuple[str, ...]
    failed: str | None
    opened: Opened


class Store(Reading):
    """An open store. Any thread may use it; see `Reading` for how to read."""

    def __init__(self, engine: Engine) -> None:
        super().__init__(engine.catalog, engine.reading.index, engine.reading.clock, engine.reading.lock)
        self._engine = engine
        self._queue: deque[Pending] = deque()
        self._mutex = threading.Lock()  # guards the queue, its weight and `_closed`
        self._waiting = 0
        self._closed = False
        self._bell: queue.SimpleQueue[None] = queue.SimpleQueue()
        self._rung = False
        self._timed = False  # the writer's thread will wake up by itself
        self._changed = threading.Event()  # something was committed since chores were last looked for
        self._ending = threading.Event()
        self._teller = 0  # the thread that is telling callers of their outcomes
        self._chores_failed = self._callbacks_failed = 0
        self._chore_error: str | None = None
        self._longest_s = 0.0
        self._pressure = 0.0  # how far compaction is behind
        self._threads = [threading.Thread(target=self._write_on, name="store-writer", daemon=True)]
        if engine.settings.compaction:
            self._threads.append(threading.Thread(target=self._do_chores, name="store-chores", daemon=True))
        for thread in self._threads:
            thread.start()
        self._changed.set()

    # --- writing

    def write(self, batch: Batch, durability: Durability) -> int:
        """Commit a batch; its sequence number. Raises any `StoreError` that an outcome may be, and
        `submit`'s."""
        if self._teller == threading.get_ident():
            raise RuntimeError("write within a callback of the store would wait for itself; submit instead")
        waiter = _Waiter()
        self._put(batch, durability, waiter.tell)
        if self._engine.writing.acquire(blocking=False):
            try:
                self._commit()
            finally:
                self._engine.writing.release()
            # Guards against a batch that came while this thread was writing, and so found the lock taken; and
            # against a writer's thread that sleeps although something is due now.
            if self._queue or (not self._timed and self._until_tick() is not None):
                self._ring()
        else:
            self._ring()
        outcome = waiter.wait()
        if isinstance(outcome, StoreError):
            raise outcome
        return outcome.seq

    def submit(self, batch: Batch, durability: Durability, done: Done) -> None:
        """Hand a batch in without waiting; `done` hears of its outcome, in a thread of the store.

        `done` must be short and must not raise. Raises `Busy`, `Closed`.
        """
        self._put(batch, durability, done)
        self._ring()

    def _put(self, batch: Batch, durability: Durability, done: Done) -> None:
        if not len(batch):
            raise ValueError("a batch without changes")
        pending = Pending(batch.operations, batch.size, durability, done)
        with self._mutex:
            if self._closed:
                raise Closed("the store is closed")
            if self._waiting + pending.size > self._engine.settings.waiting_bytes and self._queue:
                raise Busy(f"{self._waiting} bytes wait to be written")
            self._queue.append(pending)
            self._waiting += pending.size

    def _ring(self) -> None:
        if not self._rung:
            self._rung = True
            self._bell.put(None)

    def _commit(self) -> bool:
        """Commit all that waits; whether there was any. The engine's `writing` is held."""
        with self._mutex:
            batches = list(self._queue)
            self._queue.clear()
            self._waiting = 0
        if batches:
            self._engine.commit(batches, self._deliver)
            if self._pressure:
                # Guards against dead data that is made faster than it is freed: the disk is bounded.
                time.sleep(self._pressure * STALL_S)
            if not self._changed.is_set():
                self._changed.set()
        return bool(batches)

    def _deliver(self, answers: Answers) -> None:
        self._teller = threading.get_ident()
        for done, outcome in answers:
            try:
                done(outcome)
            except Exception:  # guards the other callers against one whose callback is broken
                self._callbacks_failed += 1
        self._teller = 0

    def _write_on(self) -> None:
        while not self._ending.is_set():
            self._timed = False  # before looking: who makes something due after this rings the bell
            until = self._until_tick()
            self._timed = until is not None
            # Whatever goes wrong, the callers are told, and so are those that come after.
            with suppress(Exception):
                try:
                    self._bell.get(timeout=until)
                except queue.Empty:
                    while self._engine.tick(self._deliver):
                        pass
                    continue
                self._rung = False
                with self._engine.writing:
                    while self._commit():
                        pass

    def _until_tick(self) -> float | None:
        """Seconds until something is due; None: nothing is."""
        due = self._engine.due
        if due is not None:
            return max(0.0, due / 1_000 - time.monotonic())
        return SWEEP_S if any(space.expires for space in list(self.index.spaces.values())) else None

    # --- chores

    def _do_chores(self) -> None:
        while not self._ending.is_set():
            self._changed.wait()
            self._changed.clear()
            try:
                while not self._ending.is_set() and self._one_chore():
                    pass
            except Exception as error:  # a full disk, or whatever else: the store goes on without
                self._chores_failed += 1
                self._chore_error = f"{type(error).__name__}: {error}"
                self._ending.wait(PAUSE_S)
                self._changed.set()
            self._ending.wait(CHECK_S)

    def _one_chore(self) -> bool:
        """Do one chore in slices; whether there was one."""
        chore = self._engine.chore()
        self._pressure = self._engine.pressure()
        if chore is None:
            return False
        worked = 0.0
        begin = time.thread_time()  # without what others took: how long they may have waited for this slice
        for _ in chore:
            took = time.thread_time() - begin
            worked += took
            self._longest_s = max(self._longest_s, took)
            if self._ending.is_set():
                break
            if worked >= SLICE_S:
                self._pressure = self._engine.pressure()
                share = self._engine.settings.compaction_share
                share += (1 - share) * self._pressure
                time.sleep(worked * (1 - share) / share)
                worked = 0.0
            begin = time.thread_time()
        return True

    def compact(self, share: float = 0.0) -> None:
        """Do all chores now, in this thread, until no more than this share is dead.

        Only with `Settings.compaction` off, or two would do them at once. Raises OSError, `StoreError`.
        """
        if self._engine.settings.compaction:
            raise RuntimeError("a thread of this store does its chores")
        while (chore := self._engine.chore(share)) is not None:
            for _ in chore:
                pass

    # --- the end

    def close(self) -> None:
        """Commit what waits, sync, write hints, let the lock go. Raises OSError, `StoreError`. Twice is
        once."""
        with self._mutex:
            if self._closed:
                return
            self._closed = True
        self._ending.set()
        self._changed.set()
        self._bell.put(None)
        for thread in self._threads:
            thread.join()
        with self._engine.writing:
            self._commit()
        self._engine.close()

    def stats(self) -> Stats:
        """The counters."""
        engine, index = self._engine, self.index
        figures, counters = engine.compaction.figures, engine.counters
        sealed = engine.catalog.manifest.sealed
        return Stats(
            entries=index.entries, segments=len(sealed) + 1,
            disk=sum(one.length for one in sealed) + engine.log.end.offset,
            live=sum(usage.bytes for usage in list(index.usage.values())), kept_versions=index.kept,
            snapshots=len(index.views), waiting=self._waiting, batches=counters.batches,
            groups=counters.groups, syncs=counters.syncs, written=counters.written, refused=counters.refused,
            rolls=counters.rolls, compactions=figures.compactions, moved=figures.moved, freed=figures.freed,
            hints=engine.hints.written, chores_failed=self._chores_failed, chore_error=self._chore_error,
            callbacks_failed=self._callbacks_failed,
            longest_chore_ms=self._longest_s * 1_000, damage=tuple(map(str, figures.damage)),
            failed=engine.log.failed, opened=engine.opened)


class _Waiter:
    """Waits for one outcome. A bare lock: an Event costs several times as much."""

    __slots__ = ("_lock", "_outcome")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._lock.acquire()
        self._outcome: Outcome = Committed(0)

    def tell(self, outcome: Outcome) -> None:
        self._outcome = outcome
        self._lock.release()

    def wait(self) -> Outcome:
        with self._lock:
            return self._outcome


def open_store(path: str | Path, settings: Settings | None = None, *, clock: Clock | None = None,
               new_number: Callable[[], int] = lambda: secrets.randbits(63)) -> Store:
    """Open a store for writing, or make one; the folder is made if need be. Blocks; see docs/store.md for
    how long.

    Raises `Locked`, `Damaged` (then `repair` helps), `NewerFormat`, `NotAStore`, OSError.
    """
    return Store(Engine(_folder(Path(path)), settings or Settings(), clock or SystemClock(), new_number))


def _folder(path: Path) -> Folder:
    if not path.is_dir():
        path.mkdir(parents=True, exist_ok=True)
        # Guards against a store whose folder a power cut takes away.
        descriptor = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
    return RealFolder(path)
