"""What can go wrong in a store, as a tree: `StoreError` is the root, and a committed batch's outcome may be
one."""

from __future__ import annotations


class StoreError(Exception):
    """The root of all that a store raises or answers."""


class NotAStore(StoreError):
    """The folder holds other files and no manifest, or does not exist where one must be there."""


class Locked(StoreError):
    """Another process, or this one, has the store open for writing."""

    def __init__(self, folder: str) -> None:
        super().__init__(f"{folder}: the store is open elsewhere")


class Damaged(StoreError):
    """Bytes that were durable once are not what was written.

    `file` is a name within the store's folder, `offset` the byte from which it can not be trusted.
    """

    def __init__(self, file: str, offset: int, what: str) -> None:
        super().__init__(f"{file}: offset {offset}: {what}")
        self.file, self.offset, self.what = file, offset, what


class NewerFormat(StoreError):
    """The store was written by a later program; this one must not touch it."""

    def __init__(self, file: str, found: int, known: int) -> None:
        super().__init__(f"{file}: format {found} found, up to {known} known")
        self.file, self.found, self.known = file, found, known


class TooLarge(StoreError):
    """A key, value, name or batch beyond its limit."""


class Busy(StoreError):
    """More waits to be written than `Settings.waiting_bytes`."""


class Closed(StoreError):
    """The store was closed."""


class Failed(StoreError):
    """A write or sync failed: nothing is acknowledged until the store is opened anew."""


class DiskFull(StoreError):
    """No room on the disk: nothing of the batch is there, and the store goes on."""


class StoreFull(StoreError):
    """The batch could take the store beyond `Settings.max_entries`."""


class SnapshotTooOld(StoreError):
    """What the snapshot needs was given up, for it was held too long."""
