"""Receipt handles and message ids: made from a secret that lasts with the store, so that they outlive a
process.

A handle names a queue, a message and which receive of it this was, behind a keyed digest: one that is
forged, or of another queue, is known at once and without a look at any message. Source of the digest: RFC
7693 (BLAKE2, keyed mode).
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import struct
from dataclasses import dataclass
from uuid import UUID

SECRET_BYTES = 32
PLAIN = struct.Struct(">BIQI")  # version, queue, message, number of the receive
DIGEST_BYTES = 16
VERSION = 1


@dataclass(frozen=True, slots=True)
class Receipt:
    """What a handle stands for."""

    queue: int
    seq: int
    number: int


class Receipts:
    """Makes and reads handles under one secret."""

    def __init__(self, secret: bytes) -> None:
        if len(secret) != SECRET_BYTES:
            raise ValueError(f"the secret has {len(secret)} bytes, not {SECRET_BYTES}")
        self._secret = secret

    def _digest(self, use: bytes, data: bytes) -> bytes:
        return hashlib.blake2b(data, digest_size=DIGEST_BYTES, key=self._secret, person=use).digest()

    def make(self, receipt: Receipt) -> str:
        """The handle's text."""
        plain = PLAIN.pack(VERSION, receipt.queue, receipt.seq, receipt.number)
        return base64.urlsafe_b64encode(plain + self._digest(b"receipt", plain)).decode()

    def read(self, handle: str) -> Receipt | None:
        """What a handle stands for; None if it was not made here."""
        try:
            raw = base64.b64decode(handle.encode("ascii"), b"-_", validate=True)
        except (UnicodeEncodeError, binascii.Error):
            return None
        plain, digest = raw[:PLAIN.size], raw[PLAIN.size:]
        if len(plain) < PLAIN.size or not hmac.compare_digest(digest, self._digest(b"receipt", plain)):
            return None
        version, queue, seq, number = PLAIN.unpack(plain)
        return Receipt(queue, seq, number) if version == VERSION else None

    def message_id(self, origin: int, seq: int) -> str:
        """The id of a message: a UUID that any process makes anew from queue and number."""
        return str(UUID(bytes=self._digest(b"message", PLAIN.pack(0, origin, seq, 0)), version=4))
