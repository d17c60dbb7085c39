"""Hint files: where each key's last entry of a segment lies, so that opening reads no values. Pure.

A hint is a help and never the truth: one that is torn, old or missing is left out and its segment read
instead, so it is written without sync.

    hint   "ffhint1\\n", blocks; the first block is `Of`, the others are `Block`
    block  length:u32 crc:u32, msgpack

Blocks are small, so that nobody holds the interpreter for long over one. Columns are little-endian, as are
the machines this runs on.
"""

from __future__ import annotations

import struct
from array import array
from collections.abc import Iterable, Iterator
from typing import NamedTuple, TypeVar

import msgspec
from crc32c import crc32c

from flintfield.store.format import DELETE, Entry
from flintfield.store.manifest import Sealed

BLOCK = 4_096  # entries in one block: about 1 ms to read or write
_BLOCK = struct.Struct("<II")
_MAGIC = b"ffhint1\n"
Kind = TypeVar("Kind", "Of", "Block")


class Of(msgspec.Struct, array_like=True, frozen=True):
    """What a hint stands for: the segment as it was at `of.length` bytes, when its last frame began at
    `last`."""

    of: Sealed
    last: int
    blocks: int


class Block(msgspec.Struct, array_like=True, frozen=True):
    """Entries of one keyspace by key; columns are arrays.

    `lengths` is 0 for a delete; `expires` is empty if nothing here expires.
    """

    name: bytes
    keys: list[bytes]
    seqs: bytes
    offsets: bytes
    lengths: bytes
    expires: bytes

    def rows(self) -> Iterator[tuple[bytes, int, int, int]]:
        """(key, seq, offset, length) of each entry."""
        columns = array("Q", self.seqs), array("I", self.offsets), array("I", self.lengths)
        return zip(self.keys, *columns, strict=True)


class Hint(NamedTuple):
    """A hint file that was read whole."""

    head: Of
    blocks: list[Block]


def block_of(name: bytes, some: Iterable[Entry]) -> Block:
    """A block of entries of one keyspace, each key once."""
    rows = sorted(some, key=lambda entry: entry.key)
    expires = array("Q", [row.expires for row in rows])
    return Block(name, [row.key for row in rows], array("Q", [row.seq for row in rows]).tobytes(),
                 array("I", [row.offset for row in rows]).tobytes(),
                 array("I", [0 if row.kind == DELETE else row.length for row in rows]).tobytes(),
                 expires.tobytes() if any(expires) else b"")


def encode_head(head: Of) -> bytes:
    """The first bytes of a hint file."""
    return _MAGIC + encode_block(head)


def encode_block(block: Of | Block) -> bytes:
    """A block's bytes in the file."""
    body = msgspec.msgpack.encode(block)
    return _BLOCK.pack(len(body), crc32c(body)) + body


def decode_hint(data: bytes) -> Hint | None:
    """Read a hint file; None if any byte of it is not as it was written."""
    if not data.startswith(_MAGIC):
        return None
    first = _decode_block(data, len(_MAGIC), Of)
    if first is None:
        return None
    head, at = first
    blocks = []
    for _ in range(head.blocks):
        found = _decode_block(data, at, Block)
        if found is None:
            return None
        blocks.append(found[0])
        at = found[1]
    return Hint(head, blocks) if at == len(data) else None


def _decode_block(data: bytes, at: int, kind: type[Kind]) -> tuple[Kind, int] | None:
    if at + _BLOCK.size > len(data):
        return None
    length, crc = _BLOCK.unpack_from(data, at)
    body = memoryview(data)[at + _BLOCK.size:at + _BLOCK.size + length]
    if len(body) < length or crc != crc32c(body):
        return None
    try:
        return msgspec.msgpack.decode(body, type=kind), at + _BLOCK.size + length
    except msgspec.MsgspecError:
        return None
