"""Snapshots of the ordered store that others fetch in parts."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from flintfield.coordination.messages import AskPart, Change, PartAnswer
from flintfield.coordination.stored import ITEM_PREFIX
from flintfield.coordination.timing import CHUNK_BYTES, STAGED_TRANSFER_MS

SNAPSHOTS_KEPT = 4  # the oldest goes first; its fetcher asks anew
ENTRY_OVERHEAD_BYTES = 16


def parts_of(changes: Iterable[Change], part_bytes: int = CHUNK_BYTES) -> list[tuple[Change, ...]]:
    """Cut changes into parts of about that size; at least one, which may be empty."""
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
    """The snapshots that are being fetched. They share their bytes with the store."""

    def __init__(self, stored: Mapping[bytes, bytes]) -> None:
        self._stored = stored
        self._parts: dict[int, tuple[int, list[tuple[Change, ...]]]] = {}

    def take(self, now_ms: int, transfer: int) -> None:
        """Keep the items as they are now under this number."""
        if transfer in self._parts:
            return
        while len(self._parts) >= SNAPSHOTS_KEPT:
            del self._parts[next(iter(self._parts))]
        cut = len(ITEM_PREFIX)
        items = (
            Change(key[cut:], value) for key, value in self._stored.items() if key.startswith(ITEM_PREFIX)
        )
        self._parts[transfer] = (now_ms, parts_of(items))

    def part(self, now_ms: int, request: AskPart) -> PartAnswer:
        """One part of a snapshot."""
        _, parts = self._parts.get(request.transfer, (0, []))
        if not 0 <= request.index < len(parts):
            return PartAnswer(False, True, ())
        self._parts[request.transfer] = (now_ms, parts)
        return PartAnswer(True, request.index == len(parts) - 1, parts[request.index])

    def expire(self, now_ms: int) -> None:
        """Drop the snapshots that nobody has fetched from for a while."""
        oldest_ms = now_ms - STAGED_TRANSFER_MS
        stale = [number for number, (used_ms, _) in self._parts.items() if used_ms < oldest_ms]
        for number in stale:
            del self._parts[number]
