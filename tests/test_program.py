"""The real program as a process, tested with simulated callers, next hops and discovery."""

from __future__ import annotations

import json
import signal
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from peers import SETTINGS, SOON, Directory, Hop, Job, Start, ended, start, until

# ---------------------------------------------------------------- transactions


def test_a_job_is_forwarded_unchanged_and_its_result_returned(begin: Start) -> None:
    scheduler = begin(hop := Hop())
    caller = scheduler.submit("match-list", "aa11", body=b"x" * 60_000)
    job = hop.job()
    assert (job.target, job.name, job.body) == ("/match-list?a=1", "aa11", b"x" * 60_000)
    assert 0 < int(job.headers["req-deadline"].rstrip("m")) <= 8000
    job.say("started")
    job.say("running", share=0.5)
    job.say("done", result="two socials in Mixco")
    assert ended(caller.getresponse()) == (200, b"two socials in Mixco")
    scheduler.submit("social-booking", on=caller)  # this connection stays open; each job has its own
    again = hop.job()
    assert again.port != job.port
    again.say("done", result="seat")
    assert ended(caller.getresponse()) == (200, b"seat")
    counters = scheduler.counters()
    assert counters["requests.taken.match-list"] == counters["answers.served.social-booking"] == 1
    assert counters["branches.ended.ok"] == 2 and "defects" not in counters


NEVER_RAN: dict[str, Callable[[Job], None]] = {
    "returned": lambda job: job.say("returned"),
    "503 declined": lambda job: job.status(503, Srv_Declined="1"),
    "504 declined": lambda job: job.status(504, Srv_Declined="1"),
}
MAY_HAVE_RUN: dict[str, Callable[[Job], None]] = {
    "failed": lambda job: job.say("failed"),
    "500": lambda job: job.status(500),
    "503": lambda job: job.status(503),
    "504": lambda job: job.status(504),
    "404": lambda job: job.status(404),
    "lost": lambda job: job.say("lost"),
    "cut unanswered": Job.cut,
    "cut after its start": Job.start_and_cut,
    "a line that is no JSON": lambda job: job.line("]"),
    "a line without a state": lambda job: job.line(json.dumps({"id": job.name})),
    "a line of another job": lambda job: job.line('{"id":"00ff","state":"done","result":"not yours"}'),
}


@pytest.mark.parametrize("how", NEVER_RAN | MAY_HAVE_RUN)
@pytest.mark.parametrize("cls", ["match-list", "social-booking"])
def test_a_job_that_may_have_run_is_resent_only_if_allowed(begin: Start, cls: str, how: str) -> None:
    scheduler = begin(*(hops := [Hop("s-1"), Hop("s-2")]))
    caller = scheduler.submit(cls)
    assert until(lambda: not all(h.jobs.empty() for h in hops))
    first = next(h for h in hops if not h.jobs.empty())
    (NEVER_RAN | MAY_HAVE_RUN)[how](first.job())
    if cls == "social-booking" and how in MAY_HAVE_RUN:
        assert ended(caller.getresponse())[0] == 500
        time.sleep(0.1)
        assert all(h.jobs.empty() for h in hops)
    else:
        assert until(lambda: not all(h.jobs.empty() for h in hops))
        next(h for h in hops if not h.jobs.empty()).job().say("done", result="ok")
        assert ended(caller.getresponse()) == (200, b"ok")
    assert "defects" not in scheduler.counters()


def test_a_next_hop_that_refuses_connections_loses_no_job(begin: Start) -> None:
    dead, alive = Hop("s-1"), Hop("s-2")
    dead.server.stop()
    scheduler = begin(dead, alive)
    for _ in range(4):
        caller = scheduler.submit("social-booking")
        alive.job().say("done", result="ok")
        assert ended(caller.getresponse()) == (200, b"ok")


@pytest.mark.parametrize(("cls", "status"), [("match-list", 503), ("social-booking", 500)])
def test_a_silent_next_hop_delays_no_answer_past_its_deadline(begin: Start, cls: str, status: int) -> None:
    scheduler = begin(hop := Hop())
    began = time.monotonic()
    caller = scheduler.submit(cls, wait="600m")
    job = hop.job()
    job.say("started")
    response = caller.getresponse()
    assert response.status == status
    assert time.monotonic() - began < 0.6 + 0.05
    advice = response.headers["Retry-After"]
    assert 0 < float(advice) <= 2 if status == 503 else advice is None
    assert job.dropped()


def test_a_caller_that_disconnects_ends_its_job(begin: Start) -> None:
    scheduler = begin(hop := Hop())
    caller = scheduler.submit()
    job = hop.job()
    caller.close()
    assert job.dropped()
    assert until(lambda: scheduler.counters().get("requests.left.match-list") == 1)


