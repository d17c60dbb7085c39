"""Creation and I/O of the files of the ring, and the list of free files.

A file is preallocated by writing zeros over its whole length, because a later write to a sparse file could
fail on a full disk. The ring grows only when files are needed; `prepare_spare` creates the next file in
advance, in steps between the commit rounds.
"""

from __future__ import annotations

import errno
import os
from collections import deque
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass

from flintfield.coordination.storage.disk import Disk, DiskFile
from flintfield.coordination.storage.recovery import file_name

MIN_SEGMENT_BYTES = 256  # bytes; only tests use files this small
MAX_SEGMENT_BYTES = 1 << 20  # bytes: preallocated within 9 ms at 120 MB/s, to keep the first start short
MIN_SEGMENTS_IN_LIMIT = 64  # a segment is at most 1/64 of the limit, so little space at its end is unused
ZERO_CHUNK_BYTES = 128 << 10  # bytes per preallocation step: 1 ms at 120 MB/s


@dataclass(slots=True)
class RingFile:
    """A file of the ring.

    `preallocated`: its whole length has been written, so no write to it needs more disk space. `synced`: this
    process synced the file and its directory, so its length and name are durable and `sync_data` is enough.
    """

    number: int
    size: int
    preallocated: bool
    synced: bool


@dataclass(slots=True)
class PoolCounters:
    """Disk operations since the open."""

    syncs: int = 0
    written_bytes: int = 0
    zeroed_bytes: int = 0


@dataclass(slots=True)
class _Spare:
    """A spare file that is being preallocated."""

    file: RingFile
    handle: DiskFile
    preallocated_bytes: int = 0


def segment_bytes_for(limit_bytes: int) -> int:
    """Return the length of each file of the ring."""
    return max(MIN_SEGMENT_BYTES, min(MAX_SEGMENT_BYTES, limit_bytes // MIN_SEGMENTS_IN_LIMIT))


class FilePool:
    """Creates, opens, writes and syncs files, and manages the free ones. Methods with I/O raise `OSError`."""

    def __init__(self, disk: Disk, directory: str, limit_bytes: int) -> None:
        self.segment_bytes = segment_bytes_for(limit_bytes)
        self.counters = PoolCounters()
        self.total_bytes = 0
        self._disk = disk
        self._directory = directory
        self._limit_bytes = limit_bytes
        self._next_number = 0
        self._free_files: deque[RingFile] = deque()
        self._spare: _Spare | None = None

    def adopt(self, number: int, size: int) -> RingFile:
        """Register a file found by the recovery; the caller either uses it or passes it to `release`."""
        file = RingFile(number, size, preallocated=size >= self.segment_bytes, synced=False)
        self.total_bytes += size
        self._next_number = max(self._next_number, number + 1)
        return file

    def release(self, files: Iterable[RingFile]) -> None:
        """Return files to the free list; they are reused in first-in, first-out order."""
        self._free_files.extend(files)

    def acquire(self) -> RingFile:
        """Return a free file or a new one; `open` preallocates it. Raises `OSError` at the limit."""
        if not self._free_files:
            return self._new_file()
        file = self._free_files.popleft()
        if file.size < self.segment_bytes:
            self.total_bytes += self.segment_bytes - file.size
            file.size = self.segment_bytes
        return file

    def open(self, file: RingFile) -> DiskFile:
        """Return a new descriptor; preallocates the file first if it isn't completely preallocated."""
        handle = self._open_file(file)
        if file.preallocated:
            return handle
        try:
            for offset in range(0, file.size, ZERO_CHUNK_BYTES):
                self._write_zeros(handle, offset, min(ZERO_CHUNK_BYTES, file.size - offset))
        except BaseException:
            close_quietly(handle)
            raise
        return handle

    def write(self, handle: DiskFile, offset: int, data: bytes) -> None:
        """Write `data` at `offset`."""
        handle.write(offset, data)
        self.counters.written_bytes += len(data)

    def sync(self, file: RingFile, handle: DiskFile) -> None:
        """Make the data written to the file durable; on the first call also its length and name."""
        self.counters.syncs += 1
        if file.synced:
            handle.sync_data()
            return
        handle.sync_all()
        self._disk.sync_directory(self._directory)
        file.preallocated = file.synced = True

    def needs_spare(self) -> bool:
        """Whether a spare is being created, or could be: no file is free and the limit allows one more."""
        if self._spare is not None:
            return True
        return not self._free_files and self.total_bytes + self.segment_bytes <= self._limit_bytes

    def prepare_spare(self) -> None:
        """Run one step of creating a spare file; repeat while `needs_spare` is true."""
        if self._spare is None:
            file = self._new_file()
            self._free_files.append(file)  # in case the next line raises
            handle = self._open_file(file)
            self._free_files.pop()
            self._spare = _Spare(file, handle)
        spare, self._spare = self._spare, None
        try:
            chunk_bytes = min(ZERO_CHUNK_BYTES, spare.file.size - spare.preallocated_bytes)
            self._write_zeros(spare.handle, spare.preallocated_bytes, chunk_bytes)
            spare.preallocated_bytes += chunk_bytes
            if spare.preallocated_bytes < spare.file.size:
                self._spare = spare
                return
            self.sync(spare.file, spare.handle)
        except BaseException:
            close_quietly(spare.handle)
            self._free_files.append(spare.file)  # not preallocated: `open` starts over
            raise
        close_quietly(spare.handle)
        self._free_files.append(spare.file)

    def close(self) -> None:
        """Close the spare file that is being created."""
        if self._spare is not None:
            close_quietly(self._spare.handle)
            self._spare = None

    def _new_file(self) -> RingFile:
        if self.total_bytes + self.segment_bytes > self._limit_bytes:
            raise OSError(errno.ENOSPC, "the files of the ring have reached their size limit")
        file = RingFile(self._next_number, self.segment_bytes, preallocated=False, synced=False)
        self._next_number += 1
        self.total_bytes += file.size
        return file

    def _open_file(self, file: RingFile) -> DiskFile:
        return self._disk.open(os.path.join(self._directory, file_name(file.number)))

    def _write_zeros(self, handle: DiskFile, offset: int, length: int) -> None:
        handle.write(offset, bytes(length))
        self.counters.zeroed_bytes += length


def close_quietly(handle: DiskFile) -> None:
    """Close the file and ignore errors: all data that must be durable was synced before."""
    with suppress(OSError):
        handle.close()
