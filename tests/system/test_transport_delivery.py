"""Answers that are sent in pieces, on loopback sockets: what the server learns about their end."""

from __future__ import annotations

import asyncio
import unittest

from tornado.httputil import HTTPServerRequest

from flintfield.transport.delivery import PIECE_BYTES, Delivery, respond_in_pieces
from flintfield.transport.http import BoundedServer, ServerLimits, start_server

IP = "127.0.0.1"
SOON_S = 10.0
LARGE_BYTES = 16 * 1024 * 1024  # more than the socket buffers of both ends hold
ASK = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class Deliveries(unittest.IsolatedAsyncioTestCase):
    """A server that answers every request with `body`."""

    async def asyncSetUp(self) -> None:
        self.body = b""
        self.ended: asyncio.Queue[Delivery] = asyncio.Queue()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: BoundedServer = start_server(self._serve, IP, 0, ServerLimits())
        self.reader, self.writer = await asyncio.open_connection(IP, self.server.port)

    async def asyncTearDown(self) -> None:
        self.writer.close()
        self.server.stop()
        await asyncio.gather(*self.tasks)
        await self.server.close_all_connections()

    def _serve(self, request: HTTPServerRequest) -> None:
        self.tasks.add(asyncio.get_running_loop().create_task(self._answer(request)))

    async def _answer(self, request: HTTPServerRequest) -> None:
        self.ended.put_nowait(await respond_in_pieces(request, 200, self.body, headers={"X-Version": "7"}))

    async def _delivery(self) -> Delivery:
        return await asyncio.wait_for(self.ended.get(), SOON_S)

    # Guards against pieces that are lost, doubled or out of order, and a wrong count.
    async def test_every_byte_arrives_and_is_counted(self) -> None:
        for size in (0, 1, PIECE_BYTES, 3 * PIECE_BYTES + 1):
            self.body = bytes(index % 251 for index in range(size))
            self.writer.write(ASK)
            head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), SOON_S)
            self.assertIn(b"X-Version: 7", head)
            self.assertEqual(await asyncio.wait_for(self.reader.readexactly(size), SOON_S), self.body)
            self.assertEqual(await self._delivery(), Delivery(size, True))

    # Guards against an answer that counts as whole although its caller left before the last byte.
    async def test_a_caller_that_leaves_early_is_noticed(self) -> None:
        self.body = bytes(LARGE_BYTES)
        self.writer.write(ASK)
        await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), SOON_S)
        self.writer.transport.abort()
        delivery = await self._delivery()
        self.assertFalse(delivery.complete)
        self.assertLess(delivery.sent_bytes, LARGE_BYTES)

    # Guards against an exception, or a whole answer in the count, where nobody listens any more.
    async def test_a_caller_that_left_before_the_answer_gets_nothing(self) -> None:
        self.body = bytes(PIECE_BYTES)
        held: asyncio.Future[HTTPServerRequest] = asyncio.get_running_loop().create_future()
        server = start_server(held.set_result, IP, 0, ServerLimits())
        _, writer = await asyncio.open_connection(IP, server.port)
        writer.write(ASK)
        request = await asyncio.wait_for(held, SOON_S)
        writer.transport.abort()
        async with asyncio.timeout(SOON_S):
            while server.open_connections:
                await asyncio.sleep(0)
        self.assertEqual(await respond_in_pieces(request, 200, self.body), Delivery(0, False))
        server.stop()
