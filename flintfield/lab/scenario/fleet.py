"""The fleet of a scenario: kinds of machines, and the worker nodes on them."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, field

from flintfield.lab.scenario.types import Count, Ms, Positive, Share, Spec


class Kind(Spec):
    """A kind of machine, and how the worker node on it behaves."""

    name: str
    share: Positive = 1.0  # of the fleet, against the other kinds
    cores: Count = 2
    speed: Positive = 1.0  # of a core, against the standard core
    speed_cv: Ms = 0.0  # spread of the nodes' speeds within the kind
    slots: Count = 2  # jobs in work at once; with more than `cores` they share the cores
    queue: Annotated[int, Meta(ge=0)] = 20  # jobs that wait; beyond it the answer is full
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 1.0  # the share of capacity at a start
    cold_ms: Ms = 0.0  # warm at the latest after that long, evenly
    warm_by: Literal["time", "work"] = "time"  # `work`: evenly with the work done, never slower than by time
    error_rate: Share = 0.0  # of jobs that end in an error
    cancel: Literal["none", "queued", "running"] = "none"  # what stops when an attempt is given up
    connections_per_core: Positive = 700.0  # beyond them a dial is refused
    crowding: Share = 0.0  # the part of its capacity that a full table of connections takes


class Node(Spec):
    """One node that is not drawn from the kinds' shares."""

    kind: str
    zone: str | None = None
    speed: Positive | None = None  # None: as its kind's
    weight: Positive | None = None  # the list weight; None: from its capacity


class Reports(Spec):
    """Load reports as probes read them."""

    period_ms: Positive = 600.0  # between two refreshes
    delay_ms: Ms = 250.0  # how old a refreshed report is
    noise: Ms = 0.01  # relative spread


class Fleet(Spec):
    """The worker nodes: `nodes` drawn from the kinds by share, or each one named under `node`."""

    kinds: Annotated[list[Kind], Meta(min_length=1)]
    nodes: Annotated[int, Meta(ge=0)] = 0
    node: list[Node] = field(default_factory=list)
    zone_skew: Share = 0.0  # 0: spread evenly over the zones
    weights: Literal["off", "nominal", "rough"] = "rough"  # of the list: none, cores, cores about right
    order: Literal["fifo", "backfill", "priority"] = "fifo"
    checkpoint_ms: Ms = 0.0  # a lost job safe to repeat goes on from a state saved that often; 0: never
    drain_returns: bool = True  # a node that drains hands back what has not started
    tells_start: bool = True
    progress_ms: Ms = 2_000.0  # between two progress notes; 0: none
    reports: Reports = field(default_factory=Reports)
    probe_work_ms: Ms = 0.06  # what a probe costs the node
    probe_cap_per_core_s: Positive = 7.0  # probes a second and core that it answers
    handshake_work_ms: Ms = 1.0  # what a new connection costs the node
    handshake_rtts: Ms = 1.2  # round trips before the first byte on it
    conn_idle_ms: Positive = 5_000.0
    dial_timeout_ms: Positive = 250.0
