"""How long a job is worth trying, and what it earns for the slot time that it takes."""

from __future__ import annotations

from flintfield.decision.admission import QUEUE_AFTER, HIGH_WORTH_COST_FACTOR, useful_ms
from flintfield.decision.ending import FinalAnswers
from flintfield.decision.interface import Effect
from flintfield.decision.records import Job, Sort


class JobValue(FinalAnswers):
    """Estimates of a job's remaining useful time and its worth."""

    def _useful_ms(self, job: Job) -> float:
        """How long after its arrival (ms) a job that has not started can still meet its target."""
        cls, out, pace = self.settings.classes[job.request.cls], job.running(), self.pace.value or 1.0
        if out:  # an unsafe job can go nowhere else: not given up while it may be in time
            pace = 0.0 if cls.effect is Effect.UNSAFE else self._pace(out[0].worker)
        return useful_ms(cls, job.cost * (HIGH_WORTH_COST_FACTOR if self._is_high_worth(job) else 1.0), pace)

    def _is_high_worth(self, job: Job) -> bool:
        """Whether a job takes precedence over others: it is worth more than the lowest class."""
        return job.theta > self.top_price

    def _has_waited(self, job: Job, part: float) -> bool:
        """Whether the job has waited longer than that fraction of its useful time."""
        waited = self.now - job.arrived
        return waited > 0.0 and waited > part * self._useful_ms(job)

    def _may_queue(self, job: Job) -> bool:
        """Whether a high-worth job may queue at a worker, so as not to be refused while it can be in time."""
        return not job.attempts and self._is_high_worth(job) and self._has_waited(job, QUEUE_AFTER)

    def _density(self, sort: Sort) -> float:
        """Worth per slot time of a held job, negated so that the best sorts first."""
        cost = 1.0 if self.settings.worth_by_work else self.costs[sort[0]].value or 1.0
        return -sort[1] / max(sort[2], 1.0) / cost
