"""The HTTP helpers on real loopback sockets: bounds of the server, and what the client leaves alone."""

from __future__ import annotations

import asyncio
import os
import socket
import unittest
import unittest.mock

from tornado.httpclient import AsyncHTTPClient
from tornado.httputil import HTTPServerRequest

from flintfield.transport.http import BoundedServer, Serve, ServerLimits, make_client, respond, start_server

IP = "127.0.0.1"
SOON_S = 60.0  # for what has to come, also on a machine that is busy


def echo(request: HTTPServerRequest) -> None:
    respond(request, 200, request.body)


class HttpCase(unittest.IsolatedAsyncioTestCase):
    async def start(self, serve: Serve, limits: ServerLimits | None = None) -> BoundedServer:
        server = start_server(serve, IP, 0, limits or ServerLimits())

        async def stop() -> None:
            server.stop()
            await server.close_all_connections()

        self.addAsyncCleanup(stop)
        return server

    def client(self) -> AsyncHTTPClient:
        client = make_client(4, 1.0, SOON_S)
        self.addCleanup(client.close)
        return client

    async def exchange(self, server: BoundedServer, data: bytes) -> bytes:
        """What a raw client gets until the server closes."""
        reader, writer = await asyncio.open_connection(IP, server.port)
        writer.write(data)
        try:
            return await asyncio.wait_for(reader.read(), SOON_S)
        except ConnectionError:
            return b""
        finally:
            writer.close()


class Servers(HttpCase):
    async def test_an_answer_is_whole_and_the_connection_kept(self) -> None:
        server = await self.start(echo)
        data = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
        closing = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        self.assertEqual(
            await self.exchange(server, data + closing),
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: application/json\r\n\r\nhi"
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        )

    async def test_an_answer_may_come_later_and_carry_headers(self) -> None:
        def serve(request: HTTPServerRequest) -> None:
            asyncio.get_running_loop().call_soon(
                lambda: respond(request, 503, b"{}", "2", headers={"X-Version": "7"})
            )

        server = await self.start(serve)
        answer = await self.client().fetch(f"http://{IP}:{server.port}/", raise_error=False)
        self.assertEqual(
            (answer.code, answer.headers["Retry-After"], answer.headers["X-Version"]), (503, "2", "7")
        )

    async def test_a_client_that_is_gone_is_no_error(self) -> None:
        taken: asyncio.Future[HTTPServerRequest] = asyncio.get_running_loop().create_future()
        faults: list[object] = []
        asyncio.get_running_loop().set_exception_handler(lambda _loop, context: faults.append(context))
        server = await self.start(taken.set_result)
        _, writer = await asyncio.open_connection(IP, server.port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        request = await asyncio.wait_for(taken, SOON_S)
        writer.transport.abort()
        await asyncio.wait_for(self.until_closed(server), SOON_S)
        respond(request, 200, b"late")
        await asyncio.sleep(0)
        self.assertEqual(faults, [])

    async def until_closed(self, server: BoundedServer) -> None:
        while server.open_connections:
            await asyncio.sleep(0)

    async def test_headers_above_the_bound_are_not_served(self) -> None:
        served: list[HTTPServerRequest] = []
        server = await self.start(served.append, ServerLimits(max_header_bytes=200))
        with self.assertLogs("tornado", "INFO"):
            await self.exchange(server, b"GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + b"a" * 400 + b"\r\n\r\n")
        self.assertEqual(served, [])

    async def test_a_body_above_the_bound_is_not_served(self) -> None:
        served: list[HTTPServerRequest] = []
        server = await self.start(served.append, ServerLimits(max_body_bytes=100))
        with self.assertLogs("tornado", "INFO"):
            answer = await self.exchange(server, b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 400"))
        self.assertEqual(served, [])

    async def test_an_idle_connection_is_closed(self) -> None:
        server = await self.start(echo, ServerLimits(idle_timeout_s=0.01))
        self.assertEqual(await self.exchange(server, b""), b"")

    async def test_connections_above_the_bound_are_closed(self) -> None:
        server = await self.start(echo, ServerLimits(max_connections=1))
        _, writer = await asyncio.open_connection(IP, server.port)
        self.assertEqual(await self.exchange(server, b"GET / HTTP/1.1\r\n\r\n"), b"")
        self.assertEqual((server.refused, server.open_connections), (1, 1))
        writer.close()
        await asyncio.wait_for(self.until_closed(server), SOON_S)
        closing = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        self.assertTrue((await self.exchange(server, closing)).startswith(b"HTTP/1.1 200"))

    async def test_nagles_algorithm_is_off_and_stays_off(self) -> None:
        def serve(request: HTTPServerRequest) -> None:
            assert request.connection is not None
            sock = request.connection.stream.socket  # type: ignore[attr-defined]
            value = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            respond(request, 200, b"on" if value else b"off")

        server = await self.start(serve)
        client = self.client()
        for _ in range(2):
            self.assertEqual((await client.fetch(f"http://{IP}:{server.port}/")).body, b"on")
        self.assertEqual(server.open_connections, 1)

    async def test_a_port_in_use_is_told(self) -> None:
        server = await self.start(echo)
        with self.assertRaises(OSError):
            start_server(echo, IP, server.port, ServerLimits())


class Clients(HttpCase):
    async def test_connections_are_kept(self) -> None:
        server, client = await self.start(echo), self.client()
        for number in range(5):
            answer = await client.fetch(f"http://{IP}:{server.port}/", method="POST", body=b"%d" % number)
            self.assertEqual(answer.body, b"%d" % number)
        self.assertEqual(server.open_connections, 1)

    async def test_redirects_are_not_followed(self) -> None:
        server = await self.start(lambda request: respond(request, 307, headers={"Location": "/other"}))
        answer = await self.client().fetch(f"http://{IP}:{server.port}/", raise_error=False)
        self.assertEqual((answer.code, answer.headers["Location"]), (307, "/other"))

    async def test_proxies_of_the_environment_are_not_used(self) -> None:
        server = await self.start(echo)
        nobody = f"http://{IP}:1"
        with unittest.mock.patch.dict(os.environ, {"http_proxy": nobody, "ALL_PROXY": nobody}):
            answer = await self.client().fetch(f"http://{IP}:{server.port}/")
        self.assertEqual(answer.code, 200)

    async def test_at_most_so_many_calls_at_a_time(self) -> None:
        running: list[HTTPServerRequest] = []
        most: list[int] = []

        def serve(request: HTTPServerRequest) -> None:
            running.append(request)
            most.append(len(running))
            asyncio.get_running_loop().call_later(0.01, lambda: respond(running.pop(0), 200))

        server, client = await self.start(serve), self.client()
        answers = await asyncio.gather(*(client.fetch(f"http://{IP}:{server.port}/") for _ in range(12)))
        self.assertEqual({answer.code for answer in answers}, {200})
        self.assertLessEqual(max(most), 4)


if __name__ == "__main__":
    unittest.main()
