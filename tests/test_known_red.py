"""Handling of KNOWN-RED.txt, the list of tests that are known to fail."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
TESTS = "def test_red():\n    assert 0\n\ndef test_green():\n    pass\n\ndef test_other():\n    pass\n"
LINE = "test_it.py::{} | a fault | issue 1\n"


def run(folder: Path, known: str, tests: str = TESTS) -> tuple[int, str]:
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = .\n")
    (folder / "conftest.py").write_text('pytest_plugins = ["support.known_red"]\n')
    (folder / "test_it.py").write_text(tests)
    (folder / "KNOWN-RED.txt").write_text(known)
    done = subprocess.run([sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"], cwd=folder,
                          env={"PYTHONPATH": str(HERE)}, capture_output=True, text=True)
    return done.returncode, done.stdout + done.stderr


def test_a_known_failing_test_runs_and_is_reported(tmp_path: Path) -> None:
    code, output = run(tmp_path, LINE.format("test_red"))
    assert code == 0 and "2 passed, 1 xfailed" in output
    assert "known red: test_it.py::test_red: a fault (issue 1)" in output


@pytest.mark.parametrize(("known", "expected"), [
    ("", "1 failed, 2 passed"),
    (LINE.format("test_green"), "XPASS(strict)"),
    (LINE.format("test_gone"), "found no test test_it.py::test_gone"),
    ("test_it.py::test_red | a fault\n", "KNOWN-RED.txt:1: found 'test_it.py::test_red | a fault'"),
    ("test_it.py::test_red |  | issue 1\n", "expected TEST | CAUSE | ISSUE"),
    ("\n", "KNOWN-RED.txt:1: found ''"),
    (LINE.format("test_red") * 2, "each test once"),
    ("".join(LINE.format(n) for n in ("a", "b", "c", "d")), "found 4 lines, expected at most 3"),
])
def test_malformed_lists_and_other_results_fail_the_run(tmp_path: Path, known: str, expected: str) -> None:
    code, output = run(tmp_path, known)
    assert code != 0 and expected in output


def test_an_unlisted_failing_test_still_fails_the_run(tmp_path: Path) -> None:
    code, output = run(tmp_path, LINE.format("test_red"), TESTS + "\ndef test_new():\n    assert 0\n")
    assert code == 1 and "1 failed, 2 passed, 1 xfailed" in output
