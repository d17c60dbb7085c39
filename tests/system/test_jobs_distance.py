"""Runs away from their data take longer; this must not make the worker look slow or cause a move."""

from __future__ import annotations

import unittest

from flintfield.jobs.estimates import estimate_ms, left_ms, pace_of
from flintfield.jobs.model import Run

from .jobs_world import World, job_id, simple

FAR_X = 1.5  # of the bounds in `World`
WORK_MS = 1_000


def runs_of(world: World, job: str) -> list[Run]:
    assert world.dispatcher is not None
    occurrences = world.dispatcher.state.jobs[job].open.values()
    return [run for each in occurrences for step in each.steps for run in step.open_runs()]


class FarRuns(unittest.TestCase):
    def place(self, rack: str) -> Run:
        world = World(machines=2)
        world.elect()
        world.run(1_500)
        steps = [{"count": 1, "cpu": 1_000, "estimateMs": WORK_MS, "affinity": rack}]
        world.submit(job_id(1), steps, simple(WORK_MS))
        world.run(200)
        return runs_of(world, job_id(1))[0]

    def test_a_run_in_the_rack_of_its_data_takes_the_estimated_time(self) -> None:
        self.assertEqual(WORK_MS, estimate_ms(self.place("rack-m1")))

    def test_a_run_elsewhere_is_expected_to_take_longer(self) -> None:
        run = self.place("rack-none")
        self.assertEqual(FAR_X, run.duration_factor)
        self.assertEqual(FAR_X * WORK_MS, estimate_ms(run))

    def test_half_of_the_work_in_half_of_the_extended_time_is_the_usual_pace(self) -> None:
        run = self.place("rack-none")
        run.seen_running(10_000, 0)
        run.seen_running(10_000 + int(FAR_X * WORK_MS / 2), 50)
        now_ms = 10_000 + int(FAR_X * WORK_MS / 2)
        pace = pace_of(run, now_ms)
        assert pace is not None
        self.assertAlmostEqual(1.0, pace, delta=0.1)
        self.assertAlmostEqual(FAR_X * WORK_MS / 2, left_ms(run, now_ms, 1.0), delta=100)

    def test_a_new_dispatcher_knows_which_runs_are_away_from_their_data(self) -> None:
        world = World(machines=2)
        world.elect()
        world.run(1_500)
        steps = [{"count": 1, "cpu": 1_000, "estimateMs": WORK_MS, "affinity": "rack-none"}]
        world.submit(job_id(1), steps, simple(30_000))
        world.run(200)
        world.fail_dispatcher()
        world.elect()
        world.run(1_500)
        (run,) = runs_of(world, job_id(1))
        self.assertEqual(FAR_X, run.duration_factor)


if __name__ == "__main__":
    unittest.main()
