"""What notes and endings tell of workers: remembered, for the decisions to come."""

from __future__ import annotations

from flintfield.decision.interface import AttemptEnded, Note, Outcome
from flintfield.decision.ending import TICK_MS
from flintfield.decision.pricing import START_MS
from flintfield.decision.records import Attempt, Job
from flintfield.decision.rests import rest_after_wait, shun_after_error
from flintfield.decision.waiting import AHEAD_MS, Waiting

UNSTARTED = frozenset({Outcome.CANCELLED, Outcome.TIMEOUT})  # what ends an attempt that still waits there
LOST = 0.2  # how far a lost, failed or timed-out job lowers a worker's quality, and one served raises it


class Outcomes(Waiting):
    """A dispatcher that learns."""

    def _note(self, event: Note) -> None:
        attempt, job = self.attempts.get((event.rid, event.attempt)), self.jobs.get(event.rid)
        if attempt is None or job is None:
            return
        self._heard(worker := attempt.worker, None)
        if event.started and attempt.started is None:
            attempt.started, waited = self.now, self.now - attempt.at
            self.started += attempt.slots
            self.checks.put(event.rid, job.last - AHEAD_MS)
            worker.pending.pop(attempt, None)
            if len(job.attempts) > 1:
                self._call_off([a for a in job.running() if a.started is None], job)
            rest_after_wait(worker, waited, self.sharers, self.now, self.random)
        elif event.done > 0:  # early word of a slow or shared machine: time run ÷ share done
            since = attempt.at if attempt.started is None else attempt.started
            worker.pace.add((self.now - since) / event.done / job.cost)
            self._rate(worker)
        self.fleet.touch(worker, rated=event.done > 0)

    def _waited_unseen(self, waited: float) -> bool:
        """Whether a job that did not start waited in a queue that nothing else tells of.

        Guards against a queue of what was called off and runs all the same, kept up by one more now and then.
        """
        return self.settings.tells_start and not self.asks and waited > START_MS

    def _learn(self, attempt: Attempt, event: AttemptEnded, job: Job | None) -> None:
        """What an outcome tells of its worker."""
        worker = attempt.worker
        worker.hold(-attempt.slots, self.ticks)
        worker.pending.pop(attempt, None)
        if attempt.started is not None:
            self.started -= attempt.slots
        elif event.outcome in UNSTARTED and self._waited_unseen(waited := self.now - attempt.at):
            rest_after_wait(worker, waited, self.sharers, self.now, self.random)
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
            self._heard(worker, event.report)
        if event.outcome is Outcome.ERROR and job is not None:
            count = worker.fail(job.request.cls)
            shun_after_error(worker, job.request.cls, count, self.settings.unsafe(), self.now)
        if event.outcome is Outcome.OK and job is not None:
            worker.errors.pop(job.request.cls, None)
            ran = event.took_ms if attempt.started is None else self.now - attempt.started
            if job.request.hint_ms is None:
                self.costs[job.request.cls].add(ran)
            worker.pace.add(ran / job.cost)
            self.pace.add(ran / job.cost)
        elif event.outcome in (Outcome.FULL, Outcome.CONNECT_FAILED):
            worker.full_until = self.now + 2 * TICK_MS
            worker.others = max(worker.others, worker.most - worker.mine)
            worker.down = worker.missed = event.outcome is Outcome.CONNECT_FAILED
        elif event.outcome is Outcome.UNSENT:  # one bad connection is no dead worker; two in a row may be
            worker.down, worker.struck = worker.struck, True
        if event.outcome not in (Outcome.FULL, Outcome.CANCELLED, Outcome.MOOT):
            worker.health = max(0.01, worker.health + LOST * ((event.outcome is Outcome.OK) - worker.health))
        self._rate(worker)
        self.fleet.touch(worker, rated=True)
