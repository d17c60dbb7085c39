"""Transfers over links with a bandwidth in the simulator's network."""

from __future__ import annotations

import random
import unittest

from flintfield.simulation.network import Transfer
from flintfield.simulation.world import World


class SlowLink(unittest.TestCase):
    """Transfers over a link of 100 bytes a millisecond; one segment of a transfer takes 164 ms."""

    def setUp(self) -> None:
        self.world = World(random.Random(1))
        self.network = self.world.network
        self.network.links.limit("slow", 100.0)
        self.is_awaited = True
        self.arrived_ms: dict[str, float] = {}

    def _transfer(self, source: str, size: int) -> None:
        transfer = Transfer(source, "operator", size, lambda: self.is_awaited)
        self.network.transfer(transfer, 2.0, lambda: self._arrive(f"{source} {size}"))

    def _arrive(self, name: str) -> None:
        self.arrived_ms[name] = self.world.now_ms

    # Guards against answers that cost nothing, so that slow links are never the reason of a broken rule.
    def test_a_transfer_takes_its_size_over_the_bandwidth(self) -> None:
        self._transfer("slow", 100_000)
        self._transfer("fast", 100_000)
        self.world.run_until(5_000)
        self.assertEqual(2.0, self.arrived_ms["fast 100000"])
        self.assertAlmostEqual(1_002.0, self.arrived_ms["slow 100000"], delta=0.01)

    # Guards against a link that a long answer blocks for everything else, as no TCP connection does.
    def test_a_short_transfer_passes_between_the_segments_of_a_long_one(self) -> None:
        self._transfer("slow", 100_000)
        self._transfer("slow", 1_000)
        self.world.run_until(5_000)
        self.assertLess(self.arrived_ms["slow 1000"], 180.0)
        self.assertAlmostEqual(1_012.0, self.arrived_ms["slow 100000"], delta=0.01)

    # Guards against bytes that fill a link although their caller has closed the connection.
    def test_a_transfer_that_nobody_awaits_frees_the_link(self) -> None:
        self._transfer("slow", 100_000)
        self.world.run_until(300)
        self.is_awaited = False
        self.world.run_until(400)
        self._transfer("slow", 1_000)
        self.world.run_until(5_000)
        self.assertEqual(["slow 1000"], list(self.arrived_ms))
        self.assertLess(self.arrived_ms["slow 1000"], 420.0)


if __name__ == "__main__":
    unittest.main()
