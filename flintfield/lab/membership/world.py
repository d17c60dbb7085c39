"""Members in virtual time: the core as it serves, on a network that loses, delays, doubles and cuts.

Rules. One heap of events, one random generator: the same seed gives the same run. The model does what the
shell and the network would do and decides nothing for a member. Times are milliseconds.

Two kinds of slow members. A *stopped* process handles nothing; what reaches it waits in its socket, up to
`INBOX` datagrams, and when it goes on, its event loop reads the socket and then rings the timers, as a
selector loop does. A *blocked* one runs, its timers ring, but its messages wait on both ways until the block
ends: the anomaly of the Lifeguard paper's experiments (section V). A stream (for whole tables) is slower with
loss, for the kernel sends again, and breaks on a cut.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from flintfield.membership.core import step
from flintfield.membership.messages import (
    Address, Begin, Changed, Effect, ExchangeFailed, Gone, Heard, Input, Known, LeaveAsked, MetaSet, Noted,
    OpenExchange, Record, Renamed, ReplyExchange, Send, Status, TableAsked, TableTold, Woke, size_of,
)
from flintfield.membership.rules import MOST_AGE_MS, SEALING, Rules
from flintfield.membership.state import State
from flintfield.membership.table import Entry

INBOX = 256  # datagrams that wait in a socket: some 200 KiB of kernel memory
PORT = 7_946
STREAM_MS = 10_000.0  # a stream that has not come to its end by then has failed
RESEND_MS = 200.0  # the kernel's first wait before it sends again; it doubles
ROUND_TRIPS = 3  # of a stream before its first byte is there: the connection, and the challenge


@dataclass(slots=True)
class Network:
    """What becomes of a datagram; probabilities, and delays in ms (an exponential tail above the least)."""

    loss: float = 0.0
    double: float = 0.0
    least_ms: float = 0.3
    tail_ms: float = 0.7
    late: float = 0.0  # the share that comes later than others, by up to `late_ms`
    late_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Slow:
    """A member that is stopped or blocked again and again: each stop and each run is drawn evenly."""

    stop_ms: tuple[float, float] = (500.0, 5_000.0)
    run_ms: tuple[float, float] = (200.0, 1_000.0)
    blocked: bool = False


@dataclass(slots=True, eq=False)
class Party:
    """One process; it may come back with a new state under the same name."""

    name: str
    address: Address
    state: State
    up: bool = True
    stopped_until: float = 0.0
    blocked_until: float = 0.0
    slow: Slow | None = None
    side: int = 0  # of a split
    armed: float = float("inf")
    lives: int = 1
    ahead: float = 0.0  # of its clock, in ms; it may jump
    inbox: deque[tuple[float, Input]] = field(default_factory=deque)  # when it was sent, and what
    outbox: deque[tuple[float, Party, Heard]] = field(default_factory=deque)
    left: bool = False
    sent_bytes: int = 0
    sent: int = 0


Watcher = Callable[[float, Party, Effect], None]


class World:
    """A group of members and the network between them."""

    def __init__(self, seed: int, rules: Rules, network: Network | None = None) -> None:
        self.rng = random.Random(seed)
        self.rules, self.network = rules, network or Network()
        self.now = 0.0
        self.parties: dict[Address, Party] = {}
        self.cuts: set[tuple[Address, Address]] = set()  # one way: from, to
        self.watchers: list[Watcher] = []
        self.steps = 0
        self._events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._count = 0
        self._streams: dict[int, tuple[Party, Party, int]] = {}

    # ------------------------------------------------------------ parties

    def make(self, name: str, address: Address, seeds: Sequence[Address]) -> State:
        """A new life's state."""
        record = Record(name, *address, session=self.rng.getrandbits(63), incarnation=1)
        return State(self.rules, record, seeds, random.Random(self.rng.getrandbits(64)))

    def add(self, name: str, seeds: Sequence[Address] = (), host: str = "") -> Party:
        """Start a member that looks for the others itself."""
        number = len(self.parties)
        address = host or f"10.{number >> 16}.{(number >> 8) & 255}.{number & 255}", PORT
        party = Party(name, address, self.make(name, address, seeds))
        self.parties[address] = party
        self._step(party, Begin())
        return party

    def settled(self, count: int) -> list[Party]:
        """That many members, each of which knows all others already."""
        parties = []
        for number in range(count):
            address = f"10.{number >> 16}.{(number >> 8) & 255}.{number & 255}", PORT
            name = f"m{number}"
            parties.append(Party(name, address, self.make(name, address, ())))
            self.parties[address] = parties[-1]
        records = [p.state.own.record for p in parties]
        for party in parties:
            party.state.meeting.joined = True
            for record in records:
                if record.name != party.name:
                    party.state.table.add(Entry(record, 1, Status.ALIVE, 0.0, "settled"))
            self._step(party, Begin())
            party.state.gossip.forget(party.name)
        return parties

    def restart(self, party: Party, seeds: Sequence[Address], after_ms: float = 0.0) -> None:
        """Kill the process now; a new one with nothing in its memory starts after that time."""
        self.kill(party)
        self.at(self.now + after_ms, self._begin_anew, party, tuple(seeds))

    def _begin_anew(self, party: Party, seeds: Sequence[Address]) -> None:
        party.state = self.make(party.name, party.address, seeds)
        party.up, party.left, party.stopped_until = True, False, 0.0
        party.lives += 1
        self._step(party, Begin())

    def kill(self, party: Party) -> None:
        """The process dies without a word."""
        party.up, party.armed = False, float("inf")
        party.inbox.clear()
        party.outbox.clear()

    def stop(self, party: Party, ms: float) -> None:
        """The process is stopped for that long."""
        party.stopped_until = max(party.stopped_until, self.now + ms)
        self.at(party.stopped_until, self._go_on, party, party.lives)

    def block(self, party: Party, ms: float) -> None:
        """The process runs, but none of its messages gets in or out for that long."""
        party.blocked_until = max(party.blocked_until, self.now + ms)
        self.at(party.blocked_until, self._unblock, party, party.lives)

    def _unblock(self, party: Party, life: int) -> None:
        if party.lives == life and party.up and self.now >= party.blocked_until:
            while party.outbox:
                self._travel(*party.outbox.popleft())
            self._empty_inbox(party)

    def leave(self, party: Party) -> None:
        """The member says that it leaves, and its process ends."""
        self._step(party, LeaveAsked())

    def jump(self, party: Party, ms: float) -> None:
        """The member's clock jumps ahead, or back."""
        party.ahead += ms
        party.armed = float("inf")
        self._step(party, Woke())

    def set_meta(self, party: Party, meta: bytes) -> None:
        """The member's metadata changes."""
        self._step(party, MetaSet(meta))

    def make_slow(self, parties: Iterable[Party], how: Slow) -> None:
        """These are stopped again and again from now on."""
        for party in parties:
            party.slow = how
            self.at(self.now + self.rng.uniform(0, how.run_ms[1]), self._slow_down, party, party.lives)

    def _slow_down(self, party: Party, life: int) -> None:
        if party.slow and party.up and party.lives == life:
            stop, run = self.rng.uniform(*party.slow.stop_ms), self.rng.uniform(*party.slow.run_ms)
            (self.block if party.slow.blocked else self.stop)(party, stop)
            self.at(self.now + stop + run, self._slow_down, party, life)

    # ------------------------------------------------------------ time

    def at(self, when: float, do: Callable[..., None], *about: object) -> None:
        """Do something at that time; what is set for one moment is done in the order of setting."""
        self._count += 1
        heapq.heappush(self._events, (when, self._count, do, about))

    def run(self, ms: float, until: Callable[[], bool] | None = None, look_ms: float = 100.0) -> bool:
        """Let time pass; ends early once `until` is true, which is looked at every `look_ms`."""
        end, look = self.now + ms, self.now
        while self._events and self._events[0][0] <= end:
            when, _, do, about = heapq.heappop(self._events)
            while until and look <= when:
                self.now = max(self.now, look)
                if until():
                    self._count += 1
                    heapq.heappush(self._events, (when, 0, do, about))
                    return True
                look += look_ms
            self.now = max(self.now, when)
            do(*about)
        self.now = end
        return until() if until else True

    def _arm(self, party: Party) -> None:
        due = party.state.next_at()
        if due is not None and due < party.armed:
            party.armed = due
            self.at(max(due - party.ahead, self.now), self._ring, party, party.lives, due)

    def _ring(self, party: Party, life: int, due: float) -> None:
        if party.lives != life or not party.up or due != party.armed:
            return
        if self._is_stopped(party):
            return  # it is rung when it goes on
        party.armed = float("inf")
        self._step(party, Woke())

    def _is_stopped(self, party: Party) -> bool:
        return self.now < party.stopped_until

    def _go_on(self, party: Party, life: int) -> None:
        if party.lives != life or not party.up or self._is_stopped(party):
            return
        self._empty_inbox(party)
        party.armed = float("inf")
        self._step(party, Woke())

    def _empty_inbox(self, party: Party) -> None:
        while party.inbox:
            sent, message = party.inbox.popleft()
            self._deliver(party, message, sent)

    def _step(self, party: Party, message: Input) -> None:
        self.steps += 1
        for effect in step(party.state, self.now + party.ahead, message):
            self._carry_out(party, effect)
        self._arm(party)

    # ------------------------------------------------------------ effects

    def _carry_out(self, party: Party, effect: Effect) -> None:
        if isinstance(effect, Send):
            self._send(party, effect)
        elif isinstance(effect, OpenExchange):
            self._open(party, effect)
        elif isinstance(effect, ReplyExchange):
            self._reply(party, effect)
        elif isinstance(effect, Gone):
            party.left = True
            self.kill(party)
        elif isinstance(effect, Renamed):
            party.name = effect.name
        for watch in self.watchers:
            watch(self.now, party, effect)

    def _reaches(self, source: Party, target: Party | None) -> bool:
        return bool(target and target.up and source.side == target.side
                    and (source.address, target.address) not in self.cuts)

    def _send(self, party: Party, effect: Send) -> None:
        party.sent_bytes += SEALING + sum(map(size_of, effect.parts))
        party.sent += 1
        target = self.parties.get(effect.address)
        if target is None or not self._reaches(party, target):
            return
        heard = Heard(party.address, party.state.own.record.session, effect.to, effect.parts)
        if self.now >= party.blocked_until:
            self._travel(self.now, target, heard)
        elif len(party.outbox) < INBOX:
            party.outbox.append((self.now, target, heard))

    def _travel(self, sent: float, target: Party, heard: Heard) -> None:
        network, rng = self.network, self.rng
        for _ in range(2 if network.double and rng.random() < network.double else 1):
            if network.loss and rng.random() < network.loss:
                continue
            delay = network.least_ms + rng.expovariate(1.0) * network.tail_ms
            if network.late and rng.random() < network.late:
                delay += rng.uniform(0, network.late_ms)
            self.at(self.now + delay, self._deliver, target, heard, sent)

    def _deliver(self, target: Party, message: Input, sent: float) -> None:
        """Hand over what reached the machine: to whatever process has the address by now."""
        if not target.up:
            return
        if self._is_stopped(target) or self.now < target.blocked_until:
            if len(target.inbox) < INBOX or not isinstance(message, Heard):
                target.inbox.append((sent, message))
        elif self.now - sent <= MOST_AGE_MS:
            self._step(target, message)

    # ------------------------------------------------------------ streams

    def _trip_ms(self) -> float:
        """One way of a stream's segment, with what the kernel sends again."""
        wait, total = RESEND_MS, self.network.least_ms + self.rng.expovariate(1.0) * self.network.tail_ms
        while self.rng.random() < self.network.loss and total < STREAM_MS:
            total += wait
            wait *= 2
        return total

    def _open(self, party: Party, effect: OpenExchange) -> None:
        target = self.parties.get(effect.address)
        party.sent_bytes += stream_bytes(effect.table)
        life = party.lives
        trips = sum(self._trip_ms() for _ in range(2 * ROUND_TRIPS - 1))
        both = target and self._reaches(party, target) and self._reaches(target, party)
        if not target or not both or trips >= STREAM_MS:
            refused = target is not None and not target.up and target.side == party.side
            self.at(self.now + (trips if refused else STREAM_MS), self._fail, party, life, effect.address)
            return
        self._count += 1
        token = self._count
        self._streams[token] = (party, target, life)
        self.at(self.now + trips, self._deliver, target, TableAsked(token, effect.table), self.now)
        self.at(self.now + STREAM_MS, self._end_stream, token)

    def _fail(self, party: Party, life: int, address: Address) -> None:
        if party.up and party.lives == life:
            self._deliver(party, ExchangeFailed(address, "no connection"), self.now)

    def _end_stream(self, token: int) -> None:
        if ended := self._streams.pop(token, None):
            party, target, life = ended
            self._fail(party, life, target.address)

    def _reply(self, party: Party, effect: ReplyExchange) -> None:
        if (stream := self._streams.pop(effect.token, None)) is None:
            return  # the other side has given up
        asker, target, life = stream
        party.sent_bytes += stream_bytes(effect.table)
        if asker.up and asker.lives == life and self._reaches(party, asker):
            told = TableTold(target.address, effect.table)
            self.at(self.now + self._trip_ms(), self._deliver, asker, told, self.now)
        else:
            self._fail(asker, life, target.address)


def stream_bytes(table: Sequence[Known]) -> int:
    """About what a table takes on a stream: a record and two small numbers a line, 200 bytes of its own."""
    return 200 + sum(60 + len(k.record.name) + len(k.record.host) + len(k.record.meta) for k in table)


@dataclass(slots=True)
class Views:
    """Writes down every change in every view, and what operators would be told."""

    changes: list[tuple[float, Party, Changed]] = field(default_factory=list)
    notes: list[tuple[float, Party, Noted]] = field(default_factory=list)

    def watch(self, now: float, party: Party, effect: Effect) -> None:
        """To be put among a world's watchers."""
        if isinstance(effect, Changed):
            self.changes.append((now, party, effect))
        elif isinstance(effect, Noted):
            self.notes.append((now, party, effect))
