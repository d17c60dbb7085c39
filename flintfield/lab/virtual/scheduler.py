"""One scheduler in virtual time: a real reducer and its decisions, and a shell that carries its effects out.

The shell does what `wire/http1` and `lifecycle/program.py` do on sockets, with their own figures: a
connection for each branch, the body only after the next hop's 100, kept connections for probes, one watch at
a time, and at SIGTERM a time to settle. It decides nothing.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from time import perf_counter
from typing import TYPE_CHECKING, Any

from flintfield.base.stop import STOP_ACCEPT_S, STOP_CHECK_S, STOP_MARGIN_MS, kill_after_ms
from flintfield.decision.interface import Report
from flintfield.lab import log
from flintfield.lab.virtual.loop import Loop
from flintfield.lab.world import Errand, Reading, Try
from flintfield.memory.messages import (
    Address, Answer, BranchEnded, BranchNoted, BranchUp, CallDiscovery, CallerLeft, Defect, DiscoveryMoved,
    DropBranch, Effect, End, Ending, LeaveDiscovery, Message, OpenBranch, ProbeEnded, ProbeHop, Reach,
    RouteCallFailed, StopAsked, Submission, Submitted, Untracked, Verdict, WatchFailed, Woke, WriteBranch,
)
from flintfield.memory.state import State
from flintfield.wire.http1 import branch, client, discovery, hop

if TYPE_CHECKING:
    from flintfield.lab.virtual.engine import Engine, Site

EPOCH_MS = 1e9
"""The run's start on the true clock, in Unix ms: small, so that times keep their fractions."""
BODY = b"\0" * 64
PROBE_MS, PROBE_KEPT_MS = hop.PROBE_S * 1_000, hop.PROBE_KEPT_S * 1_000
CONTINUE_MS, SWEEP_MS = branch.CONTINUE_S * 1_000, 1_000.0


@dataclass(slots=True, eq=False)
class Link:
    """A connection to a worker node's process, as both ends see it."""

    site: Site
    life: int  # of the process at the other end
    broken: Callable[[], None]  # what a reset does here
    open: bool = True  # at our end
    there_at: float = 0.0  # when the last word on it reaches the node: words do not overtake
    here_at: float = 0.0

    def reset(self) -> None:
        """The other end's reset is here."""
        if self.open:
            self.broken()


@dataclass(slots=True, eq=False)
class Attempt:
    """A branch that is out."""

    rid: int
    number: int
    name: str  # the try's id
    site: Site
    reach: Reach = Reach.DIALLING
    link: Link | None = None
    order: WriteBranch | None = None
    over: bool = False
    arrived: bool = False
    words: int = 0  # that have come back
    breaks_at: int = -1  # the word on the way back that a reset takes the place of; 0: on the way there


@dataclass(slots=True, eq=False)
class _Probe:
    """A probe that is out."""

    effect: ProbeHop
    site: Site
    began: float
    link: Link | None = None
    reused: bool = False  # it went out on a kept connection
    over: bool = False


@dataclass(slots=True)
class _Kept:
    """Idle connections to one next hop, the last used at the end, with the time since when they are idle."""

    links: list[tuple[float, Link]] = field(default_factory=list)


