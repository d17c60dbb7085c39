"""Group commit: which bytes go where, when they are synced and who is told. A pure core.

Rules: `Commit.step` does no I/O and reads no clock. It is given what was offered and what became of the
effects it asked for, and answers with effects; at most the last of them asks for I/O, and nothing goes on
before that is told of as `Written`, `Synced`, `Rolled`, `CutBack` or `Broke`.

Theory of operation. Batches wait in the order they came. A group is as many of them as the limits allow; it
is written with one write, synced once if any of them must be on disk before it is acknowledged (group
commit, as in DeWitt et al., "Implementation Techniques for Main Memory Database Systems", SIGMOD 1984), and
only then published: readers see a batch and its caller hears of it at that moment, in the order of the log.
While a group is being synced the next one gathers, so many writers share a sync without waiting on purpose.

    idle ──offered──▶ writing ──written──▶ syncing ──synced──▶ published ──▶ idle, or the next group └─
    segment full ─▶ rolling ──rolled──▶ writing            (syncing is skipped if nobody waits for the disk)

What breaks:
- No room for a write: what the write left behind is cut off, and the cut is synced before anyone is told,
  for the bytes may be a whole frame that would come back after a crash. Then the group's callers hear
  `DiskFull`.
- Any other error, and every error of a sync: the store has failed. What the disk holds is unknown from here
  on (after a failed fsync Linux marks the pages clean: Rebello et al., "Can Applications Recover from fsync
  Failures?", ATC 2020), so nothing is acknowledged until recovery has read the log again and written its
  tail anew.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from flintfield.store.batch import Pending, Settings
from flintfield.store.errors import DiskFull, Failed, StoreError
from flintfield.store.format import (BATCH, DELETE, ENTRY_HEAD, FRAME_HEAD, LOG, SEGMENT_HEAD, Entry,
                                     Operation, encode_entry, encode_frame, salt_of)
from flintfield.store.manifest import Sealed

# --- messages


class Now(NamedTuple):
    """The store's clock and the monotonic one, in ms."""

    time: int
    monotonic: int


class Offered(NamedTuple):
    """Batches that callers hand in."""

    batches: Sequence[Pending]


class Tick(NamedTuple):
    """Time has passed; a sync may be due."""


class End(NamedTuple):
    """The active segment is to end here, for it is mostly dead."""


class Written(NamedTuple):
    """`Write` is done."""


class Synced(NamedTuple):
    """`Sync` is done."""


class Rolled(NamedTuple):
    """`Roll` is done: batches go to this segment, whose header has this `crc`."""

    segment: int
    chain: int


class CutBack(NamedTuple):
    """`Cut` is done, and durable."""


class Broke(NamedTuple):
    """The last effect was not done. `full`: for want of room, and before anything had changed for good."""

    why: str
    full: bool


Message = Offered | Tick | End | Written | Synced | Rolled | CutBack | Broke

# --- effects


class Write(NamedTuple):
    """Write to the active segment."""

    offset: int
    data: bytes


class Sync(NamedTuple):
    """Sync the active segment."""


class Roll(NamedTuple):
    """Sync and seal the active segment, begin the next."""

    sealed: Sealed


class Cut(NamedTuple):
    """Cut the active segment to this length and sync it."""

    offset: int


class Publish(NamedTuple):
    """Let readers see these entries, then tell the batches' callers; (batch, its sequence number)."""

    segment: int
    entries: list[Entry]
    batches: list[tuple[Pending, int]]
    last: int  # where the last batch's frame begins


class Refuse(NamedTuple):
    """Tell the batches' callers that they are not there."""

    batches: list[Pending]
    error: StoreError


Effect = Write | Sync | Roll | Cut | Publish | Refuse


class Point(NamedTuple):
    """An end of the log: bytes written to the active segment, chain and last sequence number."""

    offset: int
    chain: int
    seq: int


class _Group(NamedTuple):
    """What is being written."""

    batches: list[tuple[Pending, int]]
    entries: list[Entry]
    end: Point
    last: int


