"""The parties behind a scheduler in a measurement, as one process: worker nodes and discovery.

    python -m benchmarks.standins '{"nodes": 10, "how": "instant", "slots": 64}'

Its first line on standard output is JSON: `discovery` and `nodes`, all as `host:port`, and `entries`, the
list in discovery's form. Each node has an address of its own in 127.0.0.0/8. It serves until standard input
ends.

How nodes act: `instant` takes every job and answers it at once, whole, in one write; `hold` says that the job
has started, and no more; `full` turns each job away unstarted; `silent` takes connections and says nothing on
them. An instant node's result is `ok-` and the job's id. Reports tell `slots` free slots.
"""

from __future__ import annotations

import asyncio
import json
import re
import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import msgspec
import uvloop

LENGTH = re.compile(rb"\r\ncontent-length: *([0-9]+)", re.IGNORECASE)
IDENTITY = re.compile(rb"\r\nreq-id: *([!-~]+)", re.IGNORECASE)
EXPECT = re.compile(rb"\r\nexpect: *100-continue", re.IGNORECASE)
HEAD_END = b"\r\n\r\n"
GO_ON = b"HTTP/1.1 100 Continue\r\n\r\n"
TAKEN = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
DECLINED = b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
INDEX = re.compile(r"index=([0-9]+)&wait=([0-9]+)")
BACKLOG = 4096


class Parts(msgspec.Struct, frozen=True):
    """What the process is asked to play."""

    nodes: int = 10
    how: str = "instant"
    slots: int = 64


def chunk(text: bytes) -> bytes:
    """One chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(text), text)


def started(name: bytes) -> bytes:
    """The line of a job that has begun, as a chunk."""
    return chunk(b'{"id":"%b","from":"s-0badcafe","state":"started"}\n' % name)


def done(name: bytes) -> bytes:
    """The line of a job that is done, as a chunk, and the end of the body."""
    line = b'{"id":"%b","from":"s-0badcafe","state":"done","result":"ok-%b"}\n' % (name, name)
    return chunk(line) + b"0\r\n\r\n"


@dataclass(slots=True)
class Request:
    """A head as far as the stand-ins read it."""

    text: bytes
    name: bytes
    length: int
    expects: bool


class Connection(asyncio.Protocol):
    """One connection of a stand-in: heads and bodies in, what the subclass says out."""

    def __init__(self) -> None:
        self.buffer = b""
        self.request: Request | None = None
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass

    def data_received(self, data: bytes) -> None:
        """Take what came, and act on each whole request in it."""
        self.buffer += data
        while True:
            if self.request is None:
                head, end, rest = self.buffer.partition(HEAD_END)
                if not end:
                    return
                self.buffer, self.request = rest, _read(head)
                if self.request.expects and not rest:
                    self.transport.write(GO_ON)
            if len(self.buffer) < self.request.length:
                return
            self.buffer = self.buffer[self.request.length :]
            request, self.request = self.request, None
            self.whole(request)

    def whole(self, request: Request) -> None:
        """Act on a whole request."""
        raise NotImplementedError

    def page(self, body: bytes) -> None:
        """Answer with a page."""
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def _read(head: bytes) -> Request:
    length, name = LENGTH.search(head), IDENTITY.search(head)
    return Request(
        head, name[1] if name else b"", int(length[1]) if length else 0, EXPECT.search(head) is not None
    )


class Node(Connection):
    """A worker node's side of a connection."""

    def __init__(self, how: str, slots: int) -> None:
        super().__init__()
        self.how = how
        self.report = b"TEXT lat_ms=1, rif=0, q=0, x0=%d" % slots

    def data_received(self, data: bytes) -> None:
        """A silent node reads and says nothing."""
        if self.how != "silent":
            super().data_received(data)

    def whole(self, request: Request) -> None:
        """Answer a job, or a probe."""
        if request.text.startswith(b"GET"):
            self.page(self.report)
        elif self.how == "instant":
            self.transport.write(TAKEN + started(request.name) + done(request.name))
        elif self.how == "hold":
            self.transport.write(TAKEN + started(request.name))
        else:
            self.transport.write(DECLINED)


class Directory(Connection):
    """Discovery's side of a connection: the whole list, and watches that end without news."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        super().__init__()
        self.entries = entries

    def whole(self, request: Request) -> None:
        """Answer a call, a watch once it has waited."""
        watch = INDEX.search(request.text.decode("latin-1"))
        told = {"generation": 1, "reset": not watch, "instances": [] if watch else self.entries}
        wait = int(watch[2]) / 1000 if watch else 0.0
        asyncio.get_running_loop().call_later(wait, self.page, json.dumps(told).encode())


def _address(number: int) -> str:
    """An address for each node, so that their ports can not run out."""
    return f"127.1.{number // 250}.{number % 250 + 1}"


async def _listen(make: Callable[[], Connection], host: str) -> str:
    sock = socket.create_server((host, 0), backlog=BACKLOG)
    await asyncio.get_running_loop().create_server(make, sock=sock, backlog=BACKLOG)
    return f"{host}:{sock.getsockname()[1]}"


async def _serve(parts: Parts) -> None:
    nodes = [await _listen(lambda: Node(parts.how, parts.slots), _address(i)) for i in range(parts.nodes)]
    entries = [
        {
            "instanceId": f"s-{i:08x}",
            "hostPort": node,
            "zone": "a",
            "machineType": "m",
            "cell": 0,
            "lifecycle": "in_service",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for i, node in enumerate(nodes)
    ]
    discovery = await _listen(lambda: Directory(entries), "127.0.0.1")
    print(json.dumps({"discovery": discovery, "nodes": nodes, "entries": entries}), flush=True)
    loop, over = asyncio.get_running_loop(), asyncio.Event()
    loop.add_reader(sys.stdin.fileno(), over.set)
    await over.wait()


if __name__ == "__main__":
    uvloop.run(_serve(msgspec.json.decode(sys.argv[1], type=Parts)))
