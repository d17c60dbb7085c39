"""Which steps may use reserved workers although they rank behind the holder of the reservation.

A job counts as lost if it has nothing running for 3 s beside free capacity while under half of the service's
capacity is in use; a long-running task counts as lost beside free capacity however much is in use. A
reservation of up to `RESERVATION_MS` ends before that. A longer one does not hold against such steps.
"""

from __future__ import annotations

from flintfield.jobs.gangs import RESERVATION_MS
from flintfield.jobs.model import Step
from flintfield.jobs.queues import ServiceQueue

EXEMPT_AFTER_MS = 2_000  # of the step's wait and of the reservation; a start takes some 0.5 s after that


class ReservationExemptions:
    """The exempt steps of one pass over one queue."""

    def __init__(self, queue: ServiceQueue, now_ms: int) -> None:
        self._queue = queue
        self._now_ms = now_ms
        self._in_force = _may_exceed_wait(queue, now_ms)
        self._under_half_used: bool | None = None  # None: to be computed

    def covers(self, step: Step) -> bool:
        """Whether the step may use reserved workers now."""
        if not self._in_force or self._now_ms - step.ready_since_ms < EXEMPT_AFTER_MS:
            return False
        if step.spec.long_running:
            return True
        return self._is_under_half_used() and step.occurrence.job.open_runs == 0

    def capacity_taken(self) -> None:
        """Note that tasks were placed, so that the use of the service is computed anew."""
        self._under_half_used = None

    def _is_under_half_used(self) -> bool:
        if self._under_half_used is None:
            workers = self._queue.workers.values()
            used = sum(worker.used.cpu for worker in workers)
            self._under_half_used = 2 * used < sum(worker.capacity.cpu for worker in workers)
        return self._under_half_used


def _may_exceed_wait(queue: ServiceQueue, now_ms: int) -> bool:
    if not queue.reserved or now_ms >= queue.reserved_until_ms:
        return False
    if now_ms - queue.reserved_since_ms < EXEMPT_AFTER_MS:
        return False
    return queue.reserved_until_ms - queue.reserved_since_ms > RESERVATION_MS
