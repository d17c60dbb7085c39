"""Rules on single starts: LIMIT, ROUTE, DRAIN, UNASKED, REFUSED."""

from __future__ import annotations

from collections.abc import Iterator

from flintfield.simulation.judge.case import Case
from flintfield.simulation.record import JobAsked, RunSeen


def judge(case: Case) -> list[str]:
    """All broken rules."""
    broken = []
    for seen in case.record.runs:
        job = case.job_of(seen.task)
        where = f"{seen.task}: run {seen.run} at {seen.instance}, {seen.start_ms:.0f} ms"
        broken += [f"{rule} {where}: {why}" for rule, why in _faults(case, seen, job)]
    broken += _refused(case)
    return broken


def _faults(case: Case, seen: RunSeen, job: JobAsked) -> Iterator[tuple[str, str]]:
    step = job.step_of(seen.task)
    if seen.over_capacity:
        yield "LIMIT", "over the worker's capacity"
    if seen.service != case.service_of(job):
        yield "ROUTE", f"a worker of {seen.service}"
    if step.get("constraints") and step["constraints"] not in seen.labels:
        yield "ROUTE", "without the label"
    if step.get("antiAffinity") and seen.held_of_step > step["antiAffinity"]:
        yield "ROUTE", f"{seen.held_of_step} tasks of one step"
    if seen.spec != job.body["spec"]:
        yield "UNASKED", f"spec {seen.spec!r}"
    if seen.checkpoint and seen.checkpoint not in case.record.saved.get(case.plan_of(seen.task).group, ()):
        yield "UNASKED", f"checkpoint {seen.checkpoint!r}"
    yield from _timed(case, seen)


def _timed(case: Case, seen: RunSeen) -> Iterator[tuple[str, str]]:
    """Rules bounded in time: for machines in touch, and not for orders that were carried out late."""
    cancelled_ms = case.cancels.get(seen.job)
    if seen.late or not case.in_touch(seen.machine, seen.start_ms):
        return
    if cancelled_ms is not None and seen.start_ms > cancelled_ms + case.bounds.cancel_ms:
        yield "UNASKED", f"{seen.start_ms - cancelled_ms:.0f} ms after the cancel"
    drain_ms = seen.drain_acked_ms
    if drain_ms is not None and seen.start_ms > drain_ms + case.bounds.drain_ms:
        yield "DRAIN", f"{seen.start_ms - drain_ms:.0f} ms after it said that it leaves"


def _refused(case: Case) -> list[str]:
    broken = []
    for job in sorted({seen.job for seen in case.record.runs}):
        tries = [call for call in case.calls.get(job, ()) if call.method == "POST"]
        if tries and all(call.status in (400, 404, 413, 429, 503) for call in tries):
            last_ms = max(call.answered_ms for call in tries)
            if last_ms < case.record.end_ms:
                broken.append(f"REFUSED {job}: it runs although all {len(tries)} tries were rejected")
    return broken
