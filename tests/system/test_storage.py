"""The keyed store: what its callers see. Its thread and timers are stepped by the tests."""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
import unittest
from collections.abc import Awaitable

from flintfield.coordination.storage import (
    KeyedStore,
    MemoryStore,
    StorageError,
    StorageFailed,
    StorageFull,
    open_store,
)
from flintfield.coordination.storage.backoff import JITTER, LAST_RETRY_S
from flintfield.coordination.storage.recovery import recover
from flintfield.coordination.storage.store import State

from .test_storage_disk import PowerCut, SimulatedDisk, SimulatedFile, lost
from .test_storage_steps import FOLDER, SMALL_LIMIT, Stepped

LIMIT = 1 << 20  # bytes: a ring of files of 16 KiB


async def turn() -> None:
    """Let the event loop run what is ready."""
    for _ in range(3):
        await asyncio.sleep(0)


def started(waiting: Awaitable[None]) -> asyncio.Future[None]:
    """Run it beside the test."""
    return asyncio.ensure_future(waiting)


class SteppedStoreTest(unittest.IsolatedAsyncioTestCase):
    """A store on a simulated disk."""

    def setUp(self) -> None:
        self.disk = SimulatedDisk()
        self.stepped = Stepped(self.disk, limit_bytes=LIMIT)
        self.store = self.stepped.open()

    def found(self) -> dict[bytes, bytes] | None:
        """What an open would find after a loss of power now."""
        return recover(self.disk.after_power_loss(lost, lambda: False), FOLDER).items


class GroupCommitTest(SteppedStoreTest):
    """Changes gather while a sync runs and share the next one."""

    async def test_a_change_is_seen_at_once_and_durable_after_a_sync(self) -> None:
        ticket = self.store.apply([(b"a", b"1")])
        self.assertEqual(self.store.items, {b"a": b"1"})
        waiting = started(self.store.durable(ticket))
        await turn()
        self.assertFalse(waiting.done())
        self.assertEqual(self.found(), {})
        await self.stepped.settle()
        await waiting
        self.assertEqual(self.found(), {b"a": b"1"})

    async def test_all_that_gathers_during_a_sync_goes_out_with_the_next(self) -> None:
        first = started(self.store.durable(self.store.apply([(b"a", b"1")])))
        await turn()
        later = [started(self.store.durable(self.store.apply([(b"k%d" % at, b"1")]))) for at in range(50)]
        await turn()
        syncs = self.disk.syncs
        self.stepped.runner.step()
        await turn()
        self.assertTrue(first.done())
        self.assertFalse(any(waiting.done() for waiting in later))
        self.stepped.runner.step()
        await turn()
        self.assertTrue(all(waiting.done() for waiting in later))
        self.assertEqual(self.disk.syncs - syncs, 2)

    async def test_changes_of_one_turn_share_a_sync(self) -> None:
        waiting = [started(self.store.durable(self.store.apply([(b"k%d" % at, b"1")]))) for at in range(9)]
        await turn()
        self.stepped.runner.step()
        await turn()
        self.assertTrue(all(each.done() for each in waiting))

    async def test_tickets_rise_and_a_durable_one_returns_at_once(self) -> None:
        first = self.store.apply([(b"a", b"1")])
        second = self.store.apply([(b"a", b"2")])
        self.assertGreater(second, first)
        await self.stepped.settle()
        await self.store.durable(first)
        await self.store.durable(second)
        with self.assertRaises(ValueError):
            await self.store.durable(second + 1)

    async def test_what_changes_nothing_writes_nothing(self) -> None:
        first = self.store.apply([(b"a", b"1")])
        await self.stepped.settle()
        syncs = self.disk.syncs
        self.assertEqual(self.store.apply([(b"a", b"1"), (b"b", None)]), first)
        await self.stepped.settle()
        self.assertEqual(self.disk.syncs, syncs)

    async def test_a_caller_that_gives_up_disturbs_nobody(self) -> None:
        ticket = self.store.apply([(b"a", b"1")])
        leaving, staying = started(self.store.durable(ticket)), started(self.store.durable(ticket))
        await turn()
        leaving.cancel()
        await self.stepped.settle()
        await staying

    async def test_replace_drops_what_is_not_kept(self) -> None:
        self.store.apply([(b"keep/a", b"1"), (b"drop/a", b"1"), (b"drop/b", b"1")])
        self.store.replace([(b"drop/b", b"2"), (b"new", b"3")], lambda key: key.startswith(b"keep/"))
        expected = {b"keep/a": b"1", b"drop/b": b"2", b"new": b"3"}
        self.assertEqual(self.store.items, expected)
        await self.stepped.settle()
        self.assertEqual(self.found(), expected)

    async def test_a_sync_under_way_tells_for_how_long(self) -> None:
        self.assertEqual(self.store.stalled_ms(10_000.0), 0.0)
        self.stepped.now_s = 10.0
        self.store.apply([(b"a", b"1")])
        await turn()
        self.assertEqual(self.store.stalled_ms(13_500.0), 3_500.0)
        await self.stepped.settle()
        self.assertEqual(self.store.stalled_ms(14_000.0), 0.0)

    async def test_close_writes_what_is_pending(self) -> None:
        self.store.apply([(b"a", b"1")])
        closing = started(self.store.close())
        await turn()
        await self.stepped.settle()
        await closing
        self.assertEqual(self.found(), {b"a": b"1"})
        self.assertTrue(self.stepped.runner.stopped)
        with self.assertRaises(StorageFailed):
            self.store.apply([(b"a", b"2")])


