"""Worker nodes on sockets: an HTTP/1.1 face for each machine's pure `Node`, at an address for each scheduler.

The face decides nothing: what reaches it goes to the node, what the node says goes onto the wire and into the
log. An attempt is named by its try and the number of the branch, counted by the order of first bytes.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import partial

from flintfield.lab.log import (
    Arrived, Broke, Done, LetGo, NodeState, NodeUp, NodeWarmth, ProbeSeen, Sent, Started, TurnedAway,
)
from flintfield.lab.sockets.addresses import Address
from flintfield.lab.sockets.context import Run
from flintfield.lab.sockets.callers import BODY_BYTES
from flintfield.lab.sockets.faults import Reset
from flintfield.lab.sockets.listener import Listener
from flintfield.lab.sockets.proxy import Proxy
from flintfield.lab.sockets.timing import Alarm
from flintfield.lab.sockets.wire import Exchange, ServerEnd
from flintfield.lab.world import Errand, Happening, Machine, Node, Reading, What
from flintfield.lab.world.node import Key

SWEEP_MS = 100.0
DOWN_BYTES = 330.0  # about what an attempt gets: where a reset may lie
STANDSTILL = 1_000.0  # the log's factor for a node that stands still
REPORT = {"lat_ms": "latency_ms", "rif": "inflight", "q": "queue", "busy": "util", "x0": "free"}


class NodeEnd(ServerEnd):
    """A connection of one scheduler to one process of a node."""

    def __init__(self, face: NodeFace, scheduler: int) -> None:
        super().__init__(face, face.run.clock)
        self.scheduler, self.life = scheduler, face.node.life
        self.counted = False  # among the node's connections


class NodeFace:
    """One machine and its node on sockets."""

    def __init__(self, run: Run, machine: Machine, node: Node) -> None:
        self.run, self.machine, self.node = run, machine, node
        self.silent = False  # the machine has vanished
        self.retired = False  # its process has ended for good
        self._unseen: list[Happening] = []  # what died there shows once the machine is back
        self._out: dict[Key, Exchange] = {}
        self._ends: set[NodeEnd] = set()
        self._listeners = [Listener(run.addresses.node(s, machine.place), partial(self._take, s))
                           for s in range(run.schedulers)]
        self._proxies: list[Proxy] = []
        self._alarm = Alarm(run.clock, node.next_at, self._wake)
        run.alarms.append(self._alarm)

    @property
    def name(self) -> str:
        """The node's name."""
        return self.machine.name

    def address(self, scheduler: int) -> Address:
        """Where that scheduler finds it."""
        return (self._proxies or self._listeners)[scheduler].address

    @property
    def connections(self) -> int:
        """How many are open."""
        return len(self._ends)

    # ------------------------------------------------------------ the process

    async def start(self, cold: bool) -> bool:
        """Its process starts; not if it has ended for good, was pushed over or runs."""
        if self.retired or self.node.up or self.node.fell:
            return False
        self._drop_all()
        self.silent = False
        unseen, self._unseen = self._unseen, []
        self._handle(unseen)
        for listener in self._listeners:
            listener.open()
        if self.run.ways and not self._proxies:
            choose = self.run.ways(self.name)
            self._proxies = [Proxy(lis.address, choose, (lis.address[0], 0)) for lis in self._listeners]
            for proxy in self._proxies:
                await proxy.start()
        self.node.start(self.run.clock(), cold)
        kind = self.machine.kind
        self.run.record(NodeUp(self.run.at(), self.name, self.machine.zone, kind.name, kind.slots, kind.cores,
                               self.machine.capacity, self.node.warm_share))
        self.reconsider()
        self._alarm.arm()
        return True

    def drain(self) -> None:
        """It is told to take nothing new."""
        self.run.record(NodeState(self.run.at(), self.name, "draining"))
        self._handle(self.node.drain(self.run.clock()))

    def die(self) -> None:
        """Its process ends: connections are reset, dials refused."""
        if self.node.up:
            happened = self.node.die(self.run.clock())
            self.run.record(NodeState(self.run.at(), self.name, "down"))
            self._handle(happened)
        self._drop_all()
        for listener in self._listeners:
            listener.close()

    def vanish(self) -> None:
        """The machine falls silent; its process is gone, and nobody hears of it."""
        if self.node.up:
            self.silent = True
            self.reconsider()
            self._unseen += self.node.die(self.run.clock())
            self.run.record(NodeState(self.run.at(), self.name, "down"))

    def slow(self, factor: float, begins: bool) -> None:
        """It runs that many times slower, or no longer so."""
        self.node.slow(self.run.clock(), factor if begins else 1 / factor)
        if begins:
            self.run.record(NodeState(self.run.at(), self.name, "slow", factor))
        else:
            self.run.record(NodeState(self.run.at(), self.name, "usual"))
        self._alarm.arm()

    def stall(self, stalled: bool) -> None:
        """It stands still, or goes on."""
        if not self.node.up:
            return
        self.node.stall(self.run.clock(), stalled)
        if stalled:
            self.run.record(NodeState(self.run.at(), self.name, "slow", STANDSTILL))
        else:
            self.run.record(NodeState(self.run.at(), self.name, "usual"))
        self.reconsider()
        self._alarm.arm()

    def reconsider(self) -> None:
        """Let pass between it and each scheduler what the network and its machine let pass."""
        self.take_dials()
        for end in list(self._ends):
            inward, outward = self._passes(end.scheduler)
            stalled = self.node.up and self.node.stalled
            end.hold(inward=stalled or not inward, outward=stalled or not outward)

    def take_dials(self) -> None:
        """Take dials of those who reach it, and let those of the others not come up."""
        for scheduler, listener in enumerate(self._listeners):
            inward, outward = self._passes(scheduler)
            if listener.listens and not (inward and outward):
                listener.silence()
            elif inward and outward:
                listener.speak()

    def _passes(self, scheduler: int) -> tuple[bool, bool]:
        """Whether anything comes from that scheduler, and gets there."""
        there, here = self.run.zone(scheduler), self.machine.zone
        network = self.run.network
        return (not self.silent and network.passes(there, here),
                not self.silent and network.passes(here, there))

    async def clear_away(self) -> None:
        """The run is over."""
        self._drop_all()
        for listener in self._listeners:
            listener.close()
        for proxy in self._proxies:
            await proxy.stop()

    def _drop_all(self) -> None:
        for end in list(self._ends):
            end.hold(inward=False, outward=False) if self.silent else None
            end.close(hard=True)
        self._ends.clear()
        self._out.clear()

    # -------------------------------------------------------- its connections

    def _take(self, scheduler: int) -> NodeEnd:
        return NodeEnd(self, scheduler)

    def _strike(self, end: NodeEnd) -> None:
        """Reset an attempt's connection at a random byte, on the way there or back, as the trouble says."""
        draws = self.run.resets
        if not draws.chance(self.run.reset_share):
            return
        if draws.chance(0.25):
            self.run.soon(end.broken)  # in its head, or right after it
        elif draws.chance(1 / 3):
            end.strike(Reset(way="up", at=int(draws.uniform(0, BODY_BYTES))))
        else:
            end.strike(Reset(way="down", at=int(draws.uniform(0, DOWN_BYTES))))

    def connected(self, end: ServerEnd) -> None:
        assert isinstance(end, NodeEnd)
        now, network = self.run.clock(), self.run.network
        end.life = self.node.life
        if not self.node.up or not self.node.dial(now):
            end.close(hard=True)
            return
        end.counted = True
        self._ends.add(end)
        # A handshake's round trips, and that of what comes on it: both ways are put on the way back.
        there, here = self.run.zone(end.scheduler), self.machine.zone
        figures = self.run.scenario.fleet
        end.lag_ms = network.one_way(there, here) + network.one_way(here, there)
        end.lag_ms += figures.handshake_rtts * network.usual_round_trip(there, here)
        inward, outward = self._passes(end.scheduler)
        end.hold(self.node.stalled or not inward, self.node.stalled or not outward)
        self._alarm.arm()

    def sent(self, exchange: Exchange, first_at: float) -> None:
        end = exchange.connection
        assert isinstance(end, NodeEnd)
        if exchange.method != b"POST":
            return
        rid = exchange.text(b"req-id")
        if not rid:
            return
        key = (rid, self.run.next_branch(rid))
        exchange.tag = key
        self.run.record(Sent(max(0.0, first_at), *key, self.run.names[end.scheduler], self.name))
        self._strike(end)

    def let_go(self, exchange: Exchange) -> None:
        end = exchange.connection
        assert isinstance(end, NodeEnd)
        if key := _key(exchange):
            self.run.record(LetGo(self.run.at(), *key, self.run.names[end.scheduler]))

    def head(self, exchange: Exchange) -> None:
        if not self.node.up:
            return
        if exchange.method == b"POST" and exchange.tag is None:
            exchange.reply(404)
        elif exchange.expects:
            exchange.go_on()

    def whole(self, exchange: Exchange) -> None:
        if not self.node.up or exchange.answered:
            return
        if exchange.method == b"GET":
            self._probe(exchange)
        elif key := _key(exchange):
            self._arrive(key, exchange)

    def left(self, end: ServerEnd, exchange: Exchange | None) -> None:
        assert isinstance(end, NodeEnd)
        self.forget(end)
        key = _key(exchange) if exchange else None
        if key and self._out.pop(key, None) and self.node.up and end.life == self.node.life:
            self._handle(self.node.cancel(self.run.clock(), key))
        self._alarm.arm()

    def forget(self, end: NodeEnd) -> None:
        """A connection is over."""
        self._ends.discard(end)
        if end.counted:
            end.counted = False
            self.node.hang_up(self.run.clock(), end.life)

    def sweep(self) -> None:
        """Close what has been idle too long."""
        oldest = self.run.clock() - self.run.scenario.fleet.conn_idle_ms + SWEEP_MS
        for end in [e for e in self._ends if e.idle_since is not None and e.idle_since < oldest]:
            if not self.silent and not self.node.stalled:
                end.close()
                self.forget(end)

    # ------------------------------------------------------- jobs and probes

    def _arrive(self, key: Key, exchange: Exchange) -> None:
        end = exchange.connection
        assert isinstance(end, NodeEnd)
        known = self.run.tries.get(key[0])
        if known is None:
            self.run.odd(f"{self.run.names[end.scheduler]} sent {key[0]!r}, which no client did")
            exchange.reply(400)
            return
        wish, scheduler = known.wish, self.run.names[end.scheduler]
        self._out[key] = exchange
        self.run.record(Arrived(self.run.at(), *key, scheduler, self.name, wish.work * wish.slots))
        errand = Errand(key, wish.name, scheduler, wish.cls, wish.work, wish.slots)
        self._handle(self.node.arrive(self.run.clock(), errand))
        self._settle(end)

    def _probe(self, exchange: Exchange) -> None:
        end = exchange.connection
        assert isinstance(end, NodeEnd)
        path = exchange.target.split(b"?", 1)[0]
        if path not in (b"/health", b"/status/load"):
            exchange.reply(404)
            return
        self.run.record(ProbeSeen(self.run.at(), self.run.names[end.scheduler], self.name))
        reading = self.node.probe(self.run.clock())
        if reading is None:
            exchange.reply(503)
        else:
            exchange.reply(200, self._report(reading) if path == b"/status/load" else b"")
        self._settle(end)
        self._alarm.arm()

    def _settle(self, end: NodeEnd) -> None:
        """The first request bore the handshake; from now on it is one round trip."""
        there, here = self.run.zone(end.scheduler), self.machine.zone
        end.lag_ms = self.run.network.one_way(there, here) + self.run.network.one_way(here, there)

    def _report(self, reading: Reading) -> bytes:
        pairs = (f"{n}={getattr(reading, REPORT[n]):.4g}" for n in self.run.report_fields if n in REPORT)
        return f"TEXT {', '.join(pairs)}".encode()

    def _wake(self, now: float) -> None:
        self._handle(self.node.wake(now))

    def _handle(self, happened: list[Happening]) -> None:
        """Write down what happened, and tell those who wait for it."""
        for one in happened:
            _TELL[one.what](self, one, self._out.get(one.key))
            if one.what in _LAST:
                self._out.pop(one.key, None)
        self._alarm.arm()

    def _line(self, one: Happening, exchange: Exchange | None, state: str, last: bool = False,
              **more: object) -> None:
        if exchange:
            told = {"id": one.key[0], "from": self.name, "state": state, **more}
            exchange.line(json.dumps(told, separators=(",", ":")).encode(), last)

    def _started(self, one: Happening, exchange: Exchange | None) -> None:
        self.run.record(Started(self.run.at(), *one.key, self.name))
        if self.run.scenario.fleet.tells_start:
            self._line(one, exchange, "started")

    def _progress(self, one: Happening, exchange: Exchange | None) -> None:
        self._line(one, exchange, "running", share=round(one.share, 4))

    def _done(self, one: Happening, exchange: Exchange | None) -> None:
        self.run.record(Done(self.run.at(), *one.key, self.name, one.body, one.spent))
        self._line(one, exchange, "done", last=True, result=one.body)

    def _failed(self, one: Happening, exchange: Exchange | None) -> None:
        self.run.record(Broke(self.run.at(), *one.key, self.name, "error", True, one.spent))
        self._line(one, exchange, "failed", last=True)

    def _turned_away(self, one: Happening, exchange: Exchange | None) -> None:
        self.run.record(TurnedAway(self.run.at(), *one.key, self.name))
        if exchange:
            exchange.reply(503, b"", b"Srv-Declined: 1")

    def _returned(self, one: Happening, exchange: Exchange | None) -> None:
        self.run.record(TurnedAway(self.run.at(), *one.key, self.name))
        self._line(one, exchange, "returned", last=True)

    def _killed(self, one: Happening, exchange: Exchange | None) -> None:
        self.run.record(Broke(self.run.at(), *one.key, self.name, "killed", one.started, one.spent))

    def _cancelled(self, one: Happening, exchange: Exchange | None) -> None:
        self.run.record(Broke(self.run.at(), *one.key, self.name, "cancelled", one.started, one.spent))

    def _warmth(self, one: Happening, exchange: Exchange | None) -> None:
        self.run.record(NodeWarmth(self.run.at(), self.name, one.share))

    def _fell(self, one: Happening, exchange: Exchange | None) -> None:
        self.run.record(NodeState(self.run.at(), self.name, "fell"))
        self.run.soon(self.die)
        self.run.on_fall(self.name)


def _key(exchange: Exchange) -> Key | None:
    tag = exchange.tag
    return tag if isinstance(tag, tuple) else None


_TELL: dict[What, Callable[[NodeFace, Happening, Exchange | None], None]] = {
    What.STARTED: NodeFace._started, What.PROGRESS: NodeFace._progress, What.DONE: NodeFace._done,
    What.FAILED: NodeFace._failed, What.TURNED_AWAY: NodeFace._turned_away,
    What.RETURNED: NodeFace._returned, What.KILLED: NodeFace._killed, What.CANCELLED: NodeFace._cancelled,
    What.WARMTH: NodeFace._warmth, What.FELL: NodeFace._fell,
}
_LAST = {What.DONE, What.FAILED, What.TURNED_AWAY, What.RETURNED, What.KILLED, What.CANCELLED}
