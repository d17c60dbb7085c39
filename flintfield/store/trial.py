"""A short measurement of a disk under the store: durable puts by several writers, reads, opening."""

from __future__ import annotations

import shutil
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

from flintfield.store.batch import ALWAYS, Batch, Settings
from flintfield.store.store import Store, open_store

WRITERS = (1, 16, 64)
VALUE = b"x" * 100  # bytes of a value
_KEY = "{:016d}"


def timed(work: Callable[[], object]) -> float:
    """How long it takes, in s."""
    begin = time.perf_counter()
    work()
    return time.perf_counter() - begin


def by_writers(count: int, puts: int, put: Callable[[int, int], object]) -> None:
    """`puts` calls of `put(writer, number)`, shared by so many threads."""
    def run(writer: int) -> None:
        for number in range(writer, puts, count):
            put(writer, number)

    threads = [threading.Thread(target=run, args=(writer,)) for writer in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def key(number: int) -> bytes:
    """A key of 16 bytes."""
    return _KEY.format(number).encode()


def trial(folder: Path, puts: int) -> Iterator[str]:
    """Lines of results. The folder it works in is removed afterwards."""
    place = Path(tempfile.mkdtemp(prefix="store-bench-", dir=folder))
    try:
        store = open_store(place, Settings())
        for writers in WRITERS:
            def put(_: int, number: int, store: Store = store) -> None:
                store.write(Batch().put("bench", key(number), VALUE), ALWAYS)

            took = timed(lambda writers=writers, put=put: by_writers(writers, puts, put))  # type: ignore[misc]
            yield f"durable puts by {writers} writers: {puts / took:.0f}/s"
        took = timed(lambda: [store.get("bench", key(number)) for number in range(puts)])
        yield f"reads: {puts / took:.0f}/s"
        took = timed(lambda: list(store.scan("bench")))
        yield f"scan: {store.count('bench') / took:.0f} entries/s"
        store.close()
        took = timed(lambda: open_store(place, Settings()).close())
        yield f"open and close with {puts} entries: {took:.3f} s"
    finally:
        shutil.rmtree(place)
