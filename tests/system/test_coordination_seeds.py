"""A process that starts without stored state finds the core set, whichever machines are its seeds.

A scheduler without a disk loses its knowledge of the core set when its process ends. The processes that know
the core set, on disk or in memory, are not always among the seeds that a new process can query.
"""

from __future__ import annotations

import unittest

from .coordination_world import Machine, World

FOUND_WITHIN_MS = 3_000  # after the last restart
FOUNDED_WITHIN_MS = 20_000  # well above `FOUNDATION_PATIENCE_MS`, the time limit of the second founder


def world_with_other_seeds(seed: int, clients: int = 4) -> tuple[World, list[Machine]]:
    """Return a settled simulation whose seeds are now three machines without a disk, and these machines."""
    world = World(seed, clients=clients)
    world.start_all()
    assert world.run_for(6_000, world.settled), "no settled core with a leader after the first start"
    diskless = [machine for machine in world.machines if not machine.counts][:3]
    world.change_seeds(diskless)
    world.run_for(3_000)
    return world, diskless


def all_know_leader(world: World) -> bool:
    """Return whether every process knows the core set and the current leader."""
    leader = world.leader()
    if leader is None or leader.leadership is None:
        return False
    views = [process.node.leader for process in world.processes()]
    known = [view for view in views if view is not None and view.epoch == leader.leadership.epoch]
    return len(known) == len(world.machines) and all(process.node.core for process in world.processes())


class DisklessSeeds(unittest.TestCase):
    def test_the_core_is_found_after_a_power_loss_if_the_replicas_return_first(self) -> None:
        for seed in range(10):
            world, _ = world_with_other_seeds(seed)
            for machine in world.machines:
                back_ms = world.rng.randint(300, 400) if machine.counts else world.rng.randint(600, 1_300)
                world.kill(machine, back_ms, power=True)
            world.run_for(1_300)
            found = world.run_for(FOUND_WITHIN_MS, lambda world=world: all_know_leader(world))  # type: ignore[misc]
            self.assertTrue(found, f"seed {seed}: {world.leader_views()}")

    def test_the_core_is_found_after_only_the_seeds_restart(self) -> None:
        for seed in range(10):
            world, seeds = world_with_other_seeds(seed)
            world.run_for(20_000)  # long enough that processes forget addresses that they no longer hear of
            for machine in seeds:
                world.kill(machine, world.rng.randint(300, 600))
            world.run_for(600)
            found = world.run_for(FOUND_WITHIN_MS, lambda world=world: all_know_leader(world))  # type: ignore[misc]
            self.assertTrue(found, f"seed {seed}: {world.leader_views()}")

    def test_a_chain_of_seeds_leads_to_the_core(self) -> None:
        """The seed of a new machine isn't a seed of any process that knows the core set."""
        world = World(1, clients=3)
        world.start_all()
        self.assertTrue(world.run_for(6_000, world.settled))
        first, middle, last = world.machines[3:]
        world.change_seeds([middle])
        for machine in (first, middle, last):
            world.kill(machine)
        world.run_for(100)
        world.seeds = (first.address,)  # for processes started from now on; the replicas keep the middle one
        self.assertTrue(world.run_for(FOUND_WITHIN_MS, lambda: all_know_leader(world)), world.leader_views())

    def test_introductions_do_not_make_members_candidates(self) -> None:
        world, _ = world_with_other_seeds(2)
        world.change_seeds([machine for machine in world.machines if machine.counts])
        world.run_for(10_000)
        self.assertEqual({1}, set(world.judge.core_sets))


class FoundationByDisklessSeeds(unittest.TestCase):
    def test_the_first_start_tolerates_a_restart_of_its_seeds(self) -> None:
        """The seeds collect the members of the first core set, and restart before any replica adopts it."""
        world = World(1, clients=4)
        diskless = [machine for machine in world.machines if not machine.counts]
        world.change_seeds(diskless[:3])
        world.start_all()
        world.run_for(900)
        for machine in diskless:
            world.kill(machine)
        self.assertTrue(world.run_for(FOUNDED_WITHIN_MS, world.settled))


if __name__ == "__main__":
    unittest.main()
