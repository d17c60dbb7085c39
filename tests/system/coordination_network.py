"""A network in virtual time that delays, loses, doubles, reorders and cuts; and the pool that processes use
on it."""

from __future__ import annotations

import asyncio
import inspect
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from flintfield.simulation.links import Links
from flintfield.transport.records import decode, encode
from flintfield.transport.rpc import Rejected, RpcError, Unanswered, Unreachable

if TYPE_CHECKING:
    from .coordination_world import Process, World


Reply = Callable[[Any], None]


@dataclass
class Weather:
    """How the links behave: chances, and delays in milliseconds."""

    delay_ms: tuple[int, int] = (1, 3)
    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0
    late_ms: tuple[int, int] = (50, 3_000)
    cuts: set[tuple[str, str]] = field(default_factory=set)

    def cut(self, one: str, other: str) -> bool:
        """Whether nothing passes from the one address to the other."""
        return (one, other) in self.cuts


class Network:
    """Carries encoded messages between the lives of processes."""

    def __init__(self, world: World, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self.weather = Weather()
        self.links = Links()
        self.carried = 0
        self.bytes_to: Counter[str] = Counter()  # by the receiver's address

    def delays_ms(self, source: str, target: str) -> list[int]:
        """After which times the copies of a message arrive; none: it is lost."""
        weather, rng = self.weather, self._rng
        if weather.cut(source, target):
            if rng.random() < 0.5:
                return []
            return [rng.randint(500, 6_000)]  # the link holds it back; it may come after the cut
        if rng.random() < weather.lost:
            return []
        delays = [rng.randint(*weather.delay_ms)]
        if rng.random() < weather.late:
            delays = [rng.randint(*weather.late_ms)]
        if rng.random() < weather.doubled:
            delays.append(rng.randint(*weather.late_ms))
        return delays

    def send(self, source: Process, address: str, data: bytes, reply: Reply | None) -> None:
        """Carry a request or one-way message; `reply` is called in the source's loop with an answer or an
        error."""
        self.carried += 1
        self.bytes_to[address] += len(data)
        for delay_ms in self.delays_ms(source.address, address):
            delay_ms += self._link_ms(source.address, address, data)
            self._world.after(delay_ms, lambda: self._arrive(source, address, data, reply))

    def _link_ms(self, source: str, target: str, data: Any) -> int:
        """For how long a message waits for the links of both ends and passes through them."""
        size = len(data) if isinstance(data, bytes) else 0
        return math.ceil(self.links.passage_ms(source, target, size, self._world.now_ms))

    def _arrive(self, source: Process, address: str, data: bytes, reply: Reply | None) -> None:
        if self.weather.cut(source.address, address):
            return
        target = self._world.alive_at(address)
        if target is None or target.handlers is None:
            if self._world.machine_up(address):
                self._back(address, source, Unreachable(f"{address} refuses"), reply)
            return
        target.loop.call_soon(lambda: self._handle(target, source, data, reply))

    def _handle(self, target: Process, source: Process, data: bytes, reply: Reply | None) -> None:
        message = decode(data)
        handler = target.handlers.get(type(message)) if target.handlers else None
        if handler is None:
            self._back(target.address, source, Rejected("no handler"), reply)
            return
        result = handler(message, None)
        if inspect.isawaitable(result):
            target.loop.create_task(self._finish(target, source, result, reply))
        elif reply is not None:
            self._back(target.address, source, encode(result), reply)

    async def _finish(
        self, target: Process, source: Process, result: Any, reply: Callable[[Any], None] | None
    ) -> None:
        answer = await result
        if reply is not None:
            self._back(target.address, source, encode(answer), reply)

    def _back(self, address: str, source: Process, answer: Any, reply: Reply | None) -> None:
        if reply is None:
            return
        self.bytes_to[source.address] += len(answer) if isinstance(answer, bytes) else 0
        for delay_ms in self.delays_ms(address, source.address):
            delay_ms += self._link_ms(address, source.address, answer)
            self._world.after(delay_ms, lambda: self._return(address, source, answer, reply))

    def _return(self, address: str, source: Process, answer: Any, reply: Callable[[Any], None]) -> None:
        if source.alive and not self.weather.cut(address, source.address):
            source.loop.call_soon(reply, answer)


class SimulatedPool:
    """The part of `transport.rpc.Pool` that coordination uses."""

    def __init__(self, network: Network, process: Process) -> None:
        self._network = network
        self._process = process

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """Send a request, wait for the answer."""
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[Any] = loop.create_future()

        def settle(answer: Any) -> None:
            if waiter.done():
                return
            if isinstance(answer, RpcError):
                waiter.set_exception(answer)
            else:
                waiter.set_result(answer)

        timer = loop.call_later(timeout_s, settle, Unanswered(f"{address}: no answer in time"))
        self._network.send(self._process, address, encode(message), settle)
        try:
            answer = await waiter
        finally:
            timer.cancel()
        return decode(answer)

    def send(self, address: str, message: Any) -> None:
        """Send a one-way message."""
        self._network.send(self._process, address, encode(message), None)

    async def close(self) -> None:
        """Nothing to close."""