class FailureTest(SteppedStoreTest):
    """A failure is told, nothing is acknowledged that isn't on disk, and the store heals by itself."""

    async def test_a_failed_sync_is_told_and_healed_by_a_snapshot_in_other_files(self) -> None:
        await self.stepped.settle()
        before = {name: bytes(inode.durable) for name, inode in self.disk.inodes.items()}
        self.disk.failing_syncs = 1
        ticket = self.store.apply([(b"a", b"1")])
        waiting = started(self.store.durable(ticket))
        await self.stepped.settle()
        with self.assertRaises(StorageFailed):
            await waiting
        self.assertIs(self.store.state, State.RETRY_PAUSE)
        self.stepped.fire()
        await self.stepped.settle()
        await self.store.durable(ticket)
        self.assertEqual(self.found(), {b"a": b"1"})
        self.assertGreater(len(self.disk.inodes), len(before))

    async def test_a_disk_that_refuses_for_seconds_heals_without_a_restart(self) -> None:
        self.disk.refuses_writes = True
        ticket = self.store.apply([(b"a", b"1")])
        for _ in range(12):
            waiting = started(self.store.durable(ticket))
            await turn()
            await self.stepped.settle()
            with self.assertRaises(StorageFailed):
                await waiting
            self.store.apply([(b"b", b"%d" % len(self.stepped.pauses))])
            self.stepped.fire()
            await turn()
        self.assertLessEqual(max(self.stepped.pauses), LAST_RETRY_S * (1 + JITTER))
        self.assertGreater(self.stepped.pauses[3], self.stepped.pauses[0])
        self.disk.refuses_writes = False
        await self.stepped.settle()
        if self.stepped.timers:
            self.stepped.fire()
        await self.stepped.settle()
        await self.store.durable(ticket)
        self.assertEqual(self.found(), dict(self.store.items))
        self.assertLessEqual(self.disk.total_bytes(), LIMIT)

    async def test_who_asks_during_the_pause_waits_for_the_next_attempt(self) -> None:
        self.disk.failing_syncs = 1
        self.store.apply([(b"a", b"1")])
        await self.stepped.settle()
        waiting = started(self.store.durable(self.store.apply([(b"b", b"1")])))
        await turn()
        self.assertFalse(waiting.done())
        self.stepped.fire()
        await self.stepped.settle()
        await waiting

    async def test_changes_while_the_disk_is_in_trouble_are_bounded(self) -> None:
        self.disk.refuses_writes = True
        with self.assertRaises(StorageFull):
            for at in range(1_000):
                self.store.apply([(b"key%d" % at, bytes(1_000))])
        self.assertLessEqual(sum(len(value) for value in self.store.items.values()), LIMIT // 8)
        self.assertEqual(self.store.counters.refused_changes, 1)

    async def test_a_refused_change_leaves_nothing_behind_and_deletes_always_pass(self) -> None:
        with self.assertRaises(StorageFull):
            self.store.apply([(b"small", b"1"), (b"large", bytes(LIMIT))])
        self.assertEqual(self.store.items, {})
        with self.assertRaises(StorageFull):
            for at in range(1_000):
                self.store.apply([(b"key%03d" % at, bytes(1_000))])
        count = len(self.store.items)
        self.store.apply([(b"key000", None)])
        self.assertEqual(len(self.store.items), count - 1)

    async def test_a_spare_file_that_cannot_be_made_fails_nobody(self) -> None:
        ticket = 0
        while not self.store.ring.wants_spare():
            ticket = self.store.apply([(b"a", ticket.to_bytes(4, "little") * 500)])
            await turn()
            self.stepped.runner.step()
        self.disk.refuses_writes = True
        await self.stepped.settle()
        self.assertIs(self.store.state, State.IDLE)
        self.disk.refuses_writes = False
        await self.store.durable(ticket)
        ticket = self.store.apply([(b"a", b"last")])
        await self.stepped.settle()
        await self.store.durable(ticket)


class OpenTest(unittest.IsolatedAsyncioTestCase):
    """What an open finds, and what it does about it."""

    async def test_an_empty_folder_is_fresh_once(self) -> None:
        disk = SimulatedDisk()
        self.assertTrue(Stepped(disk).open().fresh)
        again = Stepped(disk.after_power_loss(lost)).open()
        self.assertFalse(again.fresh)
        self.assertEqual(again.items, {})

    async def test_a_folder_whose_files_were_never_completed_is_fresh(self) -> None:
        for steps in range(60):
            disk = SimulatedDisk(steps)
            disk.steps_until_cut = steps
            try:
                Stepped(disk).open()
                break
            except PowerCut:
                following = disk.after_power_loss(lost)
            store = Stepped(following).open()
            self.assertEqual(store.fresh, disk.syncs == 0)  # the sync of the one file completes the store
            self.assertEqual(store.items, {})
            self.assertEqual(store.durable_ticket, 0)
        self.assertGreater(steps, 5)

    async def test_a_wiped_folder_is_fresh(self) -> None:
        stepped = Stepped(SimulatedDisk())
        stepped.open().apply([(b"a", b"1")])
        await stepped.settle()
        self.assertTrue(Stepped(SimulatedDisk()).open().fresh)

    async def test_files_of_others_are_left_alone(self) -> None:
        disk = SimulatedDisk()
        disk.open("folder/other").write(0, b"theirs")
        self.assertTrue(Stepped(disk).open().fresh)
        self.assertEqual(bytes(disk.inodes["other"].cache), b"theirs")

    async def test_what_a_killed_process_left_in_the_cache_is_durable_after_the_open(self) -> None:
        disk = SimulatedDisk()
        stepped = Stepped(disk)
        store = stepped.open()
        store.apply([(b"a", b"1")])
        await turn()
        disk.steps_until_cut = 1  # the write, not the sync
        with self.assertRaises(PowerCut):
            stepped.runner.run()
        killed = disk.after_kill()
        self.assertEqual(Stepped(killed).open().items, {b"a": b"1"})
        self.assertEqual(recover(killed.after_power_loss(lost), FOLDER).items, {b"a": b"1"})

    async def test_a_disk_that_refuses_at_the_open_heals_later(self) -> None:
        disk = SimulatedDisk()
        disk.refuses_writes = True
        stepped = Stepped(disk)
        store = stepped.open()
        self.assertEqual(store.durable_ticket, -1)
        waiting = started(store.durable(0))
        await turn()
        disk.refuses_writes = False
        await stepped.settle()
        await waiting
        self.assertEqual(recover(disk.after_power_loss(lost), FOLDER).items, {})

    async def test_a_folder_that_cannot_be_read_is_not_formatted(self) -> None:
        class Unreadable(SimulatedDisk):
            def open(self, path: str) -> SimulatedFile:
                raise OSError("no")

        disk = Unreadable()
        disk.inodes = SimulatedDisk().inodes
        Stepped(plain := SimulatedDisk()).open()
        disk.inodes = plain.inodes
        with self.assertRaises(StorageError):
            Stepped(disk).open()

    async def test_many_opens_stay_within_the_limit(self) -> None:
        disk = SimulatedDisk()
        for at in range(60):
            stepped = Stepped(disk)
            store = stepped.open()
            store.apply([(b"k%d" % (at % 7), b"v" * 80)])
            await stepped.settle()
            disk = disk.after_kill()
        self.assertLessEqual(disk.total_bytes(), SMALL_LIMIT)
        self.assertEqual(len(Stepped(disk).open().items), 7)


class SpaceTest(SteppedStoreTest):
    """The ring wraps around, stays small, and its writes are bounded."""

    async def test_an_overwritten_key_keeps_the_ring_small(self) -> None:
        for at in range(3_000):
            self.store.apply([(b"key%d" % (at % 50), b"%06d" % at * 30)])
            await self.stepped.settle()
        self.assertLessEqual(self.disk.total_bytes(), LIMIT // 2)
        self.assertGreater(self.store.counters.compactions, 1)
        self.assertEqual(self.found(), dict(self.store.items))

    async def test_a_full_store_that_changes_on_stays_within_the_limit(self) -> None:
        keys = 0
        while True:
            try:
                self.store.apply([(b"key%d" % keys, bytes(900))])
            except StorageFull:
                break
            keys += 1
        await self.stepped.settle()
        for at in range(1_500):
            value = at.to_bytes(4, "little") * 225
            self.store.apply([(b"key%d" % (at * 7 % keys), value), (b"key%d" % (at * 11 % keys), value)])
            await self.stepped.settle()
        self.assertEqual(self.store.counters.failed_rounds, 0)
        self.assertLessEqual(self.disk.total_bytes(), LIMIT)
        self.assertEqual(self.found(), dict(self.store.items))

    async def test_no_frame_of_a_compaction_is_much_larger_than_its_changes(self) -> None:
        self.store.apply([(b"key%d" % at, bytes(1_000)) for at in range(100)])
        await self.stepped.settle()
        largest = 0
        for at in range(2_500):
            self.store.apply([(b"small", b"%0100d" % at)])
            await turn()
            written = self.store.ring.pool.counters.written_bytes
            self.stepped.runner.step()
            largest = max(largest, self.store.ring.pool.counters.written_bytes - written)
            await self.stepped.settle()
        self.assertGreater(self.store.counters.compactions, 0)
        self.assertLess(largest, 2_200)  # two items of 1,000 bytes, of 100


class OsDiskTest(unittest.IsolatedAsyncioTestCase):
    """The same on real files, with the real thread."""

    async def test_a_store_on_real_files(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            directory = os.path.join(folder, "made", "by the store")
            store = open_store(directory, 8 << 20)
            self.assertTrue(store.fresh)
            tickets = [store.apply([(b"k%d" % at, bytes(1_000))]) for at in range(500)]
            await asyncio.gather(*(store.durable(ticket) for ticket in tickets))
            await store.durable(store.apply([(b"k0", None)]))
            await store.close()
            again = open_store(directory, 8 << 20)
            self.assertFalse(again.fresh)
            self.assertEqual(len(again.items), 499)
            await again.close()

    async def test_a_folder_that_is_a_file_is_an_error(self) -> None:
        with tempfile.NamedTemporaryFile() as file, self.assertRaises(StorageError):
            open_store(file.name, LIMIT)

    async def test_the_first_open_is_quick(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            began = time.process_time()
            store = open_store(folder, 128 << 20)
            self.assertLess(time.process_time() - began, 0.05)
            self.assertLessEqual(store.ring.pool.total_bytes, 1 << 20)
            await store.close()


class MemoryStoreTest(unittest.IsolatedAsyncioTestCase):
    """The store without a disk."""

    async def test_it_behaves_as_the_store_on_disk(self) -> None:
        store: KeyedStore = MemoryStore()
        self.assertTrue(store.fresh)
        ticket = store.apply([(b"a", b"1"), (b"b", b"1"), (b"a", None)])
        await store.durable(ticket)
        self.assertEqual(store.items, {b"b": b"1"})
        self.assertGreater(store.replace([(b"c", b"1")], lambda key: False), ticket)
        self.assertEqual(store.items, {b"c": b"1"})
        self.assertEqual(store.stalled_ms(1.0), 0.0)
        await store.close()
