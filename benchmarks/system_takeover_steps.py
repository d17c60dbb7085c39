"""The first steps of a new dispatcher: the stored records, then a report from each agent.

    python -m benchmarks.system_takeover_steps

The records are read in one step of the event loop, in which no heartbeat leaves. Times are processor time of
this machine, the least of three rounds.
"""

from __future__ import annotations

import json
import os
import random
import time
from collections.abc import Callable

from flintfield.jobs import durable
from flintfield.jobs.bounds import DispatcherBounds
from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.events import ReportArrived, Tick
from flintfield.jobs.messages import AgentReport, Run, WorkerState
from flintfield.jobs.states import JobState
from flintfield.placement.market import MarketPlacement
from flintfield.transport.records import decode, encode

WALL_MS = 1_700_000_000_000
SERVICES = ("huvo11a", "wuno96b")
SPEC = "s" * 200
AGENTS = 160
TASKS_A_JOB = 20
JOBS = ((100, 1_000), (400, 2_000), (2_000, 2_000))  # open ones, ended ones
NS_IN_MS = 1e6


def least_ms(action: Callable[[], object]) -> float:
    """Processor time, the least of three rounds."""
    rounds = []
    for _ in range(3):
        began = time.thread_time_ns()
        action()
        rounds.append((time.thread_time_ns() - began) / NS_IN_MS)
    return min(rounds)


def job_body(tasks: int) -> bytes:
    """The body of a job of one step."""
    step = {"count": tasks, "cpu": 3_300, "memMb": 256, "estimateMs": 1_600}
    return json.dumps({"spec": SPEC, "steps": [step]}, separators=(",", ":")).encode()


def new_dispatcher() -> Dispatcher:
    """A dispatcher with nothing in it."""
    return Dispatcher(3, 0, DispatcherBounds(), MarketPlacement(1), random.Random(1), None)


def stored_items(open_jobs: int, ended_jobs: int) -> dict[bytes, bytes]:
    """Records of jobs whose tasks are all placed, and of jobs that have ended."""
    terms = durable.TermsRecord(SERVICES[0], 1, 3, 1.5, 1_000)
    items = {}
    for number in range(open_jobs):
        name = f"{number:016x}"
        items[durable.job_key(name)] = encode(
            durable.JobRecord("r-3d3zji9", terms, WALL_MS, job_body(TASKS_A_JOB))
        )
        for index in range(TASKS_A_JOB):
            worker = (number * TASKS_A_JOB + index) % AGENTS
            run = durable.RunRecord(1, f"i-{worker:08x}", f"side-{worker}", 2, 3_300, 256, 0, "")
            items[durable.task_key(f"{name}.0.0.{index}")] = encode(
                durable.TaskRecord(1, False, (), "", (run,))
            )
    for number in range(open_jobs, open_jobs + ended_jobs):
        items[durable.end_key(f"{number:016x}")] = encode(
            durable.EndRecord(int(JobState.COMPLETED), WALL_MS, True, "r-3d3zji9")
        )
    return items


def print_takeover(open_jobs: int, ended_jobs: int) -> None:
    """What a new dispatcher does before it answers the agents: one step, then a report from each."""
    items = stored_items(open_jobs, ended_jobs)
    size = sum(len(key) + len(value) for key, value in items.items())
    dispatchers: list[Dispatcher] = []

    def restore() -> None:
        dispatcher = new_dispatcher()
        dispatcher.restore(items)
        dispatchers.append(dispatcher)

    restored_ms = least_ms(restore)
    first_reports = [encode(agent_report(worker, open_jobs)) for worker in range(AGENTS)]

    def take_reports() -> None:
        dispatcher = dispatchers.pop()
        dispatcher.handle(1, Tick(WALL_MS))
        for data in first_reports:
            dispatcher.handle(2, ReportArrived(decode(data)))

    print(
        f"takeover: {open_jobs} open jobs, {open_jobs * TASKS_A_JOB} placed tasks, {ended_jobs} ended jobs, "
        f"{size} bytes: restore {restored_ms:.0f} ms; the first reports of {AGENTS} agents "
        f"({sum(map(len, first_reports))} bytes) {least_ms(take_reports):.0f} ms"
    )


def agent_report(worker: int, open_jobs: int) -> AgentReport:
    """A worker's first report to a new dispatcher: all its runs go on."""
    tasks = range(worker, open_jobs * TASKS_A_JOB, AGENTS)
    runs = tuple(Run(f"{task // TASKS_A_JOB:016x}.0.0.{task % TASKS_A_JOB}", 1, "", 40) for task in tasks)
    state = WorkerState(
        f"i-{worker:08x}", SERVICES[0], "10.128.0.9:8080", "kazanchis-hall", False, 64_000, 262_144, 8,
        ("a", f"r1-{worker // 8}"), 0, 8, 0,
    )  # fmt: skip
    return AgentReport(f"side-{worker}", 7, 100, WALL_MS, state, 2, 99, runs, (), (), 0, False)


def main() -> None:
    """Measure and print."""
    print(f"load of the machine {os.getloadavg()[0]:.1f}")
    for open_jobs, ended_jobs in JOBS:
        print_takeover(open_jobs, ended_jobs)


if __name__ == "__main__":
    main()
