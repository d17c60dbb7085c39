"""What membership costs an instance: CPU, memory, datagrams, and the request path's latency with it.

`python -m benchmarks.membership_bench MEMBERS [--seconds S] [--rate R] [--turns N]` starts a real scheduler
with instant stand-in nodes, the other members as shells in a process of their own, and prints one JSON
object. MEMBERS 0 is the program without the section, 1 a group of one.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from statistics import median
from typing import Any

import anyio

from flintfield.membership.interface import Meta
from flintfield.membership.messages import Address
from flintfield.membership.rules import Rules
from flintfield.wire.membership.keys import PUBLIC, make_key
from flintfield.wire.membership.member import MemberShell, Setup

CLASS = {"name": "match-list", "aim_ms": 4000, "hard_limit_ms": 8000, "worth": 1, "effect": "free"}
CONNECTIONS = 8


# ---------------------------------------------------------------------- the other parties


class Node(asyncio.Protocol):
    """A worker node that does every job at once; probes find it free."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.held = b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.held += data
        head, end, body = self.held.partition(b"\r\n\r\n")
        if not end:
            return
        if head.startswith(b"GET"):
            load = b"TEXT lat_ms=5, rif=0, q=0, x0=64"
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(load), load))
            self.held = b""
        elif not body:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        else:
            name = next(
                line.split(b":")[1].strip()
                for line in head.split(b"\r\n")
                if line.lower().startswith(b"req-id")
            ).decode()
            line = json.dumps({"id": name, "from": "s", "state": "done", "result": "ok"}).encode() + b"\n"
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(line), line))
            self.held = b""


def serve_nodes(port: Any) -> None:
    """Two nodes in one process; tells their ports."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        servers = [await loop.create_server(Node, "127.0.0.1", 0) for _ in range(2)]
        port.send([s.sockets[0].getsockname()[1] for s in servers])
        await asyncio.Event().wait()

    asyncio.run(run())


def be_members(first: Address, count: int) -> None:
    """That many members in one process, which join through the scheduler's."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            meta = Meta(role="scheduler", zone="a", release="0.1.0", http="127.0.0.1:65000").encode()
            for n in range(count):
                setup = Setup(f"m{n}", ("127.0.0.1", 0), None, [first], [make_key(PUBLIC)], Rules(), meta)
                counters: dict[str, int] = {}
                shell = MemberShell(setup, lambda _: None, _Zeros(counters))
                shell.listen()
                tasks.start_soon(shell.run)
                await anyio.sleep(0.02)

    anyio.run(run)


class _Zeros:
    def __init__(self, counters: dict[str, int]) -> None:
        self._counters = counters

    def __getitem__(self, name: str, /) -> int:
        return self._counters.get(name, 0)

    def __setitem__(self, name: str, count: int, /) -> None:
        self._counters[name] = count


# ---------------------------------------------------------------------- the scheduler and its load


Started = tuple[subprocess.Popen[str], dict[str, int]]


def begin(folder: Path, nodes: list[int], members: int, port: int) -> Started:
    """The real program, and its ports."""
    listed = [
        {
            "instanceId": f"s-{p}",
            "hostPort": f"127.0.0.1:{p}",
            "zone": "a",
            "machineType": "m",
            "cell": 0,
            "lifecycle": "in_service",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for p in nodes
    ]
    settings = {
        "request_classes": [CLASS],
        "areas": ["a"],
        "shapes": ["m"],
        "membership_mode": "subscribe",
        "family_info": {"tells_start": True, "report_x0": "free slots"},
        "replicas_of_me": 1,
        "limits": {"max_attempts": 6, "probes": True, "conn_idle_ms": 5000, "dial_timeout_ms": 250},
        "report": {"fields": ["lat_ms", "rif", "q", "x0"], "how": "on_probe"},
        "resolution_ms": 2,
        "rules": {"drain_grace_ms": 400, "ask_within_ms": 2000},
    }
    config = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "settings": settings,
        "limits": {"sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": listed},
    }
    (folder / "config.json").write_text(json.dumps(config))
    section = f"[membership]\nport = {port}\n" if members else ""
    (folder / "ini").write_text(f"{section}[jobstatus]\n[statuspage]\nport = 0\n")
    process = subprocess.Popen(
        [sys.executable, "-m", "flintfield", "--ini", str(folder / "ini")],
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        env={**os.environ, "LB_CONFIG": str(folder / "config.json")},
    )
    assert process.stdout
    return process, json.loads(process.stdout.readline())


