"""What crosses on a socket in one instant: the program is stopped, all is laid ready, and it goes on."""

from __future__ import annotations

import json
import os
import signal
import socket
import struct
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import datetime
from pathlib import Path

import anyio
import pytest

from flintfield.base.config import read_config
from flintfield.lifecycle.program import Program
from flintfield.wire.http1.sockets import LOOP

from peers import SETTINGS, SOON, Hop, Scheduler, Start, ended, until
from support.inside import Log, played

RESET = struct.pack("ii", 1, 0)  # for SO_LINGER: a close resets


def request(body: bytes = b"", name: str = "", cls: str = "match-list", wait: str = "8000m") -> bytes:
    return (b"POST /%b HTTP/1.1\r\nHost: f\r\nReq-Id: %b\r\nReq-Kind: %b\r\nReq-Deadline: %b\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (cls.encode(), (name or os.urandom(8).hex()).encode(),
                                               cls.encode(), wait.encode(), len(body), body))


def dial(scheduler: Scheduler) -> socket.socket:
    return socket.create_connection(("127.0.0.1", scheduler.port), SOON)


@contextmanager
def frozen(scheduler: Scheduler) -> Iterator[None]:
    """The program stands still: what is done meanwhile it finds all at once."""
    pid = scheduler.process.pid
    scheduler.process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, pid, os.WSTOPPED | os.WNOWAIT)
    yield
    scheduler.process.send_signal(signal.SIGCONT)


def has_bytes(sock: socket.socket) -> bool:
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except BlockingIOError:
        return False


def close(sock: socket.socket) -> None:
    sock.close()


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


def half_close(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)


def close_behind_more(sock: socket.socket) -> None:
    sock.sendall(b"POST /match-list HTTP/1.1\r\nReq-Id: ")
    sock.close()


LEAVES = pytest.mark.parametrize("leave", [close, reset, half_close, close_behind_more])


@LEAVES
@pytest.mark.parametrize("body", [b"", b"job"])
def test_no_attempt_begins_for_a_caller_that_has_left(
    begin: Start, leave: Callable[[socket.socket], None], body: bytes
) -> None:
    hop = Hop()
    scheduler = begin(hop)
    caller = dial(scheduler)
    with frozen(scheduler):
        caller.sendall(request(body))
        leave(caller)
    told = "requests.bad.400" if leave is close_behind_more else "requests.left.match-list"
    assert until(lambda: scheduler.counters().get(told))
    assert not scheduler.counters().get("branches.whole") and hop.jobs.empty() and not hop.seen


@LEAVES
def test_no_further_attempt_begins_for_a_caller_that_has_left(
    begin: Start, leave: Callable[[socket.socket], None]
) -> None:
    hops = Hop("s-1"), Hop("s-2")
    scheduler = begin(*hops)
    caller = dial(scheduler)
    caller.sendall(request())
    assert until(lambda: not all(h.jobs.empty() for h in hops))
    first, other = hops if not hops[0].jobs.empty() else hops[::-1]
    job = first.job()
    with frozen(scheduler):
        job.status(503, Srv_Declined="1")
        leave(caller)
    assert until(lambda: scheduler.counters().get("requests.left.match-list"))
    assert scheduler.counters()["branches.opened"] == 2 and other.jobs.empty() and not other.seen


def test_a_body_is_not_sent_for_a_caller_that_left_after_the_head(begin: Start) -> None:
    hop = Hop()
    scheduler = begin(hop)
    for went in range(20):  # until it is stopped before it sends the body unasked, which it does after 0.1 s
        hop.heads.put("wait")
        hop.go_on.clear()
        hop.went_on.clear()
        caller = dial(scheduler)
        caller.sendall(request(b"job"))
        asked = hop.asked.get(timeout=SOON)
        with frozen(scheduler):
            caught = not has_bytes(asked)
            caller.close()
            hop.go_on.set()
            assert hop.went_on.wait(SOON)
        assert until(lambda n=went: scheduler.counters().get("requests.left.match-list") == n + 1)
        if caught:
            break
    assert caught and scheduler.counters().get("branches.whole", 0) == went
    assert hop.jobs.qsize() == went


