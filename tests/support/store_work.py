"""Small stores for tests: on a simulated disk, with a clock that the test sets."""

from __future__ import annotations

import random
from collections.abc import Mapping

from benchmarks.store_crash import SMALL, SimClock, contents, deliver, pending
from flintfield.store import Batch, Committed, Outcome, Settings
from flintfield.store.commit import End
from flintfield.store.engine import Engine
from flintfield.store.simdisk import SimDisk

Contents = dict[tuple[str, bytes], bytes]


def engine_on(there: SimDisk | Mapping[str, bytes] | None = None, settings: Settings = SMALL,
              clock: SimClock | None = None) -> Engine:
    """An engine on this disk, or on one with these files."""
    disk = there if isinstance(there, SimDisk) else SimDisk(random.Random(0), there)
    disk.locked = False
    return Engine(disk, settings, clock or SimClock(), lambda: 7)


def disk_of(engine: Engine) -> SimDisk:
    """The engine's disk."""
    assert isinstance(engine.folder, SimDisk)
    return engine.folder


def files_of(engine: Engine) -> dict[str, bytes]:
    """The store's files as readers see them."""
    return disk_of(engine).files()


def put(engine: Engine, *batches: Batch) -> list[Outcome]:
    """Commit durable batches in one group."""
    told: list[Outcome] = []
    engine.commit([pending(batch, told) for batch in batches], deliver)
    return told


def work_off(engine: Engine, share: float = 0.0) -> None:
    """All chores."""
    while (chore := engine.chore(share)) is not None:
        for _ in chore:
            pass


def seal(engine: Engine) -> None:
    """End the active segment."""
    engine._run(End(), deliver)
    put(engine, Batch().put("other", b"after", b""))


def recorded(seed: int, batches: int) -> tuple[dict[str, bytes], list[Contents]]:
    """The files of a store that was killed after so many batches, with its contents after each."""
    chance = random.Random(seed)
    engine = engine_on()
    states: list[Contents] = [{}]
    for number in range(batches):
        batch = Batch()
        for _ in range(chance.choice((1, 2, 3))):
            key = b"k%d" % chance.randrange(9)
            if chance.random() < 0.25:
                batch.delete("jobs", key)
            else:
                batch.put("jobs", key, chance.randbytes(chance.choice((0, 10, 60, 200))))
        assert put(engine, batch) == [Committed(number + 1)]
        states.append(contents(engine))
        if number % 10 == 9:
            work_off(engine, 0.2)
    return files_of(engine), states
