"""Workers that deregister first and serve on: what the dispatcher makes of them.

Guards against the review's TWICE: a task that ended `done` on such a worker ran again on another one.
"""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any

from flintfield.jobs.events import ReportArrived
from flintfield.jobs.messages import AgentReport, End, Method, OrderResult, Outcome, Run, RunResult

from .jobs_fleet import Machine
from .jobs_judge import Judge
from .jobs_table import PlayedDispatcher
from .jobs_world import World, job_id, report, simple
from .test_jobs_intake import body

EPOCH = 3
LISTED_WITHIN_MS = 20  # a long call is answered soon after an end
TASK = f"{job_id(1)}.0.0.0"
OTHER_TASK = f"{job_id(2)}.0.0.0"
STEP = {"count": 1, "cpu": 1_000, "estimateMs": 500}
DONE = (End(1, TASK, 1, RunResult.DONE, ""),)
RUNNING = (Run(TASK, 1, "", 20),)


class Reports(unittest.TestCase):
    """One worker with one task, one report at a time."""

    def setUp(self) -> None:
        self.played = PlayedDispatcher(EPOCH)
        self.stamp = 10
        self.send(running=())
        self.played.call(Method.SUBMIT, "/a/" + job_id(1), body(STEP))
        self.send(results=(OrderResult(self.played.starts[-1].order, Outcome.DONE, self.stamp),))

    def send(self, **changes: object) -> None:
        """The agent reports, 100 ms after the last time."""
        self.stamp += 100
        self.played.now += 100
        told: AgentReport = replace(report(self.stamp), complete_listing=True, running=RUNNING)
        self.played.handle(ReportArrived(replace(told, **changes)))  # type: ignore[arg-type]

    def state(self) -> bytes:
        """The first job's state as a client is told."""
        self.played.call(Method.STATUS, "/a/" + job_id(1))
        return self.played.answers[self.played.calls].body

    def started(self) -> list[str]:
        """The tasks that were started."""
        return [start.task for start in self.played.starts]

    def test_an_end_counts_though_the_agent_knows_no_state_of_the_worker(self) -> None:
        self.send(worker=None, instance="i-1", boot=8, finished=DONE, running=())
        self.assertIn(b"completed", self.state())
        self.send(worker=None, instance="i-1", boot=8, running=())
        self.assertEqual(1, self.played.last_seen)

    def test_an_end_counts_that_is_told_with_the_result_that_the_worker_is_gone(self) -> None:
        self.played.call(Method.CANCEL, "/a/" + job_id(3))
        self.played.call(Method.SUBMIT, "/a/" + job_id(2), body(STEP))
        gone = (OrderResult(self.played.starts[-1].order, Outcome.GONE, self.stamp),)
        self.send(results=gone, finished=DONE, running=(), deregistered=True)
        self.assertIn(b"completed", self.state())
        self.assertEqual([TASK, OTHER_TASK], self.started())

    def test_a_worker_without_a_known_state_gets_no_start(self) -> None:
        self.send(worker=None, instance="i-1", boot=8)
        self.played.call(Method.SUBMIT, "/a/" + job_id(2), body(STEP))
        self.send(worker=None, instance="i-1", boot=8)
        self.assertEqual([TASK], self.started())
        self.send(boot=8)
        self.assertEqual([TASK, OTHER_TASK], self.started())

    def test_a_worker_that_has_deregistered_gets_no_start_and_keeps_its_hold(self) -> None:
        worker = report().worker
        assert worker is not None
        leaving = replace(worker, draining=True)
        self.send(worker=leaving, deregistered=True)
        self.played.call(Method.SUBMIT, "/a/" + job_id(2), body(STEP))
        for _ in range(200):
            self.send(worker=leaving, deregistered=True, listing_stamp=self.stamp + 50)
        self.assertEqual([TASK], self.started())
        self.assertEqual(self.stamp, self.played.granted)

    def test_the_runs_of_one_that_is_over_are_lost_at_once(self) -> None:
        self.send(worker=None, instance="i-1", deregistered=True, lapsed=True, running=())
        self.assertEqual({}, self.played.dispatcher.state.workers)
        self.assertEqual(1, self.played.dispatcher.counters.lost_runs)

    def test_an_agent_of_a_former_release_ends_no_run_by_its_silence(self) -> None:
        self.send(worker=None, lapsed=True, running=())
        self.assertEqual(0, self.played.dispatcher.counters.lost_runs)

    def test_ends_of_one_that_was_removed_are_acknowledged_once_they_are_durable(self) -> None:
        self.played.writes_are_durable = False
        gone = (OrderResult(self.played.starts[-1].order, Outcome.GONE, self.stamp),)
        self.send(finished=DONE, running=())
        self.played.dispatcher.state.removed_incarnations["i-1"] = None
        self.send(results=gone, finished=DONE, running=(), deregistered=True)
        self.assertEqual(0, self.played.last_seen)
        self.played.writes_are_durable = True
        self.played.release_writes()
        self.send(finished=DONE, running=(), deregistered=True)
        self.assertEqual((1, 0), (self.played.last_seen, self.played.hold_ms), "and it is held no longer")


