"""Capture and replay: alone, and with the real program, its signals and its command line."""

from __future__ import annotations

import fcntl
import json
import signal
import subprocess
import sys
import time
import tomllib
from collections.abc import Iterator
from importlib import import_module
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, strategies as st

from flintfield.capture.files import Files
from flintfield.capture.recorder import Recorder, Start as Told
from flintfield.capture.replay import MARK, Replay
from flintfield.capture.ring import Ring
from flintfield.decision.interface import ListMode
from flintfield.lifecycle.operators import read_operators
from flintfield.lifecycle.start import main
from flintfield.memory.messages import RouteUpdate
from flintfield.memory.state import State
from peers import ROOT, SETTINGS, SOON, Hop, Scheduler, Start, ended, start
from test_checkpoint import RICH
from test_memory import Memory, Script, route

MARKER = MARK.decode() + "\n"


def replayed(lines: list[bytes]) -> tuple[list[str], list[str]]:
    """The differences that a replay tells, and its warnings."""
    warnings: list[str] = []
    return list(Replay(warnings.append).differences(lines)), warnings


class Recorded(Memory):
    """A reducer with a ring on its tap."""

    def __init__(self, size: int, hops: int = 3, **settings: Any) -> None:
        self.ring = Ring(size)
        super().__init__(hops, lambda state: self._hang_on(state, size, settings), **settings)

    def _hang_on(self, state: State, size: int, settings: dict[str, Any]) -> None:
        recorder = Recorder(state, Told("n1", "0", 1, SETTINGS | settings), self.ring, size)

        def tap(*seen: Any) -> None:
            recorder.record(*seen)
            assert sum(map(len, self.lines())) <= self.ring.size <= size

        state.tap = tap

    def lines(self) -> list[bytes]:
        return b"".join(self.ring.copy()).splitlines(keepends=True)


# ----------------------------------------------------------------- the ring alone


@pytest.mark.parametrize("size", [13_000, 40_000, 524_288])
@pytest.mark.parametrize("settings", [{}, RICH], ids=["plain", "rich"])
@given(steps=st.lists(st.integers(0, 999), min_size=5, max_size=150))
def test_whatever_was_recorded_a_replay_decides_the_same(
    settings: dict[str, Any], size: int, steps: list[int]
) -> None:
    memory = Recorded(size, **settings)
    script = Script(memory)
    for n in steps:
        script.step(n)
    memory.until(memory.now + 1000)
    assert memory.state.counters["defects"] == 0
    lines = memory.lines()
    assert json.loads(lines[0])["record"] == "header"
    assert replayed(lines) == ([], [])


def wrapped(size: int = 30_000, **settings: Any) -> Recorded:
    """A ring that has dropped its first records, with jobs that are held and jobs in work."""
    memory = Recorded(size, **settings)
    for n in range(60):
        memory.submit(n + 1, cls=n % 2, wait_ms=9000.0)
        memory.until(memory.now + 80)
    header = json.loads(memory.lines()[0])
    assert header["after"] > 0 and "omitted" not in header and header["state"] != "fresh"
    return memory


def test_after_a_wrap_the_header_holds_seed_settings_and_the_list_as_it_stood() -> None:
    memory = Recorded(30_000)
    memory.take(RouteUpdate(ListMode.FULL, 9, (route(2), route(5)), memory.state.calls))
    memory.until(memory.now + 80_000)
    header, first = (json.loads(line) for line in memory.lines()[:2])
    assert (header["seed"], header["settings"]) == ("1", SETTINGS)
    assert [s["instanceId"] for s in header["servers"]] == ["s-2", "s-5"]
    assert header["servers"][1]["hostPort"] == "127.0.0.1:5" and first["n"] == header["after"] + 1


@pytest.mark.parametrize("key", ["instance", "outcome"])
def test_a_decision_that_was_altered_is_printed(key: str) -> None:
    lines = wrapped().lines()
    at, told = next((i, json.loads(x)) for i, x in enumerate(lines) if b'"outcome":"sent"' in x)
    new = {"instance": "s-5be2a07c", "outcome": "refused"}[key]
    lines[at] = json.dumps(told | {key: new}).encode() + b"\n"
    assert replayed(lines) == ([f"{told['Req-Id']} {new} -> {told['instance']}"], [])


def test_a_decision_that_is_missing_or_too_many_is_printed() -> None:
    lines = wrapped().lines()
    at, told = next((i, json.loads(x)) for i, x in enumerate(lines) if b'"outcome":"sent"' in x)
    assert replayed(lines[:at] + lines[at + 1:])[0] == [f"{told['Req-Id']} none -> {told['instance']}"]
    again = replayed(lines[:at] + lines[at:at + 1] + lines[at:])[0]
    assert again == [f"{told['Req-Id']} {told['instance']} -> none"]


