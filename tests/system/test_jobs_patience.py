"""Patience: the dispatcher computes how late ends may be reported, and the agent collects ends that long."""

from __future__ import annotations

import random
import unittest

from flintfield.agent.clock import WorkerClock
from flintfield.agent.events import Answer, AnswerKind, Hold
from flintfield.agent.holds import GATHER_MS, Grant, HoldSchedule, Purpose
from flintfield.jobs.patience import (
    MIN_PATIENCE_MS,
    MAX_PATIENCE_MS,
    ROOM_WAIT_PATIENCE_MS,
    SLACK_SHARE,
    patience_ms,
)

from .jobs_world import ConfigurationModel, RouteModel, Steps, World, job_id, simple


class DispatcherPatience(unittest.TestCase):
    """The patience that the dispatcher computes."""

    def world(self, extension: float = 1.5, target_ms: int = 1_000) -> World:
        world = World(machines=1)
        world.configuration = ConfigurationModel(
            1, (RouteModel(extension=extension, target_latency_ms=target_ms),)
        )
        world.elect()
        world.run(1_500)
        return world

    def patience(self, world: World) -> int:
        assert world.dispatcher is not None
        state = world.dispatcher.state
        record = next(iter(state.workers.values()))
        waits = state.service("svc").waits_for_room(record.worker)
        return patience_ms(record.runs.values(), waits, state.paces, state.now_ms, state.wall_ms)

    def submit(self, world: World, count: int = 1, estimate_ms: int = 1_000) -> None:
        steps: Steps = [{"count": count, "cpu": 1_000, "estimateMs": estimate_ms}]
        world.submit(job_id(1), steps, simple(30_000))
        world.run(200)

    def test_a_worker_without_runs_has_the_longest_patience(self) -> None:
        self.assertEqual(MAX_PATIENCE_MS, self.patience(self.world()))

    def test_patience_is_a_share_of_the_slack(self) -> None:
        world = self.world()
        self.submit(world)  # 1,500 ms of slack at its start, 200 ms ago
        self.assertAlmostEqual(SLACK_SHARE * 1_500, self.patience(world), delta=75)

    def test_patience_is_short_near_the_objective(self) -> None:
        world = self.world(extension=1.0, target_ms=250)
        self.submit(world)
        self.assertLessEqual(self.patience(world), 100)
        self.assertGreaterEqual(self.patience(world), MIN_PATIENCE_MS)

    def test_patience_of_a_late_job_depends_on_when_it_earns_nothing(self) -> None:
        world = self.world(extension=1.0, target_ms=100)
        self.submit(world)  # misses its objective of 1,100 ms; earns a smaller amount until 3,300 ms
        self.assertAlmostEqual(SLACK_SHARE * 2_200, self.patience(world), delta=75)

    def test_patience_is_longest_once_a_job_earns_nothing(self) -> None:
        world = self.world()
        self.submit(world)
        world.run(15_000)
        self.assertEqual(MAX_PATIENCE_MS, self.patience(world))

    def test_patience_is_short_while_tasks_wait_for_capacity(self) -> None:
        world = self.world(extension=9.0, target_ms=60_000)
        self.submit(world, count=9)
        self.assertEqual(ROOM_WAIT_PATIENCE_MS, self.patience(world))


class AgentPatience(unittest.TestCase):
    """How the agent applies the patience."""

    def after_an_end(self, patience_ms: int) -> HoldSchedule:
        holds = HoldSchedule(random.Random(1), WorkerClock(), Grant(), settle_ms=100)
        holds.be_patient(patience_ms)
        holds.sent(0, 1, Purpose.LONG, Hold(1, 0, None, 2_000))
        holds.answered(500, 1, Answer(AnswerKind.OK, 500), news=True)
        return holds

    def test_ends_are_gathered_for_the_patience(self) -> None:
        self.assertLessEqual(self.after_an_end(10).gather_until, 512)
        self.assertGreaterEqual(self.after_an_end(600).gather_until, 500 + 480)

    def test_without_a_patience_the_default_applies(self) -> None:
        self.assertGreaterEqual(self.after_an_end(0).gather_until, 500 + int(0.8 * GATHER_MS))

    def test_a_shorter_patience_applies_immediately(self) -> None:
        holds = self.after_an_end(600)
        holds.be_patient(20)
        self.assertEqual(520, holds.gather_until)


if __name__ == "__main__":
    unittest.main()
