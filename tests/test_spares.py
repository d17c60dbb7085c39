"""Reuse of idle connections to next hops, and recovery when a reused one fails."""

from __future__ import annotations

import time

import pytest

from peers import SETTINGS, SOON, Hop, Scheduler, Start, ended, until


def serve(scheduler: Scheduler, hop: Hop, cls: str = "match-list") -> int:
    """Run one job from end to end; returns the source port of its connection."""
    caller = scheduler.submit(cls)
    job = hop.job()
    job.say("done", result="ok")
    assert ended(caller.getresponse()) == (200, b"ok")
    return job.port


def test_repeatable_job_reuses_the_previous_jobs_connection(begin: Start) -> None:
    scheduler = begin(hop := Hop())
    ports = [serve(scheduler, hop) for _ in range(3)]
    assert len(set(ports)) == 1
    booking = serve(scheduler, hop, "social-booking")
    assert booking not in ports
    assert serve(scheduler, hop) in (ports[0], booking)
    counters = scheduler.counters()
    assert counters["branches.reused"] == 3 and counters["branches.ended.ok"] == 5
    assert "defects" not in counters


def test_idle_connection_closed_by_the_next_hop_is_not_reused(begin: Start) -> None:
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


def test_idle_connection_is_closed_before_the_next_hops_timeout(begin: Start) -> None:
    scheduler = begin(hop := Hop(), limits={**SETTINGS["limits"], "conn_idle_ms": 300})
    first = serve(scheduler, hop)
    time.sleep(0.35)
    assert serve(scheduler, hop) != first


@pytest.mark.parametrize("failure", ["cut", "silence"])
def test_job_on_a_failed_reused_connection_runs_exactly_once(begin: Start, failure: str) -> None:
    scheduler = begin(hop := Hop())
    serve(scheduler, hop)
    hop.heads.put(failure)
    began = time.monotonic()
    serve(scheduler, hop)
    assert time.monotonic() - began < 1 and hop.jobs.empty()
    counters = scheduler.counters()
    assert counters.get("branches.dialled_anew", 0) == (failure == "cut")
    assert counters.get("branches.ended.unsent", 0) == (failure == "silence")


def test_disconnected_caller_ends_its_job_on_a_reused_connection(begin: Start) -> None:
    scheduler = begin(hop := Hop())
    serve(scheduler, hop)
    caller = scheduler.submit()
    job = hop.job()
    job.say("started")
    caller.close()
    assert job.dropped()
    assert until(lambda: scheduler.counters().get("requests.left.match-list") == 1, SOON)
    serve(scheduler, hop)


def test_job_without_body_uses_a_new_connection(begin: Start) -> None:
    scheduler = begin(hop := Hop())
    first = serve(scheduler, hop)
    caller = scheduler.submit(body=b"")
    job = hop.job()
    job.say("done", result="ok")
    assert ended(caller.getresponse()) == (200, b"ok")
    assert job.port != first and scheduler.counters()["branches.dialled_anew"] == 1
