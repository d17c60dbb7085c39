"""The shell of the membership core: it keeps time and carries effects out. It decides nothing.

All runs on the program's event loop and none of it on the way of a request: datagrams are read in short
turns, with a pause where they do not end; tables go in slices; sends that the kernel does not take are
dropped and counted, as the network would drop them. Every queue here is bounded.
"""

from __future__ import annotations

import random
import secrets
import socket
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from flintfield.membership.core import step
from flintfield.membership.interface import Answers
from flintfield.membership.messages import (
    Address, Begin, Changed, Effect, Gone, Heard, Input, KeysSet, LeaveAsked, Noted, OpenExchange, Query,
    Record, Renamed, ReplyExchange, Said, Send, SessionSet, Status, Told, Updated, Woke,
)
from flintfield.membership.rules import MOST_BODY, MOST_KEYS, Rules
from flintfield.membership.state import Counts, State
from flintfield.wire.membership.asks import Asks
from flintfield.wire.membership.codec import LEAST, MOST
from flintfield.wire.membership.datagrams import Datagrams
from flintfield.wire.membership.exchanges import Exchanges
from flintfield.wire.membership.keys import Key, Ring
from flintfield.wire.membership.seal import Opened, Seal
from flintfield.wire.membership.sockets import open_sockets

LEAVE_S = 0.8
FOREVER_S = 3_600.0

Notice = Changed | Updated | Noted | Renamed


