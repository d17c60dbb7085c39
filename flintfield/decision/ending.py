"""Final answers: a job is refused, with a time to retry after, if a retry is surely harmless; else failed."""

from __future__ import annotations

from flintfield.decision.cold import ColdStart
from flintfield.decision.interface import Cancel, Fail, Refuse
from flintfield.decision.records import Attempt, Job
from flintfield.decision.repeats import is_harmless

TICK_MS = 100.0  # mean time between price steps; jittered so that dispatchers do not synchronise


class FinalAnswers(ColdStart):
    """The end of a job."""

    def _end(self, job: Job) -> None:
        """Give the final answer: refused if a retry is surely harmless (rule 2), else failed."""
        self._forget(job)
        rid, advice = job.request.rid, self._retry_after_ms(job)
        refused = is_harmless(job, self.settings, self.now + advice)
        self.actions.append(Refuse(rid, advice) if refused else Fail(rid))

    def _retry_after_ms(self, job: Job) -> float:
        """When to retry (ms): the estimated time to run the held jobs and this one on the near workers."""
        ahead, most = 1 + len(self.held), self.settings.limits.max_retry_after_ms
        slots = self.fleet.survey(self._pace).slots
        return min(most, max(TICK_MS, ahead * job.cost * (self.pace.value or 1.0) / slots)) if slots else most

    def _forget(self, job: Job) -> None:
        """Remove a job that needs no further answer, and cancel its running attempts."""
        self.jobs.pop(job.request.rid, None)
        self.checks.drop(job.request.rid)
        self.timers.drop(job)
        self._cancel_attempts(job.running(), job)

    def _cancel_attempts(self, attempts: list[Attempt], job: Job) -> None:
        self.held.take_out(job)
        if self.settings.limits.cancel:
            self.actions.extend(Cancel(job.request.rid, job.attempts.index(a)) for a in attempts)
