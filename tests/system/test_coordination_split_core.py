"""A network partition that splits the replicas into two halves, so that neither half has a majority.

Requests go to processes on both sides. The judge checks that no read is older than what was acknowledged
before it began, and that the histories of both sides don't diverge.
"""

from __future__ import annotations

import enum
import random
import unittest
from dataclasses import dataclass
from unittest import mock

from flintfield.coordination.model import CoreSet, NoQuorum

from .coordination_world import Machine, Process, Violation, World

RECOVERY_MS = 12_000  # documented limit for users, from the end of the partition
FOUNDED_WITHIN_MS = 6_000
EARLIER_REQUESTS = 10
REQUEST_INTERVAL_MS = (5, 250)
QUIET_MS = 2_000  # longer than requests to a sound core take
IN_PROGRESS_MS = 50  # acknowledgements that were on their way when the partition began
PARTITION_MS = 4_000


class Clients(enum.Enum):
    """Which replicas the processes without a disk reach."""

    ONE_HALF = "those of their own half"
    BOTH_HALVES = "all, as only the replicas are cut off from each other"


@dataclass(frozen=True, slots=True)
class Size:
    """A number of replicas, and of disks that may be lost."""

    replicas: int
    tolerance: int


SIZES = (Size(4, 1), Size(6, 2), Size(8, 2))
CLIENT_COUNT = 4


class Split:
    """One simulated partition into halves, with requests on both sides."""

    def __init__(self, seed: int, size: Size, clients: Clients) -> None:
        self.world = World(seed, size.replicas, CLIENT_COUNT, tolerance=size.tolerance)
        self.clients = clients
        self.rng = random.Random(f"split {seed}")
        self.reads: list[tuple[int, str]] = []  # time and machine of each that was answered
        self.writes_before = 0
        self.split_ms = 0
        self.world.start_all()
        assert self.world.run_for(FOUNDED_WITHIN_MS, self.world.settled), "the core was not founded in time"
        for _ in range(EARLIER_REQUESTS):
            self.request()
        self.halves = self._halves()

    def _halves(self) -> tuple[list[Machine], list[Machine]]:
        halves: tuple[list[Machine], list[Machine]] = ([], [])
        replicas = [machine for machine in self.world.machines if machine.counts]
        others = [machine for machine in self.world.machines if not machine.counts]
        for group in (replicas, others):
            self.rng.shuffle(group)
            halves[0].extend(group[: len(group) // 2])
            halves[1].extend(group[len(group) // 2 :])
        return halves

    def request(self) -> None:
        """Start a write at the leader, and a change and a read at any processes."""
        world = self.world
        world.write()
        world.change(self.rng.choice(world.processes()))
        self.read(self.rng.choice(world.processes()))
        world.run_for(self.rng.randint(*REQUEST_INTERVAL_MS))

    def read(self, process: Process) -> None:
        """Start a read at the process."""
        process.loop.call_soon(self._start_reading, process)

    def _start_reading(self, process: Process) -> None:
        process.loop.create_task(self._read(process))

    async def _read(self, process: Process) -> None:
        required = set(self.world.judge.required)
        try:
            value = await process.node.read()
        except NoQuorum:
            return
        self.world.judge.read(value, required)
        self.reads.append((self.world.now_ms, process.machine.name))

    def run(self) -> None:
        """Split the replicas, keep requesting on both sides, and heal the partition."""
        world = self.world
        self.writes_before = len(world.judge.acked)
        self.split_ms = world.now_ms
        one, other = self.halves
        if self.clients is Clients.BOTH_HALVES:
            one, other = ([machine for machine in half if machine.counts] for half in (one, other))
        world.cut(one, other)
        while world.now_ms - self.split_ms < PARTITION_MS:
            self.request()
        world.heal()

    def acknowledged_late(self) -> list[int]:
        """Return the times of changes acknowledged during the partition, without those on their way."""
        limit_ms = self.split_ms + IN_PROGRESS_MS
        return [time_ms for time_ms in self.world.judge.acknowledged_ms if time_ms > limit_ms]

    def recover(self) -> bool:
        """Start requests until a change, a write and a read at each process have succeeded again."""
        world = self.world
        healed_ms = world.now_ms
        changes, writes = len(world.judge.required), len(world.judge.acked)
        machines = {machine.name for machine in world.machines}
        while world.now_ms - healed_ms < RECOVERY_MS:
            served = {name for time_ms, name in self.reads if time_ms > healed_ms}
            changed = len(world.judge.required) > changes and len(world.judge.acked) > writes
            if served == machines and changed and world.settled():
                return True
            self.request()
            for process in world.processes():
                if process.machine.name not in served:
                    self.read(process)
        return False


class SplitCore(unittest.TestCase):
    """The replicas are split into halves."""

    # Guards against a half that acknowledges changes, or reads, without a majority.
    def test_neither_half_acknowledges_or_reads_anything(self) -> None:
        for seed, size in enumerate(SIZES):
            with self.subTest(size=size):
                split = Split(seed, size, Clients.ONE_HALF)
                split.world.run_for(QUIET_MS)
                reads_before = len(split.reads)
                split.run()
                self.assertEqual([], split.acknowledged_late())
                self.assertEqual(split.writes_before, len(split.world.judge.acked))
                self.assertEqual([], split.reads[reads_before:])

    # Guards against requests in progress at the split that are acknowledged later, and against lost service.
    def test_requests_in_progress_are_not_acknowledged_later_and_all_is_served_after_healing(self) -> None:
        for seed in range(3):
            for size in SIZES:
                with self.subTest(seed=seed, size=size):
                    split = Split(10 + seed, size, Clients.ONE_HALF)
                    split.run()
                    self.assertEqual([], split.acknowledged_late())
                    self.assertTrue(split.recover(), split.world.leader_views())

    # Guards against processes that reach both halves and bring different histories about in them.
    def test_clients_that_reach_both_halves_read_what_was_acknowledged(self) -> None:
        for seed in range(2):
            for size in SIZES:
                with self.subTest(seed=seed, size=size):
                    split = Split(20 + seed, size, Clients.BOTH_HALVES)
                    split.run()
                    self.assertTrue(split.recover(), split.world.leader_views())


class PlantedFault(unittest.TestCase):
    """A planted fault: half of the replicas count as a majority."""

    # Guards against a test that would pass though both halves go on by themselves.
    def test_two_halves_that_both_go_on_are_detected(self) -> None:
        half = property(lambda self: len(self.members) // 2)
        with mock.patch.object(CoreSet, "majority", half), self.assertRaises(Violation):
            Split(0, SIZES[0], Clients.ONE_HALF).run()


if __name__ == "__main__":
    unittest.main()
