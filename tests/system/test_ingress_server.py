"""The ingress on real loopback sockets, with a core and a dispatcher that the test plays."""

from __future__ import annotations

import asyncio
import json
import random
import typing
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from hypothesis import given, strategies

from flintfield.control.configuration import Configuration, from_document
from flintfield.ingress.link import DispatcherLink
from flintfield.ingress.readiness import HEARD_WITHIN_MS, Contact, is_ready
from flintfield.ingress.draining import PLATFORM_POLL_MS, plan_drain
from flintfield.ingress.server import IngressServer, IngressSettings
from flintfield.jobs.messages import JobAnswer, JobCall, Method
from flintfield.runtime.settings import Limits, Listen, NodeSettings
from flintfield.transport.errors import Unanswered, Unreachable

JOB = "/a/0123456789abcdef"
LOOPBACK = "127.0.0.1:0"
PATIENCE_S = 10.0  # a test that waits longer has failed


@dataclass(frozen=True)
class LeaderView:
    """What the core says of the leader."""

    epoch: int
    name: str
    address: str


@dataclass
class World:
    """The core, the view and the dispatcher, as the test sets them; time stands still unless it is moved."""

    leader: LeaderView | None = field(default_factory=lambda: LeaderView(1, "d", "D"))
    current: Configuration | None = None
    confirmed: int | None = 0
    now_ms: int = 1_000
    calls: list[JobCall] = field(default_factory=list)
    arrived: asyncio.Event = field(default_factory=asyncio.Event)
    answer: Callable[[JobCall], Awaitable[typing.Any]] | None = None
    listeners: list[Callable[[Configuration], None]] = field(default_factory=list)

    def confirmed_ms_ago(self) -> int | None:
        return self.confirmed

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        self.listeners.append(callback)

    async def call(self, address: str, message: typing.Any, timeout_s: float) -> typing.Any:
        self.calls.append(message)
        self.arrived.set()
        if self.answer is None:
            return JobAnswer(200, b'{"state":"queued"}', 0, 4)
        return await self.answer(message)


def configuration(**limits: int) -> Configuration:
    """One queue `/a/` at `jobs.example`."""
    return from_document(
        {
            "version": 4,
            "limits": limits,
            "services": [{"name": "mill"}],
            "routes": [
                {
                    "name": "a",
                    "host": "jobs.example",
                    "pathPrefix": "/a/",
                    "timeoutMs": 3000,
                    "targetLatencyMs": 1000,
                    "service": "mill",
                }
            ],
        }
    )


@dataclass(frozen=True)
class Got:
    """An answer as the client read it."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def document(self) -> typing.Any:
        return json.loads(self.body)


class Client:
    """One connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, port: int) -> Client:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(self, method: str, path: str, body: bytes = b"", **headers: str) -> None:
        fields = {
            "Host": "jobs.example",
            "Content-Length": str(len(body)),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self.writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)

    async def receive(self) -> Got:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        body = await self.reader.readexactly(int(headers.get("content-length", "0")))
        return Got(int(head[0].split()[1]), headers, body)

    async def ask(self, method: str, path: str, body: bytes = b"", **headers: str) -> Got:
        self.send(method, path, body, **headers)
        return await self.receive()

    async def closed(self) -> bool:
        return await self.reader.read(1) == b""

    def close(self) -> None:
        self.writer.close()


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """Starts an ingress on free ports."""

    async def asyncSetUp(self) -> None:
        self.world = World(current=configuration())
        self.clients: list[Client] = []
        await self.start()

    async def start(self, **tuning: typing.Any) -> None:
        settings = NodeSettings(
            node_name="n",
            role="scheduler",
            ip="127.0.0.1",
            zone="z",
            port_range=(1, 2),
            listen=Listen(front=LOOPBACK, ready=LOOPBACK),
            limits=Limits(max_fds=4_100),
        )
        link = DispatcherLink(self.world, self.world, lambda: self.world.now_ms, random.Random(3))
        self.ingress = IngressServer(
            settings, self.world, link, self.world, IngressSettings(**tuning), lambda: self.world.now_ms
        )
        await self.ingress.start()

    async def asyncTearDown(self) -> None:
        for client in self.clients:
            client.close()
        await self.ingress.listener.close()

    async def client(self) -> Client:
        client = await Client.connect(self.ingress.front_port)
        self.clients.append(client)
        return client

    async def ask(self, method: str, path: str, body: bytes = b"", **headers: str) -> Got:
        async with asyncio.timeout(PATIENCE_S):
            return await (await self.client()).ask(method, path, body, **headers)

    async def ready(self, path: str = "/-/ready", method: str = "GET") -> int:
        client = await Client.connect(self.ingress.ready_port)
        self.clients.append(client)
        async with asyncio.timeout(PATIENCE_S):
            return (await client.ask(method, path)).status


