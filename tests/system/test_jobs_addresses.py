"""Which job a path names: one ID in several queues, and queues that change while their jobs live."""

from __future__ import annotations

import json
import unittest
from dataclasses import replace

from flintfield.jobs.bounds import DispatcherBounds
from flintfield.jobs.cancel_marks import MAX_MARKS
from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.durable import EndRecord, JobRecord, TermsRecord, end_key, job_key, task_key
from flintfield.jobs.durable import RunRecord, TaskRecord
from flintfield.jobs.events import ConfigurationChanged, ReportArrived
from flintfield.jobs.messages import Method
from flintfield.jobs.states import JobState
from flintfield.transport.records import encode

from .jobs_judge import Judge
from .jobs_table import PlayedDispatcher
from .jobs_world import HOST, WALL_0, ConfigurationModel, RouteModel, World, job_id, report, simple

ONE = RouteModel("r-one", "/one/")
TWO = RouteModel("r-two", "/two/", "other")
NESTED = RouteModel("r-nested", "/one/deep/")
STEP = {"count": 3, "cpu": 500, "memMb": 64, "estimateMs": 300}
BODY = json.dumps({"spec": "s", "steps": [STEP]}).encode()
OTHER = json.dumps({"spec": "another", "steps": [STEP]}).encode()
REWRITTEN = json.dumps({"steps": [dict(reversed(STEP.items()))], "spec": "s"}, indent=1).encode()
ID = job_id(7)


