"""The newest batches of an epoch, kept for followers that lag.

The log is bounded by a constant and by the size of the whole state: a follower that lacks more than that is
sent the state, which costs no more than the batches would.
"""

from __future__ import annotations

from collections import deque

from flintfield.coordination.messages import Batch
from flintfield.coordination.snapshots import ENTRY_OVERHEAD_BYTES
from flintfield.coordination.timing import CHUNK_BYTES

MOST_BYTES = 2 * 1024 * 1024
LEAST_BYTES = 64 * 1024  # kept also while the state is smaller


class BatchLog:
    """Batches of consecutive sequences, oldest first."""

    def __init__(self) -> None:
        self._batches: deque[tuple[Batch, int]] = deque()  # with their sizes in bytes
        self._bytes = 0

    @property
    def size_bytes(self) -> int:
        """What all batches take."""
        return self._bytes

    def add(self, batch: Batch) -> None:
        """Append the next batch."""
        size = _size_of(batch)
        self._batches.append((batch, size))
        self._bytes += size

    def after(self, sequence: int) -> tuple[Batch, ...]:
        """The batches after that sequence, up to a chunk; empty where the log doesn't reach back so far."""
        if not self._batches or self._batches[0][0].sequence > sequence + 1:
            return ()
        found: list[Batch] = []
        found_bytes = 0
        start = sequence + 1 - self._batches[0][0].sequence
        for index in range(start, len(self._batches)):
            batch, size = self._batches[index]
            if found and found_bytes + size > CHUNK_BYTES:
                break
            found.append(batch)
            found_bytes += size
        return tuple(found)

    def trim(self, acked: int, committed: int, state_bytes: int) -> None:
        """Drop what all followers have (`acked`), and beyond the bound the oldest that is committed."""
        bound = min(MOST_BYTES, max(LEAST_BYTES, state_bytes))
        while self._batches:
            sequence = self._batches[0][0].sequence
            if sequence > acked and (sequence > committed or self._bytes <= bound):
                return
            self._bytes -= self._batches.popleft()[1]


def _size_of(batch: Batch) -> int:
    size = ENTRY_OVERHEAD_BYTES
    for change in batch.changes:
        size += len(change.key) + len(change.value or b"") + ENTRY_OVERHEAD_BYTES
    return size
