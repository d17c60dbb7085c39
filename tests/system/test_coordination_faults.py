"""Random faults over whole nodes: a few seeds in every run, many by `python -m
tests.system.test_coordination_faults`.

The world delays, loses, doubles, reorders and cuts messages, kills, freezes and wipes, slows and breaks
disks, steps clocks; the judge is in `coordination_world`.
"""

from __future__ import annotations

import sys
import unittest

from .coordination_storm import play


class Storms(unittest.TestCase):
    def test_three_replicas(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                storm = play(seed, 12_000)
                self.assertGreater(len(storm.world.judge.acked), 50)

    def test_four_replicas(self) -> None:
        play(1_004, 12_000, replicas=4)

    def test_five_replicas_that_bear_two_losses(self) -> None:
        play(2_005, 12_000, replicas=5, tolerance=2)


def hunt(first: int, last: int) -> None:
    """Play seeds with 3 to 5 replicas; raises at the first violation."""
    for seed in range(first, last):
        replicas = 3 + seed % 3
        play(seed, replicas=replicas, tolerance=2 if replicas == 5 else 1)


if __name__ == "__main__":
    hunt(int(sys.argv[1]), int(sys.argv[2]))
