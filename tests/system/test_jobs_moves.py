"""Stalled, slow and draining workers, copies, preemption and reservations, in virtual time."""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from functools import partial

from flintfield.jobs.messages import Method
from flintfield.placement.interface import Demand, Worker
from flintfield.placement.market import MarketPlacement

from .jobs_judge import Judge
from .jobs_world import ConfigurationModel, RouteModel, Steps, World, job_id, simple


class Moves(unittest.TestCase):
    """Runs that the dispatcher stops in order to place their tasks elsewhere."""

    def setUp(self) -> None:
        self.world = World(machines=3)
        self.world.elect()
        self.world.run(1_500)

    def tearDown(self) -> None:
        self.assertEqual(Judge(self.world).check(), [])

    def test_a_stalled_run_is_moved_while_others_make_progress(self) -> None:
        self.world.machines["m0"].worker.factor = 1_000.0
        steps: Steps = [{"count": 9, "cpu": 1_000, "memMb": 100, "estimateMs": 2_000}]
        self.world.submit(job_id(1), steps, simple(2_000))
        self.world.run(9_000)
        self.assertEqual(self.world.state_of(job_id(1)), "completed")
        stalled = [seen for seen in self.world.seen if seen.how == "stopped"]
        self.assertTrue(stalled)
        self.assertEqual({seen.worker.machine for seen in stalled}, {"m0"})

    def test_a_member_that_waits_for_its_gang_is_not_stalled(self) -> None:
        self.world.machines["m0"].worker.factor = 2.0
        steps: Steps = [{"count": 3, "cpu": 4_000, "memMb": 100, "estimateMs": 9_000, "gang": True}]
        self.world.submit(job_id(1), steps, simple(9_000, gang=3))
        self.world.run(25_000)
        self.assertEqual(self.world.state_of(job_id(1)), "completed")
        self.assertEqual({seen.how for seen in self.world.seen}, {"done"})
        self.assertEqual({seen.run for seen in self.world.seen}, {1})

    def test_nothing_is_moved_while_all_runs_are_stalled(self) -> None:
        for machine in self.world.machines.values():
            machine.worker.factor = 1_000.0
        steps: Steps = [{"count": 9, "cpu": 1_000, "memMb": 100, "estimateMs": 2_000}]
        self.world.submit(job_id(1), steps, simple(2_000))
        self.world.run(9_000)
        self.assertEqual({seen.how for seen in self.world.seen}, {""})

    def test_a_moved_task_continues_from_its_checkpoint(self) -> None:
        steps: Steps = [{"count": 1, "cpu": 4_000, "memMb": 100, "estimateMs": 6_000, "checkpoints": True}]
        self.world.submit(job_id(2), steps, simple(6_000, checkpoints=True))
        self.world.run(2_500)
        machine = next(each for each in self.world.machines.values() if each.worker.runs)
        self.world.drain_worker(machine)
        self.world.run(8_000)
        self.assertEqual(self.world.state_of(job_id(2)), "completed")
        first, second = self.world.runs_of(f"{job_id(2)}.0.0.0")
        self.assertEqual((first.how, first.run, second.run), ("stopped", 1, 2))
        self.assertGreater(int(second.checkpoint, 16), 1_500)

    def test_a_long_running_task_is_moved_off_a_draining_worker(self) -> None:
        steps: Steps = [{"count": 1, "cpu": 1_000, "memMb": 100, "longRunning": True}]
        self.world.submit(job_id(3), steps, simple(0))
        self.world.run(1_000)
        machine = next(each for each in self.world.machines.values() if each.worker.runs)
        self.world.drain_worker(machine)
        self.world.run(2_500)
        first, second = self.world.runs_of(f"{job_id(3)}.0.0.0")
        self.assertLess(second.start - (first.end or 0), 600)
        self.assertNotEqual(first.worker, second.worker)

    def test_a_task_that_ends_in_time_stays_on_a_draining_worker(self) -> None:
        steps: Steps = [{"count": 1, "cpu": 1_000, "memMb": 100, "estimateMs": 1_500}]
        self.world.submit(job_id(4), steps, simple(1_500))
        self.world.run(500)
        machine = next(each for each in self.world.machines.values() if each.worker.runs)
        self.world.drain_worker(machine)
        self.world.run(3_000)
        self.assertEqual([seen.how for seen in self.world.seen], ["done"])

    def test_a_late_task_of_a_speculative_step_gets_a_copy_and_the_first_end_counts(self) -> None:
        for machine in self.world.machines.values():
            machine.worker.factor = 20.0
        steps: Steps = [{"count": 1, "cpu": 1_000, "memMb": 100, "estimateMs": 800, "speculative": True}]
        self.world.submit(job_id(5), steps, simple(800))
        self.world.run(400)
        for machine in self.world.machines.values():
            machine.worker.factor = 1.0
        self.world.run(5_000)
        self.assertEqual(self.world.state_of(job_id(5)), "completed")
        self.assertEqual(sorted(seen.how for seen in self.world.seen), ["done", "stopped"])