class Calls(ServerTest):
    """What is passed on, and what is answered."""

    async def test_methods(self) -> None:
        for method, path, body, expected in (
            ("POST", JOB, b'{"spec":"x"}', Method.SUBMIT),
            ("GET", JOB, b"", Method.STATUS),
            ("DELETE", JOB, b"", Method.CANCEL),
            ("GET", "/a/", b"", Method.COUNT),
            ("GET", "/a/?x=1", b"", Method.COUNT),
        ):
            got = await self.ask(method, path, body)
            self.assertEqual((got.status, got.document), (200, {"state": "queued"}))
            call = self.world.calls.pop()
            self.assertEqual(
                (call.method, call.host, call.path, call.body),
                (expected, "jobs.example", path.partition("?")[0], body),
            )

    async def test_connection_is_kept(self) -> None:
        client = await self.client()
        for _ in range(3):
            self.assertEqual((await client.ask("GET", JOB)).status, 200)

    async def test_pipelined_requests_are_answered_in_turn(self) -> None:
        client = await self.client()
        for _ in range(3):
            client.send("GET", JOB)
        self.assertEqual([(await client.receive()).status for _ in range(3)], [200, 200, 200])

    async def test_unknown_queue_is_the_dispatchers_to_judge(self) -> None:
        async def unknown(_: JobCall) -> JobAnswer:
            return JobAnswer(404, b"", 0, 4)

        self.world.answer = unknown
        self.assertEqual((await self.ask("GET", "/nowhere/")).status, 404)
        self.assertEqual((await self.ask("POST", "/nowhere/0123456789abcdef", b"{}")).status, 404)
        self.assertEqual([call.method for call in self.world.calls], [Method.COUNT, Method.SUBMIT])

    # Guards against: 400 for a job that was accepted by a nested route which has been removed since.
    async def test_job_of_a_removed_nested_route_is_the_dispatchers_to_find(self) -> None:
        for method, expected in (("GET", Method.STATUS), ("DELETE", Method.CANCEL)):
            for path in ("/a/b/0123456789abcdef", "/a/x-0123456789abcdef"):
                with self.subTest(f"{method} {path}"):
                    self.assertEqual((await self.ask(method, path)).status, 200)
                    call = self.world.calls.pop()
                    self.assertEqual((call.method, call.path), (expected, path))
        self.assertEqual((await self.ask("POST", "/a/b/0123456789abcdef", b"{}")).status, 400)
        self.assertEqual((await self.ask("GET", "/a/b/")).status, 400)
        self.assertEqual(self.world.calls, [])

    async def test_refusal_says_when_to_come_back(self) -> None:
        async def refuse(_: JobCall) -> JobAnswer:
            return JobAnswer(429, b"{}", 1_200, 4)

        self.world.answer = refuse
        got = await self.ask("POST", JOB, b"{}")
        self.assertEqual((got.status, got.headers["retry-after"]), (429, "2"))

    async def test_nothing_sent_is_503_and_in_doubt_is_504(self) -> None:
        async def unreachable(_: JobCall) -> JobAnswer:
            self.world.now_ms += 10_000
            raise Unreachable("refused")

        async def unanswered(_: JobCall) -> JobAnswer:
            self.world.now_ms += 10_000
            raise Unanswered("reset")

        self.world.answer = unreachable
        got = await self.ask("POST", JOB, b"{}")
        self.assertEqual((got.status, got.headers["retry-after"]), (503, "1"))
        self.world.answer = unanswered
        for method, status in (("POST", 504), ("DELETE", 504), ("GET", 503)):
            self.assertEqual((await self.ask(method, JOB)).status, status)

    async def test_client_that_leaves_is_not_waited_for(self) -> None:
        cancelled = asyncio.Event()

        async def hold(_: JobCall) -> typing.Any:
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.set()

        self.world.answer = hold
        client = await self.client()
        client.send("POST", JOB, b"{}")
        async with asyncio.timeout(PATIENCE_S):
            await self.world.arrived.wait()
            client.close()
            await cancelled.wait()
        self.world.answer = None
        self.assertEqual((await self.ask("GET", JOB)).status, 200)
        self.assertEqual(self.ingress.listener.serving, 0)
        self.assertEqual(self.ingress.listener.held_bytes, 0)


