"""One soak run from the first start to the verdict."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from flintfield.console.local.machines import GRACE_S, ClusterSize, Machine, free_port_block, plan_machines
from flintfield.soak.clients import Caller, JobClient, OperatorClient
from flintfield.soak.cluster import SoakCluster
from flintfield.soak.judge import broken_rules
from flintfield.soak.plan import Action, Plan, draw
from flintfield.soak.rare_clients import (
    CancellingClient,
    CrowdClient,
    LARGE_TIMES,
    MANY_TIMES,
    OverlappingTimesClient,
    SharedIdClient,
)
from flintfield.soak.record import Record

OPERATORS = 2
CLIENTS_A_SCHEDULER = 2
FIRST_CONFIGURATION_S = 30.0
SETTLED_S = 20.0  # after the last action: every scheduler shows the newest configuration
FINISHED_S = 60.0  # after that: every accepted job has ended
CANCELS_S = 60.0  # after that: jobs handed in, started, cancelled and watched
RETRY_S = 0.1
STOP_MARGIN_S = 2.0  # above the grace period, for a busy machine
ENDED = frozenset({"completed", "failed", "cancelled"})


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a run has shown: the rules that it broke, a line each, and what was played."""

    plan: Plan
    broken: list[str]
    calls: int
    jobs: int
    changes: int
    processes: int


def play(seed: int, size: ClusterSize, seconds: float, folder: Path) -> Verdict:
    """Play the run of a seed; settings, disks and logs go into `folder`."""
    return asyncio.run(SoakRun(seed, size, seconds, folder).run())


class SoakRun:
    """One run."""

    def __init__(self, seed: int, size: ClusterSize, seconds: float, folder: Path) -> None:
        self._rng = random.Random(f"soak run {seed}")
        machines = plan_machines(free_port_block(random.Random(), size), size)
        self._plan = draw(seed, size, machines, seconds)
        self._record = Record()
        self._cluster = SoakCluster(folder, self._plan, machines, self._record, self._rng)
        schedulers = self._cluster.schedulers
        clients = CLIENTS_A_SCHEDULER * len(schedulers)
        self._clients = [JobClient(schedulers, self._record, self._draw()) for _ in range(clients)]
        self._timed = [
            OverlappingTimesClient(schedulers, self._record, self._draw(), jobs)
            for jobs in (LARGE_TIMES, MANY_TIMES)
        ]
        self._special_workers = size.agents // 2
        crowd = CrowdClient(schedulers, self._record, self._draw(), self._special_workers)
        self._rare = (SharedIdClient(schedulers, self._record, self._draw()), crowd, *self._timed)
        self._operators = [OperatorClient(schedulers, self._record, self._draw()) for _ in range(OPERATORS)]

    @property
    def _callers(self) -> tuple[Caller, ...]:
        return (*self._clients, *self._rare, *self._operators)

    def _draw(self) -> random.Random:
        return random.Random(self._rng.getrandbits(64))

    async def run(self) -> Verdict:
        """Play it; raises `ClusterFailed` where the cluster does not come to work at all."""
        processes = 0
        try:
            await self._cluster.start()
            await self._first_configuration()
            processes = self._cluster.running
            await self._soak()
            await self._settle()
        finally:
            await asyncio.to_thread(self._cluster.end)
        changes = sum(seen.by_change for seen in self._record.configurations)
        broken = broken_rules(self._record, GRACE_S + STOP_MARGIN_S)
        return Verdict(
            self._plan, broken, len(self._record.calls), len(self._record.jobs), changes, processes
        )

    async def _first_configuration(self) -> None:
        deadline_s = time.monotonic() + FIRST_CONFIGURATION_S
        while time.monotonic() < deadline_s:
            if await self._operators[0].change(0):
                return
            await asyncio.sleep(RETRY_S)
        self._record.unsettled.append("the first configuration was not acknowledged")

    async def _soak(self) -> None:
        """Clients and operators call; actions begin at their times and overlap."""
        callers = [asyncio.create_task(each.run()) for each in self._callers]
        watch = asyncio.create_task(self._cluster.watch())
        start_s = time.monotonic()
        actions = [asyncio.create_task(self._act(action, start_s)) for action in self._plan.actions]
        await asyncio.sleep(self._plan.seconds)
        await asyncio.gather(*actions)
        for task in callers:
            task.cancel()
        for caller in callers:
            with suppress(asyncio.CancelledError):
                await caller
        watch.cancel()

    async def _act(self, action: Action, start_s: float) -> None:
        await asyncio.sleep(max(0.0, start_s + action.at_s - time.monotonic()))
        await self._cluster.carry_out(action)

    # The end: everything is to come to rest.

    async def _settle(self) -> None:
        await asyncio.gather(*(client.cancel_jobs() for client in self._timed))
        for caller in self._callers:
            caller.close()
        schedulers = self._cluster.schedulers
        await asyncio.gather(*(self._shows_newest(machine) for machine in schedulers))
        jobs = [job for job in self._record.jobs.values() if job.state not in ENDED]
        looker = JobClient(schedulers, self._record, self._draw())
        deadline_s = time.monotonic() + FINISHED_S
        for job in jobs:
            while await looker.look_at(job.id) not in ENDED and time.monotonic() < deadline_s:
                await asyncio.sleep(RETRY_S)
        looker.close()
        await self._cancel_many()

    async def _cancel_many(self) -> None:
        schedulers = self._cluster.schedulers
        client = CancellingClient(schedulers, self._record, self._draw(), self._special_workers)
        try:
            async with asyncio.timeout(CANCELS_S):
                await client.play(lambda: self._cluster.worker_events().running(client.jobs))
        except TimeoutError:
            self._record.unsettled.append("the jobs to be cancelled were not all taken or cancelled")
        client.close()

    async def _shows_newest(self, machine: Machine) -> None:
        newest = max((seen.version for seen in self._record.configurations if seen.by_change), default=0)
        reader = OperatorClient([machine], self._record, self._draw())
        deadline_s = time.monotonic() + SETTLED_S
        while time.monotonic() < deadline_s:
            if await reader.read() >= newest:
                reader.close()
                return
            await asyncio.sleep(RETRY_S)
        reader.close()
        self._record.unsettled.append(f"{machine.name} does not show version {newest} at the end")
