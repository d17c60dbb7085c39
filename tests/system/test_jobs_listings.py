"""Processing of the lists of running and ended runs, one report at a time."""

from __future__ import annotations

import unittest
from dataclasses import replace

from flintfield.jobs.events import AgentLost, Event, ReportArrived, Tick
from flintfield.jobs.messages import (
    AgentReport,
    End,
    Method,
    OrderResult,
    Outcome,
    Run,
    RunResult,
    StartOrder,
    StopOrder,
)
from flintfield.jobs.worker_record import MAX_UNANSWERED

from .jobs_table import PlayedDispatcher
from .jobs_world import WALL_0, job_id, report
from .test_jobs_intake import body

TASK = f"{job_id(1)}.0.0.0"
EPOCH = 3


class Listings(unittest.TestCase):
    """Listings of one worker with one task."""

    def setUp(self) -> None:
        self.played = PlayedDispatcher(EPOCH)
        self.send(report(10))
        step = {"count": 1, "cpu": 1_000, "estimateMs": 500}
        self.played.call(Method.SUBMIT, "/a/" + job_id(1), body(step))

    @property
    def starts(self) -> list[StartOrder]:
        """The start orders sent in this term."""
        return self.played.starts

    @property
    def stops(self) -> list[StopOrder]:
        """The stop orders sent in this term."""
        return self.played.stops

    def handle(self, event: Event) -> None:
        """Process an event."""
        self.played.handle(event)

    def wait(self, after_ms: int) -> None:
        """Let time pass without an event."""
        self.played.now += after_ms

    def send(self, template: AgentReport, **changes: object) -> None:
        """Deliver a report."""
        self.played.now = max(self.played.now, 990 + template.stamp_ms)
        self.handle(ReportArrived(replace(template, **changes)))  # type: ignore[arg-type]

    def answered(self, outcome: Outcome, stamp: int, order: int | None = None) -> tuple[OrderResult, ...]:
        """An order result for the newest start order, or for `order`."""
        return (OrderResult(order or self.starts[-1].order, outcome, stamp),)

    def started(self) -> list[int]:
        """Numbers of the runs in start orders."""
        return [start.run for start in self.starts]

    def test_a_run_is_ordered_after_its_placement(self) -> None:
        self.assertEqual(self.started(), [1])

    def test_an_end_is_acknowledged_once_durable(self) -> None:
        self.send(report(100), results=self.answered(Outcome.DONE, 90))
        self.send(report(900), finished=(End(1, TASK, 1, RunResult.DONE, ""),))
        self.send(report(1_000))
        self.assertEqual(self.played.last_seen, 1)
        self.assertEqual(self.started(), [1])

    def test_an_unlisted_run_has_vanished_only_after_the_time_of_a_stop(self) -> None:
        self.send(report(100), results=self.answered(Outcome.DONE, 90))
        self.send(report(300), listing_stamp=290)
        self.assertEqual(self.started(), [1])
        self.send(report(500), listing_stamp=400)
        self.handle(Tick(WALL_0))
        self.wait(150)
        self.handle(Tick(WALL_0))
        self.assertEqual(self.started(), [1, 2])

    def test_a_listing_of_the_release_before_counts_only_while_no_ends_come(self) -> None:
        self.send(report(100), results=self.answered(Outcome.DONE, 90))
        other = (End(1, f"{job_id(7)}.0.0.0", 1, RunResult.DONE, ""),)
        self.send(report(900), finished=other)
        self.send(report(950), listing_stamp=940)  # requested before the ends were gone from the reports
        self.assertEqual(self.started(), [1])
        self.send(report(1_400), listing_stamp=1_000)
        self.wait(200)
        self.handle(Tick(WALL_0))
        self.assertEqual(self.started(), [1, 2])

    def test_no_more_orders_are_under_way_than_an_agent_of_any_release_takes(self) -> None:
        step = {"count": 1, "cpu": 0, "estimateMs": 500}
        for number in range(2, 403):
            path = "/a/" + job_id(number)
            self.played.call(Method.SUBMIT, path, body(step))
        self.assertEqual(MAX_UNANSWERED, len(self.starts))
        answered = tuple(OrderResult(start.order, Outcome.DONE, 90) for start in self.starts[:100])
        self.send(report(100), results=answered)
        self.assertEqual(MAX_UNANSWERED + 100, len(self.starts))
        self.handle(AgentLost("m-1"))
        self.starts.clear()
        self.send(report(200))
        self.assertEqual(MAX_UNANSWERED, len(self.starts))
        sent = {start.order for start in self.starts}
        self.assertEqual(MAX_UNANSWERED, len(sent))

    def test_a_listing_under_an_older_fence_is_no_evidence(self) -> None:
        self.send(report(100), results=self.answered(Outcome.DONE, 90))
        self.send(report(900), fenced_epoch=EPOCH - 1)
        self.assertEqual(self.started(), [1])

    def test_an_unanswered_order_is_repeated_and_the_run_is_not_replaced(self) -> None:
        self.send(report(3_000))
        self.wait(1_000)
        self.handle(Tick(WALL_0))
        self.assertEqual({(start.run, start.order) for start in self.starts}, {(1, self.starts[0].order)})

    def test_a_start_with_unknown_outcome_is_stopped_before_the_task_is_placed_again(self) -> None:
        self.send(report(100), results=self.answered(Outcome.UNKNOWN, 90))
        self.assertEqual([(stop.task, stop.run) for stop in self.stops], [(TASK, 1)])
        self.send(report(1_000))
        self.assertEqual(self.started(), [1])
        self.send(report(1_100), results=self.answered(Outcome.DONE, 1_090, self.stops[-1].order))
        self.assertEqual(self.started(), [1])
        for stamp in range(1_500, 4_100, 200):
            self.send(report(stamp))
            self.handle(Tick(WALL_0))
        self.assertEqual(self.started(), [1, 2])

    def test_a_refusal_without_a_restart_of_the_agent_frees_the_run_immediately(self) -> None:
        self.send(report(100), results=self.answered(Outcome.ROOM, 90))
        self.assertEqual(self.stops, [])
        self.wait(200)
        self.handle(Tick(WALL_0))
        self.assertEqual(self.started(), [1, 2])

    def test_a_refusal_after_a_restart_of_the_agent_stops_the_run_first(self) -> None:
        self.handle(AgentLost("m-1"))
        self.send(report(100), boot=8)
        self.assertEqual(self.started(), [1, 1])
        self.send(report(200), boot=8, results=self.answered(Outcome.ROOM, 190))
        self.assertEqual([stop.run for stop in self.stops], [1])

    def test_a_late_refusal_by_the_life_before_a_restart_of_the_agent_stops_the_run_first(self) -> None:
        # Guards against TWICE: the agent's present life has been sent the start as well, and may have run it.
        self.handle(AgentLost("m-1"))
        self.send(report(300), boot=8)
        self.assertEqual(self.started(), [1, 1])
        self.send(report(100), results=self.answered(Outcome.BUSY, 90))  # of the life before
        self.send(report(400), boot=8, listing_stamp=-1)
        self.wait(2_000)
        self.handle(Tick(WALL_0))
        self.assertNotIn(2, self.started())
        self.assertEqual([stop.run for stop in self.stops][:1], [1])

    def test_another_incarnation_frees_all_runs_of_the_earlier_one(self) -> None:
        template = report(100)
        assert template.worker is not None
        self.send(template, worker=replace(template.worker, instance="i-2"), listing_stamp=-1)
        self.wait(300)
        self.handle(Tick(WALL_0))
        self.assertEqual(self.started(), [1, 2])
        self.send(report(200))  # a delayed report of the earlier incarnation
        self.assertEqual(self.started(), [1, 2])

    def test_a_silent_worker_is_empty_once_its_hold_has_certainly_expired(self) -> None:
        self.send(report(100), results=self.answered(Outcome.DONE, 90))
        self.handle(AgentLost("m-1"))
        self.wait(5_350)
        self.handle(Tick(WALL_0))
        self.send(report(self.played.now - 990), running=(Run(TASK, 1, "", 50),))
        self.assertEqual(self.stops, [])
        self.handle(AgentLost("m-1"))
        self.wait(5_450)
        self.handle(Tick(WALL_0))
        granted = self.played.granted
        self.send(report(self.played.now - 990))
        self.assertEqual([stop.run for stop in self.stops], [1])
        self.assertEqual(self.played.granted, granted)
        self.assertEqual(self.started(), [1])
        self.send(
            report(self.played.now - 980),
            results=self.answered(Outcome.DONE, self.played.now - 985, self.stops[-1].order),
        )
        self.assertEqual(self.played.granted, self.played.now - 990)
        self.assertEqual(self.started(), [1, 2])

    def test_an_end_after_a_gap_counts_but_last_seen_stops_at_the_gap(self) -> None:
        self.send(report(100), results=self.answered(Outcome.DONE, 90))
        ends = (End(4, "x.0.0.0", 1, RunResult.DONE, ""), End(9, TASK, 1, RunResult.DONE, ""))
        self.send(report(900), finished=ends)
        self.send(report(1_300), finished=ends)
        self.assertEqual(self.played.last_seen, 4)
        self.assertEqual(self.started(), [1])

    def test_an_unknown_run_is_stopped(self) -> None:
        self.send(report(100), results=self.answered(Outcome.DONE, 90))
        self.send(report(700), running=(Run(TASK, 1, "", 1), Run(f"{job_id(7)}.0.0.0", 3, "", 1)))
        self.assertEqual([(stop.task, stop.run) for stop in self.stops], [(f"{job_id(7)}.0.0.0", 3)])

    def test_a_new_dispatcher_keeps_a_listed_run(self) -> None:
        self.played.elect(EPOCH + 1)
        self.send(report(700), running=(Run(TASK, 1, "", 1),))
        self.assertEqual(self.starts, [])
        self.send(report(1_200), fenced_epoch=EPOCH + 1, finished=(End(1, TASK, 1, RunResult.DONE, ""),))
        self.send(report(1_300), fenced_epoch=EPOCH + 1)
        self.assertEqual(self.played.last_seen, 1)

    def test_a_new_dispatcher_orders_an_unlisted_run_again(self) -> None:
        self.played.elect(EPOCH + 1)
        self.send(report(700))
        self.assertEqual(self.started(), [1])

    def test_a_new_dispatcher_ignores_results_of_earlier_orders(self) -> None:
        before = self.starts[-1].order
        self.played.elect(EPOCH + 1)
        self.send(report(700))
        self.assertNotEqual(self.starts[-1].order, before)
        self.send(report(710), results=(OrderResult(before, Outcome.ROOM, 705),))
        self.wait(300)
        self.handle(Tick(WALL_0))
        self.assertEqual(self.started(), [1])


