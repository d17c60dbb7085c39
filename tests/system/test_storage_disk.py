"""A simulated disk for the tests of the store, and what it promises itself.

The disk keeps for each file what is durable and the writes since its last sync. A loss of power keeps,
drops or tears each of those writes independently and in any order, and may lose the name of a file that
was never synced. A sync that fails is final for its descriptor: what it should have written is then
there, missing or torn, and no later sync of another descriptor writes it, though reads still show it (as
Linux does).
"""

from __future__ import annotations

import errno
import os
import random
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field


class PowerCut(BaseException):
    """The process ended within a call; nothing after it happens."""


@dataclass(frozen=True)
class Write:
    """A write that no sync has covered."""

    offset: int
    data: bytes


Survival = Callable[[Write], list[Write]]
"""What is left of a write after a loss of power."""


def kept(write: Write) -> list[Write]:
    """All of it."""
    return [write]


def lost(_write: Write) -> list[Write]:
    """Nothing."""
    return []


def first_bytes(write: Write, count: int) -> Write:
    """Its beginning."""
    return Write(write.offset, write.data[:count])


def by_chance(chance: random.Random) -> Survival:
    """Kept, lost, or torn: some blocks of 16 bytes are there."""

    def survive(write: Write) -> list[Write]:
        case = chance.randrange(4)
        if case == 0:
            return [write]
        if case == 1:
            return []
        if case == 2:
            return [first_bytes(write, chance.randint(0, len(write.data)))]
        blocks = range(0, len(write.data), 16)
        return [Write(write.offset + at, write.data[at : at + 16]) for at in blocks if chance.random() < 0.5]

    return survive


@dataclass
class Inode:
    """The content of a file: durable, as it is read, and the writes between the two."""

    durable: bytearray = field(default_factory=bytearray)
    cache: bytearray = field(default_factory=bytearray)
    unsynced: list[Write] = field(default_factory=list)
    name_durable: bool = False

    def copy(self) -> Inode:
        """A deep copy."""
        return Inode(bytearray(self.durable), bytearray(self.cache), list(self.unsynced), self.name_durable)


def put(content: bytearray, write: Write) -> None:
    """Write into a content, with zeros in a gap before it."""
    if not write.data:
        return
    end = write.offset + len(write.data)
    if len(content) < end:
        content.extend(bytes(end - len(content)))
    content[write.offset : end] = write.data


class SimulatedFile:
    """A descriptor."""

    def __init__(self, disk: SimulatedDisk, inode: Inode) -> None:
        self._disk = disk
        self._inode = inode
        self._failed = False
        self._closed = False

    def size(self) -> int:
        """Its length in bytes."""
        self._disk.step()
        return len(self._inode.cache)

    def read(self, offset: int, length: int) -> bytes:
        """Up to that many bytes."""
        self._disk.step()
        return bytes(self._inode.cache[offset : offset + length])

    def write(self, offset: int, data: bytes) -> None:
        """Write, or refuse after a part of it."""
        assert not self._closed and not self._failed, "a descriptor whose sync failed is written to"
        self._disk.step()
        if self._disk.refuses_writes:
            part = self._disk.chance.randint(0, len(data))
            self._put(Write(offset, data[:part]))
            raise OSError(errno.ENOSPC, "the disk takes no more bytes")
        self._put(Write(offset, data))

    def sync_data(self) -> None:
        """`fdatasync`; the simulated disk doesn't need to know a new length apart."""
        self.sync_all()

    def sync_all(self) -> None:
        """`fsync`."""
        assert not self._closed and not self._failed, "a descriptor whose sync failed is synced again"
        self._disk.step()
        self._disk.syncs += 1
        inode = self._inode
        writes, inode.unsynced = inode.unsynced, []
        if self._disk.failing_syncs > 0:
            self._disk.failing_syncs -= 1
            self._failed = True
            survive = by_chance(self._disk.chance)
            for write in writes:
                for part in survive(write):
                    put(inode.durable, part)
            self._disk.changed()
            raise OSError(errno.EIO, "the sync failed")
        for write in writes:
            put(inode.durable, write)
        inode.name_durable = True
        self._disk.changed()

    def close(self) -> None:
        """Close it."""
        self._closed = True

    def _put(self, write: Write) -> None:
        put(self._inode.cache, write)
        self._inode.unsynced.append(write)
        self._disk.changed()


