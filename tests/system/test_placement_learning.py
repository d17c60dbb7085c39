"""State that the market learns (prices, speeds, trust), and random draws by shares."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from flintfield.placement.health import HealthTable
from flintfield.placement.interface import Demand, Resources, Result, Worker
from flintfield.placement.market import MarketPlacement
from flintfield.placement.prices import RHO, PriceTable
from flintfield.placement.runs import Run, RunTable
from flintfield.placement.shares import ShareTable, worth
from flintfield.placement.speeds import SpeedTable
from flintfield.placement.waiting import WaitingTable

FULL_CAPACITY = Resources(32_000, 65_536, 8)


def worker(name: str, rack: str = "r0", capacity: Resources = FULL_CAPACITY) -> Worker:
    return Worker(name, name, "render", "zone", frozenset({rack}), rack, capacity)


def fleet(count: int) -> dict[str, Worker]:
    return {f"w{index:02d}": worker(f"w{index:02d}", f"r{index // 3}") for index in range(count)}


def demand(task: str, **more: object) -> Demand:
    fields: dict[str, object] = {
        "service": "render",
        "client": "queue",
        "priority": 0,
        "estimate_ms": 1_000,
        "resources": Resources(2_600, 1_000, 0),
    }
    return Demand(task=task, **{**fields, **more})  # type: ignore[arg-type]


class WeightlessEvidence(unittest.TestCase):
    def test_given_evidence_without_weight_when_noted_first_then_it_changes_nothing(self) -> None:
        # Guards against a division by zero: the first failure on a worker of a service where all fail.
        table = SpeedTable()
        table.note_slowness("w", 2.0, 0.0, 0)
        self.assertEqual(1.0, table.zeta.get("w", 1.0))


class Prices(unittest.TestCase):
    def test_given_load_above_rho_when_stepped_then_the_price_rises_and_below_it_falls_to_zero(self) -> None:
        table, target = PriceTable(), worker("w")
        table.step(target, 0)
        target.used = Resources(32_000, 0, 0)
        table.step(target, 1_000)
        self.assertAlmostEqual(table.price("w"), 1.0 - RHO)
        target.used = Resources()
        table.step(target, 2_000)
        self.assertEqual(table.price("w"), 0.0)

    def test_given_several_resources_when_stepped_then_the_scarcest_determines_the_load(self) -> None:
        table, target = PriceTable(), worker("w")
        table.step(target, 0)
        target.used = Resources(8_000, 0, 6)
        table.step(target, 100)
        self.assertAlmostEqual(table.load("w"), 0.75)

    def test_given_no_free_room_ever_seen_when_stepped_then_the_load_is_one(self) -> None:
        table, target = PriceTable(), worker("w")
        target.used = FULL_CAPACITY
        table.step(target, 0)
        self.assertEqual(table.load("w"), 1.0)

    def test_given_a_worker_that_is_not_ready_when_stepped_then_the_price_is_kept(self) -> None:
        table, target = PriceTable(), worker("w")
        target.used = FULL_CAPACITY
        table.step(target, 0)
        table.step(target, 500)
        previous = table.price("w")
        target.ready, target.used = False, Resources()
        table.step(target, 5_000)
        self.assertGreater(previous, 0.0)
        self.assertEqual(table.price("w"), previous)


class Speeds(unittest.TestCase):
    def test_given_completions_when_one_worker_takes_twice_as_long_then_its_zeta_is_lower(self) -> None:
        table = SpeedTable()
        for index in range(30):
            table.note_done("fast", "queue", 1.0, index)
            table.note_done("slow", "queue", 2.0, index)
        self.assertLess(table.zeta["slow"], 0.8)
        self.assertGreater(table.zeta["fast"], 1.2)
        self.assertNotIn("unmeasured", table.zeta)  # defaults to the mean, 1.0

    def test_given_a_client_with_biased_estimates_when_measured_then_no_worker_counts_as_slow(self) -> None:
        table = SpeedTable()
        for index in range(40):
            table.note_done(f"w{index % 4}", "optimist", 5.0, index)
        self.assertTrue(all(0.95 < zeta < 1.05 for zeta in table.zeta.values()))

    def test_given_old_evidence_when_it_decays_then_zeta_returns_to_the_mean(self) -> None:
        table = SpeedTable()
        table.note_slowness("w", 6.5, 4.0, 0)
        previous = table.zeta["w"]
        table.refresh("w", 120_000)
        self.assertLess(previous, 0.5)
        self.assertGreater(table.zeta["w"], 0.95)

    def test_given_a_run_that_does_not_end_when_overdue_then_alarms_at_two_four_and_eight(self) -> None:
        table = RunTable()
        table.add(Run("t", "w", 0, 100.0, 1.0))
        alarms = [now_ms for now_ms in range(0, 2_000, 50) if table.overdue(now_ms)]
        self.assertEqual(alarms, [200, 400, 800])

    def test_given_bad_ends_when_noted_then_each_kind_lowers_zeta(self) -> None:
        for result in (Result.LOST, Result.FAILED, Result.STALLED):
            market = MarketPlacement(1)
            market.note_end(demand("a.0.0.0"), "w", result, 0.0, 0)
            self.assertLess(market.speeds.zeta["w"], 1.0, result)


class Shares(unittest.TestCase):
    def test_worth_is_positive_and_falls_as_the_priority_number_rises(self) -> None:
        worths = [worth(priority) for priority in range(20)]
        self.assertEqual(worths, sorted(worths, reverse=True))
        self.assertGreater(worths[-1], 0.0)

    def test_given_prices_when_solved_then_expensive_and_slow_workers_get_less(self) -> None:
        table, key = ShareTable(), ("queue", "render", 0)
        price_speeds = [(0.0, 1.0), (0.02, 1.0), (0.0, 0.95), (0.0, 1.0)]
        table.solve(key, price_speeds, 0)
        shares = table.shares(key, price_speeds)
        self.assertAlmostEqual(sum(shares), 4.0, delta=0.01)
        self.assertLess(shares[1], shares[0])
        self.assertLess(shares[2], shares[0])

    def test_given_only_workers_of_zero_share_when_computed_then_shares_are_solved_among_them(self) -> None:
        table, key = ShareTable(), ("queue", "render", 0)
        table.solve(key, [(0.0, 1.0)] * 3 + [(0.4, 0.3)], 0)
        self.assertGreater(table.shares(key, [(0.4, 0.3)])[0], 0.0)

    def test_given_room_everywhere_when_one_worker_is_fast_then_it_gets_most_until_it_is_full(self) -> None:
        market, workers = MarketPlacement(3), fleet(4)
        for index in range(40):
            for name in workers:
                ran_ms = 500.0 if name == "w01" else 1_000.0
                market.note_end(demand(f"x{index}.0.0.0"), name, Result.DONE, ran_ms, index)
        chosen = [market.choose(demand(f"y{index}.0.0.0"), workers, 100) for index in range(100)]
        self.assertGreater(chosen.count("w01"), 90)
        workers["w01"].used = FULL_CAPACITY
        chosen = [market.choose(demand(f"z{index}.0.0.0"), workers, 200) for index in range(100)]
        self.assertEqual(set(chosen), {"w00", "w02", "w03"})

    def test_given_the_same_seed_and_calls_then_the_choices_are_the_same(self) -> None:
        def choices() -> list[str | None]:
            market, workers = MarketPlacement(7), fleet(70)
            return [market.choose(demand(f"j{index}.0.0.0"), workers, index) for index in range(50)]

        self.assertEqual(choices(), choices())


class Health(unittest.TestCase):
    def table_with_quarantine(self) -> HealthTable:
        table = HealthTable(random.Random(1))
        for index in range(2):
            table.note_failure("w", "render", f"bad{index}.0.0.0", False, 6, 0)
        return table

    def test_given_failures_of_one_job_when_it_never_succeeded_then_its_workers_stay_trusted(self) -> None:
        table = HealthTable(random.Random(1))
        for index in range(4):
            table.note_failure("w", "render", f"poison.0.0.{index}", False, 6, 0)
        self.assertTrue(table.trusted("w"))

    def test_given_quarantine_when_a_probe_fails_then_the_back_off_grows_and_success_ends_it(self) -> None:
        table = self.table_with_quarantine()
        self.assertFalse(table.trusted("w"))
        self.assertEqual(table.due_for_probe("render", 1_000), [])
        self.assertEqual(table.due_for_probe("render", 2_000), ["w"])
        table.note_start("w", "probe.0.0.0", 100, 2_000)
        self.assertEqual(table.due_for_probe("render", 2_100), [])  # only one probing run at a time
        table.note_failure("w", "render", "probe.0.0.0", False, 6, 2_100)
        self.assertEqual(table.due_for_probe("render", 4_100), [])  # the back-off has doubled
        self.assertEqual(table.due_for_probe("render", 6_000), ["w"])
        table.note_start("w", "again.0.0.0", 100, 6_000)
        table.note_success("w", "render", "again.0.0.0", 6_100)
        self.assertTrue(table.trusted("w"))

    def test_given_a_probe_that_does_not_end_when_it_times_out_then_another_may_be_sent(self) -> None:
        table = self.table_with_quarantine()
        table.note_start("w", "probe.0.0.0", 100, 2_000)
        self.assertEqual(table.due_for_probe("render", 5_000), ["w"])

    def false_quarantines(self, ends_per_s: int) -> int:
        """Quarantines among ten healthy workers in one minute, where one run in twenty fails."""
        generator, table = random.Random(5), HealthTable(random.Random(5))
        for index in range(60 * ends_per_s):
            name, now = f"w{generator.randrange(10)}", index * 1_000 // ends_per_s
            if generator.random() < 0.05:
                table.note_failure(name, "render", f"j{index}.0.0.0", False, 10, now)
            else:
                table.note_success(name, "render", f"j{index}.0.0.0", now)
        return table.quarantines

    def test_given_short_runs_with_a_base_failure_rate_then_few_healthy_workers_are_quarantined(
        self,
    ) -> None:
        self.assertLessEqual(self.false_quarantines(ends_per_s=50), 1)

    def test_given_a_faulty_worker_among_many_short_runs_then_some_failures_quarantine_it(self) -> None:
        table = HealthTable(random.Random(1))
        for index in range(500):
            table.note_success(f"w{index % 10}", "render", f"j{index}.0.0.0", index * 20)
        for index in range(4):
            table.note_failure("w3", "render", f"k{index}.0.0.0", False, 10, 10_000 + index)
        self.assertEqual({"w3"}, table.untrusted("render"))

    @given(st.integers(1, 12), st.integers(0, 1_000))
    @settings(max_examples=60, deadline=None)
    def test_at_most_a_third_of_a_service_is_ever_untrusted(self, count: int, seed: int) -> None:
        generator, table = random.Random(seed), HealthTable(random.Random(seed))
        for index in range(200):
            name = f"w{generator.randrange(count)}"
            table.note_failure(name, "render", f"j{index}.0.0.0", False, count, index)
            table.note_success(name, "render", f"k{index}.0.0.0", index)
            self.assertLessEqual(len(table.untrusted("render")), count // 3)

    def test_given_only_avoided_workers_have_room_when_the_wait_is_over_then_one_is_chosen(self) -> None:
        market, workers = MarketPlacement(1), fleet(2)
        workers["w01"].used = FULL_CAPACITY
        task_demand = demand("t.0.0.0", avoided_instances=frozenset({"w00"}))
        self.assertIsNone(market.choose(task_demand, workers, 0))
        self.assertIsNone(market.choose(task_demand, workers, 1_999))
        self.assertEqual(market.choose(task_demand, workers, 2_000), "w00")

    def test_given_no_other_worker_when_it_is_avoided_then_it_is_chosen_at_once(self) -> None:
        market, workers = MarketPlacement(1), fleet(1)
        self.assertEqual(
            market.choose(demand("t.0.0.0", avoided_instances=frozenset({"w00"})), workers, 0), "w00"
        )

    def test_given_a_full_waiting_table_when_more_tasks_wait_then_the_oldest_is_dropped(self) -> None:
        table = WaitingTable()
        for index in range(5_000):
            table.may_wait(f"t{index}", 1_000.0, 0)
        self.assertFalse(table.may_wait("t4999", 1_000.0, 1_000))
        self.assertTrue(table.may_wait("t0", 1_000.0, 1_000))


class Distance(unittest.TestCase):
    def test_given_data_on_a_rack_when_it_has_room_then_the_task_goes_there_else_to_another(self) -> None:
        for count in (6, 90):  # a group scanned completely; one scanned from a random position
            market, workers = MarketPlacement(1), fleet(count)
            task_demand = demand("t.0.0.0", affinity="r1")
            chosen = {market.choose(task_demand, workers, index) for index in range(30)}
            self.assertLessEqual(chosen, {"w03", "w04", "w05"}, count)
            for name in ("w03", "w04", "w05"):
                workers[name].used = FULL_CAPACITY
            self.assertIsNotNone(market.choose(task_demand, workers, 100))


class Capacity(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.integers(1, 5), st.sampled_from((1, 2, 4)), st.booleans()), max_size=30),
        st.integers(0, 99),
    )
    @settings(max_examples=60, deadline=None)
    def test_gangs_never_exceed_the_capacity_of_a_worker(
        self, jobs: list[tuple[int, int, bool]], seed: int
    ) -> None:
        market, workers = MarketPlacement(seed), fleet(5)
        for index, (width, gpu, together) in enumerate(jobs):
            gang = [
                demand(
                    f"j{index}.0.0.{member}",
                    resources=Resources(6_500, 9_600, gpu),
                    same_rack=together,
                    max_per_worker=2,
                    group=(f"j{index}", 0, 0),
                )
                for member in range(width)
            ]
            placed = market.choose_gang(gang, workers, index * 10)
            if placed is None:
                continue
            for member, name in zip(gang, placed, strict=True):
                target = workers[name]
                target.used = target.used.plus(member.resources)
                target.task_counts[member.group] = target.task_counts.get(member.group, 0) + 1
                market.note_start(member, name, index * 10)
                self.assertTrue(target.used.fits(target.capacity))
                self.assertLessEqual(target.task_counts[member.group], 2)

    def test_given_a_large_full_fleet_when_room_becomes_free_then_the_next_instant_finds_it(self) -> None:
        market, workers = MarketPlacement(1), fleet(90)
        for target in workers.values():
            target.used = FULL_CAPACITY
        self.assertIsNone(market.choose(demand("a.0.0.0"), workers, 0))
        workers["w07"].used = Resources()
        self.assertEqual(market.choose(demand("b.0.0.0"), workers, 1), "w07")


if __name__ == "__main__":
    unittest.main()
