"""The operator's API on real loopback sockets, with a register that the test plays; and the view of it."""

from __future__ import annotations

import asyncio
import json
import typing
import unittest
from collections.abc import Callable

from flintfield.control import operator
from flintfield.control.configuration import Configuration
from flintfield.control.operator import MAX_BODY_BYTES, OperatorService
from flintfield.control.server import READ_BODY_BYTES, ControlServer
from flintfield.control.stored import FORMAT, StoredConfiguration, decode_stored
from flintfield.control.view import ConfigurationView
from flintfield.runtime.settings import Listen, NodeSettings
from flintfield.transport import records

Document = dict[str, typing.Any]
Decide = Callable[[bytes | None], bytes | None]
PATIENCE_S = 10.0  # a test that waits longer has failed


class NoQuorum(Exception):
    """Stands for the coordination layer's."""


class Register:
    """A register in memory that fails as the test says."""

    def __init__(self) -> None:
        self.value: bytes | None = None
        self.lose_answers = 0  # so many changes are made and not told
        self.no_quorum = False
        self.silent = False
        self.ignore = False  # return without the change, though it was possible
        self.overtake: bytes | None = None  # another process writes this first

    async def read(self) -> bytes | None:
        await self._fail()
        return self.value

    async def change(self, decide: Decide) -> bytes | None:
        await self._fail()
        if self.ignore:
            return self.value
        if self.overtake is not None:
            decide(self.value)
            self.value, self.overtake = self.overtake, None
        self.value = decide(self.value) or self.value
        if self.lose_answers:
            self.lose_answers -= 1
            raise NoQuorum("lost")
        return self.value

    async def _fail(self) -> None:
        if self.silent:
            await asyncio.Event().wait()
        if self.no_quorum:
            raise NoQuorum("two of three are silent")


def whole(version: int, **changes: typing.Any) -> Document:
    """A valid configuration."""
    return {
        "version": version,
        "services": [{"name": "mill"}],
        "routes": [
            {"name": "a", "host": "jobs.example", "pathPrefix": "/a/", "timeoutMs": 3000, "service": "mill"}
        ],
        **changes,
    }


