"""Starts the parties of a measurement as processes of their own, and reads what they cost.

The measured process has a core to itself, as a scheduler has in service; the stand-ins behind it and the
callers before it have others, so that they are never the limit.
"""

from __future__ import annotations

import json
import os
import resource
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
CLASSES = [
    {"name": "match-list", "aim_ms": 4000, "hard_limit_ms": 8000, "worth": 1, "effect": "free"},
    {"name": "social-booking", "aim_ms": 4000, "hard_limit_ms": 20000, "worth": 10, "effect": "single_shot"},
]
SETTINGS: dict[str, Any] = {
    "request_classes": CLASSES,
    "areas": ["a", "b"],
    "shapes": ["m"],
    "membership_mode": "subscribe",
    "family_info": {"tells_start": True, "report_x0": "free slots"},
    "replicas_of_me": 1,
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
    "rules": {"drain_grace_ms": 400, "ask_within_ms": 2000},
}


def _core(part: float) -> set[int]:
    """One core of those we may use, at that part of their row."""
    cores = sorted(os.sched_getaffinity(0))
    return {cores[int(part * len(cores))]}


@dataclass(slots=True)
class Running:
    """A process that was started, and the JSON line it began with."""

    process: subprocess.Popen[str]
    told: dict[str, Any] = field(default_factory=dict)

    @property
    def cpu_s(self) -> float:
        """The processor time that its threads have had so far, in seconds, to the nanosecond."""
        threads = Path(f"/proc/{self.process.pid}/task").iterdir()
        return sum(int((thread / "schedstat").read_text().split()[0]) for thread in threads) / 1e9

    @property
    def resident_kib(self) -> int:
        """Its resident memory, in KiB."""
        return self._kib("VmRSS:")

    @property
    def most_resident_kib(self) -> int:
        """The most resident memory it has ever had, in KiB."""
        return self._kib("VmHWM:")

    def _kib(self, name: str) -> int:
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(name):
                return int(line.split()[1])
        raise OSError("the process has no memory any more")


class Stage:
    """Starts processes that end with it."""

    def __init__(self) -> None:
        self._stack = ExitStack()

    def __enter__(self) -> Stage:
        """Raise the limit of descriptors as far as we may: processes inherit it."""
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        return self

    def __exit__(self, *_: object) -> None:
        """End what was started, last first."""
        self._stack.close()

    def start(
        self, command: Sequence[str], part: float, environ: dict[str, str] | None = None, descriptors: int = 0
    ) -> Running:
        """Start a Python module on a core of its own and read its first line; 0 descriptors: as ours."""
        cores = _core(part)

        def limit() -> None:
            os.sched_setaffinity(0, cores)
            if descriptors:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        process = subprocess.Popen(
            [sys.executable, "-m", *command],
            cwd=ROOT,
            text=True,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={**os.environ, **(environ or {})},
            preexec_fn=limit,
        )
        self._stack.callback(_end, process)
        running = Running(process)
        running.told = json.loads(_line(process))
        return running

    def nodes(self, **parts: Any) -> Running:
        """Worker nodes and discovery; `parts` as in `standins.Parts`."""
        return self.start(["benchmarks.standins", json.dumps(parts)], 0.35)

    def scheduler(
        self, behind: Running, sockets: int = 20_000, descriptors: int = 0, ini: str = "", **settings: Any
    ) -> Running:
        """The program, listing the nodes that are behind it; `settings` go over those of `SETTINGS`."""
        folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        config = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "discovery": behind.told["discovery"],
            "seed": "8c1f",
            "limits": {"sockets": sockets},
            "settings": SETTINGS | settings,
            "known": {"generation": 1, "reset": True, "instances": behind.told["entries"]},
        }
        (folder / "config.json").write_text(json.dumps(config))
        (folder / "flintfield.ini").write_text(ini)
        named = ["--ini", str(folder / "flintfield.ini")] if ini else []
        return self.start(
            ["flintfield", *named], 0.0, {"LB_CONFIG": str(folder / "config.json")}, descriptors
        )

    def yardstick(self, which: str, behind: Running) -> Running:
        """One of `benchmarks/yardsticks.py` before the nodes."""
        return self.start(["benchmarks.yardsticks", which, *behind.told["nodes"]], 0.0)

    @contextmanager
    def callers(self, target: Running, part: float = 0.7, **load: Any) -> Iterator[Callers]:
        """Callers of a target; `load` as in `callers.Load`."""
        given = {"address": f"127.0.0.1:{target.told['port']}"} | load
        process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.callers", json.dumps(given)],
            cwd=ROOT,
            text=True,
            stdout=subprocess.PIPE,
            preexec_fn=lambda: os.sched_setaffinity(0, _core(part)),
        )
        try:
            yield Callers(process, target)
        finally:
            _end(process)

    def call(self, target: Running, part: float = 0.7, **load: Any) -> dict[str, Any]:
        """Play such a load to its end: what the callers saw, and the target's `cpu_us` for each request."""
        with self.callers(target, part, **load) as callers:
            return callers.told()


class Callers:
    """Callers at work."""

    def __init__(self, process: subprocess.Popen[str], target: Running) -> None:
        self._process, self._target = process, target
        _line(process)  # from here on they count
        self._began = time.perf_counter()
        self._cpu = target.cpu_s

    def told(self) -> dict[str, Any]:
        """Wait for their end: what they saw, and what the target took."""
        _line(self._process)
        passed, cpu = time.perf_counter() - self._began, self._target.cpu_s - self._cpu
        seen: dict[str, Any] = json.loads(_line(self._process))
        seen["busy"] = cpu / passed
        seen["cpu_us"] = cpu / max(1, seen["requests"]) * 1e6
        return seen


def _line(process: subprocess.Popen[str]) -> str:
    assert process.stdout
    if line := process.stdout.readline():
        return line
    raise OSError(f"{process.args!r}: ended without a word")


def _end(process: subprocess.Popen[str]) -> None:
    process.kill()
    process.communicate()
