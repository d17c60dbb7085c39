"""The store's first users in the real program: what a restart finds, and a disk that fails under load."""

from __future__ import annotations

import json
import os
import resource
import signal
import threading
import time
from collections.abc import Iterator
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

import anyio.to_thread
import msgspec
import pytest

from flintfield.base.config import read_config
from flintfield.lifecycle.operators import chosen, read_operators
from flintfield.lifecycle.program import Program
from flintfield.store import ALWAYS, Batch, Settings, open_store
from flintfield.wire.http1.sockets import LOOP
from flintfield.units.store import FORM, JOBS, Row
from peers import SOON, start, until
from support.inside import Log, played
from support.killed import BOOKING, Site, submit


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    made = Site(tmp_path, ini(tmp_path), 1)
    yield made
    made.close()


def ini(folder: Path, jobstatus: str = "", **keys: object) -> str:
    lines = "".join(f"{key} = {value}\n" for key, value in keys.items())
    return f"[jobstatus]\n{jobstatus}\n[store]\ndir = {folder / 'store'}\n{lines}"


def again(site: Site, *, killed: bool = False, **keys: Any) -> dict[str, Any]:
    """Stop the scheduler, start it anew with those keys, and tell its `restored` line."""
    assert site.process
    if killed:
        site.kill()
    elif site.process.poll() is None:
        site.process.send_signal(signal.SIGTERM)
        site.process.communicate(timeout=SOON)
    site.ini = ini(site.folder, **keys)
    site.begin()
    return line(site, "restored")


def line(site: Site, event: str) -> dict[str, Any]:
    """The next log line of that event."""
    assert site.process and site.process.stdout
    for text in site.process.stdout:
        told: dict[str, Any] = json.loads(text)
        if told["event"] == event:
            return told
    raise AssertionError(f"no line {event}")


def caller(site: Site) -> HTTPConnection:
    return HTTPConnection("127.0.0.1", site.port, timeout=SOON)


def states(site: Site, *names: str) -> list[str]:
    connection = caller(site)
    return [site.ask(connection, name)["state"] for name in names]


def book(site: Site, *names: str) -> list[int]:
    connection = caller(site)
    return [submit(connection, name) for name in names]


def counted(site: Site) -> dict[str, int]:
    connection = caller(site)
    connection.request("GET", "/counters")
    counters: dict[str, int] = json.loads(connection.getresponse().read())
    return counters


def test_outcomes_last_over_a_stop_and_a_kill_with_no_more_than_the_table_takes(site: Site) -> None:
    site.begin()
    names = [f"a{n}" for n in range(9)]
    book(site, *names)
    assert again(site)["jobs"] == 9 and states(site, *names) == ["ended"] * 9
    assert again(site, killed=True)["jobs"] == 9 and states(site, *names) == ["ended"] * 9
    assert again(site, jobstatus="max_entries = 3")["jobs"] == 3
    assert states(site, *names) == ["unknown"] * 6 + ["ended"] * 3
    assert again(site)["jobs"] == 3  # the others left the disk too


def test_what_is_kept_goes_in_its_time_whatever_happens_meanwhile(site: Site) -> None:
    site.ini = ini(site.folder, "keep_ms = 1500")
    site.begin()
    book(site, "a")
    ended = time.monotonic()
    again(site, jobstatus="keep_ms = 1500")
    assert states(site, "a") == ["ended"] or time.monotonic() - ended > 1.5
    assert until(lambda: states(site, "a") == ["unknown"], 3.0) and time.monotonic() - ended > 1.4
    assert again(site, jobstatus="keep_ms = 1500")["jobs"] == 0


def rows(site: Site, **changes: Row) -> None:
    """Write rows to a store that nobody has open, as a program that was killed would have left them."""
    store = open_store(str(site.folder / "store"), Settings())
    for name, row in changes.items():
        at = store.clock.now() if row.at == 0 else row.at
        value = msgspec.msgpack.encode(msgspec.structs.replace(row, at=at))
        store.write(Batch().put(JOBS, name.encode(), value, ttl_ms=60_000), ALWAYS)
    store.close()


def test_how_a_record_is_told_after_a_crash(site: Site) -> None:
    row = Row(FORM, BOOKING, "waiting", None, None, False, True, 0)
    rows(site, sure=row, unsure=msgspec.structs.replace(row, sure=False),
         out=msgspec.structs.replace(row, state="running", instance="s-1", ran=True),
         ended=msgspec.structs.replace(row, state="ended", outcome="refused"),
         old=msgspec.structs.replace(row, at=1), later=msgspec.structs.replace(row, form=FORM + 1))
    site.begin()
    restored = line(site, "restored")
    assert (restored["jobs"], restored["interrupted"], restored["may_have_run"]) == (4, 3, 2)
    connection = caller(site)
    told = {name: site.ask(connection, name) for name in ("sure", "unsure", "out", "ended", "old", "later")}
    assert [told[n].get("may_have_run") for n in ("sure", "unsure", "out")] == [False, True, True]
    assert (told["out"]["state"], told["out"]["instance"]) == ("interrupted", "s-1")
    assert told["ended"]["outcome"] == "refused" and "may_have_run" not in told["ended"]
    assert told["old"]["state"] == told["later"]["state"] == "unknown"
    assert book(site, "out", "unsure") == [500, 500] and site.runs("out") == site.runs("unsure") == 0
    assert until(lambda: book(site, "sure") == [200])  # it never ran: it stands for the new job
    counters = counted(site)
    assert counters["store.unread"] == 1 and counters["requests.interrupted_id"] == 2


