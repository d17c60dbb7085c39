"""Jobs from submission to end, with real agent cores and model workers in virtual time."""

from __future__ import annotations

import unittest

from flintfield.jobs.messages import Method
from .jobs_judge import Judge
from .jobs_world import WALL_0, Steps, World, job_id, simple


class FaultFreeRun(unittest.TestCase):
    """Jobs without faults."""

    def setUp(self) -> None:
        self.world = World()
        self.world.elect()
        self.world.run(1_500)

    def tearDown(self) -> None:
        self.assertEqual(Judge(self.world).check(), [])

    def test_steps_run_in_order_until_the_job_is_completed(self) -> None:
        steps: Steps = [
            {"count": 4, "cpu": 500, "memMb": 100, "estimateMs": 500},
            {"count": 3, "cpu": 1_000, "memMb": 100, "estimateMs": 500, "dependsOn": [0]},
        ]
        self.world.submit(job_id(1), steps, simple())
        self.world.run(300)
        self.assertEqual(self.world.client_answers[-1].answer.status, 200)
        self.assertEqual(self.world.state_of(job_id(1)), "running")
        self.world.run(3_000)
        self.assertEqual(self.world.state_of(job_id(1)), "completed")
        self.assertEqual(len(self.world.seen), 7)

    def test_a_gang_starts_together_and_ends_together(self) -> None:
        steps: Steps = [{"count": 5, "cpu": 2_000, "memMb": 100, "estimateMs": 800, "gang": True}]
        self.world.submit(job_id(2), steps, simple(800, gang=5))
        self.world.run(3_000)
        self.assertEqual(self.world.state_of(job_id(2)), "completed")
        self.assertEqual({seen.how for seen in self.world.seen}, {"done"})

    def test_long_running_tasks_are_restarted_until_the_job_is_cancelled(self) -> None:
        steps: Steps = [{"count": 2, "cpu": 1_000, "memMb": 100, "longRunning": True}]
        self.world.submit(job_id(3), steps, simple(700, how="failed"))
        self.world.run(5_000)
        self.assertGreater(len(self.world.seen), 6)
        self.assertEqual(self.world.ask(Method.CANCEL, job_id(3)).status, 200)
        self.world.run(1_000)
        self.assertEqual(self.world.state_of(job_id(3)), "cancelled")
        self.assertFalse(any(seen.end is None for seen in self.world.seen))

    def test_a_task_that_fails_max_attempts_times_fails_its_job(self) -> None:
        steps: Steps = [{"count": 2, "cpu": 1_000, "memMb": 100, "estimateMs": 300}]
        self.world.submit(job_id(4), steps, simple(300, how="failed"))
        self.world.run(6_000)
        self.assertEqual(self.world.state_of(job_id(4)), "failed")

    def test_a_timed_job_runs_at_its_scheduled_times(self) -> None:
        steps: Steps = [{"count": 1, "cpu": 1_000, "memMb": 100, "estimateMs": 300}]
        first = WALL_0 + self.world.steady + 1_000
        self.world.submit(job_id(5), steps, simple(300), repeatCount=3, firstRunMs=first, intervalMs=700)
        self.world.run(800)
        self.assertEqual(self.world.seen, [])
        self.assertEqual(self.world.state_of(job_id(5)), "queued")
        self.world.run(3_500)
        self.assertEqual([seen.task.split(".")[1] for seen in self.world.seen], ["0", "1", "2"])
        self.assertEqual(self.world.state_of(job_id(5)), "completed")

    def test_unknown_ids_answer_410_and_unknown_queues_404(self) -> None:
        self.assertEqual(self.world.ask(Method.STATUS, job_id(9)).status, 410)
        self.assertEqual(self.world.ask(Method.CANCEL, job_id(9)).status, 410)
        self.assertEqual(self.world.ask(Method.COUNT, "", "/never/").status, 404)
        self.assertEqual(self.world.ask(Method.COUNT, "").body, b'{"pending":0}')
        self.assertEqual(self.world.ask(Method.SUBMIT, job_id(9), "/never/", b"{}").status, 404)

    def test_a_cancel_before_the_submission_keeps_the_job_from_running(self) -> None:
        self.assertEqual(self.world.ask(Method.CANCEL, job_id(6)).status, 410)
        self.world.submit(job_id(6), [{"count": 1, "cpu": 100}], simple())
        self.world.run(1_000)
        self.assertEqual(self.world.state_of(job_id(6)), "cancelled")
        self.assertEqual(self.world.seen, [])


if __name__ == "__main__":
    unittest.main()
