"""A simulated network in virtual time that delays, loses, duplicates, reorders and blocks messages, and the
RPC pool that processes use on it."""

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
    """Fault settings of the links: probabilities, delays in milliseconds, and blocked address pairs."""

    delay_ms: tuple[int, int] = (1, 3)
    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0
    late_ms: tuple[int, int] = (50, 3_000)
    cuts: set[tuple[str, str]] = field(default_factory=set)

    def cut(self, one: str, other: str) -> bool:
        """Return whether messages from `one` to `other` are blocked."""
        return (one, other) in self.cuts


class Network:
    """Carries encoded messages between processes."""

    def __init__(self, world: World, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self.weather = Weather()
        self.links = Links()
        self.messages_sent = 0
        self.bytes_to: Counter[str] = Counter()  # by the receiver's address

    def delays_ms(self, source: str, target: str) -> list[int]:
        """Return the delay of each copy of a message; an empty list means that the message is lost."""
        weather, rng = self.weather, self._rng
        if weather.cut(source, target):
            if rng.random() < 0.5:
                return []
            return [rng.randint(500, 6_000)]  # delayed by the link; it may arrive after the cut is healed
        if rng.random() < weather.lost:
            return []
        delays = [rng.randint(*weather.delay_ms)]
        if rng.random() < weather.late:
            delays = [rng.randint(*weather.late_ms)]
        if rng.random() < weather.doubled:
            delays.append(rng.randint(*weather.late_ms))
        return delays

    def send(self, source: Process, address: str, data: bytes, reply: Reply | None) -> None:
        """Send a request or a one-way message.

        `reply` is called in the source's loop with the answer or an error.
        """
        self.messages_sent += 1
        self.bytes_to[address] += len(data)
        for delay_ms in self.delays_ms(source.address, address):
            delay_ms += self._link_ms(source.address, address, data)
            self._world.after(delay_ms, lambda: self._deliver(source, address, data, reply))

    def _link_ms(self, source: str, target: str, data: Any) -> int:
        """Return the queueing and transmission time on the links of both ends, in milliseconds."""
        size = len(data) if isinstance(data, bytes) else 0
        return math.ceil(self.links.passage_ms(source, target, size, self._world.now_ms))

    def _deliver(self, source: Process, address: str, data: bytes, reply: Reply | None) -> None:
        if self.weather.cut(source.address, address):
            return
        target = self._world.process_at(address)
        if target is None or target.handlers is None:
            if self._world.is_powered(address):
                self._send_reply(address, source, Unreachable(f"{address}: connection refused"), reply)
            return
        target.loop.call_soon(lambda: self._dispatch(target, source, data, reply))

    def _dispatch(self, target: Process, source: Process, data: bytes, reply: Reply | None) -> None:
        message = decode(data)
        handler = target.handlers.get(type(message)) if target.handlers else None
        if handler is None:
            self._send_reply(target.address, source, Rejected("no handler for this message type"), reply)
            return
        result = handler(message, None)
        if inspect.isawaitable(result):
            target.loop.create_task(self._await_result(target, source, result, reply))
        elif reply is not None:
            self._send_reply(target.address, source, encode(result), reply)

    async def _await_result(
        self, target: Process, source: Process, result: Any, reply: Callable[[Any], None] | None
    ) -> None:
        answer = await result
        if reply is not None:
            self._send_reply(target.address, source, encode(answer), reply)

    def _send_reply(self, address: str, source: Process, answer: Any, reply: Reply | None) -> None:
        if reply is None:
            return
        self.bytes_to[source.address] += len(answer) if isinstance(answer, bytes) else 0
        for delay_ms in self.delays_ms(address, source.address):
            delay_ms += self._link_ms(address, source.address, answer)
            self._world.after(delay_ms, lambda: self._deliver_reply(address, source, answer, reply))

    def _deliver_reply(
        self, address: str, source: Process, answer: Any, reply: Callable[[Any], None]
    ) -> None:
        if source.alive and not self.weather.cut(address, source.address):
            source.loop.call_soon(reply, answer)


class SimulatedPool:
    """A substitute for `transport.rpc.Pool` with the methods that coordination uses."""

    def __init__(self, network: Network, process: Process) -> None:
        self._network = network
        self._process = process

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """Send a request and wait for its answer."""
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[Any] = loop.create_future()

        def resolve(answer: Any) -> None:
            if waiter.done():
                return
            if isinstance(answer, RpcError):
                waiter.set_exception(answer)
            else:
                waiter.set_result(answer)

        timer = loop.call_later(timeout_s, resolve, Unanswered(f"{address}: no answer in time"))
        self._network.send(self._process, address, encode(message), resolve)
        try:
            answer = await waiter
        finally:
            timer.cancel()
        return decode(answer)

    def send(self, address: str, message: Any) -> None:
        """Send a one-way message."""
        self._network.send(self._process, address, encode(message), None)

    async def close(self) -> None:
        """Do nothing: the pool holds no connections."""