def test_a_job_with_the_id_of_an_open_job_is_not_accepted(begin: Start) -> None:
    scheduler = begin(hop := Hop(), Hop("s-2"))
    first = scheduler.submit("social-booking", "77")
    until(lambda: any(not h.jobs.empty() for h in scheduler.hops))
    assert ended(scheduler.submit("social-booking", "77").getresponse())[0] == 500
    job = next(h for h in scheduler.hops if not h.jobs.empty()).job()
    job.say("done", result="once")
    assert ended(first.getresponse()) == (200, b"once")
    assert all(h.jobs.empty() for h in scheduler.hops) and hop


@pytest.mark.parametrize("how", ["cut", "silence", "500"])
@pytest.mark.parametrize("cls", ["match-list", "social-booking"])
def test_a_job_whose_body_was_not_requested_is_resent(begin: Start, cls: str, how: str) -> None:
    scheduler = begin(hop := Hop())
    caller = scheduler.submit(cls)  # from now on the next hop is known to send 100 Continue
    hop.job().say("done", result="first")
    assert ended(caller.getresponse()) == (200, b"first")
    hop.heads.put(how)
    began = time.monotonic()
    scheduler.submit(cls, on=caller)
    hop.job().say("done", result="second")
    assert ended(caller.getresponse()) == (200, b"second") and time.monotonic() - began < 1
    counters = scheduler.counters()
    # A break of a reused connection says nothing about the next hop, so the branch reconnects.
    unsent = counters.get("branches.ended.unsent", 0) + counters.get("branches.dialled_anew", 0)
    assert unsent == 1 and counters["branches.written"] == 3


def test_a_next_hop_that_never_sends_100_still_receives_the_body(begin: Start) -> None:
    scheduler = begin(hop := Hop())
    hop.heads.put("no word")
    caller = scheduler.submit("social-booking", body=b"whole")
    job = hop.job()
    assert job.body == b"whole"
    job.say("done", result="ok")
    assert ended(caller.getresponse()) == (200, b"ok")


@pytest.mark.parametrize("how", ["it is idle too long", "the next hop closes it"])
def test_a_reused_connection_is_replaced_when_idle_or_closed(begin: Start, how: str) -> None:
    idle = 300 if how == "it is idle too long" else 5000
    hop = Hop()
    hop.cut_probes = how == "the next hop closes it"
    scheduler = begin(hop, limits={**SETTINGS["limits"], "conn_idle_ms": idle})
    assert len({hop.probe_ports.get(timeout=SOON) for _ in range(3)}) == 3
    assert scheduler.counters()["probes.ended.ok"] >= 2


def test_a_lack_of_descriptors_does_not_count_as_a_failure_of_the_next_hop(begin: Start) -> None:
    scheduler = begin(hop := Hop(), descriptors=40)
    idle = [socket.create_connection(("127.0.0.1", scheduler.port), SOON) for _ in range(60)]
    for _ in range(5):
        caller = scheduler.submit("social-booking")
        hop.job().say("done", result="ok")
        assert ended(caller.getresponse()) == (200, b"ok")
    assert "branches.ended.connect_failed" not in scheduler.counters()
    for sock in idle:
        sock.close()


# --------------------------------------------------------------- invalid input


GOOD = {"Req-Id": "1f", "Req-Kind": "match-list", "Req-Deadline": "900m"}


def without(name: str) -> dict[str, str]:
    return {k: v for k, v in GOOD.items() if k != name}


@pytest.mark.parametrize(("method", "path", "headers", "status"), [
    ("POST", "/match-list", without("Req-Id"), 400),
    ("POST", "/match-list", without("Req-Kind"), 400),
    ("POST", "/match-list", without("Req-Deadline"), 400),
    ("POST", "/match-list", GOOD | {"Req-Deadline": "900"}, 400),
    ("POST", "/match-list", GOOD | {"Req-Deadline": "nanm"}, 400),
    ("POST", "/match-list", GOOD | {"Req-Deadline": "-1m"}, 400),
    ("POST", "/match-list", GOOD | {"Req-Cost": "much"}, 400),
    ("POST", "/match-list", GOOD | {"Req-Key": "zz"}, 400),
    ("POST", "/match-list", GOOD | {"Req-Extra": "slots=x"}, 400),
    ("POST", "/render", GOOD | {"Req-Kind": "render"}, 400),
    ("POST", "/social-booking", GOOD, 404),
    ("GET", "/nothing", {}, 404),
    ("HEAD", "/nothing", {}, 404),
    ("POST", "/match-list", GOOD | {"Req-Id": "\xe9"}, 400),
    ("GET", "/match-list", GOOD, 405),
    ("POST", "/ready", {}, 405),
])
def test_bad_requests_get_their_status_and_do_no_harm(
    begin: Start, method: str, path: str, headers: dict[str, str], status: int
) -> None:
    scheduler = begin(Hop())
    connection = scheduler.connect()
    connection.request(method, path, b"" if method == "POST" else None, headers)
    assert connection.getresponse().status == status
    assert scheduler.get("/ready").status == 200
    assert scheduler.counters()[f"requests.bad.{status}"] == 1


