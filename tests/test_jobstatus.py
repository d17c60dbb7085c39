"""Job status: the job table alone, in the reducer, and queried over real sockets."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from flintfield.base.settings import read_settings
from flintfield.decision.interface import ListMode
from flintfield.decision.policy import Dispatcher
from flintfield.lifecycle.start import main
from flintfield.memory.jobs import Jobs
from flintfield.memory.messages import (
    BranchEnded, BranchNoted, BranchUp, CallerLeft, End, Ending, Message, Reach, RouteUpdate, Submission,
    Submitted, Untracked,
)
from flintfield.memory.state import State
from peers import SETTINGS, SOON, Hop, Scheduler, Start, ended, start, until
from test_memory import DONE, OLD, Memory

DECLINED = Ending(End.DECLINED, Reach.ANSWERED)
LOST = Ending(End.LOST, Reach.ANSWERED)


def ask(scheduler: Scheduler, name: str) -> tuple[int, dict[str, Any]]:
    status, body = ended(scheduler.get(f"/jobs/{name}"))
    return status, json.loads(body)


def test_a_running_booking_and_then_its_end_are_reported(begin: Start) -> None:
    scheduler = begin(hop := Hop(), ini="[jobstatus]\n")
    caller = scheduler.submit("social-booking", "9b1f%2f")
    job = hop.job()
    known = {"id": "9b1f%2f", "kind": "social-booking", "state": "running", "instance": "s-1",
             "scheduler": "n1"}
    assert ask(scheduler, "9b1f%252f") == (200, known)
    job.say("running", share=0.4)
    assert until(lambda: ask(scheduler, "9b1f%252f")[1] == known | {"share": 0.4})
    job.say("done", result="seat")
    assert ended(caller.getresponse()) == (200, b"seat")
    told = ask(scheduler, "9b1f%252f")[1]
    assert (told["state"], told["outcome"]) == ("ended", "served")
    assert ask(scheduler, "77") == (404, {"id": "77", "state": "unknown", "scheduler": "n1"})
    connection = scheduler.connect()
    connection.request("POST", "/jobs/77", b"")
    assert connection.getresponse().status == 405


def test_without_the_section_the_page_does_not_exist(begin: Start) -> None:
    assert ended(begin(Hop()).get("/jobs/77")) == (404, b"no such path\n")


def test_a_job_that_finds_the_table_full_of_live_jobs_is_served_untracked(begin: Start) -> None:
    scheduler = begin(hop := Hop(), ini="[jobstatus]\nmax_entries = 1\n")
    first = scheduler.submit(name="a1")
    (job := hop.job()).say("started")
    second = scheduler.submit(name="b2")
    hop.job().say("done", result="ok")
    job.say("done", result="ok")
    assert [ended(c.getresponse())[0] for c in (first, second)] == [200, 200]
    assert [ask(scheduler, n)[0] for n in ("a1", "b2")] == [200, 404]
    assert scheduler.process.stderr
    line = scheduler.process.stderr.readline()
    assert "not tracked" in line and "id=b2" in line


@pytest.mark.parametrize(("ini", "named"), [
    ("[jobstatus]\nkeep_ms = soon\n", "[jobstatus] keep_ms:"),
    ("[jobstatus]\nkeep_ms = -1\n", "[jobstatus] keep_ms:"),
    ("[jobstatus]\nkeep_ms = nan\n", "[jobstatus] keep_ms:"),
    ("[jobstatus]\nmax_entries = 0\n", "[jobstatus] max_entries:"),
    ("[jobstatus]\nmax_entries = 1.5\n", "[jobstatus] max_entries:"),
    ("[jobstatus]\nkeep = 3\n", "[jobstatus] keep:"),
    ("[jobstatus]\nkeep_ms = 1\nkeep_ms = 2\n", "[jobstatus] keep_ms:"),
    ("[jobs]\n", "[jobs]:"),
    ("[DEFAULT]\nkeep_ms = 1\n", "[DEFAULT]:"),
    ("keep_ms = 1\n", "flintfield.ini"),
])
def test_a_faulty_line_of_the_operators_file_is_reported_with_exit_code_2(
    ini: str, named: str, tmp_path: Path
) -> None:
    _, errors = (process := start(tmp_path, {}, ini=ini)).communicate(timeout=SOON)
    assert process.returncode == 2 and named in errors and errors.count("\n") == 1


def test_a_missing_operators_file_gives_exit_code_2(tmp_path: Path) -> None:
    assert main(["--ini", str(tmp_path / "none.ini")]) == 2


# -------------------------------------------------------------- the job table


def test_ended_jobs_expire_by_the_given_time_and_the_oldest_is_evicted_first() -> None:
    jobs = Jobs(100.0, 2)
    for at, name in ((0.0, "a"), (1.0, "b")):
        assert jobs.take(at, name, "k")
    assert not jobs.take(2.0, "c", "k") and jobs.find(2.0, "c") is None
    jobs.end(10.0, "b", "served")
    jobs.end(20.0, "a", "failed")
    assert jobs.take(30.0, "d", "k") and jobs.find(30.0, "b") is None and jobs.find(30.0, "a")
    assert jobs.find(119.0, "a") and jobs.find(120.0, "a") is None
    assert jobs.take(200.0, "e", "k") and jobs.count == 2
    jobs.end(210.0, "e", "served")
    assert jobs.take(211.0, "e", "k")  # a repeated id refers to the new job
    found = jobs.find(211.0, "e")
    assert found and (found.state, found.outcome) == ("waiting", None)


# ------------------------------------------------------------- in the reducer


class Tracked(Memory):
    def __init__(self, most: int = 10) -> None:
        super().__init__()
        self.state = State(Dispatcher(read_settings(SETTINGS)[0], 1), 100, OLD, Jobs(1000.0, most))
        self.take(RouteUpdate(ListMode.CACHED, 7, self.routes))
        self.take(RouteUpdate(ListMode.DELTA, 7, (), 1))

    def seen(self, name: str) -> tuple[object, ...]:
        assert self.state.jobs
        job = self.state.jobs.find(self.now, name)
        return (job.state, job.instance, job.share, job.outcome) if job else ()


def test_a_job_waits_again_after_its_branch_ended_and_a_new_branch_resets_the_share() -> None:
    memory = Tracked()
    memory.submit(1)
    assert memory.seen("1") == ("waiting", None, None, None)
    memory.take(BranchUp(1, 0))
    memory.take(BranchNoted(1, 0, False, 0.7))
    first = memory.seen("1")
    assert first[0] == "running" and first[2] == 0.7
    memory.take(BranchEnded(1, 0, DECLINED))
    assert memory.seen("1") == ("waiting", None, None, None)
    memory.take(BranchUp(1, 1))
    again = memory.seen("1")
    assert again[0] == "running" and again[1] != first[1] and again[2] is None
    memory.take(BranchEnded(1, 1, DONE))
    assert memory.seen("1") == ("ended", again[1], None, "served")


@pytest.mark.parametrize(("last", "outcome"), [
    (BranchEnded(1, 0, LOST), "failed"), (BranchEnded(1, 0, DONE), "served"), (CallerLeft(1), "failed"),
])
def test_a_duplicate_of_an_open_id_does_not_change_its_entry(last: Message, outcome: str) -> None:
    memory = Tracked()
    memory.submit(1, cls=1)
    memory.take(BranchUp(1, 0))
    before = memory.seen("1")
    memory.take(Submitted(2, Submission("1", b"POST", b"/", b"", 0, "match-list", 2000.0)))
    assert memory.seen("1") == before and before[0] == "running"
    memory.take(last)
    assert memory.seen("1")[0::3] == ("ended", outcome)


def test_an_untracked_job_is_reported_once_and_served() -> None:
    memory = Tracked(most=1)
    memory.submit(1)
    memory.submit(2)
    assert memory.all(Untracked) == [Untracked("2")] and memory.state.counters["jobs.untracked"] == 1
    memory.take(BranchUp(2, 0))
    memory.take(BranchEnded(2, 0, DONE))
    assert memory.seen("2") == () and memory.seen("1")[0] == "waiting"