class Addresses(unittest.TestCase):
    """Calls at a dispatcher without workers; every write is durable at once."""

    def setUp(self) -> None:
        self.played = PlayedDispatcher(configuration=ConfigurationModel(1, (ONE, TWO)))
        self.items = self.played.items

    def elect(self) -> None:
        """Another dispatcher takes over from the durable records."""
        self.played.elect(4)

    @property
    def dispatcher(self) -> Dispatcher:
        """The present dispatcher."""
        return self.played.dispatcher

    def configure(self, *routes: RouteModel) -> None:
        """Put a newer configuration into force."""
        version = self.played.configuration.version + 1
        self.played.configuration = ConfigurationModel(version, routes)
        self.played.handle(ConfigurationChanged(self.played.configuration))

    def call(self, method: Method, path: str, host: str = HOST) -> int:
        """Make a call; returns the status of its answer."""
        return self.played.call(method, path, BODY if method is Method.SUBMIT else b"", host)

    @property
    def answer_body(self) -> bytes:
        """The body of the newest answer."""
        return self.played.answers[self.played.calls].body

    def submit(self, path: str) -> int:
        """Submit a job."""
        return self.call(Method.SUBMIT, path)

    def get(self, path: str) -> int:
        """Ask for a job's state."""
        return self.call(Method.STATUS, path)

    def cancel(self, path: str) -> int:
        """Cancel a job."""
        return self.call(Method.CANCEL, path)

    def pending(self, path: str) -> int:
        """The count of a queue."""
        self.assertEqual(200, self.call(Method.COUNT, path))
        count: int = json.loads(self.answer_body)["pending"]
        return count

    def test_an_id_in_use_in_another_queue_is_refused_at_once_and_leaves_nothing_behind(self) -> None:
        # Guards against the review's MIXED: the second job was answered 200 and the state of the first one.
        self.assertEqual(200, self.submit(f"/one/{ID}"))
        items = dict(self.items)
        self.assertEqual(429, self.submit(f"/two/{ID}"))
        self.assertEqual(410, self.get(f"/two/{ID}"))
        self.assertEqual(410, self.cancel(f"/two/{ID}"))
        self.assertEqual(items, self.items)
        self.assertEqual(1, self.dispatcher.counters.refused_ids)
        self.assertEqual(200, self.get(f"/one/{ID}"))
        self.assertEqual([1, 0], [self.pending("/one/"), self.pending("/two/")])

    def test_a_successor_tells_the_queues_apart_as_well(self) -> None:
        self.submit(f"/one/{ID}")
        self.elect()
        self.assertEqual([200, 410], [self.get(f"/one/{ID}"), self.get(f"/two/{ID}")])
        self.assertEqual(429, self.submit(f"/two/{ID}"))
        self.assertEqual(200, self.submit(f"/one/{ID}"), "the same job again")
        self.cancel(f"/one/{ID}")
        self.elect()
        self.assertEqual([200, 410], [self.get(f"/one/{ID}"), self.get(f"/two/{ID}")])
        self.assertEqual(429, self.submit(f"/two/{ID}"))

    def test_a_cancel_of_an_unknown_id_concerns_its_queue_only(self) -> None:
        self.assertEqual(410, self.cancel(f"/two/{ID}"))
        self.assertEqual(200, self.submit(f"/one/{ID}"))
        self.assertEqual(b'{"state":"queued"}', self.state(f"/one/{ID}"))
        self.assertEqual(429, self.submit(f"/two/{ID}"), "the late submission of the cancelled job")
        self.elect()
        self.assertEqual(b'{"state":"queued"}', self.state(f"/one/{ID}"))

    def state(self, path: str) -> bytes:
        """The body of the answer to a GET."""
        self.assertEqual(200, self.get(path))
        return self.answer_body

    def test_a_job_is_found_at_its_address_while_its_queue_changes(self) -> None:
        renamed = RouteModel("r-new", "/one/", priority=2)
        moved = RouteModel("r-one", "/uno/")
        for name, routes in {
            "removed": (TWO,),
            "renamed": (renamed, TWO),
            "moved": (moved, TWO),
            "moved, and another took its prefix": (moved, RouteModel("r-x", "/one/")),
            "nothing left": (),
        }.items():
            with self.subTest(name):
                self.setUp()
                self.submit(f"/one/{ID}")
                for successor in (False, True):
                    self.configure(*routes)
                    if successor:
                        self.elect()
                    self.assertEqual(200, self.get(f"/one/{ID}"))
                    self.assertEqual(410, self.get(f"/two/{ID}"))
                self.assertEqual(410, self.cancel(f"/two/{ID}"))
                self.assertEqual(200, self.cancel(f"/one/{ID}"))

    def test_a_moved_queue_shows_its_jobs_at_its_new_prefix(self) -> None:
        self.submit(f"/one/{ID}")
        self.configure(RouteModel("r-one", "/uno/"), TWO)
        self.assertEqual(200, self.get(f"/uno/{ID}"))
        self.assertEqual(200, self.submit(f"/uno/{ID}"), "the same job again")
        self.assertEqual(1, self.pending("/uno/"))

    def test_jobs_follow_a_renamed_queue(self) -> None:
        self.submit(f"/one/{ID}")
        for successor in (False, True):
            self.configure(RouteModel("r-new", "/one/", priority=2), TWO)
            if successor:
                self.elect()
            self.assertEqual(1, self.pending("/one/"))
            self.assertEqual(2, self.dispatcher.state.jobs[ID].terms.priority)

    def test_a_job_is_found_where_nothing_parts_its_id_from_the_prefix(self) -> None:
        # Guards against LOST: with its queue removed, the end of such a path was taken for no ID.
        face = RouteModel("r-face", "/face")
        self.configure(ONE, face)
        self.assertEqual(200, self.submit(f"/face{ID}"))
        self.configure(ONE)
        self.assertEqual(200, self.get(f"/face{ID}"))
        self.elect()
        self.assertEqual(200, self.cancel(f"/face{ID}"))
        self.assertEqual(b'{"state":"cancelled"}', self.state(f"/face{ID}"))

    def test_queues_that_are_nested_share_no_job(self) -> None:
        self.configure(ONE, NESTED)
        self.assertEqual(200, self.submit(f"/one/deep/{ID}"))
        self.assertEqual([429, 410], [self.submit(f"/one/{ID}"), self.get(f"/one/{ID}")])
        self.configure(ONE)
        self.assertEqual(200, self.get(f"/one/deep/{ID}"))
        self.assertEqual(410, self.get(f"/one/{ID}"))
        self.assertEqual(200, self.cancel(f"/one/deep/{ID}"))

    def test_the_host_is_part_of_the_address_as_it_is_compared(self) -> None:
        self.submit(f"/one/{ID}")
        self.configure()
        self.assertEqual(200, self.call(Method.STATUS, f"/one/{ID}", "Q.example:8080"))
        self.assertEqual(410, self.call(Method.STATUS, f"/one/{ID}", "elsewhere.example"))

    def test_an_id_is_in_use_while_a_run_of_a_forgotten_job_may_exist(self) -> None:
        run = RunRecord(1, "i-1", "m-1", 2, 100, 10, 0, "")
        self.items[task_key(f"{ID}.0.0.0")] = encode(TaskRecord(1, False, (), "", (run,)))
        self.elect()
        self.assertEqual(429, self.submit(f"/one/{ID}"))
        self.played.tick(10_000)  # its hold is over
        self.assertEqual(200, self.submit(f"/one/{ID}"))

    def test_an_id_is_free_again_after_its_worker_is_gone(self) -> None:
        first = report(10)
        assert first.worker is not None
        self.played.handle(ReportArrived(first))
        self.submit(f"/one/{ID}")
        self.assertEqual({ID: 3}, dict(self.dispatcher.state.runs_of_job))
        successor = replace(first.worker, instance="i-2", service="none")
        self.played.handle(ReportArrived(replace(first, stamp_ms=20, worker=successor)))
        self.assertEqual({}, dict(self.dispatcher.state.runs_of_job))

    def test_a_job_stays_with_its_queue_where_another_one_takes_the_prefix(self) -> None:
        self.submit(f"/one/{ID}")
        for successor in (False, True):
            self.configure(RouteModel("r-one", "/uno/", priority=2), RouteModel("r-x", "/one/", "other"))
            if successor:
                self.elect()
            job = self.dispatcher.state.jobs[ID]
            self.assertEqual(("r-one", "svc", 2), (job.route, job.terms.service, job.terms.priority))
            self.assertEqual([200, 200], [self.get(f"/one/{ID}"), self.get(f"/uno/{ID}")])

    def test_records_of_the_release_before_are_known_by_their_queues_name(self) -> None:
        terms = TermsRecord("svc", 1, 2, 1.5, 1_000)
        self.items[job_key(ID)] = encode(JobRecord("r-one", terms, WALL_0, BODY))
        self.items[end_key(job_id(8))] = encode(EndRecord(3, WALL_0, True, "r-two"))
        self.elect()
        self.assertEqual([200, 410], [self.get(f"/one/{ID}"), self.get(f"/two/{ID}")])
        self.assertEqual([410, 200], [self.get(f"/one/{job_id(8)}"), self.get(f"/two/{job_id(8)}")])
        self.assertEqual(429, self.submit(f"/two/{ID}"))
        self.configure(TWO)
        self.assertEqual(200, self.get(f"/one/{ID}"), "its queue is gone: known by its ID")


