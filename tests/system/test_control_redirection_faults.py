"""Reads that are redirected to a replica that can't answer them, and stale reads that nobody judges."""

from __future__ import annotations

import random
import unittest

from flintfield.control.redirection import ReadRedirector
from flintfield.coordination.model import NoQuorum
from flintfield.simulation.judge import check
from flintfield.simulation.plans import Bounds
from flintfield.simulation.record import Document, OrderSeen, ReadSeen, Record
from flintfield.simulation.scenario import draw
from flintfield.simulation.themes import Theme

from .coordination_world import Machine, World

CONTROL_PORT = 8_100
PATH = "/-/Config.Read"
SLOW_MBPS = 2.0
READING_MS = 100  # a quorum round takes some 20 ms
SETTLE_MS = 10_000
READ_MS = 5_000
REDIRECTS = 200


class RedirectedReads(unittest.TestCase):
    """A process without a replica, beside a core of five."""

    def setUp(self) -> None:
        self.world = World(7, 5, 1, tolerance=2)
        self.world.start_all()
        self.assertTrue(self.world.run_for(SETTLE_MS, self.world.settled))
        self.world.run_for(SETTLE_MS)
        self.replicas, self.client = self.world.machines[:5], self.world.machines[5]

    def read(self, machine: Machine) -> bool:
        """Whether a read at the machine comes to an answer."""
        process = machine.process
        assert process is not None
        ends: list[bool] = []

        async def read() -> None:
            try:
                await process.node.read()
                ends.append(True)
            except NoQuorum:
                ends.append(False)

        process.loop.call_soon(lambda: process.loop.create_task(read()))
        self.world.run_for(READ_MS, lambda: bool(ends))
        return ends == [True]

    def named(self) -> set[str]:
        """The replicas that redirects name, right after a read."""
        assert self.client.process is not None
        redirector = ReadRedirector(self.client.process.node, SLOW_MBPS, CONTROL_PORT, random.Random(1))
        urls = {redirector.location(PATH, READING_MS) for _ in range(REDIRECTS)}
        return {
            machine.name
            for machine in self.replicas
            if f"http://{machine.address.partition(':')[0]}:{CONTROL_PORT}{PATH}" in urls
        }

    # Guards against a redirect to a replica that is down, although others have answered this very read.
    def test_a_replica_that_has_just_lost_power_is_not_named(self) -> None:
        self.world.kill(self.replicas[0], restart_ms=None, power=True)
        self.world.run_for(400)
        self.assertTrue(self.read(self.client))
        self.assertNotIn("m0", self.named())

    # Guards against redirects to replicas that are cut off from the majority and so can't read.
    def test_a_replica_in_the_lesser_half_of_a_split_core_is_not_named(self) -> None:
        self.world.cut(self.replicas[:3], self.replicas[3:])
        self.world.run_for(4_000)
        self.assertTrue(self.read(self.client))
        named = self.named()
        unable = {machine.name for machine in self.replicas if not self.read(machine)}
        self.assertEqual(named & unable, set())


class StaleReads(unittest.TestCase):
    """What the judge of the simulator says of reads before the end."""

    # Guards against a simulator that passes over an old version that is read after a newer one.
    def test_a_read_older_than_what_was_acknowledged_long_before_breaks_the_rule(self) -> None:
        record = Record(end_ms=30_000)
        for number, at_ms in ((2, 1_000), (3, 2_000)):
            document: Document = {"version": number, "routes": [], "services": []}
            tries: list[tuple[float, float, int]] = [(at_ms, at_ms + 10, 200)]
            name = f"order {number}"
            record.orders.append(OrderSeen(name, number, number - 1, True, document, at_ms, tries))
        record.last_read = record.orders[-1].document
        record.reads.append(ReadSeen("s0", 20_000, 20_010, 2))
        broken = check(record, Bounds(), draw(1, Theme.CALM))
        self.assertTrue([line for line in broken if line.startswith("CONFIG")], broken)
