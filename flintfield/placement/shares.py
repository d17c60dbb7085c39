"""Shares of each client over the workers that could serve it: Eq. (7) on the decision module.

For a client (queue) the market solves max Σ θU(ηζ) − φη with Ση fixed and U = log(1 + x), which gives η =
[θ/(φ+λ) − 1/ζ]⁺. λ is found on all ready workers of the service (a sample of a large one) and kept for
`KEEP_MS`; a decision computes η only for the workers that could take its task now. `split` and `shares_at`
are those of the program in service.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass

from flintfield.decision.pricing import shares_at
from flintfield.decision.shares import Goods, split

FAVOUR = 10.0  # how much speed counts against price: 1 as in the program in service, which spreads wide
KEEP_MS = 500  # λ may be so old; φ and ζ in a share are always those of now
MOST_CLIENTS = 1_024  # the eldest is dropped


def worth(priority: int) -> float:
    """θ of a queue: 1 for priority 0, 1/2 for 1, 1/3 for 2 and so on; always positive."""
    return 1.0 / (1 + max(0, priority))


def fill(theta: float, lam: float, mean: float, goods: Goods) -> list[float]:
    """η of each worker at this λ, in units of the equal share."""
    return shares_at(theta, lam, FAVOUR * mean, goods)


@dataclass(slots=True)
class _Solution:
    lam: float = math.inf
    mean: float = 1.0
    solved_ms: float = -math.inf


class ShareTable:
    """λ of each client and service."""

    def __init__(self) -> None:
        self._solutions: OrderedDict[tuple[str, str, int], _Solution] = OrderedDict()

    def needs_solving(self, key: tuple[str, str, int], now_ms: int) -> bool:
        """Whether λ of this client, service and priority is unknown or old."""
        solution = self._solutions.get(key)
        return solution is None or not 0 <= now_ms - solution.solved_ms < KEEP_MS

    def solve(self, key: tuple[str, str, int], goods: Goods, now_ms: int) -> None:
        """Find λ on these workers; the last one is the first guess."""
        solution = self._solutions.get(key)
        if solution is None:
            if len(self._solutions) >= MOST_CLIENTS:
                self._solutions.popitem(last=False)
            solution = self._solutions[key] = _Solution()
        if goods:
            solution.lam, _ = split(fill, worth(key[2]), goods, solution.lam)
            solution.mean = sum([zeta for _, zeta in goods]) / len(goods)
        solution.solved_ms = now_ms

    def shares(self, key: tuple[str, str, int], goods: Goods) -> list[float]:
        """η of the workers that could take a task now.

        Where λ of the whole service leaves them nothing, because the better ones are full, the problem is
        solved anew among them.
        """
        solution = self._solutions[key]
        theta = worth(key[2])
        eta = fill(theta, solution.lam, solution.mean, goods) if solution.lam < math.inf else []
        if not any(eta):
            _, eta = split(fill, theta, goods)
        return eta
