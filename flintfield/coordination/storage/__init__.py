"""Durable storage: a keyed store of small records on a ring of preallocated files.

The content is held whole in memory. A change is applied at once and becomes durable by group commit: while
one sync runs, later changes gather, and go out with the next write and sync. docs/system-storage.md tells
what is guaranteed, the format, and what each fault leads to.
"""

from flintfield.coordination.storage.disk import Disk, DiskFile, OsDisk
from flintfield.coordination.storage.interface import (
    Change,
    KeyedStore,
    StorageError,
    StorageFailed,
    StorageFull,
)
from flintfield.coordination.storage.memory import MemoryStore
from flintfield.coordination.storage.opening import open_store

__all__ = [
    "Change",
    "Disk",
    "DiskFile",
    "KeyedStore",
    "MemoryStore",
    "OsDisk",
    "StorageError",
    "StorageFailed",
    "StorageFull",
    "open_store",
]
