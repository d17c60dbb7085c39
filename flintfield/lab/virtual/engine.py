"""The engine: it ties the parties together in virtual time, runs the calendar and writes the event log.

Theory of operation. Everything is an event on one calendar (`Loop`). Parties are the world's pure machines
and the schedulers; a word from one to another is a call set for when it arrives (`wires.py`). `sites.py`
holds the machines, `listing.py` discovery, `callers.py` the clients and their front, `scheduler.py` the shell
round one scheduler's reducer, `deeds.py` what troubles do to all of them. The parts know the engine by the
protocols of `interface.py` alone.
"""

from __future__ import annotations

from collections.abc import Callable
from time import perf_counter
from typing import Any, cast

from flintfield.base.settings import read_real_settings
from flintfield.decision.interface import Action, Event, Settings
from flintfield.decision.policy import Dispatcher
from flintfield.lab import choosers, log, platform
from flintfield.lab.scenario import Scenario
from flintfield.lab.virtual.callers import Callers
from flintfield.lab.virtual.deeds import carry_out
from flintfield.lab.virtual.interface import Reducer
from flintfield.lab.virtual.listing import Listing
from flintfield.lab.virtual.loop import Loop
from flintfield.lab.virtual.scheduler import Scheduler
from flintfield.lab.virtual.sites import LOAD_EVERY_MS, Sites
from flintfield.lab.virtual.wires import Wires
from flintfield.lab.world import (
    Clients, Discovery, Front, Network, Streams, draw_clients, draw_fleet, schedule,
)
from flintfield.memory.reducer import reduce
from flintfield.memory.state import State

SETTLED_EVERY_MS = 100.0

Make = Callable[[Settings, int], Any]
"""Makes what decides for one scheduler: `settings`, `handle(now, event)` and `actions`, as `Dispatcher`."""


class _Metered:
    """A dispatcher whose time is counted."""

    def __init__(self, inner: Any, engine: Engine) -> None:
        self._inner, self._engine = inner, engine
        self.settings: Settings = inner.settings

    @property
    def actions(self) -> list[Action]:
        return cast(list[Action], self._inner.actions)

    def handle(self, now: float, event: Event) -> list[Action]:
        began = perf_counter()
        try:
            return cast(list[Action], self._inner.handle(now, event))
        finally:
            self._engine.spent_deciding += perf_counter() - began


