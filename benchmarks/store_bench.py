"""The store beside SQLite and LMDB, in one run on one disk.

    python -m benchmarks.store_bench DIR [--puts 4000] [--entries 1000000] [--json FILE]

Keys have 16 bytes, values 100. SQLite: WAL, synchronous=FULL, a table WITHOUT ROWID; LMDB: its defaults,
which sync at each commit. "by N writers": so many threads, each waiting for its own put to be durable.
SQLite is measured in two ways: a connection for each thread (as its documents tell), and one connection
that the threads take turns with, which is faster; the better figure counts. "grouped": what a program could
build on SQLite, one thread that commits all that waits as one transaction. "tasks": so many asyncio tasks,
our store's other way in.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import queue
import random
import shutil
import sqlite3
import statistics
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from functools import partial
from pathlib import Path
from typing import NamedTuple

import lmdb

from flintfield.store import ALWAYS, NEVER, Batch, Settings, open_store
from flintfield.store.loop import AsyncStore
from flintfield.store.trial import WRITERS, by_writers, key, timed

VALUE = bytes(range(100))
LOAD = 1_000  # entries of one batch while a store is filled
ROUNDS = 7  # of durable puts
TURNS = 10  # times that each key is overwritten
MAP = 4 * 1024**3  # bytes that LMDB may map


class Result(NamedTuple):
    """A line of the result."""

    what: str
    who: str
    figure: float | list[float]


def size_of(folder: Path) -> int:
    """Bytes that the files take on disk (blocks, not lengths)."""
    size = 0
    for path in folder.iterdir():
        with suppress(FileNotFoundError):  # compaction took it away
            size += path.stat().st_blocks * 512
    return size


class Ours:
    """flintfield.store."""

    name = "store"

    def __init__(self, folder: Path, settings: Settings | None = None) -> None:
        self.store = open_store(folder, settings)

    def put(self, _: int, number: int) -> None:
        """One durable put."""
        self.store.write(Batch().put("bench", key(number), VALUE), ALWAYS)

    def load(self, numbers: range | list[int], value: bytes = VALUE) -> None:
        """Many puts as one batch, not synced."""
        batch = Batch()
        for number in numbers:
            batch.put("bench", key(number), value)
        self.store.write(batch, NEVER)

    def get(self, number: int) -> bytes | None:
        """One read."""
        return self.store.get("bench", key(number))

    def scan(self) -> int:
        """Read all in order."""
        return sum(1 for _ in self.store.scan("bench"))

    def close(self) -> None:
        """End."""
        self.store.close()


class Sqlite:
    """SQLite with one connection that threads take turns with, or one for each."""

    name = "sqlite"

    def __init__(self, folder: Path, each: bool = False) -> None:
        self._path, self._each = folder / "bench.db", each
        self._lock = threading.Lock()
        self._local = threading.local()
        self._connection = self._connect()
        self._connection.execute(
            "CREATE TABLE IF NOT EXISTS bench (k BLOB PRIMARY KEY, v BLOB) WITHOUT ROWID"
        )

    def _connect(self) -> sqlite3.Connection:
        made = sqlite3.connect(self._path, timeout=60, isolation_level=None, check_same_thread=False)
        made.execute("PRAGMA journal_mode=WAL")
        made.execute("PRAGMA synchronous=FULL")
        return made

    def put(self, _: int, number: int) -> None:
        """One durable put."""
        if not self._each:
            with self._lock:
                self._connection.execute("INSERT OR REPLACE INTO bench VALUES (?, ?)", (key(number), VALUE))
            return
        if not hasattr(self._local, "connection"):
            self._local.connection = self._connect()
        self._local.connection.execute("INSERT OR REPLACE INTO bench VALUES (?, ?)", (key(number), VALUE))

    def load(self, numbers: range | list[int], value: bytes = VALUE) -> None:
        """Many puts as one transaction."""
        rows = [(key(number), value) for number in numbers]
        self._connection.execute("BEGIN")
        self._connection.executemany("INSERT OR REPLACE INTO bench VALUES (?, ?)", rows)
        self._connection.execute("COMMIT")

    def get(self, number: int) -> bytes | None:
        """One read."""
        found = self._connection.execute("SELECT v FROM bench WHERE k = ?", (key(number),)).fetchone()
        return found[0] if found else None

    def scan(self) -> int:
        """Read all in order."""
        return sum(1 for _ in self._connection.execute("SELECT k, v FROM bench ORDER BY k"))

    def close(self) -> None:
        """End."""
        self._connection.close()


class Grouped(Sqlite):
    """SQLite behind a thread that commits all that waits as one transaction."""

    name = "sqlite grouped"

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self._waiting: queue.SimpleQueue[tuple[int, threading.Lock] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def put(self, _: int, number: int) -> None:
        """One durable put."""
        told = threading.Lock()
        told.acquire()
        self._waiting.put((number, told))
        told.acquire()

    def _run(self) -> None:
        while (first := self._waiting.get()) is not None:
            some = [first]
            while not self._waiting.empty():
                if (one := self._waiting.get()) is not None:
                    some.append(one)
            self.load([number for number, _ in some])
            for _, told in some:
                told.release()

    def close(self) -> None:
        """End."""
        self._waiting.put(None)
        self._thread.join()
        super().close()


class Lmdb:
    """LMDB."""

    name = "lmdb"

    def __init__(self, folder: Path) -> None:
        self._env = lmdb.open(str(folder), map_size=MAP, max_readers=200)

    def put(self, _: int, number: int) -> None:
        """One durable put."""
        with self._env.begin(write=True) as transaction:
            transaction.put(key(number), VALUE)

    def load(self, numbers: range | list[int], value: bytes = VALUE) -> None:
        """Many puts as one transaction."""
        with self._env.begin(write=True) as transaction:
            for number in numbers:
                transaction.put(key(number), value)

    def get(self, number: int) -> bytes | None:
        """One read."""
        with self._env.begin(buffers=False) as transaction:
            found: bytes | None = transaction.get(key(number))
            return found

    def scan(self) -> int:
        """Read all in order."""
        with self._env.begin() as transaction:
            return sum(1 for _ in transaction.cursor())

    def close(self) -> None:
        """End."""
        self._env.close()


KINDS: tuple[type[Ours] | type[Sqlite] | type[Lmdb], ...] = (Ours, Sqlite, Lmdb)


@contextmanager
def place(under: Path) -> Iterator[Path]:
    """A folder that is removed in the end."""
    made = Path(tempfile.mkdtemp(prefix="bench-", dir=under))
    try:
        yield made
    finally:
        shutil.rmtree(made)


def durable_puts(under: Path, puts: int) -> Iterator[Result]:
    """Durable puts a second by writers: the median of rounds in which all take turns, for others use the
    machine."""
    kinds: dict[str, Callable[[Path], Ours | Sqlite | Lmdb]] = {
        "store": Ours,
        "sqlite, one connection": Sqlite,
        "sqlite, one each": lambda folder: Sqlite(folder, each=True),
        "sqlite, grouped by hand": Grouped,
        "lmdb": Lmdb,
    }
    for writers in WRITERS:
        found: dict[str, list[float]] = {}
        for _ in range(ROUNDS):
            for name, kind in kinds.items():
                with place(under) as folder:
                    there = kind(folder)
                    found.setdefault(name, []).append(timed(partial(by_writers, writers, puts, there.put)))
                    there.close()
            with place(under) as folder:
                found.setdefault("store, tasks", []).append(asyncio.run(by_tasks(folder, writers, puts)))
        for name, took in found.items():
            yield Result(
                f"durable puts/s, {writers} writers: median, least, most of {ROUNDS}",
                name,
                [round(puts / one) for one in (statistics.median(took), max(took), min(took))],
            )


async def by_tasks(folder: Path, count: int, puts: int) -> float:
    """How long so many tasks take."""
    store = AsyncStore(open_store(folder))

    async def run(writer: int) -> None:
        for number in range(writer, puts, count):
            await store.write(Batch().put("bench", key(number), VALUE), ALWAYS)

    begin = time.perf_counter()
    await asyncio.gather(*(run(writer) for writer in range(count)))
    took = time.perf_counter() - begin
    await store.aclose()
    return took


def reads(under: Path, entries: int) -> Iterator[Result]:
    """Fill, read by chance, scan, open: with so many entries."""
    numbers = random.Random(1).choices(range(entries), k=50_000)
    for kind in KINDS:
        with place(under) as folder:
            there = kind(folder)
            begin = time.perf_counter()
            for at in range(0, entries, LOAD):
                there.load(range(at, min(at + LOAD, entries)))
            took = time.perf_counter() - begin
            yield Result(f"puts/s in batches of {LOAD}, not synced by us", kind.name, round(entries / took))
            begin = time.perf_counter()
            for number in numbers:
                there.get(number)
            took = time.perf_counter() - begin
            yield Result("reads/s", kind.name, round(len(numbers) / took))
            took = timed(there.scan)
            yield Result("scanned entries/s", kind.name, round(entries / took))
            there.close()
            begin = time.perf_counter()
            there = kind(folder)
            assert there.get(entries - 1) == VALUE
            took = time.perf_counter() - begin
            yield Result(f"s to open with {entries} entries", kind.name, round(took, 3))
            there.close()
            if kind is Ours:
                yield from after_a_kill(folder, entries)


def after_a_kill(folder: Path, entries: int) -> Iterator[Result]:
    """Opening without the newest hint, and without any."""
    newest = max(folder.glob("*.hint"))
    for what, remove in (("after a kill", [newest]), ("without hints", list(folder.glob("*.hint")))):
        for path in remove:
            path.unlink(missing_ok=True)
        begin = time.perf_counter()
        there = Ours(folder)
        took = time.perf_counter() - begin
        yield Result(f"s to open with {entries} entries, {what}", "store", round(took, 3))
        there.close()


def space(under: Path, entries: int) -> Iterator[Result]:
    """Bytes on disk for each live byte after every key was overwritten, and the most there were meanwhile."""
    live = entries * (16 + len(VALUE))
    for kind in KINDS:
        with place(under) as folder:
            there = kind(folder)
            most = 0
            begin = time.perf_counter()
            for turn in range(TURNS + 1):
                order = list(range(entries))
                random.Random(turn).shuffle(order)
                for at in range(0, entries, LOAD):
                    there.load(order[at : at + LOAD], bytes([turn]) * len(VALUE))
                    most = max(most, size_of(folder))
            took = time.perf_counter() - begin
            if isinstance(there, Ours):
                settle(there)
            at_end = size_of(folder)
            there.close()
            what = f"bytes on disk for a live byte, {entries} keys overwritten {TURNS} times"
            yield Result(what, kind.name, round(at_end / live, 2))
            yield Result("the same, the most meanwhile", kind.name, round(most / live, 2))
            yield Result("puts/s meanwhile", kind.name, round(entries * (TURNS + 1) / took))


def settle(there: Ours) -> None:
    """Wait until compaction has nothing left to do."""
    seen, since = None, time.perf_counter()
    while time.perf_counter() - since < 4:
        stats = there.store.stats()
        if (stats.disk, stats.hints) != seen:
            seen, since = (stats.disk, stats.hints), time.perf_counter()
        time.sleep(0.2)


def pauses(under: Path) -> Iterator[Result]:
    """What waiting callers feel of a compaction: durable puts and reads with it at work and without."""
    for what, compaction in (("compaction at work", True), ("no compaction", False)):
        with place(under) as folder:
            there = Ours(folder, Settings(compaction=compaction, segment_bytes=8 * 1024 * 1024))
            for _ in range(6):
                for at in range(0, 100_000, LOAD):
                    there.load(range(at, at + LOAD))
            puts, gets, end = [], [], time.perf_counter() + 5
            while time.perf_counter() < end:
                puts.append(timed(partial(there.put, 0, 5)))
                gets.append(timed(partial(there.get, 77_777)))
            stats = there.store.stats()
            there.close()
            for name, took in (("put", puts), ("read", gets)):
                took.sort()
                figures = [round(took[at] * 1e3, 3) for at in (len(took) // 2, len(took) * 99 // 100, -1)]
                yield Result(f"ms of a durable {name}, {what}: p50 p99 most", "store", figures)
            yield Result(
                f"ms of a chore's longest slice, {stats.compactions} compactions",
                "store",
                round(stats.longest_chore_ms, 2),
            )


PARTS: dict[str, Callable[[Path, argparse.Namespace], Iterator[Result]]] = {
    "puts": lambda under, given: durable_puts(under, given.puts),
    "reads": lambda under, given: reads(under, given.entries),
    "space": lambda under, given: space(under, given.keys),
    "pauses": lambda under, given: pauses(under),
}


def main() -> int:
    """Measure."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("folder", type=Path)
    parser.add_argument("--part", choices=PARTS, action="append")
    parser.add_argument("--puts", type=int, default=600, help="durable puts of a round")
    parser.add_argument("--entries", type=int, default=1_000_000)
    parser.add_argument("--keys", type=int, default=200_000, help="keys that are overwritten")
    parser.add_argument("--json", type=Path)
    given = parser.parse_args()
    found = []
    for part in given.part or PARTS:
        for result in PARTS[part](given.folder, given):
            found.append(result)
            print(f"{result.what:72} {result.who:24} {result.figure}", flush=True)
    if given.json:
        told = {"cores": os.cpu_count(), "results": [result._asdict() for result in found]}
        given.json.write_text(json.dumps(told, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
