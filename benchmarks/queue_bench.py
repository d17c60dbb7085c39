"""The queues of a real program on one core: throughput, latency, a long queue's opening, long polls.

    python -m benchmarks.queue_bench DIR [--messages 1000000] [--seconds 6] [--polls 4000] [--json FILE]

DIR is on the disk to be measured. Clients are processes on the other cores, each with one kept connection;
all is durable (`ALWAYS`): an answer means that it was synced. Signatures are checked where a line says so.
"""

from __future__ import annotations

import argparse
import asyncio
import http.client
import json
import multiprocessing
import os
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import psutil
from hdrh.histogram import HdrHistogram

from flintfield.queues import core
from flintfield.queues.attributes import Settings
from flintfield.queues.records import (
    MESSAGE,
    META,
    NUMBER,
    QUEUE,
    BodyRecord,
    QueueRecord,
    encode,
    message_key,
)
from flintfield.store import NEVER, Batch, Settings as StoreSettings, open_store
from flintfield.units.queues import SECRET, SPACES
from flintfield.wire.sqs.commands import Api

ROOT = Path(__file__).parent.parent
BODY = "seat 7 at the social of Saturday, " + "x" * 166  # 200 characters
LOAD = 5_000  # messages of one batch while a store is filled
Result = dict[str, Any]
SETTINGS = {
    "request_classes": [
        {
            "name": "social-booking",
            "aim_ms": 4000,
            "hard_limit_ms": 20000,
            "worth": 10,
            "effect": "single_shot",
        }
    ],
    "areas": ["a"],
    "shapes": ["m"],
    "membership_mode": "subscribe",
    "limits": {"probes": True, "may_cancel": True},
    "report": {"fields": ["x0"], "how": "on_probe"},
}


