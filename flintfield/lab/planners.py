"""Planners and forwarders in virtual time: the engine's schedulers as forwarders, with planners beside them.

What is real: `Forwarding`, `PlannedDispatcher` and `Planner`, the reducer, and the world. What is modelled:
the link, as words that take the network's time and `stale_ms` more, over cuts as lost (a link that is cut is
dialled anew; its frames are not sent again); and the planners' own watch of discovery, as its list of
`LIST_MS` ago, which costs discovery nothing here. Planners take no virtual time; `Figures.cpu_s` has what
they took of ours.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from time import process_time
from typing import cast

import msgspec

from flintfield.decision.planned import PlannedDispatcher
from flintfield.forwarding.bridge import build_digest, plan_event
from flintfield.forwarding.core import DIGEST_INTERVAL_MS, Forwarding
from flintfield.lab import log
from flintfield.lab.scenario import Scenario
from flintfield.lab.virtual.engine import Engine
from flintfield.lab.virtual.scheduler import Scheduler
from flintfield.lab.world import Draws
from flintfield.memory.messages import UnitMessage
from flintfield.memory.reducer import Turn
from flintfield.decision.interface import PlanUpdate
from flintfield.planning.messages import Digest, Plan
from flintfield.planning.planner import ListedWorker, Planner
from flintfield.memory.messages import worker_of

STEP_MS = 125.0  # between two steps of a planner
STANDBY_MS = 1_000.0  # so often it answers forwarders that follow another
LIST_MS = 500.0  # how late its list is

encode = msgspec.msgpack.encode


class Outage(msgspec.Struct, frozen=True):
    """Planners that are out from `at_s` to `until_s`: killed, so that a new life starts then, or stopped, so
    that the old one goes on."""

    at_s: float
    until_s: float
    places: tuple[int, ...]
    killed: bool = True


class Split(msgspec.Struct, frozen=True):
    """From `at_s` to `until_s` the planners of `places` reach only forwarders of odd place, the others only
    those of even place."""

    at_s: float
    until_s: float
    places: tuple[int, ...]


class Setup(msgspec.Struct, frozen=True):
    """The planners of a run."""

    planners: int = 3
    stale_ms: float = 0.0  # a plan's way takes so long more
    outages: tuple[Outage, ...] = ()
    splits: tuple[Split, ...] = ()


@dataclass
class Figures:
    """What the run cost, beside what the log tells."""

    cpu_s: float = 0.0  # of planners, on this machine
    up_bytes: int = 0  # digests, MessagePack
    down_bytes: int = 0  # plans
    digests: int = 0
    plans: int = 0
    refused: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Planning(UnitMessage):
    """A plan has come into force."""

    news: PlanUpdate


def _take_news(turn: Turn, message: Planning) -> None:
    turn.ask(message.news)


class _Host:
    """A planner's process."""

    def __init__(self, party: PlannedEngine, place: int, term: int) -> None:
        self.party, self.place, self.alive = party, place, True
        rules = party.scenario.rules
        worths = [c.worth for c in party.scenario.classes]
        self.planner = Planner(place, party.setup.planners, term, rules.fall_ms, min(worths) / max(worths))
        self._answered: dict[str, float] = {}
        self._fresh: dict[str, Scheduler] = {}
        party.loop.at(party.loop.now + party.draws.uniform(0, STEP_MS), self._step)

    def hear(self, digest: Digest, teller: Scheduler) -> None:
        if self.alive and self.planner.receive_digest(self.party.loop.now, digest):
            self._fresh[digest.forwarder] = teller

    def _step(self) -> None:
        if not self.alive:
            return
        party, now = self.party, self.party.loop.now
        party.loop.at(now + STEP_MS, self._step)
        if party.is_stopped(self.place):
            return
        began = process_time()
        self.planner.set_workers(party.listed())
        self.planner.step(now)
        for name, teller in self._fresh.items():
            heard = self.planner.forwarders.get(name)
            claim = heard.digest.in_force if heard else None
            other = claim is not None and claim[0] != self.place
            if other and now - self._answered.get(name, 0.0) < STANDBY_MS:
                continue
            plan = self.planner.plan_for(now, name)
            if plan is not None:
                self._answered[name] = now
                party.send_plan(self.place, teller, plan)
        self._fresh.clear()
        party.figures.cpu_s += process_time() - began


