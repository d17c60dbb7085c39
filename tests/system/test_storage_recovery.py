"""Recovery: nothing acknowledged is lost and no group comes back by half, whatever a loss of power leaves."""

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
from .test_storage_disk import PowerCut, SimulatedDisk, Survival, Write, first_bytes, kept, lost
from .test_storage_steps import FOLDER, SMALL_LIMIT, History, Stepped

MOST_SUBSETS = 6  # unsynced writes of which every subset is tried


def survivals(writes: list[Write], cut_step: int) -> Iterator[Survival]:
    """Every subset of the writes; the last one also cut at every so many bytes."""
    places = {id(write): at for at, write in enumerate(writes)}
    for flags in itertools.product((False, True), repeat=len(writes)):
        last = max((at for at, flag in enumerate(flags) if flag), default=None)
        cuts: list[int | None] = [None]
        if last == len(writes) - 1:
            cuts += range(1, len(writes[last].data), cut_step)
        for cut in cuts:

            def survive(
                write: Write, flags: tuple[bool, ...] = flags, cut: int | None = cut, last: int | None = last
            ) -> list[Write]:
                at = places[id(write)]
                if not flags[at]:
                    return []
                return [first_bytes(write, cut) if cut is not None and at == last else write]

            yield survive


def always() -> bool:
    """Keep the name."""
    return True


def never() -> bool:
    """Lose the name."""
    return False


class ExhaustiveCutTest(unittest.IsolatedAsyncioTestCase):
    """Power is lost after every write and sync of a run.

    Every subset of the unsynced writes is tried, with the newest one cut at every byte.
    """

    async def run_with_cuts(self, groups: list[list[Change]], gather: int = 1, cut_step: int = 1) -> Stepped:
        """Apply the groups, so many for each round, and try all losses of power on the way."""
        stepped = Stepped(SimulatedDisk())
        history = History()
        history.add({})  # the store that the open formats
        store: RingStore | None = None
        acknowledged = 0
        self.tried = 0

        def lose_power() -> None:
            if store is not None:
                history.durable(1 + max(acknowledged, store.durable_ticket))
            writes = stepped.disk.unsynced()
            recent = writes[-MOST_SUBSETS:]
            older = {id(write) for write in writes[:-MOST_SUBSETS]}
            named = all(inode.name_durable for inode in stepped.disk.inodes.values())
            keep_names = [always] if named else [always, never]
            for survive in survivals(recent, cut_step):

                def all_survive(write: Write, survive: Survival = survive) -> list[Write]:
                    return [write] if id(write) in older else survive(write)

                for keep_name in keep_names:
                    disk = stepped.disk.after_power_loss(all_survive, keep_name)
                    found = recover(disk, FOLDER)
                    self.tried += 1
                    allowed = history.states[history.oldest :]
                    self.assertTrue(history.allows(found.items), (found.items, allowed))

        stepped.disk.on_change = lose_power
        store = stepped.open()
        self.assertEqual(store.durable_ticket, 0)
        for at in range(0, len(groups), gather):
            for group in groups[at : at + gather]:
                store.apply(group)
                history.add(dict(store.items))
            await stepped.settle()
            acknowledged = store.durable_ticket
            self.assertEqual(acknowledged, min(at + gather, len(groups)))
        self.store = store
        return stepped

    async def test_single_changes(self) -> None:
        await self.run_with_cuts([[(b"key%d" % (at % 3), b"value %d" % at)] for at in range(8)])
        self.assertGreater(self.tried, 1_000)

    async def test_groups_with_deletes(self) -> None:
        groups: list[list[Change]] = [
            [(b"a", b"1"), (b"b", b"1"), (b"c", b"1")],
            [(b"a", None), (b"b", b"2")],
            [(b"a", b"3"), (b"c", None)],
            [(b"a", None), (b"b", None)],
        ]
        await self.run_with_cuts(groups, gather=2)

    async def test_a_group_that_is_larger_than_a_file(self) -> None:
        large: list[Change] = [(b"key%02d" % at, b"v" * 20) for at in range(20)]
        changed: list[Change] = [(key, b"w" * 20) for key, _ in large]
        await self.run_with_cuts([large, [(b"one", b"more")], changed])

    async def test_wrap_around_with_compaction(self) -> None:
        chance = random.Random(3)
        groups: list[list[Change]] = [
            [(b"key%02d" % chance.randrange(40), b"%03d" % at * chance.randrange(11)) for _ in range(2)]
            for at in range(400)
        ]
        stepped = await self.run_with_cuts(groups, cut_step=17)
        self.assertGreater(self.store.counters.compactions, 2)
        self.assertLessEqual(stepped.disk.total_bytes(), SMALL_LIMIT)
        self.assertGreater(self.store.ring.pool.counters.written_bytes, 2 * stepped.disk.total_bytes())


