"""Maintenance as a unit: bars from plans, and, where the instance has a place, an executor; the page, orders.

`docs/maintenance.md` is the operators' page. What is decided is `flintfield/maintenance/`'s; here words come
and go over membership, bars go through the reducer, and jobs are counted by the reducer's tap.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.to_thread
import msgspec

from flintfield.base.errors import BadInput
from flintfield.base.ini import FILE, OperatorsError, Reader, Section, number, whole
from flintfield.decision.interface import Action, AttemptEnded, Event, Outcome, State as Lifecycle
from flintfield.maintenance.barring import REPORT_MS, BarredNow, Barring, Say
from flintfield.maintenance.due import due
from flintfield.maintenance.executor import Executor, Noted, Wanted
from flintfield.maintenance.reading import read as read_book
from flintfield.maintenance.view import page_of
from flintfield.maintenance.words import Bar, Word, read, write
from flintfield.memory.messages import Message, UnitMessage, worker_of
from flintfield.memory.planned_exclusions import PlannedExclusions, plan_bars
from flintfield.memory.reducer import Turn
from flintfield.memory.state import Handler
from flintfield.membership.interface import Member, Members
from flintfield.membership.messages import Status
from flintfield.units.counters import Prefixed
from flintfield.units.interface import Feature, Given, Host, SidePage, Unit
from flintfield.wire.http1.reply import Reply

PREFIX, KIND = "maintenance.", "maintenance"
JSON = ((b"Content-Type", b"application/json"),)
STEP_S = 0.1


def _names(text: str) -> tuple[str, ...]:
    found = tuple(p.strip() for p in text.split(",") if p.strip())
    if not found or len(set(found)) != len(found):
        raise ValueError
    return found


def _alone(text: str) -> str:
    if text not in ("serve", "wait"):
        raise ValueError
    return text


@dataclass(frozen=True, slots=True)
class MaintenanceOn:
    """The file of agreements, all schedulers by name, and our place among executors, if we have one."""

    file: str
    schedulers: tuple[str, ...]
    place: int | None = None
    places: int = 1
    alone: str = "serve"  # a new life that knows nothing: serve, or wait until it knows what stands
    longest_s: float | None = None  # a job may run at a node after its scheduler is gone; None: its deadline
    unattended_s: float | None = None  # works run by themselves, and end so long after a node is safe


SECTION = Section("maintenance", MaintenanceOn, {
    "file": FILE, "schedulers": Reader("different names separated by commas", _names),
    "place": whole(0, 63), "places": whole(1, 64), "alone": Reader("serve or wait", _alone),
    "unattended_s": number(0, 86_400), "longest_s": number(0, 86_400),
})


@dataclass(frozen=True, slots=True)
class Heard(UnitMessage):
    """A word of another instance."""

    word: Word


@dataclass(frozen=True, slots=True)
class Stepped(UnitMessage):
    """It is time to look."""


@dataclass(frozen=True, slots=True)
class Ordered(UnitMessage):
    """An operator's order, by the second address; `answer` is called with a status and a word."""

    word: str
    subject: str
    answer: Callable[[int, str], None]


