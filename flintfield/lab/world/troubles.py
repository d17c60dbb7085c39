"""Troubles: what goes wrong, as single deeds at set times that any engine can carry out.

Whom a trouble hits is drawn from a stream named by its place in the scenario and its kind, so that a trouble
more changes none of the others. Surges are not here: they are in the clients' rate.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from flintfield.base.stop import kill_after_ms
from flintfield.lab.scenario import (
    AnyTrouble, BadClients, Crash, Deploy, DeployStep, DiscoveryGone, DiscoveryMoved, FailClass, FalseFull,
    Node, Resets, RollStep, Scenario, SchedulerRoll, SiteLoss, Slow, Stall, Surge, Vanish, WatchPause,
    ZoneCut,
)
from flintfield.lab.world.fleet import Fleet, Machine, draw_machine, pick
from flintfield.lab.world.streams import Draws, Streams

LINGER_MS = (200.0, 400.0)  # after SIGTERM the front still sends for so long
SOON = 0.7  # the part of a deploy's or roll's time within which its steps begin


class Do(Enum):
    """What is done."""

    BEGIN = "begin"  # the trouble `word` begins; for people
    OVER = "over"
    NODE_DRAIN = "drain"  # the node at `place` is told to drain
    NODE_END = "end"  # its process ends for good
    NODE_NEW = "new"  # `machine` starts, cold
    NODE_CRASH = "crash"  # its process dies
    NODE_BACK = "back"  # the machine's process starts, cold, under the same name
    NODE_VANISH = "vanish"  # the machine falls silent
    NODE_RETURN = "return"  # it is back, its process anew
    NODE_SLOW = "slow"  # `figure` times slower
    NODE_USUAL = "usual"  # that over
    NODE_STALL = "stall"
    NODE_GO_ON = "go on"
    NODE_FAILS = "fails"  # fails the share `figure` of class `word` at once; 0: no more
    NODE_FALSE_FULL = "false full"  # answers full to the share `figure`; 0: no more
    DISCOVERY_GONE = "discovery gone"
    DISCOVERY_BACK = "discovery back"  # `figure` 1: it counts from nothing
    DISCOVERY_MOVED = "discovery moved"  # the old address is dead
    TELL_MOVED = "tell moved"  # the scheduler at `place` is told (SIGHUP)
    WATCH_PAUSE = "watch pause"  # `figure` ms between two calls; 0: no more
    ZONE_CUT = "zone cut"  # zone `word`; `figure` 1: only what leaves it
    ZONE_MENDED = "zone mended"
    RESETS = "resets"  # the share `figure` of attempts' connections; 0: no more
    SCHEDULER_OUT = "scheduler out"  # the front sends the scheduler at `place` nothing new
    SCHEDULER_TERM = "scheduler term"  # SIGTERM
    SCHEDULER_KILL = "scheduler kill"  # SIGKILL, if it still runs
    SCHEDULER_UP = "scheduler up"  # started again
    BAD_CLIENTS = "bad clients"  # `figure` requests a second on `place` connections; 0: no more


@dataclass(frozen=True, slots=True)
class Deed:
    """One thing that is done, `at` ms from the run's start."""

    at: float
    do: Do
    place: int = -1
    figure: float = 0.0
    word: str = ""
    machine: Machine | None = None


class _Plan:
    """Deeds as they are collected; the count of machines grows with each replacement."""

    def __init__(self, scenario: Scenario, fleet: Fleet, streams: Streams) -> None:
        self.scenario, self.streams, self.deeds = scenario, streams, list[Deed]()
        self.machines = list(fleet.machines)
        self.original = len(fleet.machines)
        self.replaced: dict[int, int] = {}  # by place: by which place

    def add(self, at: float, do: Do, **more: Any) -> None:
        self.deeds.append(Deed(at, do, **more))


def schedule(scenario: Scenario, fleet: Fleet, streams: Streams) -> list[Deed]:
    """All deeds, in order of time; of one moment, in the scenario's order."""
    plan = _Plan(scenario, fleet, streams)
    for i, trouble in enumerate(scenario.trouble):
        name = str(type(trouble).__struct_config__.tag)
        begins, ends = trouble.at_s * 1_000.0, (trouble.at_s + trouble.for_s) * 1_000.0
        plan.add(begins, Do.BEGIN, word=name)
        _PLANS[type(trouble)](plan, trouble, streams.of(f"trouble/{i}/{name}"), begins, ends)
        plan.add(ends, Do.OVER, word=name)
    return sorted(plan.deeds, key=lambda d: d.at)