class SimulatedDisk:
    """One folder. `on_change` is called after each write and sync."""

    def __init__(self, seed: int = 0) -> None:
        self.inodes: dict[str, Inode] = {}
        self.chance = random.Random(seed)
        self.refuses_writes = False
        self.failing_syncs = 0
        self.syncs = 0
        self.steps_until_cut: int | None = None
        self.on_change: Callable[[], None] | None = None

    def names(self, directory: str) -> list[str]:
        """The names in the folder."""
        self.step()
        return list(self.inodes)

    def open(self, path: str) -> SimulatedFile:
        """Open a file; it is created, empty, if it's missing."""
        self.step()
        inode = self.inodes.setdefault(os.path.basename(path), Inode())
        return SimulatedFile(self, inode)

    def sync_directory(self, directory: str) -> None:
        """Return once the names are durable."""
        self.step()
        self.syncs += 1
        if self.failing_syncs > 0:
            self.failing_syncs -= 1
            raise OSError(errno.EIO, "the sync failed")
        for inode in self.inodes.values():
            inode.name_durable = True
        self.changed()

    def step(self) -> None:
        """Count a call; raises `PowerCut` when its time has come, and ever after."""
        if self.steps_until_cut is not None:
            if self.steps_until_cut <= 0:
                raise PowerCut
            self.steps_until_cut -= 1

    def changed(self) -> None:
        """Let the test look at the disk."""
        if self.on_change is not None:
            self.on_change()

    def total_bytes(self) -> int:
        """The length of all files."""
        return sum(len(inode.cache) for inode in self.inodes.values())

    def unsynced(self) -> list[Write]:
        """All writes that a loss of power may drop, oldest first in each file."""
        return [write for inode in self.inodes.values() for write in inode.unsynced]

    def after_kill(self) -> SimulatedDisk:
        """The disk as the next process finds it; nothing is lost, nothing is synced."""
        following = SimulatedDisk(self.chance.getrandbits(32))
        following.inodes = {name: inode.copy() for name, inode in self.inodes.items()}
        return following

    def after_power_loss(
        self,
        survive: Survival,
        keep_name: Callable[[], bool] = lambda: True,
        shuffle: Callable[[list[Write]], None] = lambda writes: None,
    ) -> SimulatedDisk:
        """The disk after a loss of power."""
        following = SimulatedDisk(self.chance.getrandbits(32))
        for name, inode in self.inodes.items():
            if not inode.name_durable and not keep_name():
                continue
            content = bytearray(inode.durable)
            writes = list(inode.unsynced)
            shuffle(writes)
            for write in writes:
                for part in survive(write):
                    put(content, part)
            following.inodes[name] = Inode(content, bytearray(content), [], True)
        return following

    def after_random_power_loss(self) -> SimulatedDisk:
        """A loss of power where chance decides on each write and name; at times all of them go."""
        chance = random.Random(self.chance.getrandbits(32))
        survive = lost if chance.random() < 0.25 else by_chance(chance)
        return self.after_power_loss(survive, lambda: chance.random() < 0.5, chance.shuffle)


class SimulatedDiskTest(unittest.TestCase):
    """The disk does what the tests of the store count on."""

    def setUp(self) -> None:
        self.disk = SimulatedDisk()
        self.file = self.disk.open("folder/name")

    def content(self, disk: SimulatedDisk) -> bytes:
        return bytes(disk.inodes["name"].cache)

    def test_synced_bytes_outlast_a_loss_of_power_and_later_ones_may_not(self) -> None:
        self.file.write(0, b"abcdef")
        self.file.sync_data()
        self.file.write(0, b"XYZ")
        self.assertEqual(self.content(self.disk.after_power_loss(lost)), b"abcdef")
        self.assertEqual(self.content(self.disk.after_power_loss(kept)), b"XYZdef")
        torn = self.disk.after_power_loss(lambda write: [first_bytes(write, 1)])
        self.assertEqual(self.content(torn), b"Xbcdef")

    def test_a_kill_loses_nothing(self) -> None:
        self.file.write(0, b"abc")
        self.assertEqual(self.content(self.disk.after_kill()), b"abc")

    def test_the_name_of_a_file_that_was_never_synced_may_go(self) -> None:
        self.file.write(0, b"abc")
        self.assertEqual(self.disk.after_power_loss(kept, lambda: False).inodes, {})
        self.file.sync_data()
        self.assertIn("name", self.disk.after_power_loss(kept, lambda: False).inodes)

    def test_what_a_failed_sync_did_not_write_is_never_written(self) -> None:
        self.disk.chance = random.Random(1)
        self.file.write(0, b"0123456789abcdef" * 8)
        self.disk.failing_syncs = 1
        with self.assertRaises(OSError):
            self.file.sync_data()
        self.disk.open("folder/name").sync_data()
        self.assertEqual(self.content(self.disk.after_kill()), b"0123456789abcdef" * 8)
        self.assertNotEqual(self.content(self.disk.after_power_loss(kept)), b"0123456789abcdef" * 8)

    def test_a_disk_that_refuses_may_take_a_part(self) -> None:
        self.disk.refuses_writes = True
        with self.assertRaises(OSError):
            self.file.write(0, b"abc")
        self.assertTrue(b"abc".startswith(self.content(self.disk)))

    def test_nothing_happens_after_a_cut(self) -> None:
        self.disk.steps_until_cut = 1
        self.file.write(0, b"abc")
        with self.assertRaises(PowerCut):
            self.file.write(3, b"def")
        self.assertEqual(self.content(self.disk), b"abc")
