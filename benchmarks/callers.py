"""The callers of a measurement, as one process: so many kept connections, each with one request at a time.

    python -m benchmarks.callers '{"address": "127.0.0.1:9000", "connections": 64, "seconds": 3}'

It prints one JSON object. The loop is closed: a connection sends its next request as soon as it has its
answer, so latency and rate tell one thing, and a stall shows once for each connection that it held.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import Counter
from typing import Any, cast

import msgspec
import uvloop
from hdrh.histogram import HdrHistogram

HEAD_END = b"\r\n\r\n"
LENGTH = b"content-length: "
LAST_CHUNK = b"\r\n0\r\n\r\n"
MOST_US = 60_000_000
AGAIN_S = 0.02


class Load(msgspec.Struct, frozen=True):
    """The load to make.

    `cls`: the class of all jobs. `page`: where it is given each connection reads it once, and is idle from
    then on. `again`: a connection that is ended under us is opened anew. `source`: the address to call from.
    """

    address: str
    connections: int = 1
    seconds: float = 1.0
    warm_up: float = 0.5
    cls: str = "match-list"
    body: int = 200
    wait_ms: int = 8000
    cost_us: int = 1000
    page: str = ""
    again: bool = False
    source: str = ""
    seed: int = 1


class Tally:
    """What has been seen since the warm-up ended; latencies in microseconds."""

    def __init__(self, load: Load) -> None:
        self.load, self.random = load, random.Random(load.seed)
        self.statuses: Counter[int] = Counter()
        self.latencies: list[float] = []
        self.counting = self.over = False
        self.pages = 0  # read so far
        self.opening: set[asyncio.Task[asyncio.BaseTransport]] = set()
        self.body = b"x" * load.body

    def request(self) -> bytes:
        """A new request."""
        load = self.load
        if load.page:
            return b"GET %b HTTP/1.1\r\nHost: origin.svc\r\n\r\n" % load.page.encode()
        return (
            b"POST /%b HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: %016x\r\nReq-Kind: %b\r\n"
            b"Req-Deadline: %dm\r\nReq-Cost: %d\r\nContent-Length: %d\r\n\r\n%b"
            % (
                load.cls.encode(),
                self.random.getrandbits(64),
                load.cls.encode(),
                load.wait_ms,
                load.cost_us,
                load.body,
                self.body,
            )
        )

    def note(self, status: int, seconds: float) -> None:
        """Count an answer."""
        if self.counting:
            self.statuses[status] += 1
            self.latencies.append(seconds)

    def told(self, passed: float) -> dict[str, Any]:
        """All of it, for `passed` seconds."""
        histogram = HdrHistogram(1, MOST_US, 3)
        for seconds in self.latencies:
            histogram.record_value(max(1, round(seconds * 1e6)))
        return {
            "requests": len(self.latencies),
            "seconds": passed,
            "rate": len(self.latencies) / passed,
            "statuses": {str(k): n for k, n in sorted(self.statuses.items())},
            "latency_us": {f"p{p}": histogram.get_value_at_percentile(p) for p in (50, 90, 99, 99.9)}
            | {"max": histogram.get_max_value()},
        }


class Caller(asyncio.Protocol):
    """One kept connection."""

    def __init__(self, tally: Tally) -> None:
        self.tally, self.buffer, self.sent = tally, b"", 0.0
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self._send()

    def _send(self) -> None:
        request = self.tally.request()
        self.sent = time.perf_counter()
        self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        """Wait for the whole answer, then send the next request."""
        self.buffer = self.buffer + data if self.buffer else data
        head, end, body = self.buffer.partition(HEAD_END)
        if not end:
            return
        at = head.lower().find(LENGTH)
        if at < 0 and not body.endswith(LAST_CHUNK):  # a node's own answer, passed on
            return
        if at >= 0 and len(body) < int(head[at + len(LENGTH) :].split(b"\r", 1)[0]):
            return
        self.buffer = b""
        self.tally.note(int(head[9:12]), time.perf_counter() - self.sent)
        if self.tally.load.page:
            self.tally.pages += 1
        else:
            self._send()

    def connection_lost(self, error: Exception | None) -> None:
        """Count a connection that was ended under us."""
        self.tally.note(0, 0.0)
        if self.tally.load.again and not self.tally.over:
            self.tally.opening.add(task := asyncio.get_running_loop().create_task(_open(self.tally)))
            task.add_done_callback(self.tally.opening.discard)


async def _open(tally: Tally) -> asyncio.BaseTransport:
    """One connection, however long it takes."""
    loop, load = asyncio.get_running_loop(), tally.load
    host, _, port = load.address.rpartition(":")
    local = (load.source, 0) if load.source else None
    while True:
        try:
            return (await loop.create_connection(lambda: Caller(tally), host, int(port), local_addr=local))[0]
        except OSError:
            if not load.again:
                raise
            await asyncio.sleep(AGAIN_S)


async def _play(load: Load) -> dict[str, Any]:
    tally = Tally(load)
    made = [await _open(tally) for _ in range(load.connections)]
    await asyncio.sleep(load.warm_up)
    while load.page and tally.pages < load.connections:
        await asyncio.sleep(AGAIN_S)
    tally.counting, began = True, time.perf_counter()
    print("counting", flush=True)
    await asyncio.sleep(load.seconds)
    tally.counting, tally.over, passed = False, True, time.perf_counter() - began
    print("counted", flush=True)
    for transport in made:
        cast(asyncio.Transport, transport).abort()
    return tally.told(passed)


if __name__ == "__main__":
    print(json.dumps(uvloop.run(_play(msgspec.json.decode(sys.argv[1], type=Load)))))
