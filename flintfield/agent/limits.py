"""The bounds of the deployment that bind an agent, and what follows from them."""

from __future__ import annotations

from dataclasses import dataclass

SLOWEST_FACTOR = 1.03  # 1 / 0.98, rounded up
HOLD_SLACK_MS = 200
SETTLE_SLACK_MS = 130  # above the dispatcher's own slack of 100 ms, which it counts from the report after


@dataclass(frozen=True, slots=True)
class AgentLimits:
    """The bounds of the deployment that bind an agent, in ms."""

    hold_max_ms: int = 10_000
    stop_ms: int = 200

    @property
    def longest_hold_ms(self) -> int:
        """How long a hold may last that an earlier life of this process has sent."""
        return int(self.hold_max_ms * SLOWEST_FACTOR) + HOLD_SLACK_MS

    @property
    def settle_ms(self) -> int:
        """How long after an answer a listing has to be asked for to show its whole effect: a stop is over."""
        return int(self.stop_ms * SLOWEST_FACTOR) + SETTLE_SLACK_MS
