"""LOST, as far as it is about work that was accepted and doesn't run though there is room.

Asked of each job in the end, and of each task that lasts at any time of a calm span, whether others of its
job run or not. Room counts in all three dimensions; for a task that lasts, not at workers that crash or leave
at any time of the history.
"""

from __future__ import annotations

from collections.abc import Iterator

from flintfield.simulation.clock import WALL_START_MS
from flintfield.simulation.faults import FaultKind
from flintfield.simulation.judge.case import NEVER_MS, Case
from flintfield.simulation.plans import Capacity, Plan
from flintfield.simulation.record import JobAsked

STUCK_MS = 3_000  # in a long calm, a job whose turn has come has something running within that
CALM_BEFORE_END_MS = 6_000  # longer than any hold, so that what was lost is known to be lost
AGAIN_MS = 6_000  # within which a lasting task that has lost its run runs again
CALM_MS = 7_000  # before a lasting task's standstill counts
LOOK_MS = 250
ROOM_MS = 3_000  # for which there must have been room
LEAVE = (FaultKind.CRASH_WORKER, FaultKind.DRAIN_WORKER, FaultKind.DEREGISTER_WORKER)


def judge(case: Case) -> list[str]:
    """All broken rules."""
    broken: list[str] = []
    for job in case.record.jobs.values():
        broken += _at_last(case, job)
        broken += _lasting(case, job)
    return broken


def _at_last(case: Case, job: JobAsked) -> list[str]:
    """A job that was accepted is known in the end, and does not stand still in a long calm."""
    end_ms = case.record.end_ms
    if case.accepted_ms(job.id) is None or not case.calm(end_ms - CALM_BEFORE_END_MS, end_ms):
        return []
    asked = [call for call in case.calls[job.id] if call.method == "GET" and call.sent_ms >= end_ms]
    known = [call for call in asked if call.status == 200]
    if not known:
        if case.cancel_sent_ms(job.id) is not None and any(call.status == 410 for call in asked):
            return []
        return [f"LOST {job.id}: not known in the end: {[call.status for call in asked]}"]
    if known[-1].state in ("completed", "failed", "cancelled") or case.cancel_sent_ms(job.id) is not None:
        return []
    runs = [seen for seen in case.record.runs if seen.job == job.id]
    last_ms = max((seen.end_ms if seen.end_ms is not None else end_ms for seen in runs), default=0.0)
    service = case.service_of(job)
    if max(last_ms, _last_due_ms(job)) < end_ms - STUCK_MS and _half_free(case, service, end_ms, STUCK_MS):
        return [f"LOST {job.id}: {known[-1].state} with nothing running since {last_ms:.0f}"]
    return []


def _last_due_ms(job: JobAsked) -> float:
    if not job.body.get("repeatCount"):
        return 0.0
    return float(job.body["firstRunMs"] + (job.times - 1) * job.body["intervalMs"] - WALL_START_MS)


# Tasks that last.


def _lasting(case: Case, job: JobAsked) -> list[str]:
    """A task that lasts runs again within 6 s of its last run, in a calm in which there is room."""
    accepted_ms = case.accepted_ms(job.id)
    if accepted_ms is None or case.may_have_failed(job):
        return []
    until_ms = min(case.cancel_sent_ms(job.id) or NEVER_MS, case.record.end_ms)
    for step in range(len(job.steps)):
        for task in case.tasks_of_step(job, 0, step):
            plan = case.plan_of(task)
            if not plan.lasts or case.done_ms(task) != NEVER_MS:
                continue
            for since_ms, end_ms in _gaps(case, task, max(accepted_ms, _open_ms(case, job, step)), until_ms):
                if _stands_still(case, case.service_of(job), plan, since_ms, end_ms):
                    return [f"LOST {task}: lasts, and has not run since {since_ms:.0f}"]
    return []


def _open_ms(case: Case, job: JobAsked, step: int) -> float:
    """When the step's turn came: the steps that it depends on were done."""
    before = job.steps[step].get("dependsOn", ())
    tasks = [task for other in before for task in case.tasks_of_step(job, 0, other)]
    return max((case.done_ms(task) for task in tasks), default=0.0)


def _gaps(case: Case, task: str, begin_ms: float, until_ms: float) -> Iterator[tuple[float, float]]:
    """The spans in which no run of the task was there."""
    since_ms = begin_ms
    for seen in sorted(case.by_task.get(task, ()), key=lambda seen: seen.start_ms):
        if seen.start_ms > since_ms:
            yield since_ms, min(seen.start_ms, until_ms)
        if seen.end_ms is None:
            return
        since_ms = max(since_ms, seen.end_ms)
    yield since_ms, until_ms


def _stands_still(case: Case, service: str, plan: Plan, since_ms: float, end_ms: float) -> bool:
    """Whether the gap holds a moment at which the task had to run."""
    at_ms = since_ms + AGAIN_MS
    while at_ms <= end_ms:
        if case.calm(at_ms - CALM_MS, at_ms) and _fits_twice(case, service, plan, at_ms):
            return True
        at_ms += LOOK_MS
    return False


# Room.


def _workers(case: Case, service: str) -> dict[str, Capacity]:
    kinds = zip(case.scenario.agents, case.scenario.workers, strict=True)
    return {name: kind.capacity for name, kind in kinds if kind.service == service}


def _used(case: Case, machine: str, from_ms: float, until_ms: float) -> tuple[int, int, int]:
    """What the runs that were on a worker at any time of a span take together."""
    plans = [
        case.plan_of(seen.task)
        for seen in case.record.runs
        if seen.machine == machine
        and seen.start_ms <= until_ms
        and (seen.end_ms is None or seen.end_ms > from_ms)
    ]
    return (
        sum(plan.cpu for plan in plans),
        sum(plan.memory_mb for plan in plans),
        sum(plan.gpu for plan in plans),
    )


def _half_free(case: Case, service: str, until_ms: float, for_ms: float) -> bool:
    """Whether under half of the service's room was in use, in each dimension."""
    workers = _workers(case, service)
    used = [_used(case, name, until_ms - for_ms, until_ms) for name in workers]
    rooms = [(each.cpu, each.memory_mb, each.gpu) for each in workers.values()]
    return all(
        2 * sum(each[index] for each in used) < sum(room[index] for room in rooms) for index in range(3)
    )


def _fits_twice(case: Case, service: str, plan: Plan, at_ms: float) -> bool:
    """Whether a worker had room for the task twice over."""
    need = (plan.cpu, plan.memory_mb, plan.gpu)
    leaving = {fault.target for fault in case.scenario.faults if fault.kind in LEAVE}
    for name, capacity in _workers(case, service).items():
        if name in leaving:
            continue
        used = _used(case, name, at_ms - ROOM_MS, at_ms)
        room = (capacity.cpu, capacity.memory_mb, capacity.gpu)
        if all(2 * each <= there - taken for each, there, taken in zip(need, room, used, strict=True)):
            return True
    return False