def test_others_are_served_after_a_caller_that_left(begin: Start) -> None:
    hop = Hop()
    scheduler = begin(hop)
    caller = dial(scheduler)
    with frozen(scheduler):
        caller.sendall(request(b"job"))
        caller.close()
    sent = scheduler.submit()
    hop.job().say("done", result="list")
    assert ended(sent.getresponse()) == (200, b"list")


def took_to_stop(scheduler: Scheduler) -> float:
    """By its own log: how long the end of a process takes on a busy machine is no matter here."""
    code, lines = scheduler.stopped()
    at = {line["event"]: datetime.fromisoformat(line["timestamp"]) for line in lines}
    assert code == 0
    return (at["stopped"] - at["stopping"]).total_seconds()


def ends_of(sock: socket.socket) -> bytes:
    """All that comes until the other side ends; a reset is an error."""
    sock.settimeout(SOON)
    text = b""
    while piece := sock.recv(65_536):
        text += piece
    return text


@pytest.mark.parametrize("served", [False, True])
def test_a_request_that_crosses_an_idle_connections_end_is_not_reset(tmp_path: Path, served: bool) -> None:
    """In one loop with the program: what is sent as its end comes is sent before it goes on."""
    config = {"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    (path := tmp_path / "config.json").write_text(json.dumps(config))
    sock, came = socket.socket(), list[bytes]()

    async def cross() -> None:
        await anyio.wait_readable(sock)
        came.append(sock.recv(1))
        sock.send(request())
        sock.send(b"P")  # fails after a reset
        await anyio.wait_readable(sock)
        came.append(sock.recv(1))

    async def main() -> None:
        async def play(ports: dict[str, int]) -> None:
            sock.connect(("127.0.0.1", ports["port"]))
            if served:
                sock.sendall(b"GET /counters HTTP/1.1\r\nHost: f\r\n\r\n")
                while not (text := await read_some(sock)).endswith(b"}"):
                    assert text
            tasks.start_soon(cross)

        async with anyio.create_task_group() as tasks:
            await played(Program(read_config({"LB_CONFIG": str(path)}), [], log), log, play)

    log = Log()
    with sock:
        anyio.run(main, backend_options=LOOP)
    assert came == [b"", b""]
    counters = next(told["counters"] for event, told in log.lines if event == "stopped")
    assert not counters.get("requests.taken.match-list")


async def read_some(sock: socket.socket) -> bytes:
    await anyio.wait_readable(sock)
    return sock.recv(65_536)


def test_who_says_nothing_in_time_meets_a_clean_end(begin: Start) -> None:
    scheduler = begin(Hop())
    caller = dial(scheduler)
    caller.settimeout(SOON)
    assert caller.recv(1, socket.MSG_PEEK) == b""
    caller.sendall(request())
    caller.sendall(b"P")
    assert ends_of(caller) == b"" and scheduler.hops[0].jobs.empty()
    assert not scheduler.counters().get("requests.taken.match-list")


def test_who_never_closes_does_not_hold_the_end_up(begin: Start) -> None:
    scheduler = begin(Hop())
    callers = [dial(scheduler) for _ in range(3)]
    for caller in callers:
        caller.sendall(b"GET /ready HTTP/1.1\r\nHost: f\r\n\r\n")
        assert b"200" in caller.recv(65_536)
    scheduler.ask_to_stop()
    assert took_to_stop(scheduler) < 3.7  # the kill comes no sooner
    assert all(ends_of(caller) == b"" for caller in callers)


STOPS = pytest.mark.parametrize("signals", [(signal.SIGTERM,) * 2, (signal.SIGTERM, signal.SIGINT),
                                            (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)])


@STOPS
def test_who_is_told_to_end_more_than_once_settles_all_and_ends_in_order(
    begin: Start, signals: tuple[signal.Signals, ...]
) -> None:
    hop = Hop()
    scheduler = begin(hop)
    sent = scheduler.submit("social-booking")
    job = hop.job()
    with frozen(scheduler):  # it finds all of them at once
        for number in signals:
            scheduler.process.send_signal(number)
    job.say("done", result="seat")
    assert ended(sent.getresponse()) == (200, b"seat")
    sent.close()
    assert scheduler.stopped()[0] == 0


@pytest.mark.parametrize("told", [True, False])
def test_told_to_end_with_discovery_down_it_settles_all(begin: Start, told: bool) -> None:
    """Also one that has just started and heard nothing yet: what it holds is given up with an answer."""
    hop = Hop()
    scheduler = begin(hop) if told else begin(hop, prepare=lambda directory: directory.server.stop())
    sent = scheduler.submit(wait="20000m")
    job = hop.job() if told else None
    if told:
        scheduler.directory.server.stop()
    scheduler.ask_to_stop()
    if job:
        job.say("done", result="list")
    response = sent.getresponse()
    assert (response.status, bool(response.headers["Retry-After"])) == ((200, False) if told else (503, True))
    sent.close()
    assert took_to_stop(scheduler) < 3.7


def test_a_further_attempt_is_told_what_is_left_to_the_client(begin: Start) -> None:
    hops = Hop("s-1"), Hop("s-2")
    scheduler = begin(*hops)
    sent = scheduler.submit(wait="6000m")
    assert until(lambda: not all(h.jobs.empty() for h in hops))
    began = time.monotonic()  # later than when the scheduler took it
    first, other = hops if not hops[0].jobs.empty() else hops[::-1]
    job = first.job()
    assert until(lambda: time.monotonic() > began + 0.4)
    waited = (time.monotonic() - began) * 1000
    job.status(503, Srv_Declined="1")
    again = other.job()
    left = float(again.headers["req-deadline"].removesuffix("m"))
    assert 0 < left <= 6000 - waited < float(job.headers["req-deadline"].removesuffix("m"))
    again.say("done", result="list")
    assert ended(sent.getresponse()) == (200, b"list")


def test_callers_that_fill_the_descriptors_keep_neither_discovery_nor_jobs_out(begin: Start) -> None:
    drained, other = Hop("s-1"), Hop("s-2")
    scheduler = begin(drained, other, sockets=96, descriptors=96)
    scheduler.directory.broken = [b""] * 3  # it is busy meanwhile
    scheduler.directory.publish()  # ends the watch that hangs
    idle = [dial(scheduler) for _ in range(120)]
    assert until(lambda: not scheduler.directory.broken)
    scheduler.directory.publish(drained.entry(lifecycle="terminating"))
    assert until(lambda: scheduler.counters().get("discovery.answers.delta"))
    assert scheduler.get("/ready").status == 200
    for _ in range(3):
        sent = scheduler.submit("social-booking")
        other.job().say("done", result="seat")
        assert ended(sent.getresponse()) == (200, b"seat")
    assert drained.jobs.empty() and scheduler.process.poll() is None
    for sock in idle:
        sock.close()


def test_a_half_line_in_the_instant_of_the_end_harms_nobody(begin: Start) -> None:
    """A worker node writes on as its client leaves, and as the next one asks."""
    hop = Hop()
    scheduler = begin(hop)
    caller = dial(scheduler)
    caller.sendall(request(b"job"))
    job = hop.job()
    job.say("started")
    with frozen(scheduler):
        job.peer.wfile.write(b"20\r\n{\"id\":")
        caller.close()
    assert until(lambda: scheduler.counters().get("requests.left.match-list"))
    sent = scheduler.submit()
    hop.job().say("done", result="list")
    assert ended(sent.getresponse()) == (200, b"list")
