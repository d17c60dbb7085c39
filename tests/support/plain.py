"""A slow reference implementation: the workers that may be sent a job now, and each one's probability.

It follows the design page, reads only the workers' own fields and the settings, and scans everything for each
query instead of using an index.
"""

from __future__ import annotations

import math

from flintfield.decision.cold import COLD_PART
from flintfield.decision.interface import Effect, Group, State
from flintfield.decision.observations import PROBE_MS
from flintfield.decision.placing import SPARE_SLOTS
from flintfield.decision.policy import Dispatcher
from flintfield.decision.pricing import START_MS, ZETA
from flintfield.decision.records import Job, Worker, lot


def is_silent(d: Dispatcher, worker: Worker) -> bool:
    """Whether a worker has not answered a probe, or has refused a connection."""
    return d.asks and (worker.down or (worker.missed and d.now - worker.word > PROBE_MS))


def warmth(d: Dispatcher, worker: Worker) -> float:
    """The fraction of its capacity that is assumed available at a worker's age."""
    rules = d.settings.rules
    if worker.born <= 0 or rules.cold_ms <= 0:
        return 1.0
    age = min(1.0, max(0.0, (d.now - worker.born) / rules.cold_ms))
    return rules.cold_from + (1.0 - rules.cold_from) * age


def has_room(d: Dispatcher, worker: Worker, slots: float) -> bool:
    """Whether a slot is assumed free, so that a job sent now would start at once."""
    if any(a.at < d.now - START_MS for a in worker.pending):
        return False
    if d.now < worker.full_until or is_silent(d, worker):
        return False
    return max(1.0, worker.most * warmth(d, worker)) - worker.others - worker.mine >= slots - 0.5


def pace(d: Dispatcher, worker: Worker) -> float:
    """Run time per unit of cost."""
    return (worker.pace if worker.pace.count else d.pace).value or 1.0


def cold_room(d: Dispatcher, worker: Worker, cost: float) -> bool:
    """Rule 4, by the lowest capacity of the near workers of its kind."""
    if warmth(d, worker) >= 1.0:
        return True
    rules, n = d.settings.rules, d.settings.dispatchers
    carries = [w.most / pace(d, w) for w in d.fleet.near if w.most > 0 and w.entry.kind == worker.entry.kind]
    budget = COLD_PART * rules.fall_multiple * rules.fall_ms * min(carries, default=1.0) * warmth(d, worker)
    users = max(1, min(n, int(budget / max(1.0, *(c.value for c in d.costs)))))
    turn = sum(lot(i, worker.entry.worker) < lot(d.settings.me, worker.entry.worker) for i in range(n))
    sent = sum(c for at, c in worker.sent if at >= d.now - rules.fall_ms)
    return turn < users and sent + cost <= budget / users


def may_send(d: Dispatcher, job: Job, worker: Worker) -> bool:
    """Rules 2, 3 and 4: whether this job may be sent to that worker now."""
    cls, limits = d.settings.classes[job.request.cls], d.settings.limits
    if worker.entry.state is not State.READY or cls.kind not in (None, worker.entry.kind):
        return False
    if len(job.attempts) >= limits.max_attempts or not cold_room(d, worker, job.cost):
        return False
    past = job.maybe_ran()
    if not past:
        return True
    if cls.effect is Effect.UNSAFE or (not limits.second_copies and job.running()):
        return False
    if cls.effect is Effect.SAFE:
        return True
    if d.now >= past[0].at + cls.window_ms - d.settings.resolution_ms:
        return False
    if cls.group is Group.ZONE:
        return all(a.worker.entry.zone == worker.entry.zone for a in past)
    return cls.group is Group.ALL or all(a.worker.entry.cell == worker.entry.cell for a in past)


def permitted(d: Dispatcher, job: Job, anywhere: bool = False) -> list[Worker]:
    """The workers among which the job's worker is drawn."""
    near = [w for w in d.workers.values() if w.near]
    cls, slots = d.settings.classes[job.request.cls], job.request.slots
    ready = [w for w in (d.workers.values() if anywhere else near)
             if w.price <= job.theta and has_room(d, w, slots) and may_send(d, job, w)]
    if cls.effect is Effect.UNSAFE:
        def shuns(w: Worker) -> bool:
            return d.now < w.shunned.get(job.request.cls, -math.inf)

        if any(not shuns(w) and not is_silent(d, w) for w in near):
            ready = [w for w in ready if not shuns(w)]
        ready = [w for w in ready if has_room(d, w, slots + SPARE_SLOTS)] or ready
    return ready


def quality(d: Dispatcher, worker: Worker) -> float:
    """ζ: the list weight, else the inverse of run time per cost."""
    speed = worker.entry.weight if d.settings.has_weights else 1.0 / max(pace(d, worker), 1e-6)
    return max(speed, 1e-6) * worker.health


def shares(d: Dispatcher, theta: float, ready: list[Worker]) -> list[float]:
    """Eq. (7) with U = log(1 + x): η = [θ/(φ+λ) − 1/ζ]⁺, Ση = 1 by bisection, ζ in units of the mean."""
    if theta <= 0:
        return [1 / len(ready)] * len(ready)
    zeta = [quality(d, w) for w in ready]
    inverse = [sum(zeta) / len(zeta) / (ZETA * z) for z in zeta]
    low = -min(w.price for w in ready)
    high = low + theta * len(ready) + 1.0
    for _ in range(200):
        lam = (low + high) / 2
        eta = [max(0.0, theta / max(w.price + lam, 1e-300) - i) for w, i in zip(ready, inverse, strict=True)]
        low, high = (lam, high) if sum(eta) > len(ready) else (low, lam)
    return [e / sum(eta) for e in eta]
