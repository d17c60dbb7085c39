"""One limit at one instance: our part of it, what we lent, what was lent to us, and what is spent."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from flintfield.sharing.book import Book, Borrower
from flintfield.sharing.demand import Demand
from flintfield.sharing.limits import Limit
from flintfield.sharing.rules import cool_ms
from flintfield.sharing.uses import Uses


@dataclass(slots=True)
class Lease:
    """What one life of an owner lent us of one limit."""

    number: int
    keep: int  # of its rights, those that we go on using
    until: float  # on our clock
    uses: Uses
    asked_at: float  # when its owner was last asked

    def free(self, now: float) -> int:
        """Rights that may be spent."""
        return max(0, self.keep - self.uses.advance(now)) if now < self.until else 0


@dataclass(frozen=True, slots=True)
class Ticket:
    """A right of a pool that is in use."""

    uses: Uses
    number: int


@dataclass(slots=True)
class Holding:
    """One limit here."""

    limit: Limit
    part: int  # that we own
    uses: Uses  # of our own part
    book: Book
    demand: Demand = field(default_factory=Demand)
    leases: dict[Borrower, Lease] = field(default_factory=dict)  # by the owner's place and life
    not_before: dict[int, float] = field(default_factory=dict)  # when a place may be asked for more
    backs: dict[int, float] = field(default_factory=dict)  # how long a place that lent no more is left alone
    spent: int = 0  # in all
    refused: int = 0
    promised: float = -math.inf  # the last time that was told to one that was refused
    is_short: bool = False  # refused since the last tick
    last: Lease | None = None  # the last that had a free right
    dry_until: float = -math.inf  # nothing comes free before
    frees_at: float = math.inf  # as of the last time that nothing was free: when something may be
    rights_here: int = 0  # and how many rights there were, all spent
    recalled_at: float = -math.inf  # when an owner last took some back: others want them

    @property
    def floor(self) -> int:
        """What we never lend."""
        return self.limit.floor_of(self.part)

    def occupied(self, now: float) -> int:
        """Rights that are spent and still count, own and lent."""
        return self.uses.advance(now) + sum(lease.uses.advance(now) for lease in self.leases.values())

    def held(self, now: float) -> int:
        """Rights that are lent to us."""
        return sum(lease.keep for lease in self.leases.values() if now < lease.until)

    @property
    def cool_ms(self) -> float:
        """How long a spend occupies its right on our clock."""
        return cool_ms(self.limit.window_ms)

    def change(self, limit: Limit) -> None:
        """The limit is another from now on; what is out counts as it did."""
        if self.limit.window_ms != limit.window_ms:
            for uses in (self.uses, *(lease.uses for lease in self.leases.values())):
                uses.occupied_ms = cool_ms(limit.window_ms)
            self.book.window_ms = limit.window_ms
        self.limit, self.dry_until = limit, -math.inf
        self.book.is_pool = limit.is_pool

    def retire(self) -> None:
        """The limit is no more, but what is out still counts: it may come back."""
        self.limit = Limit(self.limit.name, 0, self.limit.window_ms, self.limit.is_pool)
        self.leases.clear()
        self.last = None

    def forget_leases(self) -> None:
        """Nothing is held any more."""
        self.leases.clear()
        self.last, self.dry_until = None, -math.inf

    def drop_ended(self, now: float) -> None:
        """Forget leases that are over and of which nothing is occupied."""
        for owner in list(self.leases):
            lease = self.leases[owner]
            if now >= lease.until and not lease.uses.advance(now):
                if self.last is lease:
                    self.last = None
                del self.leases[owner]


def new_holding(limit: Limit) -> Holding:
    """A limit that is not known yet; the part is set once all limits are."""
    return Holding(limit, 0, Uses(cool_ms(limit.window_ms)), Book(limit.window_ms, limit.is_pool))
