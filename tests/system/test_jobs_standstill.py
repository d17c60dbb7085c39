"""Tasks that must not wait for 3 s beside free capacity: behind demands that do not fit."""

from __future__ import annotations

import unittest
from typing import Any

from .jobs_judge import Judge
from .jobs_world import ConfigurationModel, RouteModel, World, job_id, simple

OTHER = 300  # number of a job
LONGEST_STANDSTILL_MS = 3_000
UNFIT_DEMANDS = 200  # several passes' worth


def world(machines: int) -> World:
    """A world with the queues `/a/` and `/later/`; work of the latter ranks behind."""
    made = World(machines=machines)
    routes = (RouteModel("r-a", "/a/", priority=0), RouteModel("r-later", "/later/", priority=2))
    made.configuration = ConfigurationModel(1, routes)
    made.elect()
    made.run(1_500)
    return made


def step(cpu: int, estimate_ms: int, **more: Any) -> dict[str, Any]:
    """A step of one task."""
    return {"count": 1, "cpu": cpu, "memMb": 64, "estimateMs": estimate_ms, **more}


class Case(unittest.TestCase):
    """A world that is judged in the end."""

    world: World

    def tearDown(self) -> None:
        self.assertEqual(Judge(self.world).check(), [])

    def first_start(self, number: int) -> float:
        """When a task of the job started first."""
        starts = [seen.start for seen in self.world.seen if seen.task.startswith(job_id(number))]
        return min(starts, default=float("inf"))


class ManyThatFitNowhere(Case):
    """Tasks behind more demands without capacity than one pass tries."""

    def setUp(self) -> None:
        self.world = world(machines=2)

    # Guards against: passes that all stop at the same demands, so that those behind are never tried.
    def test_a_task_behind_many_that_fit_nowhere_starts(self) -> None:
        for number in range(1, 1 + UNFIT_DEMANDS):
            unfit = step(100, 100, constraints=f"label-{number}")
            self.world.submit(job_id(number), [unfit], simple(100))
        self.world.run(500)
        submitted = self.world.now
        self.world.submit(job_id(OTHER), [step(1_000, 300)], simple(300), "/later/")
        self.world.run(6_000)
        self.assertLess(self.first_start(OTHER), submitted + LONGEST_STANDSTILL_MS)

    # Guards against: gangs, each a demand of its own, that keep those behind them from being tried.
    def test_a_task_behind_many_gangs_that_fit_nowhere_starts(self) -> None:
        for number in range(1, 1 + UNFIT_DEMANDS):
            unfit = step(3_000, 100, gang=True) | {"count": 3}  # two fit at once
            self.world.submit(job_id(number), [unfit], simple(100, gang=3))
        self.world.run(500)
        submitted = self.world.now
        self.world.submit(job_id(OTHER), [step(1_000, 300)], simple(300), "/later/")
        self.world.run(6_000)
        self.assertLess(self.first_start(OTHER), submitted + LONGEST_STANDSTILL_MS)


if __name__ == "__main__":
    unittest.main()
