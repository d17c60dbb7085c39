"""The dispatcher under a hollow load: what one process would spend on the fleet of the two-year size.

    python -m benchmarks.system_dispatch_load [--workers 350 700 1400] [--seconds 10]

The real state machine, the real market and the real codecs; workers and agents are hollow (plain objects),
writes are durable after 8 ms. Time is virtual, with one exception: while the dispatcher handles an event,
virtual time goes on by the processor time that this took, so that work queues up for it as it would in a
process. Load grows with the fleet: at 1,400 workers 160 starts a second, 8,500 running tasks, gangs up to
128, one job in 5 urgent.

Not counted: sockets and the event loop, the followers, records on disk (`system_replication_load`).
"""

from __future__ import annotations

import argparse
import gc
import heapq
import json
import random
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from benchmarks.system_hollow_fleet import HollowWorker, hollow_workers
from benchmarks.system_hollow_teams import TEAMS, Teams
from benchmarks.system_load_meter import Meter, print_window
from flintfield.jobs.bounds import DispatcherBounds
from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.events import Answer, CallArrived, Event, ReportArrived, SendOrders, Tick, Write, Written
from flintfield.jobs.messages import AgentOrders, JobCall, Method
from flintfield.jobs.state import Counters
from flintfield.placement.market import MarketPlacement
from flintfield.transport.frames import HEADER
from flintfield.transport.records import decode, encode

FULL_WORKERS = 1_400
FULL_STARTS_PER_S = 160.0
FULL_RUNNING = 8_500
URGENT_SHARE = 0.2  # of the jobs: far more than there will be, so that the quantiles have samples
GANG_SHARE = 0.02  # of the jobs
GANG_SIZES = (4, 8, 16, 32, 64, 128)
TASKS_MEAN = 4  # of a job that is no gang
TASK_CPU, TASK_MEMORY_MB = 1_000, 2_048
WRITE_MS = 8.0  # until a write is durable at a majority
LINK_MS = 1.0  # one way between agent and dispatcher
TICK_MS = 50.0
FILL_MS = 8_000.0  # the fleet is filled within that, and then left alone for as long
BACKLOG_MS = 600_000  # the default bound of 40 s counts running work whole and refuses this load
HOST = "queue.example"
WALL_0_MS = 1_700_000_000_000
NS_IN_MS = 1_000_000
MIB = 1 << 20