def _hit(plan: _Plan, trouble: Any, draws: Draws) -> list[int]:
    """The places of the nodes that a trouble hits."""
    return list(trouble.nodes) or pick(draws, list(range(plan.original)), trouble.part)


def _deploy(plan: _Plan, trouble: Deploy, draws: Draws, begins: float, ends: float) -> None:
    steps = trouble.steps or _deploy_steps(plan, trouble, draws)
    for step in steps:
        at = step.at_s * 1_000.0
        specs: list[Node | None] = list(step.start) or [None] * len(step.stop)
        for j, spec in enumerate(specs):
            like = plan.machines[step.stop[j]] if j < len(step.stop) else None
            machine = draw_machine(plan.scenario, plan.streams, len(plan.machines), spec, like)
            plan.machines.append(machine)
            plan.add(at, Do.NODE_NEW, place=machine.place, machine=machine)
        for place in step.stop:
            plan.add(at, Do.NODE_DRAIN, place=place)
            plan.add(at + trouble.drain_s * 1_000.0, Do.NODE_END, place=place)


def _deploy_steps(plan: _Plan, trouble: Deploy, draws: Draws) -> list[DeployStep]:
    places = pick(draws, list(range(plan.original)), trouble.part)
    size = max(1, round(trouble.batch * plan.original))
    batches = [places[i:i + size] for i in range(0, len(places), size)]
    return [DeployStep(at_s, batch) for at_s, batch in _spaced(trouble, draws, batches)]


def _spaced(trouble: Deploy | SchedulerRoll, draws: Draws,
            batches: list[list[int]]) -> list[tuple[float, list[int]]]:
    """Batches at about even times within the trouble's."""
    every = trouble.for_s / max(1, len(batches))
    return [(trouble.at_s + every * (i + draws.uniform(0, 1 - SOON)), batch)
            for i, batch in enumerate(batches)]


def _roll(plan: _Plan, trouble: SchedulerRoll, draws: Draws, begins: float, ends: float) -> None:
    count = plan.scenario.schedulers.count
    steps = trouble.steps
    if not steps:
        places = pick(draws, list(range(count)), trouble.part)
        size = max(1, round(trouble.batch * count))
        batches = [places[i:i + size] for i in range(0, len(places), size)]
        steps = [RollStep(at_s, batch) for at_s, batch in _spaced(trouble, draws, batches)]
    grace_ms = kill_after_ms(c.deadline_ms for c in plan.scenario.classes)
    for step in steps:
        for place in step.stop:
            at = step.at_s * 1_000.0
            if trouble.graceful:
                plan.add(at, Do.SCHEDULER_TERM, place=place)
                plan.add(at + draws.uniform(*LINGER_MS), Do.SCHEDULER_OUT, place=place)
                end = at + grace_ms
            else:
                plan.add(at, Do.SCHEDULER_OUT, place=place)
                end = at + trouble.told_s * 1_000.0
            plan.add(end, Do.SCHEDULER_KILL, place=place)
            plan.add(end + trouble.down_s * 1_000.0, Do.SCHEDULER_UP, place=place)


def _pair(begin: Do, end: Do) -> Callable[[_Plan, Any, Draws, float, float], None]:
    """A plan for troubles that put nodes into a state and take them out of it again."""
    def plan_it(plan: _Plan, trouble: Any, draws: Draws, begins: float, ends: float) -> None:
        figure = float(getattr(trouble, "factor", 0.0))
        for place in _hit(plan, trouble, draws):
            plan.add(begins, begin, place=place, figure=figure)
            plan.add(ends, end, place=place, figure=figure)
    return plan_it


