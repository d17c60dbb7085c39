"""A simulated disk behind `fs.Folder`, for tests: it does what real ones may do at the worst moment.

Theory of operation. Each file has what readers see (the page cache) and what is on the platter, and the
sectors that differ. A power cut decides for each of them, by chance, whether it made it, did not, or was
torn in the middle; for the length, any value between; for names, each change since the folder's last sync
by itself, for POSIX promises no order (Pillai et al., "All File Systems Are Not Created Equal", OSDI 2014).
A killed process loses nothing of that.

Faults come by number: each call is counted, and `Plan` tells what happens at which. A sync that fails marks
its pages clean without writing them, as Linux does (Rebello et al., "Can Applications Recover from fsync
Failures?", ATC 2020): they read back and are never written.

`hook`, if set, is called with the disk before each call that changes something; a crash explorer copies the
disk there.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from flintfield.store.errors import Locked
from flintfield.store.fs import File, Lock

SECTOR = 512


class PowerCut(BaseException):
    """The power is gone at this call. Not an Exception: nothing may handle it."""


@dataclass
class Plan:
    """What goes wrong: by number of the call, counted from 0 over all calls that change something.

    `cut` is the call at which the power goes; `failed_syncs` are syncs, counted by themselves, that fail;
    `room` is the disk's size in bytes; `short` the chance that a read or write does only a part.
    """

    cut: int | None = None
    failed_syncs: frozenset[int] = frozenset()
    room: int | None = None
    short: float = 0.0


class _Node:
    """A file's bytes: `seen` by readers, `kept` on the platter, and the sectors in which they differ."""

    __slots__ = ("dirty", "kept", "seen")

    def __init__(self, content: bytes = b"") -> None:
        self.seen, self.kept = bytearray(content), bytes(content)
        self.dirty: set[int] = set()

    def copy(self) -> _Node:
        node = _Node()
        node.seen, node.kept, node.dirty = self.seen[:], self.kept, self.dirty.copy()
        return node

    def after_cut(self, chance: random.Random) -> bytes:
        """What a power cut leaves."""
        shorter, longer = sorted((len(self.seen), len(self.kept)))
        length = chance.choice((shorter, longer, chance.randint(shorter, longer)))
        left = bytearray(self.kept[:length].ljust(length, b"\0"))
        for sector in sorted(self.dirty):
            start, end = sector * SECTOR, min((sector + 1) * SECTOR, length)
            fate = chance.random()
            if fate < 0.1:  # torn
                end = min(end, start + chance.randint(1, SECTOR - 1))
            if fate < 0.55 and start < end:
                left[start:end] = self.seen[start:end].ljust(end - start, b"\0")
        return bytes(left)


@dataclass
class _Change:
    """A change of names that no sync of the folder has made durable."""

    name: str
    node: _Node | None  # what the name stands for now; None: nothing
    gone: str | None = None  # a name that went in the same step


