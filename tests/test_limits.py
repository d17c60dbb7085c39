"""The program at its limits: floods, overload, and thousands of open transactions and connections."""

from __future__ import annotations

import json
import time
import tracemalloc
from http.client import HTTPConnection

import pytest

from benchmarks.stage import SETTINGS, Running, Stage
from flintfield.memory.messages import CallerLeft
from test_memory import Memory


def counter(target: Running, name: str) -> int:
    connection = HTTPConnection("127.0.0.1", target.told["port"], timeout=10)
    connection.request("GET", "/counters")
    counters: dict[str, int] = json.loads(connection.getresponse().read())
    connection.close()
    return counters.get(name, 0)


def wait_for(target: Running, name: str, least: int) -> None:
    ends = time.monotonic() + 40
    while counter(target, name) < least:
        assert time.monotonic() < ends
        time.sleep(0.1)


def test_a_flood_from_one_caller_does_not_delay_another() -> None:
    with Stage() as stage:
        target = stage.scheduler(stage.nodes(nodes=10, slots=64))
        with stage.callers(target, connections=300, seconds=2.5, source="127.0.0.2") as many:
            quiet = stage.call(target, part=0.85, seconds=1.5, warm_up=0.2, source="127.0.0.3", seed=2)
            flood = many.told()
    assert flood["statuses"].keys() == quiet["statuses"].keys() == {"200"}
    assert quiet["latency_us"]["p50"] < flood["latency_us"]["p50"] / 3


def test_above_the_held_limit_requests_are_refused_cheaply() -> None:
    limits = SETTINGS["limits"] | {"most_held": 50}
    with Stage() as stage:
        target = stage.scheduler(stage.nodes(nodes=10, how="hold"), limits=limits)
        with stage.callers(target, connections=50, seconds=60, wait_ms=60_000):
            refused = stage.call(target, part=0.85, connections=4, seconds=0.5, warm_up=0.2, seed=2)
    assert refused["statuses"].keys() == {"503"}
    assert refused["cpu_us"] < 1_000  # a served job costs several times as much


@pytest.mark.slow  # 40 s
def test_thousands_of_connections_and_transactions_take_a_few_kib_each() -> None:
    with Stage() as stage:
        target = stage.scheduler(stage.nodes(nodes=10, how="hold", slots=1_024), sockets=40_000)
        before = target.resident_kib
        with stage.callers(target, connections=5_000, seconds=60, page="/ready"):
            wait_for(target, "legs.accepted", 5_000)
            with stage.callers(target, connections=4_000, seconds=60, wait_ms=60_000):
                wait_for(target, "branches.written", 4_000)
                held = target.resident_kib - before
                assert counter(target, "answers.served.match-list") == 0
        assert held < 5_000 * 3 + 4_000 * 6
    # 10,000 open transactions need more descriptors than tests may use; the next test covers the reducer.


def test_ten_thousand_open_transactions_take_bounded_memory_and_are_all_freed() -> None:
    memory = Memory(1)
    memory.state.most_held = 20_000
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        for rid in range(10_000):
            memory.submit(rid, wait_ms=60_000)
        each = (tracemalloc.get_traced_memory()[0] - before) / 10_000
    finally:
        tracemalloc.stop()
    assert len(memory.state.transactions) == 10_000 and each < 5 * 1024
    for rid in range(10_000):
        memory.take(CallerLeft(rid))
    memory.until(memory.now + 70_000)
    assert (not memory.state.transactions and not memory.state.open_job_ids
            and not memory.state.dispatcher.jobs)
