"""What a decision and a tick cost, by the size of the fleet.

python -m benchmarks.placement_cost
"""

from __future__ import annotations

import statistics
import time

from flintfield.placement.interface import Demand, Resources, Worker
from flintfield.placement.market import MarketPlacement

FLEETS = (6, 65, 1_400)
DECISIONS = 3_000
CAPACITY = Resources(32_000, 65_536, 8)
TASK = Resources(2_600, 3_700, 0)


def fleet(count: int, load: float) -> dict[str, Worker]:
    """Workers of one service, filled unevenly to such a part in the mean."""
    workers = {}
    for at in range(count):
        part = min(1.0, load * (0.5 + at % 5 / 4))
        used = Resources(int(CAPACITY.cpu * part), int(CAPACITY.memory_mb * part), 0)
        name = f"w{at}"
        workers[name] = Worker(name, name, "service", "zone", frozenset({"a"}), f"r{at // 3}", CAPACITY, used)
    return workers


def measure(count: int, load: float) -> str:
    """Medians and 99th percentiles in microseconds: choose, choose_gang of four, tick."""
    market, workers = MarketPlacement(1), fleet(count, load)
    chosen, gangs, ticks = list[float](), list[float](), list[float]()
    for at in range(DECISIONS):
        now_ms = 20 * at
        if at % 5 == 0:
            began = time.perf_counter()
            market.tick(now_ms, workers)
            ticks.append(time.perf_counter() - began)
        demand = Demand(f"j{at}.0.0.0", "service", f"queue{at % 4}", at % 3, TASK, 2_000)
        began = time.perf_counter()
        market.choose(demand, workers, now_ms)
        chosen.append(time.perf_counter() - began)
        if at % 10 == 0:
            gang = [
                Demand(f"g{at}.0.0.{member}", "service", "queue0", 0, TASK, 2_000, same_rack=True)
                for member in range(4)
            ]
            began = time.perf_counter()
            market.choose_gang(gang, workers, now_ms)
            gangs.append(time.perf_counter() - began)
    parts = [
        f"{1e6 * statistics.median(found):7.1f} {1e6 * sorted(found)[int(0.99 * len(found))]:7.1f}"
        for found in (chosen, gangs, ticks)
    ]
    return f"{count:6d} {load:5.2f}   " + "   ".join(parts)


def main() -> None:
    """Print a table."""
    print("     n  load   choose us, p99      gang of 4, p99    tick us, p99")
    for count in FLEETS:
        for load in (0.1, 0.6, 1.0, 2.0):
            print(measure(count, load), flush=True)


if __name__ == "__main__":
    main()
