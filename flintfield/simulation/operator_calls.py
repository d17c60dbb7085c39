"""The operator's calls to schedulers, as values: their time on the links, its patience, and redirects."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import urlsplit

from flintfield.control.operator import READ_PATH, Answer
from flintfield.simulation.cluster import RPC_PORT, Cluster
from flintfield.simulation.network import Transfer
from flintfield.simulation.process import Process
from flintfield.simulation.scheduler import CONTROL_PORT, SchedulerProcess

SILENCE_MS = 1_000  # from a call to the last byte of its answer
MAX_REDIRECTS = 2

Handler = Callable[[SchedulerProcess, Callable[[Answer], None]], None]


@dataclass(frozen=True, slots=True)
class Call:
    """A call: to which scheduler, the bytes of its body, for how long its answer is waited for."""

    scheduler: str
    size: int
    patience_ms: float


class OperatorCalls:
    """Calls of one operator's process; each returns None where no answer came whole in time."""

    def __init__(self, process: Process, cluster: Cluster) -> None:
        self._process = process
        self._cluster = cluster
        self._network = process.world.network

    async def order(self, name: str, whole: bool, base: int, body: bytes) -> Answer | None:
        """Send an order; the operator waits longer for large bodies, here by their time on the link."""
        patience_ms = SILENCE_MS + self._network.links.transmission_ms(name, len(body))
        return await self._exchange(
            Call(name, len(body), patience_ms),
            lambda process, answered: process.order(whole, base, body, answered),
        )

    async def read(self, name: str) -> Answer | None:
        """Read the configuration at a scheduler, following redirects; the patience is that of one call."""
        world = self._process.world
        sent_ms = world.now_ms
        answer = await self._read_once(name, SILENCE_MS)
        for _ in range(MAX_REDIRECTS):
            if answer is None or answer.status != HTTPStatus.TEMPORARY_REDIRECT:
                return answer
            other = self._scheduler_at(answer.location)
            left_ms = SILENCE_MS - (world.now_ms - sent_ms)
            if other is None or left_ms <= 0:
                return None
            answer = await self._read_once(other, left_ms)
        return answer

    async def _read_once(self, name: str, patience_ms: float) -> Answer | None:
        return await self._exchange(
            Call(name, 0, patience_ms), lambda process, answered: process.read(answered)
        )

    def _scheduler_at(self, location: str) -> str | None:
        """The scheduler whose API is at this URL; None where nobody listens."""
        url = urlsplit(location)
        if (url.scheme, url.port, url.path) != ("http", CONTROL_PORT, READ_PATH):
            return None
        name = self._process.world.machine_at(f"{url.hostname}:{RPC_PORT}")
        return name if name in self._cluster.scenario.schedulers else None

    async def _exchange(self, call: Call, handle: Handler) -> Answer | None:
        loop, network = self._process.loop, self._network
        name, own = call.scheduler, self._process.machine.name
        waiter: asyncio.Future[Answer | None] = loop.create_future()

        def settle(answer: Answer | None) -> None:
            if not waiter.done():
                waiter.set_result(answer)

        def is_awaited() -> bool:
            return not waiter.done()

        def answered(answer: Answer) -> None:
            back = Transfer(name, own, len(answer.body), is_awaited)
            for delay_ms in network.delays_ms(name, own)[:1]:
                network.transfer(back, delay_ms, lambda: self._process.post(settle, answer))

        def arrive() -> None:
            process = self._cluster.scheduler(name)
            if process is not None:
                process.loop.call_soon(handle, process, answered)
            elif self._process.world.machines[name].powered:
                loop.call_soon(settle, None)

        there = Transfer(own, name, call.size, is_awaited)
        for delay_ms in network.delays_ms(own, name)[:1]:
            network.transfer(there, delay_ms, arrive)
        timer = loop.call_later(call.patience_ms / 1_000, settle, None)
        try:
            return await waiter
        finally:
            timer.cancel()
