"""Many jobs in sequence: the stored size stays bounded, and a store near its limit recovers."""

from __future__ import annotations

import json
import unittest
from dataclasses import replace
from unittest import mock

from flintfield.coordination.storage.format import entry_bytes
from flintfield.coordination.storage.compaction import content_bound
from flintfield.jobs import durable
from flintfield.jobs.messages import JobAnswer, Method
from flintfield.programs.scheduler import MEGABYTE, dispatcher_bounds
from flintfield.runtime.settings import Limits, NodeSettings

from .jobs_world import World, job_id, simple

JOBS = 20_000
JOBS_PER_BATCH = 20
BATCH_PERIOD_MS = 500.0  # 40 jobs per second
TAKEOVER_EVERY = 2_500  # jobs between two takeovers
STATUS_S = 10
MAX_STORE_BYTES = 400_000  # for 1,200 ended jobs and some tens of active ones
SPEC_BYTES = 2_000
TASKS = 12  # per job
MAX_SUBMISSIONS = 1_000


def stored_bytes(world: World) -> int:
    """Size of the dispatcher's records in a replica's store."""
    return sum(entry_bytes(key, value) for key, value in world.store.items())


class TwentyThousandJobs(unittest.TestCase):
    """20,000 jobs with several changes of the dispatcher."""

    def test_the_store_stays_bounded_and_every_accepted_job_is_done(self) -> None:
        world = World(seed=5, machines=4, cpu=16_000)
        world.bounds = replace(world.bounds, status_s=STATUS_S)
        world.elect()
        world.run(2_000)
        largest = 0
        for first in range(0, JOBS, JOBS_PER_BATCH):
            if first and first % TAKEOVER_EVERY == 0:
                world.fail_dispatcher()
                world.elect()
            for number in range(first, first + JOBS_PER_BATCH):
                world.submit(
                    job_id(number), [{"count": 1, "cpu": 500, "memMb": 10, "estimateMs": 200}], simple(200)
                )
            world.run(BATCH_PERIOD_MS)
            largest = max(largest, stored_bytes(world))
        world.run(5_000)
        accepted = {
            received.job
            for received in world.client_answers
            if received.method is Method.SUBMIT and received.answer.status == 200
        }
        done = {seen.task.partition(".")[0] for seen in world.seen if seen.how == "done"}
        self.assertGreater(len(accepted), JOBS * 98 // 100)
        self.assertEqual(set(), accepted - done)
        self.assertLess(largest, MAX_STORE_BYTES)
        world.run(STATUS_S * 1_500 + 1_000)
        self.assertEqual(0, stored_bytes(world))


class StoreNearItsBound(unittest.TestCase):
    """Jobs are submitted without any worker until the store is full."""

    def setUp(self) -> None:
        self.bound = content_bound(1 * MEGABYTE)
        self.world = World(seed=6, machines=0)
        self.world.bounds = replace(self.world.bounds, max_kept_bytes=self.bound * 3 // 4)
        self.world.elect()
        self.world.run(2_000)

    def fill(self, first: int = 0) -> int:
        """Submit jobs until one is rejected; returns the number accepted."""
        for number in range(first, first + MAX_SUBMISSIONS):
            answer = self.submit_job(job_id(number))
            if answer.status != 200:
                self.assertEqual((429, 1_000), (answer.status, answer.retry_after_ms))
                return number - first
        raise AssertionError("nothing was refused")

    def submit_job(self, job: str) -> JobAnswer:
        """Submit a job with `TASKS` tasks."""
        steps = [{"count": TASKS, "cpu": 100, "memMb": 10, "estimateMs": 500}]
        body = json.dumps({"spec": "s" * SPEC_BYTES, "steps": steps}).encode()
        self.world.plans.setdefault(job, simple(500))
        return self.world.ask(Method.SUBMIT, job, body=body)

    def test_jobs_are_rejected_in_time_and_accepted_ones_complete_within_the_limit(self) -> None:
        accepted = self.fill()
        self.assertGreater(accepted, 10)
        largest = stored_bytes(self.world)
        for name in ("m0", "m1", "m2"):
            self.world.add_machine(name, 16_000)
        for _ in range(300):
            self.world.run(100)
            largest = max(largest, stored_bytes(self.world))
        for number in range(accepted):
            self.assertEqual("completed", self.world.state_of(job_id(number)))
        self.assertLess(largest, self.bound)
        for machine in self.world.machines.values():
            machine.cut = True
        self.world.run(20_000)
        self.assertEqual(accepted, self.fill(accepted))

    def test_a_new_dispatcher_computes_the_same_kept_bytes(self) -> None:
        self.fill()
        assert self.world.dispatcher is not None
        counted = self.world.dispatcher.state.kept_bytes
        self.world.fail_dispatcher()
        self.world.elect()
        assert self.world.dispatcher is not None
        self.assertEqual(counted, self.world.dispatcher.state.kept_bytes)

    def test_without_reserved_task_records_the_store_exceeds_its_limit(self) -> None:
        """Admission must reserve space for the records of tasks that are not placed yet."""
        with mock.patch.object(durable, "most_bytes", lambda body, tasks, timed: len(body)):
            self.fill()
        for name in ("m0", "m1", "m2"):
            self.world.add_machine(name, 16_000)
        largest = 0
        for _ in range(100):
            self.world.run(100)
            largest = max(largest, stored_bytes(self.world))
        self.assertGreater(largest, self.bound)


def node_settings(data_dir: str | None, limits: Limits) -> NodeSettings:
    """Settings of a replica's process."""
    return NodeSettings(
        "frontend-a-1", "scheduler", "10.1.0.1", "a", (7_000, 7_015), data_dir=data_dir, limits=limits
    )


class BoundFromSettings(unittest.TestCase):
    """The limit derived from the settings of a process."""

    def test_the_limit_fits_into_the_replicas_store(self) -> None:
        for disk_mb in (32, 128, 192):
            settings = node_settings("/data", Limits(disk_mb=disk_mb))
            bounds = dispatcher_bounds(settings)
            self.assertLess(bounds.max_kept_bytes, content_bound(disk_mb * MEGABYTE))

    def test_without_a_disk_the_limit_is_a_share_of_the_memory(self) -> None:
        settings = node_settings(None, Limits(memory_mb=320))
        self.assertEqual(20 * MEGABYTE, dispatcher_bounds(settings).max_kept_bytes)


if __name__ == "__main__":
    unittest.main()
