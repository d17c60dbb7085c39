"""The interface of a keyed store, and its errors."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol

Change = tuple[bytes, bytes | None]
"""A key and its new value; None deletes the key."""


class StorageError(Exception):
    """Base class of the errors of a store."""


class StorageFailed(StorageError):
    """A write or a sync failed, or the store is closed (`StorageClosed`).

    Changes after the last durable ticket are not guaranteed to be on disk: each is there completely or not at
    all. They stay in memory and become durable once writes succeed again; `durable` may be called again.
    """


class StorageClosed(StorageFailed):
    """The store was closed because its process is shutting down; no change was applied."""


class StorageFull(StorageError):
    """The change was not applied: the content would exceed its limit, or one record is too large."""


class KeyedStore(Protocol):
    """Records by key, held in memory, durable on demand. Used only from the thread of the event loop."""

    @property
    def items(self) -> Mapping[bytes, bytes]:
        """All applied records, durable or not. A live view, not a copy."""

    @property
    def fresh(self) -> bool:
        """Whether the open formatted the directory: it was empty, or its formatting was never completed."""

    def apply(self, changes: Sequence[Change]) -> int:
        """Apply the changes to memory immediately and atomically; returns an increasing ticket.

        Raises `StorageFull`, and `StorageClosed` after `close`.
        """

    def replace(self, changes: Iterable[tuple[bytes, bytes]], keep: Callable[[bytes], bool]) -> int:
        """Atomically delete keys for which `keep` is false, then apply `changes`. Raises `StorageFull`."""

    async def durable(self, ticket: int) -> None:
        """Return once all changes up to `ticket` are on disk; ticket 0 is the content recovered at the open.

        Raises `StorageFailed` if a write or sync fails in the meantime; it may be called again.
        """

    def stalled_ms(self, now_ms: float) -> float:
        """How long the current sync has been running at `now_ms` of the monotonic clock; 0.0 if none is."""

    async def close(self) -> None:
        """Write pending changes once and close the files; afterwards `durable` may raise `StorageFailed`."""
