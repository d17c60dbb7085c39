"""Random faults in virtual time: no guarantee may be violated, and every job ends after the faults."""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable
from functools import partial
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from flintfield.jobs.messages import Method
from .jobs_judge import Judge
from .jobs_fleet import Machine
from .jobs_world import WALL_0, World, job_id
from .support.worker_plan import RunPlan

FAULT_PERIOD_MS = 20_000
JOBS = 14


def random_plan(rng: random.Random, gang: int, checkpoints: bool, lasting: bool) -> RunPlan:
    """A random run plan; some runs fail."""
    how = "failed" if rng.random() < (0.3 if lasting else 0.06) else "done"
    return RunPlan(rng.choice([120, 400, 900, 2_500, 6_000]), how, checkpoints, gang)


class FaultScenario:
    """A world with jobs and faults, all drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.world = World(seed=seed, machines=self.rng.randint(2, 4))
        self.world.write_ms = self.rng.choice([8.0, 8.0, 250.0])
        self.world.elect()
        self.number = 0

    def play(self) -> None:
        """Run jobs with faults for a while, then without faults."""
        world, rng = self.world, self.rng
        world.run(1_200)
        for _ in range(JOBS):
            world.after(rng.uniform(0, FAULT_PERIOD_MS), self.submit)
        for _ in range(rng.randint(2, 9)):
            world.after(rng.uniform(300, FAULT_PERIOD_MS), rng.choice(self.troubles()))
        for _ in range(30):
            world.after(rng.uniform(300, FAULT_PERIOD_MS + 20_000), self.ask)
        world.run(FAULT_PERIOD_MS)
        world.run(60_000)

    def troubles(self) -> list[Callable[[], None]]:
        """The faults to choose from."""
        return [
            self.kill_dispatcher,
            self.kill_dispatcher,
            self.crash_worker,
            self.cut_agent,
            self.cut_worker,
            self.kill_agent,
            self.late_orders,
            self.drain,
            self.stall,
            self.slow,
        ]

    def machine(self) -> Machine:
        """A random machine."""
        return self.rng.choice(list(self.world.machines.values()))

    def submit(self) -> None:
        """Submit a random job, some of them with repeated submissions and cancels."""
        world, rng = self.world, self.rng
        self.number += 1
        steps: list[dict[str, Any]] = []
        for index in range(rng.choice([1, 1, 2, 3])):
            step: dict[str, Any] = {
                "count": rng.randint(1, 5),
                "cpu": rng.choice([500, 1_000, 2_000]),
                "memMb": 100,
                "estimateMs": 900,
            }
            if index and rng.random() < 0.7:
                step["dependsOn"] = [rng.randrange(index)]
            step.update(
                {
                    name: True
                    for name in ("checkpoints", "gang", "longRunning", "speculative")
                    if rng.random() < 0.2
                }
            )
            if step.get("gang"):
                step["count"] = rng.randint(2, 3)
            if rng.random() < 0.1:
                step["antiAffinity"] = 2
            steps.append(step)
        body: dict[str, Any] = {}
        if rng.random() < 0.15:
            body = {"repeatCount": 3, "firstRunMs": WALL_0 + world.steady + 500, "intervalMs": 900}
        plan_rng = random.Random(rng.random())

        def plan(task: str) -> RunPlan:
            step = steps[int(task.split(".")[2])]
            gang = step["count"] if step.get("gang") else 1
            return random_plan(plan_rng, gang, bool(step.get("checkpoints")), bool(step.get("longRunning")))

        job = job_id(self.number)
        world.submit(job, steps, plan, **body)
        for _ in range(2):
            world.after(rng.uniform(100, 4_000), partial(world.submit, job, steps, plan, **body))
        if rng.random() < 0.15 or any(step.get("longRunning") for step in steps):
            world.after(rng.uniform(2_000, 12_000), partial(world.call, Method.CANCEL, job))
            world.after(FAULT_PERIOD_MS + 15_000, partial(world.call, Method.CANCEL, job))

    def ask(self) -> None:
        """Query the state of a random job."""
        if self.number:
            self.world.call(Method.STATUS, job_id(self.rng.randint(1, self.number)))

    def kill_dispatcher(self) -> None:
        """Kill the dispatcher; another one takes over."""
        if self.world.dispatcher is not None:
            self.world.fail_dispatcher()
            self.world.after(self.rng.uniform(900, 2_500), self.world.elect)

    def crash_worker(self) -> None:
        """Crash a worker."""
        machine = self.machine()
        if not machine.worker.dead:
            self.world.crash_worker(machine, self.rng.uniform(500, 4_000))

    def cut_agent(self) -> None:
        """Cut an agent off from the dispatcher."""
        machine = self.machine()
        self.world.set_cut(machine, True)
        self.world.after(self.rng.uniform(300, 12_000), partial(self.world.set_cut, machine, False))

    def cut_worker(self) -> None:
        """Cut an agent off from its worker."""
        machine = self.machine()
        machine.worker_cut = True
        self.world.faults += 1

        def end() -> None:
            machine.worker_cut = False

        self.world.after(self.rng.uniform(300, 14_000), end)

    def kill_agent(self) -> None:
        """Kill an agent."""
        machine = self.machine()
        if machine.agent is not None:
            self.world.crash_agent(machine, self.rng.uniform(100, 4_000))

    def late_orders(self) -> None:
        """Leave orders unanswered and carry them out later."""
        machine = self.machine()
        machine.late_share = 0.5
        self.world.faults += 1

        def end() -> None:
            machine.late_share = 0.0

        self.world.after(self.rng.uniform(1_000, 6_000), end)

    def drain(self) -> None:
        """Drain a worker, then stop it; another one takes its place."""
        machine = self.machine()
        if machine.worker.dead or machine.worker.draining_since is not None:
            return
        self.world.drain_worker(machine)
        self.world.after(4_500, partial(self.world.crash_worker, machine, 1_000))

    def stall(self) -> None:
        """Stall the runs that a worker starts from now on."""
        self._slow_down(500.0)

    def slow(self) -> None:
        """Slow down the runs that a worker starts from now on."""
        self._slow_down(self.rng.uniform(3, 8))

    def _slow_down(self, factor: float) -> None:
        worker = self.machine().worker
        worker.factor = factor

        def end() -> None:
            worker.factor = 1.0

        self.world.after(self.rng.uniform(1_000, 9_000), end)

    def unfinished(self) -> list[str]:
        """Accepted jobs that have not ended."""
        accepted = {
            received.job
            for received in self.world.client_answers
            if received.method is Method.SUBMIT and received.answer.status == 200
        }
        return [job for job in sorted(accepted) if self.world.state_of(job) in ("queued", "running", "410")]


class FaultScenarios(unittest.TestCase):
    """Random jobs with random faults."""

    @settings(
        max_examples=25,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        derandomize=True,
        database=None,
    )
    @given(st.integers(0, 1_000_000))
    def test_no_guarantee_is_violated_and_every_job_ends(self, seed: int) -> None:
        day = FaultScenario(seed)
        day.play()
        self.assertEqual(Judge(day.world).check(), [])
        self.assertEqual(day.unfinished(), [])


if __name__ == "__main__":
    unittest.main()
