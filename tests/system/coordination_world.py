"""A world of processes with coordination nodes, in virtual time, and the judge of what they must keep.

All randomness comes from one seed. `World.run_for(ms)` plays on; `kill`, `wipe`, `freeze`, `cut` and the
weather are the faults. The judge checks at every event: one leader for each epoch, never two confirmed
leases, no acknowledged write missing at an election, batches whole, the register linearizable, one core set
for each version, no configuration confirmed as of a time without what was acknowledged before.
"""

from __future__ import annotations

import bisect
import heapq
import math
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from flintfield.coordination.model import CoreSet, Deposed, LeaderView, NoQuorum
from flintfield.coordination.node import CoreNode, Leadership
from flintfield.coordination.storage import MemoryStore

from .coordination_disk import Platter, SimulatedStore
from .coordination_loop import ROUNDING_S, ProcessLoop
from .coordination_network import Network, SimulatedPool

RESTART_MS = 300
WALL_0_MS = 1_700_000_000_000


class Violation(AssertionError):
    """A property was broken."""


class Machine:
    """An address with a disk (or none); processes come and go on it."""

    def __init__(self, number: int, counts: bool, diskless: bool) -> None:
        self.number = number
        self.name = f"m{number}"
        self.address = f"10.0.0.{number}:7000"
        self.counts = counts
        self.diskless = diskless
        self.platter = Platter()
        self.first_start = True
        self.up = True
        self.process: Process | None = None
        self.wall_step_ms = 0
        self.present = True


class Process:
    """One life of a process: a loop, a node, and the client work that runs in it."""

    def __init__(self, world: World, machine: Machine) -> None:
        self.world = world
        self.machine = machine
        self.address = machine.address
        self.alive = True
        self.frozen_until_ms = 0
        self.loop = ProcessLoop(lambda: world.now_ms / 1_000)  # type: ignore[abstract]
        self.handlers: Any = None
        self.leadership: Leadership | None = None
        self.values: list[bytes] = []
        self.confirmed_count = 0  # of the acknowledged changes, for the judge
        rng = random.Random(world.rng.getrandbits(64))
        store: Any = None
        if machine.counts:
            store = (
                MemoryStore()
                if machine.diskless
                else SimulatedStore(machine.platter, random.Random(rng.getrandbits(64)), world.steady_ms)
            )
        pool: Any = SimulatedPool(world.network, self)
        self.node = CoreNode(
            name=machine.name,
            address=machine.address,
            zone="z",
            seeds=world.seeds,
            first_start=machine.first_start,
            counts=machine.counts,
            store=store,
            tolerance_machines=world.tolerance,
            pool=pool,
            listener=self if machine.counts else None,
            rng=rng,
            steady_ms=world.steady_ms,
            wall_ms=lambda: WALL_0_MS + world.now_ms + machine.wall_step_ms,
        )
        self.node.on_change(self._changed)
        self.loop.call_soon(self._start)

    def _start(self) -> None:
        self.handlers = self.node.handlers()
        self.loop.create_task(self.node.start())

    def _changed(self, value: bytes) -> None:
        self.values.append(value)
        self.world.judge.saw_value(self, value)

    def elected(self, leadership: Leadership) -> None:
        """The listener's part."""
        self.leadership = leadership
        self.world.judge.elected(self, leadership)

    def deposed(self) -> None:
        """The listener's part."""
        self.leadership = None

    def runs(self) -> bool:
        """Whether its loop may be run now."""
        return self.alive and self.world.now_ms >= self.frozen_until_ms

    def confirmed(self) -> bool:
        """Whether it would act as the leader now."""
        return self.alive and self.leadership is not None and self.leadership.confirmed()