class Engine:
    """One run."""

    def __init__(self, scenario: Scenario, seed: int, chooser: str = "flintfield", make: Make | None = None,
                 on_record: Callable[[log.AnyRecord], None] | None = None, reducer: Reducer = reduce) -> None:
        self.scenario, self.seed, self.chooser, self._on_record = scenario, seed, chooser, on_record
        self.reducer = reducer
        self.loop: Loop = Loop()
        self.log = log.Log()
        self.streams = streams = Streams(seed)
        self.zones = platform.zones_of(scenario)
        self.schedulers: list[Scheduler | None] = [None] * scenario.schedulers.count
        self.defects: list[tuple[float, str, str, str]] = []  # when, whose, where and what
        self.spent_reducing = self.spent_deciding = 0.0  # seconds
        self._lives = [0] * scenario.schedulers.count
        self._settings: dict[int, Settings] = {}
        # The world.
        self.fleet = draw_fleet(scenario, streams)
        self.network: Network = Network(scenario.network, streams.of("network"))
        self.discovery = Discovery(scenario.discovery, scenario.rules.ask_within_ms, streams.of("discovery"))
        self.clients: Clients = draw_clients(scenario, streams, self.fleet.capacity)
        self.front: Front = Front(self.zones, scenario.front.notice_ms, streams.of("front"))
        # What moves it.
        self.wires: Wires = Wires(self.loop, self.network, scenario.fleet, streams.of("resets"))
        self.listing: Listing = Listing(scenario, self.loop, self.wires, self.network, self.discovery,
                                        self.write)
        self.sites: Sites = Sites(scenario, self.loop, self.wires, self.listing, streams, self.write)
        self.callers = Callers(self.clients, self.front, self.network, self.loop, self.schedulers, self.write)
        self._make, self._view = make, choosers.View(self._truth, self._true_work)
        if make is None:
            choosers.maker(chooser, self._view, 0)  # guards against a run that starts with an unknown name

    # ------------------------------------------------------------- the whole run

    def run(self) -> log.Log:
        """Play to the end."""
        began, scenario = perf_counter(), self.scenario
        length = scenario.length_s * 1_000.0
        self.write(self._begin(length))
        for machine in self.fleet.machines:
            self.sites.start(self.sites.add(machine), cold=False)
            self.discovery.list_now(machine)
        for place, at in enumerate(platform.start_times(scenario, self.streams)):
            self.loop.at(at, self.start_scheduler, place)
        for deed in schedule(scenario, self.fleet, self.streams):
            self.loop.at(deed.at, carry_out, self, deed)
        self.callers.rearm()
        self.listing.rearm()
        self.loop.at(LOAD_EVERY_MS, self.sites.sample)
        self.loop.at(length, self._end_if_settled)
        self.loop.run(length + scenario.tail_s * 1_000.0)
        whole = (perf_counter() - began) * 1_000.0
        reducing, deciding = self.spent_reducing * 1_000.0, self.spent_deciding * 1_000.0
        self.write(log.End(self.loop.now, cpu_ms={"model": whole - reducing, "reducer": reducing - deciding,
                                                  "decisions": deciding}, events=self.loop.events))
        return self.log

    def _begin(self, length: float) -> log.Begin:
        scenario, rules, goal = self.scenario, self.scenario.rules, self.scenario.goal
        classes = tuple(log.Class(c.name, c.worth, c.aim_ms, c.stretch, c.deadline_ms, c.effect)
                        for c in scenario.classes)
        return log.Begin(0.0, scenario.name, self.seed, "virtual", self.chooser, scenario.schedulers.count,
                         length, classes, scenario.load.worth_by_work, rules.drain_grace_ms,
                         rules.answer_slack_ms, rules.fall_multiple, rules.fall_ms,
                         goal_whole=goal.whole, goal_window=goal.worst_window, goal_class=goal.worst_class,
                         window_ms=goal.window_ms)

    def write(self, record: log.AnyRecord) -> None:
        """Write one record down."""
        if self._on_record:
            self._on_record(record)
        else:
            self.log.records.append(record)

    def _end_if_settled(self) -> None:
        """Past the last arrival the run goes on until all is answered."""
        busy = any(s is not None and s.alive and s.state.transactions for s in self.schedulers)
        if busy or self.clients.busy:
            self.loop.at(self.loop.now + SETTLED_EVERY_MS, self._end_if_settled)
        else:
            self.loop.running = False

    # ------------------------------------------------------------------ schedulers

    def start_scheduler(self, place: int) -> None:
        """A scheduler's process starts, with the list that it had before."""
        name, zone, life = platform.scheduler_name(place), self.zones[place], self._lives[place]
        self._lives[place] += 1
        make = self._make or choosers.maker(self.chooser, self._view, place)
        inner = make(self._settings_of(place), platform.seed_of(self.seed, place, life))
        state = State(cast(Dispatcher, _Metered(inner, self)), platform.MOST_HELD, self.listing.address)
        offsets = self.scenario.schedulers.clock_offset_ms
        scheduler = Scheduler(self, place, name, zone, state, offsets[place] if offsets else 0.0)
        self.schedulers[place] = scheduler
        self.write(log.SchedulerState(self.loop.now, name, "up", zone))
        scheduler.tell(self.listing.known_to(scheduler))
        self.front.up(self.loop.now, place)

    def _settings_of(self, place: int) -> Settings:
        if (settings := self._settings.get(place)) is None:
            raw = platform.configuration(self.scenario, place, seed=self.seed)
            settings = self._settings[place] = read_real_settings(raw["settings"])
        return settings

    def scheduler_ended(self, scheduler: Scheduler, how: str) -> None:
        """A scheduler's process is gone: it ended by itself or was killed."""
        self.write(log.SchedulerState(self.loop.now, scheduler.name, cast(Any, how)))
        self.front.died(self.loop.now, scheduler.place)
        scheduler.die()
        self.callers.lose(scheduler)

    # ------------------------------------------------------------------- the truth

    def _truth(self, worker: int, place: int, cls: int) -> choosers.Truth | None:
        return self.sites.truth(worker, self.zones[place], self.scenario.classes[cls].name)

    def _true_work(self, place: int, rid: int) -> float:
        scheduler = self.schedulers[place]
        return scheduler.legs[rid].wish.work if scheduler else 0.0
