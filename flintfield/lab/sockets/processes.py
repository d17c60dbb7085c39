"""The schedulers under test as processes: configuration, limits, signals, and what they took of the machine.

Each has a folder of its own with `config.json` and `out.log` (its standard output and error), kept if the
run's folder is. Limits are the operators': descriptors by RLIMIT_NOFILE; memory is looked at twice a second
and a scheduler over its limit is killed, as the platform does.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import resource
import signal
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from flintfield.lab.sockets.addresses import Address, text

SAMPLE_S = 0.25
_PAGE = os.sysconf("SC_PAGE_SIZE")
_libc = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1
_TICKS = os.sysconf("SC_CLK_TCK")

PROGRAM = (sys.executable, "-m", "flintfield")


@dataclass(slots=True)
class Usage:
    """What the processes of one scheduler took; `wait_ms` is time ready to run and without a core."""

    cpu_ms: float = 0.0
    wait_ms: float = 0.0
    peak_mb: float = 0.0


def read_usage(pid: int) -> tuple[float, float, float] | None:
    """CPU and run-queue wait in ms, resident memory in MB, of a live process; None where there is no such."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        memory = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE / 2**20
        wait = int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e6
    except (OSError, ValueError, IndexError):
        return None
    return (int(stat[11]) + int(stat[12])) * 1000.0 / _TICKS, wait, memory


def die_with_parent() -> None:
    """In a new process: be killed when the engine ends, however that does.

    Guards against schedulers that outlive an engine that was killed.
    """
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


class Scheduler:
    """One scheduler: its name and address stay, its processes come and go."""

    def __init__(self, place: int, name: str, zone: str, address: Address, folder: Path,
                 program: Sequence[str] = PROGRAM, limits: tuple[int, int] = (192, 1024)) -> None:
        self.place, self.name, self.zone, self.address, self.folder = place, name, zone, address, folder
        self._program = program
        self.usage = Usage()
        self.memory_mb, self.sockets = limits
        self.stopping = self.killed = self._ready = self._to_reload = False
        self._process: asyncio.subprocess.Process | None = None
        self._waiter: asyncio.Task[None] | None = None
        self._last = (0.0, 0.0)  # of the present process
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def alive(self) -> bool:
        """Whether its process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Of its process; 0 before the first start."""
        return self._process.pid if self._process else 0

    @property
    def serves(self) -> bool:
        """Whether its process runs and was not killed."""
        return self.alive and not self.killed

    def configure(self, config: dict[str, Any]) -> None:
        """Write its configuration, whole or not at all."""
        fresh = self.folder / "config.new"
        fresh.write_text(json.dumps(config))
        fresh.replace(self.folder / "config.json")

    async def start(self, config: dict[str, Any], ended: Callable[[Scheduler, int], None],
                    arguments: Sequence[str] = ()) -> None:
        """Start its process; `ended` is called with the exit code when that is over."""
        self.stopping = self.killed = self._ready = self._to_reload = False
        self.configure(config)
        environ = {**os.environ, "LB_CONFIG": str(self.folder / "config.json"), "LB_NAME": self.name,
                   "LB_LISTEN": text(self.address), "LB_DISCOVERY": str(config["discovery"])}
        with (self.folder / "out.log").open("ab") as out:
            process = await asyncio.create_subprocess_exec(
                *self._program, *arguments, stdin=asyncio.subprocess.DEVNULL, stdout=out, stderr=out,
                env=environ, preexec_fn=die_with_parent)
        self._process, self._last = process, (0.0, 0.0)
        with contextlib.suppress(ProcessLookupError):  # it may be over already
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (self.sockets, self.sockets))
        self._waiter = asyncio.get_running_loop().create_task(self._wait(process, ended))

    async def _wait(self, process: asyncio.subprocess.Process,
                    ended: Callable[[Scheduler, int], None]) -> None:
        ended(self, await process.wait())

    async def gone(self) -> None:
        """Wait until its process is over, and that is told."""
        if self._waiter:
            await asyncio.shield(self._waiter)

    def signal(self, number: int) -> None:
        """Send a signal, if it still runs."""
        if self._process and self._process.returncode is None:
            self.sample()
            self.stopping = self.stopping or number == signal.SIGTERM
            self.killed = self.killed or number == signal.SIGKILL
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    def be_ready(self) -> None:
        """It has said that it is ready."""
        self._ready = True
        if self._to_reload:
            self.reload()

    def reload(self) -> None:
        """Tell it to read its configuration again, once it is ready: before that SIGHUP would end it."""
        self._to_reload = not self._ready
        if self._ready:
            self.signal(signal.SIGHUP)

    def kill_unasked(self) -> None:
        """Kill it as the platform kills one over its memory: its end counts as its own."""
        if self._process:
            self._process.kill()

    def last_words(self) -> str:
        """Its exit code and the last line that it wrote."""
        code = self._process.returncode if self._process else None
        lines = (self.folder / "out.log").read_text("utf-8", "replace").strip().splitlines() or [""]
        return f"exit code {code}, {lines[-1][:200]}"

    def sample(self) -> float:
        """Note what it has taken so far; how long it waited for a core since the last sample, ms."""
        if self._process is None or (now := read_usage(self._process.pid)) is None:
            return 0.0
        cpu, wait, memory = now
        waited = max(0.0, wait - self._last[1])
        self.usage.cpu_ms += max(0.0, cpu - self._last[0])
        self.usage.wait_ms += waited
        self.usage.peak_mb = max(self.usage.peak_mb, memory)
        self._last = cpu, wait
        return waited

    def begin_count(self) -> None:
        """Forget what its start took."""
        self.sample()
        self.usage = Usage()

    @property
    def over_memory(self) -> bool:
        """Whether it holds more than its limit."""
        now = read_usage(self._process.pid) if self._process and self.alive else None
        return now is not None and now[2] > self.memory_mb
