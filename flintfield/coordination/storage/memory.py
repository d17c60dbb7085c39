"""A store without a disk, for processes that hold no durable state and for tests."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

from flintfield.coordination.storage.interface import Change


class MemoryStore:
    """A `KeyedStore` whose changes count as durable at once; always fresh, never full."""

    fresh = True

    def __init__(self) -> None:
        self._items: dict[bytes, bytes] = {}
        self._ticket = 0

    @property
    def items(self) -> Mapping[bytes, bytes]:
        """What was applied."""
        return self._items

    def apply(self, changes: Sequence[Change]) -> int:
        """Change memory; returns a ticket that rises."""
        for key, value in changes:
            if value is None:
                self._items.pop(key, None)
            else:
                self._items[key] = value
        self._ticket += 1
        return self._ticket

    def replace(self, changes: Iterable[tuple[bytes, bytes]], keep: Callable[[bytes], bool]) -> int:
        """Drop every key for which `keep` is false, then put these."""
        dropped: list[Change] = [(key, None) for key in self._items if not keep(key)]
        return self.apply([*dropped, *changes])

    async def durable(self, ticket: int) -> None:
        """Return at once."""

    def stalled_ms(self, now_ms: float) -> float:
        """0.0: there is no sync."""
        return 0.0

    async def close(self) -> None:
        """Nothing to close."""
