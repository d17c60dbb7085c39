"""Job bodies, admission, terms and storage format, without workers."""

from __future__ import annotations

import contextlib
import json
import random
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from flintfield.jobs.body import JobTooLarge, MalformedJob, check_size, longest_chain_ms, read_job
from flintfield.jobs.bounds import DispatcherBounds
from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.durable import TaskRecord, parse_task
from flintfield.jobs.events import (
    Answer,
    CallArrived,
    ConfigurationChanged,
    Effect,
    Event,
    ReportArrived,
    Tick,
    Write,
    Written,
)
from flintfield.jobs.messages import JobAnswer, JobCall, Method
from flintfield.placement.market import MarketPlacement
from flintfield.transport.records import decode, encode

from .jobs_world import HOST, WALL_0, ConfigurationModel, RouteModel, job_id, report


def body(*steps: dict[str, Any], **fields: Any) -> bytes:
    """Encode a job's body."""
    return json.dumps({"spec": "s", "steps": list(steps), **fields}).encode()


GOOD = body({"count": 2, "cpu": 100, "memMb": 10, "estimateMs": 1_000})


class Bodies(unittest.TestCase):
    """Parsing and validation of bodies."""

    def test_omitted_fields_have_empty_defaults(self) -> None:
        (step,) = read_job(body({"count": 3})).steps
        self.assertEqual((step.cpu, step.gpu, step.gang, step.needs, step.affinity), (0, 0, False, (), ""))

    def test_unknown_fields_are_ignored(self) -> None:
        self.assertEqual(read_job(body({"count": 3, "later": [1]}, more={})).steps[0].count, 3)

    def test_constraints_are_one_label_or_a_list(self) -> None:
        self.assertEqual(read_job(body({"count": 1, "constraints": "a"})).steps[0].needs, ("a",))
        self.assertEqual(read_job(body({"count": 1, "constraints": ["a", "b"]})).steps[0].needs, ("a", "b"))

    def test_every_malformed_body_raises_with_its_reason(self) -> None:
        cases = {
            b"": "truncated",
            b"{": "truncated",
            b"[]": "object",
            b"\xff": "malformed",
            body(): "`steps` is empty",
            body({}): "`count`",
            body({"count": -1}): "`count`",
            body({"count": "2"}): "int",
            body({"count": 1, "cpu": -5}): "cpu",
            body({"count": 1, "dependsOn": [0]}): "no earlier step",
            body({"count": 1}, {"count": 1, "dependsOn": [0, 0]}): "twice",
            body({"count": 1}, {"count": 1, "dependsOn": [-1]}): "no earlier step",
            body({"count": 1}, repeatCount=-1): "repeatCount",
            json.dumps({"spec": "x" * 4_001, "steps": [{"count": 1}]}).encode(): "`spec`",
        }
        for data, reason in cases.items():
            with self.subTest(data[:60]), self.assertRaises(MalformedJob) as raised:
                read_job(data)
            self.assertIn(reason, str(raised.exception))

    def test_a_job_that_is_too_large_is_read_and_not_admitted(self) -> None:
        cases = {
            body({"count": 20_000}, {"count": 1}): "tasks",
            body(*[{"count": 1}] * 300): "steps",
            body({"count": 1}, repeatCount=1_000_001): "times",
            body({"count": 1_001, "gang": True}): "gang",
        }
        for data, reason in cases.items():
            with self.subTest(data[:60]), self.assertRaises(JobTooLarge) as raised:
                check_size(read_job(data))
            self.assertIn(reason, str(raised.exception))
        check_size(read_job(body({"count": 20_000}, repeatCount=1_000_000)))

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_raise_only_malformed_job(self, data: bytes) -> None:
        with contextlib.suppress(MalformedJob):
            read_job(data)

    def test_the_longest_chain_counts_from_each_step(self) -> None:
        steps = read_job(
            body(
                {"count": 1, "estimateMs": 5},
                {"count": 1, "estimateMs": 7},
                {"count": 1, "estimateMs": 1, "dependsOn": [0, 1]},
                {"count": 1, "estimateMs": 2, "dependsOn": [2]},
            )
        ).steps
        self.assertEqual(longest_chain_ms(steps), [8, 10, 3, 2])


