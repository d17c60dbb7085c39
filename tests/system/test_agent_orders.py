"""What becomes of the orders for a worker."""

from __future__ import annotations

import unittest

from flintfield.agent.events import AnswerKind, Hold, RunStart, RunStop, Stopping, Tick
from flintfield.agent.limits import AgentLimits
from flintfield.agent.orders import FRESH_MS, MAX_CALLS, MAX_UNRESOLVED, MAX_UNRESOLVED_STOPS
from flintfield.jobs.messages import Outcome, StartOrder, StopOrder

from .support.agent_play import CLOCK_AHEAD_MS, HOLD_MAX_MS, HOLD_MS, OTHER_TASK, START_MS, TASK, Play


class StartsAndStops(unittest.TestCase):
    """What becomes of orders."""

    def setUp(self) -> None:
        self.play = Play()
        self.play.ready()
        # The first incarnation of a life: its starts are in doubt until no earlier life can have sent them.
        self.play.order()
        while self.play.now < START_MS + AgentLimits(HOLD_MAX_MS).longest_hold_ms:
            self.play.pass_time(1_000)
            for call in list(self.play.calls):
                self.play.answer(call)
            self.play.order()
        self.play.reports.clear()

    def start(self, order: int = 1, run: int = 1, task: str = TASK) -> StartOrder:
        """A start."""
        return StartOrder(order, task, run, "(text)", "")

    def test_a_start_carries_fence_expiry_and_text(self) -> None:
        play = self.play
        play.order(self.start())
        request = play.only(RunStart).request
        assert isinstance(request, RunStart)
        self.assertEqual((TASK, 1, "(text)", 3), (request.task, request.run, request.spec, request.fence))
        limit = play.now + HOLD_MS + CLOCK_AHEAD_MS
        self.assertLessEqual(request.expires_ms, limit)
        self.assertGreater(request.expires_ms, limit - HOLD_MS // 10)

    def test_answers_become_outcomes(self) -> None:
        table = {
            AnswerKind.OK: Outcome.DONE,
            AnswerKind.FENCE: Outcome.FENCE,
            AnswerKind.OLD: Outcome.OLD,
            AnswerKind.LATE: Outcome.LATE,
            AnswerKind.ROOM: Outcome.ROOM,
            AnswerKind.BAD: Outcome.BAD,
        }
        for number, (kind, outcome) in enumerate(table.items(), 1):
            with self.subTest(kind.name):
                self.play.order(self.start(number, task=f"t{number}"))
                self.play.answer(self.play.only(RunStart), kind)
                self.assertEqual(outcome, self.play.outcomes()[number])

    def test_another_instance_in_its_place_makes_all_orders_gone(self) -> None:
        self.play.order(self.start(1), self.start(2, task=OTHER_TASK))
        self.play.pass_time(FRESH_MS)
        first, _ = self.play.pending(RunStart)
        self.play.answer(first, AnswerKind.OTHER_INSTANCE)
        self.assertEqual({1: Outcome.GONE, 2: Outcome.GONE}, self.play.outcomes())
        self.assertTrue(self.play.reports[-1].lapsed)
        self.play.order(StopOrder(3, TASK, 1))
        self.assertEqual(Outcome.GONE, self.play.outcomes()[3])

    def test_an_unanswered_start_is_tried_again_and_then_unknown(self) -> None:
        self.play.order(self.start())
        timeouts = []
        for _ in range(3):
            call = self.play.only(RunStart)
            timeouts.append(call.timeout_ms)
            self.play.pass_time(call.timeout_ms)
            self.play.order()
            self.play.answer(call, AnswerKind.NONE)
        self.assertEqual([350, 350, 700], timeouts)
        self.assertEqual({1: Outcome.UNKNOWN}, self.play.outcomes())

    def test_nothing_done_is_never_told_of_a_start_in_doubt(self) -> None:
        for kind in (AnswerKind.LATE, AnswerKind.ROOM, AnswerKind.UNHEALTHY, AnswerKind.NOT_SENT):
            with self.subTest(kind.name):
                play = Play()
                play.ready()
                play.order(self.start())
                play.answer(play.only(RunStart), AnswerKind.NONE)
                while play.pending(RunStart):
                    play.answer(play.only(RunStart), kind)
                    play.pass_time(210)
                    play.order()
                self.assertEqual({1: Outcome.UNKNOWN}, play.outcomes())

    def test_a_start_that_an_earlier_life_may_have_sent_is_never_told_as_not_done(self) -> None:
        for kind in (AnswerKind.LATE, AnswerKind.ROOM, AnswerKind.UNHEALTHY, AnswerKind.NOT_SENT):
            with self.subTest(kind.name):
                play = Play()
                play.ready()
                play.order(self.start())
                while play.pending(RunStart):
                    play.answer(play.only(RunStart), kind)
                    play.pass_time(210)
                    play.order()
                self.assertEqual({1: Outcome.UNKNOWN}, play.outcomes())

    def test_a_start_whose_every_try_was_refused_is_told_as_not_done(self) -> None:
        """A call leaves at most once (test_agent_worker_calls.py): its refusal says that nothing was done."""
        outcomes = {
            AnswerKind.LATE: Outcome.LATE,
            AnswerKind.ROOM: Outcome.ROOM,
            AnswerKind.UNHEALTHY: Outcome.BUSY,
            AnswerKind.NOT_SENT: Outcome.BUSY,
        }
        for number, (kind, outcome) in enumerate(outcomes.items(), 1):
            with self.subTest(kind.name):
                self.play.order(self.start(number, task=f"t{number}"))
                while self.play.pending(RunStart):
                    self.play.answer(self.play.only(RunStart), kind)
                    self.play.pass_time(210)
                    self.play.order()
                self.assertEqual(outcome, self.play.outcomes()[number])

    def test_a_doubt_between_two_refusals_stays(self) -> None:
        self.play.order(self.start())
        for kind in (AnswerKind.UNHEALTHY, AnswerKind.NONE, AnswerKind.UNHEALTHY):
            self.play.pass_time(160)
            self.play.answer(self.play.only(RunStart), kind)
        self.assertEqual({1: Outcome.UNKNOWN}, self.play.outcomes())

    def test_an_unhealthy_worker_is_asked_twice(self) -> None:
        self.play.order(self.start())
        self.play.answer(self.play.only(RunStart), AnswerKind.UNHEALTHY)
        self.assertEqual([], self.play.pending(RunStart))
        self.play.pass_time(160)
        self.play.answer(self.play.only(RunStart), AnswerKind.UNHEALTHY)
        self.assertEqual({1: Outcome.BUSY}, self.play.outcomes())

    def test_a_repeated_order_is_answered_from_memory(self) -> None:
        self.play.order(self.start())
        self.play.answer(self.play.only(RunStart), AnswerKind.OLD)
        self.assertEqual({1: Outcome.OLD}, self.play.outcomes())
        self.play.reports.clear()
        self.play.order(self.start())
        self.assertEqual([], self.play.pending(RunStart))
        self.assertEqual({1: Outcome.OLD}, self.play.outcomes())

    def test_a_repeated_start_that_is_under_way_is_sent_once(self) -> None:
        self.play.order(self.start())
        self.play.order(self.start())
        self.assertEqual(1, len(self.play.pending(RunStart)))

    def test_an_unknown_stop_is_tried_again_when_it_is_repeated(self) -> None:
        stop = StopOrder(1, TASK, 1)
        self.play.order(stop)
        for _ in range(3):
            self.play.answer(self.play.only(RunStop), AnswerKind.NONE)
        self.assertEqual({1: Outcome.UNKNOWN}, self.play.outcomes())
        self.play.order(stop)
        self.play.answer(self.play.only(RunStop))
        self.assertEqual({1: Outcome.DONE}, self.play.outcomes())

    def test_a_stop_supersedes_a_start_that_has_not_left(self) -> None:
        self.play.order(self.start())
        self.play.answer(self.play.only(RunStart), AnswerKind.UNHEALTHY)
        self.play.order(StopOrder(2, TASK, 1))
        self.play.pass_time(200)
        self.assertEqual([], self.play.pending(RunStart))
        self.play.answer(self.play.only(RunStop))
        self.assertEqual({1: Outcome.OLD, 2: Outcome.DONE}, self.play.outcomes())

    def test_a_stop_that_supersedes_a_start_in_doubt_leaves_the_doubt(self) -> None:
        self.play.order(self.start())
        self.play.answer(self.play.only(RunStart), AnswerKind.NONE)
        self.play.answer(self.play.only(RunStart), AnswerKind.UNHEALTHY)
        self.play.order(StopOrder(2, TASK, 1))
        self.play.answer(self.play.only(RunStop))
        self.assertEqual({1: Outcome.UNKNOWN, 2: Outcome.DONE}, self.play.outcomes())

    def test_a_stop_does_not_wait_for_the_start_and_ends_its_retries(self) -> None:
        self.play.order(self.start())
        start = self.play.only(RunStart)
        self.play.order(StopOrder(2, TASK, 1))
        self.play.answer(self.play.only(RunStop))
        self.play.answer(start, AnswerKind.NONE)
        self.assertEqual([], self.play.pending(RunStart))
        self.assertEqual({1: Outcome.UNKNOWN, 2: Outcome.DONE}, self.play.outcomes())

    def test_a_run_that_was_stopped_is_never_started(self) -> None:
        self.play.order(StopOrder(1, TASK, 2))
        self.play.answer(self.play.only(RunStop))
        self.play.order(self.start(2, run=1), self.start(3, run=2), self.start(4, run=3))
        request = self.play.only(RunStart).request
        assert isinstance(request, RunStart)
        self.assertEqual(3, request.run)
        self.assertEqual({1: Outcome.DONE, 2: Outcome.OLD, 3: Outcome.OLD}, self.play.outcomes())

    def test_orders_of_one_task_leave_one_after_the_other(self) -> None:
        self.play.order(StopOrder(1, TASK, 1), self.start(2, run=2))
        self.assertEqual([], self.play.pending(RunStart))
        self.play.answer(self.play.only(RunStop))
        self.assertEqual(1, len(self.play.pending(RunStart)))

    def test_calls_under_way_are_bounded(self) -> None:
        self.play.order(*(self.start(number, task=f"t{number}") for number in range(1, 21)))
        self.assertEqual(1, len(self.play.pending(RunStart)), "fresh calls: each more opens a connection")
        for count in range(2, MAX_CALLS + 4):
            self.play.pass_time(FRESH_MS)
            self.assertLessEqual(len(self.play.pending(RunStart)), min(count, MAX_CALLS))
        self.assertEqual(MAX_CALLS, len(self.play.pending(RunStart)))

    def test_starts_follow_one_another_without_a_pause_as_they_are_answered(self) -> None:
        self.play.order(*(self.start(number, task=f"t{number}") for number in range(1, 9)))
        begun = self.play.now
        for _ in range(8):
            self.play.answer(self.play.only(RunStart))
        self.assertEqual([], self.play.pending(RunStart))
        self.assertEqual(begun, self.play.now)

    def test_orders_are_bounded(self) -> None:
        count = MAX_UNRESOLVED + 20
        self.play.order(*(self.start(number, task=f"t{number}") for number in range(1, count + 1)))
        refused = [outcome for outcome in self.play.outcomes().values() if outcome is Outcome.BUSY]
        self.assertEqual(20, len(refused))

    def test_stops_beyond_the_bound_are_refused_at_once(self) -> None:
        count = MAX_UNRESOLVED_STOPS + 20
        self.play.order(*(StopOrder(number, f"t{number}", 1) for number in range(1, count + 1)))
        refused = [number for number, outcome in self.play.outcomes().items() if outcome is Outcome.BUSY]
        self.assertEqual(20, len(refused))
        self.play.order(StopOrder(refused[0], f"t{refused[0]}", 1))
        self.assertEqual(Outcome.BUSY, self.play.outcomes()[refused[0]])

    def test_no_start_on_a_draining_worker(self) -> None:
        self.play.beat(draining=True)
        self.play.order(self.start())
        self.assertEqual([], self.play.pending(RunStart))
        self.assertEqual({1: Outcome.DRAINING}, self.play.outcomes())

    def test_draining_ends_the_tries_of_a_start(self) -> None:
        self.play.order(self.start())
        self.play.beat(draining=True)
        self.play.answer(self.play.only(RunStart), AnswerKind.NONE)
        self.assertEqual([], self.play.pending(RunStart))
        self.assertEqual({1: Outcome.UNKNOWN}, self.play.outcomes())

    def test_no_start_under_a_grant_that_is_over(self) -> None:
        self.play.pass_time(HOLD_MS)
        self.play.order(self.start(), echo_stamp=self.play.now - HOLD_MS)
        self.assertEqual([], self.play.pending(RunStart))
        self.assertEqual({1: Outcome.LATE}, self.play.outcomes())

    def test_after_a_freeze_a_retry_is_held_back(self) -> None:
        self.play.order(self.start())
        self.play.answer(self.play.only(RunStart), AnswerKind.UNHEALTHY)
        self.play.now += HOLD_MS
        self.play.step(Tick())
        self.assertEqual([], self.play.pending(RunStart))
        self.assertEqual({1: Outcome.LATE}, self.play.outcomes())

    def test_after_a_freeze_a_retry_in_doubt_stays_in_doubt(self) -> None:
        self.play.order(self.start())
        self.play.answer(self.play.only(RunStart), AnswerKind.NONE)
        self.play.answer(self.play.only(RunStart), AnswerKind.UNHEALTHY)
        self.play.now += HOLD_MS
        self.play.step(Tick())
        self.assertEqual([], self.play.pending(RunStart))
        self.assertEqual({1: Outcome.UNKNOWN}, self.play.outcomes())

    def test_a_higher_epoch_drops_what_was_ordered_before(self) -> None:
        self.play.order(self.start())
        old = self.play.only(RunStart)
        self.play.order(epoch=4)
        self.play.answer(old, AnswerKind.NONE)
        self.assertEqual([], self.play.pending(RunStart))
        self.assertEqual({}, self.play.outcomes())

    def test_orders_of_a_lower_epoch_are_ignored(self) -> None:
        self.play.order(self.start(), epoch=2)
        self.assertEqual([], self.play.pending(RunStart))
        self.assertEqual({}, self.play.outcomes())
        self.assertEqual(1, self.play.agent.counters.stale_orders)

    def test_orders_for_an_earlier_incarnation_are_gone(self) -> None:
        self.play.beat("i-2")
        self.play.answer(self.play.calls[-1])
        self.play.order(self.start(1), StopOrder(2, TASK, 1))
        self.assertEqual([], self.play.pending(RunStart))
        self.assertEqual({1: Outcome.GONE, 2: Outcome.GONE}, self.play.outcomes())

    def test_while_stopping_nothing_starts_and_the_hold_is_extended(self) -> None:
        self.play.order(self.start())
        self.play.pass_time(300)
        self.play.order()
        self.play.step(Stopping())
        prompt = [
            call
            for call in self.play.pending(Hold)
            if isinstance(call.request, Hold) and not call.request.wait_ms
        ]
        self.assertEqual(1, len(prompt))
        self.assertEqual(2, self.play.agent.calls_to_finish)
        self.play.order(self.start(2, task=OTHER_TASK))
        self.play.answer(self.play.only(RunStart), AnswerKind.NONE)
        self.play.answer(prompt[0])
        self.assertEqual(0, self.play.agent.calls_to_finish)
        self.assertEqual({1: Outcome.UNKNOWN, 2: Outcome.BUSY}, self.play.outcomes())


if __name__ == "__main__":
    unittest.main()
