"""Records and bytes: how batches lie in a segment file. Pure functions; nothing here opens a file.

A segment is a header and frames, one behind the other:

    segment  "ffstore\\n" version:u16 kind:u8 0:u8 segment:u32 store:u64 crc:u32                       28
    bytes frame    marker:4 length:u32 seq:u64 time:u64 synced:u32 chain:u32 body_crc:u32 crc:u32, body
    40 bytes entry    crc:u32 kind:u8 name:u8 key:u16 value:u32 seq:u64 expires:u64, name, key, value
    28 bytes

All numbers are little-endian; `length`, `name`, `key` and `value` count bytes; times are milliseconds.

Theory of operation:

- A frame is the unit that is whole or not there: a `BATCH` is one atomic batch and lies within one segment.
  What compaction keeps stands in `MOVED` frames, each entry with the sequence number that it had.
- `crc` covers the frame's header and through `body_crc` its body; both are CRC32C (Castagnoli), seeded with
  a salt made of the store's and the segment's number. So a value that contains a frame is never taken for
  one, nor is a frame of another file. CRC32C finds every two flipped bits in frames up to 256 MiB, a length
  field's among them (Koopman, "32-Bit Cyclic Redundancy Codes for Internet Applications", DSN 2002: Hamming
  distance 4 up to 2,147,483,615 bits; 6 up to 5,243, which a header stays under).
- `chain` is the `crc` of the frame before (of the segment's header for the first), as SQLite's WAL chains its
  checksums. It guards against bytes that a cut-off write left behind and that would fit in again.
- `synced` tells how much of this segment was durable when the frame was written. A frame that can't be read
  below that mark was durable once: that is damage. Above it, it is the torn tail of a crash.
- An entry has a CRC of its own, so that a value can be read and checked without the rest of its batch.
"""

from __future__ import annotations

import re
import struct
from collections.abc import Callable, Iterator
from typing import NamedTuple

from crc32c import crc32c

from flintfield.store.errors import Damaged, NewerFormat

VERSION = 1
MAGIC = b"ffstore\n"
LOG, COMPACTED = 1, 2  # kinds of segments
BATCH, MOVED, ORIGIN, END = b"\xffBAT", b"\xffMOV", b"\xffORG", b"\xffEND"  # kinds of frames
MARKERS = frozenset((BATCH, MOVED, ORIGIN, END))
_MARKER = re.compile(rb"\xff(?:BAT|MOV|ORG|END)")
PUT, DELETE = 1, 2  # kinds of entries
MOST_KEY = 1_024
MOST_NAME = 64
MOST_VALUE = 16 * 1024 * 1024
MOST_BODY = 64 * 1024 * 1024  # bytes of one frame's body; bounds what a reader holds in memory
WINDOW = 1024 * 1024  # bytes read ahead in a scan

_SEGMENT = struct.Struct("<8sHBBIQI")
_FRAME = struct.Struct("<4sIQQIIII")
_ENTRY = struct.Struct("<IBBHIQQ")
_CRC = struct.Struct("<I")
SEGMENT_HEAD, FRAME_HEAD, ENTRY_HEAD = _SEGMENT.size, _FRAME.size, _ENTRY.size

Read = Callable[[int, int], bytes]  # (size, offset): the bytes that are there, fewer only at the end


class Operation(NamedTuple):
    """One change of one key. `expires` is a time of the store's clock in ms, 0 for never."""

    kind: int
    name: bytes
    key: bytes
    value: bytes
    expires: int


class Entry(NamedTuple):
    """An operation as it lies in a segment: `offset` and `length` are those of the whole entry."""

    kind: int
    name: bytes
    key: bytes
    seq: int
    expires: int
    offset: int
    length: int


class Frame(NamedTuple):
    """A whole frame: `start` is the offset of its header, `end` that of the byte behind its body."""

    kind: bytes
    start: int
    end: int
    seq: int
    time: int
    synced: int
    crc: int
    body: bytes


