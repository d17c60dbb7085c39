"""As many disks as the fault tolerance allows are lost, and all other machines lose power at that moment.

That includes the machines without a replica. It happens right after acknowledgements, or while requests are
in progress. All machines are back within `RETURN_MS`. Within `RECOVERY_MS` of the loss the core must be
complete again, and every process must read back all that was acknowledged. More seeds are played by
`python -m tests.system.test_coordination_lost_disks FIRST LAST`.
"""

from __future__ import annotations

import enum
import random
import statistics
import sys
import unittest
from dataclasses import dataclass

from flintfield.coordination.model import NoQuorum
from flintfield.simulation.planted import planted

from .coordination_repair import tolerates_losses
from .coordination_world import Machine, Process, Violation, World

RECOVERY_MS = 15_000  # documented limit
RETURN_MS = (200, 2_000)  # from the loss until a machine starts again
FOUNDED_WITHIN_MS = 6_000
ACKNOWLEDGED_WITHIN_MS = 3_000
EARLIER_REQUESTS = 8
EARLIER_REQUEST_INTERVAL_MS = (5, 60)
SOON_MS = (0, 4)  # from the acknowledgements to the loss
IN_PROGRESS_MS = (0, 25)  # from the requests to the loss; about the time that they take
REQUEST_INTERVAL_MS = 250
DISKLESS_SEEDS_SHARE = 0.3
SLOW_LINK_BYTES_PER_MS = 250.0  # 2 Mbit/s
LARGE_VALUE_BYTES = 400_000  # 1.6 s over a slow link
LARGE_VALUE_KNOWN_WITHIN_MS = 15_000
CONFIRMED_WITHIN_MS = 1_000


class Lost(enum.Enum):
    """Which replicas lose their disks."""

    DRAWN = "any"
    LEADER = "the leader and others"
    SEEDS = "the first seeds"


class Moment(enum.Enum):
    """When the disks are lost."""

    ACKNOWLEDGED = "right after acknowledgements"
    IN_PROGRESS = "while requests are in progress"


class Return(enum.Enum):
    """In which order the machines return."""

    LOST_FIRST = "those without their disks first"
    LOST_LAST = "those without their disks last"
    MIXED = "in any order"


@dataclass(frozen=True, slots=True)
class Size:
    """A number of replicas, of machines without a disk, and of disks that may be lost."""

    replicas: int
    clients: int
    tolerance: int


SIZES = (Size(3, 2, 1), Size(4, 2, 1), Size(5, 4, 2), Size(6, 4, 2), Size(8, 4, 2))
LARGE_SITE = Size(6, 34, 2)


