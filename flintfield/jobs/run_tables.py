"""Whether the workers' tables of runs have a place for each job.

A worker gets `MAX_RUNS_PER_WORKER` runs, and `MAX_FIRST_RUNS` more of jobs of which nothing runs. A job that
waits for such a place beside free capacity counts as lost, and so does a lasting task. So a service takes a
job if all its tasks find a place at once, or else if there are places for the first runs of all its jobs.
"""

from __future__ import annotations

from collections import Counter

from flintfield.jobs import durable
from flintfield.jobs.body import JobSpec
from flintfield.jobs.model import Job
from flintfield.jobs.queues import Needs, ServiceQueue
from flintfield.placement.interface import MAX_FIRST_RUNS, MAX_RUNS_PER_WORKER

ANY_WORKER: Needs = ()


def has_places(queue: ServiceQueue, spec: JobSpec) -> bool:
    """Whether the workers have places for a new job of the service.

    True while no worker is known that could run it: then it waits for capacity, not for a place.
    """
    lasting_tasks = queue.lasting_tasks + _lasting_tasks(spec)
    if queue.workers and lasting_tasks > len(queue.workers) * MAX_RUNS_PER_WORKER:
        return False
    tasks = durable.open_tasks(spec, 0)
    return all(_has_places(queue, needs, tasks, runs) for needs, runs in _first_runs(spec).items())


def has_places_for_more(queue: ServiceQueue, spec: JobSpec) -> bool:
    """Whether one more occurrence of a job that is counted may open."""
    return all(_has_places(queue, needs, spec.tasks, 0) for needs in _first_runs(spec))


def count_job(queue: ServiceQueue, job: Job) -> None:
    """Count a job of the service that has not ended, with the tasks that it has room for."""
    if job.spec is not None:
        queue.open_tasks += durable.open_tasks(job.spec, len(job.open))
        queue.lasting_tasks += _lasting_tasks(job.spec)
        queue.first_runs.update(_first_runs(job.spec))


def uncount_job(queue: ServiceQueue, job: Job) -> None:
    """Undo `count_job`."""
    if job.spec is None:
        return
    queue.open_tasks -= durable.open_tasks(job.spec, len(job.open))
    queue.lasting_tasks -= _lasting_tasks(job.spec)
    for needs, runs in _first_runs(job.spec).items():
        queue.first_runs[needs] -= runs
        if not queue.first_runs[needs]:
            del queue.first_runs[needs]


def _has_places(queue: ServiceQueue, needs: Needs, tasks: int, first_runs: int) -> bool:
    workers = _count_workers(queue, needs)
    if not workers or queue.open_tasks + tasks <= workers * MAX_RUNS_PER_WORKER:
        return True
    return queue.first_runs[needs] + first_runs <= workers * MAX_FIRST_RUNS


def _count_workers(queue: ServiceQueue, needs: Needs) -> int:
    if not needs:
        return len(queue.workers)
    return sum(1 for worker in queue.workers.values() if worker.labels.issuperset(needs))


def _first_runs(spec: JobSpec) -> Counter[Needs]:
    """How many runs of the job have to fit at once, by their labels: a gang starts as a whole."""
    runs: Counter[Needs] = Counter()
    for step in spec.steps:
        together = step.count if step.gang else 1
        for needs in {ANY_WORKER, step.needs}:
            runs[needs] = max(runs[needs], together)
    return runs


def _lasting_tasks(spec: JobSpec) -> int:
    return sum(step.count for step in spec.steps if step.long_running)