class OneIdInOneQueue(unittest.TestCase):
    """Two clients choose the same ID in the same queue."""

    def setUp(self) -> None:
        self.played = PlayedDispatcher(configuration=ConfigurationModel(1, (ONE, TWO)))

    def submit(self, body: bytes) -> int:
        """Submit a job under the same ID."""
        return self.played.call(Method.SUBMIT, f"/one/{ID}", body)

    def cancel(self) -> int:
        """Cancel the job."""
        return self.played.call(Method.CANCEL, f"/one/{ID}")

    def assert_told_apart(self) -> None:
        """The same job is answered as before, another one refused."""
        items = dict(self.played.items)
        refused = self.played.dispatcher.counters.refused_ids
        self.assertEqual([200, 200], [self.submit(BODY), self.submit(REWRITTEN)])
        self.assertEqual([429, 400], [self.submit(OTHER), self.submit(b"")])
        self.assertEqual(refused + 1, self.played.dispatcher.counters.refused_ids)
        self.assertEqual(items, self.played.items)

    def test_another_job_under_the_id_of_one_is_refused(self) -> None:
        # Guards against MIXED: the second client was answered 200, and its tasks never ran.
        self.assertEqual(200, self.submit(BODY))
        self.assert_told_apart()
        self.played.elect(4)
        self.assert_told_apart()

    def test_also_once_that_has_ended(self) -> None:
        self.submit(BODY)
        self.assertEqual(200, self.cancel())
        self.assert_told_apart()
        self.played.elect(4)
        self.assert_told_apart()

    def test_also_where_it_was_cancelled_before_it_was_submitted(self) -> None:
        self.assertEqual(410, self.cancel())
        self.assertEqual(200, self.submit(BODY))
        self.assert_told_apart()
        self.played.elect(4)
        self.assert_told_apart()

    def test_ends_that_a_former_release_wrote_do_not_tell(self) -> None:
        record = EndRecord(int(JobState.COMPLETED), WALL_0, True, "r-one", f"{HOST}/one/")
        self.played.items[end_key(ID)] = encode(record)
        self.played.elect(4)
        self.assertEqual([200, 200], [self.submit(BODY), self.submit(OTHER)])


