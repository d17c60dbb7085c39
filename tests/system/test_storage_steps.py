"""What the tests of the store share: a store that is driven by steps, a model of its history."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import count

from flintfield.coordination.storage.opening import open_store
from flintfield.coordination.storage.store import RingStore, Tools
from flintfield.coordination.storage.sync_thread import Done, Job
from .test_storage_disk import SimulatedDisk

SMALL_LIMIT = 16 << 10  # bytes: a ring of files of 256 bytes
FOLDER = "folder"


class SteppedRunner:
    """Holds the job until the test runs it."""

    def __init__(self) -> None:
        self._waiting: tuple[Job, Done] | None = None
        self.stopped = False

    @property
    def busy(self) -> bool:
        """Whether a job waits."""
        return self._waiting is not None

    def submit(self, job: Job, done: Done) -> None:
        """Hold the job."""
        assert self._waiting is None, "two jobs at once"
        self._waiting = (job, done)

    def stop(self) -> None:
        """Nothing to stop."""
        self.stopped = True

    def run(self) -> Done:
        """Run the job, and return the call that tells the store; errors are told by it."""
        assert self._waiting is not None
        job, done = self._waiting
        error: Exception | None = None
        try:
            job()
        except AssertionError:
            raise  # the test's own, from within the simulated disk
        except Exception as raised:
            error = raised
        self._waiting = None
        return lambda _error: done(error)

    def step(self) -> None:
        """Run the job and tell the store."""
        self.run()(None)


@dataclass
class Stepped:
    """An open store and what the test drives it by."""

    disk: SimulatedDisk
    runner: SteppedRunner = field(default_factory=SteppedRunner)
    timers: list[Callable[[], None]] = field(default_factory=list)
    pauses: list[float] = field(default_factory=list)
    now_s: float = 0.0
    limit_bytes: int = SMALL_LIMIT
    lives: Iterator[int] = field(default_factory=lambda: count(1))

    def open(self) -> RingStore:
        """Open the store on that disk."""
        tools = Tools(self.runner, self._call_later, lambda: self.now_s, random.Random(0))
        return open_store(FOLDER, self.limit_bytes, self.disk, tools=tools, draw=lambda: next(self.lives))

    def _call_later(self, pause_s: float, action: Callable[[], None]) -> object:
        self.pauses.append(pause_s)
        self.timers.append(action)
        return None

    def fire(self) -> None:
        """Let the pause end."""
        self.timers.pop(0)()

    async def settle(self) -> None:
        """Run jobs until the store has nothing more to do; timers are left alone."""
        await asyncio.sleep(0)
        while self.runner.busy:
            self.runner.step()
            await asyncio.sleep(0)


class History:
    """Every state that the store has had, and the oldest that may still come back.

    Entry 0 is "there is no store", which an open reports as fresh.
    """

    def __init__(self) -> None:
        self.states: list[dict[bytes, bytes] | None] = [None]
        self.oldest = 0

    def add(self, state: dict[bytes, bytes]) -> int:
        """A new state; returns its place."""
        self.states.append(state)
        return len(self.states) - 1

    def durable(self, place: int) -> None:
        """Nothing older than that may come back."""
        self.oldest = max(self.oldest, place)

    def allows(self, items: dict[bytes, bytes] | None) -> bool:
        """Whether recovery may find this."""
        return items in self.states[self.oldest :]

    def recovered(self, items: dict[bytes, bytes] | None) -> int:
        """Recovery found this: what came after it is gone; returns its place."""
        place = max(at for at in range(self.oldest, len(self.states)) if self.states[at] == items)
        del self.states[place + 1 :]
        return place


class HistoryTest(unittest.TestCase):
    """The model itself."""

    def test_only_states_since_the_durable_one_may_come_back(self) -> None:
        history = History()
        first = history.add({b"a": b"1"})
        history.add({b"a": b"2"})
        self.assertTrue(history.allows(None))
        history.durable(first)
        self.assertFalse(history.allows(None))
        self.assertTrue(history.allows({b"a": b"1"}))
        self.assertFalse(history.allows({}))
        self.assertEqual(history.recovered({b"a": b"1"}), first)
        self.assertFalse(history.allows({b"a": b"2"}))
