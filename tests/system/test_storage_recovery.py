"""Recovery after any power loss: no acknowledged change is lost, and no group is partially recovered."""

from __future__ import annotations

import asyncio
import itertools
import random
import unittest
from collections.abc import Callable, Iterator
from contextlib import suppress

from hypothesis import given, settings
from hypothesis import strategies as st

from flintfield.coordination.storage import Change, StorageFull
from flintfield.coordination.storage.format import (
    FrameFlag,
    SegmentFlag,
    SegmentHeader,
    decode_frames,
    encode_frame,
    encode_segment,
)
from flintfield.coordination.storage.recovery import recover
from flintfield.coordination.storage.store import RingStore
from .test_storage_disk import PowerCut, SimulatedDisk, Survival, Write, drop_all, first_bytes, keep_all
from .test_storage_steps import FOLDER, SMALL_LIMIT, History, StoreHarness

MAX_EXHAUSTIVE_WRITES = 6  # every subset is tried of this many of the newest unsynced writes


def survivals(writes: list[Write], cut_step: int) -> Iterator[Survival]:
    """Yield every subset of the writes; also truncate the last write, if included, every `cut_step` bytes."""
    indexes = {id(write): index for index, write in enumerate(writes)}
    for flags in itertools.product((False, True), repeat=len(writes)):
        last = max((index for index, flag in enumerate(flags) if flag), default=None)
        truncations: list[int | None] = [None]
        if last == len(writes) - 1:
            truncations += range(1, len(writes[last].data), cut_step)
        for truncate_at in truncations:

            def survive(
                write: Write,
                flags: tuple[bool, ...] = flags,
                truncate_at: int | None = truncate_at,
                last: int | None = last,
            ) -> list[Write]:
                index = indexes[id(write)]
                if not flags[index]:
                    return []
                return [
                    first_bytes(write, truncate_at) if truncate_at is not None and index == last else write
                ]

            yield survive


def keep_name_always() -> bool:
    """Keep the file name."""
    return True


def lose_name_always() -> bool:
    """Lose the file name."""
    return False


class ExhaustiveCutTest(unittest.IsolatedAsyncioTestCase):
    """Power is lost after every write and sync of a run.

    Every subset of the newest unsynced writes is tried, also with the last one truncated every `cut_step`
    bytes (by default at every byte).
    """

    async def run_with_cuts(
        self, groups: list[list[Change]], groups_per_round: int = 1, cut_step: int = 1
    ) -> StoreHarness:
        """Apply `groups_per_round` groups per round; try all power losses after each write and sync."""
        harness = StoreHarness(SimulatedDisk())
        history = History()
        history.add({})  # the state after the open formats the store
        store: RingStore | None = None
        acknowledged = 0
        self.tried = 0

        def lose_power() -> None:
            if store is not None:
                history.mark_durable(1 + max(acknowledged, store.durable_ticket))
            writes = harness.disk.unsynced()
            recent = writes[-MAX_EXHAUSTIVE_WRITES:]
            older = {id(write) for write in writes[:-MAX_EXHAUSTIVE_WRITES]}
            names_durable = all(inode.name_durable for inode in harness.disk.inodes.values())
            keep_names = [keep_name_always] if names_durable else [keep_name_always, lose_name_always]
            for survive in survivals(recent, cut_step):

                def all_survive(write: Write, survive: Survival = survive) -> list[Write]:
                    return [write] if id(write) in older else survive(write)

                for keep_name in keep_names:
                    disk = harness.disk.after_power_loss(all_survive, keep_name)
                    found = recover(disk, FOLDER)
                    self.tried += 1
                    allowed = history.states[history.oldest_allowed :]
                    self.assertTrue(history.allows(found.items), (found.items, allowed))

        harness.disk.on_change = lose_power
        store = harness.open()
        self.assertEqual(store.durable_ticket, 0)
        for index in range(0, len(groups), groups_per_round):
            for group in groups[index : index + groups_per_round]:
                store.apply(group)
                history.add(dict(store.items))
            await harness.run_until_idle()
            acknowledged = store.durable_ticket
            self.assertEqual(acknowledged, min(index + groups_per_round, len(groups)))
        self.store = store
        return harness

    async def test_single_changes(self) -> None:
        await self.run_with_cuts([[(b"key%d" % (index % 3), b"value %d" % index)] for index in range(8)])
        self.assertGreater(self.tried, 1_000)

    async def test_groups_with_deletes(self) -> None:
        groups: list[list[Change]] = [
            [(b"a", b"1"), (b"b", b"1"), (b"c", b"1")],
            [(b"a", None), (b"b", b"2")],
            [(b"a", b"3"), (b"c", None)],
            [(b"a", None), (b"b", None)],
        ]
        await self.run_with_cuts(groups, groups_per_round=2)

    async def test_a_group_that_is_larger_than_a_file(self) -> None:
        large: list[Change] = [(b"key%02d" % index, b"v" * 20) for index in range(20)]
        changed: list[Change] = [(key, b"w" * 20) for key, _ in large]
        await self.run_with_cuts([large, [(b"one", b"more")], changed])

    async def test_wrap_around_with_compaction(self) -> None:
        rng = random.Random(3)
        groups: list[list[Change]] = [
            [(b"key%02d" % rng.randrange(40), b"%03d" % index * rng.randrange(11)) for _ in range(2)]
            for index in range(400)
        ]
        harness = await self.run_with_cuts(groups, cut_step=17)
        self.assertGreater(self.store.counters.compactions, 2)
        self.assertLessEqual(harness.disk.total_bytes(), SMALL_LIMIT)
        self.assertGreater(self.store.ring.pool.counters.written_bytes, 2 * harness.disk.total_bytes())