class DurableForm(unittest.TestCase):
    """Encoding of records and task names."""

    def test_a_task_name_is_parsed(self) -> None:
        name = parse_task(f"{job_id(5)}.3.2.17")
        self.assertEqual((name.job, name.occurrence, name.step, name.index), (job_id(5), 3, 2, 17))

    @given(st.integers(0, 9), st.booleans(), st.lists(st.integers(1, 9), max_size=4), st.text(max_size=20))
    def test_a_record_round_trips(self, last: int, done: bool, failed: list[int], saved: str) -> None:
        record = TaskRecord(last, done, tuple(failed), saved, ())
        self.assertEqual(decode(encode(record)), record)


class Intake(unittest.TestCase):
    """Calls to a dispatcher whose writes the test makes durable."""

    def setUp(self) -> None:
        self.bounds = DispatcherBounds(max_jobs=3)
        self.items: dict[bytes, bytes] = {}
        self.now = 1_000
        self.version = 1
        self.elect(1)

    def elect(self, epoch: int) -> None:
        """Start a new dispatcher from the durable records."""
        self.answers: dict[int, JobAnswer] = {}
        self.pending: list[Write] = []
        self.dispatcher = Dispatcher(
            epoch, self.now, self.bounds, MarketPlacement(1), random.Random(1), ConfigurationModel()
        )
        self.dispatcher.restore(self.items)
        self.handle(Tick(WALL_0 + self.now))

    def configure(self, *routes: RouteModel) -> None:
        """Put a newer configuration into force."""
        self.version += 1
        self.handle(ConfigurationChanged(ConfigurationModel(self.version, routes)))

    def handle(self, event: Event) -> list[Effect]:
        """Process an event and collect its effects."""
        effects = self.dispatcher.handle(self.now, event)
        for effect in effects:
            if isinstance(effect, Answer):
                self.answers[effect.call] = effect.answer
            elif isinstance(effect, Write):
                self.pending.append(effect)
        return effects

    def call(self, number: int, method: Method, job: str, data: bytes = b"") -> int:
        """Make a call; returns the status answered before any write, or 0."""
        self.handle(CallArrived(number, JobCall(method, HOST, "/a/" + job, data, 0)))
        return self.answers[number].status if number in self.answers else 0

    def make_durable(self) -> None:
        """Make all pending writes durable."""
        while self.pending:
            write = self.pending.pop(0)
            for key, value in write.changes:
                if value is None:
                    self.items.pop(key, None)
                else:
                    self.items[key] = value
            self.handle(Written(write.write))

    def test_200_is_answered_after_the_write(self) -> None:
        self.assertEqual(self.call(1, Method.SUBMIT, job_id(1), GOOD), 0)
        self.make_durable()
        self.assertEqual(self.answers[1].status, 200)

    def test_a_repeated_id_is_the_same_job_during_and_after_its_write(self) -> None:
        self.call(1, Method.SUBMIT, job_id(1), GOOD)
        self.assertEqual(self.call(2, Method.SUBMIT, job_id(1), GOOD), 0)
        self.make_durable()
        self.assertEqual([self.answers[1].status, self.answers[2].status], [200, 200])
        self.assertEqual(self.call(3, Method.SUBMIT, job_id(1), GOOD), 200)
        self.call(4, Method.COUNT, "")
        self.assertEqual(self.answers[4].body, b'{"pending":1}')

    def test_a_rejected_id_leaves_no_record(self) -> None:
        for number in range(1, 4):
            self.call(number, Method.SUBMIT, job_id(number), GOOD)
        self.assertEqual(self.call(4, Method.SUBMIT, job_id(4), GOOD), 429)
        self.assertGreater(self.answers[4].retry_after_ms, 0)
        self.make_durable()
        self.assertEqual(self.call(5, Method.STATUS, job_id(4)), 410)
        self.assertFalse(any(job_id(4).encode() in key for key in self.items))

    def test_a_malformed_body_is_rejected_with_its_reason(self) -> None:
        self.assertEqual(self.call(1, Method.SUBMIT, job_id(1), b"{}"), 400)
        self.assertIn("steps", json.loads(self.answers[1].body)["error"])

    def test_an_id_must_be_16_hex_digits(self) -> None:
        self.assertEqual(self.call(1, Method.SUBMIT, "12", GOOD), 400)
        self.assertEqual(self.call(2, Method.CANCEL, "12"), 400)

    # Guards against: a count of `/a/b/`, which is not configured (any more), answered with that of `/a/`.
    def test_a_count_below_a_prefix_is_not_that_of_the_prefix(self) -> None:
        self.call(1, Method.SUBMIT, job_id(1), GOOD)
        self.make_durable()
        self.assertEqual(self.call(2, Method.COUNT, "b/"), 400)
        self.assertEqual(self.call(3, Method.STATUS, "12"), 400)

    # Guards against: a job that is not found because its removed prefix did not end in a slash.
    def test_a_job_of_a_removed_route_is_found_by_the_id_at_the_end_of_its_path(self) -> None:
        for job, path in enumerate(("b/", "x-"), 1):
            with self.subTest(path):
                self.configure(RouteModel(), RouteModel("r-nested", "/a/" + path))
                self.call(10 * job, Method.SUBMIT, path + job_id(job), GOOD)
                self.make_durable()
                self.configure(RouteModel())
                self.assertEqual(self.call(10 * job + 1, Method.STATUS, path + job_id(job)), 200)
                self.assertEqual(self.answers[10 * job + 1].body, b'{"state":"queued"}')
                self.assertEqual(self.call(10 * job + 2, Method.STATUS, job_id(job)), 410)
                self.call(10 * job + 3, Method.CANCEL, path + job_id(job))
                self.make_durable()
                self.assertEqual(self.answers[10 * job + 3].status, 200)

    def test_a_cancel_is_answered_once_durable_and_survives_a_takeover(self) -> None:
        self.call(1, Method.SUBMIT, job_id(1), GOOD)
        self.make_durable()
        self.assertEqual(self.call(2, Method.CANCEL, job_id(1)), 0)
        self.call(3, Method.STATUS, job_id(1))
        self.assertNotIn(b"cancelled", self.answers.get(3, JobAnswer(0, b"", 0, 0)).body)
        self.make_durable()
        self.assertEqual(self.answers[2].status, 200)
        self.elect(2)
        self.call(4, Method.STATUS, job_id(1))
        self.assertEqual(self.answers[4].body, b'{"state":"cancelled"}')

    def test_a_new_dispatcher_continues_an_accepted_job(self) -> None:
        self.call(1, Method.SUBMIT, job_id(1), GOOD)
        self.make_durable()
        self.elect(2)
        self.assertEqual(self.call(2, Method.SUBMIT, job_id(1), GOOD), 200)
        self.call(3, Method.STATUS, job_id(1))
        self.assertEqual(self.answers[3].body, b'{"state":"queued"}')
        self.call(4, Method.COUNT, "")
        self.assertEqual(self.answers[4].body, b'{"pending":1}')

    def test_an_ended_job_is_kept_for_status_s_and_then_forgotten_with_all_its_records(self) -> None:
        self.call(1, Method.SUBMIT, job_id(1), GOOD)
        self.call(2, Method.CANCEL, job_id(1))
        self.make_durable()
        self.now += self.bounds.status_s * 1_000
        self.handle(Tick(WALL_0 + self.now))
        self.assertEqual(self.call(3, Method.STATUS, job_id(1)), 200)
        self.now += self.bounds.status_s * 1_000
        self.handle(Tick(WALL_0 + self.now))
        self.make_durable()
        self.assertEqual(self.call(4, Method.STATUS, job_id(1)), 410)
        self.assertEqual(self.items, {})

    def test_work_beyond_the_backlog_limit_is_rejected(self) -> None:
        self.handle(ReportArrived(report()))
        self.bounds = DispatcherBounds()
        self.elect(2)
        self.handle(ReportArrived(report()))
        long = body(
            {"count": 100, "cpu": 1_000, "estimateMs": 2_000}
        )  # 50 s of work for a worker with 4 cores
        self.call(1, Method.SUBMIT, job_id(1), long)
        self.make_durable()
        self.assertEqual(self.answers[1].status, 200)
        self.assertEqual(self.call(2, Method.SUBMIT, job_id(2), GOOD), 429)
        self.call(3, Method.CANCEL, job_id(1))
        self.make_durable()
        self.assertEqual(self.call(4, Method.SUBMIT, job_id(3), GOOD), 0)

    def test_invalid_records_do_not_prevent_a_takeover(self) -> None:
        self.call(1, Method.SUBMIT, job_id(1), GOOD)
        self.make_durable()
        self.items[b"jx"] = b"\xff\xff"
        self.items[b"t" + job_id(9).encode() + b".0.0.0"] = encode(TaskRecord(1, False, (), "", ()))
        self.elect(2)
        self.assertEqual(self.call(2, Method.STATUS, job_id(1)), 200)


if __name__ == "__main__":
    unittest.main()
