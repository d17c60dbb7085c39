"""Scenarios: what a run plays, as TOML, read and checked in one place.

A scenario is concrete: all figures stand in it, and a seed draws only what differs from run to run (arrivals,
works, hints, jitter, speeds within `speed_cv`, whom a trouble hits). Each component of the model draws from a
`numpy.random.SeedSequence` child of its own, named by the component, so that one node more changes no other's
draws.

All times are milliseconds unless a key ends in `_s`; work is milliseconds of a standard core (speed 1). A
file may name a shipped scenario under `extends`: then it holds only what differs, table by table; a list
stands for the whole list. `load(path)` reads a file, `check(scenario)` says what msgspec's types can not,
`library()` names what ships. An error is a `ScenarioError` of one line: file, key path, what was found and
what was expected.
"""

from __future__ import annotations

from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

Ms = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
MOST_EXTENDED = 4
"""How many files deep `extends` goes: guards against files that extend each other."""


class ScenarioError(Exception):
    """A scenario that cannot be played; the text is one line that names file and key."""


class Spec(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """A table of the file; a key that it does not have is an error."""


# -------------------------------------------------------------------- the fleet


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
    node: list[Node] = []
    zone_skew: Share = 0.0  # 0: spread evenly over the zones
    weights: Literal["off", "nominal", "rough"] = "rough"  # of the list: none, cores, cores about right
    order: Literal["fifo", "backfill", "priority"] = "fifo"
    checkpoint_ms: Ms = 0.0  # a lost job safe to repeat goes on from a state saved that often; 0: never
    drain_returns: bool = True  # a node that drains hands back what has not started
    tells_start: bool = True
    progress_ms: Ms = 2_000.0  # between two progress notes; 0: none
    reports: Reports = msgspec.field(default_factory=Reports)
    probe_work_ms: Ms = 0.06  # what a probe costs the node
    probe_cap_per_core_s: Positive = 7.0  # probes a second and core that it answers
    handshake_work_ms: Ms = 1.0  # what a new connection costs the node
    handshake_rtts: Ms = 1.2  # round trips before the first byte on it
    conn_idle_ms: Positive = 5_000.0
    dial_timeout_ms: Positive = 250.0


# ---------------------------------------------------------------- the requests


class RequestClass(Spec):
    """A class of request."""

    name: str
    share: Positive = 1.0
    work_ms: Positive = 700.0  # the mean
    dist: Literal["fixed", "exponential", "lognormal", "pareto"] = "lognormal"
    cv: Ms = 1.0  # of the work
    most_ms: Ms = 0.0  # works beyond it are cut to it, which lowers mean and cv; 0: none is
    attempt_noise: Ms = 0.15  # relative spread of a job's running time from attempt to attempt
    aim_ms: Ms = 600.0
    stretch: Ms = 2.0  # times the job's own work is added to the aim
    deadline_ms: Positive = 8_000.0  # all tries together
    worth: Positive = 1.0
    effect: Literal["safe", "unsafe"] = "safe"
    slots: Annotated[tuple[Share, ...], Meta(min_length=1)] = (1.0,)  # shares of jobs with 1, 2, 4, 8 slots
    priority: int = 0


class Owner(Spec):
    """An agency or caller, where the scenario has them; `share` of all requests."""

    name: str
    share: Positive = 1.0
    allowance_per_s: Ms = 0.0


class Load(Spec):
    """How much is asked for: `level` of the warm fleet's capacity, or `per_s` requests a second."""

    level: Ms | None = None
    per_s: Ms | None = None
    shape: tuple[tuple[float, Positive], ...] = ((0.0, 1.0),)  # (second, factor), linear in between
    hint_cv: Ms = 0.5  # spread of the cost hints; they are unbiased
    hint_factor: Positive = 1.0  # all hints are off by it
    hints: bool = True
    worth_by_work: bool = True
    zone_share: list[Positive] = []  # of requests, one for each zone; empty: even
    owners: list[Owner] = []


class Clients(Spec):
    """What clients do when a try fails; all tries of a wish have new ids."""

    retries: Annotated[int, Meta(ge=0)] = 3
    backoff_ms: Ms = 0.0  # the short fixed wait; 0: at once
    honours_advice: Share = 0.0  # of clients that wait as long as Retry-After says
    leaves: Share = 0.0  # of wishes whose client goes away before its answer, at a random time
    marks_retry: bool = False


# ------------------------------------------------------------ the platform round


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
    zones: list[str] = []  # of each; empty: in turn
    start_at_ms: list[float] = []  # of each, ready by then; empty: drawn within `start_spread_ms`
    memory_mb: Count = 192  # over it a process is killed (engine on sockets)
    sockets: Count = 1024  # descriptors that a process may hold (engine on sockets)
    cpu_us_per_decision: Ms = 0.0  # virtual time that a message takes in the reducer; 0: none
    settings: dict[str, Any] = {}  # over the platform's settings, by the operators' names
    clock_offset_ms: list[float] = []  # of each scheduler's clock; empty: none


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


# -------------------------------------------------------------------- troubles


class Trouble(Spec, tag_field="kind"):
    """Something goes wrong at `at_s`, for `for_s` seconds. Troubles may overlap."""

    at_s: Ms
    for_s: Ms = 0.0


class DeployStep(Spec):
    """At `at_s` nodes are told to drain, and new ones start."""

    at_s: Ms
    stop: list[int]  # by place in the fleet
    start: list[Node] = []  # empty: one like each that stops


class RollStep(Spec):
    """At `at_s` schedulers are taken out, to be restarted."""

    at_s: Ms
    stop: list[int]


class Deploy(Trouble, tag="deploy"):
    """Nodes are replaced, a batch at a time: told to drain, ended, started cold under a new name."""

    part: Share = 0.9  # of the fleet
    batch: Share = 0.15  # of the fleet at a time
    drain_s: Positive = 4.0
    steps: list[DeployStep] = []  # empty: drawn


class SchedulerRoll(Trouble, tag="scheduler-roll"):
    """Schedulers are restarted, a batch at a time; `graceful` ones get SIGTERM and their time to settle."""

    part: Share = 0.9
    batch: Share = 0.3
    down_s: Ms = 0.5
    told_s: Ms = 1.0  # the front sends it nothing new that long before it ends
    graceful: bool = False
    steps: list[RollStep] = []  # empty: drawn


class Crash(Trouble, tag="crash"):
    """Nodes' processes die together and come back cold, under the same name and address, after `for_s`."""

    part: Share = 0.2
    nodes: list[int] = []  # by place in the fleet; empty: drawn


class Vanish(Trouble, tag="vanish"):
    """Machines fall silent, connections stay open; after `for_s` they are back with their processes anew."""

    part: Share = 0.1
    nodes: list[int] = []


class SiteLoss(Trouble, tag="site-loss"):
    """All that stands in a zone goes down together and comes back after `for_s`, its worker nodes cold.

    `silent`: machines vanish with open connections, else processes die. `schedulers`: its schedulers die with
    it. `back`: the share of its worker nodes that comes back. The front sends its clients elsewhere once it
    notices.
    """

    zone: str = ""
    silent: bool = False
    schedulers: bool = False
    back: Share = 1.0


class Slow(Trouble, tag="slow"):
    """Nodes run `factor` times slower."""

    part: Share = 0.2
    factor: Positive = 4.0
    nodes: list[int] = []


class Stall(Trouble, tag="stall"):
    """Nodes stand still (a pause of the process) and go on where they were."""

    part: Share = 0.1
    nodes: list[int] = []


class FailClass(Trouble, tag="fail-class"):
    """Nodes fail a share of one class's jobs at once and look free for it."""

    part: Share = 0.1
    cls: str = ""
    share: Share = 1.0
    nodes: list[int] = []


class FalseFull(Trouble, tag="false-full"):
    """Nodes answer full to a share of jobs although they have room."""

    part: Share = 0.1
    share: Share = 0.5
    nodes: list[int] = []


class DiscoveryGone(Trouble, tag="discovery-gone"):
    """Discovery answers nobody; it comes back with its version, or `anew` and counts from nothing."""

    anew: bool = False


class DiscoveryMoved(Trouble, tag="discovery-moved"):
    """Discovery moves; each scheduler is told by SIGHUP within `for_s`."""


class WatchPause(Trouble, tag="watch-pause"):
    """Watches of all schedulers pause for `pause_ms` between two calls: just under or over 200 ms."""

    pause_ms: Positive = 190.0


class ZoneCut(Trouble, tag="zone-cut"):
    """A zone is cut off from the others: nothing passes, nothing is reset; `one_way`: only out of it."""

    zone: str = ""
    one_way: bool = False


class Resets(Trouble, tag="resets"):
    """A share of attempts' connections is reset at a random byte, on the way there or back."""

    share: Share = 0.05


class Surge(Trouble, tag="surge"):
    """The load is `factor` times the usual; of one owner alone if named."""

    factor: Positive = 2.0
    owner: str = ""


class BadClients(Trouble, tag="bad-clients"):
    """Clients that send nonsense, repeat at once what was refused and hold connections; `per_s` requests."""

    per_s: Positive = 100.0
    connections: Annotated[int, Meta(ge=0)] = 100


AnyTrouble = (
    Deploy | SchedulerRoll | Crash | Vanish | SiteLoss | Slow | Stall | FailClass | FalseFull | DiscoveryGone
    | DiscoveryMoved | WatchPause | ZoneCut | Resets | Surge | BadClients
)


# -------------------------------------------------------------------- the whole


class Scenario(Spec):
    """One scenario; `format` is 1."""

    name: Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9+.-]{0,63}$")]
    fleet: Fleet
    classes: Annotated[list[RequestClass], Meta(min_length=1, max_length=32)]
    load: Load
    format: Literal[1] = 1
    about: str = ""
    guards: str = ""  # for a regression: the sentence that it guards
    seed: Annotated[int, Meta(ge=0)] = 1  # played where none is named; a regression's own
    length_s: Positive = 50.0
    tail_s: Positive = 25.0  # at the most; the run ends when all is answered
    zones: Annotated[tuple[str, ...], Meta(min_length=1)] = ("a", "b", "c")
    network: Network = msgspec.field(default_factory=Network)
    front: Front = msgspec.field(default_factory=Front)
    schedulers: Schedulers = msgspec.field(default_factory=Schedulers)
    sharing: Sharing = msgspec.field(default_factory=Sharing)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    clients: Clients = msgspec.field(default_factory=Clients)
    rules: Rules = msgspec.field(default_factory=Rules)
    goal: Goal = msgspec.field(default_factory=Goal)
    trouble: list[AnyTrouble] = []


