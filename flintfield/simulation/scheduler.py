"""A scheduler process: the real node of coordination, dispatcher, view, ingress and operator's API.

It assembles what `flintfield.programs.scheduler` does; the listeners of HTTP are left out, so requests come
as values.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from tornado.httputil import HTTPHeaders

from flintfield.control.configuration import Configuration
from flintfield.control.forwarding import OrderForwarder
from flintfield.control.messages import ForwardedOrder
from flintfield.control.operator import Answer, OperatorService
from flintfield.control.redirection import ReadRedirector
from flintfield.control.view import ConfigurationView
from flintfield.coordination.node import CoreNode
from flintfield.coordination.storage import KeyedStore, MemoryStore
from flintfield.dispatch.service import DispatchService
from flintfield.ingress.link import DispatcherLink
from flintfield.ingress.messages import Reply, Request
from flintfield.ingress.server import IngressServer
from flintfield.jobs.bounds import DispatcherBounds
from flintfield.placement.market import MarketPlacement
from flintfield.runtime.settings import Bounds as SettingsBounds
from flintfield.runtime.settings import Limits, NodeSettings
from flintfield.simulation.disk import SimulatedStore
from flintfield.simulation.network import SimulatedPool
from flintfield.simulation.plans import Bounds
from flintfield.simulation.process import Process
from flintfield.simulation.world import Machine, World


CONTROL_PORT = 7_100  # of the operator's API, where redirects point to


@dataclass(frozen=True, slots=True)
class Core:
    """What all schedulers of a history are told."""

    seeds: tuple[str, ...]
    counts: frozenset[str]  # machines that count for the quorum
    diskless: bool
    tolerance: int
    bounds: Bounds


class SchedulerProcess(Process):
    """One life of a scheduler."""

    def __init__(self, world: World, machine: Machine, core: Core, first_start: bool) -> None:
        super().__init__(world, machine)
        bounds = core.bounds
        store = self._open_store(core)
        pool: Any = SimulatedPool(world.network, self)
        self.dispatch = DispatchService(
            DispatcherBounds(
                hold_max_ms=bounds.hold_max_ms,
                stop_ms=bounds.stop_ms,
                gang_ms=bounds.gang_ms,
                early_ms=bounds.early_ms,
            ),
            self._current,
            MarketPlacement,
            self.steady_ms,
            self.rng,
            self._read_configuration,
            self._leader_address,
        )
        self.node = CoreNode(
            name=machine.name,
            address=machine.address,
            zone="z",
            seeds=core.seeds,
            first_start=first_start,
            counts=store is not None,
            store=store,
            tolerance_machines=core.tolerance,
            pool=pool,
            listener=self.dispatch if store is not None else None,
            rng=self.rng,
            steady_ms=self.steady_ms,
            wall_ms=self.wall_ms,
        )
        self.view = ConfigurationView(self.node, self.steady_ms)
        self.view.on_change(self.dispatch.set_configuration)
        forwarder = None if store is not None else OrderForwarder(pool, self.node, "z", self.rng)
        redirector = None if store is not None else self._read_redirector()
        self._operator = OperatorService(self.node, forwarder=forwarder, redirector=redirector)
        link = DispatcherLink(pool, self.node, self.steady_ms, self.rng)
        self._ingress = IngressServer(
            _settings(machine, bounds), self.view, link, self.node, steady_ms=self.steady_ms
        )
        self.loop.call_soon(self._start)

    def _open_store(self, core: Core) -> KeyedStore | None:
        if self.machine.name not in core.counts:
            return None
        if core.diskless:
            return MemoryStore()
        return SimulatedStore(
            self.machine.platter, random.Random(self.rng.getrandbits(64)), lambda: self.world.now_ms
        )

    def _read_redirector(self) -> ReadRedirector:
        link_mbps = self.world.network.links.mbps(self.machine.name, Limits().link_mbps)
        return ReadRedirector(self.node, link_mbps, CONTROL_PORT, self.rng)

    def _start(self) -> None:
        self.handlers = {
            **self.node.handlers(),
            **self.dispatch.handlers(),
            ForwardedOrder: lambda order, _: self._operator.take_forwarded(order),
        }
        self.loop.create_task(self.node.start())

    def _current(self) -> Configuration | None:
        return self.view.current

    async def _read_configuration(self) -> Configuration | None:
        return await self.view.read()

    def _leader_address(self) -> str:
        leader = self.node.leader
        return leader.address if leader is not None else ""

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """SIGHUP: the settings name other seeds."""
        self.node.set_seeds(seeds)

    def stop(self, grace_ms: float) -> None:
        """SIGTERM: hand leadership over, answer what was taken in, end."""
        self.loop.call_soon(lambda: self.loop.create_task(self.node.resign()))
        self.later(grace_ms, lambda: self.kill(power=False))

    # Requests from outside; `answer` is called in this process's loop.

    def serve(
        self,
        method: str,
        path: str,
        host: str,
        body: bytes,
        deadline_ms: int,
        answer: Callable[[Reply], None],
    ) -> None:
        """A client's request."""
        headers = HTTPHeaders({"Host": host, "X-Deadline-Ms": str(deadline_ms)})
        request = Request(method, path, headers, body, self.steady_ms())
        self.loop.create_task(self._serve(request, answer))

    async def _serve(self, request: Request, answer: Callable[[Reply], None]) -> None:
        answer(await self._ingress._serve(request))

    def order(self, whole: bool, base: int, body: bytes, answer: Callable[[Answer], None]) -> None:
        """A change of the operator's."""
        service = self._operator
        call = service.replace(str(base), body) if whole else service.update(str(base), body)
        self.loop.create_task(_then(call, answer))

    def read(self, answer: Callable[[Answer], None]) -> None:
        """The operator reads the configuration."""
        self.loop.create_task(_then(self._operator.read(), answer))


async def _then(call: Any, answer: Callable[[Answer], None]) -> None:
    answer(cast(Answer, await asyncio.ensure_future(call)))


def _settings(machine: Machine, bounds: Bounds) -> NodeSettings:
    ip = machine.address.partition(":")[0]
    settings_bounds = SettingsBounds(config_apply_ms=bounds.config_apply_ms, hold_max_ms=bounds.hold_max_ms)
    return NodeSettings(
        node_name=machine.name,
        role="scheduler",
        ip=ip,
        zone="z",
        port_range=(7000, 7010),
        bounds=settings_bounds,
    )
