"""What is known about workers: the server list, their load reports, their silence; and when to probe them."""

from __future__ import annotations

import math

from flintfield.decision.state import MEAN_SAMPLES, DispatcherState
from flintfield.decision.interface import Entry, ListMode, Outcome, Probed, Report, ServerList
from flintfield.decision.records import Worker, lot

PROBE_MS = 500.0  # a worker is probed after this long without contact
SILENCE_DIVISOR, MAX_SILENT_PROBE_MS = 16.0, 10_000.0  # of a silent worker: silence / divisor, and a limit
PROBES_PER_S, SILENT_PROBES_PER_S = 400.0, 100.0  # limits on probes of responding workers, and of silent ones
EXTRA_NEAR = 2  # workers that a dispatcher uses beyond those that its jobs fill
REMOTE_RANK_FACTOR = 3.0  # local workers ranked before each one of another zone, if the zones are alike


class WorkerTracking(DispatcherState):
    """Processes the server list, contacts and probe results."""

    def _list(self, event: ServerList) -> None:
        if event.mode is ListMode.FAILED:
            self.asking.fail(self.now, self.random, event.due)
            return
        if event.mode is not ListMode.CACHED:
            self.asking.heard(self.now)
        fleet, whole = self.fleet, event.mode is not ListMode.DELTA
        for worker, before in fleet.take_list(event.entries, whole, self._make_worker):
            if worker.entry.started_ms > before.started_ms:
                worker.restart(worker.entry.started_ms, self.now)
                fleet.schedule_probe(worker, self.now)
            self._rate(worker)
            fleet.touch(worker, rated=True)
        self._resize_near()

    def _make_worker(self, entry: Entry) -> Worker:
        """Create a newly listed worker, with its rank in this dispatcher's order of the fleet."""
        rank = lot(self.settings.me, entry.worker) * (entry.zone == self.settings.zone or REMOTE_RANK_FACTOR)
        worker = Worker(entry, MEAN_SAMPLES, rank, self.now)
        self._rate(worker)
        return self.hands.apply_to(worker, self.now)

    def _record_contact(self, worker: Worker, report: Report | None) -> None:
        """Record contact from a worker; its report shows what other dispatchers hold there."""
        if worker.down or (worker.missed and PROBE_MS * 4 < self.now - worker.word < math.inf):
            worker.born = self.now  # back after silence: most likely a new process, listed later
        worker.word, worker.missed, worker.down, worker.struck = self.now, False, False, False
        worker.take_report(report, self.sharers, self.ticks)

    def _probed(self, event: Probed) -> None:
        worker = self.workers.get(event.worker)
        if worker is not None:
            worker.probing = False
            if event.outcome in (Outcome.OK, Outcome.FULL):
                self._record_contact(worker, event.report)
            elif event.outcome is not Outcome.MOOT:
                worker.missed = True
            self.fleet.schedule_probe(worker, self._next_probe_at(worker))
            self.fleet.touch(worker)

    def is_silent(self, worker: Worker) -> bool:
        """Whether probes go unanswered; otherwise a vanished worker keeps its price and attracts jobs."""
        return self.asks and (worker.down or (worker.missed and self.now > worker.word + PROBE_MS))

    def _resize_near(self) -> None:
        """Resize the near set, so that many dispatchers do not each probe all workers and learn little."""
        fleet, n = self.fleet, self.settings.dispatchers
        fleet.resize_near(EXTRA_NEAR + round(max(self.in_flight, len(fleet.ring) / n)))
        self.sharers = max(1.0, n * fleet.cut / max(1, len(fleet.ring)))

    def _probe_ms(self) -> float:
        """Time between probes of a responding worker: longer in large fleets, since each probe has a cost."""
        return max(PROBE_MS, self.fleet.cut / PROBES_PER_S * 1000.0)

    def _next_probe_at(self, worker: Worker) -> float:
        """When a worker is next due for a probe; for a silent one the interval grows with its silence, and
        with the number of silent workers."""
        heard = worker.word if self.settings.reports_in_answers else -math.inf
        wait = self._probe_ms()
        if self.is_silent(worker):
            silence = self.now - max(worker.word, worker.known_at)
            wait = max(PROBE_MS, min(MAX_SILENT_PROBE_MS, silence / SILENCE_DIVISOR),
                       self.fleet.silent / SILENT_PROBES_PER_S * 1000.0)
        return max(heard, worker.probe_at) + wait

    def _rate(self, worker: Worker) -> None:
        """Set ζ: the list weight, else the inverse of run time per cost; the caller updates the fleet."""
        if self.settings.has_weights:
            worker.zeta = max(worker.entry.weight, 1e-6) * worker.health
        elif worker.pace.count:
            worker.zeta = worker.health / max(self._pace(worker), 1e-6)

    def _pace(self, worker: Worker) -> float:
        """Run time per unit of cost; the mean is used for workers that were not measured."""
        return (worker.pace if worker.pace.count else self.pace).value or 1.0

    def _quickest(self) -> float:
        """The pace of the fastest near worker: run time per unit of cost."""
        return self.fleet.survey(self._pace).quickest

    def avoided(self) -> int:
        """How many listed workers get no new jobs now: out by hand, silent, or failing every class."""
        classes = len(self.settings.classes)
        return sum(w.barred or self.is_silent(w) or len(w.avoided) >= classes for w in self.workers.values())
