"""An embedded store: a log, an index, compaction and recovery beneath everything that must last
(docs/store.md)."""

from flintfield.store.batch import ALWAYS, NEVER, Batch, Committed, Durability, Outcome, Settings, within_ms
from flintfield.store.errors import (Busy, Closed, Damaged, DiskFull, Failed, Locked, NewerFormat, NotAStore,
                                     SnapshotTooOld, StoreError, StoreFull, TooLarge)
from flintfield.store.reading import Reading, Snapshot
from flintfield.store.store import Stats, Store, open_store

__all__ = [
                                     "ALWAYS",
                                     "NEVER",
                                     "Batch",
                                     "Busy",
                                     "Closed",
                                     "Committed",
                                     "Damaged",
                                     "DiskFull",
                                     "Durability",
                                     "Failed",
                                     "Locked",
                                     "NewerFormat",
                                     "NotAStore",
                                     "Outcome",
                                     "Reading",
                                     "Settings",
                                     "Snapshot",
                                     "SnapshotTooOld",
                                     "Stats",
                                     "Store",
                                     "StoreError",
                                     "StoreFull",
                                     "TooLarge",
                                     "open_store",
                                     "within_ms",
]
