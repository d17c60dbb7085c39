"""No event takes more than a share of the lease, with as many runs, steps and tasks as are let in."""

from __future__ import annotations

import json
import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

from flintfield.coordination.timing import LEASE_MS
from flintfield.jobs.body import MAX_GANG, MAX_TASKS
from flintfield.jobs.estimates import Paces
from flintfield.jobs.events import ConfigurationChanged, ReportArrived
from flintfield.jobs.messages import AgentReport, End, Method, OrderResult, Outcome, Run, RunResult
from flintfield.jobs.model import Task
from flintfield.jobs.starts import PlacementPasses

from .jobs_table import PlayedDispatcher
from .jobs_world import ConfigurationModel, RouteModel, job_id, worker_reports
from .support.turns import MeasuredTurns

TURN_S = LEASE_MS / 4 / 1_000
TINY = {"count": 1, "cpu": 1, "memMb": 1, "estimateMs": 20_000}
LATE_MS = 120_000
REPORTS = 200
REPORT_GAP_MS = 4  # agents gather news for as long
VISITS_A_MS = 200  # half of a processor: a visit of a waiting step takes some 2.5 us


class Fleet:
    """A dispatcher and the reports of its workers, four to a rack."""

    def __init__(self, workers: int, cpu: int, configuration: ConfigurationModel | None = None) -> None:
        self.played = PlayedDispatcher(configuration=configuration)
        self.reports = worker_reports(workers, cpu)
        self.report_all()

    def report_all(self, **changes: Any) -> None:
        """Let every agent report, with the results of all orders, and pass a tick."""
        starts, stops = self.played.starts, self.played.stops
        orders = [order.order for order in starts] + [order.order for order in stops]
        results = tuple(OrderResult(order, Outcome.DONE, self.played.now) for order in orders)
        starts.clear()
        stops.clear()
        self.played.now += 100
        for number in range(len(self.reports)):
            self.report(number, results=results, **changes)
        self.played.tick()

    def report(self, number: int, **changes: Any) -> AgentReport:
        """Let one agent report; without a list of runs unless that is given."""
        fields: dict[str, Any] = {
            "stamp_ms": self.played.now,
            "listing_stamp": -1,
            "running": (),
            "results": (),
        }
        self.reports[number] = replace(self.reports[number], **(fields | changes))
        self.played.handle(ReportArrived(self.reports[number]))
        return self.reports[number]

    def submit(self, number: int, *steps: dict[str, Any], queue: str = "/a/") -> None:
        """Hand a job in; it is to be taken."""
        body = json.dumps({"spec": "s", "steps": list(steps)}).encode()
        status = self.played.call(Method.SUBMIT, queue + job_id(number), body)
        assert status == 200, status

    def fill(self) -> int:
        """Let tasks start until no more do; returns the number of runs."""
        runs = -1
        while runs < (runs := self.runs()):
            for _ in range(8):
                self.report_all()
        return runs

    def runs(self) -> int:
        """The runs that the dispatcher counts."""
        return sum(len(record.runs) for record in self.played.dispatcher.state.workers.values())

    def tasks(self, number: int) -> list[Task]:
        """All tasks of a job."""
        job = self.played.dispatcher.state.jobs[job_id(number)]
        return [task for each in job.open.values() for step in each.steps for task in step.tasks]


