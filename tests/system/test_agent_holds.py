"""When the agent looks at the worker, and when it reports."""

from __future__ import annotations

import itertools
import unittest

from flintfield.agent.events import AnswerKind, CallWorker, Hold, RunStart, RunStop
from flintfield.agent.limits import AgentLimits
from flintfield.jobs.messages import End, RunResult, StartOrder, StopOrder

from .support.agent_play import CLOCK_AHEAD_MS, HOLD_MAX_MS, HOLD_MS, OTHER_TASK, START_MS, TASK, Play

LONGEST_GATHERING_MS = 400  # the jitter counted: the ends in this time come late by half of it on average
LONGEST_BUSY_GATHERING_MS = 32  # where a start follows an end


class HoldCalls(unittest.TestCase):
    """When the worker is looked at."""

    def setUp(self) -> None:
        self.play = Play()
        self.play.ready()

    def long_call(self) -> tuple[CallWorker, Hold]:
        """The long call under way."""
        call = self.play.only(Hold)
        assert isinstance(call.request, Hold)
        return call, call.request

    def test_a_long_call_waits_for_two_fifths_of_the_grant(self) -> None:
        _, hold = self.long_call()
        self.assertEqual(HOLD_MS * 2 // 5, hold.wait_ms)

    def test_a_long_call_that_is_lost_costs_no_hold(self) -> None:
        call, hold = self.long_call()
        assert hold.expires_ms is not None
        begun = self.play.now
        while not any(each is not call for each in self.play.pending(Hold)):
            self.play.pass_time(100)
            self.play.order()
            self.assertLess(self.play.now - begun, HOLD_MS - 1_000)
        renewal = next(each for each in self.play.pending(Hold) if each is not call)
        assert isinstance(renewal.request, Hold) and renewal.request.expires_ms is not None
        self.assertLess(self.play.now + CLOCK_AHEAD_MS, hold.expires_ms - 1_000)
        self.assertGreater(renewal.request.expires_ms, hold.expires_ms)

    def test_about_one_call_a_second_at_idle(self) -> None:
        answered = 0
        for _ in range(20):
            call, hold = self.long_call()
            self.play.pass_time(hold.wait_ms)
            self.play.order()
            self.play.answer(call)
            answered += 1
        self.assertEqual(1, len(self.play.pending(Hold)))
        self.assertEqual(20, answered)

    def test_an_end_is_reported_at_once_and_its_number_goes_with_the_next_call(self) -> None:
        call, _ = self.long_call()
        self.play.answer(call, finished=(End(1, TASK, 1, RunResult.DONE, ""),))
        self.play.pass_time(5)
        self.assertEqual((1,), tuple(end.number for end in self.play.reports[-1].finished))
        self.assertEqual([], self.play.pending(Hold), "the worker would repeat the end at once")
        self.play.order(last_seen=1)
        self.play.pass_time(LONGEST_GATHERING_MS)
        _, hold = self.long_call()
        self.assertEqual(1, hold.last_seen)

    def test_ends_of_one_moment_cost_one_call(self) -> None:
        calls, begun = 0, self.play.now
        ended: list[int] = []  # by number, from 1: the time of each end
        while self.play.now < begun + 4_000:
            if self.play.now - begun in range(1_000, 1_100, 20):  # five ends within 80 ms
                ended.append(self.play.now)
            for call in self.play.pending(Hold):
                assert isinstance(call.request, Hold)
                fresh = range(call.request.last_seen + 1, len(ended) + 1)
                if fresh:
                    calls += 1
                    finished = tuple(End(number, TASK, number, RunResult.DONE, "") for number in fresh)
                    self.play.answer(call, finished=finished)
                elif self.play.now - begun >= 1_000 + call.request.wait_ms:
                    self.assertEqual(len(ended), call.request.last_seen)
            self.play.pass_time(4)
            if self.play.reports and self.play.reports[-1].finished:
                self.play.order(last_seen=self.play.reports[-1].finished[-1].number)
        self.assertEqual(2, calls, "the first end, and the four in the time after it")

    def test_no_end_is_gathered_for_long(self) -> None:
        call, _ = self.long_call()
        self.play.answer(call, finished=(End(1, TASK, 1, RunResult.DONE, ""),))
        answered = self.play.now
        while not self.play.pending(Hold):
            self.play.pass_time(1)
            self.play.order(last_seen=1)
        self.assertLessEqual(self.play.now - answered, LONGEST_GATHERING_MS)

    def test_a_late_acknowledgement_ends_the_pause_after_a_call_that_brought_nothing(self) -> None:
        end = (End(1, TASK, 1, RunResult.DONE, ""),)
        call, _ = self.long_call()
        self.play.answer(call, finished=end)
        while not self.play.pending(Hold):
            self.play.pass_time(10)
        self.play.answer(self.play.only(Hold), finished=end)
        self.play.pass_time(10)
        self.assertEqual([], self.play.pending(Hold), "the worker repeats the end at once")
        self.play.order(last_seen=1)
        _, hold = self.long_call()
        self.assertEqual(1, hold.last_seen)

    def test_ends_are_gathered_for_less_long_while_tasks_wait_for_room(self) -> None:
        call, _ = self.long_call()
        self.play.answer(call, finished=(End(1, TASK, 1, RunResult.DONE, ""),))
        answered = self.play.now
        self.play.pass_time(20)
        self.play.order(StartOrder(1, OTHER_TASK, 1, "", ""), last_seen=1)
        while not self.play.pending(Hold):
            self.play.pass_time(1)
        self.assertLessEqual(self.play.now - answered, LONGEST_BUSY_GATHERING_MS)

    def test_a_start_that_follows_no_end_changes_nothing(self) -> None:
        self.play.order(StartOrder(1, OTHER_TASK, 1, "", ""))
        call, _ = self.long_call()
        self.play.answer(call, finished=(End(1, TASK, 1, RunResult.DONE, ""),))
        self.play.order(last_seen=1)
        self.play.pass_time(LONGEST_BUSY_GATHERING_MS)
        self.assertEqual([], self.play.pending(Hold))

    def test_a_higher_epoch_is_told_while_ends_are_gathered(self) -> None:
        call, _ = self.long_call()
        self.play.answer(call, finished=(End(1, TASK, 1, RunResult.DONE, ""),))
        self.play.order(epoch=4)
        _, hold = self.long_call()
        self.assertEqual((4, 0), (hold.fence, hold.wait_ms))

    def test_a_wanted_listing_is_asked_for_while_ends_are_gathered(self) -> None:
        first, _ = self.long_call()
        self.play.order(StopOrder(1, TASK, 1))
        self.play.answer(self.play.only(RunStop))
        due = self.play.now + AgentLimits(HOLD_MAX_MS, 200).settle_ms
        self.play.pass_time(due - self.play.now - 10)
        self.play.answer(first, finished=(End(1, OTHER_TASK, 1, RunResult.DONE, ""),))
        self.play.pass_time(11)
        _, hold = self.long_call()
        self.assertEqual(0, hold.wait_ms)

    def test_ends_that_nobody_acknowledges_do_not_make_it_spin(self) -> None:
        calls = 0
        end = self.play.now + 10_000
        while self.play.now < end:
            for call in self.play.pending(Hold):
                calls += 1
                self.play.answer(call, finished=(End(1, TASK, 1, RunResult.DONE, ""),))
            self.play.pass_time(10)
        self.assertLessEqual(calls, 30)

    def test_a_higher_epoch_is_told_to_the_worker_at_once(self) -> None:
        self.play.order(epoch=4)
        old, new = self.play.pending(Hold)
        assert isinstance(new.request, Hold)
        self.assertEqual((4, 0), (new.request.fence, new.request.wait_ms))
        self.play.answer(new)
        self.play.pass_time(5)
        self.assertEqual(4, self.play.reports[-1].fenced_epoch)
        stamp = self.play.reports[-1].listing_stamp
        self.play.answer(old)
        self.play.pass_time(600)
        self.assertEqual(4, self.play.reports[-1].fenced_epoch)
        self.assertEqual(stamp, self.play.reports[-1].listing_stamp)

    def test_a_hold_that_runs_out_is_extended_beside_the_long_call(self) -> None:
        play = self.play
        call, hold = self.long_call()
        first = hold.expires_ms
        play.now += 2_900  # the long call hangs, and a later limit is granted
        play.order()
        _, prompt = play.pending(Hold)
        assert isinstance(prompt.request, Hold)
        assert prompt.request.expires_ms is not None and first is not None
        self.assertEqual(0, prompt.request.wait_ms)
        self.assertGreater(prompt.request.expires_ms, first)
        play.answer(call, AnswerKind.NONE)

    def test_no_expiry_is_sent_under_a_grant_that_is_over(self) -> None:
        call, _ = self.long_call()
        self.play.pass_time(HOLD_MS + 100)
        self.play.answer(call)
        _, hold = self.long_call()
        self.assertIsNone(hold.expires_ms)

    def test_a_silent_worker_is_called_about_once_a_second(self) -> None:
        calls, until = 0, self.play.now + 30_000
        while self.play.now < until:
            for call in self.play.pending(Hold):
                calls += 1
                self.play.pass_time(call.timeout_ms)
                self.play.answer(call, AnswerKind.NONE)
            self.play.pass_time(50)
            self.play.order()
        self.assertLess(calls, 30)
        self.assertGreater(self.play.reports[-1].silent_ms, 25_000)

    def test_lapsed_when_the_last_hold_is_over_for_certain(self) -> None:
        call, hold = self.long_call()
        assert hold.expires_ms is not None
        granted_until = self.play.now + HOLD_MS
        self.play.answer(call, AnswerKind.NONE)
        lapsed_at = None
        while lapsed_at is None and self.play.now < granted_until + HOLD_MAX_MS:
            self.play.pass_time(100)
            for silent in self.play.pending(Hold):
                self.play.answer(silent, AnswerKind.NONE)
            if self.play.reports and self.play.reports[-1].lapsed:
                lapsed_at = self.play.now
        assert lapsed_at is not None
        self.assertGreater(lapsed_at, hold.expires_ms - CLOCK_AHEAD_MS)
        self.assertGreaterEqual(lapsed_at, START_MS + AgentLimits(HOLD_MAX_MS).longest_hold_ms)

    def test_a_worker_fenced_by_a_newer_dispatcher_sends_the_agent_to_look(self) -> None:
        self.play.order(epoch=4)
        _, new = self.play.pending(Hold)
        self.play.answer(new, AnswerKind.FENCE)
        self.assertEqual(1, self.play.searches)

    def test_a_stop_of_a_run_not_listed_is_followed_by_a_listing(self) -> None:
        self.play.order(StopOrder(1, TASK, 1))
        self.play.answer(self.play.only(RunStop))
        self.assertEqual(1, len(self.play.pending(Hold)))
        answered = self.play.now
        self.play.pass_time(AgentLimits(HOLD_MAX_MS, 200).settle_ms + 1)
        prompt = self.play.pending(Hold)[-1]
        self.play.answer(prompt)
        self.play.pass_time(600)
        self.assertGreaterEqual(self.play.reports[-1].listing_stamp, answered + 304)


class ReportTimes(unittest.TestCase):
    """When reports leave."""

    def test_the_period_has_jitter_and_is_bounded(self) -> None:
        play = Play()
        play.pass_time(20_000)
        stamps = [report.stamp_ms for report in play.reports]
        gaps = {later - earlier for earlier, later in itertools.pairwise(stamps)}
        self.assertGreater(len(gaps), 5)
        self.assertLessEqual(max(gaps), 551)
        self.assertGreaterEqual(min(gaps), 424)

    def test_the_acknowledgement_of_an_end_is_asked_for_soon(self) -> None:
        play = Play()
        play.ready()
        play.answer(play.only(Hold), finished=(End(1, TASK, 1, RunResult.DONE, ""),))
        play.pass_time(50)
        self.assertEqual(2, len(play.reports), "the end, and the question whether it is durable")
        play.order(last_seen=1)
        play.pass_time(50)
        play.reports.clear()
        play.pass_time(2_000)
        self.assertLessEqual(len(play.reports), 5)

    def test_ends_that_nobody_acknowledges_are_asked_about_for_half_a_second(self) -> None:
        play = Play()
        play.ready()
        play.answer(play.only(Hold), finished=(End(1, TASK, 1, RunResult.DONE, ""),))
        play.pass_time(10_000)
        self.assertLessEqual(len(play.reports), 13 + 24)

    def test_a_refused_start_is_reported_at_once_and_a_good_one_soon(self) -> None:
        for kind, at_most_ms in ((AnswerKind.ROOM, 5), (AnswerKind.OK, 101)):
            with self.subTest(kind.name):
                play = Play()
                play.ready()
                play.order(StartOrder(1, TASK, 1, "", ""))
                play.answer(play.only(RunStart), kind)
                play.reports.clear()
                play.pass_time(at_most_ms)
                self.assertTrue(any(report.results for report in play.reports))


if __name__ == "__main__":
    unittest.main()