class PlannedEngine(Engine):
    """A run with planners."""

    def __init__(self, scenario: Scenario, seed: int, setup: Setup,
                 on_record: Callable[[log.AnyRecord], None] | None = None) -> None:
        super().__init__(scenario, seed, "planned", PlannedDispatcher, on_record)
        self.setup, self.figures = setup, Figures()
        self.draws: Draws = self.streams.of("planners")
        self.forwarders: dict[int, Forwarding] = {}
        self._lists: list[tuple[float, tuple[ListedWorker, ...]]] = []
        self.hosts = [_Host(self, place, 1) for place in range(setup.planners)]
        for outage in setup.outages:
            for place in outage.places:
                if outage.killed:
                    self.loop.at(outage.at_s * 1_000, self._kill_planner, place)
                    self.loop.at(outage.until_s * 1_000, self._start_planner, place)

    # ---------------------------------------------------------------- planners

    def _kill_planner(self, place: int) -> None:
        self.hosts[place].alive = False

    def _start_planner(self, place: int) -> None:
        self.hosts[place] = _Host(self, place, self.hosts[place].planner.term + 1)

    def is_stopped(self, place: int) -> bool:
        """Whether that planner's process stands still."""
        at = self.loop.now / 1_000
        stops = [o for o in self.setup.outages if place in o.places and not o.killed]
        return any(o.at_s <= at < o.until_s for o in stops)

    def _reaches(self, place: int, forwarder: int) -> bool:
        at = self.loop.now / 1_000
        return all((place in s.places) == (forwarder % 2 == 1)
                   for s in self.setup.splits if s.at_s <= at < s.until_s)

    def listed(self) -> tuple[ListedWorker, ...]:
        """Discovery's list, as a planner's watch has it."""
        now, cold = self.loop.now, self.scenario.rules.cold_ms
        if not self._lists or now - self._lists[-1][0] >= LIST_MS / 2:
            zones = {zone: i for i, zone in enumerate(self.scenario.zones)}
            listed = tuple(
                ListedWorker(worker_of(name), zones[line.machine.zone], line.state == "ready",
                       line.started_at > 0 and now - line.started_at < cold)
                for name, line in self.discovery.lines.items())
            if self.discovery.running or not self._lists:
                self._lists.append((now, listed))
                del self._lists[:-8]
        return next((made for at, made in reversed(self._lists) if at <= now - LIST_MS), self._lists[0][1])

    # -------------------------------------------------------------- forwarders

    def start_scheduler(self, place: int) -> None:
        super().start_scheduler(place)
        scheduler = self.schedulers[place]
        assert scheduler is not None
        scheduler.state.handlers[Planning] = _take_news
        forwarding = Forwarding(f"{scheduler.name}.{self._lives[place]}",
                                self.scenario.zones.index(scheduler.zone), self.setup.planners)
        self.forwarders[place] = forwarding
        self.loop.at(self.loop.now + self.draws.uniform(0, DIGEST_INTERVAL_MS), self._digest, scheduler,
                     forwarding)

    def _digest(self, scheduler: Scheduler, forwarding: Forwarding) -> None:
        if not scheduler.alive:
            return
        dispatcher = cast(PlannedDispatcher, getattr(scheduler.state.dispatcher, "_inner"))  # noqa: B009
        digest = build_digest(scheduler.clock(), dispatcher, forwarding)
        self.figures.digests += 1
        for host in self.hosts:
            if self._reaches(host.place, scheduler.place):
                self.figures.up_bytes += len(encode(digest))
                zone = self.zones[host.place % len(self.zones)]
                if self.network.passes(scheduler.zone, zone):
                    self.loop.at(self.loop.now + self.network.one_way(scheduler.zone, zone),
                                 host.hear, digest, scheduler)
        self.loop.at(self.loop.now + DIGEST_INTERVAL_MS * self.draws.uniform(0.9, 1.1), self._digest,
                     scheduler, forwarding)

    def send_plan(self, place: int, scheduler: Scheduler, plan: Plan) -> None:
        """Carry a plan to its forwarder."""
        self.figures.plans += 1
        self.figures.down_bytes += len(encode(plan))
        zone = self.zones[place % len(self.zones)]
        if self._reaches(place, scheduler.place) and self.network.passes(zone, scheduler.zone):
            way = self.network.one_way(zone, scheduler.zone) + self.setup.stale_ms
            self.loop.at(self.loop.now + way, self._plan_there, scheduler, plan)

    def _plan_there(self, scheduler: Scheduler, plan: Plan) -> None:
        forwarding = self.forwarders[scheduler.place]
        if not scheduler.alive:
            return
        now = scheduler.clock()
        before = forwarding.in_force(now)
        if why := forwarding.accept_plan(now, plan):
            self.figures.refused[why.split(":")[0]] = self.figures.refused.get(why.split(":")[0], 0) + 1
            return
        force = forwarding.in_force(now)
        if force is not None and (before is None or before[0] is not force[0]):
            scheduler.tell(Planning(plan_event(now, force[0])))


def play(scenario: Scenario, seed: int, setup: Setup | None = None,
         on_record: Callable[[log.AnyRecord], None] | None = None) -> tuple[log.Log, Figures]:
    """Play a scenario with planners to its end: the event log (empty where `on_record` takes it) and cost."""
    engine = PlannedEngine(scenario, seed, setup or Setup(), on_record)
    return engine.run(), engine.figures
