"""Random faults with whole nodes: a few seeds in each test run, more by `python -m
tests.system.test_coordination_faults FIRST LAST`.

The simulated cluster delays, loses, duplicates and reorders messages, cuts links, kills and freezes
processes, wipes, slows and breaks disks, and steps clocks. The judge is in `coordination_world`.
"""

from __future__ import annotations

import sys
import unittest

from .coordination_storm import run_scenario


class RandomFaultScenarios(unittest.TestCase):
    def test_three_replicas(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                random_faults = run_scenario(seed, 12_000)
                self.assertGreater(len(random_faults.world.judge.acked), 50)

    def test_four_replicas(self) -> None:
        run_scenario(1_004, 12_000, replicas=4)

    def test_five_replicas_that_tolerate_two_losses(self) -> None:
        run_scenario(2_005, 12_000, replicas=5, tolerance=2)


def run_seeds(first: int, last: int) -> None:
    """Run a range of seeds with 3 to 5 replicas. Raises at the first violation."""
    for seed in range(first, last):
        replicas = 3 + seed % 3
        run_scenario(seed, replicas=replicas, tolerance=2 if replicas == 5 else 1)


if __name__ == "__main__":
    run_seeds(int(sys.argv[1]), int(sys.argv[2]))
