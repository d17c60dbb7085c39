"""A table of bounded size."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field


@dataclass(slots=True)
class Bounded:
    """A table that forgets its oldest entry when it is full."""

    size: int
    dropped: int = 0
    entries: OrderedDict[object, int] = field(default_factory=OrderedDict)

    def put(self, key: object, value: int) -> None:
        """Set the entry and make it the newest."""
        self.entries[key] = value
        self.entries.move_to_end(key)
        if len(self.entries) > self.size:
            self.entries.popitem(last=False)
            self.dropped += 1