class Scheduler:
    """One process of the scheduler under test."""

    def __init__(self, engine: Engine, place: int, name: str, zone: str, state: State,
                 offset_ms: float) -> None:
        self.engine, self.place, self.name, self.zone, self.state = engine, place, name, zone, state
        self.loop: Loop = engine.loop
        self.alive, self.listening = True, True
        self.legs: dict[int, Try] = {}  # callers that wait, by transaction
        self._rids: dict[str, int] = {}
        self._past: dict[int, Try] = {}  # that had their answer
        self._epoch = EPOCH_MS + offset_ms
        self._armed = math.inf
        self._attempts: dict[tuple[int, int], Attempt] = {}
        self._continuing: set[Address] = set()
        self._kept: dict[Address, _Kept] = {}
        self._calls: dict[int, int] = {}  # our number of a call to discovery: the engine's
        self._knows_discovery = False  # a connection to it is kept
        self._busy_until = 0.0
        self._next_rid = 0
        self._perform: dict[type, Callable[[Any], None]] = {
            OpenBranch: self._open, WriteBranch: self._write, DropBranch: self._drop, Answer: self._answer,
            ProbeHop: self._probe, CallDiscovery: self._call, LeaveDiscovery: self._leave,
            Defect: self._defect, Untracked: self._nothing, WatchFailed: self._nothing,
        }
        self.loop.at(self.loop.now + SWEEP_MS, self._sweep)

    # ---------------------------------------------------------------- messages

    def clock(self) -> float:
        """Unix ms as this scheduler's machine has them."""
        return self._epoch + self.loop.now

    def tell(self, message: Message, then: Callable[[], None] | None = None) -> None:
        """Hand a message to the reducer, carry out what it asks for, and do `then`."""
        cost = self.engine.message_cost_ms
        if cost <= 0:
            self._take(message, then)
        elif self.alive:
            self._busy_until = max(self.loop.now, self._busy_until) + cost
            self.loop.at(self._busy_until, self._take, message, then)

    def _take(self, message: Message, then: Callable[[], None] | None) -> None:
        if not self.alive:
            return
        due, now = self.state.timers.next_at(), self.clock()
        if due is not None and isinstance(message, Woke):
            now = max(now, due)  # guards against a wake that rounding puts just before its timer
        began = perf_counter()
        effects = self.engine.reducer(self.state, now, message)
        self.engine.spent_reducing += perf_counter() - began
        for effect in effects:
            self._carry_out(effect)
        due = self.state.timers.next_at()
        if due is not None and due < self._armed:
            self._armed = due
            self.loop.at(due - self._epoch, self._wake, due)
        if then:
            then()

    def _carry_out(self, effect: Effect) -> None:
        self._perform[type(effect)](effect)

    def _wake(self, due: float) -> None:
        if due == self._armed and self.alive:
            self._armed = math.inf
            self.tell(Woke())

    def _defect(self, effect: Defect) -> None:
        self.engine.defects.append((self.loop.now, self.name, effect.where, effect.error))

    def _nothing(self, effect: Effect) -> None:
        """What only the log lines of a real process tell."""

    # ----------------------------------------------------------------- callers

    def submit(self, attempt: Try, wait_ms: float) -> None:
        """A caller's request has wholly come in."""
        wish = attempt.wish
        self._next_rid += 1
        self.legs[self._next_rid] = attempt
        self._rids[attempt.rid] = self._next_rid
        self.tell(Submitted(self._next_rid, Submission(
            name=attempt.rid, method=b"POST", target=b"/" + wish.cls.name.encode(), body=BODY,
            cls=wish.place, class_name=wish.cls.name, wait_ms=wait_ms, cost_ms=wish.hint,
            slots=float(wish.slots), repeat=self.engine.marks_retry and attempt.attempt > 0)))

    def caller_left(self, rid: str) -> None:
        """A caller has closed its connection."""
        if (number := self._rids.get(rid)) in self.legs and number is not None:
            self.tell(CallerLeft(number))

    def _answer(self, effect: Answer) -> None:
        attempt = self.legs.pop(effect.rid, None) or self._past.get(effect.rid)
        if attempt:
            self._rids.pop(attempt.rid, None)
            self._past[effect.rid] = attempt
            verdict = effect.verdict.value
            body = effect.body.decode() if effect.verdict is Verdict.SERVED else ""
            self.engine.to_client(attempt, verdict, body, effect.retry_after_ms)

    # ---------------------------------------------------------------- branches

    def _open(self, effect: OpenBranch) -> None:
        site = self.engine.sites[effect.address[0]]
        name = self.legs[effect.rid].rid  # its transaction may be over by now: one turn can send and end it
        attempt = Attempt(effect.rid, effect.branch, name, site)
        self._attempts[effect.rid, effect.branch] = attempt
        link = Link(site, 0, lambda: self._broke(attempt))
        attempt.link = link
        self.engine.dial(self, link, lambda: self._up(attempt),
                         lambda: self._ended(attempt, Ending(End.BROKEN, Reach.DIALLING)))

    def _up(self, attempt: Attempt) -> None:
        if attempt.over or not self.alive:
            self._hang_up(attempt.link)
            return
        self.tell(BranchUp(attempt.rid, attempt.number), lambda: self._written_or_closed(attempt))

    def _written_or_closed(self, attempt: Attempt) -> None:
        if attempt.order is None and not attempt.over:  # it was not to be written after all
            attempt.over = True
            self._attempts.pop((attempt.rid, attempt.number), None)
            self._hang_up(attempt.link)

    def _write(self, effect: WriteBranch) -> None:
        attempt = self._attempts.get((effect.rid, effect.branch))
        if attempt is None or attempt.link is None:
            return
        attempt.order, attempt.reach = effect, Reach.WRITING
        self.engine.write(log.Sent(self.loop.now, attempt.name, attempt.number, self.name,
                                   attempt.site.name))
        attempt.breaks_at = self.engine.draw_reset()
        self.engine.to_node(self, attempt.link, lambda: self._head_there(attempt))
        self.loop.at(self.loop.now + CONTINUE_MS, self._no_continue, attempt)

    def _head_there(self, attempt: Attempt) -> None:
        """At the node: it asks for the body, if it can."""
        link = attempt.link
        if link is None or not attempt.site.answers(link.life):
            return
        if attempt.breaks_at == 0:
            self.engine.to_scheduler(self, link, lambda: self._broke(attempt))
        else:
            self.engine.to_scheduler(self, link, lambda: self._goes_on(attempt))

    def _goes_on(self, attempt: Attempt) -> None:
        if not attempt.over and attempt.reach is Reach.WRITING:
            self._continuing.add((attempt.site.name, 1))
            self._send_body(attempt)

    def _no_continue(self, attempt: Attempt) -> None:
        if attempt.over or attempt.reach is not Reach.WRITING or not self.alive:
            return
        if (attempt.site.name, 1) in self._continuing:
            self._ended(attempt, Ending(End.BROKEN, Reach.WRITING))
        else:
            self._send_body(attempt)

    def _send_body(self, attempt: Attempt) -> None:
        attempt.reach = Reach.SENT
        assert attempt.link is not None
        self.engine.to_node(self, attempt.link, lambda: self._body_there(attempt))

    def _body_there(self, attempt: Attempt) -> None:
        link, wish = attempt.link, self.engine.tries[attempt.name].wish
        if link is None or not attempt.site.answers(link.life):
            attempt.site.missed(link, lambda: self._body_there(attempt))
            return
        attempt.arrived = True
        key = (attempt.name, attempt.number)
        self.engine.arrive(self, attempt, Errand(key, wish.name, self.name, wish.cls, wish.work, wish.slots))

    def word(self, attempt: Attempt, started: bool, share: float) -> None:
        """A note of a worker node has come back."""
        if not attempt.over and self.alive and not self._reset_now(attempt):
            self.tell(BranchNoted(attempt.rid, attempt.number, started, share))

    def last_word(self, attempt: Attempt, end: End, body: bytes) -> None:
        """The line or answer that ends an attempt has come back."""
        if not attempt.over and self.alive and not self._reset_now(attempt):
            self._ended(attempt, Ending(end, Reach.ANSWERED, body))

    def _reset_now(self, attempt: Attempt) -> bool:
        attempt.words += 1
        if attempt.words == attempt.breaks_at:
            self._broke(attempt)
        return attempt.over

    def _broke(self, attempt: Attempt) -> None:
        if self.alive:
            self._ended(attempt, Ending(End.BROKEN, attempt.reach))

    def _ended(self, attempt: Attempt, ending: Ending) -> None:
        if attempt.over or not self.alive:
            return
        self._let_go(attempt)
        self.tell(BranchEnded(attempt.rid, attempt.number, ending))

    def _drop(self, effect: DropBranch) -> None:
        if attempt := self._attempts.get((effect.rid, effect.branch)):
            self._let_go(attempt)

    def _let_go(self, attempt: Attempt) -> None:
        attempt.over = True
        self._attempts.pop((attempt.rid, attempt.number), None)
        if attempt.order is not None:
            self.engine.write(log.LetGo(self.loop.now, attempt.name, attempt.number, self.name))
        self._hang_up(attempt.link, attempt)

    def _hang_up(self, link: Link | None, attempt: Attempt | None = None) -> None:
        if link and link.open:
            link.open = False
            self.engine.to_node(self, link, lambda: link.site.closed(link, attempt))

    # ------------------------------------------------------------------ probes

    def _probe(self, effect: ProbeHop) -> None:
        probe = _Probe(effect, self.engine.sites[effect.address[0]], self.loop.now)
        self.loop.at(self.loop.now + PROBE_MS, self._probed, probe, End.BROKEN, Reach.SENT, None)
        kept = self._kept.get(effect.address)
        while kept and kept.links:
            since, link = kept.links.pop()
            if self.loop.now - since < self._retire_ms and link.open:
                probe.link, probe.reused = link, True
                self._ask_load(probe, link)
                self.loop.at(self.loop.now + PROBE_KEPT_MS, self._try_anew, probe, link)
                return
            self._hang_up(link)
        self._dial_probe(probe)

    @property
    def _retire_ms(self) -> float:
        return self.engine.scenario.fleet.conn_idle_ms * client.RETIRE_PART

    def _try_anew(self, probe: _Probe, link: Link) -> None:
        if probe.over or probe.link is not link or not self.alive:
            return
        for _, other in self._kept.pop(probe.effect.address, _Kept()).links:
            self._hang_up(other)
        self._hang_up(link)
        self._dial_probe(probe)

    def _dial_probe(self, probe: _Probe) -> None:
        link = Link(probe.site, 0, lambda: None)
        probe.link, probe.reused = link, False
        self.engine.dial(self, link, lambda: self._probe_up(probe, link),
                         lambda: self._probed(probe, End.BROKEN, Reach.DIALLING, None))

    def _probe_up(self, probe: _Probe, link: Link) -> None:
        if probe.over or not self.alive:
            self._hang_up(link)
        else:
            self._ask_load(probe, link)

    def _ask_load(self, probe: _Probe, link: Link) -> None:
        def broken() -> None:
            """A reset: a kept connection is no use then, a new one was the last try."""
            if probe.link is link and not probe.over and self.alive:
                link.open = False
                if probe.reused:
                    self._try_anew(probe, link)
                else:
                    self._probed(probe, End.BROKEN, Reach.SENT, None)
        link.broken = broken
        self.engine.to_node(self, link, lambda: self._probe_there(probe, link))

    def _probe_there(self, probe: _Probe, link: Link) -> None:
        if not probe.site.answers(link.life):
            probe.site.missed(link, None)
            return
        self.engine.write(log.ProbeSeen(self.loop.now, self.name, probe.site.name))
        reading = probe.site.node.probe(self.loop.now)
        end = End.DONE if reading else End.DECLINED
        self.engine.to_scheduler(self, link, lambda: self._load_back(probe, link, end, reading))

    def _load_back(self, probe: _Probe, link: Link, end: End, reading: Reading | None) -> None:
        if probe.over or probe.link is not link or not self.alive:
            self._hang_up(link)
            return
        link.broken = lambda: self._idle_broke(link)
        self._kept.setdefault(probe.effect.address, _Kept()).links.append((self.loop.now, link))
        self._probed(probe, end, Reach.ANSWERED, reading)

    @staticmethod
    def _idle_broke(link: Link) -> None:
        link.open = False

    def _probed(self, probe: _Probe, end: End, reach: Reach, reading: Reading | None) -> None:
        if probe.over or not self.alive:
            return
        probe.over = True
        if probe.link and reach is not Reach.ANSWERED:
            self._hang_up(probe.link)
        report = Report(free=reading.free, inflight=reading.inflight, queue=reading.queue,
                        latency_ms=reading.latency_ms) if reading else None
        self.tell(ProbeEnded(probe.effect.worker, Ending(end, reach, report=report),
                             self.loop.now - probe.began))

    def _sweep(self) -> None:
        """Close what has been idle too long."""
        if not self.alive:
            return
        for kept in self._kept.values():
            while kept.links and self.loop.now - kept.links[0][0] >= self._retire_ms:
                self._hang_up(kept.links.pop(0)[1])
        self.loop.at(self.loop.now + SWEEP_MS, self._sweep)

    # --------------------------------------------------------------- discovery

    def _call(self, effect: CallDiscovery) -> None:
        self.loop.at(self.loop.now + self.engine.watch_pause_ms, self._call_now, effect)

    def _call_now(self, effect: CallDiscovery) -> None:
        if not self.alive or effect.call != self.state.calls:
            return
        within = discovery.ANSWER_MS + (0 if effect.generation is None else discovery.WAIT_MS)
        self.loop.at(self.loop.now + within, self._call_late, effect.call)
        self._calls[effect.call] = self.engine.call_discovery(self, effect, self._knows_discovery)

    def _call_late(self, call: int) -> None:
        if call in self._calls:
            self.engine.leave_call(self, self._calls[call])
            self.call_ended(call, RouteCallFailed("no answer in time", call))

    def call_ended(self, call: int, message: Message) -> None:
        """A call to discovery came to its end."""
        if self.alive and self._calls.pop(call, None) is not None:
            self._knows_discovery = not isinstance(message, RouteCallFailed)
            self.tell(message)

    def _leave(self, effect: LeaveDiscovery) -> None:
        for call in list(self._calls):
            self.engine.leave_call(self, self._calls.pop(call))
        self._knows_discovery = False

    # --------------------------------------------------------------- lifecycle

    def moved(self, address: Address) -> None:
        """SIGHUP: discovery has another address."""
        if self.alive:
            self.tell(DiscoveryMoved(address))

    def stop(self) -> None:
        """SIGTERM: settle all that was taken, and end."""
        classes = self.state.dispatcher.settings.classes
        grace_ms = kill_after_ms(c.deadline_ms for c in classes) - STOP_MARGIN_MS
        self.tell(StopAsked(self.clock() + grace_ms))
        self.loop.at(self.loop.now + STOP_ACCEPT_S * 1_000, self._stop_when_settled)

    def _stop_when_settled(self) -> None:
        if not self.alive:
            return
        if self.state.transactions:
            self.loop.at(self.loop.now + STOP_CHECK_S * 1_000, self._stop_when_settled)
        else:
            self.engine.scheduler_ended(self, "ended")

    def die(self) -> None:
        """The process is gone: the kernel closes its connections."""
        self.alive = self.listening = False
        for attempt in list(self._attempts.values()):
            attempt.over = True
            self._hang_up(attempt.link, attempt)
            if attempt.order is not None:
                self.engine.write(log.LetGo(self.loop.now, attempt.name, attempt.number, self.name))
        for kept in self._kept.values():
            for _, link in kept.links:
                self._hang_up(link)
        for call in self._calls.values():
            self.engine.leave_call(self, call)
        self._attempts.clear()
        self._kept.clear()
        self._calls.clear()
