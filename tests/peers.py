"""Test doubles for the program's peers, on loopback sockets, and a harness that runs the real program."""

from __future__ import annotations

import json
import os
import queue
import resource
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Sequence
from http.client import HTTPConnection, HTTPResponse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
PROGRAM = ("-m", "flintfield")
SOON = 10.0  # timeout of the tests in seconds; nothing takes that long unless it fails
CLASSES = [
    {"name": "match-list", "aim_ms": 4000, "hard_limit_ms": 8000, "worth": 1, "effect": "free"},
    {"name": "social-booking", "aim_ms": 4000, "hard_limit_ms": 20000, "worth": 10, "effect": "single_shot"},
]
SETTINGS: dict[str, Any] = {
    "request_classes": CLASSES, "areas": ["a", "b"], "shapes": ["m"], "membership_mode": "subscribe",
    "family_info": {"tells_start": True, "report_x0": "free slots"}, "replicas_of_me": 1,
    "limits": {"max_attempts": 6, "may_cancel": True, "probes": True, "conn_idle_ms": 5000,
               "dial_timeout_ms": 250, "max_retry_after_ms": 2000},
    "report": {"fields": ["lat_ms", "rif", "q", "x0"], "how": "on_probe"}, "resolution_ms": 2,
    "rules": {"drain_grace_ms": 400, "ask_within_ms": 2000},
}


