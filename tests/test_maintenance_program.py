"""Maintenance in the real program: orders by hand, a trial with faults between processes, planted faults."""

from __future__ import annotations

import subprocess
import sys
import time
from pathlib import Path

import pytest

from flintfield.cli.group import run_command
from flintfield.lab.fleet import plan as plans
from flintfield.lab.fleet.judge import Outcome
from flintfield.lab.fleet.plan import Kill, Plan, Stop
from peers import ROOT, SETTINGS, SOON, Hop, Scheduler, start, until
from support.fleet import played

BOOK = """
at_once = 1
[[nodes]]
name = "s-1"
slots = 1
[[nodes]]
name = "s-2"
slots = 1
[[agreements]]
name = "all"
keep_slots = 1
"""


def short(planted: dict[str, str] | None = None) -> Plan:
    """Five instances for some 20 s, two of them executors."""
    plan = plans.load("maintenance")
    plan.set |= {"length_s": 18.0, "tail_s": 4.0, "schedulers.count": 5, "fleet.nodes": 4, "load.per_s": 20.0,
                 "classes.0.deadline_ms": 2_000.0, "classes.1.deadline_ms": 2_000.0}
    plan.sections["maintenance"] = {"places": 2, "unattended_s": 0.5, "longest_s": 2}
    plan.maintenance = {"agreements": [{"name": "matches", "keep_slots": 3}],
                        "works": [{"name": "disks", "nodes": ["n0000", "n0001"], "minutes": 5}]}
    plan.faults, plan.planted = [], planted or {}
    return plan


def backs(outcome_folder: Path) -> int:
    """Nodes that came back from work, by the instances' own lines."""
    return sum(path.read_text("utf-8", "replace").count('event="maintenance: back"')
               for path in outcome_folder.rglob("*") if path.is_file() and path.name != "log.jsonl")


def safe_looks(outcome: Outcome) -> list[tuple[str, float]]:
    """Executor and time (ms) of each look at which it called a node safe to touch."""
    return [(claim.name, claim.at) for claim in outcome.history.of_page("/maintenance")
            if any(n["safe_to_touch"] for n in claim.told.get("executor", {}).get("nodes", []))]


def test_works_are_done_by_real_processes_through_a_kill_and_a_pause(tmp_path: Path) -> None:
    plan = short()
    plan.faults = [Stop(at_s=4.0, for_s=2.0, who=["s03"]), Kill(at_s=7.0, for_s=0.5, who=["s04"])]
    outcome = played(plan, 1, tmp_path)
    assert outcome.names == set()
    assert backs(tmp_path) >= 2
    assert safe_looks(outcome)


@pytest.mark.parametrize(("planted", "found"), [
    ({"s02": "bars-unheeded"}, "touch"),
    ({"s00": "unpaid+unpressed", "s01": "unpaid+unpressed"}, "agreement"),
])
def test_planted_faults_are_found_by_name(tmp_path: Path, planted: dict[str, str], found: str) -> None:
    outcome = played(short(planted), 2, tmp_path)
    assert found in outcome.names, f"nodes called safe to touch at {safe_looks(outcome)}"


