"""Time limits of the fleet test for changes of the server list, also while discovery is silent or busy.

After its time limit a change counts as delivered, even if it didn't reach the scheduler.
"""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from contextlib import ExitStack, suppress
from http.client import HTTPConnection, RemoteDisconnected
from queue import Empty
from typing import Any

import pytest

from flintfield.base.settings import FIRST_WORD_MS
from flintfield.decision.discovery_schedule import CALL_MS
from flintfield.decision.interface import ListMode
from flintfield.memory.messages import CallDiscovery, DiscoveryMoved, OpenBranch, RouteCallFailed, RouteUpdate
from flintfield.wire.http1.discovery import wait_ms, within_ms

from peers import CLASSES, SOON, Directory, Hop, Start, ended, until
from test_memory import NEW, Memory

CHANGE_MS = 6_000.0  # time limit for changes after a watch fell silent
MOVED_MS = 4_000.0  # time limit for changes after SIGHUP with a new discovery address
SUBSCRIBED: dict[str, Any] = {"membership_mode": "subscribe",
                         "rules": {"drain_grace_ms": 400, "ask_within_ms": 10_000}}


@pytest.mark.parametrize("busy", [0, 1])
def test_no_job_goes_to_a_hop_whose_drain_a_silent_watch_missed(begin: Start, busy: int) -> None:
    drained, other = Hop("s-1"), Hop("s-2")
    scheduler = begin(drained, other, **SUBSCRIBED)
    discovery = scheduler.directory
    discovery.silent = 1
    discovery.tell()
    silent_since = time.monotonic()
    discovery.broken = [b""] * busy
    discovery.publish(drained.entry(lifecycle="terminating"))
    assert until(lambda: scheduler.counters().get("discovery.answers.delta"), CHANGE_MS / 1000)
    assert time.monotonic() - silent_since < CHANGE_MS / 1000
    for _ in range(4):
        sent = scheduler.submit("social-booking")
        other.job().say("done", result="seat")
        assert ended(sent.getresponse()) == (200, b"seat")
    assert drained.jobs.empty() and scheduler.counters()["discovery.silent"] == 1


@pytest.mark.parametrize("word", ["answered 503", "no connection", "silent"])
@pytest.mark.parametrize("began", ["silent", "moved"])
def test_several_calls_fit_into_the_time_limit_for_missed_changes(word: str, began: str) -> None:
    memory = Memory(**SUBSCRIBED)
    (first,) = memory.all(CallDiscovery)
    if began == "moved":
        memory.take(DiscoveryMoved(NEW))
        due, tries = memory.now + 4_000.0, 0
    else:
        due, tries = memory.now + CHANGE_MS, 0
        memory.until(memory.now + within_ms(first))
        memory.take(RouteCallFailed("no answer in time", first.call, silent=True))
    while memory.now < due:
        call = memory.all(CallDiscovery)[-1]
        if call.call > memory.state.calls - 1 and memory.state.watching:
            assert wait_ms(call) in (None, 1)  # it asks for an immediate answer
            tries += 1
            memory.until(memory.now + 1_001.0)
            memory.take(RouteCallFailed(word, call.call, "503" in word, word == "silent"))
        memory.until(memory.now + 50.0)
    assert tries >= (3 if began == "moved" else 2)
    memory.until(memory.now + 10_000.0)
    calls_before = memory.state.calls
    memory.take(RouteCallFailed("answered 503", calls_before, busy=True))
    memory.until(memory.now + 900.0)
    assert memory.state.calls == calls_before  # the time limit is over: calls back off to spare discovery


@pytest.mark.parametrize(("word", "after_ms"), [
    ("no connection", 1.0), ("answered 503", 1.0), ("silent", 1_500.0)])
