"""Opens a store: recovers its content, then writes a snapshot so that all of the content is durable."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import time
from collections.abc import Callable

from flintfield.coordination.storage.disk import Disk, OsDisk
from flintfield.coordination.storage.interface import StorageError
from flintfield.coordination.storage.pool import FilePool
from flintfield.coordination.storage.recovery import recover
from flintfield.coordination.storage.ring import Ring
from flintfield.coordination.storage.store import RingStore, StoreDependencies
from flintfield.coordination.storage.sync_thread import SyncThread

logger = logging.getLogger(__name__)

_OS_DISK = OsDisk()


def draw_life() -> int:
    """Return a random number that identifies one use of a file; never 0."""
    return int.from_bytes(os.urandom(8), "little") | 1


def open_store(
    directory: str,
    limit_bytes: int,
    disk: Disk = _OS_DISK,
    *,
    dependencies: StoreDependencies | None = None,
    draw: Callable[[], int] = draw_life,
) -> RingStore:
    """Open the store in `directory`; its files use at most `limit_bytes`. Blocks: call before the loop runs.

    The recovered content is written again and synced before this returns, because a killed process may have
    left changes in the page cache that can be read but are not on disk. If that write fails, the store is
    returned anyway and retries once the loop runs: `await store.durable(0)` before acting on `items`; it
    usually returns immediately. Raises `StorageError` if the directory can't be read.
    """
    try:
        recovered = recover(disk, directory)
    except OSError as error:
        raise StorageError(f"cannot read the storage directory {directory}: {error}") from error
    items = recovered.items if recovered.items is not None else {}
    ring = Ring(FilePool(disk, directory, limit_bytes), recovered, draw)
    try:
        ring.rebase(items.items())
    except OSError as error:
        logger.warning("storage: the store can't be written yet: %s", error)
    return RingStore(
        ring, items, recovered.items is None, limit_bytes, dependencies or _default_dependencies()
    )


def _default_dependencies() -> StoreDependencies:
    def call_later(pause_s: float, callback: Callable[[], None]) -> object:
        return asyncio.get_running_loop().call_later(pause_s, callback)

    return StoreDependencies(SyncThread(), call_later, time.monotonic, random.Random())
