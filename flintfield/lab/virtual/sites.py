"""The machines of a run: their worker nodes, the connections to them and the attempts there.

What reaches a silent machine is lost; what reaches a process that stands still waits in its kernel until it
goes on. A dead process's connections are reset, a vanished machine's only once it is back.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from flintfield.lab import log
from flintfield.lab.choosers import Truth
from flintfield.lab.scenario import Scenario
from flintfield.lab.virtual.connections import Attempt, Link
from flintfield.lab.virtual.listing import Listing
from flintfield.lab.virtual.loop import Loop
from flintfield.lab.virtual.wires import Wires
from flintfield.lab.world import Errand, Happening, Machine, Node, Streams, What
from flintfield.lab.world.node import Key, Saves
from flintfield.memory.messages import Address, End, worker_of

LOAD_EVERY_MS = 1_000.0
STANDSTILL = 1_000.0  # the log's factor for a node that stands still


@dataclass(eq=False)
class Site:
    """One machine's place in the run."""

    sites: Sites
    node: Node
    silent: bool = False  # the machine has vanished
    retired: bool = False  # its process has ended for good
    wake_at: float = math.inf
    links: dict[Link, None] = field(default_factory=dict)
    attempts: dict[Key, Attempt] = field(default_factory=dict)
    waiting: deque[tuple[int, Callable[[], None]]] = field(default_factory=deque)  # in the kernel, by life
    died_unseen: list[Happening] = field(default_factory=list)

    @property
    def name(self) -> str:
        """What the machine is called; its address too."""
        return self.node.machine.name

    @property
    def zone(self) -> str:
        """Where it stands."""
        return self.node.machine.zone

    def answers(self, life: int) -> bool:
        """Whether the process of that life takes a word now."""
        node = self.node
        return node.up and not self.silent and not node.stalled and life == node.life

    def take(self, link: Link) -> bool:
        """A connection is asked for; whether the process takes it."""
        if not self.node.up or not self.node.dial(self.sites.loop.now):
            return False
        link.life = self.node.life
        self.links[link] = None
        self.sites.rearm(self)
        return True

    def missed(self, link: Link | None, later: Callable[[], None] | None) -> None:
        """A word came that the process does not take now: if it stands still, it will once it goes on."""
        if link and later and self.node.up and self.node.stalled and not self.silent:
            self.waiting.append((link.life, later))

    def arrive(self, attempt: Attempt, errand: Errand) -> None:
        """An attempt's last byte has reached the machine."""
        self.attempts[errand.key] = attempt
        self.sites.arrived(self, attempt, errand)

    def closed(self, link: Link, attempt: Attempt | None) -> None:
        """The scheduler has closed that connection."""
        if self.node.up and self.node.stalled and not self.silent:
            self.waiting.append((link.life, lambda: self.closed(link, attempt)))
            return
        self.links.pop(link, None)
        if self.silent or link.life != self.node.life:
            return
        now = self.sites.loop.now
        self.node.hang_up(now, link.life)
        if attempt and attempt.arrived and attempt.key in self.attempts:
            self.sites.happened(self, self.node.cancel(now, attempt.key))


