"""Other seeds in the settings, then many processes that start anew and have to find the core by them."""

from __future__ import annotations

import random

from flintfield.simulation.faults import ALL, Fault, FaultKind


def draw_turnover(
    rng: random.Random, replicas: list[str], schedulers: list[str], agents: list[str]
) -> list[Fault]:
    """Other seeds, mostly such as keep nothing; then those who know the core end, or those who are asked."""
    keeping_nothing = [name for name in schedulers if name not in replicas]
    named = keeping_nothing[:3] if rng.random() < 0.7 else rng.sample(schedulers, 3)
    drawn = [Fault(FaultKind.SEED_TURNOVER, rng.randint(2_700, 3_600), ",".join(named))]
    at_ms = rng.randint(4_200, 5_500)
    for _ in range(rng.randint(1, 2)):
        drawn += _restarts(rng, replicas, agents, named, at_ms)
        at_ms += rng.randint(1_800, 3_000)
    return drawn


def _restarts(
    rng: random.Random, replicas: list[str], agents: list[str], seeds: list[str], at_ms: int
) -> list[Fault]:
    """Many processes that start anew at about the same time."""
    draw = rng.random()
    down_ms = rng.randint(200, 700)
    if draw < 0.4:
        return [Fault(FaultKind.POWER_ALL, at_ms, "", "", down_ms, rng.choice((0.0, 200.0, 1_000.0)))]
    if draw < 0.6:
        return [Fault(FaultKind.WIPE_AND_POWER, at_ms, rng.choice(replicas), ALL, down_ms)]
    lost = seeds if draw < 0.8 else [*seeds, *agents]
    kinds = {name: FaultKind.KILL_AGENT if name in agents else FaultKind.KILL_SCHEDULER for name in lost}
    return [Fault(kind, at_ms, name, "", rng.randint(200, 700)) for name, kind in kinds.items()]
