"""Tests that fail because of a known fault, listed in KNOWN-RED.txt at the root: they run and must fail.

A line is `TEST | CAUSE | ISSUE`, where TEST is the pytest node id. The file has at most three lines. The run
fails if a listed test passes, or if a line is malformed or names no test; remove or correct the line then.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE, MOST = "KNOWN-RED.txt", 3


@dataclass(frozen=True)
class Known:
    """A parsed line of the file."""

    test: str
    cause: str
    issue: str


def read(path: Path) -> list[Known]:
    """Parse the file; a `UsageError` ends the run if it is malformed."""
    if not path.exists():
        return []
    known: list[Known] = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise pytest.UsageError(f"{FILE}:{number}: found {line!r}, expected TEST | CAUSE | ISSUE")
        known.append(Known(*parts))
    if len(known) > MOST or len({k.test for k in known}) < len(known):
        raise pytest.UsageError(f"{FILE}: found {len(known)} lines, expected at most {MOST}, each test once")
    return known


KNOWN = pytest.StashKey[list[Known]]()


def pytest_configure(config: pytest.Config) -> None:
    """Read the file once in each process of the run."""
    config.stash[KNOWN] = read(config.rootpath / FILE)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the known tests as expected failures, strictly."""
    by_name = {item.nodeid: item for item in items}
    for known in config.stash[KNOWN]:
        if item := by_name.get(known.test):
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"{known.issue}: {known.cause}"))
        elif config.args == config.getini("testpaths") and not config.getoption("keyword"):
            raise pytest.UsageError(f"{FILE}: found no test {known.test}, expected one of this run")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the known failing tests in the summary of each run."""
    for known in config.stash[KNOWN]:
        terminalreporter.write_line(f"known red: {known.test}: {known.cause} ({known.issue})")
