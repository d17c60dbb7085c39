"""A dispatcher that also uses observations shared by other dispatchers ("hearsay").

This dispatcher's own observations take precedence over shared ones, and all rules are checked on a worker
before anything else:

- held slots: the slots that other dispatchers report to hold replace the estimate from a worker's reports, to
  the extent that they are heard (`PeerObservations.weight`). The estimate is kept up to date in parallel, so
  that nothing jumps when they fall silent.
- a class that fails at a worker: jobs that must not fail avoid it as after this dispatcher's own errors, as
  long as there are other workers.
- a worker that others cannot reach counts as silent until a probe from here, which is sent at once, ends.
- a worker that others were in contact with is probed less often from here, while they are heard.
"""

from __future__ import annotations

import math
from flintfield.decision.interface import (
    AttemptEnded, PeerObservation, PeerObservations, Outcome, Probed, Report, Settings, WorkerId,
)
from flintfield.decision.observations import PROBE_MS
from flintfield.decision.policy import Dispatcher
from flintfield.decision.records import Attempt, Job, Worker

MIN_WEIGHT_CHANGE = 0.02  # changes of the weight below this are ignored
HEARD_PROBE_MS = 2_000.0  # time without contact before a probe is sent, when all other dispatchers are heard


class PeerEvidenceDispatcher(Dispatcher):
    """The decisions of an instance that shares its judgements of workers with others."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.weight = 0.0
        self.heard: dict[WorkerId, PeerObservation] = {}
        self.guesses: dict[WorkerId, float] = {}  # slots that others hold, as estimated from workers' reports
        self.doubted: set[WorkerId] = set()  # not reached by others, and not yet probed from here
        self.marked: dict[WorkerId, None] = {}  # changed since the last call of `news`, in order
        self.ends: list[tuple[WorkerId, int, bool]] = []  # worker, class, failed
        self.handlers[PeerObservations] = self._hearsay

    # ------------------------------------------------- observations sent to others

    def news(self) -> tuple[list[Worker], list[tuple[WorkerId, int, bool]]]:
        """The workers that may have changed since the last call, and the jobs that ended since then as
        (worker, class, failed)."""
        changed = [w for n in self.marked if (w := self.workers.get(n)) is not None]
        ends, self.ends = self.ends, []
        self.marked.clear()
        return changed, ends

    def _mark_changed(self, worker: Worker) -> None:
        self.marked[worker.entry.worker] = None

    def _place(self, job: Job, anywhere: bool = False) -> bool:
        placed = super()._place(job, anywhere)
        if placed:
            self._mark_changed(job.attempts[-1].worker)
        return placed

    def _learn(self, attempt: Attempt, event: AttemptEnded, job: Job | None) -> None:
        super()._learn(attempt, event, job)
        self._mark_changed(attempt.worker)
        if job is not None and event.outcome in (Outcome.OK, Outcome.ERROR):
            failed = event.outcome is Outcome.ERROR
            self.ends.append((attempt.worker.entry.worker, job.request.cls, failed))

    def _probed(self, event: Probed) -> None:
        super()._probed(event)
        if (worker := self.workers.get(event.worker)) is not None:
            self._mark_changed(worker)

    # --------------------------------------------- observations received from others

    def _hearsay(self, event: PeerObservations) -> None:
        if abs(event.weight - self.weight) > MIN_WEIGHT_CHANGE:
            self.weight = event.weight
            for number in self.guesses:
                if (known := self.workers.get(number)) is not None:
                    self._update_others(known)
                    self.fleet.touch(known, rated=True)
        for row in event.rows:
            worker = self.workers.get(row.worker)
            if worker is None:
                self.heard.pop(row.worker, None)
                continue
            before = self.heard.get(row.worker)
            self.heard[row.worker] = row
            worker.most = max(worker.most, row.most)
            for cls in row.avoid:
                worker.shun((cls,), math.inf)
            for cls in before.avoid if before else ():
                if cls not in row.avoid and worker.shunned.get(cls) == math.inf:
                    del worker.shunned[cls]
            if row.unreached and not (before and before.unreached):
                # Keeps each of many dispatchers from timing out on a node on which others already have.
                self.doubted.add(row.worker)
                worker.probe_at = -math.inf
                self.fleet.schedule_probe(worker, self.now)
            elif not row.unreached:
                self.doubted.discard(row.worker)
            self._update_others(worker)
            self.fleet.touch(worker, rated=True)

    def _update_others(self, worker: Worker) -> None:
        """Set the slots that others hold: what they report, plus the estimate for those not heard."""
        number = worker.entry.worker
        guess = self.guesses.setdefault(number, worker.others)
        row = self.heard.get(number)
        worker.others = (row.held if row else 0.0) + (1.0 - self.weight) * guess

    def _record_contact(self, worker: Worker, report: Report | None) -> None:
        number = worker.entry.worker
        self.doubted.discard(number)
        if self.weight <= 0.0 and number not in self.guesses:
            super()._record_contact(worker, report)
            return
        worker.others = self.guesses.get(number, worker.others)
        super()._record_contact(worker, report)
        self.guesses[number] = worker.others
        self._update_others(worker)

    def _assess(self, worker: Worker) -> tuple[float, bool, bool, bool, float]:
        found = super()._assess(worker)
        if self.asks and worker.entry.worker in self.doubted:
            return -math.inf, True, False, *found[3:]
        return found

    def is_silent(self, worker: Worker) -> bool:
        return super().is_silent(worker) or (self.asks and worker.entry.worker in self.doubted)

    def _tick(self) -> None:
        super()._tick()
        self.doubted.intersection_update(self.workers)
        if len(self.guesses) > len(self.workers):
            self.guesses = {n: g for n, g in self.guesses.items() if n in self.workers}
            self.heard = {n: h for n, h in self.heard.items() if n in self.workers}

    def _next_probe_at(self, worker: Worker) -> float:
        due = super()._next_probe_at(worker)
        if self.weight > 0.0 and worker.most > 0 and not self.is_silent(worker):
            due += self.weight * (HEARD_PROBE_MS - PROBE_MS)
        return -math.inf if worker.entry.worker in self.doubted else due
