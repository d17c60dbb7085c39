"""Compaction: what is dead leaves the disk, and what is alive moves together. Also the writer of hints.

Rules: `garbage.py` decides. Here are chores: generators that do one bounded slice of work for each `next`,
so that a thread can rest between slices and a test can cut the power there.

Theory of operation (log cleaning, as in LFS; Bitcask's merge without its pass over the whole store):

- Hints tell what a segment holds; only what is live is read. A segment in which nothing is live goes unread.
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
"""

from __future__ import annotations

import struct
from array import array
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from functools import partial
from itertools import islice

import msgspec

from flintfield.store.batch import Settings
from flintfield.store.catalog import Catalog, NewSegment, Uncertain
from flintfield.store.commit import count, key_only
from flintfield.store.errors import Damaged
from flintfield.store.format import (COMPACTED, DELETE, END, FRAME_HEAD, MOVED, ORIGIN, PUT, SEGMENT_HEAD,
                                     Entry, Frame, Scan, decode_entry, encode_entry, encode_frame, entries,
                                     salt_of)
from flintfield.store.fs import File, read_at, write_at
from flintfield.store.garbage import CHUNK, Verdict, choose, holds_nothing, judge
from flintfield.store.hints import Block, HintFile, Of, Roster, Torn, encode_head
from flintfield.store.index import pack
from flintfield.store.manifest import Sealed, hint_name, segment_name
from flintfield.store.reading import Reading
from flintfield.store.recover import HOLDING, check_end, hint_of, open_segment

SLICE = 256  # entries in one slice: about 1 ms
MOST_ROSTERS = 2  # of sealed segments whose hints are not written yet, in memory
Names = dict[tuple[bytes, bytes], Entry]


class NoHint(Exception):
    """A segment's hint is gone or torn; one will be made before the chore is tried again."""

    def __init__(self, segment: int) -> None:
        super().__init__(segment)
        self.segment = segment


class _Output:
    """The new segment: frames of moved entries, and where they lay before."""

    def __init__(self, new: NewSegment, inputs: Sequence[Sealed], time: int) -> None:
        self.new, self.time = new, time
        self.tally = Sealed(new.segment, COMPACTED, SEGMENT_HEAD, new.chain, 0, 0)
        self.roster = Roster()
        # Segments and offsets by keyspace, in the order of the roster.
        self.was: dict[bytes, tuple[array[int], array[int]]] = {}
        self._body: list[bytes] = []
        self._some: list[Entry] = []
        self._size = 0
        self._frame(ORIGIN, struct.pack(f"<{len(inputs)}I", *(sealed.segment for sealed in inputs)))

    def add(self, entry: Entry, data: bytes, segment: int = 0) -> None:
        """Take an entry in, from its place in `segment`."""
        if segment:
            segments, offsets = self.was.setdefault(entry.name, (array("I"), array("I")))
            segments.append(segment)
            offsets.append(entry.offset)
        offset = self.tally.length + FRAME_HEAD + self._size
        self._body.append(data)
        self._some.append(entry._replace(offset=offset, length=len(data)))
        self._size += len(data)
        if self._size >= CHUNK:
            self.flush()

    def flush(self) -> None:
        """Write what was taken in."""
        if self._body:
            self._frame(MOVED, b"".join(self._body))
            self.tally = count(self.tally, self._some)
            self.roster.add(self._some)
            self._body, self._some, self._size = [], [], 0

    def finish(self) -> None:
        """Write the end and sync."""
        self.flush()
        self._frame(END, b"")
        self.new.file.sync()

    def _frame(self, kind: bytes, body: bytes) -> None:
        tally = self.tally
        data, chain = encode_frame(kind, body, tally.most_seq, self.time, 0, tally.chain, self.new.salt)
        write_at(self.new.file, data, tally.length)
        self.roster.last = tally.length
        self.tally = msgspec.structs.replace(tally, length=tally.length + len(data), chain=chain)


class Figures:
    """What compaction has done, for the counters."""

    __slots__ = ("compactions", "damage", "freed", "hints", "moved")

    def __init__(self) -> None:
        self.compactions = self.hints = 0
        self.moved = self.freed = 0  # bytes
        self.damage: list[Damaged] = []


