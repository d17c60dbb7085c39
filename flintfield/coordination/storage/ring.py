"""The ring of files on disk: blocking, used by one thread at a time (the writer's).

Frames are appended to the current segment. When one is full, the next free file continues the chain.
`append` is one write and one sync, in one file. `rebase` begins a new chain with a snapshot of everything,
in files that the present chain doesn't use; until it has returned, the present chain stays as it is. After
an error nothing may be appended any more: only a `rebase` makes the ring writable again, with fresh
descriptors.
"""

from __future__ import annotations

import errno
import os
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass

from flintfield.coordination.storage.disk import Disk, DiskFile
from flintfield.coordination.storage.format import (
    FRAME_HEADER_BYTES,
    SEGMENT_HEADER_BYTES,
    FrameFlag,
    SegmentFlag,
    SegmentHeader,
    encode_frame,
    encode_segment,
    entry_bytes,
)
from flintfield.coordination.storage.interface import Change
from flintfield.coordination.storage.recovery import Recovered, file_name

SMALLEST_SEGMENT = 256  # bytes; only tests have one so small
LARGEST_SEGMENT = 1 << 20  # bytes: preallocated within 9 ms at 120 MB/s, so the first start is not held up
SEGMENTS_IN_LIMIT = 64  # a segment is at most this part of the limit, so little is lost at their ends
MODEST_RING_BYTES = 16 << 20  # the ring stays within this (or half the limit) unless its content needs more
ZEROS_AT_ONCE = 128 << 10  # bytes of one step of preallocation: 1 ms at 120 MB/s
SNAPSHOT_FRAME_BYTES = 64 << 10  # payload of one frame of a whole snapshot
MIB = 1 << 20


@dataclass(slots=True)
class RingFile:
    """A file of the ring.

    `filled`: its whole length was written once, so no write to it needs space. `synced`: this process synced
    it and its folder, so that its length and its name last and syncing its data is enough.
    """

    number: int
    size: int
    filled: bool
    synced: bool


@dataclass(slots=True)
class Segment:
    """The segment that is being written: up to that offset, where the chain has that crc."""

    file: RingFile
    handle: DiskFile
    life: int
    sequence: int
    offset: int
    chain: int


@dataclass(slots=True)
class RingCounters:
    """What the disk was asked to do since the open."""

    syncs: int = 0
    written_bytes: int = 0
    zeroed_bytes: int = 0
    snapshots: int = 0  # whole ones, by `rebase`