class FailedAttemptsTest(unittest.IsolatedAsyncioTestCase):
    """While the disk fails again and again, what was acknowledged stays where it is."""

    async def fail_often(self, fail: Callable[[SimulatedDisk], None]) -> None:
        stepped = Stepped(SimulatedDisk())
        store = stepped.open()
        acknowledged: list[dict[bytes, bytes]] = []
        for at in range(20):
            store.apply([(b"key%d" % at, b"v" * 30)])
            await stepped.settle()
        acknowledged.append(dict(store.items))
        self.assertEqual(store.durable_ticket, 20)

        def lose_power() -> None:
            for survive in (lost, kept):
                items = recover(stepped.disk.after_power_loss(survive), FOLDER).items
                self.assertIsNotNone(items)
                self.assertLessEqual(acknowledged[0].items(), (items or {}).items())

        stepped.disk.on_change = lose_power
        for at in range(40):
            fail(stepped.disk)
            store.apply([(b"more%d" % at, b"w" * 10)])
            await stepped.settle()
            self.assertEqual(store.durable_ticket, 20)
            stepped.fire()
            await asyncio.sleep(0)

    async def test_syncs_fail(self) -> None:
        def fail(disk: SimulatedDisk) -> None:
            disk.failing_syncs = 1

        await self.fail_often(fail)

    async def test_writes_are_refused(self) -> None:
        def fail(disk: SimulatedDisk) -> None:
            disk.refuses_writes = True

        await self.fail_often(fail)


