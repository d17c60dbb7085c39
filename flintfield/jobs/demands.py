"""Builds placement requests and checks placement decisions against the rules."""

from __future__ import annotations

from flintfield.jobs.model import Task
from flintfield.placement.interface import Demand, Resources, Worker

UNLIMITED_TASKS = 1 << 20  # for tasks that request no resources


def demand_of(task: Task, siblings: frozenset[str] = frozenset(), data_rack_only: bool = False) -> Demand:
    """The demand of a task; `data_rack_only` also requires the label of the rack that holds its data."""
    step = task.step
    spec = step.spec
    job = step.occurrence.job
    needs = (*spec.needs, spec.affinity) if data_rack_only else spec.needs
    return Demand(
        task.name,
        job.terms.service,
        job.route,
        job.terms.priority,
        step.resources,
        spec.estimate_ms,
        needs,
        spec.affinity,
        spec.same_rack,
        siblings,
        spec.anti_affinity,
        step.group,
        task.avoid,
        job.open_runs == 0,
    )


def can_place(worker: Worker, demand: Demand) -> bool:
    """Whether the task may be placed on the worker now: service, labels, anti-affinity, capacity."""
    if not worker.ready or worker.service != demand.service:
        return False
    if any(label not in worker.labels for label in demand.needs):
        return False
    if demand.max_per_worker and worker.task_counts.get(demand.group, 0) >= demand.max_per_worker:
        return False
    return has_room(worker, demand)


def tasks_that_fit(room: Resources, asked: Resources) -> int:
    """Number of such tasks that fit into free resources (below 0: already overcommitted)."""
    pairs = ((room.cpu, asked.cpu), (room.memory_mb, asked.memory_mb), (room.gpu, asked.gpu))
    return min((available // required for available, required in pairs if required), default=UNLIMITED_TASKS)


def has_room(worker: Worker, demand: Demand) -> bool:
    """Whether the worker's free capacity is sufficient."""
    asked, used, capacity = demand.resources, worker.used, worker.capacity
    return (
        worker.runs < demand.max_runs
        and used.cpu + asked.cpu <= capacity.cpu
        and used.memory_mb + asked.memory_mb <= capacity.memory_mb
        and used.gpu + asked.gpu <= capacity.gpu
    )