class Hints:
    """The writer of hints."""

    def __init__(self, catalog: Catalog, missing: Sequence[int]) -> None:
        self._catalog = catalog
        self.missing = list(missing)  # sealed segments without one
        self._rosters: dict[int, Roster] = {}
        self.written = 0

    def sealed(self, segment: int, roster: Roster) -> None:
        """A segment was sealed that holds this; its hint is to be written."""
        if len(self._rosters) < MOST_ROSTERS:  # guards against memory: without one, the segment is read
            self._rosters[segment] = roster
        self.missing.append(segment)

    def late(self, segment: int) -> Iterator[None]:
        """Write the hint of a sealed segment. Raises `Damaged`."""
        sealed = next((one for one in self._catalog.manifest.sealed if one.segment == segment), None)
        roster = self._rosters.pop(segment, None)
        if sealed is not None:
            if roster is None:
                roster = Roster()
                yield from self._read(sealed, roster)
            yield from self.write(sealed, roster)
        self.missing.remove(segment)

    def _read(self, sealed: Sealed, roster: Roster) -> Iterator[None]:
        """Fill a roster from the segment itself. Raises `Damaged`."""
        name, store = segment_name(sealed.segment), self._catalog.manifest.store
        file, head = open_segment(self._catalog.folder, sealed.segment, store)
        salt = salt_of(store, sealed.segment)
        scan = Scan(partial(read_at, file), sealed.length, SEGMENT_HEAD, head.crc, salt)
        for frame in scan:
            roster.last = frame.start
            for some in _slices(frame):
                roster.add(some)
                yield
        check_end(name, scan, sealed)

    def write(self, sealed: Sealed, roster: Roster) -> Iterator[None]:
        """Write a hint. It is no harm if it is lost."""
        blocks = []
        for block in roster.blocks():
            blocks.append(block)
            yield
        data = b"".join((encode_head(Of(sealed, roster.last, len(blocks))), *blocks))
        write_at(self._catalog.folder.create(hint_name(sealed.segment)), data, 0)
        self.written += 1

    def open(self, sealed: Sealed) -> HintFile | None:
        """A sealed segment's hint; None, and one will be written, if there is none."""
        found = hint_of(self._catalog.folder, sealed)
        if found is None:
            self.lacks(sealed.segment)
        return found

    def lacks(self, segment: int) -> None:
        """A sealed segment's hint is gone or torn: one will be written."""
        if segment not in self.missing:
            self.missing.append(segment)


