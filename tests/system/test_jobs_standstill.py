"""Tasks that must not wait for 3 s beside free capacity: behind demands that do not fit, or reservations."""

from __future__ import annotations

import unittest
from functools import partial
from typing import Any

from .jobs_judge import Judge
from .jobs_world import ConfigurationModel, RouteModel, World, job_id, simple

FILLER, GANG, OTHER = 100, 200, 300  # numbers of jobs
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


class BesideReservations(Case):
    """Tasks that rank behind a gang which holds workers reserved for several seconds."""

    def fill(self, machine: int, cpu: int, work_ms: int) -> None:
        """Run a task on a machine."""
        filler = step(cpu, work_ms, constraints=f"rack-m{machine}")
        self.world.submit(job_id(FILLER + machine), [filler], simple(work_ms))

    def reserve(self, members: int) -> None:
        """Submit a gang that takes whole machines, and wait until it holds a reservation."""
        gang = step(4_000, 500, gang=True) | {"count": members}
        self.world.run(500)
        self.world.submit(job_id(GANG), [gang], simple(500, gang=members))
        self.world.run(2_000)
        dispatcher = self.world.dispatcher
        assert dispatcher is not None
        self.assertEqual(len(dispatcher.state.service("svc").reserved), members)

    # Guards against: a job with nothing running beside reserved idle workers while most of the service idles.
    def test_a_job_with_nothing_running_starts_while_under_half_is_in_use(self) -> None:
        self.world = world(machines=6)
        self.fill(2, 4_000, 9_000)
        for machine in (3, 4, 5):
            self.fill(machine, 500, 20_000)
        self.reserve(members=3)  # m0 and m1, which are idle, and m2
        submitted = self.world.now
        small = step(1_000, 300, constraints="rack-m0")
        self.world.submit(job_id(OTHER), [small], simple(300), "/later/")
        self.world.run(10_000)
        self.assertLess(self.first_start(OTHER), submitted + LONGEST_STANDSTILL_MS)
        self.assertLess(self.first_start(GANG), self.first_start(FILLER + 2) + 9_000 + 1_500)

    # Guards against: a task that lasts and waits beside a reserved idle worker, on a service in full use.
    def test_a_task_that_lasts_starts_however_much_is_in_use(self) -> None:
        self.world = world(machines=4)
        self.fill_all_but_one()
        self.reserve(members=2)  # m0, which is idle, and m3
        submitted = self.world.now
        lasting = step(1_000, 300, longRunning=True)
        self.world.submit(job_id(OTHER), [lasting], simple(0), "/later/")
        self.world.run(5_000)
        self.assertLess(self.first_start(OTHER), submitted + LONGEST_STANDSTILL_MS)
        self.world.run(25_000)
        self.assertEqual(self.world.state_of(job_id(GANG)), "completed")

    # Guards against: gangs that starve because each task that has waited takes their reserved workers.
    def test_other_tasks_wait_for_the_gang_while_over_half_is_in_use(self) -> None:
        self.world = world(machines=4)
        self.fill_all_but_one()
        self.reserve(members=2)
        self.world.submit(job_id(OTHER), [step(1_000, 300)], simple(300), "/later/")
        self.world.run(12_000)
        self.assertLess(self.first_start(GANG), self.first_start(OTHER))

    # Guards against: gangs that starve beside a stream of jobs that may use the workers reserved for them.
    def test_a_gang_is_placed_beside_a_stream_of_jobs_with_nothing_running(self) -> None:
        self.world = world(machines=6)
        self.fill(2, 4_000, 9_000)
        for machine in (3, 4, 5):
            self.fill(machine, 500, 60_000)
        for number in range(30):
            small = step(1_000, 4_000, constraints=f"rack-m{number % 2}")
            submit = partial(self.world.submit, job_id(OTHER + number), [small], simple(4_000), "/later/")
            self.world.after(number * 1_000, submit)
        submitted = self.world.now
        self.reserve(members=3)
        self.world.run(25_000)
        self.assertLess(self.first_start(GANG), submitted + 20_000)

    def fill_all_but_one(self) -> None:
        """Run tasks on all of the four machines except m0; that on m3 ends first."""
        self.fill(1, 4_000, 20_000)
        self.fill(2, 4_000, 20_000)
        self.fill(3, 4_000, 8_000)


if __name__ == "__main__":
    unittest.main()
