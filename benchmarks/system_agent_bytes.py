"""Bytes and processor time of what agents and the dispatcher say to each other; and the dispatcher's state.

    python -m benchmarks.system_agent_bytes

The first table: a report and its answer, as frames, by running tasks; times the reports of an agent without
news, 2.05 a second. The second: bytes of memory of the dispatcher by job, task, run and worker, as the slope
between two sizes (tracemalloc).
"""

from __future__ import annotations

import gc
import json
import os
import random
import time
import tracemalloc
from collections.abc import Callable
from functools import partial

from benchmarks.system_dispatch_load import BACKLOG_MS, HOST, TASK_CPU, TASK_MEMORY_MB, WALL_0_MS
from benchmarks.system_hollow_fleet import HollowRun, HollowWorker, hollow_workers
from benchmarks.system_hollow_teams import Teams
from flintfield.jobs.bounds import DispatcherBounds
from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.events import CallArrived, ReportArrived, SendOrders, Tick, Write, Written
from flintfield.jobs.messages import AgentOrders, JobCall, Method, StartOrder
from flintfield.placement.market import MarketPlacement
from flintfield.transport.frames import HEADER
from flintfield.transport.records import decode, encode

RUNNING = (0, 6, 20, 60)
REPORTS_PER_S = 2.05  # 1 / (500 ms x the mean of 0.85 to 1.1)
REPEATS = 2_000
SPEC = "s" * 64
SAVED = "c" * 24
SMALL, LARGE = 200, 1_000
NS_IN_US = 1_000


def worker_with(runs: int, saved: str = "") -> HollowWorker:
    """A worker on which so many tasks run."""
    worker = hollow_workers(1, 1, 1)[0]
    for number in range(runs):
        task = f"{number:016x}.0.0.{number}"
        worker.runs[task] = HollowRun(task, 1, 0.0, 60_000.0, saved)
    return worker


def least_us(action: Callable[[], object]) -> float:
    """Mean processor time over many repeats, the least of three rounds."""
    rounds = []
    for _ in range(3):
        began = time.thread_time_ns()
        for _ in range(REPEATS):
            action()
        rounds.append((time.thread_time_ns() - began) / NS_IN_US / REPEATS)
    return min(rounds)


def print_messages() -> None:
    """The first table."""
    quiet = AgentOrders(1, "i-00000000", 123_456, 5_000, 7, (), ())
    order = StartOrder(1 << 32, f"{1:016x}.0.0.1", 1, SPEC, "")
    starting = AgentOrders(1, "i-00000000", 123_456, 5_000, 7, (order,), ())
    quiet_bytes, starting_bytes = (len(encode(each)) + HEADER.size for each in (quiet, starting))
    print(
        f"orders: {quiet_bytes} bytes without a start, {starting_bytes - quiet_bytes} more for each start; "
        f"encode {least_us(lambda: encode(quiet)):.1f} µs, "
        f"encode and decode {least_us(lambda: decode(encode(quiet))):.1f}"
    )
    print("tasks  saved  report bytes  KB/s both ways  encode µs  decode µs  agent: % of a core to encode")
    for runs in RUNNING:
        for saved in ("", SAVED):
            report = worker_with(runs, saved).report(10_000.0)
            data = encode(report)
            both_ways = (len(data) + HEADER.size + quiet_bytes) * REPORTS_PER_S / 1_000
            encode_us = least_us(partial(encode, report))
            decode_us = least_us(partial(decode, data))
            print(
                f"{runs:5d} {len(saved):6d} {len(data) + HEADER.size:13d} {both_ways:15.2f} "
                f"{encode_us:10.1f} {decode_us:10.1f} {encode_us * REPORTS_PER_S / 1e4:12.3f}"
            )


