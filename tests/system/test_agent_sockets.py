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

    async def until_ended(self, task: str) -> None:
        """Wait until the end of its first run is reported."""
        await self.until(lambda: (task, 1) in self.ends)

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
            node_name="side-1",
            role="agent",
            ip="127.0.0.1",
            zone="zone-a",
            port_range=(7_000, 7_009),
            app=app,
            listen=Listen(control="127.0.0.1:0"),
            bounds=Bounds(hold_max_ms=10_000),
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
            and self.dispatcher.newest.worker.instance == "i-2"
        )
        self.assertEqual((), self.dispatcher.newest.running)

    async def test_an_order_that_the_worker_carries_out_late(self) -> None:
        await self.worker.heartbeat()
        await self.dispatcher.until_fenced()
        self.worker.trouble.late_orders = 1
        self.worker.trouble.late_ms = 100
        self.dispatcher.wanted.starts.append(StartOrder(1, TASK, 1, "work_ms=0", ""))
        self.dispatcher.order()
        await self.dispatcher.until(lambda: 1 in self.dispatcher.outcomes)
        self.assertEqual(Outcome.DONE, self.dispatcher.outcomes[1])
        self.assertEqual([(TASK, 1)], [(task, run) for _, task, run in self.worker.model.log.starts])
        self.dispatcher.wanted.stops.append(StopOrder(2, TASK, 1))
        self.dispatcher.order()
        await self.dispatcher.until(lambda: (TASK, 1) in self.dispatcher.ends)
        self.assertEqual("STOPPED", self.dispatcher.ends[TASK, 1])

    async def test_an_unhealthy_worker_refuses_and_recovers(self) -> None:
        await self.worker.heartbeat()
        await self.dispatcher.until_fenced()
        self.worker.trouble.unhealthy_status = 503
        self.dispatcher.wanted.starts.append(StartOrder(1, TASK, 1, "work_ms=0", ""))
        self.dispatcher.order()
        await self.dispatcher.until(lambda: 1 in self.dispatcher.outcomes)
        # The first incarnation that this life sees: an earlier life may have sent the start.
        self.assertEqual(Outcome.UNKNOWN, self.dispatcher.outcomes[1])
        self.assertEqual([], self.worker.model.log.starts)
        self.worker.trouble.unhealthy_status = 0
        stamp = self.dispatcher.newest.listing_stamp
        await self.dispatcher.until(lambda: self.dispatcher.newest.listing_stamp > stamp)

    async def test_a_worker_that_refuses_connections(self) -> None:
        await self.worker.heartbeat()
        await self.dispatcher.until_fenced()
        await self.worker.stop()
        self.dispatcher.wanted.stops.append(StopOrder(1, TASK, 1))
        self.dispatcher.order()
        await self.dispatcher.until(lambda: 1 in self.dispatcher.outcomes)
        self.assertEqual(Outcome.BUSY, self.dispatcher.outcomes[1])

    async def test_connections_to_the_worker_are_kept(self) -> None:
        await self.worker.heartbeat()
        await self.dispatcher.until_fenced()
        for number in range(1, 31):
            task = f"{number:016x}.0.0.0"
            self.dispatcher.wanted.starts.append(StartOrder(number, task, 1, "work_ms=1", ""))
            self.dispatcher.order()
            await self.dispatcher.until_ended(task)
        self.assertLessEqual(len(self.worker.peers), 3)
        self.assertGreater(len(self.worker.calls), 60)

    async def test_heartbeats_are_acknowledged_while_the_worker_is_dark_and_nobody_leads(self) -> None:
        self.dispatcher.silent = True
        self.directory.found = None
        self.worker.trouble.dark = True
        for _ in range(3):
            self.assertEqual(200, await self.worker.heartbeat())
        self.assertEqual(200, await self.worker.deregister())

    async def test_a_stop_of_the_process_waits_for_answers_and_reports_them(self) -> None:
        await self.worker.heartbeat()
        await self.dispatcher.until_fenced()
        self.dispatcher.wanted.starts.append(StartOrder(1, TASK, 1, "work_ms=0", ""))
        self.dispatcher.order()
        while not self.worker.model.log.starts:
            await asyncio.sleep(0)
        await self.agent.stop()
        await self.dispatcher.until(lambda: 1 in self.dispatcher.outcomes)
        self.assertEqual(Outcome.DONE, self.dispatcher.outcomes[1])


if __name__ == "__main__":
    unittest.main()
