"""Tests that fail for a known fault, as KNOWN-RED.txt at the root lists them: they run, and must fail.

A line is `TEST | CAUSE | ISSUE`, TEST as pytest names it. At most three stand there. One that passes fails
the run, as does a line that is not well formed or names no test: it is to be taken out or mended then.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE, MOST = "KNOWN-RED.txt", 3


@dataclass(frozen=True)
class Known:
    """A line of the file."""

    test: str
    cause: str
    issue: str


def read(path: Path) -> list[Known]:
    """The file's lines; a `UsageError` ends the run where they are not as they must be."""
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
    """Read the file once for each process of the run."""
    config.stash[KNOWN] = read(config.rootpath / FILE)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Let the known ones run and fail, and nothing else."""
    by_name = {item.nodeid: item for item in items}
    for known in config.stash[KNOWN]:
        if item := by_name.get(known.test):
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"{known.issue}: {known.cause}"))
        elif config.args == config.getini("testpaths") and not config.getoption("keyword"):
            raise pytest.UsageError(f"{FILE}: found no test {known.test}, expected one of this run")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Name them, run by run."""
    for known in config.stash[KNOWN]:
        terminalreporter.write_line(f"known red: {known.test}: {known.cause} ({known.issue})")