class PriorityTests(unittest.TestCase):
    """Priorities and capacity."""

    def setUp(self) -> None:
        self.world = World(machines=2)
        routes = (
            RouteModel("r-a", "/a/", priority=2),
            RouteModel("r-u", "/u/", priority=0, target_latency_ms=100),
        )
        self.world.configuration = ConfigurationModel(1, routes)
        self.world.elect()
        self.world.run(1_500)

    def tearDown(self) -> None:
        self.assertEqual(Judge(self.world).check(), [])

    def test_an_urgent_task_preempts_one_with_checkpoints(self) -> None:
        steps: Steps = [{"count": 2, "cpu": 4_000, "memMb": 100, "estimateMs": 20_000, "checkpoints": True}]
        self.world.submit(job_id(1), steps, simple(20_000, checkpoints=True))
        self.world.run(5_000)
        urgent: Steps = [{"count": 1, "cpu": 4_000, "memMb": 100, "estimateMs": 500}]
        self.world.submit(job_id(2), urgent, simple(500), route="/u/")
        self.world.run(2_500)
        self.assertEqual(self.world.state_of(job_id(2)), "completed")
        self.assertIn(
            "stopped",
            {
                seen.how
                for seen in self.world.runs_of(f"{job_id(1)}.0.0.0")
                + self.world.runs_of(f"{job_id(1)}.0.0.1")
            },
        )
        self.world.run(30_000)
        self.assertEqual(self.world.state_of(job_id(1)), "completed")

    def test_unsaved_work_is_not_preempted(self) -> None:
        steps: Steps = [{"count": 2, "cpu": 4_000, "memMb": 100, "estimateMs": 8_000}]
        self.world.submit(job_id(1), steps, simple(8_000))
        self.world.run(5_000)
        urgent: Steps = [{"count": 1, "cpu": 4_000, "memMb": 100, "estimateMs": 500}]
        self.world.submit(job_id(2), urgent, simple(500), route="/u/")
        self.world.run(20_000)
        self.assertEqual({seen.how for seen in self.world.seen}, {"done"})

    def test_a_large_gang_gets_capacity_among_small_tasks(self) -> None:
        for number in range(1, 40):
            small: Steps = [{"count": 4, "cpu": 1_000, "memMb": 100, "estimateMs": 700}]
            self.world.after(number * 350, partial(self.world.submit, job_id(number), small, simple(700)))
        self.world.run(3_000)
        gang: Steps = [{"count": 2, "cpu": 4_000, "memMb": 100, "estimateMs": 700, "gang": True}]
        self.world.submit(job_id(99), gang, simple(700, gang=2))
        self.world.run(9_000)
        self.assertEqual(self.world.state_of(job_id(99)), "completed")


class SilentWorkers(unittest.TestCase):
    """Workers that stop answering while their agents keep running."""

    def test_tasks_of_an_unreachable_worker_run_elsewhere_within_eight_seconds(self) -> None:
        for seed in range(1, 7):
            with self.subTest(seed=seed):
                world = World(seed=seed, machines=4, hold_max_ms=10_000)
                world.elect()
                world.run(1_500)
                steps: Steps = [{"count": 8, "cpu": 1_000, "memMb": 100, "estimateMs": 20_000}]
                world.submit(job_id(1), steps, simple(20_000))
                world.run(3_000 + seed * 37)
                self.assertEqual(len(world.seen), 8)
                silent = next(seen.worker for seen in world.seen)
                world.machines[silent.machine].worker_cut = True
                there = sum(seen.worker is silent for seen in world.seen)
                world.run(7_900)
                self.assertEqual(len(world.seen), 8 + there)
                self.assertEqual(Judge(world).check(), [])

    def test_a_healthy_worker_without_ends_to_report_is_always_ready(self) -> None:
        world = World(machines=3, hold_max_ms=10_000)
        world.elect()
        world.run(1_500)
        steps: Steps = [{"count": 3, "cpu": 1_000, "memMb": 100, "estimateMs": 20_000}]
        world.submit(job_id(1), steps, simple(20_000))
        for _ in range(400):
            world.run(25)
            assert world.dispatcher is not None
            records = world.dispatcher.state.workers.values()
            self.assertTrue(all(record.worker.ready for record in records))


