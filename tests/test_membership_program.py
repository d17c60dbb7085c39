"""Membership in the real program: section, pages, commands, jobs looked up, many instances at once."""

from __future__ import annotations

import json
import random
import re
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from functools import partial
from http.client import HTTPConnection
from pathlib import Path

import pytest

from flintfield.cli.group import run_command
from flintfield.lifecycle.start import main
from peers import ROOT, SETTINGS, SOON, Hop, Job, ended, until
from support.group import FAST, Instance, all_see, group


def names(count: int) -> dict[str, str]:
    return {f"n{i}": "alive" for i in range(count)}


def test_without_its_section_nothing_of_it_is_imported(tmp_path: Path) -> None:
    seen = "import sys, flintfield.lifecycle.start as s; s.main(['--ini', sys.argv[1]]); " \
           "print([m for m in sys.modules if 'membership' in m or 'cryptography' in m])"
    (tmp_path / "ini").write_text("[jobstatus]\n[statuspage]\nport = 0\n")
    done = subprocess.run([sys.executable, "-c", seen, str(tmp_path / "ini")], cwd=ROOT, text=True,
                          capture_output=True, timeout=SOON)
    assert done.stdout.splitlines()[-1] == "[]"


def test_members_are_shown_and_jobs_found_wherever_they_were_taken(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    hop = Hop()
    with group(tmp_path, 3, hops=[hop]) as instances:
        assert all_see(instances, names(3))
        told = instances[1].members()
        assert told["schedulers"] == {"live": 3, "configured": 3} and told["counts"]["alive"] == 3
        own = told["members"][0]
        assert (own["name"], own["role"], own["zone"]) == ("n1", "scheduler", "a")
        assert own["http"] == f"127.0.0.1:{instances[1].scheduler.port}"
        caller = instances[0].scheduler.submit("social-booking", "b/1")
        (job := hop.job()).say("running", share=0.25)
        for instance in instances:
            told = {"id": "b/1", "kind": "social-booking", "state": "running", "instance": "s-1",
                    "share": 0.25, "scheduler": "n0"}
            assert until(partial(instance.finds, "b%2F1", told))
        job.say("done", result="seat")
        assert caller.getresponse().status == 200
        assert instances[2].job("b%2F1")[1]["outcome"] == "served"
        assert instances[2].job("b2") == (404, {"id": "b2", "state": "unknown", "scheduler": "n2", "asked": 2,
                                               "silent": 0, "gone": 0})
        assert run_command(["members", "--at", instances[2].status_at]) == 0
        page = capsys.readouterr().out
        assert "3 alive; schedulers: 3 live, 3 configured" in page
        assert re.search(r"n0 +127.0.0.1:\d+ +alive", page)
        assert run_command(["members", "--at", instances[2].status_at, "--json"]) == 0
        assert json.loads(capsys.readouterr().out)["name"] == "n2"

        instances[0].signal(signal.SIGKILL)
        instances[1].scheduler.ask_to_stop()
        assert instances[1].scheduler.stopped()[0] == 0
        assert until(lambda: instances[2].view() == {"n0": "dead", "n1": "left", "n2": "alive"})
        assert instances[2].members()["schedulers"] == {"live": 1, "configured": 3}
        assert instances[2].job("b%2F1") == (404, {"id": "b/1", "state": "unknown", "scheduler": "n2",
                                                   "asked": 0, "silent": 0, "gone": 1})
        counters = instances[2].scheduler.counters()
        assert counters["membership.changes.dead"] == 1 and counters["membership.datagrams.sent"] > 10
        errors = instances[2].end()
        assert re.search(r'event="member dead".*member=n0.*reason="(no objection in|told by)', errors)
        assert re.search(r'event="member left".*member=n1.*reason="it said so"', errors)
        assert 'event="membership: joined"' in errors
    assert run_command(["members", "--at", instances[2].status_at]) == 1
    assert run_command(["members", "--at", "here"]) == 2


@pytest.mark.parametrize(("lines", "listen", "told"), [
    ("port = 70000", "127.0.0.1:0", "[membership] port: found '70000'"),
    ("seeds = 10.0.0.1", "127.0.0.1:0", "[membership] seeds: found '10.0.0.1'"),
    ("seeds = host:1", "127.0.0.1:0", "[membership] seeds: found 'host:1'"),
    ("role = Big!", "127.0.0.1:0", "[membership] role: found 'Big!'"),
    ("probe_ms = 400", "127.0.0.1:0", "timeout_ms: found 500, expected less than probe_ms (400)"),
    ("keys = /none", "127.0.0.1:0", "[membership] keys: /none: cannot be read"),
    ("", "0.0.0.0:0", "[membership] advertise: found nothing"),
    ("advertise = 10.0.0.1:7", "127.0.0.1:0", "[membership] keys: found nothing, expected a key file"),
])
def test_a_faulty_section_is_one_line_and_exit_code_2(
    tmp_path: Path, lines: str, listen: str, told: str, monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str]
) -> None:
    assert refused(tmp_path, monkeypatch, lines, listen=listen) == 2
    errors = capsys.readouterr().err
    assert told in errors and errors.count("\n") == 1