class Judge:
    """Collects what was promised, and raises `Violation`."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.epochs: dict[int, Process] = {}
        self.sets: dict[int, CoreSet] = {}
        self.acked: dict[bytes, bytes] = {}
        self.elections: list[tuple[int, int, str]] = []
        self.longest: tuple[str, ...] = ()  # the register's history, as far as it was read
        self.required: set[str] = set()  # changes that were acknowledged
        self.acknowledged_ms: list[int] = []  # when each of them was, in their order
        self.acknowledged: list[str] = []

    def elected(self, process: Process, leadership: Leadership) -> None:
        """A leader begins: its epoch is its own, and all that was acknowledged is there."""
        epoch = leadership.epoch
        if self.epochs.setdefault(epoch, process) is not process:
            raise Violation(f"two leaders in epoch {epoch}")
        if epoch < max(self.epochs):
            later = self.epochs[max(self.epochs)]
            if later.confirmed():
                raise Violation(f"epoch {epoch} elected while {max(self.epochs)} holds its lease")
        self.elections.append((self.world.now_ms, epoch, process.machine.name))
        for key, value in self.acked.items():
            if int(leadership.items.get(key, b"-1")) < int(value):
                raise Violation(f"epoch {epoch} lacks {key!r}={value!r}: {leadership.items.get(key)!r}")
        for key, value in leadership.items.items():
            if key.startswith(b"one/") and leadership.items.get(b"two/" + key[4:]) != value:
                raise Violation(f"batch of {key!r} is torn")

    def check(self) -> None:
        """What must hold at every moment."""
        confirmed = [process for process in self.world.processes() if process.confirmed()]
        if len(confirmed) > 1:
            names = [
                (process.machine.name, process.leadership.epoch)
                for process in confirmed
                if process.leadership is not None
            ]
            raise Violation(f"two leases hold: {names}")
        for process in self.world.processes():
            core = process.node.core
            if core is not None and self.sets.setdefault(core.version, core) != core:
                raise Violation(f"two sets of version {core.version}")
            self._check_confirmation(process)
            if process.loop.failures:
                failure = process.loop.failures[0]
                raise Violation(f"{process.machine.name}: {failure}") from failure.get("exception")

    def acknowledge(self, name: str) -> None:
        """A change was acknowledged to whoever wished it."""
        if name not in self.required:
            self.required.add(name)
            self.acknowledged.append(name)
            self.acknowledged_ms.append(self.world.now_ms)

    def _check_confirmation(self, process: Process) -> None:
        """What a process takes for confirmed as of a time has all that was acknowledged before it."""
        known = process.node.known()
        if known is None:
            return
        value, as_of_ms = known
        count = bisect.bisect_left(self.acknowledged_ms, as_of_ms)
        if count and process.confirmed_count != count:
            missing = set(self.acknowledged[:count]) - set((value or b"").decode().split())
            if missing:
                raise Violation(f"{process.machine.name} confirms as of {as_of_ms} without {missing}")
            process.confirmed_count = count

    def committed(self, value: bytes | None) -> tuple[str, ...]:
        """A committed value of the register: all of them are prefixes of one history."""
        history = tuple((value or b"").decode().split())
        shorter, longer = sorted((history, self.longest), key=len)
        if longer[: len(shorter)] != shorter:
            raise Violation(f"two histories: {history} and {self.longest}")
        self.longest = longer
        return history

    def read(self, value: bytes | None, required: set[str]) -> None:
        """A value that was read after all the changes in `required` had been acknowledged."""
        missing = required - set(self.committed(value))
        if missing:
            raise Violation(f"a read lacks {missing}")

    def saw_value(self, process: Process, value: bytes) -> None:
        """A process learned a value; it never goes back."""
        self.committed(value)
        lengths = [len(seen.split()) for seen in process.values]
        if lengths != sorted(lengths):
            raise Violation(f"{process.machine.name} went back: {process.values}")


class World:
    """Machines, a network, a clock."""

    def __init__(
        self, seed: int, replicas: int = 3, clients: int = 1, *, tolerance: int = 1, diskless: bool = False
    ) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.tolerance = tolerance
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self.network = Network(self, random.Random(self.rng.getrandbits(64)))
        self.judge = Judge(self)
        self.machines = [Machine(number, number < replicas, diskless) for number in range(replicas + clients)]
        self.seeds = tuple(machine.address for machine in self.machines[:3])
        self.graveyard: list[Process] = []
        self.operations = 0

    def steady_ms(self) -> int:
        """The steady clock of all machines."""
        return self.now_ms

    def processes(self) -> list[Process]:
        """All living processes."""
        return [machine.process for machine in self.machines if machine.process is not None]

    def alive_at(self, address: str) -> Process | None:
        """The living process there."""
        for machine in self.machines:
            if machine.address == address:
                return machine.process
        return None

    def machine_up(self, address: str) -> bool:
        """Whether the machine has power."""
        return any(machine.address == address and machine.up for machine in self.machines)

    # Time.

    def after(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Have something happen."""
        self._count += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._count, action))

    def run_for(self, duration_ms: int, until: Callable[[], bool] | None = None) -> bool:
        """Play on; True as soon as `until` holds."""
        end_ms = self.now_ms + duration_ms
        while True:
            self._run_instant()
            if until is not None and until():
                return True
            next_ms = self._next_ms()
            if next_ms is None or next_ms > end_ms:
                self.now_ms = end_ms
                return False
            self.now_ms = next_ms

    def _run_instant(self) -> None:
        """All that is due now, and what follows from it at once."""
        while True:
            busy = False
            while self._events and self._events[0][0] <= self.now_ms:
                heapq.heappop(self._events)[2]()
                busy = True
            for process in self.processes():
                due_s = process.loop.next_s()
                if process.runs() and due_s is not None and due_s <= self.now_ms / 1_000 + ROUNDING_S:
                    process.loop.run_due()
                    busy = True
            if not busy:
                break
        self.judge.check()

    def _next_ms(self) -> int | None:
        times = [self._events[0][0]] if self._events else []
        for process in self.processes():
            due_s = process.loop.next_s()
            if due_s is not None:
                due_ms = max(math.ceil((due_s - ROUNDING_S) * 1_000), self.now_ms + 1)
                times.append(max(due_ms, process.frozen_until_ms))
        return min(times, default=None)

    # Faults.

    def start(self, machine: Machine) -> Process:
        """Start a process there."""
        machine.up = True
        machine.process = Process(self, machine)
        machine.first_start = False
        return machine.process

    def start_all(self, spread_ms: int = 300) -> None:
        """The very first start."""
        for machine in self.machines:
            self.after(self.rng.randint(0, spread_ms), partial(self.restart, machine))

    def kill(self, machine: Machine, restart_ms: int | None = RESTART_MS, power: bool = False) -> None:
        """End the process; start one again after a time (None: it stays down)."""
        process = machine.process
        if process is not None:
            process.alive = False
            process.loop.dead = True
            self.graveyard.append(process)
            machine.process = None
            machine.platter.crash(self.rng)
        machine.up = not power
        if restart_ms is not None:
            self.after(restart_ms, partial(self.restart, machine))

    def restart(self, machine: Machine) -> None:
        """Start a process there, unless one runs."""
        if machine.process is None and machine.present:
            self.start(machine)

    def wipe(self, machine: Machine, restart_ms: int | None = RESTART_MS) -> None:
        """End the process and lose the disk."""
        self.kill(machine, restart_ms, power=True)
        machine.platter = Platter()

    def freeze(self, machine: Machine, duration_ms: int) -> None:
        """Let the process stand still."""
        if machine.process is not None:
            machine.process.frozen_until_ms = self.now_ms + duration_ms

    def name_seeds(self, machines: list[Machine]) -> None:
        """The settings name other seeds: SIGHUP to the living, and whoever starts later reads them."""
        self.seeds = tuple(machine.address for machine in machines)
        for process in self.processes():
            process.loop.call_soon(process.node.set_seeds, self.seeds)

    def cut(self, ones: list[Machine], others: list[Machine]) -> None:
        """Let nothing pass between them."""
        for one in ones:
            for other in others:
                self.network.weather.cuts |= {(one.address, other.address), (other.address, one.address)}

    def heal(self) -> None:
        """Join everything again, and let the links be good."""
        self.network.weather.cuts.clear()
        self.network.weather.lost = self.network.weather.late = self.network.weather.doubled = 0.0

    # Clients.

    def leader(self) -> Process | None:
        """The process whose lease holds."""
        return next((process for process in self.processes() if process.confirmed()), None)

    def write(self) -> None:
        """The leader, if there is one, writes a batch; it is remembered once acknowledged."""
        process = self.leader()
        if process is not None and process.runs() and process.leadership is not None:
            self.operations += 1
            self._begin(process, self._write, process.leadership, b"%d" % self.operations)

    @staticmethod
    def _begin(process: Process, work: Callable[..., Any], *arguments: Any) -> None:
        """Run client work in the process; nothing is left over of it if the process dies before."""
        process.loop.call_soon(lambda: process.loop.create_task(work(process, *arguments)))

    async def _write(self, process: Process, leadership: Leadership, number: bytes) -> None:
        slot = b"%d" % (int(number) % 7)
        changes = [(b"w/" + number, number), (b"one/" + slot, number), (b"two/" + slot, number)]
        try:
            await leadership.write(changes)
        except Deposed:
            return
        if process.alive:
            self.judge.acked[b"w/" + number] = number
            newest = self.judge.acked.get(b"one/" + slot, b"-1")
            self.judge.acked[b"one/" + slot] = max(newest, number, key=int)

    def change(self, process: Process) -> None:
        """A process appends to the register."""
        if process.runs():
            self.operations += 1
            self.append(process, f"c{self.operations}")

    def append(self, process: Process, name: str) -> None:
        """A process appends this name to the register."""
        self._begin(process, self._change, name)

    async def _change(self, process: Process, name: str) -> None:
        required = set(self.judge.required)

        def decide(value: bytes | None) -> bytes | None:
            history = (value or b"").decode().split()
            return None if name in history else " ".join([*history, name]).encode()

        try:
            value = await process.node.change(decide)
        except NoQuorum:
            return
        if process.alive:
            self.judge.read(value, required | {name})
            self.judge.acknowledge(name)

    def read(self, process: Process) -> None:
        """A process reads the register."""
        if process.runs():
            self._begin(process, self._read)

    async def _read(self, process: Process) -> None:
        required = set(self.judge.required)
        try:
            value = await process.node.read()
        except NoQuorum:
            return
        if process.alive:
            self.judge.read(value, required)

    def settled(self) -> bool:
        """Whether all replicas are active in one full set, and a leader holds its lease."""
        down = any(machine.process is None for machine in self.machines if machine.present)
        if down or self.leader() is None:
            return False
        if not all(process.runs() for process in self.processes()):
            return False
        versions = set()
        for process in self.processes():
            host = process.node._host
            if host is not None:
                serving = host.replica.serving if host.replica is not None else None
                if serving is None or serving.member(host.identity) is None:
                    return False
                versions.add(serving.version)
        return len(versions) == 1

    def views(self) -> list[LeaderView | None]:
        """Whom each process takes for the leader."""
        return [process.node.leader for process in self.processes()]