class Commit:
    """The log's end and what is on its way to it."""

    def __init__(self, settings: Settings, store: int, active: Sealed, synced: int, seq: int) -> None:
        """`active` describes the segment to go on with as if it were sealed at its present length; `seq` is
        used."""
        self._settings, self._store = settings, store
        self.tally = active  # of the active segment, without what is being written
        self.synced = synced
        self.end = Point(active.length, active.chain, seq)
        self.failed: str | None = None
        self.due: int | None = None  # when to sync at the latest, by the monotonic clock
        self._salt = salt_of(store, active.segment)
        self._waiting: deque[Pending] = deque()
        self._group: _Group | None = None
        self._asked: Effect | None = None

    def step(self, message: Message, now: Now) -> list[Effect]:
        """What follows from a message."""
        match message:
            case Offered(batches):
                self._waiting.extend(batches)
                return [] if self._asked else self._go_on(now)
            case Tick():
                overdue = self.due is not None and now.monotonic >= self.due and not self.failed
                return [] if self._asked or not overdue else self._ask(Sync())
            case End():
                idle = not self._asked and not self.failed and self.end.offset > SEGMENT_HEAD
                return self._ask(Roll(self.sealed())) if idle else []
            case Written():
                self._asked = None
                assert self._group
                wait = any(batch.durability.wait for batch, _ in self._group.batches)
                return self._ask(Sync()) if wait else self._publish(now)
            case Synced():
                self._asked, self.due = None, None
                self.synced = self._group.end.offset if self._group else self.end.offset
                return self._publish(now) if self._group else self._go_on(now)
            case Rolled(segment, chain):
                self._begin(segment, chain)
                return self._go_on(now)
            case CutBack():
                self._asked = None
                return [*self._refuse_group(DiskFull("no room on the disk")), *self._go_on(now)]
            case Broke(why, full):
                return self._broke(why, full, now)

    def abandon(self, why: str) -> list[Effect]:
        """The store has failed for a reason of the shell's own."""
        self.failed, self._asked = self.failed or why, None
        return self._refuse_all()

    def _ask(self, effect: Effect) -> list[Effect]:
        self._asked = effect
        return [effect]

    # --- the next group

    def _go_on(self, now: Now) -> list[Effect]:
        if self.failed:
            return self._refuse_all()
        if not self._waiting:
            return []
        if self._is_full(self._waiting[0]):
            return self._ask(Roll(self.sealed()))
        data = self._gather(now)
        return self._ask(Write(self.end.offset, data))

    def _is_full(self, batch: Pending) -> bool:
        """Whether the batch belongs into the next segment. Guards against batches that span two."""
        if self.end.offset == SEGMENT_HEAD:
            return False
        entries = self.tally.puts + self.tally.deletes
        return (entries >= self._settings.segment_entries
                or self.end.offset + FRAME_HEAD + batch.size > self._settings.segment_bytes)

    def _gather(self, now: Now) -> bytes:
        """Encode the next group."""
        offset, chain, seq = self.end
        frames: list[bytes] = []
        batches: list[tuple[Pending, int]] = []
        entries: list[Entry] = []
        most = self._settings.segment_bytes
        while self._waiting:
            batch = self._waiting[0]
            size = offset - self.end.offset
            if batches and (offset + FRAME_HEAD + batch.size > most
                            or len(entries) >= self._settings.group_entries
                            or size + batch.size > self._settings.group_bytes):
                break
            self._waiting.popleft()
            seq += 1
            body = self._encode(batch, seq, offset + FRAME_HEAD, now.time, entries)
            frame, chain = encode_frame(BATCH, body, seq, now.time, self.synced, chain, self._salt)
            frames.append(frame)
            batches.append((batch, seq))
            offset += len(frame)
        self._group = _Group(batches, entries, Point(offset, chain, seq), offset - len(frames[-1]))
        return b"".join(frames)

    @staticmethod
    def _encode(batch: Pending, seq: int, offset: int, time: int, entries: list[Entry]) -> bytes:
        parts = []
        for operation in batch.operations:
            if operation.expires:
                operation = operation._replace(expires=time + operation.expires)
            data = encode_entry(operation, seq)
            kind, name, key, _, expires = operation
            entries.append(Entry(kind, name, key, seq, expires, offset, len(data)))
            offset += len(data)
            parts.append(data)
        return b"".join(parts)

    # --- what became of it

    def _publish(self, now: Now) -> list[Effect]:
        group, self._group = self._group, None
        assert group
        self.end = group.end
        self.tally = count(self.tally, group.entries)
        if self.synced < self.end.offset:
            for batch, _ in group.batches:
                within = batch.durability.within_ms
                if within is not None:
                    self.due = min(self.due or now.monotonic + within, now.monotonic + within)
        return [Publish(self.tally.segment, group.entries, group.batches, group.last), *self._go_on(now)]

    def sealed(self) -> Sealed:
        """The active segment's figures if it ended here."""
        end = self.end
        return msgspec.structs.replace(self.tally, length=end.offset, chain=end.chain, most_seq=end.seq)

    def _begin(self, segment: int, chain: int) -> None:
        self._asked, self.due = None, None
        self._salt = salt_of(self._store, segment)
        self.synced = SEGMENT_HEAD
        self.end = Point(SEGMENT_HEAD, chain, self.end.seq)
        self.tally = Sealed(segment, LOG, SEGMENT_HEAD, chain, self.end.seq + 1, self.end.seq)

    def _broke(self, why: str, full: bool, now: Now) -> list[Effect]:
        asked, self._asked = self._asked, None
        if full and isinstance(asked, Write):
            return self._ask(Cut(self.end.offset))
        if full and isinstance(asked, Roll):
            waiting = list(self._waiting)
            self._waiting.clear()
            return [Refuse(waiting, DiskFull("no room on the disk for the next segment"))]
        self.failed = why
        return self._refuse_all()

    def _refuse_group(self, error: StoreError) -> list[Effect]:
        group, self._group = self._group, None
        return [Refuse([batch for batch, _ in group.batches], error)] if group else []

    def _refuse_all(self) -> list[Effect]:
        error = Failed(f"the store must be opened anew: {self.failed}")
        refused = self._refuse_group(error)
        if self._waiting:
            refused.append(Refuse(list(self._waiting), error))
            self._waiting.clear()
        return refused


def count(tally: Sealed, entries: Sequence[Entry]) -> Sealed:
    """A segment's figures with more entries in it."""
    deletes = sum(entry.kind == DELETE for entry in entries)
    seqs = [entry.seq for entry in entries]
    return msgspec.structs.replace(
        tally, least_seq=min(tally.least_seq or seqs[0], *seqs), most_seq=max(tally.most_seq, *seqs),
        puts=tally.puts + len(entries) - deletes, deletes=tally.deletes + deletes,
        lasting=tally.lasting + sum(entry.expires > 0 for entry in entries),
        heads=tally.heads + sum(ENTRY_HEAD + len(entry.name) + len(entry.key) for entry in entries
                                if entry.expires or entry.kind == DELETE))


def key_only(entry: Entry) -> Operation:
    """The delete that stands for an entry."""
    return Operation(DELETE, entry.name, entry.key, b"", 0)
