"""The history of a job: bounded, dropped with its job, cheap."""

from __future__ import annotations

import gc
import unittest

from hypothesis import given
from hypothesis import strategies as st

from flintfield.jobs.model import Job
from flintfield.jobs.terms import Terms
from flintfield.jobs.recorder import JobEvent
from flintfield.observe import history
from flintfield.observe.history import EVENT, EVENTS_KEPT, MOST_JOBS, JobHistory, Notes

EPOCH = 4


def job(number: int = 1) -> Job:
    """A job without tasks."""
    return Job(f"{number:016x}", "r-a", Terms("svc", 0, 1, 1.0, 0), 0, b"", None)


class Ring(unittest.TestCase):
    """What is kept of many events."""

    @given(st.integers(0, 3 * EVENTS_KEPT + 1))
    def test_the_newest_events_are_kept_in_order(self, count: int) -> None:
        recorder, one = JobHistory(), job()
        for wall_ms in range(count):
            recorder.note(wall_ms, one, JobEvent.ACCEPTED, None, "")
        events, earlier = recorder.events(one, EPOCH)
        kept = min(count, EVENTS_KEPT)
        self.assertEqual([event.wall_ms for event in events], list(range(count - kept, count)))
        self.assertEqual(earlier, count - kept)

    @given(st.integers(0, 2 * EVENTS_KEPT), st.integers(0, 2 * EVENTS_KEPT))
    def test_a_ring_that_was_emptied_goes_on(self, before: int, after: int) -> None:
        notes = Notes()
        for number in range(before):
            notes.add(bytes([number]) * EVENT.size)
        notes.clear()
        for number in range(after):
            notes.add(bytes([number]) * EVENT.size)
        kept = min(after, EVENTS_KEPT)
        self.assertEqual([event[0] for event in notes.in_order()], list(range(after - kept, after)))

    def test_an_event_says_what_happened(self) -> None:
        recorder, one = JobHistory(), job()
        recorder.note(99, one, JobEvent.JOB_ENDED, None, "cancelled")
        (event,), _ = recorder.events(one, EPOCH)
        self.assertEqual(
            (event.wall_ms, event.happening, event.detail, event.epoch),
            (99, JobEvent.JOB_ENDED, "cancelled", EPOCH),
        )

    def test_a_job_that_nothing_was_noted_of_has_no_history(self) -> None:
        self.assertEqual(JobHistory().events(job(), EPOCH), ((), 0))


class Bounds(unittest.TestCase):
    """Memory."""

    def test_a_history_ends_with_its_job(self) -> None:
        recorder = JobHistory()
        for number in range(3 * MOST_JOBS):
            recorder.note(0, job(number), JobEvent.ACCEPTED, None, "")
        self.assertLessEqual(len(recorder._kept), MOST_JOBS)
        self.assertEqual(recorder.counters.emptied_histories, 0)
        self.assertFalse([each for each in gc.get_objects() if isinstance(each, Notes)])

    def test_of_too_many_jobs_the_eldest_lose_their_history(self) -> None:
        recorder = JobHistory()
        jobs = [job(number) for number in range(MOST_JOBS + 2)]
        for one in jobs:
            recorder.note(5, one, JobEvent.ACCEPTED, None, "")
        self.assertEqual(recorder.counters.emptied_histories, 2)
        self.assertEqual([len(recorder.events(one, EPOCH)[0]) for one in jobs[:3]], [0, 0, 1])
        self.assertEqual(len(recorder._kept), MOST_JOBS)

    def test_a_full_history_takes_less_than_1_kb(self) -> None:
        recorder, one = JobHistory(), job()
        for _ in range(2 * EVENTS_KEPT):
            recorder.note(0, one, JobEvent.ACCEPTED, None, "")
        notes = one.history
        assert isinstance(notes, Notes)
        self.assertLessEqual(notes.events.__sizeof__() + notes.__sizeof__(), 1_200)
        self.assertEqual(len(notes.events), EVENTS_KEPT * EVENT.size)

    def test_names_beyond_the_bound_are_left_out_and_counted(self) -> None:
        recorder, one = JobHistory(), job()
        for number in range(history.MOST_WORDS + 1):
            recorder.note(0, one, JobEvent.JOB_ENDED, None, f"word {number}")
        events, _ = recorder.events(one, EPOCH)
        self.assertEqual(events[-1].detail, "")
        self.assertEqual(recorder.counters.unnamed, 2)


if __name__ == "__main__":
    unittest.main()
