"""Rules on what clients are told of their jobs: MIXED, LOST, and what still runs after a cancel.

What stands still is judged by `standstill`.
"""

from __future__ import annotations

from flintfield.simulation.judge.case import Case
from flintfield.simulation.record import JobAsked

ID_LENGTH = 16


def judge(case: Case) -> list[str]:
    """All broken rules."""
    broken: list[str] = []
    for job in case.record.jobs.values():
        broken += _mixed(case, job)
        broken += _lost(case, job)
        broken += _runs_on(case, job)
    return broken + _same_id(case)


def _same_id(case: Case) -> list[str]:
    """A job with the ID of another queue's job is not taken, and not shown by the state of that one."""
    broken = []
    for call in case.calls.get("", ()):
        job = case.record.jobs.get(call.path[-ID_LENGTH:])
        if call.method == "COUNT" or job is None or call.path == job.path + job.id:
            continue
        if 200 <= call.status < 300:
            broken.append(f"MIXED {job.id}: {call.method} {call.path} is answered {call.status} {call.state}")
    return broken


def _mixed(case: Case, job: JobAsked) -> list[str]:
    shown = [call.answered_ms for call in case.calls.get(job.id, ()) if call.state == "completed"]
    if not shown:
        return []
    broken = []
    for number in range(job.times):
        for step in range(len(job.steps)):
            done_ms = max(case.done_ms(task) for task in case.tasks_of_step(job, number, step))
            if done_ms > min(shown):
                broken.append(
                    f"MIXED {job.id}: shown as completed at {min(shown):.0f}, step {step} of time "
                    f"{number} was done at {done_ms:.0f}"
                )
    return broken


def _lost(case: Case, job: JobAsked) -> list[str]:
    accepted_ms = case.accepted_ms(job.id)
    cancel_sent_ms = case.cancel_sent_ms(job.id)
    broken = []
    for call in case.calls.get(job.id, ()):
        if call.state == "cancelled" and cancel_sent_ms is None:
            broken.append(f"LOST {job.id}: shown as cancelled at {call.answered_ms:.0f}, by nobody")
        if call.state == "failed" and not case.may_have_failed(job, call.answered_ms):
            broken.append(f"LOST {job.id}: shown as failed at {call.answered_ms:.0f} without cause")
        if accepted_ms is None or cancel_sent_ms is not None or call.method != "GET" or call.status != 410:
            continue
        late = call.sent_ms > accepted_ms + case.bounds.visible_ms
        if late and case.in_touch(call.scheduler, call.answered_ms):
            broken.append(f"LOST {job.id}: 410 at {call.answered_ms:.0f}, accepted at {accepted_ms:.0f}")
    return broken


def _runs_on(case: Case, job: JobAsked) -> list[str]:
    """Long after a cancel, in a calm, nothing of the job runs."""
    cancelled_ms = case.cancels.get(job.id)
    if cancelled_ms is None:
        return []
    broken = []
    over_ms = cancelled_ms + case.bounds.cancel_ms + case.bounds.stop_ms
    for seen in case.record.runs:
        if seen.job != job.id or (seen.end_ms is not None and seen.end_ms <= over_ms):
            continue
        at_ms = max(over_ms, seen.start_ms)
        until_ms = min(seen.end_ms if seen.end_ms is not None else case.record.end_ms, case.record.end_ms)
        if not seen.late and at_ms < until_ms and case.calm(cancelled_ms, at_ms):
            broken.append(
                f"UNASKED {seen.task}: run {seen.run} still runs at {at_ms:.0f}, cancelled at "
                f"{cancelled_ms:.0f}"
            )
    return broken
