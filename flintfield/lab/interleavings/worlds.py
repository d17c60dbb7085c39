"""Small worlds for the checker: a state made anew for each run, two or three workers, and what has to hold.

A world is played by `frontrun` (dynamic partial-order reduction, Flanagan and Godefroid 2005), which runs
one thread at a time and tries each order of conflicting accesses, with at most so many preemptions. A worker
is a plain function of the state. `FAULTS` are planted: each is a world with a line taken back, which has to
be found.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from flintfield.base.background import Background
from flintfield.store.batch import ALWAYS, Batch, Committed, Pending, Settings
from flintfield.store.clock import StoreClock
from flintfield.store.engine import Engine
from flintfield.store.simdisk import SimDisk

Worker = Callable[[Any], None]


@dataclass(frozen=True, slots=True)
class World:
    """What is played."""

    setup: Callable[[], Any]
    workers: Sequence[Worker]
    holds: Callable[[Any], bool]
    about: str
    drawn: bool = False  # orders are drawn in place of all of them in turn


class Nothing:
    """In the place of a lock: guards nothing."""

    def __enter__(self) -> None:
        """Nothing is held."""

    def __exit__(self, *_: object) -> None:
        """Nothing is let go."""

    def acquire(self, *_: object, **__: object) -> bool:
        """As if it were free."""
        return True

    def release(self) -> None:
        """Nothing was held."""


# ------------------------------------------------------------------ the store's clock


class Times:
    """Wall time that jumps to and fro, and a monotonic clock."""

    def __init__(self) -> None:
        self.walls, self.ticks = iter((100, 40, 170, 60, 50, 55)), 0

    def wall(self) -> int:
        """Jumps."""
        return next(self.walls, 0)

    def monotonic(self) -> int:
        """Goes on."""
        self.ticks += 1
        return self.ticks


class ClockState:
    """Who has read what."""

    def __init__(self) -> None:
        self.clock = StoreClock(Times(), 90)
        self.read: dict[int, list[int]] = {0: [], 1: []}

    def look(self, who: int) -> None:
        """Two readings."""
        for _ in range(2):
            self.read[who].append(self.clock.now())

    def holds(self) -> bool:
        """No reading goes back, and the clock is not behind any."""
        return all(one <= other for one, other in self.read.values()) and self.clock._time >= max(
            max(r) for r in self.read.values())


# ------------------------------------------------------------------ work for a thread


class Enough(Exception):
    """The thread has done what it was to do."""


class HandOver:
    """A background thread's loop, run by a worker, and one who gives it work and waits for it."""

    pieces = 2

    def __init__(self) -> None:
        self.done: list[int] = []
        self.behind: list[tuple[int, int]] = []  # at each return of `flush`: what was given, what was done
        self.background: Background[int] = Background("checked", self._take)
        self.background._thread = self  # type: ignore[assignment]  # so that it starts none of its own

    def _take(self, item: int) -> None:
        self.done.append(item)
        if len(self.done) == self.pieces:
            raise Enough

    def work(self) -> None:
        """The loop of the thread."""
        with contextlib.suppress(Enough):
            self.background._run()
        with self.background._changed:
            self.background._busy = False
            self.background._changed.notify_all()

    def give(self) -> None:
        """Give and wait, each time."""
        for item in range(self.pieces):
            self.background.put(item)
            self.background.flush(5.0)
            self.behind.append((item + 1, len(self.done)))

    def holds(self) -> bool:
        """In order, all before `flush` returned, and nothing is held at the end."""
        return (self.done == list(range(self.pieces)) and all(given <= done for given, done in self.behind)
                and self.background.held == 0)


class TwoGive(HandOver):
    """Two give work at the same time, unordered."""

    def one(self) -> None:
        """Gives one piece."""
        self.background.put(1)

    def holds(self) -> bool:
        """Both are done, and nothing is held."""
        return sorted(self.done) == [1, 1] and self.background.held == 0


# ------------------------------------------------------------------ the store


