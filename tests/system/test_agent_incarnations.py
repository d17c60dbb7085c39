"""Which incarnation of the worker is there, and what a life of the agent takes over from the last one."""

from __future__ import annotations

import unittest

from flintfield.agent.events import AnswerKind, Deregistered, Heartbeat, Hold, RunStart, RunStop
from flintfield.agent.limits import AgentLimits
from flintfield.jobs.messages import End, Outcome, RunResult, StartOrder, StopOrder

from .support.agent_play import HOLD_MAX_MS, START_MS, TASK, Play, worker_state


class AfterARestart(unittest.TestCase):
    """The first incarnation that a life of the agent sees may have been held and started by the last one."""

    def test_a_start_before_the_first_heartbeat_is_refused_and_in_doubt(self) -> None:
        play = Play()
        play.order(StartOrder(1, TASK, 1, "", ""))
        play.answer(play.only(Hold))
        self.assertEqual([], play.pending(RunStart))
        self.assertEqual({1: Outcome.UNKNOWN}, play.outcomes())

    def test_a_stop_leaves_before_the_first_heartbeat(self) -> None:
        play = Play()
        play.order(StopOrder(1, TASK, 1))
        play.answer(play.only(Hold))
        self.assertEqual(1, len(play.pending(RunStop)))

    def test_the_dispatcher_may_name_the_incarnation_and_its_hold_goes_on(self) -> None:
        play = Play()
        play.order()
        play.answer(play.only(Hold))
        request = play.only(Hold).request
        assert isinstance(request, Hold)
        self.assertIsNotNone(request.expires_ms)
        play.pass_time(500)
        self.assertIsNone(play.reports[-1].worker)

    def test_a_grant_for_another_life_is_refused(self) -> None:
        play = Play()
        play.order(echo_stamp=START_MS - 10)
        self.assertEqual(1, play.agent.counters.refused_grants)

    def test_a_single_late_heartbeat_admits_no_start(self) -> None:
        play = Play()
        play.beat(late_ms=1_500)
        play.answer(play.only(Hold))
        play.order(StartOrder(1, TASK, 1, "", ""))
        self.assertEqual([], play.pending(RunStart))
        play.beat()
        play.order(StartOrder(2, TASK, 1, "", ""))
        self.assertEqual(1, len(play.pending(RunStart)))

    def test_lapsed_only_after_the_longest_hold_of_the_last_life(self) -> None:
        play = Play()
        play.beat()
        play.answer(play.only(Hold))
        longest = AgentLimits(HOLD_MAX_MS).longest_hold_ms
        play.pass_time(longest - 100)
        self.assertFalse(play.reports[-1].lapsed)
        play.pass_time(1_000)
        self.assertTrue(play.reports[-1].lapsed)


class WhoIsThere(unittest.TestCase):
    """Incarnations are confirmed before they are reported."""

    def test_an_answer_confirms(self) -> None:
        play = Play()
        play.beat()
        play.pass_time(100)
        self.assertIsNone(play.reports[-1].worker)
        play.answer(play.only(Hold), AnswerKind.FENCE)
        play.pass_time(5)
        assert play.reports[-1].worker is not None
        self.assertEqual("i-1", play.reports[-1].worker.instance)

    def test_heartbeats_that_go_on_confirm_a_worker_that_hangs(self) -> None:
        play = Play()
        play.beat()
        play.pass_time(1_000)
        play.beat()
        play.pass_time(5)
        self.assertIsNotNone(play.reports[-1].worker)

    def test_a_late_heartbeat_of_one_that_has_crashed_changes_nothing(self) -> None:
        play = Play()
        play.ready()
        play.beat("i-0")
        probe = next(call for call in play.calls if call.instance == "i-0")
        play.answer(probe, AnswerKind.OTHER_INSTANCE)
        play.pass_time(600)
        assert play.reports[-1].worker is not None
        self.assertEqual("i-1", play.reports[-1].worker.instance)
        play.beat("i-0")
        self.assertEqual([], [call for call in play.calls if call.instance == "i-0"])

    def test_a_late_heartbeat_of_the_predecessor_is_known(self) -> None:
        play = Play()
        play.ready()
        play.beat("i-2")
        play.answer(next(call for call in play.calls if call.instance == "i-2"))
        calls = len(play.calls)
        play.beat("i-1")
        self.assertEqual(calls, len(play.calls))
        self.assertEqual(1, play.agent.incarnations.counters.stale_heartbeats)

    def test_a_heartbeat_with_a_lower_number_is_ignored(self) -> None:
        play = Play()
        play.ready()
        play.step(Heartbeat(worker_state(draining=True), 0, None))
        play.pass_time(600)
        assert play.reports[-1].worker is not None
        self.assertFalse(play.reports[-1].worker.draining)

    def test_a_deregistered_worker_that_runs_nothing_is_no_longer_reported(self) -> None:
        play = Play()
        play.ready()
        play.serve(AgentLimits(HOLD_MAX_MS).longest_hold_ms)  # what the agent's last life has sent is over
        play.step(Deregistered("i-1"))
        play.pass_time(5)
        self.assertIsNone(play.reports[-1].worker)

    def test_the_last_ends_of_a_deregistered_worker_are_reported(self) -> None:
        play = Play()
        play.ready()
        play.serve(AgentLimits(HOLD_MAX_MS).longest_hold_ms)
        play.answer(play.only(Hold), finished=(End(1, TASK, 1, RunResult.STOPPED, "00"),))
        play.step(Deregistered("i-1"))
        play.pass_time(5)
        assert play.reports[-1].worker is not None
        self.assertTrue(play.reports[-1].worker.draining)
        play.order(last_seen=1)
        play.pass_time(600)
        self.assertIsNone(play.reports[-1].worker)


if __name__ == "__main__":
    unittest.main()
