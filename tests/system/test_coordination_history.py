"""Long histories: replicas that were down catch up, states stay bounded, and reads return no old values."""

from __future__ import annotations

import unittest
from functools import partial
from unittest import mock

from flintfield.coordination.model import NoQuorum
from flintfield.coordination.shell.register import Decide, RegisterClient

from .coordination_history import CATCH_UP_MS, ITEM_COUNT, History, measure_catch_up
from .coordination_world import Machine

MAX_CATCH_UP_MS = 4_000  # `catchUpS` of small deployments
CHANGES = 2_000
CHANGES_PER_STEP = 50  # between two checks of the state sizes
STEPS_PER_FAULT = 4  # steps from the loss of a disk to the next fault in the core
MAX_STATE_BYTES = 150_000  # 400 items of 200 bytes, a value of 2 kB, records


class CatchingUp(unittest.TestCase):
    """A replica that was down."""

    def test_it_catches_up_in_time(self) -> None:
        for missed in (10, 100, 1_000):
            with self.subTest(missed):
                found = measure_catch_up(missed)
                self.assertLess(found.time_ms, MAX_CATCH_UP_MS)
                self.assertLess(found.bytes_moved, 3 * MAX_STATE_BYTES)
                self.assertLess(found.state_bytes, MAX_STATE_BYTES)

    def test_without_settling_it_keeps_the_old_value(self) -> None:
        """A read or poll that finds replicas with different values proposes the newest value again.

        Without this repair (`settle`), a replica that missed a change keeps its old value.
        """
        history = History(3)
        machine = history.follower()
        history.world.kill(machine, None)
        history.make_changes(10)
        history.world.run_for(4_000)  # all changes have finished

        async def settle(self: RegisterClient) -> bytes | None:
            raise NoQuorum("settling is disabled")

        with mock.patch.object(RegisterClient, "settle", settle):
            history.world.start(machine)
            self.assertFalse(history.world.run_for(1_500, partial(history.is_caught_up, machine)))


class TwoThousandChanges(unittest.TestCase):
    """Two thousand changes with restarts, wiped disks, replaced machines and changing seeds."""

    def setUp(self) -> None:
        self.history = History(11)
        self.world = self.history.world

    def test_states_stay_bounded_and_all_replicas_catch_up(self) -> None:
        faults = (self._restart, self._wipe, self._replace, self._restart_all, self._change_seeds)
        largest = 0
        for step in range(CHANGES // CHANGES_PER_STEP):
            if step % STEPS_PER_FAULT == 0:
                faults[step // STEPS_PER_FAULT % len(faults)]()
            self.history.make_changes(CHANGES_PER_STEP)
            largest = max(largest, *map(self.history.state_bytes, self._replicas()))
        self.assertTrue(self.world.run_for(CATCH_UP_MS, self.world.settled))
        for machine in self._replicas():
            self.assertTrue(self.world.run_for(CATCH_UP_MS, partial(self.history.is_caught_up, machine)))
        self.assertLess(largest, MAX_STATE_BYTES)
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
        """Remove a machine for good and start an empty one at another address."""
        removed = self.history.follower()
        self.world.kill(removed, None, power=True)
        removed.present = False
        newcomer = Machine(len(self.world.machines), True, False)
        newcomer.first_start = False
        self.world.machines.append(newcomer)
        self.world.after(1_000, partial(self.world.restart, newcomer))

    def _restart_all(self) -> None:
        for machine in self._replicas():
            self.world.kill(machine, self.world.rng.randint(200, 800))

    def _change_seeds(self) -> None:
        addresses = [machine.address for machine in self.world.machines if machine.present]
        self.world.seeds = tuple(addresses[-3:])
        for process in self.world.processes():
            process.node.set_seeds(self.world.seeds)


class Contention(unittest.TestCase):
    """Many concurrent changes at many processes."""

    def test_bursts_of_eight_changes_all_succeed(self) -> None:
        for replicas, clients, losses in ((3, 4, 1), (8, 9, 2)):
            with self.subTest(replicas):
                history = History(5, replicas, clients, losses)
                for _ in range(8):
                    for _ in range(8):
                        history.start_change()
                    history.world.run_for(500)
                history.world.run_for(4_000)
                self.assertEqual((64, 0), (history.acknowledged, history.unknown_outcomes))

    def test_a_backlog_of_changes_completes(self) -> None:
        """Without shared attempts, proposers outbid each other's ballots and make almost no progress."""
        history = History(6)
        for _ in range(150):
            history.start_change()
            history.world.run_for(10)
        history.world.run_for(4_000)
        self.assertGreater(history.acknowledged, 140)

    def test_a_change_that_raises_does_not_fail_the_others(self) -> None:
        history = History(7)
        process = history.world.processes()[0]
        outcomes: list[object] = []

        def fail(value: bytes | None) -> bytes | None:
            raise ValueError("not readable")

        async def request_change(decide: Decide) -> None:
            try:
                outcomes.append(await process.node.change(decide))
            except ValueError as error:
                outcomes.append(error)

        for decide in (lambda value: b"7 first", fail, lambda value: (value or b"") + b" second"):
            process.loop.create_task(request_change(decide))
        history.world.run_for(1_000)
        self.assertEqual(
            [b"7 first second"] * 2, [outcome for outcome in outcomes if isinstance(outcome, bytes)]
        )
        self.assertEqual(1, sum(isinstance(outcome, ValueError) for outcome in outcomes))


class StoredItems(unittest.TestCase):
    def test_all_written_items_are_stored(self) -> None:
        history = History(2)
        history.make_changes(ITEM_COUNT + 20)
        machine = history.follower()
        self.assertTrue(history.world.run_for(CATCH_UP_MS, partial(history.is_caught_up, machine)))
        process = machine.process
        assert process is not None and process.node._host is not None
        items = [key for key in process.node._host._store.items if key.startswith(b"s/item/")]
        self.assertEqual(ITEM_COUNT, len(items))


if __name__ == "__main__":
    unittest.main()
