"""The sockets engine: its parts on loopback, and short runs against real schedulers. About 20 s in all."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path

import pytest

from flintfield.lab import scenario as scenarios, sockets, virtual
from flintfield.lab.experiments.settings import Change, changed
from flintfield.lab.judge import judge
from flintfield.lab.log import (
    AnyRecord, Answered, Asked, ConnectionLost, GivenUp, LetGo, NodeState, NodeUp, SchedulerState, Sent,
    Trouble,
)
from flintfield.lab.scenario import Scenario
from flintfield.lab.sockets import planted
from flintfield.lab.sockets.context import Ledger
from flintfield.lab.sockets.faults import AnyFault, CutLine, Garbage, Reset, Stall
from flintfield.lab.sockets.listener import Listener
from flintfield.lab.sockets.proxy import Choose, share_of
from flintfield.lab.sockets.timing import Clock, Punctuality
from flintfield.lab.sockets.wire import Exchange, ServerEnd
from support import live

SOON = 10.0


def small(*changes: Change) -> Scenario:
    """A little of the calm fleet: short jobs, 6 nodes, 4 s."""
    base = [("length_s", 4.0), ("tail_s", 12.0), ("fleet.nodes", 6), ("schedulers.start_spread_ms", 0.0),
            ("classes.0.work_ms", 150.0), ("classes.1.work_ms", 250.0), ("load.per_s", 30.0)]
    return changed(scenarios.load("agem-calm"), [*base, *changes])


# ---------------------------------------------------------------------- parts


def played(talk: Coroutine[object, object, None]) -> None:
    asyncio.run(asyncio.wait_for(talk, SOON))


def dialled(address: tuple[str, int], within: float = 0.2) -> str:
    """How a dial goes: `up`, `refused` or `silent`."""
    with socket.socket() as sock:
        sock.settimeout(within)
        try:
            sock.connect(address)
        except TimeoutError:
            return "silent"
        except ConnectionRefusedError:
            return "refused"
        return "up"


def test_a_silent_listener_neither_takes_nor_refuses_and_speaks_again() -> None:
    async def talk() -> None:
        listener, loop = Listener("127.0.0.1", asyncio.Protocol), asyncio.get_running_loop()

        async def dial() -> str:
            return await loop.run_in_executor(None, dialled, listener.address)

        listener.open()
        seen = [await dial()]
        listener.silence()
        seen.append(await dial())
        listener.speak()
        seen.append(await dial())
        listener.close()
        seen.append(await dial())
        address = listener.address
        listener.open()
        seen.append(await dial())
        assert seen == ["up", "silent", "up", "refused", "up"] and listener.address == address
        listener.close()

    played(talk())


class Seen:
    """A party that writes down what it and the onlooker see."""

    def __init__(self) -> None:
        self.words: list[str] = []
        self.exchange: Exchange | None = None

    def sent(self, exchange: Exchange, first_at: float) -> None:
        self.words.append("sent")

    def let_go(self, exchange: Exchange) -> None:
        self.words.append("let go")

    def connected(self, end: ServerEnd) -> None:
        """Nothing."""

    def head(self, exchange: Exchange) -> None:
        self.words.append("head")
        if exchange.expects:
            exchange.go_on()

    def whole(self, exchange: Exchange) -> None:
        self.words.append(f"whole {exchange.body.decode()}")
        self.exchange = exchange

    def left(self, end: ServerEnd, exchange: Exchange | None) -> None:
        self.words.append("left" if exchange else "closed")


REQUEST = b"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"


async def met(party: Seen) -> tuple[ServerEnd, asyncio.StreamReader, asyncio.StreamWriter]:
    loop = asyncio.get_running_loop()
    ends: list[ServerEnd] = []

    def end() -> ServerEnd:
        ends.append(ServerEnd(party, lambda: loop.time() * 1000))
        return ends[-1]

    server = await loop.create_server(end, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    server.close()
    while not ends:
        await asyncio.sleep(0.001)
    return ends[0], reader, writer


async def until(true: object, seen: list[str]) -> None:
    while true not in seen:
        await asyncio.sleep(0.001)


def test_the_body_comes_after_a_100_and_lines_go_out_in_chunks() -> None:
    async def talk() -> None:
        party = Seen()
        _, reader, writer = await met(party)
        writer.write(REQUEST)
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"job")
        await until("whole job", party.words)
        assert party.exchange
        party.exchange.line(b"{}")
        party.exchange.line(b"[]", last=True)
        whole = await reader.readuntil(b"0\r\n\r\n")
        assert whole.endswith(b"\r\n\r\n3\r\n{}\n\r\n3\r\n[]\n\r\n0\r\n\r\n")
        assert party.words == ["sent", "head", "whole job", "let go"]
        writer.close()

    played(talk())


def test_the_onlooker_sees_past_a_cut_and_the_party_does_not() -> None:
    async def talk() -> None:
        party = Seen()
        end, reader, writer = await met(party)
        end.hold(inward=True, outward=True)
        writer.write(REQUEST)
        await until("sent", party.words)
        writer.close()
        await until("let go", party.words)
        assert party.words == ["sent", "let go"]
        end.hold(inward=False, outward=False)
        assert party.words == ["sent", "let go", "head", "left"]

    played(talk())


def test_an_answer_held_back_counts_as_let_go_once_it_leaves() -> None:
    async def talk() -> None:
        party = Seen()
        end, reader, writer = await met(party)
        writer.write(b"POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
        await until("whole ", party.words)
        end.hold(inward=False, outward=True)
        assert party.exchange
        party.exchange.reply(200, b"yes")
        await asyncio.sleep(0.02)
        assert "let go" not in party.words
        end.hold(inward=False, outward=False)
        assert (await reader.readuntil(b"yes")).startswith(b"HTTP/1.1 200 OK")
        assert "let go" in party.words
        writer.close()

    played(talk())


def test_records_that_come_late_find_their_place() -> None:
    seen: list[AnyRecord] = []
    ledger = Ledger(seen.append)
    for at in (5.0, 3.0, 9.0):
        ledger.add(Trouble(at, "x", True))
    ledger.flush(6.0)
    ledger.add(Trouble(1.0, "too late", True))
    ledger.flush(10.0)
    assert [r.at for r in seen] == [3.0, 5.0, 5.0, 9.0] and ledger.count == 4


def test_only_a_lateness_of_the_engine_or_of_that_scheduler_excuses_a_broken_rule() -> None:
    clock = Clock()
    clock.begin()
    watch = Punctuality(clock)
    watch.waited("s01", 0.0, 10.0)
    assert watch.excuse(0.0, "s01 had not answered") == ""
    watch.waited("s01", 0.0, 40.0)
    assert watch.excuse(0.0, "s01 had not answered") == "s01 waited 40 ms for a core"
    assert watch.excuse(0.0, "s02 had not answered") == ""
    assert watch.excuse(5_000.0, "s01 had not answered") == ""


def test_a_program_that_does_not_start_is_named(tmp_path: Path) -> None:
    broken = (sys.executable, "-c", "import sys; print('no such key'); sys.exit(2)")
    with pytest.raises(sockets.StartError, match=r"s0\d: its process ended .* exit code 2, no such key"):
        sockets.play(small(), 1, program=broken, folder=tmp_path)


# ----------------------------------------------------------------- whole runs


def ends_of(log: list[AnyRecord]) -> Counter[str]:
    """How often each try came to an end."""
    return Counter(r.rid for r in log if isinstance(r, Answered | ConnectionLost | GivenUp))


def test_a_calm_run_serves_as_the_virtual_engine_does_and_breaks_no_rule(tmp_path: Path) -> None:
    scenario = small()
    log, verdict = live.play(scenario, 3, tmp_path)
    assert verdict.kept, verdict.violations
    assert abs(verdict.service.goal - judge(virtual.play(scenario, 3)).service.goal) < 0.1
    asked = [r for r in log if isinstance(r, Asked)]
    assert len(asked) > 80 and ends_of(log.records) == Counter(r.rid for r in asked)
    assert Counter((r.rid, r.branch) for r in log if isinstance(r, Sent)) == Counter(
        (r.rid, r.branch) for r in log if isinstance(r, LetGo))


TROUBLES = [
    {"kind": "crash", "at_s": 1.0, "for_s": 1.5, "nodes": [0]},
    {"kind": "vanish", "at_s": 1.0, "for_s": 2.0, "nodes": [1]},
    {"kind": "scheduler-roll", "at_s": 1.0, "for_s": 2.0, "steps": [{"at_s": 1.2, "stop": [1]}]},
    {"kind": "zone-cut", "at_s": 1.5, "for_s": 1.0, "zone": "b"},
    {"kind": "resets", "at_s": 0.5, "for_s": 3.0, "share": 0.1},
    {"kind": "bad-clients", "at_s": 0.5, "for_s": 3.0, "per_s": 40.0, "connections": 50},
    {"kind": "discovery-moved", "at_s": 2.5, "for_s": 0.5},
]


def test_troubles_at_once_break_no_rule_and_every_try_comes_to_an_end(tmp_path: Path) -> None:
    faults: list[AnyFault] = [Reset(at=100), Reset(way="up", at=300), CutLine(line=8), Stall(at=60, ms=300.0),
                              Garbage(at=90)]

    def way(node: str) -> Choose:
        """Real proxies stand before the nodes: one connection in ten suffers."""
        return share_of(0.1, faults, random.Random(node))

    log, verdict = live.play(small(("load.per_s", 20.0), ("trouble", TROUBLES)), 5, tmp_path, ways=way)
    assert verdict.kept, verdict.violations
    assert set(ends_of(log.records)) == {r.rid for r in log if isinstance(r, Asked)}
    down = {r.node for r in log if isinstance(r, NodeState) and r.state == "down"}
    up = [r.node for r in log if isinstance(r, NodeUp) and r.at > 0]
    assert down == {"n0000", "n0001"} and set(up) == down
    states = [r.state for r in log if isinstance(r, SchedulerState) and r.scheduler == "s01"]
    assert states == ["up", "killed", "up"]


def test_a_fault_in_a_real_process_is_caught(tmp_path: Path) -> None:
    _, verdict = live.play(small(("schedulers.count", 1)), 1, tmp_path, planted.command("two-at-once"))
    assert set(verdict.broken) == {"repeat"}


@pytest.mark.slow  # 35 s each
@pytest.mark.parametrize("fault", ["invents-results", "resends-after-reset", "abandons-at-sigterm"])
def test_more_faults_in_real_processes_are_caught(fault: str, tmp_path: Path) -> None:
    from flintfield.lab.faults import FAULTS, scenario_of

    _, verdict = live.play(scenario_of(fault), 1, tmp_path, planted.command(fault))
    assert set(verdict.broken) == {FAULTS[fault].rule}
