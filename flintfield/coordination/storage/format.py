"""Encoding of a segment: a header, then frames that are chained by checksum. All functions are pure.

    segment  magic 8 | sequence 8 | life 8 | life of predecessor 8 | chain of predecessor 4 | flags 1 | crc 4
    frame    life 8 | length of payload 4 | flags 1 | crc 4 | payload
    payload  entries: length of key 2 | length of value 4 (all ones: deleted) | key | value

All numbers are little-endian. `life` is a random number drawn each time a file is reused, which distinguishes
the frames of this use from those of earlier uses. The crc of a frame covers its header and payload and is
seeded with the crc of the preceding frame (of the segment header for the first frame), as in SQLite's
write-ahead log: a frame is valid only after exactly the frames that precede it. A segment header stores the
life and the last crc of the segment that it continues; both are 0 in the first segment of a new chain.
"""

from __future__ import annotations

import enum
import struct
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from flintfield.coordination.storage.interface import Change

MAGIC = b"FFRING01"
MAX_KEY_BYTES = 0xFFFE  # limited by the 2-byte length field

_SEGMENT = struct.Struct("<8sQQQIB")
_FRAME = struct.Struct("<QIB")
_CRC = struct.Struct("<I")
_ENTRY = struct.Struct("<HI")
_DELETED = 0xFFFFFFFF

SEGMENT_HEADER_BYTES = _SEGMENT.size + _CRC.size
FRAME_HEADER_BYTES = _FRAME.size + _CRC.size
ENTRY_HEADER_BYTES = _ENTRY.size


class SegmentFlag(enum.IntFlag):
    """Flags in a segment header."""

    NONE = 0
    SNAPSHOT_STARTS = 1  # replay may start here if the end of the snapshot follows


class FrameFlag(enum.IntFlag):
    """Flags in a frame header."""

    NONE = 0
    SNAPSHOT_ENDS = 1  # up to this frame, the log holds all items since the start of the snapshot


@dataclass(frozen=True, slots=True)
class SegmentHeader:
    """The header of a segment. `sequence` increases each time a file is put into use."""

    sequence: int
    life: int
    previous_life: int
    previous_chain: int
    flags: SegmentFlag


@dataclass(frozen=True, slots=True)
class Frame:
    """One group of changes and the crc of the chain after it."""

    entries: list[Change]
    flags: FrameFlag
    chain: int


def entry_bytes(key: bytes, value: bytes | None) -> int:
    """The encoded size of one change."""
    return ENTRY_HEADER_BYTES + len(key) + (len(value) if value is not None else 0)


def encode_segment(header: SegmentHeader) -> tuple[bytes, int]:
    """Return the encoded header and the crc of the chain after it."""
    packed_fields = _SEGMENT.pack(
        MAGIC, header.sequence, header.life, header.previous_life, header.previous_chain, header.flags
    )
    chain = zlib.crc32(packed_fields)
    return packed_fields + _CRC.pack(chain), chain


def decode_segment(data: bytes) -> tuple[SegmentHeader, int] | None:
    """Return the header at the start of `data` and the crc of the chain after it; None if it is invalid."""
    if len(data) < SEGMENT_HEADER_BYTES:
        return None
    magic, sequence, life, previous_life, previous_chain, flags = _SEGMENT.unpack_from(data)
    (chain,) = _CRC.unpack_from(data, _SEGMENT.size)
    if magic != MAGIC or chain != zlib.crc32(data[: _SEGMENT.size]):
        return None
    return SegmentHeader(sequence, life, previous_life, previous_chain, SegmentFlag(flags)), chain


def encode_frame(entries: Iterable[Change], flags: FrameFlag, life: int, chain: int) -> tuple[bytes, int]:
    """Return the encoded frame, whose preceding crc is `chain`, and the crc of the chain after it."""
    parts = []
    for key, value in entries:
        parts.append(_ENTRY.pack(len(key), _DELETED if value is None else len(value)))
        parts.append(key)
        if value is not None:
            parts.append(value)
    payload = b"".join(parts)
    packed_fields = _FRAME.pack(life, len(payload), flags)
    chain = zlib.crc32(payload, zlib.crc32(packed_fields, chain))
    return b"".join((packed_fields, _CRC.pack(chain), payload)), chain


def decode_frames(data: bytes, life: int, chain: int) -> Iterator[Frame]:
    """Yield the frames of a segment up to the first that is not a valid successor of the one before."""
    offset = SEGMENT_HEADER_BYTES
    while offset + FRAME_HEADER_BYTES <= len(data):
        header_end = offset + _FRAME.size
        frame_life, length, flags = _FRAME.unpack_from(data, offset)
        (crc,) = _CRC.unpack_from(data, header_end)
        payload_start = offset + FRAME_HEADER_BYTES
        payload_end = payload_start + length
        if frame_life != life or payload_end > len(data):
            return
        payload = data[payload_start:payload_end]
        chain = zlib.crc32(payload, zlib.crc32(data[offset:header_end], chain))
        if crc != chain:
            return
        yield Frame(_entries(payload), FrameFlag(flags), chain)
        offset = payload_end


def _entries(payload: bytes) -> list[Change]:
    entries: list[Change] = []
    offset, payload_end = 0, len(payload)
    while offset < payload_end:
        key_length, value_length = _ENTRY.unpack_from(payload, offset)
        offset += ENTRY_HEADER_BYTES
        key = payload[offset : offset + key_length]
        offset += key_length
        if value_length == _DELETED:
            entries.append((key, None))
            continue
        entries.append((key, payload[offset : offset + value_length]))
        offset += value_length
    return entries
