"""The engine: it moves the world in virtual time, carries words between the parties and writes the event log.

Theory of operation. Everything is an event on one calendar (`Loop`). Parties are the world's pure machines
and the schedulers; a word from one to another is a call set for when it arrives. Words on one connection do
not overtake each other. What is sent over a cut waits, as TCP would send it again, until the cut is mended;
what reaches a silent machine is lost, and what reaches a process that stands still waits in its kernel.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from time import perf_counter
from typing import Any, cast

from flintfield.base.settings import read_real_settings
from flintfield.decision.interface import Action, Event, ListMode, Settings, WorkerId
from flintfield.decision.policy import Dispatcher
from flintfield.lab import choosers, log, platform
from flintfield.lab.scenario import Scenario
from flintfield.lab.virtual.loop import Loop
from flintfield.lab.virtual.scheduler import EPOCH_MS, Attempt, Link, Scheduler
from flintfield.lab.world import (
    Clients, Deed, Discovery, Do, Errand, Front, GiveUp, Happening, Leave, Line, Machine, Network, Node,
    Reply, Streams, Try, What, Word, draw_clients, draw_fleet, schedule,
)
from flintfield.lab.world.node import Key, Saves
from flintfield.memory.messages import CallDiscovery, Effect, End, Message, Route, RouteCallFailed, RouteNews
from flintfield.memory.reducer import reduce
from flintfield.memory.state import State
from flintfield.wire.http1.discovery import WAIT_MS, Reader, worker_of

LOAD_EVERY_MS, SETTLED_EVERY_MS = 1_000.0, 100.0
AGAIN_MS = 500.0  # at the most, from a cut's mending until TCP sends what waited
STANDSTILL = 1_000.0  # the log's factor for a node that stands still

Make = Callable[[Settings, int], Any]
"""Makes what decides for one scheduler: `settings`, `handle(now, event)` and `actions`, as `Dispatcher`."""

Reducer = Callable[[State, float, Message], list[Effect]]
"""Takes one message in and returns the effects it calls for, as `memory.reducer.reduce`."""


def play(scenario: Scenario, seed: int, chooser: str = "flintfield", *, make: Make | None = None,
         on_record: Callable[[log.AnyRecord], None] | None = None, reducer: Reducer = reduce) -> log.Log:
    """Play a scenario to its end and return the event log.

    `chooser` names what decides: `flintfield` or one of `choosers.NAMES`; `make` makes something else, to
    be logged under that name. `on_record` sees each record as it is written; the log that is returned is
    empty then, so that a long run needs no memory for it. `reducer` stands in for the scheduler's own.
    """
    return Engine(scenario, seed, chooser, make, on_record, reducer).run()


@dataclass(eq=False)
class Site:
    """A machine's place in the run: its node, the connections to it and the attempts there."""

    engine: Engine
    node: Node
    silent: bool = False  # the machine has vanished
    retired: bool = False  # its process has ended for good
    wake_at: float = math.inf
    links: dict[Link, Scheduler] = field(default_factory=dict)
    attempts: dict[Key, tuple[Scheduler, Attempt]] = field(default_factory=dict)
    waiting: deque[tuple[int, Callable[[], None]]] = field(default_factory=deque)  # in the kernel, by life
    died_unseen: list[Happening] = field(default_factory=list)

    @property
    def name(self) -> str:
        """What the machine is called; its address too."""
        return self.node.machine.name

    def answers(self, life: int) -> bool:
        """Whether the process of that life takes a word now."""
        node = self.node
        return node.up and not self.silent and not node.stalled and life == node.life

    def missed(self, link: Link | None, later: Callable[[], None] | None) -> None:
        """A word came that the process does not take now: if it stands still, it will once it goes on."""
        if link and later and self.node.up and self.node.stalled and not self.silent:
            self.waiting.append((link.life, later))

    def closed(self, link: Link, attempt: Attempt | None) -> None:
        """The scheduler has closed that connection."""
        if self.node.up and self.node.stalled and not self.silent:
            self.waiting.append((link.life, lambda: self.closed(link, attempt)))
            return
        self.links.pop(link, None)
        if self.silent or link.life != self.node.life:
            return
        self.node.hang_up(self.engine.loop.now, link.life)
        if attempt and attempt.arrived:
            key = (attempt.name, attempt.number)
            if key in self.attempts:
                self.engine.happened(self, self.node.cancel(self.engine.loop.now, key))


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
        self.loop, self.log = Loop(), log.Log()
        self.streams = Streams(seed)
        self.fleet = draw_fleet(scenario, self.streams)
        self.network = Network(scenario.network, self.streams.of("network"))
        self.discovery = Discovery(scenario.discovery, scenario.rules.ask_within_ms,
                                   self.streams.of("discovery"))
        self.clients: Clients = draw_clients(scenario, self.streams, self.fleet.capacity)
        self.zones = platform.zones_of(scenario)
        self.front = Front(self.zones, scenario.front.notice_ms, self.streams.of("front"))
        self.sites: dict[str, Site] = {}
        self.places: list[Site] = []
        self.schedulers: list[Scheduler | None] = [None] * scenario.schedulers.count
        self.tries: dict[str, Try] = {}
        self.defects: list[tuple[float, str, str, str]] = []
        self.spent_reducing = self.spent_deciding = 0.0
        self.message_cost_ms = scenario.schedulers.cpu_us_per_decision / 1_000.0
        self.watch_pause_ms = 0.0
        self.marks_retry = scenario.clients.marks_retry
        self._make, self._view = make, choosers.View(self._truth, self._true_work)
        self._workers: dict[int, Site] = {}  # by the number that decisions know them by
        if make is None:
            choosers.maker(chooser, self._view, 0)  # guards against a run that starts with an unknown name
        self._resets, self._resets_draws = 0.0, self.streams.of("resets")
        self._asked: dict[str, Scheduler] = {}
        self._had_answer: dict[str, None] = {}  # tries; a second answer, which must not be, shows in the log
        self._lives = [0] * scenario.schedulers.count
        self._saves: Saves = {}
        self._held: list[tuple[str, str, Callable[[], None]]] = []  # words that wait for a cut to be mended
        self._calls: dict[int, tuple[Scheduler, int]] = {}
        self._next_call = 0
        self._discovery_address, self._discovery_zone = ("discovery", 1), scenario.zones[0]
        self._discovery_wake = self._clients_wake = math.inf
        self._reader = Reader(scenario.zones, [k.name for k in scenario.fleet.kinds])
        self._routes: dict[tuple[str, str, float], Route] = {}
        self._settings: dict[int, Settings] = {}

    # ------------------------------------------------------------- the whole run

    def run(self) -> log.Log:
        """Play to the end."""
        began, scenario = perf_counter(), self.scenario
        length = scenario.length_s * 1_000.0
        self.write(self._begin(length))
        for machine in self.fleet.machines:
            site = self._add_site(machine)
            site.node.start(0.0, cold=False)
            self.discovery.list_now(machine)
            self._note_up(site)
        for place, at in enumerate(platform.start_times(scenario, self.streams)):
            self.loop.at(at, self._start_scheduler, place)
        for deed in schedule(scenario, self.fleet, self.streams):
            self.loop.at(deed.at, self._do, deed)
        self._rearm_clients()
        self._rearm_discovery()
        self.loop.at(LOAD_EVERY_MS, self._sample)
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

    def _sample(self) -> None:
        now = self.loop.now
        for site in self.places:
            if site.node.up:
                running, waiting = site.node.jobs
                self.write(log.NodeLoad(now, site.name, running, waiting, site.node.connections))
        self.loop.at(now + LOAD_EVERY_MS, self._sample)

    def _end_if_settled(self) -> None:
        """Past the last arrival the run goes on until all is answered."""
        busy = any(s is not None and s.alive and s.state.transactions for s in self.schedulers)
        if busy or self.clients.busy:
            self.loop.at(self.loop.now + SETTLED_EVERY_MS, self._end_if_settled)
        else:
            self.loop.running = False

    # ------------------------------------------------------------------ schedulers

    def _start_scheduler(self, place: int) -> None:
        name, zone, life = platform.scheduler_name(place), self.zones[place], self._lives[place]
        self._lives[place] += 1
        version, lines = self.discovery.scheduler_started(self.loop.now, name)
        if (settings := self._settings.get(place)) is None:
            raw = platform.configuration(self.scenario, place, seed=self.seed)
            settings = self._settings[place] = read_real_settings(raw["settings"])
        make = self._make or choosers.maker(self.chooser, self._view, place)
        inner = make(settings, platform.seed_of(self.seed, place, life))
        state = State(cast(Dispatcher, _Metered(inner, self)), platform.MOST_HELD, self._discovery_address)
        offsets = self.scenario.schedulers.clock_offset_ms
        scheduler = Scheduler(self, place, name, zone, state, offsets[place] if offsets else 0.0)
        self.schedulers[place] = scheduler
        self.write(log.SchedulerState(self.loop.now, name, "up", zone))
        self.discovery.reach(name, self.network.passes(self._discovery_zone, zone))
        self._rearm_discovery()
        scheduler.tell(RouteNews(ListMode.CACHED, version, tuple(self._route(line) for line in lines)))
        self.front.up(self.loop.now, place)

    def scheduler_ended(self, scheduler: Scheduler, how: str) -> None:
        """A scheduler's process is gone: it ended by itself or was killed."""
        now = self.loop.now
        self.write(log.SchedulerState(now, scheduler.name, cast(Any, how)))
        self.front.died(now, scheduler.place)
        scheduler.die()
        for attempt in scheduler.legs.values():
            self.loop.at(now + self.network.client_way(), self._connection_lost, attempt.rid)

    def _connection_lost(self, rid: str) -> None:
        if self.clients.waits(rid):
            self.write(log.ConnectionLost(self.loop.now, rid, "death"))
            self._client_ended(rid, "lost")

    # --------------------------------------------------------------------- clients

    def _rearm_clients(self) -> None:
        due = self.clients.next_at()
        if due < self._clients_wake:
            self._clients_wake = due
            self.loop.at(due, self._wake_clients, due)

    def _wake_clients(self, due: float) -> None:
        if due != self._clients_wake:
            return
        self._clients_wake = math.inf
        now = self.loop.now
        for act in self.clients.wake(now):
            if isinstance(act, Try):
                self.tries[act.rid] = act
                self._send(act)
                continue
            asked = self._asked.get(act.rid)
            if isinstance(act, GiveUp) and asked:
                self.write(log.GivenUp(now, act.rid))
            elif isinstance(act, Leave) and asked:
                self.write(log.ConnectionLost(now, act.rid, "client"))
            if asked:
                self.loop.at(now + self.network.client_way(), asked.caller_left, act.rid)
        self._rearm_clients()

    def _send(self, attempt: Try) -> None:
        now = self.loop.now
        place = self.front.pick(now, attempt.wish.zone)
        if place is None:
            self._unreached(attempt, "")
        else:
            self.loop.at(now + self.network.client_way(), self._reach, attempt, place)

    def _reach(self, attempt: Try, place: int) -> None:
        scheduler, now, wish = self.schedulers[place], self.loop.now, attempt.wish
        if not self.clients.waits(attempt.rid):
            return
        if scheduler is None or not scheduler.listening:
            self.loop.at(now + self.network.client_way(), self._unreached, attempt,
                         platform.scheduler_name(place))
            return
        self._asked[attempt.rid] = scheduler
        self.write(log.Asked(now, attempt.rid, wish.name, attempt.attempt, scheduler.name, wish.cls.name,
                             wish.work, wish.at, wish.deadline_at, wish.owner))
        scheduler.submit(attempt, wish.deadline_at - now)

    def _unreached(self, attempt: Try, scheduler: str) -> None:
        wish = attempt.wish
        if self.clients.waits(attempt.rid):
            self.write(log.Unreached(self.loop.now, wish.name, scheduler, wish.cls.name, wish.work, wish.at))
            self._client_ended(attempt.rid, "unreached")

    def to_client(self, attempt: Try, verdict: str, body: str, retry_after_ms: float) -> None:
        """Carry a final answer to its client."""
        self.loop.at(self.loop.now + self.network.client_way(), self._answered, attempt.rid, verdict, body,
                     retry_after_ms)

    def _answered(self, rid: str, verdict: str, body: str, retry_after_ms: float) -> None:
        if self.clients.waits(rid) or rid in self._had_answer:
            self._had_answer[rid] = None
            self.write(log.Answered(self.loop.now, rid, cast(Any, verdict), body, retry_after_ms))
            self._client_ended(rid, verdict, retry_after_ms)

    def _client_ended(self, rid: str, how: str, retry_after_ms: float = 0.0) -> None:
        self.clients.ended(self.loop.now, rid, cast(Any, how), retry_after_ms)
        self._rearm_clients()

    # ----------------------------------------------------------------- the network

    def _carry(self, sender: str, receiver: str, do: Callable[[], None]) -> None:
        """Set what a word does for when it arrives."""
        if self.network.passes(sender, receiver):
            self.loop.at(self.loop.now + self.network.one_way(sender, receiver), do)
        else:
            self._held.append((sender, receiver, do))

    def to_node(self, scheduler: Scheduler, link: Link, do: Callable[[], None]) -> None:
        """Carry a word on a connection to its node."""
        sender, receiver = scheduler.zone, link.site.node.machine.zone
        if not self.network.passes(sender, receiver):
            self._held.append((sender, receiver, do))
            return
        link.there_at = max(link.there_at, self.loop.now + self.network.one_way(sender, receiver))
        self.loop.at(link.there_at, do)

    def to_scheduler(self, scheduler: Scheduler, link: Link, do: Callable[[], None]) -> None:
        """Carry a word on a connection to its scheduler; a silent machine sends none."""
        sender, receiver = link.site.node.machine.zone, scheduler.zone
        if link.site.silent:
            return
        if not self.network.passes(sender, receiver):
            self._held.append((sender, receiver, do))
            return
        link.here_at = max(link.here_at, self.loop.now + self.network.one_way(sender, receiver))
        self.loop.at(link.here_at, do)

    def _mended(self) -> None:
        """Send again what waited for a cut to end."""
        held, self._held = self._held, []
        draws = self._resets_draws
        again = draws.uniform(0, AGAIN_MS)
        for sender, receiver, do in held:
            if self.network.passes(sender, receiver):
                self.loop.at(self.loop.now + again, do)
            else:
                self._held.append((sender, receiver, do))

    def draw_reset(self) -> int:
        """Where a connection just written to is to be reset: -1 nowhere, 0 on the way there, else at which
        word on the way back."""
        if not self._resets_draws.chance(self._resets):
            return -1
        return int(self._resets_draws.uniform() * 4) % 3

    def dial(self, scheduler: Scheduler, link: Link, up: Callable[[], None],
             failed: Callable[[], None]) -> None:
        """Get a connection to a node's process, then call `up`, else `failed`."""
        began, site = self.loop.now, link.site
        here, there = scheduler.zone, site.node.machine.zone
        if not (self.network.passes(here, there) and self.network.passes(there, here)):
            self.loop.at(began + self.scenario.fleet.dial_timeout_ms, failed)
        else:
            self.loop.at(began + self.network.one_way(here, there), self._knock, scheduler, link, up, failed,
                         began)

    def _knock(self, scheduler: Scheduler, link: Link, up: Callable[[], None], failed: Callable[[], None],
               began: float) -> None:
        now, site, fleet = self.loop.now, link.site, self.scenario.fleet
        back = self.network.one_way(site.node.machine.zone, scheduler.zone)
        if site.silent:
            self.loop.at(began + fleet.dial_timeout_ms, failed)
        elif not site.node.up or not site.node.dial(now):
            self.loop.at(now + back, failed)
        else:
            link.life = site.node.life
            site.links[link] = scheduler
            self._rearm(site)
            round_trips = fleet.handshake_rtts * self.network.usual_round_trip(
                scheduler.zone, site.node.machine.zone)
            self.loop.at(max(began + round_trips, now + back), up)

    # ----------------------------------------------------------------------- nodes

    def _add_site(self, machine: Machine) -> Site:
        node = Node(machine, self.scenario.fleet, self.scenario.rules,
                    self.streams.of(f"node/{machine.name}"), self._saves)
        site = self.sites[machine.name] = Site(self, node)
        self.places.append(site)
        self._workers[worker_of(machine.name)] = site
        return site

    def _note_up(self, site: Site) -> None:
        machine, node = site.node.machine, site.node
        self.write(log.NodeUp(self.loop.now, machine.name, machine.zone, machine.kind.name,
                              machine.kind.slots, machine.kind.cores, machine.capacity, node.warm_share))

    def _rearm(self, site: Site) -> None:
        due = site.node.next_at()
        if due < site.wake_at:
            site.wake_at = due
            self.loop.at(due, self._wake_node, site, due)

    def _wake_node(self, site: Site, due: float) -> None:
        if due == site.wake_at:
            site.wake_at = math.inf
            self.happened(site, site.node.wake(self.loop.now))

    def arrive(self, scheduler: Scheduler, attempt: Attempt, errand: Errand) -> None:
        """An attempt's last byte has reached its node."""
        now, site = self.loop.now, attempt.site
        self.write(log.Arrived(now, attempt.name, attempt.number, scheduler.name, site.name,
                               errand.work * errand.slots))
        site.attempts[errand.key] = (scheduler, attempt)
        self.happened(site, site.node.arrive(now, errand))

    def happened(self, site: Site, happenings: list[Happening]) -> None:
        """Write down what happened at a node and carry its words."""
        fell = False
        for happening in happenings:
            if happening.what is What.WARMTH:
                self.write(log.NodeWarmth(self.loop.now, site.name, happening.share))
            elif happening.what is What.FELL:
                self.write(log.NodeState(self.loop.now, site.name, "fell"))
                fell = True
            else:
                self._happened(site, happening)
        if fell:
            self._process_gone(site)
        self._rearm(site)

    def _happened(self, site: Site, happening: Happening) -> None:
        now, what, (rid, branch) = self.loop.now, happening.what, happening.key
        scheduler, attempt = site.attempts[happening.key]
        link = attempt.link
        assert link is not None
        if what is What.STARTED or what is What.PROGRESS:
            started = what is What.STARTED
            if started:
                self.write(log.Started(now, rid, branch, site.name))
            if not started or self.scenario.fleet.tells_start:
                self.to_scheduler(scheduler, link,
                                  lambda: scheduler.word(attempt, started, happening.share))
            return
        del site.attempts[happening.key]
        if what is What.DONE:
            self.write(log.Done(now, rid, branch, site.name, happening.body, happening.spent))
            end = End.DONE
        elif what is What.FAILED:
            self.write(log.Broke(now, rid, branch, site.name, "error", True, happening.spent))
            end = End.FAILED
        elif what in (What.TURNED_AWAY, What.RETURNED):
            self.write(log.TurnedAway(now, rid, branch, site.name))
            end = End.DECLINED
        else:
            how: Any = "killed" if what is What.KILLED else "cancelled"
            self.write(log.Broke(now, rid, branch, site.name, how, happening.started, happening.spent))
            return
        if not attempt.over:
            body = happening.body.encode()
            self.to_scheduler(scheduler, link, lambda: scheduler.last_word(attempt, end, body))

    def _process_gone(self, site: Site) -> None:
        """A process is dead: its connections are reset, and discovery will notice."""
        self._reset_links(site)
        self.discovery.process_ended(self.loop.now, site.node.machine)
        self._rearm_discovery()

    def _reset_links(self, site: Site) -> None:
        links, site.links = site.links, {}
        site.waiting.clear()
        for link, scheduler in links.items():
            if link.open:
                self.to_scheduler(scheduler, link, link.reset)

    def _kill(self, site: Site, silent: bool = False) -> None:
        if not site.node.up:
            return
        happenings = site.node.die(self.loop.now)
        self.write(log.NodeState(self.loop.now, site.name, "down"))
        if silent:  # what died there shows once the machine is back
            site.died_unseen += happenings
            site.silent = True
            self.discovery.process_ended(self.loop.now, site.node.machine, silent=True)
            self._rearm_discovery()
        else:
            self.happened(site, happenings)
            self._process_gone(site)

    def _restart(self, site: Site) -> None:
        if site.retired or site.node.up or site.node.fell:
            return
        if site.silent:
            site.silent = False
            self.happened(site, site.died_unseen)
            site.died_unseen = []
            self._reset_links(site)
        site.node.start(self.loop.now, cold=True)
        self._note_up(site)
        self.discovery.process_started(self.loop.now, site.node.machine)
        self._rearm_discovery()
        self._rearm(site)

    # ------------------------------------------------------------------- discovery

    def _route(self, line: Line) -> Route:
        key = (line.machine.name, line.state, line.started_at)
        if (route := self._routes.get(key)) is None:
            raw = {"generation": 0, "reset": False,
                   "instances": [platform.list_line(line, EPOCH_MS)]}
            route = self._routes[key] = self._reader.news(raw).routes[0]
        return route

    def call_discovery(self, scheduler: Scheduler, effect: CallDiscovery, known: bool) -> int:
        """Carry a call to discovery; its number, by which it can be left."""
        self._next_call += 1
        number, now = self._next_call, self.loop.now
        self._calls[number] = (scheduler, effect.call)
        here, there = scheduler.zone, self._discovery_zone
        failed = RouteCallFailed("no connection", effect.call)
        if effect.address != self._discovery_address:
            self.loop.at(now + self.network.usual_round_trip(here, there), self._call_over, number, failed)
        elif not known and not (self.network.passes(here, there) and self.network.passes(there, here)):
            self.loop.at(now + self.scenario.fleet.dial_timeout_ms, self._call_over, number, failed)
        else:
            self._carry(here, there, lambda: self._call_there(number, effect))
        return number

    def _call_there(self, number: int, effect: CallDiscovery) -> None:
        if number not in self._calls:
            return
        scheduler, _ = self._calls[number]
        if self.discovery.running:
            self.discovery.call(self.loop.now, scheduler.name, number, effect.generation, WAIT_MS)
            self._rearm_discovery()
        else:
            failed = RouteCallFailed("no connection", effect.call)
            self._carry(self._discovery_zone, scheduler.zone, lambda: self._call_over(number, failed))

    def _call_over(self, number: int, message: Message) -> None:
        scheduler, call = self._calls.pop(number, (None, 0))
        if scheduler:
            scheduler.call_ended(call, message)

    def leave_call(self, scheduler: Scheduler, number: int) -> None:
        """The scheduler has closed a call's connection."""
        if self._calls.pop(number, None):
            self._carry(scheduler.zone, self._discovery_zone, lambda: self._hang_up_call(number))

    def _hang_up_call(self, number: int) -> None:
        self.discovery.hang_up(self.loop.now, number)
        self._rearm_discovery()

    def _rearm_discovery(self) -> None:
        due = self.discovery.next_at()
        if due < self._discovery_wake:
            self._discovery_wake = due
            self.loop.at(due, self._wake_discovery, due)

    def _wake_discovery(self, due: float) -> None:
        if due != self._discovery_wake:
            return
        self._discovery_wake = math.inf
        for said in self.discovery.wake(self.loop.now):
            if isinstance(said, Word):
                self.write(log.Told(self.loop.now, said.scheduler, said.node, said.state, said.started_at,
                                    said.since))
            else:
                self._reply(said)
        self._rearm_discovery()

    def _reply(self, reply: Reply) -> None:
        if reply.call not in self._calls:
            return
        scheduler, call = self._calls[reply.call]
        message: Message
        if reply.lines is None:
            message = RouteCallFailed("answered 503", call)
        else:
            mode = ListMode.FULL if reply.whole else ListMode.DELTA
            message = RouteNews(mode, reply.version, tuple(self._route(line) for line in reply.lines), call)
        self._carry(self._discovery_zone, scheduler.zone, lambda: self._call_over(reply.call, message))

    # -------------------------------------------------------------------- troubles

    def _do(self, deed: Deed) -> None:
        _DEEDS[deed.do](self, deed)

    def _trouble(self, deed: Deed) -> None:
        self.write(log.Trouble(self.loop.now, deed.word, deed.do is Do.BEGIN))

    def _node_new(self, deed: Deed) -> None:
        assert deed.machine is not None
        self._restart(self._add_site(deed.machine))

    def _node_drain(self, deed: Deed) -> None:
        site = self.places[deed.place]
        if site.node.up:
            self.write(log.NodeState(self.loop.now, site.name, "draining"))
            self.happened(site, site.node.drain(self.loop.now))
        self.discovery.draining(self.loop.now, site.node.machine)
        self._rearm_discovery()

    def _node_end(self, deed: Deed) -> None:
        site = self.places[deed.place]
        site.retired = True
        self._kill(site)

    def _node_crash(self, deed: Deed) -> None:
        self._kill(self.places[deed.place])

    def _node_back(self, deed: Deed) -> None:
        self._restart(self.places[deed.place])

    def _node_vanish(self, deed: Deed) -> None:
        self._kill(self.places[deed.place], silent=True)

    def _node_slow(self, deed: Deed) -> None:
        site, slow = self.places[deed.place], deed.do is Do.NODE_SLOW
        site.node.slow(self.loop.now, deed.figure if slow else 1.0 / deed.figure)
        self._note_pace(site, slow, deed.figure)

    def _node_stall(self, deed: Deed) -> None:
        site, stalls = self.places[deed.place], deed.do is Do.NODE_STALL
        if not site.node.up:
            return
        site.node.stall(self.loop.now, stalls)
        self._note_pace(site, stalls, STANDSTILL)
        if not stalls:
            waited, site.waiting = site.waiting, deque()
            for life, do in waited:
                if life == site.node.life:
                    do()

    def _note_pace(self, site: Site, slow: bool, factor: float) -> None:
        self.write(log.NodeState(self.loop.now, site.name, "slow" if slow else "usual",
                                 factor if slow else 1.0))
        self._rearm(site)

    def _node_fails(self, deed: Deed) -> None:
        self.places[deed.place].node.fails[deed.word] = deed.figure

    def _node_false_full(self, deed: Deed) -> None:
        self.places[deed.place].node.false_full = deed.figure

    def _discovery_gone(self, deed: Deed) -> None:
        self.discovery.stop(self.loop.now)
        self._rearm_discovery()

    def _discovery_back(self, deed: Deed) -> None:
        self.discovery.come_back(self.loop.now, anew=deed.figure > 0)

    def _discovery_moved(self, deed: Deed) -> None:
        name, port = self._discovery_address
        self._discovery_address = (name, port + 1)
        self.discovery.stop(self.loop.now)
        self.discovery.come_back(self.loop.now, anew=False)
        self._rearm_discovery()

    def _tell_moved(self, deed: Deed) -> None:
        if scheduler := self.schedulers[deed.place]:
            scheduler.moved(self._discovery_address)

    def _watch_pause(self, deed: Deed) -> None:
        self.watch_pause_ms = deed.figure

    def _zone_cut(self, deed: Deed) -> None:
        cut = self.network.cut if deed.do is Do.ZONE_CUT else self.network.mend
        cut(deed.word, deed.figure > 0)
        for scheduler in self.schedulers:
            if scheduler:
                self.discovery.reach(scheduler.name,
                                     self.network.passes(self._discovery_zone, scheduler.zone))
        if deed.do is Do.ZONE_MENDED:
            self._mended()

    def _set_resets(self, deed: Deed) -> None:
        self._resets = deed.figure

    def _scheduler_out(self, deed: Deed) -> None:
        self.front.out(self.loop.now, deed.place)

    def _scheduler_term(self, deed: Deed) -> None:
        scheduler = self.schedulers[deed.place]
        if scheduler and scheduler.alive:
            self.write(log.SchedulerState(self.loop.now, scheduler.name, "stopping"))
            scheduler.stop()

    def _scheduler_kill(self, deed: Deed) -> None:
        scheduler = self.schedulers[deed.place]
        if scheduler and scheduler.alive:
            self.scheduler_ended(scheduler, "killed")

    def _scheduler_up(self, deed: Deed) -> None:
        scheduler = self.schedulers[deed.place]
        if scheduler is None or not scheduler.alive:
            self._start_scheduler(deed.place)

    def _nothing(self, deed: Deed) -> None:
        """Bad clients never get past a scheduler's reading, which this engine does not play."""

    # ------------------------------------------------------------------- the truth

    def _truth(self, worker: WorkerId, place: int, cls: int) -> choosers.Truth | None:
        """What is true of a node now, for the yardstick that sees all; None if it would not do such a job."""
        site = self._workers.get(worker)
        if site is None or not site.node.up or site.node.draining or site.silent or site.node.stalled:
            return None
        here, there = self.zones[place], site.node.machine.zone
        if not (self.network.passes(here, there) and self.network.passes(there, here)):
            return None
        if site.node.false_full or site.node.fails.get(self.scenario.classes[cls].name):
            return None
        free, held, speed, budget = site.node.outlook(self.loop.now)
        return choosers.Truth(free, held, site.node.machine.kind.cores, speed, budget)

    def _true_work(self, place: int, rid: int) -> float:
        scheduler = self.schedulers[place]
        return scheduler.legs[rid].wish.work if scheduler else 0.0


