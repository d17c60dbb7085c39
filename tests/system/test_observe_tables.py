"""What the dispatcher tells of workers and jobs, and why tasks wait, in a small world in virtual time."""

from __future__ import annotations

import random
import unittest
from typing import Any

from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.messages import Method, NotDispatcher
from flintfield.jobs.recorder import JobEvent
from flintfield.jobs.states import RunState, TaskState
from flintfield.observe.history import JobHistory
from flintfield.observe.messages import JobDetail, Jobs, WaitReason, WorkerCondition, Workers
from flintfield.observe.questions import PAGE_ROWS, AskJob, AskJobs, AskWorkers
from flintfield.observe.service import ObserveService
from flintfield.observe.tables import MOST_TASKS_READ, job_detail, jobs_page, workers_page
from flintfield.placement.market import MarketPlacement
from flintfield.transport.records import decode, encode

from .jobs_world import World, job_id, simple

START_MS = 1_200  # until all agents are linked
ONE = {"count": 1, "cpu": 1_000, "memMb": 10, "estimateMs": 500}


class ObservedWorld(World):
    """A world whose dispatcher has a recorder."""

    def elect(self) -> None:
        super().elect()
        self.observed.state.recorder = JobHistory()

    @property
    def observed(self) -> Dispatcher:
        """The dispatcher, which there must be."""
        assert self.dispatcher is not None
        return self.dispatcher

    def detail(self, number: int) -> JobDetail:
        """What is told of a job, as it comes through the wire."""
        told = decode(encode(job_detail(self.observed, job_id(number))))
        assert isinstance(told, JobDetail)
        return told


class Observed(unittest.TestCase):
    """A world with a dispatcher and its workers."""

    def world(self, **options: Any) -> ObservedWorld:
        """A world that has started."""
        world = ObservedWorld(**options)
        world.elect()
        world.run(START_MS)
        return world

    def assert_waits(self, world: ObservedWorld, number: int, reason: WaitReason) -> None:
        """All waiting tasks of the job have this reason."""
        rows = world.detail(number).tasks
        self.assertEqual({row.reason for row in rows if row.state is not TaskState.PLACED}, {reason})


class WorkersTold(Observed):
    """The page of workers."""

    def test_capacity_use_price_and_trust_are_told(self) -> None:
        world = self.world(machines=2)
        world.submit(job_id(1), [{**ONE, "count": 2}], simple(10_000))
        world.run(500)
        page = workers_page(world.observed, AskWorkers())
        self.assertEqual((page.total, len(page.rows), page.epoch), (2, 2, 1))
        self.assertEqual(sum(row.used_cpu for row in page.rows), 2_000)
        for row in page.rows:
            self.assertEqual((row.condition, row.trusted, row.cpu), (WorkerCondition.READY, True, 4_000))
            self.assertGreaterEqual(row.price, 0.0)
            self.assertGreater(row.speed, 0.0)

    def test_a_worker_whose_agent_is_gone_is_out_of_touch(self) -> None:
        world = self.world(machines=1)
        world.crash_agent(world.machines["m0"], 60_000)
        world.run(500)
        (row,) = workers_page(world.observed, AskWorkers()).rows
        self.assertEqual(row.condition, WorkerCondition.OUT_OF_TOUCH)

    def test_a_draining_worker_says_when_it_leaves(self) -> None:
        world = self.world(machines=1)
        world.drain_worker(world.machines["m0"])
        world.run(3_000)
        (row,) = workers_page(world.observed, AskWorkers()).rows
        self.assertEqual(row.condition, WorkerCondition.DRAINING)
        self.assertGreaterEqual(row.leaves_in_ms, 0)

    def test_a_page_is_bounded_and_may_be_asked_for_in_parts(self) -> None:
        world = self.world(machines=5)
        first = workers_page(world.observed, AskWorkers(0, 3))
        second = workers_page(world.observed, AskWorkers(3, 3))
        self.assertEqual((len(first.rows), len(second.rows), first.total), (3, 2, 5))
        self.assertEqual(len({row.instance for row in (*first.rows, *second.rows)}), 5)
        for question in (AskWorkers(-5, -5), AskWorkers(99, 10)):
            self.assertEqual(workers_page(world.observed, question).rows, ())


