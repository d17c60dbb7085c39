"""How the links between machines behave."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class Weather:
    """How the links behave: chances, delays in ms, and which pairs of machines nothing passes between."""

    delay_ms: tuple[float, float] = (0.4, 2.5)
    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0
    cuts: dict[tuple[str, str], int] = field(default_factory=dict)  # directed pairs, and cuts that hold there

    def is_cut(self, source: str, target: str) -> bool:
        """Whether nothing passes from the one machine to the other."""
        return (source, target) in self.cuts

    def cut(self, source: str, target: str) -> None:
        """Let nothing pass; undone by as many calls of `join`."""
        self.cuts[source, target] = self.cuts.get((source, target), 0) + 1

    def join(self, source: str, target: str) -> None:
        """End one cut."""
        left = self.cuts.get((source, target), 0) - 1
        if left > 0:
            self.cuts[source, target] = left
        else:
            self.cuts.pop((source, target), None)
