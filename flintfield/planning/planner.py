"""One planner: takes digests and the worker list from discovery, and returns plans.

Rules. All state is in `Planner`; `receive_digest`, `set_workers` and `step` change it, `plan_for` answers
one digest. Times are on the planner's own clock, except those in digests and plans. Bounded: MAX_FORWARDERS
and MAX_WORKERS; a forwarder that sent no digest for FORGET_MS is dropped.

Theory of operation. `held` of a worker is the sum over the latest digests of all forwarders. `step`, called a
few times a second, updates the prices and assigns the homes. A new incarnation only listens for LISTEN_MS
before it publishes anything; by then it has received all forwarders' claims of homes, so it continues with
the existing homes. Leases start later, after `leases.quiet_ms`. Planners do not communicate with each other:
each receives all digests, and those that are not followed learn the homes from the claims, so a change of
planner moves no homes.

A planner that is slower than its period answers only the latest digest of each forwarder (the caller keeps
one) and skips periods; plans then age, which forwarders handle as usual.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from flintfield.planning.leases import LEASE_MS, Leases
from flintfield.planning.market import RHO, assign_homes, shares, step_price
from flintfield.planning.messages import (
    MAX_ROWS, VALID_MS, Digest, Lease, Plan, Row, Seen, check_digest, with_proof,
)

MAX_FORWARDERS, MAX_WORKERS = 1_000, 20_000
FORGET_MS = 5_000.0  # how long a forwarder's digest counts: some ten of its periods
OVERFLOW_SHARE = 0.02  # total share of workers that are homes of other forwarders
OVERFLOW_WORKERS = 6  # per plan: enough that one has room if all homes are full, few enough to have data on
MIN_DEMAND = 0.5  # slots counted per forwarder, so one that starts gets homes before it has jobs
LISTEN_MS = 1_200.0  # how long a new incarnation only listens: some nine digests of each forwarder


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """A worker as discovery lists it."""

    worker: int
    zone: int = 0
    is_ready: bool = True  # neither draining nor gone
    is_cold: bool = False


@dataclass(slots=True)
class WorkerState:
    """A planner's data on one worker, from all forwarders."""

    listed: ListedWorker
    price: float = 0.0
    most: float = 0.0
    held: float = 0.0  # by all forwarders
    held_by: dict[str, float] = field(default_factory=dict)
    pace: float = 0.0
    heard_at: float = -math.inf


@dataclass(slots=True)
class ForwarderState:
    """One forwarder's latest digest."""

    digest: Digest
    heard_at: float


