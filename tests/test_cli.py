"""The command line: what it serves without click, its help, its exit codes."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import click
import pytest

from flintfield import __version__
from flintfield.cli import group
from flintfield.cli.group import COMMANDS, run_command
from flintfield.lifecycle.start import main
from peers import ROOT, SOON


def call(*arguments: str, **variables: str) -> tuple[int, str, str]:
    done = subprocess.run([sys.executable, "-m", "flintfield", *arguments], cwd=ROOT, text=True, timeout=SOON,
                          capture_output=True, env={**os.environ, **variables})
    return done.returncode, done.stdout, done.stderr


def test_every_command_of_the_table_is_there_and_tells_of_itself(capsys: pytest.CaptureFixture[str]) -> None:
    assert run_command(["--help"]) == 0
    page = capsys.readouterr().out
    for name in COMMANDS:
        assert f"\n  {name}" in page and "not here" not in page
        assert run_command([name, "--help"]) == 0
        assert f"Usage: flintfield {name}" in capsys.readouterr().out


def test_version_and_completion() -> None:
    assert call("--version") == (0, f"flintfield {__version__}\n", "")
    assert "_flintfield_completion" in call(_FLINTFIELD_COMPLETE="bash_source")[1]
    asked = {"_FLINTFIELD_COMPLETE": "bash_complete", "COMP_WORDS": "flintfield re", "COMP_CWORD": "1"}
    assert "replay" in call(**asked)[1]


@pytest.mark.parametrize("arguments", [
    ["--ini", "/none.ini"], ["run", "--ini", "/none.ini"], ["--ini=/none.ini"], ["--ini", "/none.ini", "run"],
    ["run", "--ini=/none.ini"],
])
def test_all_forms_serve_with_the_operators_file(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(arguments) == 2
    assert capsys.readouterr().err.startswith("flintfield: /none.ini: cannot be read: ")


@pytest.mark.parametrize(("arguments", "told"), [
    (["replay"], "flintfield replay: Missing argument 'FILE'."), (["nope"], "No such command 'nope'"),
    (["--nope"], "No such option '--nope'"), (["replay", "/none"], "flintfield replay: /none: "),
])
def test_bad_input_is_one_line_and_exit_code_2(
    arguments: list[str], told: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_command(arguments) == 2
    errors = capsys.readouterr().err
    assert told in errors and errors.count("\n") == 1


def test_a_command_that_lacks_a_package_says_so_and_hides_no_other(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    (tmp_path / "lacks_it.py").write_text("import no_such_package\n")
    monkeypatch.syspath_prepend(tmp_path)
    monkeypatch.setattr(group, "COMMANDS", {"lab": "lacks_it:lab", "replay": COMMANDS["replay"]})
    assert run_command(["--help"]) == 0
    page = capsys.readouterr().out
    assert "not here: needs the package no_such_package" in page and "replay" in page
    assert run_command(["lab", "--seed", "1"]) == 1
    assert "lab needs the package no_such_package" in capsys.readouterr().err


def test_a_scheduler_at_work_holds_no_command_line() -> None:
    code = "import sys, flintfield.lifecycle.start as s; s.main(['--ini', '/none']); print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, text=True, capture_output=True)
    there = done.stdout.split()
    assert click.__name__ not in there and "argparse" not in there and "flintfield.cli" not in there