def test_two_calls_fit_into_the_time_limit_whenever_discovery_recovers(word: str, after_ms: float) -> None:
    memory = Memory(**SUBSCRIBED)
    began = memory.now
    while memory.now < began + 120_000.0:
        calls = memory.state.calls
        memory.until(memory.now + after_ms)
        failed = memory.now
        memory.take(RouteCallFailed(word, calls, "503" in word, word == "silent"))
        while memory.state.calls == calls:
            memory.until(memory.now + 10.0)
        # Discovery may recover just as the failed call began; one more may fail before one succeeds.
        assert after_ms + 2 * (memory.now - failed) + CALL_MS <= CHANGE_MS + 400.0 or word == "silent"
        assert after_ms + (memory.now - failed) + CALL_MS <= CHANGE_MS


def test_calls_to_a_busy_discovery_back_off_beyond_the_time_limit() -> None:
    memory = Memory(**SUBSCRIBED)
    longest = 0.0
    for _ in range(12):
        calls = memory.state.calls
        memory.until(memory.now + 1_000.0)  # the call waited in the queue of a busy discovery
        failed = memory.now
        memory.take(RouteCallFailed("answered 503", calls, busy=True))
        while memory.state.calls == calls:
            memory.until(memory.now + 10.0)
        longest = max(longest, memory.now - failed)
    assert longest > CHANGE_MS


def test_expired_time_limit_does_not_mask_that_of_a_new_address() -> None:
    memory = Memory(**SUBSCRIBED)
    (first,) = memory.all(CallDiscovery)
    memory.take(RouteCallFailed("no answer in time", first.call, silent=True))
    memory.until(memory.now + CHANGE_MS + 1_000.0)  # no answer; missed changes count as delivered by now
    memory.take(DiscoveryMoved(NEW))
    moved, calls_before = memory.now, memory.state.calls
    memory.take(RouteCallFailed("answered 503", calls_before, busy=True))
    memory.until(moved + MOVED_MS / 4)
    assert memory.state.calls > calls_before


def test_missed_changes_are_fetched_and_the_next_watch_waits_again() -> None:
    memory = Memory(**SUBSCRIBED)
    (first,) = memory.all(CallDiscovery)
    memory.take(RouteCallFailed("no answer in time", first.call, silent=True))
    memory.until(memory.now + 1_000.0)
    retry = memory.all(CallDiscovery)[-1]
    assert (retry.generation, retry.waits) == (first.generation, False)  # a delta, at once
    memory.take(RouteUpdate(ListMode.DELTA, 9, (), retry.call))
    assert memory.all(CallDiscovery)[-1].waits and memory.state.changes_due_at is None


def test_in_automatic_mode_a_failed_call_is_retried_within_the_drain_grace() -> None:
    memory = Memory(membership_mode="automatic")
    for _ in range(12):
        calls_before, began = memory.state.calls, memory.now
        memory.take(RouteCallFailed("no connection", calls_before))
        while memory.state.calls == calls_before:
            memory.until(memory.now + 10.0)
        assert memory.now - began < 400.0


BOTH_MODES = pytest.mark.parametrize("mode", ["automatic", "subscribe"])


def silent_once(directory: Directory) -> None:
    directory.silent = 1


def silent(directory: Directory) -> None:
    directory.silent = 1_000


def busy_twice(directory: Directory) -> None:
    directory.broken = [b"", b""]


@BOTH_MODES
@pytest.mark.parametrize("prepare", [silent_once, busy_twice])
def test_new_process_sends_no_job_before_a_fresh_list(
    begin: Start, mode: str, prepare: Callable[[Directory], None]
) -> None:
    terminated, serving = Hop("s-1"), Hop("s-2")
    scheduler = begin(terminated, serving, prepare=prepare, **(SUBSCRIBED | {"membership_mode": mode}))
    sent = [scheduler.submit("social-booking") for _ in range(4)]  # sent although the process isn't ready
    assert scheduler.get("/ready").status == 503
    scheduler.directory.publish(terminated.entry(lifecycle="terminated"))
    for _ in sent:
        serving.job().say("done", result="seat")
    assert [ended(s.getresponse()) for s in sent] == [(200, b"seat")] * 4
    assert terminated.jobs.empty() and not terminated.seen and scheduler.get("/ready").status == 200


