"""A forwarder's plans: which are sound, which is in force, what it weighs now, and the digests that go up.

Rules. A plan that makes no sense is turned down with a reason and changes nothing. Of one planner only what
is newer than the last good one counts, by term and number, whatever order plans arrive in. All times are on
the forwarder's clock: a plan counts from the digest that it answers, so one that was under way for long, or
comes from a planner that slept, is as old as it truly is.

Which planner: the one followed, while its plan weighs more than FOLLOW; else the one with the freshest
plan, of those alike (within a period) one of the lowest place. One of a lower place is gone over to once
its plans have been good for SETTLED_MS without a break, so all forwarders come to follow the same one.
Bounded: MOST_PLANNERS planners, one plan of each, DIGESTS_KEPT times of digests.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterable

from flintfield.planning.leases import planner_part
from flintfield.planning.messages import (
    MOST_ROWS, Digest, NonsenseError, Plan, Seen, check_plan, proof_of, whole,
)

MOST_PLANNERS = 16
DIGEST_MS = 125.0  # between two digests: with 250 the goal at level 0.9 was 0.02 lower (20 forwarders)
FOLLOW = 0.5  # a planner is followed until its plan weighs less
SETTLED_MS = 3_000.0
DIGESTS_KEPT = 64  # so many last digests may be answered
FRESH_MS = 600.0  # a plan weighs full for so long: four periods and the way


class Forwarding:
    """One forwarder's state."""

    def __init__(self, name: str, zone: int, planners: int) -> None:
        """`planners`: how many are configured, by which their parts of cold budgets are known."""
        self.name, self.zone, self._part = name, zone, planner_part(planners)
        self._planners = planners
        self.plans: dict[int, Plan] = {}  # the last good one of each place
        self.terms: dict[int, int] = {}
        self.followed: int | None = None
        self._good_since: dict[int, float] = {}
        self.counts: Counter[str] = Counter()
        self.last_refusal = ""
        self._number = 0
        self._sent: deque[float] = deque(maxlen=DIGESTS_KEPT)
        self._next_digest = -math.inf

    # ---------------------------------------------------------------- plans

    def take(self, now: float, plan: Plan) -> str:
        """Take a plan in, whole or a delta; "" where it is the planner's last good one now, else why not."""
        try:
            taken = self._checked(plan)
        except NonsenseError as error:
            self.counts["refused"] += 1
            self.last_refusal = f"planner {plan.place}: {error}"
            return str(error)
        self.counts["taken"] += 1
        before = self.plans.get(taken.place)
        if before is None or self.weight(now, before) < FOLLOW:
            self._good_since[taken.place] = now
        self.plans[taken.place] = taken
        self.terms[taken.place] = taken.term
        self._choose(now)
        return ""

    def _checked(self, plan: Plan) -> Plan:
        if not 0 <= plan.place < min(self._planners, MOST_PLANNERS):
            raise NonsenseError(f"place: found {plan.place}, expected 0 to {self._planners - 1}")
        last = self.plans.get(plan.place)
        if (term := self.terms.get(plan.place, 0)) > plan.term:
            raise NonsenseError(f"term: found {plan.term}, expected {term} or a later one")
        if last is not None and plan.term == last.term and plan.number <= last.number:
            raise NonsenseError(f"number: found {plan.number}, expected one above {last.number}")
        if plan.answers not in self._sent:
            raise NonsenseError("answers: found no digest that was sent of late")
        if plan.base:
            if last is None or (last.term, last.number) != (plan.term, plan.base):
                raise NonsenseError(f"base: found {plan.base}, expected the plan that is kept")
            plan = whole(plan, last)
        check_plan(plan, self._part)
        return plan

    def weight(self, now: float, plan: Plan) -> float:
        """How much a plan counts: 1 while fresh, then evenly down to 0 at its end."""
        age = now - plan.answers
        fresh = min(FRESH_MS, plan.valid_ms / 2)
        if age < 0 or plan.valid_ms <= 0:
            return 0.0
        return min(1.0, max(0.0, (plan.valid_ms - age) / (plan.valid_ms - fresh)))

    def _choose(self, now: float) -> None:
        def rank(place: int) -> tuple[float, int]:
            return round((now - self.plans[place].answers) / FRESH_MS), place

        followed = self.followed
        if followed is None or followed not in self.plans or self.weight(now, self.plans[followed]) < FOLLOW:
            self.followed = min(self.plans, key=rank, default=None)
        for place in range(self.followed or 0):
            if place in self.plans and now - self._good_since[place] >= SETTLED_MS and (
                    self.weight(now, self.plans[place]) >= FOLLOW):
                self.followed = place
                break

    def in_force(self, now: float) -> tuple[Plan, float] | None:
        """The plan that is followed and its weight; None while there is none that counts."""
        self._choose(now)
        if self.followed is None:
            return None
        plan = self.plans[self.followed]
        weight = self.weight(now, plan)
        return (plan, weight) if weight > 0 else None

    def lease(self, now: float, worker: int) -> float:
        """The part of a cold worker's budget that is leased to us now."""
        force = self.in_force(now)
        if force is None or now >= force[0].answers + force[0].valid_ms:
            return 0.0
        return next((x.part for x in force[0].leases if x.worker == worker), 0.0)

    # -------------------------------------------------------------- digests

    def is_due(self, now: float) -> bool:
        """Whether a digest may be told."""
        return now >= self._next_digest

    def digest(self, now: float, demand: float, seen: Iterable[Seen]) -> Digest:
        """What is told to all planners; the busiest MOST_ROWS workers where there are more."""
        rows = sorted(seen, key=lambda s: (-s.is_home, -s.held, s.worker))[:MOST_ROWS]
        self._number += 1
        self._next_digest = now + DIGEST_MS
        self._sent.append(now)
        force = self.in_force(now)
        claim = None
        if force is not None:
            plan = force[0]
            claim = plan.place, plan.term, plan.number, proof_of(plan)
        return Digest(self.name, self.zone, self._number, now, demand, tuple(rows),
                      tuple(sorted(self.terms.items())), claim)
