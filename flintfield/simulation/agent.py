"""An agent process: the real core, link and directory, with the worker's calls led into the simulated fleet.

It does what `flintfield.agent.service` does around the same parts; the HTTP of heartbeats and calls is left
out.
"""

from __future__ import annotations

import dataclasses
from typing import Any, cast

from flintfield.agent.core import Agent
from flintfield.agent import link as protocol
from flintfield.agent.dispatcher_link import DispatcherLink
from flintfield.agent.events import (
    CallWorker,
    Effect,
    Event,
    LinkOpened,
    LookForLeader,
    OrdersArrived,
    SendReport,
    Stopping,
    Tick,
    WorkerAnswered,
)
from flintfield.agent.limits import AgentLimits
from flintfield.coordination.directory import Directory
from flintfield.jobs.messages import AgentOrders, NotDispatcher
from flintfield.simulation.fleet import Fleet
from flintfield.simulation.loop import Handle
from flintfield.simulation.network import SimulatedPool
from flintfield.simulation.plans import Bounds
from flintfield.simulation.process import Process
from flintfield.simulation.spot import Spot
from flintfield.simulation.worker_calls import SimulatedWorkerClient
from flintfield.simulation.world import Machine, World
from flintfield.transport.rpc import Connection, Handlers, Unreachable

GRACE_MS = 1_000.0  # after SIGTERM


class _Link(DispatcherLink):
    """The real link, over simulated connections."""

    process: Process

    async def _connect(self, address: str, timeout_s: float) -> None:
        handlers: Handlers = {AgentOrders: self._take_orders, NotDispatcher: self._take_dismissal}
        try:
            made = await self.process.world.network.connect(self.process, address, handlers, timeout_s)
        except Unreachable:
            self._step(protocol.ConnectFailed())
            return
        connection = cast(Connection, made)
        self._last_connection += 1
        self._connections[self._last_connection] = connection
        connection.on_close(self._take_close)
        self._step(protocol.Connected(self._last_connection))


class AgentProcess(Process):
    """One life of an agent."""

    def __init__(
        self, world: World, machine: Machine, fleet: Fleet, seeds: tuple[str, ...], bounds: Bounds
    ) -> None:
        super().__init__(world, machine)
        self._fleet = fleet
        limits = AgentLimits(bounds.hold_max_ms, bounds.stop_ms)
        self.core = Agent(machine.name, self.rng.getrandbits(62), self.steady_ms(), limits, "app", self.rng)
        pool: Any = SimulatedPool(world.network, self)
        self._directory = Directory(seeds, pool, self.rng)
        self._link = _Link(
            protocol.Link(self.rng),
            self._directory,
            self.steady_ms,
            self._take_orders,
            lambda: self.deliver(LinkOpened()),
        )
        self._link.process = self
        self._client = SimulatedWorkerClient(fleet.calls, self.loop.call_later, self.post)
        self._timer: Handle | None = None
        self._timer_at = 0
        self.loop.call_soon(self._start)

    @property
    def spot(self) -> Spot:
        """The place of the worker beside it."""
        return self._fleet.spots[self.machine.name]

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """SIGHUP: the settings name other seeds."""
        self._directory.set_seeds(seeds)

    def _start(self) -> None:
        self._link.start()
        self.deliver(Tick())

    def deliver(self, event: Event) -> None:
        """Take in an event now; called in the process's own loop."""
        for effect in self.core.step(self.steady_ms(), event):
            self._carry_out(effect)
        self._wake_later()

    def stop(self) -> None:
        """SIGTERM: finish what is under way, report, end."""
        self.post(self.deliver, Stopping())
        self.later(GRACE_MS, self._end)

    def _end(self) -> None:
        self.loop.call_soon(self._say_goodbye)
        self.later(1.0, lambda: self.kill(power=False))

    def _say_goodbye(self) -> None:
        self._carry_out(self.core.final_report(self.steady_ms()))
        self._link.stop()

    def _take_orders(self, orders: AgentOrders) -> None:
        self.deliver(OrdersArrived(orders))

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case CallWorker():
                self._call(effect)
            case SendReport(report):
                self._link.send(dataclasses.replace(report, wall_ms=self.wall_ms()))
            case LookForLeader():
                self._link.superseded()

    def _call(self, call: CallWorker) -> None:
        self._client.call(self.spot, call, lambda answer: self.deliver(WorkerAnswered(call.call, answer)))

    def _wake_later(self) -> None:
        now = self.steady_ms()
        wake_at = max(now, self.core.wake_at(now))
        if self._timer is not None:
            if wake_at == self._timer_at:
                return
            self._timer.cancel()
        self._timer = self.loop.call_later((wake_at - now + 0.5) / 1_000, self._tick)
        self._timer_at = wake_at

    def _tick(self) -> None:
        self._timer = None
        self.deliver(Tick())
