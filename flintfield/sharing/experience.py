"""What an instance knows of worker nodes: its evidence, and what decisions say and are told of them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

HALF_MS = 20_000.0  # an outcome counts half after that: as long as a node that fails rests (SHUN_MS)
LATEST = 600.0  # seconds back that a decayed count can matter: guards exp against nonsense


def decayed(age_ms: float) -> float:
    """How much an outcome of that age still counts, from 1 to 0."""
    half_lives = min(age_ms, LATEST * 1_000) / HALF_MS
    return math.pow(0.5, half_lives)


@dataclass(slots=True)
class Seen:
    """Our own evidence on one class of a node's life, decayed as of `at`."""

    failed: float = 0.0
    served: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        """As of now."""
        part = decayed(max(0.0, now - self.at))
        self.failed, self.served, self.at = self.failed * part, self.served * part, now


@dataclass(frozen=True, slots=True)
class Look:
    """What the decisions have to say of a worker node now; times are ms of our life."""

    worker: int
    held: float  # slots
    most: float
    started: int
    unreached: bool


@dataclass(frozen=True, slots=True)
class Heard:
    """What is to be told to the decisions of a worker node."""

    worker: int
    held: float  # slots that others hold there, as far as they are heard
    most: float
    avoid: tuple[int, ...] = ()  # classes whose jobs are better kept away
    unreached: bool = False


@dataclass(slots=True)
class Experience:
    """Of one life of a worker node: what was said of it last, and how jobs of each class ended there."""

    started: int = 0
    look: Look | None = None
    classes: dict[int, Seen] = field(default_factory=dict)
