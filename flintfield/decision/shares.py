"""Shares of one sort of job over the workers that may take it, kept up by changes and drawn in O(log n).

Theory of operation. Eq. (7)'s shares are η = [θ/(φ+λ) − 1/ζ]⁺ in units of the equal share, with one λ for
which they sum to the number of workers. The formula itself is the policy's (`Fill`). Given λ each share is
its own worker's affair: when a worker fills up, frees a slot or changes its price, its leaf in a sum tree is
set anew and the rest stands. λ is found anew by a walk over all (`split`) only when it has become wrong:
when the shares' sum is off the number of workers by `OFF`, when that number has moved by `MOVED`, or after
`KEEP_MS`.

How far a draw may be off: shares move alike with λ, so the distribution drawn from is at most `OFF` in total
variation from that at the right λ; the mean of ζ, which is held between walks, adds what it has moved.

Weighed and rejected: an alias table (a draw in O(1), but any change costs O(n)); a static table with
rejection (a full fleet makes it loop); a Fenwick tree (its sums drift with the order of changes, so that a
restored state would not draw the same; here a leaf's ancestors are summed from the leaves, whatever the
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
"""A sort of job: near workers alone?, their kind or None, θ, slots, class whose shunners are left out or
-1."""

OFF = 0.05
MOVED = 1 / 8
KEEP_MS = 1_000.0
EXACT = 1e-3  # how far the sum may be off after a walk, as a part
LEAST = 1e-12  # the weight of a worker whose share is 0: it is drawn where nobody else is left
MOST_STEPS = 60
FEW = 16  # members of which there are fewer than such a part of a tree are set one by one
MOST_TRIES = 32  # workers drawn in vain before all are looked at


def split(fill: Fill, theta: float, goods: Goods, hint: float = math.inf) -> tuple[float, list[float]]:
    """λ and the shares, which sum to their number within `EXACT`; `hint` is a λ that may be near.

    Without a hint the first guess is right where all prices are equal and no share is 0. The sum falls as λ
    grows, and 1 / (sum + n) is nearly a line in λ: so secants of that, kept in a bracket by halving.
    """
    n, mean = len(goods), sum([z for _, z in goods]) / len(goods)
    pole = low = -min(goods)[0]  # the sum grows without bound there
    high, lam = math.inf, hint
    if not pole < lam < math.inf:
        level = sum([p for p, _ in goods]) / n
        lam = max(theta * n / (n + mean * sum([1 / z for _, z in goods])) - level, pole + theta / 16)
    before: tuple[float, float] | None = None
    for _ in range(MOST_STEPS):
        eta = fill(theta, lam, mean, goods)
        total = sum(eta)
        if abs(total - n) <= EXACT * n:
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


def able(order: Order, workers: Iterable[Worker]) -> list[Worker]:
    """Those to which such a job may be sent: they have the room, and the job can pay them."""
    near, kind, theta, slots, shy = order
    floor = slots - 0.5
    return [w for w in workers if w.room >= floor and w.price <= theta and (w.near or not near)
            and (kind is None or w.entry.kind == kind) and shy not in w.avoided]


def goods_of(workers: Iterable[Worker], pace: float) -> list[tuple[float, float]]:
    """φ and ζ of workers; the unmeasured take the pace given."""
    return [(w.price, w.zeta or w.health / pace) for w in workers]


def step_down(slots: float) -> float:
    """Slots rounded down to one of four steps to each power of two: jobs of odd sizes make few tables."""
    part, power = math.frexp(slots)
    return math.ldexp(math.floor(part * 8) / 8, power)


def size_for(positions: int) -> int:
    """The size of a tree with so many positions."""
    return 1 << max(0, positions - 1).bit_length()


class SumTree:
    """Weights by position, their sum, and the position at which a part of the sum falls."""

    __slots__ = ("_sums", "size")

    def __init__(self, size: int) -> None:
        """`size`: how many positions; a power of two."""
        self.size = size
        self._sums = [0.0] * (2 * size)  # of node i the children are 2i and 2i + 1; leaves are the last half

    @property
    def total(self) -> float:
        """The sum of all weights."""
        return self._sums[1]

    def weight(self, position: int) -> float:
        """The weight there."""
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
        """The position at which so much of the sum is reached; never one of weight 0 while there are
        others."""
        sums, node, size = self._sums, 1, self.size
        while node < size:
            node *= 2
            left = sums[node]
            if part >= left and sums[node + 1] > 0.0:
                part -= left
                node += 1
        return node - size


class Shares:
    """The shares of one sort of job; the fleet tells which workers have changed."""

    __slots__ = ("floor", "lam", "mean", "members", "order", "pace", "seen", "solved", "solved_at", "tree",
                 "used_at")

    def __init__(self, order: Order) -> None:
        self.order = order
        self.floor = order[3] - 0.5
        self.members: dict[int, Worker] = {}  # by slot, those that may take such a job
        self.lam, self.mean, self.pace = math.inf, 1.0, 1.0  # as of the last walk
        self.solved, self.solved_at = -1, -math.inf  # how many workers there were at it, and when it was
        self.used_at = -math.inf
        self.seen = -1  # how far we have read in the fleet's log; -1: nothing of it counts
        self.tree = SumTree(1)

    def is_off(self, now: float) -> bool:
        """Whether λ has become wrong."""
        count, solved = len(self.members), self.solved
        return (abs(self.tree.total - count) > OFF * count or abs(count - solved) > MOVED * solved
                or now - self.solved_at > KEEP_MS)

    def update(self, fill: Fill, slots: Iterable[int], by_slot: Sequence[Worker | None]) -> None:
        """The workers of these slots have changed, or have left them."""
        members, tree = self.members, self.tree
        changed = able(self.order, [w for slot in slots if (w := by_slot[slot]) is not None])
        weights = {w.slot: w for w in changed}
        for slot in slots:
            if slot not in weights and members.pop(slot, None) is not None:
                tree.set(slot, 0.0)
        members.update(weights)
        eta = fill(self.order[2], self.lam, self.mean, goods_of(changed, self.pace))
        for slot, share in zip(weights, eta, strict=True):
            tree.set(slot, share if share > LEAST else LEAST)

    def walk(self, fill: Fill, workers: Iterable[Worker], size: int) -> None:
        """Look at all workers anew, with the λ of old."""
        self.members = {w.slot: w for w in able(self.order, workers)}
        self.tree = SumTree(size)
        eta = fill(self.order[2], self.lam, self.mean, goods_of(self.members.values(), self.pace))
        self._load(list(self.members), eta)

    def solve(self, fill: Fill, now: float, pace: float) -> None:
        """Find λ anew among the members."""
        slots = sorted(self.members)  # so that sums do not depend on who came when
        self.pace, self.solved, self.solved_at = pace, len(slots), now
        if slots:
            goods = goods_of(map(self.members.__getitem__, slots), pace)
            self.mean = sum([z for _, z in goods]) / len(goods)
            self.lam, eta = split(fill, self.order[2], goods, self.lam)
            self._load(slots, eta)

    def _load(self, slots: list[int], eta: list[float]) -> None:
        tree = self.tree
        if len(slots) * FEW < tree.size:
            for slot, share in zip(slots, eta, strict=True):
                tree.set(slot, share if share > LEAST else LEAST)
            return
        weights = [0.0] * tree.size
        for slot, share in zip(slots, eta, strict=True):
            weights[slot] = share if share > LEAST else LEAST
        tree.load(weights)

    def draw(self, generator: random.Random, by_slot: Sequence[Worker | None],
             allowed: Callable[[Worker], bool]) -> tuple[Worker | None, bool]:
        """A worker by its share among those allowed, or None; and whether the search was cut short.

        A worker that is not allowed is left out and the draw made again, which is the draw among the others;
        but once their sum is off, or after `MOST_TRIES`, the caller is to look at all of them.
        """
        tree, left_out, left = self.tree, list[tuple[int, float]](), len(self.members)
        try:
            while left > 0:
                if left_out and (abs(tree.total - left) > OFF * left or len(left_out) >= MOST_TRIES):
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
