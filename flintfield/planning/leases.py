"""Who may send what to a cold worker, and until when: one planner's book of leases.

Rules. The budget of a cold worker for a fall window is one, for any estimate of its size: parts are fractions
of it. OWN_PART is for the rule that needs no planner (the schedulers share it by lot); the rest is divided
equally among the planners that are *configured*, by place. A planner gives leases from its own part alone.

Why the sum holds. Let a lease of part p be given at t on the planner's clock, as the answer to a digest
that the forwarder sent at s on its own. The forwarder uses it until s + valid, which is not after t +
valid, for the digest was sent before it was answered. What was sent under it counts in windows that end up
to `fall_ms` later. The book therefore holds the part until t + valid + fall_ms, stretched by DRIFT for
clocks that run unlike. A forwarder follows one of a planner's plans at a time, so it holds the greatest of
its open leases at the most. The book's sum over forwarders of these never passes the part; a planner's
parts add up to 1 - OWN_PART, and the rule without planners keeps OWN_PART: together never more than 1,
whoever is split, stale or restarted.

A new life of a planner knows nothing of its last life's leases, so it gives none for the longest time that
these may count (`quiet_ms`), from its first step; nor does one that stood still for longer than a lease,
for somebody may have been started in its place. A digest that tells of a higher term for our place ends our
leasing for good. What is not guarded: two processes configured as the same place, both alive and able to
reach forwarders that do not share a planner. A place is configured once, as `me` is.

Rejected: a majority for each lease (Chubby, Raft) needs half of the planners to be reached where a split
wants each half to go on; parts by live count grow when somebody is thought dead who is not.
"""

from __future__ import annotations

import math

OWN_PART = 0.6
"""Of the cold budget: used without any planner. With less, a deploy without planners would cost service
(today's rule is the whole); with more, there is nothing to lease."""
DRIFT = 1.02  # how unlike clocks may run: crystals are within 1e-4, virtual machines within 1e-2
LEASE_MS = 3_000.0
LEAST_PART = 0.02  # smaller leases are not given: no job would fit


def planner_part(planners: int) -> float:
    """What one of so many configured planners may lease of a cold worker's budget."""
    return (1.0 - OWN_PART) / planners if planners > 0 else 0.0


def hold_ms(valid_ms: float, fall_ms: float) -> float:
    """How long after it was given a lease counts."""
    return (valid_ms + fall_ms) * DRIFT


class Leases:
    """The book of one planner's place."""

    def __init__(self, planners: int, fall_ms: float) -> None:
        self.part, self._fall_ms = planner_part(planners), fall_ms
        self._given: dict[int, dict[str, list[tuple[float, float]]]] = {}  # by worker: (until, part)
        self._quiet_until = math.inf  # until the first step
        self._stepped = -math.inf
        self.ended = False  # somebody else has our place

    @property
    def quiet_ms(self) -> float:
        """For how long a new life gives no lease."""
        return hold_ms(LEASE_MS, self._fall_ms)

    def step(self, now: float) -> None:
        """Time has come to `now`; to be called before `give`, and at least every second."""
        if now - self._stepped > LEASE_MS:  # the first step, or we stood still
            self._quiet_until = now + self.quiet_ms
        self._stepped = now
        for worker in list(self._given):
            book = self._given[worker]
            for name in list(book):
                book[name] = [lease for lease in book[name] if lease[0] > now]
                if not book[name]:
                    del book[name]
            if not book:
                del self._given[worker]

    def may_give(self, now: float) -> bool:
        """Whether the time of listening is over and the place is ours."""
        return not self.ended and now >= self._quiet_until

    def open_part(self, worker: int, but: str = "") -> float:
        """What is leased of a worker's budget at the most, by all but one forwarder."""
        return math.fsum(max(part for _, part in held)
                         for name, held in self._given.get(worker, {}).items() if name != but)

    def give(self, now: float, worker: int, forwarder: str, wanted: float) -> float:
        """Give a forwarder up to that part until LEASE_MS from now; 0 where nothing is left."""
        if not self.may_give(now):
            return 0.0
        part = min(wanted, self.part - self.open_part(worker, forwarder))
        if part < LEAST_PART:
            return 0.0
        until = now + hold_ms(LEASE_MS, self._fall_ms)
        held = self._given.setdefault(worker, {}).setdefault(forwarder, [])
        held[:] = [lease for lease in held if lease[1] > part] + [(until, part)]
        return part
