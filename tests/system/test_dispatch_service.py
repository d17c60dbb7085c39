"""The dispatch service: its answers, and that it sends no results without confirmed leadership."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import unittest
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

from flintfield.coordination.model import NoQuorum
from flintfield.dispatch.service import LONG_TURN_MS, DispatchService
from flintfield.jobs.bounds import DispatcherBounds
from flintfield.jobs.durable import JobRecord, TermsRecord, job_key
from flintfield.jobs.events import Change
from flintfield.jobs.messages import (
    AgentOrders,
    AgentReport,
    JobAnswer,
    JobCall,
    Method,
    NotDispatcher,
)
from flintfield.jobs.state import CONFIRMATION_WAIT_MS
from flintfield.placement.market import MarketPlacement
from flintfield.transport.records import encode

from .jobs_world import HOST, WALL_0, ConfigurationModel, job_id, report

BODY = json.dumps({"spec": "s", "steps": [{"count": 1, "cpu": 100, "estimateMs": 100}]}).encode()


class FakeLeadership:
    """A leadership whose writes become durable when the test completes them."""

    def __init__(self, epoch: int = 3, items: Mapping[bytes, bytes] | None = None) -> None:
        self.epoch = epoch
        self.items: Mapping[bytes, bytes] = items or {}
        self.is_confirmed = True
        self.written: list[tuple[Sequence[Change], asyncio.Future[None]]] = []

    async def write(self, changes: Sequence[Change]) -> None:
        """Wait until the test completes the write."""
        durable: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.written.append((changes, durable))
        await durable

    def confirmed(self) -> bool:
        """As set by the test."""
        return self.is_confirmed

    def wall_ms(self) -> int:
        """A fixed wall clock time."""
        return WALL_0


class FakeConnection:
    """An agent's connection that records messages and callbacks."""

    def __init__(self) -> None:
        self.closed = False
        self.sent: list[Any] = []
        self.callbacks: list[Callable[[Any], None]] = []

    def send(self, message: object) -> bool:
        """Record the message."""
        self.sent.append(message)
        return True

    def on_close(self, callback: Callable[[Any], None]) -> None:
        """Record the callback."""
        self.callbacks.append(callback)