class SegmentHead(NamedTuple):
    """What a segment file says of itself; `crc` begins its chain."""

    kind: int
    segment: int
    store: int
    crc: int


class Stop(NamedTuple):
    """Where a scan ended and why; `why` is empty at the end of the file."""

    offset: int
    why: str


def salt_of(store: int, segment: int) -> int:
    """The seed of all checksums of frames in this segment."""
    return crc32c(struct.pack("<QI", store, segment))


def encode_segment_head(kind: int, segment: int, store: int) -> bytes:
    """The first bytes of a segment file."""
    head = _SEGMENT.pack(MAGIC, VERSION, kind, 0, segment, store, 0)[:-4]
    return head + _CRC.pack(crc32c(head))


def decode_segment_head(file: str, data: bytes) -> SegmentHead:
    """Read a segment's header. Raises `Damaged`, `NewerFormat`."""
    if len(data) < SEGMENT_HEAD:
        raise Damaged(file, len(data), "the file ends within the segment's header")
    magic, version, kind, _, segment, store, crc = _SEGMENT.unpack_from(data)
    if magic != MAGIC or crc != crc32c(data[:SEGMENT_HEAD - 4]):
        raise Damaged(file, 0, "the segment's header fails its checksum")
    if version > VERSION:
        raise NewerFormat(file, version, VERSION)
    return SegmentHead(kind, segment, store, crc)


def encode_entry(operation: Operation, seq: int) -> bytes:
    """One entry, with its checksum."""
    kind, name, key, value, expires = operation
    head = _ENTRY.pack(0, kind, len(name), len(key), len(value), seq, expires)
    rest = b"".join((head[4:], name, key, value))
    return _CRC.pack(crc32c(rest)) + rest


def entry_size(operation: Operation) -> int:
    """Bytes that the entry takes."""
    return ENTRY_HEAD + len(operation.name) + len(operation.key) + len(operation.value)


def encode_frame(kind: bytes, body: bytes, seq: int, time: int, synced: int, chain: int, salt: int
                 ) -> tuple[bytes, int]:
    """A frame, and its `crc`, which is the chain of the next."""
    head = _FRAME.pack(kind, len(body), seq, time, synced, chain, crc32c(body, salt), 0)[:-4]
    crc = crc32c(head, salt)
    return b"".join((head, _CRC.pack(crc), body)), crc


def entries(frame: Frame) -> Iterator[Entry]:
    """The entries of a `BATCH` or `MOVED` frame, in order."""
    body, base, at = frame.body, frame.start + FRAME_HEAD, 0
    while at < len(body):
        _, kind, name, key, value, seq, expires = _ENTRY.unpack_from(body, at)
        middle = at + ENTRY_HEAD + name
        end = middle + key
        length = end + value - at
        yield Entry(kind, body[middle - name:middle], body[middle:end], seq, expires, base + at, length)
        at += length


def decode_entry(data: bytes) -> tuple[Operation, int] | None:
    """One whole entry and its sequence number; None if it fails its checksum."""
    if len(data) < ENTRY_HEAD:
        return None
    crc, kind, name, key, value, seq, expires = _ENTRY.unpack_from(data)
    middle = ENTRY_HEAD + name
    end = middle + key
    if end + value != len(data) or crc != crc32c(memoryview(data)[4:]):
        return None
    return Operation(kind, data[ENTRY_HEAD:middle], data[middle:end], data[end:], expires), seq


def whole_entries(frame_body: bytes) -> Iterator[tuple[Operation, int]]:
    """The entries of a body that failed its checksum which are whole themselves, each with its sequence
    number."""
    at = 0
    while at + ENTRY_HEAD <= len(frame_body):
        _, _, name, key, value, _, _ = _ENTRY.unpack_from(frame_body, at)
        end = at + ENTRY_HEAD + name + key + value
        found = decode_entry(frame_body[at:end])
        if found is not None:
            yield found
        at = end


