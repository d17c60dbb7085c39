"""Shares of one kind of job over its eligible workers, updated incrementally and drawn from in O(log n).

Theory of operation. The shares of eq. (7) are η = [θ/(φ+λ) − 1/ζ]⁺ in units of the equal share, with the λ
for which they sum to the number of workers. The formula itself is supplied by the policy (`Fill`). For a
given λ each share depends on its own worker alone: when a worker fills up, frees a slot or changes its price,
only its leaf in a sum tree is updated. λ is recomputed over all workers (`split`) only when it is out of
date: when the sum of the shares differs from the number of workers by more than `MAX_SUM_ERROR`, when that
number has changed by more than `MAX_COUNT_CHANGE`, or after `MAX_LAMBDA_AGE_MS`.

Error of a draw: all shares move in the same direction with λ, so the distribution is within `MAX_SUM_ERROR`
in total variation of that at the exact λ; the mean of ζ, which is constant between recomputations, adds its
change.

Rejected alternatives: an alias table (a draw in O(1), but any change costs O(n)); a static table with
rejection (loops when the fleet is full); a Fenwick tree (its sums drift with the order of changes, so that a
restored state would draw differently; here inner nodes are always computed from the leaves, whatever the
history).
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Sequence
from operator import add

from flintfield.decision.records import Worker

Goods = Sequence[tuple[float, float]]  # price and quality of each worker
Fill = Callable[[float, float, float, Goods], list[float]]  # (θ, λ, mean quality, goods): the shares
Order = tuple[bool, int | None, float, float, int]
"""A kind of job: whether only near workers are eligible, the workers' kind or None, θ, slots, and the class
for which workers that it avoids are excluded, or -1."""

MAX_SUM_ERROR = 0.05
MAX_COUNT_CHANGE = 1 / 8
MAX_LAMBDA_AGE_MS = 1_000.0
SUM_TOLERANCE = 1e-3  # relative tolerance of the sum after `split`
MIN_WEIGHT = 1e-12  # weight of a worker whose share is 0: it is drawn only if no other is left
MAX_ITERATIONS = 60
SPARSE_FACTOR = 16  # if members × this is below the tree's size, leaves are set one by one
MAX_EXCLUDED = 32  # rejected draws before all workers are evaluated


def split(fill: Fill, theta: float, goods: Goods, hint: float = math.inf) -> tuple[float, list[float]]:
    """λ and the shares, which sum to their number within `SUM_TOLERANCE`; `hint` is an approximate λ.

    Without a hint the initial guess is exact if all prices are equal and no share is 0. The sum decreases in
    λ, and 1 / (sum + n) is nearly linear in λ, so the secant method is applied to it, bracketed by bisection.
    """
    n, mean = len(goods), sum([z for _, z in goods]) / len(goods)
    pole = low = -min(goods)[0]  # the sum is unbounded there
    high, lam = math.inf, hint
    if not pole < lam < math.inf:
        level = sum([p for p, _ in goods]) / n
        lam = max(theta * n / (n + mean * sum([1 / z for _, z in goods])) - level, pole + theta / 16)
    before: tuple[float, float] | None = None
    for _ in range(MAX_ITERATIONS):
        eta = fill(theta, lam, mean, goods)
        total = sum(eta)
        if abs(total - n) <= SUM_TOLERANCE * n:
            break
        low, high = (lam, high) if total > n else (low, lam)
        line = 1 / (total + n)
        if before is None or line == before[1]:
            guess = pole + (lam - pole) * (total + n) / (2 * n)
        else:
            guess = lam + (1 / (2 * n) - line) * (lam - before[0]) / (line - before[1])
        before = lam, line
        if not low < guess < high:
            guess = (low + high) / 2 if high < math.inf else pole + 2 * (lam - pole)
        lam = guess
    return lam, eta


def eligible(order: Order, workers: Iterable[Worker]) -> list[Worker]:
    """The workers to which such a job may be sent: they have room at a price that the job can pay."""
    near, kind, theta, slots, avoided_class = order
    floor = slots - 0.5
    return [w for w in workers if w.room >= floor and w.price <= theta and (w.near or not near)
            and (kind is None or w.entry.kind == kind) and avoided_class not in w.avoided]


def prices_and_qualities(workers: Iterable[Worker], pace: float) -> list[tuple[float, float]]:
    """φ and ζ of workers; `pace` is assumed for those that were not measured."""
    return [(w.price, w.zeta or w.health / pace) for w in workers]


def round_down_slots(slots: float) -> float:
    """Slots rounded down to one of four steps per power of two, to keep the number of tables small."""
    part, power = math.frexp(slots)
    return math.ldexp(math.floor(part * 8) / 8, power)


def tree_size(positions: int) -> int:
    """The size of a tree with at least this many positions: a power of two."""
    return 1 << max(0, positions - 1).bit_length()


class SumTree:
    """Weights by position, with their sum and the lookup of a position by cumulative weight."""

    __slots__ = ("_sums", "size")

    def __init__(self, size: int) -> None:
        """`size`: the number of positions; a power of two."""
        self.size = size
        self._sums = [0.0] * (2 * size)  # node i has the children 2i and 2i + 1; leaves are the second half

    @property
    def total(self) -> float:
        """The sum of all weights."""
        return self._sums[1]

    def weight(self, position: int) -> float:
        """The weight of a position."""
        return self._sums[self.size + position]

    def set(self, position: int, weight: float) -> None:
        """Set one weight: O(log n)."""
        sums, node = self._sums, self.size + position
        if sums[node] == weight:
            return
        sums[node] = weight
        while node > 1:
            node >>= 1
            sums[node] = sums[2 * node] + sums[2 * node + 1]

    def load(self, weights: list[float]) -> None:
        """Set all weights: O(n)."""
        sums, size = self._sums, self.size
        sums[size:] = weights
        while size > 1:
            sums[size // 2:size] = map(add, sums[size:2 * size:2], sums[size + 1:2 * size:2])
            size //= 2

    def find(self, part: float) -> int:
        """The position at which the cumulative weight exceeds `part`; never one of weight 0 unless all
        are."""
        sums, node, size = self._sums, 1, self.size
        while node < size:
            node *= 2
            left = sums[node]
            if part >= left and sums[node + 1] > 0.0:
                part -= left
                node += 1
        return node - size


class Shares:
    """The shares of one kind of job; the fleet reports which workers have changed."""

    __slots__ = ("floor", "lam", "mean", "members", "order", "pace", "seen", "solved", "solved_at", "tree",
                 "used_at")

    def __init__(self, order: Order) -> None:
        self.order = order
        self.floor = order[3] - 0.5
        self.members: dict[int, Worker] = {}  # eligible workers by slot
        self.lam, self.mean, self.pace = math.inf, 1.0, 1.0  # as of the last `solve`
        self.solved, self.solved_at = -1, -math.inf  # number of members at the last `solve`, and its time
        self.used_at = -math.inf
        self.seen = -1  # position in the fleet's log up to which it was read; -1: not built yet
        self.tree = SumTree(1)

    def is_outdated(self, now: float) -> bool:
        """Whether λ is out of date."""
        count, solved = len(self.members), self.solved
        return (abs(self.tree.total - count) > MAX_SUM_ERROR * count
                or abs(count - solved) > MAX_COUNT_CHANGE * solved
                or now - self.solved_at > MAX_LAMBDA_AGE_MS)

    def update(self, fill: Fill, slots: Iterable[int], by_slot: Sequence[Worker | None]) -> None:
        """Update the shares of the workers in these slots, which have changed or were removed."""
        members, tree = self.members, self.tree
        changed = eligible(self.order, [w for slot in slots if (w := by_slot[slot]) is not None])
        weights = {w.slot: w for w in changed}
        for slot in slots:
            if slot not in weights and members.pop(slot, None) is not None:
                tree.set(slot, 0.0)
        members.update(weights)
        eta = fill(self.order[2], self.lam, self.mean, prices_and_qualities(changed, self.pace))
        for slot, share in zip(weights, eta, strict=True):
            tree.set(slot, share if share > MIN_WEIGHT else MIN_WEIGHT)

    def rebuild(self, fill: Fill, workers: Iterable[Worker], size: int) -> None:
        """Rebuild the table from all workers, with the current λ."""
        self.members = {w.slot: w for w in eligible(self.order, workers)}
        self.tree = SumTree(size)
        eta = fill(self.order[2], self.lam, self.mean, prices_and_qualities(self.members.values(), self.pace))
        self._load(list(self.members), eta)

    def solve(self, fill: Fill, now: float, pace: float) -> None:
        """Recompute λ and the shares of the members."""
        slots = sorted(self.members)  # so that sums do not depend on the order of arrival
        self.pace, self.solved, self.solved_at = pace, len(slots), now
        if slots:
            goods = prices_and_qualities(map(self.members.__getitem__, slots), pace)
            self.mean = sum([z for _, z in goods]) / len(goods)
            self.lam, eta = split(fill, self.order[2], goods, self.lam)
            self._load(slots, eta)

    def _load(self, slots: list[int], eta: list[float]) -> None:
        tree = self.tree
        if len(slots) * SPARSE_FACTOR < tree.size:
            for slot, share in zip(slots, eta, strict=True):
                tree.set(slot, share if share > MIN_WEIGHT else MIN_WEIGHT)
            return
        weights = [0.0] * tree.size
        for slot, share in zip(slots, eta, strict=True):
            weights[slot] = share if share > MIN_WEIGHT else MIN_WEIGHT
        tree.load(weights)

    def draw(self, generator: random.Random, by_slot: Sequence[Worker | None],
             allowed: Callable[[Worker], bool]) -> tuple[Worker | None, bool]:
        """Draw a worker by its share among those allowed, or None; and whether the search was cut short.

        A worker that is not allowed is excluded and the draw repeated, which equals a draw among the others.
        Once their sum is off by more than `MAX_SUM_ERROR`, or after `MAX_EXCLUDED` exclusions, the search is
        cut short and the caller must evaluate all members.
        """
        tree, left_out, left = self.tree, list[tuple[int, float]](), len(self.members)
        try:
            while left > 0:
                if left_out and (abs(tree.total - left) > MAX_SUM_ERROR * left
                                 or len(left_out) >= MAX_EXCLUDED):
                    return None, True
                slot = tree.find(generator.random() * tree.total)
                worker = by_slot[slot]
                if worker is not None and allowed(worker):
                    return worker, False
                left_out.append((slot, tree.weight(slot)))
                tree.set(slot, 0.0)
                left -= 1
        finally:
            for slot, weight in left_out:
                tree.set(slot, weight)
        return None, False