class Api(unittest.IsolatedAsyncioTestCase):
    """Orders over HTTP."""

    async def asyncSetUp(self) -> None:
        self.register = Register()
        settings = NodeSettings(
            node_name="n",
            role="scheduler",
            ip="127.0.0.1",
            zone="z",
            port_range=(1, 2),
            listen=Listen(control="127.0.0.1:0"),
        )
        self.server = ControlServer(settings, self.register)
        self.other = OperatorService(self.register)  # another process
        await self.server.start()
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.server.port)

    async def asyncTearDown(self) -> None:
        self.writer.close()
        await self.server.stop()

    async def ask(
        self, method: str, path: str, body: bytes = b"", base: str | None = None
    ) -> tuple[int, bytes]:
        lines = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
        if base is not None:
            lines += f"X-Base-Version: {base}\r\n"
        self.writer.write(lines.encode() + b"\r\n" + body)
        async with asyncio.timeout(PATIENCE_S):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = int(head.partition("content-length: ")[2].partition("\r\n")[0])
            return int(head.split()[1]), await self.reader.readexactly(length)

    async def replace(self, base: int, document: Document) -> int:
        return (await self.ask("POST", "/-/Config.Replace", json.dumps(document).encode(), str(base)))[0]

    async def update(self, base: int, change: Document) -> int:
        return (await self.ask("POST", "/-/Config.Update", json.dumps(change).encode(), str(base)))[0]

    async def read(self) -> typing.Any:
        status, body = await self.ask("GET", "/-/Config.Read")
        return json.loads(body) if status == 200 else status

    async def test_replace_update_read(self) -> None:
        self.assertEqual(await self.read(), 404)
        self.assertEqual(await self.replace(0, whole(2, kept="yes")), 200)
        self.assertEqual(await self.read(), whole(2, kept="yes"))
        self.assertEqual(await self.update(2, {"version": 5, "remove": {"routes": ["a"]}}), 200)
        self.assertEqual(await self.read(), whole(5, kept="yes", routes=[]))

    async def test_stale_and_invalid(self) -> None:
        await self.replace(0, whole(4))
        before = self.register.value
        self.assertEqual(await self.replace(0, whole(5)), 412)
        self.assertEqual(await self.replace(9, whole(10)), 412)
        self.assertEqual(await self.replace(4, whole(4, extra=1)), 400)
        self.assertEqual(await self.replace(4, whole(3)), 400)
        self.assertEqual(await self.replace(4, whole(5, services=[])), 400)
        self.assertEqual(await self.update(4, {"version": 5, "remove": {"services": ["mill"]}}), 400)
        status, body = await self.ask("POST", "/-/Config.Replace", json.dumps(whole(5)).encode()[:-9], "4")
        self.assertEqual(status, 400)
        self.assertIn("body", json.loads(body)["error"])
        self.assertEqual(self.register.value, before)

    async def test_a_call_under_way_is_answered_before_the_server_ends(self) -> None:
        self.register.silent = True
        call = asyncio.get_running_loop().create_task(self.ask("GET", "/-/Config.Read"))
        while not self.server._tasks:
            await asyncio.sleep(0)
        await self.server.stop()
        status, _ = await call  # an `IncompleteReadError` where the connection just ends
        self.assertIn(status, (503, 504))

    async def test_base_version_header(self) -> None:
        for base in (None, "", "x", "-1", "1.5", "٣", "9" * 40):
            status, body = await self.ask("POST", "/-/Config.Replace", json.dumps(whole(2)).encode(), base)
            self.assertEqual(status, 400, base)
            self.assertIn("X-Base-Version", json.loads(body)["error"])

    async def test_repeated_order_is_acknowledged_by_every_process(self) -> None:
        self.register.lose_answers = 1
        self.assertEqual(await self.replace(0, whole(2)), 503)
        body = json.dumps(whole(2)).encode()
        self.assertEqual((await self.other.replace("0", body)).status, 200)
        self.assertEqual(await self.replace(0, whole(2)), 200)
        self.assertEqual(await self.replace(2, whole(3)), 200)
        self.assertEqual(await self.replace(0, whole(2)), 200)
        self.assertEqual((await self.read())["version"], 3)

    async def test_one_of_two_operators_wins(self) -> None:
        await self.replace(0, whole(2))
        left, right = json.dumps(whole(3)).encode(), json.dumps(whole(3, other=1)).encode()
        answers = await asyncio.gather(self.other.replace("2", left), self.other.replace("2", right))
        self.assertEqual(sorted(answer.status for answer in answers), [200, 412])

    async def test_overtaken_between_two_rounds(self) -> None:
        await self.replace(0, whole(2))
        winner = Register()
        winner.value = self.register.value
        await OperatorService(winner).replace("2", json.dumps(whole(7)).encode())
        self.register.overtake = winner.value
        self.assertEqual(await self.replace(2, whole(3)), 412)
        self.assertEqual((await self.read())["version"], 7)

    async def test_in_doubt_is_never_a_refusal(self) -> None:
        self.register.no_quorum = True
        self.assertEqual(await self.replace(0, whole(2)), 503)
        self.assertEqual(await self.read(), 503)
        self.register.no_quorum, self.register.ignore = False, True
        self.assertEqual(await self.replace(0, whole(2)), 503)
        self.register.ignore = False
        later = records.encode(StoredConfiguration(FORMAT + 1, 9, b"{}", ()))
        self.register.value = later
        self.assertEqual(await self.replace(0, whole(2)), 503)
        self.assertEqual(await self.read(), 503)
        self.assertEqual(self.register.value, later)

    async def test_silence_ends_at_the_deadline(self) -> None:
        service = OperatorService(self.register, deadline_s=0.01)
        self.register.silent = True
        self.assertEqual((await service.replace("0", json.dumps(whole(2)).encode())).status, 504)
        self.assertEqual((await service.read()).status, 504)
        self.assertEqual(service.counters.in_doubt, 2)

    async def test_too_many_orders_at_once(self) -> None:
        service = OperatorService(self.register)
        self.register.silent = True
        body = json.dumps(whole(2)).encode()
        held = [asyncio.ensure_future(service.replace("0", body)) for _ in range(operator.MAX_CALLS)]
        await asyncio.sleep(0)
        self.assertEqual((await service.replace("0", body)).status, 503)
        for call in held:
            call.cancel()
        await asyncio.gather(*held, return_exceptions=True)
        self.register.silent = False
        self.assertEqual((await service.replace("0", body)).status, 200)

    async def test_paths_methods_and_size(self) -> None:
        for method, path, status in (
            ("POST", "/-/Instances.Heartbeat/i-1", 404),
            ("GET", "/", 404),
            ("GET", "/-/Config.Replace", 405),
            ("POST", "/-/Config.Read", 405),
            ("PUT", "/-/Config.Update", 405),
            ("GET", "/-/ready", 404),
        ):
            self.assertEqual((await self.ask(method, path))[0], status, path)
        too_large = b" " * (MAX_BODY_BYTES + 1)
        self.assertEqual((await self.ask("POST", "/-/Config.Replace", too_large, "0"))[0], 413)
        self.assertLess(MAX_BODY_BYTES, READ_BODY_BYTES)

    async def test_large_configuration(self) -> None:
        route = whole(1)["routes"][0]
        routes = [{**route, "name": f"r-{number}", "pathPrefix": f"/{number}/"} for number in range(3_000)]
        document = whole(2, routes=routes)
        self.assertEqual(await self.replace(0, document), 200)
        self.assertEqual(await self.read(), document)
        self.assertEqual(await self.update(2, {"version": 3, "remove": {"routes": ["r-0"]}}), 200)
        self.assertEqual(len((await self.read())["routes"]), 2_999)