# ---------------------------------------------------------------------- reading


def load(path: str | Path) -> Scenario:
    """Read and check a scenario file, or the shipped one of that name."""
    shipped = library()
    where = str(path)
    try:
        text = shipped[where].read_text("utf-8") if where in shipped else Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{where}: cannot be read: {error}") from error
    return parse(text, where)


def parse(text: str, where: str = "scenario") -> Scenario:
    """Read and check a scenario's text; `where` names it in errors."""
    try:
        raw = msgspec.toml.decode(text.encode())
        scenario = msgspec.convert(_extended(raw, where), Scenario)
    except msgspec.ValidationError as error:
        word, _, at = str(error).partition(" - at `$")
        raise ScenarioError(f"{where}: {at.rstrip('`').lstrip('.') or 'top'}: {word}") from error
    except msgspec.DecodeError as error:
        raise ScenarioError(f"{where}: {' '.join(str(error).split())}") from error
    check(scenario, where)
    return scenario


def _extended(raw: dict[str, Any], where: str, depth: int = 0) -> dict[str, Any]:
    """What a file holds, over the shipped scenario that it extends, if any."""
    if (name := raw.pop("extends", None)) is None:
        return raw
    shipped = library()
    if name not in shipped or depth >= MOST_EXTENDED:
        raise ScenarioError(f"{where}: extends: found {name!r}, expected one of {', '.join(shipped)}")
    base = msgspec.toml.decode(shipped[name].read_bytes())
    return merged(_extended(base, name, depth + 1), raw)


