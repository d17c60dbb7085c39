"""What the agent knows of the worker's clock and lists."""

from __future__ import annotations

import json
import random
import unittest

from hypothesis import given, strategies

from flintfield.agent.answers import MAX_RUNNING, read_answer
from flintfield.agent.clock import WorkerClock
from flintfield.agent.events import Answer, AnswerKind, Event, LinkOpened, RunStop, WorkerAnswered
from flintfield.agent.listing import MAX_ENDS, NEVER, Listing
from flintfield.agent.reports import PERIOD_MS
from flintfield.jobs.messages import AgentReport, End, Run, RunResult, StopOrder

from .support.agent_play import CLOCK_AHEAD_MS, OTHER_TASK, TASK, Play


PAUSE_AND_DELAY_MS = strategies.tuples(strategies.integers(1, 5_000), strategies.integers(0, 900))


class ClockBounds(unittest.TestCase):
    """Whatever the worker's clock does, a hold ends by its limit, and is over when it is said to be."""

    @given(
        rate=strategies.floats(0.98, 1.0),
        zero=strategies.integers(0, 10**9),
        readings=strategies.lists(PAUSE_AND_DELAY_MS, min_size=1, max_size=8),
        hold_ms=strategies.integers(300, 10_000),
    )
    def test_bounds(self, rate: float, zero: int, readings: list[tuple[int, int]], hold_ms: int) -> None:
        clock, now = WorkerClock(), 1_000_000
        for pause_ms, delay_ms in readings:
            sent_ms = now + pause_ms
            now = sent_ms + delay_ms
            read_ms = random.Random(pause_ms).randint(sent_ms, now)
            clock.read(int(zero + rate * read_ms), now, sent_ms)
        limit = now + hold_ms
        expires = clock.expiry(limit)
        assert expires is not None
        ends_at = (expires - zero) / rate
        self.assertLessEqual(ends_at, limit + 1)
        clock.note_sent(expires)
        over_at, may_end_at = clock.over_at(), clock.may_end_at()
        assert over_at is not None and may_end_at is not None
        self.assertLessEqual(ends_at, over_at + 2)
        self.assertGreaterEqual(ends_at + 2, may_end_at)

    def test_nothing_is_known_before_a_reading(self) -> None:
        clock = WorkerClock()
        self.assertIsNone(clock.expiry(5_000))
        self.assertIsNone(clock.over_at())


class ReportedLists(unittest.TestCase):
    """The list of runs is in a report where the dispatcher may not know it, and no more often."""

    def setUp(self) -> None:
        self.play = Play()
        self.play.ready()
        self.play.pass_time(2 * PERIOD_MS)  # the list was reported

    def report_after(self, event: Event) -> AgentReport:
        """The next report after an event."""
        self.play.reports.clear()
        self.play.step(event)
        self.play.pass_time(10)
        return self.play.reports[0]

    def stop(self, number: int) -> AgentReport:
        """The report with the result of a stop."""
        self.play.order(StopOrder(number, TASK, 1))
        call = self.play.only(RunStop)
        self.play.calls.remove(call)
        answer = Answer(AnswerKind.OK, self.play.now + CLOCK_AHEAD_MS)
        return self.report_after(WorkerAnswered(call.call, answer))

    def stamps(self, reports: list[AgentReport]) -> list[int]:
        """The stamps of the lists in these reports."""
        return [report.listing_stamp for report in reports if report.listing_stamp != NEVER]

    def test_results_of_orders_do_not_repeat_it(self) -> None:
        reports = [self.stop(number) for number in range(1, 20)]  # within 200 ms
        results = [result.order for report in reports for result in report.results]
        self.assertEqual(list(range(1, 20)), results)
        self.assertLessEqual(len(self.stamps(reports)), 1)

    def test_it_is_repeated_after_a_while(self) -> None:
        self.play.reports.clear()
        self.play.pass_time(1_500)
        self.assertGreaterEqual(len(self.stamps(self.play.reports)), 2)

    def test_a_new_connection_is_told(self) -> None:
        self.stop(1)
        self.assertNotEqual(NEVER, self.report_after(LinkOpened()).listing_stamp)

    def test_a_new_dispatcher_is_told(self) -> None:
        self.stop(1)
        self.assertEqual(NEVER, self.stop(2).listing_stamp)
        self.play.order(epoch=4)
        self.play.reports.clear()
        self.play.pass_time(PERIOD_MS)
        self.assertNotEqual([], self.stamps(self.play.reports))


