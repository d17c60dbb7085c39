"""The record that the configuration register holds."""

from __future__ import annotations

import json
from dataclasses import dataclass

from flintfield.control.configuration import Configuration, from_document
from flintfield.transport import records

FORMAT = 1  # a higher one was written by a later release, and is not read


class UnknownFormat(Exception):
    """The register holds a record that this release cannot read."""


@records.record(120)
@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """A JSON document, its version, and the digests of the newest orders that were taken (oldest first)."""

    format: int
    version: int
    document: bytes
    taken: tuple[bytes, ...]


def decode_stored(value: bytes) -> StoredConfiguration:
    """The record in a value of the register; raises `UnknownFormat`."""
    try:
        stored = records.decode(value)
    except records.MalformedRecord as error:
        raise UnknownFormat(str(error)) from error
    if not isinstance(stored, StoredConfiguration) or stored.format > FORMAT:
        raise UnknownFormat(f"a record of kind {type(stored).__name__}")
    return stored


def decode_configuration(value: bytes) -> Configuration:
    """The configuration in a value of the register; raises `UnknownFormat`."""
    return from_document(json.loads(decode_stored(value).document))
