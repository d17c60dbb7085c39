"""Reading: values from their places on disk, one at a time or a range at one moment.

Any thread reads. A single key is read without a lock: its place is one look-up, and a file that compaction
took away between two look-ups is simply asked for again. A snapshot holds its moment in the index; files
that leave the store meanwhile stay open for it.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator, Sequence
from itertools import islice
from types import TracebackType
from typing import Self

from flintfield.store.batch import space_name
from flintfield.store.catalog import Catalog
from flintfield.store.clock import StoreClock
from flintfield.store.errors import Damaged, SnapshotTooOld
from flintfield.store.format import Operation, decode_entry
from flintfield.store.fs import File, read_at
from flintfield.store.index import Index, Place, Range, View, prefix_range, unpack
from flintfield.store.manifest import Sealed, segment_name

GAP = 4_096  # bytes between two entries that one read takes along rather than being two
MOST_READ = 256 * 1024  # bytes of one such read
TRIES = 1_000  # look-ups of a place whose file is gone; one is enough unless compaction runs wild


class Reading:
    """What readers share: places, files, and the lock that guards the index."""

    def __init__(self, catalog: Catalog, index: Index, clock: StoreClock, lock: threading.RLock) -> None:
        self.catalog, self.index, self.clock, self.lock = catalog, index, clock, lock

    @property
    def seq(self) -> int:
        """The last batch that readers see."""
        return self.index.seq

    def get(self, space: str, key: bytes) -> bytes | None:
        """The key's value, or None. Raises `Damaged`."""
        name = space_name(space)
        for _ in range(TRIES):
            found = self.index.place(name, key)
            if found is None:
                return None
            place = unpack(found)
            file = self.catalog.files.get(place.segment)
            if file is not None:
                operation = _checked(_read(file, place.segment, place.length, place.offset), place, name, key)
                gone = operation.expires and operation.expires <= self.clock.now()
                return None if gone else operation.value
        raise Damaged(segment_name(place.segment), 0, "the index names this segment and it is not open")

    def has(self, space: str, key: bytes) -> bool:
        """Whether the key is there. Memory only."""
        with self.lock:
            return self.index.has(space_name(space), key, self.clock.now())

    def count(self, space: str) -> int:
        """Keys of a keyspace, those included whose time ran out within the last second or so. Memory only."""
        found = self.index.spaces.get(space_name(space))
        return len(found.live) if found else 0

    def spaces(self) -> list[str]:
        """Keyspaces that hold keys."""
        with self.lock:
            return sorted(name.decode() for name, space in self.index.spaces.items() if space.live)

    def snapshot(self) -> Snapshot:
        """Hold this moment; to be closed, or used in a `with`."""
        with self.lock:
            return Snapshot(self, self.index.look(self.seq, self.clock.now()))

    def scan(self, space: str, start: bytes = b"", stop: bytes | None = None, *, prefix: bytes | None = None,
             reverse: bool = False, limit: int | None = None) -> Iterator[tuple[bytes, bytes]]:
        """Keys from `start` up to `stop`, or those with a prefix, with their values, all of one moment."""
        with self.snapshot() as view:
            yield from view.scan(space, start, stop, prefix=prefix, reverse=reverse, limit=limit)

    def keys(self, space: str, start: bytes = b"", stop: bytes | None = None, *, prefix: bytes | None = None,
             reverse: bool = False, limit: int | None = None) -> Iterator[bytes]:
        """As `scan`, without values. Memory only."""
        with self.snapshot() as view:
            yield from view.keys(space, start, stop, prefix=prefix, reverse=reverse, limit=limit)

    def drop(self, segments: Sequence[Sealed], most_pinned: int) -> None:
        """Files leave the store; open snapshots keep them, up to so many bytes for each."""
        with self.lock:
            for sealed in segments:
                for view in self.index.views:
                    # Before it leaves `files`: a reader looks there first.
                    view.pinned[sealed.segment] = self.catalog.files[sealed.segment]
                    view.pinned_bytes += sealed.length
                del self.catalog.files[sealed.segment]
                self.index.usage.pop(sealed.segment, None)
            while self.index.views and self.index.views[0].pinned_bytes > most_pinned:
                self.index.give_up_oldest()


