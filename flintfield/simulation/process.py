"""One life of a process on a machine: its event loop, its handlers, its end."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Any

from flintfield.simulation.connections import SimulatedConnection
from flintfield.simulation.loop import ProcessLoop
from flintfield.simulation.world import Machine, World
from flintfield.transport.rpc import Handlers

LATE_TIMER_MS = 1.0  # timers fire a little late
HANG_MS = (1_000.0, 2_500.0)  # until the peers of a machine without power give its connections up


class Process:
    """A process that lives from now on; what it is made of is put on its loop by whoever starts it."""

    def __init__(self, world: World, machine: Machine) -> None:
        self.world = world
        self.machine = machine
        self.alive = True
        self.handlers: Handlers | None = None  # None: it does not listen yet
        self.connections: list[SimulatedConnection] = []
        self.rng: random.Random = world.draw()
        self.loop = ProcessLoop(  # type: ignore[abstract]  # without sockets, signals and threads
            lambda: machine.clock.steady_ms(world.now_ms) / 1_000, self._on_ready, self._on_timer
        )
        self._armed_ms: float | None = None
        machine.process = self
        machine.lives += 1
        machine.powered = True

    def steady_ms(self) -> int:
        """The machine's steady clock."""
        return int(self.machine.clock.steady_ms(self.world.now_ms))

    def wall_ms(self) -> int:
        """The machine's time of day."""
        return self.machine.clock.wall_ms(self.world.now_ms)

    def kill(self, power: bool) -> None:
        """End it without a word; `power` tells whether the whole machine has lost power."""
        self.alive = False
        self.loop.dead = True
        self.machine.process = None
        self.machine.frozen_until_ms = 0.0
        self.machine.powered = not power
        self.world.graveyard.append(self)
        for connection in tuple(self.connections):
            delay_ms = self.rng.uniform(*HANG_MS) if power else 1.0
            connection.reset_other(delay_ms)
        if power:
            self.machine.platter.lose_power(self.rng)
        else:
            self.machine.platter.end_process()

    def later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Have something happen in this life."""
        self.world.after(delay_ms, lambda: action() if self.alive else None)

    def post(self, callback: Callable[..., object], *arguments: Any) -> None:
        """Have it called in this process's loop, unless its life is over."""
        if self.alive:
            self.loop.call_soon(callback, *arguments)

    def _on_ready(self) -> None:
        """The loop has something to do at once."""
        machine, now_ms = self.machine, self.world.now_ms
        due_ms = machine.frozen_until_ms
        if due_ms < now_ms:
            due_ms = now_ms
        armed_ms = self._armed_ms
        if armed_ms is None or due_ms < armed_ms:
            self._armed_ms = due_ms
            self.world.at(due_ms, partial(self._run, due_ms))

    def _on_timer(self, when_s: float) -> None:
        """The loop has something to do at this time of its own clock."""
        now_ms = self.world.now_ms
        due_ms = self.machine.clock.true_ms(when_s * 1_000)
        armed_ms = self._armed_ms
        if armed_ms is not None and armed_ms <= due_ms:
            return
        if due_ms > now_ms + 0.001:
            due_ms += self.rng.random() * LATE_TIMER_MS
        due_ms = max(now_ms, due_ms, self.machine.frozen_until_ms)
        if armed_ms is None or due_ms < armed_ms:
            self._armed_ms = due_ms
            self.world.at(due_ms, partial(self._run, due_ms))

    def _run(self, armed_ms: float) -> None:
        if self._armed_ms != armed_ms or not self.alive:
            return  # overtaken by an earlier one
        self._armed_ms = None
        if self.world.now_ms < self.machine.frozen_until_ms:
            self._on_ready()  # frozen since
            return
        self.loop.run_due()
        next_s = self.loop.next_timer_s()
        if next_s is not None and self.alive:
            self._on_timer(next_s)
