"""Races between events on sockets, reproduced by stopping the program while the events are prepared."""

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

RESET = struct.pack("ii", 1, 0)  # SO_LINGER value with which close sends a reset


def request(body: bytes = b"", name: str = "", cls: str = "match-list", wait: str = "8000m") -> bytes:
    return (b"POST /%b HTTP/1.1\r\nHost: f\r\nReq-Id: %b\r\nReq-Kind: %b\r\nReq-Deadline: %b\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (cls.encode(), (name or os.urandom(8).hex()).encode(),
                                               cls.encode(), wait.encode(), len(body), body))


def dial(scheduler: Scheduler) -> socket.socket:
    return socket.create_connection(("127.0.0.1", scheduler.port), SOON)


@contextmanager
def frozen(scheduler: Scheduler) -> Iterator[None]:
    """Stop the program; it sees everything done in the block at once when it continues."""
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


def send_more_and_close(sock: socket.socket) -> None:
    sock.sendall(b"POST /match-list HTTP/1.1\r\nReq-Id: ")
    sock.close()


LEAVES = pytest.mark.parametrize("leave", [close, reset, half_close, send_more_and_close])


@LEAVES
@pytest.mark.parametrize("body", [b"", b"job"])
def test_no_attempt_starts_for_a_disconnected_caller(
    begin: Start, leave: Callable[[socket.socket], None], body: bytes
) -> None:
    hop = Hop()
    scheduler = begin(hop)
    caller = dial(scheduler)
    with frozen(scheduler):
        caller.sendall(request(body))
        leave(caller)
    counter = "requests.bad.400" if leave is send_more_and_close else "requests.left.match-list"
    assert until(lambda: scheduler.counters().get(counter))
    assert not scheduler.counters().get("branches.whole") and hop.jobs.empty() and not hop.seen