def segment_bytes_for(limit_bytes: int) -> int:
    """The length of a file of the ring."""
    return max(SMALLEST_SEGMENT, min(LARGEST_SEGMENT, limit_bytes // SEGMENTS_IN_LIMIT))


class Ring:
    """The files. Every method that does I/O raises `OSError`, and none may run while another does."""

    def __init__(self, disk: Disk, directory: str, limit_bytes: int, found: Recovered,
                 draw_life: Callable[[], int]) -> None:
        self.segment_bytes = segment_bytes_for(limit_bytes)
        self.counters = RingCounters()
        self._disk = disk
        self._directory = directory
        self._limit_bytes = limit_bytes
        self._draw_life = draw_life
        self._sequence = found.last_sequence
        self._in_use: list[RingFile] = []
        self._free: deque[RingFile] = deque()
        for file in sorted(found.files, key=lambda file: file.header.sequence if file.header else 0):
            known = RingFile(file.number, file.size, file.size >= self.segment_bytes, synced=False)
            (self._in_use if file.number in found.in_use else self._free).append(known)
        self._next_number = max((file.number for file in found.files), default=-1) + 1
        self._segment: Segment | None = None
        self._snapshot_start = 0  # index in `_in_use` of the file where the snapshot under way began
        self._spare: tuple[RingFile, DiskFile, int] | None = None  # file, its handle, bytes filled so far

    @property
    def broken(self) -> bool:
        """Whether only a `rebase` makes it writable."""
        return self._segment is None

    @property
    def empty_room(self) -> int:
        """The payload in bytes that fits into the frame of an empty segment."""
        return self.segment_bytes - SEGMENT_HEADER_BYTES - FRAME_HEADER_BYTES

    @property
    def room(self) -> int:
        """The payload in bytes that still fits into a frame of the current segment; may be negative."""
        if self._segment is None:
            return -1
        return self._segment.file.size - self._segment.offset - FRAME_HEADER_BYTES

    @property
    def chain_bytes(self) -> int:
        """The length of all files that hold the present chain."""
        return sum(file.size for file in self._in_use)

    @property
    def total_bytes(self) -> int:
        """The length of all files."""
        files = [*self._in_use, *self._free]
        return sum(file.size for file in files) + (self._spare[0].size if self._spare else 0)

    def append(self, entries: Sequence[Change], payload_bytes: int, flags: FrameFlag,
               starts_snapshot: bool) -> None:
        """Append one frame and make it durable. With the end of a snapshot, files before it become free."""
        segment = self._segment
        if segment is None:
            raise OSError(errno.EIO, "the ring has to be rebased first")
        self._segment = None  # until this has gone well
        prefix = b""
        try:
            if starts_snapshot or payload_bytes > self._room_of(segment):
                segment.handle.close()
                kind = SegmentFlag.SNAPSHOT_STARTS if starts_snapshot else SegmentFlag.NONE
                segment, prefix = self._next_segment(segment, kind, self._in_use)
                if starts_snapshot:
                    self._snapshot_start = len(self._in_use) - 1
            frame, chain = encode_frame(entries, flags, segment.life, segment.chain)
            self._write(segment.handle, segment.offset - len(prefix), prefix + frame)
            self._sync(segment.file, segment.handle)
        except BaseException:
            self._close_quietly(segment.handle)
            raise
        segment.offset += len(frame)
        segment.chain = chain
        self._segment = segment
        if flags & FrameFlag.SNAPSHOT_ENDS:
            self._release_before_snapshot()

    def rebase(self, items: Iterable[tuple[bytes, bytes]]) -> None:
        """Begin a new chain with a snapshot of these items, durably; the old chain's files become free."""
        self._drop_segment()
        taken: list[RingFile] = []
        segment: Segment | None = None
        try:
            for entries, payload_bytes, last in _frames_of(items, min(SNAPSHOT_FRAME_BYTES, self.empty_room)):
                if segment is None or payload_bytes > self._room_of(segment):
                    if segment is not None:
                        self._sync(segment.file, segment.handle)
                        segment.handle.close()
                    kind = SegmentFlag.NONE if segment else SegmentFlag.SNAPSHOT_STARTS
                    segment, prefix = self._next_segment(segment, kind, taken)
                    self._write(segment.handle, 0, prefix)
                flags = FrameFlag.SNAPSHOT_ENDS if last else FrameFlag.NONE
                frame, segment.chain = encode_frame(entries, flags, segment.life, segment.chain)
                self._write(segment.handle, segment.offset, frame)
                segment.offset += len(frame)
            assert segment is not None
            self._sync(segment.file, segment.handle)
        except BaseException:
            if segment is not None:
                self._close_quietly(segment.handle)
            self._free.extend(taken)  # last in the queue: the next attempt takes other files first
            raise
        self._free.extend(self._in_use)
        self._in_use = taken
        self._snapshot_start = 0
        self._segment = segment
        self.counters.snapshots += 1

    def wants_spare(self) -> bool:
        """Whether a free file should be preallocated before it is needed."""
        if self._spare is not None:
            return True
        if self._segment is None or self._free:
            return False
        half_full = self._segment.offset * 2 > self._segment.file.size
        return half_full and self.total_bytes + self.segment_bytes <= self._limit_bytes

    def prepare_spare(self) -> None:
        """One step of preallocating a free file; `wants_spare` tells whether more are needed."""
        if self._spare is None:
            file = self._new_file()
            self._spare = (file, self._open(file), 0)
        file, handle, done = self._spare
        self._spare = None
        try:
            step = min(ZEROS_AT_ONCE, file.size - done)
            self._zero(handle, done, step)
            if done + step < file.size:
                self._spare = (file, handle, done + step)
                return
            self._sync(file, handle)
            handle.close()
        except BaseException:
            self._close_quietly(handle)
            self._free.append(file)
            raise
        self._free.append(file)

    def close(self) -> None:
        """Close the files."""
        self._drop_segment()
        if self._spare is not None:
            self._close_quietly(self._spare[1])
            self._spare = None

    def _next_segment(self, previous: Segment | None, flags: SegmentFlag,
                      taken: list[RingFile]) -> tuple[Segment, bytes]:
        """A free file as the successor of that segment (None: a new chain), and its header, not yet written.

        The file is added to those that were taken, also if an error follows.
        """
        file = self._take_file()
        taken.append(file)
        handle = self._open(file)
        try:
            if not file.filled:
                for at in range(0, file.size, ZEROS_AT_ONCE):
                    self._zero(handle, at, min(ZEROS_AT_ONCE, file.size - at))
        except BaseException:
            self._close_quietly(handle)
            raise
        self._sequence += 1
        previous_life, previous_chain = (previous.life, previous.chain) if previous else (0, 0)
        header = SegmentHeader(self._sequence, self._draw_life(), previous_life, previous_chain, flags)
        prefix, chain = encode_segment(header)
        return Segment(file, handle, header.life, header.sequence, len(prefix), chain), prefix

    def _take_file(self) -> RingFile:
        if self._free:
            file = self._free.popleft()
            if not file.filled:
                file.size = max(file.size, self.segment_bytes)
            return file
        return self._new_file()

    def _new_file(self) -> RingFile:
        if self.total_bytes + self.segment_bytes > self._limit_bytes:
            raise OSError(errno.ENOSPC, "the ring has reached its limit")
        file = RingFile(self._next_number, self.segment_bytes, filled=False, synced=False)
        self._next_number += 1
        return file

    def _open(self, file: RingFile) -> DiskFile:
        return self._disk.open(os.path.join(self._directory, file_name(file.number)))

    def _write(self, handle: DiskFile, offset: int, data: bytes) -> None:
        handle.write(offset, data)
        self.counters.written_bytes += len(data)

    def _zero(self, handle: DiskFile, offset: int, length: int) -> None:
        handle.write(offset, bytes(length))
        self.counters.zeroed_bytes += length

    def _sync(self, file: RingFile, handle: DiskFile) -> None:
        self.counters.syncs += 1
        if file.synced:
            handle.sync_data()
            return
        handle.sync_all()
        self._disk.sync_directory(self._directory)
        file.filled = file.synced = True

    def _release_before_snapshot(self) -> None:
        self._free.extend(self._in_use[:self._snapshot_start])
        del self._in_use[:self._snapshot_start]
        self._snapshot_start = 0

    def _drop_segment(self) -> None:
        segment, self._segment = self._segment, None
        if segment is not None:
            self._close_quietly(segment.handle)

    @staticmethod
    def _room_of(segment: Segment) -> int:
        return segment.file.size - segment.offset - FRAME_HEADER_BYTES

    @staticmethod
    def _close_quietly(handle: DiskFile) -> None:
        with suppress(OSError):
            handle.close()


def _frames_of(items: Iterable[tuple[bytes, bytes]], most: int) -> Iterable[tuple[list[Change], int, bool]]:
    """The items in groups of at most that payload: entries, payload in bytes, whether it's the last."""
    entries: list[Change] = []
    total = 0
    for key, value in items:
        size = entry_bytes(key, value)
        if entries and total + size > most:
            yield entries, total, False
            entries, total = [], 0
        entries.append((key, value))
        total += size
    yield entries, total, True
