"""The status page over real sockets while jobs run, and the snapshot that it shows."""

from __future__ import annotations

import json
import re
import socket
import time
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

import pytest

from flintfield.decision.interface import ListMode, State as Lifecycle
from flintfield.memory.messages import BranchEnded, BranchUp, End, Ending, ProbeEnded, Reach, RouteUpdate
from flintfield.memory.status import take_status
from peers import SOON, Hop, Scheduler, Start, ended, start, until
from test_memory import DONE, Memory, route

INI = "[statuspage]\nport = 0\nrefresh_ms = 50\n"


def read(scheduler: Scheduler, path: str, method: str = "GET") -> tuple[int, str, str]:
    connection = HTTPConnection("127.0.0.1", scheduler.ports["status_port"], timeout=SOON)
    connection.request(method, path)
    response = connection.getresponse()
    return response.status, response.headers.get("Content-Type", ""), response.read().decode()


def status(scheduler: Scheduler) -> dict[str, Any]:
    told: dict[str, Any] = json.loads(read(scheduler, "/status.json")[2])
    return told


def test_the_page_shows_servers_load_and_the_last_error(begin: Start) -> None:
    scheduler = begin(hop := Hop(), ini=INI)
    caller = scheduler.submit("social-booking")
    job = hop.job()
    assert until(lambda: status(scheduler)["load"] == {"match-list": 0, "social-booking": 1})
    told = status(scheduler)
    assert re.fullmatch(r"\d+\.\d+\.\d+", told["version"]) and 0 <= told["uptime_s"] < SOON
    server = {"id": "s-1", "addr": hop.server.address, "state": "in_service", "last_error": None}
    assert told["servers"] == [server]
    job.cut()
    assert ended(caller.getresponse())[0] == 500
    assert until(lambda: status(scheduler)["servers"] == [server | {"last_error": "reset"}])
    assert status(scheduler)["load"]["social-booking"] == 0
    scheduler.directory.tell(hop.entry(lifecycle="terminating"))
    assert until(lambda: status(scheduler)["servers"][0]["state"] == "terminating")
    code, kind, page = read(scheduler, "/")
    assert code == 200 and kind.startswith("text/html")
    assert re.search("reset, [0-9]+ s ago", page) and "social-booking" in page
    scheduler.directory.tell(hop.entry(lifecycle="terminated"))
    assert until(lambda: status(scheduler)["servers"] == [])


@pytest.mark.parametrize(("method", "path", "code"), [
    ("GET", "/nothing", 404), ("GET", "/ready", 404), ("POST", "/nothing", 404), ("POST", "/", 405),
    ("HEAD", "/status.json", 405), ("GET", "/?a=1", 200), ("GET", "/status.json?a=1", 200),
])
def test_other_paths_and_methods_are_refused_as_on_the_main_port(
    begin: Start, method: str, path: str, code: int
) -> None:
    scheduler = begin(Hop(), ini=INI)
    assert read(scheduler, path, method)[0] == code
    assert scheduler.counters()[f"statuspage.answers.{code}"] == 1
    assert scheduler.get("/status.json").status == 404  # the main port does not serve the page


def test_external_names_are_escaped(begin: Start) -> None:
    scheduler = begin(Hop('s-<script>&"'), ini=INI)
    page = read(scheduler, "/")[2]
    assert "<script>" not in page and "s-&lt;script&gt;&amp;&quot;" in page
    assert status(scheduler)["servers"][0]["id"] == 's-<script>&"'


def test_an_error_is_removed_after_its_retention_time(begin: Start) -> None:
    scheduler = begin(hop := Hop(), ini=INI + "error_keep_s = 0.4\n")
    caller = scheduler.submit("social-booking")
    hop.job().cut()
    assert ended(caller.getresponse())[0] == 500
    assert until(lambda: status(scheduler)["servers"][0]["last_error"] == "reset")
    assert until(lambda: status(scheduler)["servers"][0]["last_error"] is None)


