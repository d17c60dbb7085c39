"""Workers with more runs and ends than one answer, list or table holds."""

from __future__ import annotations

import unittest
from functools import partial

from flintfield.jobs.messages import Method
from flintfield.placement.interface import MAX_FIRST_RUNS, MAX_RUNS_PER_WORKER

from .jobs_judge import CANCEL_MS, Judge
from .jobs_worker import WorldWorker
from .jobs_world import World, job_id
from .support.worker_plan import RunPlan

PERIOD_MS = 4_000  # from one moment at which all tasks of a job end to the next
STOP_MS = 200
CANCELS = 20  # in a period
TINY = {"cpu": 5, "memMb": 1, "estimateMs": 4_000}


def ending_at(worker: WorldWorker, clock_ms: int) -> RunPlan:
    """A run that works until the worker's clock shows this time."""
    return RunPlan(max(1, clock_ms - worker.clock()), cpu=5)


class EndsOfOneMoment(unittest.TestCase):
    """More runs end at once than an answer of a worker lists."""

    def play(self, tasks: int, seed: int, moments: int = 1, faults: bool = False) -> World:
        """Let all tasks of a job end at once, a few times, beside a client that cancels small jobs.

        With `faults`, the dispatcher or the agent starts anew near each of these moments.
        """
        world = World(seed, machines=1)
        world.elect()
        world.machines["m0"].prompt_answer_ms = 150
        world.run(1_500)
        worker = world.machines["m0"].worker
        for moment in range(moments):
            begins_ms = moment * PERIOD_MS
            clock_ms = worker.clock() + begins_ms + PERIOD_MS - 500 + world.rng.randrange(250)

            def submit(number: int = moment, clock_ms: int = clock_ms) -> None:
                step = {**TINY, "count": tasks}
                world.submit(job_id(1 + number), [step], lambda _task: ending_at(worker, clock_ms))

            world.after(begins_ms, submit)
            if faults:
                near_ms = begins_ms + PERIOD_MS - 500 + world.rng.uniform(-300, 600)
                world.after(near_ms, partial(self.restart, world, agent=moment % 2 == 1))
        for number in range(CANCELS * moments):
            job, at_ms = job_id(1_000 + number), world.rng.uniform(1_000, moments * PERIOD_MS)
            small = [{**TINY, "count": 2}]
            world.after(at_ms, partial(world.submit, job, small, lambda _task: RunPlan(20_000, cpu=5)))
            world.after(at_ms + 30, partial(world.call, Method.CANCEL, job))
        world.run(moments * PERIOD_MS + 4_000)
        return world

    def restart(self, world: World, agent: bool) -> None:
        """Let another dispatcher take over, or start the agent anew."""
        if agent:
            world.crash_agent(world.machines["m0"], down_ms=200)
        else:
            world.fail_dispatcher()
            world.after(300, world.elect)

    def test_tasks_that_are_done_do_not_start_again_while_answers_pass_each_other(self) -> None:
        # Guards against the review's TWICE: ends beyond the 500 of an answer were taken for vanished runs.
        for seed in (2, 5, 8):
            with self.subTest(seed=seed):
                world = self.play(tasks=600, seed=seed, moments=4)
                self.assertEqual([], Judge(world).check())
                for number in range(1, 5):
                    runs = [seen for seen in world.seen if seen.task.startswith(job_id(number))]
                    self.assertEqual(600, len(runs))
                    self.assertEqual("completed", world.state_of(job_id(number)))

    def test_nor_where_the_dispatcher_or_the_agent_starts_anew_in_between(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                world = self.play(tasks=600, seed=seed, moments=2, faults=True)
                self.assertEqual([], Judge(world).check())
                self.assertEqual("completed", world.state_of(job_id(1)))

    def test_a_listing_at_and_above_the_bound_of_an_answer_loses_no_end(self) -> None:
        for tasks in (499, 500, 501):
            with self.subTest(tasks=tasks):
                world = self.play(tasks, seed=4)
                self.assertEqual([], Judge(world).check())
                self.assertEqual("completed", world.state_of(job_id(1)))


class ManyCancels(unittest.TestCase):
    """More runs are cancelled at once than may be ordered at once."""

    def play(self, jobs: int, tasks: int) -> World:
        """Cancel all jobs at once on one worker, while one job goes on."""
        world = World(machines=1, cpu=8_000)
        world.elect()
        world.run(1_500)
        for number in range(jobs):
            world.submit(job_id(number), [{**TINY, "count": tasks}], lambda _task: RunPlan(60_000, cpu=5))
        world.submit(job_id(999), [TINY | {"count": 1}], lambda _task: RunPlan(60_000, cpu=5))
        world.run(9_000)
        self.assertEqual(jobs * tasks + 1, len(world.machines["m0"].worker.runs))
        for number in range(jobs):
            world.call(Method.CANCEL, job_id(number))
        return world

    def test_all_runs_of_cancelled_jobs_are_stopped_in_time(self) -> None:
        # Guards against the review's UNASKED: stops beyond a bound were dropped and repeated 3 s later.
        world = self.play(jobs=14, tasks=100)
        world.run(CANCEL_MS + STOP_MS)
        still = [seen.task for seen in world.seen if seen.end is None]
        self.assertEqual([f"{job_id(999)}.0.0.0"], still)
        self.assertEqual([], Judge(world).check())
        agent = world.machines["m0"].agent
        assert agent is not None and agent.present is not None
        self.assertEqual(0, agent.present.book.refused_for_bound)

    def test_reports_of_stopped_runs_do_not_repeat_the_list_of_all_runs(self) -> None:
        # Guards against the review's UNASKED on a busy machine: all runs were listed in each report.
        world = self.play(jobs=14, tasks=100)
        world.listed_runs = 0
        world.run(CANCEL_MS + STOP_MS)
        self.assertLess(world.listed_runs, 30 * 1_400)

    def test_a_successor_stops_what_its_predecessor_had_no_time_for(self) -> None:
        world = self.play(jobs=14, tasks=100)
        world.run(200)
        world.fail_dispatcher()
        world.run(300)
        world.elect()
        world.run(6_000)
        still = [seen.task for seen in world.seen if seen.end is None]
        self.assertEqual([f"{job_id(999)}.0.0.0"], still)
        self.assertEqual([], Judge(world).check())

    def test_a_worker_gets_no_more_runs_than_can_be_stopped_in_time(self) -> None:
        world = World(machines=2, cpu=8_000)
        world.elect()
        world.run(1_500)
        tiny = {"count": 2 * MAX_RUNS_PER_WORKER + 500, "cpu": 1, "estimateMs": 60_000}
        world.submit(job_id(1), [tiny], lambda _task: RunPlan(60_000, cpu=1))
        world.run(15_000)
        for machine in world.machines.values():
            self.assertEqual(MAX_RUNS_PER_WORKER, len(machine.worker.runs))

    def test_members_of_gangs_count_as_well(self) -> None:
        # Guards against UNASKED: a gang was placed where only its first member was within the bound.
        world = World(machines=2, cpu=8_000)
        world.elect()
        world.run(1_500)
        filler = {"count": 2 * MAX_RUNS_PER_WORKER - 200, "cpu": 1, "estimateMs": 60_000}
        world.submit(job_id(1), [filler], lambda _task: RunPlan(60_000, cpu=1))
        world.run(12_000)
        gang = {"count": 900, "cpu": 1, "estimateMs": 60_000, "gang": True}
        for number in range(4):
            world.submit(job_id(2 + number), [gang], lambda _task: RunPlan(60_000, cpu=1))
        world.run(8_000)
        for machine in world.machines.values():
            runs = len(machine.worker.runs)
            self.assertGreater(runs, MAX_RUNS_PER_WORKER, "a gang of a job with nothing running is placed")
            self.assertLessEqual(runs, MAX_RUNS_PER_WORKER + MAX_FIRST_RUNS)

    def test_a_job_with_nothing_running_starts_beside_them(self) -> None:
        # Guards against LOST: a full table of runs is no lack of capacity.
        world = World(machines=1, cpu=8_000)
        world.elect()
        world.run(1_500)
        tiny = {"count": MAX_RUNS_PER_WORKER + 500, "cpu": 1, "estimateMs": 60_000}
        world.submit(job_id(1), [tiny], lambda _task: RunPlan(60_000, cpu=1))
        world.run(12_000)
        for number in range(10):
            world.submit(job_id(100 + number), [{**TINY, "count": 3}], lambda _task: RunPlan(60_000, cpu=5))
        world.run(3_000)
        for number in range(10):
            runs = [seen for seen in world.seen if seen.task.startswith(job_id(100 + number))]
            self.assertEqual(1, len(runs))
        self.assertEqual(MAX_RUNS_PER_WORKER + 10, len(world.machines["m0"].worker.runs))


if __name__ == "__main__":
    unittest.main()
