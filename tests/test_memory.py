"""The reducer alone, without sockets or a clock."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Any, TypeVar

import anyio
import pytest
from hypothesis import given, strategies as st

from flintfield.base.settings import read_real_settings
from flintfield.decision.interface import Cancel, Entry, ListMode, Outcome, Report, State as Lifecycle
from flintfield.decision.ending import TICK_MS
from flintfield.decision.policy import Dispatcher
from flintfield.lifecycle.log import make_log
from flintfield.memory.messages import (
    Answer, BranchEnded, BranchNoted, BranchUp, CallDiscovery, CallerLeft, DiscoveryMoved, DropBranch, Effect,
    End, Ending, LeaveDiscovery, Message, OpenBranch, ProbeEnded, Reach, Route, RouteCallFailed, RouteUpdate,
    StopRequested, Submission, Submitted, Verdict, TimerFired, WriteBranch,
)
from flintfield.memory.attempts import outcome_of
from flintfield.memory.reducer import reduce
from flintfield.memory.submission import DEADLINE_MARGIN_MS
from flintfield.memory.state import State
from flintfield.wire.http1 import discovery
from flintfield.wire.http1.client import Pool
from flintfield.wire.http1.discovery import Discovery, Reader
from flintfield.wire.http1.lines import read_load
from peers import SETTINGS

E = TypeVar("E")


class Memory:
    """A state, and the effects that the reducer returned for its messages."""

    def __init__(self, hops: int = 2, prepare: Callable[[State], None] = lambda _: None, told: bool = True,
                 **settings: Any) -> None:
        self.state = State(Dispatcher(read_real_settings(SETTINGS | settings), 1), 100, OLD)
        prepare(self.state)
        self.now, self.effects = 1000.0, list[Effect]()
        self.routes = tuple(route(n) for n in range(1, hops + 1))
        self.take(RouteUpdate(ListMode.CACHED, 7, self.routes))
        if told:  # discovery has answered with no changes
            self.effects = self.take(RouteUpdate(ListMode.DELTA, 7, (), 1))[:]

    def take(self, message: Message) -> list[Effect]:
        effects = reduce(self.state, self.now, message)
        self.effects += effects
        return effects

    def submit(self, rid: int, cls: int = 0, wait_ms: float = 2000.0) -> list[Effect]:
        name = ("match-list", "social-booking")[cls]
        return self.take(Submitted(rid, Submission(f"{rid:x}", b"POST", b"/" + name.encode(), b"", cls, name,
                                                   wait_ms, cost_ms=900.0)))

    def until(self, at: float) -> None:
        while (due := self.state.timers.next_at()) is not None and due <= at:
            self.now = max(self.now, due)
            self.take(TimerFired())
        self.now = at

    def all(self, kind: type[E]) -> list[E]:
        return [e for e in self.effects if isinstance(e, kind)]


OLD, NEW = ("127.0.0.1", 8500), ("127.0.0.1", 8501)


def route(n: int, state: Lifecycle = Lifecycle.READY) -> Route:
    return Route(f"s-{n}", ("127.0.0.1", n), Entry(n, state))


def only(effects: list[Effect], kind: type[E]) -> E:
    (found,) = [e for e in effects if isinstance(e, kind)]
    return found


DONE = Ending(End.DONE, Reach.ANSWERED, b"result")


@pytest.mark.parametrize("change", [Lifecycle.DRAINING, Lifecycle.GONE])
def test_nothing_is_written_if_the_next_hop_drains_during_the_connect(change: Lifecycle) -> None:
    memory = Memory()
    branch = only(memory.submit(1, cls=1), OpenBranch)
    told = branch.address[1]
    memory.take(RouteUpdate(ListMode.DELTA, 8, (route(told, change),), memory.state.calls))
    effects = memory.take(BranchUp(1, 0))
    assert not [e for e in effects if isinstance(e, WriteBranch)]
    again = only(effects, OpenBranch)  # the job never ran, so it is sent elsewhere
    assert again.address[1] == 3 - told
    assert only(memory.take(BranchUp(1, 1)), WriteBranch).branch == 1


@pytest.mark.parametrize(("end", "reach", "outcome"), [
    (End.DONE, Reach.ANSWERED, Outcome.OK),
    (End.FAILED, Reach.ANSWERED, Outcome.ERROR),
    (End.DECLINED, Reach.ANSWERED, Outcome.FULL),
    (End.LOST, Reach.ANSWERED, Outcome.RESET),
    (End.BROKEN, Reach.DIALLING, Outcome.CONNECT_FAILED),
    (End.BROKEN, Reach.UNTRIED, Outcome.MOOT),
    (End.BROKEN, Reach.WRITING, Outcome.UNSENT),
    (End.BROKEN, Reach.SENT, Outcome.RESET),
    (End.BROKEN, Reach.ANSWERED, Outcome.RESET),
])
def test_the_progress_of_an_attempt_decides_its_outcome(
    end: End, reach: Reach, outcome: Outcome
) -> None:
    assert outcome_of(Ending(end, reach)) is outcome


def test_late_and_repeated_messages_cause_no_second_answer() -> None:
    memory = Memory()
    memory.submit(1)
    memory.take(BranchUp(1, 0))
    for message in (BranchEnded(1, 0, DONE), BranchEnded(1, 0, DONE), BranchNoted(1, 0, True), BranchUp(1, 0),
                    CallerLeft(1)):
        memory.take(message)
    assert memory.all(Answer) == [Answer(1, Verdict.SERVED, b"result")]
    assert not memory.state.transactions and not memory.state.open_job_ids


def test_a_tick_that_raises_is_counted_and_the_next_ones_follow(monkeypatch: pytest.MonkeyPatch) -> None:
    memory = Memory()
    ticks: list[float] = []

    def broken(_: Dispatcher) -> None:
        ticks.append(memory.now)
        raise RuntimeError("on purpose")

    monkeypatch.setattr(Dispatcher, "_tick", broken)
    memory.until(memory.now + 5 * TICK_MS)
    assert len(ticks) >= 4
    assert memory.state.counters["defects"] == len(ticks)


def test_a_failing_action_does_not_prevent_the_others() -> None:
    memory, ticks = Memory(), list[float]()
    memory.submit(1)
    dispatcher = memory.state.dispatcher
    tick = dispatcher._tick

    def odd() -> None:
        dispatcher.actions.append(Cancel(1, 99))
        ticks.append(memory.now)
        tick()

    dispatcher._tick = odd  # type: ignore[method-assign]
    memory.until(memory.now + 5 * TICK_MS)
    assert len(ticks) >= 4
    assert memory.state.counters["defects"] == len(ticks)


@pytest.mark.parametrize("broken", ["_request", "_timer"])
def test_a_caller_is_answered_in_time_if_the_decision_module_fails(
    monkeypatch: pytest.MonkeyPatch, broken: str
) -> None:
    def fail(*_: object) -> None:
        raise RuntimeError("on purpose")

    monkeypatch.setattr(Dispatcher, broken, fail)
    memory = Memory()
    sent = memory.now
    memory.submit(1)
    memory.until(sent + 2000 - DEADLINE_MARGIN_MS + 1)
    (answer,) = memory.all(Answer)
    assert answer.verdict in (Verdict.FAILED, Verdict.REFUSED)
    assert memory.state.counters["defects"] >= 1
    assert not memory.state.transactions


def test_a_branch_is_dropped_before_the_answer() -> None:
    memory = Memory()
    memory.submit(1)
    memory.take(BranchUp(1, 0))
    memory.until(memory.now + 2000)
    kinds = [type(e) for e in memory.effects if isinstance(e, DropBranch | OpenBranch | Answer)]
    assert kinds == [OpenBranch, DropBranch, Answer]


def test_a_request_without_enough_time_is_refused_at_once() -> None:
    memory = Memory()
    for wait in (0.0, 5.0, 700.0):
        memory.submit(int(wait), wait_ms=wait)
    assert [a.verdict for a in memory.all(Answer)] == [Verdict.REFUSED] * 3
    assert not memory.all(OpenBranch) and memory.state.counters["defects"] == 0


@pytest.mark.parametrize(("left", "close"), [(2000.0, False), (100.0, True)])
def test_a_stopping_program_keeps_served_connections_until_the_final_phase(left: float, close: bool) -> None:
    memory = Memory()
    memory.submit(1)
    memory.take(BranchUp(1, 0))
    memory.take(StopRequested(memory.now + left))
    assert only(memory.take(BranchEnded(1, 0, DONE)), Answer).close is close
    refused = only(memory.submit(2, wait_ms=5.0), Answer)
    assert refused.verdict is Verdict.REFUSED and refused.close
    memory.submit(3, wait_ms=8000.0)
    memory.until(memory.now + left)
    assert not memory.state.transactions  # settled by the given time


def test_a_watch_continues_at_once_and_a_failed_one_is_retried() -> None:
    memory = Memory()
    assert [c.generation for c in memory.all(CallDiscovery)] == [7]
    news = RouteUpdate(ListMode.DELTA, 9, (), memory.state.calls)
    assert only(memory.take(news), CallDiscovery).generation == 9
    failed = RouteCallFailed("cut", memory.state.calls)
    assert not [e for e in memory.take(failed) if isinstance(e, CallDiscovery)]
    memory.until(memory.now + 2000)
    assert [c.generation for c in memory.all(CallDiscovery)] == [7, 9, None]  # discovery may have restarted


def test_a_busy_discovery_is_asked_for_changes_and_a_restarted_one_for_all() -> None:
    memory = Memory()
    memory.take(RouteCallFailed("answered 503", memory.state.calls, busy=True))
    memory.until(memory.now + 3000)
    assert [c.generation for c in memory.all(CallDiscovery)] == [7, 7]
    anew = RouteUpdate(ListMode.DELTA, 3, (route(9),), memory.state.calls)
    assert only(memory.take(anew), CallDiscovery).generation is None and 9 not in memory.state.routes


def test_a_moved_discovery_is_called_at_once_and_late_answers_are_ignored() -> None:
    memory = Memory()
    (first,) = memory.all(CallDiscovery)
    for n, address in enumerate((NEW, OLD, NEW)):  # several in a row
        leave = LeaveDiscovery(OLD if address is NEW else NEW)
        call = CallDiscovery(first.call + n + 1, address, None, waits=False)
        assert memory.take(DiscoveryMoved(address)) == [leave, call]
    assert memory.take(DiscoveryMoved(NEW)) == []
    for late in (RouteUpdate(ListMode.FULL, 99, (), first.call), RouteCallFailed("ended", first.call + 1)):
        assert memory.take(late) == []
    assert len(memory.state.routes) == 2 and memory.state.counters["discovery.late_word"] == 2
    again = only(memory.take(RouteUpdate(ListMode.FULL, 3, (route(2),), first.call + 3)), CallDiscovery)
    assert again == CallDiscovery(first.call + 4, NEW, 3) and list(memory.state.routes) == [2]


def test_a_whole_list_removes_unlisted_next_hops() -> None:
    memory = Memory()
    memory.take(RouteUpdate(ListMode.FULL, 9, (route(2),), memory.state.calls))
    assert list(memory.state.routes) == [2]
    assert {only(memory.submit(n), OpenBranch).address[1] for n in (1,)} == {2}


class Script:
    """Simulates a next hop and a caller from a list of numbers, for tests with random messages."""

    ENDS = (DONE, Ending(End.FAILED, Reach.ANSWERED), Ending(End.DECLINED, Reach.ANSWERED),
            Ending(End.LOST, Reach.ANSWERED), Ending(End.BROKEN, Reach.DIALLING),
            Ending(End.BROKEN, Reach.WRITING), Ending(End.BROKEN, Reach.SENT))

    def __init__(self, memory: Memory | None = None) -> None:
        self.memory, self.rid = memory or Memory(3), 0

    def step(self, n: int) -> None:
        memory, what, which = self.memory, n % 10, n // 10
        if what < 3:
            self.rid += 1
            memory.submit(self.rid, cls=which % 2, wait_ms=50.0 + which * 7)
        elif what == 3:
            memory.until(memory.now + which)
        elif what == 4:
            state = (Lifecycle.READY, Lifecycle.DRAINING, Lifecycle.GONE)[which % 3]
            memory.take(RouteUpdate(ListMode.DELTA, 8, (route(1 + which % 3, state),), memory.state.calls))
        elif what == 5:
            ending = replace(self.ENDS[which % 7], report=Report(free=which % 5, queue=which % 2))
            memory.take(ProbeEnded(1 + which % 3, ending, 1.0))
        elif opened := memory.all(OpenBranch):
            branch = opened[which % len(opened)]
            key = branch.rid, branch.branch
            memory.take((BranchUp(*key), BranchNoted(*key, which % 2 == 0, 0.5), CallerLeft(branch.rid),
                         BranchEnded(*key, self.ENDS[which % 7]))[what - 6])


@given(st.lists(st.integers(0, 999), max_size=80))
def test_random_messages_give_one_answer_and_no_concurrent_branches(steps: list[int]) -> None:
    script = Script()
    for n in steps:
        script.step(n)
        for transaction in script.memory.state.transactions.values():
            assert sum(not b.ended for b in transaction.branches) <= 1
    memory = script.memory
    memory.until(memory.now + 2000)
    assert sorted(a.rid for a in memory.all(Answer)) == list(range(1, script.rid + 1))
    assert not memory.state.transactions and memory.state.counters["defects"] == 0


# ------------------------------------------------------------- log and parsers


def test_a_defect_is_logged_as_one_line_with_its_traceback(capsys: pytest.CaptureFixture[str]) -> None:
    log = make_log(name="n1")
    try:
        raise RuntimeError("on purpose")
    except RuntimeError as error:
        log.exception("defect", where="here", error=repr(error))
    line = json.loads(capsys.readouterr().out)
    assert (line["event"], line["level"], line["name"]) == ("defect", "error", "n1")
    assert "Traceback" in line["exception"]


def test_a_watch_on_a_silent_connection_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "WAIT_MS", 20)
    monkeypatch.setattr(discovery, "ANSWER_MS", 20.0)
    told: list[Message] = []
    with socket.create_server(("127.0.0.1", 0)) as silent:
        calls = Discovery(told.append, Pool(lambda: 0.0, 5000, 250, 9, lambda: None), Reader([], []))
        call = CallDiscovery(4, silent.getsockname(), 7)

        async def play() -> None:
            calls.open(call)
            await calls.run(call)

        anyio.run(play)
    assert told == [RouteCallFailed("no answer in time", 4, silent=True)]


def test_the_number_of_a_next_hop_does_not_depend_on_place_or_time() -> None:
    line = {"instanceId": "s-5be2a07c", "hostPort": "127.0.0.1:9000", "zone": "b", "machineType": "m",
            "lifecycle": "in_service", "startedAtMs": 0}
    reader = Reader(["a", "b"], ["m"])
    seen = [reader.news({"generation": 1, "reset": True, "instances": [line | more]}).routes[0].entry
            for more in ({}, {"hostPort": "127.0.0.2:9", "startedAtMs": 1_700_000_000_000.5})]
    assert seen[0].worker == seen[1].worker == 257_781_209_135_153
    assert (seen[0].started_ms, seen[1].started_ms, seen[0].zone) == (0.0, 1_700_000_000_000.5, 1)


@pytest.mark.parametrize("text", [
    "TEXT x0=3, q=1.5, rate=9", "x0=3,q=1.5,rif=no", json.dumps({"x0": 3, "q": 1.5, "rate": 9}),
    json.dumps({"load": {"x0": "3", "q": 1.5, "rate": None}}),
])
def test_a_load_report_is_parsed_in_each_format(text: str) -> None:
    report = read_load(text.encode(), {"x0": "free", "q": "queue", "rif": "inflight"})
    assert report is not None
    assert (report.free, report.queue, report.inflight) == (3.0, 1.5, None)


@pytest.mark.parametrize(("odd", "state"), [
    ({"instanceId": 7}, None), ({"instanceId": None}, None),
    ({"hostPort": "nowhere"}, Lifecycle.DRAINING),
    ({"hostPort": None, "lifecycle": "terminated"}, Lifecycle.GONE),
    ({"lifecycle": ["in_service"]}, Lifecycle.DRAINING), ({"weight": -3}, Lifecycle.READY),
    ({"weight": "heavy", "cell": "x", "startedAtMs": -1, "zone": ["b"]}, Lifecycle.READY),
    ({"weight": float("nan"), "startedAtMs": float("inf"), "machineType": None}, Lifecycle.READY),
])
def test_a_malformed_line_does_not_affect_the_others_of_a_list(
    odd: dict[str, Any], state: Lifecycle | None
) -> None:
    line = {"instanceId": "s-1", "hostPort": "127.0.0.1:9000", "lifecycle": "in_service"}
    news = Reader(["a", "b"], ["m"]).news({"generation": 1, "reset": True, "instances": [
        line | odd, "no line at all", line | {"instanceId": "s-2"}]})
    first = [r for r in news.routes if r.name != "s-2"]
    assert [r.name for r in news.routes][-1] == "s-2" and len(first) == (state is not None)
    for route in first:
        assert (route.entry.state, route.entry.weight, route.entry.started_ms) == (state, 1.0, 0.0)


@pytest.mark.parametrize("text", ["", "TEXT", "{", "[1]", "x0=nan", "\xff=1",
                                  "x0=1e9", "x0=-1", "x0=inf", "q=1e300"])
def test_an_unreadable_report_is_none(text: str) -> None:
    assert read_load(text.encode("latin-1"), {"x0": "free", "q": "queue"}) is None
