"""Long histories: how a replica that was down catches up, and how large the state of a replica becomes.

    python -m tests.system.coordination_history

The register holds a number that only rises and padding of a fixed size, as a configuration does. Changes of
the register alternate with batches of the ordered store. A replica has caught up when it is active in the
newest core set, has reached the leader's position and has accepted the newest value. Times are virtual ms.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from flintfield.coordination.model import NoQuorum

from .coordination_world import Judge, Machine, Process, Violation, World

PADDING = b" " + b"x" * 2_000  # the size of a packed configuration of about 40 routes
ITEM_COUNT = 400  # number of keys in the ordered store, which are written in turn
ITEM_BYTES = 200
CHANGE_INTERVAL_MS = 30  # between two changes
CATCH_UP_MS = 10_000
MISSED_CHANGES = (10, 100, 1_000, 10_000)


class CounterJudge(Judge):
    """The judge for a register whose number rises with each change."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self.newest = 0  # newest acknowledged number

    def committed(self, value: bytes | None) -> tuple[str, ...]:
        """Return the number in a committed value."""
        return (str(parse_number(value)),)

    def read(self, value: bytes | None, required: set[str]) -> None:
        """Check that a read returned no number below one acknowledged before it began."""
        min_number = max((int(name) for name in required), default=0)
        if parse_number(value) < min_number:
            raise Violation(f"a read returned {parse_number(value)} after {min_number} was acknowledged")

    def saw_value(self, process: Process, value: bytes) -> None:
        """Check that the numbers seen by a process never fall."""
        process.values[:] = process.values[-2:]
        numbers = [parse_number(seen) for seen in process.values]
        if numbers != sorted(numbers):
            raise Violation(f"{process.machine.name} saw a falling number: {numbers}")

    def _check_confirmation(self, process: Process) -> None:
        known = process.node.known()
        if known is None:
            return
        value, as_of_ms = known
        acknowledged = [
            int(name)
            for name, ms in zip(self.acknowledged[-50:], self.acknowledged_ms[-50:], strict=True)
            if ms < as_of_ms
        ]
        if acknowledged and parse_number(value) < acknowledged[-1]:
            raise Violation(
                f"{process.machine.name} confirmed {parse_number(value)} instead of {acknowledged[-1]}"
            )


def parse_number(value: bytes | None) -> int:
    """Return the number in a value of the register."""
    return int(value.split()[0]) if value else 0


class History:
    """A simulated cluster in which many changes are made."""

    def __init__(
        self, seed: int, replicas: int = 3, clients: int = 1, losses: int = 1, padding: bytes = PADDING
    ) -> None:
        self.padding = padding
        self.world = World(seed, replicas, clients, tolerance=losses)
        self.judge = CounterJudge(self.world)
        self.world.judge = self.judge
        self.world.start_all()
        assert self.world.run_for(6_000, self.world.settled)
        self._writes = 0
        self.acknowledged = 0
        self.unknown_outcomes = 0

    def make_changes(self, count: int) -> None:
        """Make `count` changes of the register, each at a random process, and as many batches."""
        for _ in range(count):
            self.start_change()
            self.start_write()
            self.world.run_for(CHANGE_INTERVAL_MS)

    def start_change(self) -> None:
        """Start one change at a random running process."""
        processes = [process for process in self.world.processes() if process.runs()]
        if processes:
            self.start_change_at(self.world.rng.choice(processes))

    def start_change_at(self, process: Process) -> None:
        """Start one change at this process."""
        process.loop.create_task(self._change(process))

    async def _change(self, process: Process) -> None:
        required = set(self.judge.acknowledged[-1:])
        new_number = 0

        def decide(value: bytes | None) -> bytes:
            nonlocal new_number
            new_number = parse_number(value) + 1
            return b"%d" % new_number + self.padding

        try:
            value = await process.node.change(decide)
        except NoQuorum:
            self.unknown_outcomes += 1
            return
        if process.alive:
            self.judge.read(value, required)
            self.judge.acknowledge(str(parse_number(value)))
            self.acknowledged += 1

    def start_write(self) -> None:
        """Start writing one batch of the ordered store."""
        leader = self.world.leader()
        if leader is None or not leader.runs() or leader.leadership is None:
            return
        self._writes += 1
        leadership = leader.leadership
        key = b"item/%d" % (self._writes % ITEM_COUNT)
        value = (b"%d " % self._writes).ljust(ITEM_BYTES)
        leader.loop.create_task(leadership.write([(key, value)]))

    # Inspection of one replica.

    def follower(self) -> Machine:
        """Return the machine of a replica that is not the leader."""
        leader = self.world.leader()
        assert leader is not None
        return next(
            machine
            for machine in self.world.machines
            if machine.counts and machine is not leader.machine and machine.process is not None
        )

    def is_caught_up(self, machine: Machine) -> bool:
        """Return whether the machine's replica has everything that was committed."""
        leader = self.world.leader()
        if machine.process is None or leader is None or leader.leadership is None:
            return False
        host = machine.process.node._host
        replica = host.replica if host is not None else None
        if replica is None or replica.serving is None:
            return False
        state = leader.leadership.leader
        progress = state.followers.get(replica.identity)
        if progress is None or progress.acked < state.committed:
            return False
        if state.core.version != replica.serving.version:
            return False
        known = leader.node.known()
        return known is not None and known[0] == replica.configuration.value

    def state_bytes(self, machine: Machine) -> int:
        """Return the size of everything that a replica stores."""
        process = machine.process
        assert process is not None and process.node._host is not None
        items = process.node._host._store.items
        return sum(len(key) + len(value) for key, value in items.items())


@dataclass(frozen=True, slots=True)
class CatchUpResult:
    """The cost of catching up after the given number of missed changes."""

    missed: int
    time_ms: int
    bytes_moved: int
    state_bytes: int


def measure_catch_up(missed: int, seed: int = 1) -> CatchUpResult:
    """Stop a follower, make `missed` changes, start it again and measure how it catches up."""
    history = History(seed)
    world = history.world
    history.make_changes(ITEM_COUNT)  # all items exist now
    machine = history.follower()
    world.kill(machine, None)
    history.make_changes(missed)
    world.run_for(1_000)
    bytes_before, start_ms = world.network.bytes_to[machine.address], world.now_ms
    world.start(machine)
    if not world.run_for(CATCH_UP_MS, partial(history.is_caught_up, machine)):
        raise Violation(f"the replica did not catch up after {missed} missed changes")
    moved = world.network.bytes_to[machine.address] - bytes_before
    return CatchUpResult(missed, world.now_ms - start_ms, moved, history.state_bytes(machine))


def main() -> None:
    """Print one line for each number of missed changes."""
    for missed in MISSED_CHANGES:
        print(measure_catch_up(missed), flush=True)


if __name__ == "__main__":
    main()
