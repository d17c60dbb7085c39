"""The crash explorer: random work on a simulated disk, a power cut before every call, and a plain model to
compare.

    python -m benchmarks.store_crash [--points 20000] [--seed 1]

A run plays batches, chores, ticks, clock jumps, full disks, failed syncs, kills and restarts. Before each
call that changes the disk, the disk is copied as a power cut may leave it, and the copy is recovered and
compared: what it holds must be the state after batch k for one k, at least the last batch that was promised
to be durable and at most the last that was handed in. Some copies are cut again while they recover, and
some are written to after it.

The model is a list of plain dictionaries, one for each batch. Every run is told by its seed.
"""

from __future__ import annotations

import argparse
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial

from flintfield.store.batch import (
    ALWAYS,
    NEVER,
    Batch,
    Committed,
    Durability,
    Outcome,
    Pending,
    Settings,
    within_ms,
)
from flintfield.store.engine import Engine
from flintfield.store.errors import Failed, SnapshotTooOld, StoreError
from flintfield.store.reading import Snapshot
from flintfield.store.simdisk import SimDisk

SMALL = Settings(
    segment_bytes=3_000,
    segment_entries=60,
    group_bytes=2_000,
    group_entries=20,
    most_entries=1_000,
    most_past=200,
    most_pinned=20_000,
    small_bytes=1_200,
    zero_ahead=700,
    garbage_share=0.3,
)
SPACES = ("jobs", "queue")
MOST_CHORES = 200
KEYS = 12  # of each keyspace: few, so that they are written over and deleted often
State = dict[tuple[str, bytes], tuple[bytes, int]]  # value, and when it expires (0: never)


class Wrong(AssertionError):
    """What was recovered is not what it must be."""


@dataclass
class SimClock:
    """A clock that a test sets."""

    wall_ms: int = 1_000_000
    monotonic_ms: int = 0

    def wall(self) -> int:
        """See `Clock`."""
        return self.wall_ms

    def monotonic(self) -> int:
        """See `Clock`."""
        return self.monotonic_ms

    def advance(self, ms: int) -> None:
        """Time passes."""
        self.wall_ms += ms
        self.monotonic_ms += ms


@dataclass
class Model:
    """The plainest store: the state after each batch."""

    states: list[State] = field(default_factory=lambda: [{}])
    durable: int = 0  # the last batch that a power cut may not take
    told: int = 0  # the last batch that was acknowledged

    def offer(self, batch: Batch, now: int) -> None:
        """A batch is handed in."""
        state = dict(self.states[-1])
        for operation in batch.operations:
            at = operation.name.decode(), operation.key
            if operation.kind == 1:
                state[at] = operation.value, now + operation.expires if operation.expires else 0
            else:
                state.pop(at, None)
        self.states.append(state)

    def tell(self, seq: int, wait: bool) -> None:
        """A batch is acknowledged."""
        if seq != self.told + 1 or seq >= len(self.states):
            raise Wrong(f"batch {seq} acknowledged, {self.told + 1} expected")
        self.told = seq
        if wait:
            self.durable = seq

    def live(self, seq: int, now: int) -> dict[tuple[str, bytes], bytes]:
        """What is there after batch `seq` at time `now`."""
        return {at: value for at, (value, expires) in self.states[seq].items() if not 0 < expires <= now}

    def cut_to(self, seq: int) -> None:
        """A recovery found the state after `seq`: it is durable from now on."""
        del self.states[seq + 1 :]
        self.durable = self.told = seq


def deliver(answers: list[tuple[Callable[[Outcome], None], Outcome]]) -> None:
    """Tell outcomes to whom they belong."""
    for done, outcome in answers:
        done(outcome)


def contents(engine: Engine) -> dict[tuple[str, bytes], bytes]:
    """All that a store holds."""
    reading = engine.reading
    return {(space, key): value for space in reading.spaces() for key, value in reading.scan(space)}


