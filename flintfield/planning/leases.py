"""Leases of one planner, which limit what each forwarder may send to a cold worker and until when.

Rules. The budget of a cold worker per fall window is normalised to 1, whatever its estimated size; parts are
fractions of it. OWN_PART is used without planners (the schedulers share it by lot); the rest is divided
equally among the *configured* planners, by place. A planner grants leases from its own part only.

Why the sum stays within the budget. Let a lease of part p be granted at time t of the planner's clock, in
answer to a digest that the forwarder sent at time s of its own clock. The forwarder uses the lease until s +
valid, which is not after t + valid, since the digest was sent before it was answered. Work sent under the
lease counts in windows that end up to `fall_ms` later. The part is therefore reserved until t + valid +
fall_ms, multiplied by DRIFT to allow for clocks that run at different rates. A forwarder follows one of a
planner's plans at a time, so it uses at most the largest of its open leases. The sum of these over forwarders
never exceeds the planner's part; the parts of all planners add up to 1 - OWN_PART, and OWN_PART is used
without planners. The total is never above 1 with any network partition, stale plan or restart.

A restarted planner does not know the leases of its previous incarnation, so it grants none from its first
step for the longest time that these may count (`quiet_ms`). The same holds for a planner that was suspended
for longer than a lease, since another process may have been started in its place. A digest that reports a
higher term for the planner's place ends its leasing permanently. Not covered: two processes configured with
the same place, both alive and able to reach forwarders that do not share a planner. Each place must be
configured once, as `me` is.

Rejected alternatives: a majority for each lease (Chubby, Raft) requires that half of the planners can be
reached, whereas each side of a partition should keep working; parts by the number of live planners grow when
a live planner is taken for dead.
"""

from __future__ import annotations

import math

OWN_PART = 0.6
"""Fraction of the cold budget that is used without any planner. A lower value degrades service in a
deployment without planners (which had the whole budget before leases); a higher value leaves nothing to
lease."""
DRIFT = 1.02  # allowed ratio of clock rates: crystals are within 1e-4, virtual machines within 1e-2
LEASE_MS = 3_000.0
MIN_PART = 0.02  # smaller leases are not granted: no job would fit


def planner_part(planners: int) -> float:
    """The part of a cold worker's budget that each of `planners` configured planners may lease."""
    return (1.0 - OWN_PART) / planners if planners > 0 else 0.0


def hold_ms(valid_ms: float, fall_ms: float) -> float:
    """How long a lease counts after it was granted."""
    return (valid_ms + fall_ms) * DRIFT


class Leases:
    """The leases granted by the planner of one place."""

    def __init__(self, planners: int, fall_ms: float) -> None:
        self.part, self._fall_ms = planner_part(planners), fall_ms
        self._granted: dict[int, dict[str, list[tuple[float, float]]]] = {}  # by worker: (until, part)
        self._quiet_until = math.inf  # until the first step
        self._last_step_at = -math.inf
        self.superseded = False  # another planner has taken this place

    @property
    def quiet_ms(self) -> float:
        """How long a restarted planner grants no leases."""
        return hold_ms(LEASE_MS, self._fall_ms)

    def step(self, now: float) -> None:
        """Advance the time to `now`; must be called before `grant`, and at least once a second."""
        if now - self._last_step_at > LEASE_MS:  # the first step, or this process was suspended
            self._quiet_until = now + self.quiet_ms
        self._last_step_at = now
        for worker in list(self._granted):
            by_forwarder = self._granted[worker]
            for name in list(by_forwarder):
                by_forwarder[name] = [lease for lease in by_forwarder[name] if lease[0] > now]
                if not by_forwarder[name]:
                    del by_forwarder[name]
            if not by_forwarder:
                del self._granted[worker]

    def may_grant(self, now: float) -> bool:
        """Whether the quiet period is over and no other planner has taken this place."""
        return not self.superseded and now >= self._quiet_until

    def leased_part(self, worker: int, excluded: str = "") -> float:
        """Upper bound on the leased part of a worker's budget, excluding the forwarder `excluded`."""
        return math.fsum(max(part for _, part in leases)
                         for name, leases in self._granted.get(worker, {}).items() if name != excluded)

    def grant(self, now: float, worker: int, forwarder: str, wanted: float) -> float:
        """Grant a forwarder up to `wanted` for LEASE_MS; returns the granted part, 0 if none is left."""
        if not self.may_grant(now):
            return 0.0
        part = min(wanted, self.part - self.leased_part(worker, forwarder))
        if part < MIN_PART:
            return 0.0
        until = now + hold_ms(LEASE_MS, self._fall_ms)
        leases = self._granted.setdefault(worker, {}).setdefault(forwarder, [])
        leases[:] = [lease for lease in leases if lease[1] > part] + [(until, part)]
        return part