class Known:
    """What the coordination layer knows here."""

    def __init__(self) -> None:
        self.state: tuple[bytes | None, int] | None = None
        self.callbacks: list[Callable[[bytes], None]] = []

    def known(self) -> tuple[bytes | None, int] | None:
        return self.state

    async def read(self) -> bytes | None:
        return self.state[0] if self.state is not None else None

    def on_change(self, callback: Callable[[bytes], None]) -> None:
        self.callbacks.append(callback)

    def learn(self, value: bytes | None, as_of_ms: int | None) -> None:
        self.state = (value, as_of_ms) if as_of_ms is not None else None
        for callback in self.callbacks if value is not None else ():
            assert value is not None
            callback(value)


def stored(version: int) -> bytes:
    """A value of the register."""
    return records.encode(StoredConfiguration(FORMAT, version, json.dumps(whole(version)).encode(), ()))


class View(unittest.TestCase):
    """The newest configuration known to a process."""

    def setUp(self) -> None:
        self.known = Known()
        self.now_ms = 1_000
        self.view = ConfigurationView(self.known, lambda: self.now_ms)
        self.seen: list[int] = []
        self.view.on_change(lambda configuration: self.seen.append(configuration.version))

    def version(self) -> int | None:
        current: Configuration | None = self.view.current
        return current.version if current is not None else None

    def test_nothing_known(self) -> None:
        self.assertIsNone(self.view.current)
        self.assertIsNone(self.view.confirmed_ms_ago())

    def test_known_that_there_is_none_yet(self) -> None:
        self.known.learn(None, 900)
        self.assertIsNone(self.view.current)
        self.assertEqual(self.view.confirmed_ms_ago(), 100)

    def test_follows_and_ages(self) -> None:
        self.known.learn(stored(2), 1_000)
        self.known.learn(stored(2), 1_100)
        self.known.learn(stored(5), 1_200)
        self.now_ms = 1_500
        self.assertEqual((self.version(), self.view.confirmed_ms_ago()), (5, 300))
        self.assertEqual(self.seen, [2, 5])

    def test_never_goes_back(self) -> None:
        self.known.learn(stored(5), 1_000)
        self.known.learn(stored(2), 1_100)
        self.assertEqual(self.version(), 5)
        self.assertEqual(self.seen, [5])

    def test_value_that_is_not_confirmed_yet_is_taken_up(self) -> None:
        self.known.learn(stored(2), None)
        self.assertEqual((self.version(), self.seen), (2, [2]))
        self.assertIsNone(self.view.confirmed_ms_ago())

    def test_without_a_callback_it_is_read_all_the_same(self) -> None:
        self.known.state = (stored(3), 1_000)
        self.assertEqual(self.version(), 3)

    def test_value_of_a_later_release_is_not_confirmed(self) -> None:
        self.known.learn(stored(2), 1_000)
        self.known.learn(records.encode(StoredConfiguration(FORMAT + 1, 3, b"{}", ())), 1_100)
        self.assertEqual(self.version(), 2)
        self.assertIsNone(self.view.confirmed_ms_ago())
        self.known.learn(stored(4), 1_200)
        self.assertEqual(self.view.confirmed_ms_ago(), 0)

    # A value of an unexpected form ended the polls, and the version before it passed for confirmed.
    def test_value_of_any_other_form_is_not_confirmed(self) -> None:
        forms: tuple[Document, ...] = ({"limits": []}, {"limits": 3}, {"routes": 7}, {"services": [{}]})
        for number, changes in enumerate(forms):
            with self.subTest(changes):
                self.known.learn(stored(10 * number + 1), 1_000)
                document = json.dumps(whole(10 * number + 2, **changes)).encode()
                value = records.encode(StoredConfiguration(FORMAT, 10 * number + 2, document, ()))
                self.known.learn(value, 1_100)
                self.assertEqual(self.version(), 10 * number + 1)
                self.assertIsNone(self.view.confirmed_ms_ago())

    def test_digests_are_kept_beside_the_document(self) -> None:
        self.assertEqual(decode_stored(stored(3)).taken, ())


if __name__ == "__main__":
    unittest.main()
