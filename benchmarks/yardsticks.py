"""What the request path is held against, each as a process: `python -m benchmarks.yardsticks WHICH NODE...`.

`aiohttp` is a reverse proxy as one would write it in an evening; `forwarder` copies bytes between each
caller's connection and one to a node, unread: no Python program on asyncio's own loop that looks at requests
can be faster. Both choose nodes at random, and print their port as JSON.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections.abc import Sequence
from typing import cast

from aiohttp import ClientSession, TCPConnector, web

BACKLOG = 1024


def _tell_port(port: int) -> None:
    print(json.dumps({"port": port}), flush=True)


async def proxy(nodes: Sequence[str]) -> None:
    """The reverse proxy."""
    async with ClientSession(connector=TCPConnector(limit=0), auto_decompress=False) as session:

        async def handle(request: web.BaseRequest) -> web.Response:
            url, body = f"http://{random.choice(nodes)}{request.path_qs}", await request.read()
            headers = {k: v for k, v in request.headers.items() if k.startswith("Req-")}
            async with session.request(request.method, url, headers=headers, data=body) as answer:
                return web.Response(status=answer.status, body=await answer.read())

        runner = web.ServerRunner(web.Server(handle, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0, backlog=BACKLOG).start()
        _tell_port(runner.addresses[0][1])
        await asyncio.Event().wait()


class End(asyncio.Protocol):
    """One end of a pair of connections: what it gets the other writes."""

    def __init__(self, other: End | None = None) -> None:
        self.other, self.early = other, b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass on what the other end got before."""
        self.transport = cast(asyncio.Transport, transport)
        if self.early:
            self.transport.write(self.early)

    def data_received(self, data: bytes) -> None:
        """Pass it on."""
        other = self.other
        if other and other.transport:
            other.transport.write(data)
        elif other:
            other.early += data

    def connection_lost(self, error: Exception | None) -> None:
        """Close the other end too."""
        if self.other and self.other.transport:
            self.other.transport.close()


class Front(End):
    """The caller's end, which opens the other."""

    def __init__(self, nodes: Sequence[str]) -> None:
        super().__init__()
        self.nodes = nodes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Choose a node and connect to it."""
        super().connection_made(transport)
        host, _, port = random.choice(self.nodes).rpartition(":")
        self.other = End(self)
        loop, other = asyncio.get_running_loop(), self.other
        self.opening = loop.create_task(loop.create_connection(lambda: other, host, int(port)))


async def forward(nodes: Sequence[str]) -> None:
    """The forwarder of bytes."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Front(nodes), "127.0.0.1", 0, backlog=BACKLOG)
    _tell_port(server.sockets[0].getsockname()[1])
    await server.serve_forever()


if __name__ == "__main__":
    which, *given = sys.argv[1:]
    asyncio.run({"aiohttp": proxy, "forwarder": forward}[which](given))