async def load(port: int, rate: float, seconds: float) -> list[float]:
    """Requests at a steady rate over kept connections; the ms of each, from when it was due."""
    took: list[float] = []

    async def caller(number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        began = time.perf_counter() + number / rate
        for turn in range(int(seconds * rate / CONNECTIONS)):
            due = began + turn * CONNECTIONS / rate
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            writer.write(
                b"POST /match-list HTTP/1.1\r\nHost: a\r\nReq-Id: %d-%d\r\n" % (number, turn)
                + b"Req-Kind: match-list\r\nReq-Deadline: 8000m\r\nReq-Cost: 900\r\n"
                + b"Content-Length: 3\r\n\r\njob"
            )
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200"), head
            length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
            took.append((time.perf_counter() - due) * 1000)
        writer.close()

    await asyncio.gather(*(caller(n) for n in range(CONNECTIONS)))
    return sorted(took)


def free_port() -> int:
    """A port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def counters(port: int) -> dict[str, int]:
    """The scheduler's counters."""
    import urllib.request

    with urllib.request.urlopen(f"http://127.0.0.1:{port}/counters", timeout=5) as answer:
        return dict(json.loads(answer.read()))


def cpu_s(pid: int) -> float:
    """The CPU time that a process has taken, in s."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident(pid: int) -> int:
    """The memory that a process holds, in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


@contextmanager
def schedulers(*groups: int) -> Iterator[list[tuple[int, dict[str, int]]]]:
    """A real scheduler in a group of each of these sizes (0: without the section): its pid and its ports."""
    ours, theirs = multiprocessing.Pipe()
    others = [multiprocessing.Process(target=serve_nodes, args=(theirs,), daemon=True)]
    others[0].start()
    nodes, started = ours.recv(), []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for number, members in enumerate(groups):
                own, port = Path(folder, str(number)), free_port()
                own.mkdir()
                process, ports = begin(own, nodes, members, port)
                started.append((process, ports))
                if members > 1:
                    others.append(
                        multiprocessing.Process(
                            target=be_members, daemon=True, args=(("127.0.0.1", port), members - 1)
                        )
                    )
                    others[-1].start()
                    while counters(ports["port"]).get("membership.changes.alive", 0) < members - 1:
                        time.sleep(0.2)
            time.sleep(5)
            yield [(process.pid, ports) for process, ports in started]
        finally:
            for process, _ in started:
                process.kill()
                process.wait()
            for other in others:
                other.kill()


def percentiles(took: list[float]) -> dict[str, float]:
    """Of sorted times in ms."""
    return {"p50_ms": round(took[len(took) // 2], 2), "p99_ms": round(took[len(took) * 99 // 100], 2)}


def measure(members: int, seconds: float, rate: float) -> dict[str, object]:
    """One group: at rest, then under load."""
    with schedulers(members) as ((pid, ports),):
        before, cpu = counters(ports["port"]), cpu_s(pid)
        time.sleep(seconds)
        after, rest = counters(ports["port"]), cpu_s(pid) - cpu
        rss = resident(pid)
        took = asyncio.run(load(ports["port"], rate, seconds))
        busy = cpu_s(pid) - cpu - rest
        told = {
            name: round((after.get(name, 0) - before.get(name, 0)) / seconds, 1)
            for name in after
            if name.startswith("membership.") and after[name] != before.get(name, 0)
        }
        return {
            "members": members,
            "rest_cpu": round(rest / seconds, 4),
            "rss_mb": round(rss / 2**20, 1),
            "load_cpu": round(busy / seconds, 3),
            "requests": len(took),
            **percentiles(took),
            "a_second": told,
        }


def compare(members: int, turns: int, seconds: float, rate: float) -> dict[str, object]:
    """Two schedulers side by side, without membership and with it, asked in turn: the medians over turns.

    Guards against a machine whose other work comes and goes.
    """
    found: dict[int, list[dict[str, float]]] = {0: [], members: []}
    with schedulers(0, members) as both:
        for turn in range(turns):
            pairs = list(zip((0, members), both, strict=True))
            for group, (_, ports) in pairs if turn % 2 else pairs[::-1]:
                found[group].append(percentiles(asyncio.run(load(ports["port"], rate, seconds))))
    told: dict[str, object] = {"turns": turns, "seconds": seconds, "rate": rate}
    for group, runs in found.items():
        for name in ("p50_ms", "p99_ms"):
            told[f"{'with' if group else 'without'}_{name}"] = round(median(one[name] for one in runs), 2)
    return told


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("members", type=int)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--turns", type=int, default=0, help="compare with and without, in so many turns")
    given = parser.parse_args()
    if given.turns:
        print(json.dumps(compare(given.members, given.turns, given.seconds, given.rate)))
    else:
        print(json.dumps(measure(given.members, given.seconds, given.rate)))
