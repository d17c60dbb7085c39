"""Discovery in virtual time: the fleet's news to it, the calls there and the answers back."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Protocol

from flintfield.decision.interface import ListMode
from flintfield.lab import log, platform
from flintfield.lab.scenario import Scenario
from flintfield.lab.virtual.loop import Loop
from flintfield.lab.virtual.wires import Wires
from flintfield.lab.world import Discovery, Line, Machine, Network, Reply, Word
from flintfield.memory.messages import Address, CallDiscovery, Message, Route, RouteCallFailed, RouteUpdate
from flintfield.wire.http1.discovery import Reader, wait_ms

EPOCH_MS = 1e9
"""The run's start on the true clock, in Unix ms: small, so that times keep their fractions."""


class Watcher(Protocol):
    """A scheduler, as discovery sees it."""

    @property
    def name(self) -> str:
        """What it is called."""

    @property
    def zone(self) -> str:
        """Where it stands."""


class Caller(Watcher, Protocol):
    """Who has calls to discovery out."""

    def call_ended(self, call: int, message: Message) -> None:
        """A call came to its end; `call` is the caller's number of it."""


class Listing:
    """The list service as schedulers reach it; it stands in the first zone."""

    def __init__(self, scenario: Scenario, loop: Loop, wires: Wires, network: Network, discovery: Discovery,
                 write: Callable[[log.AnyRecord], None]) -> None:
        self._loop, self._wires, self._network, self._write = loop, wires, network, write
        self._discovery = discovery
        self._zone, self._dial_timeout_ms = scenario.zones[0], scenario.fleet.dial_timeout_ms
        self.address: Address = ("discovery", 1)
        self.pause_ms = 0.0  # that all watches make between two calls
        self._reader = Reader(scenario.zones, [k.name for k in scenario.fleet.kinds])
        self._routes: dict[tuple[str, str, float], Route] = {}
        self._calls: dict[int, tuple[Caller, int]] = {}
        self._next_call = 0
        self._wake_at = math.inf

    # ------------------------------------------------------------------- the fleet

    def started(self, machine: Machine) -> None:
        """A process starts."""
        self._discovery.process_started(self._loop.now, machine)
        self.rearm()

    def draining(self, machine: Machine) -> None:
        """A node was told to drain."""
        self._discovery.draining(self._loop.now, machine)
        self.rearm()

    def ended(self, machine: Machine, silent: bool = False) -> None:
        """A process ended, or its machine fell silent."""
        self._discovery.process_ended(self._loop.now, machine, silent)
        self.rearm()

    def gone(self) -> None:
        """Discovery answers nobody."""
        self._discovery.stop(self._loop.now)
        self.rearm()

    def back(self, anew: bool) -> None:
        """It is back, with its version or counting from nothing."""
        self._discovery.come_back(self._loop.now, anew)

    def moved(self) -> None:
        """It goes on at another address; calls to the old one find nobody."""
        self.address = (self.address[0], self.address[1] + 1)
        self.gone()
        self.back(anew=False)

    # ------------------------------------------------------------------ schedulers

    def known_to(self, scheduler: Watcher) -> RouteUpdate:
        """The list that a scheduler has from before its start."""
        version, lines = self._discovery.scheduler_started(self._loop.now, scheduler.name)
        self.reach([scheduler])
        self.rearm()
        return RouteUpdate(ListMode.CACHED, version, tuple(self._route(line) for line in lines))

    def reach(self, schedulers: Sequence[Watcher]) -> None:
        """Take in whether answers reach these schedulers now."""
        for scheduler in schedulers:
            self._discovery.reach(scheduler.name, self._network.passes(self._zone, scheduler.zone))

    def call(self, scheduler: Caller, effect: CallDiscovery, known: bool) -> int:
        """Carry a call; its number, by which it can be left. `known`: on a kept connection."""
        self._next_call += 1
        number, now = self._next_call, self._loop.now
        self._calls[number] = (scheduler, effect.call)
        failed = RouteCallFailed("no connection", effect.call)
        if effect.address != self.address:
            round_trip = self._network.usual_round_trip(scheduler.zone, self._zone)
            self._loop.at(now + round_trip, self._over, number, failed)
        elif not known and not self._wires.both_ways(scheduler.zone, self._zone):
            self._loop.at(now + self._dial_timeout_ms, self._over, number, failed)
        else:
            self._wires.carry(scheduler.zone, self._zone, lambda: self._there(number, effect))
        return number

    def leave(self, scheduler: Caller, number: int) -> None:
        """The scheduler has closed a call's connection."""
        if self._calls.pop(number, None):
            self._wires.carry(scheduler.zone, self._zone, lambda: self._hang_up(number))

    def _there(self, number: int, effect: CallDiscovery) -> None:
        if number not in self._calls:
            return
        scheduler, _ = self._calls[number]
        if self._discovery.running:
            wait = wait_ms(effect) or 0.0
            self._discovery.call(self._loop.now, scheduler.name, number, effect.generation, wait)
            self.rearm()
        else:
            failed = RouteCallFailed("no connection", effect.call)
            self._wires.carry(self._zone, scheduler.zone, lambda: self._over(number, failed))

    def _over(self, number: int, message: Message) -> None:
        scheduler, call = self._calls.pop(number, (None, 0))
        if scheduler:
            scheduler.call_ended(call, message)

    def _hang_up(self, number: int) -> None:
        self._discovery.hang_up(self._loop.now, number)
        self.rearm()

    # ------------------------------------------------------------------------ time

    def rearm(self) -> None:
        """Set when discovery next has something to do or to say."""
        due = self._discovery.next_at()
        if due < self._wake_at:
            self._wake_at = due
            self._loop.at(due, self._wake, due)

    def _wake(self, due: float) -> None:
        if due != self._wake_at:
            return
        self._wake_at = math.inf
        for said in self._discovery.wake(self._loop.now):
            if isinstance(said, Word):
                self._write(log.Told(self._loop.now, said.scheduler, said.node, said.state, said.started_at,
                                     said.since))
            else:
                self._reply(said)
        self.rearm()

    def _reply(self, reply: Reply) -> None:
        if reply.call not in self._calls:
            return
        scheduler, call = self._calls[reply.call]
        message: Message
        if reply.lines is None:
            message = RouteCallFailed("answered 503", call, busy=True)
        else:
            mode = ListMode.FULL if reply.whole else ListMode.DELTA
            message = RouteUpdate(mode, reply.version, tuple(self._route(line) for line in reply.lines), call)
        self._wires.carry(self._zone, scheduler.zone, lambda: self._over(reply.call, message))

    def _route(self, line: Line) -> Route:
        """A line as the wire's reader reads it, once for all schedulers."""
        key = (line.machine.name, line.state, line.started_at)
        if (route := self._routes.get(key)) is None:
            raw = {"generation": 0, "reset": False, "instances": [platform.list_line(line, EPOCH_MS)]}
            route = self._routes[key] = self._reader.news(raw).routes[0]
        return route
