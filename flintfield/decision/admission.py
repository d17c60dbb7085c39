"""Admission control under overload: which jobs are worth accepting, by age and remaining time.

A refused client retries with a new id and the rest of its original time. The retry's age is the original time
minus the remaining time, and its latency target (aim) counts from the first try. Treated as new, it ends
after its target and displaces a job that could meet its own: when a third of a fleet was lost, 1,386 of 1,419
late match lists were such retries.

A job that is too old to meet its target is accepted only into spare capacity, when for a while no job was
given up here for lack of room; otherwise it is refused at once. A *high-worth* job, worth more than the
lowest class, is treated as new in any case: hints are often wrong, and what it earns if in time outweighs ten
late jobs of the lowest worth. For the same reason it is assumed to run longer than its hint before it is
given up, and its first attempt may queue at a worker instead of being refused for lack of a free slot.
"""

from __future__ import annotations

from collections.abc import Callable

from flintfield.decision.interface import RequestClass

TOO_LATE_COST_FACTOR = 2.0  # factor on a job's run time at the fastest worker, if it has little time left
QUEUE_AFTER = 0.5  # fraction of its useful time that a high-worth job waits for a slot before it may queue
LATE_RETRY_WORTH = 0.01  # fraction of its class's worth that a job counts if too old to meet its target
HIGH_WORTH_COST_FACTOR = 1.5  # factor on a high-worth job's hinted cost when deciding whether to give it up


def useful_ms(cls: RequestClass, cost: float, pace: float) -> float:
    """How long after its first try (ms) a job that has not started can still meet its target; `pace` is the
    run time per unit of cost."""
    return max(cls.aim_ms + (cls.stretch - pace) * cost, cls.aim_ms / 2)


def is_too_late(cls: RequestClass, left_ms: float, hint_ms: float | None,
                quickest: Callable[[], float]) -> bool:
    """Whether a job with less than half its class's time left is unlikely to end before its deadline.

    An immediate answer saves the work and lets the client go elsewhere. `quickest` returns the pace of the
    fastest worker."""
    return left_ms < cls.deadline_ms / 2 and left_ms <= TOO_LATE_COST_FACTOR * quickest() * (hint_ms or 0.0)
