"""Settings and limits of the dispatcher, with the reason for each default."""

from __future__ import annotations

from dataclasses import dataclass

HOLD_DRIFT = 1.02  # the slowest worker clock that the protocol allows
HOLD_SLACK_MS = 300  # allows for late timers and delivery, in addition to the drift


@dataclass(frozen=True, slots=True)
class DispatcherBounds:
    """Settings of the dispatcher. Times are in ms unless the name states another unit."""

    hold_max_ms: int = 10_000  # `holdMaxMs` of the site
    stop_ms: int = 200  # longest duration of a stop
    gang_ms: int = 3_000  # how long gang members wait for each other
    early_ms: int = 250
    status_s: int = 120  # shortest time for which the state of an ended job is kept
    far_x: float = 1.5  # slowdown of work away from its data or spread over several racks
    hold_ms: int = 0  # 0: min(hold_max_ms - 500, 5000)
    silent_ms: int = 2_500  # longer silence ends the renewal of holds; healthy workers answer within 2,200
    max_jobs: int = 20_000  # jobs in the table, including ended ones; above it: 429
    max_kept_bytes: int = 12 << 20  # size of the jobs in each replica's store; above it: 429
    backlog_ms: int = 40_000  # estimated waiting work of a service; above it: 429
    refused_retry_ms: int = 1_000  # Retry-After of a 429
    unready_retry_ms: int = 200  # Retry-After of a 503

    @property
    def max_overlap_bytes(self) -> int:
        """Above this size of the jobs in the store, times of a job that overlap wait for earlier ones."""
        return self.max_kept_bytes // 2

    @property
    def hold(self) -> int:
        """Length of a hold (lease), counted from the stamp of the report it answers."""
        return self.hold_ms or min(self.hold_max_ms - 500, 5_000)

    @property
    def empty_after_ms(self) -> int:
        """Time after the last granted report after which a worker is certain to run nothing."""
        return int(self.hold * HOLD_DRIFT) + HOLD_SLACK_MS

    @property
    def settle_ms(self) -> int:
        """A listing requested this long after an answer shows the order's full effect, including a stop."""
        return int(self.stop_ms * HOLD_DRIFT) + 100

    @property
    def keep_ended_ms(self) -> int:
        """How long an ended job is kept: 1.5 times `status_s`."""
        return self.status_s * 1_500
