"""What the program holds: resident memory at rest, for each leg and transaction, and with a wide fleet.

All figures are of the resident set of the real process, so they hold what the allocator keeps, and not what
the kernel holds of sockets. A figure for each of many is the growth divided by how many there are.
"""

from __future__ import annotations

import json
import time
from collections import defaultdict
from collections.abc import Callable
from http.client import HTTPConnection
from typing import Any

from benchmarks.stage import Running, Stage
from benchmarks.suite import Better, Options, Result, median_of

WIDE = 2_000  # listed nodes, none of which answers
LEGS = 5_000
TRANSACTIONS = 5_000
HELD = 2_000
LONG_MS = 300_000  # longer than a measurement: no transaction ends in it
IDLE_S = 8.0
SETTLE_S = 1.0
SOON_S = 60.0
SMALL = 256  # descriptors of the smallest day


def _page(target: Running, path: str) -> tuple[int, bytes]:
    connection = HTTPConnection("127.0.0.1", target.told["port"], timeout=SOON_S)
    connection.request("GET", path)
    response = connection.getresponse()
    body = response.read()
    connection.close()
    return response.status, body


def _counted(target: Running, name: str) -> int:
    return int(json.loads(_page(target, "/counters")[1]).get(name, 0))


def _until(true: Callable[[], bool]) -> None:
    ends = time.monotonic() + SOON_S
    while not true():
        if time.monotonic() > ends:
            raise TimeoutError(f"not so within {SOON_S:.0f} s")
        time.sleep(0.05)


def rest(stage: Stage, _: Options) -> dict[str, float]:
    """At rest: ten nodes, no callers."""
    program = stage.scheduler(stage.nodes(nodes=10))
    time.sleep(SETTLE_S)
    return {"memory.rest": program.resident_kib}


def wide(stage: Stage, options: Options) -> dict[str, float]:
    """Idle with a wide fleet that says nothing, and the time from its start until `/ready` is 200."""
    nodes = stage.nodes(nodes=WIDE, how="silent")
    began = time.perf_counter()
    program = stage.scheduler(nodes)
    _until(lambda: _page(program, "/ready")[0] == 200)
    ready = time.perf_counter() - began
    time.sleep(SETTLE_S)
    cpu, seconds = program.cpu_s, IDLE_S * options.scale
    time.sleep(seconds)
    return {
        "memory.wide.ready": ready * 1000,
        "memory.wide.rest": program.resident_kib,
        "memory.wide.idle_cpu": (program.cpu_s - cpu) / seconds * 100,
    }


def _grown(stage: Stage, options: Options, many: int, **parts: Any) -> tuple[Running, int, int]:
    """A program that has met some load: it, its memory in KiB, and how many are to follow."""
    program = stage.scheduler(stage.nodes(nodes=10, **parts), sockets=40_000)
    with stage.callers(program, connections=50, wait_ms=100, seconds=1.0, warm_up=0.0) as callers:
        callers.told()
    time.sleep(SETTLE_S)
    return program, program.resident_kib, max(1, int(many * min(1.0, options.scale)))


def legs(stage: Stage, options: Options) -> dict[str, float]:
    """An idle leg: a kept connection that has been served."""
    program, before, many = _grown(stage, options, LEGS)
    with stage.callers(program, connections=many, seconds=SOON_S, page="/ready"):
        time.sleep(SETTLE_S)
        return {"memory.leg": (program.resident_kib - before) / many * 1024}


def _transactions(stage: Stage, options: Options, many: int, slots: int) -> float:
    program, before, many = _grown(stage, options, many, how="hold", slots=slots)
    taken = _counted(program, "requests.taken.match-list")
    with stage.callers(program, connections=many, seconds=SOON_S, wait_ms=LONG_MS):
        _until(lambda: _counted(program, "requests.taken.match-list") - taken >= many)
        time.sleep(SETTLE_S)
        return (program.resident_kib - before) / many * 1024


def out(stage: Stage, options: Options) -> dict[str, float]:
    """An open transaction whose job is at a node: with its leg and its branch's connection."""
    return {"memory.transaction.out": _transactions(stage, options, TRANSACTIONS, slots=1_024)}


def held(stage: Stage, options: Options) -> dict[str, float]:
    """An open transaction whose job waits here for a node with room, with its leg."""
    return {"memory.transaction.held": _transactions(stage, options, HELD, slots=1)}


def small(stage: Stage, options: Options) -> dict[str, float]:
    """The most that the program ever held, with 256 descriptors and more callers than fit."""
    program = stage.scheduler(stage.nodes(nodes=10), sockets=SMALL, descriptors=SMALL)
    for body in (200, 60_000):
        stage.call(program, connections=100, body=body, seconds=2.0 * options.scale, again=True)
        stage.call(program, connections=600, body=body, seconds=2.0 * options.scale, again=True)
    return {"memory.small.most": program.most_resident_kib}


FIGURES: dict[str, tuple[str, Better]] = {
    "memory.rest": ("KiB", "lower"),
    "memory.wide.ready": ("ms", "lower"),
    "memory.wide.rest": ("KiB", "lower"),
    "memory.wide.idle_cpu": ("% of a core", "lower"),
    "memory.leg": ("bytes", "lower"),
    "memory.transaction.out": ("bytes", "lower"),
    "memory.transaction.held": ("bytes", "lower"),
    "memory.small.most": ("KiB", "lower"),
}
PARTS: dict[str, Callable[[Stage, Options], dict[str, float]]] = {
    "memory.rest": rest,
    "memory.wide": wide,
    "memory.leg": legs,
    "memory.transaction.out": out,
    "memory.transaction.held": held,
    "memory.small": small,
}


def run(options: Options) -> list[Result]:
    """All figures, each part of them with a program of its own."""
    rounds: dict[str, list[float]] = defaultdict(list)
    for _ in range(options.rounds):
        for name, measure in PARTS.items():
            if options.wants(name):
                with Stage() as stage:
                    for figure, value in measure(stage, options).items():
                        rounds[figure].append(value)
    return [median_of(name, *FIGURES[name], values) for name, values in rounds.items()]