class Scan:
    """Goes through the frames of a segment in order; `stop` then tells where it ended and why.

    `read` gives the file's bytes; `chain` is the `crc` that the first frame must build on. Memory: one
    window, or one frame if that is larger.
    """

    def __init__(self, read: Read, size: int, start: int, chain: int, salt: int) -> None:
        self._read, self._size, self._salt = read, size, salt
        self._at, self._chain = start, chain
        self._window, self._base = b"", start
        self.stop = Stop(start, "")

    def _bytes(self, offset: int, size: int) -> bytes:
        inside = offset - self._base
        if inside + size > len(self._window):
            self._window, self._base, inside = self._read(max(size, WINDOW), offset), offset, 0
        return self._window[inside:inside + size]

    def __iter__(self) -> Iterator[Frame]:
        while self._at < self._size:
            found = self._frame(self._at)
            if isinstance(found, str):
                self.stop = Stop(self._at, found)
                return
            self._at, self._chain = found.end, found.crc
            self.stop = Stop(self._at, "")
            yield found

    @property
    def chain(self) -> int:
        """The `crc` of the last whole frame."""
        return self._chain

    def _follows(self, chain: int) -> bool:
        return chain == self._chain

    def _frame(self, at: int) -> Frame | str:
        head = self._bytes(at, FRAME_HEAD)
        if len(head) < FRAME_HEAD:
            return "the file ends within a frame's header"
        marker, length, seq, time, synced, chain, body_crc, crc = _FRAME.unpack(head)
        if not is_whole(head[:-4], crc, self._salt) or marker not in MARKERS or length > MOST_BODY:
            return "a frame's header fails its checksum"
        if not self._follows(chain):
            return "a frame does not follow the one before it"
        body = self._bytes(at + FRAME_HEAD, length)
        if len(body) < length:
            return "the file ends within a frame"
        if not is_whole(body, body_crc, self._salt):
            return "a frame's body fails its checksum"
        return Frame(marker, at, at + FRAME_HEAD + length, seq, time, synced, crc, body)


def is_whole(data: bytes, crc: int, salt: int) -> bool:
    """Whether the bytes have this checksum."""
    return crc32c(data, salt) == crc


def last_crc(head: bytes, salt: int) -> int | None:
    """The `crc` that a frame's header ends in, if the header is whole."""
    if len(head) < FRAME_HEAD:
        return None
    crc: int = _CRC.unpack_from(head, FRAME_HEAD - 4)[0]
    return crc if is_whole(head[:FRAME_HEAD - 4], crc, salt) else None


class Piece(NamedTuple):
    """A stretch of a damaged segment: a whole frame, or a `body` of a `kind` that is not whole, or
    neither."""

    start: int
    end: int
    frame: Frame | None
    kind: bytes
    body: bytes


def pieces(data: bytes, salt: int, start: int) -> Iterator[Piece]:
    """All that can be told of a segment with damage: whole frames, and what lies between them, in order.

    Takes the chain for nothing, for a link of it may be missing. `data` is the whole file.
    """
    at = lost = start
    while at + FRAME_HEAD <= len(data):
        head = data[at:at + FRAME_HEAD]
        marker, length, seq, time, synced, _, body_crc, crc = _FRAME.unpack(head)
        end = at + FRAME_HEAD + length
        if marker not in MARKERS or not is_whole(head[:-4], crc, salt):
            found = _MARKER.search(data, at + 1)
            at = found.start() if found else len(data)
            continue
        if lost < at:
            yield Piece(lost, at, None, b"", b"")
        body = data[at + FRAME_HEAD:end]
        whole = len(body) == length and is_whole(body, body_crc, salt)
        frame = Frame(marker, at, end, seq, time, synced, crc, body) if whole else None
        yield Piece(at, min(end, len(data)), frame, marker, b"" if whole else body)
        at = lost = min(end, len(data))
    if lost < len(data):
        yield Piece(lost, len(data), None, b"", b"")


def highest_synced(data: bytes, salt: int, start: int) -> int:
    """The highest `synced` that any whole frame of a stretch claims; 0 if there is none."""
    return max((piece.frame.synced for piece in pieces(data, salt, start) if piece.frame), default=0)