class JobsTold(Observed):
    """The page of jobs."""

    def test_jobs_are_told_by_queue_and_by_state(self) -> None:
        world = self.world()
        world.submit(job_id(1), [ONE], simple(100))
        world.submit(job_id(2), [{**ONE, "count": 3}], simple(20_000))
        world.run(1_500)
        self.assertEqual(jobs_page(world.observed, AskJobs()).total, 2)
        (row,) = jobs_page(world.observed, AskJobs("r-a", open_only=True)).rows
        self.assertEqual(
            (row.id, row.state, row.tasks, row.tasks_done, row.queue), (job_id(2), "running", 3, 0, "r-a")
        )
        self.assertEqual(jobs_page(world.observed, AskJobs("no such queue")).total, 0)

    def test_no_page_is_larger_than_its_bound(self) -> None:
        world = self.world()
        for number in range(PAGE_ROWS + 20):
            world.submit(job_id(number), [ONE], simple(100))
        world.run(200)
        page = jobs_page(world.observed, AskJobs(limit=1_000_000))
        self.assertEqual((page.total, len(page.rows)), (PAGE_ROWS + 20, PAGE_ROWS))
        self.assertLess(len(encode(page)), 40_000)


class History(Observed):
    """One job."""

    def test_where_a_run_ran_and_how_it_ended(self) -> None:
        world = self.world()
        world.submit(job_id(1), [ONE], simple(300))
        world.run(2_000)
        detail = world.detail(1)
        assert detail.job is not None
        self.assertEqual(detail.job.state, "completed")
        self.assertEqual(
            [event.happening for event in detail.events],
            [JobEvent.ACCEPTED, JobEvent.PLACED, JobEvent.RUN_ENDED, JobEvent.JOB_ENDED],
        )
        placed, ended = detail.events[1], detail.events[2]
        self.assertEqual((placed.run, placed.epoch, ended.detail), (1, 1, "done"))
        self.assertEqual(placed.instance, ended.instance)
        self.assertTrue(placed.instance)
        self.assertLess(detail.events[0].wall_ms, ended.wall_ms)

    def test_failed_runs_and_open_runs_are_told(self) -> None:
        world = self.world()
        world.submit(job_id(1), [ONE], simple(300, "failed"))
        world.run(1_800)
        detail = world.detail(1)
        assert detail.job is not None
        self.assertEqual(detail.job.state, "failed")
        self.assertEqual(
            [event.detail for event in detail.events if event.detail], ["failed", "failed", "failed"]
        )

    def test_an_open_run_is_told_with_its_place(self) -> None:
        world = self.world()
        world.submit(job_id(1), [ONE], simple(60_000))
        world.run(1_500)
        (run,) = world.detail(1).runs
        self.assertEqual((run.run, run.epoch), (1, 1))
        self.assertIn(run.state, (RunState.ORDERED, RunState.RUNNING))  # as the newest listing has it
        self.assertGreater(run.started_ms_ago, 1_000)
        self.assertGreaterEqual(run.placed_ms_ago, run.started_ms_ago)

    def test_a_successor_tells_which_runs_it_inherited_and_who_placed_them(self) -> None:
        world = self.world()
        world.submit(job_id(1), [ONE], simple(60_000))
        world.run(1_500)
        successor = Dispatcher(
            2, world.steady, world.bounds, MarketPlacement(1), random.Random(1), world.configuration
        )
        successor.state.recorder = JobHistory()
        successor.restore(dict(world.store))
        detail = job_detail(successor, job_id(1))
        (event,) = detail.events
        self.assertEqual((event.happening, event.epoch, detail.epoch), (JobEvent.INHERITED, 1, 2))
        self.assertEqual([run.epoch for run in detail.runs], [1])

    def test_a_dispatcher_without_a_recorder_tells_the_rest(self) -> None:
        world = self.world()
        world.observed.state.recorder = None
        world.submit(job_id(1), [ONE], simple(300))
        world.run(2_000)
        detail = world.detail(1)
        self.assertEqual(detail.events, ())
        self.assertIsNotNone(detail.job)

    def test_an_unknown_job_and_a_cancelled_unknown_id_are_none(self) -> None:
        world = self.world()
        world.ask(Method.CANCEL, job_id(7))
        self.assertIsNone(world.detail(7).job)
        self.assertIsNone(world.detail(8).job)

    def test_a_huge_job_is_cut(self) -> None:
        world = self.world(machines=1)
        world.submit(job_id(1), [{**ONE, "count": MOST_TASKS_READ + 500, "estimateMs": 0}], simple(60_000))
        world.run(500)
        detail = world.detail(1)
        self.assertTrue(detail.cut)
        self.assertEqual(sum(row.tasks for row in detail.tasks), MOST_TASKS_READ)