class FailedAttemptsTest(unittest.IsolatedAsyncioTestCase):
    """Acknowledged changes survive while the disk fails repeatedly."""

    async def run_with_failures(self, fail: Callable[[SimulatedDisk], None]) -> None:
        harness = StoreHarness(SimulatedDisk())
        store = harness.open()
        acknowledged: list[dict[bytes, bytes]] = []
        for index in range(20):
            store.apply([(b"key%d" % index, b"v" * 30)])
            await harness.run_until_idle()
        acknowledged.append(dict(store.items))
        self.assertEqual(store.durable_ticket, 20)

        def lose_power() -> None:
            for survive in (drop_all, keep_all):
                items = recover(harness.disk.after_power_loss(survive), FOLDER).items
                self.assertIsNotNone(items)
                self.assertLessEqual(acknowledged[0].items(), (items or {}).items())

        harness.disk.on_change = lose_power
        for index in range(40):
            fail(harness.disk)
            store.apply([(b"more%d" % index, b"w" * 10)])
            await harness.run_until_idle()
            self.assertEqual(store.durable_ticket, 20)
            harness.fire_timer()
            await asyncio.sleep(0)

    async def test_syncs_fail(self) -> None:
        def fail(disk: SimulatedDisk) -> None:
            disk.syncs_to_fail = 1

        await self.run_with_failures(fail)

    async def test_writes_are_refused(self) -> None:
        def fail(disk: SimulatedDisk) -> None:
            disk.rejects_writes = True

        await self.run_with_failures(fail)


