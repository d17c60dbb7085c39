"""docs/system-logs.md is in step with the code: every event that a process may log, and no other."""

from __future__ import annotations

import ast
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "system-logs.md"
PACKAGES = (
    "agent",
    "control",
    "coordination",
    "dispatch",
    "ingress",
    "jobs",
    "observe",
    "placement",
    "programs",
    "runtime",
    "transport",
)
LOGGERS = {"LOG", "_log", "log", "logger", "_logger", "LOGGER", "self._log", "self._logger"}
LEVELS = {"debug", "info", "warning", "error", "exception", "critical"}
ROW = re.compile(r"^\| `([^`]+)` \| (\w+) \|", re.MULTILINE)


def events_of(source: str) -> set[tuple[str, str]]:
    """The events that a module logs: name and level."""
    return {
        event
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.Call)
        for event in _event_of(node)
    }


def _event_of(call: ast.Call) -> list[tuple[str, str]]:
    function = call.func
    if ast.unparse(function) in ("logs.event", "event") and len(call.args) >= 2:
        return [(name, _level(call)) for name in _texts(call.args[1])]
    if not isinstance(function, ast.Attribute) or function.attr not in LEVELS or not call.args:
        return []
    if ast.unparse(function.value) not in LOGGERS:
        return []
    level = "error" if function.attr == "exception" else function.attr
    return [(name, level) for name in _texts(call.args[0])]


def _texts(node: ast.expr) -> list[str]:
    """The constant texts that the expression may be; both of a choice."""
    if isinstance(node, ast.IfExp):
        return [*_texts(node.body), *_texts(node.orelse)]
    return [node.value] if isinstance(node, ast.Constant) and isinstance(node.value, str) else []


def _level(call: ast.Call) -> str:
    for keyword in call.keywords:
        if keyword.arg == "level":
            return ast.unparse(keyword.value).rpartition(".")[2].lower()
    return "info"


def events_in_code() -> dict[tuple[str, str], str]:
    """Every event, and the module that logs it."""
    found = {}
    for package in PACKAGES:
        for path in sorted((ROOT / "flintfield" / package).rglob("*.py")):
            for event in events_of(path.read_text()):
                found[event] = str(path.relative_to(ROOT))
    return found


class Events(unittest.TestCase):
    """The page and the sources."""

    def test_every_event_in_the_code_is_on_the_page_and_no_other(self) -> None:
        on_page = {(name, level) for name, level in ROW.findall(PAGE.read_text())}
        in_code = events_in_code()
        missing = {event: in_code[event] for event in in_code.keys() - on_page}
        self.assertEqual((missing, on_page - in_code.keys()), ({}, set()))

    def test_each_event_is_on_the_page_once(self) -> None:
        rows = ROW.findall(PAGE.read_text())
        self.assertEqual(len(rows), len(set(rows)))

    def test_the_forms_of_logging_are_found(self) -> None:
        source = (
            'logs.event(LOG, "one", count=1)\nlogs.event(LOG, "two", level=logging.WARNING)\n'
            'logger.exception("three")\n_log.error("four", extra={})\nprint("five")\n'
            'LOG.info("six" if bad else "seven")'
        )
        self.assertEqual(
            events_of(source),
            {
                ("one", "info"),
                ("two", "warning"),
                ("three", "error"),
                ("four", "error"),
                ("six", "info"),
                ("seven", "info"),
            },
        )


if __name__ == "__main__":
    unittest.main()