class Service(unittest.IsolatedAsyncioTestCase):
    """Tests of the service in one process."""

    def setUp(self) -> None:
        self.now = 1_000
        self.configuration: ConfigurationModel | None = ConfigurationModel(version=4)
        self.service = DispatchService(
            DispatcherBounds(),
            lambda: self.configuration,
            MarketPlacement,
            lambda: self.now,
            random.Random(1),
            self.read_configuration,
            lambda: "10.0.0.9:7660",
        )
        self.unreadable = False
        self.reads = 0
        self.leadership = FakeLeadership()
        self.connection = FakeConnection()

    def tearDown(self) -> None:
        self.service.deposed()

    async def read_configuration(self) -> ConfigurationModel | None:
        """The configuration as a majority confirms it, unless it is `unreadable`."""
        self.reads += 1
        if self.unreadable:
            raise NoQuorum("no majority answers")
        return self.configuration

    async def elect(self, leadership: FakeLeadership | None = None) -> None:
        """Begin a term, and let it read the configuration."""
        self.service.elected(leadership or self.leadership)
        await asyncio.sleep(0)

    def call(self, method: Method, path: str, body: bytes = b"", version: int = 0) -> Any:
        """Call the handler and return its result."""
        handler = self.service.handlers()[JobCall]
        return handler(JobCall(method, HOST, path, body, version), self.connection)

    async def submit(self) -> Awaitable[Any]:
        """Submit a job and return its answer's future, with the write still pending."""
        waiting = self.call(Method.SUBMIT, "/a/" + job_id(1), BODY)
        self.assertIsInstance(waiting, asyncio.Future)
        await asyncio.sleep(0)
        self.assertEqual(len(self.leadership.written), 1)
        return waiting  # type: ignore[no-any-return]

    async def test_a_process_that_does_not_lead_names_the_leader(self) -> None:
        self.assertEqual(self.call(Method.COUNT, "/a/"), NotDispatcher(0, "10.0.0.9:7660"))

    async def test_a_leader_that_is_not_confirmed_answers_nothing(self) -> None:
        await self.elect()
        self.leadership.is_confirmed = False
        self.assertEqual(self.call(Method.COUNT, "/a/"), NotDispatcher(3, "10.0.0.9:7660"))

    async def test_a_job_is_accepted_once_it_is_durable(self) -> None:
        await self.elect()
        waiting = await self.submit()
        self.leadership.written[0][1].set_result(None)
        answer = await waiting
        self.assertEqual((answer.status, answer.version), (200, 4))

    async def test_a_submission_is_in_doubt_when_the_confirmation_is_gone_by_its_answer(self) -> None:
        await self.elect()
        waiting = await self.submit()
        self.leadership.is_confirmed = False
        self.leadership.written[0][1].set_result(None)
        self.assertEqual((await waiting).status, 504)

    async def test_a_submission_is_in_doubt_when_the_term_ends(self) -> None:
        await self.elect()
        waiting = await self.submit()
        self.service.deposed()
        self.assertEqual((await waiting).status, 504)
        self.assertEqual(self.call(Method.COUNT, "/a/"), NotDispatcher(3, "10.0.0.9:7660"))

    async def test_a_failed_write_ends_the_term(self) -> None:
        await self.elect()
        waiting = await self.submit()
        self.leadership.written[0][1].set_exception(RuntimeError("deposed"))
        self.assertEqual((await waiting).status, 504)
        self.assertFalse(self.service.leads)

    async def test_the_next_term_knows_the_job(self) -> None:
        await self.elect()
        waiting = await self.submit()
        items = {key: value for key, value in self.leadership.written[0][0] if value is not None}
        self.service.deposed()
        await waiting
        await self.elect(FakeLeadership(4, items))
        answer = self.call(Method.STATUS, "/a/" + job_id(1))
        self.assertEqual((answer.status, answer.body), (200, b'{"state":"queued"}'))

    async def test_a_long_restore_is_spread_over_turns_of_the_event_loop(self) -> None:
        # Guards against the review's LOST: a term that was spent in one turn of the event loop ended with it.
        accepted = JobRecord("r-a", TermsRecord("svc", 1, 2, 1.5, 1_000), WALL_0, BODY)
        items = {job_key(job_id(number)): encode(accepted) for number in range(500)}
        self.service.deposed()
        turns_ms = 0

        def clock() -> int:
            nonlocal turns_ms
            turns_ms += 20
            return turns_ms

        service = DispatchService(
            DispatcherBounds(),
            lambda: self.configuration,
            MarketPlacement,
            clock,
            random.Random(1),
            self.read_configuration,
        )
        service.elected(FakeLeadership(5, items))
        handler = service.handlers()[JobCall]
        self.assertFalse(service.leads)
        request = JobCall(Method.STATUS, HOST, "/a/" + job_id(7), b"", 0)
        self.assertIsInstance(handler(request, self.connection), NotDispatcher)
        for _ in range(20):
            await asyncio.sleep(0)
        self.assertTrue(service.leads)
        answer = handler(request, self.connection)
        self.assertEqual(200, answer.status)

    async def test_an_event_that_takes_a_share_of_the_lease_is_logged(self) -> None:
        self.unreadable = True  # so that the tick is the only event

        async def logs_long_turn(each_ms: int, used_ms: int) -> bool:
            clock, processor = itertools.count(step=each_ms), itertools.count(step=used_ms * 1_000_000)
            service = DispatchService(
                DispatcherBounds(),
                lambda: self.configuration,
                MarketPlacement,
                clock.__next__,
                random.Random(1),
                self.read_configuration,
                processor_ns=processor.__next__,
            )
            with self.assertLogs("flintfield.dispatch.service") as logs:
                service.elected(FakeLeadership(5, {}))
                for _ in range(5):
                    await asyncio.sleep(0)
            service.deposed()
            return any(record.msg == "long_turn" for record in logs.records)

        self.assertTrue(await logs_long_turn(LONG_TURN_MS, LONG_TURN_MS))
        self.assertFalse(await logs_long_turn(LONG_TURN_MS - 1, LONG_TURN_MS))
        self.assertFalse(await logs_long_turn(LONG_TURN_MS, LONG_TURN_MS - 1), "it was frozen")

    async def test_a_caller_that_has_seen_a_newer_configuration_comes_back(self) -> None:
        await self.elect()
        answer = self.call(Method.COUNT, "/a/", version=5)
        self.assertIsInstance(answer, JobAnswer)
        self.assertEqual((answer.status, answer.retry_after_ms), (503, 200))

    async def test_without_a_configuration_calls_get_a_retryable_error(self) -> None:
        self.configuration = None
        await self.elect()
        self.assertEqual(self.call(Method.SUBMIT, "/a/" + job_id(1), BODY).status, 503)
        self.assertEqual(self.call(Method.COUNT, "/a/").status, 503)

    async def test_a_newer_configuration_applies_to_the_next_call_without_a_notification(self) -> None:
        await self.elect()
        self.configuration = ConfigurationModel(5, ())
        self.assertEqual(self.call(Method.COUNT, "/a/").status, 404)

    async def test_a_report_is_answered_by_a_grant_from_its_stamp(self) -> None:
        await self.elect()
        self.service.handlers()[AgentReport](report(10), self.connection)
        (orders,) = self.connection.sent
        self.assertIsInstance(orders, AgentOrders)
        self.assertEqual((orders.epoch, orders.instance), (3, "i-1"))
        self.assertEqual((orders.echo_stamp, orders.hold_ms), (10, 5_000))

    async def test_no_grant_leaves_without_a_confirmed_leadership(self) -> None:
        await self.elect()
        self.leadership.is_confirmed = False
        self.service.handlers()[AgentReport](report(10), self.connection)
        self.assertEqual(self.connection.sent, [NotDispatcher(3, "10.0.0.9:7660")])

    async def test_agents_are_notified_when_the_term_ends(self) -> None:
        await self.elect()
        self.service.handlers()[AgentReport](report(10), self.connection)
        self.service.deposed()
        self.assertEqual(self.connection.sent[-1], NotDispatcher(3, "10.0.0.9:7660"))

    async def test_writes_begin_in_order_and_a_start_order_follows_its_placement(self) -> None:
        await self.elect()
        self.service.handlers()[AgentReport](report(10), self.connection)
        waiting = await self.submit()
        self.leadership.written[0][1].set_result(None)
        await waiting
        await asyncio.sleep(0)
        self.assertEqual(len(self.leadership.written), 2)  # the placement
        self.assertEqual([orders.starts for orders in self.connection.sent], [()])
        self.leadership.written[1][1].set_result(None)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        (start,) = self.connection.sent[-1].starts
        self.assertEqual((start.task, start.run, start.spec), (f"{job_id(1)}.0.0.0", 1, "s"))

    async def test_calls_are_turned_away_until_a_majority_has_confirmed_the_configuration(self) -> None:
        self.service.elected(self.leadership)
        self.assertEqual(self.call(Method.COUNT, "/a/"), NotDispatcher(3, "10.0.0.9:7660"))
        await asyncio.sleep(0)
        self.assertEqual(self.call(Method.COUNT, "/a/").status, 200)

    async def test_reports_are_answered_while_no_majority_confirms_the_configuration(self) -> None:
        self.unreadable = True
        await self.elect()
        self.service.handlers()[AgentReport](report(10), self.connection)
        self.assertEqual(1, len(self.connection.sent))

    async def test_calls_do_not_wait_for_ever_for_a_configuration_that_is_not_confirmed(self) -> None:
        self.unreadable = True
        await self.elect()
        self.now += CONFIRMATION_WAIT_MS
        self.assertEqual(self.call(Method.COUNT, "/a/").status, 200)

    async def test_the_configuration_is_read_until_a_majority_confirms_it(self) -> None:
        self.unreadable = True
        await self.elect()
        self.unreadable, self.configuration = False, ConfigurationModel(7)
        async with asyncio.timeout(5):
            while not isinstance(answer := self.call(Method.COUNT, "/a/"), JobAnswer):
                await asyncio.sleep(0.01)
        self.assertEqual((2, 7), (self.reads, answer.version))

    async def test_nothing_is_read_for_a_term_that_is_over(self) -> None:
        self.unreadable = True
        await self.elect()
        self.service.deposed()
        await asyncio.sleep(0.2)
        self.assertEqual(1, self.reads)


if __name__ == "__main__":
    unittest.main()