class Refusals(ServerTest):
    """What is turned away at the door."""

    async def test_malformed_requests_say_why(self) -> None:
        cases: list[tuple[str, str, dict[str, str], int, str]] = [
            ("POST", "/a/0123", {}, 400, "ID"),
            ("POST", "/a/", {}, 400, "ID"),
            ("DELETE", "/a/", {}, 400, "ID"),
            ("GET", "/a/0123456789abcdeg", {}, 400, "ID"),
            ("GET", "/a/0123456789abcdef0", {}, 400, "ID"),
            ("GET", "a", {}, 400, "path"),
            ("PUT", JOB, {}, 405, "PUT"),
            ("GET", JOB, {"X_Deadline_Ms": "soon"}, 400, "X-Deadline-Ms"),
            ("GET", JOB, {"X_Deadline_Ms": "-1"}, 400, "X-Deadline-Ms"),
            ("GET", JOB, {"X_Deadline_Ms": "9" * 30}, 400, "X-Deadline-Ms"),
            ("GET", JOB, {"Host": ""}, 400, "Host"),
        ]
        for method, path, headers, status, reason in cases:
            with self.subTest(f"{method} {path} {headers}"):
                got = await self.ask(method, path, b"", **headers)
                self.assertEqual(got.status, status)
                self.assertIn(reason, got.document["reason"])
        self.assertEqual(self.world.calls, [])

    async def test_by_a_version_that_may_be_old_nothing_is_refused(self) -> None:
        self.world.current = configuration(maxBodyBytes=10)
        for confirmed in (None, 2_000):
            self.world.confirmed = confirmed
            self.assertEqual((await self.ask("POST", "/a/0123")).status, 200)
            self.assertEqual((await self.ask("POST", JOB, b"x" * 100)).status, 200)

    # A call was refused by an older version after the dispatcher had answered by a newer one.
    async def test_by_a_version_older_than_one_shown_here_nothing_is_refused(self) -> None:
        self.world.current = configuration(maxBodyBytes=10)

        async def answer_by_the_next_version(_: JobCall) -> JobAnswer:
            return JobAnswer(200, b"{}", 0, 5)

        self.world.answer = answer_by_the_next_version
        self.assertEqual((await self.ask("POST", "/a/0123")).status, 400)
        self.assertEqual((await self.ask("GET", JOB)).status, 200)
        self.assertEqual((await self.ask("POST", "/a/0123")).status, 200)
        self.assertEqual((await self.ask("POST", JOB, b"x" * 100)).status, 200)

    async def test_large_bodies(self) -> None:
        self.world.current = configuration(maxBodyBytes=1_000)
        self.assertEqual((await self.ask("POST", JOB, b"x" * 1_000)).status, 200)
        for size in (1_001, 100_000, 900_000):
            got = await self.ask("POST", JOB, b"x" * size)
            self.assertEqual(got.status, 413)
            self.assertIn("1000 bytes", got.document["reason"])
        client = await self.client()
        chunk = b"3e8\r\n" + b"x" * 1_000 + b"\r\n"
        client.writer.write(
            f"POST {JOB} HTTP/1.1\r\nHost: jobs.example\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
            + chunk
            + chunk
            + b"0\r\n\r\n"
        )
        self.assertEqual((await client.receive()).status, 413)
        self.assertEqual(self.ingress.listener.counters.bodies_too_large, 4)

    async def test_connection_lives_on_after_a_413(self) -> None:
        self.world.current = configuration(maxBodyBytes=1_000)
        client = await self.client()
        self.assertEqual((await client.ask("POST", JOB, b"x" * 5_000)).status, 413)
        self.assertEqual((await client.ask("GET", JOB)).status, 200)

    async def test_large_headers(self) -> None:
        self.world.current = configuration(maxHeaderBytes=1_000)
        got = await self.ask("GET", JOB, X_Large="x" * 2_000)
        self.assertEqual(got.status, 431)
        self.assertIn("1000 bytes", got.document["reason"])
        client = await self.client()
        client.send("GET", JOB, X_Large="x" * 200_000)
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await client.receive()

    async def test_what_is_no_http(self) -> None:
        for data in (
            b"\x00\x01\x02\r\n\r\n",
            b"GET\r\n\r\n",
            b"GET / HTTP/9\r\nHost: x\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -4\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1, 2\r\n\r\n",
        ):
            with self.subTest(data):
                client = await self.client()
                client.writer.write(data)
                async with asyncio.timeout(PATIENCE_S):
                    self.assertEqual((await client.receive()).status, 400)
                    self.assertTrue(await client.closed())

    async def test_head_gets_no_body(self) -> None:
        client = await self.client()
        client.send("HEAD", JOB)
        self.assertIn(b" 405 ", await client.reader.readuntil(b"\r\n\r\n"))
        self.assertEqual((await client.ask("GET", JOB)).status, 200)

    async def test_fault_of_a_handler_is_a_502(self) -> None:
        async def fault(_: JobCall) -> JobAnswer:
            raise ZeroDivisionError

        self.world.answer = fault
        self.assertEqual((await self.ask("GET", JOB)).status, 502)
        self.assertEqual(self.ingress.listener.counters.failures, 1)


