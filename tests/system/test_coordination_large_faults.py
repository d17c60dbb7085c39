"""A large configuration under faults: six replicas, and 34 processes without one at 250 kB/s each.

Eight orders at once come each second. Machines are killed, frozen, cut off and slowed, disks are wiped, and
in the end all lose power. `CounterJudge` checks throughout that nothing acknowledged is lost, read back older
or confirmed too late, and that no process goes back.
"""

from __future__ import annotations

import random

import pytest

from .coordination_history import History, parse_number
from .coordination_storm import RandomFaults
from .coordination_world import Process, Violation

REPLICAS, CLIENTS = 6, 34
BYTES_PER_MS = 250.0  # 2 Mbit/s
PADDING = b" " + random.Random(1).randbytes(30_000).hex().encode()  # as long as 3,200 routes when packed
ORDERS_AT_ONCE = 8
ORDER_INTERVAL_MS = 1_000
READERS = 12  # after each acknowledgement
FAULTS_MS = 12_000
APPLY_MS = 3_000


class LargeHistory(History):
    """A settled cluster whose register holds a large value."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, REPLICAS, CLIENTS, losses=2, padding=PADDING)
        for machine in self.world.machines[REPLICAS:]:
            self.world.network.links.limit(machine.address, BYTES_PER_MS)
        self.start_orders()
        assert self.world.run_for(15_000, lambda: all(map(knows_a_value, self.world.processes())))

    def start_orders(self) -> None:
        """Start eight changes at replicas, which is where orders are carried out."""
        replicas = [
            process for process in self.world.processes() if process.machine.counts and process.runs()
        ]
        for _ in range(ORDERS_AT_ONCE if replicas else 0):
            self.start_change_at(self.world.rng.choice(replicas))


class FaultsAtSize(RandomFaults):
    """Random faults beside eight orders a second; some processes read soon after each acknowledgement."""

    def __init__(self, history: LargeHistory) -> None:
        super().__init__(history.world)
        self._history = history
        self._next_orders_ms = 0
        self._acknowledged = 0

    def _start_client_work(self) -> None:
        world = self.world
        world.write()
        if self._acknowledged < self._history.acknowledged:
            self._acknowledged = self._history.acknowledged
            self._read()
        if world.now_ms >= self._next_orders_ms:
            self._next_orders_ms = world.now_ms + ORDER_INTERVAL_MS
            self._history.start_orders()

    def _read(self) -> None:
        processes = self.world.processes()
        for process in self.rng.sample(processes, min(len(processes), READERS)):
            self.world.read(process)


def knows_a_value(process: Process) -> bool:
    """Whether a value of the register has come to this process."""
    return bool(process.values)


def newest_known(process: Process) -> int:
    """The number that this process knows."""
    known = process.node.known()
    return parse_number(known[0]) if known is not None else 0


def assert_in_force_in_time(history: LargeHistory) -> None:
    """Eight orders are acknowledged, and all processes have them soon after."""
    world = history.world
    expected = history.acknowledged + ORDERS_AT_ONCE
    history.start_orders()
    assert world.run_for(APPLY_MS, lambda: history.acknowledged >= expected), "an order was not acknowledged"
    newest = max(map(int, history.judge.acknowledged))
    world.run_for(APPLY_MS)
    late = [process.machine.name for process in world.processes() if newest_known(process) < newest]
    assert not late, f"{newest} is not in force at {late}"


# An acknowledged configuration was lost, read back older, or not in force in time after faults at full size.
@pytest.mark.parametrize("seed", range(2))
def test_a_large_configuration_survives_faults_and_a_loss_of_power(seed: int) -> None:
    history = LargeHistory(seed)
    faults = FaultsAtSize(history)
    try:
        faults.inject(FAULTS_MS)
        faults.power_off_all()
        faults.recover_and_check()
        assert_in_force_in_time(history)
    except Violation as violation:
        when = f"seed {seed}, {history.world.now_ms} ms, {faults.log[-12:]}"
        raise Violation(f"{when}: {violation}") from violation
