"""`queues` and `jobs explain`: where the time of queues and of one job went."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from cleo.helpers import argument

from flintfield.console.commands.base import ObservingCommand, observing_options
from flintfield.console.exit_codes import OK, VERDICT_BAD
from flintfield.console.output import duration, table
from flintfield.console.rpc_client import ask_dispatcher
from flintfield.jobs.timing import Phase
from flintfield.observe.messages import JobDetail, PhaseRow, QueueTimesTable
from flintfield.observe.questions import AskJob, AskQueueTimes

MEANING = {
    Phase.ADMISSION: "handed in until its acceptance is durable",
    Phase.WAIT_PASS: "ready, not looked at yet",
    Phase.WAIT_ROOM: "ready, no worker has room",
    Phase.WAIT_RACK: "ready, waits for the rack of its data",
    Phase.WAIT_WORKER: "ready, waits for a better worker",
    Phase.WAIT_GANG: "ready, the gang does not fit at once",
    Phase.BACKOFF: "backs off after a run that ended badly",
    Phase.PLACEMENT: "placed, until its order leaves",
    Phase.START: "ordered, until its start is told",
    Phase.RUN: "runs that ended done",
    Phase.RUN_LOST: "runs that ended otherwise",
    Phase.NOTE: "an end is told, until it is durable",
    Phase.SHOW: "the last end is told, until it is shown",
}
"""What `Phase` means."""


class QueuesCommand(ObservingCommand):
    """One row a queue and phase."""

    name = "queues"
    description = "Where the time of each queue's jobs went, by phase and reason"
    options = observing_options()

    def observe(self, addresses: Sequence[str]) -> int:
        """Ask the dispatcher."""
        told = asyncio.run(ask_dispatcher(addresses, AskQueueTimes(), QueueTimesTable))
        rows = [
            (row.queue, MEANING[row.phase], row.count, _mean(row), duration(row.longest_ms))
            for row in told.rows
        ]
        titles = ("queue", "phase", "times", "mean", "longest")
        self.show(told, f"{table(titles, rows)}\nas told by the dispatcher of epoch {told.epoch}")
        return OK


class ExplainJobCommand(ObservingCommand):
    """Exit code 1 for a job that is not known."""

    name = "jobs explain"
    description = "Where the time of one job went: sums over its tasks, and the longest"
    arguments = [argument("id", "The job's id, 16 hex digits")]  # noqa: RUF012 (cleo's way)
    options = observing_options()

    def observe(self, addresses: Sequence[str]) -> int:
        """Ask the dispatcher."""
        job_id = self.argument("id")
        detail = asyncio.run(ask_dispatcher(addresses, AskJob(job_id), JobDetail))
        if detail.job is None:
            self.show(detail, f"job {job_id} is not known in epoch {detail.epoch}")
            return VERDICT_BAD
        self.show(detail.times, _explained(detail))
        return OK


def _explained(detail: JobDetail) -> str:
    if not detail.times:
        return "its times are not kept: of the newest jobs only, since the dispatcher's election"
    rows = [(MEANING[row.phase], duration(row.total_ms), duration(row.longest_ms)) for row in detail.times]
    return table(("phase", "all tasks", "longest"), rows)


def _mean(row: PhaseRow) -> str:
    return duration(round(row.total_ms / row.count))