@LEAVES
def test_no_retry_starts_for_a_disconnected_caller(
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


def test_body_is_not_sent_if_the_caller_disconnected_after_the_head(begin: Start) -> None:
    hop = Hop()
    scheduler = begin(hop)
    # Without a 100 Continue the program sends the body after 0.1 s: retry until it is stopped before that.
    for attempt in range(20):
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
        assert until(lambda n=attempt: scheduler.counters().get("requests.left.match-list") == n + 1)
        if caught:
            break
    assert caught and scheduler.counters().get("branches.whole", 0) == attempt
    assert hop.jobs.qsize() == attempt


def test_next_caller_is_served_after_a_disconnect(begin: Start) -> None:
    hop = Hop()
    scheduler = begin(hop)
    caller = dial(scheduler)
    with frozen(scheduler):
        caller.sendall(request(b"job"))
        caller.close()
    sent = scheduler.submit()
    hop.job().say("done", result="list")
    assert ended(sent.getresponse()) == (200, b"list")


def shutdown_seconds(scheduler: Scheduler) -> float:
    """Shutdown time in seconds by the program's own log, without the time the process needs to exit."""
    code, lines = scheduler.stopped()
    at = {line["event"]: datetime.fromisoformat(line["timestamp"]) for line in lines}
    assert code == 0
    return (at["stopped"] - at["stopping"]).total_seconds()


def read_to_end(sock: socket.socket) -> bytes:
    """Read until the peer closes the connection; a reset raises an exception."""
    sock.settimeout(SOON)
    text = b""
    while piece := sock.recv(65_536):
        text += piece
    return text


@pytest.mark.parametrize("served", [False, True])
def test_request_in_flight_as_its_idle_connection_closes_gets_no_reset(tmp_path: Path, served: bool) -> None:
    """Runs in the program's event loop, so that the request is sent before the program continues.

    Guards against a close that resets a connection on which a request is in flight.
    """
    config = {"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    (path := tmp_path / "config.json").write_text(json.dumps(config))
    sock, received = socket.socket(), list[bytes]()

    async def cross() -> None:
        await anyio.wait_readable(sock)
        received.append(sock.recv(1))
        sock.send(request())
        sock.send(b"P")  # fails after a reset
        await anyio.wait_readable(sock)
        received.append(sock.recv(1))

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
    assert received == [b"", b""]
    counters = next(fields["counters"] for event, fields in log.lines if event == "stopped")
    assert not counters.get("requests.taken.match-list")


async def read_some(sock: socket.socket) -> bytes:
    await anyio.wait_readable(sock)
    return sock.recv(65_536)


def test_silent_connection_is_closed_without_a_reset(begin: Start) -> None:
    scheduler = begin(Hop())
    caller = dial(scheduler)
    caller.settimeout(SOON)
    assert caller.recv(1, socket.MSG_PEEK) == b""
    caller.sendall(request())
    caller.sendall(b"P")
    assert read_to_end(caller) == b"" and scheduler.hops[0].jobs.empty()
    assert not scheduler.counters().get("requests.taken.match-list")


def test_open_idle_connections_do_not_delay_shutdown(begin: Start) -> None:
    scheduler = begin(Hop())
    callers = [dial(scheduler) for _ in range(3)]
    for caller in callers:
        caller.sendall(b"GET /ready HTTP/1.1\r\nHost: f\r\n\r\n")
        assert b"200" in caller.recv(65_536)
    scheduler.ask_to_stop()
    assert shutdown_seconds(scheduler) < 3.7  # less than the time before a SIGKILL
    assert all(read_to_end(caller) == b"" for caller in callers)


STOPS = pytest.mark.parametrize("signals", [(signal.SIGTERM,) * 2, (signal.SIGTERM, signal.SIGINT),
                                            (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)])


@STOPS
def test_repeated_stop_signals_still_finish_jobs_and_exit_cleanly(
    begin: Start, signals: tuple[signal.Signals, ...]
) -> None:
    hop = Hop()
    scheduler = begin(hop)
    sent = scheduler.submit("social-booking")
    job = hop.job()
    with frozen(scheduler):  # so that all signals are pending at once
        for number in signals:
            scheduler.process.send_signal(number)
    job.say("done", result="seat")
    assert ended(sent.getresponse()) == (200, b"seat")
    sent.close()
    assert scheduler.stopped()[0] == 0


@pytest.mark.parametrize("has_list", [True, False])
def test_shutdown_with_discovery_down_answers_every_request(begin: Start, has_list: bool) -> None:
    """Also just after the start, before discovery has answered: waiting requests get a 503."""
    hop = Hop()
    scheduler = begin(hop) if has_list else begin(hop, prepare=lambda directory: directory.server.stop())
    sent = scheduler.submit(wait="20000m")
    job = hop.job() if has_list else None
    if has_list:
        scheduler.directory.server.stop()
    scheduler.ask_to_stop()
    if job:
        job.say("done", result="list")
    response = sent.getresponse()
    assert (response.status, bool(response.headers["Retry-After"])) == (
        (200, False) if has_list else (503, True))
    sent.close()
    assert shutdown_seconds(scheduler) < 3.7


def test_retry_gets_the_clients_remaining_time(begin: Start) -> None:
    hops = Hop("s-1"), Hop("s-2")
    scheduler = begin(*hops)
    sent = scheduler.submit(wait="6000m")
    assert until(lambda: not all(h.jobs.empty() for h in hops))
    began = time.monotonic()  # later than the scheduler's accept
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


def test_callers_using_up_descriptors_block_neither_discovery_nor_jobs(begin: Start) -> None:
    drained, other = Hop("s-1"), Hop("s-2")
    scheduler = begin(drained, other, sockets=96, descriptors=96)
    scheduler.directory.broken = [b""] * 3  # discovery answers 503 to the next calls
    scheduler.directory.publish()  # ends the pending watch
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


def test_partial_line_during_a_disconnect_does_not_affect_the_next_job(begin: Start) -> None:
    """A worker node writes part of a line while its caller disconnects and the next caller sends a job."""
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
