"""Log compaction: when to start a snapshot, and how to divide it into chunks.

A snapshot is written incrementally, along with the changes: each frame carries some items with their current
values until every item has been written again; then the files before the start of the snapshot are free. A
chunk is written in the same frame as all changes that were pending when it was taken, so it never contains a
value whose change is not in the log.
"""

from __future__ import annotations

from collections.abc import Container, Mapping

from flintfield.coordination.storage.format import entry_bytes
from flintfield.coordination.storage.interface import Change

SOFT_RING_LIMIT_BYTES = 16 << 20  # the ring stays within this (or half the limit) unless content needs more
LOG_TO_LIVE_RATIO = 2  # a snapshot starts at this ratio of log to content, or at half of the soft limit
LIVE_LIMIT_DIVISOR = 8  # the content may use 1/8 of the limit: see "Space" in docs/system-storage.md
CHUNK_SEGMENT_DIVISOR = 32  # a chunk is 32 KiB for files of 1 MiB: 0.3 ms at 120 MB/s
CHUNK_TO_CHANGES_RATIO = 2  # minimum size relative to the changes of the frame, so the snapshot ends in time


def content_bound(limit_bytes: int) -> int:
    """The maximum content in bytes for this limit on the files; `StorageFull` is raised above it."""
    return limit_bytes // LIVE_LIMIT_DIVISOR


def snapshot_threshold(limit_bytes: int, live_bytes: int) -> int:
    """The length of the log, in bytes, at which a snapshot starts."""
    return max(min(limit_bytes // 2, SOFT_RING_LIMIT_BYTES) // 2, LOG_TO_LIVE_RATIO * live_bytes)


class IncrementalSnapshot:
    """The keys that a running snapshot has yet to write."""

    def __init__(self, items: Mapping[bytes, bytes], segment_bytes: int) -> None:
        self._items = items
        self._remaining_keys = list(items)
        self._min_chunk_bytes = segment_bytes // CHUNK_SEGMENT_DIVISOR

    @property
    def finished(self) -> bool:
        """Whether all keys were taken: the frame with the last chunk completes the snapshot."""
        return not self._remaining_keys

    def next_chunk(
        self, changes: Container[bytes], changes_bytes: int, free_payload_bytes: int, max_payload_bytes: int
    ) -> tuple[list[Change], int]:
        """Return the next items and their encoded size for a frame that also holds `changes`.

        `free_payload_bytes` is the payload that still fits into the current segment, `max_payload_bytes` the
        payload that fits into an empty one: if not even one item fits into the current segment, the frame is
        written to the next file.
        """
        budget = max(self._min_chunk_bytes, CHUNK_TO_CHANGES_RATIO * changes_bytes)
        chunk: list[Change] = []
        chunk_bytes = 0
        while self._remaining_keys:
            key = self._remaining_keys[-1]
            value = self._items.get(key)
            if value is not None and key not in changes:
                item_bytes = entry_bytes(key, value)
                if not chunk and changes_bytes + item_bytes > free_payload_bytes:
                    free_payload_bytes = max_payload_bytes
                if chunk and (
                    chunk_bytes + item_bytes > budget
                    or changes_bytes + chunk_bytes + item_bytes > free_payload_bytes
                ):
                    break
                chunk.append((key, value))
                chunk_bytes += item_bytes
            self._remaining_keys.pop()
        return chunk, chunk_bytes