class StoreState:
    """An engine on a simulated disk, and what its users saw."""

    def __init__(self) -> None:
        self.disk = SimDisk(random.Random(0))
        self.engine = Engine(self.disk, Settings(compaction=False), Times(), lambda: 7)
        self.outcomes: list[object] = []
        self.seen: list[bytes | None] = []

    def put(self, key: bytes) -> None:
        """Commit one entry."""
        batch = Batch()
        batch.put("k", key, b"v" + key)
        pending = Pending(batch.operations, batch.size, ALWAYS, self.outcomes.append)
        self.engine.commit([pending], lambda answers: self.outcomes.extend(o for _, o in answers))

    def read(self) -> None:
        """Look twice at one key."""
        for _ in range(2):
            self.seen.append(self.engine.reading.get("k", b"a"))

    def both_there(self) -> bool:
        """Two commits were numbered apart, and both can be read."""
        seqs = [o.seq for o in self.outcomes if isinstance(o, Committed)]
        return len(set(seqs)) == 2 and all(
            self.engine.reading.get("k", key) == b"v" + key for key in (b"a", b"b"))

    def never_back(self) -> bool:
        """What was seen stays, whole."""
        return self.seen in ([None, None], [None, b"va"], [b"va", b"va"])


WORLDS: dict[str, World] = {
    "clock": World(ClockState, (lambda s: s.look(0), lambda s: s.look(1)), ClockState.holds,
                   "two threads read the store's clock while wall time jumps"),
    "hand-over": World(HandOver, (HandOver.work, HandOver.give), HandOver.holds,
                       "work given to a thread, in order, and waited for"),
    "two-give": World(TwoGive, (HandOver.work, TwoGive.one, TwoGive.one), TwoGive.holds,
                      "two threads give work to a third"),
    "two-commits": World(StoreState, (lambda s: s.put(b"a"), lambda s: s.put(b"b")), StoreState.both_there,
                         "two threads commit to the store"),
    "commit-read": World(StoreState, (lambda s: s.put(b"a"), StoreState.read), StoreState.never_back,
                         "one commits, one reads"),
}


# ------------------------------------------------------------------ planted races


def _bare_clock() -> ClockState:
    state = ClockState()
    state.clock._lock = Nothing()  # type: ignore[assignment]
    return state


class _Held(Background[int]):
    def put(self, item: int, weight: int = 1) -> None:
        """As it is, but what is held is counted without the lock."""
        self.held += weight
        with self._changed:
            self._waiting.append((weight, item))
            self._changed.notify_all()


class _HeldTwice(TwoGive):
    def __init__(self) -> None:
        super().__init__()
        self.background = _Held("checked", self._take)
        self.background._thread = self  # type: ignore[assignment]


class _Flush(Background[int]):
    def flush(self, within_s: float) -> None:
        """As it is, but a piece that is being worked on is not waited for."""
        with self._changed:
            self._changed.wait_for(lambda: not self._waiting, within_s)


class _NotBusy(HandOver):
    def __init__(self) -> None:
        super().__init__()
        self.background = _Flush("checked", self._take)
        self.background._thread = self  # type: ignore[assignment]


def _unlocked_log() -> StoreState:
    state = StoreState()
    state.engine.writing = Nothing()  # type: ignore[assignment]
    return state


class _Early(StoreState):
    """Readers are told of the number before the entry is in the index, and look by the number."""

    def put(self, key: bytes) -> None:
        """Number first."""
        self.numbered = True
        super().put(key)

    def read(self) -> None:
        """A reader that takes the number's word."""
        self.seen.append(self.engine.reading.get("k", b"a") if not getattr(self, "numbered", False)
                         else self.engine.reading.get("k", b"a") or b"")


FAULTS: dict[str, World] = {
    "clock-unlocked": World(_bare_clock, WORLDS["clock"].workers, ClockState.holds,
                            "the clock without its lock"),
    "held-unlocked": World(_HeldTwice, WORLDS["two-give"].workers, TwoGive.holds, "weights counted unlocked"),
    "flush-not-busy": World(_NotBusy, WORLDS["hand-over"].workers, HandOver.holds,
                            "a flush that doesn't wait for the piece at work"),
    "log-unlocked": World(_unlocked_log, WORLDS["two-commits"].workers, StoreState.both_there,
                          "two commits without the log's lock", drawn=True),
    "number-first": World(_Early, (lambda s: s.put(b"a"), _Early.read), lambda s: b"" not in s.seen,
                          "a number that is told before its entry is there"),
}
