"""Whole nodes in virtual time: start, restart, takeover, wiped disks, hand-over."""

from __future__ import annotations

import unittest
from functools import partial

from .coordination_world import Process, World


def founded(seed: int = 1, replicas: int = 3, tolerance: int = 1, diskless: bool = False) -> World:
    """A world after its first start."""
    world = World(seed, replicas, tolerance=tolerance, diskless=diskless)
    world.start_all()
    assert world.run_for(6_000, world.settled), "no leader"
    return world


def has_leader(world: World) -> bool:
    """Whether a lease holds."""
    return world.leader() is not None


def leading(world: World) -> Process:
    """The leader."""
    process = world.leader()
    assert process is not None
    return process


class Foundation(unittest.TestCase):
    def test_a_leader_stands_two_seconds_after_the_first_start(self) -> None:
        for seed in range(10):
            world = World(seed)
            world.start_all()
            self.assertTrue(world.run_for(2_200, world.settled), f"seed {seed}: {world.now_ms}")
            self.assertEqual(len(world.judge.sets), 1)

    def test_the_larger_core_is_founded_whole(self) -> None:
        world = founded(3, 8, tolerance=2)
        self.assertEqual(len(world.judge.sets[1].members), 8)


class Faults(unittest.TestCase):
    def test_the_next_replica_leads_when_the_leader_is_gone(self) -> None:
        for seed in range(10):
            world = founded(seed)
            world.run_for(1_000)
            world.kill(leading(world).machine, None)
            self.assertTrue(world.run_for(1_900, partial(has_leader, world)))

    def test_a_restarted_leader_leads_again_at_once(self) -> None:
        world = founded()
        world.run_for(1_000)
        world.kill(leading(world).machine, 100)
        self.assertTrue(world.run_for(300, partial(has_leader, world)))

    def test_all_killed_at_once_have_a_leader_soon(self) -> None:
        for seed in range(10):
            world = founded(seed)
            world.write()
            world.run_for(1_000)
            for machine in world.machines:
                world.kill(machine, world.rng.randint(300, 700))
            self.assertTrue(world.run_for(2_200, partial(has_leader, world)))

    def test_resigning_hands_over_within_100_ms(self) -> None:
        world = founded()
        world.run_for(500)
        process = leading(world)
        process.loop.create_task(process.node.resign())
        self.assertTrue(world.run_for(120, lambda: world.leader() not in (None, process)))

    def test_a_wiped_replica_is_a_member_again_within_a_second(self) -> None:
        for seed in range(10):
            world = founded(seed)
            world.write()
            world.run_for(1_000)
            victim = next(
                machine
                for machine in world.machines
                if machine.counts and machine is not leading(world).machine
            )
            world.wipe(victim)
            world.run_for(400)
            self.assertTrue(world.run_for(1_000, world.settled))
            self.assertEqual(max(world.judge.sets), 2)

    def test_a_wiped_leader_is_succeeded_and_a_member_again(self) -> None:
        for seed in range(10):
            world = founded(seed)
            world.write()
            world.run_for(1_000)
            world.wipe(leading(world).machine)
            world.run_for(400)
            self.assertTrue(world.run_for(1_500, world.settled))

    def test_a_machine_with_a_new_name_replaces_one_that_is_gone(self) -> None:
        world = founded()
        victim = next(
            machine for machine in world.machines if machine.counts and machine is not leading(world).machine
        )
        world.kill(victim, None, power=True)
        victim.present = False
        newcomer = type(victim)(17, True, False)
        newcomer.first_start = False
        world.machines.append(newcomer)
        world.start(newcomer)
        self.assertTrue(world.run_for(3_000, world.settled))

    def test_a_frozen_leader_finds_its_lease_over(self) -> None:
        world = founded()
        process = leading(world)
        world.freeze(process.machine, 5_000)
        world.run_for(3_000)
        self.assertIsNot(world.leader(), process)
        self.assertIsNotNone(world.leader())
        world.run_for(4_000)
        self.assertTrue(world.settled())
