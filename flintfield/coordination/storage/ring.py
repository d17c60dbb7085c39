"""The log on the ring of files. All I/O blocks; used by one thread at a time (the writer thread).

Frames are appended to the current segment. When it is full, the chain continues in the next free file.
`append` does one write and one sync, in one file. `rebase` starts a new chain with a snapshot of all items,
in files that the current chain doesn't use; the current chain stays intact until `rebase` returns. After an
error no frame may be appended: only a `rebase` makes the log writable again, with new descriptors.
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

SNAPSHOT_FRAME_BYTES = 64 << 10  # maximum payload per frame of a full snapshot; limits encoding memory


@dataclass(slots=True)
class Segment:
    """The segment that is being written: the offset of its next frame and the crc of the chain there."""

    file: RingFile
    handle: DiskFile
    life: int
    offset: int
    chain: int

    @property
    def free_payload_bytes(self) -> int:
        """The payload in bytes that still fits into one more frame; may be negative."""
        return self.file.size - self.offset - FRAME_HEADER_BYTES


class Ring:
    """The chain of segments. Methods with I/O raise `OSError` and must not run concurrently."""

    def __init__(self, pool: FilePool, recovered: Recovered, draw_life: Callable[[], int]) -> None:
        self.pool = pool
        self._draw_life = draw_life
        self._sequence = recovered.last_sequence
        self._in_use: list[RingFile] = []
        for found in sorted(recovered.files, key=lambda found: found.sequence):
            file = pool.adopt(found.number, found.size)
            if found.number in recovered.in_use:
                self._in_use.append(file)
            else:
                pool.release([file])
        self._segment: Segment | None = None
        self._snapshot_start = 0  # index in `_in_use` of the file in which the current snapshot started

    @property
    def needs_rebase(self) -> bool:
        """Whether the log can be written only after a `rebase`."""
        return self._segment is None

    @property
    def max_payload_bytes(self) -> int:
        """The payload in bytes that fits into a single frame of an empty segment."""
        return self.pool.segment_bytes - SEGMENT_HEADER_BYTES - FRAME_HEADER_BYTES

    @property
    def free_payload_bytes(self) -> int:
        """The payload in bytes that still fits into one frame of the current segment; may be negative."""
        return self._segment.free_payload_bytes if self._segment is not None else -1

    @property
    def chain_bytes(self) -> int:
        """The total length of the files of the current chain."""
        return sum(file.size for file in self._in_use)

    def append(
        self, entries: Sequence[Change], payload_bytes: int, flags: FrameFlag, starts_snapshot: bool
    ) -> None:
        """Append one frame and make it durable. At the end of a snapshot, the files before it become free."""
        segment = self._segment
        if segment is None:
            raise OSError(errno.EIO, "the log is not writable until it is rebased")
        self._segment = None  # set again only if the append succeeds
        encoded_header = b""
        try:
            if starts_snapshot or payload_bytes > segment.free_payload_bytes:
                close_quietly(segment.handle)
                segment_flags = SegmentFlag.SNAPSHOT_STARTS if starts_snapshot else SegmentFlag.NONE
                segment, encoded_header = self._next_segment(segment, segment_flags, self._in_use)
            frame, chain = encode_frame(entries, flags, segment.life, segment.chain)
            self.pool.write(segment.handle, segment.offset - len(encoded_header), encoded_header + frame)
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
        """Start a new chain with a durable snapshot of `items`; the files of the old chain become free."""
        self._close_segment()
        chain_files: list[RingFile] = []
        try:
            segment = self._write_snapshot(items, chain_files)
        except BaseException:
            self.pool.release(chain_files)  # at the end of the queue: the next attempt uses other files first
            raise
        self.pool.release(self._in_use)
        self._in_use = chain_files
        self._snapshot_start = 0
        self._segment = segment

    def needs_spare(self) -> bool:
        """Whether a spare file should be prepared before it is needed."""
        segment = self._segment
        return segment is not None and segment.offset * 2 > segment.file.size and self.pool.needs_spare()

    def close(self) -> None:
        """Close the files."""
        self._close_segment()
        self.pool.close()

    def _write_snapshot(self, items: Iterable[tuple[bytes, bytes]], chain_files: list[RingFile]) -> Segment:
        """Write and sync a new chain that contains `items`; returns its last segment."""
        segment, encoded_header = self._next_segment(None, SegmentFlag.SNAPSHOT_STARTS, chain_files)
        try:
            self.pool.write(segment.handle, 0, encoded_header)
            for entries, payload_bytes, is_last in _snapshot_frames(
                items, min(SNAPSHOT_FRAME_BYTES, self.max_payload_bytes)
            ):
                if payload_bytes > segment.free_payload_bytes:
                    self.pool.sync(segment.file, segment.handle)
                    close_quietly(segment.handle)
                    segment, encoded_header = self._next_segment(segment, SegmentFlag.NONE, chain_files)
                    self.pool.write(segment.handle, 0, encoded_header)
                flags = FrameFlag.SNAPSHOT_ENDS if is_last else FrameFlag.NONE
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
        self, previous: Segment | None, flags: SegmentFlag, chain_files: list[RingFile]
    ) -> tuple[Segment, bytes]:
        """Return a new segment that follows `previous` (None: a new chain), and its unwritten encoded header.

        The file is added to `chain_files` even if opening it fails.
        """
        file = self.pool.acquire()
        chain_files.append(file)
        handle = self.pool.open(file)
        self._sequence += 1
        previous_life, previous_chain = (previous.life, previous.chain) if previous else (0, 0)
        header = SegmentHeader(self._sequence, self._draw_life(), previous_life, previous_chain, flags)
        encoded_header, chain = encode_segment(header)
        return Segment(file, handle, header.life, len(encoded_header), chain), encoded_header

    def _release_before_snapshot(self) -> None:
        self.pool.release(self._in_use[: self._snapshot_start])
        del self._in_use[: self._snapshot_start]
        self._snapshot_start = 0

    def _close_segment(self) -> None:
        segment, self._segment = self._segment, None
        if segment is not None:
            close_quietly(segment.handle)


def _snapshot_frames(
    items: Iterable[tuple[bytes, bytes]], max_bytes: int
) -> Iterable[tuple[list[Change], int, bool]]:
    """Split the items into frames: yields (entries, payload bytes, whether it is the last frame)."""
    entries: list[Change] = []
    payload_bytes = 0
    for key, value in items:
        size = entry_bytes(key, value)
        if entries and payload_bytes + size > max_bytes:
            yield entries, payload_bytes, False
            entries, payload_bytes = [], 0
        entries.append((key, value))
        payload_bytes += size
    yield entries, payload_bytes, True
