"""What the judges of single rules share: the record by task and job, and who was in touch when."""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.simulation.plans import Bounds, Plan
from flintfield.simulation.record import CallSeen, JobAsked, OrderSeen, Record, RunSeen
from flintfield.simulation.scenario import QUEUES, Scenario

NEVER_MS = float("inf")
NOTED_AFTER_MS = 100  # in a calm, an end counts as taken note of so long after it was listed
AFTER_END_MS = 10_000  # the last questions
_SERVICE_OF = {prefix: service for prefix, service, _ in QUEUES}


@dataclass(frozen=True, slots=True)
class Offer:
    """A configuration that the operator sent, as far as it tells how often tasks may fail."""

    version: int
    sent_ms: float
    acked_ms: float
    attempts: dict[str, int]  # by the prefix of the queue


def _offer(order: OrderSeen) -> Offer:
    attempts = {item["pathPrefix"]: int(item["maxAttempts"]) for item in order.document["routes"]}
    acked_ms = order.acked_ms if order.acked_ms is not None else NEVER_MS
    return Offer(order.version, order.sent_ms, acked_ms, attempts)


class Case:
    """One record, indexed."""

    def __init__(self, record: Record, bounds: Bounds, scenario: Scenario) -> None:
        self.record = record
        self.bounds = bounds
        self.scenario = scenario
        self.by_task: dict[str, list[RunSeen]] = {}
        for seen in record.runs:
            self.by_task.setdefault(seen.task, []).append(seen)
        self.calls: dict[str, list[CallSeen]] = {}
        for call in record.calls:
            self.calls.setdefault(call.job, []).append(call)
        self.cancels = {
            job: cancelled for job in record.jobs if (cancelled := self._cancel_acked(job)) is not None
        }
        self._offers = [_offer(order) for order in record.orders if order.valid]
        self._plans = {script.job.id: script.plans for script in scenario.jobs}

    def job_of(self, task: str) -> JobAsked:
        """The job of a task."""
        return self.record.jobs[task.partition(".")[0]]

    def service_of(self, job: JobAsked) -> str:
        """The service that runs the job's tasks."""
        return _SERVICE_OF[job.queue]

    def plan_of(self, task: str) -> Plan:
        """What a task does."""
        job, _, step, _ = task.split(".")
        return self._plans[job][int(step)]

    def accepted_ms(self, job: str) -> float | None:
        """When its acceptance was first told."""
        return min(
            (
                call.answered_ms
                for call in self.calls.get(job, ())
                if call.method == "POST" and 200 <= call.status < 300
            ),
            default=None,
        )

    def cancel_sent_ms(self, job: str) -> float | None:
        """When somebody first asked to cancel it."""
        return min(
            (call.sent_ms for call in self.calls.get(job, ()) if call.method == "DELETE"), default=None
        )

    def _cancel_acked(self, job: str) -> float | None:
        return min(
            (
                call.answered_ms
                for call in self.calls.get(job, ())
                if call.method == "DELETE" and 200 <= call.status < 300
            ),
            default=None,
        )

    def done_ms(self, task: str) -> float:
        """When a run of the task first ended `done`; a member's end stands for its whole gang."""
        plan = self.plan_of(task)
        names = [task]
        if plan.gang > 1:
            stem = task.rpartition(".")[0]
            names = [f"{stem}.{index}" for index in range(plan.gang)]
        return min(
            (
                seen.end_ms
                for name in names
                for seen in self.by_task.get(name, ())
                if seen.how == "done" and seen.end_ms is not None
            ),
            default=NEVER_MS,
        )

    def noted_ms(self, seen: RunSeen) -> float:
        """From when on the run's end counts as taken note of."""
        if seen.end_ms is None:
            return NEVER_MS
        if seen.noted:
            return seen.end_ms
        if seen.listed_ms is None:
            return NEVER_MS
        noted_ms = seen.listed_ms + NOTED_AFTER_MS
        lapsed = seen.lapsed_ms is not None and seen.lapsed_ms <= noted_ms
        return NEVER_MS if lapsed or not self.calm(seen.end_ms, noted_ms) else noted_ms

    def attempts_in_force(self, job: JobAsked, time_ms: float) -> set[int]:
        """The numbers of `maxAttempts` that a configuration may give the job's queue at this time."""
        sent = [offer for offer in self._offers if offer.sent_ms <= time_ms]
        apply_ms = self.bounds.config_apply_ms
        newest = max((offer.version for offer in sent if offer.acked_ms + apply_ms <= time_ms), default=0)
        return {
            offer.attempts.get(job.queue, job.max_attempts) for offer in sent if offer.version >= newest
        } or {job.max_attempts}

    def may_have_failed(self, job: JobAsked, shown_ms: float = NEVER_MS) -> bool:
        """Whether a task, or a gang, has failed often enough, at a time before it was shown."""
        for number in range(job.times):
            for step in range(len(job.steps)):
                tasks = self.tasks_of_step(job, number, step)
                failed = [self._failed_runs(task) for task in tasks]
                together = self.plan_of(tasks[0]).gang > 1
                groups = [set().union(*failed)] if together else failed
                if any(self._is_too_many(job, tasks, runs, shown_ms) for runs in groups):
                    return True
        return False

    def _is_too_many(self, job: JobAsked, tasks: list[str], failed: set[int], shown_ms: float) -> bool:
        """Whether so many failed runs were enough at a time between the last of them and `shown_ms`."""
        ends_ms = [
            seen.end_ms
            for task in tasks
            for seen in self.by_task.get(task, ())
            if seen.run in failed and seen.how == "failed" and seen.end_ms is not None
        ]
        if not ends_ms:
            return False
        until_ms = min(shown_ms, self.record.end_ms + AFTER_END_MS)
        looks = [time_ms for time_ms in self._change_times() if max(ends_ms) <= time_ms <= until_ms]
        numbers = set().union(*(self.attempts_in_force(job, at_ms) for at_ms in (max(ends_ms), *looks)))
        return len(failed) >= min(numbers)

    def _change_times(self) -> list[float]:
        """When the set of configurations that may be in force grows."""
        return [offer.sent_ms for offer in self._offers]

    def _failed_runs(self, task: str) -> set[int]:
        return {seen.run for seen in self.by_task.get(task, ()) if seen.how == "failed"}

    def tasks_of_step(self, job: JobAsked, number: int, step: int) -> list[str]:
        """The names of a step's tasks of one time."""
        return [f"{job.id}.{number}.{step}.{index}" for index in range(job.steps[step]["count"])]

    def in_touch(self, machine: str, time_ms: float) -> bool:
        """Whether the machine and the core had no trouble in the `contactMs` before."""
        since_ms = time_ms - self.bounds.contact_ms
        for trouble in self.record.troubles:
            concerns = trouble.machine in (machine, "") or trouble.machine in self.record.core
            if concerns and trouble.begin_ms <= time_ms and trouble.end_ms >= since_ms:
                return False
        return True

    def calm(self, from_ms: float, until_ms: float) -> bool:
        """Whether there was no trouble anywhere in this span, nor in the `contactMs` before."""
        from_ms -= self.bounds.contact_ms
        return not any(
            trouble.begin_ms <= until_ms and trouble.end_ms >= from_ms for trouble in self.record.troubles
        )