def _site_loss(plan: _Plan, trouble: SiteLoss, draws: Draws, begins: float, ends: float) -> None:
    places = [m.place for m in plan.machines[:plan.original] if m.zone == trouble.zone]
    back = set(pick(draws, places, trouble.back)) if trouble.back > 0 else set[int]()
    down, up = (Do.NODE_VANISH, Do.NODE_RETURN) if trouble.silent else (Do.NODE_CRASH, Do.NODE_BACK)
    for place in places:
        plan.add(begins, down, place=place)
        if place in back:
            plan.add(ends, up, place=place)
    if trouble.schedulers:
        zones = plan.scenario.zones
        stand = plan.scenario.schedulers.zones or [zones[i % len(zones)]
                                                   for i in range(plan.scenario.schedulers.count)]
        for place, zone in enumerate(stand):
            if zone == trouble.zone:
                plan.add(begins, Do.SCHEDULER_KILL, place=place)
                plan.add(ends, Do.SCHEDULER_UP, place=place)


def _fail_class(plan: _Plan, trouble: FailClass, draws: Draws, begins: float, ends: float) -> None:
    for place in _hit(plan, trouble, draws):
        plan.add(begins, Do.NODE_FAILS, place=place, figure=trouble.share, word=trouble.cls)
        plan.add(ends, Do.NODE_FAILS, place=place, word=trouble.cls)


def _false_full(plan: _Plan, trouble: FalseFull, draws: Draws, begins: float, ends: float) -> None:
    for place in _hit(plan, trouble, draws):
        plan.add(begins, Do.NODE_FALSE_FULL, place=place, figure=trouble.share)
        plan.add(ends, Do.NODE_FALSE_FULL, place=place)


def _discovery_gone(plan: _Plan, trouble: DiscoveryGone, draws: Draws, begins: float, ends: float) -> None:
    plan.add(begins, Do.DISCOVERY_GONE)
    plan.add(ends, Do.DISCOVERY_BACK, figure=float(trouble.anew))


def _discovery_moved(plan: _Plan, trouble: DiscoveryMoved, draws: Draws, begins: float, ends: float) -> None:
    plan.add(begins, Do.DISCOVERY_MOVED)
    for place in range(plan.scenario.schedulers.count):
        plan.add(begins + draws.uniform(0, ends - begins), Do.TELL_MOVED, place=place)


def _watch_pause(plan: _Plan, trouble: WatchPause, draws: Draws, begins: float, ends: float) -> None:
    plan.add(begins, Do.WATCH_PAUSE, figure=trouble.pause_ms)
    plan.add(ends, Do.WATCH_PAUSE)


def _zone_cut(plan: _Plan, trouble: ZoneCut, draws: Draws, begins: float, ends: float) -> None:
    for at, do in ((begins, Do.ZONE_CUT), (ends, Do.ZONE_MENDED)):
        plan.add(at, do, word=trouble.zone, figure=float(trouble.one_way))


def _resets(plan: _Plan, trouble: Resets, draws: Draws, begins: float, ends: float) -> None:
    plan.add(begins, Do.RESETS, figure=trouble.share)
    plan.add(ends, Do.RESETS)


def _bad_clients(plan: _Plan, trouble: BadClients, draws: Draws, begins: float, ends: float) -> None:
    plan.add(begins, Do.BAD_CLIENTS, place=trouble.connections, figure=trouble.per_s)
    plan.add(ends, Do.BAD_CLIENTS)


def _nothing(plan: _Plan, trouble: AnyTrouble, draws: Draws, begins: float, ends: float) -> None:
    """A surge is in the clients' rate already."""


_PLANS: dict[type, Callable[[_Plan, Any, Draws, float, float], None]] = {
    Deploy: _deploy, SchedulerRoll: _roll, Crash: _pair(Do.NODE_CRASH, Do.NODE_BACK),
    Vanish: _pair(Do.NODE_VANISH, Do.NODE_RETURN), SiteLoss: _site_loss,
    Slow: _pair(Do.NODE_SLOW, Do.NODE_USUAL), Stall: _pair(Do.NODE_STALL, Do.NODE_GO_ON),
    FailClass: _fail_class, FalseFull: _false_full,
    DiscoveryGone: _discovery_gone, DiscoveryMoved: _discovery_moved, WatchPause: _watch_pause,
    ZoneCut: _zone_cut, Resets: _resets, Surge: _nothing, BadClients: _bad_clients,
}
