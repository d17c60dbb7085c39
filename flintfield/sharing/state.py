"""The state of one instance's life, and how a right is spent on the way of a job."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, MutableMapping

from flintfield.sharing.counts import Counts as Tallies
from flintfield.sharing.holding import Holding, Ticket, new_holding
from flintfield.sharing.limits import Limit
from flintfield.sharing.messages import Configured
from flintfield.sharing.rules import DRIFT, LEASE_MS, TICK_MS, hold_ms
from flintfield.sharing.uses import Uses

Counts = MutableMapping[str, int]


class Sharing:
    """The state of one instance's life."""

    def __init__(self, place: int, places: int, life: int, now: float, rng: random.Random, counters: Counts,
                 limits: Iterable[Limit] = ()) -> None:
        """`life` is above that of any earlier life of the place, as far as the clock allows."""
        self.place, self.places, self.life, self.began = place, places, life, now
        self.rng, self.counters = rng, counters
        self.holdings: dict[int, Holding] = {}  # by the limit's number
        self.by_name: dict[str, Holding] = {}
        self.present: frozenset[int] = frozenset()
        self.lives: dict[int, int] = {}  # the newest life that was heard of, by place
        self.told_places: dict[int, int] = {}  # the number of places that each was configured with
        self.ended = False  # our place has a newer life
        self.numbers = 0  # of leases given
        self.tallies = Tallies(place, now)
        self.due, self.ticked = math.inf, -math.inf
        self._agreed = places  # what our parts go by while a new number of places gets round
        self.configure(now, Configured(tuple(limits), places))

    def next_at(self) -> float | None:
        """When to be woken; None: there is nothing to do."""
        return None if self.due == math.inf else self.due

    def forget_leases(self, now: float) -> None:
        """Begin as a new life: nothing is held, and what we lent or spent may count for its whole time."""
        self.counters["slept"] += 1
        self.tallies.end_life((self.place, self.life))
        self.began, self.life = now, max(self.life + 1, int(now))
        for holding in self.holdings.values():
            holding.forget_leases()

    # ------------------------------------------------------------ limits and parts

    def configure(self, now: float, told: Configured) -> None:
        """Limits are named, changed or no more.

        A part that shrinks counts at once; what is lent of it ends.
        """
        if told.places != self.places:
            self._agreed = min(self._agreed, told.places) if told.places < self.places else self.places
            self.places = told.places
            self.told_places.clear()
        named = {limit.number: limit for limit in told.limits}
        for number, limit in named.items():
            holding = self.holdings.get(number)
            if holding is None:
                self.holdings[number] = new_holding(limit)
                continue
            if holding.limit != limit:
                self.tallies.replaced(now, holding.limit)
            holding.change(limit)
        for number in [n for n in self.holdings if n not in named]:
            self._retire(now, number)
        self.by_name = {h.limit.name: h for n, h in self.holdings.items() if n in named}
        self.set_parts()
        self.due = now

    def _retire(self, now: float, number: int) -> None:
        """A limit is no more; its book is known until nothing is out, for it may come back."""
        holding = self.holdings[number]
        if holding.limit.rights:
            self.tallies.replaced(now, holding.limit)
        holding.retire()
        if not holding.book.out(now) and not holding.uses.advance(now):
            del self.holdings[number]

    def set_parts(self) -> None:
        """Our parts; while places disagree on their number, the least that any number in play gives us."""
        numbers = {self.places, *(n for p, n in self.told_places.items() if p in self.present)}
        if self._agreed != self.places:
            wanted = set(range(max(self._agreed, self.places))) - {self.place}
            if all(self.told_places.get(p) == self.places for p in wanted):
                self._agreed = self.places
            numbers.add(self._agreed)
        for holding in self.holdings.values():
            holding.dry_until = -math.inf
            holding.part = min(holding.limit.part(self.place, n) for n in numbers)

    # ------------------------------------------------------------ on the way of a job

    def spend(self, now: float, name: str) -> bool | Ticket:
        """Spend a right of that limit: True, a `Ticket` to give back (of a pool), or False if none is left.

        Once True or a ticket was returned the right is spent, whatever becomes of the job.
        """
        holding = self.by_name[name]
        holding.demand.attempt(now)
        if self.due == math.inf:
            self.due = now + TICK_MS
        uses = self._free_uses(now, holding)
        if uses is None:
            holding.refused += 1
            holding.is_short = True
            self.due = min(self.due, max(now, self.ticked + TICK_MS / 4))
            return False
        holding.spent += 1
        self.tallies.spend(now, holding.limit.number)
        if holding.limit.is_pool:
            return Ticket(uses, uses.take(now))
        uses.spend(now)
        return True

    def has_free(self, now: float, name: str) -> bool:
        """Whether a right of that limit could be spent now."""
        return self._free_uses(now, self.by_name[name]) is not None

    def _free_uses(self, now: float, holding: Holding) -> Uses | None:
        if now < holding.dry_until:
            return None
        if self.own_free(now, holding) > 0:
            return holding.uses
        if holding.last is not None and holding.last.free(now) > 0:
            return holding.last.uses
        for lease in holding.leases.values():
            if lease.free(now) > 0:
                holding.last = lease
                return lease.uses
        self._run_dry(now, holding)
        return None

    def _run_dry(self, now: float, holding: Holding) -> None:
        """Nothing is free: note until when nothing can come free by time alone: the next refusal is cheap.

        Whatever else frees a right sets `dry_until` back; a pool's rights are given back by their jobs.
        """
        window = holding.limit.window_ms
        ends = [holding.uses.next_end(), holding.book.next_end,
                *(lease.uses.next_end() for lease in holding.leases.values()),
                *(at for at in (self.began + holding.cool_ms * DRIFT, self.began + hold_ms(LEASE_MS, window))
                  if at > now)]
        holding.frees_at = min(ends)
        holding.rights_here = self.own_part(now, holding) + holding.held(now)
        if not holding.limit.is_pool:
            holding.dry_until = holding.frees_at

    def own_free(self, now: float, holding: Holding) -> int:
        """Rights of our own part that may be spent now."""
        return max(0, self.own_part(now, holding) - holding.uses.advance(now) - holding.book.out(now))

    def own_part(self, now: float, holding: Holding) -> int:
        """What of our part this life may count with: see the law, 6 and 7."""
        if self.ended or now < self.began + holding.cool_ms * DRIFT:
            return 0
        if now < self.began + hold_ms(LEASE_MS, holding.limit.window_ms):
            return holding.floor
        return holding.part

    def retry_after_ms(self, now: float, name: str) -> float:
        """When one that was refused now may come again and find a right, as far as is known here.

        Each refusal is told a later time: guards against all coming again at once.
        """
        holding = self.by_name[name]
        first, rights = holding.frees_at, max(1, holding.rights_here)
        if first == math.inf:  # nothing is occupied: rights may come from others within a lease
            first = now + min(holding.limit.window_ms, LEASE_MS)
        step = holding.limit.window_ms / rights
        holding.promised = max(first, holding.promised + step)
        if holding.promised > now + holding.limit.window_ms * 4:  # a crowd: don't send the last away for ever
            holding.promised = first
        return holding.promised - now


def give_back(ticket: Ticket) -> None:
    """The job of that ticket is over."""
    ticket.uses.give_back(ticket.number)
