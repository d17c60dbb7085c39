"""Compaction: when to write the content again, and in which pieces.

A snapshot is written in pieces beside the changes: each frame carries some items as they are at that
moment, until all have been written once more; then the files before the snapshot's start are free. A
piece goes into the same frame as all changes that were pending when it was taken, so it never shows a
value whose own change is not in the log.
"""

from __future__ import annotations

from collections.abc import Container, Mapping

from flintfield.coordination.storage.format import entry_bytes
from flintfield.coordination.storage.interface import Change

MODEST_RING_BYTES = 16 << 20  # the ring stays within this (or half the limit) unless its content needs more
CHAIN_PER_LIVE = 2  # a snapshot starts once the log is this many times the content, or half of a modest ring
LIVE_PART_OF_LIMIT = 8  # the content may take 1/8 of the limit: see "Space" in docs/system-storage.md
PIECE_PART_OF_SEGMENT = 32  # a piece is 32 KiB for files of 1 MiB: 0.3 ms at 120 MB/s
PIECE_PER_CHANGE = 2  # and at least this many times the changes beside it, so that the snapshot ends in time


def content_bound(limit_bytes: int) -> int:
    """The largest content in bytes of a store whose files may take this many; beyond: `StorageFull`."""
    return limit_bytes // LIVE_PART_OF_LIMIT


def chain_bound(limit_bytes: int, live_bytes: int) -> int:
    """The length of the log in bytes at which a snapshot starts."""
    return max(min(limit_bytes // 2, MODEST_RING_BYTES) // 2, CHAIN_PER_LIVE * live_bytes)


class PiecewiseSnapshot:
    """The keys that are still to be written of a snapshot under way."""

    def __init__(self, items: Mapping[bytes, bytes], segment_bytes: int) -> None:
        self._items = items
        self._left = list(items)
        self._least_piece = segment_bytes // PIECE_PART_OF_SEGMENT

    @property
    def ended(self) -> bool:
        """Whether all were taken: with the frame that holds the last piece, the snapshot ends."""
        return not self._left

    def take(
        self, changes: Container[bytes], size: int, room: int, empty_room: int
    ) -> tuple[list[Change], int]:
        """The next items, and their size in bytes, for a frame that holds these changes of that size.

        `room` is what the current segment's frame holds, `empty_room` what an empty segment's does: if
        not one item fits into the first, the frame goes into the next file.
        """
        budget = max(self._least_piece, PIECE_PER_CHANGE * size)
        piece: list[Change] = []
        total = 0
        while self._left:
            key = self._left[-1]
            value = self._items.get(key)
            if value is not None and key not in changes:
                item_bytes = entry_bytes(key, value)
                if not piece and size + item_bytes > room:
                    room = empty_room
                if piece and (total + item_bytes > budget or size + total + item_bytes > room):
                    break
                piece.append((key, value))
                total += item_bytes
            self._left.pop()
        return piece, total
