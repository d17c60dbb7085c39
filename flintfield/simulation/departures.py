"""Faults of the themes that are about workers that deregister first, and about terms that change."""

from __future__ import annotations

import random

from flintfield.simulation.faults import LEADER, Fault, FaultKind

SERVES_ON_MS = (1_000, 9_000)
BACK_WITHIN_MS = (0.0, 300.0, 1_000.0)  # of one another, after the whole core was killed
_BESIDE_AGENT = (FaultKind.KILL_AGENT, FaultKind.STOP_AGENT)
_BESIDE_LEADER = (FaultKind.KILL_SCHEDULER, FaultKind.FREEZE)
_BESIDE_WORKER = (FaultKind.LATE_ORDERS, FaultKind.LOST_ANSWERS, FaultKind.LATE_BEATS, FaultKind.CRASH_WORKER)


def draw_deregistrations(rng: random.Random, agents: list[str]) -> list[Fault]:
    """Workers that deregister first and serve on, at times beside an agent or a dispatcher that ends."""
    drawn: list[Fault] = []
    for agent in rng.sample(agents, rng.choice((1, 1, 2))):
        at_ms, length_ms = rng.randint(3_200, 7_000), rng.randint(*SERVES_ON_MS)
        drawn.append(Fault(FaultKind.DEREGISTER_WORKER, at_ms, agent, "", length_ms))
        near_ms = at_ms + rng.randint(-500, length_ms)
        beside = rng.random()
        if beside < 0.2:
            drawn.append(Fault(rng.choice(_BESIDE_AGENT), near_ms, agent, "", 300))
        elif beside < 0.4:
            drawn.append(Fault(rng.choice(_BESIDE_LEADER), near_ms, LEADER, "", 1_000))
        elif beside < 0.5:
            share = rng.uniform(0.1, 0.8)
            drawn.append(Fault(rng.choice(_BESIDE_WORKER), near_ms, agent, "", 1_500, share))
    return drawn


def draw_core_kills(rng: random.Random) -> list[Fault]:
    """The whole core killed at once, and back in any order; at times twice."""
    times_ms = [rng.randint(4_500, 6_500), rng.randint(8_000, 9_500)]
    return [
        Fault(FaultKind.KILL_ALL_SCHEDULERS, at_ms, "", "", rng.randint(0, 300), rng.choice(BACK_WITHIN_MS))
        for at_ms in times_ms[: rng.choice((1, 2))]
    ]
