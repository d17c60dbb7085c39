"""Shares of each client over the workers that can serve it: Eq. (7), computed by the decision module.

For a client (queue) the market solves max Σ θU(ηζ) − φη with Ση fixed and U = log(1 + x), which gives η =
[θ/(φ+λ) − 1/ζ]⁺. λ is solved for all ready workers of the service (a sample if there are many) and cached
for `LAMBDA_TTL_MS`; a decision computes η only for the workers that can take its task now. `split` and
`shares_at` are those of the program in service.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass

from flintfield.decision.pricing import shares_at
from flintfield.decision.shares import Goods, split

SPEED_WEIGHT = 10.0  # of speed against price; 1, as in the program in service, spreads tasks widely
LAMBDA_TTL_MS = 500  # maximum age of λ; φ and ζ in a share are always current
MAX_CLIENTS = 1_024  # beyond this the oldest entry is dropped


def worth(priority: int) -> float:
    """θ of a queue: 1 for priority 0, 1/2 for 1, 1/3 for 2 and so on; always positive."""
    return 1.0 / (1 + max(0, priority))


def shares_at_lambda(theta: float, lam: float, mean: float, price_speeds: Goods) -> list[float]:
    """η of each worker for a given λ, in units of the equal share."""
    return shares_at(theta, lam, SPEED_WEIGHT * mean, price_speeds)


@dataclass(slots=True)
class _Solution:
    lam: float = math.inf
    mean: float = 1.0
    solved_ms: float = -math.inf


class ShareTable:
    """λ of each client, service and priority."""

    def __init__(self) -> None:
        self._solutions: OrderedDict[tuple[str, str, int], _Solution] = OrderedDict()

    def needs_solving(self, key: tuple[str, str, int], now_ms: int) -> bool:
        """Whether λ of this client, service and priority is unknown or expired."""
        solution = self._solutions.get(key)
        return solution is None or not 0 <= now_ms - solution.solved_ms < LAMBDA_TTL_MS

    def solve(self, key: tuple[str, str, int], price_speeds: Goods, now_ms: int) -> None:
        """Solve for λ over these workers, starting from its previous value."""
        solution = self._solutions.get(key)
        if solution is None:
            if len(self._solutions) >= MAX_CLIENTS:
                self._solutions.popitem(last=False)
            solution = self._solutions[key] = _Solution()
        if price_speeds:
            solution.lam, _ = split(shares_at_lambda, worth(key[2]), price_speeds, solution.lam)
            solution.mean = sum([zeta for _, zeta in price_speeds]) / len(price_speeds)
        solution.solved_ms = now_ms

    def shares(self, key: tuple[str, str, int], price_speeds: Goods) -> list[float]:
        """η of the workers that can take a task now.

        If λ of the whole service gives all of them a zero share, because the better workers are full, the
        problem is solved again over these workers only.
        """
        solution = self._solutions[key]
        theta = worth(key[2])
        eta = (
            shares_at_lambda(theta, solution.lam, solution.mean, price_speeds)
            if solution.lam < math.inf
            else []
        )
        if not any(eta):
            _, eta = split(shares_at_lambda, theta, price_speeds)
        return eta
