"""Frames: how a stream of bytes is cut into messages. No I/O.

A frame is a little-endian header (length u32 of everything after the length field, kind u8, correlation id
u32) and the bytes of one record. A frame above `MAX_FRAME_BYTES`, below the header's size, or of an unknown
kind leaves no way to find the next one: the stream is given up.
"""

from __future__ import annotations

import enum
import struct
from collections.abc import Iterator
from typing import Any

from flintfield.transport.records import encode_into

MAX_FRAME_BYTES = 8 * 1024 * 1024  # a whole state of a replica fits; a peer can't make us hold more
LENGTH = struct.Struct("<I")
HEADER = struct.Struct("<IBI")
MIN_LENGTH = HEADER.size - LENGTH.size


class FrameKind(enum.IntEnum):
    """What the receiver is to do with a frame."""

    REQUEST = 1
    REPLY = 2
    ONE_WAY = 3
    FAILURE = 4


REQUEST, REPLY, ONE_WAY, FAILURE = (int(kind) for kind in FrameKind)  # plain numbers are cheaper to compare


_EMPTY_HEADER = bytes(HEADER.size)


class MalformedFrame(ValueError):
    """The bytes are no frame, or one that is too large."""


class OversizedMessage(ValueError):
    """A message that does not fit into the largest frame."""


class FrameWriter:
    """Collects frames until they are taken to be sent together."""

    __slots__ = ("waiting",)

    def __init__(self) -> None:
        self.waiting = bytearray()

    def append(self, kind: int, number: int, message: Any) -> None:
        """Append a frame; raises `OversizedMessage`, or what the codec raises, and leaves nothing behind."""
        out = self.waiting
        start = len(out)
        out += _EMPTY_HEADER
        try:
            encode_into(message, out)
            length = len(out) - start - LENGTH.size
            if length > MAX_FRAME_BYTES:
                raise OversizedMessage(f"a message of {length} bytes is above the largest frame")
        except BaseException:
            del out[start:]
            raise
        HEADER.pack_into(out, start, length, kind, number)

    def take(self) -> bytearray:
        """All that waits, which waits no more."""
        out, self.waiting = self.waiting, bytearray()
        return out


class FrameReader:
    """Collects bytes and yields whole frames as (kind, correlation id, record)."""

    __slots__ = ("_pending", "_wanted")

    def __init__(self) -> None:
        self._pending = bytearray()
        self._wanted = HEADER.size

    def feed(self, data: bytes) -> Iterator[tuple[int, int, memoryview]]:
        """Take in received bytes; raises `MalformedFrame`, after which the reader must not be used again.

        A record is a view that is good until the iterator is advanced.
        """
        if self._pending:
            self._pending += data
            if len(self._pending) < self._wanted:
                return
            data = bytes(self._pending)
            self._pending = bytearray()
        size, at = len(data), 0
        view = memoryview(data)
        while size - at >= HEADER.size:
            length, kind, number = HEADER.unpack_from(data, at)
            _check(length, kind)
            end = at + LENGTH.size + length
            if end > size:
                break
            yield kind, number, view[at + HEADER.size : end]
            at = end
        if at < size:
            self._keep(data, at)

    def _keep(self, data: bytes, at: int) -> None:
        self._pending += memoryview(data)[at:]
        self._wanted = HEADER.size
        if len(self._pending) >= HEADER.size:
            self._wanted = LENGTH.size + LENGTH.unpack_from(self._pending)[0]


def _check(length: int, kind: int) -> None:
    if not MIN_LENGTH <= length <= MAX_FRAME_BYTES:
        raise MalformedFrame(f"a frame of {length} bytes")
    if not REQUEST <= kind <= FAILURE:
        raise MalformedFrame(f"a frame of kind {kind}")