class Loss:
    """One simulated loss, and the requests before and after it."""

    def __init__(self, seed: int, size: Size, *, diskless_seeds: bool = False) -> None:
        self.size = size
        self.rng = random.Random(f"loss {seed}")
        self.world = World(seed, size.replicas, size.clients, tolerance=size.tolerance)
        self.world.start_all()
        assert self.world.run_for(FOUNDED_WITHIN_MS, self.world.settled), "the core was not founded in time"
        if diskless_seeds:
            self.world.change_seeds([machine for machine in self.world.machines if not machine.counts][:3])
        for _ in range(EARLIER_REQUESTS):
            self._request()
            self.world.run_for(self.rng.randint(*EARLIER_REQUEST_INTERVAL_MS))
        self.world.run_for(ACKNOWLEDGED_WITHIN_MS)
        self.lost: list[Machine] = []
        self.lost_ms = 0
        self.read_back: set[Process] = set()
        self._reading: set[Process] = set()
        self._writes = 0
        self._changes = 0

    def install_large_value(self) -> None:
        """Slow down the links of all machines without a disk, and give every process a large register."""
        world = self.world
        for machine in world.machines[self.size.replicas :]:
            world.network.links.limit(machine.address, SLOW_LINK_BYTES_PER_MS)
        large = self.rng.randbytes(LARGE_VALUE_BYTES // 2).hex()
        world.append(world.processes()[0], large)

        def is_known() -> bool:
            return all(
                process.values and large in process.values[-1].decode() for process in world.processes()
            )

        assert world.run_for(LARGE_VALUE_KNOWN_WITHIN_MS, is_known), "the large value did not become known"

    def _request(self) -> None:
        """Start a write of the store, and a change of the register at any process that lives."""
        self.world.write()
        processes = self.world.processes()
        if processes:
            self.world.change(self.rng.choice(processes))

    def strike(self, lost: Lost, moment: Moment, order: Return) -> None:
        """Start requests, lose the disks at this moment, and let the machines return in this order."""
        self._count_acknowledged()
        self._request()
        if moment is Moment.ACKNOWLEDGED:
            acknowledged = self.world.run_for(ACKNOWLEDGED_WITHIN_MS, self._acknowledged_more)
            assert acknowledged, "requests to a sound core were not acknowledged in time"
        self.world.run_for(self.rng.randint(*(SOON_MS if moment is Moment.ACKNOWLEDGED else IN_PROGRESS_MS)))
        self.lost = self._choose(lost)
        self.lost_ms = self.world.now_ms
        for machine in self.world.machines:
            return_ms = self._return_ms(machine in self.lost, order)
            if machine in self.lost:
                self.world.wipe(machine, return_ms)
            else:
                self.world.kill(machine, return_ms, power=True)
        self._count_acknowledged()

    def _choose(self, lost: Lost) -> list[Machine]:
        replicas = [machine for machine in self.world.machines if machine.counts]
        if lost is Lost.SEEDS:
            return replicas[: self.size.tolerance]
        self.rng.shuffle(replicas)
        leader = self.world.leader()
        if lost is Lost.LEADER and leader is not None:
            replicas.sort(key=lambda machine: machine is not leader.machine)
        return replicas[: self.size.tolerance]

    def _return_ms(self, is_lost: bool, order: Return) -> int:
        first_ms, last_ms = RETURN_MS
        middle_ms = (first_ms + last_ms) // 2
        if order is Return.MIXED:
            return self.rng.randint(first_ms, last_ms)
        if is_lost is (order is Return.LOST_FIRST):
            return self.rng.randint(first_ms, middle_ms)
        return self.rng.randint(middle_ms + 1, last_ms)

    def _count_acknowledged(self) -> None:
        self._writes = len(self.world.judge.acked)
        self._changes = len(self.world.judge.required)

    def _acknowledged_more(self) -> bool:
        """Return whether a write and a change were acknowledged since the last count."""
        judge = self.world.judge
        return len(judge.acked) > self._writes and len(judge.required) > self._changes

    def recover(self) -> bool:
        """Start requests and reads at all processes until all have succeeded, or the time is over."""
        deadline_ms = self.lost_ms + RECOVERY_MS
        while self.world.now_ms < deadline_ms and not self._recovered():
            self._request()
            for process in self.world.processes():
                if process not in self.read_back | self._reading:
                    self._reading.add(process)
                    process.loop.call_soon(self._start_reading, process)
            self.world.run_for(REQUEST_INTERVAL_MS)
        return self._recovered()

    def _start_reading(self, process: Process) -> None:
        process.loop.create_task(self._read_back(process))

    async def _read_back(self, process: Process) -> None:
        required = set(self.world.judge.required)
        try:
            value = await process.node.read()
        except NoQuorum:
            return
        finally:
            self._reading.discard(process)
        if process.alive:
            self.world.judge.read(value, required)
            self.read_back.add(process)

    def _recovered(self) -> bool:
        return (
            self.read_back.issuperset(self.world.processes())
            and self._acknowledged_more()
            and self.world.settled()
            and tolerates_losses(self.world, self.size.tolerance)
            and all(self._is_up_to_date(process) for process in self.world.processes())
        )

    def _is_up_to_date(self, process: Process) -> bool:
        """Return whether the process lately confirmed its configuration, and knows the leader."""
        known, view, leader = process.node.known(), process.node.leader, self.world.leader()
        confirmed = known is not None and self.world.now_ms - known[1] <= CONFIRMED_WITHIN_MS
        return confirmed and view is not None and leader is not None and view.address == leader.address

    def missing(self) -> str:
        """Return what has not recovered."""
        world = self.world
        unread = [process.machine.name for process in world.processes() if process not in self.read_back]
        old = [process.machine.name for process in world.processes() if not self._is_up_to_date(process)]
        leader = world.leader()
        return (
            f"lost {[machine.name for machine in self.lost]}, leader {leader and leader.machine.name}, "
            f"settled {world.settled()}, acknowledged more {self._acknowledged_more()}, "
            f"not read back at {unread}, not up to date {old}"
        )


KINDS = [(lost, moment, order) for lost in Lost for moment in Moment for order in Return]


class LostDisks(unittest.TestCase):
    """Disks are lost while all other machines lose power."""

    def _play(
        self, seed: int, size: Size, kind: tuple[Lost, Moment, Return], *, diskless_seeds: bool = False
    ) -> None:
        with self.subTest(seed=seed, size=size, kind=[each.value for each in kind]):
            loss = Loss(seed, size, diskless_seeds=diskless_seeds)
            loss.strike(*kind)
            self.assertTrue(loss.recover(), loss.missing())
            self._assert_stored(loss.world)

    def _assert_stored(self, world: World) -> None:
        """Check that the leader holds the newest value of every write that was acknowledged."""
        leader = world.leader()
        assert leader is not None and leader.leadership is not None
        for key, value in world.judge.acked.items():
            self.assertGreaterEqual(int(leadership_item(leader, key)), int(value), key)

    # Guards against a core that loses what it acknowledged, or never works again, after the promised losses.
    def test_nothing_acknowledged_is_lost_with_as_many_disks_as_tolerated(self) -> None:
        for seed, kind in enumerate(KINDS):
            self._play(seed, SIZES[seed % len(SIZES)], kind)

    # Guards against schedulers that don't find the core again because two of three seeds have empty disks.
    def test_many_machines_without_a_disk_find_the_core_again(self) -> None:
        self._play(1_000, LARGE_SITE, (Lost.SEEDS, Moment.ACKNOWLEDGED, Return.LOST_FIRST))
        self._play(1_001, LARGE_SITE, (Lost.LEADER, Moment.ACKNOWLEDGED, Return.MIXED))

    # Guards against processes that fetch a large configuration anew and read it back too late, under changes.
    def test_a_large_configuration_is_read_back_over_slow_links(self) -> None:
        loss = Loss(3_001, LARGE_SITE)
        loss.install_large_value()
        loss.strike(Lost.LEADER, Moment.IN_PROGRESS, Return.LOST_FIRST)
        self.assertTrue(loss.recover(), loss.missing())

    # Guards against replicas with empty disks that can't find the core where the seeds keep nothing.
    def test_the_core_recovers_if_its_seeds_have_no_disks(self) -> None:
        for offset, order in enumerate(Return):
            self._play(
                2_000 + offset, SIZES[3], (Lost.DRAWN, Moment.ACKNOWLEDGED, order), diskless_seeds=True
            )


class PlantedFaults(unittest.TestCase):
    """Planted faults: without each safeguard, the loss of the disks takes acknowledged data with it."""

    # Guards against a test that would pass though replicas vote without the state that their disks held.
    def test_votes_of_replicas_with_empty_disks_are_detected(self) -> None:
        self._assert_detected("vote-after-wipe", SIZES[2], Return.LOST_FIRST, range(6, 12))

    # Guards against a test that would pass though replicas acknowledge what their disks don't hold yet.
    def test_data_acknowledged_before_it_is_durable_is_detected(self) -> None:
        self._assert_detected("acknowledge-before-sync", SIZES[3], Return.MIXED, range(4))

    def _assert_detected(self, fault: str, size: Size, order: Return, seeds: range) -> None:
        with planted(fault), self.assertRaises(Violation):
            for seed in seeds:
                loss = Loss(seed, size)
                loss.strike(Lost.LEADER, Moment.ACKNOWLEDGED, order)
                loss.recover()


def leadership_item(leader: Process, key: bytes) -> bytes:
    """Return the leader's value of this key, or -1."""
    assert leader.leadership is not None
    return leader.leadership.items.get(key, b"-1")


def run_seeds(first: int, last: int) -> None:
    """Play a range of seeds of all sizes and kinds; raises at the first loss that is not recovered from."""
    times_ms = []
    for seed in range(first, last):
        rng = random.Random(f"kind {seed}")
        size, kind = rng.choice((*SIZES, LARGE_SITE)), rng.choice(KINDS)
        try:
            loss = Loss(seed, size, diskless_seeds=rng.random() < DISKLESS_SEEDS_SHARE)
            loss.strike(*kind)
            if not loss.recover():
                raise Violation(loss.missing())
        except Exception as error:
            raise Violation(f"seed {seed}, {size}, {[each.value for each in kind]}") from error
        times_ms.append(loss.world.now_ms - loss.lost_ms)
    print(f"{len(times_ms)} recovered, in {statistics.median(times_ms):.0f} ms, {max(times_ms)} ms at most")


if __name__ == "__main__":
    run_seeds(int(sys.argv[1]), int(sys.argv[2]))
