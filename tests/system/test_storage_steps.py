"""Shared test helpers: a harness that runs the jobs of a store step by step, and a model of its history."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import count

from flintfield.coordination.storage.opening import open_store
from flintfield.coordination.storage.store import RingStore, StoreDependencies
from flintfield.coordination.storage.sync_thread import DoneCallback, Job
from .test_storage_disk import SimulatedDisk

SMALL_LIMIT = 16 << 10  # bytes: a ring of files of 256 bytes
FOLDER = "folder"


class SteppedRunner:
    """A `Runner` that holds a submitted job until the test runs it."""

    def __init__(self) -> None:
        self._waiting_job: tuple[Job, DoneCallback] | None = None
        self.stopped = False

    @property
    def busy(self) -> bool:
        """Whether a job is waiting to be run."""
        return self._waiting_job is not None

    def submit(self, job: Job, done: DoneCallback) -> None:
        """Store the job until `run` or `step` is called."""
        assert self._waiting_job is None, "a job was submitted while another is waiting"
        self._waiting_job = (job, done)

    def stop(self) -> None:
        """Record the call."""
        self.stopped = True

    def run(self) -> DoneCallback:
        """Run the job; returns a callback that reports the result or the error to the store."""
        assert self._waiting_job is not None
        job, done = self._waiting_job
        error: Exception | None = None
        try:
            job()
        except AssertionError:
            raise  # a failed check of the simulated disk
        except Exception as raised:
            error = raised
        self._waiting_job = None
        return lambda _error: done(error)

    def step(self) -> None:
        """Run the job and report its result to the store."""
        self.run()(None)


@dataclass
class StoreHarness:
    """A store on a simulated disk, with a runner, timers and a clock that the test controls."""

    disk: SimulatedDisk
    runner: SteppedRunner = field(default_factory=SteppedRunner)
    timers: list[Callable[[], None]] = field(default_factory=list)
    pauses: list[float] = field(default_factory=list)
    now_s: float = 0.0
    limit_bytes: int = SMALL_LIMIT
    life_numbers: Iterator[int] = field(default_factory=lambda: count(1))

    def open(self) -> RingStore:
        """Open the store on the simulated disk."""
        dependencies = StoreDependencies(self.runner, self._call_later, lambda: self.now_s, random.Random(0))
        return open_store(
            FOLDER,
            self.limit_bytes,
            self.disk,
            dependencies=dependencies,
            draw=lambda: next(self.life_numbers),
        )

    def _call_later(self, pause_s: float, callback: Callable[[], None]) -> object:
        self.pauses.append(pause_s)
        self.timers.append(callback)
        return None

    def fire_timer(self) -> None:
        """Run the callback of the oldest timer."""
        self.timers.pop(0)()

    async def run_until_idle(self) -> None:
        """Run jobs until none is waiting; timers aren't run."""
        await asyncio.sleep(0)
        while self.runner.busy:
            self.runner.step()
            await asyncio.sleep(0)


class History:
    """All states of the store, and the index of the oldest one that recovery may return.

    Entry 0 stands for a store that doesn't exist, which an open reports as fresh.
    """

    def __init__(self) -> None:
        self.states: list[dict[bytes, bytes] | None] = [None]
        self.oldest_allowed = 0

    def add(self, state: dict[bytes, bytes]) -> int:
        """Add a state; returns its index."""
        self.states.append(state)
        return len(self.states) - 1

    def mark_durable(self, position: int) -> None:
        """Mark a state as durable: recovery must not return an older one."""
        self.oldest_allowed = max(self.oldest_allowed, position)

    def allows(self, items: dict[bytes, bytes] | None) -> bool:
        """Whether recovery may return `items`."""
        return items in self.states[self.oldest_allowed :]

    def truncate_to(self, items: dict[bytes, bytes] | None) -> int:
        """Remove the states after the recovered one; returns its index."""
        position = max(
            index for index in range(self.oldest_allowed, len(self.states)) if self.states[index] == items
        )
        del self.states[position + 1 :]
        return position


class HistoryTest(unittest.TestCase):
    """Tests of the model of the history."""

    def test_only_states_since_the_durable_one_may_be_recovered(self) -> None:
        history = History()
        first = history.add({b"a": b"1"})
        history.add({b"a": b"2"})
        self.assertTrue(history.allows(None))
        history.mark_durable(first)
        self.assertFalse(history.allows(None))
        self.assertTrue(history.allows({b"a": b"1"}))
        self.assertFalse(history.allows({}))
        self.assertEqual(history.truncate_to({b"a": b"1"}), first)
        self.assertFalse(history.allows({b"a": b"2"}))
