"""Callers' service beside a long queue of bookings, in one run with and one without it, on real sockets.

    python -m benchmarks.queue_mixed DIR [--seconds 20] [--load 0.5] [--seed 1] [--json FILE]

One scheduler, stand-in worker nodes with slots, callers that come at random, and a queue that is never
empty. The same callers with the same jobs come in both runs. Service is worth in time over worth asked, as
the platform counts it (wanted within 600 ms and two times the job's own time).
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import time
from collections import deque
from pathlib import Path
from typing import Any

from benchmarks.queue_bench import ROOT, folder_in
from flintfield.wire.sqs.commands import Api

NODES, SLOTS, QUEUE = 4, 4, 12
MEAN_MS = 250.0
AIM_MS, STRETCH, DEADLINE_MS = 600.0, 2.0, 8_000.0
CLASSES = [
    {
        "name": "match-list",
        "aim_ms": AIM_MS,
        "aim_stretch": STRETCH,
        "hard_limit_ms": DEADLINE_MS,
        "worth": 1,
        "effect": "free",
    },
    {
        "name": "social-booking",
        "aim_ms": 400,
        "aim_stretch": STRETCH,
        "hard_limit_ms": 20_000,
        "worth": 10,
        "effect": "single_shot",
    },
]
SETTINGS = {
    "request_classes": CLASSES,
    "areas": ["a"],
    "shapes": ["m"],
    "membership_mode": "subscribe",
    "family_info": {"tells_start": True, "report_x0": "free slots", "class_stretch": [STRETCH, STRETCH]},
    "limits": {
        "max_attempts": 6,
        "may_cancel": True,
        "probes": True,
        "conn_idle_ms": 5000,
        "dial_timeout_ms": 250,
        "max_retry_after_ms": 2000,
    },
    "report": {"fields": ["lat_ms", "rif", "q", "x0"], "how": "on_probe"},
    "resolution_ms": 2,
}


class Node:
    """A worker node: so many slots, a short queue in order; a job's body tells how long it runs."""

    def __init__(self) -> None:
        self.free, self.waiting = SLOTS, deque[asyncio.Event]()
        self.ran = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection."""
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                lines = head.decode().split("\r\n")
                headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
                if lines[0].startswith("GET"):
                    load = b"TEXT lat_ms=250, rif=%d, q=%d, x0=%d" % (
                        SLOTS - self.free + len(self.waiting),
                        len(self.waiting),
                        self.free,
                    )
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(load), load))
                    continue
                if headers.get("expect"):
                    writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                body = await reader.readexactly(int(headers["content-length"]))
                await self.job(headers["req-id"], float(body), writer)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def job(self, name: str, work_ms: float, writer: asyncio.StreamWriter) -> None:
        """Run a job, or turn it away."""
        if not self.free and len(self.waiting) >= QUEUE:
            writer.write(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            return
        if not self.free:
            turn = asyncio.Event()
            self.waiting.append(turn)
            await turn.wait()
        else:
            self.free -= 1
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.say(writer, {"id": name, "from": "n", "state": "started"})
            await asyncio.sleep(work_ms / 1000)
            self.ran += 1
            self.say(writer, {"id": name, "from": "n", "state": "done", "result": "done"})
            writer.write(b"0\r\n\r\n")
        finally:
            if self.waiting:
                self.waiting.popleft().set()
            else:
                self.free += 1

    def say(self, writer: asyncio.StreamWriter, told: dict[str, Any]) -> None:
        """One line of a job."""
        line = json.dumps(told).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))


class Run:
    """One run: the scheduler as a process, all others here."""

    def __init__(self, folder: Path, seconds: float, load: float, seed: int, queued: bool) -> None:
        self.folder, self.seconds, self.queued = folder, seconds, queued
        drawn = random.Random(seed)
        rate, at = load * NODES * SLOTS / MEAN_MS, 0.0
        self.calls: list[tuple[float, float]] = []
        while (at := at + drawn.expovariate(rate)) < seconds * 1000:
            self.calls.append((at, max(20.0, drawn.expovariate(1 / MEAN_MS))))
        self.asked = self.in_time = 0.0
        self.booked = 0

    async def play(self) -> dict[str, Any]:
        """The whole run; what callers and the queue got."""
        nodes = [Node() for _ in range(NODES)]
        servers = [await asyncio.start_server(n.serve, "127.0.0.1", 0) for n in nodes]
        ports = [s.sockets[0].getsockname()[1] for s in servers]
        known = {
            "generation": 1,
            "reset": True,
            "instances": [
                {
                    "instanceId": f"s-{i}",
                    "hostPort": f"127.0.0.1:{port}",
                    "zone": "a",
                    "machineType": "m",
                    "cell": 0,
                    "lifecycle": "in_service",
                    "weight": 1.0,
                    "startedAtMs": 0,
                }
                for i, port in enumerate(ports)
            ],
        }
        directory = await asyncio.start_server(self.discovery, "127.0.0.1", 0)
        where = directory.sockets[0].getsockname()[1]
        config = {
            "name": "mixed",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{where}",
            "seed": "1",
            "limits": {"sockets": 1024},
            "settings": SETTINGS,
            "known": known,
        }
        (self.folder / "config.json").write_text(json.dumps(config))
        (self.folder / "f.ini").write_text(
            f"[store]\ndir = {self.folder}/store\n[queues]\nport = 0\n[queue.social-booking]\n"
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "flintfield", "--ini", str(self.folder / "f.ini")],
            cwd=ROOT,
            text=True,
            stdout=subprocess.PIPE,
            env={**os.environ, "LB_CONFIG": str(self.folder / "config.json")},
        )
        assert process.stdout
        told = json.loads(await asyncio.to_thread(process.stdout.readline))
        await asyncio.to_thread(process.stdout.readline)  # what was restored, or that the queues are open
        await asyncio.sleep(1)
        desk = asyncio.create_task(self.desk(told["queue_port"])) if self.queued else None
        began = time.monotonic()
        calls: list[asyncio.Task[None]] = []
        for at, work in self.calls:
            await asyncio.sleep(max(0.0, began + at / 1000 - time.monotonic()))
            calls.append(asyncio.create_task(self.call(told["port"], work)))
        await asyncio.gather(*calls)
        passed = time.monotonic() - began
        if desk:
            desk.cancel()
        api = Api(f"http://127.0.0.1:{told['queue_port']}", "", "local")
        replies = await asyncio.to_thread(self.replies, api)
        process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(process.communicate)
        for server in (*servers, directory):
            server.close()
        return {
            "queue": self.queued,
            "calls": len(self.calls),
            "service": round(self.in_time / self.asked, 4),
            "bookings_answered": replies,
            "bookings_per_s": round(replies / passed, 1),
            "node_use": round(sum(n.ran for n in nodes) * MEAN_MS / (NODES * SLOTS * passed * 1000), 2),
        }

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Nothing ever changes."""
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                await asyncio.sleep(4)
                news = b'{"generation":1,"reset":false,"instances":[]}'
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(news), news))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()  # the run is over

    async def call(self, port: int, work_ms: float) -> None:
        """One caller: worth by work, within its time or not at all."""
        self.asked += work_ms
        began = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            body = b"%.1f" % work_ms
            writer.write(
                b"POST /match-list HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Kind: match-list\r\n"
                b"Req-Deadline: %dm\r\nReq-Cost: %d\r\nContent-Length: %d\r\n\r\n%s"
                % (os.urandom(8).hex().encode(), DEADLINE_MS, work_ms * 1000, len(body), body)
            )
            status = await reader.readline()
            writer.close()
        except ConnectionError:
            return
        if b" 200 " in status and (time.monotonic() - began) * 1000 <= AIM_MS + STRETCH * work_ms:
            self.in_time += work_ms

    async def desk(self, port: int) -> None:
        """A front desk whose queue is never empty."""
        api, drawn = Api(f"http://127.0.0.1:{port}", "", "local"), random.Random(7)
        queue = await asyncio.to_thread(api.url, "social-booking")

        def fill(count: int) -> None:
            for _ in range(count):
                works = [max(20.0, drawn.expovariate(1 / MEAN_MS)) for _ in range(10)]
                api.call(
                    "SendMessageBatch",
                    QueueUrl=queue,
                    Entries=[
                        {
                            "Id": str(i),
                            "MessageBody": f"{work:.1f}",
                            "MessageAttributes": {
                                "Req-Cost": {"DataType": "Number", "StringValue": str(int(work * 1000))}
                            },
                        }
                        for i, work in enumerate(works)
                    ],
                )

        await asyncio.to_thread(fill, 30)
        while True:
            await asyncio.sleep(1)
            await asyncio.to_thread(fill, 6)

    def replies(self, api: Api) -> int:
        """How many bookings have their answer."""
        url = api.url("social-booking-replies")
        told = api.call("GetQueueAttributes", QueueUrl=url, AttributeNames=["All"])
        return int(told["Attributes"]["ApproximateNumberOfMessages"])


def main() -> int:
    """Play both, print one JSON object a line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("dir")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--load", type=float, default=0.5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path)
    given = parser.parse_args()
    found = []
    for queued in (False, True):
        with folder_in(given.dir) as folder:
            told = asyncio.run(Run(folder, given.seconds, given.load, given.seed, queued).play())
        print(json.dumps(told), flush=True)
        found.append(told)
    if given.json:
        given.json.write_text(json.dumps(found, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