@BOTH_MODES
def test_process_is_ready_as_soon_as_discovery_has_answered(begin: Start, mode: str) -> None:
    settings = SUBSCRIBED | {"membership_mode": mode}
    # The lock holds discovery's answer back.
    scheduler = begin(Hop(), prepare=lambda directory: directory.changed.acquire(), **settings)
    try:
        assert scheduler.get("/ready").status == 503
    finally:
        scheduler.directory.changed.release()
    assert until(lambda: scheduler.get("/ready").status == 200, 0.5)


@BOTH_MODES
def test_process_serves_by_its_old_list_if_discovery_is_silent(begin: Start, mode: str) -> None:
    hop = Hop()
    began = time.monotonic()
    scheduler = begin(hop, prepare=silent, **(SUBSCRIBED | {"membership_mode": mode}))
    assert until(lambda: scheduler.get("/ready").status == 200, FIRST_WORD_MS / 1000 + 2.0)
    assert time.monotonic() - began > FIRST_WORD_MS / 1000
    sent = scheduler.submit("social-booking")
    hop.job().say("done", result="seat")
    assert ended(sent.getresponse()) == (200, b"seat")


def test_no_job_is_sent_by_a_stale_list_until_it_is_confirmed_or_the_wait_is_over() -> None:
    patient = [c | {"aim_ms": 20_000} for c in CLASSES]
    for answered in (True, False):
        memory = Memory(request_classes=patient, **SUBSCRIBED)
        due = memory.now + CHANGE_MS
        memory.until(memory.now + 3_000.0)
        memory.take(RouteCallFailed("no answer in time", memory.state.calls, silent=True))
        memory.until(due - 10.0)
        assert [e for e in memory.submit(1, 1, 20_000.0) if isinstance(e, OpenBranch)]
        memory.until(due + 100.0)
        assert not [e for e in memory.submit(2, 1, 20_000.0) if isinstance(e, OpenBranch)]
        opened_before = len(memory.all(OpenBranch))
        if answered:
            memory.take(RouteUpdate(ListMode.DELTA, 9, (), memory.state.calls))
        else:
            memory.until(due + FIRST_WORD_MS - 200.0)
            assert len(memory.all(OpenBranch)) == opened_before
            memory.until(due + FIRST_WORD_MS + 200.0)
        assert len(memory.all(OpenBranch)) == opened_before + 1


def test_indented_list_is_parsed(begin: Start) -> None:
    old, new = Hop("s-1"), Hop("s-2")
    scheduler = begin(old, **SUBSCRIBED)
    scheduler.directory.indent = 4
    scheduler.directory.tell(new.entry(), old.entry(lifecycle="terminating"))
    sent = scheduler.submit()
    new.job().say("done", result="list")
    assert ended(sent.getresponse()) == (200, b"list")


def test_change_from_a_new_discovery_arrives_in_time_after_one_silent_call(begin: Start) -> None:
    drained, other, later = Hop("s-1"), Hop("s-2"), Directory()
    scheduler = begin(drained, other, **SUBSCRIBED)
    later.whole, later.silent = [drained.entry(lifecycle="terminating"), other.entry()], 1
    moved = time.monotonic()
    scheduler.reload(discovery=later.server.address)
    assert until(lambda: scheduler.counters().get("discovery.answers.full"), MOVED_MS / 1000)
    assert time.monotonic() - moved < MOVED_MS / 1000
    for _ in range(4):
        sent = scheduler.submit("social-booking")
        other.job().say("done", result="seat")
        assert ended(sent.getresponse()) == (200, b"seat")
    assert drained.jobs.empty()
    later.server.stop()


# ----------------------------------------------------------- other requirements of the fleet test


@pytest.mark.parametrize("when", ["idle", "taken"])
def test_delayed_second_answer_reaches_no_other_job(begin: Start, when: str) -> None:
    scheduler = begin(hop := Hop(), **SUBSCRIBED)
    sent = scheduler.submit()
    first = hop.job()
    first.say("done", result="first")
    assert ended(sent.getresponse()) == (200, b"first")
    first.began = False
    if when == "idle":
        with suppress(OSError):  # the scheduler closes at the first unexpected bytes, maybe before the last
            first.say("done", result="again")
        time.sleep(0.01)
        sent, second = scheduler.submit(), hop.job()
        assert second.port != first.port  # a connection with unexpected data is not reused
    else:
        sent, second = scheduler.submit(), hop.job()
        assert second.port == first.port
        first.say("done", result="again")
        time.sleep(0.05)
        second = hop.job()  # a match-list job may be retried
    second.say("done", result="second")
    assert ended(sent.getresponse()) == (200, b"second")