class Compaction:
    """The chores of one store.

    `sync_log` makes all that readers see durable, or raises, and tells up to where: segment and offset.
    """

    def __init__(self, reading: Reading, settings: Settings, hints: Hints,
                 sync_log: Callable[[], tuple[int, int]]) -> None:
        self._reading, self._settings, self._sync_log = reading, settings, sync_log
        self._catalog: Catalog = reading.catalog
        self._hints = hints
        self.figures = Figures()
        self._synced = (0, 0)
        self._spoilt: set[int] = set()  # segments with damage: they stay as they are

    def chore(self, share: float | None = None) -> Iterator[None] | None:
        """What there is to do now, as slices; None if nothing. `share` in place of the setting's."""
        share = self._settings.garbage_share if share is None else share
        sealed, usages = self._catalog.manifest.sealed, self._reading.index.usage
        inputs = choose(sealed, usages, self._settings, share, self._spoilt)
        read = [one for one in inputs if not holds_nothing(one, usages.get(one.segment))]
        # Deletes are dropped by what hints tell of all other segments.
        needed = {one.segment for one in (sealed if any(one.heads for one in read) else read)}
        lacking = [segment for segment in self._hints.missing if segment not in self._spoilt]
        if inputs and needed.isdisjoint(lacking):
            return self._guard(self._compact(inputs, read))
        lacking.sort(key=lambda segment: segment not in needed)
        return self._guard(self._hints.late(lacking[0])) if lacking else None

    def _guard(self, work: Iterator[None]) -> Iterator[None]:
        """Damage ends the chore, is remembered, and sets the segment aside from further chores."""
        try:
            yield from work
        except NoHint as error:
            self._hints.lacks(error.segment)
        except Damaged as error:
            self.figures.damage.append(error)
            self._spoilt |= {sealed.segment for sealed in self._catalog.manifest.sealed
                             if segment_name(sealed.segment) == error.file}

    def write_hints(self, active: Sealed, roster: Roster) -> None:
        """Write all hints that are missing, and the active segment's."""
        for segment in list(self._hints.missing):
            if segment not in self._spoilt:
                deque(self._guard(self._hints.late(segment)), 0)
        deque(self._hints.write(active, roster), 0)

    def _compact(self, inputs: Sequence[Sealed], read: Sequence[Sealed]) -> Iterator[None]:
        """Put a new segment in place of these, of which only some need to be read."""
        output = _Output(self._catalog.create(COMPACTED), inputs, self._reading.clock.now()) if read else None
        try:
            if output is not None:
                yield from self._fill(output, inputs, read)
            # Guards against a power cut that takes newer versions which were not yet on disk, with the
            # older gone.
            self._synced = self._sync_log()
            yield
            self._switch(output, inputs)
        except Uncertain:
            raise  # the manifest on disk may name the new segment
        except BaseException:
            if output is not None:
                self._catalog.forget(output.new.segment)
            raise
        if output is not None:
            yield from self._move_over(output)
        yield from self._let_go(inputs)
        self.figures.compactions += 1
        self.figures.moved += output.tally.length if output else 0
        self.figures.freed += sum(sealed.length for sealed in inputs) - (output.tally.length if output else 0)

    def _fill(self, output: _Output, inputs: Sequence[Sealed], read: Sequence[Sealed]) -> Iterator[None]:
        """Write the new segment."""
        buried: Names = {}
        for sealed in read:
            hint = self._hints.open(sealed)
            if hint is None:
                raise NoHint(sealed.segment)
            file = self._catalog.files[sealed.segment]
            for block in _blocks(hint, sealed):
                for some in _block_slices(block):
                    self._sort_out(output, sealed.segment, file, some, buried)
                    yield
        yield from self._exhume(buried, inputs)
        rest = iter(buried.values())
        while some := list(islice(rest, SLICE)):
            for entry in some:
                output.add(entry._replace(kind=DELETE, expires=0), encode_entry(key_only(entry), entry.seq))
            yield
        output.finish()
        yield
        yield from self._hints.write(output.tally, output.roster)

    def _sort_out(self, output: _Output, segment: int, file: File, some: Sequence[Entry], buried: Names
                  ) -> None:
        reading = self._reading
        kept = []
        for entry in some:
            here = pack(entry.seq, segment, entry.offset, entry.length)
            newest = reading.index.place(entry.name, entry.key)
            match judge(entry, here, newest, output.time):
                case Verdict.KEEP:
                    kept.append(entry)
                case Verdict.BURY:
                    with reading.lock:
                        if reading.index.place(entry.name, entry.key) == here:
                            reading.index.delete(entry.name, entry.key, reading.seq + 1)
                    older = buried.get((entry.name, entry.key))
                    if older is None or older.seq < entry.seq:
                        buried[entry.name, entry.key] = entry
        for entry in sorted(kept, key=lambda entry: entry.offset):
            data = read_at(file, entry.length, entry.offset)
            found = decode_entry(data)
            if found is None or found[1] != entry.seq:
                raise Damaged(segment_name(segment), entry.offset, "an entry fails its checksum")
            output.add(entry, data, segment)

    def _exhume(self, buried: Names, inputs: Sequence[Sealed]) -> Iterator[None]:
        """Leave in `buried` only what an older put elsewhere needs."""
        newest = max((entry.seq for entry in buried.values()), default=0)
        needed: set[tuple[bytes, bytes]] = set()
        taken = {sealed.segment for sealed in inputs}
        for sealed in self._catalog.manifest.sealed:
            if sealed.segment in taken or sealed.least_seq >= newest or not buried:
                continue
            hint = self._hints.open(sealed)
            if hint is None:
                needed.update(buried)
                break
            for block in _blocks(hint, sealed):
                for key, seq, _, length in block.rows():
                    at = (block.name, key)
                    if length and at in buried and seq < buried[at].seq:
                        needed.add(at)
                yield
        for at in [at for at in buried if at not in needed]:
            del buried[at]

    def _switch(self, output: _Output | None, inputs: Sequence[Sealed]) -> None:
        catalog, taken = self._catalog, {sealed.segment for sealed in inputs}
        segment, offset = self._synced
        with catalog.lock:
            manifest = catalog.manifest
            sealed = tuple(sealed for sealed in manifest.sealed if sealed.segment not in taken)
            if output is not None and output.tally.least_seq:
                sealed = (*sealed, output.tally)
            # The old segments go because newer entries are in the log: without these it is damaged.
            synced = max(manifest.synced, offset) if segment == manifest.active else manifest.synced
            catalog.switch(sealed=sealed, synced=synced, time=max(manifest.time, self._reading.clock.now()))
            if output is not None:
                if output.tally.least_seq:
                    catalog.files[output.new.segment] = output.new.file
                else:  # nothing was kept
                    catalog.forget(output.new.segment)

    def _move_over(self, output: _Output) -> Iterator[None]:
        """Point the index at the new segment; in each keyspace the moved entries stand first in it."""
        for name, (segments, offsets) in output.was.items():
            places = zip(output.roster.rows(name), segments, offsets, strict=False)
            while some := list(islice(places, SLICE)):
                with self._reading.lock:
                    for (key, seq, offset, length), segment, before in some:
                        self._reading.index.move(name, key, pack(seq, segment, before, length),
                                                 pack(seq, output.new.segment, offset, length))
                yield

    def _let_go(self, inputs: Sequence[Sealed]) -> Iterator[None]:
        self._reading.drop(inputs, self._settings.most_pinned)
        for sealed in inputs:
            self._catalog.forget(sealed.segment)
            yield
        # Guards against an old put that comes back when a later compaction has dropped its delete and repair
        # finds both without a manifest.
        self._catalog.folder.sync()


def _blocks(hint: HintFile, sealed: Sealed) -> Iterator[Block]:
    """A hint's blocks. Raises `NoHint` if it is torn."""
    try:
        yield from hint.blocks()
    except Torn as error:
        raise NoHint(sealed.segment) from error


def _block_slices(block: Block) -> Iterator[list[Entry]]:
    """A block's entries, a slice at a time."""
    times = block.times()
    rows = (Entry(PUT if length else DELETE, block.name, key, seq, expires, offset, length)
            for (key, seq, offset, length), expires in zip(block.rows(), times, strict=True))
    while some := list(islice(rows, SLICE)):
        yield some


def _slices(frame: Frame) -> Iterator[list[Entry]]:
    """A frame's entries, a slice at a time. Guards against one pause for a large batch."""
    if frame.kind in HOLDING:
        rest = entries(frame)
        while some := list(islice(rest, SLICE)):
            yield some