HEAD = b"POST /match-list HTTP/1.1\r\nHost: x\r\n"
NEEDED = b"Req-Id: 1f\r\nReq-Kind: match-list\r\nReq-Deadline: 900m\r\n"


@pytest.mark.parametrize(("raw", "status"), [
    (b"\x16\x03\x01\x02\x00 hello\r\n\r\n", 400),
    (HEAD + b"Content-Length: -4\r\n\r\n", 400),
    (HEAD + b"X: " + b"y" * 200_000 + b"\r\n\r\n", 431),
    (b"POST /match-list HTTP/1.1\r\n\r\n", 400),
    (HEAD + NEEDED + b"Content-Length: 65537\r\n\r\n" + b"z" * 65_537, 413),
    (HEAD + NEEDED + b"Transfer-Encoding: chunked\r\n\r\n11170\r\n" + b"z" * 0x11170, 413),
    (HEAD + NEEDED + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    (HEAD.replace(b"/1.1", b"/1.0") + NEEDED + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    (HEAD + NEEDED + b"Req-Id: 2f\r\nContent-Length: 0\r\n\r\n", 400),
    (HEAD + NEEDED + b"Idempotency-Key: 1\r\nIdempotency-Key: 2\r\nContent-Length: 0\r\n\r\n", 400),
    (HEAD + NEEDED + b"Idempotency-Key: " + b"1" * 1025 + b"\r\nContent-Length: 0\r\n\r\n", 400),
    (HEAD + NEEDED + b"Content-Length: 60000000\r\n\r\n", 413),
    (HEAD + NEEDED + b"Content-Length: 2\r\n\r\nokand more", 400),
    (HEAD + NEEDED + b"Content-Length: 9\r\n\r\nshort", 408),
    (b"POST /match", 408),
], ids=["no http", "negative length", "long head", "no host", "long body", "long chunk", "two lengths",
        "chunks in 1.0", "two ids", "two idempotency keys", "long idempotency key", "long length",
        "over its length", "under its length", "half a head"])
def test_malformed_http_gets_its_status(begin: Start, raw: bytes, status: int) -> None:
    scheduler = begin(Hop())
    with socket.create_connection(("127.0.0.1", scheduler.port), SOON) as sock:
        sock.sendall(raw)
        lines = sock.makefile("rb")
        assert lines.readline().split()[1] == b"%d" % status
        sock.shutdown(socket.SHUT_WR)
        assert b"HTTP/1.1" not in lines.read()  # until closed: there is no further answer
    assert scheduler.get("/ready").status == 200
    assert scheduler.hops[0].jobs.empty()


def test_a_request_may_arrive_byte_by_byte_and_wait_for_100_continue(begin: Start) -> None:
    scheduler = begin(hop := Hop())
    with socket.create_connection(("127.0.0.1", scheduler.port), SOON) as sock:
        for byte in HEAD + NEEDED + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n":
            sock.sendall(bytes([byte]))
        lines = sock.makefile("rb")
        assert lines.readline().split()[1] == b"100"
        sock.sendall(b"ok")
        hop.job().say("done", result="fine")
        assert lines.readline() == b"\r\n" and lines.readline().split()[1] == b"200"


def test_silent_new_connections_are_closed_and_served_ones_stay_open(begin: Start) -> None:
    scheduler = begin(hop := Hop())
    kept = scheduler.submit()
    hop.job().say("done", result="ok")
    assert ended(kept.getresponse())[0] == 200
    with socket.create_connection(("127.0.0.1", scheduler.port), 2.9) as silent:
        assert silent.recv(1) == b""  # within the 3 s required
    scheduler.submit(on=kept)
    hop.job().say("done", result="still here")
    assert ended(kept.getresponse()) == (200, b"still here")


def test_a_caller_that_sends_more_before_its_answer_gets_an_error(begin: Start) -> None:
    scheduler = begin(hop := Hop())
    caller = scheduler.submit()
    (job := hop.job()).say("started")
    other = scheduler.submit()
    its_job = hop.job()
    caller.sock.sendall(b"POST /match-list HTTP/1.1\r\n")
    assert ended(caller.getresponse())[0] == 400
    assert job.dropped()
    its_job.say("done", result="not touched")
    assert ended(other.getresponse()) == (200, b"not touched")


def test_a_refused_body_of_60_mb_is_read_while_others_are_served(begin: Start) -> None:
    scheduler = begin(hop := Hop())
    with socket.create_connection(("127.0.0.1", scheduler.port), SOON) as sock:
        sock.sendall(HEAD + NEEDED + b"Content-Length: 60000000\r\n\r\n")
        for _ in range(60):
            sock.sendall(b"z" * 1_000_000)
        assert sock.makefile("rb").readline().split()[1] == b"413"
    caller = scheduler.submit()
    hop.job().say("done", result="ok")
    assert ended(caller.getresponse())[0] == 200


def test_idle_callers_do_not_use_up_the_descriptors(begin: Start) -> None:
    scheduler = begin(hop := Hop(), sockets=20)
    busy = scheduler.submit()
    job = hop.job()
    job.say("started")
    idle = [socket.create_connection(("127.0.0.1", scheduler.port), SOON) for _ in range(40)]
    assert until(lambda: scheduler.counters().get("legs.closed_for_room", 0) >= 25)
    job.say("done", result="kept")
    assert ended(busy.getresponse()) == (200, b"kept")
    for sock in idle:
        sock.close()


# ------------------------------------------------------------------- route set


@pytest.mark.parametrize("lifecycle", ["terminating", "terminated", "a word unheard of"])
def test_no_new_job_goes_to_a_draining_or_removed_next_hop(begin: Start, lifecycle: str) -> None:
    first, second = Hop("s-1"), Hop("s-2")
    scheduler = begin(first, second)
    scheduler.directory.tell(first.entry(lifecycle=lifecycle))
    for _ in range(6):
        caller = scheduler.submit()
        second.job().say("done", result="ok")
        assert ended(caller.getresponse())[0] == 200
    assert first.jobs.empty()


def test_the_next_watch_starts_at_once(begin: Start) -> None:
    scheduler = begin(hop := Hop())
    scheduler.directory.calls.get(timeout=SOON)
    told = time.monotonic()
    scheduler.directory.tell(hop.entry(weight=2.0))
    assert time.monotonic() - told < 0.2


@pytest.mark.parametrize("answer", [b"", b"{", b"[]", b'{"generation":2,"reset":false,"instances":7}'])
def test_a_failed_watch_is_retried_and_the_old_list_stays_in_use(begin: Start, answer: bytes) -> None:
    hop = Hop()
    scheduler = begin(hop)
    scheduler.directory.calls.get(timeout=SOON)
    scheduler.directory.broken.append(answer)
    with scheduler.directory.changed:  # ends the pending watch; the next one gets the broken answer
        scheduler.directory.version += 1
        scheduler.directory.changed.notify_all()
    calls = [scheduler.directory.calls.get(timeout=SOON)[1] for _ in range(2)]
    assert "index=2&" in calls[0]
    # A failure is followed by a request for the whole list; a busy discovery is asked for changes only.
    assert "index=2&" in calls[1] if answer == b"" else calls[1].endswith("/v1/endpoints")
    assert scheduler.counters()["discovery.failed"] == 1
    caller = scheduler.submit()
    hop.job().say("done", result="ok")
    assert ended(caller.getresponse())[0] == 200


# ---------------------------------------------------------------- start and stop


def test_after_sigterm_it_keeps_serving_settles_all_jobs_and_exits_with_0(begin: Start) -> None:
    scheduler = begin(hop := Hop())
    kept, running = scheduler.connect(), scheduler.submit()
    kept.request("GET", "/ready")
    kept.getresponse().read()
    job = hop.job()
    job.say("started")
    scheduler.ask_to_stop()
    began = time.monotonic()
    assert until(lambda: scheduler.get("/ready").status == 503)
    late = scheduler.submit()  # new connections are accepted for a while
    hop.job().say("done", result="late")
    assert ended(late.getresponse()) == (200, b"late")
    time.sleep(1)
    scheduler.submit(on=kept)
    hop.job().say("done", result="kept")
    assert ended(kept.getresponse()) == (200, b"kept")
    scheduler.submit(on=kept, cost="9000000")  # can't be done in time: refused at once
    assert kept.getresponse().status == 503
    assert late.sock.recv(1) == b"" and 2.5 < time.monotonic() - began < 3.7

    def refused() -> bool:
        try:
            scheduler.connect().connect()
        except ConnectionRefusedError:
            return True
        return False

    assert until(refused)
    job.say("done", result="whole")
    assert ended(running.getresponse()) == (200, b"whole")
    code, lines = scheduler.stopped()
    assert code == 0
    assert [line["event"] for line in lines] == ["stopping", "stopped"]
    assert lines[-1]["counters"]["answers.served.match-list"] == 3


def test_a_connection_opened_just_before_the_stop_is_served(begin: Start) -> None:
    scheduler = begin(hop := Hop())
    fresh = scheduler.connect()
    fresh.connect()
    scheduler.ask_to_stop()
    time.sleep(0.2)
    scheduler.submit(on=fresh)
    hop.job().say("done", result="still")
    assert ended(fresh.getresponse()) == (200, b"still")
    assert scheduler.stopped()[0] == 0


@pytest.fixture
def moved() -> Iterator[Callable[[Hop], Directory]]:
    """Make further discovery servers, each of which lists one next hop."""
    made: list[Directory] = []

    def make(hop: Hop) -> Directory:
        made.append(Directory())
        made[-1].whole = [hop.entry()]
        return made[-1]

    yield make
    for directory in made:
        directory.server.stop()


def test_a_new_discovery_address_is_used_at_once(begin: Start, moved: Callable[[Hop], Directory]) -> None:
    first, second = Hop("s-1"), Hop("s-2")
    scheduler = begin(first)
    scheduler.directory.calls.get(timeout=SOON)
    scheduler.hops.append(second)
    new = moved(second)
    began = time.monotonic()
    for directory in (moved(first), new, new):  # several in a row
        scheduler.reload(discovery=directory.server.address)
        assert until(lambda d=directory: not d.calls.empty())
    calls = [new.calls.get(timeout=SOON) for _ in range(2)]
    assert calls[0][0] - began < 1 and calls[0][1] == "/v1/endpoints" and "index=1&" in calls[1][1]
    for _ in range(3):
        caller = scheduler.submit()
        second.job().say("done", result="ok")
        assert ended(caller.getresponse()) == (200, b"ok")
    counters = scheduler.counters()
    assert counters["discovery.moved"] == 2 and "discovery.failed" not in counters and first.jobs.empty()


@pytest.mark.parametrize(("text", "key"), [("{", "LB_CONFIG"), ('{"listen":"127.0.0.1:0"}', "classes")])
def test_a_faulty_new_configuration_is_logged_and_not_applied(begin: Start, text: str, key: str) -> None:
    scheduler = begin(hop := Hop())
    scheduler.reload(text)
    assert scheduler.process.stdout
    line = json.loads(scheduler.process.stdout.readline())
    assert line["event"] == "reload refused" and key in line["error"]
    caller = scheduler.submit()
    hop.job().say("done", result="ok")
    assert ended(caller.getresponse())[0] == 200


@pytest.mark.parametrize("first", [signal.SIGHUP, signal.SIGTERM])
def test_a_reload_signal_together_with_sigterm_ends_in_order(begin: Start, first: signal.Signals) -> None:
    scheduler = begin(hop := Hop())
    caller = scheduler.submit()
    job = hop.job()
    for number in (first, signal.SIGHUP, signal.SIGTERM):
        scheduler.process.send_signal(number)
    job.say("done", result="whole")
    assert ended(caller.getresponse()) == (200, b"whole")
    assert scheduler.stopped()[0] == 0


@pytest.mark.parametrize(("change", "key"), [
    ({"discovery": "nowhere"}, "discovery"),
    ({"listen": 5}, "listen"),
    ({"seed": "xyz"}, "seed"),
    ({"known": {"generation": 1}}, "known"),
    ({"settings": SETTINGS | {"request_classes": []}}, "classes"),
    ({"settings": SETTINGS | {"limits": {"max_attempts": "six"}}}, "settings.limits.max_attempts"),
    ({"settings": SETTINGS | {"limits": {"probes": 1}}}, "settings.limits.probes"),
    ({"settings": SETTINGS | {"rules": []}}, "settings.rules"),
    ({"settings": SETTINGS | {"request_classes": [{"name": "a", "aim_ms": 1}]}},
     "settings.request_classes[0].hard_limit_ms"),
    ({"settings": SETTINGS | {"report": {"fields": [3]}}}, "settings.report.fields[0]"),
])
def test_a_faulty_key_is_reported_with_exit_code_2(tmp_path: Path, change: dict[str, Any], key: str) -> None:
    config = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "settings": SETTINGS} | change
    process = start(tmp_path, config)
    _, errors = process.communicate(timeout=SOON)
    assert process.returncode == 2
    assert key + ":" in errors and errors.count("\n") == 1