def test_connection_accepted_a_second_late_carries_no_job(begin: Start) -> None:
    late, other = Hop("s-1"), Hop("s-2")
    late.server.stop()
    with socket.create_server(("127.0.0.1", 0), backlog=0) as slow, ExitStack() as pending_connects:
        while True:  # fill the accept queue: further connects wait until one is accepted
            dial = pending_connects.enter_context(socket.socket())
            dial.settimeout(0.1)
            try:
                dial.connect(slow.getsockname())
            except TimeoutError:
                break
        entry = late.entry(hostPort="{}:{}".format(*slow.getsockname()))
        scheduler = begin(other, **SUBSCRIBED)
        scheduler.directory.tell(entry)
        began, received = time.monotonic(), list[bytes]()

        def accept_late() -> None:
            time.sleep(1.0)
            slow.settimeout(1.0)
            with suppress(TimeoutError):
                while True:
                    taken, _ = slow.accept()
                    taken.settimeout(0.5)
                    with taken, suppress(TimeoutError, ConnectionError):
                        received.append(taken.recv(100))

        accepter = threading.Thread(target=accept_late)
        accepter.start()
        for _ in range(6):
            sent = scheduler.submit("social-booking")
            other.job().say("done", result="seat")
            assert ended(sent.getresponse()) == (200, b"seat")
        assert time.monotonic() - began < 2.5  # a connect times out after 250 ms
        accepter.join()
        assert not [text for text in received if b"Req-Id" in text]


def test_requests_after_sigterm_are_answered_or_closed_between_requests(begin: Start) -> None:
    """Clients keep sending on every connection that stays open, until SIGKILL."""
    scheduler = begin(hop := Hop(), **SUBSCRIBED)
    stop_threads, connection_errors, answered = threading.Event(), list[str](), Counter[int]()

    def work() -> None:
        while not stop_threads.is_set():
            with suppress(Empty):
                job = hop.jobs.get(timeout=0.05)
                with suppress(OSError):
                    job.say("done", result="ok")

    def send(connection: HTTPConnection) -> None:
        while True:
            try:
                scheduler.submit(on=connection, wait="1500m")
                response = connection.getresponse()
                response.read()
            except (RemoteDisconnected, ConnectionError, BrokenPipeError) as error:
                connection_errors.append(repr(error))  # closed between requests: this one was not read
                return
            answered[response.status] += 1
            if response.will_close:
                return
            time.sleep(0.02)

    threads = [threading.Thread(target=work) for _ in range(2)]
    threads += [threading.Thread(target=send, args=(scheduler.connect(),)) for _ in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    scheduler.ask_to_stop()
    time.sleep(3.7)
    scheduler.process.kill()
    stop_threads.set()
    for thread in threads:
        thread.join(SOON)
        assert not thread.is_alive()
    code, lines = scheduler.stopped()
    counters = lines[-1]["counters"]
    assert code == 0 and lines[-1]["event"] == "stopped"  # it exited before SIGKILL
    assert set(answered) <= {200, 503} and answered[200] > 200
    assert sum(answered.values()) == counters["requests.taken.match-list"] and len(connection_errors) <= 6


def test_request_is_answered_by_its_deadline(begin: Start) -> None:
    scheduler = begin(hop := Hop(), **SUBSCRIBED)
    began = time.monotonic()
    waiting = [scheduler.submit(wait="400m", on=HTTPConnection("127.0.0.1", scheduler.port, timeout=SOON))
               for _ in range(20)]
    statuses = [sent.getresponse().status for sent in waiting]
    assert time.monotonic() - began < 0.4 + 0.05 and set(statuses) <= {503, 500}
    assert hop.jobs.qsize() <= 20