class Places(unittest.TestCase):
    """Placement constraints."""

    def setUp(self) -> None:
        self.world = World(machines=3)
        self.world.elect()
        self.world.run(1_500)

    def tearDown(self) -> None:
        self.assertEqual(Judge(self.world).check(), [])

    def test_tasks_run_only_on_workers_with_the_label(self) -> None:
        steps: Steps = [{"count": 6, "cpu": 1_000, "estimateMs": 300, "constraints": "rack-m1"}]
        self.world.submit(job_id(1), steps, simple(300))
        self.world.run(3_000)
        self.assertEqual(self.world.state_of(job_id(1)), "completed")
        self.assertEqual({seen.worker.machine for seen in self.world.seen}, {"m1"})

    def test_a_task_waits_for_a_label_that_no_worker_has(self) -> None:
        self.world.submit(job_id(1), [{"count": 1, "cpu": 1_000, "constraints": "z"}], simple())
        self.world.run(6_000)
        self.assertEqual(self.world.seen, [])
        self.assertEqual(self.world.state_of(job_id(1)), "queued")

    def test_anti_affinity_limits_the_tasks_of_a_step_per_worker(self) -> None:
        steps: Steps = [{"count": 7, "cpu": 500, "estimateMs": 900, "antiAffinity": 1}]
        self.world.submit(job_id(1), steps, simple(900))
        self.world.run(1_000)
        self.assertEqual(sorted(len(each.worker.runs) for each in self.world.machines.values()), [1, 1, 1])
        self.world.run(5_000)
        self.assertEqual(self.world.state_of(job_id(1)), "completed")

    def test_tasks_wait_for_the_rack_of_their_data_while_that_is_cheaper(self) -> None:
        """Four fit there; two more expect room within the 1,000 ms that running elsewhere adds, two don't."""
        steps: Steps = [{"count": 8, "cpu": 1_000, "estimateMs": 2_000, "affinity": "rack-m2"}]
        self.world.submit(job_id(1), steps, simple(2_000))
        self.world.run(300)
        machines = [seen.worker.machine for seen in self.world.seen]
        self.assertEqual((machines.count("m2"), len(machines)), (4, 6))
        self.world.run(500)
        self.assertEqual(len(self.world.seen), 6)
        self.world.run(500)  # the wait has expired, and no run has ended in the rack
        self.assertEqual(len(self.world.seen), 8)

    def test_tasks_do_not_wait_for_a_rack_without_workers(self) -> None:
        steps: Steps = [{"count": 2, "cpu": 1_000, "estimateMs": 2_000, "affinity": "rack-none"}]
        self.world.submit(job_id(1), steps, simple(300))
        self.world.run(200)
        self.assertEqual(len(self.world.seen), 2)

    def test_tasks_that_wait_for_a_rack_count_against_later_jobs(self) -> None:
        """The rack is full and two tasks wait: a third would wait longer than running elsewhere adds."""
        steps: Steps = [{"count": 6, "cpu": 1_000, "estimateMs": 2_000, "affinity": "rack-m2"}]
        self.world.submit(job_id(1), steps, simple(2_000))
        self.world.run(200)
        self.assertEqual(len(self.world.seen), 4)
        self.world.submit(job_id(2), [{**steps[0], "count": 1}], simple(2_000))
        self.world.run(200)
        last = self.world.seen[-1]
        self.assertEqual((last.task, last.worker.machine != "m2"), (f"{job_id(2)}.0.0.0", True))

    def test_a_queue_routed_to_another_service_runs_its_tasks_there(self) -> None:
        self.world.submit(job_id(1), [{"count": 1, "cpu": 1_000, "constraints": "z"}], simple())
        self.world.run(500)
        self.world.configure(ConfigurationModel(2, (RouteModel(service="other"),)))
        self.world.run(500)
        self.assertEqual(self.world.ask(Method.COUNT, "").body, b'{"pending":1}')
        self.world.submit(job_id(2), [{"count": 1, "cpu": 1_000}], simple())
        self.world.run(2_000)
        self.assertEqual(self.world.seen, [])
        self.world.configure(ConfigurationModel(3, (RouteModel(),)))
        self.world.run(2_000)
        self.assertEqual(self.world.state_of(job_id(2)), "completed")


class AlwaysWaitPolicy(MarketPlacement):
    """A placement policy that never chooses a worker."""

    def choose(self, demand: Demand, workers: dict[str, Worker], now_ms: int) -> str | None:
        """Choose no worker."""
        return None

    def choose_gang(
        self, demands: Sequence[Demand], workers: dict[str, Worker], now_ms: int
    ) -> list[str] | None:
        """Choose no worker."""
        return None


class FreeRoom(unittest.TestCase):
    """A ready task does not wait for 3 s beside free capacity, whatever the policy chooses."""

    def test_tasks_and_gangs_are_placed_by_capacity_alone_after_a_wait(self) -> None:
        world = World(machines=2, placement=AlwaysWaitPolicy)
        world.elect()
        world.run(1_500)
        world.submit(job_id(1), [{"count": 2, "cpu": 500, "estimateMs": 300}], simple(300))
        world.submit(
            job_id(2), [{"count": 3, "cpu": 2_000, "estimateMs": 300, "gang": True}], simple(300, gang=3)
        )
        world.submit(job_id(3), [{"count": 2, "cpu": 500, "estimateMs": 300}], simple(300))
        world.run(2_900)
        self.assertEqual(len(world.seen), 7)
        self.assertEqual(Judge(world).check(), [])


if __name__ == "__main__":
    unittest.main()
