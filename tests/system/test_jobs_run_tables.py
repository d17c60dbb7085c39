"""Jobs are taken as long as the workers' tables of runs have places for them."""

from __future__ import annotations

import json
import unittest
from typing import Any

from flintfield.jobs.events import ConfigurationChanged, ReportArrived
from flintfield.jobs.messages import Method
from flintfield.placement.interface import MAX_FIRST_RUNS, MAX_RUNS_PER_WORKER

from .jobs_judge import Judge
from .jobs_table import PlayedDispatcher
from .jobs_world import ConfigurationModel, RouteModel, World, job_id, worker_reports
from .support.worker_plan import RunPlan

TINY = {"count": 1, "cpu": 1, "memMb": 1, "estimateMs": 100}
LASTING = {**TINY, "longRunning": True}
GANG = {**TINY, "gang": True}
WORKERS = 2
LONG_MS = 60_000


class Admission(unittest.TestCase):
    """Submissions to a dispatcher that knows its workers; no order is answered."""

    def setUp(self) -> None:
        self.played = PlayedDispatcher()
        self.reports = worker_reports(WORKERS, cpu=64_000)
        self.numbers = iter(range(100_000))
        self.report_all()

    def report_all(self) -> None:
        """Let the dispatcher know all workers."""
        for each in self.reports:
            self.played.handle(ReportArrived(each))

    def submit(self, *steps: dict[str, Any], **times: int) -> int:
        """Hand a new job in; returns the status of the answer."""
        body = json.dumps({"spec": "s", "steps": list(steps), **times}).encode()
        return self.played.call(Method.SUBMIT, f"/a/{job_id(next(self.numbers))}", body)

    def submit_until_refused(self, *steps: dict[str, Any]) -> int:
        """Hand jobs in; returns how many were taken."""
        taken = 0
        while self.submit(*steps) == 200:
            taken += 1
        return taken

    def test_small_jobs_are_taken_while_each_of_their_tasks_finds_a_place(self) -> None:
        # Guards against LOST: a job that was taken waited for a place beside free capacity.
        self.assertEqual(WORKERS * MAX_RUNS_PER_WORKER, self.submit_until_refused(TINY))

    def test_a_refused_job_leaves_nothing_behind_and_is_counted(self) -> None:
        self.submit_until_refused({**TINY, "count": 10})
        items, counters = dict(self.played.items), self.played.dispatcher.counters
        refused = counters.refused_places
        self.assertEqual(429, self.submit(TINY))
        self.assertEqual(items, self.played.items)
        self.assertEqual(refused + 1, counters.refused_places)

    def test_beside_a_large_job_there_are_places_for_the_first_runs_of_others(self) -> None:
        self.assertEqual(200, self.submit({**TINY, "count": 3 * MAX_RUNS_PER_WORKER}))
        self.assertEqual(WORKERS * MAX_FIRST_RUNS - 1, self.submit_until_refused({**TINY, "count": 3}))

    def test_gangs_need_their_places_at_once(self) -> None:
        self.submit({**TINY, "count": 3 * MAX_RUNS_PER_WORKER})
        self.assertEqual(WORKERS * MAX_FIRST_RUNS // 300, self.submit_until_refused({**GANG, "count": 300}))

    def test_lasting_tasks_need_a_place_each(self) -> None:
        taken = self.submit_until_refused({**LASTING, "count": 900})
        self.assertEqual(WORKERS * MAX_RUNS_PER_WORKER // 900, taken)

    def test_jobs_for_one_kind_of_worker_need_places_there(self) -> None:
        self.submit({**TINY, "count": 3 * MAX_RUNS_PER_WORKER})
        self.assertEqual(200, self.submit({**TINY, "constraints": "no such kind"}), "it waits for capacity")
        other = worker_reports(WORKERS + 4, cpu=64_000)[-1]  # in another rack
        self.played.handle(ReportArrived(other))
        taken = self.submit_until_refused({**TINY, "constraints": "r-1"})
        self.assertEqual(MAX_FIRST_RUNS, taken)

    def test_ended_jobs_give_their_places_back(self) -> None:
        for _ in range(2):
            taken = self.submit_until_refused({**TINY, "count": 100}, {**LASTING, "count": 2})
            self.assertGreater(taken, 10)
            last = next(self.numbers)
            for number in range(last):
                self.played.call(Method.CANCEL, f"/a/{job_id(number)}")
            queue = self.played.dispatcher.state.service("svc")
            left = (queue.open_tasks, queue.lasting_tasks, dict(queue.first_runs))
            self.assertEqual((0, 0, {}), left)

    def test_a_successor_and_another_service_count_the_same(self) -> None:
        taken = self.submit_until_refused({**TINY, "count": 100}, {**LASTING, "count": 20})
        counted = self.counts("svc")
        self.played.elect(4)
        self.report_all()
        self.assertEqual(counted, self.counts("svc"))
        self.assertEqual(429, self.submit({**TINY, "count": 100}, {**LASTING, "count": 20}), taken)
        configuration = ConfigurationModel(2, (RouteModel(service="other"),))
        self.played.handle(ConfigurationChanged(configuration))
        self.assertEqual([(0, 0, {}), counted], [self.counts("svc"), self.counts("other")])

    def counts(self, service: str) -> tuple[int, int, dict[tuple[str, ...], int]]:
        """What is counted of the jobs of a service."""
        queue = self.played.dispatcher.state.service(service)
        return queue.open_tasks, queue.lasting_tasks, dict(queue.first_runs)

    def test_times_that_overlap_wait_while_other_jobs_need_the_places(self) -> None:
        few = WORKERS * MAX_RUNS_PER_WORKER - 100
        for _ in range(few // 2):
            self.assertEqual(200, self.submit({**TINY, "count": 2, "constraints": "no such kind"}))
        self.assertEqual(200, self.submit({**TINY, "count": 50}, repeatCount=20, intervalMs=1, firstRunMs=1))
        for _ in range(5):
            self.played.tick(100)
        job = self.played.dispatcher.state.jobs[job_id(few // 2)]
        self.assertEqual(2, len(job.open))
        for number in range(few // 2 - WORKERS * MAX_FIRST_RUNS + 1):
            self.played.call(Method.CANCEL, f"/a/{job_id(number)}")
        self.played.tick(100)
        self.assertGreater(len(job.open), 2)


class Places(unittest.TestCase):
    """Real agents and model workers."""

    def test_every_job_that_was_taken_has_something_running(self) -> None:
        # Guards against LOST: beyond a worker's table of runs, jobs waited for good beside free capacity.
        world = World(machines=1, cpu=8_000)
        world.elect()
        world.run(1_500)
        large = [{**TINY, "count": MAX_RUNS_PER_WORKER + 200, "estimateMs": LONG_MS}]
        world.submit(job_id(1), large, lambda _task: RunPlan(LONG_MS, cpu=1))
        world.run(10_000)
        small = [{**TINY, "count": 3, "estimateMs": LONG_MS}]
        jobs = [job_id(100 + number) for number in range(MAX_FIRST_RUNS + 20)]
        for job in jobs:
            world.submit(job, small, lambda _task: RunPlan(LONG_MS, cpu=1))
        world.run(3_000)
        taken = [job for job in jobs if world.state_of(job) in ("queued", "running")]
        self.assertEqual(MAX_FIRST_RUNS - 1, len(taken))
        runs = {seen.task.partition(".")[0] for seen in world.seen}
        self.assertEqual([], [job for job in taken if job not in runs])
        self.assertEqual([], Judge(world).check())


if __name__ == "__main__":
    unittest.main()