class DamageTest(unittest.IsolatedAsyncioTestCase):
    """Nothing beyond a record that can't be read is taken, however valid it looks by itself."""

    async def test_a_segment_is_not_the_successor_of_one_that_ends_early(self) -> None:
        stepped = Stepped(SimulatedDisk())
        store = stepped.open()
        states: list[dict[bytes, bytes]] = [{}]
        for at in range(20):
            store.apply([(b"key%d" % at, b"v" * 30)])
            states.append(dict(store.items))
            await stepped.settle()
        for name, inode in stepped.disk.inodes.items():
            for place in range(0, len(inode.cache), 7):
                damaged = stepped.disk.after_kill()
                damaged.inodes[name].cache[place] ^= 0x10
                items = recover(damaged, FOLDER).items
                self.assertTrue(items is None or items in states)

    def test_a_frame_of_another_life_ends_the_segment(self) -> None:
        header, chain = encode_segment(SegmentHeader(1, 5, 0, 0, SegmentFlag.SNAPSHOT_STARTS))
        frame, _ = encode_frame([(b"a", b"1")], FrameFlag.NONE, 5, chain)
        stale, _ = encode_frame([(b"a", b"1")], FrameFlag.NONE, 6, chain)
        self.assertEqual(len(list(decode_frames(header + frame, 5, chain))), 1)
        self.assertEqual(len(list(decode_frames(header + stale, 5, chain))), 0)

    def test_a_log_that_failed_takes_no_more_frames(self) -> None:
        disk = SimulatedDisk()
        ring = Stepped(disk).open().ring
        disk.failing_syncs = 1
        with self.assertRaises(OSError):
            ring.append([(b"a", b"1")], 10, FrameFlag.NONE, False)
        with self.assertRaises(OSError):
            ring.append([(b"a", b"1")], 10, FrameFlag.NONE, False)
        ring.rebase([(b"a", b"1")])
        ring.append([(b"b", b"1")], 10, FrameFlag.NONE, False)
        items = recover(disk.after_power_loss(lost), FOLDER).items
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
    """One run of random actions against the model."""

    def __init__(self, test: unittest.TestCase, seed: int) -> None:
        self.test = test
        self.chance = random.Random(seed)
        self.stepped = Stepped(SimulatedDisk(seed))
        self.history = History()
        self.open()

    def open(self) -> None:
        """Open the store on the disk as it is, and check what it found."""
        disk = self.stepped.disk
        self.stepped = Stepped(disk, lives=self.stepped.lives)
        self.store = self.stepped.open()
        found = None if self.store.fresh else dict(self.store.items)
        allowed = self.history.states[self.history.oldest :]
        self.test.assertTrue(self.history.allows(found), (found, allowed))
        self.first = self.history.recovered(found)
        if found is None:
            self.first = self.history.add({})
        self.note_durable()

    def note_durable(self) -> None:
        """What is acknowledged by now."""
        if self.store.durable_ticket >= 0:
            self.history.durable(self.first + self.store.durable_ticket)
        self.test.assertLessEqual(self.stepped.disk.total_bytes(), SMALL_LIMIT)

    def apply(self, changes: list[Change], replaces: bool = False) -> None:
        """Change the store and the model."""
        expected = dict(self.store.items)
        for key, value in changes:
            if value is None:
                expected.pop(key, None)
            else:
                expected[key] = value
        before = self.first + self.store.apply([])
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
        if self.first + ticket > before:
            self.test.assertEqual(self.history.add(expected), self.first + ticket)

    async def act(self, action: tuple[object, ...]) -> None:
        """Carry out one action."""
        match action:
            case ("apply", list() as changes):
                self.apply(changes)
            case ("apply many", int() as many):
                self.apply([(b"many%02d" % at, self.chance.randbytes(30)) for at in range(many)])
            case ("replace", list() as changes):
                self.apply(changes, replaces=True)
            case ("run",):
                await asyncio.sleep(0)
                if self.stepped.runner.busy:
                    self.stepped.runner.step()
            case ("settle",):
                await self.stepped.settle()
            case ("fire",):
                if self.stepped.timers:
                    self.stepped.fire()
            case ("power loss",) | ("kill",) | ("power loss within a job",) | ("kill within a job",):
                await self.end(within_job="job" in str(action[0]), power="power" in str(action[0]))
            case ("fail syncs", int() as times):
                self.stepped.disk.failing_syncs = times
            case ("refuse",):
                self.stepped.disk.refuses_writes = True
            case ("accept",):
                self.stepped.disk.refuses_writes = False
            case ("wipe",):
                self.stepped.disk = SimulatedDisk(self.chance.getrandbits(32))
                self.history = History()
                self.open()
            case ("close",):
                await self.close()
        self.note_durable()

    async def end(self, within_job: bool, power: bool) -> None:
        """The process ends, perhaps within a job, perhaps with the power; the store is opened again."""
        await asyncio.sleep(0)
        disk = self.stepped.disk
        if within_job and self.stepped.runner.busy:
            disk.steps_until_cut = self.chance.randrange(8)
            with suppress(PowerCut):
                self.stepped.runner.run()
        self.note_durable()
        self.stepped.disk = disk.after_random_power_loss() if power else disk.after_kill()
        self.stepped.disk.refuses_writes = disk.refuses_writes and self.chance.random() < 0.5
        self.open()

    async def close(self) -> None:
        """Close the store in order and open it again."""
        self.stepped.disk.refuses_writes = False
        closing = asyncio.ensure_future(self.store.close())
        while not closing.done():
            await self.stepped.settle()
            if self.stepped.timers:
                self.stepped.fire()
        self.note_durable()
        self.stepped.disk = self.stepped.disk.after_kill()
        self.open()

    async def heal(self) -> None:
        """In the end the disk is well again: everything becomes durable without a restart."""
        self.stepped.disk.refuses_writes = False
        self.stepped.disk.failing_syncs = 0
        ticket = self.store.apply([(b"last", b"one")])
        for _ in range(3):
            await self.stepped.settle()
            while self.stepped.timers:
                self.stepped.fire()
        await self.stepped.settle()
        self.test.assertEqual(self.store.durable_ticket, ticket)
        disk = self.stepped.disk.after_power_loss(lambda write: [])
        self.test.assertEqual(recover(disk, FOLDER).items, dict(self.store.items))


class RandomRunTest(unittest.TestCase):
    """Random changes, failures, kills and losses of power."""

    @settings(max_examples=400)
    @given(st.lists(ACTIONS, max_size=60), st.integers(0, 1 << 32))
    def test_nothing_acknowledged_is_lost(self, actions: list[tuple[object, ...]], seed: int) -> None:
        async def run() -> None:
            random_run = RandomRun(self, seed)
            for action in actions:
                await random_run.act(action)
            await random_run.heal()

        asyncio.run(run())