class GangsOfAnEarlierIncarnation(unittest.TestCase):
    """A worker is replaced while members of a gang are placed there, and the placement is not durable."""

    def test_all_runs_of_the_earlier_one_are_freed(self) -> None:
        # Guards against LOST: the end of one member closed the next one, and an exception left others behind.
        played = PlayedDispatcher(EPOCH)
        gang = {"count": 3, "cpu": 10, "estimateMs": 500, "gang": True}
        played.call(Method.SUBMIT, "/a/" + job_id(1), body(gang))
        played.call(Method.SUBMIT, "/a/" + job_id(2), body({"count": 2, "cpu": 10, "estimateMs": 500}))
        played.writes_are_durable = False
        played.now += 10
        template = report(100)
        assert template.worker is not None
        played.handle(ReportArrived(template))
        self.assertEqual(5, len(played.dispatcher.state.workers["i-1"].runs))
        replaced = replace(template, worker=replace(template.worker, instance="i-2"), listing_stamp=-1)
        played.handle(ReportArrived(replaced))
        self.assertEqual({"i-2"}, set(played.dispatcher.state.workers))
        played.release_writes()
        played.writes_are_durable = True
        played.tick(300)
        self.assertEqual(5, len({start.task for start in played.starts}))


if __name__ == "__main__":
    unittest.main()
