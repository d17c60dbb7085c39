"""A network in virtual time that delays, loses, doubles, reorders and cuts.

Calls (`SimulatedPool`) travel as single messages, so that they pass each other, come late or twice: more
than TCP would do, as every protocol must bear it. Connections (`SimulatedConnection`) keep their order, as
TCP does: a cut holds their bytes up, and ends them when it lasts. Calls and transfers (`Transfer`) take their
time on links with a bandwidth (`links`); connections don't.
"""

from __future__ import annotations

import asyncio
import inspect
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Protocol

from flintfield.simulation.connections import Endpoint, SimulatedConnection
from flintfield.simulation.links import Links
from flintfield.simulation.weather import Weather
from flintfield.transport.records import decode, encode
from flintfield.transport.rpc import Handlers, Rejected, RpcError, Unanswered, Unreachable

LATE_MS = (50.0, 4_000.0)
HELD_BY_CUT = 0.5  # of the messages that meet a cut come after it; the others are lost
RETRANSMIT_MS = (200.0, 900.0)  # what a lost packet costs a connection
SEGMENT_BYTES = 16 * 1024  # of a transfer: other messages pass between two segments

Reply = Callable[[Any], None]


class Peer(Endpoint, Protocol):
    """A process as the network sees it; `handlers` is None while it doesn't listen."""

    handlers: Handlers | None


