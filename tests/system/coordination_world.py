"""A simulation of processes with coordination nodes in virtual time, with a checker of their invariants.

All randomness comes from one seed. `World.run_for(ms)` advances the simulation; `kill`, `wipe`, `freeze`,
`cut` and the network's `weather` inject faults. `Judge` checks the invariants at every event: one leader per
epoch; never two confirmed leases; no acknowledged write missing at an election; batches are atomic; the
register is linearizable; one core set per version; a configuration confirmed as of a time contains every
change acknowledged before that time.
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
    """An invariant was violated."""


class Machine:
    """An address with an optional disk, on which processes are started and killed."""

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
    """One run of a process: its event loop, its node, and the client tasks that run in it."""

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
        self.confirmed_count = 0  # acknowledged changes already checked by the judge
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
        """Record the new leadership (`LeaderListener`)."""
        self.leadership = leadership
        self.world.judge.elected(self, leadership)

    def deposed(self) -> None:
        """Record the end of the leadership (`LeaderListener`)."""
        self.leadership = None

    def runs(self) -> bool:
        """Return whether the process is alive and not frozen."""
        return self.alive and self.world.now_ms >= self.frozen_until_ms

    def confirmed(self) -> bool:
        """Return whether the process holds a confirmed lease."""
        return self.alive and self.leadership is not None and self.leadership.confirmed()


class Judge:
    """Records what processes acknowledged, and raises `Violation` when an invariant is violated."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.leaders_by_epoch: dict[int, Process] = {}
        self.core_sets: dict[int, CoreSet] = {}
        self.acked: dict[bytes, bytes] = {}
        self.elections: list[tuple[int, int, str]] = []
        self.longest_history: tuple[str, ...] = ()  # the longest history read from the register
        self.required: set[str] = set()  # acknowledged changes
        self.acknowledged_ms: list[int] = []  # times of the acknowledgements, in order
        self.acknowledged: list[str] = []

    def elected(self, process: Process, leadership: Leadership) -> None:
        """Check that a new leader's epoch is unique and that its items contain all acknowledged writes."""
        epoch = leadership.epoch
        if self.leaders_by_epoch.setdefault(epoch, process) is not process:
            raise Violation(f"two leaders in epoch {epoch}")
        if epoch < max(self.leaders_by_epoch):
            later = self.leaders_by_epoch[max(self.leaders_by_epoch)]
            if later.confirmed():
                raise Violation(f"epoch {epoch} elected while {max(self.leaders_by_epoch)} holds its lease")
        self.elections.append((self.world.now_ms, epoch, process.machine.name))
        for key, value in self.acked.items():
            if int(leadership.items.get(key, b"-1")) < int(value):
                raise Violation(f"epoch {epoch} lacks {key!r}={value!r}: {leadership.items.get(key)!r}")
        for key, value in leadership.items.items():
            if key.startswith(b"one/") and leadership.items.get(b"two/" + key[4:]) != value:
                raise Violation(f"batch of {key!r} is not atomic")

    def check(self) -> None:
        """Check the invariants that hold at every event."""
        confirmed = [process for process in self.world.processes() if process.confirmed()]
        if len(confirmed) > 1:
            names = [
                (process.machine.name, process.leadership.epoch)
                for process in confirmed
                if process.leadership is not None
            ]
            raise Violation(f"two confirmed leases: {names}")
        for process in self.world.processes():
            core = process.node.core
            if core is not None and self.core_sets.setdefault(core.version, core) != core:
                raise Violation(f"two core sets of version {core.version}")
            self._check_confirmation(process)
            if process.loop.failures:
                failure = process.loop.failures[0]
                raise Violation(f"{process.machine.name}: {failure}") from failure.get("exception")

    def acknowledge(self, name: str) -> None:
        """Record a change that was acknowledged to its requester."""
        if name not in self.required:
            self.required.add(name)
            self.acknowledged.append(name)
            self.acknowledged_ms.append(self.world.now_ms)

    def _check_confirmation(self, process: Process) -> None:
        """Check that the confirmed configuration contains every change acknowledged before its time."""
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
        """Check that a committed value and the longest history don't diverge; returns the value's history."""
        history = tuple((value or b"").decode().split())
        shorter, longer = sorted((history, self.longest_history), key=len)
        if longer[: len(shorter)] != shorter:
            raise Violation(f"divergent histories: {history} and {self.longest_history}")
        self.longest_history = longer
        return history

    def read(self, value: bytes | None, required: set[str]) -> None:
        """Check a value whose read began after all changes in `required` had been acknowledged."""
        missing = required - set(self.committed(value))
        if missing:
            raise Violation(f"a read lacks {missing}")

    def saw_value(self, process: Process, value: bytes) -> None:
        """Check that the values that a process learns never revert to an older one."""
        self.committed(value)
        lengths = [len(seen.split()) for seen in process.values]
        if lengths != sorted(lengths):
            raise Violation(f"{process.machine.name} reverted to an older value: {process.values}")


