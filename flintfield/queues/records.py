"""What the store keeps of queues: keys and values as bytes.

Keyspaces: `queue` (by number: a queue's settings), `message` (a body, written once), `state` (how far a
message has come, once it is more than sent), `seen` (deduplication ids). A message's key holds what an
index needs, so that opening a queue reads keys and no bodies: number of the queue it was sent to (4 bytes),
number of the message (8), when it was sent (6, ms), and its group. A message that moved to another queue
keeps its key; its state names the queue it is in.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Literal

import msgspec

from flintfield.queues.attributes import Settings

QUEUE, MESSAGE, STATE, SEEN, META = "queue", "message", "state", "seen", "meta"
KEY = struct.Struct(">IQHI")
NUMBER = struct.Struct(">I")


class QueueRecord(msgspec.Struct, frozen=True, array_like=True):
    """A queue; times in ms since 1970."""

    name: str
    settings: Settings
    created: int
    modified: int
    tags: dict[str, str]


class BodyRecord(msgspec.Struct, frozen=True, array_like=True):
    """A message as it was sent; `attributes` are (name, type, value's bytes)."""

    body: str
    attributes: tuple[tuple[str, str, bytes], ...] = ()
    sender: str = ""
    trace_header: str = ""
    deduplication: str = ""


class StateRecord(msgspec.Struct, frozen=True, array_like=True):
    """How far a message has come. `holder`: who has it in work; `let_out`: whether it may have run."""

    queue: int  # the one it is in now
    visible: int  # ms: seen again from then on
    receives: int = 0
    first: int = 0  # when it was first received
    number: int = 0  # of receipts given
    holder: Literal["", "client", "scheduler"] = ""
    let_out: bool = False
    withdrawn: bool = False  # deleted while it was in work
    counted_from: int = 0  # retention counts from then; 0: from its sending
    word: str = ""  # why it is in a dead-letter queue, where that is more than its receives


class SeenRecord(msgspec.Struct, frozen=True, array_like=True):
    """A deduplication id: the message that it stands for, and until when."""

    seq: int
    until: int


def message_key(origin: int, seq: int, sent: int, group: str) -> bytes:
    """The key of a message; `sent` in ms."""
    return KEY.pack(origin, seq, sent >> 32, sent & 0xFFFFFFFF) + group.encode()


def read_key(key: bytes) -> tuple[int, int, int, str]:
    """Origin, number, when sent, and group."""
    origin, seq, high, low = KEY.unpack_from(key)
    return origin, seq, high << 32 | low, key[KEY.size:].decode()


def seen_key(queue: int, scope: str, deduplication: str) -> bytes:
    """The key of a deduplication id, within the queue or one of its groups."""
    within = scope.encode()
    return NUMBER.pack(queue) + len(within).to_bytes(2, "big") + within + deduplication.encode()


def read_seen_key(key: bytes) -> tuple[int, str, str]:
    """Queue, scope and deduplication id."""
    length = int.from_bytes(key[4:6], "big")
    return NUMBER.unpack_from(key)[0], key[6:6 + length].decode(), key[6 + length:].decode()


_encoder = msgspec.msgpack.Encoder()
encode = _encoder.encode
read_queue: Callable[[bytes], QueueRecord] = msgspec.msgpack.Decoder(QueueRecord).decode
read_body: Callable[[bytes], BodyRecord] = msgspec.msgpack.Decoder(BodyRecord).decode
read_state: Callable[[bytes], StateRecord] = msgspec.msgpack.Decoder(StateRecord).decode
read_seen: Callable[[bytes], SeenRecord] = msgspec.msgpack.Decoder(SeenRecord).decode
