"""docs/system-operations.md is in step with the code: each counter and each command is explained there."""

from __future__ import annotations

import dataclasses
import re
import unittest
from pathlib import Path

from flintfield.console.application import COMMANDS
from flintfield.control.operator import OperatorCounters
from flintfield.coordination.shell.known_values import ValueCounters
from flintfield.coordination.storage.pool import PoolCounters
from flintfield.coordination.storage.store import StoreCounters
from flintfield.ingress.link import LinkCounters
from flintfield.ingress.messages import ListenerCounters
from flintfield.ingress.server import IngressCounters
from flintfield.jobs.state import Counters as DispatcherCounters
from flintfield.observe.history import HistoryCounters
from flintfield.transport.counters import Counters as TransportCounters

ROOT = Path(__file__).resolve().parents[2]
PAGE = (ROOT / "docs" / "system-operations.md").read_text()
PROGRAM = (ROOT / "flintfield" / "programs" / "scheduler.py").read_text()
PARTS = {
    "rpc_server": TransportCounters,
    "rpc_pool": TransportCounters,
    "ingress": IngressCounters,
    "ingress_listener": ListenerCounters,
    "dispatcher_link": LinkCounters,
    "values": ValueCounters,
    "operator": OperatorCounters,
    "dispatcher": DispatcherCounters,
    "history": HistoryCounters,
    "store": StoreCounters,
    "disk": PoolCounters,
}


class Page(unittest.TestCase):
    """The page and the code."""

    def test_the_parts_are_those_that_the_scheduler_watches(self) -> None:
        self.assertEqual(set(re.findall(r'observer\.watch\("(\w+)"', PROGRAM)), set(PARTS))

    def test_each_counter_is_explained_once_and_no_other(self) -> None:
        rows = [line.split("|")[1] for line in PAGE.splitlines() if re.match(r"\| `\w+\.\w+`", line)]
        on_page = [
            name for row in rows for name in re.findall(r"`(\w+\.\w+)`", row) if name.split(".")[0] in PARTS
        ]
        in_code = {
            f"{part}.{field.name}" for part, kind in PARTS.items() for field in dataclasses.fields(kind)
        }
        self.assertEqual((in_code - set(on_page), set(on_page) - in_code), (set(), set()))
        self.assertEqual(len(on_page), len(set(on_page)))

    def test_each_command_is_named(self) -> None:
        for command in COMMANDS:
            assert command.name is not None
            with self.subTest(command.name):
                self.assertRegex(PAGE, rf"`{command.name}[ `]")


if __name__ == "__main__":
    unittest.main()
