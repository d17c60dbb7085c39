"""Tests of the keyed store as its callers see it; the tests run its sync jobs and timers step by step."""

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
from flintfield.coordination.storage.backoff import JITTER, MAX_RETRY_S
from flintfield.coordination.storage.recovery import recover
from flintfield.coordination.storage.store import State

from .test_storage_disk import PowerCut, SimulatedDisk, SimulatedFile, drop_all
from .test_storage_steps import FOLDER, SMALL_LIMIT, StoreHarness

LIMIT = 1 << 20  # bytes: a ring of files of 16 KiB


async def run_ready_callbacks() -> None:
    """Run a few iterations of the event loop, so that ready callbacks run."""
    for _ in range(3):
        await asyncio.sleep(0)


def start_task(waiting: Awaitable[None]) -> asyncio.Future[None]:
    """Start the awaitable as a task."""
    return asyncio.ensure_future(waiting)


class SimulatedStoreTest(unittest.IsolatedAsyncioTestCase):
    """Base class: a store on a simulated disk."""

    def setUp(self) -> None:
        self.disk = SimulatedDisk()
        self.harness = StoreHarness(self.disk, limit_bytes=LIMIT)
        self.store = self.harness.open()

    def recovered_items(self) -> dict[bytes, bytes] | None:
        """The items that an open would recover if power were lost now."""
        return recover(self.disk.after_power_loss(drop_all, lambda: False), FOLDER).items


class GroupCommitTest(SimulatedStoreTest):
    """Changes made while a sync is running share the next sync."""

    async def test_a_change_is_visible_immediately_and_durable_after_a_sync(self) -> None:
        ticket = self.store.apply([(b"a", b"1")])
        self.assertEqual(self.store.items, {b"a": b"1"})
        waiting = start_task(self.store.durable(ticket))
        await run_ready_callbacks()
        self.assertFalse(waiting.done())
        self.assertEqual(self.recovered_items(), {})
        await self.harness.run_until_idle()
        await waiting
        self.assertEqual(self.recovered_items(), {b"a": b"1"})

    async def test_changes_made_during_a_sync_share_the_next_sync(self) -> None:
        first = start_task(self.store.durable(self.store.apply([(b"a", b"1")])))
        await run_ready_callbacks()
        later = [
            start_task(self.store.durable(self.store.apply([(b"k%d" % index, b"1")]))) for index in range(50)
        ]
        await run_ready_callbacks()
        syncs = self.disk.syncs
        self.harness.runner.step()
        await run_ready_callbacks()
        self.assertTrue(first.done())
        self.assertFalse(any(waiting.done() for waiting in later))
        self.harness.runner.step()
        await run_ready_callbacks()
        self.assertTrue(all(waiting.done() for waiting in later))
        self.assertEqual(self.disk.syncs - syncs, 2)

    async def test_changes_of_one_loop_iteration_share_a_sync(self) -> None:
        waiting = [
            start_task(self.store.durable(self.store.apply([(b"k%d" % index, b"1")]))) for index in range(9)
        ]
        await run_ready_callbacks()
        self.harness.runner.step()
        await run_ready_callbacks()
        self.assertTrue(all(each.done() for each in waiting))

    async def test_tickets_increase_and_waiting_for_a_durable_one_returns_immediately(self) -> None:
        first = self.store.apply([(b"a", b"1")])
        second = self.store.apply([(b"a", b"2")])
        self.assertGreater(second, first)
        await self.harness.run_until_idle()
        await self.store.durable(first)
        await self.store.durable(second)
        with self.assertRaises(ValueError):
            await self.store.durable(second + 1)

    async def test_unchanged_values_are_not_written(self) -> None:
        first = self.store.apply([(b"a", b"1")])
        await self.harness.run_until_idle()
        syncs = self.disk.syncs
        self.assertEqual(self.store.apply([(b"a", b"1"), (b"b", None)]), first)
        await self.harness.run_until_idle()
        self.assertEqual(self.disk.syncs, syncs)

    async def test_a_cancelled_waiter_does_not_affect_others(self) -> None:
        ticket = self.store.apply([(b"a", b"1")])
        cancelled, remaining = start_task(self.store.durable(ticket)), start_task(self.store.durable(ticket))
        await run_ready_callbacks()
        cancelled.cancel()
        await self.harness.run_until_idle()
        await remaining

    async def test_replace_deletes_keys_that_are_not_kept(self) -> None:
        self.store.apply([(b"keep/a", b"1"), (b"drop/a", b"1"), (b"drop/b", b"1")])
        self.store.replace([(b"drop/b", b"2"), (b"new", b"3")], lambda key: key.startswith(b"keep/"))
        expected = {b"keep/a": b"1", b"drop/b": b"2", b"new": b"3"}
        self.assertEqual(self.store.items, expected)
        await self.harness.run_until_idle()
        self.assertEqual(self.recovered_items(), expected)

    async def test_stalled_ms_is_the_duration_of_the_running_sync(self) -> None:
        self.assertEqual(self.store.stalled_ms(10_000.0), 0.0)
        self.harness.now_s = 10.0
        self.store.apply([(b"a", b"1")])
        await run_ready_callbacks()
        self.assertEqual(self.store.stalled_ms(13_500.0), 3_500.0)
        await self.harness.run_until_idle()
        self.assertEqual(self.store.stalled_ms(14_000.0), 0.0)

    async def test_close_writes_pending_changes(self) -> None:
        self.store.apply([(b"a", b"1")])
        closing = start_task(self.store.close())
        await run_ready_callbacks()
        await self.harness.run_until_idle()
        await closing
        self.assertEqual(self.recovered_items(), {b"a": b"1"})
        self.assertTrue(self.harness.runner.stopped)
        with self.assertRaises(StorageFailed):
            self.store.apply([(b"a", b"2")])