class HollowCluster:
    """Dispatcher, fleet and clients in virtual time."""

    def __init__(
        self, workers: int, services: int, backlog_ms: int = BACKLOG_MS, list_every: int = 1, seed: int = 1
    ) -> None:
        self.rng = random.Random(seed)
        self.share = workers / FULL_WORKERS
        self.now_ms = 0.0
        self.busy_until_ms = 0.0
        self.meter = Meter()
        self.fleet = {worker.machine: worker for worker in hollow_workers(workers, services, seed)}
        self.content: dict[bytes, bytes] = {}
        self.takes_ms: dict[str, float] = {}
        self.submitted_ms: dict[str, tuple[float, bool]] = {}
        self.submitted_tasks = 0
        self.refused = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._calls = 0
        self._waiting: deque[tuple[str, Event | None, bytes, float]] = deque()  # grows while it is too slow
        bounds = DispatcherBounds(backlog_ms=backlog_ms)
        self.dispatcher = Dispatcher(
            1, 0, bounds, MarketPlacement(seed), random.Random(seed), Teams(services)
        )
        for worker in self.fleet.values():
            worker.list_every = list_every
            self._at(self.rng.uniform(0, 500), partial(self._report_due, worker))
        self._at(0, self._tick)

    # Time

    def _at(self, at_ms: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_ms, self._sequence, action))

    def run(self, for_ms: float) -> None:
        """Let that much virtual time pass."""
        until = self.now_ms + for_ms
        while self._events and self._events[0][0] <= until:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = until

    # The dispatcher's process

    def _arrive(self, what: str, event: Event | None, data: bytes = b"") -> None:
        """An event comes; `data` is an encoded report that is to be decoded."""
        self._waiting.append((what, event, data, self.now_ms))
        if len(self._waiting) == 1:
            self._at(max(self.now_ms, self.busy_until_ms), self._serve)

    def _serve(self) -> None:
        """Handle the event that has waited longest; the next one after the time that this takes."""
        self._handle(*self._waiting[0])
        self._waiting.popleft()
        if self._waiting:
            self._at(self.busy_until_ms, self._serve)

    def _handle(self, what: str, event: Event | None, data: bytes, came_ms: float) -> None:
        began = time.thread_time_ns()
        if event is None:
            event = ReportArrived(decode(data))
            decoded = time.thread_time_ns()
            self.meter.add("decode a report", decoded - began)
        else:
            decoded = began
        effects = self.dispatcher.handle(int(self.now_ms), event)
        handled = time.thread_time_ns()
        self.meter.add(what, handled - decoded)
        sent = [(each, encode(each.orders)) for each in effects if isinstance(each, SendOrders)]
        ended = time.thread_time_ns()
        if sent:
            self.meter.add("encode orders", ended - handled)
            self.meter.handled["encode orders"] += len(sent) - 1
        self.meter.late_ms.append(self.now_ms - came_ms)
        self.busy_until_ms = self.now_ms + (ended - began) / NS_IN_MS
        for order, encoded in sent:
            self._send(order, encoded)
        for effect in effects:
            if isinstance(effect, Write):
                self._write(effect)
            elif isinstance(effect, Answer) and effect.answer.status != 200:
                self.refused += 1

    def _send(self, effect: SendOrders, encoded: bytes) -> None:
        self.meter.bytes_out += len(encoded) + HEADER.size
        self.meter.messages_out += 1
        worker = self.fleet[effect.machine]
        self._at(self.busy_until_ms + LINK_MS, partial(self._orders, worker, effect.orders))

    def _write(self, effect: Write) -> None:
        self.meter.writes += 1
        for key, value in effect.changes:
            self.meter.written[chr(key[0])] += len(key) + len(value or b"")
            if value is None:
                self.content.pop(key, None)
            else:
                self.content[key] = value
        done = Written(effect.write)
        self._at(self.busy_until_ms + WRITE_MS, partial(self._arrive, "take note of a write", done))

    def _tick(self) -> None:
        self._arrive("tick", Tick(WALL_0_MS + int(self.now_ms)))
        self._at(self.now_ms + TICK_MS * self.rng.uniform(0.9, 1.1), self._tick)

    # The fleet

    def _report_due(self, worker: HollowWorker) -> None:
        if worker.report_due_ms > self.now_ms:
            return  # another timer stands for it
        data = encode(worker.report(self.now_ms))
        self.meter.bytes_in += len(data) + HEADER.size
        self._at(self.now_ms + LINK_MS, partial(self._arrive, "report", None, data))
        self._at(worker.report_due_ms, partial(self._report_due, worker))

    def _orders(self, worker: HollowWorker, orders: AgentOrders) -> None:
        due_ms = worker.report_due_ms
        worker.take(self.now_ms, orders)
        for start in orders.starts:
            fresh = start.task not in worker.runs
            run = worker.start(self.now_ms, start, self._work_ms(start.task))
            if fresh:
                self._note_start(start.task)
                self._at(run.ends_ms, partial(self._end, worker, start.task, run.number))
        if worker.report_due_ms < due_ms:
            self._at(worker.report_due_ms, partial(self._report_due, worker))

    def _end(self, worker: HollowWorker, task: str, number: int) -> None:
        run = worker.runs.get(task)
        if run is None or run.number != number:
            return
        due_ms = worker.report_due_ms
        worker.end(self.now_ms, task)
        if worker.report_due_ms < due_ms:
            self._at(worker.report_due_ms, partial(self._report_due, worker))

    def _note_start(self, task: str) -> None:
        self.meter.starts += 1
        job = task.partition(".")[0]
        submitted = self.submitted_ms.pop(job, None)
        if submitted is not None:
            waited_ms = self.now_ms - submitted[0]
            (self.meter.urgent_ms if submitted[1] else self.meter.other_ms).append(waited_ms)

    def _work_ms(self, task: str) -> float:
        return self.takes_ms[task.partition(".")[0]]

    # Clients

    def submit(self, urgent: bool, gang: int = 0) -> None:
        """Hand a job in: its tasks take an exponential time, so that `FULL_RUNNING` run at the full rate."""
        self._calls += 1
        job = f"{self._calls:016x}"
        count = gang or min(1 + int(self.rng.expovariate(1 / (TASKS_MEAN - 0.5))), 40)
        takes_ms = max(200.0, self.rng.expovariate(1.0) * FULL_RUNNING / FULL_STARTS_PER_S * 1_000)
        step: dict[str, Any] = {
            "count": count,
            "cpu": TASK_CPU,
            "memMb": TASK_MEMORY_MB,
            "estimateMs": int(takes_ms),
        }
        if gang:
            step["gang"] = True
        self.takes_ms[job] = takes_ms
        self.submitted_ms[job] = (self.now_ms, urgent)
        self.submitted_tasks += count
        path = f"/{'urgent' if urgent else 'team'}-{self.rng.randrange(TEAMS)}/{job}"
        body = json.dumps({"spec": "s" * 64, "steps": [step]}).encode()
        self._arrive("take a job in", CallArrived(self._calls, JobCall(Method.SUBMIT, HOST, path, body, 1)))

    def arrivals(self, tasks_per_s: float, for_ms: float) -> None:
        """Jobs arrive at random with so many tasks a second, for that long from now."""
        at_ms = self.now_ms
        due_tasks = tasks_per_s * for_ms / 1_000
        planned = 0.0
        while planned < due_tasks:
            gang = self.rng.choice(GANG_SIZES) if self.rng.random() < GANG_SHARE else 0
            urgent = not gang and self.rng.random() < URGENT_SHARE
            planned += gang or TASKS_MEAN
            at_ms = self.now_ms + min(planned / due_tasks, 1.0) * for_ms * self.rng.uniform(0.98, 1.0)
            self._at(at_ms, partial(self.submit, urgent, gang))

    def fill(self) -> None:
        """Bring the running tasks to their number."""
        self.run(1_000)
        self.arrivals(FULL_RUNNING * self.share / FILL_MS * 1_000, FILL_MS)
        self.run(FILL_MS)
        self.arrivals(FULL_STARTS_PER_S * self.share, FILL_MS)
        self.run(FILL_MS)

    def measure(self, for_ms: float) -> Meter:
        """Count over that time at the full rate."""
        self.meter = Meter()
        self.arrivals(FULL_STARTS_PER_S * self.share, for_ms)
        self.run(for_ms)
        return self.meter

    @property
    def workers(self) -> int:
        """How many there are."""
        return len(self.fleet)

    @property
    def unstarted(self) -> int:
        """Jobs that were taken in and not started yet."""
        return len(self.submitted_ms) - self.refused

    @property
    def counters(self) -> Counters:
        """The dispatcher's own."""
        return self.dispatcher.counters

    @property
    def waiting(self) -> int:
        """Events that wait for the dispatcher."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Runs on all workers."""
        return sum(len(worker.runs) for worker in self.fleet.values())


def main() -> None:
    """Measure each size and print."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else "")
    parser.add_argument("--workers", type=int, nargs="+", default=[350, 700, 1_400])
    parser.add_argument("--services", type=int, default=8)
    parser.add_argument(
        "--backlog-ms",
        type=int,
        default=BACKLOG_MS,
        help="bound of admission; the dispatcher's own default is 40000",
    )
    parser.add_argument("--seconds", type=float, default=10.0, help="of virtual time in the window")
    parser.add_argument(
        "--list-every",
        type=int,
        default=1,
        help="what lists in every Nth report alone would bring; agents don't do that",
    )
    parser.add_argument(
        "--no-collector",
        action="store_true",
        help="without Python's cyclic garbage collector, to tell what it costs",
    )
    options = parser.parse_args()
    if options.no_collector:
        gc.disable()
    for workers in options.workers:
        cluster = HollowCluster(workers, options.services, options.backlog_ms, options.list_every)
        cluster.fill()
        meter = cluster.measure(options.seconds * 1_000)
        print_window(cluster, meter, options.seconds)
        print(f"  events that wait for the dispatcher at the end: {cluster.waiting}", flush=True)


if __name__ == "__main__":
    main()
