"""A scenario from a day that the operators' simulator printed, figure by figure.

Machines with their true speeds, classes, load, network, discovery and troubles with their steps are taken
over. What a day has and a scenario has not (keys, memory, tenants, streams, choking) is left out; a trouble
of a kind that is not known is a `ScenarioError`, as is what cannot be read.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from flintfield.lab import scenario as sc
from flintfield.lab.scenario_names import name_of

US = 1_000.0  # microseconds in a millisecond
LONGEST = 0.35  # of a class's deadline: the simulator's longest work

Pair = tuple[float, float]


class _Net(msgspec.Struct):
    same: float
    cross: float
    client: float
    jitter: float


class _Traffic(msgspec.Struct):
    load: float
    shape: list[Pair]
    zone_share: list[float]
    hint_cv: float
    worth_by_work: bool = True


class _Clients(msgspec.Struct):
    retries: int
    backoff: str
    backoff_us: float
    honour: float = 0.0
    impatient: float = 0.0
    marks_retry: bool = False


class _Discovery(msgspec.Struct):
    notice: float
    silent_notice: float
    add: float
    period: float
    spread: float
    lines_per_s: float
    call_lines: float
    timeout: float


class _Allow(msgspec.Struct):
    max_attempts: int
    retry_after: bool = False


class _Class(msgspec.Struct):
    name: str
    share: float
    work: float
    dist: Literal["fixed", "exponential", "lognormal", "pareto"]
    cv: float
    attempt_noise: float
    aim: float
    deadline: float
    worth: float
    effect: Literal["safe", "unsafe"]


class _Kind(msgspec.Struct):
    name: str
    cores: int
    slots: int
    queue: int
    cold_from: float
    cold: float
    warm_by_requests: bool
    error_rate: float
    cancel: Literal["none", "queued", "running"]


class _Tier(msgspec.Struct):
    kinds: list[_Kind]
    weights: str
    report_period: float
    report_delay: float
    report_noise: float
    handshake_rtts: float
    handshake_work: float
    conn_idle: float
    connect_timeout: float
    conn_cap_per_core: float
    conn_full_tax: float
    probe_work: float
    probe_cap_per_core: float
    stated_cold_from: float
    stated_cold: float


class _Server(msgspec.Struct):
    zone: int
    kind: int
    speed: float
    weight: float
    up: bool


class _Balancer(msgspec.Struct):
    zone: int
    start: float


class _Step(msgspec.Struct):
    at: float
    stop: list[int]
    start: list[int]


class _Trouble(msgspec.Struct):
    kind: str
    at: float
    len: float
    size: float
    extra: float
    on: list[int]
    steps: list[_Step]


class _Need(msgspec.Struct):
    slots: list[float]
    stretch: float
    priority: int


class _Family(msgspec.Struct):
    checkpoint: float
    drain_returns: bool
    order: Literal["fifo", "backfill", "priority"]
    progress: float
    tells_start: bool
    needs: list[_Need]


class _Day(msgspec.Struct):
    site: str
    kind: str
    length: float
    tail: float
    zones: list[str]
    net: _Net
    front_notice: float
    traffic: _Traffic
    clients: _Clients
    discovery: _Discovery
    allow: _Allow
    drain_grace: float
    fall_multiple: float
    fall_for: float
    goal: dict[str, float]
    classes: list[_Class]
    tiers: Annotated[list[_Tier], Meta(min_length=1, max_length=1)]
    servers: list[_Server]
    balancers: list[_Balancer]
    troubles: list[_Trouble]
    fam: _Family


def from_day(raw: Any, where: str = "day") -> sc.Scenario:
    """The scenario of a day of the operators' simulator, from its JSON object."""
    try:
        day = msgspec.convert(raw, _Day)
    except msgspec.ValidationError as error:
        word, _, at = str(error).partition(" - at `$")
        raise sc.ScenarioError(f"{where}: {at.rstrip('`').lstrip('.') or 'top'}: {word}") from error
    return sc.Scenario(
        name=name_of(f"{day.site}-{day.kind}"),
        about=f"Imported from a day of the operators' simulator, of kind {day.kind}.",
        length_s=day.length / US / 1_000, tail_s=max(1.0, day.tail / US / 1_000), zones=tuple(day.zones),
        network=sc.Network(day.net.same / US, day.net.cross / US, day.net.client / US, day.net.jitter),
        front=sc.Front(day.front_notice / US),
        schedulers=sc.Schedulers(count=len(day.balancers), zones=[day.zones[b.zone] for b in day.balancers],
                                 start_at_ms=[b.start / US for b in day.balancers]),
        discovery=_discovery(day.discovery), fleet=_fleet(day), rules=_rules(day),
        classes=[_class(c, n) for c, n in zip(day.classes, _needs(day), strict=True)],
        load=sc.Load(level=day.traffic.load, shape=tuple(day.traffic.shape), hint_cv=day.traffic.hint_cv,
                     worth_by_work=day.traffic.worth_by_work, zone_share=day.traffic.zone_share),
        clients=sc.Clients(retries=day.clients.retries, leaves=day.clients.impatient,
                           backoff_ms=0.0 if day.clients.backoff == "none" else day.clients.backoff_us / US,
                           honours_advice=day.clients.honour if day.allow.retry_after else 0.0,
                           marks_retry=day.clients.marks_retry),
        goal=sc.Goal(day.goal.get("whole", 1.0), day.goal.get("worst_window", 0.0),
                     day.goal.get("worst_class", 0.0)),
        trouble=[_trouble(day, i, t, where) for i, t in enumerate(day.troubles)],
    )