class Bounds(ServerTest):
    """Full tables."""

    async def hold(self, _: JobCall) -> typing.Any:
        await self.released.wait()
        return JobAnswer(200, b"{}", 0, 4)

    async def restart(self, **tuning: typing.Any) -> None:
        await self.ingress.listener.close()
        self.released = asyncio.Event()
        self.world.answer = self.hold
        await self.start(**tuning)

    async def test_requests_above_the_bound_are_refused_at_once(self) -> None:
        await self.restart(outstanding=2)
        first = [await self.client() for _ in range(2)]
        for client in first:
            self.world.arrived.clear()
            client.send("GET", JOB)
            await self.world.arrived.wait()
        got = await self.ask("GET", JOB)
        self.assertEqual((got.status, got.headers["retry-after"]), (429, "1"))
        self.released.set()
        self.assertEqual([(await client.receive()).status for client in first], [200, 200])

    async def test_connections_above_the_bound_are_closed(self) -> None:
        await self.restart(connections=2)
        first = [await self.client() for _ in range(2)]
        self.released.set()
        for client in first:
            self.assertEqual((await client.ask("GET", JOB)).status, 200)
        third = await self.client()
        async with asyncio.timeout(PATIENCE_S):
            self.assertTrue(await third.closed())
        self.assertEqual(self.ingress.listener.connections_refused, 1)

    async def test_bodies_above_the_bound_are_refused(self) -> None:
        await self.restart(held_bytes=1_500)
        client = await self.client()
        client.send("POST", JOB, b"x" * 1_000)
        await self.world.arrived.wait()
        self.assertEqual((await self.ask("POST", JOB, b"x" * 1_000)).status, 429)
        self.released.set()
        self.assertEqual((await client.receive()).status, 200)
        self.assertEqual((await self.ask("POST", JOB, b"x" * 1_000)).status, 200)
        self.assertEqual(self.ingress.listener.held_bytes, 0)

    async def test_body_that_never_comes_whole_is_not_held(self) -> None:
        client = await self.client()
        head = f"POST {JOB} HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: 100\r\n\r\n"
        client.writer.write(head.encode() + b"abc")
        self.assertEqual((await self.ask("GET", JOB)).status, 200)
        client.close()
        await client.writer.wait_closed()
        self.assertEqual((await self.ask("GET", JOB)).status, 200)
        self.assertEqual(self.ingress.listener.held_bytes, 0)

    async def test_limits_of_a_new_configuration_reach_open_connections(self) -> None:
        client = await self.client()
        self.assertEqual((await client.ask("POST", JOB, b"x" * 100)).status, 200)
        self.world.current = configuration(maxBodyBytes=10, idleTimeoutMs=20)
        for listener in self.world.listeners:
            listener(self.world.current)
        self.assertEqual((await client.ask("POST", JOB, b"x" * 100)).status, 413)


