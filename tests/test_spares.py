"""Connections to next hops that jobs use one after the other, and what comes of it when one is of no use."""

from __future__ import annotations

import time

import pytest

from peers import SETTINGS, SOON, Hop, Scheduler, Start, ended, until


def serve(scheduler: Scheduler, hop: Hop, cls: str = "match-list") -> int:
    """One job from end to end; the port it came from."""
    caller = scheduler.submit(cls)
    job = hop.job()
    job.say("done", result="ok")
    assert ended(caller.getresponse()) == (200, b"ok")
    return job.port


def test_a_job_that_may_run_again_uses_the_connection_of_the_one_before(begin: Start) -> None:
    scheduler = begin(hop := Hop())
    ports = [serve(scheduler, hop) for _ in range(3)]
    assert len(set(ports)) == 1
    booking = serve(scheduler, hop, "social-booking")
    assert booking not in ports
    assert serve(scheduler, hop) in (ports[0], booking)
    counters = scheduler.counters()
    assert counters["branches.reused"] == 3 and counters["branches.ended.ok"] == 5
    assert "defects" not in counters


def test_a_spare_that_the_next_hop_ends_is_left_at_once(begin: Start) -> None:
    scheduler = begin(hop := Hop())
    caller = scheduler.submit()
    job = hop.job()
    job.peer.close_connection = True
    job.say("done", result="ok")
    assert ended(caller.getresponse()) == (200, b"ok")
    job.peer.connection.close()
    time.sleep(0.1)
    assert serve(scheduler, hop) != job.port
    counters = scheduler.counters()
    assert counters.get("branches.reused", 0) == 0 and "branches.ended.unsent" not in counters


def test_a_spare_is_left_before_the_next_hop_ends_it(begin: Start) -> None:
    scheduler = begin(hop := Hop(), limits={**SETTINGS["limits"], "conn_idle_ms": 300})
    first = serve(scheduler, hop)
    time.sleep(0.35)
    assert serve(scheduler, hop) != first


@pytest.mark.parametrize("how", ["cut", "silence"])
def test_a_job_on_a_spare_of_no_use_runs_once_all_the_same(begin: Start, how: str) -> None:
    scheduler = begin(hop := Hop())
    serve(scheduler, hop)
    hop.heads.put(how)
    began = time.monotonic()
    serve(scheduler, hop)
    assert time.monotonic() - began < 1 and hop.jobs.empty()
    counters = scheduler.counters()
    assert counters.get("branches.dialled_anew", 0) == (how == "cut")
    assert counters.get("branches.ended.unsent", 0) == (how == "silence")


def test_a_caller_that_leaves_ends_its_job_on_a_spare(begin: Start) -> None:
    scheduler = begin(hop := Hop())
    serve(scheduler, hop)
    caller = scheduler.submit()
    job = hop.job()
    job.say("started")
    caller.close()
    assert job.dropped()
    assert until(lambda: scheduler.counters().get("requests.left.match-list") == 1, SOON)
    serve(scheduler, hop)


def test_a_job_without_a_body_takes_no_spare(begin: Start) -> None:
    scheduler = begin(hop := Hop())
    first = serve(scheduler, hop)
    caller = scheduler.submit(body=b"")
    job = hop.job()
    job.say("done", result="ok")
    assert ended(caller.getresponse()) == (200, b"ok")
    assert job.port != first and scheduler.counters()["branches.dialled_anew"] == 1
