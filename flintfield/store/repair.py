"""Repair: make a damaged store one that opens. What is whole is kept, what is lost is listed.

Rules: no file that held data is removed or changed; what is replaced stays beside under its name, and the
manifest lists it as `aside`. Nothing is guessed: an entry is kept only if its checksum holds, a batch only
if it is whole.

- A segment in which every frame follows the last is kept as it is. Of another, whole frames are copied to a
  new segment; of a frame that compaction wrote (its entries come from many batches) whole entries are.
- Without a manifest the segments themselves tell: compacted ones which of the others they replace, and the
  highest log is the active one.
- A key whose newest entry is lost shows its next older one, if that is still there. So the list of what is
  lost names keys where it can: from the damaged frame, and from the segment's hint.
"""

from __future__ import annotations

import struct
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from typing import NamedTuple

import msgspec

from flintfield.store.catalog import NewSegment, write_manifest
from flintfield.store.errors import Damaged, NotAStore
from flintfield.store.format import (END, LOG, MOVED, ORIGIN, SEGMENT_HEAD, VERSION, Frame, Operation, Scan,
                                     decode_segment_head, encode_entry, encode_frame, entries, pieces,
                                     salt_of, whole_entries)
from flintfield.store.fs import Folder, read_at, write_at
from flintfield.store.hints import Torn
from flintfield.store.manifest import (LOCK, MANIFEST, SEGMENT_END, Manifest, Sealed, decode_manifest,
                                       segment_name)
from flintfield.store.recover import HOLDING, grow, read_hint, read_whole, recover

MOST_LISTED = 10_000  # lost keys told by name, of one segment


class LostKey(NamedTuple):
    """An entry that is lost, as far as that can be told."""

    space: str
    key: bytes
    seq: int


class Lost(NamedTuple):
    """A stretch of a file that could not be kept."""

    file: str
    start: int
    end: int
    what: str
    keys: list[LostKey]


class Repaired(NamedTuple):
    """What repair did. `lost` is empty if the store was whole."""

    kept_segments: int
    rewritten: list[str]
    kept_frames: int  # of the rewritten segments
    lost: list[Lost]
    notes: list[str]


class _Found(NamedTuple):
    """A segment as it lies on disk: its figures if it is whole, else what can be kept of it."""

    figures: Sealed
    whole: bool
    frames: list[Frame]
    moved: list[tuple[Operation, int]]  # whole entries of compaction's frames that are not whole
    lost: list[Lost]


def repair(folder: Folder) -> Repaired:
    """Repair a store that nobody has open. Raises `Locked`, `NewerFormat`, `NotAStore`, OSError."""
    lock = folder.lock(LOCK)
    try:
        return _Repair(folder).run()
    finally:
        lock.release()


