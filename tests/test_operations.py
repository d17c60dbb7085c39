"""The admin address over real sockets while jobs run: calls, figures, worker nodes offline, draining."""

from __future__ import annotations

import asyncio
import json
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from http.client import HTTPConnection
from pathlib import Path

import pytest

from flintfield.memory.orders import Book, Word, read_book
from flintfield.units.operations import Keeper
from peers import SOON, Hop, Scheduler, Start, ended, start, until

Begin = Callable[..., Scheduler]
LIST_MODULES = """import sys, flintfield.lifecycle.start
print([m for m in sys.modules if m.startswith('flintfield') and ('admin' in m or 'operations' in m
      or 'orders' in m or 'figures' in m or 'handover' in m)])"""


@pytest.fixture
def operated(begin: Start, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Begin]:
    """Start schedulers with an admin address."""
    (tmp_path / "kept").mkdir()
    monkeypatch.setenv("TMPDIR", str(tmp_path / "kept"))
    monkeypatch.setenv("LB_ADMIN", "127.0.0.1:0")
    yield begin


def call(scheduler: Scheduler, path: str, method: str = "PUT", body: bytes | None = None) -> tuple[int, str]:
    connection = HTTPConnection("127.0.0.1", scheduler.ports["admin_port"], timeout=1.0)
    connection.request(method, f"/control/{path}", body)
    response = connection.getresponse()
    return response.status, response.read().decode()


def figures(scheduler: Scheduler) -> dict[str, int]:
    lines = call(scheduler, "counters", "GET")[1].splitlines()
    return {name: int(figure) for name, _, figure in (line.partition("=") for line in lines)}


def serve(hop: Hop) -> None:
    """Serve all jobs from now on, in a thread."""
    def work() -> None:
        while True:
            hop.jobs.get().say("done", result="seat")

    threading.Thread(target=work, daemon=True).start()


def serve_one(scheduler: Scheduler, hop: Hop, connection: HTTPConnection) -> None:
    scheduler.submit(on=connection)
    hop.job().say("done", result="x")
    assert ended(connection.getresponse()) == (200, b"x")


@pytest.mark.parametrize(("method", "path", "status"), [
    ("GET", "ready", 200), ("GET", "counters?a=1", 200), ("PUT", "out-of-service", 200),
    ("PUT", "in-service", 200), ("PUT", "worker-nodes/s-1/offline", 200),
    ("PUT", "worker-nodes/s%2D1/offline", 200), ("PUT", "worker-nodes/s-1/online", 200),
    ("PUT", "worker-nodes/s-2/offline", 404),
    ("PUT", "worker-nodes/s-2/online", 404), ("PUT", "worker-nodes//offline", 404),
    ("PUT", "worker-nodes/%ff/offline", 404), ("PUT", "worker-nodes/s-1", 404),
    ("PUT", "worker-nodes/s-1/gone", 404), ("PUT", "nothing", 404), ("GET", "", 404),
    ("PUT", "ready", 405), ("POST", "counters", 405), ("GET", "out-of-service", 405),
    ("GET", "worker-nodes/s-1/offline", 405), ("HEAD", "ready", 405),
    ("PUT", "worker-nodes/" + "x" * 100_000, 431),
])
def test_valid_and_invalid_calls(operated: Begin, method: str, path: str, status: int) -> None:
    scheduler = operated(Hop())
    assert call(scheduler, path, method)[0] == status
    assert call(scheduler, path, method, b"a body nobody asked for")[0] == status
    assert scheduler.get("/control/ready").status == 404  # the main address does not serve these calls


