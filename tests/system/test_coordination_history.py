"""Long histories: replicas that were away catch up, states stay bounded, nobody tells what is old."""

from __future__ import annotations

import unittest
from functools import partial
from unittest import mock

from flintfield.coordination.model import NoQuorum
from flintfield.coordination.shell.register import Decide, RegisterClient

from .coordination_history import CATCH_UP_MS, ITEMS, History, catch_up
from .coordination_world import Machine

CATCH_UP_BOUND_MS = 4_000  # `catchUpS` of the users' small deployments
CHANGES = 2_000
STEP = 50  # changes between two faults
QUIET_STEPS = 4  # of them from the loss of a disk until the next trouble in the core
LARGEST_STATE_BYTES = 150_000  # 400 items of 200 bytes, a value of 2 kB, records


class CatchingUp(unittest.TestCase):
    """A replica that was away."""

    def test_it_catches_up_in_time_whatever_it_missed(self) -> None:
        for missed in (10, 100, 1_000):
            with self.subTest(missed):
                found = catch_up(missed)
                self.assertLess(found.time_ms, CATCH_UP_BOUND_MS)
                self.assertLess(found.bytes_moved, 3 * LARGEST_STATE_BYTES)
                self.assertLess(found.state_bytes, LARGEST_STATE_BYTES)

    def test_without_settling_it_keeps_the_old_value(self) -> None:
        """A read or poll that finds replicas apart accepts the newest value anew: the line of defence."""
        history = History(3)
        machine = history.follower()
        history.world.kill(machine, None)
        history.changes(10)
        history.world.run_for(4_000)  # all changes have ended

        async def settle(self: RegisterClient) -> bytes | None:
            raise NoQuorum("nobody settles")

        with mock.patch.object(RegisterClient, "settle", settle):
            history.world.start(machine)
            self.assertFalse(history.world.run_for(1_500, partial(history.caught_up, machine)))


class TwoThousandChanges(unittest.TestCase):
    """With restarts, wiped disks, replaced machines and changing seeds."""

    def setUp(self) -> None:
        self.history = History(11)
        self.world = self.history.world

    def test_states_stay_bounded_and_nobody_is_left_behind(self) -> None:
        faults = (self._restart, self._wipe, self._replace, self._restart_all, self._other_seeds)
        largest = 0
        for step in range(CHANGES // STEP):
            if step % QUIET_STEPS == 0:
                faults[step // QUIET_STEPS % len(faults)]()
            self.history.changes(STEP)
            largest = max(largest, *map(self.history.state_bytes, self._replicas()))
        self.assertTrue(self.world.run_for(CATCH_UP_MS, self.world.settled))
        for machine in self._replicas():
            self.assertTrue(self.world.run_for(CATCH_UP_MS, partial(self.history.caught_up, machine)))
        self.assertLess(largest, LARGEST_STATE_BYTES)
        self.assertGreater(self.history.acknowledged, CHANGES * 9 // 10)
        self._read_everywhere()

    def _read_everywhere(self) -> None:
        for process in self.world.processes():
            self.world.read(process)
        self.world.run_for(3_000)

    def _replicas(self) -> list[Machine]:
        return [machine for machine in self.world.machines if machine.counts and machine.process is not None]

    def _restart(self) -> None:
        self.world.kill(self.history.follower(), 1_500)

    def _wipe(self) -> None:
        self.world.wipe(self.history.follower(), 400)

    def _replace(self) -> None:
        """A machine is gone for good, an empty one comes at another address."""
        gone = self.history.follower()
        self.world.kill(gone, None, power=True)
        gone.present = False
        newcomer = Machine(len(self.world.machines), True, False)
        newcomer.first_start = False
        self.world.machines.append(newcomer)
        self.world.after(1_000, partial(self.world.restart, newcomer))

    def _restart_all(self) -> None:
        for machine in self._replicas():
            self.world.kill(machine, self.world.rng.randint(200, 800))

    def _other_seeds(self) -> None:
        addresses = [machine.address for machine in self.world.machines if machine.present]
        self.world.seeds = tuple(addresses[-3:])
        for process in self.world.processes():
            process.node.set_seeds(self.world.seeds)


class Contention(unittest.TestCase):
    """Many changes at once at many processes."""

    def test_bursts_of_eight_orders_all_get_through(self) -> None:
        for replicas, clients, losses in ((3, 4, 1), (8, 9, 2)):
            with self.subTest(replicas):
                history = History(5, replicas, clients, losses)
                for _ in range(8):
                    for _ in range(8):
                        history.change()
                    history.world.run_for(500)
                history.world.run_for(4_000)
                self.assertEqual((64, 0), (history.acknowledged, history.doubted))

    def test_a_backlog_is_worked_off(self) -> None:
        """Without shared attempts, proposers that pass each other's ballots get next to nothing done."""
        history = History(6)
        for _ in range(150):
            history.change()
            history.world.run_for(10)
        history.world.run_for(4_000)
        self.assertGreater(history.acknowledged, 140)

    def test_one_wish_that_raises_fails_alone(self) -> None:
        history = History(7)
        process = history.world.processes()[0]
        ends: list[object] = []

        def fail(value: bytes | None) -> bytes | None:
            raise ValueError("not readable")

        async def wish(decide: Decide) -> None:
            try:
                ends.append(await process.node.change(decide))
            except ValueError as error:
                ends.append(error)

        for decide in (lambda value: b"7 first", fail, lambda value: (value or b"") + b" second"):
            process.loop.create_task(wish(decide))
        history.world.run_for(1_000)
        self.assertEqual([b"7 first second"] * 2, [end for end in ends if isinstance(end, bytes)])
        self.assertEqual(1, sum(isinstance(end, ValueError) for end in ends))


class Bounds(unittest.TestCase):
    def test_the_items_that_are_written_are_all_there(self) -> None:
        history = History(2)
        history.changes(ITEMS + 20)
        machine = history.follower()
        self.assertTrue(history.world.run_for(CATCH_UP_MS, partial(history.caught_up, machine)))
        process = machine.process
        assert process is not None and process.node._host is not None
        items = [key for key in process.node._host._store.items if key.startswith(b"s/item/")]
        self.assertEqual(ITEMS, len(items))


if __name__ == "__main__":
    unittest.main()