class World:
    """A simulation with machines, a network and a virtual clock."""

    def __init__(
        self, seed: int, replicas: int = 3, clients: int = 1, *, tolerance: int = 1, diskless: bool = False
    ) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.tolerance = tolerance
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_count = 0
        self.network = Network(self, random.Random(self.rng.getrandbits(64)))
        self.judge = Judge(self)
        self.machines = [Machine(number, number < replicas, diskless) for number in range(replicas + clients)]
        self.seeds = tuple(machine.address for machine in self.machines[:3])
        self.killed_processes: list[Process] = []
        self.operation_count = 0

    def steady_ms(self) -> int:
        """Return the time of the steady clock that all machines share."""
        return self.now_ms

    def processes(self) -> list[Process]:
        """Return all live processes."""
        return [machine.process for machine in self.machines if machine.process is not None]

    def process_at(self, address: str) -> Process | None:
        """Return the live process at this address, or None."""
        for machine in self.machines:
            if machine.address == address:
                return machine.process
        return None

    def is_powered(self, address: str) -> bool:
        """Return whether the machine at this address is powered on."""
        return any(machine.address == address and machine.up for machine in self.machines)

    # Time.

    def after(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action after `delay_ms`."""
        self._event_count += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._event_count, action))

    def run_for(self, duration_ms: int, until: Callable[[], bool] | None = None) -> bool:
        """Advance the simulation; returns True as soon as `until` holds, and False after `duration_ms`."""
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
        """Run everything that is due now, including what it schedules for the same time, then check."""
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
        """Power the machine on and start a process on it."""
        machine.up = True
        machine.process = Process(self, machine)
        machine.first_start = False
        return machine.process

    def start_all(self, spread_ms: int = 300) -> None:
        """Start all machines for the first time, at random times within `spread_ms`."""
        for machine in self.machines:
            self.after(self.rng.randint(0, spread_ms), partial(self.restart, machine))

    def kill(self, machine: Machine, restart_ms: int | None = RESTART_MS, power: bool = False) -> None:
        """Kill the process and start a new one after `restart_ms` (None: it stays down)."""
        process = machine.process
        if process is not None:
            process.alive = False
            process.loop.dead = True
            self.killed_processes.append(process)
            machine.process = None
            machine.platter.crash(self.rng)
        machine.up = not power
        if restart_ms is not None:
            self.after(restart_ms, partial(self.restart, machine))

    def restart(self, machine: Machine) -> None:
        """Start a process on the machine, unless one is running or the machine is removed."""
        if machine.process is None and machine.present:
            self.start(machine)

    def wipe(self, machine: Machine, restart_ms: int | None = RESTART_MS) -> None:
        """Kill the process and replace the disk by an empty one."""
        self.kill(machine, restart_ms, power=True)
        machine.platter = Platter()

    def freeze(self, machine: Machine, duration_ms: int) -> None:
        """Suspend the process for `duration_ms`."""
        if machine.process is not None:
            machine.process.frozen_until_ms = self.now_ms + duration_ms

    def change_seeds(self, machines: list[Machine]) -> None:
        """Change the seeds in the settings; live processes reload them as on SIGHUP, later ones read them."""
        self.seeds = tuple(machine.address for machine in machines)
        for process in self.processes():
            process.loop.call_soon(process.node.set_seeds, self.seeds)

    def cut(self, ones: list[Machine], others: list[Machine]) -> None:
        """Block all messages between the two groups of machines."""
        for one in ones:
            for other in others:
                self.network.weather.cuts |= {(one.address, other.address), (other.address, one.address)}

    def heal(self) -> None:
        """Remove all cuts, and stop losing, delaying and duplicating messages."""
        self.network.weather.cuts.clear()
        self.network.weather.lost = self.network.weather.late = self.network.weather.doubled = 0.0

    # Clients.

    def leader(self) -> Process | None:
        """Return the process with a confirmed lease, or None."""
        return next((process for process in self.processes() if process.confirmed()), None)

    def write(self) -> None:
        """Let the leader, if there is one, write a batch; the judge records it once acknowledged."""
        process = self.leader()
        if process is not None and process.runs() and process.leadership is not None:
            self.operation_count += 1
            self._start_client_task(process, self._write, process.leadership, b"%d" % self.operation_count)

    @staticmethod
    def _start_client_task(process: Process, work: Callable[..., Any], *arguments: Any) -> None:
        """Run a client task in the process; it has no effect if the process is killed first."""
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
        """Let the process append a new name to the register."""
        if process.runs():
            self.operation_count += 1
            self.append(process, f"c{self.operation_count}")

    def append(self, process: Process, name: str) -> None:
        """Let the process append this name to the register."""
        self._start_client_task(process, self._change, name)

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
        """Let the process read the register."""
        if process.runs():
            self._start_client_task(process, self._read)

    async def _read(self, process: Process) -> None:
        required = set(self.judge.required)
        try:
            value = await process.node.read()
        except NoQuorum:
            return
        if process.alive:
            self.judge.read(value, required)

    def settled(self) -> bool:
        """Return whether all replicas are active members of one core set, and a leader holds its lease."""
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

    def leader_views(self) -> list[LeaderView | None]:
        """Return the leader known to each process."""
        return [process.node.leader for process in self.processes()]
