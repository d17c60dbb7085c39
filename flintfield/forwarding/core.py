"""A forwarder's plans: validation, choice of the plan in force, its weight, and the digests for planners.

Rules. An invalid plan is rejected with a reason and changes nothing. From one planner, only plans newer than
the last valid one by term and number are accepted, in whatever order plans arrive. All times are on the
forwarder's clock: a plan's age counts from the digest that it answers, so network delay and a suspended
planner are included in it.

Choice of planner: the current one is kept while the weight of its plan is at least FOLLOW_WEIGHT; otherwise
the one with the freshest plan is taken, and among plans of similar age (within FULL_WEIGHT_MS) the one with
the lowest place. The forwarder switches to a lower place once that planner's plans have been good for
STABLE_MS without a gap, so all forwarders converge on the same planner.
Bounded: MAX_PLANNERS planners, one plan per planner, the times of MAX_ANSWERABLE_DIGESTS digests.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterable

from flintfield.planning.leases import planner_part
from flintfield.planning.messages import (
    MAX_ROWS, Digest, InvalidMessageError, Plan, Seen, apply_delta, check_plan, proof_of,
)

MAX_PLANNERS = 16
DIGEST_INTERVAL_MS = 125.0  # with 250 the goal metric at load 0.9 was 0.02 lower (20 forwarders)
FOLLOW_WEIGHT = 0.5  # a planner is followed until the weight of its plan is below this
STABLE_MS = 3_000.0
MAX_ANSWERABLE_DIGESTS = 64  # a plan must answer one of the latest digests, up to this many
FULL_WEIGHT_MS = 600.0  # how long a plan has full weight: four periods plus the network delay


class Forwarding:
    """The planning state of one forwarder."""

    def __init__(self, name: str, zone: int, planners: int) -> None:
        """`planners`: the number configured, which sets the part of cold budgets that each may lease."""
        self.name, self.zone, self._max_lease_part = name, zone, planner_part(planners)
        self._planners = planners
        self.plans: dict[int, Plan] = {}  # the last valid plan by planner place
        self.terms: dict[int, int] = {}
        self.followed: int | None = None
        self._good_since: dict[int, float] = {}
        self.counts: Counter[str] = Counter()
        self.last_refusal = ""
        self._last_number = 0
        self._digest_times: deque[float] = deque(maxlen=MAX_ANSWERABLE_DIGESTS)
        self._next_digest = -math.inf

    # ---------------------------------------------------------------- plans

    def accept_plan(self, now: float, plan: Plan) -> str:
        """Process a plan, whole or a delta; returns "" if accepted, else the reason for rejecting it."""
        try:
            accepted = self._validated(plan)
        except InvalidMessageError as error:
            self.counts["refused"] += 1
            self.last_refusal = f"planner {plan.place}: {error}"
            return str(error)
        self.counts["taken"] += 1
        previous = self.plans.get(accepted.place)
        if previous is None or self.weight(now, previous) < FOLLOW_WEIGHT:
            self._good_since[accepted.place] = now
        self.plans[accepted.place] = accepted
        self.terms[accepted.place] = accepted.term
        self._select_planner(now)
        return ""

    def _validated(self, plan: Plan) -> Plan:
        if not 0 <= plan.place < min(self._planners, MAX_PLANNERS):
            raise InvalidMessageError(f"place: found {plan.place}, expected 0 to {self._planners - 1}")
        previous = self.plans.get(plan.place)
        if (term := self.terms.get(plan.place, 0)) > plan.term:
            raise InvalidMessageError(f"term: found {plan.term}, expected {term} or a later one")
        if previous is not None and plan.term == previous.term and plan.number <= previous.number:
            raise InvalidMessageError(f"number: found {plan.number}, expected one above {previous.number}")
        if plan.answers not in self._digest_times:
            raise InvalidMessageError("answers: matches no recently sent digest")
        if plan.base:
            if previous is None or (previous.term, previous.number) != (plan.term, plan.base):
                raise InvalidMessageError(
                    f"base: found {plan.base}, expected the number of the last accepted plan")
            plan = apply_delta(plan, previous)
        check_plan(plan, self._max_lease_part)
        return plan

    def weight(self, now: float, plan: Plan) -> float:
        """The weight of a plan: 1 while fresh, then falling linearly to 0 at its expiry."""
        age = now - plan.answers
        full_weight_ms = min(FULL_WEIGHT_MS, plan.valid_ms / 2)
        if age < 0 or plan.valid_ms <= 0:
            return 0.0
        return min(1.0, max(0.0, (plan.valid_ms - age) / (plan.valid_ms - full_weight_ms)))

    def _select_planner(self, now: float) -> None:
        def preference(place: int) -> tuple[float, int]:
            return round((now - self.plans[place].answers) / FULL_WEIGHT_MS), place

        followed = self.followed
        if followed is None or followed not in self.plans or (
                self.weight(now, self.plans[followed]) < FOLLOW_WEIGHT):
            self.followed = min(self.plans, key=preference, default=None)
        for place in range(self.followed or 0):
            if place in self.plans and now - self._good_since[place] >= STABLE_MS and (
                    self.weight(now, self.plans[place]) >= FOLLOW_WEIGHT):
                self.followed = place
                break

    def in_force(self, now: float) -> tuple[Plan, float] | None:
        """The followed planner's plan and its weight; None while no plan has a weight above 0."""
        self._select_planner(now)
        if self.followed is None:
            return None
        plan = self.plans[self.followed]
        weight = self.weight(now, plan)
        return (plan, weight) if weight > 0 else None

    def lease(self, now: float, worker: int) -> float:
        """The part of a cold worker's budget that is leased to this forwarder now."""
        current = self.in_force(now)
        if current is None or now >= current[0].answers + current[0].valid_ms:
            return 0.0
        return next((lease.part for lease in current[0].leases if lease.worker == worker), 0.0)

    # -------------------------------------------------------------- digests

    def is_digest_due(self, now: float) -> bool:
        """Whether the next digest is due."""
        return now >= self._next_digest

    def digest(self, now: float, demand: float, seen: Iterable[Seen]) -> Digest:
        """The next digest for all planners; at most MAX_ROWS workers, homes and the busiest first."""
        rows = sorted(seen, key=lambda s: (-s.is_home, -s.held, s.worker))[:MAX_ROWS]
        self._last_number += 1
        self._next_digest = now + DIGEST_INTERVAL_MS
        self._digest_times.append(now)
        current = self.in_force(now)
        claim = None
        if current is not None:
            plan = current[0]
            claim = plan.place, plan.term, plan.number, proof_of(plan)
        return Digest(self.name, self.zone, self._last_number, now, demand, tuple(rows),
                      tuple(sorted(self.terms.items())), claim)
