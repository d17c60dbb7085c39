"""The file system as the engine sees it: a small interface, and the real one behind it.

Everything that the store does to a disk goes through `Folder` and `File`, so that tests can put a simulated
disk there (`simdisk.py`) that loses, tears and refuses as disks do. The contract is POSIX's and no more:

- `pread` and `pwrite` may do less than asked; `read_at` and `write_at` go on until all is done.
- What was written is on disk after `File.sync`; a new, renamed or removed name is after `Folder.sync`.
- A file lives on while somebody holds its `File`, also when its name is gone.
- A `File` closes when nobody holds it any more (CPython counts references); `close` does it at once.
"""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol

from flintfield.store.errors import Locked


class File(Protocol):
    """One open file. All raise OSError."""

    def pread(self, size: int, offset: int) -> bytes:
        """At most `size` bytes from `offset`; fewer at the end of the file, and whenever it pleases."""

    def pwrite(self, data: bytes | memoryview, offset: int) -> int:
        """Write at `offset`; how many bytes were written, at least one."""

    def sync(self) -> None:
        """Return when all that was written to this file, and its length, is on disk (fdatasync)."""

    def truncate(self, size: int) -> None:
        """Cut to `size` bytes."""

    def size(self) -> int:
        """Length in bytes."""

    def close(self) -> None:
        """Let go of it; twice is once."""


class Lock(Protocol):
    """A lock that ends with `release`, or with the process."""

    def release(self) -> None:
        """Let others have it."""


class Folder(Protocol):
    """One folder of files, without folders in it. All raise OSError."""

    def names(self) -> list[str]:
        """The files that are there."""

    def open(self, name: str) -> File:
        """An existing file."""

    def create(self, name: str) -> File:
        """A new, empty file; one of that name that is there already is emptied."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, in place of the one that has it, in one step."""

    def remove(self, name: str) -> None:
        """Take a name away; the file lives on while it is open."""

    def sync(self) -> None:
        """Return when all names are on disk as they are now."""

    def lock(self, name: str) -> Lock:
        """Lock against other openers. Raises `Locked`."""


def read_at(file: File, size: int, offset: int) -> bytes:
    """`size` bytes from `offset`; fewer only at the end of the file. Guards against short reads."""
    data = file.pread(size, offset)
    if len(data) == size or not data:
        return data
    parts, have = [data], len(data)
    while have < size:
        data = file.pread(size - have, offset + have)
        if not data:
            break
        parts.append(data)
        have += len(data)
    return b"".join(parts)


def write_at(file: File, data: bytes, offset: int) -> None:
    """Write all of it. Guards against short writes."""
    done = file.pwrite(data, offset)
    if done == len(data):
        return
    rest = memoryview(data)
    while done < len(data):
        done += file.pwrite(rest[done:], offset + done)


class RealFile:
    """A file descriptor."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def pread(self, size: int, offset: int) -> bytes:
        """See `File`."""
        return os.pread(self._descriptor, size, offset)

    def pwrite(self, data: bytes | memoryview, offset: int) -> int:
        """See `File`."""
        return os.pwrite(self._descriptor, data, offset)

    def sync(self) -> None:
        """See `File`."""
        os.fdatasync(self._descriptor)

    def truncate(self, size: int) -> None:
        """See `File`."""
        os.ftruncate(self._descriptor, size)

    def size(self) -> int:
        """See `File`."""
        return os.fstat(self._descriptor).st_size

    def close(self) -> None:
        """See `File`."""
        descriptor, self._descriptor = self._descriptor, -1
        if descriptor >= 0:
            os.close(descriptor)

    def __del__(self) -> None:
        self.close()


class RealLock:
    """flock on a file of its own: it ends with the process, however that ends."""

    def __init__(self, path: Path) -> None:
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            # flock, not fcntl's record locks: those would let a second opener within this process in.
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            os.close(self._descriptor)
            raise Locked(str(path.parent)) from error

    def release(self) -> None:
        """See `Lock`."""
        os.close(self._descriptor)


class RealFolder:
    """A folder on disk; with `read_only` every change raises OSError (EROFS)."""

    def __init__(self, path: str | Path, read_only: bool = False) -> None:
        self.path = Path(path)
        self._read_only = read_only

    def _changes(self) -> None:
        if self._read_only:
            raise OSError(errno.EROFS, "opened for reading only", str(self.path))

    def names(self) -> list[str]:
        """See `Folder`."""
        return [entry.name for entry in os.scandir(self.path) if entry.is_file()]

    def open(self, name: str) -> File:
        """See `Folder`."""
        return RealFile(os.open(self.path / name, os.O_RDONLY if self._read_only else os.O_RDWR))

    def create(self, name: str) -> File:
        """See `Folder`."""
        self._changes()
        return RealFile(os.open(self.path / name, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644))

    def rename(self, old: str, new: str) -> None:
        """See `Folder`."""
        self._changes()
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """See `Folder`."""
        self._changes()
        os.unlink(self.path / name)

    def sync(self) -> None:
        """See `Folder`."""
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self, name: str) -> Lock:
        """See `Folder`."""
        self._changes()
        return RealLock(self.path / name)
