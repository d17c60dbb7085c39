"""Replicas without disks whose own links are slow: five at 250 kB/s each, one of which starts anew.

A replica that joins is told the register's value by each replica that it asks, and so are all other members
of the new core set. 60 kB are the packed form of some 3,200 routes; a majority's answers must pass one link.
"""

from __future__ import annotations

import random

from .coordination_world import World

REPLICAS = 5
BYTES_PER_MS = 250.0  # 2 Mbit/s
PIECES = 4  # in which the value grows, so that each change is short
SHORT_PIECE_BYTES = 1_000
LONG_PIECE_BYTES = 15_000
SETTLE_MS = 10_000
JOIN_MS = 15_000  # `recoveryS` of the largest deployments


def world_with_value(seed: int, piece_bytes: int) -> World:
    """Return a settled simulation in which every replica knows a value of `PIECES` pieces."""
    world = World(seed, REPLICAS, 0, tolerance=2, diskless=True)
    for machine in world.machines:
        world.network.links.limit(machine.address, BYTES_PER_MS)
    world.start_all()
    assert world.run_for(SETTLE_MS, world.settled)
    pieces = random.Random(seed)
    for number in range(1, PIECES + 1):
        world.append(world.processes()[0], pieces.randbytes(piece_bytes // 2).hex())
        assert world.run_for(SETTLE_MS, lambda: len(world.judge.acknowledged) == number)  # noqa: B023
        world.run_for(1_000)
    assert world.settled()
    return world


def restart_a_follower(world: World) -> bool:
    """Kill a replica that doesn't lead, with its memory; returns whether it joins again in time."""
    leader = world.leader()
    machine = next(machine for machine in world.machines if machine.process is not leader)
    world.kill(machine)
    world.run_for(1_000)
    return world.run_for(JOIN_MS, world.settled)


# Guards against a restart that nobody recovers from, where the value is short.
def test_a_replica_with_a_slow_link_joins_again_where_the_value_is_short() -> None:
    assert restart_a_follower(world_with_value(1, SHORT_PIECE_BYTES))


# Guards against a core that never serves again after a restart, as states take longer than the call for them.
def test_a_replica_with_a_slow_link_joins_again_where_the_value_is_that_of_3200_routes() -> None:
    assert restart_a_follower(world_with_value(1, LONG_PIECE_BYTES))
