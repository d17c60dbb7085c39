"""The shell of the membership core: sockets, time, and effects carried out. It decides nothing.

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
    Address, Begin, Changed, Effect, ExchangeFailed, Gone, Heard, Input, KeysSet, Known, LeaveAsked, Noted,
    OpenExchange, Part, Query, Record, Renamed, ReplyExchange, Send, SessionSet, Status, TableAsked,
    TableTold, Told, Updated, Woke, )
from flintfield.membership.rules import MOST_DATAGRAM, MOST_KEYS, Rules
from flintfield.membership.state import Counts, State
from flintfield.wire.http1.stream import Stream
from flintfield.wire.membership.asks import Asks
from flintfield.wire.membership.codec import LEAST, MOST, common_version
from flintfield.wire.membership.keys import Key, Ring
from flintfield.wire.membership.rates import Sources
from flintfield.wire.membership.seal import Drop, Opened, Seal, glance
from flintfield.wire.membership.sockets import open_sockets
from flintfield.wire.membership.streams import WHOLE_S, BadStream, exchange, serve

TURN = 64  # datagrams read in a row
FULL_TURNS = 4  # so many in a row without an end, and the reader pauses
PAUSE_S = 0.005  # then: at most 13,000 datagrams a second are looked at, whatever comes
MOST_ASKING, MOST_SERVING = 4, 8  # exchanges at a time that we began, and that others did
SLICE = 128  # lines of a table that the core takes in at once: about a millisecond
ACCEPT_PAUSE_S = 0.1
LEAVE_S = 0.8
# Datagrams a second from a session that has proven itself, and at once; from an address of strangers; from
# all strangers; and streams from an address, and from all.
MEMBER_RATE = (1_000.0, 2_000.0)
STRANGER_RATE = (50.0, 200.0, 500.0, 1_000.0)
STREAM_RATE = (20.0, 50.0, 50.0, 100.0)

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
        self.asks = Asks(self._send_one, clock, self._rng, self._count)
        self.state: State
        self._datagrams: socket.socket
        self._listener: socket.socket
        self._rearm, self._armed = anyio.Event(), float("inf")
        self._inbox: deque[Input] = deque()
        self._taking = False
        self._replies: dict[int, tuple[Known, ...]] = {}
        self._token = 0
        self._asking = self._serving = 0
        self._left = anyio.Event()
        self._tasks: TaskGroup
        self._members, self._strangers = Sources(*MEMBER_RATE, 1e9, 1e9), Sources(*STRANGER_RATE)
        self._streams = Sources(*STREAM_RATE)

    # ------------------------------------------------------------ start and end

    def listen(self) -> int:
        """Take the port for datagrams and streams; an OSError tells why not."""
        self._datagrams, self._listener = open_sockets(self._setup.bind)
        host, port = self._listener.getsockname()[:2]
        address = self._setup.advertise or (host, port)
        record = Record(self._setup.name, address[0], address[1] or port, self.seal.session, 1,
                        keys=self.seal.ring.ids, meta=self._setup.meta, least=LEAST, most=MOST)
        self.state = State(self._setup.rules, record, self._setup.seeds, self._rng, self._counters)
        return int(port)

    def _count(self, name: str, by: int = 1) -> None:
        self._counters[name] += by

    async def run(self) -> None:
        """Be a member until cancelled."""
        with self._datagrams, self._listener:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                self.tell(Begin())
                tasks.start_soon(self._keep_time)
                tasks.start_soon(self._accept_all)
                await self._read_all()

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
                for effect in step(self.state, self._clock(), self._inbox.popleft()):
                    self._carry_out(effect)
        finally:
            self._taking = False
        due = self.state.next_at()
        if due is not None and due < self._armed:
            self._rearm.set()

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Send():
                self._send(effect.address, effect.to, effect.parts)
            case OpenExchange():
                self._start_exchange(effect)
            case ReplyExchange():
                self._replies[effect.token] = effect.table
            case Gone():
                self._left.set()
            case _:
                self._notice(effect)

    async def _keep_time(self) -> None:
        while True:
            due = self.state.next_at()
            self._armed = float("inf") if due is None else due
            self._rearm = anyio.Event()
            wait_s = 3600.0 if due is None else max(0.0, due - self._clock()) / 1000
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

    # ------------------------------------------------------------ datagrams out

    def _send_one(self, address: Address, to: int, part: Query | Told) -> None:
        self._send(address, to, (part,))

    def _send(self, address: Address, to: int, parts: tuple[Part, ...]) -> None:
        key, version = self._key_for(to)
        if key is None or version is None:
            self._count("unsent.no_common_key" if key is None else "unsent.no_common_version")
            return
        data = self.seal.seal(to, parts, key, version)
        assert len(data) <= MOST_DATAGRAM, len(data)
        try:
            self._datagrams.sendto(data, address)
        except OSError as error:  # its buffer is full, or there is no way there: as if lost
            self._count(f"unsent.{type(error).__name__}")
            return
        self._count("datagrams.sent")
        self._count("bytes.sent", len(data))

    def _key_for(self, session: int) -> tuple[int | None, int | None]:
        """The key and the version in which the member of that session understands us."""
        ring = self.seal.ring
        entry = self.state.table.of_session(session)
        if entry is None:
            peer = self.seal.peers.get(session)
            known = ring.choose((peer.key,)) if peer else None
            return known or ring.ids[0], MOST
        record = entry.record
        return ring.choose(record.keys), common_version(record.least, record.most)

    # ------------------------------------------------------------ datagrams in

    async def _read_all(self) -> None:
        full = 0
        while True:
            if self._read_some() < TURN:
                full = 0
                await anyio.wait_readable(self._datagrams)
            elif (full := full + 1) >= FULL_TURNS:
                full = 0
                self._count("floods")
                await anyio.sleep(PAUSE_S)
            else:
                await anyio.sleep(0)

    def _read_some(self) -> int:
        for taken in range(TURN):
            try:
                data, source = self._datagrams.recvfrom(MOST_DATAGRAM + 1)
            except BlockingIOError:
                return taken
            except OSError:
                continue  # word of a datagram of ours that nobody took
            self._receive(data, (source[0], source[1]))
        return TURN

    def _receive(self, data: bytes, source: Address) -> None:
        if (reason := self._refuses(data, source)) is not None:
            self._count(f"dropped.{reason}")
            return
        opened = self.seal.open(data)
        if isinstance(opened, Drop):
            self._count(f"dropped.{opened.value}")
            return
        self._count("datagrams.received")
        self._count("bytes.received", len(data))
        if opened.skipped:
            self._count("parts.skipped", opened.skipped)
        self._hand_on(opened, source)

    def _refuses(self, data: bytes, source: Address) -> str | None:
        """Why a datagram is not worth opening: what it claims to be, and how many came from there."""
        if len(data) > MOST_DATAGRAM or (claims := glance(data)) is None:
            return Drop.SHORT.value
        key, session = claims
        now = self._clock()
        if self.seal.ring.cipher(key, now) is None:
            return Drop.KEY.value
        if session in self.seal.peers or session in self.state.table.sessions:
            return None if self._members.admits(session, now, shared=False) else "rate"
        return None if self._strangers.admits(source[0], now) else "rate"

    def _hand_on(self, opened: Opened, source: Address) -> None:
        """Questions and answers to whom they are for, all else to the core."""
        ours = [p for p in opened.parts if isinstance(p, Query | Told)]
        rest = tuple(p for p in opened.parts if not isinstance(p, Query | Told)) if ours else opened.parts
        own = self.state.own
        if opened.to == own.record.session or opened.to in own.former:
            for part in ours:
                self.asks.heard(source, opened.sender, part)
        if rest:
            self.tell(Heard(source, opened.sender, opened.to, rest))

    # ------------------------------------------------------------ streams

    def _start_exchange(self, effect: OpenExchange) -> None:
        if self._asking >= MOST_ASKING:
            self._inbox.append(ExchangeFailed(effect.address, "too many at a time"))
            return
        self._asking += 1
        self._tasks.start_soon(self._exchange, effect)

    async def _exchange(self, effect: OpenExchange) -> None:
        word = "it took too long"
        try:
            with anyio.move_on_after(WHOLE_S):
                table = await exchange(self.seal, effect.address, effect.table)
                word = ""
        except BadStream as error:
            word = str(error)
        finally:
            self._asking -= 1
        if word:
            self.tell(ExchangeFailed(effect.address, word))
            return
        for part in slices(table):
            self.tell(TableTold(effect.address, part))
            await anyio.sleep(0)

    async def _accept_all(self) -> None:
        while True:
            try:
                await anyio.wait_readable(self._listener)
                sock, source = self._listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                continue
            except OSError:  # no descriptor or no memory is left
                await anyio.sleep(ACCEPT_PAUSE_S)
                continue
            if self._serving >= MOST_SERVING or not self._streams.admits(source[0], self._clock()):
                self._count("streams.refused")
                sock.close()
                continue
            self._serving += 1
            self._tasks.start_soon(self._serve, Stream(sock))

    async def _serve(self, stream: Stream) -> None:
        try:
            with anyio.move_on_after(WHOLE_S):
                await serve(self.seal, stream, self._answer)
                self._count("streams.served")
                return
            self._count("streams.too_slow")
        except BadStream as error:
            self._count(f"streams.{error.kind}")
        finally:
            self._serving -= 1
            stream.close()

    async def _answer(self, table: list[Known]) -> Sequence[Known]:
        """The core's answer to a table, which it takes in slice by slice."""
        first, *rest = slices(table) or [()]
        self._token += 1
        self.tell(TableAsked(self._token, first))
        answer = self._replies.pop(self._token, ())
        for part in rest:
            await anyio.sleep(0)
            self.tell(TableTold(first[0].address, part))
        return answer

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


def slices(table: Sequence[Known]) -> list[tuple[Known, ...]]:
    """The table in parts that the core takes at once; each begins with the teller's own line."""
    if not table:
        return []
    rest = table[1:]
    return [(table[0], *rest[i:i + SLICE]) for i in range(0, max(1, len(rest)), SLICE)]