@dataclass
class Run:
    """One seeded run. `points` counts the crash points that were examined."""

    seed: int
    settings: Settings = SMALL
    points: int = 0
    rate: float = 0.5  # the share of calls before which the power is cut

    def __post_init__(self) -> None:
        self.chance = random.Random(self.seed)
        self.cuts = random.Random(self.seed + 1)
        self.clock = SimClock()
        self.model = Model()
        self.disk = SimDisk(random.Random(self.seed + 2))
        self.chore: Iterator[None] | None = None
        self.held: list[tuple[Snapshot, int, int]] = []  # with the batch and time that each sees
        self.trace: list[str] = []
        self.engine = self.start(self.disk)
        self.watch()

    # --- the crash points

    def watch(self) -> None:
        """Look at what a power cut would leave, before each call from now on."""
        self.disk.hook = self.look

    def look(self, disk: SimDisk) -> None:
        """A crash point."""
        if self.cuts.random() < self.rate:
            self.examine(disk.after_cut(self.cuts), 1)

    def examine(self, disk: SimDisk, depth: int) -> None:
        """Recover a disk and compare; cut it again while it recovers."""
        self.points += 1
        files = disk.files()
        if depth:

            def again(now: SimDisk) -> None:
                if self.cuts.random() < 0.2:
                    self.examine(now.after_cut(self.cuts), depth - 1)

            disk.hook = again
        try:
            engine = self.start(disk)
        except Exception as error:
            sizes = {name: len(data) for name, data in files.items()}
            raise Wrong(f"recovery: {type(error).__name__}: {error}; files {sizes}") from error
        disk.hook = None
        seq = engine.reading.seq
        durable, offered = self.model.durable, len(self.model.states) - 1
        if not durable <= seq <= offered:
            raise Wrong(f"batch {seq} recovered, {durable} to {offered} expected")
        self.compare(engine, seq)
        if self.cuts.random() < 0.1:
            self.go_on(engine, disk, seq)

    def compare(self, engine: Engine, seq: int) -> None:
        """The store must hold the state after `seq`."""
        expected = self.model.live(seq, engine.reading.clock.now())
        found = contents(engine)
        if found != expected:
            wrong = sorted(at for at in expected.keys() | found.keys() if expected.get(at) != found.get(at))
            at = wrong[0]
            raise Wrong(
                f"after batch {seq}: {len(wrong)} keys differ, the first {at}: "
                f"{found.get(at)!r} found, {expected.get(at)!r} expected"
            )
        for space in SPACES:
            keys = sorted(key for name, key in expected if name == space)
            if list(engine.reading.keys(space)) != keys:
                raise Wrong(f"after batch {seq}: keys of {space} differ")

    def go_on(self, engine: Engine, disk: SimDisk, seq: int) -> None:
        """A recovered store takes a batch, ends, and has it when it starts again."""
        before = contents(engine)
        told: list[Outcome] = []
        engine.commit([pending(Batch().put("jobs", b"after", b"x"), told)], deliver)
        if told != [Committed(seq + 1)]:
            raise Wrong(f"{told} answered after a recovery")
        for _ in range(MOST_CHORES):
            if (chore := engine.chore()) is None:
                break
            for _ in chore:
                pass
        else:
            raise Wrong("compaction comes to no end")
        engine.close()
        if contents(self.start(disk)) != {**before, ("jobs", b"after"): b"x"}:
            raise Wrong("what was written after a recovery is not there")

    # --- the work

    def start(self, disk: SimDisk) -> Engine:
        """Open a store."""
        disk.locked = False
        return Engine(disk, self.settings, self.clock, lambda: 7)

    def restart(self, disk: SimDisk) -> None:
        """Go on with this disk."""
        self.held.clear()
        self.chore = None
        self.disk.hook = None
        self.disk = disk
        self.engine = self.start(disk)
        seq = self.engine.reading.seq
        if not self.model.told <= seq < len(self.model.states):
            raise Wrong(f"batch {seq} there after a restart, {self.model.told} expected at least")
        self.compare(self.engine, seq)
        self.model.cut_to(seq)
        self.watch()

    def step(self) -> None:
        """One random piece of work."""
        work: Sequence[tuple[int, Callable[[], None]]] = (
            (40, self.commit),
            (25, self.work),
            (8, self.tick),
            (3, self.jump),
            (2, self.close),
            (2, self.kill),
            (2, self.cut),
            (2, self.fail_sync),
            (3, self.fill),
            (6, self.hold),
            (4, self.let_go),
            (3, self.check),
        )
        chosen = self.chance.choices([do for _, do in work], [weight for weight, _ in work])[0]
        self.trace.append(chosen.__name__)
        try:
            chosen()
        except (Wrong, StoreError, OSError) as error:
            raise Wrong(
                f"seed {self.seed}, step {len(self.trace)} {chosen.__name__}: {type(error).__name__}: {error}"
            ) from error

    def batch(self) -> Batch:
        """A few changes."""
        batch, chance = Batch(), self.chance
        for _ in range(chance.choice((1, 1, 2, 4))):
            space, key = chance.choice(SPACES), b"k%02d" % chance.randrange(KEYS)
            if chance.random() < 0.3:
                batch.delete(space, key)
            else:
                value = chance.randbytes(chance.choice((0, 5, 30, 30, 200, 700, 3_500)))
                batch.put(space, key, value, chance.choice((None, None, None, 50, 2_000)))
        return batch

    def commit(self) -> None:
        """One to three batches in one commit."""
        chance = self.chance
        now = self.engine.reading.clock.now()
        sizes = (1, 2, 3) if self.disk.plan.room is None else (3, 5, 8)
        left = [self.batch() for _ in range(chance.choice(sizes))]
        kinds = [chance.choice((ALWAYS, ALWAYS, NEVER, within_ms(100))) for _ in left]
        first = len(self.model.states)

        def told(batch: Batch, durability: Durability, outcome: Outcome) -> None:
            if isinstance(outcome, Committed):
                self.model.tell(outcome.seq, durability.wait)
            elif not isinstance(outcome, Failed):  # refused: those behind it move up
                left.remove(batch)
                del self.model.states[max(first, self.model.told + 1) :]
                for other in left[len(self.model.states) - first :]:
                    self.model.offer(other, now)

        offered = [
            Pending(batch.operations, batch.size, kind, partial(told, batch, kind))
            for batch, kind in zip(left, kinds, strict=True)
        ]
        for batch in left:
            self.model.offer(batch, now)
        self.engine.commit(offered, deliver)
        if self.engine.log.failed:
            self.restart(self.disk.after_kill(self.cuts))
        elif self.model.told != (last := len(self.model.states) - 1):
            raise Wrong(f"batch {self.model.told} was the last to be acknowledged, {last} expected")

    def work(self) -> None:
        """A few slices of a chore."""
        for _ in range(self.chance.randrange(1, 30)):
            if self.chore is None:
                self.chore = self.engine.chore()
            try:
                if self.chore is None:
                    return
                if next(self.chore, self) is self:
                    self.chore = None
            except OSError:  # the disk is full
                self.chore = None
            except StoreError:
                if not self.engine.log.failed:
                    raise
                self.restart(self.disk.after_kill(self.cuts))
                return
        if self.engine.compaction.figures.damage:
            raise Wrong(f"damage found: {self.engine.compaction.figures.damage}")

    def tick(self) -> None:
        """Time passes."""
        self.clock.advance(self.chance.choice((1, 40, 150, 1_500)))
        due = self.engine.due
        self.engine.tick(lambda answers: None)
        if due is not None and due <= self.clock.monotonic_ms and not self.engine.log.failed:
            self.model.durable = self.model.told

    def jump(self) -> None:
        """Wall time jumps."""
        self.clock.wall_ms += self.chance.choice((-5_000, -100, 100, 3_000))

    def close(self) -> None:
        """End in order, and start."""
        try:
            self.engine.close()
        except (OSError, StoreError):  # full, or a sync failed: what was acknowledged is there all the same
            pass
        else:
            self.model.durable = self.model.told
        self.restart(self.disk.after_kill(self.cuts))

    def kill(self) -> None:
        """A killed process loses no acknowledged batch."""
        self.restart(self.disk.after_kill(self.cuts))

    def cut(self) -> None:
        """A power cut, for good."""
        self.model.told = self.model.durable
        self.restart(self.disk.after_cut(self.cuts))

    def fail_sync(self) -> None:
        """One of the next syncs fails, once."""
        self.disk.plan.failed_syncs = frozenset((self.disk.syncs + self.chance.randrange(4),))

    def fill(self) -> None:
        """The disk runs full, or is no longer."""
        used = sum(map(len, self.disk.files().values()))
        room = used + self.chance.choice((0, 200, 500, 4_000))
        self.disk.plan.room = None if self.disk.plan.room else room
        self.disk.plan.short = self.chance.choice((0.0, 0.3))

    def hold(self) -> None:
        """Take a snapshot."""
        if len(self.held) < 4:
            snapshot = self.engine.reading.snapshot()
            self.held.append((snapshot, snapshot.seq, self.engine.reading.clock.now()))

    def let_go(self) -> None:
        """Compare a snapshot with its moment, and close it."""
        if not self.held:
            return
        snapshot, seq, now = self.held.pop(self.chance.randrange(len(self.held)))
        expected = self.model.live(seq, now)
        try:
            found = {(space, key): value for space in SPACES for key, value in snapshot.scan(space)}
        except SnapshotTooOld:
            found = expected
        if found != expected:
            wrong = [at for at in expected.keys() | found.keys() if expected.get(at) != found.get(at)]
            raise Wrong(f"a snapshot of batch {seq} differs at {wrong[:3]}")
        snapshot.close()

    def check(self) -> None:
        """Compare what readers see now."""
        self.compare(self.engine, self.model.told)


