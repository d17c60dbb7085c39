"""The durable store of the coordination library, measured.

    python -m benchmarks.system_storage [--directory DIR] [--seconds 3]

Commits a second: so many tasks, each of which changes a record of its own and waits until that is durable,
on a disk whose sync takes 6 ms (a sleep in the thread that syncs; it replaces the real sync). Beside it:
changes for each sync, the longest wait, processor time and bytes on disk for each change. Then the time to
open a store of 10 MB, and what memory the process has at its peak.
"""

from __future__ import annotations

import argparse
import asyncio
import resource
import tempfile
import time
from collections.abc import Callable
from contextlib import nullcontext

from flintfield.coordination.storage import DiskFile, OsDisk, open_store
from flintfield.coordination.storage.disk import OsFile
from flintfield.coordination.storage.recovery import recover
from flintfield.coordination.storage.store import RingStore

LIMIT_BYTES = 128 << 20
SYNC_S = 0.006
CALLERS = (1, 10, 100, 1_000)
RECORD_BYTES = 100
KEYS = 2_000
LARGE_BYTES = 10_000_000
CLUSTERED = 16  # records of one change while the store is filled


class SlowFile(OsFile):
    """A file whose sync takes a fixed time."""

    def sync_data(self) -> None:
        """Sleep."""
        time.sleep(SYNC_S)

    def sync_all(self) -> None:
        """Sleep."""
        time.sleep(SYNC_S)


class SlowDisk(OsDisk):
    """Real files, simulated syncs."""

    def open(self, path: str) -> DiskFile:
        """Open a file."""
        return SlowFile(path)

    def sync_directory(self, directory: str) -> None:
        """Sleep."""
        time.sleep(SYNC_S)


async def commits(directory: str, callers: int, seconds: float) -> None:
    """Measure so many callers and print a line."""
    store = open_store(directory, LIMIT_BYTES, SlowDisk())
    await store.durable(store.apply([(b"key%07d" % at, bytes(RECORD_BYTES)) for at in range(KEYS)]))
    done = 0
    longest = 0.0
    written, rounds = store.ring.pool.counters.written_bytes, store.counters.rounds
    began, processor = time.monotonic(), time.process_time()

    async def caller(number: int) -> None:
        nonlocal done, longest
        turn = 0
        while time.monotonic() - began < seconds:
            key = b"key%07d" % ((number * 7_919 + turn) % KEYS)
            turn += 1
            asked = time.monotonic()
            await store.durable(store.apply([(key, b"%0100d" % turn)]))
            longest = max(longest, time.monotonic() - asked)
            done += 1

    await asyncio.gather(*(caller(number) for number in range(callers)))
    took, processor = time.monotonic() - began, time.process_time() - processor
    written = store.ring.pool.counters.written_bytes - written
    rounds = store.counters.rounds - rounds
    await store.close()
    print(
        f"{callers:5d} callers: {done / took:8.0f} commits/s, {done / rounds:6.1f} a sync, longest "
        f"{longest * 1000:5.1f} ms, {processor / done * 1e6:6.1f} µs of processor and "
        f"{written / done:6.1f} bytes a commit of {RECORD_BYTES} bytes; "
        f"{processor / rounds * 1e6:.0f} µs a round, {store.counters.compactions} compactions, "
        f"{store.ring.pool.total_bytes / 1e6:.1f} MB of files"
    )


async def fill(store: RingStore) -> int:
    """Fill the store with 10 MB of records; returns how many."""
    count = LARGE_BYTES // (RECORD_BYTES + 10)
    for first in range(0, count, CLUSTERED):
        changes = [(b"key%07d" % at, b"%0100d" % at) for at in range(first, min(first + CLUSTERED, count))]
        await store.durable(store.apply(changes))
    return count


def timed(action: Callable[[], RingStore]) -> tuple[RingStore, float]:
    """What it returns, and its time in ms."""
    began = time.monotonic()
    store = action()
    return store, (time.monotonic() - began) * 1000


async def recovery(directory: str) -> None:
    """Measure opening an empty store and one of 10 MB, and print it."""
    store, first_ms = timed(lambda: open_store(directory, LIMIT_BYTES, SlowDisk()))
    print(f"first open: {first_ms:.1f} ms, {store.ring.pool.total_bytes / 1e6:.1f} MB of files")
    await fill(store)
    await store.close()
    del store  # its items would count twice
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    began = time.process_time()
    found = recover(OsDisk(), directory)
    read_ms = (time.process_time() - began) * 1000
    del found
    processor = time.process_time()
    store, again_ms = timed(lambda: open_store(directory, LIMIT_BYTES, SlowDisk()))
    open_processor_ms = (time.process_time() - processor) * 1000
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    print(
        f"open with {len(store.items)} records of 10 MB: {again_ms:.0f} ms, "
        f"with {read_ms:.0f} ms of processor to read and {open_processor_ms:.0f} for all; "
        f"files {store.ring.pool.total_bytes / 1e6:.1f} MB; peak memory {before / 1024:.0f}, "
        f"then {peak / 1024:.0f} MB"
    )
    await store.close()


def main() -> None:
    """Run all of it."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else "")
    parser.add_argument("--directory", help="where the files go (default: a temporary folder)")
    parser.add_argument("--seconds", type=float, default=3.0, help="for each number of callers")
    options = parser.parse_args()
    holder = nullcontext(options.directory) if options.directory else tempfile.TemporaryDirectory()
    with holder as directory:
        for callers in CALLERS:
            asyncio.run(commits(f"{directory}/commits{callers}", callers, options.seconds))
        asyncio.run(recovery(f"{directory}/recovery"))


if __name__ == "__main__":
    main()
