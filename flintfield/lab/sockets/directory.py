"""Discovery on sockets: the pure `Discovery` behind an address for each scheduler.

A change counts as told once the answer that holds it is handed to the kernel. When discovery is down its
connections are ended and dials refused; when it moved, the old addresses stay dead.
"""

from __future__ import annotations

import itertools
import json
from collections.abc import Callable
from functools import partial
from typing import Any
from urllib.parse import parse_qs

from flintfield.lab.log import Told
from flintfield.lab.platform import list_line
from flintfield.lab.sockets.addresses import DISCOVERY, Address, text
from flintfield.lab.sockets.context import Run
from flintfield.lab.sockets.listener import Listener
from flintfield.lab.sockets.timing import Alarm
from flintfield.lab.sockets.wire import Exchange, ServerEnd
from flintfield.lab.world import Discovery, Line, Reply, Word

MOST_WAIT_MS = 60_000.0

Where = Callable[[str, int], Address]
"""Where a scheduler, by its place, finds a node, by its name."""


class _End(ServerEnd):
    """A scheduler's connection to discovery."""

    def __init__(self, face: Directory, scheduler: int) -> None:
        super().__init__(face, face.run.clock)
        self.scheduler = scheduler


class Directory:
    """Discovery's face."""

    def __init__(self, run: Run, discovery: Discovery, where: Where) -> None:
        self.run, self.discovery, self._where = run, discovery, where
        self._ends: set[_End] = set()
        self._calls: dict[int, Exchange] = {}
        self._numbers = itertools.count(1)
        self._pause_ms = 0.0
        self._listeners: list[Listener] = []
        self._alarm = Alarm(run.clock, discovery.next_at, self._wake)
        run.alarms.append(self._alarm)

    # --------------------------------------------------------------- its life

    def open(self) -> None:
        """Listen, at new addresses."""
        self._listeners = [Listener(self.run.addresses.host(s, DISCOVERY), partial(_End, self, s))
                           for s in range(self.run.schedulers)]
        self._listen()

    def _listen(self) -> None:
        for listener in self._listeners:
            listener.open()
        self.reconsider()

    def close(self) -> None:
        """Refuse dials and end all connections."""
        for listener in self._listeners:
            listener.close()
        for end in list(self._ends):
            end.close(hard=True)
        self._ends.clear()
        self._calls.clear()

    def gone(self) -> None:
        """It goes out of service."""
        self.discovery.stop(self.run.clock())
        self._wake(self.run.clock())
        self.close()
        self._alarm.arm()

    def back(self, anew: bool) -> None:
        """It serves again, at the same addresses."""
        self.discovery.come_back(self.run.clock(), anew)
        self._listen()
        self._alarm.arm()

    def move(self) -> None:
        """It moves: the old addresses are dead, new ones serve."""
        now = self.run.clock()
        self.discovery.stop(now)
        self.discovery.come_back(now, anew=False)
        self._wake(now)
        self.close()
        self.open()
        self._alarm.arm()

    def address(self, scheduler: int) -> str:
        """Where that scheduler finds it, `host:port`."""
        return text(self._listeners[scheduler].address)

    def pause(self, pause_ms: float) -> None:
        """Hold each next call of a watch back for so long, on the way there."""
        self._pause_ms = pause_ms

    def changed(self) -> None:
        """The fleet has changed: look when it is due."""
        self._alarm.arm()

    def reconsider(self) -> None:
        """Let pass what the network lets pass."""
        network, here = self.run.network, self.run.scenario.zones[0]
        for scheduler, listener in enumerate(self._listeners):
            reached = self._reaches(scheduler)
            self.discovery.reach(self.run.names[scheduler], network.passes(here, self.run.zone(scheduler)))
            if reached:
                listener.speak()
            else:
                listener.silence()
        for end in list(self._ends):
            reached = self._reaches(end.scheduler)
            end.hold(inward=not reached, outward=not reached)

    def _reaches(self, scheduler: int) -> bool:
        zones = self.run.scenario.zones
        there, here = self.run.zone(scheduler), zones[0]
        return self.run.network.passes(there, here) and self.run.network.passes(here, there)

    # ---------------------------------------------------------- what is known

    def started(self, scheduler: int) -> dict[str, Any]:
        """A scheduler's process starts: what it is told in its configuration as `known`."""
        version, lines = self.discovery.scheduler_started(self.run.clock(), self.run.names[scheduler])
        known = {"generation": version, "reset": True,
                 "instances": [self._entry(scheduler, line) for line in lines]}
        self._wake(self.run.clock())
        self._alarm.arm()
        return known

    def _entry(self, scheduler: int, line: Line) -> dict[str, Any]:
        # A scheduler whose clock is ahead takes a node for older than it is: so it is told an earlier start.
        offsets = self.run.scenario.schedulers.clock_offset_ms
        epoch = self.run.clock.epoch_ms - (offsets[scheduler] if offsets else 0.0)
        return list_line(line, epoch, text(self._where(line.machine.name, scheduler)))

    # -------------------------------------------------------- its connections

    def connected(self, end: ServerEnd) -> None:
        assert isinstance(end, _End)
        self._ends.add(end)
        reached = self._reaches(end.scheduler)
        end.hold(inward=not reached, outward=not reached)

    def sent(self, exchange: Exchange, first_at: float) -> None:
        """Nothing: calls are no attempts."""

    def let_go(self, exchange: Exchange) -> None:
        """Nothing: what was written counts as told."""

    def head(self, exchange: Exchange) -> None:
        """Nothing before the request is whole."""

    def whole(self, exchange: Exchange) -> None:
        path, _, query = exchange.target.partition(b"?")
        if exchange.method != b"GET" or path != b"/v1/endpoints":
            exchange.reply(404)
            return
        given = parse_qs(query.decode("ascii", "replace"))
        try:
            index = int(given["index"][0]) if "index" in given else None
            wait = float(given.get("wait", ["0"])[0])
        except ValueError:
            exchange.reply(400)
            return
        if self._pause_ms > 0 and index is not None:
            loop_wait, pause = min(wait, MOST_WAIT_MS), self._pause_ms / 1000
            self.run.later(pause, partial(self._call, exchange, index, loop_wait))
        else:
            self._call(exchange, index, min(wait, MOST_WAIT_MS))

    def _call(self, exchange: Exchange, index: int | None, wait_ms: float) -> None:
        end = exchange.connection
        assert isinstance(end, _End)
        if end.over:
            return
        call = next(self._numbers)
        exchange.tag = call
        self._calls[call] = exchange
        self.discovery.call(self.run.clock(), self.run.names[end.scheduler], call, index, wait_ms)
        self._wake(self.run.clock())
        self._alarm.arm()

    def left(self, end: ServerEnd, exchange: Exchange | None) -> None:
        assert isinstance(end, _End)
        self._ends.discard(end)
        call = exchange.tag if exchange else None
        if isinstance(call, int) and call in self._calls:
            del self._calls[call]
            self.discovery.hang_up(self.run.clock(), call)
            self._alarm.arm()

    # ------------------------------------------------------------------- time

    def _wake(self, now: float) -> None:
        for out in self.discovery.wake(now):
            if isinstance(out, Word):
                self._told(out)
            else:
                self._reply(out)

    def _told(self, word: Word) -> None:
        at = self.run.at()
        since = None if word.since is None else max(0.0, word.since)
        self.run.record(Told(at, word.scheduler, word.node, word.state, max(0.0, word.started_at), since))

    def _reply(self, reply: Reply) -> None:
        exchange = self._calls.pop(reply.call, None)
        if exchange is None or exchange.connection.over:
            return
        if reply.lines is None:
            exchange.reply(503)
            return
        end = exchange.connection
        assert isinstance(end, _End)
        news = {"generation": reply.version, "reset": reply.whole,
                "instances": [self._entry(end.scheduler, line) for line in reply.lines]}
        body = json.dumps(news, separators=(",", ":")).encode()
        exchange.reply(200, body, b"Content-Type: application/json")
