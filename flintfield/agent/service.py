"""The agent's shell: feeds the core with events, keeps its timer, and carries its effects out."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable

from flintfield.agent.core import Agent
from flintfield.agent.dispatcher_link import DispatcherLink, LeaderDirectory
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
from flintfield.agent.link import Link
from flintfield.agent.registry import Registry
from flintfield.agent.worker_client import WorkerClient
from flintfield.jobs.messages import AgentOrders
from flintfield.runtime import clock, logs
from flintfield.runtime.settings import NodeSettings

LOG = logging.getLogger("flintfield.agent")
STOP_PATIENCE_S = 1.0  # for answers to orders that are under way


class AgentService:
    """One agent: registry, worker client, dispatcher link, and the core between them."""

    def __init__(
        self,
        settings: NodeSettings,
        directory: LeaderDirectory,
        rng: random.Random,
        steady_ms: Callable[[], int] = clock.steady_ms,
        wall_ms: Callable[[], int] = clock.wall_ms,
    ) -> None:
        limits = AgentLimits(settings.bounds.hold_max_ms, settings.bounds.stop_ms)
        self.core = Agent(settings.node_name, rng.getrandbits(62), steady_ms(), limits, settings.app, rng)
        self.registry = Registry(self.deliver)
        self.link = DispatcherLink(Link(rng), directory, steady_ms, self._take_orders, self._link_opened)
        self._settings = settings
        self._steady_ms = steady_ms
        self._wall_ms = wall_ms
        self._client = WorkerClient()
        self._calls: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0
        self._settled = asyncio.Event()
        self._told: tuple[object, ...] = ()

    def start(self) -> int:
        """Listen, and look for the dispatcher; returns the listener's port. Raises `OSError`."""
        ip, _, port = (self._settings.listen.control or "").rpartition(":")
        bound = self.registry.start(ip, int(port))
        self.link.start()
        self.deliver(Tick())
        return bound

    async def stop(self) -> None:
        """Let orders that are under way finish, report, close."""
        self.deliver(Stopping())
        try:
            async with asyncio.timeout(STOP_PATIENCE_S):
                while self.core.calls_to_finish:
                    self._settled.clear()
                    await self._settled.wait()
        except TimeoutError:
            logs.event(LOG, "orders_left_unanswered", calls=self.core.calls_to_finish)
        if self._timer is not None:
            self._timer.cancel()
        self._carry_out(self.core.final_report(self._steady_ms()))
        self.link.stop()
        for task in tuple(self._calls):
            task.cancel()
        await self.registry.stop()
        logs.event(
            LOG,
            "counters",
            **dataclasses.asdict(self.core.counters),
            **dataclasses.asdict(self.core.incarnations.counters),
            **dataclasses.asdict(self.registry.counters),
        )

    def deliver(self, event: Event) -> None:
        """Take in an event now."""
        for effect in self.core.step(self._steady_ms(), event):
            self._carry_out(effect)
        self._tell()
        self._arm()

    def _take_orders(self, orders: AgentOrders) -> None:
        self.deliver(OrdersArrived(orders))

    def _link_opened(self) -> None:
        self.deliver(LinkOpened())

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case CallWorker():
                task = asyncio.get_running_loop().create_task(self._call(effect))
                self._calls.add(task)
                task.add_done_callback(self._calls.discard)
            case SendReport(report):
                self.link.send(dataclasses.replace(report, wall_ms=self._wall_ms()))
            case LookForLeader():
                self.link.superseded()

    async def _call(self, call: CallWorker) -> None:
        answer = await self._client.call(call)
        self.deliver(WorkerAnswered(call.call, answer))
        self._settled.set()

    def _tell(self) -> None:
        """Log a change of epoch or incarnation, and when a worker that leaves has nothing left to report."""
        present = self.core.present
        is_over = present is not None and present.leaves and present.is_over(self._steady_ms())
        told = (self.core.epoch, present and present.instance, present and present.standing.value, is_over)
        if told == self._told:
            return
        self._told = told
        unacknowledged = len(present.listing.finished()) if present is not None else 0
        logs.event(
            LOG,
            "state",
            epoch=told[0],
            instance=told[1],
            standing=told[2],
            over=is_over,
            unacknowledged_ends=unacknowledged,
        )

    def _arm(self) -> None:
        now = self._steady_ms()
        wake_at = max(now, self.core.wake_at(now))
        if self._timer is not None:
            if wake_at == self._timer_at:
                return
            self._timer.cancel()
        # Half a millisecond more: the steady clock is rounded down, and a timer that fires early would spin.
        delay_s = (wake_at - now + 0.5) / 1_000
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._tick)
        self._timer_at = wake_at

    def _tick(self) -> None:
        self._timer = None
        self.deliver(Tick())
