"""The files of the ring that are not in use, and how new ones are made.

A file is preallocated by writing zeros over its whole length, because a sparse file could meet a full
disk later. The ring grows only as files are needed; `prepare_spare` makes the next one ahead of time, in
steps between the rounds.
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

SMALLEST_SEGMENT = 256  # bytes; only tests have one so small
LARGEST_SEGMENT = 1 << 20  # bytes: preallocated within 9 ms at 120 MB/s, so the first start is not held up
SEGMENTS_IN_LIMIT = 64  # a segment is at most this part of the limit, so little is lost at their ends
ZEROS_AT_ONCE = 128 << 10  # bytes of one step of preallocation: 1 ms at 120 MB/s


@dataclass(slots=True)
class RingFile:
    """A file of the ring.

    `filled`: its whole length was written once, so no write to it needs space. `synced`: this process
    synced it and its folder, so that its length and its name last and syncing its data is enough.
    """

    number: int
    size: int
    filled: bool
    synced: bool


@dataclass(slots=True)
class PoolCounters:
    """What the disk was asked to do since the open."""

    syncs: int = 0
    written_bytes: int = 0
    zeroed_bytes: int = 0


@dataclass(slots=True)
class _Spare:
    """A file that is being preallocated."""

    file: RingFile
    handle: DiskFile
    done_bytes: int = 0


def segment_bytes_for(limit_bytes: int) -> int:
    """The length of a file of the ring."""
    return max(SMALLEST_SEGMENT, min(LARGEST_SEGMENT, limit_bytes // SEGMENTS_IN_LIMIT))


class FilePool:
    """Makes, opens, writes and syncs files, and keeps the free ones. Methods with I/O raise `OSError`."""

    def __init__(self, disk: Disk, directory: str, limit_bytes: int) -> None:
        self.segment_bytes = segment_bytes_for(limit_bytes)
        self.counters = PoolCounters()
        self.total_bytes = 0
        self._disk = disk
        self._directory = directory
        self._limit_bytes = limit_bytes
        self._next_number = 0
        self._free: deque[RingFile] = deque()
        self._spare: _Spare | None = None

    def adopt(self, number: int, size: int) -> RingFile:
        """Count a file that the recovery found; the caller either uses it or gives it to `release`."""
        file = RingFile(number, size, filled=size >= self.segment_bytes, synced=False)
        self.total_bytes += size
        self._next_number = max(self._next_number, number + 1)
        return file

    def release(self, files: Iterable[RingFile]) -> None:
        """Take these files back; the one that has been free longest is taken first."""
        self._free.extend(files)

    def take(self) -> RingFile:
        """A free file, or a new one; `open` makes it whole. Raises `OSError` at the limit."""
        if not self._free:
            return self._new()
        file = self._free.popleft()
        if file.size < self.segment_bytes:
            self.total_bytes += self.segment_bytes - file.size
            file.size = self.segment_bytes
        return file

    def open(self, file: RingFile) -> DiskFile:
        """A fresh descriptor, after preallocating the file if that was never completed."""
        handle = self._open_raw(file)
        if file.filled:
            return handle
        try:
            for at in range(0, file.size, ZEROS_AT_ONCE):
                self._zero(handle, at, min(ZEROS_AT_ONCE, file.size - at))
        except BaseException:
            close_quietly(handle)
            raise
        return handle

    def write(self, handle: DiskFile, offset: int, data: bytes) -> None:
        """Write these bytes there."""
        handle.write(offset, data)
        self.counters.written_bytes += len(data)

    def sync(self, file: RingFile, handle: DiskFile) -> None:
        """Return once what was written to it is durable; the first time, its length and name too."""
        self.counters.syncs += 1
        if file.synced:
            handle.sync_data()
            return
        handle.sync_all()
        self._disk.sync_directory(self._directory)
        file.filled = file.synced = True

    def wants_spare(self) -> bool:
        """Whether a spare is being made, or there is no free file and room for one."""
        if self._spare is not None:
            return True
        return not self._free and self.total_bytes + self.segment_bytes <= self._limit_bytes

    def prepare_spare(self) -> None:
        """One step of making a free file; `wants_spare` tells whether it needs more."""
        if self._spare is None:
            file = self._new()
            self._free.append(file)  # should the next line fail
            handle = self._open_raw(file)
            self._free.pop()
            self._spare = _Spare(file, handle)
        spare, self._spare = self._spare, None
        try:
            step = min(ZEROS_AT_ONCE, spare.file.size - spare.done_bytes)
            self._zero(spare.handle, spare.done_bytes, step)
            spare.done_bytes += step
            if spare.done_bytes < spare.file.size:
                self._spare = spare
                return
            self.sync(spare.file, spare.handle)
        except BaseException:
            close_quietly(spare.handle)
            self._free.append(spare.file)  # not filled: `open` begins anew
            raise
        close_quietly(spare.handle)
        self._free.append(spare.file)

    def close(self) -> None:
        """Close the spare that is being made."""
        if self._spare is not None:
            close_quietly(self._spare.handle)
            self._spare = None

    def _new(self) -> RingFile:
        if self.total_bytes + self.segment_bytes > self._limit_bytes:
            raise OSError(errno.ENOSPC, "the ring has reached its limit")
        file = RingFile(self._next_number, self.segment_bytes, filled=False, synced=False)
        self._next_number += 1
        self.total_bytes += file.size
        return file

    def _open_raw(self, file: RingFile) -> DiskFile:
        return self._disk.open(os.path.join(self._directory, file_name(file.number)))

    def _zero(self, handle: DiskFile, offset: int, length: int) -> None:
        handle.write(offset, bytes(length))
        self.counters.zeroed_bytes += length


def close_quietly(handle: DiskFile) -> None:
    """Close it; what the system says to that changes nothing, since whatever matters was synced."""
    with suppress(OSError):
        handle.close()
