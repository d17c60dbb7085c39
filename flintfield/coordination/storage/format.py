"""The bytes of a segment: a header, then frames that are chained by checksum. Pure functions.

    segment  magic 8 | sequence 8 | life 8 | life of predecessor 8 | chain of predecessor 4 | flags 1 | crc 4
    frame    life 8 | length of payload 4 | flags 1 | crc 4 | payload
    payload  entries: length of key 2 | length of value 4 (all ones: deleted) | key | value

All numbers are little-endian. `life` is a random number that is drawn each time a file is taken into use,
so that frames of the file's earlier uses are told apart. The crc of a frame covers its header and payload
and is seeded with the crc of the frame before it (for the first: of the segment's header), as in SQLite's
write-ahead log: a frame is valid only as the successor of exactly those before it. A segment names the life
and the last crc of the one that it continues; both are 0 where it begins a new chain.
"""

from __future__ import annotations

import enum
import struct
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from flintfield.coordination.storage.interface import Change

MAGIC = b"FFRING01"
LARGEST_KEY = 0xFFFE  # bytes, by the width of its length

_SEGMENT = struct.Struct("<8sQQQIB")
_FRAME = struct.Struct("<QIB")
_CRC = struct.Struct("<I")
_ENTRY = struct.Struct("<HI")
_DELETED = 0xFFFFFFFF

SEGMENT_HEADER_BYTES = _SEGMENT.size + _CRC.size
FRAME_HEADER_BYTES = _FRAME.size + _CRC.size
ENTRY_HEADER_BYTES = _ENTRY.size


class SegmentFlag(enum.IntFlag):
    """What is special about a segment."""

    NONE = 0
    SNAPSHOT_STARTS = 1  # a replay may begin here, if the snapshot's end is found after it


class FrameFlag(enum.IntFlag):
    """What is special about a frame."""

    NONE = 0
    SNAPSHOT_ENDS = 1  # with this frame, the log holds all items since the snapshot's start


@dataclass(frozen=True, slots=True)
class SegmentHeader:
    """The head of a segment. `sequence` rises with each file that is taken into use."""

    sequence: int
    life: int
    previous_life: int
    previous_chain: int
    flags: SegmentFlag


@dataclass(frozen=True, slots=True)
class Frame:
    """One group of changes, and the chain's crc after it."""

    entries: list[Change]
    flags: FrameFlag
    chain: int


def entry_bytes(key: bytes, value: bytes | None) -> int:
    """The encoded size of one change."""
    return ENTRY_HEADER_BYTES + len(key) + (len(value) if value is not None else 0)


def encode_segment(header: SegmentHeader) -> tuple[bytes, int]:
    """The bytes of a header, and the chain's crc after it."""
    head = _SEGMENT.pack(
        MAGIC, header.sequence, header.life, header.previous_life, header.previous_chain, header.flags
    )
    chain = zlib.crc32(head)
    return head + _CRC.pack(chain), chain


def decode_segment(data: bytes) -> tuple[SegmentHeader, int] | None:
    """The header at the start of these bytes and the chain's crc after it; None where there is none."""
    if len(data) < SEGMENT_HEADER_BYTES:
        return None
    magic, sequence, life, previous_life, previous_chain, flags = _SEGMENT.unpack_from(data)
    (chain,) = _CRC.unpack_from(data, _SEGMENT.size)
    if magic != MAGIC or chain != zlib.crc32(data[: _SEGMENT.size]):
        return None
    return SegmentHeader(sequence, life, previous_life, previous_chain, SegmentFlag(flags)), chain


def encode_frame(entries: Iterable[Change], flags: FrameFlag, life: int, chain: int) -> tuple[bytes, int]:
    """The bytes of a frame that follows that chain, and the chain's crc after it."""
    parts = []
    for key, value in entries:
        parts.append(_ENTRY.pack(len(key), _DELETED if value is None else len(value)))
        parts.append(key)
        if value is not None:
            parts.append(value)
    payload = b"".join(parts)
    head = _FRAME.pack(life, len(payload), flags)
    chain = zlib.crc32(payload, zlib.crc32(head, chain))
    return b"".join((head, _CRC.pack(chain), payload)), chain


def decode_frames(data: bytes, life: int, chain: int) -> Iterator[Frame]:
    """The frames of a segment, up to the first that is not the valid successor of those before it."""
    at = SEGMENT_HEADER_BYTES
    while at + FRAME_HEADER_BYTES <= len(data):
        head_end = at + _FRAME.size
        own_life, length, flags = _FRAME.unpack_from(data, at)
        (crc,) = _CRC.unpack_from(data, head_end)
        start = at + FRAME_HEADER_BYTES
        end = start + length
        if own_life != life or end > len(data):
            return
        payload = data[start:end]
        chain = zlib.crc32(payload, zlib.crc32(data[at:head_end], chain))
        if crc != chain:
            return
        yield Frame(_entries(payload), FrameFlag(flags), chain)
        at = end


def _entries(payload: bytes) -> list[Change]:
    entries: list[Change] = []
    at, end = 0, len(payload)
    while at < end:
        key_length, value_length = _ENTRY.unpack_from(payload, at)
        at += ENTRY_HEADER_BYTES
        key = payload[at : at + key_length]
        at += key_length
        if value_length == _DELETED:
            entries.append((key, None))
            continue
        entries.append((key, payload[at : at + value_length]))
        at += value_length
    return entries