class Planner:
    """The state of one incarnation of a planner."""

    def __init__(self, place: int, planners: int, term: int, fall_ms: float, top_price: float = 1.0) -> None:
        """`place` is among the `planners` configured; `term` must exceed that of any earlier incarnation."""
        self.place, self.term, self._top_price = place, term, top_price
        self.leases = Leases(planners, fall_ms)
        self.workers: dict[int, WorkerState] = {}
        self.forwarders: dict[str, ForwarderState] = {}
        self.homes: dict[int, str] = {}
        self.number = 0
        self._last_step_at = -math.inf
        self._quiet_until = math.inf
        self._claims: dict[int, str] = {}
        self._homes_by_forwarder: dict[str, list[int]] = {}
        self._by_free_slots: list[int] = []  # ready workers, those with the most free slots first

    # ----------------------------------------------------------------- in

    def receive_digest(self, now: float, digest: Digest) -> bool:
        """Process a digest; returns False if it is older than a known one or there are too many forwarders.

        Raises a `InvalidMessageError` for an invalid digest.
        """
        check_digest(digest)
        previous = self.forwarders.get(digest.forwarder)
        if previous is not None and now - previous.heard_at < FORGET_MS and (
                digest.number <= previous.digest.number and digest.at <= previous.digest.at):
            return False
        if previous is None and len(self.forwarders) >= MAX_FORWARDERS:
            return False
        for place, term in digest.terms:
            if place == self.place and term > self.term:
                # Until the first plan, the cause may be a clock behind that of an earlier incarnation.
                if self.number == 0 and self.is_listening(now):
                    self.term = term + 1
                else:
                    self.leases.superseded = True
        self._remove_held(digest.forwarder)
        self.forwarders[digest.forwarder] = ForwarderState(digest, now)
        for seen in digest.seen:
            worker_state = self.workers.get(seen.worker)
            if worker_state is not None:
                self._merge_seen(now, worker_state, seen, digest.forwarder)
        return True

    def _merge_seen(self, now: float, worker_state: WorkerState, seen: Seen, forwarder: str) -> None:
        if seen.held > 0:
            worker_state.held_by[forwarder] = seen.held
            worker_state.held += seen.held
        worker_state.most = max(worker_state.most, seen.most)
        if seen.pace > 0 and (seen.is_home or worker_state.pace <= 0):
            worker_state.pace = seen.pace
        if seen.heard_ms >= 0:
            worker_state.heard_at = max(worker_state.heard_at, now - seen.heard_ms)
        if seen.is_home:
            self._claims[seen.worker] = forwarder

    def _remove_held(self, forwarder: str) -> None:
        state = self.forwarders.get(forwarder)
        for seen in state.digest.seen if state else ():
            worker_state = self.workers.get(seen.worker)
            if worker_state is not None and forwarder in worker_state.held_by:
                worker_state.held = max(0.0, worker_state.held - worker_state.held_by.pop(forwarder))

    def set_workers(self, listed: Iterable[ListedWorker]) -> None:
        """Replace the worker list by the complete list from discovery."""
        listed_by_worker: dict[int, ListedWorker] = {}
        for item in listed:
            if len(listed_by_worker) < MAX_WORKERS:
                listed_by_worker[item.worker] = item
        for worker in self.workers.keys() - listed_by_worker.keys():
            del self.workers[worker]
        for worker, item in listed_by_worker.items():
            if worker in self.workers:
                self.workers[worker].listed = item
            else:
                self.workers[worker] = WorkerState(item)

    # --------------------------------------------------------------- step

    def is_listening(self, now: float) -> bool:
        """Whether this incarnation has not listened for long enough to publish."""
        return now < self._quiet_until

    def step(self, now: float) -> None:
        """Update prices, assign homes and drop silent forwarders; to be called several times a second."""
        elapsed_ms = now - self._last_step_at
        if elapsed_ms > LEASE_MS:  # the first step, or this process was suspended while others went on
            self._quiet_until = now + LISTEN_MS
            elapsed_ms = 0.0
        self._last_step_at = now
        self.leases.step(now)
        for name in [n for n, state in self.forwarders.items() if now - state.heard_at > FORGET_MS]:
            self._remove_held(name)
            del self.forwarders[name]
        for worker_state in self.workers.values():
            demand = min(1.0, worker_state.held / worker_state.most) if worker_state.most > 0 else RHO
            worker_state.price = step_price(worker_state.price, elapsed_ms, demand, self._top_price)
        self._assign_homes(4 if self.is_listening(now) else 50)

    def _assign_homes(self, move_divisor: int) -> None:
        """Reassign up to one home in `move_divisor`: many before the first plan, few once in use.

        Otherwise the first forwarder that sends a digest would keep the whole fleet for seconds.
        """
        # Claims from other planners' plans apply to workers without a home here.
        for worker, name in self._claims.items():
            if worker in self.workers and name in self.forwarders:
                self.homes.setdefault(worker, name)
        self._claims.clear()
        ready = {w: worker_state for w, worker_state in self.workers.items() if worker_state.listed.is_ready}
        slots = {w: max(1.0, worker_state.most) for w, worker_state in ready.items()}
        demand = {n: max(MIN_DEMAND, state.digest.demand) for n, state in self.forwarders.items()}
        zone_of_forwarder = {n: state.digest.zone for n, state in self.forwarders.items()}
        zone_of_worker = {w: worker_state.listed.zone for w, worker_state in ready.items()}
        assign_homes(self.homes, slots, demand, zone_of_forwarder, zone_of_worker,
                     1 + len(ready) // move_divisor)
        self.index_homes()
        self._by_free_slots = sorted(ready, key=lambda w: (ready[w].held - slots[w], w))

    def index_homes(self) -> None:
        """Index `homes` by forwarder, so a plan's cost depends on its own size; call after each change."""
        self._homes_by_forwarder = {}
        for worker, name in sorted(self.homes.items()):
            self._homes_by_forwarder.setdefault(name, []).append(worker)

    # ---------------------------------------------------------------- out

    def plan_for(self, now: float, forwarder: str) -> Plan | None:
        """A whole plan that answers the forwarder's latest digest; None while there is nothing to plan."""
        state = self.forwarders.get(forwarder)
        if state is None or self.is_listening(now) or self.leases.superseded or not self.workers:
            return None
        homes = [w for w in self._homes_by_forwarder.get(forwarder, ())
                 if w in self.workers][:MAX_ROWS - OVERFLOW_WORKERS]
        overflow = self._overflow(forwarder, state.digest.zone)
        if not homes and not overflow:
            return None
        self.number += 1
        rows = self._rows(now, forwarder, homes, overflow)
        leases = tuple(Lease(w, part) for w in homes if self.workers[w].listed.is_cold
                       and (part := self.leases.grant(now, w, forwarder, self.leases.part)) > 0)
        return with_proof(Plan(self.place, self.term, self.number, state.digest.at, min(VALID_MS, LEASE_MS),
                           rows=tuple(rows), leases=leases))

    def _overflow(self, forwarder: str, zone: int) -> list[int]:
        """Other forwarders' workers with the most free slots, from a start that depends on the forwarder."""
        free = [w for w in self._by_free_slots[:8 * OVERFLOW_WORKERS + len(self._by_free_slots) // 4]
                if self.homes.get(w) != forwarder and not self.workers[w].listed.is_cold]
        if not free:
            return []
        start = sum(forwarder.encode()) * 7 % len(free)
        rotated = free[start:] + free[:start]
        return sorted(rotated, key=lambda w: self.workers[w].listed.zone != zone)[:OVERFLOW_WORKERS]

    def _rows(self, now: float, forwarder: str, homes: list[int], overflow: list[int]) -> list[Row]:
        rows = []
        for group, part in ((homes, 1.0 - OVERFLOW_SHARE if overflow else 1.0),
                            (overflow, OVERFLOW_SHARE if homes else 1.0)):
            worker_states = [self.workers[w] for w in group]
            speeds = [1.0 / k.pace if k.pace > 0 else 0.0 for k in worker_states]
            mean_speed = sum(speeds) / max(1, sum(s > 0 for s in speeds)) or 1.0
            eta = shares(1.0, [k.price for k in worker_states], [s or mean_speed for s in speeds])
            for k, share in zip(worker_states, eta, strict=True):
                others = max(0.0, k.held - k.held_by.get(forwarder, 0.0))
                heard = now - k.heard_at if k.heard_at > -math.inf else -1.0
                rows.append(Row(k.listed.worker, share * part, k.price, others, k.most, k.pace, heard,
                                group is homes))
        return rows
