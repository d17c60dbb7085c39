"""Differences between two values of a register (no I/O).

A difference is the new value compressed by Zstandard with the old one as its dictionary, so it is short where
the two share long stretches of bytes. Whoever writes values keeps what stays the same in the same bytes
(`control.stored` packs a document in independent pieces for that).
"""

from __future__ import annotations

import hashlib
import typing
from functools import lru_cache

from flintfield.coordination.register_messages import ValueDelta

if typing.TYPE_CHECKING:
    import zstandard

LEVEL = 3  # the library's default: 1 ms for a value of 40 kB
DIGEST_BYTES = 16
LEAST_WINDOW_BITS = 10  # of the format
LONGEST_VALUE_BYTES = 16 * 1024 * 1024  # unpacked; above what one message may carry
WORTH_IT = 0.75  # a difference longer than this part of the value is not worth the round trip it may cost


def difference(old: bytes | None, new: bytes | None, longest: float = WORTH_IT) -> ValueDelta | None:
    """The difference from the old value to the new one; None where it is longer than this part of the new."""
    if not old or not new:
        return None
    patch = _patch(old, new)
    return ValueDelta(digest_of(old), patch, digest_of(new)) if len(patch) <= longest * len(new) else None


def patched(old: bytes | None, delta: ValueDelta) -> bytes | None:
    """The new value; None where this difference was not made for the old one."""
    if not old or digest_of(old) != delta.base:
        return None
    import zstandard

    reader = zstandard.ZstdDecompressor(dict_data=_dictionary(old), max_window_size=2 * LONGEST_VALUE_BYTES)
    try:
        new = reader.decompress(delta.patch, max_output_size=LONGEST_VALUE_BYTES)
    except zstandard.ZstdError:
        return None
    return new if digest_of(new) == delta.digest else None


@lru_cache(maxsize=8)  # the values of the last changes are asked for again and again
def digest_of(value: bytes) -> bytes:
    """What tells a value from every other one."""
    return hashlib.sha256(value).digest()[:DIGEST_BYTES]


@lru_cache(maxsize=4)  # one change is told to many, most of whom have the same value
def _patch(old: bytes, new: bytes) -> bytes:
    import zstandard  # here: agents and tools that make no differences don't load it

    window_bits = max(
        LEAST_WINDOW_BITS, (len(old) + len(new)).bit_length()
    )  # all of the old value is in reach
    parameters = zstandard.ZstdCompressionParameters.from_level(
        LEVEL, window_log=window_bits, source_size=len(new), dict_size=len(old)
    )
    compressor = zstandard.ZstdCompressor(dict_data=_dictionary(old), compression_params=parameters)
    return compressor.compress(new)


def _dictionary(content: bytes) -> zstandard.ZstdCompressionDict:
    import zstandard

    return zstandard.ZstdCompressionDict(content, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
