"""One end of a simulated connection: messages keep their order, a cut holds them up, a long one ends it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from flintfield.simulation.loop import ProcessLoop
from flintfield.simulation.weather import Weather
from flintfield.transport.records import decode, encode
from flintfield.transport.rpc import Handlers

LOOK_AGAIN_MS = 60.0  # a connection whose bytes a cut holds up looks whether it is over
USER_TIMEOUT_MS = 2_500.0  # bytes that are not acknowledged for so long end a connection
RESET_MS = 2.0


class Named(Protocol):
    """A machine."""

    name: str


class Endpoint(Protocol):
    """A process as its connections see it."""

    alive: bool
    loop: ProcessLoop
    connections: list[SimulatedConnection]

    @property
    def machine(self) -> Named:
        """Where it lives."""


class Carrier(Protocol):
    """What a connection needs of the network."""

    weather: Weather
    carried: int

    def now_ms(self) -> float:
        """True time."""

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Have something happen."""

    def stream_delay_ms(self) -> float:
        """The delay of a piece of bytes on a path that is open."""


class SimulatedConnection:
    """One end of a connection: the part of `transport.connection.Connection` that one-way traffic needs."""

    def __init__(self, network: Carrier, process: Endpoint, handlers: Handlers) -> None:
        self.closed = False
        self.other: SimulatedConnection | None = None
        self._network = network
        self._process = process
        self._handlers = handlers
        self._callbacks: list[Callable[[Any], None]] = []
        self._free_ms = 0.0  # when the bytes sent last arrive
        process.connections.append(self)

    def send(self, message: Any) -> bool:
        """Send a one-way message; False where the connection is closed."""
        if self.closed:
            return False
        self._network.carried += 1
        data = encode(message)
        now = self._network.now_ms()
        self._free_ms = max(now + self._network.stream_delay_ms(), self._free_ms + 0.001)
        self._carry(data, now, self._free_ms - now)
        return True

    def on_close(self, callback: Callable[[Any], None]) -> None:
        """Have `callback(connection)` called when the connection is closed."""
        if self.closed:
            self._process.loop.call_soon(callback, self)
        else:
            self._callbacks.append(callback)

    def close(self) -> None:
        """Close; what was sent before still arrives, as far as nothing holds it up."""
        delay_ms = max(RESET_MS, self._free_ms - self._network.now_ms() + 0.001)
        self.end()
        self.reset_other(delay_ms)

    def end(self) -> None:
        """The one change from open to closed, at this end."""
        if self.closed:
            return
        self.closed = True
        if self in self._process.connections:
            self._process.connections.remove(self)
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            self._process.loop.call_soon(callback, self)

    def reset_other(self, delay_ms: float) -> None:
        """Let the other end hear that this one is gone."""
        other = self.other
        assert other is not None
        weather = self._network.weather

        def arrive() -> None:
            if not other._process.alive:
                return
            if weather.is_cut(self._process.machine.name, other._process.machine.name):
                self._network.after(LOOK_AGAIN_MS, arrive)
            else:
                other.end()

        self._network.after(delay_ms, arrive)

    def _carry(self, data: bytes, sent_ms: float, delay_ms: float) -> None:
        self._network.after(delay_ms, lambda: self._arrive(data, sent_ms))

    def _arrive(self, data: bytes, sent_ms: float) -> None:
        other = self.other
        assert other is not None
        if other.closed or not other._process.alive:
            return
        if self._network.weather.is_cut(self._process.machine.name, other._process.machine.name):
            if self._network.now_ms() - sent_ms > USER_TIMEOUT_MS:
                self.end()
                self.reset_other(RESET_MS)
            elif not self.closed:  # bytes that a cut holds up are lost if their sender resets the connection
                self._carry(data, sent_ms, LOOK_AGAIN_MS)
            return
        other._process.loop.call_soon(other._take, data)

    def _take(self, data: bytes) -> None:
        if self.closed:
            return
        message = decode(data)
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, self)  # type: ignore[arg-type]  # one-way handlers send and watch the end only
