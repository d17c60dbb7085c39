"""Durable storage: a keyed store of small records on a ring of preallocated files.

All records are held in memory. A change is applied to memory immediately and becomes durable by group commit:
changes that arrive while a sync is running are batched into the next write and sync. docs/system-storage.md
describes the guarantees, the file format and the effect of each kind of fault.
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
