"""Deltas between two values of a register. No I/O.

A delta is the new value compressed by Zstandard with the old value as the dictionary, so it is short if both
values share long byte sequences. Writers must therefore encode unchanged content as the same bytes;
`control.stored` packs a document in independent pieces for this purpose.
"""

from __future__ import annotations

import hashlib
import typing
from functools import lru_cache

from flintfield.coordination.register_messages import ValueDelta

if typing.TYPE_CHECKING:
    import zstandard

COMPRESSION_LEVEL = 3  # the library's default; takes 1 ms for a value of 40 kB
DIGEST_BYTES = 16
MIN_WINDOW_BITS = 10  # minimum of the Zstandard format
MAX_VALUE_BYTES = 16 * 1024 * 1024  # decompressed; larger than one message may be
# The greatest useful ratio of delta length to value length: a rejected delta costs an extra round trip.
MAX_DELTA_RATIO = 0.75


def difference(old: bytes | None, new: bytes | None, max_ratio: float = MAX_DELTA_RATIO) -> ValueDelta | None:
    """Return the delta from the old value to the new one.

    Returns None if either value is missing or the delta is longer than `max_ratio` times the new value.
    """
    if not old or not new:
        return None
    patch = _patch(old, new)
    return ValueDelta(digest_of(old), patch, digest_of(new)) if len(patch) <= max_ratio * len(new) else None


def patched(old: bytes | None, delta: ValueDelta) -> bytes | None:
    """Return the new value, or None if the delta was not made for the old value or is corrupt."""
    if not old or digest_of(old) != delta.base:
        return None
    import zstandard

    reader = zstandard.ZstdDecompressor(dict_data=_dictionary(old), max_window_size=2 * MAX_VALUE_BYTES)
    try:
        new = reader.decompress(delta.patch, max_output_size=MAX_VALUE_BYTES)
    except zstandard.ZstdError:
        return None
    return new if digest_of(new) == delta.digest else None


@lru_cache(maxsize=8)  # the digests of recent values are requested repeatedly
def digest_of(value: bytes) -> bytes:
    """Return the truncated SHA-256 digest that identifies a value."""
    return hashlib.sha256(value).digest()[:DIGEST_BYTES]


@lru_cache(maxsize=4)  # one change is sent to many receivers, most of which have the same old value
def _patch(old: bytes, new: bytes) -> bytes:
    import zstandard  # imported here so that agents and tools that make no deltas don't load it

    window_bits = max(
        MIN_WINDOW_BITS, (len(old) + len(new)).bit_length()
    )  # the window covers the whole old value
    parameters = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL, window_log=window_bits, source_size=len(new), dict_size=len(old)
    )
    compressor = zstandard.ZstdCompressor(dict_data=_dictionary(old), compression_params=parameters)
    return compressor.compress(new)


def _dictionary(content: bytes) -> zstandard.ZstdCompressionDict:
    import zstandard

    return zstandard.ZstdCompressionDict(content, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
