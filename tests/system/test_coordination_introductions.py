"""The schedule by which a process that knows the core set introduces itself to its seeds."""

from __future__ import annotations

import random
import unittest

from flintfield.coordination.introductions import (
    INTRODUCTION_MS,
    JITTER,
    MAX_RETRY_MS,
    RETRY_MS,
    IntroductionSchedule,
)

SEEDS = ("10.0.0.1:7000", "10.0.0.2:7000")


class IntroductionScheduleTest(unittest.TestCase):
    def setUp(self) -> None:
        self.schedule = IntroductionSchedule(random.Random(1))

    def test_every_new_seed_is_due_immediately(self) -> None:
        self.assertEqual([*SEEDS], self.schedule.due(5, SEEDS))

    def test_a_seed_that_answered_is_due_again_after_one_period(self) -> None:
        self.schedule.due(0, SEEDS)
        for seed in SEEDS:
            self.schedule.answered(0, seed)
        shortest, longest = (INTRODUCTION_MS * factor for factor in JITTER)
        self.assertEqual([], self.schedule.due(int(shortest) - 1, SEEDS))
        self.assertLessEqual(self.schedule.wait_ms(0), longest)
        self.assertEqual([*SEEDS], self.schedule.due(int(longest) + 1, SEEDS))

    def test_a_seed_that_does_not_answer_is_retried_with_exponential_backoff(self) -> None:
        now_ms, delays = 0, []
        self.schedule.due(now_ms, SEEDS[:1])
        for _ in range(6):
            self.schedule.failed(now_ms, SEEDS[0])
            delays.append(self.schedule.wait_ms(now_ms))
            now_ms += int(delays[-1]) + 1
            self.assertEqual([SEEDS[0]], self.schedule.due(now_ms, SEEDS[:1]))
        self.assertLessEqual(delays[0], RETRY_MS * JITTER[1])
        self.assertGreater(delays[-1], delays[0])
        self.assertLessEqual(max(delays), MAX_RETRY_MS * JITTER[1])

    def test_an_answer_resets_the_retry_delay(self) -> None:
        self.schedule.due(0, SEEDS[:1])
        for _ in range(5):
            self.schedule.failed(0, SEEDS[0])
        self.schedule.answered(0, SEEDS[0])
        self.schedule.failed(0, SEEDS[0])
        self.assertLessEqual(self.schedule.wait_ms(0), RETRY_MS * JITTER[1])

    def test_an_added_seed_is_due_immediately_and_a_removed_seed_is_forgotten(self) -> None:
        self.schedule.due(0, SEEDS[:1])
        self.schedule.answered(0, SEEDS[0])
        self.assertEqual([SEEDS[1]], self.schedule.due(1, SEEDS[1:]))
        self.schedule.answered(1, SEEDS[1])
        self.assertEqual([SEEDS[0]], self.schedule.due(2, SEEDS))

    def test_without_seeds_nothing_is_due_for_one_period(self) -> None:
        self.assertEqual([], self.schedule.due(0, ()))
        self.assertEqual(INTRODUCTION_MS, self.schedule.wait_ms(0))


if __name__ == "__main__":
    unittest.main()