class CancelMarks(unittest.TestCase):
    """Cancels of IDs that nobody has submitted."""

    def setUp(self) -> None:
        self.played = PlayedDispatcher(configuration=ConfigurationModel(1, (ONE, TWO)))

    def cancel(self, *numbers: int) -> None:
        """Cancel unknown IDs."""
        for number in numbers:
            self.assertEqual(410, self.played.call(Method.CANCEL, f"/one/{job_id(number)}"))

    def submit(self, number: int) -> int:
        """Submit a job."""
        return self.played.call(Method.SUBMIT, f"/one/{job_id(number)}", BODY)

    def state_of(self, number: int) -> bytes:
        """The state of a job as shown."""
        self.assertEqual(200, self.played.call(Method.STATUS, f"/one/{job_id(number)}"))
        return self.played.answers[self.played.calls].body

    def test_any_number_of_them_leaves_room_for_jobs(self) -> None:
        # Guards against LOST: 20,000 cancels of unknown IDs had every job refused for 180 s.
        self.cancel(*range(MAX_MARKS + 500))
        self.assertEqual(MAX_MARKS, len(self.played.items))
        self.assertEqual(500, self.played.dispatcher.counters.dropped_marks)
        for number in (MAX_MARKS + 499, 500):
            self.assertEqual(200, self.submit(number))
            self.assertEqual(b'{"state":"cancelled"}', self.state_of(number))
        self.played.elect(4)
        self.cancel(*range(100_000, 100_010))
        self.assertEqual(200, self.submit(510 + 2))
        self.assertEqual(b'{"state":"cancelled"}', self.state_of(512), "the oldest were dropped")
        self.assertEqual(200, self.submit(501))
        self.assertEqual(b'{"state":"queued"}', self.state_of(501))

    def test_those_that_a_former_release_wrote_beyond_the_bound_are_dropped(self) -> None:
        for number in range(MAX_MARKS + 1_500):
            record = EndRecord(int(JobState.CANCELLED), WALL_0 + number, False, "", f"{HOST}/one/")
            self.played.items[end_key(job_id(number))] = encode(record)
        self.played.elect(4)
        self.played.tick(50)
        self.assertEqual(MAX_MARKS, len(self.played.items))
        self.assertNotIn(end_key(job_id(1_499)), self.played.items)

    def test_they_are_dropped_after_a_while(self) -> None:
        self.cancel(1, 2)
        self.submit(2)
        self.played.tick(DispatcherBounds().keep_ended_ms - 1_000)
        self.cancel(3)
        self.played.tick(2_000)
        self.assertEqual({end_key(job_id(3))}, set(self.played.items))
        self.assertEqual({job_id(3)}, set(self.played.dispatcher.state.jobs))


class OneIdInTwoQueues(unittest.TestCase):
    """The same with workers."""

    def test_only_the_accepted_job_runs_and_is_shown(self) -> None:
        world = World()
        world.configuration = ConfigurationModel(1, (RouteModel(), RouteModel("r-b", "/b/")))
        world.elect()
        world.run(1_500)
        world.submit(ID, [STEP], simple(300))
        self.assertEqual(429, world.ask(Method.SUBMIT, ID, "/b/", BODY).status)
        world.run(200)
        world.fail_dispatcher()
        world.elect()
        world.run(6_000)
        self.assertEqual(429, world.ask(Method.SUBMIT, ID, "/b/", BODY).status)
        self.assertEqual(410, world.ask(Method.STATUS, ID, "/b/").status)
        self.assertEqual("completed", world.state_of(ID))
        self.assertEqual([], Judge(world).check())


if __name__ == "__main__":
    unittest.main()
