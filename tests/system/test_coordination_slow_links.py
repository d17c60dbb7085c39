"""A large configuration over slow links: six replicas, and 34 processes without one at 250 kB/s each.

An incompressible value of 400 kB takes 1.6 s over such a link. Concurrent changes and reads at any process
must all succeed, and the bytes that each of them transfers must not grow with the value.
"""

from __future__ import annotations

import random

import pytest

from .coordination_world import Process, World

REPLICAS, CLIENTS = 6, 34
BYTES_PER_MS = 250.0  # 2 Mbit/s
VALUE_BYTES = 400_000
CHANGES = 12
CHANGE_INTERVAL_MS = 700
MAX_ACKNOWLEDGEMENT_MS = 2_000
APPLY_PERIOD_MS = 3_000
MAX_BYTES_PER_CHANGE = 20_000  # on any slow link
MAX_BYTES_PER_READ = 2_000  # by a process that is up to date


def world_with_slow_links(seed: int) -> World:
    """Return a settled simulation in which every process knows a large value of the register."""
    world = World(seed, REPLICAS, CLIENTS, tolerance=2)
    for machine in world.machines[REPLICAS:]:
        world.network.links.limit(machine.address, BYTES_PER_MS)
    world.start_all()
    assert world.run_for(10_000, world.settled)
    large = random.Random(seed).randbytes(VALUE_BYTES // 2).hex()
    world.append(world.processes()[0], large)
    assert world.run_for(15_000, lambda: all(process.values for process in world.processes()))
    world.run_for(2_000)
    return world


def slow_processes(world: World) -> list[Process]:
    """Return the processes without a replica, which have the slow links."""
    return world.processes()[REPLICAS:]


def received(world: World) -> dict[str, int]:
    """Return the bytes received so far over each slow link."""
    return {process.address: world.network.bytes_to[process.address] for process in slow_processes(world)}


@pytest.mark.parametrize("seed", range(2))
def test_concurrent_changes_and_reads_at_any_process_succeed(seed: int) -> None:
    world = world_with_slow_links(seed)
    sent_ms = []
    for _ in range(CHANGES):
        world.change(world.rng.choice(slow_processes(world)))
        sent_ms.append(world.now_ms)
        for _ in range(3):
            world.read(world.rng.choice(slow_processes(world)))
        world.run_for(CHANGE_INTERVAL_MS)
    world.run_for(APPLY_PERIOD_MS)
    times_ms = world.judge.acknowledged_ms[-CHANGES:]
    assert len(world.judge.acknowledged_ms) == CHANGES + 1, "a change was not acknowledged"
    assert max(done - sent for done, sent in zip(times_ms, sent_ms, strict=True)) <= MAX_ACKNOWLEDGEMENT_MS
    newest = max((process.values[-1] for process in world.processes()), key=len)
    assert all(process.values[-1] == newest for process in world.processes())


def test_a_change_and_a_read_transfer_few_bytes_over_a_slow_link() -> None:
    world = world_with_slow_links(3)
    world.run_for(1_000)
    quiet = received(world)
    world.run_for(2_000)
    idle = {address: count - quiet[address] for address, count in received(world).items()}
    reader = slow_processes(world)[0]
    before = received(world)[reader.address]
    world.read(reader)
    world.run_for(2_000)
    assert received(world)[reader.address] - before - idle[reader.address] <= MAX_BYTES_PER_READ
    start = received(world)
    for _ in range(CHANGES):
        world.change(world.rng.choice(slow_processes(world)))
        world.run_for(CHANGE_INTERVAL_MS)
    for address, count in received(world).items():
        polls = idle[address] * CHANGES * CHANGE_INTERVAL_MS / 2_000
        assert count - start[address] - polls <= CHANGES * MAX_BYTES_PER_CHANGE
