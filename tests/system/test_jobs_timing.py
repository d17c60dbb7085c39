"""Times of jobs by phase: sums per queue and per job."""

from __future__ import annotations

import unittest

from flintfield.jobs.timing import MAX_TIMED_JOBS, MAX_TIMED_QUEUES, JobTimes, Phase, Timing, logged_times
from flintfield.observe.times import job_times, queue_times

from .jobs_world import Steps, World, job_id, simple

STEPS: Steps = [{"count": 3, "cpu": 1_000, "estimateMs": 500}, {"count": 1, "cpu": 1_000, "dependsOn": [0]}]


class TwoStepJob(unittest.TestCase):
    """A job of two steps, from its submission until its end is shown."""

    def setUp(self) -> None:
        self.world = World(machines=3, cpu=4_000)
        self.world.elect()
        self.world.run(1_000)

    def play(self, steps: Steps, work_ms: int = 500) -> None:
        self.world.submit(job_id(1), steps, simple(work_ms))
        self.world.run(8_000)
        self.assertEqual("completed", self.world.state_of(job_id(1)))

    def times(self) -> JobTimes:
        assert self.world.dispatcher is not None
        times = self.world.dispatcher.state.jobs[job_id(1)].times
        assert isinstance(times, JobTimes)
        return times

    def test_each_phase_is_summed_over_its_tasks(self) -> None:
        self.play(STEPS)
        assert self.world.dispatcher is not None
        queue = self.world.dispatcher.state.timing.queues["r-a"]
        self.assertEqual(1, queue.count[Phase.ADMISSION])
        self.assertEqual(4, queue.count[Phase.PLACEMENT])
        self.assertEqual(4, queue.count[Phase.RUN])
        self.assertEqual(1, queue.count[Phase.SHOW])
        self.assertGreaterEqual(queue.total_ms[Phase.ADMISSION], int(self.world.write_ms))
        self.assertGreaterEqual(queue.total_ms[Phase.RUN], 4 * 300)
        self.assertEqual(0, queue.count[Phase.WAIT_ROOM])

    def test_tasks_without_capacity_count_as_waiting_for_room(self) -> None:
        self.play([{"count": 24, "cpu": 1_000, "estimateMs": 500}])
        self.assertGreaterEqual(self.times().total_ms[Phase.WAIT_ROOM], 12 * 300)
        self.assertGreaterEqual(self.times().longest_ms[Phase.WAIT_ROOM], 300)

    def test_rows_for_the_operators_console(self) -> None:
        self.play(STEPS)
        assert self.world.dispatcher is not None
        rows = queue_times(self.world.dispatcher).rows
        self.assertEqual({"r-a"}, {row.queue for row in rows})
        self.assertIn(Phase.RUN, {row.phase for row in rows})
        phase_rows = job_times(self.world.dispatcher.state.jobs[job_id(1)])
        self.assertIn(Phase.RUN, {row.phase for row in phase_rows})
        self.assertIn("run=4x", logged_times(self.world.dispatcher.state.timing)["r-a"])


class Bounds(unittest.TestCase):
    def test_only_the_newest_jobs_keep_their_own_times(self) -> None:
        world = World()
        world.elect()
        world.run(500)
        for number in range(MAX_TIMED_JOBS + 1):
            world.submit(job_id(number), [{"count": 1, "cpu": 10}], simple(1))
        assert world.dispatcher is not None
        jobs = world.dispatcher.state.jobs
        self.assertIsNone(jobs[job_id(0)].times)
        self.assertEqual((), job_times(jobs[job_id(0)]))
        self.assertIsNotNone(jobs[job_id(1)].times)

    def test_queues_above_the_limit_are_summed_together(self) -> None:
        world = World()
        world.elect()
        world.run(500)
        world.submit(job_id(1), [{"count": 1, "cpu": 10}], simple(1))
        assert world.dispatcher is not None
        job, timing = world.dispatcher.state.jobs[job_id(1)], Timing()
        for number in range(MAX_TIMED_QUEUES + 9):
            job.route = f"q{number}"
            timing.note(job, Phase.RUN, 5)
        self.assertEqual(MAX_TIMED_QUEUES + 1, len(timing.queues))
        self.assertEqual(9, timing.queues[""].count[Phase.RUN])


if __name__ == "__main__":
    unittest.main()
