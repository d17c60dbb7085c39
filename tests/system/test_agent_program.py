"""The agent's program as a process: settings, signals, heartbeats."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PATIENCE_S = 20.0


def settings_text(control: str) -> str:
    """A settings file of an agent whose seeds nobody serves."""
    return (
        f'nodeName = "side-1"\nrole = "agent"\nmachineClass = "side"\nserves = ["side"]\n'
        f'ip = "127.0.0.1"\nzone = "z"\nregion = "r"\nportRange = [7660, 7675]\nseeds = ["127.0.0.1:1"]\n'
        f'app = "127.0.0.1:2"\nservice = "s"\nheartbeatMs = 1500\n[listen]\n{control}'
    )


def free_port() -> int:
    """A port that nobody listens on now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class AgentProgram(unittest.TestCase):
    """One process."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "node.toml"

    def begin(self, text: str) -> subprocess.Popen[str]:
        """Start the program with this settings file."""
        self.path.write_text(text)
        environment = {**os.environ, "FLINTFIELD_CONFIG": str(self.path)}
        process = subprocess.Popen(
            [sys.executable, "-m", "flintfield.programs.agent"],
            cwd=ROOT,
            env=environment,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        assert process.stderr is not None
        self.addCleanup(process.stderr.close)
        return process

    def until_line(self, process: subprocess.Popen[str], event: str) -> None:
        """Read its log up to this event."""
        assert process.stderr is not None
        for line in process.stderr:
            if f'"event": "{event}"' in line:
                return
        self.fail(f"no line {event}")

    def test_it_serves_reloads_and_ends(self) -> None:
        port = free_port()
        process = self.begin(settings_text(f'control = "127.0.0.1:{port}"\n'))
        self.until_line(process, "started")
        body = b'{"state":"ready","seq":1}'
        with socket.create_connection(("127.0.0.1", port), PATIENCE_S) as worker:
            worker.sendall(
                b"POST /-/Instances.Heartbeat/i-1 HTTP/1.1\r\nHost: x\r\nContent-Length: "
                + str(len(body)).encode()
                + b"\r\n\r\n"
                + body
            )
            self.assertTrue(worker.recv(100).startswith(b"HTTP/1.1 200"))
        process.send_signal(signal.SIGHUP)
        self.until_line(process, "seeds")
        self.path.write_text("seeds = 5")
        process.send_signal(signal.SIGHUP)
        self.until_line(process, "settings_kept")
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(PATIENCE_S))

    def test_faulty_settings_end_it(self) -> None:
        for text in ("nodeName = 5", settings_text("")):
            with self.subTest(text[:20]):
                process = self.begin(text)
                self.assertEqual(2, process.wait(PATIENCE_S))


if __name__ == "__main__":
    unittest.main()
