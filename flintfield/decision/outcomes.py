"""Updates what is known about workers from progress notes and attempt outcomes."""

from __future__ import annotations

from flintfield.decision.interface import AttemptEnded, AttemptProgress, Outcome
from flintfield.decision.ending import TICK_MS
from flintfield.decision.pricing import START_MS
from flintfield.decision.records import Attempt, Job
from flintfield.decision.rests import back_off_after_wait, shun_after_error
from flintfield.decision.waiting import ANSWER_TIMER_MS, WaitingJobs

ENDED_WAITING = frozenset({Outcome.CANCELLED, Outcome.TIMEOUT})  # how an attempt ends before its start
HEALTH_STEP = 0.2  # how far a lost, failed or timed-out job lowers a worker's health; a served one raises it


class OutcomeTracking(WaitingJobs):
    """Processes progress notes and attempt outcomes."""

    def _note(self, event: AttemptProgress) -> None:
        attempt, job = self.attempts.get((event.rid, event.attempt)), self.jobs.get(event.rid)
        if attempt is None or job is None:
            return
        self._record_contact(worker := attempt.worker, None)
        if event.started and attempt.started is None:
            attempt.started, waited = self.now, self.now - attempt.at
            self.started += attempt.slots
            self.checks.put(event.rid, job.last - ANSWER_TIMER_MS)
            worker.pending.pop(attempt, None)
            if len(job.attempts) > 1:
                self._cancel_attempts([a for a in job.running() if a.started is None], job)
            back_off_after_wait(worker, waited, self.sharers, self.now, self.random)
        elif event.done > 0:  # early sign of a slow or shared machine: run time ÷ fraction done
            since = attempt.at if attempt.started is None else attempt.started
            worker.pace.add((self.now - since) / event.done / job.cost)
            self._rate(worker)
        self.fleet.touch(worker, rated=event.done > 0)

    def _is_unreported_wait(self, waited: float) -> bool:
        """Whether a job that did not start waited in a queue that no probe would report.

        Without this, cancelled jobs that run all the same keep a worker's queue full, with one more now and
        then.
        """
        return self.settings.tells_start and not self.asks and waited > START_MS

    def _learn(self, attempt: Attempt, event: AttemptEnded, job: Job | None) -> None:
        """Update what is known about an attempt's worker from its outcome."""
        worker = attempt.worker
        worker.hold(-attempt.slots, self.ticks)
        worker.pending.pop(attempt, None)
        if attempt.started is not None:
            self.started -= attempt.slots
        elif event.outcome in ENDED_WAITING and self._is_unreported_wait(waited := self.now - attempt.at):
            back_off_after_wait(worker, waited, self.sharers, self.now, self.random)
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
            self._record_contact(worker, event.report)
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
        elif event.outcome is Outcome.UNSENT:  # one bad connection: not yet a dead worker
            worker.down, worker.struck = worker.struck, True
        if event.outcome not in (Outcome.FULL, Outcome.CANCELLED, Outcome.MOOT):
            worker.health = max(
                0.01, worker.health + HEALTH_STEP * ((event.outcome is Outcome.OK) - worker.health))
        self._rate(worker)
        self.fleet.touch(worker, rated=True)