class DamageTest(unittest.IsolatedAsyncioTestCase):
    """Recovery ignores everything after an invalid record, even records that are valid by themselves."""

    async def test_a_segment_after_a_damaged_one_is_not_replayed(self) -> None:
        harness = StoreHarness(SimulatedDisk())
        store = harness.open()
        states: list[dict[bytes, bytes]] = [{}]
        for index in range(20):
            store.apply([(b"key%d" % index, b"v" * 30)])
            states.append(dict(store.items))
            await harness.run_until_idle()
        for name, inode in harness.disk.inodes.items():
            for byte_index in range(0, len(inode.cache), 7):
                damaged = harness.disk.after_kill()
                damaged.inodes[name].cache[byte_index] ^= 0x10
                items = recover(damaged, FOLDER).items
                self.assertTrue(items is None or items in states)

    def test_a_frame_of_another_life_ends_the_segment(self) -> None:
        header, chain = encode_segment(SegmentHeader(1, 5, 0, 0, SegmentFlag.SNAPSHOT_STARTS))
        frame, _ = encode_frame([(b"a", b"1")], FrameFlag.NONE, 5, chain)
        stale_frame, _ = encode_frame([(b"a", b"1")], FrameFlag.NONE, 6, chain)
        self.assertEqual(len(list(decode_frames(header + frame, 5, chain))), 1)
        self.assertEqual(len(list(decode_frames(header + stale_frame, 5, chain))), 0)

    def test_a_failed_log_rejects_frames_until_it_is_rebased(self) -> None:
        disk = SimulatedDisk()
        ring = StoreHarness(disk).open().ring
        disk.syncs_to_fail = 1
        with self.assertRaises(OSError):
            ring.append([(b"a", b"1")], 10, FrameFlag.NONE, False)
        with self.assertRaises(OSError):
            ring.append([(b"a", b"1")], 10, FrameFlag.NONE, False)
        ring.rebase([(b"a", b"1")])
        ring.append([(b"b", b"1")], 10, FrameFlag.NONE, False)
        items = recover(disk.after_power_loss(drop_all), FOLDER).items
        self.assertEqual(items, {b"a": b"1", b"b": b"1"})


KEYS = st.sampled_from([b"a", b"b", b"c", b"d" * 9, b"e" * 20])
VALUES = st.one_of(st.none(), st.binary(max_size=40))
GROUPS = st.lists(st.tuples(KEYS, VALUES), min_size=1, max_size=6)
ACTIONS = st.one_of(
    st.tuples(st.just("apply"), GROUPS),
    st.tuples(st.just("apply many"), st.integers(2, 30)),
    st.tuples(st.just("replace"), GROUPS),
    st.sampled_from(
        [
            ("run",),
            ("run",),
            ("run",),
            ("fire",),
            ("power loss",),
            ("power loss within a job",),
            ("kill",),
            ("kill within a job",),
            ("settle",),
            ("fail syncs", 1),
            ("fail syncs", 3),
            ("refuse",),
            ("accept",),
            ("wipe",),
            ("close",),
        ]
    ),
)


