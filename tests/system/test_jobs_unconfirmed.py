"""A new dispatcher that does not know yet which configuration is the newest.

Guards against the review's LOST: after the whole core was killed, a job was shown as failed by the
`maxAttempts` of its acceptance, though a later configuration allowed more runs.
"""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any

from flintfield.jobs.durable import QUEUE, QueueRecord, TermsRecord, queue_key
from flintfield.jobs.events import ConfigurationChanged, ConfigurationConfirmed, ReportArrived, Tick
from flintfield.jobs.messages import AgentReport, End, Method, OrderResult, Outcome, Run, RunResult
from flintfield.jobs.reconfiguration import JOBS_JOINED_AT_ONCE
from flintfield.jobs.state import CONFIRMATION_WAIT_MS

from flintfield.transport.records import encode

from .jobs_table import PlayedDispatcher
from .jobs_world import WALL_0, ConfigurationModel, RouteModel, job_id, report
from .test_jobs_intake import body

URGENT, USUAL = RouteModel("r-urgent", "/u/", priority=0), RouteModel(max_attempts=2)
STEP = {"count": 1, "cpu": 3_000, "estimateMs": 500}
GANG = {"count": 2, "cpu": 1_000, "estimateMs": 500, "gang": True}
FIRST_EPOCH = 3
TASK = f"{job_id(1)}.0.0.0"


