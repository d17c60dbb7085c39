"""The newest batches of an epoch, kept for followers that lag behind.

The size of the log is limited by a constant and by the size of the whole state. A follower that lacks more
batches receives the whole state, which is no larger than the batches would be.
"""

from __future__ import annotations

from collections import deque

from flintfield.coordination.messages import Batch
from flintfield.coordination.snapshots import ENTRY_OVERHEAD_BYTES
from flintfield.coordination.timing import CHUNK_BYTES

MAX_BYTES = 2 * 1024 * 1024
MIN_LIMIT_BYTES = 64 * 1024  # the limit doesn't fall below this if the state is smaller


class BatchLog:
    """Batches with consecutive sequence numbers, oldest first."""

    def __init__(self) -> None:
        self._batches: deque[tuple[Batch, int]] = deque()  # with their sizes in bytes
        self._bytes = 0

    @property
    def size_bytes(self) -> int:
        """The total size of all batches."""
        return self._bytes

    def add(self, batch: Batch) -> None:
        """Append the next batch."""
        size = _size_of(batch)
        self._batches.append((batch, size))
        self._bytes += size

    def after(self, sequence: int) -> tuple[Batch, ...]:
        """Return the batches after this sequence, up to about `CHUNK_BYTES`.

        The result is empty if the log no longer contains the first of these batches.
        """
        if not self._batches or self._batches[0][0].sequence > sequence + 1:
            return ()
        batches: list[Batch] = []
        batches_bytes = 0
        start = sequence + 1 - self._batches[0][0].sequence
        for index in range(start, len(self._batches)):
            batch, size = self._batches[index]
            if batches and batches_bytes + size > CHUNK_BYTES:
                break
            batches.append(batch)
            batches_bytes += size
        return tuple(batches)

    def trim(self, acked: int, committed: int, state_bytes: int) -> None:
        """Drop the batches that all followers have (`acked`), and committed ones above the size limit."""
        limit_bytes = min(MAX_BYTES, max(MIN_LIMIT_BYTES, state_bytes))
        while self._batches:
            sequence = self._batches[0][0].sequence
            if sequence > acked and (sequence > committed or self._bytes <= limit_bytes):
                return
            self._bytes -= self._batches.popleft()[1]


def _size_of(batch: Batch) -> int:
    size = ENTRY_OVERHEAD_BYTES
    for change in batch.changes:
        size += len(change.key) + len(change.value or b"") + ENTRY_OVERHEAD_BYTES
    return size
