"""Greeting, and frames that are sealed and opened; the layout is in the package's head."""

from __future__ import annotations

import hashlib
import os
import struct
from collections.abc import Callable
from typing import Any

import anyio
import msgspec
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from flintfield.membership.rules import MOST_KEYS
from flintfield.planning.messages import Digest, Plan
from flintfield.wire.http1.stream import Stream
from flintfield.wire.membership.keys import Ring

MAGIC = b"\xf1L"
LEAST, MOST = 1, 1
HELLO = struct.Struct(">2sBB16sB")
REPLY = struct.Struct(">2sBI16s")
HEAD = struct.Struct(">IQI")
TAG = 16
MOST_FRAME = 128 * 1_024  # MAX_ROWS rows of a plan are some 32 KiB
MOST_COUNTER = 0xFFFF_FF00
GREET_S, FRAME_S = 2.0, 5.0  # a greeting, a frame once it has begun
DIGEST, PLAN = 1, 2
CONTENTS: dict[int, type[Digest] | type[Plan]] = {DIGEST: Digest, PLAN: Plan}
KINDS = {kind: number for number, kind in CONTENTS.items()}
_envelope: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])
REFUSALS = {1: "no common key", 2: "no common version"}


class LinkError(Exception):
    """A link that broke or is not what it should be; `kind` is for the counters."""

    def __init__(self, word: str, kind: str = "broke") -> None:
        super().__init__(word)
        self.kind = kind


class Nonces:
    """Numbers that are used once with any key: a random session of this process and a counter."""

    def __init__(self) -> None:
        self._begin()

    def _begin(self) -> None:
        self._session, self._counter = int.from_bytes(os.urandom(8), "big"), 0

    def next(self) -> tuple[int, int]:
        """The next one, as session and counter."""
        if self._counter >= MOST_COUNTER:
            self._begin()
        self._counter += 1
        return self._session, self._counter


class Channel:
    """A greeted connection."""

    def __init__(self, stream: Stream, ring: Ring, nonces: Nonces, key: int, transcript: bytes,
                 ways: tuple[bytes, bytes], read_s: float) -> None:
        """`ways`: ours and the other's mark; `read_s`: how long the other may be silent."""
        self._stream, self._ring, self._nonces, self._key = stream, ring, nonces, key
        self._transcript, self._ways, self._read_s = transcript, ways, read_s
        self._sent = self._read = 0
        self.bytes_sent = self.bytes_read = 0

    def _bound(self, way: bytes, number: int) -> bytes:
        return self._transcript + way + struct.pack(">Q", number)

    def _cipher(self) -> AESGCM:
        cipher = self._ring.cipher(self._key, anyio.current_time() * 1_000)
        if cipher is None:
            raise LinkError("the key was taken out", "no_common_key")
        return cipher

    async def write(self, message: Digest | Plan) -> None:
        """Send one message; a `LinkError` if it can not be handed to the kernel in time."""
        plain = msgspec.msgpack.encode((KINDS[type(message)], message))
        session, counter = self._nonces.next()
        head = HEAD.pack(len(plain) + TAG, session, counter)
        frame = head + self._cipher().encrypt(head[4:], plain, self._bound(self._ways[0], self._sent))
        self._sent += 1
        sent = 0
        with anyio.move_on_after(FRAME_S):
            sent = await self._stream.send(frame)
        if sent < len(frame):
            raise LinkError("the other side does not read, or ended it")
        self.bytes_sent += len(frame)

    async def read(self) -> Digest | Plan:
        """The next message of a kind that is known; a `LinkError` where there is none in time."""
        while True:
            head = await take(self._stream, HEAD.size, self._read_s)
            size, _, _ = HEAD.unpack(head)
            if not TAG <= size <= MOST_FRAME:
                raise LinkError(f"a frame of {size} bytes, expected {TAG} to {MOST_FRAME}", "bad")
            sealed = await take(self._stream, size, FRAME_S)
            try:
                plain = self._cipher().decrypt(head[4:], sealed, self._bound(self._ways[1], self._read))
            except InvalidTag:
                raise LinkError("a frame that does not open", "bad") from None
            self._read += 1
            self.bytes_read += HEAD.size + size
            if (message := decode(plain)) is not None:
                return message

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()


def decode(plain: bytes) -> Digest | Plan | None:
    """A frame's content; None for a kind that is not known, a `LinkError` for one that can not be read."""
    try:
        kind, content = _envelope.decode(plain)
        return None if kind not in CONTENTS else msgspec.msgpack.decode(content, type=CONTENTS[kind])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise LinkError(f"a frame that can not be read: {error}", "bad") from error


async def take(stream: Stream, count: int, within_s: float) -> bytes:
    """Exactly so many bytes, within that time."""
    deadline, held = anyio.current_time() + within_s, bytearray()
    while len(held) < count:
        data = await stream.receive_by(deadline, count - len(held))
        if not data:
            raise LinkError("no word in time" if data is None else "the other side ended it")
        held += data
    return bytes(held)


async def greet(stream: Stream, ring: Ring, nonces: Nonces, read_s: float) -> Channel:
    """Our side, as a forwarder; a `LinkError` tells why there is no channel."""
    ids = ring.ids
    hello = HELLO.pack(MAGIC, LEAST, MOST, os.urandom(16), len(ids)) + struct.pack(f">{len(ids)}I", *ids)
    await stream.send(hello)
    reply = await take(stream, REPLY.size, GREET_S)
    magic, version, key, _ = REPLY.unpack(reply)
    if magic != MAGIC:
        raise LinkError("no planner answers there", "bad")
    if version == 0:
        word = REFUSALS.get(key, "for a reason that we do not know")
        raise LinkError(f"refused: {word}", word.replace(" ", "_"))
    if key not in ids or not LEAST <= version <= MOST:
        raise LinkError("it chose what we did not offer", "bad")
    transcript = hashlib.sha256(hello + reply).digest()
    return Channel(stream, ring, nonces, key, transcript, (b">", b"<"), read_s)


async def be_greeted(stream: Stream, ring: Ring, nonces: Nonces, read_s: float) -> Channel:
    """Our side, as a planner."""
    hello = await take(stream, HELLO.size, GREET_S)
    magic, least, most, _, count = HELLO.unpack(hello)
    if magic != MAGIC or not 1 <= count <= MOST_KEYS:
        raise LinkError("not a forwarder's greeting", "bad")
    told = await take(stream, 4 * count, GREET_S)
    key = ring.choose(struct.unpack(f">{count}I", told))
    version = min(most, MOST) if max(least, LEAST) <= min(most, MOST) else None
    refused = 1 if key is None else 2 if version is None else 0
    reply = REPLY.pack(MAGIC, 0 if refused else version, refused or key, os.urandom(16))
    await stream.send(reply)
    if refused or key is None:
        raise LinkError(REFUSALS[refused], REFUSALS[refused].replace(" ", "_"))
    transcript = hashlib.sha256(hello + told + reply).digest()
    return Channel(stream, ring, nonces, key, transcript, (b"<", b">"), read_s)


Count = Callable[[str], None]
