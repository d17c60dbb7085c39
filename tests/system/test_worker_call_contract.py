"""One contract for both worker links: the program's, over real sockets, and the simulator's.

Each end of a call is brought about at both; they have to tell the same. What the simulator's link hid before
(errors that are raised instead of returned) can't come back unseen.
"""

from __future__ import annotations

import asyncio
import random
import socket
import unittest
from abc import ABC, abstractmethod

from flintfield.agent.events import Answer, AnswerKind, CallWorker, Event, RunStart
from flintfield.agent.worker_client import WorkerClient
from flintfield.simulation.held import Gangs
from flintfield.simulation.plans import Bounds, Capacity, Kind, Plan
from flintfield.simulation.process import Process
from flintfield.simulation.record import Record
from flintfield.simulation.spot import Spot
from flintfield.simulation.worker import StandInWorker
from flintfield.simulation.worker_calls import Fate, SimulatedWorkerClient, WorkerCalls
from flintfield.simulation.world import World

from .support.scripted_peer import IP, Deed, ScriptedPeer

START = RunStart("5c0e7a21d94b36f8.0.0.1", 1, "(text)", "", 60_000, 3)
SHORT_MS = 300


def call_to(address: str, timeout_ms: int) -> CallWorker:
    """A start at that address."""
    return CallWorker(1, "i-1", address, timeout_ms, START)


FATE_OF = {
    Deed.ANSWER: Fate.SOUND,
    Deed.SILENCE: Fate.SILENT,
    Deed.RESET: Fate.BROKEN,
    Deed.CLOSE: Fate.BROKEN,
    Deed.HALF: Fate.BROKEN,
    Deed.RESET_UNREAD: Fate.UNREAD,
}


class Contract(ABC):
    """The ends; `end` brings one about and tells the answer, and how often the worker got the call."""

    @abstractmethod
    async def end(self, deed: Deed | None) -> tuple[AnswerKind, int]:
        """Make a call that ends so; None: nobody listens."""

    async def check(self, case: unittest.TestCase) -> None:
        """All ends."""
        expected = {
            Deed.ANSWER: (AnswerKind.OK, 1),
            Deed.SILENCE: (AnswerKind.NONE, 1),
            Deed.RESET: (AnswerKind.NONE, 1),
            Deed.CLOSE: (AnswerKind.NONE, 1),
            Deed.HALF: (AnswerKind.NONE, 1),
            Deed.RESET_UNREAD: (AnswerKind.NONE, 0),
            None: (AnswerKind.NOT_SENT, 0),
        }
        for deed, wanted in expected.items():
            with case.subTest(deed.value if deed is not None else "nobody listens"):
                case.assertEqual(wanted, await self.end(deed))


class OverSockets(Contract):
    """`WorkerClient` and a scripted peer."""

    async def end(self, deed: Deed | None) -> tuple[AnswerKind, int]:
        """One call over loopback."""
        if deed is None:
            with socket.create_server((IP, 0)) as listener:
                port = listener.getsockname()[1]
            return (await WorkerClient().call(call_to(f"{IP}:{port}", SHORT_MS))).kind, 0
        peer = ScriptedPeer([deed])
        address = await peer.start()
        timeout_ms = SHORT_MS if deed is Deed.SILENCE else 30_000
        answer = await asyncio.wait_for(WorkerClient().call(call_to(address, timeout_ms)), 60.0)
        await peer.stop()
        return answer.kind, len(peer.requests)


class Simulated(Contract):
    """The simulator's link and its stand-in worker."""

    async def end(self, deed: Deed | None) -> tuple[AnswerKind, int]:
        """One call in virtual time."""
        world = World(random.Random(1))
        process = Process(world, world.add_machine("side-1", "10.0.0.9:80"))
        record = Record()
        spot = self._spot(world, record)
        fate = FATE_OF[deed] if deed is not None else Fate.SOUND
        calls = _FatedCalls(world, random.Random(1), fate)
        if deed is None:
            spot.worker.crash()
        answers: list[Answer] = []
        client = SimulatedWorkerClient(calls, process.loop.call_later, process.post)
        process.post(client.call, spot, call_to("app", SHORT_MS), answers.append)
        world.run_until(2_000)
        (answer,) = answers
        return answer.kind, len(record.runs)

    @staticmethod
    def _spot(world: World, record: Record) -> Spot:
        kind = Kind("s", ("a", "r1"), Capacity(16_000, 32_768, 0))
        plan = Plan(work_ms=10_000, cpu=1_000)
        worker = StandInWorker(
            world,
            record,
            "side-1",
            "i-1",
            kind,
            Bounds(),
            lambda _: plan,
            Gangs(),
            lambda _: None,
            random.Random(1),
        )
        return Spot("side-1", kind, _not_delivered, worker)


def _not_delivered(_: Event) -> bool:
    return False


class _FatedCalls(WorkerCalls):
    """Calls that all have one fate."""

    def __init__(self, world: World, rng: random.Random, fate: Fate) -> None:
        super().__init__(world, rng)
        self._only = fate

    def _fate(self, spot: Spot, call: CallWorker) -> Fate:
        return self._only


class Links(unittest.IsolatedAsyncioTestCase):
    """Both keep the contract."""

    async def test_the_link_over_sockets(self) -> None:
        await OverSockets().check(self)

    async def test_the_simulated_link(self) -> None:
        await Simulated().check(self)


if __name__ == "__main__":
    unittest.main()