class Sites:
    """All machines, and what happens on them."""

    def __init__(self, scenario: Scenario, loop: Loop, wires: Wires, listing: Listing, streams: Streams,
                 write: Callable[[log.AnyRecord], None]) -> None:
        self._scenario, self.loop, self._wires, self._listing = scenario, loop, wires, listing
        self._streams, self._write = streams, write
        self.by_name: dict[str, Site] = {}
        self.places: list[Site] = []
        self._by_worker: dict[int, Site] = {}  # by the number that decisions know them by
        self._saves: Saves = {}

    # ------------------------------------------------------------------- processes

    def add(self, machine: Machine) -> Site:
        """A machine, on which nothing runs yet."""
        node = Node(machine, self._scenario.fleet, self._scenario.rules,
                    self._streams.of(f"node/{machine.name}"), self._saves)
        site = self.by_name[machine.name] = self._by_worker[worker_of(machine.name)] = Site(self, node)
        self.places.append(site)
        return site

    def start(self, site: Site, cold: bool) -> None:
        """Its process starts."""
        site.node.start(self.loop.now, cold)
        machine, node = site.node.machine, site.node
        self._write(log.NodeUp(self.loop.now, machine.name, machine.zone, machine.kind.name,
                               machine.kind.slots, machine.kind.cores, machine.capacity, node.warm_share))
        self.rearm(site)

    def restart(self, site: Site) -> None:
        """It starts, cold, unless it runs, has ended for good or was pushed over."""
        if site.retired or site.node.up or site.node.fell:
            return
        if site.silent:
            site.silent = False
            self.happened(site, site.died_unseen)
            site.died_unseen = []
            self._reset_links(site)
        self.start(site, cold=True)
        self._listing.started(site.node.machine)

    def kill(self, site: Site, silent: bool = False) -> None:
        """Its process dies, or its machine vanishes with it."""
        if not site.node.up:
            return
        happenings = site.node.die(self.loop.now)
        self._write(log.NodeState(self.loop.now, site.name, "down"))
        if silent:  # what died there shows once the machine is back
            site.died_unseen += happenings
            site.silent = True
            self._listing.ended(site.node.machine, silent=True)
        else:
            self.happened(site, happenings)
            self._process_gone(site)

    def drain(self, site: Site) -> None:
        """It is told to drain."""
        if site.node.up:
            self._write(log.NodeState(self.loop.now, site.name, "draining"))
            self.happened(site, site.node.drain(self.loop.now))
        self._listing.draining(site.node.machine)

    def slow(self, site: Site, factor: float, on: bool) -> None:
        """It runs so many times slower, or as usual again."""
        site.node.slow(self.loop.now, factor if on else 1.0 / factor)
        self._note_pace(site, on, factor)

    def stall(self, site: Site, on: bool) -> None:
        """It stands still, or goes on and takes what waits in its kernel."""
        if not site.node.up:
            return
        site.node.stall(self.loop.now, on)
        self._note_pace(site, on, STANDSTILL)
        if not on:
            waited, site.waiting = site.waiting, deque()
            for life, do in waited:
                if life == site.node.life:
                    do()

    def _note_pace(self, site: Site, slow: bool, factor: float) -> None:
        self._write(log.NodeState(self.loop.now, site.name, "slow" if slow else "usual",
                                  factor if slow else 1.0))
        self.rearm(site)

    def _process_gone(self, site: Site) -> None:
        """A process is dead: its connections are reset, and discovery will notice."""
        self._reset_links(site)
        self._listing.ended(site.node.machine)

    def _reset_links(self, site: Site) -> None:
        links, site.links = site.links, {}
        site.waiting.clear()
        for link in links:
            if link.open:
                self._wires.to_scheduler(link, link.reset)

    # -------------------------------------------------------------------- attempts

    def rearm(self, site: Site) -> None:
        """Set when its node next has something to do."""
        due = site.node.next_at()
        if due < site.wake_at:
            site.wake_at = due
            self.loop.at(due, self._wake, site, due)

    def _wake(self, site: Site, due: float) -> None:
        if due == site.wake_at:
            site.wake_at = math.inf
            self.happened(site, site.node.wake(self.loop.now))

    def link_from(self, zone: str, address: Address) -> Link:
        """A connection from that zone to the machine of that address, not yet dialled."""
        return Link(zone, self.by_name[address[0]], lambda: None)

    def arrived(self, site: Site, attempt: Attempt, errand: Errand) -> None:
        """Write down that an attempt has reached a node, and let the node take it."""
        now = self.loop.now
        self._write(log.Arrived(now, attempt.name, attempt.number, errand.scheduler, site.name,
                                errand.work * errand.slots))
        self.happened(site, site.node.arrive(now, errand))

    def happened(self, site: Site, happenings: list[Happening]) -> None:
        """Write down what happened at a node and carry its words."""
        fell = False
        for happening in happenings:
            if happening.what is What.WARMTH:
                self._write(log.NodeWarmth(self.loop.now, site.name, happening.share))
            elif happening.what is What.FELL:
                self._write(log.NodeState(self.loop.now, site.name, "fell"))
                fell = True
            else:
                self._happened(site, happening)
        if fell:
            self._process_gone(site)
        self.rearm(site)

    def _happened(self, site: Site, happening: Happening) -> None:
        what, attempt = happening.what, site.attempts[happening.key]
        if what is What.STARTED or what is What.PROGRESS:
            started = what is What.STARTED
            if started:
                self._write(log.Started(self.loop.now, *happening.key, site.name))
            if not started or self._scenario.fleet.tells_start:
                self._wires.to_scheduler(
                    attempt.link, lambda: attempt.owner.word(attempt, started, happening.share))
            return
        del site.attempts[happening.key]
        end = self._ended(site, happening)
        if end is not None and not attempt.over:
            body = happening.body.encode()
            self._wires.to_scheduler(attempt.link, lambda: attempt.owner.last_word(attempt, end, body))

    def _ended(self, site: Site, happening: Happening) -> End | None:
        """Write an attempt's end down; what the node says of it, None if nothing."""
        now, what, (rid, branch) = self.loop.now, happening.what, happening.key
        if what is What.DONE:
            self._write(log.Done(now, rid, branch, site.name, happening.body, happening.spent))
            return End.DONE
        if what is What.FAILED:
            self._write(log.Broke(now, rid, branch, site.name, "error", True, happening.spent))
            return End.FAILED
        if what in (What.TURNED_AWAY, What.RETURNED):
            self._write(log.TurnedAway(now, rid, branch, site.name))
            return End.DECLINED
        how: Any = "killed" if what is What.KILLED else "cancelled"
        self._write(log.Broke(now, rid, branch, site.name, how, happening.started, happening.spent))
        return None

    # ------------------------------------------------------------------- onlookers

    def sample(self) -> None:
        """Write each node's load down, each second."""
        now = self.loop.now
        for site in self.places:
            if site.node.up:
                running, waiting = site.node.jobs
                self._write(log.NodeLoad(now, site.name, running, waiting, site.node.connections))
        self.loop.at(now + LOAD_EVERY_MS, self.sample)

    def truth(self, worker: int, home: str, cls: str) -> Truth | None:
        """What is true of a node now for a scheduler in that zone; None if it would not do such a job."""
        site = self._by_worker.get(worker)
        if site is None or not site.node.up or site.node.draining or site.silent or site.node.stalled:
            return None
        if not self._wires.both_ways(home, site.zone):
            return None
        if site.node.false_full or site.node.fails.get(cls):
            return None
        free, held, speed, budget = site.node.outlook(self.loop.now)
        return Truth(free, held, site.node.machine.kind.cores, speed, budget)
