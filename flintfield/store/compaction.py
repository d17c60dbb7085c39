"""Compaction: what is dead leaves the disk, and what is alive moves together. Also the writer of hints.

Rules: `choose` and `judge` decide and are pure. The rest is chores: generators that do one bounded slice of
work for each `next`, so that a thread can rest between slices and a test can cut the power there.

Theory of operation (log cleaning as in Rosenblum and Ousterhout, "The Design and Implementation of a
Log-Structured File System", TOCS 1992, with greedy choice; Bitcask's merge without its pass over the whole
store):

- While more than `garbage_share` of the sealed bytes is dead, the segments with the most dead bytes in
  proportion are taken, as many as have one segment's worth of live data, and what is live in them is
  written to one new segment. So the disk holds at most one segment more than before, and the share bounds
  the space.
- An entry is live if the index points at it. The index may be ahead of the disk, so the log is synced
  before the manifest lets the old segments go: else a power cut could take the newer version with the older
  gone already.
- A delete must outlive every older put of its key. Those can lie in any segment whose sequence numbers
  begin below the delete's; the hints of these segments tell exactly whether one does. What no hint names is
  dropped. A put whose time is over stands for a delete until then, and becomes one.
- The new segment is whole and synced, then the manifest names it in place of the old ones, then the index
  moves over slice by slice (both places hold the same bytes), then the old names go.
- It tells in an `ORIGIN` frame which segments it replaces, and in an `END` frame that it is whole: with
  these, repair works without a manifest.

Weighed: cost-benefit choice (same paper) needs the age of data and gains where hot and cold data lie mixed
for long; a compaction of all segments at once (Bitcask) drops deletes without asking but needs the space of
all live data.
"""

from __future__ import annotations

import struct
from bisect import bisect_left
from collections import deque
from collections.abc import Callable, Container, Iterator, Mapping, Sequence
from enum import Enum
from functools import partial
from itertools import accumulate, islice
from typing import NamedTuple

import msgspec

from flintfield.store.batch import Settings
from flintfield.store.catalog import Catalog, NewSegment, Uncertain
from flintfield.store.commit import count, key_only
from flintfield.store.errors import Damaged
from flintfield.store.format import (COMPACTED, DELETE, END, ENTRY_HEAD, FRAME_HEAD, MOST_KEY, MOST_NAME,
                                     MOVED, ORIGIN, SEGMENT_HEAD, Entry, Frame, Scan, encode_entry,
                                     encode_frame, entries, salt_of)
from flintfield.store.fs import read_at, write_at
from flintfield.store.hints import BLOCK, Of, block_of, encode_block, encode_head
from flintfield.store.index import SEQ, Usage, pack
from flintfield.store.manifest import Sealed, hint_name, segment_name
from flintfield.store.reading import Reading
from flintfield.store.recover import HOLDING, check_end, open_segment, read_hint

SLICE = 256  # entries in one slice: about 1 ms
CHUNK = 64 * 1024  # bytes of one frame of moved entries
MOST_INPUTS = 16
MOST_HEAD = ENTRY_HEAD + MOST_NAME + MOST_KEY
WORTH = 0.2  # a segment less dead than this costs more than it gives
DEAD = 0.95  # a segment more dead than this is taken whatever the others are like

# --- what to compact


def garbage(sealed: Sealed, usage: Usage, stale: int) -> int:
    """Bytes of a segment that compaction is sure not to copy.

    `stale` counts dead puts in other segments that are older: each may hold one delete back, so as many
    deletes (or puts whose time is over) are counted as staying, at their largest.
    """
    return sealed.length - usage.bytes - min(sealed.heads, stale * MOST_HEAD)


class Candidate(NamedTuple):
    """A segment and what compaction would make of it."""

    sealed: Sealed
    usage: Usage
    garbage: int


def candidates(segments: Sequence[Sealed], usages: Mapping[int, Usage], spoilt: Container[int] = ()
               ) -> list[Candidate]:
    """Each sealed segment with its garbage, without those that are `spoilt` by damage."""
    none = Usage()
    by_age = sorted(segments, key=lambda one: one.least_seq)
    # Nobody can tell what a spoilt one holds: all its puts may hold deletes back.
    stale = [one.puts - (0 if one.segment in spoilt else usages.get(one.segment, none).entries)
             for one in by_age]
    ages, sums = [one.least_seq for one in by_age], list(accumulate(stale, initial=0))
    found = []
    for sealed, own in zip(by_age, stale, strict=True):
        if sealed.segment not in spoilt:
            older = sums[bisect_left(ages, sealed.most_seq)]
            older -= own if sealed.least_seq < sealed.most_seq else 0
            usage = usages.get(sealed.segment, none)
            found.append(Candidate(sealed, usage, garbage(sealed, usage, older)))
    return found


