"""What one event may cost, whatever was accepted: no event takes more than a share of the lease."""

from __future__ import annotations

import json
import time
import unittest
from dataclasses import replace
from typing import Any

from flintfield.coordination.timing import LEASE_MS
from flintfield.jobs.body import MAX_GANG
from flintfield.jobs.durable import JobRecord, RunRecord, TaskRecord, TermsRecord, job_key, task_key
from flintfield.jobs.events import ConfigurationChanged, ReportArrived
from flintfield.jobs.reconfiguration import JOBS_JOINED_AT_ONCE
from flintfield.jobs.messages import AgentReport, End, Method, OrderResult, Outcome, RunResult
from flintfield.jobs.state import MAX_BATCH_BYTES
from flintfield.transport.frames import MAX_FRAME_BYTES
from flintfield.transport.records import encode

from .jobs_table import PlayedDispatcher
from .jobs_world import HOST, WALL_0, ConfigurationModel, RouteModel, job_id, worker_reports
from .support.turns import MeasuredTurns

TURN_S = LEASE_MS / 4 / 1_000
TERMS = TermsRecord("svc", 1, 2, 1.5, 1_000)
STEP = {"count": 1, "cpu": 1, "memMb": 1, "estimateMs": 1}


def body(*steps: dict[str, Any], **fields: Any) -> bytes:
    """Encode a job's body."""
    return json.dumps({"spec": "s", "steps": list(steps), **fields}).encode()


def accepted(data: bytes, address: str = "") -> bytes:
    """The record of an accepted job; without an address, as a former release wrote it."""
    return encode(JobRecord("r-a", TERMS, WALL_0, data, address))


class LargeGangs(MeasuredTurns):
    """Gangs of as many members as are taken, on two workers."""

    def setUp(self) -> None:
        super().setUp()
        self.played = PlayedDispatcher()
        self.reports = worker_reports(2, cpu=64_000)
        for each in self.reports:
            self.played.handle(ReportArrived(each))

    def submit(self) -> None:
        """Hand a gang in that needs both workers."""
        gang = {"count": MAX_GANG, "cpu": 100, "memMb": 1, "gang": True, "estimateMs": 5_000}
        self.played.call(Method.SUBMIT, "/a/" + job_id(1), body(gang))
        for _ in range(3):
            self.played.tick(300)

    def later(self, number: int, **changes: Any) -> AgentReport:
        """The next report of a worker's agent, without a newer listing."""
        before = self.reports[number]
        stamp_ms = before.stamp_ms + 400
        self.reports[number] = replace(before, stamp_ms=stamp_ms, **changes)
        return self.reports[number]

    def runs(self, number: int) -> list[tuple[str, int]]:
        """The runs that the dispatcher counts on a worker."""
        return list(self.played.dispatcher.state.workers[f"i-{number}"].runs)

    def test_its_members_may_all_fail_in_one_report(self) -> None:
        self.submit()
        for _ in range(4):
            for number in range(2):
                results = tuple(OrderResult(each.order, Outcome.DONE, 1) for each in self.played.starts)
                self.played.handle(ReportArrived(self.later(number, results=results)))
        self.assertEqual(MAX_GANG, len(self.runs(0)) + len(self.runs(1)))
        for number in range(2):
            ends = tuple(
                End(end, task, run, RunResult.FAILED, "")
                for end, (task, run) in enumerate(self.runs(number), 1)
            )
            began_s = time.process_time()
            self.played.handle(ReportArrived(self.later(number, results=(), finished=ends)))
            self.assertLess(time.process_time() - began_s, TURN_S)
        for _ in range(10):
            for number in range(2):
                self.played.handle(ReportArrived(self.later(number, finished=())))
            self.played.tick(300)
        self.assertEqual({2}, {run for _, run in self.runs(0) + self.runs(1)}, "the next run of all")

    def test_a_member_that_can_not_start_releases_all_others_in_one_event(self) -> None:
        self.played.writes_are_durable = False
        self.submit()  # its acceptance waits
        self.played.release_writes()
        for _ in range(3):
            self.played.tick(300)  # it is placed, and that waits to be durable
        self.assertEqual(MAX_GANG, len(self.runs(0)) + len(self.runs(1)))
        worker = self.reports[0].worker
        assert worker is not None
        self.played.handle(ReportArrived(self.later(0, worker=replace(worker, draining=True))))
        self.played.release_writes()
        self.assertEqual([], self.played.starts)
        self.assertEqual([], self.runs(0) + self.runs(1))


