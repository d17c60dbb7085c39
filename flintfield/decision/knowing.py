"""What is known of workers: the list's word, their own, their silence; and when they are asked."""

from __future__ import annotations

import math

from flintfield.decision.desk import MEMORY, Desk
from flintfield.decision.interface import Entry, ListMode, Outcome, Probed, Report, ServerList
from flintfield.decision.records import Worker, lot

PROBE_MS = 500.0  # no word for this long is answered by a probe
QUIET_PART, LONGEST_QUIET_MS = 16.0, 10_000.0  # silent, it is probed again after such a part of its silence
PROBES_PER_S, RECALLS_PER_S = 400.0, 100.0  # most probes of workers that speak, and of silent ones
NEAR = 2  # workers that a dispatcher deals with beyond those its jobs fill
AWAY = 3.0  # how many workers at home stand before one of another zone in our order, where zones are alike


class Knowing(Desk):
    """A desk that takes in what is told of workers."""

    def _list(self, event: ServerList) -> None:
        if event.mode is ListMode.FAILED:
            self.asking.fail(self.now, self.random, event.due)
            return
        if event.mode is not ListMode.CACHED:
            self.asking.heard(self.now)
        fleet, whole = self.fleet, event.mode is not ListMode.DELTA
        for worker, before in fleet.take_list(event.entries, whole, self._meet):
            if worker.entry.started_ms > before.started_ms:
                worker.restart(worker.entry.started_ms, self.now)
                fleet.ask(worker, self.now)
            self._rate(worker)
            fleet.touch(worker, rated=True)
        self._size_up()

    def _meet(self, entry: Entry) -> Worker:
        """A worker that is listed anew, with its place in our own order of the fleet."""
        rank = lot(self.settings.me, entry.worker) * (entry.zone == self.settings.zone or AWAY)
        worker = Worker(entry, MEMORY, rank, self.now)
        self._rate(worker)
        return self.hands.meet(worker, self.now)

    def _heard(self, worker: Worker, report: Report | None) -> None:
        """Take a worker's word; a report tells what the others hold there."""
        if worker.down or (worker.missed and PROBE_MS * 4 < self.now - worker.word < math.inf):
            worker.born = self.now  # back from silence: most likely a new process, which the list tells later
        worker.word, worker.missed, worker.down, worker.struck = self.now, False, False, False
        worker.take_report(report, self.sharers, self.ticks)

    def _probed(self, event: Probed) -> None:
        worker = self.workers.get(event.worker)
        if worker is not None:
            worker.probing = False
            if event.outcome in (Outcome.OK, Outcome.FULL):
                self._heard(worker, event.report)
            elif event.outcome is not Outcome.MOOT:
                worker.missed = True
            self.fleet.ask(worker, self._quiet_from(worker))
            self.fleet.touch(worker)

    def is_silent(self, worker: Worker) -> bool:
        """No word though asked: guards against a vanished worker that keeps its price and draws jobs."""
        return self.asks and (worker.down or (worker.missed and self.now > worker.word + PROBE_MS))

    def _size_up(self) -> None:
        """Guards against many dispatchers that each know little of every worker and probe all."""
        fleet, n = self.fleet, self.settings.dispatchers
        fleet.size_up(NEAR + round(max(self.in_flight, len(fleet.ring) / n)))
        self.sharers = max(1.0, n * fleet.cut / max(1, len(fleet.ring)))

    def _probe_ms(self) -> float:
        """How often a worker that speaks is probed: in wide fleets less often, for all are paid for."""
        return max(PROBE_MS, self.fleet.cut / PROBES_PER_S * 1000.0)

    def _quiet_from(self, worker: Worker) -> float:
        """From when on a worker is due for a probe; silent ones more and more seldom, and few in all."""
        heard = worker.word if self.settings.reports_in_answers else -math.inf
        wait = self._probe_ms()
        if self.is_silent(worker):
            silence = self.now - max(worker.word, worker.known_at)
            wait = max(PROBE_MS, min(LONGEST_QUIET_MS, silence / QUIET_PART),
                       self.fleet.silent / RECALLS_PER_S * 1000.0)
        return max(heard, worker.probe_at) + wait

    def _rate(self, worker: Worker) -> None:
        """ζ: the list weight, else the inverse of running time per cost; the fleet is told by the caller."""
        if self.settings.has_weights:
            worker.zeta = max(worker.entry.weight, 1e-6) * worker.health
        elif worker.pace.count:
            worker.zeta = worker.health / max(self._pace(worker), 1e-6)

    def _pace(self, worker: Worker) -> float:
        """Running time for a unit of cost; the unmeasured take the mean."""
        return (worker.pace if worker.pace.count else self.pace).value or 1.0

    def _quickest(self) -> float:
        """The pace of the quickest near worker: running time for a unit of cost."""
        return self.fleet.survey(self._pace).quickest

    def avoided(self) -> int:
        """How many listed workers nothing new goes to now: out by hand, silent, or failing every class."""
        classes = len(self.settings.classes)
        return sum(w.barred or self.is_silent(w) or len(w.avoided) >= classes for w in self.workers.values())