def test_clients_that_do_not_read_the_page_delay_no_job_and_are_closed(begin: Start) -> None:
    scheduler = begin(hop := Hop(), ini="[statuspage]\nport = 0\nrefresh_ms = 1000\n")
    # A page of 10 MB: a quote takes one byte in the list and six in HTML.
    huge = [hop.entry(instanceId=f"{n}" + "'" * 200_000, lifecycle="terminating") for n in range(9)]
    scheduler.directory.tell(*huge)
    assert until(lambda: len(status(scheduler)["servers"]) == 10)
    readers = []
    for _ in range(9):  # more clients than connections allowed, and a page larger than any socket buffer
        reader = socket.socket()
        reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        reader.connect(("127.0.0.1", scheduler.ports["status_port"]))
        reader.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        readers.append(reader)
    slowest, caller = 0.0, None
    for _ in range(30):
        began = time.monotonic()
        caller = scheduler.submit("match-list", on=caller)
        hop.job().say("done", result="ok")
        assert ended(caller.getresponse()) == (200, b"ok")
        slowest = max(slowest, time.monotonic() - began)
    assert slowest < 0.5
    assert read(scheduler, "/status.json")[0] == 200  # the writes end by timeout, not because clients read
    for reader in readers:
        reader.close()


def test_malformed_and_silent_clients_do_no_harm(begin: Start) -> None:
    scheduler = begin(Hop(), ini=INI)
    silent = [socket.create_connection(("127.0.0.1", scheduler.ports["status_port"])) for _ in range(9)]
    silent[0].sendall(b"\x16\x03\x01 hello\r\n\r\n")
    assert silent[0].recv(99).startswith(b"HTTP/1.1 400")
    assert read(scheduler, "/")[0] == 200  # the silent ones are closed after 2 s
    for sock in silent:
        sock.close()
    scheduler.ask_to_stop()
    assert read(scheduler, "/")[0] == 200
    assert scheduler.stopped()[0] == 0


def test_a_port_in_use_ends_the_start_with_one_line_that_names_the_key(begin: Start, tmp_path: Path) -> None:
    config = begin(Hop()).config
    with socket.create_server(("127.0.0.1", 0)) as taken:
        ini = f"[statuspage]\nport = {taken.getsockname()[1]}\n"
        _, errors = (process := start(tmp_path, config, ini=ini)).communicate(timeout=SOON)
    assert process.returncode == 2 and "[statuspage] port:" in errors and errors.count("\n") == 1


@pytest.mark.parametrize(("line", "key"), [
    ("", "port"), ("port = 65536", "port"), ("port = x", "port"), ("port = 0\nrefresh_ms = 1", "refresh_ms"),
    ("port = 0\nerror_keep_s = -1", "error_keep_s"),
])
def test_a_bad_setting_is_reported_with_exit_code_2(tmp_path: Path, line: str, key: str) -> None:
    _, errors = (process := start(tmp_path, {}, ini=f"[statuspage]\n{line}\n")).communicate(timeout=SOON)
    assert process.returncode == 2 and f"[statuspage] {key}:" in errors and errors.count("\n") == 1


# ----------------------------------------------------------------- the reducer alone


@pytest.mark.parametrize(("end", "word"), [
    (Ending(End.FAILED, Reach.ANSWERED), "error"), (Ending(End.BROKEN, Reach.DIALLING), "connect_failed"),
    (Ending(End.BROKEN, Reach.WRITING), "unsent"), (Ending(End.LOST, Reach.ANSWERED), "reset"),
    (Ending(End.DECLINED, Reach.ANSWERED), None), (DONE, None), (Ending(End.BROKEN, Reach.UNTRIED), None),
])
@pytest.mark.parametrize("of", ["branch", "probe"])
def test_errors_of_branches_and_probes_are_shown_until_the_next_hop_is_removed(
    end: Ending, word: str | None, of: str
) -> None:
    memory = Memory(1)
    memory.submit(1, cls=1)
    memory.take(BranchUp(1, 0))
    memory.take(BranchEnded(1, 0, end) if of == "branch" else ProbeEnded(1, end, 1.0))
    memory.take(ProbeEnded(77, end, 1.0))  # of a next hop that is not in the route set

    def shown() -> list[str | None]:
        told = take_status(memory.state, memory.now + 900, memory.now, ["match-list", "social-booking"], 1000)
        return [s.last_error for s in told.servers]

    assert shown() == [word]
    memory.take(RouteUpdate(ListMode.DELTA, 8, (route(1, Lifecycle.GONE),), memory.state.calls))
    assert shown() == [] and not memory.state.last_errors
