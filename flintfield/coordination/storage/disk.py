"""The few file operations that the store uses, and the operating system's.

Every operation blocks and raises `OSError`. Positions are told with each call, so that a simulated disk
sees each write as (file, offset, bytes). The simulated one for tests is in tests/system.
"""

from __future__ import annotations

import os
from typing import Protocol


class DiskFile(Protocol):
    """An open file. A failed sync is final for it: it must be closed, and its content be taken as unknown."""

    def size(self) -> int:
        """Its length in bytes."""

    def read(self, offset: int, length: int) -> bytes:
        """Up to that many bytes; fewer only at the end of the file."""

    def write(self, offset: int, data: bytes) -> None:
        """Write all of these bytes there."""

    def sync_data(self) -> None:
        """Return once the bytes written so far are durable; the length was made so before."""

    def sync_all(self) -> None:
        """Return once the bytes and the length are durable."""

    def close(self) -> None:
        """Close it."""


class Disk(Protocol):
    """A folder's worth of a file system."""

    def names(self, directory: str) -> list[str]:
        """The names in the folder, which is created if it's missing."""

    def open(self, path: str) -> DiskFile:
        """Open a file to read and write; it is created, empty, if it's missing."""

    def sync_directory(self, directory: str) -> None:
        """Return once the names in the folder are durable."""


class OsFile:
    """A file of the operating system; used by one thread at a time."""

    def __init__(self, path: str) -> None:
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        self._position = 0

    def size(self) -> int:
        """Its length in bytes."""
        self._position = os.lseek(self._descriptor, 0, os.SEEK_END)
        return self._position

    def read(self, offset: int, length: int) -> bytes:
        """Up to that many bytes; fewer only at the end of the file."""
        self._seek(offset)
        parts = []
        while length > 0:
            part = os.read(self._descriptor, length)
            if not part:
                break
            parts.append(part)
            length -= len(part)
            self._position += len(part)
        return b"".join(parts)

    def write(self, offset: int, data: bytes) -> None:
        """Write all of these bytes there."""
        self._seek(offset)
        view = memoryview(data)
        while view:
            written = os.write(self._descriptor, view)
            self._position += written
            view = view[written:]

    def sync_data(self) -> None:
        """`fdatasync`."""
        os.fdatasync(self._descriptor)

    def sync_all(self) -> None:
        """`fsync`."""
        os.fsync(self._descriptor)

    def close(self) -> None:
        """Close the descriptor, whatever the system says to it."""
        descriptor, self._descriptor = self._descriptor, -1
        if descriptor >= 0:
            os.close(descriptor)

    def _seek(self, offset: int) -> None:
        if self._position != offset:
            self._position = -1  # unknown, should the seek fail
            self._position = os.lseek(self._descriptor, offset, os.SEEK_SET)


class OsDisk:
    """The operating system's files."""

    def names(self, directory: str) -> list[str]:
        """The names in the folder, which is created if it's missing."""
        try:
            return os.listdir(directory)
        except FileNotFoundError:
            os.makedirs(directory, exist_ok=True)
            self.sync_directory(os.path.dirname(os.path.abspath(directory)))
            return []

    def open(self, path: str) -> DiskFile:
        """Open a file to read and write; it is created, empty, if it's missing."""
        return OsFile(path)

    def sync_directory(self, directory: str) -> None:
        """`fsync` of the folder."""
        descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