def merged(base: dict[str, Any], more: dict[str, Any]) -> dict[str, Any]:
    """The base with other values on top, table by table."""
    over = dict(base)
    for key, value in more.items():
        below = over.get(key)
        over[key] = merged(below, value) if isinstance(below, dict) and isinstance(value, dict) else value
    return over


def check(scenario: Scenario, where: str = "scenario") -> None:
    """What the types can not say; a `ScenarioError` names the key."""
    def fail(key: str, found: object, expected: str) -> ScenarioError:
        return ScenarioError(f"{where}: {key}: found {found!r}, expected {expected}")

    fleet, load_ = scenario.fleet, scenario.load
    kinds, zones = {k.name for k in fleet.kinds}, set(scenario.zones)
    classes, owners = {c.name for c in scenario.classes}, {o.name for o in load_.owners}
    if len(kinds) < len(fleet.kinds):
        raise fail("fleet.kinds", sorted(k.name for k in fleet.kinds), "names that differ")
    if len(classes) < len(scenario.classes):
        raise fail("classes", sorted(c.name for c in scenario.classes), "names that differ")
    if bool(fleet.nodes) == bool(fleet.node):
        raise fail("fleet.nodes", fleet.nodes, "a number of nodes, or a list under fleet.node, and not both")
    for i, node in enumerate(fleet.node):
        if node.kind not in kinds:
            raise fail(f"fleet.node[{i}].kind", node.kind, f"one of {', '.join(sorted(kinds))}")
        if node.zone is not None and node.zone not in zones:
            raise fail(f"fleet.node[{i}].zone", node.zone, f"one of {', '.join(scenario.zones)}")
    if (load_.level is None) == (load_.per_s is None):
        raise fail("load", {"level": load_.level, "per_s": load_.per_s}, "either level or per_s")
    if load_.zone_share and len(load_.zone_share) != len(scenario.zones):
        raise fail("load.zone_share", load_.zone_share, f"{len(scenario.zones)} figures, one a zone")
    for name in ("zones", "start_at_ms", "clock_offset_ms"):
        each = getattr(scenario.schedulers, name)
        if each and len(each) != scenario.schedulers.count:
            raise fail(f"schedulers.{name}", each, f"{scenario.schedulers.count} entries, one a scheduler")
    for i, zone in enumerate(scenario.schedulers.zones):
        if zone not in zones:
            raise fail(f"schedulers.zones[{i}]", zone, f"one of {', '.join(scenario.zones)}")
    if not load_.shape or any(a[0] >= b[0] for a, b in zip(load_.shape, load_.shape[1:], strict=False)):
        raise fail("load.shape", load_.shape, "pairs of second and factor, the seconds rising")
    count = len(fleet.node) or fleet.nodes
    for i, trouble in enumerate(scenario.trouble):
        key = f"trouble[{i}]"
        if trouble.at_s > scenario.length_s:
            raise fail(f"{key}.at_s", trouble.at_s, f"no more than length_s ({scenario.length_s:g})")
        for place in getattr(trouble, "nodes", []):
            if not 0 <= place < count:
                raise fail(f"{key}.nodes", place, f"places from 0 to {count - 1}")
        for j, step in enumerate(getattr(trouble, "steps", [])):
            places = count if isinstance(trouble, Deploy) else scenario.schedulers.count
            for place in step.stop:
                if not 0 <= place < places:
                    raise fail(f"{key}.steps[{j}].stop", place, f"places from 0 to {places - 1}")
        if isinstance(trouble, FailClass) and trouble.cls not in classes:
            raise fail(f"{key}.cls", trouble.cls, f"one of {', '.join(sorted(classes))}")
        if isinstance(trouble, ZoneCut | SiteLoss) and trouble.zone not in zones:
            raise fail(f"{key}.zone", trouble.zone, f"one of {', '.join(scenario.zones)}")
        if isinstance(trouble, Surge) and trouble.owner and trouble.owner not in owners:
            raise fail(f"{key}.owner", trouble.owner, f"one of {', '.join(sorted(owners)) or 'load.owners'}")


def dump(scenario: Scenario) -> str:
    """The scenario as a file's text; reading it gives the same scenario."""
    return msgspec.toml.encode(scenario).decode()


def library() -> dict[str, Path]:
    """The shipped scenarios: their files by name."""
    folder = resources.files("flintfield.lab") / "scenarios"
    if not folder.is_dir():
        return {}
    files = sorted((p for p in folder.iterdir() if p.name.endswith(".toml")), key=lambda p: p.name)
    return {p.name.removesuffix(".toml"): Path(str(p)) for p in files}
