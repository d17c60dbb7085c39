"""Scenarios from elsewhere: a day that the operators' simulator printed, or a capture of a scheduler in
service.

A day is taken over figure by figure: machines with their true speeds, classes, load, network, discovery and
troubles with their steps. What it has and a scenario has not (keys, memory, tenants, streams, choking) is
left out; a trouble of a kind that is not known is an error. A capture gives the load (classes, rates over
time, what the hints tell of the works) and the fleet as discovery listed it; true speeds it does not know.

What cannot be read is a `ScenarioError` that names file, key, what was found and what was expected.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from flintfield.lab import scenario as sc

US = 1_000.0  # microseconds in a millisecond
WINDOW_S = 5.0  # of a capture's rate
LARGEST = 1 << 30  # bytes of a file
LONGEST = 0.35  # of a class's deadline: the simulator's longest work
NO_HINT_MS, NO_HINT_CV = 700.0, 1.0  # work of a class whose requests bring no hints


def read(path: str | Path, rate: float = 1.0) -> sc.Scenario:
    """The scenario of a day or a capture; `rate` times its load."""
    where = str(path)
    try:
        if Path(path).stat().st_size > LARGEST:
            raise sc.ScenarioError(f"{where}: found more than {LARGEST} bytes, expected a day or a capture")
        text = Path(path).read_bytes()
    except OSError as error:
        raise sc.ScenarioError(f"{where}: cannot be read: {error}") from error
    try:
        whole = json.loads(text)
    except ValueError:
        whole = None
    if isinstance(whole, dict) and "tiers" in whole:
        made = from_day(whole, where)
    else:
        made = from_capture(text.splitlines(), where)
    load = made.load
    scaled = msgspec.structs.replace(load, level=load.level and load.level * rate,
                                     per_s=load.per_s and load.per_s * rate)
    made = msgspec.structs.replace(made, load=scaled)
    sc.check(made, where)
    return made


def _name(text: str) -> str:
    """A scenario's name made of any text."""
    return re.sub(r"[^a-z0-9+.-]+", "-", text.lower()).strip("-.+")[:64] or "imported"


# ------------------------------------------------------------------------ a day

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
        name=_name(f"{day.site}-{day.kind}"),
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


# -------------------------------------------------------------------- a capture


def from_capture(lines: Iterable[bytes], where: str = "capture") -> sc.Scenario:
    """The scenario of a capture: its lines are JSON objects, a header first."""
    header: dict[str, Any] | None = None
    servers: dict[str, dict[str, Any]] = {}
    requests: list[dict[str, Any]] = []
    for line in lines:
        try:
            told = json.loads(line)
            record = told["record"]
        except (ValueError, KeyError, TypeError):
            continue  # a damaged line, or the marks round a record in a log
        if record == "header":
            header = header or told
            servers |= {s["instanceId"]: s for s in told.get("servers", [])}
        elif record == "discovery":
            servers |= {s["instanceId"]: s for s in told.get("instances", [])}
        elif record == "request":
            requests.append(told)
    if header is None:
        raise sc.ScenarioError(f"{where}: found no header, expected a day (JSON) or a capture's lines")
    if not requests or not servers:
        lacks = "requests" if not requests else "worker nodes"
        raise sc.ScenarioError(f"{where}: found no {lacks}, expected a capture of a scheduler at work")
    try:
        return _captured(header, list(servers.values()), requests)
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise sc.ScenarioError(f"{where}: found records that cannot be read ({error!r}), expected those of "
                               "a capture") from error


def _captured(header: dict[str, Any], servers: list[dict[str, Any]],
              requests: list[dict[str, Any]]) -> sc.Scenario:
    settings = header["settings"]
    began = min(r["at"] for r in requests)
    length_s = max(WINDOW_S, (max(r["at"] for r in requests) - began) / 1_000)
    per_s = len(requests) / length_s
    windows = math.ceil(length_s / WINDOW_S)
    counts = [0] * windows
    for r in requests:
        counts[min(windows - 1, int((r["at"] - began) / 1_000 / WINDOW_S))] += 1
    shape = tuple(((i + 0.5) * WINDOW_S, max(0.01, n / WINDOW_S / per_s)) for i, n in enumerate(counts))
    zones = tuple(settings.get("areas") or ["a"])
    family, rules = settings.get("family_info", {}), settings.get("rules", {})
    classes = [_captured_class(i, c, family, [r for r in requests if r["cls"] == i])
               for i, c in enumerate(settings["request_classes"])]
    kinds, nodes = _captured_fleet(settings, servers, zones)
    return sc.Scenario(
        name=_name(f"capture-{header.get('scheduler', '')}"), about="Imported from a capture: its load.",
        length_s=length_s, zones=zones, fleet=sc.Fleet(kinds=kinds, node=nodes),
        classes=[c for c in classes if c], load=sc.Load(per_s=per_s, shape=shape),
        schedulers=sc.Schedulers(count=1),
        rules=sc.Rules(drain_grace_ms=rules.get("drain_grace_ms", 400.0),
                       answer_slack_ms=rules.get("answer_slack_ms", 8.0)))


def _captured_class(place: int, given: dict[str, Any], family: dict[str, Any],
                    requests: list[dict[str, Any]]) -> sc.RequestClass | None:
    if not requests:
        return None
    hints = [r["hint_ms"] for r in requests if r.get("hint_ms")]
    mean = sum(hints) / len(hints) if hints else NO_HINT_MS
    spread = math.sqrt(sum((h - mean) ** 2 for h in hints) / len(hints)) / mean if hints else NO_HINT_CV
    stretches = family.get("class_stretch", [])
    return sc.RequestClass(
        name=given["name"], share=float(len(requests)), work_ms=mean, cv=spread,
        aim_ms=given["aim_ms"], deadline_ms=given["hard_limit_ms"], worth=given.get("worth", 1.0),
        stretch=stretches[place] if place < len(stretches) else 0.0,
        effect="safe" if given.get("effect") == "free" else "unsafe")


def _captured_fleet(settings: dict[str, Any], servers: list[dict[str, Any]],
                    zones: tuple[str, ...]) -> tuple[list[sc.Kind], list[sc.Node]]:
    """Machines as listed; with no word of cores, a weight is taken for them."""
    shapes = settings.get("shapes") or ["machine"]
    kinds: dict[str, sc.Kind] = {}
    nodes = []
    for server in servers:
        if server["lifecycle"] != "in_service":
            continue
        kind = shapes[min(int(server["kind"]), len(shapes) - 1)]
        cores = max(1, round(server.get("weight", 1.0)))
        kinds.setdefault(kind, sc.Kind(name=kind, cores=cores, slots=cores))
        nodes.append(sc.Node(kind=kind, zone=zones[min(int(server["zone"]), len(zones) - 1)]))
    return list(kinds.values()), nodes