class Histories(unittest.TestCase):
    """Whole systems in virtual time: a task of 3.5 s, whose worker deregisters 1 s after its start."""

    def play(self, seed: int, work_ms: int = 3_500, **step: object) -> World:
        """Two machines, of which the one that runs the task deregisters; the other has room for it."""
        world = World(seed, machines=2)
        world.elect()
        world.run(1_500)
        plan = simple(work_ms, gang=2 if step.get("gang") else 1)
        world.submit(job_id(1), [{"count": 1, "cpu": 1_000, "estimateMs": 3_500, **step}], plan)
        world.run(1_000)
        return world

    def leaver(self, world: World) -> str:
        """The machine that runs the job's first task."""
        (seen,) = world.runs_of(TASK)
        return seen.worker.machine

    def leave(self, seed: int, serves_on_ms: float = 8_000, **options: Any) -> tuple[World, Machine]:
        """The same, with the other machine full and the deregistration done."""
        world = self.play(seed, **options)
        self.keep_rooms_full(world)
        machine = world.machines[self.leaver(world)]
        world.deregister_worker(machine, serves_on_ms)
        return world, machine

    def keep_rooms_full(self, world: World) -> None:
        """A task of another job takes the rest of the other machine, so that nothing is evacuated there."""
        steps = [{"count": 1, "cpu": 4_000, "estimateMs": 6_000}]
        world.submit(job_id(2), steps, simple(6_000))
        world.run(200)

    def check(self, world: World, runs: int = 1) -> None:
        """The job is completed by so many runs of its task, and no rule is broken."""
        world.run(12_000)
        self.assertEqual("completed", world.state_of(job_id(1)))
        self.assertEqual(runs, len(world.runs_of(TASK)))
        self.assertEqual([], Judge(world).check())

    def test_the_end_counts_that_it_lists_seconds_later(self) -> None:
        for seed in range(10):
            with self.subTest(seed):
                world, _ = self.leave(seed)
                self.check(world)

    def test_its_agent_is_killed_and_starts_again_meanwhile(self) -> None:
        for seed in range(10):
            with self.subTest(seed):
                world, machine = self.leave(seed)
                world.run(world.rng.uniform(0, 1_000))
                world.crash_agent(machine, 300)
                self.check(world)

    def test_another_dispatcher_takes_over_meanwhile(self) -> None:
        for seed in range(10):
            with self.subTest(seed):
                world, _ = self.leave(seed)
                world.run(world.rng.uniform(0, 2_500))
                world.fail_dispatcher()
                world.run(800)
                world.elect()
                self.check(world)

    def test_it_is_back_at_once_under_a_new_name(self) -> None:
        for seed in range(10):
            with self.subTest(seed):
                world = self.play(seed)
                self.keep_rooms_full(world)
                machine = world.machines[self.leaver(world)]
                serves_on_ms = 2_250 + world.rng.uniform(0, 100)  # about as long as the task still takes
                ends_at = world.now + serves_on_ms
                world.deregister_worker(machine, serves_on_ms, down_ms=0)
                world.run(12_000)
                self.assertEqual("completed", world.state_of(job_id(1)))
                self.assertEqual([], Judge(world).check())
                first, *others = world.runs_of(TASK)
                was_listed = first.end is not None and first.end < ends_at - LISTED_WITHIN_MS
                self.assertTrue(not was_listed or not others, others)

    def test_one_that_never_ends_is_left_alone_once_it_runs_nothing(self) -> None:
        world, machine = self.leave(1, serves_on_ms=1e9)
        self.check(world)
        world.run(20_000)
        assert world.dispatcher is not None
        self.assertNotIn(machine.worker.instance, world.dispatcher.state.workers)

    def test_a_cancelled_task_is_stopped_there(self) -> None:
        # Guards against the review's UNASKED: a cancelled task ran on for seconds.
        for seed in range(5):
            with self.subTest(seed):
                world, _ = self.leave(seed, work_ms=9_000)
                world.run(2_100)
                world.call(Method.CANCEL, job_id(1))
                world.run(600)
                (seen,) = world.runs_of(TASK)
                self.assertEqual("stopped", seen.how)

    def test_a_gang_with_a_member_there(self) -> None:
        for seed in range(10):
            with self.subTest(seed):
                world, _ = self.leave(seed, count=2, cpu=2_500, gang=True)
                self.check(world)


if __name__ == "__main__":
    unittest.main()
