"""A simulated disk for the tests of the store, and tests of that simulation.

For each file the disk records the durable content and the writes since the last sync. A power loss keeps,
drops or tears each of those writes independently and in any order, and may lose the name of a file that was
never synced. A descriptor is unusable after a failed sync: the data of that sync may be durable, missing or
torn, and no later sync through another descriptor writes it, although reads still return it (as on Linux).
"""

from __future__ import annotations

import errno
import os
import random
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field


class PowerCut(BaseException):
    """Raised to end the simulated process within a disk call; no later call has an effect."""


@dataclass(frozen=True)
class Write:
    """A write that isn't synced yet."""

    offset: int
    data: bytes


Survival = Callable[[Write], list[Write]]
"""Returns the parts of a write that survive a power loss."""


def keep_all(write: Write) -> list[Write]:
    """The whole write survives."""
    return [write]


def drop_all(_write: Write) -> list[Write]:
    """No part of the write survives."""
    return []


def first_bytes(write: Write, count: int) -> Write:
    """Return a write of only the first `count` bytes."""
    return Write(write.offset, write.data[:count])


def random_survival(rng: random.Random) -> Survival:
    """Draw an outcome for each write: kept, lost, truncated, or torn into blocks of 16 bytes."""

    def survive(write: Write) -> list[Write]:
        outcome = rng.randrange(4)
        if outcome == 0:
            return [write]
        if outcome == 1:
            return []
        if outcome == 2:
            return [first_bytes(write, rng.randint(0, len(write.data)))]
        blocks = range(0, len(write.data), 16)
        return [
            Write(write.offset + offset, write.data[offset : offset + 16])
            for offset in blocks
            if rng.random() < 0.5
        ]

    return survive


@dataclass
class Inode:
    """The content of a file: durable bytes, cached bytes (which reads return) and unsynced writes."""

    durable: bytearray = field(default_factory=bytearray)
    cache: bytearray = field(default_factory=bytearray)
    unsynced: list[Write] = field(default_factory=list)
    name_durable: bool = False

    def copy(self) -> Inode:
        """Return a deep copy."""
        return Inode(bytearray(self.durable), bytearray(self.cache), list(self.unsynced), self.name_durable)


def apply_write(content: bytearray, write: Write) -> None:
    """Apply a write to `content`; a gap before it is filled with zeros."""
    if not write.data:
        return
    end = write.offset + len(write.data)
    if len(content) < end:
        content.extend(bytes(end - len(content)))
    content[write.offset : end] = write.data


class SimulatedFile:
    """A simulated file descriptor."""

    def __init__(self, disk: SimulatedDisk, inode: Inode) -> None:
        self._disk = disk
        self._inode = inode
        self._failed = False
        self._closed = False

    def size(self) -> int:
        """The length of the file in bytes."""
        self._disk.step()
        return len(self._inode.cache)

    def read(self, offset: int, length: int) -> bytes:
        """Read up to `length` bytes."""
        self._disk.step()
        return bytes(self._inode.cache[offset : offset + length])

    def write(self, offset: int, data: bytes) -> None:
        """Write the data; if the disk rejects writes, write a random prefix and raise."""
        assert not self._closed and not self._failed, (
            "write to a descriptor that is closed or whose sync failed"
        )
        self._disk.step()
        if self._disk.rejects_writes:
            part = self._disk.rng.randint(0, len(data))
            self._write_cache(Write(offset, data[:part]))
            raise OSError(errno.ENOSPC, "the simulated disk rejects writes")
        self._write_cache(Write(offset, data))

    def sync_data(self) -> None:
        """Simulate `fdatasync`; the same as `fsync` here, because the length isn't tracked separately."""
        self.sync_all()

    def sync_all(self) -> None:
        """Simulate `fsync`."""
        assert not self._closed and not self._failed, (
            "sync of a descriptor that is closed or whose sync failed"
        )
        self._disk.step()
        self._disk.syncs += 1
        inode = self._inode
        writes, inode.unsynced = inode.unsynced, []
        if self._disk.syncs_to_fail > 0:
            self._disk.syncs_to_fail -= 1
            self._failed = True
            survive = random_survival(self._disk.rng)
            for write in writes:
                for part in survive(write):
                    apply_write(inode.durable, part)
            self._disk.notify_change()
            raise OSError(errno.EIO, "the simulated sync failed")
        for write in writes:
            apply_write(inode.durable, write)
        inode.name_durable = True
        self._disk.notify_change()

    def close(self) -> None:
        """Close the file."""
        self._closed = True

    def _write_cache(self, write: Write) -> None:
        apply_write(self._inode.cache, write)
        self._inode.unsynced.append(write)
        self._disk.notify_change()