def pending(batch: Batch, told: list[Outcome]) -> Pending:
    """A batch that must be durable, and where its outcome goes."""
    return Pending(batch.operations, batch.size, ALWAYS, told.append)


def refused_stays_refused(seed: int) -> int:
    """A disk that runs full within a group of batches, and a power cut. Raises `Wrong`.

    By chance alone the first batches of the group are seldom whole on disk when the group is refused.
    """
    chance = random.Random(seed)
    disk, clock, told = SimDisk(chance), SimClock(), list[Outcome]()
    engine = Engine(disk, SMALL, clock, lambda: 7)
    engine.commit([pending(Batch().put("jobs", b"first", b"1"), told)], deliver)
    disk.plan.room = sum(map(len, disk.files().values())) + chance.randrange(100, 600)
    values = [chance.randbytes(chance.choice((10, 100, 200))) for _ in range(8)]
    batches = [Batch().put("jobs", b"k%d" % row, value) for row, value in enumerate(values)]
    engine.commit([pending(batch, told) for batch in batches], deliver)
    disk.plan.room = None
    if chance.random() < 0.5:
        engine.commit([pending(Batch().put("jobs", b"last", values[0]), told)], deliver)
    expected = sum(isinstance(outcome, Committed) for outcome in told)
    for _ in range(10):
        seq = Engine(disk.after_cut(chance), SMALL, clock, lambda: 7).reading.seq
        if seq != expected:
            raise Wrong(f"seed {seed}: {seq} batches there, {expected} were not refused")
    return 10


def explore(seed: int, steps: int, rate: float = 0.5) -> int:
    """One run; how many crash points were examined. Raises `Wrong`."""
    points = sum(refused_stays_refused(seed * 10 + part) for part in range(10))
    run = Run(seed, rate=rate)
    for _ in range(steps):
        run.step()
    return points + run.points


def main() -> int:
    """Examine crash points until there are enough."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--points", type=int, default=20_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=300)
    given = parser.parse_args()
    points, seed = 0, given.seed
    while points < given.points:
        points += explore(seed, given.steps)
        seed += 1
    print(f"{points} crash points in {seed - given.seed} runs from seed {given.seed}: all recovered right")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