def said(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> tuple[int, str]:
    code = run_command(["maintenance", *arguments])
    return code, capsys.readouterr().out.strip()


@pytest.mark.timeout(60)
def test_a_node_is_taken_out_and_back_by_hand(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "book.toml").write_text(BOOK)
    monkeypatch.setenv("LB_ADMIN", "127.0.0.1:0")
    ini = (f"[membership]\nport = 0\n[statuspage]\nport = 0\nrefresh_ms = 50\n[maintenance]\n"
           f"file = {tmp_path / 'book.toml'}\nschedulers = n1\nplace = 0\nlongest_s = 0.5\n")
    one, two = Hop("s-1"), Hop("s-2")
    scheduler = Scheduler(tmp_path, [one, two], {}, 1024, ini=ini)
    status, admin = (f"127.0.0.1:{scheduler.ports[p]}" for p in ("status_port", "admin_port"))
    try:
        def is_said(words: str, *arguments: str) -> bool:
            return words in said([*arguments, "--at", status], capsys)[1]

        assert until(lambda: is_said("place 0 of 1: at work", "show"))
        assert said(["out", "s-1", "--at", admin], capsys) == (0, "taken")
        assert is_said("2 nodes were not seen serving yet", "show")  # so nothing is free yet
        assert not is_said("s-1: draining", "show")
        assert said(["vouch", "s-1", "--at", admin], capsys) == (0, "taken")
        assert said(["vouch", "s-2", "--at", admin], capsys) == (0, "taken")
        assert until(lambda: is_said("SAFE TO TOUCH", "show"))
        assert said(["touch", "s-1", "--at", admin], capsys) == (0, "safe to touch")
        assert is_said("s-1 is safe for", "why", "s-1")
        assert said(["out", "s-2", "--at", admin], capsys) == (0, "taken")
        time.sleep(0.7)
        assert is_said("s-2 is not out", "why", "s-2")  # one at once, and one has to stay
        connection = scheduler.submit()
        two.job().say("done", result="x")  # s-1 gets nothing
        assert connection.getresponse().status == 200 and one.jobs.empty()
        assert said(["done", "s-1", "--at", admin], capsys) == (0, "taken")
        assert said(["touch", "s-1", "--at", admin], capsys)[0] == 1
        assert until(lambda: is_said("no scheduler has seen it serve since", "why", "s-1"))
        assert said(["vouch", "s-1", "--at", admin], capsys) == (0, "taken")
        assert until(lambda: is_said("s-2: safe", "show"))
        assert said(["call-off", "s-2", "--at", admin], capsys) == (0, "taken")
        for words in (["done", "s-9"], ["off", "n7"]):
            assert said([*words, "--at", admin], capsys)[1].startswith("404: ")
        assert said(["hold", "--at", admin], capsys) == (0, "taken")
        assert until(lambda: is_said("place 0 of 1: held", "show"))
    finally:
        scheduler.process.kill()
        scheduler.process.communicate()
        scheduler.directory.server.stop()
        for hop in (one, two):
            hop.server.stop()


@pytest.mark.parametrize(("lines", "told"), [
    ("schedulers = n1\nplace = 2\nplaces = 2", "place: found 2, expected one of 0 to 1"),
    ("schedulers = other", "schedulers: found other, expected n1 among them"),
    ("schedulers = n1, n1", "schedulers: found n1, n1, expected different names"),
    ("schedulers = n1\nalone = no", "alone: found no, expected serve or wait"),
])
def test_a_faulty_section_ends_the_start(tmp_path: Path, lines: str, told: str) -> None:
    (tmp_path / "book.toml").write_text(BOOK)
    config = {"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
              "limits": {"memory_mb": 192, "sockets": 64}, "settings": SETTINGS,
              "known": {"generation": 1, "reset": True, "instances": []}}
    ini = f"[membership]\nport = 0\n[maintenance]\nfile = {tmp_path / 'book.toml'}\n{lines}\n"
    process = start(tmp_path, config, ini=ini)
    errors = process.communicate(timeout=SOON)[1]
    assert process.returncode == 2
    assert told.replace("'", "") in errors.replace("'", "")


def test_check_and_plan_read_a_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "book.toml"
    path.write_text(BOOK + '[[works]]\nname = "disks"\nnodes = ["s-1", "s-2"]\nminutes = 20\n')
    assert said(["check", str(path)], capsys)[1].startswith(f"{path}: 2 nodes, 1 agreements, 1 works, ")
    code, text = said(["plan", str(path), "--days", "1"], capsys)
    assert code == 0 and "2 of 2 placed" in text and "full at times: all 1 of 1" in text
    assert said(["plan", str(path), "--lost", "s-1"], capsys)[0] == 1
    assert run_command(["maintenance", "plan", str(path), "--lost", "s-9"]) == 2


def test_off_means_nothing_of_it_is_imported() -> None:
    seen = "import sys, flintfield.lifecycle.start; from flintfield.lifecycle import program; " \
           "print([m for m in sys.modules if 'maintenance' in m or 'escrow' in m or m in " \
           "('portion', 'dateutil', 'numpy')])"
    done = subprocess.run([sys.executable, "-c", seen], cwd=ROOT, text=True, capture_output=True, timeout=20)
    assert done.stdout.splitlines()[-1] == "[]"
