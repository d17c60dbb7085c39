"""Whole tables over TCP: one table there, one back, in sealed frames.

    asker   0xF1 'S', least and most version, 16 random bytes, count of keys, their ids (4 bytes each)
    other   0xF1 'S', version, id of the key, 16 random bytes; version 0: refused, and the id says why
    asker   frames with its table; other: frames with its own

A frame is its head (length of what follows, 4 bytes; 1 if it is the last, 1 byte; session and counter of the
sender, the nonce) and AES-GCM of up to `FRAME_LINES` lines. Authenticated with it are the head, a hash of
both greetings, the direction and the frame's number: no frame of another connection, of the other side or out
of its order opens. An asker that has not proven itself makes us hold one frame at the most.
"""

from __future__ import annotations

import hashlib
import os
import struct
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import anyio
from cryptography.exceptions import InvalidTag

from flintfield.membership.messages import Address, Known
from flintfield.membership.rules import MOST_KEYS, MOST_MEMBERS
from flintfield.wire.http1.stream import Stream, dial
from flintfield.wire.membership.codec import LEAST, MOST, BadFormat, common_version, read_lines, write_lines
from flintfield.wire.membership.seal import Seal

MAGIC = b"\xf1S"
HELLO = struct.Struct(">2sBB16sB")
REPLY = struct.Struct(">2sBI16s")
HEAD = struct.Struct(">IBQI")
FRAME_LINES = 40
MOST_FRAME = 40 * 1_024  # bytes: 40 lines of the longest kind are less
DIAL_MS = 2_000.0
WHOLE_S = 10.0  # an exchange has ended by then, well or not
GREET_S = 2.0
REFUSALS = {1: "no common key", 2: "no common version"}


class BadStream(Exception):
    """A stream that broke, or is not what it should be; the text is for people, `kind` for the counters."""

    def __init__(self, word: str, kind: str = "bad") -> None:
        super().__init__(word)
        self.kind = kind


class _Reader:
    """Exact numbers of bytes from a stream, by a deadline."""

    def __init__(self, stream: Stream, deadline: float) -> None:
        self._stream, self._deadline = stream, deadline
        self._held = bytearray()

    async def take(self, count: int) -> bytes:
        while len(self._held) < count:
            data = await self._stream.receive_by(self._deadline, count - len(self._held))
            if not data:
                raise BadStream("it took too long" if data is None else "the other side ended it")
            self._held += data
        taken, self._held = bytes(self._held[:count]), self._held[count:]
        return taken


@dataclass(slots=True)
class _Channel:
    """A greeted stream: what binds its frames to it."""

    seal: Seal
    stream: Stream
    reader: _Reader
    key: int
    transcript: bytes

    async def write(self, way: bytes, table: Sequence[Known]) -> None:
        chunks = [table[i:i + FRAME_LINES] for i in range(0, len(table), FRAME_LINES)] or [()]
        for number, chunk in enumerate(chunks):
            nonce, plain = self.seal.nonce(), write_lines(tuple(chunk))
            head = HEAD.pack(len(plain) + 16, number == len(chunks) - 1, *struct.unpack(">QI", nonce))
            cipher = self.seal.ring.cipher(self.key, float("-inf"))
            if cipher is None:
                raise BadStream("the key was taken out")
            frame = head + cipher.encrypt(nonce, plain, self._bound(way, number, head))
            if await self.stream.send(frame) < len(frame):
                raise BadStream("it broke")
            await anyio.sleep(0)

    async def read(self, way: bytes) -> list[Known]:
        lines: list[Known] = []
        for number in range(MOST_MEMBERS // FRAME_LINES + 1):
            head = await self.reader.take(HEAD.size)
            size, last, _, _ = HEAD.unpack(head)
            if not 16 <= size <= MOST_FRAME:
                raise BadStream("a frame of an odd size")
            sealed = await self.reader.take(size)
            cipher = self.seal.ring.cipher(self.key, float("-inf"))
            if cipher is None:
                raise BadStream("the key was taken out")
            try:
                lines += read_lines(cipher.decrypt(head[5:], sealed, self._bound(way, number, head)))
            except InvalidTag:
                raise BadStream("a frame that does not open") from None
            except BadFormat as error:
                raise BadStream(f"a frame that can not be read: {error}") from error
            if last:
                return lines
        raise BadStream("a table that is too long")

    def _bound(self, way: bytes, number: int, head: bytes) -> bytes:
        return self.transcript + way + struct.pack(">I", number) + head


async def exchange(seal: Seal, address: Address, table: Sequence[Known]) -> list[Known]:
    """Hand over our table and return the other's; a `BadStream` says why not."""
    stream = await dial(address, DIAL_MS)
    if isinstance(stream, int):
        raise BadStream(os.strerror(stream))
    try:
        channel = await _greet(seal, stream)
        await channel.write(b">", table)
        return await channel.read(b"<")
    finally:
        stream.close()


async def _greet(seal: Seal, stream: Stream) -> _Channel:
    ids = seal.ring.ids
    hello = HELLO.pack(MAGIC, LEAST, MOST, os.urandom(16), len(ids)) + struct.pack(f">{len(ids)}I", *ids)
    await stream.send(hello)
    reader = _Reader(stream, anyio.current_time() + WHOLE_S)
    reply = await reader.take(REPLY.size)
    magic, version, key, _ = REPLY.unpack(reply)
    if magic != MAGIC:
        raise BadStream("no member answers there")
    if version == 0:
        raise BadStream(f"refused: {REFUSALS.get(key, 'for a reason that we do not know')}")
    if key not in ids or not LEAST <= version <= MOST:
        raise BadStream("it chose what we did not offer")
    return _Channel(seal, stream, reader, key, hashlib.sha256(hello + reply).digest())


Answer = Callable[[list[Known]], Awaitable[Sequence[Known]]]


async def serve(seal: Seal, stream: Stream, answer: Answer) -> None:
    """Take an asker's table and hand back what `answer` makes of it; a `BadStream` says why not."""
    channel = await _be_greeted(seal, stream)
    table = await channel.read(b">")
    await channel.write(b"<", await answer(table))


async def _be_greeted(seal: Seal, stream: Stream) -> _Channel:
    greeting = _Reader(stream, anyio.current_time() + GREET_S)
    hello = await greeting.take(HELLO.size)
    magic, least, most, _, count = HELLO.unpack(hello)
    if magic != MAGIC or not 1 <= count <= MOST_KEYS:
        raise BadStream("not a member's greeting")
    told = await greeting.take(4 * count)
    key, version = seal.ring.choose(struct.unpack(f">{count}I", told)), common_version(least, most)
    refused = 1 if key is None else 2 if version is None else 0
    reply = REPLY.pack(MAGIC, 0 if refused else version, refused or key, os.urandom(16))
    await stream.send(reply)
    if refused or key is None:
        raise BadStream(REFUSALS[refused], REFUSALS[refused].replace(" ", "_"))
    reader = _Reader(stream, anyio.current_time() + WHOLE_S)
    return _Channel(seal, stream, reader, key, hashlib.sha256(hello + told + reply).digest())
