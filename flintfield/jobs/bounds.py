"""Settings and bounds of the dispatcher, with the reason for each default."""

from __future__ import annotations

from dataclasses import dataclass

HOLD_DRIFT = 1.02  # the slowest clock that the protocol allows
HOLD_SLACK_MS = 300  # late timers and delivery, on top of the drift


@dataclass(frozen=True, slots=True)
class DispatcherBounds:
    """What the dispatcher keeps to; times in ms unless the name says otherwise."""

    hold_max_ms: int = 10_000  # `holdMaxMs` of the site
    stop_ms: int = 200  # a stop takes at most this
    gang_ms: int = 3_000  # members wait so long for one another
    early_ms: int = 250
    status_s: int = 120  # the state of a job is kept at least this long after its end
    far_x: float = 1.5  # work away from its data, or on several racks, takes this many times as long
    hold_ms: int = 0  # 0: min(hold_max_ms - 500, 5000)
    silent_ms: int = 2_500  # a worker silent for longer gets no further hold; sound ones answer within 2,200
    max_jobs: int = 20_000  # jobs kept, ended ones included; beyond: 429
    max_kept_bytes: int = 12 << 20  # what jobs may take in the replicas' stores; beyond: 429
    backlog_ms: int = 40_000  # estimated work of a service that may wait; beyond: 429
    refused_retry_ms: int = 1_000  # Retry-After of a 429
    unready_retry_ms: int = 200  # Retry-After of a 503

    @property
    def hold(self) -> int:
        """The hold that is granted from a report's stamp on."""
        return self.hold_ms or min(self.hold_max_ms - 500, 5_000)

    @property
    def empty_after_ms(self) -> int:
        """A worker without a newer grant is empty for certain this long after the report that was granted."""
        return int(self.hold * HOLD_DRIFT) + HOLD_SLACK_MS

    @property
    def settle_ms(self) -> int:
        """A listing asked for this long after an answer shows its whole effect, a stop's end included."""
        return int(self.stop_ms * HOLD_DRIFT) + 100

    @property
    def keep_ended_ms(self) -> int:
        """How long an ended job is remembered: `status_s` and half as much again."""
        return self.status_s * 1_500
