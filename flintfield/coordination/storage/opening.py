"""Opening a store: recovery, then a snapshot of what was found, so that all of it is durable for certain."""

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
from flintfield.coordination.storage.store import RingStore, Tools
from flintfield.coordination.storage.sync_thread import SyncThread

logger = logging.getLogger(__name__)

_OS_DISK = OsDisk()


def draw_life() -> int:
    """A random number that tells one use of a file from all others; never 0."""
    return int.from_bytes(os.urandom(8), "little") | 1


def open_store(
    directory: str,
    limit_bytes: int,
    disk: Disk = _OS_DISK,
    *,
    tools: Tools | None = None,
    draw: Callable[[], int] = draw_life,
) -> RingStore:
    """Open the store in that folder; its files take at most that many bytes. Blocks: call it before the loop.

    What was found is written anew and synced before this returns, because a process that was killed may have
    left changes that can be read but are not on disk. If the disk refuses, the store is returned nevertheless
    and tries on once the loop runs: `await store.durable(0)` before acting upon `items`; it mostly returns at
    once. Raises `StorageError` if the folder can't be read.
    """
    try:
        found = recover(disk, directory)
    except OSError as error:
        raise StorageError(f"{directory} can't be read: {error}") from error
    items = found.items if found.items is not None else {}
    ring = Ring(FilePool(disk, directory, limit_bytes), found, draw)
    try:
        ring.rebase(items.items())
    except OSError as error:
        logger.warning("storage: the store can't be written yet: %s", error)
    return RingStore(ring, items, found.items is None, limit_bytes, tools or _default_tools())


def _default_tools() -> Tools:
    def call_later(pause_s: float, action: Callable[[], None]) -> object:
        return asyncio.get_running_loop().call_later(pause_s, action)

    return Tools(SyncThread(), call_later, time.monotonic, random.Random())
