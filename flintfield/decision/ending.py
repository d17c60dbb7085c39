"""Final answers: refused where a retry is sure to be harmless, with when to come back; else failed."""

from __future__ import annotations

from flintfield.decision.cold import Cold
from flintfield.decision.interface import Cancel, Fail, Refuse
from flintfield.decision.records import Attempt, Job
from flintfield.decision.repeats import is_harmless

TICK_MS = 100.0  # a price step; jittered so that dispatchers do not step alike


class Ending(Cold):
    """The end of a job."""

    def _end(self, job: Job) -> None:
        """Give the final answer: refused where a retry is sure to be harmless (rule 2), else failed."""
        self._forget(job)
        rid, advice = job.request.rid, self._advice(job)
        refused = is_harmless(job, self.settings, self.now + advice)
        self.actions.append(Refuse(rid, advice) if refused else Fail(rid))

    def _advice(self, job: Job) -> float:
        """When to come back: once the jobs held here and this one have had their turn at our slots."""
        ahead, most = 1 + len(self.held), self.settings.limits.max_retry_after_ms
        slots = self.fleet.survey(self._pace).slots
        return min(most, max(TICK_MS, ahead * job.cost * (self.pace.value or 1.0) / slots)) if slots else most

    def _forget(self, job: Job) -> None:
        """Nothing is owed for the job any more: stop what still runs for it."""
        self.jobs.pop(job.request.rid, None)
        self.checks.drop(job.request.rid)
        self.timers.drop(job)
        self._call_off(job.running(), job)

    def _call_off(self, attempts: list[Attempt], job: Job) -> None:
        self.held.take_out(job)
        if self.settings.limits.cancel:
            self.actions.extend(Cancel(job.request.rid, job.attempts.index(a)) for a in attempts)
