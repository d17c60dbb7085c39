"""The market over the whole fleet: prices by excess demand, shares by Eq. (7), homes by demand.

Source: the same paper as `flintfield/decision/pricing.py` (docs/design.md), with the planner as the only
seller of every worker's slots. Homes are an addition to the paper. With many forwarders, each would use every
worker, learn only from delayed reports what the others run there, and queue behind them. Each worker is
therefore assigned to one forwarder, which knows from its own records what runs there; other forwarders use
the worker only when their homes are full.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

RHO = 0.8  # fraction of a worker's slots above which its price rises, as in the decision module
NU = 1.0  # price step per second of excess demand of one whole worker, in units of the highest worth
MOVE_THRESHOLD = 1.0  # a home moves to a forwarder whose slot deficit is at least this many mean homes


def step_price(price: float, elapsed_ms: float, demand: float, top: float) -> float:
    """φ(k+1) = [φ(k) − ν(ρ − u)]⁺, limited to `top`; `demand` is u as a fraction of the worker's slots."""
    step = NU * min(1.0, elapsed_ms / 1_000.0)
    return min(top, max(0.0, price - step * (RHO - demand)))


def shares(theta: float, prices: list[float], zetas: list[float]) -> list[float]:
    """Eq. (7) with U = log(1 + x): η = [θ/(φ+λ) − 1/ζ]⁺ with Ση = 1, ζ in units of the mean quality; λ by
    bisection. Equal shares if θ or the mean quality is not positive."""
    count = len(prices)
    if not count:
        return []
    mean = sum(zetas) / count
    inverse = [mean / z if z > 0 else 1e9 for z in zetas]
    if theta <= 0 or mean <= 0:
        return [1.0 / count] * count
    lambda_bounds = [theta / (1 + i) - p for p, i in zip(prices, inverse, strict=True)]
    low, high, eta = max(min(lambda_bounds), -min(prices)), max(lambda_bounds), [1.0] * count
    for _ in range(40):
        lam = (low + high) / 2
        eta = [max(0.0, theta / max(p + lam, 1e-12) - i) for p, i in zip(prices, inverse, strict=True)]
        excess = sum(eta) - count
        if abs(excess) < 1e-3:
            break
        low, high = (lam, high) if excess > 0 else (low, lam)
    total = sum(eta)
    return [e / total for e in eta] if total > 0 else [1.0 / count] * count


def assign_homes(homes: dict[int, str], slots: Mapping[int, float], demand: Mapping[str, float],
                 zone_of_forwarder: Mapping[str, int], zone_of_worker: Mapping[int, int], moves: int) -> None:
    """Assign each worker of `slots` to one forwarder, in proportion to `demand`; reassign at most `moves`.

    `homes` is the state kept between steps: an assignment stays while the forwarder's number of slots is
    about right, since a forwarder has data on the workers it has used. New workers and those of forwarders
    that are gone are assigned first. O(workers + moves x forwarders).
    """
    for worker in [w for w, name in homes.items() if w not in slots or name not in demand]:
        del homes[worker]
    total, wanted = sum(slots.values()), sum(demand.values())
    if not demand or total <= 0 or wanted <= 0:
        return
    deficit = {name: total * part / wanted for name, part in demand.items()}  # slots due, less those assigned
    for worker, name in homes.items():
        deficit[name] -= slots[worker]
    zones: dict[int, list[str]] = {}
    for name in deficit:
        zones.setdefault(zone_of_forwarder.get(name, 0), []).append(name)
    for worker in sorted(slots.keys() - homes.keys()):
        name = _largest_deficit(deficit, zones, zone_of_worker.get(worker, 0))
        homes[worker] = name
        deficit[name] -= slots[worker]
    mean = total / len(slots)
    homes_of: dict[str, list[int]] = {}
    for worker, name in homes.items():
        homes_of.setdefault(name, []).append(worker)
    for _ in range(moves):
        receiver, donor = (max(deficit, key=lambda n: (deficit[n], n)),
                           min(deficit, key=lambda n: (deficit[n], n)))
        if deficit[receiver] < MOVE_THRESHOLD * mean or deficit[donor] > -mean / 2 or not homes_of.get(donor):
            break
        receiver_zone = zone_of_forwarder.get(receiver, 0)
        worker = min(homes_of[donor],
                     key=lambda w: (zone_of_worker.get(w, 0) != receiver_zone, abs(slots[w] - mean), w))
        homes_of[donor].remove(worker)
        homes_of.setdefault(receiver, []).append(worker)
        homes[worker] = receiver
        deficit[donor] += slots[worker]
        deficit[receiver] -= slots[worker]


def _largest_deficit(deficit: Mapping[str, float], zones: Mapping[int, list[str]], zone: int) -> str:
    """The forwarder with the largest deficit, preferring the worker's zone if one there has any."""
    local: Iterable[str] = zones.get(zone, ())
    best = max(local, key=lambda n: (deficit[n], n), default=None)
    if best is not None and deficit[best] > 0:
        return best
    return max(deficit, key=lambda n: (deficit[n], n))
