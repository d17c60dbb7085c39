"""The manifest: which segment files are the store. Pure: bytes to values and back.

It is one file, replaced whole under another name and renamed, so that it is old or new and never half. Two
lines, for eyes too: a JSON object, and the CRC32C of that line. Every later format keeps the two lines and
`format`, so that a program that is too old can say so.

A segment that the manifest does not name is not part of the store: a new one before its first batch, or
what a compaction had not finished or not yet removed.
"""

from __future__ import annotations

import msgspec
from crc32c import crc32c

from flintfield.store.errors import Damaged, NewerFormat
from flintfield.store.format import VERSION

MANIFEST, NEXT_MANIFEST, LOCK = "MANIFEST", "MANIFEST.new", "LOCK"
SEGMENT_END, HINT_END = ".seg", ".hint"


def segment_name(segment: int) -> str:
    """The file of a segment."""
    return f"{segment:08}{SEGMENT_END}"


def hint_name(segment: int) -> str:
    """The file that tells what a segment holds."""
    return f"{segment:08}{HINT_END}"


class Sealed(msgspec.Struct, frozen=True):
    """A segment that is written no more and durable whole. Lengths in bytes.

    `chain` is the `crc` of its last frame; `puts` and `deletes` count entries, `lasting` the puts that have
    a time to live; `heads` is the size of deletes and lasting puts without their values: what may have to
    stay as deletes.
    """

    segment: int
    kind: int
    length: int
    chain: int
    least_seq: int = 0
    most_seq: int = 0
    puts: int = 0
    deletes: int = 0
    lasting: int = 0
    heads: int = 0


class Manifest(msgspec.Struct, frozen=True):
    """All that a store is made of.

    `active` is the segment that batches go to; its first `synced` bytes are durable for sure. `time` is the
    store's clock when this was written, in ms; `seq` a sequence number that is used up. `aside` names files
    that repair took out of use and left for eyes.
    """

    format: int
    store: int
    next_segment: int
    active: int
    synced: int
    seq: int
    time: int
    sealed: tuple[Sealed, ...] = ()
    aside: tuple[str, ...] = ()


class _Format(msgspec.Struct):
    format: int


def encode_manifest(manifest: Manifest) -> bytes:
    """The file's content."""
    line = msgspec.json.encode(manifest) + b"\n"
    return line + b"crc32c=%08x\n" % crc32c(line)


def decode_manifest(data: bytes) -> Manifest:
    """Read it. Raises `Damaged`, `NewerFormat`."""
    line, end, rest = data.partition(b"\n")
    line += end
    if rest != b"crc32c=%08x\n" % crc32c(line):
        raise Damaged(MANIFEST, 0, "the manifest fails its checksum")
    try:
        found: _Format = msgspec.json.decode(line, type=_Format)
        if found.format > VERSION:
            raise NewerFormat(MANIFEST, found.format, VERSION)
        return msgspec.json.decode(line, type=Manifest)
    except msgspec.MsgspecError as error:
        raise Damaged(MANIFEST, 0, f"the manifest can't be read: {error}") from error
