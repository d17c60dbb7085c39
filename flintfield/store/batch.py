"""What a caller hands in: batches, how lasting they are to be, and the limits. Values only."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple, Self

from flintfield.store.errors import StoreError, TooLarge
from flintfield.store.format import (DELETE, MOST_BODY, MOST_KEY, MOST_NAME, MOST_VALUE, PUT, Operation,
                                     entry_size)

MOST_OPERATIONS = 100_000  # in one batch: bounds how long readers wait for the index, about 0.3 s
_NAME = re.compile(rf"[a-z0-9_.-]{{1,{MOST_NAME}}}")
_names: dict[str, bytes] = {}


class Durability(NamedTuple):
    """When a batch is acknowledged and when it must be on disk.

    `wait`: acknowledged only once it is on disk; otherwise when the operating system has it. `within_ms`:
    synced no later than that after it was written; None leaves it to the next sync.
    """

    wait: bool
    within_ms: int | None = None


ALWAYS = Durability(True)
NEVER = Durability(False)


def within_ms(interval: int) -> Durability:
    """Acknowledged at once, on disk within so many ms: what a power cut may take. A killed process loses
    nothing."""
    if interval < 1:
        raise ValueError(f"an interval of {interval} ms found, at least 1 expected")
    return Durability(False, interval)


def space_name(space: str) -> bytes:
    """A keyspace's name on disk. Raises `TooLarge` for one that breaks the rules."""
    name = _names.get(space)
    if name is None:
        if not _NAME.fullmatch(space):
            raise TooLarge(f"keyspace {space!r} found, {_NAME.pattern} expected")
        name = space.encode()
        if len(_names) < 1_000:  # guards against names made of data
            _names[space] = name
    return name


class Batch:
    """Changes that are made all or not at all. For one key the last counts. Not to be changed once handed
    in."""

    __slots__ = ("_changes", "size")

    def __init__(self) -> None:
        self._changes: dict[tuple[bytes, bytes], Operation] = {}
        self.size = 0  # bytes of its entries

    def put(self, space: str, key: bytes, value: bytes, ttl_ms: int | None = None) -> Self:
        """Set a key, for `ttl_ms` from its commit or for ever. Raises `TooLarge`."""
        if len(value) > MOST_VALUE:
            raise TooLarge(f"a value of {len(value)} bytes found, at most {MOST_VALUE} expected")
        if ttl_ms is not None and not 1 <= ttl_ms < 1 << 62:
            raise TooLarge(f"a time to live of {ttl_ms} ms found, at least 1 expected")
        return self._add(Operation(PUT, space_name(space), key, value, ttl_ms or 0))

    def delete(self, space: str, key: bytes) -> Self:
        """Take a key away, whether it is there or not. Raises `TooLarge`."""
        return self._add(Operation(DELETE, space_name(space), key, b"", 0))

    def _add(self, operation: Operation) -> Self:
        if not 1 <= len(operation.key) <= MOST_KEY:
            raise TooLarge(f"a key of {len(operation.key)} bytes found, 1 to {MOST_KEY} expected")
        changes, at = self._changes, (operation.name, operation.key)
        size = self.size + entry_size(operation)
        if at in changes:
            size -= entry_size(changes.pop(at))
        if size > MOST_BODY or len(changes) >= MOST_OPERATIONS:
            raise TooLarge(f"a batch of {len(changes) + 1} changes and {size} bytes found, "
                           f"at most {MOST_OPERATIONS} and {MOST_BODY} expected")
        changes[at] = operation
        self.size = size
        return self

    def __len__(self) -> int:
        return len(self._changes)

    @property
    def operations(self) -> list[Operation]:
        """The changes; `expires` counts from the commit."""
        return list(self._changes.values())


class Committed(NamedTuple):
    """The batch is there, as far as its durability says; `seq` rises with each batch."""

    seq: int


Outcome = Committed | StoreError
Done = Callable[[Outcome], None]


@dataclass(slots=True, eq=False)
class Pending:
    """A batch on its way to the disk."""

    operations: list[Operation]
    size: int
    durability: Durability
    done: Done


@dataclass(frozen=True)
class Settings:
    """How a store behaves. Bytes unless said otherwise.

    `segment_bytes`, `segment_entries`: a segment ends when either is reached; the first bounds what an open
    after a crash reads and what a compaction needs beside, the second the memory that a compaction takes
    (about 300 bytes an entry). `waiting_bytes`: batches that wait, beyond which callers are told `Busy`.
    `group_bytes`, `group_entries`: one commit at most, and so how long a waiting batch waits behind it; a
    larger batch is a group of its own. `most_entries`: live keys, which bounds the index (about 200 bytes
    each, docs/store.md). `most_past`: old versions kept for snapshots; `most_pinned`: bytes of files kept
    for them. `garbage_share`: compaction works while more than this share of the sealed segments is dead;
    0.35 keeps the space under 1.54 times the live entries. `zero_ahead`: zeros written behind the log, so
    that a sync need not tell the disk of a longer file; 0 for none. `small_bytes`: an active segment this
    large is ended early when more than that share of it is dead. `compaction_share`: of the time, that
    compaction works at most.
    """

    segment_bytes: int = 32 * 1024 * 1024
    segment_entries: int = 131_072
    waiting_bytes: int = 64 * 1024 * 1024
    group_bytes: int = 4 * 1024 * 1024
    group_entries: int = 2_048
    most_entries: int = 5_000_000
    most_past: int = 1_000_000
    most_pinned: int = 256 * 1024 * 1024
    garbage_share: float = 0.35
    zero_ahead: int = 1024 * 1024
    small_bytes: int = 4 * 1024 * 1024
    compaction: bool = True
    compaction_share: float = 0.5
