"""A store without a disk, for processes that hold no durable state and for tests."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

from flintfield.coordination.storage.interface import Change


class MemoryStore:
    """A `KeyedStore` that reports changes as durable immediately; always fresh, never full."""

    fresh = True

    def __init__(self) -> None:
        self._items: dict[bytes, bytes] = {}
        self._ticket = 0

    @property
    def items(self) -> Mapping[bytes, bytes]:
        """All applied records."""
        return self._items

    def apply(self, changes: Sequence[Change]) -> int:
        """Apply the changes to memory; returns an increasing ticket."""
        for key, value in changes:
            if value is None:
                self._items.pop(key, None)
            else:
                self._items[key] = value
        self._ticket += 1
        return self._ticket

    def replace(self, changes: Iterable[tuple[bytes, bytes]], keep: Callable[[bytes], bool]) -> int:
        """Delete every key for which `keep` is false, then apply `changes`."""
        deletes: list[Change] = [(key, None) for key in self._items if not keep(key)]
        return self.apply([*deletes, *changes])

    async def durable(self, ticket: int) -> None:
        """Return immediately."""

    def stalled_ms(self, now_ms: float) -> float:
        """Always 0.0, because there is no sync."""
        return 0.0

    async def close(self) -> None:
        """Do nothing: no files are open."""