class Unconfirmed(unittest.TestCase):
    """One worker, and a job whose task has failed twice."""

    def setUp(self) -> None:
        self.played = PlayedDispatcher(FIRST_EPOCH, ConfigurationModel(1, (USUAL, URGENT)))
        self.stamp = 10
        self.report()

    def report(self, **changes: object) -> None:
        """The worker's agent reports."""
        self.stamp += 100
        self.played.now = max(self.played.now, 990 + self.stamp)
        epoch = self.played.dispatcher.epoch
        told: AgentReport = replace(report(self.stamp), fenced_epoch=epoch, complete_listing=True)
        self.played.handle(ReportArrived(replace(told, **changes)))  # type: ignore[arg-type]

    def submit(self, number: int, step: dict[str, Any], path: str = "/a/") -> None:
        """Hand a job in."""
        self.played.call(Method.SUBMIT, path + job_id(number), body(step))

    def fail_runs(self, end: int, *tasks: str) -> None:
        """All runs that were started are carried out and end `failed`."""
        starts = [start for start in self.played.starts if start.task in tasks]
        newest = {start.task: start for start in starts}
        results = tuple(OrderResult(start.order, Outcome.DONE, self.stamp) for start in newest.values())
        self.report(results=results)
        ends = tuple(
            End(end + at, start.task, start.run, RunResult.FAILED, "")
            for at, start in enumerate(newest.values())
        )
        self.report(finished=ends)

    def fail_twice_while_an_urgent_job_waits(self) -> None:
        """The task fails twice; then an urgent job takes the worker, and the task waits for room."""
        self.submit(1, STEP)
        self.fail_runs(1, TASK)
        self.configure(4)
        self.submit(2, {**STEP, "cpu": 4_000}, "/u/")
        self.fail_runs(2, TASK)

    def configure(self, attempts: int) -> None:
        """Put a configuration into force, at the dispatcher in office."""
        self.played.configuration = self.configuration(attempts)
        self.played.handle(ConfigurationChanged(self.played.configuration))

    def configuration(self, attempts: int, version: int = 5) -> ConfigurationModel:
        """A configuration in which the job's queue allows so many attempts."""
        return ConfigurationModel(version, (replace(USUAL, max_attempts=attempts), URGENT))

    def elect(self) -> None:
        """Another process is elected, to which no majority has confirmed the configuration yet."""
        self.played.elect(FIRST_EPOCH + 1, configuration_confirmed=False)

    def take_over(self, known: ConfigurationModel) -> None:
        """The core is killed, and a process that knows this configuration is elected."""
        self.played.configuration = known
        self.elect()
        self.report(running=(Run(f"{job_id(2)}.0.0.0", 1, "", 10),), listing_stamp=self.stamp + 50)
        self.played.tick(200)

    def wait_for_room(self) -> None:
        """The urgent job's run ends."""
        self.report(finished=(End(3, f"{job_id(2)}.0.0.0", 1, RunResult.DONE, ""),))

    def wait_for_any_worker(self) -> None:
        """Time passes until a gang that avoids a worker is placed there all the same."""
        for _ in range(20):
            self.report()

    def state(self) -> bytes:
        """The job's state as a client is told."""
        self.played.call(Method.STATUS, "/a/" + job_id(1))
        return self.played.answers[self.played.calls].body

    def started(self) -> list[str]:
        """The tasks that were started in this term."""
        return [start.task for start in self.played.starts]

    def test_a_raised_number_of_attempts_counts_though_the_process_does_not_know_it_yet(self) -> None:
        self.fail_twice_while_an_urgent_job_waits()
        self.take_over(ConfigurationModel(1, (USUAL, URGENT)))
        self.wait_for_room()
        self.assertNotIn(b"failed", self.state())
        self.played.handle(ConfigurationConfirmed(self.configuration(4)))
        self.report()
        self.assertNotIn(b"failed", self.state())
        self.assertEqual([TASK], self.started())

    def test_a_lowered_number_of_attempts_allows_no_further_start(self) -> None:
        self.played.configuration = ConfigurationModel(1, (replace(USUAL, max_attempts=4), URGENT))
        self.played.handle(ConfigurationChanged(replace(self.played.configuration, version=2)))
        self.submit(1, STEP)
        self.fail_runs(1, TASK)
        self.submit(2, {**STEP, "cpu": 4_000}, "/u/")
        self.fail_runs(2, TASK)
        self.take_over(ConfigurationModel(2, (replace(USUAL, max_attempts=4), URGENT)))
        self.wait_for_room()
        self.played.tick(2 * CONFIRMATION_WAIT_MS)
        self.report()
        self.assertEqual([], self.started())
        self.played.handle(ConfigurationConfirmed(self.configuration(2)))
        self.assertIn(b"failed", self.state())
        self.assertEqual([], self.started())

    def test_an_end_that_is_reported_before_the_confirmation_is_decided_after_it(self) -> None:
        self.submit(1, STEP)
        self.fail_runs(1, TASK)
        results = (OrderResult(self.played.starts[-1].order, Outcome.DONE, self.stamp),)
        self.report(results=results)
        self.elect()
        self.report(finished=(End(2, TASK, 2, RunResult.FAILED, ""),))
        self.assertNotIn(b"failed", self.state())
        self.played.handle(ConfigurationConfirmed(self.configuration(2)))
        self.assertIn(b"failed", self.state())

    def test_a_gang_that_has_failed_waits_for_the_confirmation(self) -> None:
        members = (f"{job_id(1)}.0.0.0", f"{job_id(1)}.0.0.1")
        self.submit(1, GANG)
        self.fail_runs(1, *members)
        self.wait_for_any_worker()
        self.assertEqual(4, len(self.started()), "it runs once more")
        self.report(
            results=tuple(OrderResult(each.order, Outcome.DONE, 1) for each in self.played.starts[2:])
        )
        self.elect()
        ends = tuple(End(3 + at, task, 2, RunResult.FAILED, "") for at, task in enumerate(members))
        self.report(finished=ends)
        self.played.tick(2 * CONFIRMATION_WAIT_MS)
        self.report()
        self.assertEqual(([], False), (self.started(), b"failed" in self.state()))
        self.played.handle(ConfigurationConfirmed(self.configuration(3)))
        self.wait_for_any_worker()
        self.assertEqual(list(members), self.started())

    def test_nothing_is_placed_before_the_confirmation(self) -> None:
        self.elect()
        self.report()
        self.submit(1, STEP)
        self.played.tick(200)
        self.assertEqual([], self.started())
        self.played.handle(ConfigurationConfirmed(self.configuration(2)))
        self.assertEqual([TASK], self.started())

    # Guards against a standstill where thousands of jobs take up the configuration part by part.
    def test_placements_do_not_wait_until_all_jobs_have_taken_up_their_terms(self) -> None:
        for number in range(2, JOBS_JOINED_AT_ONCE + 200):
            self.submit(number, {**STEP, "cpu": 9_000, "estimateMs": 1})
        self.elect()
        self.report()
        self.submit(1, STEP)
        self.played.handle(ConfigurationConfirmed(self.configuration(2)))
        self.assertFalse(self.played.dispatcher.state.terms_confirmed)
        self.assertEqual([TASK], self.started())
        self.played.tick(50)
        self.assertTrue(self.played.dispatcher.state.terms_confirmed)

    def test_tasks_that_have_not_failed_do_not_wait_for_ever(self) -> None:
        self.elect()
        self.report()
        self.submit(1, STEP)
        self.played.tick(CONFIRMATION_WAIT_MS)
        self.report()
        self.assertEqual([TASK], self.started())

    def test_an_older_configuration_that_arrives_first_changes_no_terms(self) -> None:
        self.fail_twice_while_an_urgent_job_waits()
        self.take_over(ConfigurationModel(1, (USUAL, URGENT)))
        self.played.handle(ConfigurationChanged(self.configuration(1, version=3)))
        self.wait_for_room()
        self.played.handle(ConfigurationConfirmed(self.configuration(4)))
        self.report()
        self.assertEqual([TASK], self.started())

    # Guards against a job that fails by the terms of its acceptance, or waits for workers of its first
    # service, where its queue was changed and then removed.
    def test_the_last_terms_of_a_removed_queue_outlive_the_dispatcher(self) -> None:
        self.fail_twice_while_an_urgent_job_waits()
        removed = ConfigurationModel(6, (URGENT,))
        self.played.handle(ConfigurationChanged(removed))
        self.take_over(removed)
        self.wait_for_room()
        self.played.handle(ConfigurationConfirmed(removed))
        self.report()
        self.assertEqual([TASK], self.started())

    def test_a_job_goes_on_at_the_last_service_of_its_removed_queue(self) -> None:
        elsewhere = ConfigurationModel(1, (replace(USUAL, service="elsewhere"), URGENT))
        self.played = PlayedDispatcher(FIRST_EPOCH, elsewhere)
        self.submit(1, STEP)
        self.configure(2)
        removed = ConfigurationModel(6, (URGENT,))
        self.played.handle(ConfigurationChanged(removed))
        self.played.configuration = removed
        self.elect()
        self.report()
        self.played.handle(ConfigurationConfirmed(removed))
        self.assertEqual([TASK], self.started())

    def test_the_queue_of_another_job_with_the_same_id_is_not_taken(self) -> None:
        # A former release leaves the record of a job that ends, and may take another job with its ID.
        self.submit(1, {**STEP, "cpu": 9_000})
        other = TermsRecord("elsewhere", 1, 9, 1.5, 1_000)
        self.played.items[queue_key(job_id(1))] = encode(QueueRecord(77, "r-old", other))
        self.elect()
        self.assertEqual("svc", self.played.dispatcher.state.jobs[job_id(1)].terms.service)
        self.assertNotIn(queue_key(job_id(1)), self.played.items)

    def test_nothing_of_a_job_is_left_in_the_store_once_it_is_forgotten(self) -> None:
        self.submit(1, STEP)
        self.configure(4)
        self.assertTrue(any(key.startswith(QUEUE) for key in self.played.items))
        self.played.call(Method.CANCEL, "/a/" + job_id(1))
        self.report(running=())
        self.assertFalse(any(key.startswith(QUEUE) for key in self.played.items))

    def test_that_there_is_no_configuration_is_a_confirmation_too(self) -> None:
        self.elect()
        self.played.handle(ConfigurationConfirmed(None))
        self.assertFalse(self.played.dispatcher.awaits_configuration(self.played.now))

    def test_nothing_is_preempted_by_priorities_that_may_have_changed(self) -> None:
        self.submit(1, {**STEP, "longRunning": True, "cpu": 4_000})
        results = (OrderResult(self.played.starts[-1].order, Outcome.DONE, self.stamp),)
        running = (Run(TASK, 1, "", 0),)
        self.report(results=results, running=running)
        self.submit(2, STEP, "/u/")
        self.elect()
        self.played.stops.clear()
        for _ in range(20):
            self.report(running=running, listing_stamp=self.stamp + 50)
            self.played.handle(Tick(WALL_0 + 60_000 + self.played.now))
        self.assertEqual([], self.played.stops)
        self.played.handle(ConfigurationConfirmed(self.configuration(2)))
        self.report(running=running, listing_stamp=self.stamp + 50)
        self.assertEqual([TASK], [stop.task for stop in self.played.stops])


if __name__ == "__main__":
    unittest.main()
