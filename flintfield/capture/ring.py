"""The ring in memory: the newest records, in no more bytes than it may have, behind a header."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from itertools import islice

PARTS = (4, 2)  # segments that the ring is cut into, as many as their headers leave room for
LEAST_PART = 8  # of the ring: what a segment must have for records, else there are fewer segments


@dataclass(slots=True)
class Segment:
    """A header and the records behind it. The oldest one drops whole; then the next header stands first."""

    header: bytes
    records: bytearray = field(default_factory=bytearray)

    @property
    def size(self) -> int:
        return len(self.header) + len(self.records)


class Ring:
    """Segments, oldest first; all their bytes count, headers included."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._segments: deque[Segment] = deque()
        self._share = most  # of the newest segment: it ends there
        self.size = 0  # the bytes that are kept

    def begin(self, header: bytes) -> None:
        """Start a segment; with a large header there are fewer of them."""
        self._segments.append(Segment(header))
        self.size += len(header)
        parts = (self._most // n for n in PARTS)
        self._share = next((p for p in parts if p - len(header) >= self._most // LEAST_PART), self._most)
        self._drop()

    def add(self, records: bytes) -> bool:
        """Keep the records of one event; whether a new segment is to begin behind them."""
        newest = self._segments[-1]
        newest.records += records
        self.size += len(records)
        self._drop()
        if self.size > self._most:  # one event alone: a new header stands for it and all before it
            self._segments.clear()
            self.size = 0
            return True
        return newest.size >= self._share

    def _drop(self) -> None:
        while len(self._segments) > 1 and self.size > self._most:
            self.size -= self._segments.popleft().size

    def copy(self) -> list[bytes]:
        """What is kept now: one header, then all records; nothing before the first event."""
        return [*(s.header for s in islice(self._segments, 1)), *(bytes(s.records) for s in self._segments)]
