"""The log on the ring of files: blocking, used by one thread at a time (the writer's).

Frames are appended to the current segment. When one is full, the next free file continues the chain.
`append` is one write and one sync, in one file. `rebase` begins a new chain with a snapshot of
everything, in files that the present chain doesn't use; until it has returned, the present chain stays as
it is. After an error nothing may be appended any more: only a `rebase` makes the log writable again, with
fresh descriptors.
"""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from flintfield.coordination.storage.disk import DiskFile
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
from flintfield.coordination.storage.pool import FilePool, RingFile, close_quietly
from flintfield.coordination.storage.recovery import Recovered

SNAPSHOT_FRAME_BYTES = 64 << 10  # payload of a frame of a whole snapshot: bounds the memory for encoding it


@dataclass(slots=True)
class Segment:
    """The segment that is being written: up to that offset, where the chain has that crc."""

    file: RingFile
    handle: DiskFile
    life: int
    offset: int
    chain: int

    @property
    def room(self) -> int:
        """The payload in bytes that still fits into one frame; may be negative."""
        return self.file.size - self.offset - FRAME_HEADER_BYTES


class Ring:
    """The chain of segments. Methods with I/O raise `OSError`, and none may run while another does."""

    def __init__(self, pool: FilePool, found: Recovered, draw_life: Callable[[], int]) -> None:
        self.pool = pool
        self._draw_life = draw_life
        self._sequence = found.last_sequence
        self._in_use: list[RingFile] = []
        for known in sorted(found.files, key=lambda known: known.sequence):
            file = pool.adopt(known.number, known.size)
            if known.number in found.in_use:
                self._in_use.append(file)
            else:
                pool.release([file])
        self._segment: Segment | None = None
        self._snapshot_start = 0  # index in `_in_use` of the file where the snapshot under way began

    @property
    def broken(self) -> bool:
        """Whether only a `rebase` makes it writable."""
        return self._segment is None

    @property
    def empty_room(self) -> int:
        """The payload in bytes that fits into the frame of an empty segment."""
        return self.pool.segment_bytes - SEGMENT_HEADER_BYTES - FRAME_HEADER_BYTES

    @property
    def room(self) -> int:
        """The payload in bytes that still fits into a frame of the current segment; may be negative."""
        return self._segment.room if self._segment is not None else -1

    @property
    def chain_bytes(self) -> int:
        """The length of all files that hold the present chain."""
        return sum(file.size for file in self._in_use)

    def append(
        self, entries: Sequence[Change], payload_bytes: int, flags: FrameFlag, starts_snapshot: bool
    ) -> None:
        """Append one frame and make it durable. With the end of a snapshot, files before it become free."""
        segment = self._segment
        if segment is None:
            raise OSError(errno.EIO, "the log has to be rebased first")
        self._segment = None  # until this has gone well
        prefix = b""
        try:
            if starts_snapshot or payload_bytes > segment.room:
                close_quietly(segment.handle)
                kind = SegmentFlag.SNAPSHOT_STARTS if starts_snapshot else SegmentFlag.NONE
                segment, prefix = self._next_segment(segment, kind, self._in_use)
            frame, chain = encode_frame(entries, flags, segment.life, segment.chain)
            self.pool.write(segment.handle, segment.offset - len(prefix), prefix + frame)
            self.pool.sync(segment.file, segment.handle)
        except BaseException:
            close_quietly(segment.handle)
            raise
        segment.offset += len(frame)
        segment.chain = chain
        self._segment = segment
        if starts_snapshot:
            self._snapshot_start = len(self._in_use) - 1
        if flags & FrameFlag.SNAPSHOT_ENDS:
            self._release_before_snapshot()

    def rebase(self, items: Iterable[tuple[bytes, bytes]]) -> None:
        """Begin a new chain with a snapshot of these items, durably; the old chain's files become free."""
        self._drop_segment()
        taken: list[RingFile] = []
        try:
            segment = self._write_snapshot(items, taken)
        except BaseException:
            self.pool.release(taken)  # last in the queue: the next attempt takes other files first
            raise
        self.pool.release(self._in_use)
        self._in_use = taken
        self._snapshot_start = 0
        self._segment = segment

    def wants_spare(self) -> bool:
        """Whether a free file should be made ready before it is needed."""
        segment = self._segment
        return segment is not None and segment.offset * 2 > segment.file.size and self.pool.wants_spare()

    def close(self) -> None:
        """Close the files."""
        self._drop_segment()
        self.pool.close()

    def _write_snapshot(self, items: Iterable[tuple[bytes, bytes]], taken: list[RingFile]) -> Segment:
        """Write a chain that holds these items and sync all of it; returns its last segment."""
        segment, prefix = self._next_segment(None, SegmentFlag.SNAPSHOT_STARTS, taken)
        try:
            self.pool.write(segment.handle, 0, prefix)
            for entries, payload_bytes, last in _groups(items, min(SNAPSHOT_FRAME_BYTES, self.empty_room)):
                if payload_bytes > segment.room:
                    self.pool.sync(segment.file, segment.handle)
                    close_quietly(segment.handle)
                    segment, prefix = self._next_segment(segment, SegmentFlag.NONE, taken)
                    self.pool.write(segment.handle, 0, prefix)
                flags = FrameFlag.SNAPSHOT_ENDS if last else FrameFlag.NONE
                frame, chain = encode_frame(entries, flags, segment.life, segment.chain)
                self.pool.write(segment.handle, segment.offset, frame)
                segment.offset += len(frame)
                segment.chain = chain
            self.pool.sync(segment.file, segment.handle)
        except BaseException:
            close_quietly(segment.handle)
            raise
        return segment

    def _next_segment(
        self, previous: Segment | None, flags: SegmentFlag, taken: list[RingFile]
    ) -> tuple[Segment, bytes]:
        """A free file as the successor of that segment (None: a new chain), and its header, not yet written.

        The file is added to those that were taken, also if an error follows.
        """
        file = self.pool.take()
        taken.append(file)
        handle = self.pool.open(file)
        self._sequence += 1
        previous_life, previous_chain = (previous.life, previous.chain) if previous else (0, 0)
        header = SegmentHeader(self._sequence, self._draw_life(), previous_life, previous_chain, flags)
        prefix, chain = encode_segment(header)
        return Segment(file, handle, header.life, len(prefix), chain), prefix

    def _release_before_snapshot(self) -> None:
        self.pool.release(self._in_use[: self._snapshot_start])
        del self._in_use[: self._snapshot_start]
        self._snapshot_start = 0

    def _drop_segment(self) -> None:
        segment, self._segment = self._segment, None
        if segment is not None:
            close_quietly(segment.handle)


def _groups(items: Iterable[tuple[bytes, bytes]], most: int) -> Iterable[tuple[list[Change], int, bool]]:
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