def test_prices_are_recalled_if_they_are_young_and_their_age_is_told(site: Site) -> None:
    site.ini = ini(site.folder, snapshot_s=1)
    site.begin()
    book(site, *(f"a{n}" for n in range(5)))
    again(site, snapshot_s=1)
    recalled = line(site, "recalled")
    assert (recalled["workers"], recalled["left_out"]) == (len(site.nodes), 0)
    assert 0 <= recalled["age_s"] < SOON
    time.sleep(1.5)  # a kill leaves the snapshot of the last second or two
    again(site, killed=True, snapshot_s=1)
    assert line(site, "recalled")["age_s"] < 4
    again(site, young_s=0)
    time.sleep(0.2)
    assert site.process and site.process.stdout
    site.process.send_signal(signal.SIGTERM)
    assert "recalled" not in site.process.communicate(timeout=SOON)[0]


def test_a_folder_that_is_open_elsewhere_or_is_none_ends_the_start_with_exit_code_2(site: Site) -> None:
    site.begin()
    for text in (site.ini, "[store]\ndir = /dev/null/x\n"):
        _, errors = (process := start(site.folder, site.config, ini=text)).communicate(timeout=SOON)
        assert process.returncode == 2 and "flintfield.ini: [store] " in errors and errors.count("\n") == 1


# ------------------------------------------------------------------- a disk that fails under load


def allow(site: Site, size: int) -> None:
    """How large its files may grow: a disk that is full, as far as the program sees."""
    assert site.process
    resource.prlimit(site.process.pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))


@pytest.mark.parametrize("unkept", ["refuse", pytest.param("serve", marks=pytest.mark.slow)])  # 12 s
def test_a_disk_that_fails_stalls_nobody_and_is_used_again_once_it_is_well(site: Site, unkept: str) -> None:
    site.ini = ini(site.folder, unkept=unkept)
    site.begin()
    book(site, *(f"a{n}" for n in range(5)))
    allow(site, 1)
    began, seen = time.monotonic(), []
    for n in range(30):
        seen += book(site, f"b{n}")
    took = time.monotonic() - began
    counters = counted(site)
    assert counters["store.failed"] >= 1 and took < SOON
    if unkept == "refuse":
        assert seen == [503] * 30 and counters["store.refused"] == 30
        assert not any(site.seen(f"b{n}") for n in range(30))
    else:
        assert 503 not in seen and counters["store.branches_unkept"] >= 20
    match = caller(site)
    assert submit(match, "c1", "match-list") in (200, 500)
    allow(site, resource.RLIM_INFINITY)
    assert until(lambda: counted(site).get("store.reopened", 0) >= 1)
    assert until(lambda: book(site, f"d{time.monotonic_ns():x}") == [200])
    assert until(lambda: again(site, unkept=unkept)["interrupted"] == 0, 1.0)  # what was missed was written
    assert states(site, "a0", "b3", "c1") == ["ended"] * 3


class Hanging:
    """Stands for `fdatasync`, which it keeps from returning while `hangs` is set."""

    def __init__(self) -> None:
        self.goes_on = threading.Event()
        self.goes_on.set()
        self.real = os.fdatasync

    def __call__(self, descriptor: int) -> None:
        self.goes_on.wait(60.0)
        self.real(descriptor)


def test_a_disk_that_hangs_stalls_no_request_and_not_the_end(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(os, "fdatasync", disk := Hanging())
    (site.folder / "c.json").write_text(json.dumps(site.config))
    (site.folder / "x.ini").write_text(ini(site.folder, wait_ms=200))
    log, seen = Log(), list[tuple[int, float]]()

    async def main() -> float:
        program = Program(read_config({"LB_CONFIG": str(site.folder / "c.json")}),
                          chosen(read_operators(str(site.folder / "x.ini"))), log)

        async def book_timed(name: str, kind: str = BOOKING) -> None:
            began = time.monotonic()
            status = await anyio.to_thread.run_sync(submit, caller(site), name, kind)
            seen.append((status, time.monotonic() - began))

        async def play(ports: dict[str, int]) -> None:
            site.port = ports["port"]
            await book_timed("a1")
            disk.goes_on.clear()
            await book_timed("a2")
            await book_timed("a3")
            await book_timed("c1", "match-list")
            assert program.state.counters["store.waits_cut"] == 1

        try:
            return await played(program, log, play)
        finally:
            disk.goes_on.set()

    took = anyio.run(main, backend_options=LOOP)
    assert [status for status, _ in seen] == [200, 503, 503, 200]
    assert seen[1][1] < 2.0 and seen[2][1] < 0.15  # the second one does not wait
    assert took < 6.0  # to settle takes up to 3.5 s, to close is given up after 1 s