def boot_ms() -> float:
    """Time since the machine's start in ms, suspended or not: a guest that slept shall know it."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


@dataclass(frozen=True, slots=True)
class Setup:
    """What a member is told at its start."""

    name: str
    bind: Address
    advertise: Address | None  # None: as bound
    seeds: Sequence[Address]
    keys: Sequence[Key]
    rules: Rules
    meta: bytes = b""


class MemberShell:
    """One member on its sockets. `notice` is told what changes."""

    def __init__(self, setup: Setup, notice: Callable[[Notice], None], counters: Counts,
                 clock: Callable[[], float] = boot_ms) -> None:
        self._setup, self._notice, self._counters, self._clock = setup, notice, counters, clock
        self._rng = random.Random(secrets.randbits(64))
        self.seal = Seal(Ring(setup.keys), secrets.randbits(63), clock)
        self.datagrams = Datagrams(self.seal, self._record_of, self._hand_on, self._count, clock)
        self.exchanges = Exchanges(self.seal, self.tell, self._count, clock)
        self.asks = Asks(self._send_one, clock, self._rng, self._count)
        self.state: State
        self._sockets: tuple[socket.socket, socket.socket]
        self._rearm, self._armed = anyio.Event(), float("inf")
        self._inbox: deque[Input] = deque()
        self._taking = False
        self._left = anyio.Event()
        self._tasks: TaskGroup

    # ------------------------------------------------------------ start and end

    def listen(self) -> int:
        """Take the port for datagrams and streams; an OSError tells why not."""
        self._sockets = open_sockets(self._setup.bind)
        host, port = self._sockets[1].getsockname()[:2]
        address = self._setup.advertise or (host, port)
        record = Record(self._setup.name, address[0], address[1] or port, self.seal.session, 1,
                        keys=self.seal.ring.ids, meta=self._setup.meta, least=LEAST, most=MOST)
        self.state = State(self._setup.rules, record, self._setup.seeds, self._rng, self._counters)
        return int(port)

    def _count(self, name: str, by: int = 1) -> None:
        self._counters[name] += by

    async def run(self) -> None:
        """Be a member until cancelled."""
        datagrams, listener = self._sockets
        with datagrams, listener:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self.datagrams.read_all, datagrams)
                await anyio.sleep(0)
                self.tell(Begin())
                tasks.start_soon(self._keep_time)
                tasks.start_soon(self.exchanges.accept_all, listener, tasks)

    async def leave(self) -> None:
        """Tell the others that we leave; returns once that is out."""
        self.tell(LeaveAsked())
        with anyio.move_on_after(LEAVE_S):
            await self._left.wait()

    def replace_keys(self, keys: Sequence[Key]) -> None:
        """Go on with these keys, and let the others know."""
        self.seal.ring.replace(keys[:MOST_KEYS], self._clock())
        self.tell(KeysSet(self.seal.ring.ids))

    # ------------------------------------------------------------ the core

    def tell(self, message: Input) -> None:
        """Hand a message to the core and carry out what it asks for."""
        self._inbox.append(message)
        if self._taking:
            return
        self._taking = True
        try:
            while self._inbox:
                self._step(self._inbox.popleft())
        finally:
            self._taking = False
        due = self.state.next_at()
        if due is not None and due < self._armed:
            self._rearm.set()

    def _step(self, message: Input) -> None:
        try:
            for effect in step(self.state, self._clock(), message):
                self._carry_out(effect)
        except Exception as error:  # guards against one odd message ending our membership
            self._count("defects")
            self._notice(Noted("defect", (("in", type(message).__name__), ("error", repr(error)))))

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Send():
                self.datagrams.send(effect.address, effect.to, effect.parts)
            case OpenExchange():
                self.exchanges.start(effect, self._tasks)
            case ReplyExchange():
                self.exchanges.reply(effect)
            case Gone():
                self._left.set()
            case _:
                self._notice(effect)

    async def _keep_time(self) -> None:
        while True:
            due = self.state.next_at()
            self._armed = float("inf") if due is None else due
            self._rearm = anyio.Event()
            wait_s = FOREVER_S if due is None else max(0.0, due - self._clock()) / 1000
            with anyio.move_on_after(wait_s):
                await self._rearm.wait()
            if due is not None and self._clock() >= due:
                self._renew_session()
                self.tell(Woke())
                await anyio.sleep(0)

    def _renew_session(self) -> None:
        if self.seal.wants_new_session:
            session = secrets.randbits(63)
            self._count("sessions")
            self.seal.begin(session)
            self.tell(SessionSet(session))

    # ------------------------------------------------------------ datagrams

    def _record_of(self, session: int) -> Record | None:
        entry = self.state.table.of_session(session)
        return entry.record if entry else None

    def _send_one(self, address: Address, to: int, part: Query | Told) -> None:
        self.datagrams.send(address, to, (part,))

    def _hand_on(self, opened: Opened, source: Address) -> None:
        """Questions and answers to whom they are for, all else to the core."""
        ours = [p for p in opened.parts if isinstance(p, Query | Told | Said)]
        rest = opened.parts
        if ours:
            rest = tuple(p for p in opened.parts if not isinstance(p, Query | Told | Said))
        own = self.state.own
        if opened.to == own.record.session or opened.to in own.former:
            for part in ours:
                if isinstance(part, Said):
                    self._said(opened.sender, part)
                else:
                    self.asks.heard(source, opened.sender, part)
        if rest:
            self.tell(Heard(source, opened.sender, opened.to, rest))

    def _said(self, session: int, part: Said) -> None:
        """Guards against words under a name that we do not know: their sender is not in our table yet."""
        if (record := self._record_of(session)) is None:
            self._count("words.strangers")
        else:
            self.asks.said(record.name, part)

    def say(self, name: str, kind: str, body: bytes) -> bool:
        """Send a member that is believed to be there a word; whether it is."""
        entry = self.state.table.get(name)
        if entry is None or not entry.live or len(body) > MOST_BODY:
            return False
        self.datagrams.send(entry.record.address, entry.record.session, (Said(kind, body),))
        return True

    # ------------------------------------------------------------ questions

    async def ask_all(self, kind: str, body: bytes, within_ms: float,
                      is_enough: Callable[[bytes], bool] | None = None) -> Answers:
        """Ask all others that are believed to be there."""
        others, gone = [], 0
        for entry in self.state.table.entries.values():
            if entry.live and entry.record.name != self.state.name:
                others.append(entry.record)
            gone += entry.status is Status.DEAD
        told, silent = await self.asks.ask(kind, body, within_ms, others, is_enough)
        return Answers(told, len(others), tuple(silent), gone)
