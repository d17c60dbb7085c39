"""The benchmarks behind docs/CAPACITY.md measure what they say: the load is served, nothing counts twice."""

from __future__ import annotations

import unittest

from benchmarks.system_agent_bytes import Filled, worker_with
from benchmarks.system_dispatch_load import FULL_RUNNING, FULL_STARTS_PER_S, HollowCluster
from benchmarks.system_load_meter import Meter, quantile
from benchmarks.system_replication_load import ReplicatedCore, measure_batches, measure_documents
from flintfield.jobs.messages import AgentOrders, AgentReport, StartOrder
from flintfield.transport.records import decode, encode

WORKERS = 42
WINDOW_MS = 4_000.0


class DispatchLoad(unittest.TestCase):
    """A small hollow cluster."""

    cluster: HollowCluster
    meter: Meter

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = HollowCluster(WORKERS, services=2)
        cls.cluster.fill()
        cls.meter = cls.cluster.measure(WINDOW_MS)

    def test_all_jobs_are_taken_in_and_the_fleet_is_filled(self) -> None:
        self.assertEqual(self.cluster.refused, 0)
        wanted = FULL_RUNNING * self.cluster.share
        self.assertGreater(self.cluster.running, 0.5 * wanted)
        self.assertLess(self.cluster.running, 1.6 * wanted)

    def test_starts_come_at_about_the_rate_that_was_asked_for(self) -> None:
        asked = FULL_STARTS_PER_S * self.cluster.share * WINDOW_MS / 1_000
        self.assertGreater(self.meter.starts, 0.3 * asked)

    def test_the_hollow_workers_do_nothing_that_counts_as_a_fault(self) -> None:
        counters = self.cluster.dispatcher.counters
        faults = (
            counters.lost_runs,
            counters.vanished_runs,
            counters.strays,
            counters.bad_placements,
            counters.malformed,
        )
        self.assertEqual(faults, (0, 0, 0, 0, 0))

    def test_the_dispatcher_and_the_fleet_agree_on_what_runs(self) -> None:
        self.cluster.run(2_000)
        held = {
            (run.name, run.number)
            for record in self.cluster.dispatcher.state.workers.values()
            for run in record.runs.values()
        }
        there = {
            (run.task, run.number) for worker in self.cluster.fleet.values() for run in worker.runs.values()
        }
        self.assertLessEqual(there, held)

    def test_agents_without_news_report_about_twice_a_second(self) -> None:
        rate = self.meter.handled["report"] / WORKERS / (WINDOW_MS / 1_000)
        self.assertGreater(rate, 1.8)
        self.assertLess(rate, 3.0)
        self.assertEqual(self.meter.handled["report"], self.meter.handled["decode a report"])

    def test_jobs_that_admission_refuses_are_counted(self) -> None:
        cluster = HollowCluster(WORKERS, services=2, backlog_ms=1_000)
        cluster.fill()
        cluster.measure(WINDOW_MS)
        self.assertEqual(cluster.refused, cluster.dispatcher.counters.refused)
        self.assertGreater(cluster.refused, 0)

    def test_lists_in_every_fourth_report_lose_no_run(self) -> None:
        cluster = HollowCluster(WORKERS, services=2, list_every=4)
        cluster.fill()
        cluster.measure(WINDOW_MS)
        counters = cluster.dispatcher.counters
        self.assertEqual((counters.vanished_runs, counters.lost_runs, counters.strays), (0, 0, 0))
        self.assertGreater(counters.ends, 0)


class Fleet(unittest.TestCase):
    """A hollow worker."""

    def test_it_reports_what_runs_and_what_has_ended_until_that_is_noted(self) -> None:
        worker = worker_with(2)
        task = next(iter(worker.runs))
        worker.end(1_000.0, task)
        report = worker.report(1_010.0)
        self.assertIsInstance(decode(encode(report)), AgentReport)
        self.assertEqual([end.task for end in report.finished], [task])
        self.assertNotIn(task, {run.task for run in report.running})
        worker.take(1_020.0, AgentOrders(1, worker.instance, 1_010, 5_000, 1, (), ()))
        self.assertEqual(worker.report(1_030.0).finished, ())

    def test_a_repeated_start_changes_nothing(self) -> None:
        worker = worker_with(0)
        order = StartOrder(1, "a.0.0.0", 1, "", "")
        first = worker.start(10.0, order, 500.0)
        self.assertIs(worker.start(20.0, order, 900.0), first)

    def test_jobs_of_the_state_measurement_are_kept(self) -> None:
        filled = Filled(2)
        filled.report(10)
        filled.submit(20, jobs=5, tasks=2)
        self.assertEqual(filled.dispatcher.counters.accepted, 5)


class ReplicationLoad(unittest.TestCase):
    """State machines of the core in one process."""

    def test_each_batch_is_at_all_replicas_before_the_next(self) -> None:
        core = ReplicatedCore(3)
        for number in range(5):
            core.write([(b"t%d" % number, b"value")])
        contents = [replica.records for replica in core.replicas.values()]
        for content in contents:
            self.assertEqual(sum(value == b"value" for value in content.values()), 5)

    def test_bytes_grow_with_replicas(self) -> None:
        three, four = measure_batches(3, 4, 20), measure_batches(4, 4, 20)
        self.assertAlmostEqual(four.sent_bytes / three.sent_bytes, 4 / 3, places=2)

    def test_a_change_is_two_messages_a_replica_and_carries_the_document_twice(self) -> None:
        costs = measure_documents(3, 10_000, 10)
        self.assertEqual(costs.messages, 10 * 2 * 3)
        self.assertGreater(costs.sent_bytes, 10 * 3 * 10_000)
        self.assertGreater(costs.got_bytes, 9 * 3 * 10_000)

    def test_quantiles(self) -> None:
        self.assertEqual(quantile([], 0.5), 0.0)
        self.assertEqual(quantile([3.0, 1.0, 2.0], 0.5), 2.0)
        self.assertEqual(quantile([3.0, 1.0, 2.0], 0.99), 3.0)


if __name__ == "__main__":
    unittest.main()
