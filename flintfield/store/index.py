"""The index: each live key in memory, in order, with the place of its entry on disk. Pure; the engine
guards it.

Rules: all that tells which keys are there lives in this file. It reads no clock and no file. Whoever
changes it, or looks at more than one key, holds the engine's lock; `place` alone may be asked without.

Theory of operation. A place is one integer, sequence number, segment, offset and length in 64, 32, 32 and
32 bits from the left, so that of two places of one key the larger is the newer. The live keys of a keyspace
stand in a dictionary (key to place) and in a sorted list; times to live stand beside, for those who have
one. Cost of an entry, measured with `tracemalloc` at 1,000,000 keys of 20 bytes (docs/store.md): the key's
bytes and 33, 48 for the place, about 85 in the dictionary and 9 in the sorted list.

Old versions are kept only while a snapshot needs them (multiversion concurrency control, Reed 1978): a
version that is replaced goes into `past` if an open snapshot began after it was written. `trail` holds the
same in the order of replacement, so that what no open snapshot needs is dropped from its left end, a
bounded number at a time.

Weighed: a B-tree package (BTrees.OOBTree) has no place for history and costs as much; a sorted array with
binary search pays O(n) for each new key; an LSM tree would bound memory without bounding what a read costs
in Python.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from sortedcontainers import SortedDict, SortedList

from flintfield.store.errors import SnapshotTooOld
from flintfield.store.format import DELETE, Entry
from flintfield.store.fs import File
from flintfield.store.hints import Block

SEQ, SEGMENT, OFFSET = 96, 64, 32  # how far left each stands in a place
LOW = 0xFFFFFFFF
BUCKET_MS = 1_000  # times to live are looked through second by second
SCAN_KEYS = 256  # keys that a scan takes at once, while it holds the lock


def pack(seq: int, segment: int, offset: int, length: int) -> int:
    """A place. A length of 0 stands for a delete, while the index is built."""
    return seq << SEQ | segment << SEGMENT | offset << OFFSET | length


class Place(NamedTuple):
    """A place, taken apart."""

    seq: int
    segment: int
    offset: int
    length: int


def unpack(place: int) -> Place:
    """Take a place apart."""
    return Place(place >> SEQ, place >> SEGMENT & LOW, place >> OFFSET & LOW, place & LOW)


class Usage:
    """What of a segment is live: entries and their bytes."""

    __slots__ = ("bytes", "entries")

    def __init__(self) -> None:
        self.entries = self.bytes = 0


class _Old(NamedTuple):
    """A version that was there until batch `until`."""

    place: int
    expires: int
    until: int


class Space:
    """One keyspace."""

    __slots__ = ("expires", "ghosts", "live", "order", "past")

    def __init__(self) -> None:
        self.live: dict[bytes, int] = {}
        self.order: SortedList[bytes] = SortedList()
        self.expires: dict[bytes, int] = {}
        self.past: dict[bytes, list[_Old]] = {}
        self.ghosts: SortedList[bytes] = SortedList()  # keys of `past` that are not live


class View:
    """One moment of the index: batches up to `seq`, expiries up to `now` (ms). Held from `Index.look` to
    `leave`."""

    __slots__ = ("lost", "now", "pinned", "pinned_bytes", "seq")

    def __init__(self, seq: int, now: int) -> None:
        self.seq, self.now = seq, now
        self.lost = False  # too old: its versions were given up
        self.pinned: dict[int, File] = {}  # files that left the store since, by segment
        self.pinned_bytes = 0


class Range(NamedTuple):
    """Keys from `start` up to, not including, `stop`; None is open."""

    start: bytes
    stop: bytes | None
    reverse: bool


class Index:
    """All keyspaces."""

    def __init__(self, most_past: int) -> None:
        self.spaces: dict[bytes, Space] = {}
        self.usage: dict[int, Usage] = {}
        self.entries = 0
        self.seq = 0  # of the last batch that is in here
        self.views: list[View] = []  # open ones, oldest first
        self._most_past = most_past
        self._trail: deque[tuple[int, Space, bytes]] = deque()
        self._buckets: SortedDict[int, list[tuple[bytes, bytes]]] = SortedDict()
        self._timed = 0  # rows in the buckets, those overtaken included

    # --- one key

    def place(self, name: bytes, key: bytes) -> int | None:
        """Where the key's newest entry lies. Safe without the lock."""
        space = self.spaces.get(name)
        return None if space is None else space.live.get(key)

    def find(self, view: View, name: bytes, key: bytes) -> int | None:
        """Where the key's entry of that moment lies. Raises `SnapshotTooOld`."""
        self._check(view)
        space = self.spaces.get(name)
        return None if space is None else self._find(space, view, key)

    def has(self, name: bytes, key: bytes, now: int) -> bool:
        """Whether the key is live."""
        space = self.spaces.get(name)
        return space is not None and key in space.live and not 0 < space.expires.get(key, 0) <= now

    @staticmethod
    def _check(view: View) -> None:
        if view.lost:
            raise SnapshotTooOld("old versions that this snapshot needs were given up")

    @staticmethod
    def _find(space: Space, view: View, key: bytes) -> int | None:
        place = space.live.get(key)
        expires = space.expires.get(key, 0)
        if place is None or place >> SEQ > view.seq:
            for old in space.past.get(key, ()):
                if old.place >> SEQ <= view.seq < old.until:
                    place, expires = old.place, old.expires
                    break
            else:
                return None
        return None if 0 < expires <= view.now else place

    # --- many keys

    def look(self, seq: int, now: int) -> View:
        """Hold this moment."""
        view = View(seq, now)
        self.views.append(view)
        return view

    def leave(self, view: View) -> None:
        """Let a moment go. Twice is once."""
        if view in self.views:
            self.views.remove(view)
        view.pinned.clear()
        self.prune(SCAN_KEYS)

    def chunk(self, view: View, name: bytes, within: Range, most: int = SCAN_KEYS
              ) -> tuple[list[tuple[bytes, int]], Range | None]:
        """The first keys of a range with their places, and the range that is left (None: nothing is).

        Raises `SnapshotTooOld`.
        """
        self._check(view)
        space = self.spaces.get(name)
        if space is None:
            return [], None
        keys = self._keys(space, within, most)
        found = [(key, place) for key in keys if (place := self._find(space, view, key)) is not None]
        if len(keys) < most:
            return found, None
        last = keys[-1]
        left = within._replace(stop=last) if within.reverse else within._replace(start=last + b"\0")
        return found, left

    @staticmethod
    def _keys(space: Space, within: Range, most: int) -> list[bytes]:
        """The first keys of a range, live ones and those that only old versions know."""
        some: list[bytes] = []
        for among in (space.order, space.ghosts):
            if among:
                found = among.irange(within.start, within.stop, (True, False), reverse=within.reverse)
                some.extend(key for key, _ in zip(found, range(most), strict=False))
        if space.ghosts:
            some.sort(reverse=within.reverse)
        return some[:most]

    # --- changes

    def put(self, entry: Entry, segment: int) -> None:
        """Take in a put that is newer than all that is there."""
        space = self.spaces.get(entry.name)
        if space is None:
            space = self.spaces[entry.name] = Space()
        key = entry.key
        place = pack(entry.seq, segment, entry.offset, entry.length)
        old = space.live.get(key)
        if old is None:
            space.order.add(key)
            if space.ghosts:
                space.ghosts.discard(key)
            self.entries += 1
        else:
            self._retire(space, key, old, entry.seq)
        space.live[key] = place
        if entry.expires:
            space.expires[key] = entry.expires
            self._time(entry.expires, entry.name, key)
        elif space.expires:
            space.expires.pop(key, None)
        self._use(segment, entry.length)

    def delete(self, name: bytes, key: bytes, seq: int) -> None:
        """Take a key away, as batch `seq` does."""
        space = self.spaces.get(name)
        old = space.live.get(key) if space else None
        if space is None or old is None:
            return
        self._retire(space, key, old, seq)
        del space.live[key]
        space.order.remove(key)
        space.expires.pop(key, None)
        self.entries -= 1
        if key in space.past:
            space.ghosts.add(key)

    def move(self, name: bytes, key: bytes, old: int, new: int) -> None:
        """Compaction put the entry elsewhere; nothing happens if it is not the newest any more."""
        space = self.spaces.get(name)
        if space is not None and space.live.get(key) == old:
            space.live[key] = new
            self._unuse(old)
            self._use(new >> SEGMENT & LOW, new & LOW)

    def _use(self, segment: int, length: int) -> None:
        usage = self.usage.get(segment)
        if usage is None:
            usage = self.usage[segment] = Usage()
        usage.entries += 1
        usage.bytes += length

    def _unuse(self, place: int) -> None:
        usage = self.usage[place >> SEGMENT & LOW]
        usage.entries -= 1
        usage.bytes -= place & LOW

    def _retire(self, space: Space, key: bytes, old: int, seq: int) -> None:
        """The live version is replaced by batch `seq`: keep it if an open view may ask for it."""
        self._unuse(old)
        if self.views and old >> SEQ <= self.views[-1].seq:
            # Before the newer one is in place: a reader that finds that must find this behind it.
            space.past.setdefault(key, []).append(_Old(old, space.expires.get(key, 0), seq))
            self._trail.append((seq, space, key))
            while len(self._trail) > self._most_past and self.views:
                self.give_up_oldest()
                self.prune(SCAN_KEYS)
        if self._trail:
            self.prune(2)

    def give_up_oldest(self) -> None:
        """Guards against memory and disk that an old snapshot would hold for ever."""
        view = self.views.pop(0)
        view.lost = True
        view.pinned.clear()

    def prune(self, most: int) -> None:
        """Drop up to so many old versions that no open view needs."""
        trail = self._trail
        oldest = self.views[0].seq if self.views else None
        while most > 0 and trail and (oldest is None or trail[0][0] <= oldest):
            _, space, key = trail.popleft()
            versions = space.past[key]
            del versions[0]
            if not versions:
                del space.past[key]
                space.ghosts.discard(key)
            most -= 1

    @property
    def kept(self) -> int:
        """Old versions in memory."""
        return len(self._trail)

    # --- times to live

    def _time(self, expires: int, name: bytes, key: bytes) -> None:
        self._buckets.setdefault(expires // BUCKET_MS, []).append((name, key))
        self._timed += 1
        lasting = sum(len(space.expires) for space in self.spaces.values())
        if self._timed > 2 * lasting + 10_000:
            self._rebuild_buckets()

    def _rebuild_buckets(self) -> None:
        """Guards against rows of entries that were overtaken before their time."""
        self._buckets.clear()
        for name, space in self.spaces.items():
            for key, expires in space.expires.items():
                self._buckets.setdefault(expires // BUCKET_MS, []).append((name, key))
        self._timed = sum(len(rows) for rows in self._buckets.values())

    def sweep(self, now: int, seq: int, most: int) -> int:
        """Drop up to `most` keys whose time is over; how many rows were looked at."""
        seen = 0
        while seen < most and self._buckets:
            bucket, rows = self._buckets.peekitem(0)
            if (bucket + 1) * BUCKET_MS > now:
                break
            while rows and seen < most:
                name, key = rows.pop()
                seen += 1
                if 0 < self.spaces[name].expires.get(key, 0) <= now:
                    # As if the next batch had deleted it: a view of now still finds it, unless it was over
                    # by then.
                    self.delete(name, key, seq + 1)
            if not rows:
                del self._buckets[bucket]
        self._timed -= seen
        return seen


class Loader:
    """Builds an index from entries in any order: of two entries of one key the newer counts."""

    def __init__(self) -> None:
        self._spaces: dict[bytes, dict[bytes, int]] = {}
        self._expires: dict[bytes, dict[bytes, tuple[int, int]]] = {}

    def add_block(self, block: Block, segment: int) -> None:
        """Take in a block of a hint."""
        there = self._spaces.setdefault(block.name, {})
        middle = segment << SEGMENT
        get = there.get
        for key, seq, offset, length in block.rows():
            place = seq << SEQ | middle | offset << OFFSET | length
            if (get(key) or 0) < place:
                there[key] = place
        if block.expires:
            lasting = self._expires.setdefault(block.name, {})
            times = memoryview(block.expires).cast("Q")
            for (key, seq, _, _), expires in zip(block.rows(), times, strict=True):
                if expires and lasting.get(key, (0, 0))[0] <= seq:
                    lasting[key] = (seq, expires)

    def add(self, some: Iterable[Entry], segment: int) -> None:
        """Take in entries of a segment."""
        for entry in some:
            there = self._spaces.setdefault(entry.name, {})
            place = pack(entry.seq, segment, entry.offset, 0 if entry.kind == DELETE else entry.length)
            if there.get(entry.key, 0) < place:
                there[entry.key] = place
                if entry.expires:
                    self._expires.setdefault(entry.name, {})[entry.key] = (entry.seq, entry.expires)

    def finish(self, index: Index, now: int) -> None:
        """Fill an empty index with what is live at time `now`."""
        for name, there in self._spaces.items():
            lasting = {key: expires for key, (seq, expires) in self._expires.get(name, {}).items()
                       if there[key] >> SEQ == seq}
            gone = [key for key, place in there.items() if not place & LOW]
            gone += [key for key, expires in lasting.items() if expires <= now]
            for key in gone:
                there.pop(key, None)
                lasting.pop(key, None)
            space = index.spaces[name] = Space()
            space.live, space.order, space.expires = there, SortedList(there), lasting
            index.entries += len(there)
            for place in there.values():
                index._use(place >> SEGMENT & LOW, place & LOW)
            for key, expires in lasting.items():
                index._time(expires, name, key)
        self._spaces, self._expires = {}, {}


def prefix_range(prefix: bytes) -> tuple[bytes, bytes | None]:
    """Start and stop of the keys that begin with `prefix`."""
    stem = prefix.rstrip(b"\xff")
    return prefix, (stem[:-1] + bytes((stem[-1] + 1,))) if stem else None
