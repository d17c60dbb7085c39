"""Hint files: where the entries of a segment lie, so that opening reads no values. Pure.

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
from itertools import repeat
from typing import TypeVar

import msgspec
from crc32c import crc32c

from flintfield.store.format import DELETE, SEGMENT_HEAD, Entry
from flintfield.store.manifest import Sealed

BLOCK = 1_024  # entries in one block: about 3 ms to make, 1 ms to read
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
    """Entries of one keyspace by key, overtaken ones too; columns are arrays.

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


    def times(self) -> Iterable[int]:
        """When each entry expires."""
        return array("Q", self.expires) if self.expires else repeat(0, len(self.keys))


class Torn(Exception):
    """A hint file is not as it was written."""


class HintFile:
    """The content of a hint file, read block by block. Raises `Torn` if its head is not whole."""

    def __init__(self, data: bytes) -> None:
        if not data.startswith(_MAGIC):
            raise Torn
        self._data = data
        self.head, self._begin = _decode_block(data, len(_MAGIC), Of)

    def blocks(self) -> Iterator[Block]:
        """The blocks, in order; what was yielded is right whatever follows. Raises `Torn`."""
        at = self._begin
        for _ in range(self.head.blocks):
            block, at = _decode_block(self._data, at, Block)
            yield block
        if at != len(self._data):
            raise Torn


class _Columns:
    """Entries of one keyspace."""

    __slots__ = ("expires", "keys", "lengths", "offsets", "seqs")

    def __init__(self) -> None:
        self.keys: list[bytes] = []
        self.seqs, self.expires = array("Q"), array("Q")
        self.offsets, self.lengths = array("I"), array("I")

    def block(self, name: bytes, start: int, stop: int) -> Block:
        """Some of them, by key."""
        order = sorted(range(start, min(stop, len(self.keys))), key=self.keys.__getitem__)
        expires = array("Q", [self.expires[row] for row in order])
        return Block(name, [self.keys[row] for row in order],
                     array("Q", [self.seqs[row] for row in order]).tobytes(),
                     array("I", [self.offsets[row] for row in order]).tobytes(),
                     array("I", [self.lengths[row] for row in order]).tobytes(),
                     expires.tobytes() if any(expires) else b"")


class Roster:
    """All entries of a segment in the making, overtaken ones too: about 90 bytes each. `last`: its last
    frame."""

    def __init__(self) -> None:
        self._spaces: dict[bytes, _Columns] = {}
        self.last = SEGMENT_HEAD

    def add(self, some: Iterable[Entry]) -> None:
        """Take entries in, in the order of the segment."""
        for kind, name, key, seq, expires, offset, length in some:
            columns = self._spaces.get(name)
            if columns is None:
                columns = self._spaces[name] = _Columns()
            columns.keys.append(key)
            columns.seqs.append(seq)
            columns.expires.append(expires)
            columns.offsets.append(offset)
            columns.lengths.append(0 if kind == DELETE else length)

    def add_block(self, block: Block) -> None:
        """Take in what a hint told."""
        columns = self._spaces.setdefault(block.name, _Columns())
        columns.keys.extend(block.keys)
        columns.seqs.frombytes(block.seqs)
        columns.offsets.frombytes(block.offsets)
        columns.lengths.frombytes(block.lengths)
        columns.expires.extend(block.times())

    def rows(self, name: bytes) -> Iterator[tuple[bytes, int, int, int]]:
        """(key, seq, offset, length) of a keyspace's entries, in the order in which they were added."""
        columns = self._spaces[name]
        return zip(columns.keys, columns.seqs, columns.offsets, columns.lengths, strict=True)

    def blocks(self) -> Iterator[bytes]:
        """The blocks of its hint."""
        for name, columns in self._spaces.items():
            for at in range(0, len(columns.keys), BLOCK):
                yield encode_block(columns.block(name, at, at + BLOCK))


def encode_head(head: Of) -> bytes:
    """The first bytes of a hint file."""
    return _MAGIC + encode_block(head)


def encode_block(block: Of | Block) -> bytes:
    """A block's bytes in the file."""
    body = msgspec.msgpack.encode(block)
    return _BLOCK.pack(len(body), crc32c(body)) + body


def _decode_block(data: bytes, at: int, kind: type[Kind]) -> tuple[Kind, int]:
    """A block, and where the next begins. Raises `Torn`."""
    if at + _BLOCK.size > len(data):
        raise Torn
    length, crc = _BLOCK.unpack_from(data, at)
    body = memoryview(data)[at + _BLOCK.size:at + _BLOCK.size + length]
    if len(body) < length or crc != crc32c(body):
        raise Torn
    try:
        return msgspec.msgpack.decode(body, type=kind), at + _BLOCK.size + length
    except msgspec.MsgspecError as error:
        raise Torn from error