def refused(folder: Path, monkeypatch: pytest.MonkeyPatch, lines: str, **changes: str) -> int:
    """The exit code of a start that comes to nothing."""
    config = {"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    (folder / "config.json").write_text(json.dumps(config | changes))
    (folder / "ini").write_text(f"[membership]\n{lines}\n")
    monkeypatch.setenv("LB_CONFIG", str(folder / "config.json"))
    return main(["--ini", str(folder / "ini")])


def test_a_port_that_is_taken_and_a_name_with_a_space_end_the_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.socket(type=socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        port = taken.getsockname()[1]
        assert refused(tmp_path, monkeypatch, f"port = {port}") == 2
    assert f"[membership] port: found {port}, expected a port that can be taken" in capsys.readouterr().err
    assert refused(tmp_path, monkeypatch, "", name="n 1") == 2
    assert "name: found 'n 1', expected up to 64 printable" in capsys.readouterr().err


# ---------------------------------------------------------------------- many instances


class Play:
    """Many real instances with keys and loss, and what happens to them."""

    def __init__(self, folder: Path, instances: list[Instance], hop: Hop, keys: Path) -> None:
        self.folder, self.instances, self.hop, self.keys = folder, instances, hop, keys
        self.callers: list[HTTPConnection] = []
        self.jobs: list[Job] = []
        self.killed: list[Instance] = []
        self.asked: Counter[tuple[int, bool]] = Counter()  # by status, and whether its scheduler died

    @property
    def there(self) -> list[Instance]:
        return [i for i in self.instances if i not in self.killed]

    def take_jobs(self) -> None:
        """A job at each instance, which goes on until the end."""
        for instance in self.instances:
            self.callers.append(instance.scheduler.submit("social-booking", f"job-{instance.name}"))
        for _ in self.instances:
            (job := self.hop.job()).say("started")
            self.jobs.append(job)

    def look_up(self, rng: random.Random, times: int) -> None:
        """Ask anyone for any job: it is found where its scheduler lives, else dead or silent are told."""
        for _ in range(times):
            asked, taken = rng.choice(self.there), rng.choice(self.instances)
            began = time.monotonic()
            status, told = asked.job(f"job-{taken.name}")
            assert time.monotonic() - began < 5
            self.asked[status, taken in self.killed] += 1
            if status == 200:
                assert taken not in self.killed
                assert told["scheduler"] == taken.name and told["state"] in ("running", "ended"), told
            else:
                assert status == 404 and told["asked"] + told["gone"] >= len(self.instances) - 1, told
                assert told["silent"] or told["gone"], told  # a 404 that sounds sure is never wrong

    def rotate(self, rng: random.Random, drop: bool) -> None:
        """A new key to all in any order, or the old ones away once all have it."""
        if drop:
            assert until(lambda: run_command(["keys", "check", str(self.keys), "--at",
                                              self.there[0].status_at]) == 0, 30)
        assert run_command(["keys", "rotate", str(self.keys), *(["--drop-old"] if drop else [])]) == 0
        for instance in rng.sample(self.there, len(self.there)):
            instance.signal(signal.SIGHUP)
            time.sleep(0.05)

    def kill(self, instance: Instance) -> None:
        instance.signal(signal.SIGKILL)
        self.killed.append(instance)

    def views(self) -> dict[str, str]:
        return {i.name: "dead" if i in self.killed else "alive" for i in self.instances}


def play_many(folder: Path, count: int, more: str, loss: float, stop_s: float, within_s: float) -> None:
    keys, hop, rng = folder / "keys", Hop(), random.Random(7)
    assert run_command(["keys", "new", str(keys)]) == 0
    with group(folder, count, f"{more}keys = {keys}\n", [hop], loss=loss) as instances:
        play = Play(folder, instances, hop, keys)
        assert all_see(instances, names(count), within_s)
        play.take_jobs()
        play.look_up(rng, 2 * count)
        play.rotate(rng, drop=False)
        instances[2].signal(signal.SIGSTOP)
        time.sleep(stop_s)
        instances[2].signal(signal.SIGCONT)
        play.rotate(rng, drop=True)
        play.look_up(rng, count)
        for instance in rng.sample(instances[3:], max(1, count // 5)):
            play.kill(instance)
            play.look_up(rng, 3)
        assert all_see(play.there, play.views(), within_s)
        play.look_up(rng, 2 * count)
        print("look-ups by status, and whether the job's scheduler died:", dict(play.asked))
        assert play.asked[200, False] > 9 * play.asked[404, False] and not play.asked[200, True]
        logs = "".join(i.end() for i in play.there)
        # With loss one may doubt, but nobody is declared dead who is there.
        dead = {m.group(1) for m in re.finditer(r'event="member dead".*? member=(\S+)', logs)}
        assert dead == {i.name for i in play.killed}
        assert "reload refused" not in logs and "held for dead" not in logs


def test_a_few_real_instances_with_loss_kills_a_stop_and_new_keys(tmp_path: Path) -> None:
    play_many(tmp_path, 5, "probe_ms = 400\ntimeout_ms = 200\nsuspicion_mult = 8\n", 0.02, 1.0, 30)


@pytest.mark.slow  # 60 s and a machine with two cores to spare
def test_20_real_instances_with_loss_kills_a_stop_and_new_keys(tmp_path: Path) -> None:
    play_many(tmp_path, 20, "", 0.05, 5.0, 60)


def knows_anew(instance: Instance, sessions: dict[str, str]) -> bool:
    """Whether it has heard that n0 and n1, and no others, live anew."""
    told = {m["name"]: m["session"] for m in instance.members()["members"]}
    return {name for name in sessions if told.get(name) != sessions[name]} == {"n0", "n1"}


def test_killed_instances_come_back_with_nothing_and_are_themselves_again(tmp_path: Path) -> None:
    with group(tmp_path, 4, FAST) as instances:
        assert all_see(instances, names(4))
        sessions = {m["name"]: m["session"] for m in instances[3].members()["members"]}
        for instance in instances[:2]:  # the seeds
            instance.end()
            instance.begin()
        for instance in instances:
            assert until(partial(knows_anew, instance, sessions))
        assert all_see(instances, names(4))
        assert ended(instances[0].scheduler.get("/ready"))[0] == 200
