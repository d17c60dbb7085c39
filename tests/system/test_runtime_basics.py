"""Log lines at a bounded cost, the table of error answers, and clocks."""

from __future__ import annotations

import contextlib
import io
import json
import logging
import unittest
from typing import Any

from flintfield.runtime import clock, logs
from flintfield.runtime.errors import ANSWERS, ErrorKind, answer, retry_after_header
from flintfield.runtime.log_lines import MAX_TEXT


class RateLimits(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 0.0
        self.limit = logs.RateLimit(lambda: self.now_s)

    def passes(self, name: str) -> logging.LogRecord | None:
        line = logging.LogRecord("logger", logging.INFO, "file", 1, name, (), None)
        return line if self.limit.filter(line) else None

    def test_a_burst_passes_and_the_rest_is_dropped_and_counted(self) -> None:
        passed = [self.passes("event") is not None for _ in range(logs.BURST + 3)]
        self.assertEqual(passed, [True] * logs.BURST + [False] * 3)
        self.assertEqual(self.limit.dropped, 3)

    def test_the_next_line_tells_what_was_dropped_once(self) -> None:
        for _ in range(logs.BURST + 3):
            self.passes("event")
        self.now_s = 2.0 / logs.LINES_PER_S
        first, second = self.passes("event"), self.passes("event")
        assert first is not None and second is not None
        self.assertEqual(vars(first)["dropped"], 3)
        self.assertNotIn("dropped", vars(second))

    def test_names_do_not_take_from_one_another(self) -> None:
        for _ in range(logs.BURST + 1):
            self.passes("noisy")
        self.assertIsNotNone(self.passes("quiet"))

    def test_a_bucket_never_holds_more_than_the_burst(self) -> None:
        self.passes("event")
        self.now_s = 1e6
        self.assertEqual(sum(self.passes("event") is not None for _ in range(2 * logs.BURST)), logs.BURST)

    def test_names_beyond_the_bound_share_one_bucket(self) -> None:
        for number in range(logs.MAX_NAMES):
            self.passes(f"event {number}")
        passed = sum(self.passes(f"more {number}") is not None for number in range(50))
        self.assertEqual(passed, logs.BURST)


class Lines(unittest.TestCase):
    def setUp(self) -> None:
        root = logging.getLogger()
        before, level = tuple(root.handlers), root.level

        def restore() -> None:
            root.handlers[:] = before
            root.setLevel(level)

        self.addCleanup(restore)
        self.written = io.StringIO()
        with contextlib.redirect_stderr(self.written):
            logs.configure("node-1", "scheduler")
        self.logger = logging.getLogger("tests.runtime")

    def lines(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.written.getvalue().splitlines()]

    def test_an_event_is_one_line_of_json(self) -> None:
        logs.event(self.logger, "job accepted", job="5c0e", tasks=3)
        (line,) = self.lines()
        self.assertIsInstance(line.pop("time"), float)
        self.assertEqual(
            line,
            {
                "level": "INFO",
                "logger": "tests.runtime",
                "event": "job accepted",
                "node": "node-1",
                "role": "scheduler",
                "job": "5c0e",
                "tasks": 3,
            },
        )

    def test_events_below_the_level_are_not_written(self) -> None:
        logs.event(self.logger, "detail", level=logging.DEBUG)
        self.assertEqual(self.lines(), [])

    def test_lines_of_plain_loggers_are_limited_by_their_template(self) -> None:
        for number in range(logs.BURST + 5):
            self.logger.warning("peer %d is gone", number)
        lines = self.lines()
        self.assertEqual(len(lines), logs.BURST)
        self.assertEqual(lines[1]["event"], "peer 1 is gone")

    def test_long_texts_and_tracebacks_are_cut(self) -> None:
        logs.event(self.logger, "long", text="x" * 3 * MAX_TEXT)
        try:
            raise ValueError("y" * 3 * MAX_TEXT)
        except ValueError as error:
            self.logger.error("failed", exc_info=error)
        long, failed = self.lines()
        self.assertEqual(long["text"], "x" * MAX_TEXT + "...")
        self.assertLess(len(failed["exc_info"]), MAX_TEXT + 10)

    def test_configuring_again_replaces_the_handler(self) -> None:
        with contextlib.redirect_stderr(self.written):
            logs.configure("node-2", "agent")
        logs.event(self.logger, "once")
        self.assertEqual([line["node"] for line in self.lines()], ["node-2"])


class Answers(unittest.TestCase):
    def test_every_kind_has_its_row(self) -> None:
        self.assertEqual(set(ANSWERS), set(ErrorKind))

    def test_only_refusals_that_left_nothing_behind_say_when_to_come_back(self) -> None:
        for kind, row in ANSWERS.items():
            with self.subTest(kind=kind):
                self.assertEqual(row.tells_retry_after, row.status in (429, 503))

    def test_what_may_have_been_taken_is_never_answered_as_refused(self) -> None:
        for kind in (
            ErrorKind.OUTCOME_UNKNOWN,
            ErrorKind.TIMED_OUT,
            ErrorKind.STORAGE_FAILED,
            ErrorKind.INTERNAL,
        ):
            self.assertIn(answer(kind).status, (502, 504))

    def test_the_answers_that_the_users_pages_name(self) -> None:
        named = {
            ErrorKind.NO_CONFIGURATION: 503,
            ErrorKind.UNKNOWN_QUEUE: 404,
            ErrorKind.UNKNOWN_JOB: 410,
            ErrorKind.VERSION_CONFLICT: 412,
            ErrorKind.INVALID_CONFIGURATION: 400,
        }
        self.assertEqual({kind: answer(kind).status for kind in named}, named)

    def test_retry_after_is_rounded_up_to_whole_seconds(self) -> None:
        self.assertEqual([retry_after_header(ms) for ms in (1, 999, 1_000, 1_001)], ["1", "1", "1", "2"])


class Clocks(unittest.TestCase):
    def test_the_steady_clock_does_not_go_back(self) -> None:
        readings = [clock.steady_ms() for _ in range(100)]
        self.assertEqual(readings, sorted(readings))
        self.assertIsInstance(readings[0], int)

    def test_the_machines_clocks_are_a_clock(self) -> None:
        system: clock.Clock = clock.SystemClock()
        self.assertLessEqual(clock.steady_ms(), system.steady_ms())
        self.assertGreater(system.wall_ms(), 1_600_000_000_000)


if __name__ == "__main__":
    unittest.main()
