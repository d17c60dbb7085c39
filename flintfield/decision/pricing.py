"""Prices of workers, and the shares by which jobs are drawn: the paper's equations (docs/design.md).

A worker's price rises while the demand for its slots exceeds RHO of its capacity; each job's worker is drawn
by shares from a concave utility that trades speed against price.
"""

from __future__ import annotations

import math

from flintfield.decision.interface import Settings
from flintfield.decision.observations import PROBE_MS, WorkerTracking
from flintfield.decision.records import Worker
from flintfield.decision.shares import Goods

RHO = 0.8  # load factor: fraction of a worker's slots in use above which its price rises
NU = 1.0  # price step per second at an excess demand of one whole worker, in units of the highest worth
ZETA = 1.0  # mean quality times equal share: larger values spread the shares, smaller ones favour speed
COLD_STEPS = 32  # number of steps in which a cold worker's room is assumed to grow
START_MS = 40.0  # a job not started after this time is assumed to wait in its worker's queue


def shares_at(theta: float, lam: float, mean: float, goods: Goods) -> list[float]:
    """Eq. (7) with U = log(1 + x): η = [θ/(φ+λ) − 1/ζ]⁺ for pairs of φ and ζ, in units of the equal share."""
    if theta <= 0:
        return [1.0] * len(goods)
    unit, least = mean / ZETA, 1e-12 - lam
    return [eta if (eta := theta / ((phi if phi > least else least) + lam) - unit / zeta) > 0.0 else 0.0
            for phi, zeta in goods]


class Pricing(WorkerTracking):
    """The free capacity and the price of each worker."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed, shares_at)

    def _assess(self, worker: Worker) -> tuple[float, bool, bool, bool, float]:
        """A worker's state for the fleet: the room for jobs that would start at once, whether it is silent,
        whether it is usable, whether its price may change, and when one of these changes without an event."""
        now, later, most, silent, usable = self.now, math.inf, worker.most, False, True
        if closed := now < worker.full_until:
            later = worker.full_until
        if worker.missed or worker.down:
            silent = self.is_silent(worker)
            if worker.missed and self.asks and not silent:
                later = min(later, math.nextafter(worker.word + PROBE_MS, math.inf))
        if worker.pending:
            waits = next(iter(worker.pending)).at + START_MS
            if now > waits:  # a job is waiting in the worker's queue
                closed = True
            else:
                later = min(later, math.nextafter(waits, math.inf))
        if worker.born > 0.0 and worker.is_cold(rules := self.settings.rules, now):
            later, usable = min(later, worker.warmer_at(rules, now, COLD_STEPS)), False
            most *= worker.warmth(rules, now, COLD_STEPS)
        for until in worker.shunned.values():
            later = until if now < until < later else later
        if silent or not worker.open:
            closed, usable = True, False
        room = -math.inf if closed else (most if most > 1.0 else 1.0) - worker.others - worker.mine
        return room, silent, usable, worker.price > 0.0 or self._demand(worker) > RHO, later

    def _demand(self, worker: Worker) -> float:
        """Slot demand u: 1 after a FULL outcome or as long as no free slot was ever seen."""
        if self.now < worker.full_until or worker.most <= 0:
            return 1.0
        return min(1.0, (worker.others + worker.mine) / worker.most)

    def _prices(self, workers: list[Worker]) -> list[float]:
        """φ ← [φ − ν(ρ − u)]⁺, up to the top price; without recent contact the price is kept."""
        step, top = NU * min(1.0, self.passed / 1000.0), self.top_price
        since = self.now - 3 * self._probe_ms()
        return [min(top, max(0.0, w.price - step * (RHO - self._demand(w)))) if w.word > since else w.price
                for w in workers]
