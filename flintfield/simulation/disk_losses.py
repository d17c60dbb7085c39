"""As many lost disks at once as the core tolerates, mostly while all other machines lose power."""

from __future__ import annotations

import random

from flintfield.simulation.faults import ALL, LEADER, Fault, FaultKind, Trigger, tolerated_losses

AT_MS = (3_500, 7_500)
DOWN_MS = (200, 2_000)
LATER_MS = (0.0, 1_000.0, 2_500.0)  # how much later at most the machines with empty disks are back
CORE_SIZES = (5, 6)  # both tolerate two lost disks
CLIENTS = (0, 3, 6)
FIRST_SEEDS_SHARE = 0.3  # of the faults that strike the first seeds
LEADER_SHARE = 0.3


def draw_core(seed: int) -> tuple[int, int]:
    """Draw the number of replicas, and of schedulers that don't count."""
    rng = random.Random(f"core {seed}")
    return rng.choice(CORE_SIZES), rng.choice(CLIENTS)


def draw_loss(rng: random.Random, replicas: list[str]) -> Fault:
    """Draw the replicas that lose their disks, the moment, and which other machines lose power."""
    tolerated = tolerated_losses(len(replicas))
    lost = rng.sample(replicas, tolerated)
    if rng.random() < FIRST_SEEDS_SHARE:
        lost = replicas[:tolerated]
    if rng.random() < LEADER_SHARE:
        lost[0] = LEADER
    kind = rng.choice((FaultKind.WIPE, *[FaultKind.WIPE_AND_POWER] * 3))
    others = rng.choice(("", ALL, ALL)) if kind is FaultKind.WIPE_AND_POWER else ""
    trigger = rng.choice((Trigger.NONE, Trigger.ACK, Trigger.ACK, Trigger.NOTED))
    at_ms, down_ms = rng.randint(*AT_MS), rng.randint(*DOWN_MS)
    return Fault(kind, at_ms, ",".join(lost), others, down_ms, rng.choice(LATER_MS), trigger)
