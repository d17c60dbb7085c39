"""One planner: digests and discovery's list in, plans out.

Rules. All state is in `Planner`; `hear`, `list_workers` and `step` change it, `plan_for` answers one digest.
Times are on the planner's own clock but for what stands in a digest or plan. Bounded: MOST_FORWARDERS and
MOST_WORKERS; who was not heard for FORGET_MS is forgotten.

Theory of operation. `held` at a worker is the sum over forwarders of their latest words. `step`, a few
times a second, steps the prices and settles the homes. A new life listens for LISTEN_MS before it publishes
anything; by then all forwarders' claims of homes have come, so it goes on with the homes that stand. Leases
come later still, after `leases.quiet_ms`. Planners do not talk with each other: each hears all digests, and
those that are not followed learn the homes from the claims, so a change of planner moves nothing.

A planner that is slower than its period answers only each forwarder's latest digest (the shell keeps one),
and skips periods; plans then age, which forwarders handle as always.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from flintfield.planning.leases import LEASE_MS, Leases
from flintfield.planning.market import RHO, settle_homes, shares, step_price
from flintfield.planning.messages import (
    MOST_ROWS, VALID_MS, Digest, Lease, Plan, Row, Seen, check_digest, sealed,
)

MOST_FORWARDERS, MOST_WORKERS = 1_000, 20_000
FORGET_MS = 5_000.0  # a forwarder's word counts for so long: some ten of its periods
OVER_PART = 0.02  # of the shares: for workers that are others' homes
OVERFLOW = 6  # of them in a plan: enough that one has room where all homes are full, few enough to know
FLOOR = 0.5  # slots of demand that each forwarder counts with: one that starts gets homes before it has jobs
LISTEN_MS = 1_200.0  # so long a new life only listens: some nine digests of each forwarder


@dataclass(frozen=True, slots=True)
class Listed:
    """A worker as discovery lists it."""

    worker: int
    zone: int = 0
    is_ready: bool = True  # neither draining nor gone
    is_cold: bool = False


@dataclass(slots=True)
class Known:
    """What a planner knows of one worker, over all forwarders."""

    listed: Listed
    price: float = 0.0
    most: float = 0.0
    held: float = 0.0  # of all forwarders
    held_by: dict[str, float] = field(default_factory=dict)
    pace: float = 0.0
    heard_at: float = -math.inf


@dataclass(slots=True)
class Teller:
    """One forwarder's latest word."""

    digest: Digest
    heard_at: float


