"""Marks of cancelled IDs that no job has, so that a submission still under way does not start afterwards.

A mark is durable before the cancel is answered with 410. The newest `MAX_MARKS` are kept, each as long as an
ended job, so that cancels of IDs that nobody submits take no room from jobs.
"""

from __future__ import annotations

from flintfield.jobs import durable
from flintfield.jobs.addresses import JobAddress
from flintfield.jobs.model import Job
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.states import JobState
from flintfield.jobs.terms import Terms
from flintfield.transport.records import encode

MAX_MARKS = 4_000  # submissions arrive within seconds of their cancel, or not at all


def add_mark(state: DispatcherState, address: JobAddress) -> None:
    """Record that an unknown ID was cancelled, if the table has room and no other queue uses it."""
    if address.job_id in state.jobs:
        return
    if len(state.jobs) >= state.bounds.max_jobs:
        state.counters.dropped_marks += 1
        return
    if len(state.marks) >= MAX_MARKS:
        _drop_oldest(state)
    terms = Terms("", 0, 1, 1.0, 0)
    job = Job(address.job_id, "", terms, state.wall_ms, b"", None, submitted=False, address=address.queue)
    job.end(JobState.CANCELLED, state.wall_ms)
    job.show_end()
    state.jobs[job.id] = job
    state.marks.append(job)
    state.put(durable.end_key(job.id), encode(durable.end_record(job)))


def forget_marks(state: DispatcherState, most: int) -> None:
    """Drop marks that were kept for long enough, or that a former release wrote beyond the bound."""
    for _ in range(most):
        if not state.marks:
            return
        if state.wall_ms - state.marks[0].ended_wall_ms > state.bounds.keep_ended_ms:
            _remove(state, state.marks.popleft())
        elif len(state.marks) > MAX_MARKS:
            _drop_oldest(state)
        else:
            return


def _drop_oldest(state: DispatcherState) -> None:
    if _remove(state, state.marks.popleft()):
        state.counters.dropped_marks += 1


def _remove(state: DispatcherState, job: Job) -> bool:
    """Remove the mark; False if its job was submitted meanwhile, or gave way to one of another queue."""
    if job.submitted or state.jobs.get(job.id) is not job:
        return False
    del state.jobs[job.id]
    state.put(durable.end_key(job.id), None)
    return True
