"""Workers that operators have taken out of service by hand, and returned to service.

The server list does not include this: a worker that leaves the list and is listed again is still out of
service, and one that was returned to service while not listed is cold when it is listed again.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from flintfield.decision.interface import OperatorOverrides, WorkerId
from flintfield.decision.records import Job, Worker


class Hands:
    """The workers out of service, and when others were returned to service (ms)."""

    def __init__(self) -> None:
        self.out: dict[WorkerId, None] = {}
        self.back: dict[WorkerId, float] = {}
        self.cold_elsewhere = False  # another process uses this dispatcher's part of cold workers' budgets

    def apply(
            self, event: OperatorOverrides, workers: Mapping[WorkerId, Worker], now: float,
    ) -> Iterable[Worker]:
        """Apply the event and return the listed workers that it changes."""
        self.out, self.back = dict.fromkeys(event.out), dict(event.back)
        self.cold_elsewhere = event.cold_elsewhere
        return [w for w in workers.values() if self._apply(w, now)]

    def apply_to(self, worker: Worker, now: float) -> Worker:
        """Apply the operators' orders to a newly listed worker, and return it."""
        self._apply(worker, now)
        return worker

    def _apply(self, worker: Worker, now: float) -> bool:
        number = worker.entry.worker
        if number in self.out:
            before, worker.barred = worker.barred, True
            return not before
        if (at := self.back.get(number, 0.0)) > worker.back:
            worker.return_to_service(at, now)
            return True
        before, worker.barred = worker.barred, False
        return before

    def unservable_jobs(self, workers: Iterable[Worker], jobs: Iterable[Job]) -> list[Job]:
        """The jobs without a pending attempt, if all listed workers are out of service."""
        return [j for j in jobs if not j.running()] if self.are_all_out(workers) else []

    def are_all_out(self, workers: Iterable[Worker]) -> bool:
        """Whether all listed workers are out of service, so that no worker can serve a waiting job."""
        return bool(self.out) and all(w.barred for w in workers)