_DEEDS: dict[Do, Callable[[Engine, Deed], None]] = {
    Do.BEGIN: Engine._trouble, Do.OVER: Engine._trouble, Do.NODE_DRAIN: Engine._node_drain,
    Do.NODE_END: Engine._node_end, Do.NODE_NEW: Engine._node_new, Do.NODE_CRASH: Engine._node_crash,
    Do.NODE_BACK: Engine._node_back, Do.NODE_VANISH: Engine._node_vanish,
    Do.NODE_RETURN: Engine._node_back, Do.NODE_SLOW: Engine._node_slow, Do.NODE_USUAL: Engine._node_slow,
    Do.NODE_STALL: Engine._node_stall, Do.NODE_GO_ON: Engine._node_stall,
    Do.NODE_FAILS: Engine._node_fails, Do.NODE_FALSE_FULL: Engine._node_false_full,
    Do.DISCOVERY_GONE: Engine._discovery_gone, Do.DISCOVERY_BACK: Engine._discovery_back,
    Do.DISCOVERY_MOVED: Engine._discovery_moved, Do.TELL_MOVED: Engine._tell_moved,
    Do.WATCH_PAUSE: Engine._watch_pause, Do.ZONE_CUT: Engine._zone_cut, Do.ZONE_MENDED: Engine._zone_cut,
    Do.RESETS: Engine._set_resets, Do.SCHEDULER_OUT: Engine._scheduler_out,
    Do.SCHEDULER_TERM: Engine._scheduler_term, Do.SCHEDULER_KILL: Engine._scheduler_kill,
    Do.SCHEDULER_UP: Engine._scheduler_up, Do.BAD_CLIENTS: Engine._nothing,
}
