"""Bookings through a scheduler that is killed and started anew, and what the worker nodes saw of them."""

from __future__ import annotations

import json
import os
import random
import subprocess
import threading
import time
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

from peers import SETTINGS, SOON, Directory, Job, Peer, Server, start, until

BOOKING = "social-booking"


class Node:
    """A worker node that notes each head and each whole request, and ends jobs as its seeded script says."""

    def __init__(self, name: str, seed: int) -> None:
        node, script = self, random.Random(seed)
        self.name = name
        self.heads: set[str] = set()  # ids of which any byte of a request was read
        self.runs: list[str] = []  # ids of whole requests, once for each
        self.done: set[str] = set()

        class Handler(Peer):
            disable_nagle_algorithm = True

            def handle_expect_100(self) -> bool:
                node.heads.add(self.headers["Req-Id"])
                return super().handle_expect_100()

            def do_GET(self) -> None:
                self.reply(200, b"TEXT lat_ms=5, rif=0, q=0, x0=64")

            def do_POST(self) -> None:
                name = self.headers["Req-Id"]
                length = int(self.headers["Content-Length"])
                if len(self.rfile.read(length)) < length:  # cut off before it was whole: it never runs
                    self.close_connection = True
                    return
                how = script.random()
                if how < 0.02:
                    self.reply(503, b"", Srv_Declined="1")
                    return
                node.runs.append(name)
                job = Job(self, b"")
                job.say("started")
                time.sleep(0.1 if how < 0.2 else 0.01 * how)
                node.done.add(name)
                job.say("failed" if how > 0.99 else "done", result="seat")

        self.server = Server(Handler)

    def entry(self) -> dict[str, Any]:
        """Its line in discovery's list."""
        return {"instanceId": self.name, "hostPort": self.server.address, "zone": "a", "machineType": "m",
                "cell": 0, "lifecycle": "in_service", "weight": 1.0, "startedAtMs": 0}


@dataclass
class Told:
    """What callers were told of each booking; None where the connection broke before the answer."""

    answers: dict[str, int | None] = field(default_factory=dict)


class Site:
    """Worker nodes, discovery and one scheduler, which may be killed and started anew."""

    def __init__(self, folder: Path, ini: str, seed: int, nodes: int = 3) -> None:
        self.folder, self.ini = folder, ini
        self.nodes = [Node(f"s-{n}", seed + n) for n in range(nodes)]
        self.directory = Directory()
        self.directory.whole = [n.entry() for n in self.nodes]
        self.config = {
            "name": "n1", "listen": "127.0.0.1:0", "discovery": self.directory.server.address, "seed": "8c1f",
            "limits": {"memory_mb": 192, "sockets": 1024}, "settings": SETTINGS,
            "known": {"generation": 1, "reset": True, "instances": [n.entry() for n in self.nodes]},
        }
        self.port = 0
        self.process: subprocess.Popen[str] | None = None

    def begin(self) -> None:
        """Start the scheduler, and wait until it serves."""
        self.process = start(self.folder, self.config, ini=self.ini)
        assert self.process.stdout
        line = self.process.stdout.readline()
        assert line, self.process.communicate()[1]
        self.port = json.loads(line)["port"]

    def kill(self) -> None:
        """End it as a power cut of its own would."""
        assert self.process
        self.process.kill()
        self.process.communicate()

    def close(self) -> None:
        """End everything."""
        if self.process and self.process.poll() is None:
            self.kill()
        for server in (self.directory.server, *(n.server for n in self.nodes)):
            server.stop()

    # ------------------------------------------------------------------ callers

    def load(self, told: Told, seconds: float, callers: int, sign: str) -> None:
        """Book for so long from that many callers, once one was served; then kill the scheduler."""
        over = threading.Event()
        threads = [threading.Thread(target=self._caller, args=(told, over, f"{sign}{n:x}"))
                   for n in range(callers)]
        for thread in threads:
            thread.start()
        assert until(lambda: 200 in told.answers.values())
        time.sleep(seconds)
        self.kill()
        over.set()
        for thread in threads:
            thread.join()

    def _caller(self, told: Told, over: threading.Event, sign: str) -> None:
        connection, count = HTTPConnection("127.0.0.1", self.port, timeout=SOON), 0
        while not over.is_set():
            count += 1
            name = f"{sign}-{count:x}-{os.getpid():x}"
            told.answers[name] = None
            try:
                told.answers[name] = submit(connection, name)
            except (OSError, HTTPException):
                connection.close()
                return

    # ------------------------------------------------------------------ looking

    def ask(self, connection: HTTPConnection, name: str) -> dict[str, Any]:
        """What the scheduler tells of a job."""
        connection.request("GET", f"/jobs/{name}")
        told: dict[str, Any] = json.loads(connection.getresponse().read())
        return told

    def seen(self, name: str) -> bool:
        """Whether a worker node read any byte of it."""
        return any(name in node.heads for node in self.nodes)

    def runs(self, name: str) -> int:
        """How often it was taken to be run."""
        return sum(node.runs.count(name) for node in self.nodes)


def submit(connection: HTTPConnection, name: str, kind: str = BOOKING) -> int:
    """Book, and wait for the answer's status."""
    connection.request("POST", f"/{kind}", b"job", {
        "Req-Id": name, "Req-Kind": kind, "Req-Deadline": "8000m", "Req-Cost": "900"})
    response = connection.getresponse()
    response.read()
    return response.status


def untrue(site: Site, name: str, answer: int | None, told: dict[str, Any]) -> str | None:
    """What is wrong with what a restarted scheduler tells of a booking; None if it is true."""
    state, ran = told["state"], site.runs(name)
    if ran > 1:
        return f"it was sent to be run {ran} times"
    if answer == 200 and (state, told.get("outcome")) != ("ended", "served"):
        return "its caller was told that it is served"
    if state == "unknown":
        return "a worker node saw it" if site.seen(name) else None
    if state == "interrupted":
        return None if told["may_have_run"] or not ran else "it ran, and that is denied"
    if state != "ended":
        return f"nobody has it in work, and it is told to be {state}"
    if told["outcome"] == "served" and not any(name in node.done for node in site.nodes):
        return "no worker node has done it"
    return "it ran" if told["outcome"] == "refused" and ran else None
