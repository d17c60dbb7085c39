"""The agent's shells on loopback: a stand-in worker, a stand-in dispatcher, real sockets, no sleeping."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field

from flintfield.agent.service import AgentService
from flintfield.jobs.messages import AgentOrders, AgentReport, NotDispatcher, Outcome, StartOrder, StopOrder
from flintfield.runtime.settings import Bounds, Listen, NodeSettings
from flintfield.transport.rpc import Connection, Server

from .support.worker import StandInWorker, WorkerOptions

PATIENCE_S = 10.0
HOLD_MS = 4_000
TASK = "5c0e7a21d94b36f8.0.0.1"


@dataclass(frozen=True, slots=True)
class Leader:
    """Who leads."""

    epoch: int
    address: str


class Directory:
    """Names the dispatcher that the test wants."""

    def __init__(self) -> None:
        self.found: Leader | None = None
        self.failed: list[str] = []

    async def leader(self) -> Leader | None:
        """The leader."""
        return self.found

    def report_failed(self, address: str) -> None:
        """Take note."""
        self.failed.append(address)


@dataclass(slots=True)
class Wanted:
    """What the dispatcher repeats with each answer until its result has come."""

    starts: list[StartOrder] = field(default_factory=list)
    stops: list[StopOrder] = field(default_factory=list)


class Dispatcher:
    """Answers each report with what is wanted, and keeps what it was told."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.silent = False
        self.dismissive = False
        self.last_seen = 0
        self.wanted = Wanted()
        self.reports: list[AgentReport] = []
        self.outcomes: dict[int, Outcome] = {}
        self.ends: dict[tuple[str, int], str] = {}
        self.address = ""
        self.agents: set[Connection] = set()
        self._server = Server({AgentReport: self._take})
        self._news = asyncio.Event()

    async def start(self) -> Leader:
        """Listen."""
        port = await self._server.start("127.0.0.1", 0)
        self.address = f"127.0.0.1:{port}"
        return Leader(self.epoch, self.address)

    async def stop(self) -> None:
        """Close."""
        await self._server.stop()

    async def until(self, condition: Callable[[], object]) -> None:
        """Wait for reports until this holds."""
        async with asyncio.timeout(PATIENCE_S):
            while not condition():
                self._news.clear()
                await self._news.wait()

    async def until_fenced(self) -> None:
        """Wait until the worker has answered under this dispatcher's epoch."""
        await self.until(lambda: self.reports and self.newest.fenced_epoch == self.epoch)

    def order(self) -> None:
        """Send what is wanted now."""
        for agent in tuple(self.agents):
            self._answer(self.reports[-1], agent)

    @property
    def newest(self) -> AgentReport:
        """The newest report."""
        return self.reports[-1]

    def _take(self, report: AgentReport, agent: Connection) -> None:
        self.reports.append(report)
        self.agents = {agent}
        for result in report.results:
            self.outcomes[result.order] = result.outcome
        for end in report.finished:
            self.ends[end.task, end.run] = end.how.name
            self.last_seen = max(self.last_seen, end.number)
        self._news.set()
        if self.dismissive:
            agent.send(NotDispatcher(self.epoch, ""))
        elif not self.silent:
            self._answer(report, agent)

    def _answer(self, report: AgentReport, agent: Connection) -> None:
        starts = tuple(start for start in self.wanted.starts if start.order not in self.outcomes)
        stops = tuple(stop for stop in self.wanted.stops if stop.order not in self.outcomes)
        instance = report.worker.instance if report.worker is not None else ""
        agent.send(AgentOrders(self.epoch, instance, report.stamp_ms, HOLD_MS, self.last_seen, starts, stops))


class AgentOnSockets(unittest.IsolatedAsyncioTestCase):
    """A worker, its agent and a dispatcher."""

    async def asyncSetUp(self) -> None:
        self.directory = Directory()
        self.dispatcher = Dispatcher(epoch=3)
        self.directory.found = await self.dispatcher.start()
        self.worker = StandInWorker(WorkerOptions(instance="i-1", heartbeat_ms=0))
        app = await self.worker.start()
        settings = NodeSettings(
            node_name="side-1", role="agent", ip="127.0.0.1", zone="zone-a", port_range=(7_000, 7_009),
            app=app, listen=Listen(control="127.0.0.1:0"), bounds=Bounds(hold_max_ms=10_000),
        )
        self.agent = AgentService(settings, self.directory, random.Random(7))
        self.worker.options.agent = f"127.0.0.1:{self.agent.start()}"

    async def asyncTearDown(self) -> None:
        await self.agent.stop()
        await self.worker.stop()
        await self.dispatcher.stop()

    async def test_a_run_from_order_to_end(self) -> None:
        self.assertEqual(200, await self.worker.heartbeat())
        await self.dispatcher.until_fenced()
        self.dispatcher.wanted.starts.append(StartOrder(1, TASK, 1, "work_ms=50", ""))
        self.dispatcher.order()
        await self.dispatcher.until(lambda: (TASK, 1) in self.dispatcher.ends)
        self.assertEqual(Outcome.DONE, self.dispatcher.outcomes[1])
        self.assertEqual("DONE", self.dispatcher.ends[TASK, 1])
        await self.dispatcher.until(lambda: not self.dispatcher.newest.finished)

    async def test_another_dispatcher_takes_over(self) -> None:
        await self.worker.heartbeat()
        await self.dispatcher.until_fenced()
        successor = Dispatcher(epoch=4)
        self.directory.found = await successor.start()
        self.dispatcher.silent = True
        await successor.until_fenced()
        self.assertEqual(4, self.worker.model.fence)
        await successor.stop()

    async def test_a_dismissal_leads_to_the_next_dispatcher_at_once(self) -> None:
        await self.worker.heartbeat()
        await self.dispatcher.until_fenced()
        successor = Dispatcher(epoch=4)
        self.directory.found = await successor.start()
        self.dispatcher.dismissive = True
        await successor.until_fenced()
        await successor.stop()

    async def test_a_worker_that_crashes_is_reported_under_its_new_id(self) -> None:
        await self.worker.heartbeat()
        await self.dispatcher.until_fenced()
        self.worker.crash("i-2")
        await self.worker.heartbeat()
        await self.dispatcher.until(
            lambda: self.dispatcher.newest.worker is not None
            and self.dispatcher.newest.worker.instance == "i-2")
        self.assertEqual((), self.dispatcher.newest.running)


if __name__ == "__main__":
    unittest.main()