class SimDisk:
    """One folder on a disk of its own. Implements `fs.Folder`."""

    def __init__(self, chance: random.Random, files: Mapping[str, bytes] | None = None) -> None:
        self._chance = chance
        self._names = {name: _Node(content) for name, content in (files or {}).items()}
        self._kept_names = dict(self._names)
        self._changes: list[_Change] = []
        self.plan = Plan()
        self.hook: Callable[[SimDisk], None] | None = None
        self.calls = self.syncs = 0
        self.locked = False

    # --- what a test does to it

    def files(self) -> dict[str, bytes]:
        """What readers see."""
        return {name: bytes(node.seen) for name, node in self._names.items()}

    def after_kill(self, chance: random.Random) -> SimDisk:
        """The disk as a killed process leaves it: the page cache is still there. This disk is not touched."""
        copies: dict[int, _Node] = {}

        def copy(node: _Node) -> _Node:
            return copies.setdefault(id(node), node.copy())

        disk = SimDisk(chance)
        disk._names = {name: copy(node) for name, node in self._names.items()}
        disk._kept_names = {name: copy(node) for name, node in self._kept_names.items()}
        disk._changes = [_Change(change.name, change.node and copy(change.node), change.gone)
                         for change in self._changes]
        return disk

    def after_cut(self, chance: random.Random) -> SimDisk:
        """A disk as a power cut may leave this one, which is not touched."""
        names = dict(self._kept_names)
        for change in self._changes:
            if chance.random() < 0.5:
                if change.node is None:
                    names.pop(change.name, None)
                else:
                    names[change.name] = change.node
                if change.gone is not None:
                    names.pop(change.gone, None)
        return SimDisk(chance, {name: node.after_cut(chance) for name, node in names.items()})

    def _call(self) -> None:
        """A call that changes something is about to happen."""
        if self.hook is not None:
            self.hook(self)
        if self.plan.cut is not None and self.calls >= self.plan.cut:
            raise PowerCut
        self.calls += 1

    def _sync_call(self) -> bool:
        """Whether this sync works."""
        self._call()
        self.syncs += 1
        return self.syncs - 1 not in self.plan.failed_syncs

    def _some(self, size: int) -> int:
        """How much of a read or write is done at once."""
        return self._chance.randint(1, size) if size > 1 and self._chance.random() < self.plan.short else size

    def _too_much(self, growth: int) -> int:
        """How many bytes of this growth have no room."""
        if self.plan.room is None or growth <= 0:
            return 0
        free = max(0, self.plan.room - sum(len(node.seen) for node in self._names.values()))
        return max(0, growth - free)

    # --- `fs.Folder`

    def names(self) -> list[str]:
        """See `Folder`."""
        return sorted(self._names)

    def open(self, name: str) -> File:
        """See `Folder`."""
        if name not in self._names:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        return _SimFile(self, self._names[name])

    def create(self, name: str) -> File:
        """See `Folder`."""
        self._call()
        node = self._names.get(name)
        if node is None:
            node = self._names[name] = _Node()
            self._changes.append(_Change(name, node))
        else:
            node.dirty.update(range(len(node.seen) // SECTOR + 1))
            node.seen.clear()
        return _SimFile(self, node)

    def rename(self, old: str, new: str) -> None:
        """See `Folder`."""
        self._call()
        node = self._names[new] = self._names.pop(old)
        self._changes.append(_Change(new, node, old))

    def remove(self, name: str) -> None:
        """See `Folder`."""
        if name not in self._names:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        self._call()
        del self._names[name]
        self._changes.append(_Change(name, None))

    def sync(self) -> None:
        """See `Folder`."""
        if not self._sync_call():
            raise OSError(errno.EIO, "Input/output error")
        self._kept_names = dict(self._names)
        self._changes.clear()

    def lock(self, name: str) -> Lock:
        """See `Folder`."""
        if self.locked:
            raise Locked("the simulated disk")
        self.locked = True
        return _SimLock(self)


@dataclass
class _SimLock:
    _disk: SimDisk

    def release(self) -> None:
        """See `Lock`."""
        self._disk.locked = False


@dataclass
class _SimFile:
    """An open file."""

    _disk: SimDisk
    _node: _Node
    _closed: bool = field(default=False)

    def _open(self) -> None:
        if self._closed:
            raise OSError(errno.EBADF, "Bad file descriptor")

    def pread(self, size: int, offset: int) -> bytes:
        """See `File`."""
        self._open()
        return bytes(self._node.seen[offset:offset + self._disk._some(size)])

    def pwrite(self, data: bytes | memoryview, offset: int) -> int:
        """See `File`. A power cut may come after any part of it."""
        self._open()
        disk, node = self._disk, self._node
        disk._call()
        done = disk._some(len(data))
        done -= disk._too_much(offset + done - len(node.seen))
        if data and done <= 0:
            raise OSError(errno.ENOSPC, "No space left on device")
        if offset > len(node.seen):
            node.seen.extend(bytes(offset - len(node.seen)))
        node.seen[offset:offset + done] = data[:done]
        node.dirty.update(range(offset // SECTOR, (offset + done - 1) // SECTOR + 1))
        return done

    def sync(self) -> None:
        """See `File`. After a failure the pages count as clean and are not on the platter."""
        self._open()
        node = self._node
        if not self._disk._sync_call():
            node.dirty.clear()
            raise OSError(errno.EIO, "Input/output error")
        kept = bytearray(node.kept[:len(node.seen)].ljust(len(node.seen), b"\0"))
        for sector in node.dirty:
            kept[sector * SECTOR:(sector + 1) * SECTOR] = node.seen[sector * SECTOR:(sector + 1) * SECTOR]
        node.kept = bytes(kept)
        node.dirty.clear()

    def truncate(self, size: int) -> None:
        """See `File`. What is cut off may have been written back before, and the cut may not."""
        self._open()
        self._disk._call()
        node = self._node
        node.kept = node.after_cut(self._disk._chance)
        del node.seen[size:]
        node.seen.extend(bytes(size - len(node.seen)))
        node.dirty.update(range(size // SECTOR, len(node.kept) // SECTOR + 1))

    def size(self) -> int:
        """See `File`."""
        self._open()
        return len(self._node.seen)

    def close(self) -> None:
        """See `File`."""
        self._closed = True
