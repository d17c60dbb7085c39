"""Rules on the runs of one task: TWICE, BUDGET, ORDER, GANG."""

from __future__ import annotations

import itertools

from flintfield.simulation.clock import WALL_START_MS
from flintfield.simulation.judge.case import NEVER_MS, Case
from flintfield.simulation.record import RunSeen

CLOCK_JUMP_MS = 5_000  # a scheduled start may be so much earlier on days when clocks jump
TOLD_LATE_MS = 1_000  # a job that was shown as completed starts nothing later than this


def judge(case: Case) -> list[str]:
    """All broken rules."""
    broken: list[str] = []
    for task, seen in case.by_task.items():
        broken += _twice(case, task, seen)
        broken += _budget(case, task, seen)
        broken += _order(case, task, seen)
        broken += _alone(case, task, seen)
    return broken


def _twice(case: Case, task: str, runs: list[RunSeen]) -> list[str]:
    broken = []
    step = case.job_of(task).step_of(task)
    ordered = sorted(runs, key=lambda seen: seen.start_ms)
    if not step.get("speculative"):
        for one, other in itertools.combinations(ordered, 2):
            if one.end_ms is None or one.end_ms > other.start_ms:
                broken.append(
                    f"TWICE {task}: run {one.run} at {one.instance} from {one.start_ms:.0f} until "
                    f"{one.end_ms}, run {other.run} at {other.instance} from {other.start_ms:.0f}"
                )
        for done in [seen for seen in runs if seen.how == "done"]:
            noted_ms = case.noted_ms(done)
            for later in runs:
                if later is not done and later.start_ms > noted_ms:
                    broken.append(
                        f"TWICE {task}: run {later.run} at {later.start_ms:.0f} after run "
                        f"{done.run} had ended done at {done.end_ms:.0f}"
                    )
    completed = [call.answered_ms for call in case.calls.get(runs[0].job, ()) if call.state == "completed"]
    for seen in runs:
        overdue = completed and seen.start_ms > min(completed) + TOLD_LATE_MS
        if overdue and not seen.late and case.in_touch(seen.machine, seen.start_ms):
            broken.append(f"TWICE {task}: run {seen.run} began after its job was shown as completed")
    return broken


def _budget(case: Case, task: str, runs: list[RunSeen]) -> list[str]:
    step = case.job_of(task).step_of(task)
    if step.get("longRunning"):
        return []
    broken = []
    failed = sorted(
        noted_ms for seen in runs if seen.how == "failed" and (noted_ms := case.noted_ms(seen)) < NEVER_MS
    )
    for seen in runs:
        before = [noted_ms for noted_ms in failed if noted_ms < seen.start_ms]
        most = max(case.attempts_in_force(case.job_of(task), seen.start_ms))
        if len(before) < most:
            continue
        if step.get("speculative") and (seen.late or seen.start_ms < before[most - 1] + TOLD_LATE_MS):
            continue
        broken.append(f"BUDGET {task}: run {seen.run} after {len(before)} had failed")
    return broken


def _order(case: Case, task: str, runs: list[RunSeen]) -> list[str]:
    job = case.job_of(task)
    number, step = int(task.split(".")[1]), job.step_of(task)
    first_ms = min(seen.start_ms for seen in runs)
    broken = []
    if job.body.get("repeatCount"):
        due_ms = job.body["firstRunMs"] + number * job.body["intervalMs"] - WALL_START_MS
        slack_ms = case.bounds.early_ms + (CLOCK_JUMP_MS if case.record.wall_jumps else 0)
        if first_ms < due_ms - slack_ms:
            broken.append(f"ORDER {task}: {due_ms - first_ms:.0f} ms early")
    for earlier in step.get("dependsOn", ()):
        reached_ms = max(case.done_ms(name) for name in case.tasks_of_step(job, number, earlier))
        if reached_ms > first_ms:
            broken.append(
                f"ORDER {task}: began at {first_ms:.0f}, before step {earlier} was done ({reached_ms:.0f})"
            )
    return broken


def _alone(case: Case, task: str, runs: list[RunSeen]) -> list[str]:
    broken = []
    for seen in runs:
        if seen.how != "alone" or seen.end_ms is None or not case.calm(seen.start_ms, seen.end_ms):
            continue
        cancelled_ms = case.cancel_sent_ms(seen.job)
        if cancelled_ms is None or cancelled_ms > seen.end_ms:
            broken.append(f"GANG {task}: run {seen.run} ended alone at {seen.end_ms:.0f}")
    return broken
