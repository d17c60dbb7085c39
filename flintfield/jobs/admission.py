"""Admission control: rejects jobs that could not be run in time or that would exceed a table limit."""

from __future__ import annotations

from flintfield.jobs.body import JobSpec
from flintfield.jobs.queues import ServiceQueue
from flintfield.jobs.run_tables import has_places
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.terms import Terms


def refusal_reason(state: DispatcherState, terms: Terms, spec: JobSpec, kept_bytes: int) -> str:
    """The reason to reject a new job with these terms and this store size; "" if it is admitted."""
    bounds = state.bounds
    if len(state.jobs) >= bounds.max_jobs:
        return "too many jobs are kept"
    if state.kept_bytes + kept_bytes > bounds.max_kept_bytes:
        return "too many bytes of jobs are kept"
    if _backlog_ms(state.service(terms.service), terms.priority) > bounds.backlog_ms:
        return "too much work waits for this service"
    if not has_places(state.service(terms.service), spec):
        state.counters.refused_places += 1
        return "the workers' tables of runs have no place for the job"
    return ""


def _backlog_ms(queue: ServiceQueue, priority: int) -> float:
    """Time the service needs for the work queued ahead of such a job; 0 while no worker is known."""
    cpu = sum(worker.capacity.cpu for worker in queue.workers.values())
    gpu = sum(worker.capacity.gpu for worker in queue.workers.values())
    cpu_work = sum(work for number, work in queue.backlog_cpu.items() if number <= priority)
    gpu_work = sum(work for number, work in queue.backlog_gpu.items() if number <= priority)
    return max(cpu_work / cpu if cpu else 0.0, gpu_work / gpu if gpu else 0.0)