class Planner:
    """The state of one planner's life."""

    def __init__(self, place: int, planners: int, term: int, fall_ms: float, top_price: float = 1.0) -> None:
        """`place` among the configured number of planners; `term` above that of any earlier life."""
        self.place, self.term, self._top = place, term, top_price
        self.leases = Leases(planners, fall_ms)
        self.workers: dict[int, Known] = {}
        self.tellers: dict[str, Teller] = {}
        self.homes: dict[int, str] = {}
        self.number = 0
        self._stepped = -math.inf
        self._quiet_until = math.inf
        self._claims: dict[int, str] = {}
        self._own: dict[str, list[int]] = {}  # homes by forwarder
        self._near_free: list[int] = []  # ready workers, the most free first

    # ----------------------------------------------------------------- in

    def hear(self, now: float, digest: Digest) -> bool:
        """Take a forwarder's word; False where it is older than one heard. Nonsense raises."""
        check_digest(digest)
        before = self.tellers.get(digest.forwarder)
        if before is not None and now - before.heard_at < FORGET_MS and (
                digest.number <= before.digest.number and digest.at <= before.digest.at):
            return False
        if before is None and len(self.tellers) >= MOST_FORWARDERS:
            return False
        for place, term in digest.terms:
            if place == self.place and term > self.term:
                # Our clock may stand behind that of an earlier life, as long as we have said nothing.
                if self.number == 0 and self.is_listening(now):
                    self.term = term + 1
                else:
                    self.leases.ended = True
        self._drop_held(digest.forwarder)
        self.tellers[digest.forwarder] = Teller(digest, now)
        for seen in digest.seen:
            known = self.workers.get(seen.worker)
            if known is not None:
                self._see(now, known, seen, digest.forwarder)
        return True

    def _see(self, now: float, known: Known, seen: Seen, forwarder: str) -> None:
        if seen.held > 0:
            known.held_by[forwarder] = seen.held
            known.held += seen.held
        known.most = max(known.most, seen.most)
        if seen.pace > 0 and (seen.is_home or known.pace <= 0):
            known.pace = seen.pace
        if seen.heard_ms >= 0:
            known.heard_at = max(known.heard_at, now - seen.heard_ms)
        if seen.is_home:
            self._claims[seen.worker] = forwarder

    def _drop_held(self, forwarder: str) -> None:
        teller = self.tellers.get(forwarder)
        for seen in teller.digest.seen if teller else ():
            known = self.workers.get(seen.worker)
            if known is not None and forwarder in known.held_by:
                known.held = max(0.0, known.held - known.held_by.pop(forwarder))

    def list_workers(self, listed: Iterable[Listed]) -> None:
        """Discovery's list, the whole of it."""
        named: dict[int, Listed] = {}
        for item in listed:
            if len(named) < MOST_WORKERS:
                named[item.worker] = item
        for worker in self.workers.keys() - named.keys():
            del self.workers[worker]
        for worker, item in named.items():
            if worker in self.workers:
                self.workers[worker].listed = item
            else:
                self.workers[worker] = Known(item)

    # --------------------------------------------------------------- step

    def is_listening(self, now: float) -> bool:
        """Whether this life has not heard for long enough to publish."""
        return now < self._quiet_until

    def step(self, now: float) -> None:
        """Step prices, settle homes and forget who is silent; to be called some times a second."""
        passed = now - self._stepped
        if passed > LEASE_MS:  # the first step, or this process stood still: others may have gone on
            self._quiet_until = now + LISTEN_MS
            passed = 0.0
        self._stepped = now
        self.leases.step(now)
        for name in [n for n, t in self.tellers.items() if now - t.heard_at > FORGET_MS]:
            self._drop_held(name)
            del self.tellers[name]
        for known in self.workers.values():
            demand = min(1.0, known.held / known.most) if known.most > 0 else RHO
            known.price = step_price(known.price, passed, demand, self._top)
        self._settle(4 if self.is_listening(now) else 50)

    def _settle(self, steps: int) -> None:
        """One home in so many may change hands: many before the first plan, few once others count on them.

        Guards against the first forwarder that is heard of keeping the fleet for seconds.
        """
        # Claims of plans that others gave stand where ours do not.
        for worker, name in self._claims.items():
            if worker in self.workers and name in self.tellers:
                self.homes.setdefault(worker, name)
        self._claims.clear()
        ready = {w: k for w, k in self.workers.items() if k.listed.is_ready}
        slots = {w: max(1.0, k.most) for w, k in ready.items()}
        demand = {n: max(FLOOR, t.digest.demand) for n, t in self.tellers.items()}
        zone_of = {n: t.digest.zone for n, t in self.tellers.items()}
        zone_at = {w: k.listed.zone for w, k in ready.items()}
        settle_homes(self.homes, slots, demand, zone_of, zone_at, 1 + len(ready) // steps)
        self.sort_homes()
        self._near_free = sorted(ready, key=lambda w: (ready[w].held - slots[w], w))

    def sort_homes(self) -> None:
        """Have `homes` by forwarder too, so that a plan costs what it holds; after each change of them."""
        self._own = {}
        for worker, name in sorted(self.homes.items()):
            self._own.setdefault(name, []).append(worker)

    # ---------------------------------------------------------------- out

    def plan_for(self, now: float, forwarder: str) -> Plan | None:
        """A whole plan that answers the forwarder's latest digest; None while there is nothing to say."""
        teller = self.tellers.get(forwarder)
        if teller is None or self.is_listening(now) or self.leases.ended or not self.workers:
            return None
        own = [w for w in self._own.get(forwarder, ()) if w in self.workers][:MOST_ROWS - OVERFLOW]
        over = self._overflow(forwarder, teller.digest.zone)
        if not own and not over:
            return None
        self.number += 1
        rows = self._rows(now, forwarder, own, over)
        leases = tuple(Lease(w, part) for w in own if self.workers[w].listed.is_cold
                       and (part := self.leases.give(now, w, forwarder, self.leases.part)) > 0)
        return sealed(Plan(self.place, self.term, self.number, teller.digest.at, min(VALID_MS, LEASE_MS),
                           rows=tuple(rows), leases=leases))

    def _overflow(self, forwarder: str, zone: int) -> list[int]:
        """Workers of others that are most free, each forwarder from another place of that order."""
        free = [w for w in self._near_free[:8 * OVERFLOW + len(self._near_free) // 4]
                if self.homes.get(w) != forwarder and not self.workers[w].listed.is_cold]
        if not free:
            return []
        start = sum(forwarder.encode()) * 7 % len(free)
        turned = free[start:] + free[:start]
        return sorted(turned, key=lambda w: self.workers[w].listed.zone != zone)[:OVERFLOW]

    def _rows(self, now: float, forwarder: str, own: list[int], over: list[int]) -> list[Row]:
        rows = []
        for group, part in ((own, 1.0 - OVER_PART if over else 1.0), (over, OVER_PART if own else 1.0)):
            known = [self.workers[w] for w in group]
            speeds = [1.0 / k.pace if k.pace > 0 else 0.0 for k in known]
            usual = sum(speeds) / max(1, sum(s > 0 for s in speeds)) or 1.0
            eta = shares(1.0, [k.price for k in known], [s or usual for s in speeds])
            for k, share in zip(known, eta, strict=True):
                others = max(0.0, k.held - k.held_by.get(forwarder, 0.0))
                heard = now - k.heard_at if k.heard_at > -math.inf else -1.0
                rows.append(Row(k.listed.worker, share * part, k.price, others, k.most, k.pace, heard,
                                group is own))
        return rows