@pytest.mark.parametrize("what", ['"record":"timer"', '"outcome":"sent"', '"record":"request"'])
def test_a_truncated_line_is_skipped_with_a_warning(what: str) -> None:
    lines = wrapped().lines()
    at = max(i for i, line in enumerate(lines) if what.encode() in line)
    found, warnings = replayed([*lines[:at], lines[at][:len(lines[at]) // 2] + b"\n", *lines[at + 1:]])
    assert f"line {at + 1} cannot be read" in warnings[0]
    assert what == '"record":"request"' or found == []
    assert replayed([*lines[:-1], lines[-1][:-9]])[0] == []


def test_a_state_that_does_not_fit_is_named_in_the_header_and_warned_of() -> None:
    memory = Recorded(6_000)
    for n in range(60):
        memory.submit(n + 1, wait_ms=9000.0)
        memory.until(memory.now + 80)
    assert json.loads(memory.lines()[0])["omitted"] == ["state"]
    assert "lacks state" in replayed(memory.lines())[1][0]


def test_a_ring_without_a_record_and_settings_beyond_json_do_no_harm() -> None:
    assert Ring(30_000).copy() == []
    memory = Recorded(30_000, odd=float("nan"), other=float("inf"))
    memory.submit(1)
    assert memory.state.tap and replayed(memory.lines()) == ([], [])


def test_one_event_larger_than_the_ring_leaves_a_header_that_stands_for_it() -> None:
    memory = Recorded(30_000)
    memory.take(RouteUpdate(ListMode.FULL, 9, tuple(route(n) for n in range(1, 400)),
                          memory.state.calls))
    header = json.loads(memory.lines()[0])
    assert len(memory.lines()) == 1 and header["omitted"] == ["state", "servers"]
    memory.take(RouteUpdate(ListMode.FULL, 10, tuple(route(n) for n in range(1, 4)), memory.state.calls))
    memory.until(memory.now + 80_000)  # past a wrap: a header that is whole stands first
    assert replayed(memory.lines()) == ([], [])


# -------------------------------------------------------------------- the files


def put(files: Files, count: int, size: int = 100) -> None:
    """That many events of so many bytes, as the recorder hands them over."""
    files.begin(b"header\n")
    for _ in range(count):
        if files.add(b"x" * (size - 1) + b"\n"):
            files.begin(b"header\n")
        files.flush(SOON)


def test_files_rotate_go_on_counting_and_the_oldest_go(tmp_path: Path) -> None:
    (tmp_path / "cap-notes.jsonl").write_text("of others")
    for last in (5, 10):
        put(Files(tmp_path, 3, 1000, pytest.fail), 45)
        there = sorted(p.name for p in tmp_path.glob("cap-0*"))
        assert there == [f"cap-{n:04}.jsonl" for n in range(last - 2, last + 1)]
        assert all(p.read_bytes().startswith(b"header\n") for p in tmp_path.glob("cap-0*"))
        assert all(p.stat().st_size <= 1100 for p in tmp_path.glob("cap-0*"))


def test_a_disk_that_fails_is_told_once_and_a_later_file_is_written(tmp_path: Path) -> None:
    told: list[str] = []
    files = Files(folder := tmp_path / "there", 3, 1000, told.append)
    folder.rmdir()
    put(files, 45)
    assert len(told) == 1
    folder.mkdir()
    put(files, 5)
    assert len(told) == 1 and next(folder.glob("cap-*")).read_bytes().count(b"\n") == 6


def test_a_disk_that_hangs_holds_no_more_than_a_file_in_memory(tmp_path: Path) -> None:
    files = Files(tmp_path, 3, 1000, pytest.fail)
    with files._background._changed:  # the thread waits as for a disk
        files.begin(b"header\n")
        wants = [files.add(b"y" * 99 + b"\n") for _ in range(100)]
        assert files._background.held <= 1100 and not any(wants[9:])
    files.flush(SOON)
    assert files.add(b"late\n")  # wants a new header: what was left out must not be missed
    put(files, 1)
    assert b"late" not in b"".join(p.read_bytes() for p in tmp_path.glob("cap-*"))


# ------------------------------------------------------------- the real program


def serve(scheduler: Scheduler, hop: Hop, jobs: int) -> None:
    caller = None
    for n in range(jobs):
        caller = scheduler.submit(("match-list", "social-booking")[n % 2], f"{n:04x}", on=caller)
        hop.job().say("done", result="ok")
        assert ended(caller.getresponse()) == (200, b"ok")


def copied(scheduler: Scheduler) -> Iterator[str]:
    """Ask for a copy, and read it with its markers."""
    scheduler.process.send_signal(signal.SIGUSR2)
    assert scheduler.process.stderr
    markers = 0
    for line in scheduler.process.stderr:
        markers += line == MARKER
        yield line
        if markers == 2:
            return


def replay(path: Path) -> tuple[int, str, str]:
    done = subprocess.run([sys.executable, "-m", "flintfield", "replay", str(path)], cwd=ROOT, text=True,
                          capture_output=True, timeout=SOON)
    return done.returncode, done.stdout, done.stderr


def test_a_run_past_a_wrap_is_copied_on_sigusr2_and_replays_to_nothing(begin: Start, tmp_path: Path) -> None:
    scheduler = begin(hop := Hop(), ini="[capture]\nring_kib = 32\n[access]\n")
    serve(scheduler, hop, 60)
    waits = scheduler.submit("social-booking", "beef")  # one that is in work
    hop.job().say("started")
    time.sleep(0.3)
    text = list(copied(scheduler))
    first = text.index(MARKER) + 1
    header = json.loads(text[first])
    assert header["after"] > 0 and header["seed"] == "8c1f" and header["servers"][0]["instanceId"] == "s-1"
    assert sum(map(len, text[first:-1])) <= 32 * 1024
    kinds = {json.loads(line)["record"] for line in text[first:-1]}
    assert kinds >= {"header", "request", "answer", "decision", "timer", "probe", "progress"}
    (path := tmp_path / "copy").write_text("".join(text))  # log lines stand before the first marker
    assert first > 1 and replay(path) == (0, "", "")
    at = next(i for i, line in enumerate(text) if '"outcome":"sent"' in line)
    told = json.loads(text[at])
    text[at] = json.dumps(told | {"instance": "s-5be2a07c"}) + "\n"
    path.write_text("".join(text))
    assert replay(path) == (1, f"{told['Req-Id']} s-5be2a07c -> s-1\n", "")
    waits.close()
    assert len(list(copied(scheduler))) > 2  # another copy may follow


def test_files_hold_the_run_and_each_replays_from_its_own_header(begin: Start, tmp_path: Path) -> None:
    folder = tmp_path / "records"
    scheduler = begin(hop := Hop(), ini=f"[capture]\nring_kib = 16\ndir = {folder}\nfiles = 3\n")
    serve(scheduler, hop, 140)
    scheduler.process.send_signal(signal.SIGUSR2)  # there is no ring to copy
    scheduler.ask_to_stop()
    assert scheduler.stopped()[0] == 0
    files = sorted(folder.iterdir())
    assert len(files) == 3 and files[0].name > "cap-0001.jsonl"
    assert [replay(path) for path in files] == [(0, "", "")] * 3
    files[2].write_bytes(files[2].read_bytes()[:-30])
    code, printed, warning = replay(files[2])
    assert (code, printed) == (0, "") and "cannot be read, skipped" in warning


def test_a_copy_that_nobody_reads_stalls_no_job_no_second_signal_and_no_end(begin: Start) -> None:
    scheduler = begin(hop := Hop(), ini="[capture]\n")
    assert scheduler.process.stderr
    fcntl.fcntl(scheduler.process.stderr, fcntl.F_SETPIPE_SZ, 4096)
    serve(scheduler, hop, 20)  # far more than the pipe holds
    for _ in range(2):
        scheduler.process.send_signal(signal.SIGUSR2)
        time.sleep(0.2)
    began = time.monotonic()
    serve(scheduler, hop, 3)
    assert time.monotonic() - began < 1
    counters = scheduler.counters()
    assert (counters["capture.copies"], counters["capture.copies_refused"]) == (1, 1)
    scheduler.ask_to_stop()
    assert scheduler.process.wait(SOON) == 0


def test_without_its_section_the_signal_ends_the_program_as_ever(begin: Start) -> None:
    scheduler = begin(Hop(), ini="[jobstatus]\n")
    scheduler.process.send_signal(signal.SIGUSR2)
    assert scheduler.process.wait(SOON) == -signal.SIGUSR2


@pytest.mark.parametrize("text", [
    None, "", "no record\n", '{"record":"timer","n":1,"at":1,"token":0}\n', '{"record":"header","at',
])
def test_without_a_file_or_a_header_a_replay_exits_with_2(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "cap-0001.jsonl"
    if text is not None:
        path.write_text(text)
    code, printed, errors = replay(path)
    assert (code, printed) == (2, "") and str(path) in errors.splitlines()[-1]


@pytest.mark.parametrize("line", [
    "ring_kib = 3", "ring_kib = many", "files = 0", "dir =", "dir = /dev/null/x",
])
def test_a_bad_setting_is_named_with_exit_code_2(begin: Start, tmp_path: Path, line: str) -> None:
    config = begin(Hop()).config
    _, errors = (process := start(tmp_path, config, ini=f"[capture]\n{line}\n")).communicate(timeout=SOON)
    assert process.returncode == 2 and f"[capture] {line.split()[0]}:" in errors and errors.count("\n") == 1


def test_the_command_that_build_installs_is_the_programs_own() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    module, _, name = project["scripts"]["flintfield"].partition(":")
    assert getattr(import_module(module), name) is main
    build = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["build"]
    assert "-e ." in build and ".venv/bin/flintfield" in build


def test_in_service_only_capture_is_on() -> None:
    on = read_operators(str(ROOT / "deploy/flintfield.ini"))
    assert [name for name in on.__dataclass_fields__ if getattr(on, name)] == ["capture"]
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    assert run.endswith("--ini deploy/flintfield.ini")
