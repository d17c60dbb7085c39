"""A worker that deregisters first and serves on: reported and called until it certainly holds nothing.

Guards against the review's TWICE: an end that such a worker listed was never sent on, and its task ran again.
"""

from __future__ import annotations

import unittest

from flintfield.agent.events import AnswerKind, Deregistered, Hold, RunStart, RunStop
from flintfield.agent.limits import AgentLimits
from flintfield.jobs.messages import End, Outcome, Run, RunResult, StartOrder, StopOrder

from .support.agent_play import HOLD_MAX_MS, HOLD_MS, OTHER_TASK, TASK, Play

LONGEST_HOLD_MS = AgentLimits(HOLD_MAX_MS).longest_hold_ms
MANY_SECONDS_MS = 20_000
RUNNING = (Run(TASK, 1, "", 10),)
DONE = (End(1, TASK, 1, RunResult.DONE, ""),)


class Lingering(unittest.TestCase):
    """A worker that runs a task when it deregisters."""

    def setUp(self) -> None:
        self.play = Play()
        self.play.ready()
        self.play.serve(LONGEST_HOLD_MS, RUNNING)
        self.play.step(Deregistered("i-1"))
        self.play.reports.clear()

    def _ends(self) -> list[End]:
        return [end for report in self.play.reports for end in report.finished]

    def test_it_is_reported_as_draining_and_held_for_as_long_as_it_runs_a_task(self) -> None:
        self.play.serve(MANY_SECONDS_MS, RUNNING)
        newest = self.play.reports[-1]
        assert newest.worker is not None
        self.assertTrue(newest.worker.draining and newest.deregistered)
        self.assertFalse(newest.lapsed)
        self.assertIn(RUNNING, [report.running for report in self.play.reports[-5:]])
        holds = [call.request for call in self.play.pending(Hold) if isinstance(call.request, Hold)]
        self.assertTrue(any(hold.expires_ms is not None for hold in holds))

    def test_an_end_that_it_lists_is_reported_at_once(self) -> None:
        self.play.serve(MANY_SECONDS_MS, RUNNING)
        self.play.answer(self.play.pending(Hold)[0], finished=DONE)
        self.play.pass_time(5)
        self.assertEqual(DONE, self.play.reports[-1].finished)

    def test_an_end_is_reported_until_it_is_acknowledged_though_the_worker_is_gone(self) -> None:
        self.play.answer(self.play.pending(Hold)[0], finished=DONE)
        for _ in range(MANY_SECONDS_MS // 500):
            for call in list(self.play.calls):
                self.play.answer(call, AnswerKind.NOT_SENT)
            self.play.pass_time(500)
        self.assertEqual(DONE, self.play.reports[-1].finished)
        self.play.order(last_seen=1)
        self.play.pass_time(600)
        self.assertTrue(self.play.reports[-1].is_over)

    def test_the_worker_is_told_that_its_last_end_is_durable(self) -> None:
        self.play.answer(self.play.pending(Hold)[0], finished=DONE)
        self.play.order(last_seen=1)
        self.play.pass_time(500)
        told = [call.request.last_seen for call in self.play.pending(Hold) if isinstance(call.request, Hold)]
        self.assertIn(1, told)

    def test_once_it_has_nothing_left_it_is_over_and_called_no_more(self) -> None:
        self.play.answer(self.play.pending(Hold)[0], finished=DONE)
        self.play.serve(3_000, last_seen=1)
        self.assertTrue(self.play.reports[-1].is_over)
        self.play.calls.clear()
        self.play.serve(5_000, last_seen=1)
        self.assertEqual([], self.play.calls)

    def test_a_stop_is_carried_out_however_long_ago_it_deregistered(self) -> None:
        # Guards against the review's UNASKED: a cancelled task ran on there.
        self.play.serve(MANY_SECONDS_MS, RUNNING)
        self.play.order(StopOrder(5, TASK, 1))
        self.play.answer(self.play.only(RunStop))
        self.assertEqual({5: Outcome.DONE}, self.play.outcomes())

    def test_a_cancel_and_an_end_at_once(self) -> None:
        self.play.order(StopOrder(5, TASK, 1))
        self.play.answer(self.play.pending(Hold)[0], finished=DONE)
        self.play.answer(self.play.only(RunStop), AnswerKind.OLD)
        self.play.pass_time(5)
        self.assertIn(DONE[0], self._ends())
        self.play.serve(3_000, last_seen=1)
        self.assertTrue(self.play.reports[-1].is_over)

    def test_it_takes_no_start(self) -> None:
        self.play.order(StartOrder(6, OTHER_TASK, 1, "", ""))
        self.assertEqual([], self.play.pending(RunStart))
        self.assertEqual({6: Outcome.DRAINING}, self.play.outcomes())

    def test_a_deregistration_that_is_repeated_changes_nothing(self) -> None:
        self.play.serve(1_000, RUNNING)
        self.play.step(Deregistered("i-1"))
        self.play.step(Deregistered("i-0"))
        self.play.serve(MANY_SECONDS_MS, RUNNING)
        self.assertIsNotNone(self.play.reports[-1].worker)

    def test_draining_that_is_told_afterwards_changes_nothing(self) -> None:
        self.play.beat(draining=True)
        self.play.serve(MANY_SECONDS_MS, RUNNING)
        self.assertIsNotNone(self.play.reports[-1].worker)

    def test_after_its_silence_its_last_hold_has_to_expire(self) -> None:
        self.play.calls.clear()
        self.play.pass_time(HOLD_MS - 1_000)
        self.assertFalse(any(report.lapsed for report in self.play.reports))
        self.play.pass_time(LONGEST_HOLD_MS)
        self.assertTrue(self.play.reports[-1].is_over)

    def test_its_successor_is_reported_once_its_ends_are_durable(self) -> None:
        self.play.answer(self.play.pending(Hold)[0], finished=DONE)
        self.play.beat("i-2")
        self.play.answer(next(call for call in self.play.calls if call.instance == "i-2"))
        self.play.pass_time(MANY_SECONDS_MS)
        self.assertEqual({"i-1"}, {report.subject for report in self.play.reports})
        self.assertEqual(DONE, self.play.reports[-1].finished)
        self.play.order(last_seen=1)
        self.play.pass_time(5)
        self.assertEqual("i-2", self.play.reports[-1].subject)

    def test_that_it_is_gone_is_told_after_its_ends_and_reports_do_not_spin(self) -> None:
        # A dispatcher of a former release forgets a worker that is gone, and its ends with it.
        self.play.order(StopOrder(5, OTHER_TASK, 1))
        self.play.answer(self.play.pending(Hold)[0], finished=DONE)
        self.play.answer(self.play.only(RunStop), AnswerKind.OTHER_INSTANCE)
        self.play.pass_time(2_000)
        self.assertLess(len(self.play.reports), 60)
        self.assertEqual({}, self.play.outcomes())
        self.play.order(last_seen=1)
        self.assertEqual({5: Outcome.GONE}, self.play.outcomes())

    def test_a_start_under_way_at_a_change_of_dispatcher_may_still_run_there(self) -> None:
        play = Play()
        play.ready()
        play.serve(LONGEST_HOLD_MS)
        play.order(StartOrder(6, TASK, 1, "", ""))
        start = play.only(RunStart)
        play.step(Deregistered("i-1"))
        play.order(epoch=4)
        for call in [call for call in play.pending(Hold) if call.request != start.request]:
            play.answer(call)
        play.reports.clear()
        play.pass_time(600)
        self.assertFalse(any(report.is_over for report in play.reports))
        play.answer(start)
        play.reports.clear()
        play.serve(3_000, RUNNING)
        self.assertFalse(any(report.is_over for report in play.reports))

    def test_a_start_without_an_answer_is_in_doubt_for_as_long_as_its_hold(self) -> None:
        play = Play()
        play.ready()
        play.serve(LONGEST_HOLD_MS)
        play.order(StartOrder(6, TASK, 1, "", ""))
        for _ in range(3):  # tries
            play.answer(play.only(RunStart), AnswerKind.NONE)
        play.step(Deregistered("i-1"))
        play.reports.clear()
        play.serve(HOLD_MS - 1_000)
        self.assertFalse(any(report.is_over for report in play.reports))
        play.serve(HOLD_MS)
        self.assertTrue(play.reports[-1].is_over)

    def test_another_dispatcher_hears_of_it(self) -> None:
        self.play.order(epoch=4)
        self.play.answer(
            next(call for call in self.play.pending(Hold) if call.request.fence == 4), finished=DONE
        )
        self.play.pass_time(5)
        newest = self.play.reports[-1]
        self.assertEqual((DONE, 4), (newest.finished, newest.fenced_epoch))


class AnAgentThatStartsAnew(unittest.TestCase):
    """The agent is killed while the worker lingers, and the next life gets no heartbeat."""

    def setUp(self) -> None:
        self.play = Play()

    def test_it_reports_what_the_dispatcher_has_named(self) -> None:
        self.play.order()
        self.play.answer(self.play.only(Hold), running=RUNNING)
        self.play.answer(self.play.only(Hold), finished=DONE)
        self.play.pass_time(5)
        newest = self.play.reports[-1]
        self.assertEqual((None, "i-1", DONE), (newest.worker, newest.instance, newest.finished))

    def test_a_deregistration_before_the_first_answer_does_not_hide_it(self) -> None:
        self.play.order()
        self.play.step(Deregistered("i-1"))
        self.play.answer(self.play.only(Hold))
        self.play.answer(self.play.only(Hold), finished=DONE)
        self.play.pass_time(5)
        newest = self.play.reports[-1]
        self.assertEqual(("i-1", DONE, True), (newest.subject, newest.finished, newest.deregistered))

    def test_a_deregistration_before_everything_else_is_remembered(self) -> None:
        self.play.step(Deregistered("i-1"))
        self.play.ready()
        self.play.order(StartOrder(1, TASK, 1, "", ""))
        self.assertEqual([], self.play.pending(RunStart))
        self.assertEqual({1: Outcome.UNKNOWN}, self.play.outcomes())  # the last life may have sent it

    def test_an_empty_worker_is_not_over_while_a_start_of_the_last_life_may_begin(self) -> None:
        self.play.ready()
        self.play.step(Deregistered("i-1"))
        self.play.serve(LONGEST_HOLD_MS - 1_000)
        self.assertFalse(any(report.is_over for report in self.play.reports))
        self.play.serve(2_000)
        self.assertTrue(self.play.reports[-1].is_over)


class AWorkerThatIsGone(unittest.TestCase):
    """The dispatcher names a worker that has deregistered and ended while no agent ran."""

    def test_it_is_called_no_longer_than_what_was_sent_to_it_may_last(self) -> None:
        play = Play()
        play.order()
        play.step(Deregistered("i-1"))
        for _ in range(LONGEST_HOLD_MS // 500 + 2):
            for call in list(play.calls):
                play.answer(call, AnswerKind.NOT_SENT)
            play.pass_time(500)
        play.calls.clear()
        play.pass_time(5_000)
        self.assertEqual([], play.calls)


if __name__ == "__main__":
    unittest.main()
