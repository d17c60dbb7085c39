"""The record that the configuration register holds.

The document is packed (RFC 1950) where that makes it shorter, for links may be as narrow as 2 Mbit/s. A JSON
object begins with "{", a packed one never does. It is packed in pieces that don't build on one another, cut
where the content says so: what a change leaves as it was is packed into the same bytes as before, wherever it
stands, and the difference to the value before is short (`coordination.delta`).
"""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass, replace

from flintfield.control.configuration import Configuration, from_document
from flintfield.transport import records

FORMAT = 2  # a higher one was written by a later release, and is not read; 1 had no packed documents
PACK_LEVEL = 6  # zlib's default; a document of 10 kB takes less than 1 ms
ITEM_END = b"},"  # of an item of a list
ITEMS_A_PIECE = 128  # on average: longer pieces pack better, shorter ones make shorter differences
MOST_DOCUMENT_BYTES = 8 * 1024 * 1024  # unpacked; far above what the operator's API takes in


class UnknownFormat(Exception):
    """The register holds a record that this release cannot read."""


@records.record(120)
@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """A JSON document (packed or not), its version, and the newest orders that were taken, oldest first: the
    digest of each and the version that it was based on.

    Former releases kept no base versions; those that there are belong to the last of the digests.
    """

    format: int
    version: int
    document: bytes
    taken: tuple[bytes, ...]
    taken_bases: tuple[int, ...] = ()

    @property
    def remembered_from(self) -> int:
        """The version since which every order that was taken is in `taken`."""
        return self.taken_bases[0] if self.taken_bases else self.version


NOTHING_STORED = StoredConfiguration(FORMAT, 0, b"", ())
"""The record of a register that holds no value yet."""


def encode_stored(
    version: int, document: bytes, taken: tuple[bytes, ...], taken_bases: tuple[int, ...]
) -> bytes:
    """The value of the register for this JSON document."""
    packed = _pack(document)
    shorter = packed if len(packed) < len(document) else document
    return records.encode(StoredConfiguration(FORMAT, version, shorter, taken, taken_bases))


def decode_stored(value: bytes) -> StoredConfiguration:
    """The record in a value of the register, its document unpacked; raises `UnknownFormat`."""
    try:
        stored = records.decode(value)
    except records.MalformedRecord as error:
        raise UnknownFormat(str(error)) from error
    if not isinstance(stored, StoredConfiguration) or stored.format > FORMAT:
        raise UnknownFormat(f"a record of kind {type(stored).__name__}")
    if not stored.document or stored.document.startswith(b"{"):
        return stored
    return replace(stored, document=_unpack(stored.document))


def _pack(document: bytes) -> bytes:
    """The document, packed in pieces: a piece ends after an item whose checksum says so."""
    packer = zlib.compressobj(PACK_LEVEL)
    packed: list[bytes] = []
    items = document.split(ITEM_END)
    for number, item in enumerate(items, start=1):
        packed.append(packer.compress(item if number == len(items) else item + ITEM_END))
        if zlib.crc32(item) % ITEMS_A_PIECE == 0:
            packed.append(packer.flush(zlib.Z_FULL_FLUSH))
    packed.append(packer.flush())
    return b"".join(packed)


def _unpack(packed: bytes) -> bytes:
    """The document in a packed one; raises `UnknownFormat`."""
    unpacker = zlib.decompressobj()
    try:
        document = unpacker.decompress(packed, MOST_DOCUMENT_BYTES)
    except zlib.error as error:
        raise UnknownFormat(f"the document cannot be unpacked: {error}") from error
    if not unpacker.eof:
        raise UnknownFormat("the packed document is cut short, or too long")
    return document


def decode_configuration(value: bytes) -> Configuration:
    """The configuration in a value of the register; raises `UnknownFormat`."""
    return from_document(json.loads(decode_stored(value).document))