class Ready(ServerTest):
    """The platform's question."""

    async def test_paths_and_methods(self) -> None:
        self.assertEqual(await self.ready(), 200)
        self.assertEqual(await self.ready("/-/other"), 404)
        self.assertEqual(await self.ready(method="POST"), 405)

    async def test_not_before_a_dispatcher_was_known(self) -> None:
        self.world.leader = None
        self.assertEqual(await self.ready(), 503)
        self.world.leader = LeaderView(1, "d", "D")
        self.assertEqual(await self.ready(), 200)
        self.world.leader = None  # a takeover
        self.assertEqual(await self.ready(), 200)

    async def test_not_while_the_core_is_out_of_touch(self) -> None:
        self.world.confirmed = HEARD_WITHIN_MS + 1
        self.assertEqual(await self.ready(), 503)
        await self.ask("GET", JOB)  # the dispatcher answers
        self.assertEqual(await self.ready(), 200)
        self.world.now_ms += HEARD_WITHIN_MS + 1
        self.assertEqual(await self.ready(), 503)

    def test_table(self) -> None:
        for contact, ready in (
            (Contact(False, True, 0, None), True),
            (Contact(False, True, None, 0), True),
            (Contact(False, True, None, None), False),
            (Contact(True, True, 0, 0), False),
            (Contact(False, False, 0, 0), False),
            (Contact(False, True, HEARD_WITHIN_MS, None), True),
            (Contact(False, True, HEARD_WITHIN_MS + 1, HEARD_WITHIN_MS + 1), False),
        ):
            self.assertEqual(is_ready(contact), ready, contact)


class Drain(ServerTest):
    """The end of a process."""

    async def test_answers_in_full_and_closes(self) -> None:
        released = asyncio.Event()

        async def hold(_: JobCall) -> JobAnswer:
            await released.wait()
            return JobAnswer(200, b'{"state":"running"}', 0, 4)

        self.world.answer = hold
        busy, idle = await self.client(), await self.client()
        self.assertEqual(await self.ready(), 200)
        busy.send("POST", JOB, b"{}")
        await self.world.arrived.wait()
        drained = asyncio.ensure_future(self.ingress.drain(1.0))
        async with asyncio.timeout(PATIENCE_S):
            await asyncio.sleep(0)  # the drain has begun
            self.assertEqual(await self.ready(), 503)
            self.assertTrue(await idle.closed())
            released.set()
            got = await busy.receive()
            self.assertEqual((got.status, got.headers["connection"]), (200, "close"))
            self.assertEqual(got.document, {"state": "running"})
            self.assertTrue(await busy.closed())
            await drained

    async def test_new_connections_are_served_until_the_platform_has_seen_it(self) -> None:
        drained = asyncio.ensure_future(self.ingress.drain(1.0))
        await asyncio.sleep(0)
        got = await self.ask("GET", JOB)
        self.assertEqual((got.status, got.headers["connection"]), (200, "close"))
        async with asyncio.timeout(PATIENCE_S):
            await drained
        with self.assertRaises(ConnectionError):
            await self.client()

    @given(strategies.floats(0.1, 60.0))
    def test_plan_is_in_order_and_within_the_grace(self, grace_s: float) -> None:
        plan = plan_drain(grace_s)
        self.assertTrue(0.0 < plan.close_idle_s < plan.stop_listening_s < plan.end_s <= 0.9 * grace_s)
        if grace_s >= 5.0:  # the platform has seen two misses, and the longest call is answered
            self.assertGreaterEqual(plan.stop_listening_s, 2.0 * PLATFORM_POLL_MS / 1_000)
        if grace_s >= 6.0:
            longest_s = IngressSettings().longest_call_ms / 1_000
            self.assertGreaterEqual(plan.end_s - plan.stop_listening_s, longest_s)

    async def test_ends_whatever_hangs(self) -> None:
        async def hang(_: JobCall) -> typing.Any:
            await asyncio.Event().wait()

        self.world.answer = hang
        client = await self.client()
        client.send("GET", JOB)
        await self.world.arrived.wait()
        async with asyncio.timeout(PATIENCE_S):
            await self.ingress.drain(0.3)
            got = await client.receive()  # a connection that just ended would be a lost request
        self.assertEqual((got.status, got.document["error"]), (504, "outcome_unknown"))
        self.assertEqual(self.ingress.listener.serving, 0)


if __name__ == "__main__":
    unittest.main()
