"""The market's choices: room, rules, prices, speeds, gangs and quarantine.."""

from __future__ import annotations

import unittest

from flintfield.placement.interface import Demand, Placement, Resources, Result, Worker
from flintfield.placement.market import Market

LARGE = Resources(32_000, 65_536, 8)


def fleet(count: int, capacity: Resources = LARGE, racks: int = 3) -> dict[str, Worker]:
    """Workers w0, w1, ... with `racks` of them on each rack r0, r1, ..."""
    return {
        f"w{at}": Worker(f"w{at}", f"m{at}", "render", "zone", frozenset({"a"}), f"r{at // racks}", capacity)
        for at in range(count)
    }


def demand(task: str = "job.0.0.0", cpu: int = 6_500, gpu: int = 1, **more: object) -> Demand:
    """A task of that service that takes about a second."""
    fields: dict[str, object] = {
        "service": "render",
        "client": "queue",
        "priority": 0,
        "estimate_ms": 1_000,
        "resources": Resources(cpu, 1_000, gpu),
    }
    return Demand(task=task, **{**fields, **more})  # type: ignore[arg-type]


def start(market: Placement, workers: dict[str, Worker], wanted: Demand, instance: str, now_ms: int) -> None:
    """Order it there, as the dispatcher does."""
    worker = workers[instance]
    worker.used = worker.used.plus(wanted.resources)
    market.note_start(wanted, instance, now_ms)


class RoomAndRules(unittest.TestCase):
    def test_given_capacity_when_filled_then_no_worker_is_ever_over_it(self) -> None:
        market, workers = Market(1), fleet(4)
        placed = 0
        while (instance := market.choose(wanted := demand(f"j{placed}.0.0.0"), workers, 0)) is not None:
            start(market, workers, wanted, instance, 0)
            placed += 1
        self.assertEqual(placed, 16)  # four of 6.5 cores on each of 32
        self.assertTrue(all(worker.used.fits(worker.capacity) for worker in workers.values()))

    def test_given_workers_that_are_not_ready_when_choosing_then_they_are_left_out(self) -> None:
        market, workers = Market(1), fleet(3)
        workers["w0"].ready = workers["w2"].ready = False
        self.assertEqual({market.choose(demand(), workers, 0) for _ in range(20)}, {"w1"})

    def test_given_a_label_when_choosing_then_only_workers_with_it(self) -> None:
        market, workers = Market(1), fleet(3)
        workers["w2"].labels = frozenset({"a", "b"})
        self.assertEqual({market.choose(demand(needs=("b",)), workers, 0) for _ in range(20)}, {"w2"})

    def test_given_anti_affinity_when_held_then_never_more_than_that(self) -> None:
        market, workers = Market(1), fleet(2)
        workers["w0"].held[("job", 0, 0)] = 1
        wanted = demand(at_most=1, group=("job", 0, 0))
        self.assertEqual({market.choose(wanted, workers, 0) for _ in range(20)}, {"w1"})
        workers["w1"].held[("job", 0, 0)] = 1
        self.assertIsNone(market.choose(wanted, workers, 0))


class Gangs(unittest.TestCase):
    def test_given_room_for_a_part_when_placing_a_gang_then_none(self) -> None:
        market, workers = Market(1), fleet(1)
        self.assertIsNone(market.choose_gang([demand(f"g.0.0.{at}") for at in range(5)], workers, 0))

    def test_given_racks_when_together_then_one_rack_where_it_fits(self) -> None:
        market, workers = Market(1), fleet(6, racks=3)
        workers["w0"].used = workers["w1"].used = LARGE
        gang = [demand(f"g.0.0.{at}", together=True) for at in range(6)]
        placed = market.choose_gang(gang, workers, 0)
        assert placed is not None
        self.assertEqual({workers[instance].rack for instance in placed}, {"r1"})


class Trust(unittest.TestCase):
    def test_given_two_failures_of_two_jobs_when_others_succeed_then_quarantine(self) -> None:
        market, workers = Market(1), fleet(6)
        market.tick(0, workers)
        for at in range(2):
            market.note_end(demand(f"ok{at}.0.0.0"), "w1", Result.DONE, 1_000.0, at)
            market.note_end(demand(f"bad{at}.0.0.0"), "w0", Result.FAILED, 10.0, at)
        self.assertFalse(market.trusted("w0", 2))
        self.assertTrue(market.trusted("w1", 2))
        self.assertNotIn("w0", {market.choose(demand(), workers, 2) for _ in range(50)})


if __name__ == "__main__":
    unittest.main()
