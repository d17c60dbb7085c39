"""`job`: one job, its tasks, its runs, its history."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from cleo.helpers import argument

from flintfield.console.commands.base import ObservingCommand, observing_options
from flintfield.console.exit_codes import OK, VERDICT_BAD
from flintfield.console.output import duration, moment, table, word
from flintfield.console.rpc_client import ask_dispatcher
from flintfield.jobs.states import TaskState
from flintfield.observe.messages import EventRow, JobDetail, JobRow, TasksRow, WaitReason
from flintfield.observe.questions import AskJob

RUN_TITLES = ("task", "run", "worker", "machine", "state", "placed by epoch", "placed", "started", "%")
WHY = {
    WaitReason.NONE: "",
    WaitReason.EARLIER_STEPS: "earlier steps are not done",
    WaitReason.BACKOFF: "backs off after a failure",
    WaitReason.NO_WORKER: "no worker of the service is known",
    WaitReason.NONE_READY: "no worker of the service is ready",
    WaitReason.NO_LABEL: "no ready worker has the labels",
    WaitReason.TOO_LARGE: "no ready worker with the labels is large enough",
    WaitReason.NO_ROOM: "no worker has room",
    WaitReason.ANTI_AFFINITY: "workers with room hold as many tasks of the step as they may",
    WaitReason.QUARANTINE: "every worker with room is in quarantine",
    WaitReason.GANG: "not all of the gang fit at once",
    WaitReason.POLICY: "there is room: the policy waits for a better worker, or the next pass",
    WaitReason.UNANSWERED: "its worker has not answered the start order",
}
"""What `WaitReason` means."""


class JobCommand(ObservingCommand):
    """Exit code 1 for a job that is not known."""

    name = "job"
    description = "One job: when it was accepted, why tasks wait, where runs ran, how they ended, who decided"
    arguments = [argument("id", "The job's id, 16 hex digits")]  # noqa: RUF012 (cleo's way)
    options = observing_options()

    def observe(self, addresses: Sequence[str]) -> int:
        """Ask the dispatcher."""
        detail = asyncio.run(ask_dispatcher(addresses, AskJob(self.argument("id")), JobDetail))
        if detail.job is None:
            self.show(detail, f"job {self.argument('id')} is not known in epoch {detail.epoch}")
            return VERDICT_BAD
        self.show(
            detail, "\n".join([*_head(detail, detail.job), *_tasks(detail), *_runs(detail), *_events(detail)])
        )
        return OK


def _head(detail: JobDetail, job: JobRow) -> list[str]:
    lines = [
        f"job {job.id}: {job.state}",
        f"queue {job.queue}, service {job.service}, priority {job.priority}",
        f"accepted {moment(job.accepted_wall_ms) or 'at an unknown time'}",
    ]
    if job.ended_wall_ms:
        lines.append(f"ended {moment(job.ended_wall_ms)}")
    if job.times > 1:
        lines.append(f"{job.times_done} of {job.times} times done")
    if detail.failed_runs:
        lines.append(f"{detail.failed_runs} runs of open steps have failed")
    lines.append(f"as told by the dispatcher of epoch {detail.epoch}")
    if detail.cut:
        lines.append("there are more tasks or runs than are told")
    return lines


def _tasks(detail: JobDetail) -> list[str]:
    if not detail.tasks:
        return []
    return [
        "",
        table(
            ("time", "step", "tasks", "state", "why"),
            [(row.time, row.step, row.tasks, _task_state(row), WHY[row.reason]) for row in detail.tasks],
        ),
    ]


def _task_state(row: TasksRow) -> str:
    return "running" if row.state is TaskState.PLACED and row.reason is WaitReason.NONE else word(row.state)


def _runs(detail: JobDetail) -> list[str]:
    if not detail.runs:
        return []
    return [
        "",
        table(
            RUN_TITLES,
            [
                (
                    run.task,
                    run.run,
                    run.instance,
                    run.machine,
                    word(run.state),
                    run.epoch,
                    f"{duration(run.placed_ms_ago)} ago",
                    f"{duration(run.started_ms_ago)} ago" if run.started_ms_ago >= 0 else "",
                    run.percent,
                )
                for run in detail.runs
            ],
        ),
    ]


def _events(detail: JobDetail) -> list[str]:
    lines = [""]
    if detail.earlier_events:
        lines.append(f"({detail.earlier_events} earlier events are not kept)")
    return [
        *lines,
        table(
            ("when (UTC)", "what", "task", "run", "worker", "how", "epoch"),
            [
                (
                    moment(event.wall_ms) or "at the takeover",
                    word(event.happening),
                    _task_name(event),
                    event.run or "",
                    event.instance,
                    event.detail,
                    event.epoch,
                )
                for event in detail.events
            ],
        ),
    ]


def _task_name(event: EventRow) -> str:
    return f"{event.time}.{event.step}.{event.index}" if event.run else ""