class Program:
    """The real program on core 0, with its queues on a store."""

    def __init__(self, folder: Path, keys: dict[str, str] | None = None, sockets: int = 1_024) -> None:
        config = {
            "name": "bench",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:9",
            "seed": "1",
            "limits": {"sockets": sockets},
            "settings": SETTINGS,
        }
        (folder / "config.json").write_text(json.dumps(config))
        ini = f"[store]\ndir = {folder}/store\n[queues]\nport = 0\nconnections = {sockets}\n"
        if keys:
            (folder / "keys.json").write_text(json.dumps(keys))
            ini += f"keys = {folder}/keys.json\n"
        (folder / "flintfield.ini").write_text(ini)
        self.began = time.monotonic()

        def limit() -> None:
            os.sched_setaffinity(0, {0})
            most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
            resource.setrlimit(resource.RLIMIT_NOFILE, (min(most, 2 * sockets), most))

        command = [sys.executable, "-m", "flintfield", "--ini", str(folder / "flintfield.ini")]
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            preexec_fn=limit,
            env={**os.environ, "LB_CONFIG": str(folder / "config.json")},
        )
        self.look = psutil.Process(self.process.pid)
        self.port = self.wait_for("serving")["queue_port"]
        self.opened = self.wait_for("queues open")
        self.open_s = time.monotonic() - self.began

    def wait_for(self, event: str) -> dict[str, Any]:
        """The first log line of that event."""
        assert self.process.stdout
        for line in self.process.stdout:
            told: dict[str, Any] = json.loads(line)
            if told["event"] == event:
                return told
        assert self.process.stderr
        raise RuntimeError(f"the program ended: {self.process.stderr.read()}")

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}"

    def rss(self) -> int:
        """Resident memory in bytes."""
        return int(self.look.memory_info().rss)

    def cpu(self) -> float:
        """Seconds of processor time so far."""
        times = self.look.cpu_times()
        return float(times.user + times.system)

    def stop(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        self.process.communicate()


@contextmanager
def folder_in(where: str) -> Iterator[Path]:
    """A folder that goes with the measurement."""
    made = Path(tempfile.mkdtemp(prefix="queue-bench-", dir=where))
    try:
        yield made
    finally:
        shutil.rmtree(made)


# ------------------------------------------------------------------ throughput


def _client(url: str, batch: int, seconds: float, keys: str, go: Any, out: Any) -> None:
    """One front desk: send, receive and delete batches until its time is over; latencies in ms."""
    os.sched_setaffinity(0, set(range(1, os.cpu_count() or 2)))
    api = Api(url, keys, "local")
    connection = http.client.HTTPConnection(api.host)
    queue = api.url("bench")
    took: dict[str, list[float]] = {"send": [], "receive": [], "delete": []}
    done = dict.fromkeys(took, 0)

    def call(action: str, shape: dict[str, Any]) -> dict[str, Any]:
        connection.request("POST", "/", json.dumps(shape), {"X-Amz-Target": f"AmazonSQS.{action}"})
        response = connection.getresponse()
        told: dict[str, Any] = json.loads(response.read())
        assert response.status == 200, told
        return told

    def timed(name: str, action: str, shape: dict[str, Any], count: int) -> dict[str, Any]:
        began = time.perf_counter()
        told = api.call(action, **shape) if keys else call(action, shape)
        took[name].append((time.perf_counter() - began) * 1000)
        done[name] += count
        return told

    out.put("ready")
    go.wait()
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if batch == 1:
            timed("send", "SendMessage", {"QueueUrl": queue, "MessageBody": BODY}, 1)
        else:
            entries = [{"Id": str(i), "MessageBody": BODY} for i in range(batch)]
            timed("send", "SendMessageBatch", {"QueueUrl": queue, "Entries": entries}, batch)
        told = timed("receive", "ReceiveMessage", {"QueueUrl": queue, "MaxNumberOfMessages": batch}, 0)
        got = told.get("Messages", [])
        done["receive"] += len(got)
        if batch == 1 and got:
            shape = {"QueueUrl": queue, "ReceiptHandle": got[0]["ReceiptHandle"]}
            timed("delete", "DeleteMessage", shape, 1)
        elif got:
            handles = [{"Id": str(i), "ReceiptHandle": m["ReceiptHandle"]} for i, m in enumerate(got)]
            timed("delete", "DeleteMessageBatch", {"QueueUrl": queue, "Entries": handles}, len(got))
    out.put((took, done))


def throughput(
    where: str, seconds: float, batch: int, clients: int, signed: bool = False
) -> Iterator[Result]:
    """Messages a second that were sent, received and deleted, each durable."""
    with folder_in(where) as folder:
        program = Program(folder, {"AKIDBENCH": "secret"} if signed else None)
        keys = str(folder / "keys.json") if signed else ""
        Api(program.url, keys, "local").call("CreateQueue", QueueName="bench")
        context = multiprocessing.get_context("spawn")
        out: Any = context.Queue()
        go = context.Event()
        players = [
            context.Process(target=_client, args=(program.url, batch, seconds, keys, go, out))
            for _ in range(clients)
        ]
        for player in players:
            player.start()
        for _ in players:
            out.get(timeout=60)
        began, cpu = time.monotonic(), program.cpu()
        go.set()
        results = [out.get(timeout=seconds + 60) for _ in players]
        for player in players:
            player.join()
        cpu, passed = program.cpu() - cpu, time.monotonic() - began
        for name in ("send", "receive", "delete"):
            histogram = HdrHistogram(1, 60_000_000, 3)
            for took, _ in results:
                for ms in took[name]:
                    histogram.record_value(int(ms * 1000))
            count = sum(done[name] for _, done in results)
            yield {
                "what": f"{name}, batches of {batch}, {clients} clients{', signed' if signed else ''}",
                "per_s": round(count / seconds),
                "p50_ms": histogram.get_value_at_percentile(50) / 1000,
                "p99_ms": histogram.get_value_at_percentile(99) / 1000,
                "core": round(cpu / passed, 2),
            }
        program.stop()


# ----------------------------------------------------------------- a long queue


def fill(folder: Path, count: int) -> None:
    """A store with a queue of so many waiting messages, as the program would have left it."""
    store = open_store(folder / "store", StoreSettings())
    now = int(time.time() * 1000)
    batch = Batch()
    batch.put(SPACES[META], SECRET, bytes(32))
    batch.put(SPACES[META], core.NEXT_SEQ, (count + 1).to_bytes(8, "big"))
    record = QueueRecord("long", Settings(), now, now, {})
    batch.put(SPACES[QUEUE], NUMBER.pack(1), encode(record))
    store.write(batch, NEVER)
    body = encode(BodyRecord(BODY))
    for first in range(1, count + 1, LOAD):
        batch = Batch()
        for seq in range(first, min(first + LOAD, count + 1)):
            batch.put(SPACES[MESSAGE], message_key(1, seq, now, ""), body)
        store.write(batch, NEVER)
    store.close()


def long_queue(where: str, count: int) -> Iterator[Result]:
    """How long a queue takes to open after a restart, and what memory a waiting message takes."""
    with folder_in(where) as folder:
        fill(folder, 1)
        empty = Program(folder)
        base = empty.rss()
        empty.stop()
        shutil.rmtree(folder / "store")
        fill(folder, count)
        program = Program(folder)
        api = Api(program.url, "", "local")
        assert program.opened["messages"] == count
        [message] = api.call("ReceiveMessage", QueueUrl=api.url("long"))["Messages"]
        assert message["Body"] == BODY
        yield {"what": f"open a queue of {count} messages", "s": round(program.open_s, 2)}
        yield {
            "what": f"memory of a waiting message, {count} of them",
            "bytes": round((program.rss() - base) / count),
        }
        program.stop()
        program = Program(folder)
        yield {
            "what": f"open it once more, after an orderly stop, {count} messages",
            "s": round(program.open_s, 2),
        }
        program.stop()


# -------------------------------------------------------------------- long polls


async def _polls(program: Program, count: int) -> tuple[float, float, int]:
    """Hold so many long polls, then send to one: the time until it has its answer, and memory for each."""
    api = Api(program.url, "", "local")
    for name in ("quiet", "busy"):
        api.call("CreateQueue", QueueName=name)
    before, cpu = program.rss(), program.cpu()

    async def poll(name: str) -> asyncio.StreamReader:
        reader, writer = await asyncio.open_connection("127.0.0.1", program.port)
        body = json.dumps({"QueueUrl": f"/000000000000/{name}", "WaitTimeSeconds": 20}).encode()
        writer.write(
            b"POST / HTTP/1.1\r\nHost: x\r\nX-Amz-Target: AmazonSQS.ReceiveMessage\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        )
        kept.append(writer)
        return reader

    kept: list[asyncio.StreamWriter] = []
    for _ in range(0, count, 100):
        await asyncio.gather(*(poll("quiet") for _ in range(100)))
    reader = await poll("busy")
    await asyncio.sleep(1)
    held = program.rss() - before
    began = time.perf_counter()
    await asyncio.to_thread(api.call, "SendMessage", QueueUrl="/000000000000/busy", MessageBody="x")
    await reader.readuntil(b"\r\n\r\n")
    took = time.perf_counter() - began
    used = program.cpu() - cpu
    for writer in kept:
        writer.close()
    return took * 1000, used, held // (count + 1)


def long_polls(where: str, count: int) -> Iterator[Result]:
    """Many long polls at once."""
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(most, count + 500), most))
    with folder_in(where) as folder:
        program = Program(folder, sockets=count + 200)
        took, cpu, each = asyncio.run(_polls(program, count))
        yield {
            "what": f"{count} long polls: a message to its own poll",
            "ms": round(took, 2),
            "bytes_each": each,
            "cpu_s": round(cpu, 2),
        }
        program.stop()


def main() -> int:
    """Measure, and print one JSON object a line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("dir")
    parser.add_argument("--messages", type=int, default=1_000_000)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--polls", type=int, default=4_000)
    parser.add_argument("--json", type=Path)
    given = parser.parse_args()
    found: list[Result] = []

    def tell(results: Iterator[Result]) -> None:
        for result in results:
            print(json.dumps(result), flush=True)
            found.append(result)

    for batch, clients in ((1, 1), (1, 16), (10, 1), (10, 16)):
        tell(throughput(given.dir, given.seconds, batch, clients))
    tell(throughput(given.dir, given.seconds, 10, 16, signed=True))
    tell(long_queue(given.dir, given.messages))
    tell(long_polls(given.dir, given.polls))
    if given.json:
        given.json.write_text(json.dumps(found, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
