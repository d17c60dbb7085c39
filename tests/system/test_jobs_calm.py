"""Random jobs without faults: no gang member ends alone, no rule is violated and every job ends."""

from __future__ import annotations

import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from .jobs_judge import Judge
from .test_jobs_faults import JOBS, FAULT_PERIOD_MS, FaultScenario

FAULT_FREE_ENDS = {"done", "failed", "broken", "stopped", ""}


class FaultFreeScenarios(unittest.TestCase):
    """Random jobs without faults."""

    @settings(
        max_examples=10,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        derandomize=True,
        database=None,
    )
    @given(st.integers(0, 1_000_000))
    def test_no_gang_member_ends_alone_and_every_job_ends(self, seed: int) -> None:
        day = FaultScenario(seed)
        world, rng = day.world, day.rng
        world.run(1_200)
        for _ in range(JOBS):
            world.after(rng.uniform(0, FAULT_PERIOD_MS), day.submit)
        for _ in range(30):
            world.after(rng.uniform(300, FAULT_PERIOD_MS + 20_000), day.ask)
        world.run(FAULT_PERIOD_MS + 40_000)
        self.assertEqual(Judge(world).check(), [])
        self.assertEqual(day.unfinished(), [])
        self.assertLessEqual({seen.how for seen in world.seen}, FAULT_FREE_ENDS)
        still = [seen for seen in world.seen if seen.end is None and seen.task[:16] in world.cancelled_at]
        self.assertEqual(still, [])


if __name__ == "__main__":
    unittest.main()
