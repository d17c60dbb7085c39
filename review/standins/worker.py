"""A stand-in worker: what `PROTOCOL.md` says under "Running tasks" and "Service discovery", and no more."""

from __future__ import annotations

import contextlib
import http.client
import json
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

HOLD_MAX_MS = 10_000
STOP_MS = 200
BEAT_S = 1.5


@dataclass
class Run:
    """One run that is held here. `work_ms` 0: it lasts until it is stopped.

    The spec says what a task does, as "work_ms=500 fails=1 fail_ms=200": its first run fails after 200 ms,
    the others end `done` after 500 ms.
    """

    task: str
    number: int
    spec: str
    saved: str
    begun_ms: int
    work_ms: int
    how: str = "done"
    stop_at_ms: int | None = None


class Worker:
    """One life of a worker; its server runs in threads of this process."""

    def __init__(
        self,
        name: str,
        app: tuple[str, int],
        agent: tuple[str, int],
        labels: list[str],
        note: Callable[[str], None],
    ) -> None:
        self.name = name
        self.instance = f"i-{name}-{time.monotonic_ns() % 10**8:08d}"
        self.runs: dict[str, Run] = {}
        self.history: list[tuple[int, str, str, int, str]] = []  # ms, "start" or "end", task, run, how
        self.draining = False
        self._app = app
        self._agent = agent
        self._labels = labels
        self._note = note
        self._lock = threading.Condition()
        self._fence = 0
        self._expires_ms = 0
        self._last_seen = 0
        self._finished: list[list[Any]] = []
        self._number = 0
        self._over: dict[str, int] = {}  # the highest run that was stopped or ended, by task
        self._seq = 0
        self._beats = True
        self._alive = True
        self._server = ThreadingHTTPServer(app, _handler(self))
        self._server.daemon_threads = True
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()
        threading.Thread(target=self._watch, daemon=True).start()

    # Toward the agent.

    def deregister(self) -> int:
        """`POST /-/Instances.Deregister/ID`, and no heartbeats from now on; the status."""
        self._beats = False
        return self._tell(f"/-/Instances.Deregister/{self.instance}", {})

    def end(self) -> None:
        """The process ends; all that runs dies."""
        self._alive = self._beats = False
        self._server.shutdown()
        self._server.server_close()
        self._note(f"{self.name}: ends, with {len(self.runs)} tasks running")

    def running(self, job: str) -> list[str]:
        """The tasks of this job that run here now."""
        with self._lock:
            self._advance()
            return sorted(task for task in self.runs if task.startswith(job))

    def count(self, how: str) -> int:
        """How many runs have ended so."""
        return sum(1 for _, what, _, _, ended in self.history if what == "end" and ended == how)

    def history_of(self, job: str) -> list[tuple[int, str, int, str]]:
        """The starts and ends of a job's tasks: ms, start or end, run, how it ended."""
        return [(at, what, run, how) for at, what, task, run, how in self.history if task.startswith(job)]

    def longest_gap_s(self, task: str) -> float:
        """The longest time from an end of the task, other than `done`, to its next start, or to now."""
        seen = [entry for entry in self.history if entry[2] == task]
        gaps = [0.0]
        for at, (ended_ms, what, _, _, how) in enumerate(seen):
            if what == "end" and how != "done":
                later = [entry[0] for entry in seen[at + 1 :] if entry[1] == "start"]
                gaps.append((later[0] if later else _now()) - ended_ms)
        return max(gaps) / 1000

    def _beat(self) -> None:
        while self._alive:
            if self._beats:
                self._seq += 1
                fields = {
                    "service": "svc",
                    "address": f"{self._app[0]}:{self._app[1]}",
                    "zone": "zone-a",
                    "version": "v1",
                    "slots": 8,
                    "state": "draining" if self.draining else "ready",
                    "coldLeftMs": 0,
                    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
                    "labels": self._labels,
                    "clockMs": _now(),
                    "seq": self._seq,
                }
                self._tell(f"/-/Instances.Heartbeat/{self.instance}", fields)
            time.sleep(BEAT_S)

    def _tell(self, path: str, fields: dict[str, Any]) -> int:
        connection = http.client.HTTPConnection(*self._agent, timeout=1.0)
        try:
            connection.request("POST", path, json.dumps(fields), {"Content-Type": "application/json"})
            response = connection.getresponse()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    # Runs.

    def start(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """`/-/run-start`."""
        with self._lock:
            self._advance()
            if fields.get("fenceToken", 0) < self._fence:
                return 409, {"reason": "fence"}
            self._fence = fields.get("fenceToken", 0)
            task, number = fields["task"], fields["runId"]
            self._hold(fields["expiresMs"])
            known = self.runs.get(task)
            if known is not None and known.number == number:
                return 200, {}
            if known is not None or number <= self._over.get(task, 0):
                return 409, {"reason": "old"}
            if self._expires_ms <= _now():
                return 409, {"reason": "late"}
            words = {
                name: int(value)
                for name, _, value in (word.partition("=") for word in fields["spec"].split())
            }
            run = Run(
                task, number, fields["spec"], fields.get("checkpointed", ""), _now(), words.get("work_ms", 0)
            )
            if number <= words.get("fails", 0):
                run.work_ms, run.how = words["fail_ms"], "failed"
            self.runs[task] = run
            self.history.append((_now(), "start", task, number, ""))
            self._note(f"{self.name}: starts {task} run {number} (fence {self._fence})")
            return 200, {}

    def stop(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """`/-/run-stop`."""
        with self._lock:
            self._advance()
            if fields.get("fenceToken", 0) < self._fence:
                return 409, {"reason": "fence"}
            self._fence = fields.get("fenceToken", 0)
            task, number = fields["task"], fields["runId"]
            self._over[task] = max(number, self._over.get(task, 0))
            run = self.runs.get(task)
            if run is not None and run.number <= number and run.stop_at_ms is None:
                run.stop_at_ms = _now() + STOP_MS // 2
            self._note(f"{self.name}: told to stop {task} run {number}")
            return 200, {}

    def hold(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """`/-/hold`."""
        until = _now() + fields.get("waitMs", 0)
        with self._lock:
            self._advance()
            if fields.get("fenceToken", 0) < self._fence:
                return 409, {"reason": "fence"}
            self._fence = fields.get("fenceToken", 0)
            if "expiresMs" in fields:
                self._hold(fields["expiresMs"])
            self._last_seen = max(self._last_seen, fields.get("lastSeen", 0))
            self._finished = [end for end in self._finished if end[0] > self._last_seen]
            while not self._finished and _now() < until and self._alive:
                self._lock.wait(min(0.05, max(0.0, (until - _now()) / 1000)))
                self._advance()
            running = [[run.task, run.number, run.saved, self._percent(run)] for run in self.runs.values()]
            return 200, {"running": running, "finished": self._finished[:500]}

    def _percent(self, run: Run) -> int:
        return min(99, 100 * (_now() - run.begun_ms) // run.work_ms) if run.work_ms else 0

    def _hold(self, expires_ms: int) -> None:
        self._expires_ms = max(self._expires_ms, min(expires_ms, _now() + HOLD_MAX_MS))

    def _watch(self) -> None:
        while self._alive:
            with self._lock:
                self._advance()
            time.sleep(0.02)

    def _advance(self) -> None:
        now = _now()
        for run in list(self.runs.values()):
            if now >= self._expires_ms:
                self._end(run, "lapsed")
            elif run.stop_at_ms is not None and now >= run.stop_at_ms:
                self._end(run, "stopped")
            elif run.work_ms and now >= run.begun_ms + run.work_ms:
                self._end(run, run.how)

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._over[run.task] = max(run.number, self._over.get(run.task, 0))
        self._number += 1
        self._finished.append([self._number, run.task, run.number, how, run.saved])
        self.history.append((_now(), "end", run.task, run.number, how))
        self._note(f"{self.name}: {run.task} run {run.number} ends {how}")
        self._lock.notify_all()


def _now() -> int:
    return time.monotonic_ns() // 1_000_000


def _handler(worker: Worker) -> type[BaseHTTPRequestHandler]:
    calls = {"/-/run-start": worker.start, "/-/run-stop": worker.stop, "/-/hold": worker.hold}

    class Handler(BaseHTTPRequestHandler):
        """Answers the agent."""

        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def do_GET(self) -> None:
            """The health check."""
            self._answer(200, {})

        def do_POST(self) -> None:
            """One of the three calls."""
            body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
            call = calls.get(self.path)
            if call is None:
                self._answer(404, {})
            elif self.headers.get("X-Expected-Instance", worker.instance) != worker.instance:
                self._answer(421, {})
            else:
                status, fields = call(json.loads(body))
                self._answer(status, {"clockMs": _now(), **fields})

        def _answer(self, status: int, fields: dict[str, Any]) -> None:
            data = json.dumps(fields).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)
            self.wfile.flush()

        def handle(self) -> None:
            """Until the agent closes the connection, or its process ends."""
            with contextlib.suppress(ConnectionError):
                super().handle()

        def log_message(self, *_: Any) -> None:
            """Nothing; the record tells what happened."""

    return Handler