class RandomRun:
    """Runs random actions on a store and compares it with the model of its history."""

    def __init__(self, test: unittest.TestCase, seed: int) -> None:
        self.test = test
        self.rng = random.Random(seed)
        self.harness = StoreHarness(SimulatedDisk(seed))
        self.history = History()
        self.open()

    def open(self) -> None:
        """Open the store on the current disk and check the recovered content."""
        disk = self.harness.disk
        self.harness = StoreHarness(disk, life_numbers=self.harness.life_numbers)
        self.store = self.harness.open()
        found = None if self.store.fresh else dict(self.store.items)
        allowed = self.history.states[self.history.oldest_allowed :]
        self.test.assertTrue(self.history.allows(found), (found, allowed))
        self.first_index = self.history.truncate_to(found)
        if found is None:
            self.first_index = self.history.add({})
        self.note_durable()

    def note_durable(self) -> None:
        """Record the durable ticket in the model, and check the limit on disk space."""
        if self.store.durable_ticket >= 0:
            self.history.mark_durable(self.first_index + self.store.durable_ticket)
        self.test.assertLessEqual(self.harness.disk.total_bytes(), SMALL_LIMIT)

    def apply(self, changes: list[Change], replaces: bool = False) -> None:
        """Apply the changes to the store and the model."""
        expected = dict(self.store.items)
        for key, value in changes:
            if value is None:
                expected.pop(key, None)
            else:
                expected[key] = value
        before = self.first_index + self.store.apply([])
        try:
            if replaces:
                puts = [(key, value) for key, value in changes if value is not None]
                expected = {key: value for key, value in self.store.items.items() if key < b"b"} | dict(puts)
                ticket = self.store.replace(puts, lambda key: key < b"b")
            else:
                ticket = self.store.apply(changes)
        except StorageFull:
            return
        self.test.assertEqual(self.store.items, expected)
        if self.first_index + ticket > before:
            self.test.assertEqual(self.history.add(expected), self.first_index + ticket)

    async def perform(self, action: tuple[object, ...]) -> None:
        """Perform one action."""
        match action:
            case ("apply", list() as changes):
                self.apply(changes)
            case ("apply many", int() as count):
                self.apply([(b"many%02d" % index, self.rng.randbytes(30)) for index in range(count)])
            case ("replace", list() as changes):
                self.apply(changes, replaces=True)
            case ("run",):
                await asyncio.sleep(0)
                if self.harness.runner.busy:
                    self.harness.runner.step()
            case ("settle",):
                await self.harness.run_until_idle()
            case ("fire",):
                if self.harness.timers:
                    self.harness.fire_timer()
            case ("power loss",) | ("kill",) | ("power loss within a job",) | ("kill within a job",):
                await self.crash(within_job="job" in str(action[0]), power="power" in str(action[0]))
            case ("fail syncs", int() as times):
                self.harness.disk.syncs_to_fail = times
            case ("refuse",):
                self.harness.disk.rejects_writes = True
            case ("accept",):
                self.harness.disk.rejects_writes = False
            case ("wipe",):
                self.harness.disk = SimulatedDisk(self.rng.getrandbits(32))
                self.history = History()
                self.open()
            case ("close",):
                await self.close()
        self.note_durable()

    async def crash(self, within_job: bool, power: bool) -> None:
        """End the process by a kill or a power loss, optionally within a job, and open the store again."""
        await asyncio.sleep(0)
        disk = self.harness.disk
        if within_job and self.harness.runner.busy:
            disk.steps_until_cut = self.rng.randrange(8)
            with suppress(PowerCut):
                self.harness.runner.run()
        self.note_durable()
        self.harness.disk = disk.after_random_power_loss() if power else disk.after_kill()
        self.harness.disk.rejects_writes = disk.rejects_writes and self.rng.random() < 0.5
        self.open()

    async def close(self) -> None:
        """Close the store cleanly and open it again."""
        self.harness.disk.rejects_writes = False
        closing = asyncio.ensure_future(self.store.close())
        while not closing.done():
            await self.harness.run_until_idle()
            if self.harness.timers:
                self.harness.fire_timer()
        self.note_durable()
        self.harness.disk = self.harness.disk.after_kill()
        self.open()

    async def check_recovery(self) -> None:
        """Check that every change becomes durable without a restart once the disk works again."""
        self.harness.disk.rejects_writes = False
        self.harness.disk.syncs_to_fail = 0
        ticket = self.store.apply([(b"last", b"one")])
        for _ in range(3):
            await self.harness.run_until_idle()
            while self.harness.timers:
                self.harness.fire_timer()
        await self.harness.run_until_idle()
        self.test.assertEqual(self.store.durable_ticket, ticket)
        disk = self.harness.disk.after_power_loss(lambda write: [])
        self.test.assertEqual(recover(disk, FOLDER).items, dict(self.store.items))


class RandomRunTest(unittest.TestCase):
    """Random changes, disk failures, kills and power losses."""

    @settings(max_examples=400)
    @given(st.lists(ACTIONS, max_size=60), st.integers(0, 1 << 32))
    def test_nothing_acknowledged_is_lost(self, actions: list[tuple[object, ...]], seed: int) -> None:
        async def run() -> None:
            random_run = RandomRun(self, seed)
            for action in actions:
                await random_run.perform(action)
            await random_run.check_recovery()

        asyncio.run(run())
