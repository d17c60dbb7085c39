"""Long histories: how a replica that was away catches up, and how large a replica's state becomes.

    python -m tests.system.coordination_history

The register holds a number that only rises, beside text of a fixed size, as a configuration does; a change
and a batch of the ordered store are made in turn. A replica has caught up when it is active in the newest
set, stands at the leader's position and has accepted the newest value. Times are virtual ms.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from flintfield.coordination.model import NoQuorum

from .coordination_world import Judge, Machine, Process, Violation, World

TEXT = b" " + b"x" * 2_000  # as large as a packed configuration of some 40 routes
ITEMS = 400  # keys of the ordered store, written in turn
ITEM_BYTES = 200
CHANGE_MS = 30  # between two changes
CATCH_UP_MS = 10_000
MISSED = (10, 100, 1_000, 10_000)


class NumberJudge(Judge):
    """The judge where the register holds a number that rises with each change."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self.newest = 0  # acknowledged

    def committed(self, value: bytes | None) -> tuple[str, ...]:
        """A committed value: the number in it."""
        return (str(number_in(value)),)

    def read(self, value: bytes | None, required: set[str]) -> None:
        """A read has at least what was acknowledged before it began."""
        least = max((int(name) for name in required), default=0)
        if number_in(value) < least:
            raise Violation(f"a read told {number_in(value)} after {least} had been acknowledged")

    def saw_value(self, process: Process, value: bytes) -> None:
        """A process never goes back."""
        process.values[:] = process.values[-2:]
        numbers = [number_in(seen) for seen in process.values]
        if numbers != sorted(numbers):
            raise Violation(f"{process.machine.name} went back: {numbers}")

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
        if acknowledged and number_in(value) < acknowledged[-1]:
            raise Violation(f"{process.machine.name} confirms {number_in(value)}, not {acknowledged[-1]}")


def number_in(value: bytes | None) -> int:
    """The number in a value of the register."""
    return int(value.split()[0]) if value else 0


class History:
    """A world with many changes."""

    def __init__(self, seed: int, replicas: int = 3, clients: int = 1, losses: int = 1) -> None:
        self.world = World(seed, replicas, clients, tolerance=losses)
        self.judge = NumberJudge(self.world)
        self.world.judge = self.judge
        self.world.start_all()
        assert self.world.run_for(6_000, self.world.settled)
        self._writes = 0
        self.acknowledged = 0
        self.doubted = 0

    def changes(self, count: int) -> None:
        """So many changes of the register, each at another process, and as many batches."""
        for _ in range(count):
            self.change()
            self.write()
            self.world.run_for(CHANGE_MS)

    def change(self) -> None:
        """One change at any process that runs."""
        processes = [process for process in self.world.processes() if process.runs()]
        if processes:
            process = self.world.rng.choice(processes)
            process.loop.create_task(self._change(process))

    async def _change(self, process: Process) -> None:
        required = set(self.judge.acknowledged[-1:])
        mine = 0

        def decide(value: bytes | None) -> bytes:
            nonlocal mine
            mine = number_in(value) + 1
            return b"%d" % mine + TEXT

        try:
            value = await process.node.change(decide)
        except NoQuorum:
            self.doubted += 1
            return
        if process.alive:
            self.judge.read(value, required)
            self.judge.acknowledge(str(number_in(value)))
            self.acknowledged += 1

    def write(self) -> None:
        """One batch of the ordered store."""
        leader = self.world.leader()
        if leader is None or not leader.runs() or leader.leadership is None:
            return
        self._writes += 1
        leadership = leader.leadership
        key = b"item/%d" % (self._writes % ITEMS)
        value = (b"%d " % self._writes).ljust(ITEM_BYTES)
        leader.loop.create_task(leadership.write([(key, value)]))

    # One replica.

    def follower(self) -> Machine:
        """A replica's machine that doesn't lead."""
        leader = self.world.leader()
        assert leader is not None
        return next(
            machine
            for machine in self.world.machines
            if machine.counts and machine is not leader.machine and machine.process is not None
        )

    def caught_up(self, machine: Machine) -> bool:
        """Whether its replica has all that was committed."""
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
        """The size of all that a replica keeps."""
        process = machine.process
        assert process is not None and process.node._host is not None
        items = process.node._host._store.items
        return sum(len(key) + len(value) for key, value in items.items())


@dataclass(frozen=True, slots=True)
class CatchUp:
    """What it took to catch up after so many changes."""

    missed: int
    time_ms: int
    bytes_moved: int
    state_bytes: int


def catch_up(missed: int, seed: int = 1) -> CatchUp:
    """A follower is down for so many changes, then starts again."""
    history = History(seed)
    world = history.world
    history.changes(ITEMS)  # all items are there
    machine = history.follower()
    world.kill(machine, None)
    history.changes(missed)
    world.run_for(1_000)
    before, start_ms = world.network.bytes_to[machine.address], world.now_ms
    world.start(machine)
    if not world.run_for(CATCH_UP_MS, partial(history.caught_up, machine)):
        raise Violation(f"not caught up after {missed} changes")
    moved = world.network.bytes_to[machine.address] - before
    return CatchUp(missed, world.now_ms - start_ms, moved, history.state_bytes(machine))


def main() -> None:
    """Print a line for each number of changes."""
    for missed in MISSED:
        print(catch_up(missed), flush=True)


if __name__ == "__main__":
    main()
