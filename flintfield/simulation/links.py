"""Links of a bandwidth: what a machine sends, and what it is sent, passes one message after another.

A machine without a limit has a link that takes no time. A message whose receiver has given up waiting still
takes its time on both links.
"""

from __future__ import annotations

import enum

SLOW_BYTES_PER_MS = 250.0  # 2 Mbit/s
MBPS_PER_BYTE_PER_MS = 0.008


class _Direction(enum.Enum):
    UP = 1
    DOWN = 2


class Links:
    """The links of all machines that have a limited one, by name or address; both directions are alike."""

    def __init__(self) -> None:
        self._bytes_per_ms: dict[str, float] = {}
        self._free_ms: dict[tuple[str, _Direction], float] = {}

    def limit(self, machine: str, bytes_per_ms: float) -> None:
        """Give a machine's link this bandwidth (1 byte a millisecond is 8 kbit/s)."""
        self._bytes_per_ms[machine] = bytes_per_ms

    def is_limited(self, machine: str) -> bool:
        """Whether a machine's link takes time."""
        return machine in self._bytes_per_ms

    def mbps(self, machine: str, unlimited: float) -> float:
        """The bandwidth of a machine's link in Mbit/s; `unlimited` where it has no limit."""
        speed = self._bytes_per_ms.get(machine)
        return unlimited if speed is None else speed * MBPS_PER_BYTE_PER_MS

    def transmission_ms(self, machine: str, size: int) -> float:
        """How long `size` bytes take over a machine's link where nothing else uses it."""
        speed = self._bytes_per_ms.get(machine)
        return 0.0 if speed is None else size / speed

    def passage_ms(self, source: str, target: str, size: int, now_ms: float) -> float:
        """For how long `size` bytes wait for both links and pass through them, from now on."""
        sent_ms = self._pass(source, _Direction.UP, size, now_ms)
        return self._pass(target, _Direction.DOWN, size, sent_ms) - now_ms

    def _pass(self, machine: str, direction: _Direction, size: int, from_ms: float) -> float:
        """When the bytes are through this link."""
        speed = self._bytes_per_ms.get(machine)
        if speed is None:
            return from_ms
        begin_ms = max(from_ms, self._free_ms.get((machine, direction), 0.0))
        self._free_ms[machine, direction] = begin_ms + size / speed
        return begin_ms + size / speed
