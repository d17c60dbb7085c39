"""Snapshots of the ordered store, which other replicas fetch in parts."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from flintfield.coordination.messages import AskPart, Change, PartAnswer
from flintfield.coordination.stored import ITEM_PREFIX
from flintfield.coordination.timing import CHUNK_BYTES, STAGED_TRANSFER_MS

MAX_SNAPSHOTS = 4  # the oldest is evicted first; its fetcher requests a new one
ENTRY_OVERHEAD_BYTES = 16


def parts_of(changes: Iterable[Change], part_bytes: int = CHUNK_BYTES) -> list[tuple[Change, ...]]:
    """Split changes into parts of about `part_bytes`; returns at least one part, which may be empty."""
    parts: list[tuple[Change, ...]] = []
    part: list[Change] = []
    size = 0
    for change in changes:
        part.append(change)
        size += len(change.key) + len(change.value or b"") + ENTRY_OVERHEAD_BYTES
        if size >= part_bytes:
            parts.append(tuple(part))
            part, size = [], 0
    if part or not parts:
        parts.append(tuple(part))
    return parts


class Snapshots:
    """The snapshots that are being fetched. They share the value bytes with the store instead of copying."""

    def __init__(self, stored: Mapping[bytes, bytes]) -> None:
        self._stored = stored
        self._parts: dict[int, tuple[int, list[tuple[Change, ...]]]] = {}

    def take(self, now_ms: int, transfer: int) -> None:
        """Take a snapshot of the current items under the number of a transfer, unless there is one."""
        if transfer in self._parts:
            return
        while len(self._parts) >= MAX_SNAPSHOTS:
            del self._parts[next(iter(self._parts))]
        prefix_length = len(ITEM_PREFIX)
        items = (
            Change(key[prefix_length:], value)
            for key, value in self._stored.items()
            if key.startswith(ITEM_PREFIX)
        )
        self._parts[transfer] = (now_ms, parts_of(items))

    def part(self, now_ms: int, request: AskPart) -> PartAnswer:
        """Return the requested part of a snapshot and renew the snapshot's expiry."""
        _, parts = self._parts.get(request.transfer, (0, []))
        if not 0 <= request.index < len(parts):
            return PartAnswer(False, True, ())
        self._parts[request.transfer] = (now_ms, parts)
        return PartAnswer(True, request.index == len(parts) - 1, parts[request.index])

    def expire(self, now_ms: int) -> None:
        """Drop snapshots from which no part was fetched for `STAGED_TRANSFER_MS`."""
        expiry_ms = now_ms - STAGED_TRANSFER_MS
        stale = [transfer for transfer, (used_ms, _) in self._parts.items() if used_ms < expiry_ms]
        for transfer in stale:
            del self._parts[transfer]
