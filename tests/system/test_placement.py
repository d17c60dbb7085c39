"""Placement decisions of the market: capacity, hard constraints, gangs and quarantine."""

from __future__ import annotations

import unittest

from flintfield.placement.interface import Demand, Placement, Resources, Result, Worker
from flintfield.placement.market import MarketPlacement

LARGE = Resources(32_000, 65_536, 8)


def fleet(count: int, capacity: Resources = LARGE, per_rack: int = 3) -> dict[str, Worker]:
    """Workers w0, w1, ... with `per_rack` of them on each rack r0, r1, ..."""
    return {
        f"w{index}": Worker(
            f"w{index}", f"m{index}", "render", "zone", frozenset({"a"}), f"r{index // per_rack}", capacity
        )
        for index in range(count)
    }


def demand(task: str = "job.0.0.0", cpu: int = 6_500, gpu: int = 1, **more: object) -> Demand:
    """A task of the service `render` with an estimate of one second."""
    fields: dict[str, object] = {
        "service": "render",
        "client": "queue",
        "priority": 0,
        "estimate_ms": 1_000,
        "resources": Resources(cpu, 1_000, gpu),
    }
    return Demand(task=task, **{**fields, **more})  # type: ignore[arg-type]


def start(
    market: Placement, workers: dict[str, Worker], task_demand: Demand, instance: str, now_ms: int
) -> None:
    """Order the task on the instance, as the dispatcher does."""
    worker = workers[instance]
    worker.used = worker.used.plus(task_demand.resources)
    market.note_start(task_demand, instance, now_ms)


class HardConstraints(unittest.TestCase):
    def test_given_capacity_when_filled_then_no_worker_exceeds_it(self) -> None:
        market, workers = MarketPlacement(1), fleet(4)
        placed = 0
        while (instance := market.choose(task_demand := demand(f"j{placed}.0.0.0"), workers, 0)) is not None:
            start(market, workers, task_demand, instance, 0)
            placed += 1
        self.assertEqual(placed, 16)  # four tasks of 6.5 cores on each worker of 32 cores
        self.assertTrue(all(worker.used.fits(worker.capacity) for worker in workers.values()))

    def test_given_workers_that_are_not_ready_when_choosing_then_they_are_left_out(self) -> None:
        market, workers = MarketPlacement(1), fleet(3)
        workers["w0"].ready = workers["w2"].ready = False
        self.assertEqual({market.choose(demand(), workers, 0) for _ in range(20)}, {"w1"})

    def test_given_a_required_label_when_choosing_then_only_workers_with_it_are_chosen(self) -> None:
        market, workers = MarketPlacement(1), fleet(3)
        workers["w2"].labels = frozenset({"a", "b"})
        self.assertEqual({market.choose(demand(needs=("b",)), workers, 0) for _ in range(20)}, {"w2"})

    def test_given_anti_affinity_when_a_worker_is_at_the_limit_then_it_is_not_chosen(self) -> None:
        market, workers = MarketPlacement(1), fleet(2)
        workers["w0"].task_counts[("job", 0, 0)] = 1
        task_demand = demand(max_per_worker=1, group=("job", 0, 0))
        self.assertEqual({market.choose(task_demand, workers, 0) for _ in range(20)}, {"w1"})
        workers["w1"].task_counts[("job", 0, 0)] = 1
        self.assertIsNone(market.choose(task_demand, workers, 0))


class Gangs(unittest.TestCase):
    def test_given_room_for_some_members_when_placing_a_gang_then_none_is_placed(self) -> None:
        market, workers = MarketPlacement(1), fleet(1)
        self.assertIsNone(market.choose_gang([demand(f"g.0.0.{index}") for index in range(5)], workers, 0))

    def test_given_racks_when_together_then_the_gang_is_placed_on_one_rack_with_room(self) -> None:
        market, workers = MarketPlacement(1), fleet(6, per_rack=3)
        workers["w0"].used = workers["w1"].used = LARGE
        gang = [demand(f"g.0.0.{index}", same_rack=True) for index in range(6)]
        placed = market.choose_gang(gang, workers, 0)
        assert placed is not None
        self.assertEqual({workers[instance].rack for instance in placed}, {"r1"})


class Trust(unittest.TestCase):
    def test_given_failures_of_two_jobs_when_others_succeed_then_the_worker_is_quarantined(self) -> None:
        market, workers = MarketPlacement(1), fleet(6)
        market.tick(0, workers)
        for index in range(2):
            market.note_end(demand(f"ok{index}.0.0.0"), "w1", Result.DONE, 1_000.0, index)
            market.note_end(demand(f"bad{index}.0.0.0"), "w0", Result.FAILED, 10.0, index)
        self.assertFalse(market.is_trusted("w0", 2))
        self.assertTrue(market.is_trusted("w1", 2))
        self.assertNotIn("w0", {market.choose(demand(), workers, 2) for _ in range(50)})


if __name__ == "__main__":
    unittest.main()