class MaintenanceUnit(Unit):
    """Takes part in maintenance."""

    def __init__(self, host: Host, given: Given) -> None:
        told = given.one(SECTION)
        assert told is not None
        members = host.lent.get("members")
        assert isinstance(members, Members)  # the feature needs it
        self._host, self._members, self._told = host, members, told
        name = host.config.name
        if name not in told.schedulers:
            raise OperatorsError(f"[maintenance] schedulers: found {', '.join(told.schedulers)}, expected "
                                 f"{name} among them, for that is our name")
        if told.place is not None and told.place >= told.places:
            raise OperatorsError(f"[maintenance] place: found {told.place}, expected one of 0 to "
                                 f"{told.places - 1}, for so many places are configured")
        try:
            self.book = read_book(told.file)
        except BadInput as error:
            raise OperatorsError(f"[maintenance] file: {error}") from error
        counters, version, life = Prefixed(host, PREFIX), self.book.version(), int(host.began)
        self.barring = Barring(name, life, told.schedulers, told.places, version, counters, self._open_at)
        self.executor: Executor | None = None
        if told.place is not None:
            longest = max((c.deadline_ms for c in host.config.settings.classes), default=60_000.0)
            if told.longest_s is not None:
                longest = told.longest_s * 1_000
            self.executor = Executor(told.place, told.places, life, version, told.schedulers,
                                     self.book.pools(), self.book.weights(), counters, longest)
        self._names: dict[int, list[str]] = {}  # of members that say they have that place
        self._reported = 0.0
        self._waiting = False
        self._nodes = {worker_of(n.name): n.name for n in self.book.nodes}
        self._before = host.state.tap
        host.state.tap = self._tap
        self.by_hand: list[Wanted] = []
        self._safe_at: dict[Bar, float] = {}  # of works that run by themselves
        self._called_off: set[str] = set()  # nodes whose works wait for an operator's `out`
        self._due: list[Wanted] = []
        self._open: Counter[int] | None = None  # our written jobs by worker node, as of the word at hand
        host.lent["maintenance"] = self

    # ------------------------------------------------------------ what jobs tell

    def _open_at(self, node: str) -> int:
        """Our jobs at that node that have been written."""
        if self._open is None:
            self._open = Counter(b.worker for t in self._host.state.transactions.values() for b in t.branches
                                 if b.written and not b.ended)
        return self._open[worker_of(node)]

    def _tap(self, now: float, event: Event, actions: Sequence[Action]) -> None:
        if isinstance(event, AttemptEnded) and event.outcome is Outcome.OK and (
                name := self._nodes.get(event.worker)) is not None:
            self.barring.ended_well(name, now - event.took_ms)
        if self._before:
            self._before(now, event, actions)

    def first(self) -> Sequence[Message]:
        """Before any caller is heard: all nodes are out, where we are to wait until we know what stands."""
        return [Stepped()]

    def _lost(self) -> frozenset[str]:
        """Nodes that are not listed as ready, and that no plan has out."""
        ready = {w for w, r in self._host.state.routes.items() if r.entry.state is Lifecycle.READY}
        return frozenset(name for worker, name in self._nodes.items()
                         if worker not in ready) - self.barring.barred

    # ------------------------------------------------------------ the cores, within the reducer

    def handlers(self) -> Mapping[type, Handler]:
        """Our messages."""
        return {
            Heard: self._heard, Stepped: self._stepped, Ordered: self._ordered, PlannedExclusions: plan_bars}

    def _heard(self, turn: Turn, message: Heard) -> None:
        """Each core takes what is for it, and leaves the rest."""
        word, now, self._open = message.word, turn.now, None
        self._carry_out(turn, self.barring.hear(now, word))
        if self.executor:
            self._carry_out(turn, self.executor.hear(now, word))

    def _stepped(self, turn: Turn, message: Stepped) -> None:
        now, barring, self._open = turn.now, self.barring, None
        if turn.state.routes or turn.state.discovery_answered:
            barring.lost = self._lost()
        barring.leaving = turn.state.stopping and not turn.state.transactions
        self._carry_out(turn, barring.wake(now))
        self._wait_or_serve(turn)
        if now - self._reported > REPORT_MS:
            self._reported = now
            self._carry_out(turn, [barring.report(place) for place in range(self._told.places)])
        if self.executor:
            # Guards against a node taken out by a list that may lack those that are gone.
            if turn.state.dispatcher.asking.is_sure(now):
                self._look_at_works(now, self.executor)
            self._carry_out(turn, self.executor.wake(now))

    def _wait_or_serve(self, turn: Turn) -> None:
        """Where we are to wait until we know what stands, all nodes are out until then."""
        waits = self._told.alone == "wait" and not self.barring.grown
        if waits is not self._waiting:
            self._waiting = waits
            plan_bars(
                turn, PlannedExclusions(frozenset(self._nodes.values()) if waits else self.barring.barred))

    def _look_at_works(self, now: float, executor: Executor) -> None:
        """What may begin, and what has run by itself long enough."""
        executor.wanted = tuple(self.by_hand) + tuple(
            w for w in self._due if (w.work, w.node) not in executor.done and w.node not in self._called_off)
        if self._told.unattended_s is None:
            return
        for bar, episode in executor.episodes.items():
            if executor.is_safe(now, episode):
                since = self._safe_at.setdefault(bar, now)
                is_over = now - since >= self._told.unattended_s * 1_000
                if is_over and executor.give_back(now, bar.node, "done"):
                    self._finish(executor, bar.node)
        self._safe_at = {b: at for b, at in self._safe_at.items() if b in executor.episodes}

    def _finish(self, executor: Executor, node: str) -> None:
        """The works that are due at that node are over."""
        executor.done |= {(w.work, w.node) for w in self._due if w.node == node}
        self.by_hand = [w for w in self.by_hand if w.node != node]

    def _carry_out(self, turn: Turn, effects: Sequence[object]) -> None:
        for effect in effects:
            match effect:
                case Say(to, word):
                    self._say(turn, to, word)
                case BarredNow(nodes, _):
                    if not self._waiting:
                        plan_bars(turn, PlannedExclusions(nodes))
                case Noted(event, values):
                    self._host.errors.line(event, **dict(values))

    def _say(self, turn: Turn, to: int | str, word: Word) -> None:
        ours = to == self._host.config.name or to == self._told.place
        if ours:  # an executor and the scheduler of one process
            self._host.loop.call_soon(lambda: self._host.tell(Heard(word)))
        data = write(word)
        for name in ([to] if isinstance(to, str) else self._names.get(to, [])):
            if name != self._host.config.name:
                sent = self._members.say(name, KIND, data)
                turn.state.counters[PREFIX + ("words.sent" if sent else "words.unsent")] += 1

    # ------------------------------------------------------------ others

    def _hear(self, name: str, data: bytes) -> None:
        found = read(data)
        if found is None:
            self._host.count(PREFIX + "words.unread")
            return
        word, skipped = found
        self._host.state.counters[PREFIX + "lines.skipped"] += skipped
        is_astray = word.name != name if word.name else name not in self._names.get(word.place, ())
        if is_astray:
            # Guards against a member that speaks for another, or for a place that it does not tell as its.
            self._host.count(PREFIX + "words.astray")
            return
        self._host.count(PREFIX + "words.heard")
        self._host.tell(Heard(word))

    def _watch(self, *_: object) -> None:
        names: dict[int, list[str]] = {}
        for member in self._members.members():
            there = member.status in (Status.ALIVE, Status.SUSPECT) and not member.is_me
            if there and (place := _place_of(member)) is not None:
                names.setdefault(place, []).append(member.name)
        self._names = names

    async def run(self) -> None:
        """Take part until cancelled."""
        self._members.hear(KIND, self._hear)
        if self._told.place is not None:
            self._members.set_meta(KIND, msgspec.msgpack.encode(self._told.place))
        self._members.watch(self._watch)
        async with anyio.create_task_group() as group:
            if self.executor and self.book.works:
                group.start_soon(self._look_for_due, self.executor)
            while True:
                self._watch()
                self._host.tell(Stepped())
                await anyio.sleep(STEP_S)

    async def _look_for_due(self, executor: Executor) -> None:
        """What may begin, anew each minute, in a thread: windows of many agreements take a while."""
        while True:
            now, began = (int(at // 60_000) for at in (self._host.clock(), self._host.began))
            self._due = await anyio.to_thread.run_sync(due, self.book, now, began, frozenset(executor.done))
            await anyio.sleep(60.0 - self._host.clock() / 1_000 % 60.0)

    # ------------------------------------------------------------ orders

    def order(self, word: str, subject: str, answer: Callable[[int, str], None]) -> None:
        """An operator's order; `answer` has a status and a word, at once."""
        self._host.tell(Ordered(word, subject, answer))

    def _ordered(self, turn: Turn, order: Ordered) -> None:
        executor, node = self.executor, order.subject
        if executor is None:
            order.answer(409, "this instance is no executor: [maintenance] has no place here")
            return
        status, word = 200, "taken"
        match order.word:
            case "hold" | "resume":
                executor.held = order.word == "hold"
            case "off":
                known = executor.heard.get(node)
                if node not in executor.schedulers or known is None:
                    status, word = 404, "no scheduler of this name was ever heard"
                else:
                    executor.tell_off(node, known.life)
            case _ if node not in executor.weights:
                status, word = 404, "no node of this name is in the file of maintenance"
            case "out":
                self._called_off.discard(node)
                if all(w.node != node for w in self.by_hand):
                    self.by_hand.append(Wanted(node, "by hand", len(self.by_hand)))
            case "touch":
                safe = any(executor.is_safe(turn.now, e) for e in executor.episodes.values()
                           if e.bar.node == node)
                status, word = (200, "safe to touch") if safe else (409, "not safe to touch: see why")
            case "done" | "call-off":
                waits = order.word == "call-off" and any(w.node == node for w in executor.wanted)
                if executor.give_back(turn.now, node, order.word) or waits:
                    if order.word == "done":
                        self._finish(executor, node)
                    else:  # else its works would begin again at once
                        self._called_off.add(node)
                    self.by_hand = [w for w in self.by_hand if w.node != node]
                else:
                    status, word = 409, "it is not out by this place, or was taken over a moment ago"
            case "vouch":
                if not executor.vouch(node):
                    status, word = 409, "nothing waits for that node to be seen serving"
            case _:
                status, word = 404, "no such order"
        if status == 200:
            self._host.errors.line("maintenance: ordered", order=order.word, subject=node)
        order.answer(status, word)

    # ------------------------------------------------------------ to see it

    def side_pages(self) -> Mapping[bytes, SidePage]:
        """`/maintenance`."""
        return {b"/maintenance": lambda: Reply(200, json.dumps(self.page()).encode(), JSON, close=True)}

    def page(self) -> dict[str, Any]:
        """All that is known here."""
        return page_of(self._host.config.name, self._host.clock(), self.barring, self.executor)


def _place_of(member: Member) -> int | None:
    data = member.meta.more.get(KIND)
    try:
        return msgspec.msgpack.decode(data, type=int) if data else None
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


FEATURE = Feature((SECTION,), MaintenanceUnit, needs=("membership",))