def test_without_an_admin_address_nothing_is_loaded(begin: Start, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("LB_ADMIN", raising=False)
    scheduler = begin(Hop())
    assert "admin_port" not in scheduler.ports
    # No second listening socket, and no module of the feature is imported.
    loaded = subprocess.run([sys.executable, "-c", LIST_MODULES], capture_output=True, check=True).stdout
    assert loaded.strip() == b"[]"


@pytest.mark.parametrize(("name", "value", "word"), [
    ("LB_ADMIN", "here", "admin: found 'here', expected host:port"),
    ("LB_ACCEPT_FD", "three", "LB_ACCEPT_FD: found 'three', expected the number of a descriptor"),
])
def test_a_faulty_environment_variable_is_reported(
    begin: Start, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str, value: str, word: str
) -> None:
    good = begin(Hop())
    monkeypatch.setenv(name, value)
    process = start(tmp_path, good.config)
    _, error = process.communicate(timeout=SOON)
    assert process.returncode == 2 and word in error and error.count("\n") == 1


def test_figures_match_what_callers_received(operated: Begin) -> None:
    scheduler = operated(hop := Hop())
    connection = scheduler.connect()
    for cls, how in (("match-list", "done"), ("match-list", "done"), ("social-booking", "done"),
                     ("social-booking", "failed")):
        scheduler.submit(cls, on=connection)
        hop.job().say(how, result="seat")
        ended(connection.getresponse())
    scheduler.submit("match-list", wait="1m", on=connection)  # too little time left: refused unrouted
    assert ended(connection.getresponse())[0] in (503, 500)
    running = scheduler.submit("social-booking")
    job = hop.job()
    told = figures(scheduler)
    assert told["served.match-list"] == 2 and told["served.social-booking"] == 1
    assert told["failed.social-booking"] == 1
    assert told["refused.match-list"] + told["failed.match-list"] == 1
    assert (told["attempts"], told["in_flight"]) == (5, 1)
    assert (told["worker_nodes_known"], told["worker_nodes_excluded"]) == (1, 0)
    job.say("done", result="seat")
    ended(running.getresponse())
    call(scheduler, "worker-nodes/s-1/offline")
    told = figures(scheduler)
    assert (told["in_flight"], told["served.social-booking"], told["worker_nodes_excluded"]) == (0, 2, 1)
    counters = scheduler.counters()
    assert counters["answers.served.match-list"] == told["served.match-list"]
    assert counters["branches.whole"] == told["attempts"]


def test_silent_and_slow_clients_do_not_block_others(operated: Begin) -> None:
    scheduler = operated(hop := Hop())
    serve(hop)
    address = ("127.0.0.1", scheduler.ports["admin_port"])
    silent = [socket.create_connection(address, timeout=SOON) for _ in range(40)]
    for sock in silent[::2]:
        sock.sendall(b"GET /control/rea")
    jobs = [scheduler.submit() for _ in range(30)]
    for _ in range(20):
        began = time.monotonic()
        assert call(scheduler, "ready", "GET") == (200, "ready\n")
        assert time.monotonic() - began < 1.0
    assert [ended(job.getresponse())[0] for job in jobs] == [200] * 30
    pieces = socket.create_connection(address, timeout=SOON)
    for byte in b"PUT /control/worker-nodes/s-1/offline HTTP/1.1\r\nHost: a\r\n\r\n":
        pieces.sendall(bytes([byte]))
        time.sleep(0.001)
    assert pieces.makefile("rb").read().startswith(b"HTTP/1.1 200")
    gone = socket.create_connection(address)
    gone.sendall(b"PUT /control/worker-nodes/s-1/online HTTP/1.1\r\nHost: a\r\n\r\n")
    gone.close()  # before its answer: the order is in force
    assert until(lambda: figures(scheduler)["worker_nodes_excluded"] == 0)
    for sock in silent[1::2]:  # clients that sent nothing are closed within 2 s
        assert sock.recv(1) == b""
    assert "defects" not in scheduler.counters()


# --------------------------------------------------------- worker nodes offline


def test_an_offline_order_persists_over_list_changes_and_the_node_returns_cold(operated: Begin) -> None:
    scheduler = operated(one := Hop("s-1"), two := Hop("s-2"), rules={
        "drain_grace_ms": 400, "ask_within_ms": 2000, "cold_from": 0.3, "ramp_time_ms": 60_000,
        "tip_multiple": 3, "fall_ms": 1000})
    serve(two)
    assert call(scheduler, "worker-nodes/s-1/offline") == (200, "in force\n")
    assert call(scheduler, "worker-nodes/s-1/offline") == (200, "in force already\n")
    scheduler.directory.tell(one.entry(lifecycle="terminated"))
    scheduler.directory.tell(one.entry(startedAtMs=time.time() * 1000))
    for _ in range(8):
        assert ended(scheduler.submit().getresponse())[0] == 200
    assert one.jobs.empty() and figures(scheduler)["worker_nodes_excluded"] == 1
    assert call(scheduler, "worker-nodes/s-2/offline")[0] == 200
    began = time.monotonic()
    answer = scheduler.submit().getresponse()
    assert answer.status == 503 and answer.headers["Retry-After"] and time.monotonic() - began < 1.0
    assert call(scheduler, "worker-nodes/s-1/online")[0] == 200  # one call suffices
    caller = scheduler.submit()
    one.job().say("done", result="back")
    assert ended(caller.getresponse()) == (200, b"back")
    jobs = [scheduler.submit() for _ in range(12)]
    time.sleep(0.5)
    assert one.jobs.qsize() <= 3  # of 12 at once: the cold budget bounds them
    assert call(scheduler, "worker-nodes/s-2/online")[0] == 200
    serve(one)
    assert all(ended(job.getresponse())[0] in (200, 503) for job in jobs)


def test_jobs_at_an_offline_node_finish_and_idle_connections_are_closed(operated: Begin) -> None:
    scheduler = operated(hop := Hop())
    caller = scheduler.submit("match-list")
    job = hop.job()
    call(scheduler, "worker-nodes/s-1/offline")
    while not hop.probe_ports.empty():
        hop.probe_ports.get()
    job.say("done", result="list")
    assert ended(caller.getresponse()) == (200, b"list")
    assert until(lambda: job.peer.connection.fileno() < 0)  # the next hop saw the connection close
    time.sleep(1.2)
    assert hop.probe_ports.qsize() <= 1  # one probe may have been in flight


@pytest.mark.parametrize("damage", [
    b"", b"{", b'{"form":1,"orders":{"s-1":[1,2]}}', b'{"form":2,"orders":{}}', b"\xff\xfe", b"[" * 100_000])
def test_a_damaged_orders_file_is_reported_and_does_not_prevent_the_start(
    operated: Begin, tmp_path: Path, damage: bytes
) -> None:
    (tmp_path / "kept" / "flintfield-n1.orders").write_bytes(damage)
    scheduler = operated(Hop())
    assert call(scheduler, "ready", "GET")[0] == 200
    assert figures(scheduler)["worker_nodes_excluded"] == 0
    assert scheduler.counters()["orders.unread"] == 1
    scheduler.process.kill()
    assert "orders not read" in scheduler.process.communicate()[1]


def test_orders_persist_over_a_restart_if_the_folder_remains(operated: Begin, tmp_path: Path) -> None:
    scheduler = operated(Hop())
    assert call(scheduler, "worker-nodes/s-1/offline")[0] == 200
    assert call(scheduler, "out-of-service")[0] == 200
    scheduler.process.kill()
    process = start(tmp_path, scheduler.config)
    try:
        assert process.stdout
        scheduler.ports = json.loads(process.stdout.readline())
        scheduler.port = scheduler.ports["port"]
        assert figures(scheduler)["worker_nodes_excluded"] == 1
        assert call(scheduler, "ready", "GET")[0] == 200 and scheduler.get("/ready").status == 503
    finally:
        process.kill()
        process.communicate()


def test_an_order_that_is_not_persisted_is_in_force_and_answered_500(operated: Begin, tmp_path: Path) -> None:
    scheduler = operated(Hop())
    (tmp_path / "kept" / "flintfield-n1.orders").mkdir()
    status, word = call(scheduler, "worker-nodes/s-1/offline")
    assert status == 500 and "not kept" in word
    assert figures(scheduler)["worker_nodes_excluded"] == 1
    (tmp_path / "kept" / "flintfield-n1.orders").rmdir()
    assert call(scheduler, "worker-nodes/s-1/offline") == (200, "in force already\n")


# ---------------------------------------------------------------------- draining


def test_a_drain_empties_the_scheduler_without_losing_jobs(operated: Begin) -> None:
    scheduler = operated(hop := Hop())
    idle, busy, late = scheduler.connect(), scheduler.connect(), scheduler.connect()
    for connection in (idle, late):
        serve_one(scheduler, hop, connection)
    scheduler.submit(on=busy)
    job = hop.job()
    job.say("started")  # a job that has not started is given up after about 3 s
    assert call(scheduler, "out-of-service")[0] == 200
    assert call(scheduler, "out-of-service") == (200, "in force already\n")
    assert scheduler.get("/ready").status == 503 and call(scheduler, "ready", "GET")[0] == 200
    scheduler.submit(on=late)  # a job on an open connection is served, then the connection is closed
    hop.job().say("done", result="y")
    answer = late.getresponse()
    assert answer.status == 200 and answer.headers["Connection"] == "close"
    assert answer.read() == b"y"
    idle.sock.settimeout(2.0)
    assert idle.sock.recv(1) == b""  # closed, not reset
    job.say("done", result="z")
    answer = busy.getresponse()
    assert (answer.status, answer.read(), answer.headers["Connection"]) == (200, b"z", "close")
    assert call(scheduler, "in-service")[0] == 200
    assert scheduler.get("/ready").status == 200
    kept = scheduler.connect()
    for _ in range(2):  # connections stay open again
        serve_one(scheduler, hop, kept)
    assert kept.sock and scheduler.process.poll() is None


def test_sigterm_during_a_drain_gives_exit_code_0(operated: Begin) -> None:
    scheduler = operated(hop := Hop())
    caller = scheduler.submit()
    job = hop.job()
    call(scheduler, "out-of-service")
    scheduler.ask_to_stop()
    job.say("done", result="x")
    assert ended(caller.getresponse()) == (200, b"x")
    assert scheduler.stopped()[0] == 0


def test_the_last_change_is_persisted_when_too_many_writes_are_pending(tmp_path: Path) -> None:
    async def change_while_the_disk_stalls() -> None:
        book: Book = {}
        keeper = Keeper(path, lambda: book)
        keeper.start(asyncio.get_running_loop().call_soon_threadsafe)
        for n in range(40):  # faster than the file is written, so that most find too many writes pending
            book[f"s-{n}"] = Word(float(n), True)
            keeper.changed()
        assert await keeper.wait() == "" and read_book(path.read_bytes()) == book

    path = tmp_path / "orders"
    asyncio.run(change_while_the_disk_stalls())