class _Repair:
    """One repair."""

    def __init__(self, folder: Folder) -> None:
        self._folder = folder
        self._notes: list[str] = []
        self._lost: list[Lost] = []
        self._numbers = sorted(int(name.removesuffix(SEGMENT_END)) for name in folder.names()
                               if name.endswith(SEGMENT_END) and name.removesuffix(SEGMENT_END).isdigit())
        self._next = max(self._numbers, default=0) + 1

    def run(self) -> Repaired:
        """All of it."""
        old = self._manifest()
        if old is not None:
            try:
                recover(self._folder, old)
                return Repaired(len(old.sealed) + 1, [], 0, [], ["the store is whole: nothing was changed"])
            except Damaged as error:
                self._notes.append(f"found: {error}")
        store = old.store if old else self._store_number()
        named = [*(sealed.segment for sealed in old.sealed), old.active] if old else self._standing(store)
        sealed: list[Sealed] = []
        rewritten: list[str] = []
        frames = time = 0
        for segment in named:
            found = self._look_at(segment, store, _length(old, segment))
            if found is None:
                continue
            self._lost.extend(found.lost)
            time = max([time, *(frame.time for frame in found.frames)])
            if found.whole:
                sealed.append(found.figures)
            else:
                rewritten.append(segment_name(segment))
                frames += len(found.frames)
                sealed.extend(self._rewrite(found, store))
        aside = [*(old.aside if old else ()), *rewritten]
        if old is None:
            aside += [segment_name(segment) for segment in self._numbers if segment not in named]
        self._finish(store, sealed, sorted(set(aside)), max(time, old.time if old else 0))
        return Repaired(len(named) - len(rewritten), rewritten, frames, self._lost, self._notes)

    # --- what the store is

    def _manifest(self) -> Manifest | None:
        try:
            data = read_whole(self._folder.open(MANIFEST))
        except FileNotFoundError:
            if not self._numbers:
                raise NotAStore("neither a manifest nor segments found") from None
            self._lost.append(Lost(MANIFEST, 0, 0, "missing; made anew from the segments", []))
            return None
        try:
            return decode_manifest(data)
        except Damaged as error:
            what = f"{error.what}; made anew from the segments"
            self._lost.append(Lost(MANIFEST, 0, len(data), what, []))
            return None

    def _store_number(self) -> int:
        """The store that most segments say they belong to."""
        said: Counter[int] = Counter()
        for segment in self._numbers:
            try:
                said[decode_segment_head("", self._head(segment)).store] += 1
            except Damaged:
                continue
        if not said:
            raise NotAStore("no segment tells which store it belongs to: nothing was changed")
        return said.most_common(1)[0][0]

    def _head(self, segment: int) -> bytes:
        return read_at(self._folder.open(segment_name(segment)), SEGMENT_HEAD, 0)

    def _standing(self, store: int) -> list[int]:
        """The segments that no finished compaction replaced."""
        gone: set[int] = set()
        for segment in self._numbers:
            data = read_whole(self._folder.open(segment_name(segment)))
            salt = salt_of(store, segment)
            frames = [piece.frame for piece in pieces(data, salt, SEGMENT_HEAD) if piece.frame]
            if frames and frames[-1].kind == END:
                for frame in frames:
                    if frame.kind == ORIGIN:
                        gone.update(struct.unpack(f"<{len(frame.body) // 4}I", frame.body))
        return [segment for segment in self._numbers if segment not in gone]

    # --- one segment

    def _look_at(self, segment: int, store: int, expected: int) -> _Found | None:
        """A segment, of which `expected` bytes were durable. Raises `NewerFormat`."""
        name = segment_name(segment)
        try:
            data = read_whole(self._folder.open(name))
        except FileNotFoundError:
            keys = self._hinted(segment, 0, 1 << 62)
            self._lost.append(Lost(name, 0, expected, "the segment is missing", keys))
            return None
        figures = Sealed(segment, LOG, SEGMENT_HEAD, 0, 0, 0)
        try:
            head = decode_segment_head(name, data[:SEGMENT_HEAD])
        except Damaged:
            return self._salvage(figures, data, store, expected)
        figures = msgspec.structs.replace(figures, kind=head.kind, chain=head.crc)
        scan = Scan(lambda size, offset: data[offset:offset + size], len(data), SEGMENT_HEAD, head.crc,
                    salt_of(store, segment))
        frames: list[Frame] = []
        for frame in scan:
            figures = grow(figures, frame, list(entries(frame)) if frame.kind in HOLDING else [])
            frames.append(frame)
        end = scan.stop.offset
        if (head.store, head.segment) == (store, segment) and end >= expected and not any(data[end:]):
            # Zeros written ahead of the log stand behind no sealed segment: with them it is written anew.
            return _Found(figures, end == len(data), frames, [], [])
        if scan.stop.why or (head.store, head.segment) != (store, segment):
            return self._salvage(figures, data, store, expected)
        return _Found(figures, True, frames, [], self._short(segment, len(data), expected))

    def _salvage(self, figures: Sealed, data: bytes, store: int, expected: int) -> _Found:
        """What is whole in a damaged segment, and what is not."""
        name = segment_name(figures.segment)
        found = _Found(figures, False, [], [], [])
        for piece in pieces(data, salt_of(store, figures.segment), min(SEGMENT_HEAD, len(data))):
            if piece.frame:
                found.frames.append(piece.frame)
                continue
            if piece.start >= expected and not any(data[piece.start:piece.end]):
                continue  # zeros written ahead of the log
            there = list(whole_entries(piece.body))
            keys = {_lost_key(*one) for one in there}
            keys |= set(self._hinted(figures.segment, piece.start, piece.end))
            if piece.kind == MOVED:
                found.moved.extend(there)
                keys -= {_lost_key(*one) for one in there}
            found.lost.append(Lost(name, piece.start, piece.end, "not whole", sorted(keys)[:MOST_LISTED]))
        found.lost.extend(self._short(figures.segment, len(data), expected))
        return found

    def _short(self, segment: int, length: int, expected: int) -> list[Lost]:
        """What is lost because a file ends early."""
        if length >= expected:
            return []
        keys = self._hinted(segment, length, expected)
        return [Lost(segment_name(segment), length, expected, "the file ends early", keys[:MOST_LISTED])]

    def _hinted(self, segment: int, start: int, end: int) -> list[LostKey]:
        """What the segment's hint tells of a stretch of it."""
        hint, found = read_hint(self._folder, segment), list[LostKey]()
        with suppress(Torn):
            for block in hint.blocks() if hint else ():
                found.extend(LostKey(block.name.decode(), key, seq)
                             for key, seq, offset, _ in block.rows() if start <= offset < end)
        return found

    # --- making it whole

    def _rewrite(self, found: _Found, store: int) -> Iterator[Sealed]:
        """Copy what is whole to a new segment, if anything is."""
        if not found.frames and not found.moved:
            return
        new = NewSegment(self._folder, self._next, LOG, store)
        self._next += 1
        tally = Sealed(new.segment, LOG, SEGMENT_HEAD, new.chain, 0, 0)
        for frame in found.frames:
            if frame.kind in HOLDING:
                tally = _append(new, tally, frame.kind, frame.body, frame.seq, frame.time)
        if found.moved:
            body = b"".join(encode_entry(operation, seq) for operation, seq in found.moved)
            tally = _append(new, tally, MOVED, body, max(seq for _, seq in found.moved), 0)
        new.file.sync()
        yield tally

    def _finish(self, store: int, sealed: list[Sealed], aside: list[str], time: int) -> None:
        """A new active segment, and the manifest."""
        active = NewSegment(self._folder, self._next, LOG, store)
        active.file.sync()
        seq = max((one.most_seq for one in sealed), default=0)
        write_manifest(self._folder, Manifest(
            VERSION, store, next_segment=self._next + 1, active=active.segment, synced=SEGMENT_HEAD, seq=seq,
            time=time, sealed=tuple(sealed), aside=tuple(aside)))


def _length(manifest: Manifest | None, segment: int) -> int:
    """How much of a segment was durable."""
    if manifest is None:
        return 0
    if segment == manifest.active:
        return manifest.synced
    return next(sealed.length for sealed in manifest.sealed if sealed.segment == segment)


def _lost_key(operation: Operation, seq: int) -> LostKey:
    return LostKey(operation.name.decode(errors="replace"), operation.key, seq)


def _append(new: NewSegment, tally: Sealed, kind: bytes, body: bytes, seq: int, time: int) -> Sealed:
    """Write a frame; the segment's figures with it."""
    data, crc = encode_frame(kind, body, seq, time, 0, tally.chain, new.salt)
    write_at(new.file, data, tally.length)
    frame = Frame(kind, tally.length, tally.length + len(data), seq, time, 0, crc, body)
    return grow(tally, frame, list(entries(frame)))