class ManyRuns(MeasuredTurns):
    """Thousands of runs, to which the same happens in one moment."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet(workers=11, cpu=64_000)
        self.played = self.fleet.played
        self.fleet.submit(1, {**TINY, "count": MAX_TASKS, "checkpoints": True})
        self.assertGreater(self.fleet.fill(), 15_000)
        self.assertLess(self.played.longest_turn_s, TURN_S, "while they start")
        self.played.longest_turn_s = 0.0

    def tearDown(self) -> None:
        self.assertLess(self.played.longest_turn_s, TURN_S)

    def test_all_workers_may_be_out_of_touch(self) -> None:
        self.played.tick(20_000)
        for _ in range(50):
            self.played.tick(50)
        self.assertEqual(0, self.fleet.runs())

    def test_all_workers_may_drain(self) -> None:
        for number, each in enumerate(self.fleet.reports[:10]):
            assert each.worker is not None
            self.fleet.report(number, worker=replace(each.worker, draining=True, remaining_ms=8_000))
        for _ in range(30):
            self.fleet.report_all()
        stopped = self.played.dispatcher.state.workers["i-0"].unanswered
        self.assertLessEqual(len(stopped), 256)

    def test_their_job_may_be_cancelled(self) -> None:
        self.assertEqual(200, self.played.call(Method.CANCEL, "/a/" + job_id(1)))
        for _ in range(10):
            self.played.tick(50)
        workers = self.played.dispatcher.state.workers.values()
        states = {run.state.name for record in workers for run in record.runs.values()}
        self.assertEqual({"STOPPING"}, states)


class SlowRuns(MeasuredTurns):
    """A worker whose runs are all far slower than usual."""

    def test_they_share_one_look_at_all_other_workers(self) -> None:
        fleet = Fleet(workers=400, cpu=0)
        worker = fleet.reports[0].worker
        assert worker is not None
        fleet.report(0, worker=replace(worker, cpu=2_000))
        fleet.submit(1, {**TINY, "count": 2_000})
        self.assertEqual(2_000, fleet.fill())
        state = fleet.played.dispatcher.state
        record = state.workers["i-0"]
        fleet.played.longest_turn_s = 0.0
        for percent in (1, 4, 4):  # the last list shows no progress, and is no sample of what is usual
            fleet.played.now += 1_000
            record.slowness, state.paces = 10.0, Paces()
            running = tuple(Run(task, run, "", percent) for task, run in record.runs)
            fleet.report(0, listing_stamp=fleet.played.now, running=running)
        self.assertLess(fleet.played.longest_turn_s, TURN_S)


class ManyWaiting(MeasuredTurns):
    """Tasks and steps that find no room, or not where they want it."""

    def play(self, fleet: Fleet, ticks: int = 40) -> None:
        """Let time pass; no turn may take too long."""
        for _ in range(ticks):
            fleet.report_all()
        self.assertLess(fleet.played.longest_turn_s, TURN_S)

    def test_tasks_that_each_avoid_a_worker(self) -> None:
        fleet = Fleet(workers=11, cpu=0)
        fleet.submit(1, {**TINY, "count": MAX_TASKS})
        for task in fleet.tasks(1):
            task.avoid = frozenset({"i-0"})
        self.play(fleet)

    def test_tasks_that_wait_for_another_worker_give_way_to_others_of_their_step(self) -> None:
        # Guards the bound on misses: the first tasks of a step wait for a worker without room now.
        fleet = Fleet(workers=2, cpu=1_000)
        fleet.submit(1, {**TINY, "count": 2, "cpu": 1_000})
        self.assertEqual(2, fleet.fill())
        fleet.submit(2, {**TINY, "count": 40, "cpu": 100})
        tasks = fleet.tasks(2)
        for index, task in enumerate(tasks):
            task.avoid = frozenset({"i-0" if index < 20 else "i-1"})
        first = fleet.reports[0].worker
        assert first is not None
        fleet.report(0, worker=replace(first, cpu=100_000))
        for _ in range(10):  # the policy is overridden after 1,500 ms
            fleet.report_all()
        self.assertEqual(20, sum(1 for task in tasks[20:] if task.runs))
        self.assertEqual(0, sum(1 for task in tasks[:20] if task.runs))
        self.play(fleet)
        self.assertEqual(40, sum(1 for task in tasks if task.runs), "in the end on the worker that it avoids")

    def test_tasks_whose_rack_has_no_room(self) -> None:
        fleet = Fleet(workers=400, cpu=50)
        fleet.submit(1, {**TINY, "count": MAX_TASKS, "cpu": 50, "affinity": "r-1"})
        self.play(fleet)

    def test_steps_of_one_shape(self) -> None:
        fleet = Fleet(workers=11, cpu=0)
        for number in range(150):
            fleet.submit(number, *[TINY] * 200)
        self.play(fleet, ticks=20)
        fleet.played.handle(ConfigurationChanged(ConfigurationModel(2, (RouteModel(priority=0),))))
        self.play(fleet)
        priorities = {job.terms.priority for job in fleet.played.dispatcher.state.jobs.values()}
        self.assertEqual({0}, priorities)

    def test_gangs(self) -> None:
        fleet = Fleet(workers=400, cpu=64_000)
        for number in range(34):
            fleet.submit(number, {**TINY, "count": MAX_GANG, "gang": True, "cpu": 64_000, "estimateMs": 300})
        self.play(fleet, ticks=20)

    def test_urgent_steps_for_which_nothing_can_be_stopped(self) -> None:
        urgent = RouteModel("r-u", "/u/", priority=0, extension=1.0, target_latency_ms=0)
        fleet = Fleet(10, 2_000, ConfigurationModel(1, (RouteModel(priority=2), urgent)))
        fleet.submit(1, {**TINY, "count": MAX_TASKS})
        self.assertEqual(MAX_TASKS, fleet.fill())
        fleet.played.now += LATE_MS
        fleet.report_all()
        for number in range(60):
            step = {**TINY, "count": 3, "cpu": 1_900 - number, "estimateMs": 1_000}
            fleet.submit(100 + number, step, queue="/u/")
        self.play(fleet)


class QuickSuccession(unittest.TestCase):
    """Reports that come one after another while thousands of steps wait."""

    def test_passes_leave_processor_time_for_everything_else(self) -> None:
        # Guards against LOST: a pass over all waiting steps for each report kept calls from their answers.
        fleet = Fleet(workers=2, cpu=1_000)
        for number in range(18):
            fleet.submit(number, *[{**TINY, "estimateMs": 10}] * 250)
        self.assertEqual(2_000, fleet.fill())
        played = fleet.played
        ends = [0, 0]
        began_ms = played.now
        with mock.patch.object(
            PlacementPasses, "_try_step", autospec=True, side_effect=PlacementPasses._try_step
        ) as visits:
            for turn in range(REPORTS):
                played.now += REPORT_GAP_MS
                worker = turn % 2
                run = next(iter(played.dispatcher.state.workers[f"i-{worker}"].runs.values()))
                ends[worker] += 1
                end = End(ends[worker], run.name, run.number, RunResult.DONE, "")
                fleet.report(worker, finished=(end,))
                if turn % 12 == 0:
                    played.tick()
        self.assertLess(visits.call_count, (played.now - began_ms) * VISITS_A_MS)
        self.assertEqual(2_000, fleet.fill(), "others took the place of those that ended")