class Peer(BaseHTTPRequestHandler):
    """HTTP handler that next hops and discovery share."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_: object) -> None:
        """Suppress the request log."""

    def reply(self, status: int, body: bytes = b"", **headers: str) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Server(ThreadingHTTPServer):
    daemon_threads = True

    def __init__(self, handler: type[Peer]) -> None:
        super().__init__(("127.0.0.1", 0), handler)
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server_address[1]}"

    def stop(self) -> None:
        self.shutdown()
        self.server_close()

    def handle_error(self, *_: object) -> None:
        """Ignore errors of connections that the program broke; tests check for them where needed."""


class Job:
    """A job request that reached a next hop; the test controls its answer."""

    def __init__(self, peer: Peer, body: bytes) -> None:
        self.peer, self.body, self.target = peer, body, peer.path
        self.headers = {k.lower(): v for k, v in peer.headers.items()}
        self.name, self.port = self.headers["req-id"], peer.client_address[1]
        self.over = threading.Event()
        self.began = False

    def say(self, state: str, **more: Any) -> None:
        """Write one line about the job; a final state also ends the response."""
        self.line(json.dumps({"id": self.name, "from": "s", "state": state, **more}))
        if state in ("done", "failed", "returned", "lost"):
            self.peer.wfile.write(b"0\r\n\r\n")
            self.over.set()

    def line(self, text: str) -> None:
        if not self.began:
            self.began = True
            self.peer.send_response(200)
            self.peer.send_header("Transfer-Encoding", "chunked")
            self.peer.end_headers()
        self.peer.wfile.write(b"%x\r\n%s\n\r\n" % (len(text) + 1, text.encode()))

    def status(self, status: int, **headers: str) -> None:
        self.peer.reply(status, b"", **headers)
        self.over.set()

    def cut(self) -> None:
        """Shut down the connection."""
        self.peer.connection.shutdown(socket.SHUT_RDWR)
        self.peer.close_connection = True
        self.over.set()

    def start_and_cut(self) -> None:
        self.say("started")
        self.cut()

    def dropped(self) -> bool:
        """Wait until the scheduler closes the connection; returns whether it did without sending data."""
        self.peer.connection.settimeout(SOON)
        try:
            return not self.peer.connection.recv(1)
        except ConnectionResetError:
            return True


class Hop:
    """A next hop; its jobs are queued for the test."""

    def __init__(self, name: str = "s-1") -> None:
        hop = self
        self.name = name
        self.jobs: queue.Queue[Job] = queue.Queue()
        self.load = b"TEXT lat_ms=5, rif=0, q=0, x0=4"
        self.probe_ports: queue.Queue[int] = queue.Queue()
        self.cut_probes = False
        self.heads: queue.Queue[str] = queue.Queue()  # for the next heads: what to do instead of a 100
        self.seen: set[str] = set()  # the ids of all request heads received
        # For a head with "wait": its connection; set by the test to release the 100; set once it is sent.
        self.asked: queue.Queue[socket.socket] = queue.Queue()
        self.go_on, self.went_on = threading.Event(), threading.Event()

        class Handler(Peer):
            def parse_request(self) -> bool:
                parsed = super().parse_request()
                if parsed and self.command == "POST":
                    hop.seen.add(self.headers["Req-Id"])
                return parsed

            def handle_expect_100(self) -> bool:
                hop.seen.add(self.headers["Req-Id"])
                mode = "100" if hop.heads.empty() else hop.heads.get()
                if mode == "wait":
                    hop.asked.put(self.connection)
                    hop.go_on.wait(SOON)
                    super().handle_expect_100()
                    hop.went_on.set()
                    return True
                if mode == "100":
                    return super().handle_expect_100()
                if mode == "no word":
                    return True
                if mode == "silence":
                    self.connection.settimeout(SOON)
                    self.connection.recv(1)
                elif mode.isdecimal():
                    self.reply(int(mode))
                self.close_connection = True
                return False

            def do_GET(self) -> None:
                self.close_connection = hop.cut_probes
                hop.probe_ports.put(self.client_address[1])
                self.reply(200, hop.load)

            def do_POST(self) -> None:
                size = int(self.headers["Content-Length"])
                if len(body := self.rfile.read(size)) < size:  # a job starts once its request is complete
                    self.close_connection = True
                    return
                job = Job(self, body)
                hop.jobs.put(job)
                job.over.wait(SOON)

        self.server = Server(Handler)

    def entry(self, **changes: Any) -> dict[str, Any]:
        return {"instanceId": self.name, "hostPort": self.server.address, "zone": "a", "machineType": "m",
                "cell": 0, "lifecycle": "in_service", "weight": 1.0, "startedAtMs": 0, **changes}

    def job(self) -> Job:
        return self.jobs.get(timeout=SOON)


class Directory:
    """Discovery: a list version, the latest changes, and watches that wait for the next version."""

    def __init__(self) -> None:
        directory = self
        self.calls: queue.Queue[tuple[float, str]] = queue.Queue()
        self.changed, self.version, self.news = threading.Condition(), 1, list[dict[str, Any]]()
        self.whole: list[dict[str, Any]] = []  # the list returned to a call without an index
        self.broken: list[bytes] = []  # answers to send instead of changes; empty for a 503
        self.silent = 0  # number of next calls to leave unanswered
        self.indent: int | None = None  # indentation of the JSON lists

        class Handler(Peer):
            def do_GET(self) -> None:
                silent, directory.silent = directory.silent, max(0, directory.silent - 1)
                directory.calls.put((time.monotonic(), self.path))
                if silent:
                    time.sleep(SOON)
                    return
                if directory.broken:
                    self.reply(*((503, b"") if (text := directory.broken.pop()) == b"" else (200, text)))
                    return
                _, watch, index = self.path.partition("index=")
                with directory.changed:
                    if watch:
                        since, wait = int(index.split("&")[0]), int(index.partition("wait=")[2] or 0) / 1000
                        directory.changed.wait_for(lambda: directory.version > since, wait)
                    listed = directory.news if watch else directory.whole
                    news = {"generation": directory.version, "reset": not watch, "instances": listed}
                self.reply(200, json.dumps(news, indent=directory.indent).encode())
                self.wfile.flush()

        self.server = Server(Handler)

    def publish(self, *entries: dict[str, Any]) -> None:
        """Change the list and answer the pending watches."""
        with self.changed:
            self.version, self.news = self.version + 1, list(entries)
            self.changed.notify_all()

    def tell(self, *entries: dict[str, Any]) -> None:
        """Publish a change and wait until the scheduler has read it and watches for the next one."""
        self.publish(*entries)
        while f"index={self.version}&" not in self.calls.get(timeout=SOON)[1]:
            pass


class Scheduler:
    """The real program, running as a process."""

    def __init__(self, folder: Path, hops: list[Hop], settings: dict[str, Any], sockets: int,
                 descriptors: int = 0, ini: str = "", listen: str = "127.0.0.1:0", name: str = "n1",
                 program: Sequence[str] = PROGRAM, accepts: int | None = None,
                 prepare: Callable[[Directory], None] | None = None) -> None:
        self.hops, self.directory, self.folder = hops, Directory(), folder
        self.directory.whole = [h.entry() for h in hops]
        if prepare:
            prepare(self.directory)
        self.config = {
            "name": name, "listen": listen, "discovery": self.directory.server.address, "seed": "8c1f",
            "limits": {"memory_mb": 192, "sockets": sockets}, "settings": SETTINGS | settings,
            "known": {"generation": 1, "reset": True, "instances": [h.entry() for h in hops]},
        }
        self.process = start(folder, self.config, descriptors, ini, program, accepts)
        assert self.process.stdout
        self.ports = json.loads(self.process.stdout.readline())
        self.port = self.ports["port"]
        if not prepare:  # wait until the program has its first answer and watches for changes
            assert until(lambda: self.directory.calls.qsize() > 1)
            self.directory.calls.get()

    def connect(self) -> HTTPConnection:
        return HTTPConnection("127.0.0.1", self.port, timeout=SOON)

    def submit(self, cls: str = "match-list", name: str = "", wait: str = "8000m", body: bytes = b"job",
               on: HTTPConnection | None = None, cost: str = "900", owner: str = "") -> HTTPConnection:
        """Send a job request; `getresponse()` on the returned connection waits for the answer."""
        connection = on or self.connect()
        given = {"Req-Id": name or os.urandom(8).hex(), "Req-Kind": cls, "Req-Deadline": wait}
        given |= {"Req-Cost": cost} | ({"Req-Owner": owner} if owner else {})
        connection.request("POST", f"/{cls}?a=1", body, given)
        return connection

    def get(self, path: str) -> HTTPResponse:
        connection = self.connect()
        connection.request("GET", path)
        return connection.getresponse()

    def counters(self) -> dict[str, int]:
        counters: dict[str, int] = json.loads(self.get("/counters").read())
        return counters

    def reload(self, text: str = "", **changes: Any) -> None:
        """Replace the configuration by `text`, or by the old one with `changes`, and send SIGHUP."""
        (self.folder / "new").write_text(text or json.dumps(self.config | changes))
        (self.folder / "new").rename(self.folder / "config.json")
        self.process.send_signal(signal.SIGHUP)

    def ask_to_stop(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def stopped(self) -> tuple[int, list[dict[str, Any]]]:
        """Wait for the process to exit; returns its exit code and the log lines not yet read."""
        out, _ = self.process.communicate(timeout=SOON)
        return self.process.returncode, [json.loads(line) for line in out.splitlines()]


def start(folder: Path, config: dict[str, Any], descriptors: int = 0, ini: str = "",
          program: Sequence[str] = PROGRAM, accepts: int | None = None) -> subprocess.Popen[str]:
    """Start the program with a configuration, an operators' INI file and a limit on descriptors (0: none).

    `accepts` is the descriptor of a listening socket that the program inherits.
    """
    def limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    path = folder / "config.json"
    path.write_text(json.dumps(config))
    (folder / "flintfield.ini").write_text(ini)
    ini_arguments = ["--ini", str(folder / "flintfield.ini")] if ini else []
    return subprocess.Popen([sys.executable, *program, *ini_arguments], cwd=ROOT, text=True,
                            stdout=subprocess.PIPE, stderr=subprocess.PIPE,
                            env={**os.environ, "LB_CONFIG": str(path), "PYTHONPATH": str(ROOT),
                                 **({} if accepts is None else {"LB_ACCEPT_FD": str(accepts)})},
                            pass_fds=() if accepts is None else (accepts,),
                            preexec_fn=limit if descriptors else None)


def until(true: Any, seconds: float = SOON) -> bool:
    """Poll a condition until it is true or the time is over; returns the last result."""
    ends = time.monotonic() + seconds
    while not true() and time.monotonic() < ends:
        time.sleep(0.01)
    return bool(true())


Start = Callable[..., Scheduler]
"""The fixture `begin`: starts a scheduler with these next hops."""


def ended(response: HTTPResponse) -> tuple[int, bytes]:
    """Read the complete response; returns its status and body."""
    return response.status, response.read()
