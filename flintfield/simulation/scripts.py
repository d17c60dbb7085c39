"""What the clients and the operator of a history do."""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.simulation.plans import Plan
from flintfield.simulation.record import JobAsked

MAX_ATTEMPTS = 2  # of every queue


@dataclass(frozen=True, slots=True)
class JobScript:
    """A job, and what its client does: when it hands it in, cancels it, sends it twice."""

    job: JobAsked
    plans: tuple[Plan, ...]
    submit_ms: int
    cancel_ms: int | None
    sends_twice: bool
    twin_path: str = ""  # of a queue in which another client chooses the same ID


@dataclass(frozen=True, slots=True)
class ChangeScript:
    """What the operator does at a time: `orders` changes on one version at once; some may be invalid."""

    at_ms: int
    orders: int
    whole: bool
    invalid: bool
    repeats: bool
    terms: bool = False  # it changes the terms of a queue that jobs are handed in to
