"""Complete nodes in virtual time: start, restart, failover, wiped disks, leadership handover."""

from __future__ import annotations

import unittest
from functools import partial

from .coordination_world import Process, World


def founded_world(seed: int = 1, replicas: int = 3, tolerance: int = 1, diskless: bool = False) -> World:
    """Return a simulation whose first core set is operational."""
    world = World(seed, replicas, tolerance=tolerance, diskless=diskless)
    world.start_all()
    assert world.run_for(6_000, world.settled), "no settled core with a leader after the first start"
    return world


def has_leader(world: World) -> bool:
    """Return whether a process holds a confirmed lease."""
    return world.leader() is not None


def current_leader(world: World) -> Process:
    """Return the leader, which must exist."""
    process = world.leader()
    assert process is not None
    return process


class Foundation(unittest.TestCase):
    def test_a_leader_is_elected_within_2_200_ms_of_the_first_start(self) -> None:
        for seed in range(10):
            world = World(seed)
            world.start_all()
            self.assertTrue(world.run_for(2_200, world.settled), f"seed {seed}: {world.now_ms}")
            self.assertEqual(len(world.judge.core_sets), 1)

    def test_the_first_core_set_of_eight_replicas_contains_all(self) -> None:
        world = founded_world(3, 8, tolerance=2)
        self.assertEqual(len(world.judge.core_sets[1].members), 8)


class Faults(unittest.TestCase):
    def test_another_replica_is_elected_when_the_leader_is_lost(self) -> None:
        for seed in range(10):
            world = founded_world(seed)
            world.run_for(1_000)
            world.kill(current_leader(world).machine, None)
            self.assertTrue(world.run_for(1_900, partial(has_leader, world)))

    def test_a_leader_is_confirmed_soon_after_the_leader_restarts(self) -> None:
        world = founded_world()
        world.run_for(1_000)
        world.kill(current_leader(world).machine, 100)
        self.assertTrue(world.run_for(300, partial(has_leader, world)))

    def test_a_leader_is_elected_after_all_processes_are_killed_at_once(self) -> None:
        for seed in range(10):
            world = founded_world(seed)
            world.write()
            world.run_for(1_000)
            for machine in world.machines:
                world.kill(machine, world.rng.randint(300, 700))
            self.assertTrue(world.run_for(2_200, partial(has_leader, world)))

    def test_resigning_hands_over_leadership_within_120_ms(self) -> None:
        world = founded_world()
        world.run_for(500)
        process = current_leader(world)
        process.loop.create_task(process.node.resign())
        self.assertTrue(world.run_for(120, lambda: world.leader() not in (None, process)))

    def test_a_wiped_replica_is_a_member_again_within_a_second(self) -> None:
        for seed in range(10):
            world = founded_world(seed)
            world.write()
            world.run_for(1_000)
            victim = next(
                machine
                for machine in world.machines
                if machine.counts and machine is not current_leader(world).machine
            )
            world.wipe(victim)
            world.run_for(400)
            self.assertTrue(world.run_for(1_000, world.settled))
            self.assertEqual(max(world.judge.core_sets), 2)

    def test_a_wiped_leader_is_replaced_and_becomes_a_member_again(self) -> None:
        for seed in range(10):
            world = founded_world(seed)
            world.write()
            world.run_for(1_000)
            world.wipe(current_leader(world).machine)
            world.run_for(400)
            self.assertTrue(world.run_for(1_500, world.settled))

    def test_a_machine_with_a_new_name_replaces_a_lost_one(self) -> None:
        world = founded_world()
        victim = next(
            machine
            for machine in world.machines
            if machine.counts and machine is not current_leader(world).machine
        )
        world.kill(victim, None, power=True)
        victim.present = False
        newcomer = type(victim)(17, True, False)
        newcomer.first_start = False
        world.machines.append(newcomer)
        world.start(newcomer)
        self.assertTrue(world.run_for(3_000, world.settled))

    def test_a_frozen_leader_loses_its_lease(self) -> None:
        world = founded_world()
        process = current_leader(world)
        world.freeze(process.machine, 5_000)
        world.run_for(3_000)
        self.assertIsNot(world.leader(), process)
        self.assertIsNotNone(world.leader())
        world.run_for(4_000)
        self.assertTrue(world.settled())