class Waiting(Observed):
    """Why tasks wait."""

    def test_for_earlier_steps(self) -> None:
        world = self.world()
        world.submit(job_id(1), [ONE, {**ONE, "dependsOn": [0]}], simple(60_000))
        world.run(500)
        rows = {row.step: row.reason for row in world.detail(1).tasks}
        self.assertEqual(rows[1], WaitReason.EARLIER_STEPS)

    def test_for_a_worker_of_the_service(self) -> None:
        world = self.world(machines=0)
        world.submit(job_id(1), [ONE], simple())
        world.run(500)
        self.assert_waits(world, 1, WaitReason.NO_WORKER)

    def test_for_a_worker_that_is_ready(self) -> None:
        world = self.world(machines=1)
        world.crash_agent(world.machines["m0"], 60_000)
        world.run(100)
        world.submit(job_id(1), [ONE], simple())
        world.run(100)
        self.assert_waits(world, 1, WaitReason.NONE_READY)

    def test_for_a_label(self) -> None:
        world = self.world()
        world.submit(job_id(1), [{**ONE, "constraints": "nobody has it"}], simple())
        world.run(500)
        self.assert_waits(world, 1, WaitReason.NO_LABEL)

    def test_for_a_larger_worker(self) -> None:
        world = self.world()
        world.submit(job_id(1), [{**ONE, "cpu": 4_001}], simple())
        world.run(500)
        self.assert_waits(world, 1, WaitReason.TOO_LARGE)

    def test_for_room(self) -> None:
        world = self.world(machines=1)
        world.submit(job_id(1), [{**ONE, "count": 5}], simple(60_000))
        world.run(500)
        self.assert_waits(world, 1, WaitReason.NO_ROOM)

    def test_for_anti_affinity(self) -> None:
        world = self.world(machines=1)
        world.submit(job_id(1), [{**ONE, "count": 2, "antiAffinity": 1}], simple(60_000))
        world.run(500)
        self.assert_waits(world, 1, WaitReason.ANTI_AFFINITY)

    def test_for_room_for_the_whole_gang(self) -> None:
        world = self.world(machines=1)
        world.submit(job_id(1), [{**ONE, "count": 5, "gang": True}], simple(500, gang=5))
        world.run(500)
        self.assert_waits(world, 1, WaitReason.GANG)


class Asked(Observed):
    """The handlers."""

    def test_who_does_not_lead_says_who_does(self) -> None:
        service = ObserveService(_NoProcess(), _Dispatching(None), _Core())  # type: ignore[arg-type]
        handlers = service.handlers()
        for question in (AskWorkers(), AskJobs(), AskJob(job_id(1))):
            self.assertEqual(handlers[type(question)](question, None), NotDispatcher(0, ""))

    def test_who_leads_answers(self) -> None:
        world = self.world()
        service = ObserveService(_NoProcess(), _Dispatching(world.observed), _Core())  # type: ignore[arg-type]
        handlers = service.handlers()
        self.assertIsInstance(handlers[AskWorkers](AskWorkers(), None), Workers)
        self.assertIsInstance(handlers[AskJobs](AskJobs(), None), Jobs)
        self.assertIsInstance(handlers[AskJob](AskJob(job_id(1)), None), JobDetail)


class _NoProcess:
    pass


class _Core:
    leader = None
    core = None


class _Dispatching:
    def __init__(self, dispatcher: Dispatcher | None) -> None:
        self.dispatcher = dispatcher


if __name__ == "__main__":
    unittest.main()
