"""Virtual time and the machines in it. All randomness comes from one seed."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterator
from typing import Protocol

from flintfield.simulation.clock import MachineClock
from flintfield.simulation.disk import Platter
from flintfield.simulation.network import Network, Peer

MOST_EVENTS = 3_000_000  # of one history; more is a storm


class EventStorm(RuntimeError):
    """A history has more events than any sound one."""


class MachineProcess(Peer, Protocol):
    """A life of a process as its machine sees it."""

    def kill(self, power: bool) -> None:
        """End it without a word; `power` tells whether the whole machine has lost power."""

    def later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Have something happen in this life."""


class Machine:
    """An address with clocks and a disk; lives of one process come and go on it."""

    def __init__(self, name: str, address: str, clock: MachineClock) -> None:
        self.name = name
        self.address = address
        self.clock = clock
        self.platter = Platter()
        self.process: MachineProcess | None = None
        self.powered = True
        self.lives = 0
        self.frozen_until_ms = 0.0


class World:
    """Time, machines and the network between them. Times are ms since the history began."""

    def __init__(self, rng: random.Random) -> None:
        self.now_ms = 0.0
        self.machines: dict[str, Machine] = {}
        self.graveyard: list[MachineProcess] = []  # kept to the end: no garbage is collected on the way
        self.trace: list[tuple[float, str]] = []
        self.network = Network(self, random.Random(rng.getrandbits(64)))
        self.events = 0
        self._rng = rng
        self._by_address: dict[str, Machine] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def draw(self) -> random.Random:
        """A new generator, for a part that draws by itself."""
        return random.Random(self._rng.getrandbits(64))

    def add_machine(self, name: str, address: str) -> Machine:
        """A machine that is switched on."""
        machine = Machine(name, address, MachineClock(self.draw()))
        self.machines[name] = machine
        self._by_address[address] = machine
        return machine

    def machine_at(self, address: str) -> str:
        """The name of the machine with this address."""
        machine = self._by_address.get(address)
        return machine.name if machine is not None else address

    def process_at(self, address: str) -> MachineProcess | None:
        """The living process there."""
        machine = self._by_address.get(address)
        return machine.process if machine is not None else None

    def has_power(self, address: str) -> bool:
        """Whether somebody there would refuse a connection."""
        machine = self._by_address.get(address)
        return machine is not None and machine.powered

    def processes(self) -> Iterator[MachineProcess]:
        """All living processes."""
        return (machine.process for machine in self.machines.values() if machine.process is not None)

    def note(self, text: str) -> None:
        """A line of the trace."""
        self.trace.append((self.now_ms, text))

    # Time.

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Have something happen."""
        self._count += 1
        heapq.heappush(self._queue, (self.now_ms + delay_ms, self._count, action))

    def at(self, time_ms: float, action: Callable[[], None]) -> None:
        """Have something happen at a time; now, if it is over."""
        self._count += 1
        heapq.heappush(self._queue, (max(time_ms, self.now_ms), self._count, action))

    def run_until(self, end_ms: float) -> None:
        """Play on up to this time."""
        queue = self._queue
        while queue and queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(queue)
            self.events += 1
            if self.events > MOST_EVENTS:
                raise EventStorm(f"{self.events} events by {self.now_ms:.0f} ms")
            action()
        self.now_ms = end_ms