def _needs(day: _Day) -> list[_Need]:
    """What the jobs of each class need; the last one serves for the rest."""
    needs = day.fam.needs
    return [needs[min(i, len(needs) - 1)] for i in range(len(day.classes))]


def _class(given: _Class, need: _Need) -> sc.RequestClass:
    return sc.RequestClass(
        name=given.name, share=given.share, work_ms=given.work / US, dist=given.dist, cv=given.cv,
        most_ms=LONGEST * given.deadline / US, attempt_noise=given.attempt_noise, aim_ms=given.aim / US,
        stretch=need.stretch, deadline_ms=given.deadline / US, worth=given.worth, effect=given.effect,
        slots=tuple(need.slots), priority=need.priority)


def _discovery(given: _Discovery) -> sc.Discovery:
    return sc.Discovery(given.notice / US, given.silent_notice / US, given.add / US, given.period / US,
                        given.spread / US, given.lines_per_s, given.call_lines, given.timeout / US)


def _rules(day: _Day) -> sc.Rules:
    tier = day.tiers[0]
    return sc.Rules(drain_grace_ms=day.drain_grace / US, cold_from=tier.stated_cold_from,
                    cold_ms=tier.stated_cold / US, fall_multiple=day.fall_multiple,
                    fall_ms=day.fall_for / US, max_attempts=day.allow.max_attempts)


def _fleet(day: _Day) -> sc.Fleet:
    tier = day.tiers[0]
    kinds = [sc.Kind(
        name=k.name, cores=k.cores, slots=k.slots, queue=k.queue, cold_from=k.cold_from, cold_ms=k.cold / US,
        warm_by="work" if k.warm_by_requests else "time", error_rate=k.error_rate, cancel=k.cancel,
        connections_per_core=tier.conn_cap_per_core, crowding=tier.conn_full_tax) for k in tier.kinds]
    weights: Any = tier.weights if tier.weights in ("off", "nominal") else "rough"
    return sc.Fleet(
        kinds=kinds, node=[_node(day, s) for s in day.servers if s.up], weights=weights,
        order=day.fam.order, checkpoint_ms=day.fam.checkpoint / US, drain_returns=day.fam.drain_returns,
        tells_start=day.fam.tells_start, progress_ms=day.fam.progress / US,
        reports=sc.Reports(tier.report_period / US, tier.report_delay / US, tier.report_noise),
        probe_work_ms=tier.probe_work / US, probe_cap_per_core_s=tier.probe_cap_per_core,
        handshake_work_ms=tier.handshake_work / US, handshake_rtts=tier.handshake_rtts,
        conn_idle_ms=tier.conn_idle / US, dial_timeout_ms=tier.connect_timeout / US)


def _node(day: _Day, server: _Server) -> sc.Node:
    return sc.Node(kind=day.tiers[0].kinds[server.kind].name, zone=day.zones[server.zone],
                   speed=server.speed, weight=server.weight)


def _trouble(day: _Day, place: int, given: _Trouble, where: str) -> sc.AnyTrouble:
    if given.kind not in _TROUBLES:
        raise sc.ScenarioError(f"{where}: troubles[{place}].kind: found {given.kind!r}, expected one of "
                               f"{', '.join(_TROUBLES)}")
    return _TROUBLES[given.kind](day, given, given.at / US / 1_000, given.len / US / 1_000)


def _deploy(day: _Day, given: _Trouble, at_s: float, for_s: float) -> sc.Deploy:
    steps = [sc.DeployStep(s.at / US / 1_000, s.stop, [_node(day, day.servers[i]) for i in s.start])
             for s in given.steps]
    return sc.Deploy(at_s, for_s, drain_s=given.extra, steps=steps)


def _roll(day: _Day, given: _Trouble, at_s: float, for_s: float) -> sc.SchedulerRoll:
    steps = [sc.RollStep(s.at / US / 1_000, s.stop) for s in given.steps]
    return sc.SchedulerRoll(at_s, for_s, down_s=given.extra, steps=steps)


_TROUBLES: dict[str, Callable[[_Day, _Trouble, float, float], sc.AnyTrouble]] = {
    "deploy": _deploy,
    "balancer_roll": _roll,
    "crash": lambda day, given, at_s, for_s: sc.Crash(at_s, for_s, nodes=given.on),
    "slow": lambda day, given, at_s, for_s: sc.Slow(at_s, for_s, factor=given.size, nodes=given.on),
}
