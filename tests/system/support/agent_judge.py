"""What is wrong in the agent's small world, by what the worker did and what the dispatcher was told."""

from __future__ import annotations

from flintfield.agent.events import CallWorker, RunStart
from flintfield.jobs.messages import AgentReport, OrderResult, Outcome, StartOrder, StopOrder

from .agent_dispatchers import Dispatchers
from .worker_model import WorkerModel

NOTHING_DONE = (Outcome.LATE, Outcome.ROOM, Outcome.BUSY, Outcome.DRAINING, Outcome.BAD)
NEVER_AGAIN = (Outcome.OLD, Outcome.FENCE, Outcome.GONE)
LONGEST_WAIT_MS = 4_000  # two long calls


class Judge:
    """Collects violations; times are true ones, in ms."""

    def __init__(self, dispatchers: Dispatchers) -> None:
        self.violations: list[str] = []
        self.drained_at: dict[str, int] = {}  # when the agent took in that the worker drains, by instance
        self._dispatchers = dispatchers
        self._started: dict[tuple[str, str, int], int] = {}  # by instance, task, run
        self._results: list[tuple[int, str, OrderResult, StartOrder | StopOrder]] = []

    def call(self, now: int, call: CallWorker, epoch: int) -> None:
        """A call leaves the agent: it is fenced, was ordered in this epoch, and not for a draining worker."""
        request = call.request
        if request.fence != epoch:
            self.violations.append(f"{now}: a call under {request.fence}")
        if not isinstance(request, RunStart):
            return
        ordered_in = self._dispatchers.epoch_of[request.task, request.run]
        if ordered_in != request.fence:
            self.violations.append(f"{now}: a start that epoch {ordered_in} has ordered")
        if self.drained_at.get(call.instance, now) < now:
            self.violations.append(f"{now}: a start at a draining worker")

    def started(self, now: int, worker: WorkerModel, known: int) -> None:
        """The worker has taken in a start; `known` is how many there were before."""
        for _, task, run in worker.log.starts[known:]:
            self._started[worker.instance, task, run] = now

    def hold(self, now: int, worker: WorkerModel, limit_clock: int) -> None:
        """The hold ends no later than what was granted: the worker's clock shows `limit_clock` by then."""
        if worker.expires_ms > limit_clock + 1:
            self.violations.append(f"{now}: held beyond the grant")

    def report(self, now: int, report: AgentReport, worker: WorkerModel) -> None:
        """A report leaves the agent: what it tells of the worker that is there is true."""
        if report.worker is None or report.worker.instance != worker.instance:
            return
        if report.lapsed and worker.runs:
            self.violations.append(f"{now}: lapsed while {list(worker.runs)} run")
        listed = {(run.task, run.run) for run in report.running}
        for run in worker.runs.values():
            started_at = self._started[worker.instance, run.task, run.run]
            if started_at < report.listing_stamp and (run.task, run.run) not in listed:
                self.violations.append(f"{now}: {run.task} runs since {started_at} and is not listed")

    def result(
        self, now: int, result: OrderResult, order: StartOrder | StopOrder, worker: WorkerModel
    ) -> None:
        """The dispatcher is told what became of an order."""
        instance = self._dispatchers.instance_of[result.order]
        if result.outcome is Outcome.GONE and instance == worker.instance:
            self.violations.append(f"{now}: {instance} is called gone, and runs")
        self._results.append((now, instance, result, order))

    def finish(self, now: int, worker: WorkerModel) -> list[str]:
        """Everything that was wrong, after a calm time."""
        for told_at, instance, result, order in self._results:
            started_at = self._started.get((instance, order.task, order.run))
            if started_at is not None:
                self._judge_started(told_at, result.outcome, isinstance(order, StartOrder), started_at)
        self._judge_calm(now, worker)
        return self.violations

    def _judge_started(self, told_at: int, outcome: Outcome, is_start: bool, started_at: int) -> None:
        never_before = is_start and outcome in NOTHING_DONE
        never_after = outcome in NEVER_AGAIN if is_start else outcome is Outcome.DONE
        if never_before or (never_after and started_at > told_at):
            kind = "start" if is_start else "stop"
            self.violations.append(f"{told_at}: {kind} {outcome.name}, and started at {started_at}")

    def _judge_calm(self, now: int, worker: WorkerModel) -> None:
        left = self._dispatchers.orders_for(worker.instance)
        if left:
            self.violations.append(f"no result for {left}")
        told = self._dispatchers.of(worker.instance)
        report = told.last_listing
        if report is None or now - report.stamp_ms > 1_000:
            self.violations.append("the present worker is not reported")
            return
        stale = now - report.listing_stamp > LONGEST_WAIT_MS
        if stale or report.fenced_epoch != self._dispatchers.epoch:
            self.violations.append(f"an old listing: {report.fenced_epoch}, {report.listing_stamp}")
        done = {(task, run, how.upper()) for _, task, run, how in worker.log.ends}
        if set(told.ends.values()) != done:
            self.violations.append(f"ends that differ: {set(told.ends.values()) ^ done}")
        if {run.task for run in report.running} != set(worker.runs):
            self.violations.append("runs that differ")
