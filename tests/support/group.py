"""A group of real schedulers on loopback, each with membership, job status and a status page."""

from __future__ import annotations

import json
import signal
import socket
import time
import urllib.request
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path
from typing import Any

from peers import PROGRAM, SOON, Hop, Scheduler

LOSSY = Path(__file__).with_name("lossy.py")
FAST = "probe_ms = 200\ntimeout_ms = 100\n"  # the protocol five times as fast as in service


@contextmanager
def held_ports(count: int) -> Iterator[list[int]]:
    """Ports for both kinds of sockets, to be told to programs that take their listener first.

    They stay bound meanwhile: who listens there with SO_REUSEADDR may, and nobody else is given them.
    """
    ports: list[int] = []
    with ExitStack() as held:
        while len(ports) < count:
            tcp = held.enter_context(socket.socket())
            tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            tcp.bind(("127.0.0.1", 0))
            with socket.socket(type=socket.SOCK_DGRAM) as udp, suppress(OSError):
                udp.bind(tcp.getsockname())
                ports.append(tcp.getsockname()[1])
        yield ports


class Instance:
    """One scheduler of the group; it can be started anew under its name and port."""

    def __init__(self, folder: Path, name: str, ini: str, hops: Sequence[Hop], configured: int,
                 loss: float) -> None:
        self.name, self.ini, self.hops, self.configured = name, ini, hops, configured
        self.program = (str(LOSSY), str(loss)) if loss else PROGRAM
        self.folder = folder / name
        self.folder.mkdir()
        self.scheduler: Scheduler
        self.begin()

    def begin(self) -> None:
        self.scheduler = Scheduler(self.folder, list(self.hops), {"replicas_of_me": self.configured}, 1024,
                                   ini=self.ini, name=self.name, program=self.program)

    @property
    def status_at(self) -> str:
        return f"127.0.0.1:{self.scheduler.ports['status_port']}"

    def members(self) -> dict[str, Any]:
        with urllib.request.urlopen(f"http://{self.status_at}/members", timeout=SOON) as answer:
            told: dict[str, Any] = json.loads(answer.read())
        return told

    def view(self) -> dict[str, str]:
        return {m["name"]: m["state"] for m in self.members()["members"]}

    def there(self) -> dict[str, str]:
        return {name: state.replace("suspect", "alive") for name, state in self.view().items()}

    def job(self, name: str) -> tuple[int, dict[str, Any]]:
        response = self.scheduler.get(f"/jobs/{name}")
        return response.status, json.loads(response.read())

    def finds(self, name: str, told: dict[str, Any]) -> bool:
        return self.job(name) == (200, told)

    def signal(self, number: signal.Signals) -> None:
        self.scheduler.process.send_signal(number)

    def end(self) -> str:
        """Kill it; what it wrote on standard error."""
        self.scheduler.process.kill()
        text = self.scheduler.process.communicate()[1]
        self.scheduler.directory.server.stop()
        return text


@contextmanager
def group(folder: Path, count: int, more: str = FAST, hops: Sequence[Hop] = (), seeds: int = 2,
          loss: float = 0.0) -> Iterator[list[Instance]]:
    """That many instances, the first ones being seeds."""
    started: list[Instance] = []
    with held_ports(count) as ports:
        told = ", ".join(f"127.0.0.1:{p}" for p in ports[:seeds])
        try:
            for number, port in enumerate(ports):
                own = more.replace("PLACE", str(number))
                ini = (f"[membership]\nport = {port}\nseeds = {told}\n{own}[jobstatus]\n"
                       f"[statuspage]\nport = 0\nrefresh_ms = 50\n")
                started.append(Instance(folder, f"n{number}", ini, hops, count, loss))
            yield started
        finally:
            for instance in started:
                instance.end()


def all_see(instances: Sequence[Instance], views: dict[str, str], seconds: float = SOON) -> bool:
    """Whether all of these soon see exactly that; who is under suspicion counts as alive."""
    ends = time.monotonic() + seconds
    while not all(i.there() == views for i in instances):
        if time.monotonic() > ends:
            return False
        time.sleep(0.02)
    return True
