"""What stands round schedulers and nodes: network, front, discovery and the rules of the platform."""

from __future__ import annotations

from typing import Annotated, Any

from msgspec import Meta, field

from flintfield.lab.scenario.types import Count, Ms, Positive, Share, Spec


class Network(Spec):
    """One-way times between parties, and their spread."""

    same_ms: Ms = 0.25  # within a zone
    cross_ms: Ms = 1.2  # between zones
    client_ms: Ms = 0.6
    jitter: Ms = 0.2  # relative


class Front(Spec):
    """The plain layer that spreads clients over the schedulers of their zone."""

    notice_ms: Ms = 2_500.0  # it goes on sending to a dead scheduler for so long


class Schedulers(Spec):
    """The schedulers under test."""

    count: Count = 3
    start_spread_ms: Ms = 800.0
    told_count: Count | None = None  # what each is told of their number; None: the truth
    zones: list[str] = field(default_factory=list)  # of each; empty: in turn
    start_at_ms: list[float] = field(default_factory=list)  # empty: drawn within `start_spread_ms`
    memory_mb: Count = 192  # over it a process is killed (engine on sockets)
    sockets: Count = 1024  # descriptors that a process may hold (engine on sockets)
    cpu_us_per_decision: Ms = 0.0  # virtual time that a message takes in the reducer; 0: none
    settings: dict[str, Any] = field(default_factory=dict)  # over the platform's, by operators' names
    clock_offset_ms: list[float] = field(default_factory=list)  # of each scheduler's clock; empty: none


class Sharing(Spec):
    """What the schedulers tell each other, by the operators' keys of `[sharing]`, and what befalls it."""

    judgements: bool = False
    loss: Share = 0.0  # of the words
    late_ms: Ms = 0.0  # each takes so long more
    deaf: Share = 0.0  # of the schedulers, the first ones: they hear nothing and are not heard
    wrong: Annotated[int, Meta(ge=0)] = 0  # schedulers, the last ones, that say the worst of every node


class Discovery(Spec):
    """The list service: late, and of fixed capacity for all."""

    notice_ms: Ms = 1_500.0  # until it knows that a process ended
    silent_notice_ms: Ms = 9_000.0  # until it knows that a machine vanished
    add_ms: Ms = 1_300.0  # until it lists a process that started
    period_ms: Positive = 700.0  # between two looks at the fleet
    spread_ms: Ms = 80.0  # how far apart watchers hear
    lines_per_s: Positive = 200.0
    call_lines: Ms = 50.0  # what a call costs beside its lines
    timeout_ms: Positive = 1_000.0


class Rules(Spec):
    """The figures of the four rules, as the schedulers are told them."""

    answer_slack_ms: Ms = 8.0
    drain_grace_ms: Ms = 400.0
    ask_within_ms: Ms = 10_000.0
    cold_from: Share = 0.32
    cold_ms: Ms = 8_900.0
    fall_multiple: Positive = 3.0
    fall_ms: Positive = 1_000.0
    max_attempts: Count = 6


class Goal(Spec):
    """Weights of the service figure."""

    whole: Share = 0.55
    worst_window: Share = 0.15
    worst_class: Share = 0.30
    window_ms: Positive = 10_000.0
