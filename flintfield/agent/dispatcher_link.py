"""Carries out what `link.Link` decides: look-ups, connections, reports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from flintfield.agent import link as protocol
from flintfield.jobs.messages import AgentOrders, AgentReport, NotDispatcher
from flintfield.transport.rpc import Connection, Counters, Handlers, Unreachable, connect

LOOK_UP_TIMEOUT_S = 2.5  # the directory gives up by itself before


class Leader(Protocol):
    """Who leads: `address` is "ip:port" of the dispatcher's RPC listener."""

    @property
    def epoch(self) -> int:
        """The leader's epoch."""

    @property
    def address(self) -> str:
        """Where it listens."""


class LeaderDirectory(Protocol):
    """Finds the leader; `flintfield.coordination.directory.Directory` in the program."""

    async def leader(self) -> Leader | None:
        """The newest leader known, or None."""

    def report_failed(self, address: str) -> None:
        """Nobody acts at this address."""


class DispatcherLink:
    """The agent's connections to dispatchers: at most the active one and one on trial."""

    def __init__(
        self,
        machine: protocol.Link,
        directory: LeaderDirectory,
        steady_ms: Callable[[], int],
        on_orders: Callable[[AgentOrders], None],
        on_open: Callable[[], None],
    ) -> None:
        self.directory = directory
        self.counters = Counters()
        self._machine = machine
        self._steady_ms = steady_ms
        self._on_orders = on_orders
        self._on_open = on_open
        self._connections: dict[int, Connection] = {}
        self._last_connection = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0

    def start(self) -> None:
        """Begin to look for the dispatcher."""
        self._step(protocol.Wake())

    def stop(self) -> None:
        """Close all connections; what was sent before still leaves."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        for connection in tuple(self._connections.values()):
            connection.close()
        self._connections.clear()

    def send(self, report: AgentReport) -> None:
        """Send the report over every open connection."""
        for connection in tuple(self._connections.values()):
            connection.send(report)
        self._step(protocol.Reported())

    def superseded(self) -> None:
        """The worker has answered to a newer dispatcher."""
        self._step(protocol.Superseded())

    def _step(self, event: protocol.LinkEvent) -> None:
        for effect in self._machine.step(self._steady_ms(), event):
            self._carry_out(effect)
        self._arm()

    def _carry_out(self, effect: protocol.LinkEffect) -> None:
        match effect:
            case protocol.LookUp():
                self._spawn(self._look_up())
            case protocol.Connect(address, timeout_ms):
                self._spawn(self._connect(address, timeout_ms / 1_000))
            case protocol.Close(number):
                connection = self._connections.pop(number, None)
                if connection is not None:
                    connection.close()
            case protocol.Blame(address):
                self.directory.report_failed(address)
            case protocol.ReportNow():
                self._on_open()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _look_up(self) -> None:
        leader: Leader | None = None
        try:
            async with asyncio.timeout(LOOK_UP_TIMEOUT_S):
                leader = await self.directory.leader()
        except TimeoutError:
            pass
        if leader is None:
            self._step(protocol.LeaderFound("", 0))
        else:
            self._step(protocol.LeaderFound(leader.address, leader.epoch))

    async def _connect(self, address: str, timeout_s: float) -> None:
        handlers: Handlers = {AgentOrders: self._take_orders, NotDispatcher: self._take_dismissal}
        try:
            connection = await connect(address, handlers, timeout_s, self.counters)
        except Unreachable:
            self._step(protocol.ConnectFailed())
            return
        self._last_connection += 1
        self._connections[self._last_connection] = connection
        connection.on_close(self._take_close)
        self._step(protocol.Connected(self._last_connection))

    def _number(self, connection: Connection) -> int | None:
        for number, known in self._connections.items():
            if known is connection:
                return number
        return None

    def _take_orders(self, orders: AgentOrders, connection: Connection) -> None:
        number = self._number(connection)
        if number is None:
            return  # closed by this side; what it still says is repeated by whoever leads
        self._step(protocol.Heard(number, orders.epoch))
        self._on_orders(orders)

    def _take_dismissal(self, _message: NotDispatcher, connection: Connection) -> None:
        number = self._number(connection)
        if number is not None:
            self._step(protocol.Dismissed(number))

    def _take_close(self, connection: Connection) -> None:
        number = self._number(connection)
        if number is not None:
            del self._connections[number]
            self._step(protocol.Closed(number))

    def _arm(self) -> None:
        now = self._steady_ms()
        wake_at = self._machine.wake_at(now)
        if self._timer is not None:
            if wake_at == self._timer_at:
                return
            self._timer.cancel()
            self._timer = None
        if wake_at is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later((wake_at - now + 0.5) / 1_000, self._wake)
            self._timer_at = wake_at

    def _wake(self) -> None:
        self._timer = None
        self._step(protocol.Wake())