class Lists(unittest.TestCase):
    """Listings that pass each other, and ends until they are durable."""

    def test_an_older_answer_brings_ends_and_no_runs(self) -> None:
        listing = Listing()
        listing.take(20, (Run(TASK, 1, "", 5),), ())
        news = listing.take(10, (Run(OTHER_TASK, 1, "", 5),), (End(1, "x", 1, RunResult.DONE, ""),))
        self.assertTrue(news)
        self.assertEqual((Run(TASK, 1, "", 5),), listing.running)
        self.assertEqual(20, listing.stamp_ms)
        self.assertEqual(1, len(listing.finished()))

    def test_a_run_that_ended_is_not_listed_as_running(self) -> None:
        listing = Listing()
        listing.take(20, (Run(TASK, 1, "", 5),), ())
        listing.take(10, (), (End(1, TASK, 1, RunResult.DONE, ""),))
        self.assertEqual((), listing.running)

    def test_news_are_ends_and_runs_that_vanish(self) -> None:
        listing = Listing()
        self.assertTrue(listing.take(10, (), ()), "the first one")
        self.assertFalse(listing.take(20, (Run(TASK, 1, "", 5),), ()), "a run that was ordered")
        self.assertFalse(listing.take(30, (Run(TASK, 1, "00", 9),), ()), "progress")
        self.assertTrue(listing.take(40, (), ()), "a run that is gone")

    def test_ends_stay_until_they_are_durable(self) -> None:
        listing = Listing()
        ends = tuple(End(number, f"t{number}", 1, RunResult.DONE, "") for number in (1, 2, 3))
        listing.take(10, (), ends)
        listing.forget(2)
        self.assertEqual((3,), tuple(end.number for end in listing.finished()))
        self.assertFalse(listing.take(20, (), ends), "ends that were forgotten come again")
        listing.forget(1)
        self.assertEqual(2, listing.last_seen)

    def test_the_table_of_ends_is_bounded(self) -> None:
        listing = Listing()
        listing.take(10, (), tuple(End(n, f"t{n}", 1, RunResult.DONE, "") for n in range(1, MAX_ENDS + 11)))
        self.assertEqual(MAX_ENDS, len(listing.finished()))
        self.assertEqual(10, listing.overflowed)
        self.assertEqual(1, listing.finished()[0].number)

    def test_an_answer_that_may_leave_ends_out_is_no_list_of_runs(self) -> None:
        listing = Listing()
        runs = tuple(Run(f"t{number}", 1, "", 5) for number in range(1, 701))
        ends = tuple(End(number, f"t{number}", 1, RunResult.DONE, "") for number in range(1, 501))
        listing.take(10, runs, ())
        listing.take(20, (), ends)
        listing.forget(500)
        listing.take(30, (), ends)  # made before the ends were acknowledged, and overtaken
        self.assertEqual(10, listing.stamp_ms)
        self.assertEqual({f"t{number}" for number in range(501, 701)}, {run.task for run in listing.running})
        self.assertEqual(2, listing.incomplete)

    def test_ends_without_room_make_a_listing_incomplete(self) -> None:
        listing = Listing()
        listing.take(10, (), tuple(End(n, f"t{n}", 1, RunResult.DONE, "") for n in range(1, MAX_ENDS)))
        ends = tuple(End(n, f"t{n}", 1, RunResult.DONE, "") for n in range(MAX_ENDS, MAX_ENDS + 2))
        listing.take(20, (), ends)
        self.assertEqual(NEVER, listing.stamp_ms)

    def test_an_overtaken_answer_lists_no_run_whose_end_is_forgotten(self) -> None:
        listing = Listing()
        listing.take(10, (), (End(1, TASK, 1, RunResult.DONE, ""),))
        listing.forget(1)
        listing.take(20, (Run(TASK, 1, "", 99), Run(OTHER_TASK, 1, "", 5)), ())
        self.assertEqual((Run(OTHER_TASK, 1, "", 5),), listing.running)

    def test_an_answer_with_too_many_runs_counts_but_for_its_list(self) -> None:
        # Guards against LOST after an upgrade: it counted as no answer, so that all runs there lapsed.
        ended = [7, OTHER_TASK, 1, "done", ""]
        for count, too_many in ((MAX_RUNNING, False), (MAX_RUNNING + 1, True)):
            running = [[f"{number:016x}.0.0.0", 1, "", 5] for number in range(count)]
            body = json.dumps({"clockMs": 9, "running": running, "finished": [ended]}).encode()
            answer = read_answer(200, body, is_hold=True)
            self.assertEqual(
                (AnswerKind.OK, 9, too_many), (answer.kind, answer.clock_ms, answer.too_many_runs)
            )
            listing = Listing()
            listing.take(10, (Run(TASK, 1, "", 5),), ())
            listing.take(20, answer.running, answer.finished, answer.too_many_runs)
            self.assertEqual(10 if too_many else 20, listing.stamp_ms)
            self.assertEqual(too_many, listing.shows(TASK, 1))
            self.assertEqual([7], [end.number for end in listing.finished()])
            self.assertEqual(too_many, listing.incomplete == 1, "another list is asked for")

    def test_nor_where_thousands_of_ends_were_forgotten(self) -> None:
        # They would count as strays, and nothing would be placed on the worker until its next list.
        listing = Listing()
        tasks = [f"{number:016x}.0.0.0" for number in range(1, MAX_RUNNING + 1)]
        for first in range(0, MAX_RUNNING, 400):
            part = list(enumerate(tasks[first : first + 400], first + 1))
            listing.take(10, (), tuple(End(number, task, 1, RunResult.DONE, "") for number, task in part))
            listing.forget(first + len(part))
        listing.take(20, tuple(Run(task, 1, "", 99) for task in tasks), ())
        self.assertEqual((), listing.running)


if __name__ == "__main__":
    unittest.main()
