"""A core that has lost a replica bears the next loss soon, and a planned leaver is missed at no moment."""

from __future__ import annotations

import unittest
from functools import partial
from unittest import mock

from flintfield.coordination.model import CoreSet, Member
from flintfield.coordination.reconfiguration import successor
from flintfield.coordination.shell.changes import CoreChanges

from .coordination_repair import SIZES, Repair, Size, repair_ms
from .coordination_world import Machine, Process, World

SEEDS = range(3)
LATEST_MS = {  # of the promise of the pages (4 s after a machine is back): far below
    Repair.RESTARTED: 600,
    Repair.WIPED: 1_200,
    Repair.WIPED_LEADER: 1_500,
    Repair.NEW_NAME: 2_600,
    Repair.PLANNED: 10,
    Repair.RESTARTED_IN_TRANSFER: 1_800,
    Repair.STALLED_DISK: 3_600,
    Repair.SLOW_DISK: 3_600,
    Repair.FULL_DISK: 3_600,
    Repair.OWN_DISK_SLOW: 3_600,
    Repair.OWN_DISK_FULL: 3_600,
}


def member(number: int) -> Member:
    """A replica."""
    return Member(f"m{number}", f"10.0.0.{number}:7000", "z", number)


def core(count: int) -> CoreSet:
    """A core of that many."""
    return CoreSet(1, tuple(member(number) for number in range(1, count + 1)), count)


class Repairs(unittest.TestCase):
    """Times until the next loss is borne; `python -m tests.system.coordination_repair` measures more."""

    def test_each_kind_of_repair_is_over_soon(self) -> None:
        for repair, latest_ms in LATEST_MS.items():
            for size in SIZES[:2]:
                for seed in SEEDS:
                    with self.subTest(repair.value, size=size, seed=seed):
                        self.assertIn(repair_ms(repair, size, seed), range(latest_ms))

    def test_without_the_word_of_the_leaver_its_place_is_taken_late(self) -> None:
        """The line of defence is needed."""
        with mock.patch.object(CoreChanges, "note_leaving", lambda self, identity: None):
            self.assertGreater(repair_ms(Repair.PLANNED, Size(3, 1), 1), 1_000)


class Leavers(unittest.TestCase):
    """Whose place a candidate takes."""

    def test_a_leaving_member_gives_its_place_before_a_silent_one(self) -> None:
        chosen = successor(core(3), [member(9)], {1: 0, 2: 9_000, 3: 0}.__getitem__, 1, {3})
        assert chosen is not None
        self.assertEqual([1, 2, 9], [each.identity for each in chosen.members])

    def test_nobody_leaves_without_a_successor(self) -> None:
        self.assertIsNone(successor(core(3), [], lambda _: 0, 1, {3}))

    def test_the_leader_keeps_its_place(self) -> None:
        self.assertIsNone(successor(core(3), [member(9)], lambda _: 0, 1, {1}))

    def test_a_candidate_that_leaves_itself_takes_no_place(self) -> None:
        self.assertIsNone(successor(core(3), [member(9)], lambda _: 0, 1, {3, 9}))

    def test_two_candidates_take_the_places_of_two_leavers(self) -> None:
        chosen = successor(core(4), [member(8), member(9)], lambda _: 0, 1, {2, 3})
        assert chosen is not None
        self.assertEqual([1, 4, 8, 9], [each.identity for each in chosen.members])


async def _do_nothing(_: CoreChanges) -> None:
    """In place of a leader's changes of the core set."""


class WaitingForTheCore(unittest.TestCase):
    """A leaver stays while the core can't spare it."""

    def setUp(self) -> None:
        self.world = World(5)
        self.world.start_all()
        self.assertTrue(self.world.run_for(6_000, self.world.settled))
        self.done: list[bool] = []

    def _others(self) -> list[Machine]:
        leader = self.world.leader()
        assert leader is not None
        replicas = [machine for machine in self.world.machines if machine.counts]
        return [machine for machine in replicas if machine is not leader.machine]

    def _leave(self, process: Process) -> None:
        async def leave() -> None:
            await process.node.resign()
            self.done.append(await process.node.spared(4.0))

        process.loop.create_task(leave())

    def test_it_ends_at_once_while_the_others_are_a_majority(self) -> None:
        process = self._others()[0].process
        assert process is not None
        self._leave(process)
        self.assertTrue(self.world.run_for(600, partial(bool, self.done)))
        self.assertEqual([True], self.done)

    def test_it_waits_until_a_wiped_replica_is_a_member_again(self) -> None:
        wiped, leaver = self._others()
        self.world.wipe(wiped, restart_ms=1_500)
        self.world.run_for(100)
        assert leaver.process is not None
        self._leave(leaver.process)
        self.world.run_for(1_000)
        self.assertEqual([], self.done)
        self.assertTrue(self.world.run_for(2_500, partial(bool, self.done)))
        self.assertEqual([True], self.done)

    def test_it_stays_while_a_candidate_is_there_that_is_to_take_its_place(self) -> None:
        """Without the leader's word it would end, and the core would miss it for a while."""
        leader = self.world.leader()
        assert leader is not None and leader.node._changes is not None
        newcomer = Machine(len(self.world.machines), True, False)
        newcomer.first_start = False
        self.world.machines.append(newcomer)
        self.world.start(newcomer)
        self.world.run_for(1_000)
        with mock.patch.object(CoreChanges, "_reconfigure", _do_nothing):
            leaver = self._others()[0].process
            assert leaver is not None
            self._leave(leaver)
            self.world.run_for(2_000)
            self.assertEqual([], self.done)
        self.assertTrue(self.world.run_for(1_500, partial(bool, self.done)))
        self.assertEqual([True], self.done)
        core = leader.node.core
        assert core is not None
        self.assertIn(newcomer.name, [each.name for each in core.members])

    def test_it_ends_when_its_time_is_up(self) -> None:
        gone, leaver = self._others()
        self.world.kill(gone, None, power=True)
        assert leaver.process is not None
        self._leave(leaver.process)
        self.world.run_for(6_000)
        self.assertEqual([False], self.done)


if __name__ == "__main__":
    unittest.main()