class ManyJobs(MeasuredTurns):
    """As many jobs as no event may go through at once."""

    def test_a_changed_queue_is_taken_up_by_its_jobs_in_parts(self) -> None:
        played = PlayedDispatcher()
        jobs = 2 * JOBS_JOINED_AT_ONCE + 10
        record = accepted(body(STEP), f"{HOST}/a/")
        played.items = {job_key(job_id(number)): record for number in range(jobs)}
        played.elect(4)
        played.handle(ConfigurationChanged(ConfigurationModel(2, (RouteModel(priority=2),))))
        played.handle(ConfigurationChanged(ConfigurationModel(3, (RouteModel("r-new", priority=3),))))
        changed = [job for job in played.dispatcher.state.jobs.values() if job.terms.priority != 1]
        self.assertLessEqual(len(changed), 2 * JOBS_JOINED_AT_ONCE)
        for _ in range(5):
            played.tick(50)
        self.assertEqual({3}, {job.terms.priority for job in played.dispatcher.state.jobs.values()})
        self.assertEqual({"r-new": jobs}, dict(+played.dispatcher.state.pending))

    def test_a_write_stays_far_below_the_largest_frame_while_others_are_not_durable(self) -> None:
        played = PlayedDispatcher()
        played.writes_are_durable = False
        large = body({**STEP, "constraints": ["x" * 250] * 900})
        for number in range(50):
            played.call(Method.SUBMIT, "/a/" + job_id(number), large)
        writes = list(played.writes)
        played.release_writes()
        writes += played.writes
        sizes = [sum(len(key) + len(value or b"") for key, value in each.changes) for each in writes]
        self.assertGreater(sum(sizes), MAX_FRAME_BYTES)
        self.assertLess(max(sizes), MAX_FRAME_BYTES // 4)
        self.assertLess(max(sizes), MAX_BATCH_BYTES + 2 * len(large))


class DataOfTheBuildBefore(MeasuredTurns):
    """Records that this build would not write."""

    def test_a_gang_above_the_bound_of_this_build_lives_on(self) -> None:
        played = PlayedDispatcher()
        gang = {"count": MAX_GANG + 500, "cpu": 1, "gang": True}
        played.items = {job_key(job_id(1)): accepted(body(gang))}
        played.elect(4)
        self.assertEqual(200, played.call(Method.STATUS, "/a/" + job_id(1)))

    def test_a_task_that_its_job_does_not_have_keeps_its_run_and_stops_nobody(self) -> None:
        run = RunRecord(1, "i-1", "m-1", 2, 100, 10, 0, "")
        record = encode(TaskRecord(1, False, (), "", (run,)))
        for name in (f"{job_id(1)}.0.0.7", f"{job_id(1)}.0.3.0"):
            with self.subTest(name):
                played = PlayedDispatcher()
                played.items = {job_key(job_id(1)): accepted(body(STEP)), task_key(name): record}
                played.elect(4)
                self.assertEqual(200, played.call(Method.STATUS, "/a/" + job_id(1)))
                self.assertEqual([(name, 1)], list(played.dispatcher.state.workers["i-1"].runs))

    def test_the_job_that_stopped_all_dispatchers_is_worked_off(self) -> None:
        times = {"repeatCount": 256, "firstRunMs": WALL_0, "intervalMs": 1}
        played = PlayedDispatcher()
        played.items = {job_key(job_id(1)): accepted(body({**STEP, "count": 4_000}, **times))}
        began_s = time.process_time()
        played.elect(4)
        self.assertLess(time.process_time() - began_s, TURN_S)
        for _ in range(10):
            began_s = time.process_time()
            played.tick(50)
            self.assertLess(time.process_time() - began_s, TURN_S)
        self.assertEqual(4, len(played.dispatcher.state.jobs[job_id(1)].open))


if __name__ == "__main__":
    unittest.main()
