"""The jobs that wait, here or at a worker: which is sent first, and which is given up."""

from __future__ import annotations

import math

from flintfield.decision.admission import LATE_RETRY_WORTH
from flintfield.decision.state import SHORT_TERM_MS
from flintfield.decision.ending import TICK_MS
from flintfield.decision.interface import SetTimer
from flintfield.decision.placing import JobPlacement
from flintfield.decision.pricing import RHO
from flintfield.decision.records import Job

ANSWER_TIMER_MS = 3 * TICK_MS  # how long before a job's answer is due its timer is set


class WaitingJobs(JobPlacement):
    """Handles jobs that have no result yet."""

    def _accept_late(self, job: Job) -> bool:
        """Accept a late retry only at a late worth, or into spare room, where it displaces no timely job."""
        job.late, late_worth = True, self.settings.classes[job.request.cls].late_worth
        job.theta *= late_worth or LATE_RETRY_WORTH
        spare = self.now > self.short_at + SHORT_TERM_MS and self.fleet.roomy >= (1.0 - RHO) * self.fleet.cut
        return late_worth > 0 or (spare and self._place(job))

    def _end_or_mark_late(self, job: Job) -> bool:
        """If a job is too late for its target, lower its worth so that timely jobs go first, or end it;
        returns whether it was ended."""
        cls = self.settings.classes[job.request.cls]
        if job.late or not self._has_waited(job, 1.0):
            return False
        if cls.late_worth <= 0:
            self.short_at = self.short_at if job.attempts else self.now
            self._end(job)
            return True
        if not job.attempts:
            self.held.take_out(job)
            job.late, job.theta = True, job.theta * cls.late_worth
            self.held.put(job)
        return False

    def _look(self, job: Job) -> None:
        """Check whether a waiting job can still be in time, and set its timer if its answer is due soon. The
        next check is after half the estimated time left, since the pace changes."""
        waits, at = all(a.started is None for a in job.running()), job.last - ANSWER_TIMER_MS
        if job.streaming or (waits and self._end_or_mark_late(job)):
            return
        if job.sort is not None and self._may_queue(job):
            self._place(job)
        if at <= self.now:
            at = math.inf
            if not job.timed:
                job.timed = True
                self.actions.append(SetTimer(max(0.0, job.last - self.now), self.timers.set(job)))
        if waits and (left := job.arrived + self._useful_ms(job) - self.now) > 0:
            at = min(at, self.now + max(TICK_MS / 2, left / 2))
        if at < math.inf:
            self.checks.put(job.request.rid, at)

    def _serve_held(self) -> None:
        """Send held jobs by worth per slot time: of the lowest worth the newest first, so that not all become
        late in turn; of high-worth jobs, which take precedence, the oldest first."""
        for sort in sorted(self.held.sorts, key=self._density):
            while self.fleet.roomy and (job := self.held.next(sort, sort[1] > self.top_price)):
                if not self._end_or_mark_late(job) and not self._place(job):
                    break
