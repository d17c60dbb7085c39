"""Converts plans to events of the decision module, and the state of that module to digests."""

from __future__ import annotations

import math

from flintfield.decision.interface import PlanUpdate, PlanRow
from flintfield.decision.planned import PlannedDispatcher
from flintfield.forwarding.core import FULL_WEIGHT_MS, Forwarding
from flintfield.planning.messages import Digest, Plan, Seen


def plan_event(now: float, plan: Plan) -> PlanUpdate:
    """A plan in force as an event of the decision module; times are on the forwarder's clock."""
    rows = tuple(PlanRow(r.worker, r.share, r.price, r.others, r.most, r.pace,
                         plan.answers - r.heard_ms if r.heard_ms >= 0 else -math.inf, r.is_home)
                 for r in plan.rows)
    full_until = plan.answers + min(FULL_WEIGHT_MS, plan.valid_ms / 2)
    return PlanUpdate(full_until, plan.answers + plan.valid_ms, rows,
                    tuple((lease.worker, lease.part) for lease in plan.leases))


def build_digest(now: float, dispatcher: PlannedDispatcher, forwarding: Forwarding) -> Digest:
    """The digest that the forwarder sends to planners now."""
    seen = [Seen(w.entry.worker, round(w.mine, 3), w.most, round(w.pace.value, 4) if w.pace.count else 0.0,
                 round(now - w.word) if w.word > -math.inf else -1.0, is_home)
            for w, is_home in dispatcher.seen()]
    return forwarding.digest(now, round(dispatcher.demand, 3), seen)
