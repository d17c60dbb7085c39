"""The store against a plain dictionary, by hypothesis: any order of work, a crash at any call, and recovery.

`benchmarks/store_crash.py` plays many more steps by chance; what fails here is made small.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from benchmarks.store_crash import SMALL, SimClock, contents, deliver, pending
from flintfield.store import ALWAYS, NEVER, Batch, Committed, Outcome
from flintfield.store.engine import Engine
from flintfield.store.reading import Snapshot
from flintfield.store.simdisk import PowerCut, SimDisk
from support.store_work import Contents, disk_of, engine_on

KEYS = st.sampled_from([b"a", b"b", b"c", b"d"])
TINY = replace(SMALL, segment_bytes=500, small_bytes=200)  # so that a few batches make a segment
CHANGES = st.lists(st.tuples(KEYS, st.sampled_from([None, 0, 5, 90, 400])), min_size=1, max_size=3)


class StoreMachine(RuleBasedStateMachine):
    """`states[n]` is what the store holds after batch n; a crash may cut back to `durable`, never further."""

    engine: Engine
    chore: Iterator[None] | None

    @initialize(seed=st.integers(0, 1_000))
    def begin(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.clock = SimClock()
        self.states: list[Contents] = [{}]
        self.durable = 0
        self.views: list[tuple[Snapshot, Contents]] = []
        self.start(SimDisk(self.chance))

    @rule(changes=CHANGES, wait=st.booleans())
    def commit(self, changes: list[tuple[bytes, int | None]], wait: bool) -> None:
        """A batch is there after its acknowledgement."""
        batch, state = Batch(), dict(self.states[-1])
        for key, size in changes:
            if size is None:
                batch.delete("jobs", key)
                state.pop(("jobs", key), None)
            else:
                value = self.chance.randbytes(size)
                batch.put("jobs", key, value)
                state["jobs", key] = value
        self.states.append(state)
        told: list[Outcome] = []
        offered = pending(batch, told)
        offered.durability = ALWAYS if wait else NEVER
        try:
            self.engine.commit([offered], deliver)
        except PowerCut:
            self.recover()
            return
        assert told == [Committed(len(self.states) - 1)]
        if wait:
            self.durable = len(self.states) - 1

    @rule(slices=st.integers(1, 60))
    def work(self, slices: int) -> None:
        """Chores change nothing that readers see."""
        try:
            for _ in range(slices):
                self.chore = self.chore or self.engine.chore(0.2)
                if self.chore is None:
                    return
                if next(self.chore, self) is self:
                    self.chore = None
        except PowerCut:
            self.recover()

    @rule(calls=st.integers(0, 25))
    def arm(self, calls: int) -> None:
        """The power will be cut at one of the next calls."""
        disk = disk_of(self.engine)
        disk.plan.cut = disk.calls + calls

    @rule()
    def restart(self) -> None:
        """End in order, if the power lasts."""
        try:
            self.engine.close()
        except PowerCut:
            self.recover()
        else:
            self.durable = len(self.states) - 1
            self.start(disk_of(self.engine).after_kill(self.chance))

    @precondition(lambda self: len(self.views) < 3)
    @rule()
    def hold(self) -> None:
        """Take a snapshot."""
        self.views.append((self.engine.reading.snapshot(), self.states[-1]))

    @precondition(lambda self: self.views)
    @rule()
    def let_go(self) -> None:
        """A snapshot still shows its moment."""
        view, expected = self.views.pop(0)
        assert {("jobs", key): value for key, value in view.scan("jobs")} == expected
        view.close()

    def recover(self) -> None:
        """What a power cut leaves holds the state after one batch, and none that was promised is lost."""
        self.start(disk_of(self.engine).after_cut(self.chance))
        seq = self.engine.reading.seq
        assert self.durable <= seq < len(self.states)
        del self.states[seq + 1:]
        self.durable = seq

    def start(self, disk: SimDisk) -> None:
        """Open, and forget what was open."""
        self.views.clear()
        self.chore = None
        self.engine = engine_on(disk, TINY, self.clock)

    @invariant()
    def holds_the_last_state(self) -> None:
        """Readers see all that was acknowledged."""
        if hasattr(self, "engine"):
            assert contents(self.engine) == self.states[-1]


TestStoreMachine = StoreMachine.TestCase
TestStoreMachine.settings = settings(derandomize=True, deadline=None, max_examples=80, stateful_step_count=40)
