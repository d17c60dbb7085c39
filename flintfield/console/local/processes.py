"""The processes of a local cluster: begun here, and ended by their ids alone."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from flintfield.console.local.machines import HEARTBEAT_MS, SERVICE, Machine, Role, settings_text
from flintfield.runtime.settings import VARIABLE

ROOT = Path(__file__).resolve().parents[3]
WORKER_MODULE = "tests.system.support.worker"  # the stand-in worker that the tests use too
END_S = 12.0  # for all processes together, before they are killed
POLL_S = 0.02
KIND = "local-kind"  # a worker's first label; the second names its rack
RACKS = ("r1", "r2")  # of the workers in turn
SPECIAL_LABEL = "ssd"  # of every second worker


@dataclass(slots=True)
class ClusterProcess:
    """One process and what it was begun with."""

    name: str
    arguments: tuple[str, ...]
    environment: dict[str, str]
    log: Path
    handle: subprocess.Popen[bytes]
    expected_end: bool = False

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self.handle.poll() is None


class Processes:
    """All processes of one cluster; `folder` takes settings, data and logs."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._by_name: dict[str, ClusterProcess] = {}
        for part in ("settings", "logs", "data"):
            (folder / part).mkdir(parents=True, exist_ok=True)

    def start_machine(self, machine: Machine, seeds: tuple[str, ...], bootstrap: bool) -> None:
        """Write its settings file and begin its program."""
        path = self.write_settings(machine, seeds, bootstrap)
        if machine.replica:
            (self.folder / "data" / machine.name).mkdir(exist_ok=True)
        self._begin(machine.name, (machine.role.value,), {VARIABLE: str(path)})

    def write_settings(self, machine: Machine, seeds: tuple[str, ...], bootstrap: bool = False) -> Path:
        """Write its settings file anew; whoever runs reads it at SIGHUP."""
        path = self.folder / "settings" / f"{machine.name}.toml"
        draft = path.with_suffix(".draft")
        draft.write_text(settings_text(machine, seeds, self.folder, bootstrap))
        draft.replace(path)
        return path

    def start_worker(self, machine: Machine, index: int, *, tells_runs: bool = False) -> None:
        """Begin the stand-in worker beside an agent; its log tells each start and end if `tells_runs`."""
        if machine.role is not Role.AGENT:
            raise ValueError(f"{machine.name} has no worker")
        arguments = [
            WORKER_MODULE,
            "--app",
            machine.app,
            "--agent",
            machine.control,
            "--service",
            SERVICE,
            "--zone",
            machine.zone,
            "--heartbeat-ms",
            str(HEARTBEAT_MS),
            "--label",
            KIND,
            "--label",
            RACKS[index % len(RACKS)],
        ]
        if index % 2:
            arguments += ["--label", SPECIAL_LABEL]
        if tells_runs:
            arguments.append("--tell-runs")
        self._begin(worker_name(index), tuple(arguments), {})

    def kill(self, name: str) -> None:
        """End a process without notice, as a crash would."""
        process = self._by_name[name]
        process.expected_end = True
        process.handle.kill()
        process.handle.wait()

    def send(self, name: str, number: signal.Signals, *, ends: bool = False) -> bool:
        """Send a signal, after which the process may end if `ends`; False where it doesn't run."""
        process = self._by_name[name]
        if not process.running:
            return False
        process.expected_end = process.expected_end or ends
        process.handle.send_signal(number)
        return True

    def handles(self, name: str, number: signal.Signals) -> bool:
        """Whether the process runs and handles or ignores this signal by now (Linux)."""
        process = self._by_name[name]
        try:
            status = Path(f"/proc/{process.handle.pid}/status").read_text()
        except OSError:
            return False
        masks = dict(line.split(":", 1) for line in status.splitlines() if line.startswith("Sig"))
        known = int(masks["SigCgt"], 16) | int(masks["SigIgn"], 16)
        return bool(known >> (number - 1) & 1)

    def exit_code(self, name: str) -> int | None:
        """How it ended; None while it runs."""
        return self._by_name[name].handle.poll()

    def log(self, name: str) -> str:
        """What its lives have written."""
        return self._by_name[name].log.read_text(errors="replace")

    def unexpected_ends(self) -> list[ClusterProcess]:
        """Processes that have ended though nobody told them to."""
        return [
            process for process in self._by_name.values() if not process.running and not process.expected_end
        ]

    @property
    def running(self) -> int:
        """How many run."""
        return sum(process.running for process in self._by_name.values())

    def stop(self) -> None:
        """Tell all to end, wait, and kill what is left after `END_S`."""
        processes = list(self._by_name.values())
        for process in processes:
            process.expected_end = True
            if process.running:
                process.handle.send_signal(signal.SIGTERM)
        deadline_s = time.monotonic() + END_S
        while any(process.running for process in processes) and time.monotonic() < deadline_s:
            time.sleep(POLL_S)
        for process in processes:
            if process.running:
                process.handle.kill()
            process.handle.wait()

    def _begin(self, name: str, arguments: Sequence[str], variables: dict[str, str]) -> None:
        environment = {**os.environ, "PYTHONPATH": _module_path(), **variables}
        log = self.folder / "logs" / f"{name}.log"
        with log.open("ab") as output:
            handle = subprocess.Popen(
                (sys.executable, "-m", *arguments),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self._by_name[name] = ClusterProcess(name, tuple(arguments), environment, log, handle)


def worker_name(index: int) -> str:
    """The process name of the worker beside the agent with this position."""
    return f"worker-{index + 1}"


def _module_path() -> str:
    """Where the processes find this code and its libraries: as this process does."""
    return os.pathsep.join(str(Path(place).resolve()) for place in (str(ROOT), *sys.path) if place)