class Snapshot:
    """One moment of the store. Holds old versions and files until it is closed."""

    def __init__(self, reading: Reading, view: View) -> None:
        self._reading, self._view = reading, view

    @property
    def seq(self) -> int:
        """The last batch that it sees."""
        return self._view.seq

    def close(self) -> None:
        """Let the moment go. Twice is once."""
        with self._reading.lock:
            self._reading.index.leave(self._view)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, kind: type[BaseException] | None, error: BaseException | None,
                 trace: TracebackType | None) -> None:
        self.close()

    def get(self, space: str, key: bytes) -> bytes | None:
        """The key's value at that moment. Raises `SnapshotTooOld`, `Damaged`."""
        name = space_name(space)
        with self._reading.lock:
            place = self._reading.index.find(self._view, name, key)
        return None if place is None else self._values(name, [(key, place)])[0]

    def has(self, space: str, key: bytes) -> bool:
        """Whether the key was there. Raises `SnapshotTooOld`."""
        with self._reading.lock:
            return self._reading.index.find(self._view, space_name(space), key) is not None

    def scan(self, space: str, start: bytes = b"", stop: bytes | None = None, *, prefix: bytes | None = None,
             reverse: bool = False, limit: int | None = None) -> Iterator[tuple[bytes, bytes]]:
        """See `Reading.scan`. Raises `SnapshotTooOld`, `Damaged`."""
        name = space_name(space)
        for found in self._chunks(name, _range(start, stop, prefix, reverse), limit):
            yield from zip((key for key, _ in found), self._values(name, found), strict=True)

    def keys(self, space: str, start: bytes = b"", stop: bytes | None = None, *, prefix: bytes | None = None,
             reverse: bool = False, limit: int | None = None) -> Iterator[bytes]:
        """See `Reading.keys`. Raises `SnapshotTooOld`."""
        for found in self._chunks(space_name(space), _range(start, stop, prefix, reverse), limit):
            yield from (key for key, _ in found)

    def _chunks(self, name: bytes, within: Range, limit: int | None) -> Iterator[list[tuple[bytes, int]]]:
        left: Range | None = within
        while left is not None and limit != 0:
            with self._reading.lock:
                found, left = self._reading.index.chunk(self._view, name, left)
            if limit is not None:
                found = list(islice(found, limit))
                limit -= len(found)
            yield found

    def _values(self, name: bytes, found: Sequence[tuple[bytes, int]]) -> list[bytes]:
        """The values at these places; neighbours on disk are read at once."""
        wanted = sorted((place >> 32 & 0xFFFFFFFFFFFFFFFF, row) for row, (_, place) in enumerate(found))
        values = [b""] * len(found)
        for rows in _neighbours([row for _, row in wanted], [unpack(place) for _, place in found]):
            first, last = unpack(found[rows[0]][1]), unpack(found[rows[-1]][1])
            size = last.offset + last.length - first.offset
            data = _read(self._file(first), first.segment, size, first.offset)
            for row in rows:
                key, place = found[row][0], unpack(found[row][1])
                at = place.offset - first.offset
                values[row] = _checked(data[at:at + place.length], place, name, key).value
        return values

    def _file(self, place: Place) -> File:
        file = self._reading.catalog.files.get(place.segment) or self._view.pinned.get(place.segment)
        if file is None:
            if self._view.lost:
                raise SnapshotTooOld("files that this snapshot needs were given up")
            raise Damaged(segment_name(place.segment), 0, "the index names this segment and it is not open")
        return file


def _range(start: bytes, stop: bytes | None, prefix: bytes | None, reverse: bool) -> Range:
    if prefix is not None:
        start, stop = prefix_range(prefix)
    return Range(start, stop, reverse)


def _neighbours(rows: list[int], places: list[Place]) -> Iterator[list[int]]:
    """Rows, in order of their places, in groups that one read covers."""
    group: list[int] = []
    for row in rows:
        place = places[row]
        if group:
            first, last = places[group[0]], places[group[-1]]
            if (place.segment != last.segment or place.offset - last.offset - last.length > GAP
                    or place.offset + place.length - first.offset > MOST_READ):
                yield group
                group = []
        group.append(row)
    if group:
        yield group


def _read(file: File, segment: int, size: int, offset: int) -> bytes:
    try:
        return read_at(file, size, offset)
    except OSError as error:
        raise Damaged(segment_name(segment), offset, f"can't be read: {error}") from error


def _checked(data: bytes, place: Place, name: bytes, key: bytes) -> Operation:
    found = decode_entry(data)
    if found is None or (found[0].name, found[0].key, found[1]) != (name, key, place.seq):
        what = "an entry fails its checksum or is another's"
        raise Damaged(segment_name(place.segment), place.offset, what)
    return found[0]