class Filled:
    """A dispatcher that is given jobs and workers without time passing."""

    def __init__(self, workers: int) -> None:
        self.dispatcher = Dispatcher(
            1,
            0,
            DispatcherBounds(backlog_ms=BACKLOG_MS * 1_000),
            MarketPlacement(1),
            random.Random(1),
            Teams(1),
        )
        self.calls = 0
        self.fleet = {worker.machine: worker for worker in hollow_workers(workers, 1, 1)}
        self.feed(0, Tick(WALL_0_MS))

    def feed(self, now_ms: int, event: Tick | Written | CallArrived | ReportArrived) -> None:
        """An event, and the writes that follow from it."""
        for effect in self.dispatcher.handle(now_ms, event):
            if isinstance(effect, Write):
                self.feed(now_ms, Written(effect.write))
            elif isinstance(effect, SendOrders):
                worker = self.fleet[effect.machine]
                worker.take(now_ms, effect.orders)
                for start in effect.orders.starts:
                    worker.start(now_ms, start, 600_000.0)

    def report(self, now_ms: int) -> None:
        """A report of every worker, decoded from its bytes."""
        for worker in self.fleet.values():
            self.feed(now_ms, ReportArrived(decode(encode(worker.report(now_ms)))))

    def submit(self, now_ms: int, jobs: int, tasks: int) -> None:
        """So many jobs."""
        step = {"count": tasks, "cpu": TASK_CPU, "memMb": TASK_MEMORY_MB, "estimateMs": 60_000}
        body = json.dumps({"spec": SPEC, "steps": [step]}).encode()
        for _ in range(jobs):
            self.calls += 1
            path = f"/team-{self.calls % 190}/{self.calls:016x}"
            self.feed(now_ms, CallArrived(self.calls, JobCall(Method.SUBMIT, HOST, path, body, 1)))

    @property
    def running(self) -> int:
        """Runs on all workers."""
        return sum(len(worker.runs) for worker in self.fleet.values())


def traced_bytes(build: Callable[[], Filled]) -> tuple[int, Filled]:
    """What the building leaves in memory; the hollow fleet is made by it too and counts."""
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    return tracemalloc.get_traced_memory()[0] - before, built


def with_jobs(jobs: int, tasks: int) -> Filled:
    """Jobs that wait: there is no worker."""
    filled = Filled(0)
    filled.submit(10, jobs, tasks)
    return filled


def with_workers(workers: int) -> Filled:
    """Workers without runs."""
    filled = Filled(workers)
    filled.report(10)
    return filled


def with_runs(workers: int, jobs: int) -> Filled:
    """Workers with runs; each job is one task."""
    filled = with_workers(workers)
    filled.submit(20, jobs, 1)
    for now_ms in range(30, 3_000, 250):
        filled.feed(now_ms, Tick(WALL_0_MS + now_ms))
        filled.report(now_ms)
    return filled


def print_state() -> None:
    """The second table."""
    tracemalloc.start()
    few, _ = traced_bytes(lambda: with_jobs(SMALL, 1))
    many, _ = traced_bytes(lambda: with_jobs(LARGE, 1))
    wide, _ = traced_bytes(lambda: with_jobs(SMALL, 21))
    job = (many - few) / (LARGE - SMALL)
    task = (wide - few) / (SMALL * 20)
    print(f"state of the dispatcher: {job:.0f} bytes a job of one task, {task:.0f} for each further task")
    fleet_few, _ = traced_bytes(lambda: Filled(SMALL))
    fleet_many, _ = traced_bytes(lambda: Filled(LARGE))
    workers_few, _ = traced_bytes(lambda: with_workers(SMALL))
    workers_many, _ = traced_bytes(lambda: with_workers(LARGE))
    worker = (workers_many - workers_few - fleet_many + fleet_few) / (LARGE - SMALL)
    print(f"  {worker:.0f} bytes a worker without runs")
    runs_few, one = traced_bytes(lambda: with_runs(SMALL, SMALL))
    runs_many, other = traced_bytes(lambda: with_runs(SMALL, LARGE))
    run = (runs_many - runs_few) / (other.running - one.running) - job
    print(
        f"  {run:.0f} bytes more for each run (with the hollow worker's own part of it); "
        f"{one.running} and {other.running} runs"
    )
    tracemalloc.stop()


def main() -> None:
    """Measure and print."""
    print(f"load of the machine {os.getloadavg()[0]:.1f}")
    print_messages()
    print_state()


if __name__ == "__main__":
    main()
