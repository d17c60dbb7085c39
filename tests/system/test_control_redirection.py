"""Reads that are too long for a process's own link: where they are redirected to, and when they are not."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Sequence
from dataclasses import replace

from flintfield.control.operator import OperatorService
from flintfield.control.redirection import MAX_TRANSMISSION_S, RESPONSIVE_MS, ReadRedirector
from flintfield.control.server import ControlServer
from flintfield.control.stored import encode_stored
from flintfield.coordination.model import Member
from flintfield.programs.scheduler import Scheduler
from flintfield.runtime.settings import Limits, Listen, NodeSettings

from .coordination_world import World
from .test_control_forwarding import played
from .test_control_server import PATIENCE_S, Register

CONTROL_PORT = 8_100
SLOW_MBPS = 2.0
SLOW_BYTES_PER_S = 250_000
PATH = "/-/Config.Read"
CALLER_PATIENCE_S = 1.0  # of an operator, for an answer to a call without a body
REPLICAS = tuple(Member(f"m{at}", f"10.0.{at}.1:7000", "zone", at + 1) for at in range(3))
SETTLE_MS = 10_000


class Responsive:
    """The replicas that have answered lately."""

    def __init__(self, members: Sequence[Member] = REPLICAS, value: bytes | None = None) -> None:
        self.members = members
        self.value = value
        self.asked_ms: list[int] = []

    def responsive_replicas(self, within_ms: int) -> Sequence[Member]:
        """As the test says, whatever the time; `asked_ms` are the times that were asked for."""
        self.asked_ms.append(within_ms)
        return self.members

    def known(self) -> tuple[bytes | None, int] | None:
        """The value known by polls."""
        return self.value, 0


def redirector(
    link_mbps: float = SLOW_MBPS, members: Sequence[Member] = REPLICAS, known: bytes | None = None
) -> ReadRedirector:
    """A redirector with a link of this bandwidth, at a process that knows this value."""
    return ReadRedirector(Responsive(members, known), link_mbps, CONTROL_PORT, random.Random(1))


def value_of(length: int) -> bytes:
    """A value of the register whose document is about so long."""
    return encode_stored(2, b'{"version":2,"x":"' + b"x" * length + b'"}', (), ())


class Locations(unittest.TestCase):
    """When a read is redirected, and where to."""

    # Guards against answers that take longer over a slow link than the caller waits, and needless detours.
    def test_an_answer_is_too_long_by_the_bandwidth_of_the_own_link(self) -> None:
        longest = int(SLOW_BYTES_PER_S * MAX_TRANSMISSION_S)
        self.assertFalse(redirector().is_too_long(longest))
        self.assertTrue(redirector().is_too_long(longest + 1))
        self.assertFalse(redirector(200.0).is_too_long(4_000_000))

    # Guards against all redirects meeting one replica, and against a port that isn't the operator's.
    def test_any_responsive_replica_is_named_with_the_control_port(self) -> None:
        redirect = redirector()
        wanted = {f"http://10.0.{at}.1:{CONTROL_PORT}{PATH}" for at in range(3)}
        self.assertEqual({redirect.location(PATH, 10) for _ in range(50)}, wanted)

    # Guards against a redirect to nobody.
    def test_without_a_responsive_replica_there_is_no_location(self) -> None:
        self.assertIsNone(redirector(members=()).location(PATH, 10))

    # Guards against a replica that answered long ago, or before the read where others answered during it.
    def test_replicas_that_answered_during_the_read_come_first_then_those_of_the_last_second(self) -> None:
        view = Responsive(())
        ReadRedirector(view, SLOW_MBPS, CONTROL_PORT, random.Random(1)).location(PATH, 10)
        self.assertEqual(view.asked_ms, [10, RESPONSIVE_MS])


class Deadlines(unittest.TestCase):
    """When a read that finds no quorum is answered."""

    # Guards against an answer that comes after its caller has left, which costs the caller a whole try.
    def test_a_read_without_a_quorum_is_answered_within_the_callers_second(self) -> None:
        register = Register()
        register.silent = True
        answer, after_s = played(OperatorService(register).read())
        self.assertEqual(answer.status, 504)
        self.assertLess(after_s, CALLER_PATIENCE_S)

    # Guards against a caller whose second is spent on a quorum round that the replica makes anyway.
    def test_a_process_that_knows_a_long_document_redirects_soon_without_a_quorum(self) -> None:
        register = Register()
        register.silent = True
        service = OperatorService(register, redirector=redirector(known=value_of(SLOW_BYTES_PER_S)))
        answer, after_s = played(service.read())
        self.assertEqual(answer.status, 307)
        self.assertLess(after_s, CALLER_PATIENCE_S / 4)

    # Guards against a probe that is added to the deadline of the read, so that the answer comes too late.
    def test_a_long_read_without_a_quorum_and_replicas_is_answered_within_the_callers_second(self) -> None:
        register = Register()
        register.silent = True
        known = value_of(SLOW_BYTES_PER_S)
        service = OperatorService(register, redirector=redirector(members=(), known=known))
        answer, after_s = played(service.read())
        self.assertEqual(answer.status, 504)
        self.assertLess(after_s, CALLER_PATIENCE_S)

    # Guards against a long document that nobody answers where no replica is responsive.
    def test_without_a_responsive_replica_the_process_answers_by_itself(self) -> None:
        register = Register()
        register.value = value_of(SLOW_BYTES_PER_S)
        service = OperatorService(register, redirector=redirector(members=(), known=register.value))
        answer, _ = played(service.read())
        self.assertEqual(answer.status, 200)
        self.assertGreater(len(answer.body), SLOW_BYTES_PER_S)


class Wiring(unittest.TestCase):
    """Which schedulers redirect."""

    # Guards against a program that never redirects although its link is slow.
    def test_schedulers_without_a_replica_redirect(self) -> None:
        settings = NodeSettings(
            node_name="n",
            role="scheduler",
            ip="10.0.0.9",
            zone="z",
            port_range=(7_000, 7_010),
            listen=Listen(control=f"10.0.0.9:{CONTROL_PORT}"),
            limits=Limits(link_mbps=SLOW_MBPS),
        )
        redirect = Scheduler(settings, "")._control.service._redirector
        assert redirect is not None
        self.assertTrue(redirect.is_too_long(SLOW_BYTES_PER_S))
        self.assertEqual(redirect._control_port, CONTROL_PORT)
        replica = Scheduler(replace(settings, counts_for_quorum=True), "")
        self.assertIsNone(replica._control.service._redirector)
        unasked = Scheduler(replace(settings, listen=Listen()), "")
        self.assertIsNone(unasked._control.service._redirector)


class Polls(unittest.TestCase):
    """What a process without a replica knows of the replicas by its polls."""

    def setUp(self) -> None:
        self.world = World(7, 3, 1, tolerance=1)
        self.world.start_all()
        self.assertTrue(self.world.run_for(SETTLE_MS, self.world.settled))
        self.world.run_for(2 * RESPONSIVE_MS)
        self.client = self.world.machines[3]

    def responsive(self) -> set[str]:
        """The names of the replicas that have answered lately."""
        assert self.client.process is not None
        return {member.name for member in self.client.process.node.responsive_replicas(RESPONSIVE_MS)}

    # Guards against a redirect to a replica that is down or cut off from the process.
    def test_replicas_that_are_down_or_cut_off_are_left_out(self) -> None:
        self.assertEqual(self.responsive(), {"m0", "m1", "m2"})
        self.world.kill(self.world.machines[0], restart_ms=None, power=True)
        self.world.run_for(2 * RESPONSIVE_MS)
        self.assertEqual(self.responsive(), {"m1", "m2"})
        self.world.cut([self.client], [self.world.machines[1]])
        self.world.run_for(2 * RESPONSIVE_MS)
        self.assertEqual(self.responsive(), {"m2"})
        self.world.heal()
        self.world.restart(self.world.machines[0])
        self.world.run_for(SETTLE_MS)
        self.assertEqual(self.responsive(), {"m0", "m1", "m2"})


class Redirects(unittest.IsolatedAsyncioTestCase):
    """What a caller gets over HTTP."""

    async def asyncSetUp(self) -> None:
        settings = NodeSettings(
            node_name="n",
            role="scheduler",
            ip="127.0.0.1",
            zone="z",
            port_range=(1, 2),
            listen=Listen(control="127.0.0.1:0"),
        )
        self.register = Register()
        self.server = ControlServer(settings, self.register, None, redirector())
        await self.server.start()

    async def asyncTearDown(self) -> None:
        await self.server.stop()

    async def read(self) -> str:
        """The head of the answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(f"GET {PATH} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        async with asyncio.timeout(PATIENCE_S):
            answer = await reader.read()
        writer.close()
        return answer.partition(b"\r\n\r\n")[0].decode()

    # Guards against a redirect that names no place, and one of a document that is short.
    async def test_a_long_document_is_answered_by_307_with_a_location_and_a_short_one_by_itself(self) -> None:
        self.register.value = encode_stored(1, b'{"version":1}', (), ())
        self.assertTrue((await self.read()).startswith("HTTP/1.1 200"))
        self.register.value = encode_stored(
            2, b'{"version":2,"x":"' + b"x" * SLOW_BYTES_PER_S + b'"}', (), ()
        )
        head = await self.read()
        self.assertTrue(head.startswith("HTTP/1.1 307"), head)
        self.assertRegex(head, rf"Location: http://10\.0\.\d\.1:{CONTROL_PORT}{PATH}")
        counters = self.server.service.counters
        self.assertEqual((counters.reads, counters.redirected_reads, counters.cut_answers), (1, 1, 0))
