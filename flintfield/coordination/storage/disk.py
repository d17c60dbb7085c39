"""The file operations that the store needs, and their implementation on the operating system.

Every operation blocks and may raise `OSError`. Each read and write takes an explicit offset, so that a
simulated disk sees each write as (file, offset, bytes). The simulated disk for tests is in tests/system.
"""

from __future__ import annotations

import os
from typing import Protocol


class DiskFile(Protocol):
    """An open file. After a failed sync it must be closed, and its content must be treated as unknown."""

    def size(self) -> int:
        """The length of the file in bytes."""

    def read(self, offset: int, length: int) -> bytes:
        """Read up to `length` bytes; returns fewer only at the end of the file."""

    def write(self, offset: int, data: bytes) -> None:
        """Write all of `data` at `offset`."""

    def sync_data(self) -> None:
        """Return once the bytes written so far are durable; the file length must already be durable."""

    def sync_all(self) -> None:
        """Return once the bytes and the file length are durable."""

    def close(self) -> None:
        """Close the file."""


class Disk(Protocol):
    """The file system operations on one directory."""

    def names(self, directory: str) -> list[str]:
        """The file names in the directory, which is created if it doesn't exist."""

    def open(self, path: str) -> DiskFile:
        """Open a file for reading and writing; it is created empty if it doesn't exist."""

    def sync_directory(self, directory: str) -> None:
        """Return once the directory entries are durable."""


class OsFile:
    """A file of the operating system. Not thread-safe: used by one thread at a time."""

    def __init__(self, path: str) -> None:
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        self._position = 0

    def size(self) -> int:
        """The length of the file in bytes."""
        self._position = os.lseek(self._descriptor, 0, os.SEEK_END)
        return self._position

    def read(self, offset: int, length: int) -> bytes:
        """Read up to `length` bytes; returns fewer only at the end of the file."""
        self._seek(offset)
        chunks = []
        while length > 0:
            chunk = os.read(self._descriptor, length)
            if not chunk:
                break
            chunks.append(chunk)
            length -= len(chunk)
            self._position += len(chunk)
        return b"".join(chunks)

    def write(self, offset: int, data: bytes) -> None:
        """Write all of `data` at `offset`."""
        self._seek(offset)
        remaining = memoryview(data)
        while remaining:
            written = os.write(self._descriptor, remaining)
            self._position += written
            remaining = remaining[written:]

    def sync_data(self) -> None:
        """Call `fdatasync`."""
        os.fdatasync(self._descriptor)

    def sync_all(self) -> None:
        """Call `fsync`."""
        os.fsync(self._descriptor)

    def close(self) -> None:
        """Close the descriptor; it counts as closed even if the system call fails."""
        descriptor, self._descriptor = self._descriptor, -1
        if descriptor >= 0:
            os.close(descriptor)

    def _seek(self, offset: int) -> None:
        if self._position != offset:
            self._position = -1  # unknown if the seek fails
            self._position = os.lseek(self._descriptor, offset, os.SEEK_SET)


class OsDisk:
    """A `Disk` on the file system of the operating system."""

    def names(self, directory: str) -> list[str]:
        """The file names in the directory, which is created if it doesn't exist."""
        try:
            return os.listdir(directory)
        except FileNotFoundError:
            os.makedirs(directory, exist_ok=True)
            self.sync_directory(os.path.dirname(os.path.abspath(directory)))
            return []

    def open(self, path: str) -> DiskFile:
        """Open a file for reading and writing; it is created empty if it doesn't exist."""
        return OsFile(path)

    def sync_directory(self, directory: str) -> None:
        """Call `fsync` on the directory."""
        descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
