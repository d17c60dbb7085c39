"""The settings of a dispatcher, and the types that settings, events and actions share.

interface.py re-exports them; import them from there. Times are milliseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, fields
from enum import Enum
from typing import Any

WorkerId = int


class Effect(Enum):
    """What the repetition of a request does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which workers discard the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    UNSENT = "unsent"  # connected, but the connection broke or was silent before the request was sent whole
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.UNSENT, Outcome.MOOT})
"""The outcomes that prove an attempt had no effect."""


class State(Enum):
    """A worker's state according to the server list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListMode(Enum):
    """How to interpret a server list."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


# ------------------------------------------------------------------ settings


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of request; its latency target is `aim_ms` plus `stretch` times its work."""

    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0
    stretch: float = 0.0
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    window_ms: float = 0.0
    kind: int | None = None
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A paying customer; `allowance_per_s` applies to all dispatchers together."""

    allowance_per_s: float
    portion: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits a dispatcher to do."""

    max_attempts: int = 3
    probes: bool = True
    cancel: bool = True
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    """Parameters of the four rules."""

    answer_slack_ms: float = 0.0
    ask_within_ms: float = 10_000.0
    drain_grace_ms: float = 0.0
    cold_from: float = 1.0
    cold_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_ms: float = 1_000.0


@dataclass(frozen=True, slots=True)
class Prices:
    """Cost of each unit of a side effect, in points of the result."""

    cross_zone: float = 0.0
    origin: float = 0.0
    late_fail: float = 0.0
    waste: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a dispatcher.

    `me` is its number from 0 among `dispatchers`, by which it chooses the workers that it uses; a wrong
    count, for example when some are down, only makes the load less even. `zone` is its location.
    `over_share_worth` is the worth of a request beyond its tenant's allowance, as a fraction of its class's.
    `ask_list`: the server list is delivered only on request; `pushed`: its news take effect all the same.
    `first_word_ms`: for how long no job is sent by a list that may lack news in effect
    (discovery_schedule.py).
    `has_weights`: the list gives sizes, which are then used as quality. `reports`: workers report their load
    when probed, and with `reports_in_answers` in each outcome too. `tells_start`: a note is delivered when a
    job starts. `worth_by_work`: a request's worth is its class's worth times its work. `resolution_ms`: the
    shortest time between the clocks of two events.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    me: int = 0
    dispatchers: int = 1
    zone: int = 0
    ask_list: bool = False
    pushed: bool = False
    first_word_ms: float = 0.0
    has_weights: bool = False
    reports: bool = True
    reports_in_answers: bool = False
    tells_start: bool = False
    resolution_ms: float = 1.0
    worth_by_work: bool = False
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)

    def max_call_wait_ms(self) -> float:
        """The longest wait between two failed calls for the list. If lists are pushed, the news that a call
        delivers took effect when they occurred; this leaves half of a drain's grace time to act on them."""
        return self.rules.drain_grace_ms / 2 if self.pushed else math.inf

    def unsafe(self) -> tuple[int, ...]:
        """The classes whose jobs must never run twice."""
        return tuple(i for i, c in enumerate(self.classes) if c.effect is Effect.UNSAFE)

    def __post_init__(self) -> None:
        """Raise ValueError for invalid settings."""
        if not self.classes:
            raise ValueError("classes: at least one is required")
        if self.dispatchers < 1:
            raise ValueError("dispatchers: must be at least 1")
        if not 0 <= self.me < self.dispatchers:
            raise ValueError("me: must be from 0 to dispatchers - 1")
        named: list[tuple[str, Any]] = [("rules", self.rules), ("limits", self.limits)]
        named += [(f"classes[{i}]", c) for i, c in enumerate(self.classes)]
        named += [(f"tenants[{i}]", t) for i, t in enumerate(self.tenants)]
        for where, part in named:
            for item in fields(part):
                value = getattr(part, item.name)
                if isinstance(value, int | float) and value < 0:
                    raise ValueError(f"{where}.{item.name}: must not be negative")