class FailureTest(SimulatedStoreTest):
    """Disk failures are reported, only changes on disk are acknowledged, and the store recovers by itself."""

    async def test_a_failed_sync_is_reported_and_followed_by_a_snapshot_in_other_files(self) -> None:
        await self.harness.run_until_idle()
        before = {name: bytes(inode.durable) for name, inode in self.disk.inodes.items()}
        self.disk.syncs_to_fail = 1
        ticket = self.store.apply([(b"a", b"1")])
        waiting = start_task(self.store.durable(ticket))
        await self.harness.run_until_idle()
        with self.assertRaises(StorageFailed):
            await waiting
        self.assertIs(self.store.state, State.RETRY_PAUSE)
        self.harness.fire_timer()
        await self.harness.run_until_idle()
        await self.store.durable(ticket)
        self.assertEqual(self.recovered_items(), {b"a": b"1"})
        self.assertGreater(len(self.disk.inodes), len(before))

    async def test_the_store_recovers_from_seconds_of_rejected_writes_without_a_restart(self) -> None:
        self.disk.rejects_writes = True
        ticket = self.store.apply([(b"a", b"1")])
        for _ in range(12):
            waiting = start_task(self.store.durable(ticket))
            await run_ready_callbacks()
            await self.harness.run_until_idle()
            with self.assertRaises(StorageFailed):
                await waiting
            self.store.apply([(b"b", b"%d" % len(self.harness.pauses))])
            self.harness.fire_timer()
            await run_ready_callbacks()
        self.assertLessEqual(max(self.harness.pauses), MAX_RETRY_S * (1 + JITTER))
        self.assertGreater(self.harness.pauses[3], self.harness.pauses[0])
        self.disk.rejects_writes = False
        await self.harness.run_until_idle()
        if self.harness.timers:
            self.harness.fire_timer()
        await self.harness.run_until_idle()
        await self.store.durable(ticket)
        self.assertEqual(self.recovered_items(), dict(self.store.items))
        self.assertLessEqual(self.disk.total_bytes(), LIMIT)

    async def test_a_waiter_added_during_the_retry_pause_waits_for_the_next_attempt(self) -> None:
        self.disk.syncs_to_fail = 1
        self.store.apply([(b"a", b"1")])
        await self.harness.run_until_idle()
        waiting = start_task(self.store.durable(self.store.apply([(b"b", b"1")])))
        await run_ready_callbacks()
        self.assertFalse(waiting.done())
        self.harness.fire_timer()
        await self.harness.run_until_idle()
        await waiting

    async def test_changes_while_the_disk_fails_are_bounded(self) -> None:
        self.disk.rejects_writes = True
        with self.assertRaises(StorageFull):
            for index in range(1_000):
                self.store.apply([(b"key%d" % index, bytes(1_000))])
        self.assertLessEqual(sum(len(value) for value in self.store.items.values()), LIMIT // 8)
        self.assertEqual(self.store.counters.refused_changes, 1)

    async def test_a_rejected_change_is_not_applied_and_deletes_are_always_accepted(self) -> None:
        with self.assertRaises(StorageFull):
            self.store.apply([(b"small", b"1"), (b"large", bytes(LIMIT))])
        self.assertEqual(self.store.items, {})
        with self.assertRaises(StorageFull):
            for index in range(1_000):
                self.store.apply([(b"key%03d" % index, bytes(1_000))])
        count = len(self.store.items)
        self.store.apply([(b"key000", None)])
        self.assertEqual(len(self.store.items), count - 1)

    async def test_a_failure_to_prepare_a_spare_file_fails_no_change(self) -> None:
        ticket = 0
        while not self.store.ring.needs_spare():
            ticket = self.store.apply([(b"a", ticket.to_bytes(4, "little") * 500)])
            await run_ready_callbacks()
            self.harness.runner.step()
        self.disk.rejects_writes = True
        await self.harness.run_until_idle()
        self.assertIs(self.store.state, State.IDLE)
        self.disk.rejects_writes = False
        await self.store.durable(ticket)
        ticket = self.store.apply([(b"a", b"last")])
        await self.harness.run_until_idle()
        await self.store.durable(ticket)


class OpenTest(unittest.IsolatedAsyncioTestCase):
    """Opening a store on directories in various states."""

    async def test_an_empty_directory_is_fresh_only_at_the_first_open(self) -> None:
        disk = SimulatedDisk()
        self.assertTrue(StoreHarness(disk).open().fresh)
        again = StoreHarness(disk.after_power_loss(drop_all)).open()
        self.assertFalse(again.fresh)
        self.assertEqual(again.items, {})

    async def test_a_directory_with_incomplete_formatting_is_fresh(self) -> None:
        for steps in range(60):
            disk = SimulatedDisk(steps)
            disk.steps_until_cut = steps
            try:
                StoreHarness(disk).open()
                break
            except PowerCut:
                next_disk = disk.after_power_loss(drop_all)
            store = StoreHarness(next_disk).open()
            self.assertEqual(store.fresh, disk.syncs == 0)  # the sync of the only file ends the formatting
            self.assertEqual(store.items, {})
            self.assertEqual(store.durable_ticket, 0)
        self.assertGreater(steps, 5)

    async def test_a_wiped_directory_is_fresh(self) -> None:
        harness = StoreHarness(SimulatedDisk())
        harness.open().apply([(b"a", b"1")])
        await harness.run_until_idle()
        self.assertTrue(StoreHarness(SimulatedDisk()).open().fresh)

    async def test_files_with_other_names_are_not_changed(self) -> None:
        disk = SimulatedDisk()
        disk.open("folder/other").write(0, b"theirs")
        self.assertTrue(StoreHarness(disk).open().fresh)
        self.assertEqual(bytes(disk.inodes["other"].cache), b"theirs")

    async def test_an_open_makes_the_unsynced_writes_of_a_killed_process_durable(self) -> None:
        disk = SimulatedDisk()
        harness = StoreHarness(disk)
        store = harness.open()
        store.apply([(b"a", b"1")])
        await run_ready_callbacks()
        disk.steps_until_cut = 1  # the write succeeds, the sync does not
        with self.assertRaises(PowerCut):
            harness.runner.run()
        killed = disk.after_kill()
        self.assertEqual(StoreHarness(killed).open().items, {b"a": b"1"})
        self.assertEqual(recover(killed.after_power_loss(drop_all), FOLDER).items, {b"a": b"1"})

    async def test_a_store_opened_while_writes_are_rejected_recovers_later(self) -> None:
        disk = SimulatedDisk()
        disk.rejects_writes = True
        harness = StoreHarness(disk)
        store = harness.open()
        self.assertEqual(store.durable_ticket, -1)
        waiting = start_task(store.durable(0))
        await run_ready_callbacks()
        disk.rejects_writes = False
        await harness.run_until_idle()
        await waiting
        self.assertEqual(recover(disk.after_power_loss(drop_all), FOLDER).items, {})

    async def test_an_unreadable_directory_is_not_formatted(self) -> None:
        class Unreadable(SimulatedDisk):
            def open(self, path: str) -> SimulatedFile:
                raise OSError("no")

        disk = Unreadable()
        disk.inodes = SimulatedDisk().inodes
        StoreHarness(plain := SimulatedDisk()).open()
        disk.inodes = plain.inodes
        with self.assertRaises(StorageError):
            StoreHarness(disk).open()

    async def test_many_opens_stay_within_the_limit(self) -> None:
        disk = SimulatedDisk()
        for index in range(60):
            harness = StoreHarness(disk)
            store = harness.open()
            store.apply([(b"k%d" % (index % 7), b"v" * 80)])
            await harness.run_until_idle()
            disk = disk.after_kill()
        self.assertLessEqual(disk.total_bytes(), SMALL_LIMIT)
        self.assertEqual(len(StoreHarness(disk).open().items), 7)


class SpaceTest(SimulatedStoreTest):
    """The ring wraps around, its files stay small, and the size of each write is bounded."""

    async def test_overwriting_keys_keeps_the_ring_small(self) -> None:
        for index in range(3_000):
            self.store.apply([(b"key%d" % (index % 50), b"%06d" % index * 30)])
            await self.harness.run_until_idle()
        self.assertLessEqual(self.disk.total_bytes(), LIMIT // 2)
        self.assertGreater(self.store.counters.compactions, 1)
        self.assertEqual(self.recovered_items(), dict(self.store.items))

    async def test_overwriting_keys_of_a_full_store_stays_within_the_limit(self) -> None:
        keys = 0
        while True:
            try:
                self.store.apply([(b"key%d" % keys, bytes(900))])
            except StorageFull:
                break
            keys += 1
        await self.harness.run_until_idle()
        for index in range(1_500):
            value = index.to_bytes(4, "little") * 225
            self.store.apply(
                [(b"key%d" % (index * 7 % keys), value), (b"key%d" % (index * 11 % keys), value)]
            )
            await self.harness.run_until_idle()
        self.assertEqual(self.store.counters.failed_rounds, 0)
        self.assertLessEqual(self.disk.total_bytes(), LIMIT)
        self.assertEqual(self.recovered_items(), dict(self.store.items))

    async def test_compaction_frames_are_not_much_larger_than_their_changes(self) -> None:
        self.store.apply([(b"key%d" % index, bytes(1_000)) for index in range(100)])
        await self.harness.run_until_idle()
        largest = 0
        for index in range(2_500):
            self.store.apply([(b"small", b"%0100d" % index)])
            await run_ready_callbacks()
            written = self.store.ring.pool.counters.written_bytes
            self.harness.runner.step()
            largest = max(largest, self.store.ring.pool.counters.written_bytes - written)
            await self.harness.run_until_idle()
        self.assertGreater(self.store.counters.compactions, 0)
        self.assertLess(largest, 2_200)  # two of the 100 items of 1,000 bytes each


class OsDiskTest(unittest.IsolatedAsyncioTestCase):
    """A store on real files, with the real sync thread."""

    async def test_a_store_on_real_files(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            directory = os.path.join(folder, "made", "by the store")
            store = open_store(directory, 8 << 20)
            self.assertTrue(store.fresh)
            tickets = [store.apply([(b"k%d" % index, bytes(1_000))]) for index in range(500)]
            await asyncio.gather(*(store.durable(ticket) for ticket in tickets))
            await store.durable(store.apply([(b"k0", None)]))
            await store.close()
            again = open_store(directory, 8 << 20)
            self.assertFalse(again.fresh)
            self.assertEqual(len(again.items), 499)
            await again.close()

    async def test_a_file_in_place_of_the_directory_is_an_error(self) -> None:
        with tempfile.NamedTemporaryFile() as file, self.assertRaises(StorageError):
            open_store(file.name, LIMIT)

    async def test_the_first_open_is_fast(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            began = time.process_time()
            store = open_store(folder, 128 << 20)
            self.assertLess(time.process_time() - began, 0.05)
            self.assertLessEqual(store.ring.pool.total_bytes, 1 << 20)
            await store.close()


class MemoryStoreTest(unittest.IsolatedAsyncioTestCase):
    """Tests of the store without a disk."""

    async def test_it_has_the_behavior_of_a_keyed_store(self) -> None:
        store: KeyedStore = MemoryStore()
        self.assertTrue(store.fresh)
        ticket = store.apply([(b"a", b"1"), (b"b", b"1"), (b"a", None)])
        await store.durable(ticket)
        self.assertEqual(store.items, {b"b": b"1"})
        self.assertGreater(store.replace([(b"c", b"1")], lambda key: False), ticket)
        self.assertEqual(store.items, {b"c": b"1"})
        self.assertEqual(store.stalled_ms(1.0), 0.0)
        await store.close()
