"""A hollow fleet: workers with their agents as plain objects, without processes and sockets.

A hollow worker keeps the runs that it was ordered to start, ends each after its time, and reports as an agent
does: every 425 to 550 ms, 4 ms after an end, 100 ms after a start succeeded. It breaks and loses nothing.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from flintfield.agent.reports import GATHER_MS, LEISURE_MS, PERIOD_MS
from flintfield.jobs.messages import (
    AgentOrders,
    AgentReport,
    End,
    OrderResult,
    Outcome,
    Run,
    RunResult,
    StartOrder,
    WorkerState,
)

WORKER_CPU = 8_000  # thousandths of a core
WORKER_MEMORY_MB = 32_768
RACK_WORKERS = 40
ZONES = 7


@dataclass(slots=True)
class HollowRun:
    """A run that goes on."""

    task: str
    number: int
    began_ms: float
    ends_ms: float
    checkpoint: str

    def listed(self, now_ms: float) -> Run:
        """As the worker lists it."""
        share = (now_ms - self.began_ms) / max(self.ends_ms - self.began_ms, 1.0)
        return Run(self.task, self.number, self.checkpoint, min(99, int(100 * share)))


@dataclass(slots=True)
class HollowWorker:
    """A worker and its agent. Times are ms of the one virtual clock."""

    machine: str
    instance: str
    service: str
    zone: str
    rack: str
    rng: random.Random
    runs: dict[str, HollowRun] = field(default_factory=dict)
    ends: list[End] = field(default_factory=list)
    results: list[OrderResult] = field(default_factory=list)
    last_number: int = 0
    epoch: int = 0
    report_due_ms: float = 0.0
    list_every: int = 1  # so many reports for each that carries the list of runs; agents list in all
    reports: int = 0
    listing_stamp: int = -1

    def take(self, now_ms: float, orders: AgentOrders) -> None:
        """Take note of what may be forgotten, and of the epoch."""
        self.epoch = max(self.epoch, orders.epoch)
        self.ends = [end for end in self.ends if end.number > orders.last_seen]
        for stop in orders.stops:
            if stop.task in self.runs and self.runs[stop.task].number == stop.run:
                self.end(now_ms, stop.task, RunResult.STOPPED)
            self.results.append(OrderResult(stop.order, Outcome.DONE, int(now_ms)))

    def start(self, now_ms: float, order: StartOrder, takes_ms: float) -> HollowRun:
        """Begin a run; a repeated order changes nothing."""
        self.results.append(OrderResult(order.order, Outcome.DONE, int(now_ms)))
        self.report_due_ms = min(self.report_due_ms, now_ms + LEISURE_MS)
        known = self.runs.get(order.task)
        if known is not None and known.number == order.run:
            return known
        run = HollowRun(order.task, order.run, now_ms, now_ms + takes_ms, order.checkpoint)
        self.runs[order.task] = run
        return run

    def end(self, now_ms: float, task: str, how: RunResult = RunResult.DONE) -> None:
        """A run is over."""
        run = self.runs.pop(task)
        self.last_number += 1
        self.ends.append(End(self.last_number, run.task, run.number, how, ""))
        self.report_due_ms = min(self.report_due_ms, now_ms + GATHER_MS)

    def report(self, now_ms: float) -> AgentReport:
        """What its agent sends now."""
        self.report_due_ms = now_ms + PERIOD_MS * self.rng.uniform(0.85, 1.1)
        results, self.results = tuple(self.results), []
        running: tuple[Run, ...] = ()
        if self.reports % self.list_every == 0:
            running = tuple(run.listed(now_ms) for run in self.runs.values())
            self.listing_stamp = int(now_ms) - 1
        self.reports += 1
        state = WorkerState(
            self.instance,
            self.service,
            f"10.0.0.1:{len(self.machine)}",
            self.zone,
            False,
            WORKER_CPU,
            WORKER_MEMORY_MB,
            0,
            ("a", self.rack),
            0,
            8,
            0,
        )
        return AgentReport(
            self.machine,
            1,
            int(now_ms),
            0,
            state,
            self.epoch,
            self.listing_stamp,
            running,
            tuple(self.ends),
            results,
            0,
            False,
        )


def hollow_workers(count: int, services: int, seed: int) -> list[HollowWorker]:
    """So many workers, dealt out over services, zones and racks."""
    rng = random.Random(seed)
    workers = []
    for index in range(count):
        rack = f"rack-{index // RACK_WORKERS}"
        workers.append(
            HollowWorker(
                f"worker-{index:04d}",
                f"i-{rng.getrandbits(32):08x}",
                f"service-{index % services}",
                f"zone-{index % ZONES}",
                rack,
                random.Random(rng.getrandbits(32)),
            )
        )
    return workers
