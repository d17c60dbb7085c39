"""The engine: a store without threads. It carries out what `commit.py` asks for, and opens and closes.

Two may be at work in it at once: whoever commits (one at a time: `commit`, `tick`, `sync`, `close`), and
whoever does the chores of `compaction`. Readers need neither. Everything it does to a disk goes through the
`Folder` it is given, and time and chance come from outside, so a test plays it step by step on a simulated
disk.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from flintfield.store.batch import Committed, Done, Outcome, Pending, Settings
from flintfield.store.catalog import FULL, Catalog, Uncertain, create_store
from flintfield.store.clock import Clock, StoreClock
from flintfield.store.commit import (Broke, Commit, Cut, CutBack, Effect, End, Message, Now, Offered, Publish,
                                     Refuse, Roll, Rolled, Sync, Synced, Tick, Write, Written)
from flintfield.store.compaction import Compaction, Hints
from flintfield.store.errors import Failed, StoreFull
from flintfield.store.format import PUT, SEGMENT_HEAD
from flintfield.store.fs import File, Folder, Lock, read_at, write_at
from flintfield.store.garbage import pressure
from flintfield.store.hints import Roster
from flintfield.store.index import Index
from flintfield.store.manifest import LOCK, segment_name
from flintfield.store.reading import Reading
from flintfield.store.recover import Recovered, read_manifest, recover

SWEEP = 1_000  # keys looked at for their time at once

Answers = list[tuple[Done, Outcome]]
Deliver = Callable[[Answers], None]


class Opened(NamedTuple):
    """What opening found and did."""

    new: bool
    torn: int  # bytes cut off
    rewritten: int  # bytes of the tail that were written anew
    leftovers: int  # files removed
    hints_missing: int  # segments that were read instead


@dataclass
class Counters:
    """What the engine has done since it was opened."""

    batches: int = 0
    groups: int = 0
    syncs: int = 0
    rolls: int = 0
    written: int = 0  # bytes
    refused: int = 0


class Engine:
    """One open store. `clock` tells time; `new_number` gives a random number of 63 bits for a new store."""

    def __init__(self, folder: Folder, settings: Settings, clock: Clock, new_number: Callable[[], int]
                 ) -> None:
        """Open for writing. Raises `Locked`, `Damaged`, `NewerFormat`, `NotAStore`, OSError."""
        self.folder, self.settings, self._clock = folder, settings, clock
        self.writing = threading.RLock()  # held by whoever writes to the log
        self._lock: Lock = folder.lock(LOCK)
        try:
            manifest = read_manifest(folder)
            new = manifest is None
            if manifest is None:
                manifest = create_store(folder, new_number(), clock.wall())
            found = recover(folder, manifest)
            self.opened = Opened(new, found.torn, 0, len(found.leftovers), len(found.without_hint))
            self._start(found)
        except BaseException:
            self._lock.release()
            raise

    def _start(self, found: Recovered) -> None:
        manifest, settings = found.manifest, self.settings
        self._clear(found.leftovers)
        files = {segment: self.folder.open(segment_name(segment))
                 for segment in (*(sealed.segment for sealed in manifest.sealed), manifest.active)}
        self.opened = self.opened._replace(rewritten=_make_sure(files[manifest.active], found))
        self._zeroed = files[manifest.active].size()  # up to here the active segment has bytes
        time = StoreClock(self._clock, found.time)
        index = Index(settings.most_past)
        found.loader.finish(index, time.now())
        self.catalog = Catalog(self.folder, manifest, files)
        self.reading = Reading(self.catalog, index, time, threading.RLock())
        index.seq = found.seq
        self.log = Commit(settings, manifest.store, found.active, found.active.length, found.seq)
        self._roster = found.roster  # of the active segment
        self.hints = Hints(self.catalog, found.without_hint)
        self.compaction = Compaction(self.reading, settings, self.hints, self.sync)
        self.counters = Counters()

    def _clear(self, leftovers: Iterable[str]) -> None:
        """Remove what something unfinished left."""
        leftovers = list(leftovers)
        for name in leftovers:
            self.folder.remove(name)
        if leftovers:
            self.folder.sync()

    # --- writing

    def commit(self, batches: Sequence[Pending], deliver: Deliver) -> None:
        """Commit batches in their order; `deliver` gets their outcomes group by group."""
        with self.writing:
            refused = self._over_limit(batches)
            if refused:
                error = StoreFull(f"{self.settings.most_entries} entries are there at most")
                deliver([(batch.done, error) for batch in refused])
                away = set(map(id, refused))
                batches = [batch for batch in batches if id(batch) not in away]
            self._run(Offered(batches), deliver)

    def _over_limit(self, batches: Sequence[Pending]) -> list[Pending]:
        """Batches that could take the index beyond its limit; deletes alone never do."""
        room = self.settings.most_entries - self.reading.index.entries
        refused = []
        for batch in batches:
            if len(batch.operations) > room:
                place = self.reading.index.place
                room -= sum(operation.kind == PUT and place(operation.name, operation.key) is None
                            for operation in batch.operations)
                if room < 0:
                    refused.append(batch)
            else:
                room -= len(batch.operations)
        return refused

    def tick(self, deliver: Deliver) -> bool:
        """Sync what is due, drop what has expired; whether there is more to drop."""
        with self.writing:
            self._run(Tick(), deliver)
        reading = self.reading
        with reading.lock:
            return reading.index.sweep(reading.clock.now(), reading.seq, SWEEP) == SWEEP

    def sync(self) -> tuple[int, int]:
        """Make all that is written durable; up to where: segment and offset. Raises `Failed`."""
        with self.writing:
            log = self.log
            if log.failed:
                raise Failed(log.failed)
            if log.synced < log.end.offset:
                try:
                    self.catalog.files[log.tally.segment].sync()
                except OSError as error:
                    log.failed = str(error)
                    raise Failed(log.failed) from error
                self.counters.syncs += 1
                log.synced, log.due = log.end.offset, None
            return log.tally.segment, log.synced

    @property
    def due(self) -> int | None:
        """When `tick` must sync at the latest, by the monotonic clock in ms; None: nothing waits for it."""
        return None if self.log.failed else self.log.due

    def _run(self, message: Message, deliver: Deliver) -> None:
        waiting: deque[Message] = deque((message,))
        try:
            while waiting:
                now = Now(self.reading.clock.now(), self._clock.monotonic())
                for effect in self.log.step(waiting.popleft(), now):
                    reply = self._carry_out(effect, deliver)
                    if reply is not None:
                        waiting.append(reply)
        except BaseException as error:
            # Guards against callers that wait for ever, and a log of which nobody knows how far it was
            # written.
            for effect in self.log.abandon(f"interrupted by {type(error).__name__}: {error}"):
                self._carry_out(effect, deliver)
            raise

    def _carry_out(self, effect: Effect, deliver: Deliver) -> Message | None:
        try:
            match effect:
                case Publish():
                    deliver(self._publish(effect))
                    return None
                case Refuse(batches, error):
                    self.counters.refused += len(batches)
                    deliver([(batch.done, error) for batch in batches])
                    return None
                case Roll():
                    return self._roll(effect)
                case Write() | Sync() | Cut():
                    return self._file_work(effect)
        except Uncertain as error:
            return Broke(str(error), False)
        except OSError as error:
            full = error.errno in FULL and not isinstance(effect, Sync | Cut)
            return Broke(str(error), full)

    def _file_work(self, effect: Write | Sync | Cut) -> Message:
        file = self.catalog.files[self.log.tally.segment]
        match effect:
            case Write(offset, data):
                write_at(file, data, offset)
                self._zero_ahead(file, offset + len(data))
                self.counters.written += len(data)
                return Written()
            case Sync():
                file.sync()
                self.counters.syncs += 1
                return Synced()
            case Cut(offset):
                file.truncate(offset)
                file.sync()
                self._zeroed = offset
                return CutBack()

    def _zero_ahead(self, file: File, end: int) -> None:
        """Write zeros behind the log's end, for a sync of bytes that the file has already is the cheaper
        one."""
        if end <= self._zeroed:
            return
        self._zeroed = end
        size = min(self.settings.zero_ahead, self.settings.segment_bytes - end)
        if size > 0:
            try:
                write_at(file, bytes(size), end)
                self._zeroed = end + size
            except OSError:  # no room: what is left of it is worth more to the log itself
                file.truncate(end)

    def _roll(self, effect: Roll) -> Message:
        try:
            self._end_active(effect.sealed.length)
        except OSError as error:
            return Broke(str(error), False)  # whatever the reason: what was written may be gone
        new = self.catalog.roll(effect.sealed, self.reading.clock.now())
        self._zeroed = SEGMENT_HEAD
        self.hints.sealed(effect.sealed.segment, self._roster)
        self._roster = Roster()
        self.counters.rolls += 1
        return Rolled(new.segment, new.chain)

    def _end_active(self, length: int) -> None:
        """Sync the active segment without the zeros behind it."""
        file = self.catalog.files[self.log.tally.segment]
        if self._zeroed > length:
            file.truncate(length)
            self._zeroed = length
        file.sync()

    def _publish(self, effect: Publish) -> Answers:
        reading = self.reading
        with reading.lock:
            for entry in effect.entries:
                if entry.kind == PUT:
                    reading.index.put(entry, effect.segment)
                else:
                    reading.index.delete(entry.name, entry.key, entry.seq)
            reading.index.seq = effect.batches[-1][1]
        self._roster.add(effect.entries)
        self._roster.last = effect.last
        self.counters.groups += 1
        self.counters.batches += len(effect.batches)
        return [(batch.done, Committed(seq)) for batch, seq in effect.batches]

    # --- chores

    def chore(self, share: float | None = None) -> Iterator[None] | None:
        """Slices of what there is to do in the background now; None if nothing. Raises OSError,
        `StoreError`."""
        if self.log.failed:
            return None
        self._end_early()
        found = self.compaction.chore(share)
        return None if found is None else self._watch(found)

    def pressure(self) -> float:
        """How far compaction is behind, 0 to 1; 0 if it is off."""
        sealed, usages = self.catalog.manifest.sealed, self.reading.index.usage
        return pressure(sealed, usages, self.settings) if self.settings.compaction else 0.0

    def _watch(self, work: Iterator[None]) -> Iterator[None]:
        try:
            yield from work
        except Uncertain as error:
            self.log.failed = str(error)
            raise

    def _end_early(self) -> None:
        """Guards against a small store whose dead data lie in the active segment, where nothing can be
        freed."""
        length, usage = self.log.end.offset, self.reading.index.usage.get(self.log.tally.segment)
        live = (usage.bytes if usage else 0) + self.log.tally.heads
        if length >= self.settings.small_bytes and length - live > self.settings.garbage_share * length:
            with self.writing:
                self._run(End(), lambda answers: None)  # nobody is answered, for nothing is offered

    # --- the end

    def close(self) -> None:
        """Sync, write the hints that are missing, let the lock go. A failed store is left as it is.

        Raises OSError, `StoreError`; the lock is let go all the same.
        """
        try:
            if not self.log.failed:
                self.sync()
                sealed = self.log.sealed()
                self._end_active(sealed.length)
                self.compaction.write_hints(sealed, self._roster)
                self.catalog.switch(synced=sealed.length, seq=sealed.most_seq, time=self.reading.clock.now())
        finally:
            for file in self.catalog.files.values():
                file.close()
            self._lock.release()
            self.log.failed = self.log.failed or "closed"


def _make_sure(file: File, found: Recovered) -> int:
    """Cut off a torn tail, and write anew what may be in the page cache alone; how many bytes of that.

    Guards against a sync that failed before: the pages read back as they were written, and are never
    written again.
    """
    length, synced = found.active.length, min(found.synced, found.active.length)
    if not found.torn and synced == length:
        return 0
    tail = read_at(file, length - synced, synced)
    if found.torn:
        file.truncate(length)
    if tail:
        write_at(file, tail, synced)
    file.sync()
    return len(tail)