def choose(segments: Sequence[Sealed], usages: Mapping[int, Usage], settings: Settings, share: float,
           spoilt: Container[int] = ()) -> list[Sealed]:
    """The segments to compact now, while more than `share` of all is dead; empty if that can wait.

    What is chosen shrinks by `WORTH` for sure, so compaction comes to an end.
    """
    found = candidates(segments, usages, spoilt)
    total = sum(one.sealed.length for one in found)
    wanted = sum(one.garbage for one in found) > share * total
    order = sorted(found, key=lambda one: one.garbage / one.sealed.length, reverse=True)
    chosen: list[Candidate] = []
    live = entries_kept = 0
    for one in order:
        dead = one.garbage / one.sealed.length
        if dead < (WORTH if wanted else DEAD) or len(chosen) == MOST_INPUTS:
            break
        live += one.sealed.length - one.garbage
        entries_kept += one.usage.entries + one.sealed.deletes + one.sealed.lasting
        if chosen and (live > settings.segment_bytes or entries_kept > settings.segment_entries):
            break
        chosen.append(one)
    before = sum(one.sealed.length for one in chosen)
    after = sum(one.sealed.length - one.garbage for one in chosen)
    after += SEGMENT_HEAD + (3 + after // CHUNK) * FRAME_HEAD + 4 * len(chosen)
    return [one.sealed for one in chosen] if chosen and before - after >= WORTH * before else []


class Verdict(Enum):
    """What becomes of an entry."""

    KEEP = "live"
    DROP = "a newer entry stands for its key"
    BURY = "its key is gone: keep a delete while an older put may be somewhere"


def judge(entry: Entry, here: int, newest: int | None, now: int) -> Verdict:
    """What becomes of an entry that lies at place `here`, if the index knows `newest` of its key."""
    overtaken = newest is not None and newest >> SEQ > entry.seq
    if entry.kind == DELETE:
        return Verdict.DROP if overtaken else Verdict.BURY
    if 0 < entry.expires <= now:
        return Verdict.DROP if overtaken else Verdict.BURY
    return Verdict.KEEP if newest == here else Verdict.DROP


# --- doing it


class _Output:
    """The new segment: frames of moved entries."""

    def __init__(self, new: NewSegment, inputs: Sequence[Sealed], time: int) -> None:
        self.new, self.time = new, time
        self.tally = Sealed(new.segment, COMPACTED, SEGMENT_HEAD, new.chain, 0, 0)
        self.entries: list[Entry] = []
        self.last = 0  # where the last frame begins
        self._body: list[bytes] = []
        self._size = 0
        self._frame(ORIGIN, struct.pack(f"<{len(inputs)}I", *(sealed.segment for sealed in inputs)))

    def add(self, entry: Entry, data: bytes) -> Entry:
        """Take an entry in; as it will lie in this segment."""
        offset = self.tally.length + FRAME_HEAD + self._size
        moved = entry._replace(offset=offset, length=len(data))
        self._body.append(data)
        self._size += len(data)
        self.entries.append(moved)
        if self._size >= CHUNK:
            self.flush()
        return moved

    def flush(self) -> None:
        """Write what was taken in."""
        if self._body:
            some = self.entries[-len(self._body):]
            self._frame(MOVED, b"".join(self._body))
            self.tally = count(self.tally, some)
            self._body, self._size = [], 0

    def finish(self) -> None:
        """Write the end and sync."""
        self.flush()
        self._frame(END, b"")
        self.new.file.sync()

    def _frame(self, kind: bytes, body: bytes) -> None:
        tally = self.tally
        data, chain = encode_frame(kind, body, tally.most_seq, self.time, 0, tally.chain, self.new.salt)
        write_at(self.new.file, data, tally.length)
        self.last = tally.length
        self.tally = msgspec.structs.replace(tally, length=tally.length + len(data), chain=chain)


class Figures:
    """What compaction has done, for the counters."""

    __slots__ = ("compactions", "damage", "freed", "hints", "moved")

    def __init__(self) -> None:
        self.compactions = self.hints = 0
        self.moved = self.freed = 0  # bytes
        self.damage: list[Damaged] = []


class Compaction:
    """The chores of one store.

    `sync_log` makes all that readers see durable, or raises, and tells up to where: segment and offset.
    """

    def __init__(self, reading: Reading, settings: Settings, without_hint: Sequence[int],
                 sync_log: Callable[[], tuple[int, int]]) -> None:
        self._reading, self._settings, self._sync_log = reading, settings, sync_log
        self._catalog: Catalog = reading.catalog
        self.without_hint = list(without_hint)
        self.figures = Figures()
        self._synced = (0, 0)
        self._spoilt: set[int] = set()  # segments with damage: they stay as they are

    def chore(self, share: float | None = None) -> Iterator[None] | None:
        """What there is to do now, as slices; None if nothing. `share` in place of the setting's."""
        for segment in self.without_hint:
            if segment not in self._spoilt:
                return self._guard([segment], self._late_hint(segment))
        share = self._settings.garbage_share if share is None else share
        sealed = self._catalog.manifest.sealed
        inputs = choose(sealed, self._reading.index.usage, self._settings, share, self._spoilt)
        if not inputs:
            return None
        return self._guard([one.segment for one in inputs], self._compact(inputs))

    def _guard(self, segments: Sequence[int], work: Iterator[None]) -> Iterator[None]:
        """Damage ends the chore, is remembered, and sets the segment aside from further chores."""
        try:
            yield from work
        except Damaged as error:
            self.figures.damage.append(error)
            self._spoilt |= {segment for segment in segments if segment_name(segment) == error.file}

    # --- hints

    def _late_hint(self, segment: int) -> Iterator[None]:
        sealed = next((one for one in self._catalog.manifest.sealed if one.segment == segment), None)
        if sealed is not None:
            yield from self.hint_for(sealed)
        self.without_hint.remove(segment)

    def write_hints(self, active: Sealed) -> None:
        """Write all hints that are missing, and the active segment's."""
        for segment in list(self.without_hint):
            if segment not in self._spoilt:
                deque(self._guard([segment], self._late_hint(segment)), 0)
        deque(self.hint_for(active), 0)

    def hint_for(self, sealed: Sealed) -> Iterator[None]:
        """Read a segment and write its hint."""
        latest: dict[tuple[bytes, bytes], Entry] = {}
        last = SEGMENT_HEAD
        for frame in self._frames(sealed):
            last = frame.start
            for some in _slices(frame):
                for entry in some:
                    latest[entry.name, entry.key] = entry
                yield
        yield from self._write_hint(sealed, last, list(latest.values()))

    def _frames(self, sealed: Sealed) -> Iterator[Frame]:
        """A sealed segment's frames. Raises `Damaged`."""
        name = segment_name(sealed.segment)
        file, head = open_segment(self._catalog.folder, sealed.segment, self._catalog.manifest.store)
        scan = Scan(partial(read_at, file), sealed.length, SEGMENT_HEAD, head.crc,
                    salt_of(self._catalog.manifest.store, sealed.segment))
        yield from scan
        check_end(name, scan, sealed)

    def _write_hint(self, sealed: Sealed, last: int, found: Sequence[Entry]) -> Iterator[None]:
        by_name: dict[bytes, list[Entry]] = {}
        for entry in found:
            by_name.setdefault(entry.name, []).append(entry)
        blocks = []
        for name, some in by_name.items():
            for at in range(0, len(some), BLOCK):
                blocks.append(encode_block(block_of(name, some[at:at + BLOCK])))
                yield
        data = b"".join((encode_head(Of(sealed, last, len(blocks))), *blocks))
        write_at(self._catalog.folder.create(hint_name(sealed.segment)), data, 0)
        self.figures.hints += 1

    # --- compaction

    def _compact(self, inputs: Sequence[Sealed]) -> Iterator[None]:
        output = _Output(self._catalog.create(COMPACTED), inputs, self._reading.clock.now())
        was: list[int] = []  # where each moved entry lay
        try:
            yield from self._fill(output, inputs, was)
            self._switch(output, inputs)
        except Uncertain:
            raise  # the manifest on disk may name the new segment
        except BaseException:
            self._catalog.forget(output.new.segment)
            raise
        yield from self._move_over(output, was)
        yield from self._let_go(inputs)
        self.figures.compactions += 1
        self.figures.moved += output.tally.length
        self.figures.freed += sum(sealed.length for sealed in inputs) - output.tally.length

    def _fill(self, output: _Output, inputs: Sequence[Sealed], was: list[int]) -> Iterator[None]:
        """Write the new segment."""
        buried: dict[tuple[bytes, bytes], Entry] = {}
        for sealed in inputs:
            for frame in self._frames(sealed):
                for some in _slices(frame):
                    self._sort_out(output, sealed.segment, frame, some, was, buried)
                    yield
        yield from self._exhume(buried, inputs)
        for entry in buried.values():
            output.add(entry._replace(kind=DELETE, expires=0), encode_entry(key_only(entry), entry.seq))
        output.finish()
        yield from self._write_hint(output.tally, output.last, output.entries)
        # Guards against a power cut that takes newer versions which were not yet on disk, with the older
        # ones gone.
        self._synced = self._sync_log()
        yield

    def _sort_out(self, output: _Output, segment: int, frame: Frame, some: Sequence[Entry], was: list[int],
                  buried: dict[tuple[bytes, bytes], Entry]) -> None:
        reading, base = self._reading, frame.start + FRAME_HEAD
        for entry in some:
            here = pack(entry.seq, segment, entry.offset, entry.length)
            newest = reading.index.place(entry.name, entry.key)
            match judge(entry, here, newest, output.time):
                case Verdict.KEEP:
                    at = entry.offset - base
                    output.add(entry, frame.body[at:at + entry.length])
                    was.append(here)
                case Verdict.BURY:
                    with reading.lock:
                        if reading.index.place(entry.name, entry.key) == here:
                            reading.index.delete(entry.name, entry.key, reading.seq + 1)
                    older = buried.get((entry.name, entry.key))
                    if older is None or older.seq < entry.seq:
                        buried[entry.name, entry.key] = entry

    def _move_over(self, output: _Output, was: Sequence[int]) -> Iterator[None]:
        """Point the index at the new segment; the moved entries stand first in it."""
        for at in range(0, len(was), SLICE):
            with self._reading.lock:
                for entry, old in zip(output.entries[at:at + SLICE], was[at:at + SLICE], strict=False):
                    self._reading.index.move(entry.name, entry.key, old,
                                             pack(entry.seq, output.new.segment, entry.offset, entry.length))
            yield

    def _exhume(self, buried: dict[tuple[bytes, bytes], Entry], inputs: Sequence[Sealed]) -> Iterator[None]:
        """Leave in `buried` only what an older put elsewhere needs."""
        newest = max((entry.seq for entry in buried.values()), default=0)
        needed: set[tuple[bytes, bytes]] = set()
        taken = {sealed.segment for sealed in inputs}
        for sealed in self._catalog.manifest.sealed:
            if sealed.segment in taken or sealed.least_seq >= newest or not buried:
                continue
            hint = read_hint(self._catalog.folder, sealed.segment)
            if hint is None or hint.head.of != sealed:
                needed.update(buried)
                if sealed.segment not in self.without_hint:
                    self.without_hint.append(sealed.segment)
                break
            for block in hint.blocks:
                for key, seq, _, length in block.rows():
                    at = (block.name, key)
                    if length and at in buried and seq < buried[at].seq:
                        needed.add(at)
                yield
        for at in [at for at in buried if at not in needed]:
            del buried[at]

    def _switch(self, output: _Output, inputs: Sequence[Sealed]) -> None:
        catalog, taken = self._catalog, {sealed.segment for sealed in inputs}
        segment, offset = self._synced
        with catalog.lock:
            manifest = catalog.manifest
            kept = tuple(sealed for sealed in manifest.sealed if sealed.segment not in taken)
            # The old segments go because newer entries are in the log: without these it is damaged.
            synced = max(manifest.synced, offset) if segment == manifest.active else manifest.synced
            catalog.switch(sealed=(*kept, output.tally) if output.entries else kept,
                           synced=synced, time=max(manifest.time, self._reading.clock.now()))
            if output.entries:
                catalog.files[output.new.segment] = output.new.file
            else:
                catalog.forget(output.new.segment)

    def _let_go(self, inputs: Sequence[Sealed]) -> Iterator[None]:
        self._reading.drop(inputs, self._settings.most_pinned)
        for sealed in inputs:
            self._catalog.forget(sealed.segment)
            yield
        # Guards against an old put that comes back when a later compaction has dropped its delete and
        # repair finds both without a manifest.
        self._catalog.folder.sync()


def _slices(frame: Frame) -> Iterator[list[Entry]]:
    """A frame's entries, a slice at a time. Guards against one pause for a large batch."""
    if frame.kind in HOLDING:
        rest = entries(frame)
        while some := list(islice(rest, SLICE)):
            yield some