class SimulatedDisk:
    """A disk with one directory. `on_change` is called after each write and sync."""

    def __init__(self, seed: int = 0) -> None:
        self.inodes: dict[str, Inode] = {}
        self.rng = random.Random(seed)
        self.rejects_writes = False
        self.syncs_to_fail = 0
        self.syncs = 0
        self.steps_until_cut: int | None = None
        self.on_change: Callable[[], None] | None = None

    def names(self, directory: str) -> list[str]:
        """The file names in the directory."""
        self.step()
        return list(self.inodes)

    def open(self, path: str) -> SimulatedFile:
        """Open a file; it is created empty if it doesn't exist."""
        self.step()
        inode = self.inodes.setdefault(os.path.basename(path), Inode())
        return SimulatedFile(self, inode)

    def sync_directory(self, directory: str) -> None:
        """Make the file names durable."""
        self.step()
        self.syncs += 1
        if self.syncs_to_fail > 0:
            self.syncs_to_fail -= 1
            raise OSError(errno.EIO, "the simulated sync failed")
        for inode in self.inodes.values():
            inode.name_durable = True
        self.notify_change()

    def step(self) -> None:
        """Count a disk call; raises `PowerCut` on every call after the next `steps_until_cut`."""
        if self.steps_until_cut is not None:
            if self.steps_until_cut <= 0:
                raise PowerCut
            self.steps_until_cut -= 1

    def notify_change(self) -> None:
        """Call the `on_change` callback of the test."""
        if self.on_change is not None:
            self.on_change()

    def total_bytes(self) -> int:
        """The total length of all files."""
        return sum(len(inode.cache) for inode in self.inodes.values())

    def unsynced(self) -> list[Write]:
        """All writes that a power loss may drop, oldest first in each file."""
        return [write for inode in self.inodes.values() for write in inode.unsynced]

    def after_kill(self) -> SimulatedDisk:
        """Return the disk as the next process sees it after a kill: no write is lost, and none is synced."""
        next_disk = SimulatedDisk(self.rng.getrandbits(32))
        next_disk.inodes = {name: inode.copy() for name, inode in self.inodes.items()}
        return next_disk

    def after_power_loss(
        self,
        survive: Survival,
        keep_name: Callable[[], bool] = lambda: True,
        shuffle: Callable[[list[Write]], None] = lambda writes: None,
    ) -> SimulatedDisk:
        """Return the disk as the next process sees it after a power loss."""
        next_disk = SimulatedDisk(self.rng.getrandbits(32))
        for name, inode in self.inodes.items():
            if not inode.name_durable and not keep_name():
                continue
            content = bytearray(inode.durable)
            writes = list(inode.unsynced)
            shuffle(writes)
            for write in writes:
                for part in survive(write):
                    apply_write(content, part)
            next_disk.inodes[name] = Inode(content, bytearray(content), [], True)
        return next_disk

    def after_random_power_loss(self) -> SimulatedDisk:
        """Power loss with a random outcome per write and name; with probability 1/4 every write is lost."""
        rng = random.Random(self.rng.getrandbits(32))
        survive = drop_all if rng.random() < 0.25 else random_survival(rng)
        return self.after_power_loss(survive, lambda: rng.random() < 0.5, rng.shuffle)


class SimulatedDiskTest(unittest.TestCase):
    """Tests of the simulated behavior that the tests of the store depend on."""

    def setUp(self) -> None:
        self.disk = SimulatedDisk()
        self.file = self.disk.open("folder/name")

    def content(self, disk: SimulatedDisk) -> bytes:
        return bytes(disk.inodes["name"].cache)

    def test_synced_bytes_survive_a_power_loss_and_unsynced_bytes_may_be_lost(self) -> None:
        self.file.write(0, b"abcdef")
        self.file.sync_data()
        self.file.write(0, b"XYZ")
        self.assertEqual(self.content(self.disk.after_power_loss(drop_all)), b"abcdef")
        self.assertEqual(self.content(self.disk.after_power_loss(keep_all)), b"XYZdef")
        torn = self.disk.after_power_loss(lambda write: [first_bytes(write, 1)])
        self.assertEqual(self.content(torn), b"Xbcdef")

    def test_a_kill_loses_nothing(self) -> None:
        self.file.write(0, b"abc")
        self.assertEqual(self.content(self.disk.after_kill()), b"abc")

    def test_the_name_of_an_unsynced_file_may_be_lost(self) -> None:
        self.file.write(0, b"abc")
        self.assertEqual(self.disk.after_power_loss(keep_all, lambda: False).inodes, {})
        self.file.sync_data()
        self.assertIn("name", self.disk.after_power_loss(keep_all, lambda: False).inodes)

    def test_a_later_sync_does_not_write_the_data_of_a_failed_sync(self) -> None:
        self.disk.rng = random.Random(1)
        self.file.write(0, b"0123456789abcdef" * 8)
        self.disk.syncs_to_fail = 1
        with self.assertRaises(OSError):
            self.file.sync_data()
        self.disk.open("folder/name").sync_data()
        self.assertEqual(self.content(self.disk.after_kill()), b"0123456789abcdef" * 8)
        self.assertNotEqual(self.content(self.disk.after_power_loss(keep_all)), b"0123456789abcdef" * 8)

    def test_a_rejected_write_may_write_a_prefix(self) -> None:
        self.disk.rejects_writes = True
        with self.assertRaises(OSError):
            self.file.write(0, b"abc")
        self.assertTrue(b"abc".startswith(self.content(self.disk)))

    def test_calls_after_a_power_cut_have_no_effect(self) -> None:
        self.disk.steps_until_cut = 1
        self.file.write(0, b"abc")
        with self.assertRaises(PowerCut):
            self.file.write(3, b"def")
        self.assertEqual(self.content(self.disk), b"abc")