class Surroundings(Protocol):
    """What the network needs of the world: time, and who is at an address."""

    now_ms: float

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Have something happen."""

    def machine_at(self, address: str) -> str:
        """The name of the machine with this address."""

    def process_at(self, address: str) -> Peer | None:
        """The living process there."""

    def has_power(self, address: str) -> bool:
        """Whether somebody there would refuse a connection."""


@dataclass(frozen=True, slots=True)
class Transfer:
    """Bytes of an HTTP request or answer that pass between two machines while `is_awaited()`."""

    source: str
    target: str
    size: int
    is_awaited: Callable[[], bool]


class Network:
    """Carries messages between machines; `weather` and `links` may be changed at any time."""

    def __init__(self, world: Surroundings, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self.weather = Weather()
        self.links = Links()
        self.carried = 0

    def delays_ms(self, source: str, target: str) -> list[float]:
        """After which times the copies of a message arrive; none: it is lost."""
        weather, rng = self.weather, self._rng
        if weather.is_cut(source, target):
            return [rng.uniform(500, 6_000)] if rng.random() < HELD_BY_CUT else []
        if weather.lost and rng.random() < weather.lost:
            return []
        delays = [rng.uniform(*weather.delay_ms)]
        if weather.late and rng.random() < weather.late:
            delays = [rng.uniform(*LATE_MS)]
        if weather.doubled and rng.random() < weather.doubled:
            delays.append(rng.uniform(*LATE_MS))
        return delays

    def stream_delay_ms(self) -> float:
        """The delay of a piece of a connection's bytes on a path that is open."""
        weather, rng = self.weather, self._rng
        delay_ms = rng.uniform(*weather.delay_ms)
        if rng.random() < weather.lost + weather.late:
            delay_ms += rng.uniform(*RETRANSMIT_MS)
        return delay_ms

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Have something happen."""
        self._world.after(delay_ms, action)

    def now_ms(self) -> float:
        """True time."""
        return self._world.now_ms

    # Calls.

    def request(self, source: Peer, address: str, data: bytes, reply: Reply | None) -> None:
        """Carry a request or one-way message; `reply` gets bytes or an error, in the source's loop."""
        self.carried += 1
        target = self._world.machine_at(address)
        for delay_ms in self.delays_ms(source.machine.name, target):
            delay_ms += self._passage_ms(source.machine.name, target, data)
            self._world.after(delay_ms, lambda: self._arrive(source, address, data, reply))

    def _passage_ms(self, source: str, target: str, message: Any) -> float:
        """How long a message (bytes, or an error, which is short) waits for and takes on both links."""
        size = len(message) if isinstance(message, bytes) else 0
        return self.links.passage_ms(source, target, size, self._world.now_ms)

    def _arrive(self, source: Peer, address: str, data: bytes, reply: Reply | None) -> None:
        name = self._world.machine_at(address)
        if self.weather.is_cut(source.machine.name, name):
            return
        target = self._world.process_at(address)
        if target is None or target.handlers is None:
            if self._world.has_power(address):
                self._back(name, source, Unreachable(f"{address} refuses"), reply)
            return
        target.loop.call_soon(self._handle, target, source, data, reply)

    def _handle(self, target: Peer, source: Peer, data: bytes, reply: Reply | None) -> None:
        message = decode(data)
        handler = target.handlers.get(type(message)) if target.handlers is not None else None
        name = target.machine.name
        if handler is None:
            self._back(name, source, Rejected("no handler"), reply)
            return
        result: Any = handler(message, None)  # type: ignore[arg-type]  # calls don't look at their connection
        if inspect.isawaitable(result):
            target.loop.create_task(self._finish(name, source, result, reply))
        elif reply is not None:
            self._back(name, source, encode(result), reply)

    async def _finish(self, name: str, source: Peer, result: Any, reply: Reply | None) -> None:
        answer = await result
        if reply is not None:
            self._back(name, source, encode(answer), reply)

    def _back(self, name: str, source: Peer, answer: Any, reply: Reply | None) -> None:
        if reply is None:
            return
        for delay_ms in self.delays_ms(name, source.machine.name):
            delay_ms += self._passage_ms(name, source.machine.name, answer)
            self._world.after(delay_ms, lambda: self._return(name, source, answer, reply))

    def _return(self, name: str, source: Peer, answer: Any, reply: Reply) -> None:
        if source.alive and not self.weather.is_cut(name, source.machine.name):
            source.loop.call_soon(reply, answer)

    # Transfers.

    def transfer(self, transfer: Transfer, delay_ms: float, arrived: Callable[[], None]) -> None:
        """Carry bytes segment by segment; `arrived` is called `delay_ms` after the last one has passed.

        It ends without a word when nobody awaits the bytes any more.
        """
        source, target = transfer.source, transfer.target
        is_limited = self.links.is_limited(source) or self.links.is_limited(target)
        segment = min(transfer.size, SEGMENT_BYTES) if is_limited else transfer.size
        passage_ms = self.links.passage_ms(source, target, segment, self._world.now_ms)
        if segment == transfer.size:
            self._world.after(passage_ms + delay_ms, arrived)
            return
        rest = replace(transfer, size=transfer.size - segment)

        def go_on() -> None:
            if rest.is_awaited():
                self.transfer(rest, delay_ms, arrived)

        self._world.after(passage_ms, go_on)

    # Connections.

    async def connect(
        self, source: Peer, address: str, handlers: Handlers, timeout_s: float
    ) -> SimulatedConnection:
        """Open a connection; raises `Unreachable`."""
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[SimulatedConnection] = loop.create_future()
        self._world.after(self.stream_delay_ms(), lambda: self._open(source, address, handlers, waiter))
        try:
            async with asyncio.timeout(timeout_s):
                return await waiter
        except TimeoutError as error:
            raise Unreachable(f"{address}: timed out") from error

    def _open(
        self, source: Peer, address: str, handlers: Handlers, waiter: asyncio.Future[SimulatedConnection]
    ) -> None:
        name = self._world.machine_at(address)
        own = source.machine.name
        if not source.alive or self.weather.is_cut(own, name) or self.weather.is_cut(name, own):
            return
        target = self._world.process_at(address)
        if target is None or target.handlers is None:
            if self._world.has_power(address):
                error = Unreachable(f"{address} refuses")
                source.loop.call_soon(_fail, waiter, error)
            return
        near = SimulatedConnection(self, source, handlers)
        far = SimulatedConnection(self, target, target.handlers)
        near.other, far.other = far, near

        def hand_over() -> None:
            if waiter.done():
                near.close()
            else:
                waiter.set_result(near)

        source.loop.call_soon(hand_over)


def _fail(waiter: asyncio.Future[SimulatedConnection], error: RpcError) -> None:
    if not waiter.done():
        waiter.set_exception(error)


class SimulatedPool:
    """The part of `transport.rpc.Pool` that schedulers and agents use."""

    def __init__(self, network: Network, process: Peer) -> None:
        self._network = network
        self._process = process

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """Send a request, wait for the answer; raises `RpcError`."""
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
        self._network.request(self._process, address, encode(message), settle)
        try:
            answer = await waiter
        finally:
            timer.cancel()
        return decode(answer)

    def send(self, address: str, message: Any) -> None:
        """Send a one-way message."""
        self._network.request(self._process, address, encode(message), None)

    async def close(self) -> None:
        """Nothing to close."""
