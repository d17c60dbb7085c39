"""Clients of a soak run that do what is rare: shared IDs, times due at once, crowds, many cancels."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from flintfield.console.local.calls import PREFIX
from flintfield.console.local.machines import Machine
from flintfield.console.local.processes import SPECIAL_LABEL
from flintfield.soak.clients import IN_DOUBT, OTHER_PREFIX, FrontCaller
from flintfield.soak.kept_connection import Answer
from flintfield.soak.record import CallEnd, JobSeen, Record

PAUSE_S = (0.2, 0.8)
CROWD = 700  # tasks for each worker with the special label: more than one answer lists as ended
CROWD_WORK = "work_ms=100 align_ms=4000"  # all that run end in one moment
CROWD_PAUSE_S = 6.0
CANCELLED_JOBS, CANCELLED_TASKS = 6, 100  # for each of these workers: more than an agent keeps orders for
STARTED_S = 40.0
CALM_S = 3.0  # `contactMs`
WATCHED_S = 4.0  # above `cancel_ms` and `stop_ms`
CANCEL_S = 20.0
NOBODY = "nobody"  # a label that no worker has: the tasks take no room from other jobs


@dataclass(frozen=True, slots=True)
class TimedJobs:
    """Jobs with many times, 1 ms apart."""

    count: int
    times: int
    spec: str
    step: dict[str, object]


# A million tasks in one job, and many jobs whose tasks keep workers and dispatcher busy for some seconds.
LARGE_TIMES = TimedJobs(
    1,
    256,
    "work_ms=100",
    {"count": 4_000, "cpu": 100, "memMb": 16, "estimateMs": 1, "constraints": NOBODY},
)
MANY_TIMES = TimedJobs(20, 200, "work_ms=100", {"count": 1, "cpu": 5, "memMb": 1, "estimateMs": 100})


class SharedIdClient(FrontCaller):
    """Hands in jobs whose IDs are those of accepted jobs of another queue, and asks for them."""

    async def run(self) -> None:
        """Call until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            if not self._record.jobs:
                continue
            path = OTHER_PREFIX + self._rng.choice(list(self._record.jobs))
            step = {"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 100}
            body = json.dumps({"spec": "work_ms=100", "steps": [step]}).encode()
            await self._send("POST", path, body)
            await self._send("GET", path, b"")


class CrowdClient(FrontCaller):
    """Hands in jobs of so many small tasks that ends of one moment don't fit into one answer of a worker."""

    def __init__(self, machines: list[Machine], record: Record, rng: random.Random, workers: int) -> None:
        super().__init__(machines, record, rng)
        self._tasks = CROWD * workers

    async def run(self) -> None:
        """Call until cancelled."""
        step = {
            "count": self._tasks,
            "cpu": 5,
            "memMb": 1,
            "estimateMs": 4_000,
            "constraints": SPECIAL_LABEL,
        }
        body = json.dumps({"spec": CROWD_WORK, "steps": [step]}).encode()
        while True:
            job = f"{self._rng.getrandbits(64):016x}"
            answer = None
            while answer is None or answer.end is not CallEnd.ANSWERED or answer.status in IN_DOUBT:
                answer = await self._send("POST", PREFIX + job, body)
                await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            if answer.status == HTTPStatus.OK:
                self._record.jobs[job] = JobSeen(job, answer.ended_s)
            await asyncio.sleep(CROWD_PAUSE_S)


class CancellingClient(FrontCaller):
    """In calm: hands in jobs that last, and cancels all of them at once."""

    def __init__(self, machines: list[Machine], record: Record, rng: random.Random, workers: int) -> None:
        super().__init__(machines, record, rng)
        self.jobs = [f"{rng.getrandbits(64):016x}" for _ in range(CANCELLED_JOBS * workers)]

    async def play(self, count_runs: Callable[[], int]) -> None:
        """Do it; `count_runs` tells how many runs of these jobs there are."""
        step = {"count": CANCELLED_TASKS, "cpu": 5, "memMb": 1, "estimateMs": 60_000}
        body = json.dumps(
            {"spec": "work_ms=60000", "steps": [{**step, "constraints": SPECIAL_LABEL}]}
        ).encode()
        for job in self.jobs:
            await self._insist("POST", job, body)
        deadline_s = time.monotonic() + STARTED_S
        while await asyncio.to_thread(count_runs) < len(self.jobs) * CANCELLED_TASKS:
            if time.monotonic() > deadline_s:
                self._record.unsettled.append("not all tasks that were to be cancelled have started")
                break
            await asyncio.sleep(PAUSE_S[0])
        await asyncio.sleep(CALM_S)
        for job in self.jobs:
            answer = await self._insist("DELETE", job, b"")
            self._record.cancelled_s[job] = answer.ended_s
        await asyncio.sleep(WATCHED_S)

    async def _insist(self, method: str, job: str, body: bytes) -> Answer:
        """Call until the answer is a success."""
        while True:
            answer = await self._send(method, PREFIX + job, body)
            if answer is not None and answer.status == HTTPStatus.OK:
                return answer
            await asyncio.sleep(PAUSE_S[0])


class OverlappingTimesClient(FrontCaller):
    """Hands in jobs whose times are due at once; they live until the end of the run."""

    def __init__(self, machines: list[Machine], record: Record, rng: random.Random, jobs: TimedJobs) -> None:
        super().__init__(machines, record, rng)
        times = {"repeatCount": jobs.times, "intervalMs": 1, "firstRunMs": int(time.time() * 1_000)}
        self._body = json.dumps({"spec": jobs.spec, "steps": [jobs.step], **times}).encode()
        self._paths = [f"{PREFIX}{rng.getrandbits(64):016x}" for _ in range(jobs.count)]

    async def run(self) -> None:
        """Call until the jobs are taken."""
        for path in self._paths:
            while not await self._is_settled("POST", path, (HTTPStatus.OK,)):
                await asyncio.sleep(self._rng.uniform(*PAUSE_S))

    async def cancel_jobs(self) -> None:
        """Cancel the jobs; cancels that don't get through are noted as not settled."""
        deadline_s = time.monotonic() + CANCEL_S
        for path in self._paths:
            while not await self._is_settled("DELETE", path, (HTTPStatus.OK, HTTPStatus.GONE)):
                if time.monotonic() > deadline_s:
                    self._record.unsettled.append("jobs with overlapping times could not be cancelled")
                    return
                await asyncio.sleep(self._rng.uniform(*PAUSE_S))

    async def _is_settled(self, method: str, path: str, statuses: tuple[HTTPStatus, ...]) -> bool:
        answer = await self._send(method, path, self._body if method == "POST" else b"")
        return answer is not None and answer.status in statuses
